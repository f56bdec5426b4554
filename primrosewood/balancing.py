"""Load balancing of direct calls, by reports that lag behind the engines."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from .backendstate import Backend
from .clock import RandomSource
from .directcalls import BackendAttempt
from .enginespeed import PROMPT_TOKENS_PER_SECOND, TOKEN_SECONDS

__all__ = (
    'Balancer',
    'LeastCostBalancer',
    'PlacementContext',
    'Reservation',
    'ReservedTokens',
    'expected_first_event',
    'expected_wait',
)


# Scores are the expected cost of a choice to the caller, in seconds.

# A call to another failure domain takes 2 ms longer, and its traffic costs 0.5%
# of the value of a stream on time.  This weighs less than the 0.1 s that a busy
# engine adds.
_CROSS_DOMAIN_SECONDS = 0.03
# Scores that differ by less count as equal, and one of the back ends is drawn
# at random: entries that see the same reports must not all pick the same one.
_EQUAL_SECONDS = 0.02
# Steps that prefill part of a prompt take twice as long, for all generations
# on that engine.
_DELAYED_SHARE = 0.5
# Cost of a late or lost answer, in multiples of the time to generate it.
_LOSS_WEIGHT = 5
# Steepness of the rise in the risk of a late first event as its expected time
# approaches the objective.
_LATE_EXPONENT = 4
# KV cache memory is the first resource that engines exhaust.  Above the lower
# share of use a generation may preempt another one, whose prompt is then
# prefilled again; at the upper share it does.  The upper share exceeds 1
# because the tokens are estimates, which are often too low.
_CROWDED_SHARE = 0.75
_FULL_SHARE = 1.1
# Risk that a generation on a full engine is cut when that engine leaves: the
# notice period is long enough to copy only part of its memory.
_LEAVE_RISK = 0.15
# Part of a full engine's memory that is assumed to become free each second if
# it has not reported any generation that ended.
_FREED_SHARE = 0.1
# Usual duration of a plain call.  A back end with all slots in use queues the
# next call for about this long.
_PLAIN_CALL_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class ReservedTokens:
    """KV cache tokens that a generation is expected to use."""

    prompt: int
    answer: int

    @property
    def total(self) -> int:
        """Tokens of the prompt and the answer together."""
        return self.prompt + self.answer


class Reservation:
    """Load that a call in flight adds to its back end, as this entry sees it.

    Parameters
    ----------
    tokens
        None for calls to plain services.

    Attributes
    ----------
    first_event_at
        When the first event arrived, in monotonic seconds; None before.
    answer_bytes
        Bytes of the answer that the back end has sent.
    reads_prompt
        Whether the back end prefills a prompt for the call.
    """

    def __init__(
        self, backend_attempt: BackendAttempt, tokens: ReservedTokens | None
    ) -> None:
        """Add the call to the counters of its back end."""
        backend = backend_attempt.backend
        self.backend = backend
        self.first_event_at: float | None = None
        self.answer_bytes = 0
        self._total_tokens = tokens.total if tokens else 0
        # A moved generation brings its KV cache and needs no prefill.
        self.reads_prompt = (
            tokens is not None and backend_attempt.resumption is None
        )
        self._unread_tokens = tokens.prompt if self.reads_prompt else 0
        backend.open_calls += 1
        backend.unread_tokens += self._unread_tokens
        backend.unreported_prompts += self._unread_tokens
        backend.open_tokens += self._total_tokens
        backend.unreported_tokens += self._total_tokens

    @property
    def answered(self) -> bool:
        """Whether any event of the answer has arrived."""
        return self.first_event_at is not None

    def record_event(self, now: float) -> None:
        """Record an event; the first one shows that the prefill is done."""
        if self.first_event_at is None:
            self.first_event_at = now
            self._release_prompt()

    def release(self) -> None:
        """Remove the call from the counters of its back end."""
        self._release_prompt()
        self.backend.open_calls -= 1
        self.backend.open_tokens -= self._total_tokens

    def _release_prompt(self) -> None:
        self.backend.unread_tokens -= self._unread_tokens
        self._unread_tokens = 0


@dataclass(frozen=True, slots=True)
class PlacementContext:
    """Inputs to the choice of a back end for one call.

    Attributes
    ----------
    failure_domain
        Failure domain of the entry.
    now
        Monotonic seconds.
    tokens
        None for calls to plain services.
    memory_tokens
        KV cache tokens of one engine, for engines that have not reported.
    objective
        Seconds within which the first event is due, 0 for no objective.
    prompt_rate
        Prompt tokens that an engine of the service prefills per second.
    token_seconds
        Mean seconds per decoded token, for engines that have not reported.
    """

    failure_domain: str
    now: float
    tokens: ReservedTokens | None = None
    memory_tokens: int = 0
    objective: float = 0
    prompt_rate: float = PROMPT_TOKENS_PER_SECOND
    token_seconds: float = TOKEN_SECONDS

    @property
    def prompt_seconds(self) -> float:
        """Seconds that an engine takes to prefill the call's prompt."""
        return self.tokens.prompt / self.prompt_rate


class Balancer(Protocol):
    """Policy that chooses among back ends; ``usable`` is never empty."""

    def choose(
        self, usable: Sequence[Backend], context: PlacementContext
    ) -> Backend:
        """Return the back end that gets the call."""


class LeastCostBalancer:
    """Chooses the back end with the lowest expected cost to the caller.

    Balancing by tokens instead of calls keeps few generations on each engine,
    so that fewer must be moved when an engine is taken away.  Back ends under
    suspicion are chosen only if there are no others.
    """

    def __init__(self, random: RandomSource) -> None:
        """Start with the random source that breaks ties."""
        self._random = random

    def choose(
        self, usable: Sequence[Backend], context: PlacementContext
    ) -> Backend:
        """Return the back end that gets the call."""
        healthy = [
            backend
            for backend in usable
            if backend.suspect_until <= context.now
        ]
        scored = [
            (_score(backend, context), backend)
            for backend in (healthy or usable)
        ]
        best = min(score for score, _backend in scored)
        tied = [
            backend
            for score, backend in scored
            if score <= best + _EQUAL_SECONDS
        ]
        return tied[int(self._random.random() * len(tied))]


def _score(backend: Backend, context: PlacementContext) -> float:
    if context.tokens is None:
        seconds = _service_seconds(backend)
    else:
        seconds = _engine_seconds(backend, context)
    if backend.record.failure_domain != context.failure_domain:
        seconds += _CROSS_DOMAIN_SECONDS
    return seconds


def _service_seconds(backend: Backend) -> float:
    slots = max(1, backend.record.slots)
    return _PLAIN_CALL_SECONDS * backend.open_calls / slots


def _engine_seconds(backend: Backend, context: PlacementContext) -> float:
    tokens = context.tokens
    state = backend.state
    token_seconds = context.token_seconds
    generating = backend.open_calls
    if state is not None:
        token_seconds = state.token_seconds or token_seconds
        generating = state.generating
    first_event_seconds = expected_first_event(backend, context)
    answer_seconds = first_event_seconds + tokens.answer * token_seconds
    added_delay = _DELAYED_SHARE * generating * context.prompt_seconds
    risk = _late_risk(first_event_seconds, context.objective)
    risk += _memory_risk(_memory_share(backend, context))
    return answer_seconds * (1 + _LOSS_WEIGHT * risk) + added_delay


def _late_risk(first_event_seconds: float, objective: float) -> float:
    """Return the risk that the first event is late."""
    if not objective:
        return 0
    return (first_event_seconds / objective) ** _LATE_EXPONENT


def _memory_risk(share: float) -> float:
    """Return the risk of a preemption, or of a cut when the engine leaves."""
    excess = max(0, share - _CROWDED_SHARE) / (_FULL_SHARE - _CROWDED_SHARE)
    return _LEAVE_RISK * share**2 + excess**2


def expected_first_event(backend: Backend, context: PlacementContext) -> float:
    """Return the expected seconds from a send to the first event."""
    return expected_wait(backend, context) + context.prompt_seconds


def expected_wait(backend: Backend, context: PlacementContext) -> float:
    """Return the expected seconds until an engine begins with a prompt.

    It does once the prompts before it are prefilled, and once the generations
    that run have freed memory for it and for those that wait.
    """
    backlog_seconds = backend.prefill_backlog / context.prompt_rate
    memory_seconds = _memory_wait_seconds(backend, context)
    waited = backend.state.waited if backend.state else 0
    return max(backlog_seconds, memory_seconds, waited)


def _memory_wait_seconds(backend: Backend, context: PlacementContext) -> float:
    state = backend.state
    if state is None or not state.total_tokens:
        return 0
    # Memory is allotted for the prompt when a generation begins, and grows
    # with its answer.
    missing = backend.reserved_tokens + context.tokens.prompt
    missing -= state.total_tokens
    token_seconds = state.token_seconds or context.token_seconds
    rate = max(
        state.freed_per_second - state.generating / token_seconds,
        _FREED_SHARE * state.total_tokens,
    )
    return max(0, missing) / rate


def _memory_share(backend: Backend, context: PlacementContext) -> float:
    """Return the share of memory that would be in use with the call."""
    total = context.memory_tokens
    if backend.state is not None and backend.state.total_tokens:
        total = backend.state.total_tokens
    return (backend.reserved_tokens + context.tokens.total) / max(1, total)
