"""Choice of a back end for a direct call, from a view that lags."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from .backendset import Backend
from .clock import RandomSource
from .directcalls import Leg
from .enginepace import PROMPT_TOKENS_A_SECOND

__all__ = (
    'Balancer',
    'BookedTokens',
    'Booking',
    'LeastPressed',
    'Placing',
)


# Scores are seconds that the choice may cost the caller.

# A call between failure domains takes two milliseconds longer and pays for its
# bytes: half a hundredth of what a stream on time is worth, against the tenth
# of a second of a busy engine.
_DISTANCE_SECONDS = 0.03
# Scores that differ by less are taken as equal and drawn by lot: entries that
# read the same reports must not all pick the same back end.
_EQUAL_SECONDS = 0.02
# A generation beside another one slows each of its steps.
_NEIGHBOUR_SECONDS = 0.02
# Memory is what engines run out of first: beyond this share a generation may
# preempt another one, which then is read again.
_FULL_SHARE = 0.85
_MEMORY_SECONDS = 0.3
_PREEMPTION_SECONDS = 5.0
# A plain service that works on as many calls as it has slots queues the next;
# calls take about this long there.
_SERVICE_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class BookedTokens:
    """Tokens that a generation may come to hold."""

    prompt: int
    answer: int

    @property
    def total(self) -> int:
        """Both together."""
        return self.prompt + self.answer


class Booking:
    """A call's part in what its back end is reckoned to hold.

    Parameters
    ----------
    tokens
        None for calls of plain services.

    Attributes
    ----------
    answered
        Whether any of the answer has come.
    """

    def __init__(self, leg: Leg, tokens: BookedTokens | None) -> None:
        """Count the call."""
        backend = leg.backend
        self.backend = backend
        self.answered = False
        self._total = tokens.total if tokens else 0
        # The prompt of a moved generation need not be read again.
        fresh = tokens is not None and leg.resumption is None
        self._unread = tokens.prompt if fresh else 0
        backend.open_calls += 1
        backend.unread_tokens += self._unread
        backend.unreported_prompts += self._unread
        backend.open_tokens += self._total
        backend.unreported_tokens += self._total

    def note_first_event(self) -> None:
        """Note that the prompt has been read."""
        self.answered = True
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
class Placing:
    """What a choice may look at.

    Attributes
    ----------
    failure_domain
        Where the entry stands.
    tokens
        None for calls of plain services.
    memory_tokens
        Memory of one engine, for engines that have not reported.
    mean_prompt
        Tokens of a prompt in the mean, for those that are only counted.
    """

    failure_domain: str
    now: float
    tokens: BookedTokens | None = None
    memory_tokens: int = 0
    mean_prompt: float = 0


class Balancer(Protocol):
    """A way to choose; ``usable`` is never empty."""

    def choose(self, usable: Sequence[Backend], placing: Placing) -> Backend:
        """Return the back end that gets the call."""


class LeastPressed:
    """The back end with the most room for what the call may come to hold.

    Spreading by tokens and not by calls keeps few generations on each engine,
    so that fewer have to be moved when one is taken away.
    """

    def __init__(self, random: RandomSource) -> None:
        """Keep the random source that breaks ties."""
        self._random = random

    def choose(self, usable: Sequence[Backend], placing: Placing) -> Backend:
        """Return the back end that gets the call."""
        sound = [each for each in usable if each.suspect_until <= placing.now]
        scored = [(_score(each, placing), each) for each in (sound or usable)]
        best = min(score for score, _each in scored)
        near = [
            each for score, each in scored if score <= best + _EQUAL_SECONDS
        ]
        return near[int(self._random.random() * len(near))]


def _score(backend: Backend, placing: Placing) -> float:
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


def _engine_seconds(backend: Backend, placing: Placing) -> float:
    unread = backend.unread_tokens
    running = backend.open_calls
    state = backend.state
    if state is not None:
        reported = state.queued * placing.mean_prompt
        unread = max(unread, reported + backend.unreported_prompts)
        running = max(running, state.running)
    memory = _memory_share(backend, placing)
    return (
        unread / PROMPT_TOKENS_A_SECOND
        + running * _NEIGHBOUR_SECONDS
        + memory * _MEMORY_SECONDS
        + max(0, memory - _FULL_SHARE) * _PREEMPTION_SECONDS
    )


def _memory_share(backend: Backend, placing: Placing) -> float:
    """Return the share of memory that would be in use with the call."""
    booked = backend.open_tokens
    total = placing.memory_tokens
    state = backend.state
    if state is not None and state.total_tokens:
        total = state.total_tokens
        booked = max(booked, state.used_tokens + backend.unreported_tokens)
    return (booked + placing.tokens.total) / max(1, total)
