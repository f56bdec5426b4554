"""Recent answer times of plain calls."""

from collections import OrderedDict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from .clock import Clock
from .directcalls import DirectCall

__all__ = ('AnswerTimes',)

_PERIOD_SECONDS = 10.0
_MAX_GROUPS = 4096

_Group = tuple[str, str]


@dataclass(slots=True)
class _GroupTimes:
    """Answer times of one route at one service.

    Attributes
    ----------
    began
        When the current period began, in monotonic seconds.
    longest, longest_before
        Longest answer time of the current period and of the one before; None
        without answers.
    open
        Starting times of the calls in progress, the oldest one first.
    """

    began: float
    longest: float | None = None
    longest_before: float | None = None
    open: dict[object, float] = field(default_factory=dict)

    def advance(self, now: float) -> None:
        """Begin a new period if the current one is over."""
        periods = int((now - self.began) // _PERIOD_SECONDS)
        if periods:
            self.longest_before = self.longest if periods == 1 else None
            self.longest = None
            self.began += periods * _PERIOD_SECONDS

    def record(self, started: float, now: float) -> None:
        """Record a call that ends now."""
        self.advance(now)
        self.longest = max(self.longest or 0, now - started)

    def list_seconds(self, now: float) -> list[float]:
        """Return the longest times of each period and of calls in progress."""
        oldest = next(iter(self.open.values()), None)
        age = None if oldest is None else now - oldest
        times = (self.longest, self.longest_before, age)
        return [seconds for seconds in times if seconds is not None]


class AnswerTimes:
    """Longest recent answer times, by route and service.

    Calls in progress count with their age: a back end that has stopped
    answering is not seen in the answers.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without calls."""
        self._clock = clock
        self._groups: OrderedDict[_Group, _GroupTimes] = OrderedDict()

    @contextmanager
    def measure(self, call: DirectCall) -> Iterator[None]:
        """Measure a call from here to the end of the block."""
        started = self._clock.monotonic()
        times = self._find_times(call, started)
        key = object()
        times.open[key] = started
        try:
            yield
        finally:
            times.record(times.open.pop(key), self._clock.monotonic())

    def find_longest(self, call: DirectCall) -> float | None:
        """Return the longest recent answer time of calls like this one.

        Returns
        -------
            Seconds, None if there were no such calls.
        """
        times = self._groups.get(_group(call))
        if times is None:
            return None
        now = self._clock.monotonic()
        times.advance(now)
        return max(times.list_seconds(now), default=None)

    def _find_times(self, call: DirectCall, now: float) -> _GroupTimes:
        group = _group(call)
        times = self._groups.setdefault(group, _GroupTimes(now))
        self._groups.move_to_end(group)
        if len(self._groups) > _MAX_GROUPS:
            self._groups.popitem(last=False)
        return times


def _group(call: DirectCall) -> _Group:
    return call.route.name, call.service
