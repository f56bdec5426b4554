"""An entry's view of the fleet: members, VM states, subsets and vetoes."""

from collections import Counter
from collections.abc import Iterable
from datetime import timedelta

from reactivex import Observable, operators
from reactivex.scheduler.eventloop import AsyncIOScheduler
from reactivex.subject import Subject

from .announce import MEMBERS_PREFIX, parse_member
from .clock import Clock
from .errors import WireError
from .gen_process import Timing
from .gen_stored import MemberRecord
from .kv import Pair
from .logs import log_event
from .membership import EndpointView, Veto, VmState
from .selection import Candidate, select_subset
from .settings import SettingsStore

__all__ = ('ENTRY_SERVICE', 'Fleet')

# Service name under which entries publish their own membership records.
ENTRY_SERVICE = 'entry'

_DEBOUNCE_SECONDS = 0.05

# Team and name of a service.
ServiceName = tuple[str, str]


class Fleet:
    """Known members, and the subset of each service that this entry uses.

    Parameters
    ----------
    entry
        Name of the entry, from which its subsets are derived.
    store
        Settings in force, for subset sizes and failure domains.
    clock
        Source of monotonic time.
    timing
        Timeouts from the local settings.
    """

    def __init__(
        self, entry: str, store: SettingsStore, clock: Clock, timing: Timing
    ) -> None:
        """Create a fleet without members."""
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
        """All known members by name, entries included."""
        return self._views

    @property
    def endpoints(self) -> list[EndpointView]:
        """All known members that are not entries."""
        return [
            view
            for view in self._views.values()
            if view.member.service != ENTRY_SERVICE
        ]

    @property
    def subset_names(self) -> set[str]:
        """Names of the endpoints that this entry keeps connected."""
        return {
            view.name for subset in self._subsets.values() for view in subset
        }

    def changes(self, scheduler: AsyncIOScheduler) -> Observable[str]:
        """Return an observable of membership changes, debounced.

        When a whole failure domain leaves, hundreds of records change at once;
        the subsets are then rebuilt once instead of for each change.
        """
        return self._changed.pipe(
            operators.throttle_with_timeout(
                timedelta(seconds=_DEBOUNCE_SECONDS), scheduler
            )
        )

    def apply_pair(self, key: str, pair: Pair | None) -> None:
        """Apply a changed or deleted membership record."""
        name = key.removeprefix(MEMBERS_PREFIX)
        if pair is None:
            self._expire(name)
            return
        try:
            member = parse_member(name, pair.stored)
        except WireError as error:
            log_event('record_refused', 'WARNING', endpoint=name, why=error)
            self._expire(name)
            return
        self.apply_member(member)

    def apply_member(self, member: MemberRecord) -> None:
        """Add or update a member."""
        view = self._views.get(member.name)
        if view is None:
            view = EndpointView(member)
            self._views[member.name] = view
        view.member = member
        view.leased = True
        view.vm_state = self._vm_states.get(member.vm, VmState.unseen)
        self._changed.on_next(member.name)

    def apply_vm_list(self, listed: dict[str, VmState]) -> None:
        """Apply a complete VM list.

        A VM that was never on the list is left as unseen, because the list may
        lag behind a new VM. One that was on it and is missing now is gone.
        """
        gone = {vm: VmState.gone for vm in self._vm_states if vm not in listed}
        self._vm_states.update(gone)
        self._vm_states.update(listed)
        for view in self._views.values():
            vm = view.member.vm
            view.vm_state = self._vm_states.get(vm, VmState.unseen)

    def remove_dead_members(self) -> bool:
        """Remove dead members; return whether there were any."""
        now = self._clock.monotonic()
        # An endpoint that was paused past its lease still has its streams when
        # it continues. It is kept, without new work, until they can no longer
        # be resumed.
        silence_timeout = self._timing.resume_seconds
        dead = [
            name
            for name, view in self._views.items()
            if view.is_dead(now, silence_timeout)
        ]
        for name in dead:
            self._views.pop(name)
        return bool(dead)

    def rebuild(self) -> None:
        """Remove dead members and select the subsets again."""
        self.remove_dead_members()
        candidates_by_service: dict[ServiceName, list[Candidate]] = {}
        for view in self.endpoints:
            member = view.member
            candidates = candidates_by_service.setdefault(
                (member.team, member.service), []
            )
            candidates.append(Candidate(member.name, member.failure_domain))
        self._subsets = {
            service: self._select_subset(service, candidates)
            for service, candidates in candidates_by_service.items()
        }

    def subset(self, team: str, service: str) -> list[EndpointView]:
        """Return the endpoints of a service in this entry's subset."""
        return self._subsets.get((team, service), [])

    def usable(
        self, team: str, service: str, excluded: Iterable[str] = ()
    ) -> list[EndpointView]:
        """Return the endpoints in the subset that may get new work."""
        return [
            view
            for view in self.subset(team, service)
            if view.name not in excluded and not self._veto(view)
        ]

    def vetoes(self, team: str, service: str) -> Counter[Veto]:
        """Count the endpoints in the subset by their veto."""
        return Counter(self._veto(view) for view in self.subset(team, service))

    def veto_of(self, view: EndpointView) -> Veto:
        """Return why an endpoint gets no new work, or ``Veto.none``."""
        return self._veto(view)

    def _expire(self, name: str) -> None:
        """Note that a member has no record any more."""
        view = self._views.get(name)
        if view is not None:
            view.leased = False
        self._changed.on_next(name)

    def _veto(self, view: EndpointView) -> Veto:
        member = view.member
        return view.veto(
            self._clock.monotonic(),
            self._timing.silence_seconds,
            self._store.is_out(member.team, member.failure_domain),
        )

    def _select_subset(
        self, service: ServiceName, candidates: list[Candidate]
    ) -> list[EndpointView]:
        found = self._store.find_service(*service)
        size = found.subset if found else len(candidates)
        names = select_subset(self._entry, candidates, size)
        return [self._views[name] for name in names]
