"""Where a direct call goes, what that is reckoned to cost, and what is next.

One object for all calls of an entry: it keeps the budgets of repeats and the
shares of cold limits, which hold over calls.
"""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from .backendset import Backend, BackendSet
from .balancing import Balancer, ReservedTokens, Reservation, PlacementContext
from .callprogress import CallProgress
from .clock import Clock, RandomSource
from .directcalls import DirectCall, BackendAttempt
from .enginepace import ReadingPace
from .errors import (
    BackendCutError,
    ErrorKind,
    MisdirectedError,
    NotRunError,
    RequestFailedError,
)
from .lengths import LengthPredictor
from .logs import log_decision
from .metrics import Metrics
from .routes import EngineTraits, TableHolder
from .shares import EntryCount, RepeatBudget, RepeatRule

__all__ = ('CallPlacement', 'PlacementDependencies', 'RelayRules')

# Sends of one call, whatever the budget: a call that three back ends refused
# is better off with an honest refusal and a time to come back.
_MOST_SENDS = 4
# Callers come back spread over this span, in seconds.
_RETURN_SECONDS = 0.5
_RETURN_SPREAD = 0.5
# Objectives without a sign of an answer, after which a call that is given up
# counts against its back end; callers abandon a silent stream then.
_SILENT_OBJECTIVES = 4


@dataclass(frozen=True, slots=True)
class RelayRules:
    """Bounds that hold for all entries together.

    Attributes
    ----------
    cold_factor, cold_slack
        A cold back end gets at most its own rate times the factor, plus the
        slack, in any second.
    """

    failure_domain: str
    repeats: RepeatRule = RepeatRule()
    cold_factor: float = 1.5
    cold_slack: float = 5


def _ignore(_backend: Backend, _name: str, _unread: int, _whole: int) -> None:
    """Announce nothing."""


def _count_nothing(_backend: Backend) -> None:
    """Count no call."""


@dataclass(frozen=True, slots=True)
class PlacementDependencies:
    """What placement works with.

    Attributes
    ----------
    announce
        Tells the process beside an engine which call is on its way there:
        its name, and the tokens to be read and in all.
    count_call
        Counts a call against the limit that its back end names.
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
    announce: Callable[[Backend, str, int, int], None] = _ignore
    count_call: Callable[[Backend], None] = _count_nothing


class CallPlacement:
    """Chooses a back end for each call, and decides on repeats."""

    def __init__(self, tools: PlacementDependencies) -> None:
        """Take the tools."""
        self._tools = tools
        self._rules = tools.rules
        self._budgets: dict[str, RepeatBudget] = {}
        self._reading: dict[str, ReadingPace] = {}

    def update_rules(self, rules: RelayRules) -> None:
        """Follow changed bounds from now on."""
        self._rules = rules
        for budget in self._budgets.values():
            budget.rule = rules.repeats

    def note_arrival(self, call: DirectCall) -> None:
        """Count a caller's request."""
        self._budget(call.service).note_request(self._now())

    def choose(self, progress: CallProgress) -> Backend:
        """Return the back end that gets a call.

        Raises
        ------
        RequestFailedError
            There is none that may get it.
        """
        call = progress.call
        now = self._now()
        candidates = self._candidates(progress, now)
        if not candidates:
            raise self._refuse(progress, now)
        placing = self._placing(call, now)
        chosen = self._tools.balancer.choose(candidates, placing)
        progress.others = len(candidates) - 1
        log_decision(
            'sent',
            request=call.name,
            route=call.route.name,
            organisation=call.organisation,
            endpoint=chosen.name,
            boot=chosen.record.boot,
            version=self._tools.tables.version,
            seen=len(candidates),
            tokens=placing.tokens.total if placing.tokens else None,
            open=chosen.open_calls,
            report_age=chosen.report_age(now),
            limit=chosen.call_limit.rate,
            left=call.deadline - now,
        )
        return chosen

    def reconsider(
        self, progress: CallProgress, backend: Backend, error: Exception
    ) -> None:
        """Return when the call may be sent again.

        Raises
        ------
        RequestFailedError
            With the end of the call, where it may not.
        """
        call = progress.call
        progress.refused.add(backend.name)
        doubtful = isinstance(error, BackendCutError)
        if doubtful:
            progress.ran += 1
        self._tools.metrics.count('sends_failed', type(error).__name__)
        log_decision(
            'send_failed',
            request=call.name,
            endpoint=backend.name,
            why=error,
            doubtful=doubtful,
        )
        final = doubtful and not call.route.repeatable
        if final or progress.ran >= call.route.max_endpoints:
            raise self.end(progress, ErrorKind.outcome_unknown, error)
        spent = self._budget(call.service).spend(self._now())
        if progress.sends >= _MOST_SENDS or not spent:
            raise self.end(progress, ErrorKind.overloaded, error)

    def end(
        self,
        progress: CallProgress,
        kind: ErrorKind,
        error: Exception | None = None,
        retry_seconds: float = _RETURN_SECONDS,
    ) -> RequestFailedError:
        """Return the end of a call that failed, and log it."""
        call = progress.call
        if progress.begun:
            kind = ErrorKind.generation_lost
        elif progress.ran and kind != ErrorKind.deadline_exceeded:
            # It may have run: no answer may promise that it did not.
            kind = ErrorKind.outcome_unknown
        log_decision(
            'call_failed',
            request=call.name,
            route=call.route.name,
            kind=kind.value,
            why=error,
            sends=progress.sends,
            last_event=progress.order.last,
            seconds=self._now() - call.arrived,
        )
        self._tools.metrics.count('calls_failed', kind.value)
        # Calls that were refused at the same moment come back spread out.
        spread = _RETURN_SPREAD * self._tools.random.random()
        return RequestFailedError(kind, retry_seconds=retry_seconds + spread)

    @contextmanager
    def book(
        self, progress: CallProgress, backend_attempt: BackendAttempt
    ) -> Iterator[Reservation]:
        """Count a call at its back end while it is open there."""
        now = self._now()
        call = progress.call
        backend_attempt.backend.cold_limit.note(now)
        self._tools.count_call(backend_attempt.backend)
        progress.sends += 1
        if backend_attempt.resumption is not None:
            self._budget(call.service).spend(now)
        ahead = backend_attempt.backend.unread_ahead
        tokens = self._tokens(call)
        reservation = Reservation(backend_attempt, tokens)
        if tokens is not None:
            unread = tokens.prompt if reservation.reads_prompt else 0
            self._tools.announce(
                backend_attempt.backend, call.name, unread, tokens.total
            )
        try:
            yield reservation
        except NotRunError as error:
            self._note_refusal(backend_attempt.backend, error)
            raise
        except BackendCutError:
            backend_attempt.backend.record_failure(self._now())
            raise
        except asyncio.CancelledError:
            self._note_silence(call, reservation, now)
            raise
        else:
            backend_attempt.backend.note_success()
            self._note_reading(call, reservation, ahead, now)
        finally:
            reservation.release()
            self._tools.metrics.record('send', self._now() - now)

    def learn(self, progress: CallProgress) -> None:
        """Learn from the length of a complete stream."""
        traits = self.engine_traits(progress.call.service)
        if traits is None or progress.order.last is None:
            return
        length = progress.order.last * traits.event_tokens
        self._tools.lengths.observe(_group(progress.call), length)

    def find_address(self, progress: CallProgress, address: str) -> Backend:
        """Return the back end at an address.

        Raises
        ------
        RequestFailedError
            It is not known here, so that it cannot be named in the call.
        """
        backend = self._tools.backends.find_address(address)
        if backend is None:
            raise self.end(progress, ErrorKind.outcome_unknown)
        return backend

    def estimate_answer_tokens(self, call: DirectCall) -> int:
        """Return the tokens that a call's answer is expected to have."""
        size = call.size
        if size is None:
            return 0
        guess = size.hint
        if not guess:
            outlook = self._tools.lengths.predict(_group(call), 0)
            guess = int(outlook.remaining)
        return (
            min(guess, size.max_answer_tokens)
            if size.max_answer_tokens
            else guess
        )

    def engine_traits(self, service: str) -> EngineTraits | None:
        """Return what a service's engines can do, None for plain ones."""
        return self._tools.tables.engine_traits(service)

    def _note_refusal(self, backend: Backend, error: NotRunError) -> None:
        if isinstance(error, MisdirectedError):
            backend.note_misdirected()
            log_decision(
                'endpoint_misplaced',
                endpoint=backend.name,
                address=backend.record.address,
                revision=backend.record.revision,
            )
        else:
            backend.suspect(self._now())

    def _note_silence(
        self, call: DirectCall, reservation: Reservation, since: float
    ) -> None:
        """Count a call that was given up as failed if nothing came at all.

        A back end that hangs on part of its calls resets none of them: only
        time and callers that leave show it.
        """
        now = self._now()
        patience = _SILENT_OBJECTIVES * call.route.objective
        if not reservation.answered and now >= since + patience:
            reservation.backend.record_failure(now)

    def _candidates(self, progress: CallProgress, now: float) -> list[Backend]:
        return [
            backend
            for backend in self._untried(progress, now)
            if not backend.call_limit.seconds_until_call(now)
        ]

    def _untried(self, progress: CallProgress, now: float) -> list[Backend]:
        return [
            backend
            for backend in self._tools.backends.usable(progress.call.service)
            if backend.name not in progress.refused
            and self._bears(backend, now)
        ]

    def _refuse(self, progress: CallProgress, now: float) -> RequestFailedError:
        """Return the end of a call that no back end may get now."""
        waits = [
            backend.call_limit.seconds_until_call(now)
            for backend in self._untried(progress, now)
        ]
        if not waits:
            return self.end(progress, ErrorKind.no_endpoint)
        # All of them have got what they take.
        return self.end(
            progress, ErrorKind.overloaded, retry_seconds=min(waits)
        )

    def _placing(self, call: DirectCall, now: float) -> PlacementContext:
        domain = self._rules.failure_domain
        tokens = self._tokens(call)
        if tokens is None:
            return PlacementContext(domain, now)
        traits = self.engine_traits(call.service)
        return PlacementContext(
            failure_domain=domain,
            now=now,
            tokens=tokens,
            memory_tokens=traits.memory_tokens if traits else 0,
            objective=call.route.objective,
            reading_pace=self._reading_pace(call.service).tokens_a_second,
            token_seconds=self._tools.backends.token_seconds(call.service),
        )

    def _reading_pace(self, service: str) -> ReadingPace:
        return self._reading.setdefault(service, ReadingPace())

    def _note_reading(
        self,
        call: DirectCall,
        reservation: Reservation,
        ahead: int,
        sent: float,
    ) -> None:
        if reservation.first_event_at is None or not reservation.reads_prompt:
            return
        tokens = ahead + call.size.prompt_tokens
        seconds = reservation.first_event_at - sent
        self._reading_pace(call.service).observe(tokens, seconds)

    def _bears(self, backend: Backend, now: float) -> bool:
        """Tell whether a back end is warm, or its cold limit has room."""
        traits = self._tools.tables.traits(backend.record.service)
        if traits is None or not traits.cold_rate:
            return True
        if not self._tools.backends.is_cold(backend, now):
            return True
        rate = traits.cold_rate * self._rules.cold_factor
        rate += self._rules.cold_slack
        return backend.cold_limit.has_room(rate, now)

    def _tokens(self, call: DirectCall) -> ReservedTokens | None:
        size = call.size
        if size is None:
            return None
        return ReservedTokens(
            size.prompt_tokens, self.estimate_answer_tokens(call)
        )

    def _budget(self, service: str) -> RepeatBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RepeatBudget(self._rules.repeats, self._tools.entries)
            self._budgets[service] = budget
        return budget

    def _now(self) -> float:
        return self._tools.clock.monotonic()


def _group(call: DirectCall) -> tuple[str, ...]:
    return (call.service, call.route.name, call.organisation)
