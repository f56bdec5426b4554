"""Streams of an engine that would pause too long while a prompt is prefilled.

An engine prefills prompts in chunks between the tokens of its generations, so
that the events of a stream come less often as long as a prompt is prefilled.
On a slow engine every prompt makes all of its streams late.
"""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from .moves import EngineRun

__all__ = ('StreamPauses', 'is_pause_exceeded')

# Time per event while a prompt is prefilled, as a multiple of the time without,
# assumed until both were observed.
_PREFILL_SLOWDOWN = 2.5
# Events that the assumption counts for.
_ASSUMED_EVENTS = 2
# Events before which the time per event is too uncertain to be used.
_MIN_EVENTS = 3
# Weight of earlier samples at each new one; there are 20 samples a second.
_DECAY = 0.975
# Estimated pauses above this share of the allowed one count as too long.
_SAFE_SHARE = 0.9
_MAX_TRACKED = 1024


def is_pause_exceeded(pause: float, allowed: float) -> bool:
    """Return whether an expected pause risks to be too long.

    Parameters
    ----------
    pause
        Expected seconds between two events, 0 if unknown.
    allowed
        Most seconds for a stream on time, 0 for no limit.
    """
    return 0 < allowed * _SAFE_SHARE < pause


@dataclass(frozen=True, slots=True)
class _TrackedStream:
    answer_tokens: int
    allowed: float


class _Pace:
    """Decaying mean of the time per event."""

    def __init__(self) -> None:
        self.seconds: float = 0
        self.events: float = 0

    def observe(self, seconds: float, events: int) -> None:
        self.seconds = self.seconds * _DECAY + seconds
        self.events = self.events * _DECAY + events

    @property
    def mean(self) -> float:
        if self.events < _MIN_EVENTS:
            return 0
        return self.seconds / self.events


class StreamPauses:
    """Follows the pace of one engine and the streams that have been on time."""

    def __init__(self) -> None:
        """Start without streams and samples."""
        self._strictest = float('inf')
        self._streams: OrderedDict[str, _TrackedStream] = OrderedDict()
        self._undisturbed = _Pace()
        self._prefilling = _Pace()
        self._previous: dict[str, int] = {}
        self._was_prefilling = False
        self._observed_at: float = 0

    @property
    def prefill_pause(self) -> float:
        """Seconds per event while a prompt is prefilled, 0 if unknown."""
        assumed = self._undisturbed.mean * _PREFILL_SLOWDOWN
        if not assumed:
            return self._prefilling.mean
        seconds = self._prefilling.seconds + assumed * _ASSUMED_EVENTS
        return seconds / (self._prefilling.events + _ASSUMED_EVENTS)

    @property
    def delaying_pause(self) -> float:
        """The same, 0 unless it would delay one of the streams seen so far."""
        pause = self.prefill_pause
        return pause if is_pause_exceeded(pause, self._strictest) else 0

    @property
    def endangered_tokens(self) -> int:
        """Expected answer tokens of the streams that a prompt would delay.

        Streams that have already been delayed cannot become late once more.
        """
        pause = self.prefill_pause
        return sum(
            stream.answer_tokens
            for stream in self._streams.values()
            if is_pause_exceeded(pause, stream.allowed)
        )

    def add(self, name: str, answer_tokens: int, allowed: float) -> None:
        """Record a stream that is being sent to the engine.

        Parameters
        ----------
        name
            Name of the call.
        answer_tokens
            Expected length of the answer.
        allowed
            Most seconds between its events, 0 for no limit.
        """
        if not allowed:
            return
        self._strictest = min(self._strictest, allowed)
        self._streams[name] = _TrackedStream(answer_tokens, allowed)
        if len(self._streams) > _MAX_TRACKED:
            self._streams.popitem(last=False)

    def observe(
        self, runs: Sequence[EngineRun], unread_tokens: int, now: float
    ) -> None:
        """Update the estimates from a sample of the running generations.

        Parameters
        ----------
        runs
            Generations that have produced an event.
        unread_tokens
            Prompt tokens whose prefill has not finished.
        now
            When the sample was taken, in monotonic seconds.
        """
        events = {run.name: run.events for run in runs}
        staying = [name for name in events if name in self._previous]
        for ended in self._previous.keys() - events.keys():
            self._streams.pop(ended, None)
        prefilling = unread_tokens > 0
        if staying and prefilling == self._was_prefilling:
            pace = self._prefilling if prefilling else self._undisturbed
            gained = sum(
                events[name] - self._previous[name] for name in staying
            )
            pace.observe((now - self._observed_at) * len(staying), gained)
        if prefilling and self._was_prefilling:
            self._forget_delayed(staying)
        self._previous, self._observed_at = events, now
        self._was_prefilling = prefilling

    def _forget_delayed(self, names: Sequence[str]) -> None:
        pause = self.prefill_pause
        for name in names:
            stream = self._streams.get(name)
            if stream and is_pause_exceeded(pause, stream.allowed):
                self._streams.pop(name)
