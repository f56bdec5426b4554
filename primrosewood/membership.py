"""Which endpoints may get new work: three observers, none of them enough.

The VM list, the membership record under its lease and the heartbeat of the
connection each lag in their own way. Any one of them that can be read may
stop new work; work returns when all that can be read agree. A source that
cannot be read has no vote, so a list or a service that is down does not
empty the set.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from .gen_stored import MemberRecord
from .gen_wire import Load

__all__ = ('EndpointView', 'Veto', 'VmState')


class VmState(StrEnum):
    """What the VM list last said of a VM."""

    unseen = 'unseen'
    live = 'live'
    leaving = 'leaving'
    gone = 'gone'


class Veto(StrEnum):
    """Why an endpoint gets no new work."""

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
    """One endpoint as an entry sees it.

    Attributes
    ----------
    member
        Its membership record, the last one seen.
    leased
        Whether the record still stands in the key-value service.
    vm_state
        What the VM list last said.
    linked
        Whether a connection stands.
    incarnation
        Incarnation that answered on the connection.
    heard_at
        When anything last came over the connection, monotonic seconds.
    load
        Load it last reported.
    digest
        Digest of the settings it last said it holds.
    offered
        Offers made since that report.
    outstanding
        Attempts of this entry that have not ended.
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
        """Requests it has for each one it may run, own offers included."""
        waiting = self.load.running + self.load.queued + self.offered
        return waiting / max(1, self.load.limit)

    def update_load(self, load: Load) -> None:
        """Replace the load by a newer report."""
        self.load = load
        self.offered = 0

    def veto(self, now: float, silence: float, domain_out: bool) -> Veto:
        """Return why it gets no new work, ``Veto.none`` when it may.

        Parameters
        ----------
        now
            Monotonic seconds.
        silence
            Seconds without a word after which a peer counts as stalled.
        domain_out
            Whether its failure domain is out.
        """
        if domain_out:
            return Veto.domain_out
        if not self.linked:
            return Veto.not_linked
        if now - self.heard_at > silence:
            return Veto.silent
        return self._stated_veto()

    def is_dead(self, now: float, silence: float) -> bool:
        """Tell whether it may be forgotten.

        A lapsed lease alone is a paused holder or a cut-off service, not a
        death: the connection must be silent as well.
        """
        return now - self.heard_at > silence and not self.leased

    def _stated_veto(self) -> Veto:
        if self.vm_state in {VmState.leaving, VmState.gone}:
            return Veto.vm_leaving
        if self.leased and self.member.leaving:
            return Veto.record_leaving
        if self.load.leaving:
            return Veto.says_leaving
        if self.load.refusing:
            return Veto.refusing
        return Veto.none
