"""Streams of an engine that would pause too long while a prompt is prefilled.

An engine prefills prompts in chunks between the tokens of its generations, so
that the events of a stream come less often as long as a prompt is prefilled.
On a slow engine, or in a moment in which an engine is slow, a prompt makes all
of its streams late.
"""

from collections import OrderedDict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from .moves import EngineRun

__all__ = ('StreamPauses',)

# Time per event while a prompt is prefilled, as a multiple of the time without,
# assumed until both were observed.
_PREFILL_SLOWDOWN = 2.5
# Events that the assumption counts for.
_ASSUMED_EVENTS = 2
# Events before which the time per event is too uncertain to be used.
_MIN_EVENTS = 3
# Weight of earlier samples at each new one; there are 20 samples a second.
_DECAY = 0.975
# The same for the pace of the last 0.2 s.
_RECENT_DECAY = 0.75
# Estimated pauses above this share of the allowed one count as too long.
_SAFE_SHARE = 0.9
_MAX_TRACKED = 1024


@dataclass(slots=True)
class _TrackedStream:
    size: int
    allowed: float
    events: int = 0
    event_at: float = float('inf')


class _Pace:
    """Decaying mean of the time per event."""

    def __init__(self, decay: float, min_events: int) -> None:
        self.seconds: float = 0
        self.events: float = 0
        self._decay = decay
        self._min_events = min_events

    def observe(self, seconds: float, events: int) -> None:
        self.seconds = self.seconds * self._decay + seconds
        self.events = self.events * self._decay + events

    @property
    def mean(self) -> float:
        if self.events < self._min_events:
            return 0
        return self.seconds / self.events


class StreamPauses:
    """Follows the pace of one engine and the streams that have been on time."""

    def __init__(self) -> None:
        """Start without streams and samples."""
        self._strictest = float('inf')
        self._streams: OrderedDict[str, _TrackedStream] = OrderedDict()
        self._undisturbed = _Pace(_DECAY, _MIN_EVENTS)
        # As it is or would be with a prompt in prefill.
        self._recent = _Pace(_RECENT_DECAY, 1)
        self._prefilling = _Pace(_DECAY, _MIN_EVENTS)
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
    def any_delayed(self) -> bool:
        """Whether a prompt delays streams with the strictest limit now."""
        return self._is_delayed(self._strictest)

    @property
    def endangered_tokens(self) -> int:
        """Sizes of the streams that a prompt would delay beyond their limit.

        Streams that have already been delayed cannot become late once more.
        """
        return sum(
            stream.size
            for stream in self._streams.values()
            if self._is_delayed(stream.allowed)
        )

    def add(self, name: str, size: int, allowed: float) -> None:
        """Record a stream that is being sent to the engine.

        Parameters
        ----------
        name
            Name of the call.
        size
            Work that is lost if it is late, in answer tokens.
        allowed
            Most seconds between its events, 0 for no limit.
        """
        if not allowed:
            return
        self._strictest = min(self._strictest, allowed)
        self._streams[name] = _TrackedStream(size, allowed)
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
            gained = sum(
                events[name] - self._previous[name] for name in staying
            )
            elapsed = (now - self._observed_at) * len(staying)
            self._observe_pace(elapsed, gained, prefilling)
        self._forget_delayed(events, now)
        self._previous, self._observed_at = events, now
        self._was_prefilling = prefilling

    def _observe_pace(
        self, seconds: float, events: int, prefilling: bool
    ) -> None:
        if prefilling:
            self._prefilling.observe(seconds, events)
            self._recent.observe(seconds, events)
        else:
            self._undisturbed.observe(seconds, events)
            self._recent.observe(seconds * _PREFILL_SLOWDOWN, events)

    def _is_delayed(self, allowed: float) -> bool:
        """Return whether a prompt delays streams beyond a limit now."""
        pause = max(self.prefill_pause, self._recent.mean)
        return pause > _SAFE_SHARE * allowed

    def _forget_delayed(self, events: Mapping[str, int], now: float) -> None:
        for name, count in events.items():
            stream = self._streams.get(name)
            if stream is None:
                continue
            if count > stream.events:
                stream.events, stream.event_at = count, now
            elif now > stream.event_at + stream.allowed:
                self._streams.pop(name)
