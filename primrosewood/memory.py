"""Tracks an engine's KV cache memory for generations of unknown length."""

import math
from dataclasses import dataclass

from .outputlengths import HORIZONS, LengthPredictor

__all__ = ('MemoryReservation', 'MemoryTracker')

_MIN_DEVIATIONS = 3.0
_MAX_DEVIATIONS = 4.0
_DEVIATIONS_PER_PREEMPTION = 0.1
_DEVIATIONS_PER_FINISH = 0.01
# A new generation is checked at the horizons that it reaches with at least
# this probability.
_MIN_SURVIVAL = 0.1
_REFRESH_TOKENS = 32
_PERMILLE = 1000


@dataclass(slots=True)
class MemoryReservation:
    """KV cache memory of one generation, now and at most, in tokens.

    Attributes
    ----------
    group
        Group for length prediction, coarsest part first.
    prompt, max_output_tokens
        Tokens of the prompt, and the maximum number of output tokens.
    produced
        Output tokens produced so far.
    """

    group: tuple[str, ...]
    prompt: int
    max_output_tokens: int
    produced: int = 0

    @property
    def held(self) -> int:
        """Tokens held now."""
        return self.prompt + self.produced


class MemoryTracker:
    """Estimates whether one more generation fits into an engine's memory.

    For each of a few horizons (numbers of tokens ahead), a generation that
    is still running then holds its current tokens plus the horizon, and one
    that has ended holds nothing. The sum over all generations has a mean and
    a standard deviation. A generation is admitted when the mean plus a
    multiple of the standard deviation stays within the capacity at every
    horizon that it may reach itself: it does not add to the demand after its
    end, so a short answer need not wait for the later growth of long ones.
    The multiple adapts: each preemption raises it, and each finished
    generation lowers it towards its initial value.

    Parameters
    ----------
    capacity
        The engine's memory in tokens; 0 when it is not known, in which case
        everything is admitted.
    lengths
        Predicts how long generations continue.
    """

    def __init__(self, capacity: int, lengths: LengthPredictor) -> None:
        """Start without generations."""
        self.capacity = capacity
        self._lengths = lengths
        self._reservations: dict[str, MemoryReservation] = {}
        self._deviations = _MIN_DEVIATIONS
        self._totals: list[_MemoryDemand] = []
        self._tokens_since_refresh = _REFRESH_TOKENS

    @property
    def deviations(self) -> float:
        """Standard deviations that are kept free above the mean."""
        return self._deviations

    @property
    def permille(self) -> int:
        """Demand at the first horizon, in thousandths of the capacity."""
        if not self.capacity:
            return 0
        demand = self._bound_demand(self._get_totals()[0])
        return int(demand * _PERMILLE / self.capacity)

    def fits(self, reservation: MemoryReservation) -> bool:
        """Return whether one more generation fits.

        An idle engine takes any generation: waiting would not free memory.
        """
        if not self.capacity or not self._reservations:
            return True
        alive = self._lengths.predict(
            reservation.group, reservation.produced
        ).alive
        return all(
            self._bound_demand(
                total.plus(_estimate_demand(reservation, index, alive))
            )
            <= self.capacity
            for index, total in enumerate(self._get_totals())
            if alive[index] >= _MIN_SURVIVAL or not index
        )

    def add(self, name: str, reservation: MemoryReservation) -> None:
        """Add a generation."""
        self._reservations[name] = reservation
        self._tokens_since_refresh = _REFRESH_TOKENS

    def grow(self, name: str, produced: int) -> None:
        """Record how many tokens a generation has produced."""
        reservation = self._reservations.get(name)
        if reservation is not None:
            self._tokens_since_refresh += produced - reservation.produced
            reservation.produced = produced

    def remove(self, name: str) -> None:
        """Remove a generation; unknown names are ignored."""
        self._reservations.pop(name, None)
        self._tokens_since_refresh = _REFRESH_TOKENS
        self._deviations = max(
            _MIN_DEVIATIONS, self._deviations - _DEVIATIONS_PER_FINISH
        )

    def record_preemptions(self, count: int) -> None:
        """Keep more memory free after preemptions at the engine."""
        deviations = self._deviations + count * _DEVIATIONS_PER_PREEMPTION
        self._deviations = min(_MAX_DEVIATIONS, deviations)

    def _bound_demand(self, demand: '_MemoryDemand') -> float:
        """Return an upper bound of a demand, in tokens."""
        deviation = math.sqrt(demand.variance)
        return min(demand.worst, demand.mean + self._deviations * deviation)

    def _get_totals(self) -> list['_MemoryDemand']:
        """Return the demand of all reservations at each horizon.

        It is recomputed after a reservation is added or removed and after every
        few tokens, so the time of most checks does not depend on their number.
        """
        if self._tokens_since_refresh >= _REFRESH_TOKENS:
            self._totals = self._sum_demands()
            self._tokens_since_refresh = 0
        return self._totals

    def _sum_demands(self) -> list['_MemoryDemand']:
        totals = [_MemoryDemand(0, 0, 0) for _ in HORIZONS]
        for reservation in self._reservations.values():
            forecast = self._lengths.predict(
                reservation.group, reservation.produced
            )
            for index, total in enumerate(totals):
                total.add(_estimate_demand(reservation, index, forecast.alive))
        return totals


@dataclass(slots=True)
class _MemoryDemand:
    """Memory at one horizon, in tokens; `worst` if nothing ends before."""

    worst: float
    mean: float
    variance: float

    def add(self, other: '_MemoryDemand') -> None:
        self.worst += other.worst
        self.mean += other.mean
        self.variance += other.variance

    def plus(self, other: '_MemoryDemand') -> '_MemoryDemand':
        return _MemoryDemand(
            self.worst + other.worst,
            self.mean + other.mean,
            self.variance + other.variance,
        )


def _estimate_demand(
    reservation: MemoryReservation, index: int, alive: tuple[float, ...]
) -> _MemoryDemand:
    max_held = reservation.prompt + reservation.max_output_tokens
    projected = min(max_held, reservation.held + HORIZONS[index])
    mean = alive[index] * projected
    return _MemoryDemand(projected, mean, mean * (projected - mean))
