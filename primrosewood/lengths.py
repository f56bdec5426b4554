"""Lengths of finished generations, and what they say of running ones."""

import bisect
import math
from collections import OrderedDict
from dataclasses import dataclass

__all__ = ('HORIZONS', 'LengthPredictor', 'LengthHistogram', 'LengthForecast')

HORIZONS = (32, 64, 128, 256, 512, 1024, 2048)

_FIRST_EDGE = 8
_EDGE_RATIO = 1.25
_LONGEST = 100_000
_HALF_LIFE = 400
_REFRESH_EVERY = 16
_ENOUGH = 24
_PRIOR_MEAN = 400
_MOST_GROUPS = 1024

Group = tuple[str, ...]


def _make_edges() -> list[int]:
    edges = [0, _FIRST_EDGE]
    while edges[-1] < _LONGEST:
        edges.append(int(edges[-1] * _EDGE_RATIO) + 1)
    return edges


_EDGES = _make_edges()


@dataclass(frozen=True, slots=True)
class LengthForecast:
    """What may become of one generation.

    Attributes
    ----------
    alive
        Chance that it still runs after each of `HORIZONS` more tokens.
    remaining
        Expected tokens until its end.
    """

    alive: tuple[float, ...]
    remaining: float


class LengthHistogram:
    """Decaying histogram of output lengths in geometric buckets.

    What counts for a running generation is how many more tokens it may
    produce given what it has, which rises with age when lengths are
    heavy-tailed; it is read from a table that is rebuilt after every few
    observations.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._counts = [0.0 for _ in _EDGES]
        self._seen = 0
        self._table: list[LengthForecast] = []

    @property
    def seen(self) -> int:
        """Number of lengths observed."""
        return self._seen

    def observe(self, length: int) -> None:
        """Add the length of a finished generation, in tokens."""
        self._seen += 1
        keep = 0.5 ** (1 / _HALF_LIFE)
        self._counts = [count * keep for count in self._counts]
        self._counts[bisect.bisect_left(_EDGES, length) - 1] += 1
        if self._seen % _REFRESH_EVERY == 0 or self._seen == _ENOUGH:
            self._table = []

    def predict(self, produced: int) -> LengthForecast:
        """Return the outlook of a generation that has produced so many."""
        if not self._table:
            self._table = self._build_table()
        return self._table[bisect.bisect_right(_EDGES, produced) - 1]

    def _build_table(self) -> list[LengthForecast]:
        survival = self._sum_tails()
        return [self._look_from(edge, survival) for edge in _EDGES]

    def _sum_tails(self) -> list[float]:
        """Return the weight of the lengths beyond each edge."""
        tails = []
        beyond = 0.0
        for count in reversed(self._counts):
            beyond += count
            tails.append(beyond)
        tails.reverse()
        return tails

    def _look_from(
        self, produced: int, survival: list[float]
    ) -> LengthForecast:
        here = _interpolate(produced, survival)
        if here <= 0:
            # Longer than anything seen: expect as much again.
            return _fading_outlook(max(produced, _FIRST_EDGE))
        alive = tuple(
            _interpolate(produced + ahead, survival) / here
            for ahead in HORIZONS
        )
        return LengthForecast(alive, self._mean_beyond(produced) / here)

    def _mean_beyond(self, produced: int) -> float:
        return sum(
            count * max(1, _middle(bucket) - produced)
            for bucket, count in enumerate(self._counts)
            if _middle(bucket) > produced
        )


class LengthPredictor:
    """Histograms by group, with coarser groups where one is thin."""

    def __init__(self) -> None:
        """Start without observations."""
        self._histograms: OrderedDict[Group, LengthHistogram] = OrderedDict()
        self._prior = _fading_outlook(_PRIOR_MEAN)

    def observe(self, group: Group, length: int) -> None:
        """Add a length to a group and to all coarser ones."""
        for size in range(len(group) + 1):
            name = group[:size]
            histogram = self._histograms.get(name)
            if histogram is None:
                histogram = self._histograms.setdefault(name, LengthHistogram())
            histogram.observe(length)
            self._histograms.move_to_end(name)
        # Groups come from callers' prompts, so their number is bounded.
        while len(self._histograms) > _MOST_GROUPS:
            self._histograms.popitem(last=False)

    def predict(self, group: Group, produced: int) -> LengthForecast:
        """Return the outlook by the finest group that has seen enough."""
        for size in range(len(group), -1, -1):
            histogram = self._histograms.get(group[:size])
            if histogram is not None and histogram.seen >= _ENOUGH:
                return histogram.predict(produced)
        return self._prior


def _interpolate(length: float, survival: list[float]) -> float:
    """Return the weight beyond a length that lies between two edges."""
    bucket = bisect.bisect_right(_EDGES, length) - 1
    if bucket + 1 >= len(_EDGES):
        return survival[-1]
    low, high = _EDGES[bucket], _EDGES[bucket + 1]
    share = (length - low) / (high - low)
    return survival[bucket] + share * (survival[bucket + 1] - survival[bucket])


def _fading_outlook(mean: float) -> LengthForecast:
    return LengthForecast(
        tuple(math.exp(-ahead / mean) for ahead in HORIZONS), mean
    )


def _middle(bucket: int) -> float:
    if bucket + 1 >= len(_EDGES):
        return _EDGES[-1]
    return (_EDGES[bucket] + _EDGES[bucket + 1]) / 2
