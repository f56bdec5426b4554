"""An entry's view of the back ends that it may call directly."""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from .addresshistory import AddressHistory
from .backendindex import BackendIndex
from .backendstate import Backend, BackendIdentity, BackendRecord
from .backpressure import Backpressure
from .clock import RandomSource
from .enginespeed import TOKEN_SECONDS
from .entrycount import EntryCount
from .sharedlimits import ColdLimit

__all__ = ('AnnouncementOutcome', 'BackendSet')

# Records that expired during an outage of the key-value service are written
# again within 2 s of its return, as the platform documents; the other 0.3 s
# cover the listing that shows them.
_REWRITE_SECONDS = 2.3
# A removal this long after the service's return may still be of a record that
# expired during the outage, as the service may have returned earlier for other
# clients than for this entry.
_OUTAGE_TAIL_SECONDS = 3.0
# Most names of removed back ends that are kept.
_MAX_REMOVED_NAMES = 4096
# Most starts of back ends whose notices are kept.
_MAX_REMEMBERED_STARTS = 4096
# Back ends of a failure domain that has just been restored may be cold before
# their own records say so, which are written every 1.2 s.
_RESTORED_COLD_SECONDS = 3.0


class AnnouncementOutcome(Enum):
    """What becomes of a back end that announces itself."""

    used = 'no record can be read'
    known = 'it is known'
    gone = 'its record was removed'
    awaits_record = 'the store answers'
    reused_address = 'another back end has had its address'
    unseen_address = 'its process is older than the records read here'


@dataclass(slots=True)
class _StoreAvailability:
    """When the key-value service last failed and when it recovered.

    Attributes
    ----------
    failed_at, answering_since
        Monotonic seconds.
    """

    failed_at: float = float('-inf')
    answering_since: float = 0
    answering: bool = False


@dataclass(slots=True)
class BackendSet:
    """All back ends that this entry knows.

    Attributes
    ----------
    entries
        Number of entries that share the limits of cold back ends.
    evacuated
        Failure domains that operators have taken out of service.
    random
        Decides which entries round their share of a cold back end's limit up;
        None to round all down.
    started_at
        Monotonic seconds at which this process started.
    """

    entries: EntryCount
    evacuated: frozenset[str] = frozenset()
    random: RandomSource | None = None
    started_at: float = float('-inf')
    _index: BackendIndex = field(default_factory=BackendIndex)
    # Names whose records vanished around an outage; see `remove`.
    _missing: set[str] = field(default_factory=set)
    _removed_names: OrderedDict[str, None] = field(default_factory=OrderedDict)
    # By name and boot.
    _backpressures: OrderedDict[tuple[str, int], Backpressure] = field(
        default_factory=OrderedDict
    )
    # Announced back ends that have not registered yet.
    _announced: set[str] = field(default_factory=set)
    _addresses: AddressHistory = field(default_factory=AddressHistory)
    _restored_at: dict[str, float] = field(default_factory=dict)
    _store_availability: _StoreAvailability = field(
        default_factory=_StoreAvailability
    )

    @property
    def backends(self) -> list[Backend]:
        """All back ends, stopping ones included."""
        return self._index.backends

    def apply_record(self, record: BackendRecord, now: float) -> Backend:
        """Add or update a back end by its record, and return it."""
        self._missing.discard(record.name)
        self._addresses.add(record, now)
        known = self._index.find(record.name)
        if known is not None and not _is_same_start(known, record):
            # Calls in progress that refer to it must see that it is gone.
            known.leaving = True
            known.replaced = True
            known = None
        if known is None:
            known = Backend(
                record,
                self._make_cold_limit(),
                backpressure=self._recall_backpressure(record),
            )
            self._index.add(known)
        self._remember_backpressure(record, known.backpressure)
        self._index.update(known, record)
        known.announced_at = None
        self._announced.discard(record.name)
        if record.cold_seconds:
            known.cold_until = now + record.cold_seconds
        return known

    def announce(
        self, record: BackendRecord, process_began_at: float, now: float
    ) -> AnnouncementOutcome:
        """Add a back end that announces itself, if no record can be read.

        During an outage of the key-value service new engines cannot register,
        while old ones still leave.  Only a record states the service of a back
        end for certain; what the process beside it has in its settings is taken
        for it where the address is not known to have been another's before.

        Parameters
        ----------
        record
            What the process beside the back end tells of it.
        process_began_at
            Monotonic seconds at which that process began; it has seen this back
            end start, and no other one at the address.
        """
        outcome = self._judge(record, process_began_at)
        if outcome is AnnouncementOutcome.used:
            found = Backend(record, self._make_cold_limit(), announced_at=now)
            found.cold_until = now + record.cold_seconds
            self._index.add(found)
            self._addresses.add(record, now)
            self._announced.add(record.name)
        return outcome

    def remove(self, name: str, now: float) -> bool:
        """Handle the removal of a record; return whether it applies at once.

        While the key-value service is available, a removed record belongs to
        a back end that has left.  During or just after an outage the record
        may only have expired while its back end still serves; dropping all
        such back ends would leave callers with none.
        """
        if self._index.find(name) is None:
            return True
        if self._store_failed_lately(now):
            self._missing.add(name)
            return False
        self._drop(name)
        return True

    def record_store_result(self, answered: bool, now: float) -> None:
        """Record whether the key-value service answered a call."""
        availability = self._store_availability
        if answered:
            self._addresses.begin(now)
        if answered and not availability.answering:
            availability.answering_since = now
        if not answered:
            availability.failed_at = now
        availability.answering = answered

    def remove_unregistered(self, now: float) -> list[str]:
        """Drop back ends still unregistered after an outage.

        Returns
        -------
        list[str]
            Names of the back ends that were dropped.
        """
        availability = self._store_availability
        if not availability.answering:
            return []
        cutoff = now - _REWRITE_SECONDS
        dropped: list[str] = []
        if availability.answering_since <= cutoff:
            # One that has announced itself may also miss an earlier record.
            dropped = sorted(self._missing.union(self._unregistered(cutoff)))
        for name in dropped:
            self._drop(name)
        return dropped

    def evacuate_domain(self, domain: str) -> bool:
        """Evacuate a failure domain; return whether it was in service."""
        was_in = domain not in self.evacuated
        self.evacuated |= {domain}
        return was_in

    def restore_domain(self, domain: str, now: float) -> bool:
        """Restore a failure domain; return whether it was evacuated."""
        was_out = domain in self.evacuated
        if was_out:
            self._restored_at[domain] = now
            self.evacuated -= {domain}
        return was_out

    def find(self, name: str) -> Backend | None:
        """Return the back end with a name, None if unknown."""
        return self._index.find(name)

    def find_identity(self, identity: BackendIdentity) -> Backend | None:
        """Return one start of a back end, None if it is not known."""
        backend = self._index.find(identity.name)
        if backend is None or backend.record.identity != identity:
            return None
        return backend

    def find_start(self, address: str, boot: int) -> BackendIdentity | None:
        """Return which back end has or had an address in one of its starts.

        Also known of one whose record was removed, as it may still run.
        """
        return self._addresses.find_start(address, boot)

    def is_registered(self, backend: Backend) -> bool:
        """Return whether this very start of a back end is registered."""
        return self._index.find(backend.name) is backend

    def list_address(self, address: str) -> list[Backend]:
        """Return the back ends that have registered with an address."""
        return self._index.list_address(address)

    def list_service(self, service: str) -> list[Backend]:
        """Return all back ends of a service, stopping ones included."""
        return self._index.list_service(service)

    def usable(self, service: str) -> list[Backend]:
        """Return the back ends of a service that may get new calls."""
        return [
            backend
            for backend in self._index.list_service(service)
            if not backend.stopping
            and not backend.record_is_stale
            and not self._index.is_superseded(backend)
            and backend.record.failure_domain not in self.evacuated
        ]

    def note_unusable(self, now: float) -> None:
        """Record since when back ends may get no new calls."""
        services = {backend.record.service for backend in self.backends}
        for service in services:
            usable = set(self.usable(service))
            for backend in self.list_service(service):
                if backend in usable:
                    backend.unusable_since = None
                elif backend.unusable_since is None:
                    backend.unusable_since = now

    def token_seconds(self, service: str) -> float:
        """Return the mean seconds per token over a service's engines."""
        found = [
            backend.state.token_seconds
            for backend in self.usable(service)
            if backend.state is not None and backend.state.token_seconds
        ]
        return sum(found) / len(found) if found else TOKEN_SECONDS

    def is_cold(self, backend: Backend, now: float) -> bool:
        """Return whether a back end is cold or may be."""
        restored_at = self._restored_at.get(backend.record.failure_domain)
        recent = (
            restored_at is not None
            and now < restored_at + _RESTORED_COLD_SECONDS
        )
        return recent or now < backend.cold_until

    def _judge(
        self, record: BackendRecord, process_began_at: float
    ) -> AnnouncementOutcome:
        """Decide whether an announced back end is used."""
        if self._index.find(record.name):
            return AnnouncementOutcome.known
        if record.name in self._removed_names:
            return AnnouncementOutcome.gone
        if self._store_availability.answering:
            return AnnouncementOutcome.awaits_record
        if self._addresses.was_of_another(record):
            return AnnouncementOutcome.reused_address
        # One that had the address before may have gone before this process
        # read any record; the process beside it knows of none since it began.
        if process_began_at < self._addresses.since:
            return AnnouncementOutcome.unseen_address
        return AnnouncementOutcome.used

    def _make_cold_limit(self) -> ColdLimit:
        rounding = 1 if self.random is None else 1 - self.random.random()
        return ColdLimit(self.entries, rounding, self.started_at)

    def _unregistered(self, cutoff: float) -> list[str]:
        """Return names announced by the cutoff and not registered since."""
        return [
            name
            for name in sorted(self._announced)
            if self._index.find(name).announced_at <= cutoff
        ]

    def _store_failed_lately(self, now: float) -> bool:
        availability = self._store_availability
        last_outage_at = max(
            availability.failed_at, availability.answering_since
        )
        return (
            not availability.answering
            or now < last_outage_at + _OUTAGE_TAIL_SECONDS
        )

    def _recall_backpressure(self, record: BackendRecord) -> Backpressure:
        """Return the notices of one start of a back end that are in force.

        They outlive its record, which may lapse and return, or be overwritten
        for a while by a late one of another start.
        """
        start = record.name, record.boot
        return self._backpressures.get(start) or Backpressure()

    def _remember_backpressure(
        self, record: BackendRecord, backpressure: Backpressure
    ) -> None:
        start = record.name, record.boot
        self._backpressures[start] = backpressure
        self._backpressures.move_to_end(start)
        if len(self._backpressures) > _MAX_REMEMBERED_STARTS:
            self._backpressures.popitem(last=False)

    def _drop(self, name: str) -> None:
        self._missing.discard(name)
        self._announced.discard(name)
        backend = self._index.remove(name)
        # It may still announce itself until it has left.
        self._removed_names[name] = None
        if len(self._removed_names) > _MAX_REMOVED_NAMES:
            self._removed_names.popitem(last=False)
        # Calls in progress that refer to it must see that it is leaving.
        backend.leaving = True


def _is_same_start(known: Backend, record: BackendRecord) -> bool:
    """Return whether a record is of the start that is known under its name.

    A start belongs to one service.  A name may come back under another one.
    """
    earlier = known.record
    return (earlier.service, earlier.boot) == (record.service, record.boot)
