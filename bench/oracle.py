"""Upper bound for admission: an oracle that knows every answer length."""

import math

from primrosewood.admission import Admission
from primrosewood.clock import Clock
from primrosewood.memory import MemoryReservation, MemoryTracker
from primrosewood.outputlengths import HORIZONS, LengthForecast, LengthPredictor
from primrosewood.warmup import ConcurrencyTargets

_RESERVE_SHARE = 0.01


class OracleLengthPredictor(LengthPredictor):
    """Reads the answer length from the kind of request.

    `policies.OracleEndpoint` sets the kind to the length.
    """

    def predict(self, group: tuple[str, ...], produced: int) -> LengthForecast:
        """Return the true remaining length."""
        remaining = max(0, int(group[0]) - produced)
        alive = tuple(float(remaining > horizon) for horizon in HORIZONS)
        return LengthForecast(alive, remaining)


class OracleMemoryTracker(MemoryTracker):
    """Admits a generation if the true peak of memory stays below capacity."""

    def fits(self, reservation: MemoryReservation) -> bool:
        """Return whether memory suffices at each step until all have ended."""
        streams = [*self._reservations.values(), reservation]
        if len(streams) == 1:
            return True
        longest_first = [
            (self._lengths.predict(each.group, each.produced).remaining, each)
            for each in streams
        ]
        longest_first.sort(key=lambda pair: -pair[0])
        held_tokens = 0
        # When a stream ends, only the streams with at least as many tokens left
        # still run, and each of them has grown by as many tokens.
        for stream_count, (remaining_tokens, each) in enumerate(
            longest_first, start=1
        ):
            held_tokens += each.held
            if held_tokens + stream_count * remaining_tokens > self.capacity * (
                1 - _RESERVE_SHARE
            ):
                return False
        return True


class OracleAdmission(Admission):
    """Admission that uses the oracle for answer lengths and memory."""

    def __init__(
        self,
        clock: Clock,
        targets: ConcurrencyTargets,
        queue_length: int,
        capacity: int,
    ) -> None:
        """Replace the length predictor and memory tracker by the oracle's."""
        super().__init__(clock, targets, queue_length, capacity)
        self.lengths = OracleLengthPredictor()
        self.memory = OracleMemoryTracker(capacity, self.lengths)


def is_oracle(admission: Admission | None) -> bool:
    """Return whether an admission is the oracle's."""
    return isinstance(admission, OracleAdmission)


def percentile(samples: list[float], share: float) -> float:
    """Return a percentile by the nearest rank, 0 without samples."""
    if not samples:
        return 0.0
    ordered = sorted(samples)
    rank = max(0, math.ceil(share * len(ordered)) - 1)
    return ordered[rank]
