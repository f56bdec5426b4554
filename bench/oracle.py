"""The limit: an admission that knows every length."""

import math

from primrosewood.admission import Admission
from primrosewood.clock import Clock
from primrosewood.lengths import HORIZONS, LengthForecast, LengthPredictor
from primrosewood.memory import MemoryTracker, Reservation
from primrosewood.warmup import ConcurrencyTargets

_SPARE = 0.01


class OracleLengths(LengthPredictor):
    """Reads each length from the kind of request, where the bench puts it."""

    def predict(self, group: tuple[str, ...], produced: int) -> LengthForecast:
        """Return the true remaining length."""
        left = max(0, int(group[0]) - produced)
        alive = tuple(float(left > ahead) for ahead in HORIZONS)
        return LengthForecast(alive, left)


class OracleMemory(MemoryTracker):
    """Admits when the true peak of memory stays under the capacity."""

    def fits(self, reservation: Reservation) -> bool:
        """Tell whether no step until the last end runs out of memory."""
        streams = [*self._reservations.values(), reservation]
        if len(streams) == 1:
            return True
        left = [
            (self._lengths.predict(each.group, each.produced).remaining, each)
            for each in streams
        ]
        left.sort(key=lambda pair: -pair[0])
        held = 0
        for count, (steps, each) in enumerate(left, start=1):
            held += each.held
            if held + count * steps > self.capacity * (1 - _SPARE):
                return False
        return True


class OracleAdmission(Admission):
    """The system's admission with the oracle's memory book."""

    def __init__(
        self,
        clock: Clock,
        targets: ConcurrencyTargets,
        queue_length: int,
        capacity: int,
    ) -> None:
        """Replace lengths and memory by those that know."""
        super().__init__(clock, targets, queue_length, capacity)
        self.lengths = OracleLengths()
        self.memory = OracleMemory(capacity, self.lengths)


def is_oracle(admission: Admission | None) -> bool:
    """Tell whether an admission knows the lengths."""
    return isinstance(admission, OracleAdmission)


def percentile(numbers: list[float], share: float) -> float:
    """Return a percentile by the nearest rank, 0 for no numbers."""
    if not numbers:
        return 0.0
    ordered = sorted(numbers)
    rank = max(0, math.ceil(share * len(ordered)) - 1)
    return ordered[rank]
