"""Choice of a back end for a direct call, from a view that lags."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from .backendset import Backend
from .clock import RandomSource
from .directcalls import BackendAttempt
from .enginepace import PROMPT_TOKENS_A_SECOND, TOKEN_SECONDS

__all__ = (
    'Balancer',
    'ReservedTokens',
    'Reservation',
    'LeastCostBalancer',
    'PlacementContext',
)


# Scores are seconds that the choice may cost the caller.

# A call between failure domains takes two milliseconds longer and pays for its
# bytes: half a hundredth of what a stream on time is worth, against the tenth
# of a second of a busy engine.
_DISTANCE_SECONDS = 0.03
# Scores that differ by less are taken as equal and drawn by lot: entries that
# read the same reports must not all pick the same back end.
_EQUAL_SECONDS = 0.02
# Steps that read part of a prompt take twice as long, for all generations on
# that engine.
_DELAYED_SHARE = 0.5
# What an answer that is late or lost costs against the work on it.
_LOSS_WEIGHT = 5
# How steeply the chance of a late first event grows towards the objective.
_LATE_POWER = 4
# Memory is what engines run out of first.  Above the lower share a generation
# may preempt another one, which is then read again; at the upper one it does,
# as guesses of lengths are often too short.
_CROWDED_SHARE = 0.75
_FULL_SHARE = 1.1
# Chance that a generation on a full engine is cut when that engine leaves: its
# notice is long enough for copies of part of its memory only.
_LEAVE_RISK = 0.15
# A plain service that works on as many calls as it has slots queues the next;
# calls take about this long there.
_SERVICE_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class ReservedTokens:
    """Tokens that a generation may come to hold."""

    prompt: int
    answer: int

    @property
    def total(self) -> int:
        """Both together."""
        return self.prompt + self.answer


class Reservation:
    """A call's part in what its back end is reckoned to hold.

    Parameters
    ----------
    tokens
        None for calls of plain services.

    Attributes
    ----------
    first_event_at
        When the first event came in monotonic seconds, None before.
    reads_prompt
        Whether the back end reads a prompt for the call.
    """

    def __init__(
        self, backend_attempt: BackendAttempt, tokens: ReservedTokens | None
    ) -> None:
        """Count the call."""
        backend = backend_attempt.backend
        self.backend = backend
        self.first_event_at: float | None = None
        self._total = tokens.total if tokens else 0
        # The prompt of a moved generation need not be read again.
        self.reads_prompt = (
            tokens is not None and backend_attempt.resumption is None
        )
        self._unread = tokens.prompt if self.reads_prompt else 0
        backend.open_calls += 1
        backend.unread_tokens += self._unread
        backend.unreported_prompts += self._unread
        backend.open_tokens += self._total
        backend.unreported_tokens += self._total

    @property
    def answered(self) -> bool:
        """Whether any of the answer has come."""
        return self.first_event_at is not None

    def record_event(self, now: float) -> None:
        """Note an event; with the first one the prompt has been read."""
        if self.first_event_at is None:
            self.first_event_at = now
            self._give_back_prompt()

    def release(self) -> None:
        """Count the call no longer."""
        self._give_back_prompt()
        self.backend.open_calls -= 1
        self.backend.open_tokens -= self._total

    def _give_back_prompt(self) -> None:
        self.backend.unread_tokens -= self._unread
        self._unread = 0


@dataclass(frozen=True, slots=True)
class PlacementContext:
    """What a choice may look at.

    Attributes
    ----------
    failure_domain
        Where the entry stands.
    tokens
        None for calls of plain services.
    memory_tokens
        Memory of one engine, for engines that have not reported.
    objective
        Seconds within which the first event is due.
    reading_pace
        Prompt tokens that the service's engines read in a second.
    token_seconds
        What a token takes in the mean, for engines that have not reported.
    """

    failure_domain: str
    now: float
    tokens: ReservedTokens | None = None
    memory_tokens: int = 0
    objective: float = 0
    reading_pace: float = PROMPT_TOKENS_A_SECOND
    token_seconds: float = TOKEN_SECONDS


class Balancer(Protocol):
    """A way to choose; ``usable`` is never empty."""

    def choose(
        self, usable: Sequence[Backend], placing: PlacementContext
    ) -> Backend:
        """Return the back end that gets the call."""


class LeastCostBalancer:
    """The back end with the most room for what the call may come to hold.

    Spreading by tokens and not by calls keeps few generations on each engine,
    so that fewer have to be moved when one is taken away.
    """

    def __init__(self, random: RandomSource) -> None:
        """Keep the random source that breaks ties."""
        self._random = random

    def choose(
        self, usable: Sequence[Backend], placing: PlacementContext
    ) -> Backend:
        """Return the back end that gets the call."""
        sound = [each for each in usable if each.suspect_until <= placing.now]
        scored = [(_score(each, placing), each) for each in (sound or usable)]
        best = min(score for score, _each in scored)
        near = [
            each for score, each in scored if score <= best + _EQUAL_SECONDS
        ]
        return near[int(self._random.random() * len(near))]


def _score(backend: Backend, placing: PlacementContext) -> float:
    if placing.tokens is None:
        seconds = _service_seconds(backend)
    else:
        seconds = _engine_seconds(backend, placing)
    if backend.record.failure_domain != placing.failure_domain:
        seconds += _DISTANCE_SECONDS
    return seconds


def _service_seconds(backend: Backend) -> float:
    slots = max(1, backend.record.slots)
    return _SERVICE_SECONDS * backend.open_calls / slots


def _engine_seconds(backend: Backend, placing: PlacementContext) -> float:
    tokens = placing.tokens
    state = backend.state
    token_seconds = placing.token_seconds
    generating = backend.open_calls
    if state is not None:
        token_seconds = state.token_seconds or token_seconds
        generating = state.generating
    first = (backend.unread_ahead + tokens.prompt) / placing.reading_pace
    whole = first + tokens.answer * token_seconds
    delayed = _DELAYED_SHARE * generating * tokens.prompt / placing.reading_pace
    risk = _late_risk(first, placing.objective)
    risk += _memory_risk(_memory_share(backend, placing))
    return whole * (1 + _LOSS_WEIGHT * risk) + delayed


def _late_risk(first: float, objective: float) -> float:
    """Return the chance that the first event comes late."""
    if not objective:
        return 0
    return (first / objective) ** _LATE_POWER


def _memory_risk(share: float) -> float:
    """Return the chance that the generation is preempted, or not moved."""
    over = max(0, share - _CROWDED_SHARE) / (_FULL_SHARE - _CROWDED_SHARE)
    return _LEAVE_RISK * share**2 + over**2


def _memory_share(backend: Backend, placing: PlacementContext) -> float:
    """Return the share of memory that would be in use with the call."""
    booked = backend.open_tokens
    total = placing.memory_tokens
    state = backend.state
    if state is not None and state.total_tokens:
        total = state.total_tokens
        booked = max(booked, state.used_tokens + backend.unreported_tokens)
    return (booked + placing.tokens.total) / max(1, total)
