"""One roll-out of a new version of a service's engines, as an entry sees it.

New engines run beside the old ones. They get a small share of the calls until
the time comes to take over; then their share grows in steps, and the old
engines lose their generations to them. A fault that the evidence shows ends the
roll-out at any moment, and the new engines get nothing more.
"""

import enum
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from .backendstate import Backend
from .rolloutevidence import (
    Evidence,
    RecentEvidence,
    Tallies,
    find_fault,
    is_suspicious,
)

__all__ = ('Rollout', 'RolloutOrder', 'RolloutState', 'RolloutStatus')

# Share of the calls that the new version gets while it is tried. Operators
# allow a bad version a tenth of all requests; half of it leaves room for moves
# of generations, and for entries that count differently.
_TRIAL_SHARE = 0.05
# Part of the given time, within bounds, that is kept for the take-over: the
# steps, the moves of generations off the old engines, and the decision.
_TAKEOVER_SHARE = 0.4
_MIN_TAKEOVER_SECONDS = 4.0
_MAX_TAKEOVER_SECONDS = 8.0
# The take-over waits this much longer whenever new back ends are missing.
_POSTPONE_SECONDS = 0.5
# Shares during the take-over, each with the seconds after which it applies. At
# the last one the old engines get no more calls.
_TAKEOVER_STEPS = ((0.0, 0.25), (0.6, 0.5), (1.2, 1.0))


class RolloutState(enum.StrEnum):
    """Progress of a roll-out, as operators read it."""

    in_progress = 'in_progress'
    completed = 'completed'
    rolled_back = 'rolled_back'


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operators' order to move a service to another version.

    Attributes
    ----------
    seconds
        Time within which the roll-out is to be completed.
    revision
        Store revision of the order; a newer order replaces an older one.
    """

    service: str
    version: str
    seconds: float
    revision: int


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """What the system has written on the progress of a roll-out.

    Attributes
    ----------
    revision
        Store revision of the status, 0 if there is none yet.
    """

    version: str = ''
    state: RolloutState = RolloutState.in_progress
    revision: int = 0

    def answers(self, order: RolloutOrder) -> bool:
        """Return whether the status was written for an order."""
        return self.revision > order.revision and self.version == order.version


class Rollout:
    """State of one order.

    Parameters
    ----------
    draw
        Random number in [0, 1), so that entries do not all send their first
        call to the new version at the same moment.

    Attributes
    ----------
    evidence
        Outcomes of calls during the roll-out.
    decided
        The decision in force, None while there is none.
    fault
        Why this entry believes that the new version is bad, empty if it does
        not; never taken back.
    """

    def __init__(self, order: RolloutOrder, draw: float, now: float) -> None:
        """Begin to carry out an order."""
        self.order = order
        self.evidence = Evidence()
        self.decided: RolloutState | None = None
        self.fault = ''
        self._recent = RecentEvidence()
        self._recent_sums: Tallies = {}
        self._domains: Mapping[str, str] = {}
        self._began_at = now
        self._takes_over_at = now + _find_trial_seconds(order.seconds)
        self._credit = draw

    @property
    def is_rejected(self) -> bool:
        """Whether the new version may get no calls any more."""
        if self.decided is None:
            return bool(self.fault)
        return self.decided == RolloutState.rolled_back

    @property
    def takeover_at(self) -> float:
        """When the new version begins to take over, in monotonic seconds."""
        return self._takes_over_at

    @property
    def full_at(self) -> float:
        """When the old engines get no more calls, in monotonic seconds."""
        return self.takeover_at + _TAKEOVER_STEPS[-1][0]

    @property
    def due_at(self) -> float:
        """When it is to be completed, in monotonic seconds."""
        return self._began_at + self.order.seconds

    def is_new(self, backend: Backend) -> bool:
        """Return whether a back end has the new version, or may have it.

        A back end that has only announced itself states no version.
        """
        announced = backend.announced_at is not None
        return announced or backend.record.version == self.order.version

    def share(self, now: float) -> float:
        """Return the share of calls that the new version may get."""
        if self.is_rejected:
            return 0
        if self.decided == RolloutState.completed:
            return 1
        shares = [
            share
            for seconds, share in _TAKEOVER_STEPS
            if now >= self.takeover_at + seconds
        ]
        return shares[-1] if shares else _TRIAL_SHARE

    def postpone_takeover(self, now: float) -> None:
        """Go on with the trial, as there are too few new back ends."""
        self._takes_over_at = max(self._takes_over_at, now + _POSTPONE_SECONDS)

    def has_taken_over(self, now: float) -> bool:
        """Return whether the old engines get no more calls."""
        return self.share(now) >= 1

    def select(
        self,
        backends: Sequence[Backend],
        unavailable: Sequence[Backend],
        now: float,
    ) -> list[Backend]:
        """Return the back ends among which one call may choose.

        A service whose old back ends are all gone is left to the new ones,
        unless these are known to be bad.

        Parameters
        ----------
        backends
            Back ends that take the call now.
        unavailable
            Back ends that will take calls again, but not now.
        now
            Monotonic seconds.
        """
        new = [backend for backend in backends if self.is_new(backend)]
        old = [backend for backend in backends if not self.is_new(backend)]
        if self.is_rejected:
            return old
        self._credit = min(1.0, self._credit + self.share(now))
        wants_new = self._credit >= 1
        if wants_new and new:
            self._credit -= 1
            return new
        if old or not all(map(self.is_new, unavailable)):
            return old
        return new

    def may_receive(self, backend: Backend, now: float) -> bool:
        """Return whether generations may be moved to a back end."""
        return self.is_new(backend) == self.has_taken_over(now)

    def judge(self, now: float, domains: Mapping[str, str]) -> bool:
        """Weigh the evidence; return whether a fault has just been found.

        Parameters
        ----------
        domains
            Failure domains of engines, by their names.
        """
        if self.fault or self.decided is not None:
            return False
        self._domains = domains
        total = self.evidence.sum(now)
        self._recent_sums = self._recent.update(total, now)
        self.fault = find_fault(total, domains) or find_fault(
            self._recent_sums, domains
        )
        return bool(self.fault)

    def is_suspicious(self) -> bool:
        """Return whether the last judgement speaks for a longer trial."""
        return is_suspicious(self._recent_sums, self._domains)

    def suspect(self, fault: str) -> bool:
        """Believe another entry's fault; return whether that is news."""
        if self.fault or self.decided is not None:
            return False
        self.fault = fault
        return bool(fault)

    def adopt(self, status: RolloutStatus) -> bool:
        """Adopt a decision that was written; return whether it is news."""
        if not status.answers(self.order) or self.decided is not None:
            return False
        if status.state == RolloutState.in_progress:
            return False
        self.decided = status.state
        return True


def _find_trial_seconds(seconds: float) -> float:
    """Return for how long a new version is tried, of the time for all."""
    kept = min(
        _MAX_TAKEOVER_SECONDS,
        max(_MIN_TAKEOVER_SECONDS, _TAKEOVER_SHARE * seconds),
    )
    return max(0, seconds - kept)
