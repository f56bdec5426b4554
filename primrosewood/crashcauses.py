"""What explains the ends of back ends."""

from bisect import bisect_left, bisect_right
from collections import Counter
from collections.abc import Collection, Hashable, Iterable, Sequence
from dataclasses import dataclass, field

from .crashes import BlamedCall, Crash
from .requestmarks import identifies_content, identifies_request

__all__ = ('Cause', 'SeenCrash', 'Sighting', 'find_causes', 'number_moments')

# Ends after which calls are refused, and how many of them must be certain.
_MIN_CRASHES = 3
_MIN_CERTAIN_CRASHES = 2
# Back ends that end together, as a failure domain is lost, count as one.
_MOMENT_SECONDS = 0.3
# A call explains the ends of a moment if it was under way at half of them.
_MAX_ENDS_PER_CARRIER = 2
_MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class Cause:
    """Marks that together explain several ends.

    Attributes
    ----------
    organisations
        Only calls of these are refused, empty for all.  Callers choose what
        they send; none may get another's calls refused.
    certain
        Whether enough of the ends are certain; if not, it holds until it is
        known whether the last one is.
    moments
        Number of the ends, where those of one moment count once.
    """

    service: str
    parts: frozenset[str]
    organisations: frozenset[str]
    certain: bool = field(default=True, compare=False)
    moments: int = field(default=_MIN_CRASHES, compare=False)
    crashes: tuple[Crash, ...] = field(default=(), compare=False)

    def matches(self, organisation: str, marks: Collection[str]) -> bool:
        """Return whether a call of the service would end a back end."""
        concerned = not self.organisations or organisation in self.organisations
        return concerned and self.parts.issubset(marks)


@dataclass(slots=True)
class SeenCrash:
    """An end of a back end, and when it was in monotonic seconds."""

    crash: Crash
    seen_at: float
    suspects: frozenset[str] = field(init=False)

    def __post_init__(self) -> None:
        """Collect its suspects."""
        self.replace(self.crash)

    def replace(self, crash: Crash) -> None:
        """Replace the record by one that says more."""
        self.crash = crash
        self.suspects = crash.suspects

    def began_after(self, ended_at: float, calls: Iterable[BlamedCall]) -> bool:
        """Return whether calls were sent after another back end had ended."""
        shortest = min(call.milliseconds for call in calls)
        return self.seen_at - shortest / _MS_PER_SECOND >= ended_at


@dataclass(frozen=True, slots=True)
class Sighting:
    """The calls with one mark that were under way at one end."""

    seen: SeenCrash
    calls: tuple[BlamedCall, ...]

    @property
    def suspects(self) -> frozenset[str]:
        """Suspects that all of the calls have."""
        common = _intersect(frozenset(call.marks) for call in self.calls)
        return common - self.seen.crash.cleared

    @property
    def other_contents(self) -> set[str]:
        """Contents of the other calls that were under way."""
        own = {mark for call in self.calls for mark in call.marks}
        return {
            mark
            for mark in self.seen.suspects - own
            if identifies_content(mark)
        }

    @property
    def organisations(self) -> frozenset[str]:
        """Whose calls they are."""
        return frozenset(call.organisation for call in self.calls)


def find_causes(seen: list[SeenCrash], ended_at: Sequence[float]) -> set[Cause]:
    """Return what explains the ends of back ends of one service.

    Parameters
    ----------
    ended_at
        When back ends of all services ended, ascending.
    """
    ends = Counter(mark for each in seen for mark in each.suspects)
    frequent = {mark for mark, count in ends.items() if count >= _MIN_CRASHES}
    causes = set()
    for mark in frequent:
        sightings = [
            Sighting(each, each.crash.with_mark(mark))
            for each in seen
            if mark in each.suspects
        ]
        cause = _make_cause(_drop_unexplained(sightings, ended_at))
        if cause is not None:
            causes.add(cause)
    return causes


def _drop_unexplained(
    sightings: list[Sighting], ended_at: Sequence[float]
) -> list[Sighting]:
    """Drop the ends beside which most others cannot have the same cause.

    Where a failure domain is lost, a call was under way at some of its servers.
    """
    carriers = [each.seen.seen_at for each in sightings]
    return [
        each
        for each in sightings
        if _count_around(ended_at, each.seen.seen_at)
        <= _MAX_ENDS_PER_CARRIER * _count_around(carriers, each.seen.seen_at)
    ]


def _count_around(times: Sequence[float], at: float) -> int:
    """Return how many ascending times are within a moment of one."""
    since = bisect_left(times, at - _MOMENT_SECONDS)
    return bisect_right(times, at + _MOMENT_SECONDS) - since


def number_moments(sightings: list[Sighting]) -> list[int]:
    """Return for each of several ends the number of the moment it was at."""
    numbers: list[int] = []
    number = 0
    since = float('-inf')
    last = since
    for each in sightings:
        seen = each.seen
        apart = seen.seen_at >= since + _MOMENT_SECONDS
        if apart or seen.began_after(last, each.calls):
            since = seen.seen_at
            number += 1
        last = seen.seen_at
        numbers.append(number)
    return numbers


def _make_cause(sightings: list[Sighting]) -> Cause | None:
    """Return what ends that share a suspect have in common, if it explains."""
    if not sightings:
        return None
    suspects = _intersect(each.suspects for each in sightings)
    moments = number_moments(sightings)
    numbers = _number_ends(sightings, moments, suspects)
    certain = _count_certain(numbers, sightings)
    too_few = len(set(numbers)) < _MIN_CRASHES
    if too_few or certain < _MIN_CERTAIN_CRASHES:
        return None
    return Cause(
        sightings[0].seen.crash.service,
        suspects,
        _intersect(each.organisations for each in sightings),
        certain >= _MIN_CRASHES,
        _count_certain(moments, sightings),
        tuple(each.seen.crash for each in sightings),
    )


def _number_ends(
    sightings: Sequence[Sighting],
    moments: Sequence[int],
    suspects: Iterable[str],
) -> list[tuple[int, int]]:
    """Return a number for each end; those that count once have the same one.

    Several ends of one moment under one request are a coincidence where they
    were under another one as well.
    """
    rivals = Counter(
        (moment, mark)
        for moment, each in zip(moments, sightings, strict=True)
        for mark in each.other_contents
    )
    shared = {moment for (moment, _mark), count in rivals.items() if count > 1}
    is_one_request = any(map(identifies_request, suspects))
    return [
        (moment, 0 if moment in shared or not is_one_request else number)
        for number, moment in enumerate(moments)
    ]


def _count_certain(
    numbers: Iterable[Hashable], sightings: Iterable[Sighting]
) -> int:
    """Return how many different numbers certain ends have."""
    return len(
        {
            number
            for number, each in zip(numbers, sightings, strict=True)
            if each.seen.crash.certain
        }
    )


def _intersect(sets: Iterable[frozenset[str]]) -> frozenset[str]:
    return frozenset.intersection(*sets)
