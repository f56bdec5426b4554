"""Placement of direct calls: choice of a back end, retries and failures.

An entry has one `CallPlacement` for all of its calls, as retry budgets and
the limits of cold back ends apply to their sum.
"""

import asyncio
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field

from . import gen_wire as wire
from .backendset import BackendSet
from .backendstate import Backend
from .balancing import (
    Balancer,
    PlacementContext,
    Reservation,
    ReservedTokens,
    expected_wait,
)
from .callevidence import CallEvidence
from .callprogress import CallProgress
from .callretries import CallRetries
from .candidates import Candidates
from .clock import Clock, RandomSource
from .crashguard import CrashGuard
from .directcalls import BackendAttempt, DirectCall
from .enginespeed import PromptRateEstimator
from .entrycount import EntryCount
from .errors import (
    ERROR_RESPONSES,
    BackendCutError,
    ErrorKind,
    NotRunError,
    RequestFailedError,
    UnreachableError,
)
from .logs import log_decision
from .metrics import Metrics
from .moves import MovedCopy
from .outputlengths import LengthPredictor
from .repeatbudget import RepeatRule
from .retrybudgets import RetryBudgets
from .retryhistory import RetryHistory
from .rolloutcontrol import RolloutControl
from .routes import EngineTraits, TableHolder
from .sharedlimits import ColdRule
from .urgentroom import UrgentRoom, has_room

__all__ = ('CallPlacement', 'PlacementDependencies', 'RelayRules')

# Most sends of one call, whatever the retry budget allows.  A call that three
# back ends refused is better served by an error with a Retry-After time.
_MAX_SENDS = 4
# Retry-After of a failed call: a fixed part and random jitter, so that callers
# that failed together do not retry together.
_RETRY_AFTER_SECONDS = 0.5
_RETRY_JITTER_SECONDS = 0.5
# A call that waits for room looks for it about this often.
_ROOM_INTERVAL_SECONDS = 0.05
# Of a call's marks; the last ones identify the whole request.
_MAX_LOGGED_MARKS = 8
# A moved call may be sent for this long to an engine that is seen to leave.
_LAST_CALLS_SECONDS = 0.5
# An engine that stopped a generation and kept its memory takes it back for
# this long; nobody else has all of it.
_TAKE_BACK_SECONDS = 0.8


@dataclass(frozen=True, slots=True)
class RelayRules:
    """Limits that apply to the sum over all entries.

    Attributes
    ----------
    failure_domain
        Failure domain of this entry.
    repeats
        Limit on retries for each service.
    cold
        Limit on calls to cold back ends.
    """

    failure_domain: str
    repeats: RepeatRule = RepeatRule()
    cold: ColdRule = ColdRule()


def _announce_nothing(
    _backend: Backend, _name: str, _prompt_tokens: int, _total_tokens: int
) -> None:
    """Ignore an announcement; the default of `announce`."""


def _count_nothing(_backend: Backend) -> None:
    """Ignore a call; the default of `count_call`."""


def _report_nothing(_record: wire.RetryRecord) -> None:
    """Ignore a record; the default of `report_retries`."""


@dataclass(frozen=True, slots=True)
class PlacementDependencies:
    """Collaborators of `CallPlacement`.

    Attributes
    ----------
    announce
        Announces a call to the endpoint process beside its engine: the back
        end, the call's name, its prompt tokens to prefill and its expected
        total tokens.
    urgent_room
        Room that calls leave for more urgent ones.
    rollouts
        Restricts calls to back ends of a version that is rolled out, None for
        no restrictions.
    count_call
        Counts a call against the rate limit that its back end has set.
    started_at
        Monotonic seconds at which this process started.
    guard
        Refuses calls that would crash engines, None to refuse none.
    history
        Tells which retries the process that ran here before has made, None if
        there was none.
    report_retries
        Reports the retries of a service to be kept for the next process.
    keeps_retries
        Returns whether any process is there to keep them; None if nobody has
        to.
    """

    rules: RelayRules
    tables: TableHolder
    backends: BackendSet
    entries: EntryCount
    balancer: Balancer
    random: RandomSource
    clock: Clock
    metrics: Metrics
    lengths: LengthPredictor = field(default_factory=LengthPredictor)
    urgent_room: UrgentRoom = field(default_factory=UrgentRoom)
    rollouts: RolloutControl | None = None
    announce: Callable[[Backend, str, int, int], None] = _announce_nothing
    count_call: Callable[[Backend], None] = _count_nothing
    started_at: float = float('-inf')
    guard: CrashGuard | None = None
    history: RetryHistory | None = None
    report_retries: Callable[[wire.RetryRecord], None] = _report_nothing
    keeps_retries: Callable[[], bool] | None = None


class CallPlacement:
    """Chooses a back end for each call and decides on retries.

    Attributes
    ----------
    evidence
        Collects what outcomes of calls say about back ends.
    """

    def __init__(self, dependencies: PlacementDependencies) -> None:
        """Start with empty retry budgets and default prompt rates."""
        self._deps = dependencies
        self._rules = dependencies.rules
        self._candidates = Candidates(
            dependencies.tables,
            dependencies.backends,
            dependencies.rollouts,
            dependencies.rules.cold,
        )
        self._budgets = RetryBudgets(
            dependencies.rules.repeats,
            dependencies.entries,
            dependencies.started_at,
            dependencies.random,
            dependencies.history,
            dependencies.report_retries,
            dependencies.keeps_retries,
        )
        self._retries = CallRetries(self._budgets, dependencies.clock.monotonic)
        self._prompt_rates: dict[str, PromptRateEstimator] = {}
        self.evidence = CallEvidence(
            dependencies.clock, dependencies.rollouts, dependencies.guard
        )

    def update_rules(self, rules: RelayRules) -> None:
        """Apply changed limits; the calls and retries so far still count."""
        self._rules = rules
        self._candidates.cold_rule = rules.cold
        self._budgets.update_rule(rules.repeats)

    def record_arrival(self, call: DirectCall) -> None:
        """Count a caller's request towards the retry budget."""
        self._budgets.record_request(call.service, self._now())

    async def wait_for_room(self, progress: CallProgress) -> None:
        """Hold a call back while engines have room for more urgent ones only.

        Once it will be late it waits a little longer, for room that those on
        time leave, and then goes on in any case.
        """
        room = self._deps.urgent_room
        if not room.enabled:
            return
        call = progress.call
        room.record_call(call)
        started_at = self._now()
        while room.must_wait(call, self._list_available(call), self._now()):
            await asyncio.sleep(self._draw_room_interval())
        now = self._now()
        if now > started_at:
            self._deps.metrics.record('held_back', now - started_at)
            log_decision(
                'held_back',
                request=call.name,
                route=call.route.name,
                organisation=call.organisation,
                priority=call.priority,
                kept_free=room.tokens_kept_free(call, now),
                seconds=now - started_at,
                left=call.deadline - now,
            )

    def choose_rank(self, call: DirectCall, backend: Backend) -> int | None:
        """Return the rank with which a call is sent, None for no rank.

        Without room it would take the memory of less urgent generations, so
        that it queues among them.
        """
        if call.priority is None or call.size is None:
            return call.priority
        if has_room(backend, call.size.prompt_tokens):
            return call.priority
        table = self._deps.tables.table
        return table.priorities.last_rank if table else call.priority

    def choose(self, progress: CallProgress) -> Backend:
        """Return the back end that gets a call.

        Raises
        ------
        RequestFailedError
            No back end may get it now.
        """
        call = progress.call
        now = self._now()
        self._require_harmless(progress)
        candidates = self._candidates.list_available(
            call.service, progress.failed_backends, now
        )
        if not candidates:
            raise self._make_refusal(progress, now)
        context = self._make_context(call, now)
        chosen = self._deps.balancer.choose(candidates, context)
        expected = self._check_first_event(progress, chosen, context)
        log_decision(
            'sent',
            request=call.name,
            route=call.route.name,
            organisation=call.organisation,
            priority=call.priority,
            endpoint=chosen.name,
            boot=chosen.record.boot,
            version=self._deps.tables.version,
            seen=len(candidates),
            tokens=context.tokens.total if context.tokens else None,
            marks='+'.join(call.marks[-_MAX_LOGGED_MARKS:]) or None,
            open=chosen.open_calls,
            expected=expected,
            report_age=chosen.report_age(now),
            limit=chosen.call_limit.rate,
            left=call.deadline - now,
        )
        return chosen

    def may_send_again(self, progress: CallProgress, backend: Backend) -> bool:
        """Return whether a call may be sent to another back end now."""
        return (
            progress.sends < _MAX_SENDS
            and self.has_alternative(progress, backend)
            and self._retries.any_left(progress)
        )

    def has_alternative(self, progress: CallProgress, backend: Backend) -> bool:
        """Return whether another back end may get a call now."""
        excluded = progress.failed_backends | {backend.name}
        return bool(
            self._candidates.list_available(
                progress.call.service, excluded, self._now()
            )
        )

    def handle_failed_send(
        self, progress: CallProgress, backend: Backend, error: Exception
    ) -> None:
        """Count a failed send; return if the call may be retried.

        Raises
        ------
        RequestFailedError
            The call may not be retried; the error is its outcome.
        """
        call = progress.call
        progress.failed_backends.add(backend.name)
        doubtful = isinstance(error, BackendCutError)
        if doubtful:
            progress.possible_runs += 1
        self._deps.metrics.count('sends_failed', type(error).__name__)
        log_decision(
            'send_failed',
            request=call.name,
            endpoint=backend.name,
            why=error,
            retry_after=getattr(error, 'retry_seconds', 0) or None,
            doubtful=doubtful,
        )
        may_not_repeat = doubtful and not call.route.repeatable
        if may_not_repeat or progress.possible_runs >= call.route.max_endpoints:
            raise self.make_failure(progress, ErrorKind.outcome_unknown, error)
        self._spend_retry(progress, backend, error)

    def make_failure(
        self,
        progress: CallProgress,
        kind: ErrorKind,
        error: Exception | None = None,
        retry_seconds: float = _RETRY_AFTER_SECONDS,
    ) -> RequestFailedError:
        """Log the failure of a call and return the error for its caller.

        The kind is adjusted when part of the answer was sent, or when a back
        end may have run the call.
        """
        call = progress.call
        if progress.answer_begun:
            kind = ErrorKind.generation_lost
        elif progress.possible_runs and kind != ErrorKind.deadline_exceeded:
            # The call may have run, so the error must not claim that it did
            # not.
            kind = ErrorKind.outcome_unknown
        may_return = ERROR_RESPONSES[kind].retry
        log_decision(
            'call_failed',
            request=call.name,
            route=call.route.name,
            kind=kind.value,
            why=error,
            retry_after=retry_seconds if may_return else None,
            sends=progress.sends,
            head=progress.head_received or None,
            last_event=progress.order.last,
            seconds=self._now() - call.arrived,
        )
        self._deps.metrics.count('calls_failed', kind.value)
        # Jitter keeps callers that failed together from retrying together.
        jitter = _RETRY_JITTER_SECONDS * self._deps.random.random()
        return RequestFailedError(kind, retry_seconds=retry_seconds + jitter)

    @contextmanager
    def reserve(
        self, progress: CallProgress, backend_attempt: BackendAttempt
    ) -> Iterator[Reservation]:
        """Count a call against its back end while it is in flight there.

        Raises
        ------
        RequestFailedError
            It resumes a moved stream, and no retry is left.
        """
        now = self._now()
        call = progress.call
        if backend_attempt.resumption is not None:
            self._spend_resumption(progress)
        backend_attempt.backend.cold_limit.record_call(now)
        self._deps.count_call(backend_attempt.backend)
        progress.sends += 1
        backlog = backend_attempt.backend.prefill_backlog
        tokens = self._expected_tokens(call)
        reservation = Reservation(backend_attempt, tokens)
        if tokens is not None:
            unread = tokens.prompt if reservation.reads_prompt else 0
            self._deps.announce(
                backend_attempt.backend, call.name, unread, tokens.total
            )
        try:
            yield reservation
        except (
            NotRunError,
            BackendCutError,
            asyncio.CancelledError,
        ) as error:
            self._record_failed_send(progress, reservation, now, error)
            raise
        else:
            backend_attempt.backend.record_success()
            self._retries.record_answer(backend_attempt.backend, now)
            self._observe_prompt_rate(call, reservation, backlog, now)
        finally:
            reservation.release()
            self._deps.metrics.record('send', self._now() - now)
            self._count_bytes(call, reservation)

    def observe_answer_length(self, progress: CallProgress) -> None:
        """Update the length prediction from a complete stream."""
        traits = self.engine_traits(progress.call.service)
        if traits is None or progress.order.last is None:
            return
        length = progress.order.last * traits.event_tokens
        self._deps.lengths.observe(_length_group(progress.call), length)

    async def find_resuming(
        self, progress: CallProgress, copy: MovedCopy, at_source: bool = False
    ) -> Backend:
        """Return the back end that resumes a moved call.

        Waits while it has asked for a pause, as nobody else has the copy.

        Parameters
        ----------
        at_source
            Whether it is the back end that ran the call before.

        Raises
        ------
        RequestFailedError
            This entry does not know the back end, and a call must carry its
            name; or it takes no calls any more, or its pause outlasts the
            call; or the call would end it.
        """
        self._require_harmless(progress)
        backend = self._find_holder(progress.call, copy)
        last_calls = _TAKE_BACK_SECONDS if at_source else _LAST_CALLS_SECONDS
        if backend is None or self._is_gone(backend, progress.call, last_calls):
            raise self.make_failure(progress, ErrorKind.outcome_unknown)
        backpressure = backend.backpressure
        while not backpressure.allow_exempt_call(self._now()):
            seconds = backpressure.seconds_until_call(self._now())
            if self._now() + seconds >= progress.call.deadline:
                raise self.make_failure(progress, ErrorKind.outcome_unknown)
            log_decision(
                'resumption_waits',
                request=progress.call.name,
                endpoint=backend.name,
                seconds=seconds,
            )
            await asyncio.sleep(seconds)
        if self._is_gone(backend, progress.call, last_calls):
            raise self.make_failure(progress, ErrorKind.outcome_unknown)
        return backend

    def estimate_answer_tokens(self, call: DirectCall) -> int:
        """Return the expected number of tokens in a call's answer."""
        size = call.size
        if size is None:
            return 0
        expected = size.hint
        if not expected:
            forecast = self._deps.lengths.predict(_length_group(call), 0)
            expected = int(forecast.remaining)
        return (
            min(expected, size.max_answer_tokens)
            if size.max_answer_tokens
            else expected
        )

    def engine_traits(self, service: str) -> EngineTraits | None:
        """Return the traits of a service's engines, None for plain services."""
        return self._deps.tables.engine_traits(service)

    def _find_holder(self, call: DirectCall, copy: MovedCopy) -> Backend | None:
        """Return the engine that holds a copy, None if it is not known."""
        backend = self._deps.backends.find_identity(copy.target)
        if backend is None or copy.target.service != call.service:
            return None
        return backend if backend.record.address == copy.address else None

    def _is_gone(
        self, backend: Backend, call: DirectCall, last_calls: float
    ) -> bool:
        """Return whether a back end gets no calls, not even a moved one.

        A copy may reach an engine just as it begins to leave; for a moment it
        is still better to resume there than to lose the stream.

        Parameters
        ----------
        last_calls
            Seconds for which it still gets moved calls as it leaves.
        """
        since = backend.unusable_since
        last_call_at = None if since is None else since + last_calls
        overdue = last_call_at is not None and self._now() > last_call_at
        return backend.replaced or overdue or _left_before(backend, call)

    def _list_available(self, call: DirectCall) -> Sequence[Backend]:
        return self._candidates.list_available(call.service, (), self._now())

    def _draw_room_interval(self) -> float:
        # Entries that wait for the same engine must not all find it at once.
        return _ROOM_INTERVAL_SECONDS * (0.5 + self._deps.random.random())

    def _require_harmless(self, progress: CallProgress) -> None:
        guard = self._deps.guard
        seconds = guard and guard.refuse_for(progress.call)
        if seconds is not None:
            raise self.make_failure(
                progress, ErrorKind.crashes_endpoints, retry_seconds=seconds
            )

    def _count_bytes(self, call: DirectCall, reservation: Reservation) -> None:
        domain = reservation.backend.record.failure_domain
        place = 'same' if domain == self._rules.failure_domain else 'other'
        count = self._deps.metrics.count
        count('request_bytes_by_domain', place, len(call.body))
        count('answer_bytes_by_domain', place, reservation.answer_bytes)

    def _check_first_event(
        self, progress: CallProgress, chosen: Backend, context: PlacementContext
    ) -> float | None:
        """Return the expected seconds to the first event, None for no stream.

        Raises
        ------
        RequestFailedError
            Not even the best engine can begin with it before the deadline.
        """
        if context.tokens is None:
            return None
        call = progress.call
        wait = expected_wait(chosen, context)
        left = call.deadline - context.now
        if wait <= left:
            return wait + context.prompt_seconds
        log_decision(
            'not_admitted',
            request=call.name,
            route=call.route.name,
            endpoint=chosen.name,
            wait=wait,
            left=left,
            report_age=chosen.report_age(context.now),
        )
        raise self.make_failure(
            progress, ErrorKind.overloaded, retry_seconds=wait - left
        )

    def _make_refusal(
        self,
        progress: CallProgress,
        now: float,
        error: Exception | None = None,
    ) -> RequestFailedError:
        """Return the error for a call that no back end may get now."""
        seconds = self._candidates.seconds_until_call(
            progress.call.service, now
        )
        kind = ErrorKind.overloaded if seconds else ErrorKind.no_endpoint
        return self.make_failure(
            progress, kind, error, seconds or _RETRY_AFTER_SECONDS
        )

    def _make_context(self, call: DirectCall, now: float) -> PlacementContext:
        domain = self._rules.failure_domain
        tokens = self._expected_tokens(call)
        if tokens is None:
            return PlacementContext(domain, now)
        traits = self.engine_traits(call.service)
        return PlacementContext(
            failure_domain=domain,
            now=now,
            tokens=tokens,
            memory_tokens=traits.memory_tokens if traits else 0,
            objective=call.route.objective,
            prompt_rate=self._prompt_rate(call.service).tokens_per_second,
            token_seconds=self._deps.backends.token_seconds(call.service),
        )

    def _prompt_rate(self, service: str) -> PromptRateEstimator:
        return self._prompt_rates.setdefault(service, PromptRateEstimator())

    def _observe_prompt_rate(
        self,
        call: DirectCall,
        reservation: Reservation,
        backlog: int,
        sent: float,
    ) -> None:
        if reservation.first_event_at is None or not reservation.reads_prompt:
            return
        tokens = backlog + call.size.prompt_tokens
        seconds = reservation.first_event_at - sent
        self._prompt_rate(call.service).observe(tokens, seconds)

    def _expected_tokens(self, call: DirectCall) -> ReservedTokens | None:
        size = call.size
        if size is None:
            return None
        return ReservedTokens(
            size.prompt_tokens, self.estimate_answer_tokens(call)
        )

    def _spend_retry(
        self, progress: CallProgress, backend: Backend, error: Exception
    ) -> None:
        """Take a retry for a call, if another back end may get it.

        Raises
        ------
        RequestFailedError
            No other one may, or no retry is left.
        """
        call = progress.call
        now = self._now()
        if progress.sends < _MAX_SENDS:
            if not self.has_alternative(progress, backend):
                raise self._make_refusal(progress, now, error)
            # The next send takes the place of one that never arrived.
            unreachable = isinstance(error, UnreachableError)
            if unreachable or self._retries.take(progress):
                return
        seconds = self._candidates.seconds_until_call(call.service, now)
        raise self.make_failure(
            progress,
            ErrorKind.overloaded,
            error,
            seconds or _RETRY_AFTER_SECONDS,
        )

    def _spend_resumption(self, progress: CallProgress) -> None:
        if not self._retries.take(progress, resumes=True):
            why = NotRunError(ErrorKind.overloaded, 'no retry is left')
            raise self.make_failure(progress, ErrorKind.outcome_unknown, why)

    def _record_failed_send(
        self,
        progress: CallProgress,
        reservation: Reservation,
        sent_at: float,
        error: BaseException,
    ) -> None:
        backend = reservation.backend
        if isinstance(error, NotRunError):
            self.evidence.record_refusal(backend, error)
            if not isinstance(error, UnreachableError):
                self._retries.record_answer(backend, sent_at)
        elif isinstance(error, BackendCutError):
            log_decision(
                'connection_cut',
                request=progress.call.name,
                endpoint=backend.name,
                boot=backend.record.boot,
                head=progress.head_received or None,
                framing=progress.framing,
                last_event=progress.order.last,
                stopping=backend.stopping or None,
                seconds=self._now() - sent_at,
                why=error,
            )
            self.evidence.record_cut(progress, backend, sent_at)
        else:
            self.evidence.record_unanswered(progress, reservation, sent_at)
            if not reservation.answered:
                self._retries.record_unread(progress, backend, sent_at)

    def _now(self) -> float:
        return self._deps.clock.monotonic()


def _left_before(backend: Backend, call: DirectCall) -> bool:
    """Return whether a back end had said that it leaves before a call."""
    leaving_since = backend.backpressure.leaving_since
    return leaving_since is not None and leaving_since < call.arrived


def _length_group(call: DirectCall) -> tuple[str, ...]:
    return (call.service, call.route.name, call.organisation)
