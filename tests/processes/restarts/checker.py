"""Checks the recorded history of a run against what callers rely on."""

from ...windows import most_in_window
from .history import (
    ATTEMPT_HEADER,
    BALANCER_REACTION_SECONDS,
    SEAL_HEADER,
    STOP_SECONDS,
    Outcome,
)

# Statuses which promise that the request has not run and never will.
REFUSAL_STATUSES = (408, 421, 429, 503)

# A call that still runs this late in a stop may fail, and a stream may be cut
# if it was sent before the balancer reacted to the stop.
_LATE_SECONDS = STOP_SECONDS * 5 / 6
# After SIGTERM; two failed health checks in a row then still fit in before the
# fourth second.
_MAX_READY_SECONDS = 2
# From the first answer that announces a limit until entries must respect it.
_LIMIT_REACTION_SECONDS = 3
_LIMIT_WINDOW_SECONDS = 4
_LIMIT_FACTOR = 1.5
_LIMIT_SLACK = 5
# Calls that were sent before a refusal arrived may come later than it.
_REST_REACTION_SECONDS = 0.5
_MAX_CALLS_IN_REST = 2
# From the answer that says that a back end leaves; callers' attempts count that
# were sent later.
_DRAIN_SECONDS = 2


class HistoryChecker:
    """Collects violations as texts that begin with the kind of violation."""

    def __init__(self, history):
        self._history = history
        self.violations = []

    def run(self):
        """Return the violations of all checks."""
        for attempt in self._history.attempts:
            self._check_outcome(attempt)
            self._check_answer(attempt)
            self._check_stream(attempt)
            self._check_runs(attempt)
        for lifetime in self._history.lifetimes:
            self._check_stop(lifetime)
        for backend, announced in self._history.limits.items():
            self._check_limit(backend, announced)
        for calls in self._history.calls_by_process().values():
            self._check_rests(calls)
            self._check_leaving(calls)
        return self.violations

    def _check_outcome(self, attempt):
        """A request that was read is answered; an unread one never runs."""
        runs = self._history.runs_of(attempt)
        if attempt.outcome == Outcome.unread:
            self._expect(attempt, not runs, 'ran, though it was not read')
        elif attempt.outcome != Outcome.complete and not self._may_be_cut(
            attempt
        ):
            self._expect(attempt, False, 'lost')

    def _may_be_cut(self, attempt):
        """Tell whether the stop was too short for a stream sent in time.

        It was sent before the balancer reacted to the stop, and its engine
        still generated when the time of the stop ran out.
        """
        sent_early = attempt.sent_after_stop <= BALANCER_REACTION_SECONDS
        ran_late = any(
            attempt.lifetime.seconds_after_stop(run.ended_at) >= _LATE_SECONDS
            for run in self._history.runs_of(attempt)
        )
        cut_stream = (
            attempt.request.kind == 'stream' and attempt.outcome == Outcome.cut
        )
        return cut_stream and sent_early and ran_late

    def _check_answer(self, attempt):
        """An answer belongs to its attempt, or is an error with a reason."""
        if attempt.outcome != Outcome.complete:
            return
        if attempt.status != 200:
            why = f'{attempt.status} without a reason'
            self._expect(attempt, self._may_fail(attempt), why)
            return
        matches = (
            SEAL_HEADER in attempt.headers
            and attempt.headers[ATTEMPT_HEADER] == attempt.attempt_id
        )
        self._expect(attempt, matches, 'an answer to another call')
        if attempt.request.kind != 'stream':
            same_body = attempt.body.decode() == attempt.attempt_id
            self._expect(attempt, same_body, 'the body of another call')

    def _may_fail(self, attempt):
        """Tell whether a start or a stop of the entry explains an error."""
        after_stop = attempt.lifetime.seconds_after_stop(attempt.ended_at)
        if attempt.status not in REFUSAL_STATUSES:
            return after_stop >= _LATE_SECONDS
        starting = attempt.sent_at < (
            attempt.lifetime.first_ready_at or float('inf')
        )
        return starting or after_stop >= 0

    def _check_stream(self, attempt):
        """Events come once and in order; a complete stream has all of them."""
        if attempt.request.kind != 'stream':
            return
        events = attempt.events
        size = len(events)
        if attempt.outcome == Outcome.complete and attempt.status == 200:
            size = attempt.request.size
        expected = [
            (number, attempt.attempt_id) for number in range(1, size + 1)
        ]
        self._expect(
            attempt, events == expected, 'events missing or out of order'
        )

    def _check_runs(self, attempt):
        """A refused attempt never runs; only a read may run twice."""
        runs = self._history.runs_of(attempt)
        if attempt.status in REFUSAL_STATUSES:
            self._expect(attempt, not runs, 'ran, though it was refused')
        if attempt.request.kind != 'read':
            self._expect(attempt, len(runs) <= 1, 'ran twice')

    def _check_stop(self, lifetime):
        """An entry turns unready soon after SIGTERM and exits by itself."""
        duration = lifetime.seconds_after_stop(lifetime.exited_at)
        if lifetime.exit_code != 0 or duration > STOP_SECONDS:
            self.violations.append(
                f'{lifetime.entry_name}: did not exit cleanly by itself, '
                f'code {lifetime.exit_code} after {duration:.2f} s, '
                f'{lifetime.cpu_wait_seconds:.2f} s without a processor'
            )
        if (
            lifetime.seconds_after_stop(lifetime.last_ready_at)
            > _MAX_READY_SECONDS
        ):
            self.violations.append(
                f'{lifetime.entry_name}: ready long after SIGTERM'
            )

    def _check_limit(self, backend, announced):
        """Old and new entries together respect a back end's limit."""
        since = announced.first_seen_at + _LIMIT_REACTION_SECONDS
        starts = [at for at in self._history.run_starts(backend) if at >= since]
        allowed = (
            announced.rate * _LIMIT_WINDOW_SECONDS * _LIMIT_FACTOR
            + _LIMIT_SLACK
        )
        count = most_in_window(starts, _LIMIT_WINDOW_SECONDS)
        if count > allowed:
            self.violations.append(
                f'{backend}: {count} calls in {_LIMIT_WINDOW_SECONDS} s, '
                f'{allowed} allowed'
            )

    def _check_rests(self, calls):
        """A process keeps to the rest that a back end asked it for."""
        attempts = {attempt_id for _backend, _at, attempt_id in calls}
        refusals = [
            refusal
            for refusal in self._history.refusals
            if refusal.attempt_id in attempts
        ]
        for refusal in refusals:
            since = refusal.refused_at + _REST_REACTION_SECONDS
            until = refusal.refused_at + refusal.rest_seconds
            count = sum(
                backend == refusal.backend and since <= at < until
                for backend, at, _attempt_id in calls
            )
            if count > _MAX_CALLS_IN_REST:
                self.violations.append(
                    f'{refusal.backend}: {count} calls in a rest of '
                    f'{refusal.rest_seconds} s'
                )

    def _check_leaving(self, calls):
        """No call reaches a back end long after its answer said it leaves."""
        told_at = {}
        for backend, _at, attempt_id in calls:
            at = self._history.leaving.get((backend, attempt_id))
            if at is not None:
                told_at[backend] = min(at, told_at.get(backend, at))
        for backend, at, _attempt_id in calls:
            if at > told_at.get(backend, at) + _DRAIN_SECONDS:
                self.violations.append(f'{backend}: called, though it leaves')

    def _expect(self, attempt, holds, why):
        if holds:
            return
        after_stop = attempt.lifetime.seconds_after_stop
        runs = [
            f'{run.backend} {after_stop(run.started_at):.2f}'
            f'..{after_stop(run.ended_at):.2f}'
            for run in self._history.runs_of(attempt)
        ]
        self.violations.append(
            f'{why}: {attempt.request.kind} {attempt.attempt_id} of '
            f'{attempt.request.size} {attempt.request.headers} at '
            f'{attempt.lifetime.entry_name}, reused={attempt.reused}, '
            f'sent {attempt.sent_after_stop:.3f}, '
            f'ended {after_stop(attempt.ended_at):.3f} s after SIGTERM: '
            f'{attempt.outcome}, status {attempt.status}, '
            f'{len(attempt.received)} bytes, {len(attempt.events)} events; '
            f'ran {runs}'
        )
