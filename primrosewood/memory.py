"""Booking of an engine's memory for generations of unknown length."""

import math
from dataclasses import dataclass

from .lengths import HORIZONS, LengthPredictor

__all__ = ('Reservation', 'MemoryTracker')

_SPREADS = 3.0
_MOST_SPREADS = 4.0
_STEP_UP = 0.1
_STEP_DOWN = 0.01
_UNLIKELY = 0.1
_STALE_TOKENS = 32
_PERMILLE = 1000


@dataclass(slots=True)
class Reservation:
    """Memory that one generation holds and may come to hold, in tokens."""

    group: tuple[str, ...]
    prompt: int
    max_output_tokens: int
    produced: int = 0

    @property
    def held(self) -> int:
        """Tokens held now."""
        return self.prompt + self.produced


class MemoryTracker:
    """Pooled bookings of one engine.

    For each of a few horizons, a generation that still runs then holds what
    it holds now and the horizon more, and one that has ended holds nothing.
    The sum over all has a mean and a spread. A generation is admitted when
    the mean and some spreads stay under the capacity at every horizon that
    it may live to see itself: what happens after its end is not its doing,
    so a short answer is not kept waiting by what long ones may become. How
    many spreads are kept free is learned: a preemption raises the number,
    each finished generation lowers it towards its start.

    Parameters
    ----------
    capacity
        The engine's memory in tokens; 0 when it is not known, which admits
        everything.
    lengths
        Lengths seen at this endpoint.
    """

    def __init__(self, capacity: int, lengths: LengthPredictor) -> None:
        """Start with nothing booked."""
        self.capacity = capacity
        self._lengths = lengths
        self._reservations: dict[str, Reservation] = {}
        self._spreads = _SPREADS
        self._totals: list[_Hold] = []
        self._grown = _STALE_TOKENS

    @property
    def spreads(self) -> float:
        """Spreads that are kept free."""
        return self._spreads

    @property
    def permille(self) -> int:
        """Memory to reckon with soon in thousandths of the capacity."""
        if not self.capacity:
            return 0
        booked = self._reckon(self._read_totals()[0])
        return int(booked * _PERMILLE / self.capacity)

    def fits(self, reservation: Reservation) -> bool:
        """Tell whether one more generation fits.

        An engine that holds nothing takes any generation: waiting longer
        would not make more room.
        """
        if not self.capacity or not self._reservations:
            return True
        alive = self._lengths.predict(
            reservation.group, reservation.produced
        ).alive
        return all(
            self._reckon(total.plus(_hold(reservation, index, alive)))
            <= self.capacity
            for index, total in enumerate(self._read_totals())
            if alive[index] >= _UNLIKELY or not index
        )

    def add(self, name: str, reservation: Reservation) -> None:
        """Book a generation."""
        self._reservations[name] = reservation
        self._grown = _STALE_TOKENS

    def grow(self, name: str, produced: int) -> None:
        """Note how many tokens a generation has produced."""
        reservation = self._reservations.get(name)
        if reservation is not None:
            self._grown += produced - reservation.produced
            reservation.produced = produced

    def remove(self, name: str) -> None:
        """Release a generation; unknown names are no fault."""
        self._reservations.pop(name, None)
        self._grown = _STALE_TOKENS
        self._spreads = max(_SPREADS, self._spreads - _STEP_DOWN)

    def record_preemptions(self, count: int) -> None:
        """Keep more free after the engine ran out of memory."""
        raised = self._spreads + count * _STEP_UP
        self._spreads = min(_MOST_SPREADS, raised)

    def _reckon(self, hold: '_Hold') -> float:
        """Return the memory to reckon with."""
        spread = math.sqrt(hold.variance)
        return min(hold.worst, hold.mean + self._spreads * spread)

    def _read_totals(self) -> list['_Hold']:
        """Return the holds of all bookings at each horizon.

        They are summed anew after a change of the bookings, or after some
        tokens; each admission then costs the same however many there are.
        """
        if self._grown >= _STALE_TOKENS:
            self._totals = self._sum_holds()
            self._grown = 0
        return self._totals

    def _sum_holds(self) -> list['_Hold']:
        totals = [_Hold(0, 0, 0) for _ in HORIZONS]
        for reservation in self._reservations.values():
            outlook = self._lengths.predict(
                reservation.group, reservation.produced
            )
            for index, total in enumerate(totals):
                total.add(_hold(reservation, index, outlook.alive))
        return totals


@dataclass(slots=True)
class _Hold:
    """Memory at one horizon, in tokens."""

    worst: float
    mean: float
    variance: float

    def add(self, other: '_Hold') -> None:
        self.worst += other.worst
        self.mean += other.mean
        self.variance += other.variance

    def plus(self, other: '_Hold') -> '_Hold':
        return _Hold(
            self.worst + other.worst,
            self.mean + other.mean,
            self.variance + other.variance,
        )


def _hold(
    reservation: Reservation, index: int, alive: tuple[float, ...]
) -> _Hold:
    most = reservation.prompt + reservation.max_output_tokens
    then = min(most, reservation.held + HORIZONS[index])
    mean = alive[index] * then
    return _Hold(then, mean, mean * (then - mean))
