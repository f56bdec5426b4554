"""Predicts the lengths of running generations from finished ones."""

import bisect
import math
from collections import OrderedDict
from dataclasses import dataclass

__all__ = ('HORIZONS', 'LengthForecast', 'LengthHistogram', 'LengthPredictor')

# Numbers of further tokens that a forecast covers.
HORIZONS = (32, 64, 128, 256, 512, 1024, 2048)

_FIRST_EDGE_TOKENS = 8
_EDGE_RATIO = 1.25
_LAST_EDGE_TOKENS = 100_000
_HALF_LIFE_OBSERVATIONS = 400
_REBUILD_OBSERVATIONS = 16
_MIN_OBSERVATIONS = 24
_PRIOR_MEAN_TOKENS = 400
_MAX_GROUPS = 1024

Group = tuple[str, ...]


def _make_edges() -> list[int]:
    edges = [0, _FIRST_EDGE_TOKENS]
    while edges[-1] < _LAST_EDGE_TOKENS:
        edges.append(int(edges[-1] * _EDGE_RATIO) + 1)
    return edges


# Boundaries of the histogram buckets, in tokens.
_EDGES = _make_edges()


@dataclass(frozen=True, slots=True)
class LengthForecast:
    """Forecast for one running generation.

    Attributes
    ----------
    alive
        Probability that it is still running after each of `HORIZONS` more
        tokens.
    remaining
        Expected number of tokens until its end.
    """

    alive: tuple[float, ...]
    remaining: float


class LengthHistogram:
    """Decaying histogram of output lengths in geometric buckets.

    A forecast is conditional on the tokens produced so far: with
    heavy-tailed lengths, the expected remainder rises with age. Forecasts
    are read from a table that is rebuilt after every few observations.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self._counts = [0.0 for _ in _EDGES]
        self._observations = 0
        self._forecasts: list[LengthForecast] = []

    @property
    def observations(self) -> int:
        """Number of lengths observed."""
        return self._observations

    def observe(self, length: int) -> None:
        """Add the length of a finished generation, in tokens."""
        self._observations += 1
        decay = 0.5 ** (1 / _HALF_LIFE_OBSERVATIONS)
        self._counts = [count * decay for count in self._counts]
        self._counts[bisect.bisect_left(_EDGES, length) - 1] += 1
        if (
            self._observations % _REBUILD_OBSERVATIONS == 0
            or self._observations == _MIN_OBSERVATIONS
        ):
            self._forecasts = []

    def predict(self, produced: int) -> LengthForecast:
        """Return the forecast for a generation with `produced` tokens."""
        if not self._forecasts:
            self._forecasts = self._build_forecasts()
        return self._forecasts[bisect.bisect_right(_EDGES, produced) - 1]

    def _build_forecasts(self) -> list[LengthForecast]:
        survival = self._sum_survival()
        return [self._forecast_from(edge, survival) for edge in _EDGES]

    def _sum_survival(self) -> list[float]:
        """Return the weight of all lengths beyond each edge."""
        survival = []
        weight = 0.0
        for count in reversed(self._counts):
            weight += count
            survival.append(weight)
        survival.reverse()
        return survival

    def _forecast_from(
        self, produced: int, survival: list[float]
    ) -> LengthForecast:
        surviving = _interpolate(produced, survival)
        if surviving <= 0:
            # Longer than any observed length: expect as many tokens again.
            return _exponential_forecast(max(produced, _FIRST_EDGE_TOKENS))
        alive = tuple(
            _interpolate(produced + ahead, survival) / surviving
            for ahead in HORIZONS
        )
        return LengthForecast(alive, self._sum_remaining(produced) / surviving)

    def _sum_remaining(self, produced: int) -> float:
        return sum(
            count * max(1, _midpoint(bucket) - produced)
            for bucket, count in enumerate(self._counts)
            if _midpoint(bucket) > produced
        )


class LengthPredictor:
    """Length histograms by group.

    A group with few observations falls back to the next coarser one.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self._histograms: OrderedDict[Group, LengthHistogram] = OrderedDict()
        self._prior = _exponential_forecast(_PRIOR_MEAN_TOKENS)

    def observe(self, group: Group, length: int) -> None:
        """Add a length in tokens to a group and to all coarser ones."""
        for size in range(len(group) + 1):
            prefix = group[:size]
            histogram = self._histograms.get(prefix)
            if histogram is None:
                histogram = self._histograms.setdefault(
                    prefix, LengthHistogram()
                )
            histogram.observe(length)
            self._histograms.move_to_end(prefix)
        # Callers' prompts determine the groups, so their number is bounded;
        # the least recently updated ones are dropped.
        while len(self._histograms) > _MAX_GROUPS:
            self._histograms.popitem(last=False)

    def predict(self, group: Group, produced: int) -> LengthForecast:
        """Return the forecast of the finest group with enough observations."""
        for size in range(len(group), -1, -1):
            histogram = self._histograms.get(group[:size])
            if (
                histogram is not None
                and histogram.observations >= _MIN_OBSERVATIONS
            ):
                return histogram.predict(produced)
        return self._prior


def _interpolate(length: float, survival: list[float]) -> float:
    """Return the weight beyond a length, linear between two edges."""
    bucket = bisect.bisect_right(_EDGES, length) - 1
    if bucket + 1 >= len(_EDGES):
        return survival[-1]
    low, high = _EDGES[bucket], _EDGES[bucket + 1]
    fraction = (length - low) / (high - low)
    return survival[bucket] + fraction * (
        survival[bucket + 1] - survival[bucket]
    )


def _exponential_forecast(mean: float) -> LengthForecast:
    return LengthForecast(
        tuple(math.exp(-ahead / mean) for ahead in HORIZONS), mean
    )


def _midpoint(bucket: int) -> float:
    if bucket + 1 >= len(_EDGES):
        return _EDGES[-1]
    return (_EDGES[bucket] + _EDGES[bucket + 1]) / 2
