"""Carries out operators' roll-outs together with the other entries.

No entry is in charge. Each one counts the outcomes of its own calls, sends them
to the others, judges the sum, and tries to write a decision under the condition
that nobody has written one before.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from . import gen_wire as wire
from .backendset import BackendSet
from .backendstate import Backend
from .clock import Clock, RandomSource
from .codec import Message
from .errors import StoreUnavailableError
from .logs import log_decision, log_event
from .metrics import Metrics
from .process import spawn
from .rollouts import Rollout, RolloutOrder, RolloutState, RolloutStatus

__all__ = ('RolloutControl', 'RolloutDependencies', 'StatusWriter')

_REPORT_SECONDS = 0.25
_RETIRE_SECONDS = 0.25
_WRITE_RETRY_SECONDS = 0.5
# Range of the random time for which an entry leaves a write to the others; an
# update of the store's keys takes some 0.5 s to reach all.
_WRITE_TURN_SECONDS = 0.8
# Kept between the decision and the time at which it is due.
_DECISION_RESERVE_SECONDS = 0.7
# Fewest usable new back ends for each old one at the take-over. Some of either
# are always being replaced.
_NEW_SHARE = 0.7
# Calls to plain services that began before the take-over end within this time.
_PLAIN_DRAIN_SECONDS = 1.2


class StatusWriter(Protocol):
    """Writes the status of roll-outs to the key-value service."""

    async def write_rollout(
        self, order: RolloutOrder, state: RolloutState, expected: int
    ) -> bool:
        """Write a status if the last one has the expected revision.

        Returns
        -------
        bool
            Whether it was written.

        Raises
        ------
        StoreUnavailableError
            The service does not answer; the status may have been written.
        """


@dataclass(frozen=True, slots=True)
class RolloutDependencies:
    """Collaborators of `RolloutControl`.

    Attributes
    ----------
    name
        Name of this entry.
    send
        Sends a message to a process that forwards it to the other entries.
    retire
        Tells the process beside an engine to move its generations away within
        some seconds; negative ones take that back.
    """

    name: str
    backends: BackendSet
    writer: StatusWriter
    clock: Clock
    random: RandomSource
    metrics: Metrics
    send: Callable[[Message], bool]
    retire: Callable[[Backend, float], None]


class RolloutControl:
    """All roll-outs that this entry knows."""

    def __init__(self, dependencies: RolloutDependencies) -> None:
        """Start without orders."""
        self._deps = dependencies
        self._rollouts: dict[str, Rollout] = {}
        self._statuses: dict[str, RolloutStatus] = {}
        self._writing: set[str] = set()
        self._next_states: dict[str, RolloutState | None] = {}
        self._write_at: dict[str, float] = {}
        self._reported_at = float('-inf')
        self._retired_at = float('-inf')

    def find(self, service: str) -> Rollout | None:
        """Return the roll-out of a service, None if none was ordered."""
        return self._rollouts.get(service)

    def apply_order(self, service: str, order: RolloutOrder | None) -> None:
        """Begin to carry out an order; None if it was deleted."""
        if order is None:
            if self._rollouts.pop(service, None):
                log_decision('rollout_withdrawn', service=service)
            return
        known = self._rollouts.get(service)
        if known is not None and known.order.revision >= order.revision:
            return
        if self._is_in_force(order):
            log_decision(
                'rollout_refused',
                service=service,
                version=order.version,
                why='the version is in force',
            )
            return
        now = self._deps.clock.monotonic()
        rollout = Rollout(order, self._deps.random.random(), now)
        self._rollouts[service] = rollout
        self._next_states.pop(service, None)
        log_decision(
            'rollout_ordered',
            service=service,
            version=order.version,
            revision=order.revision,
            seconds=order.seconds,
        )
        self._adopt(service)

    def apply_status(self, service: str, status: RolloutStatus) -> None:
        """Take over a status that was written, also by another entry."""
        self._statuses[service] = status
        self._adopt(service)

    def select(
        self,
        service: str,
        backends: Sequence[Backend],
        unavailable: Sequence[Backend] = (),
    ) -> Sequence[Backend]:
        """Return the back ends among which a call may choose.

        Parameters
        ----------
        service
            Name of their service.
        backends
            Back ends that take the call now.
        unavailable
            Back ends that will take calls again, but not now.
        """
        rollout = self._rollouts.get(service)
        if rollout is None:
            return backends
        return rollout.select(
            backends, unavailable, self._deps.clock.monotonic()
        )

    def may_receive(self, backend: Backend) -> bool:
        """Return whether generations may be moved to a back end."""
        rollout = self._rollouts.get(backend.record.service)
        now = self._deps.clock.monotonic()
        return rollout is None or rollout.may_receive(backend, now)

    def record(
        self, route: str, backend: Backend, failed: bool, pace: float
    ) -> None:
        """Count the outcome of a call as evidence."""
        rollout = self._rollouts.get(backend.record.service)
        if rollout is None or rollout.decided is not None:
            return
        is_new = rollout.is_new(backend)
        rollout.evidence.record(route, backend.name, is_new, failed, pace)

    def handle(self, report: wire.RolloutReport) -> None:
        """Add the evidence of another entry."""
        rollout = self._rollouts.get(report.service)
        if rollout is None or rollout.order.revision != report.order:
            return
        now = self._deps.clock.monotonic()
        rollout.evidence.merge(report.sender, report.tallies, now)
        if rollout.suspect(report.fault):
            self._log_fault(rollout, report.sender)

    def tick(self) -> None:
        """Judge, tell the others, and write what has to be written."""
        now = self._deps.clock.monotonic()
        for service, rollout in self._rollouts.items():
            if rollout.decided is None and self._lacks_new(service, rollout):
                rollout.postpone_takeover(now)
            if rollout.judge(now, self._find_domains(service)):
                self._log_fault(rollout, self._deps.name)
                self._reported_at = float('-inf')
        if now >= self._reported_at + _REPORT_SECONDS:
            self._reported_at = now
            self._report_evidence()
        if now >= self._retired_at + _RETIRE_SECONDS:
            self._retired_at = now
            self._retire_engines(now)
        for service, rollout in self._rollouts.items():
            self._write_if_due(service, rollout, now)

    def _find_domains(self, service: str) -> dict[str, str]:
        return {
            backend.name: backend.record.failure_domain
            for backend in self._deps.backends.list_service(service)
        }

    def _is_in_force(self, order: RolloutOrder) -> bool:
        status = self._statuses.get(order.service)
        if status is not None and status.answers(order):
            return False
        versions = {
            backend.record.version
            for backend in self._deps.backends.usable(order.service)
        }
        return versions == {order.version}

    def _adopt(self, service: str) -> None:
        rollout = self._rollouts.get(service)
        status = self._statuses.get(service)
        if rollout is None or status is None or not rollout.adopt(status):
            return
        log_decision(
            'rollout_decided',
            service=service,
            version=status.version,
            state=status.state.value,
            revision=status.revision,
        )
        self._deps.metrics.count('rollouts_decided', status.state.value)

    def _log_fault(self, rollout: Rollout, source: str) -> None:
        log_decision(
            'rollout_fault',
            service=rollout.order.service,
            version=rollout.order.version,
            order=rollout.order.revision,
            why=rollout.fault,
            source=source,
        )

    def _report_evidence(self) -> None:
        for service, rollout in self._rollouts.items():
            if rollout.decided is not None:
                continue
            tallies = rollout.evidence.take_unsent()
            if tallies or rollout.fault:
                self._deps.send(
                    wire.RolloutReport(
                        sender=self._deps.name,
                        service=service,
                        order=rollout.order.revision,
                        fault=rollout.fault,
                        tallies=tallies,
                    )
                )

    def _retire_engines(self, now: float) -> None:
        for service, rollout in self._rollouts.items():
            taking_over = rollout.has_taken_over(now)
            undecided = rollout.decided is None
            if not undecided or not (taking_over or rollout.fault):
                continue
            seconds = max(
                _RETIRE_SECONDS,
                rollout.due_at - _DECISION_RESERVE_SECONDS - now,
            )
            for backend in self._list_old(service, rollout):
                self._deps.retire(backend, seconds if taking_over else -1.0)

    def _lacks_new(self, service: str, rollout: Rollout) -> bool:
        """Return whether the new back ends cannot take the old ones' calls."""
        usable = self._deps.backends.usable(service)
        new = sum(rollout.is_new(backend) for backend in usable)
        old = len(self._list_old(service, rollout))
        return new < max(1, _NEW_SHARE * old)

    def _list_old(self, service: str, rollout: Rollout) -> list[Backend]:
        return [
            backend
            for backend in self._deps.backends.list_service(service)
            if not rollout.is_new(backend)
        ]

    def _find_next_state(
        self, service: str, rollout: Rollout, now: float
    ) -> RolloutState | None:
        """Return the status that is to be written next, None for none."""
        if rollout.decided is not None:
            return None
        if rollout.fault:
            return RolloutState.rolled_back
        if rollout.has_taken_over(now) and self._is_drained(
            service, rollout, now
        ):
            return RolloutState.completed
        status = self._statuses.get(service)
        begun = status is not None and status.answers(rollout.order)
        return None if begun else RolloutState.in_progress

    def _is_drained(self, service: str, rollout: Rollout, now: float) -> bool:
        """Return whether the old engines may stop without harm to calls."""
        if now < rollout.full_at + _PLAIN_DRAIN_SECONDS:
            return False
        if rollout.is_suspicious() or self._lacks_new(service, rollout):
            return False
        return not any(
            backend.open_calls or (backend.state and backend.state.running)
            for backend in self._list_old(service, rollout)
        )

    def _write_if_due(self, service: str, rollout: Rollout, now: float) -> None:
        state = self._find_next_state(service, rollout, now)
        if state != self._next_states.get(service):
            self._next_states[service] = state
            turn = _WRITE_TURN_SECONDS * self._deps.random.random()
            self._write_at[service] = now + turn
        if state is None or service in self._writing:
            return
        if now >= self._write_at[service]:
            self._writing.add(service)
            spawn(self._write(rollout, state), 'roll-out status')

    async def _write(self, rollout: Rollout, state: RolloutState) -> None:
        service = rollout.order.service
        known = self._statuses.get(service, RolloutStatus())
        written: bool | None = None
        try:
            written = await self._deps.writer.write_rollout(
                rollout.order, state, known.revision
            )
        except StoreUnavailableError as error:
            log_event(
                'rollout_unwritten', 'WARNING', service=service, why=error
            )
        finally:
            self._writing.discard(service)
            now = self._deps.clock.monotonic()
            self._write_at[service] = now + _WRITE_RETRY_SECONDS
        log_decision(
            'rollout_status',
            service=service,
            state=state.value,
            expected=known.revision,
            written=written,
        )
