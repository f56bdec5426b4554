"""Which back ends of a service may get a call, and when the next one may."""

from collections.abc import Collection, Sequence

from .backendset import BackendSet
from .backendstate import Backend
from .rolloutcontrol import RolloutControl
from .routes import TableHolder
from .sharedlimits import ColdRule

__all__ = ('Candidates',)


class Candidates:
    """Finds the back ends that all limits in force allow.

    Parameters
    ----------
    rollouts
        Restricts calls to back ends of a version that is rolled out, None for
        no restrictions.

    Attributes
    ----------
    cold_rule
        Limit on calls to cold back ends.
    """

    def __init__(
        self,
        tables: TableHolder,
        backends: BackendSet,
        rollouts: RolloutControl | None,
        cold_rule: ColdRule,
    ) -> None:
        """Prepare to list candidates."""
        self._tables = tables
        self._backends = backends
        self._rollouts = rollouts
        self.cold_rule = cold_rule

    def list_available(
        self, service: str, excluded: Collection[str], now: float
    ) -> Sequence[Backend]:
        """Return the back ends among which a call may choose.

        Parameters
        ----------
        service
            Name of their service.
        excluded
            Names of the back ends that have refused the call or failed on it.
        now
            Monotonic seconds.
        """
        available: list[Backend] = []
        unavailable: list[Backend] = []
        for backend in self._backends.usable(service):
            if backend.name in excluded:
                continue
            ready = self._takes_calls(backend, now)
            (available if ready else unavailable).append(backend)
        if self._rollouts is None or not available:
            return available
        return self._rollouts.select(service, available, unavailable)

    def seconds_until_call(self, service: str, now: float) -> float:
        """Return the seconds until the first back end takes calls again.

        Zero if one does now, as after a failure of a single call, or if there
        is none.
        """
        return min(
            (
                backend.seconds_until_call(now)
                for backend in self._backends.usable(service)
            ),
            default=0,
        )

    def _takes_calls(self, backend: Backend, now: float) -> bool:
        if backend.seconds_until_call(now):
            return False
        return self._has_cold_capacity(backend, now)

    def _has_cold_capacity(self, backend: Backend, now: float) -> bool:
        """Return whether a back end is warm or below its cold limit."""
        traits = self._tables.traits(backend.record.service)
        if traits is None or not traits.cold_rate:
            return True
        if not self._backends.is_cold(backend, now):
            return True
        rate = traits.cold_rate * self.cold_rule.factor + self.cold_rule.slack
        return backend.cold_limit.has_capacity(rate, now)
