"""When one call may try whether engines still crash.

Trials are rationed for all entries together: each is claimed by a conditional
write of the number of trials, and the time to the next one doubles.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

__all__ = ('CrashTrials',)

_FIRST_TRIAL_SECONDS = 60.0
_MAX_TRIAL_SECONDS = 3600.0
# Between two attempts of one entry to claim a trial.
_CLAIM_INTERVAL_SECONDS = 5.0


@dataclass(slots=True)
class _ServiceTrials:
    """Trials at one service; ``due_at`` is in monotonic seconds."""

    number: int
    due_at: float
    permitted: bool = False


@dataclass(slots=True)
class CrashTrials:
    """The trials of all services whose engines crash."""

    _trials: dict[str, _ServiceTrials] = field(default_factory=dict)

    @property
    def numbers(self) -> dict[str, int]:
        """Number of trials so far, by service."""
        return {name: trials.number for name, trials in self._trials.items()}

    def follow(self, services: Iterable[str], now: float) -> None:
        """Keep trials for exactly these services."""
        wanted = set(services)
        for name in self._trials.keys() - wanted:
            self._trials.pop(name)
        for name in wanted - self._trials.keys():
            self._trials[name] = _ServiceTrials(0, now + _FIRST_TRIAL_SECONDS)

    def update(self, numbers: Mapping[str, int], now: float) -> None:
        """Apply the numbers of trials that the key-value service holds."""
        for name, number in numbers.items():
            trials = self._trials.get(name)
            if trials is not None and number > trials.number:
                trials.number = number
                trials.due_at = now + _interval(number)

    def seconds_left(self, service: str, now: float) -> float:
        """Return the seconds until the next trial, at least some."""
        left = self._trials[service].due_at - now
        return max(_CLAIM_INTERVAL_SECONDS, left)

    def take_claim(self, service: str, now: float) -> bool:
        """Return whether this entry should claim a trial now."""
        trials = self._trials[service]
        if now < trials.due_at:
            return False
        trials.due_at = now + _CLAIM_INTERVAL_SECONDS
        return True

    def permit(self, service: str, now: float) -> None:
        """Let one call through, as this entry has claimed a trial."""
        trials = self._trials.get(service)
        if trials is not None:
            trials.number += 1
            trials.due_at = now + _interval(trials.number)
            trials.permitted = True

    def use_permit(self, service: str) -> bool:
        """Return whether a call is let through; the next one is not."""
        trials = self._trials[service]
        permitted = trials.permitted
        trials.permitted = False
        return permitted


def _interval(number: int) -> float:
    return min(_MAX_TRIAL_SECONDS, _FIRST_TRIAL_SECONDS * 2**number)
