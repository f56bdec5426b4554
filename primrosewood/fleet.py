"""The fleet as one entry sees it: members, VM states, subsets, vetoes."""

from collections import Counter
from collections.abc import Iterable
from datetime import timedelta

from reactivex import Observable, operators
from reactivex.scheduler.eventloop import AsyncIOScheduler
from reactivex.subject import Subject

from .announce import MEMBERS_PREFIX, parse_member
from .clock import Clock
from .gen_process import Timing
from .gen_stored import MemberRecord
from .kv import Pair
from .membership import EndpointView, Veto, VmState
from .selection import Candidate, select_subset
from .settings import SettingsStore

__all__ = ('ENTRY_SERVICE', 'Fleet')

# Entries are members too, of a service of their own.
ENTRY_SERVICE = 'entry'

_MERGE_SECONDS = 0.05

ServiceName = tuple[str, str]


class Fleet:
    """Endpoints by name and by service, with the subset this entry uses.

    Parameters
    ----------
    entry
        Name of the entry, which decides its subset.
    store
        Settings in force.
    clock
        Source of monotonic time.
    timing
        Local settings.
    """

    def __init__(
        self, entry: str, store: SettingsStore, clock: Clock, timing: Timing
    ) -> None:
        """Start without endpoints."""
        self._entry = entry
        self._store = store
        self._clock = clock
        self._timing = timing
        self._views: dict[str, EndpointView] = {}
        self._subsets: dict[ServiceName, list[EndpointView]] = {}
        self._vm_states: dict[str, VmState] = {}
        self._changed: Subject[str] = Subject()

    @property
    def views(self) -> dict[str, EndpointView]:
        """All known endpoints by name."""
        return self._views

    @property
    def endpoints(self) -> list[EndpointView]:
        """All known members that are no entries."""
        return [
            view
            for view in self._views.values()
            if view.member.service != ENTRY_SERVICE
        ]

    @property
    def subset_names(self) -> set[str]:
        """Endpoints that this entry keeps connected."""
        return {
            view.name for subset in self._subsets.values() for view in subset
        }

    def changes(self, scheduler: AsyncIOScheduler) -> Observable[str]:
        """Return membership changes, merged when many come at once.

        A failure domain that leaves brings hundreds of changes in a moment;
        the subsets are then made once and not once for each.
        """
        return self._changed.pipe(
            operators.throttle_with_timeout(
                timedelta(seconds=_MERGE_SECONDS), scheduler
            )
        )

    def apply_pair(self, key: str, pair: Pair | None) -> None:
        """Take a change of a membership record."""
        name = key.removeprefix(MEMBERS_PREFIX)
        if pair is None:
            view = self._views.get(name)
            if view is not None:
                view.leased = False
            self._changed.on_next(name)
            return
        self.apply_member(parse_member(pair.stored))

    def apply_member(self, member: MemberRecord) -> None:
        """Take a membership record."""
        view = self._views.get(member.name)
        if view is None:
            view = EndpointView(member)
            self._views[member.name] = view
        view.member = member
        view.leased = True
        view.vm_state = self._vm_states.get(member.vm, VmState.unseen)
        self._changed.on_next(member.name)

    def apply_vm_list(self, listed: dict[str, VmState]) -> None:
        """Take a whole VM list.

        A VM that was never on the list may be newer than the list, which
        lags; one that was and is no longer has gone.
        """
        gone = {vm: VmState.gone for vm in self._vm_states if vm not in listed}
        self._vm_states.update(gone)
        self._vm_states.update(listed)
        for view in self._views.values():
            vm = view.member.vm
            view.vm_state = self._vm_states.get(vm, VmState.unseen)

    def remove_dead_members(self) -> bool:
        """Forget members that are gone; tell whether there were any."""
        now = self._clock.monotonic()
        # An endpoint that stood still past its lease comes back with the
        # streams it had. Forgetting it before their resume time is over would
        # lose them; it gets no new work meanwhile.
        silence = self._timing.resume_seconds
        dead = [
            name
            for name, view in self._views.items()
            if view.is_dead(now, silence)
        ]
        for name in dead:
            self._views.pop(name)
        return bool(dead)

    def rebuild(self) -> None:
        """Choose the subsets anew from those that are not gone."""
        self.remove_dead_members()
        groups: dict[ServiceName, list[Candidate]] = {}
        for view in self.endpoints:
            member = view.member
            group = groups.setdefault((member.team, member.service), [])
            group.append(Candidate(member.name, member.failure_domain))
        self._subsets = {
            service: self._choose(service, group)
            for service, group in groups.items()
        }

    def subset(self, team: str, service: str) -> list[EndpointView]:
        """Return the connected endpoints of a service."""
        return self._subsets.get((team, service), [])

    def usable(
        self, team: str, service: str, excluded: Iterable[str] = ()
    ) -> list[EndpointView]:
        """Return the endpoints of a service that may get new work."""
        return [
            view
            for view in self.subset(team, service)
            if view.name not in excluded and not self._veto(view)
        ]

    def vetoes(self, team: str, service: str) -> Counter[Veto]:
        """Count why endpoints of a service get no new work."""
        return Counter(self._veto(view) for view in self.subset(team, service))

    def veto_of(self, view: EndpointView) -> Veto:
        """Return why an endpoint gets no new work."""
        return self._veto(view)

    def _veto(self, view: EndpointView) -> Veto:
        member = view.member
        return view.veto(
            self._clock.monotonic(),
            self._timing.silence_seconds,
            self._store.is_out(member.team, member.failure_domain),
        )

    def _choose(
        self, service: ServiceName, group: list[Candidate]
    ) -> list[EndpointView]:
        found = self._store.find_service(*service)
        size = found.subset if found else len(group)
        names = select_subset(self._entry, group, size)
        return [self._views[name] for name in names]
