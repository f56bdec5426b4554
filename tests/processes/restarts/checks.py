"""What must hold of a run, from what was seen outside."""

from ...windows import most_in_window
from .history import ATTEMPT, NOTICED_SECONDS, SEAL, STOP_SECONDS, End

# Statuses that promise: not run, and never will be.
REFUSED = (408, 421, 429, 503)

# What is still at work so late in a stop may fail; a stream that began before
# the stop was noticed may be cut.
_LAST_SECONDS = STOP_SECONDS * 5 / 6
# Two misses in a row fit in before the fourth second.
_STILL_READY_SECONDS = 2
# From the first answer that names a limit until it must be kept.
_LIMIT_SECONDS = 3
_LIMIT_WINDOW_SECONDS = 4
_LIMIT_FACTOR = 1.5
_LIMIT_SLACK = 5


class Checks:
    """What must hold, from what callers and back ends saw."""

    def __init__(self, history):
        self._history = history
        self.faults = []

    def run(self):
        for call in self._history.calls:
            self._check_end(call)
            self._check_answer(call)
            self._check_stream(call)
            self._check_runs(call)
        for life in self._history.lives:
            self._check_stop(life)
        for backend, named in self._history.limits.items():
            self._check_limit(backend, named)
        return self.faults

    def _check_end(self, call):
        """What was read is answered; what was not read never runs."""
        runs = self._history.runs_of(call)
        if call.end == End.unread:
            self._expect(call, not runs, 'ran, though it was not read')
        elif call.end != End.whole and not self._may_be_cut(call):
            self._expect(call, False, 'lost')

    def _may_be_cut(self, call):
        """Tell whether a stream began early in a stop, or before, and is long.

        Its engine was still at work when the time of the stop ran out.
        """
        early = call.sent_late <= NOTICED_SECONDS
        at_work = any(
            call.life.since_stop(run.ended) >= _LAST_SECONDS
            for run in self._history.runs_of(call)
        )
        long = call.work.kind == 'stream' and call.end == End.cut
        return long and early and at_work

    def _check_answer(self, call):
        """An answer is its back end's own, or an error with its reason."""
        if call.end != End.whole:
            return
        if call.status != 200:
            why = f'{call.status} without a reason'
            self._expect(call, self._may_fail(call), why)
            return
        sealed = SEAL in call.headers and call.headers[ATTEMPT] == call.name
        self._expect(call, sealed, 'an answer to another call')
        if call.work.kind != 'stream':
            right = call.body.decode() == call.name
            self._expect(call, right, 'the body of another call')

    def _may_fail(self, call):
        """Tell whether a stop or a start can be why a call did not run."""
        stopped = call.life.since_stop(call.ended)
        if call.status not in REFUSED:
            return stopped >= _LAST_SECONDS
        starting = call.sent < (call.life.ready_at or float('inf'))
        return starting or stopped >= 0

    def _check_stream(self, call):
        """Every event comes once and in order, to the last in a whole one."""
        if call.work.kind != 'stream':
            return
        events = call.events
        size = len(events)
        if call.end == End.whole and call.status == 200:
            size = call.work.size
        wanted = [(number, call.name) for number in range(1, size + 1)]
        self._expect(call, events == wanted, 'events missing or out of order')

    def _check_runs(self, call):
        """A refusal means that nothing ran; only reads may run twice."""
        runs = self._history.runs_of(call)
        if call.status in REFUSED:
            self._expect(call, not runs, 'ran, though it was refused')
        if call.work.kind != 'read':
            self._expect(call, len(runs) <= 1, 'ran twice')

    def _check_stop(self, life):
        """An entry is out of the balancer in time and ends by itself."""
        took = life.since_stop(life.ended_at)
        if life.code != 0 or took > STOP_SECONDS:
            self.faults.append(
                f'{life.entry}: not ended by itself, code {life.code} after '
                f'{took:.2f} s, {life.queued:.2f} s without a processor'
            )
        if life.since_stop(life.last_ready) > _STILL_READY_SECONDS:
            self.faults.append(f'{life.entry}: ready long after SIGTERM')

    def _check_limit(self, backend, named):
        """A back end gets what it takes, from old and new entries alike."""
        since = named.first_at + _LIMIT_SECONDS
        began = [at for at in self._history.begun_at(backend) if at >= since]
        most = named.rate * _LIMIT_WINDOW_SECONDS * _LIMIT_FACTOR + _LIMIT_SLACK
        count = most_in_window(began, _LIMIT_WINDOW_SECONDS)
        if count > most:
            self.faults.append(
                f'{backend}: {count} calls in {_LIMIT_WINDOW_SECONDS} s, '
                f'{most} allowed'
            )

    def _expect(self, call, holds, why):
        if holds:
            return
        since = call.life.since_stop
        runs = [
            f'{run.backend} {since(run.began):.2f}..{since(run.ended):.2f}'
            for run in self._history.runs_of(call)
        ]
        self.faults.append(
            f'{why}: {call.work.kind} {call.name} of {call.work.size} '
            f'{call.work.headers} at {call.life.entry}, kept={call.kept}, '
            f'sent {call.sent_late:.3f}, ended {since(call.ended):.3f} s '
            f'after SIGTERM: {call.end}, status {call.status}, '
            f'{len(call.received)} bytes, {len(call.events)} events; ran {runs}'
        )
