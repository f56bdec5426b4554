"""Decides which endpoints are eligible for new work, from three sources.

The sources are the VM list, the membership record under its lease and the
heartbeat of the connection. Each lags in its own way, so none is sufficient
alone. Any source that can be read can stop new work, which resumes once all
that can be read agree. A source that cannot be read does not count: an outage
of the VM list or of the key-value service makes no endpoint ineligible.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from .gen_stored import MemberRecord
from .gen_wire import Load

__all__ = ('EndpointView', 'Veto', 'VmState')


class VmState(StrEnum):
    """State of a VM according to the latest VM list."""

    unseen = 'unseen'
    live = 'live'
    leaving = 'leaving'
    gone = 'gone'


class Veto(StrEnum):
    """Reason why an endpoint gets no new work."""

    none = ''
    not_linked = 'not_linked'
    silent = 'silent'
    record_leaving = 'record_leaving'
    says_leaving = 'says_leaving'
    vm_leaving = 'vm_leaving'
    domain_out = 'domain_out'
    refusing = 'refusing'


def _unknown_load() -> Load:
    return Load(running=0, queued=0, limit=1)


@dataclass(slots=True)
class EndpointView:
    """State of one endpoint as observed by an entry.

    Attributes
    ----------
    member
        Latest membership record.
    leased
        Whether the record is still present in the key-value service.
    vm_state
        State of its VM in the latest VM list.
    linked
        Whether it is connected.
    incarnation
        Incarnation of the process at the other end of the connection.
    heard_at
        Time of the last message on the connection, in monotonic seconds.
    load
        Load that it last reported.
    digest
        Digest of its settings, from its last heartbeat.
    offered
        Requests offered to it since its last load report.
    outstanding
        Attempts of this entry that are in flight there.
    """

    member: MemberRecord
    leased: bool = True
    vm_state: VmState = VmState.unseen
    linked: bool = False
    incarnation: str = ''
    heard_at: float = 0.0
    load: Load = field(default_factory=_unknown_load)
    digest: int = 0
    offered: int = 0
    outstanding: int = 0

    @property
    def name(self) -> str:
        """Name of the endpoint."""
        return self.member.name

    @property
    def pressure(self) -> float:
        """Ratio of running, queued and offered requests to its limit."""
        requests = self.load.running + self.load.queued + self.offered
        return requests / max(1, self.load.limit)

    def update_load(self, load: Load) -> None:
        """Replace the load with a newer report and reset the offer count."""
        self.load = load
        self.offered = 0

    def veto(
        self, now: float, silence_timeout: float, domain_out: bool
    ) -> Veto:
        """Return why it gets no new work, ``Veto.none`` if it is eligible.

        Parameters
        ----------
        now
            Current time in monotonic seconds.
        silence_timeout
            Seconds without a message after which a peer counts as stalled.
        domain_out
            Whether operators took its failure domain out of service.
        """
        if domain_out:
            return Veto.domain_out
        if not self.linked:
            return Veto.not_linked
        if now - self.heard_at > silence_timeout:
            return Veto.silent
        return self._reported_veto()

    def is_dead(self, now: float, silence_timeout: float) -> bool:
        """Return whether it counts as dead and may be removed.

        An expired lease alone is not enough: the endpoint may be paused or cut
        off from the key-value service. The connection must be silent as well.
        """
        return now - self.heard_at > silence_timeout and not self.leased

    def _reported_veto(self) -> Veto:
        if self.vm_state in {VmState.leaving, VmState.gone}:
            return Veto.vm_leaving
        if self.leased and self.member.leaving:
            return Veto.record_leaving
        if self.load.leaving:
            return Veto.says_leaving
        if self.load.refusing:
            return Veto.refusing
        return Veto.none
