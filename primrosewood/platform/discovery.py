"""Keeps an entry's routes and back ends up to date from the key-value service.

Operators write the routes and evacuations of failure domains there, back ends
register there.
"""

from collections.abc import Callable

from ..backendset import BackendSet
from ..clock import Clock
from ..crashguard import CrashGuard, StoredCrashes
from ..entrycount import EntryCountRecorder, StoredEntryCount
from ..errors import WireError
from ..kv import KeyValue, Pair
from ..logs import log_decision, log_event
from ..rolloutcontrol import RolloutControl
from ..routes import RouteTable, TableHolder
from ..storeview import StoreView
from . import documents, entrydocuments

__all__ = ('Discovery',)

# All keys are read in one listing, as the platform charges for each call and
# not for what it returns.
_ALL_KEYS_PREFIX = ''


class Discovery:
    """Applies changed keys to an entry's routes and back ends.

    Parameters
    ----------
    tables
        Receives each new version of the operators' routes.
    backends
        Receives registrations of back ends and evacuations of failure domains.
    clock
        Dates registrations and removals.
    on_change
        Called after routes or back ends have changed.

    Attributes
    ----------
    rollouts
        Receives operators' roll-outs; has to be set before the first key is
        applied.
    entry_count, guard
        Receive what entries have stored; likewise.
    """

    def __init__(
        self,
        tables: TableHolder,
        backends: BackendSet,
        clock: Clock,
        on_change: Callable[[], None],
    ) -> None:
        """Start without routes and back ends."""
        self._tables = tables
        self._backends = backends
        self._clock = clock
        self._on_change = on_change
        self._store_available: bool | None = None
        self.rollouts: RolloutControl | None = None
        self.entry_count: EntryCountRecorder | None = None
        self.guard: CrashGuard | None = None
        self._key_handlers = {
            documents.TABLE_KEY: self._apply_table,
            entrydocuments.ENTRY_COUNT_KEY: self._apply_entry_count,
            entrydocuments.CRASHES_KEY: self._apply_crashes,
        }
        self._handlers = {
            documents.EVACUATED_PREFIX: self._apply_evacuation,
            documents.BACKENDS_PREFIX: self._apply_backend,
            documents.ROLLOUTS_PREFIX: self._apply_order,
            documents.ROLLOUT_STATUS_PREFIX: self._apply_status,
        }

    def make_view(self, store: KeyValue) -> StoreView:
        """Return a view of the service whose changes are applied here."""
        return StoreView(
            store, _ALL_KEYS_PREFIX, self.apply_pair, documents.select_content
        )

    def apply_pair(self, key: str, pair: Pair | None) -> None:
        """Apply a key's new value, None for a deletion.

        Keys that no entry uses are ignored.
        """
        apply_key = self._key_handlers.get(key)
        if apply_key is not None:
            apply_key(pair)
            return
        for prefix, apply in self._handlers.items():
            if key.startswith(prefix):
                apply(key.removeprefix(prefix), pair)

    def record_store_result(self, available: bool) -> None:
        """Record whether the key-value service answered the last call."""
        self._backends.record_store_result(available, self._clock.monotonic())
        if available != self._store_available:
            self._store_available = available
            log_event('store_regained' if available else 'store_lost')

    def remove_unregistered(self) -> None:
        """Remove back ends that have not registered again after an outage."""
        removed = self._backends.remove_unregistered(self._clock.monotonic())
        for name in removed:
            log_decision('endpoint_out', endpoint=name, why='not back')
        if removed:
            self._on_change()

    def _apply_table(self, pair: Pair | None) -> None:
        if pair is None:
            # Operators replace the table and never delete it.  The last one
            # stays in force, as no request could be served without routes.
            log_event('table_deleted', 'WARNING')
            return
        try:
            table = documents.parse_table(pair.stored)
        except WireError as error:
            log_event('table_refused', 'ERROR', why=error)
            return
        replaced = self._tables.table
        if self._tables.replace_if_newer(table):
            log_decision(
                'table_in_force',
                version=table.version,
                revision=pair.revision,
                routes=len(table.routes),
                keys=len(table.organisations),
                keys_required=table.keys_required,
            )
            if replaced is not None:
                _log_changed_keys(replaced, table)
            self._on_change()

    def _apply_entry_count(self, pair: Pair | None) -> None:
        if pair is None:
            self.entry_count.apply(StoredEntryCount())
            return
        try:
            stored = entrydocuments.parse_entry_count(
                pair.stored, pair.revision
            )
        except WireError as error:
            log_event('entry_count_refused', 'WARNING', why=error)
            # Replaced by the next write.
            stored = StoredEntryCount(revision=pair.revision)
        self.entry_count.apply(stored)

    def _apply_crashes(self, pair: Pair | None) -> None:
        if pair is None:
            self.guard.apply(StoredCrashes())
            return
        try:
            stored = entrydocuments.parse_crashes(pair.stored, pair.revision)
        except WireError as error:
            log_event('crashes_refused', 'WARNING', why=error)
            # Replaced by the next write.
            stored = StoredCrashes(revision=pair.revision)
        self.guard.apply(stored)

    def _apply_evacuation(self, domain: str, pair: Pair | None) -> None:
        if pair is None:
            if self._backends.restore_domain(domain, self._clock.monotonic()):
                log_decision('failure_domain_back', failure_domain=domain)
        elif self._backends.evacuate_domain(domain):
            log_decision(
                'failure_domain_out',
                failure_domain=domain,
                revision=pair.revision,
            )

    def _apply_order(self, service: str, pair: Pair | None) -> None:
        if pair is None:
            self.rollouts.apply_order(service, None)
            return
        try:
            order = documents.parse_order(service, pair.stored, pair.revision)
        except WireError as error:
            log_event('rollout_refused', 'WARNING', service=service, why=error)
            return
        if self._tables.traits(service) is None:
            log_event(
                'rollout_refused', 'WARNING', service=service, why='unknown'
            )
            return
        self.rollouts.apply_order(service, order)

    def _apply_status(self, service: str, pair: Pair | None) -> None:
        if pair is None:
            return
        try:
            status = documents.parse_status(pair.stored, pair.revision)
        except WireError as error:
            log_event('status_refused', 'WARNING', service=service, why=error)
            return
        self.rollouts.apply_status(service, status)

    def _apply_backend(self, name: str, pair: Pair | None) -> None:
        now = self._clock.monotonic()
        if pair is None:
            # During an outage a record may have lapsed while its back end
            # still serves.
            removed = self._backends.remove(name, now)
            log_decision(
                'endpoint_out' if removed else 'endpoint_missing',
                endpoint=name,
                why='removed',
            )
            self._on_change()
            return
        try:
            record = documents.parse_backend(name, pair.stored, pair.revision)
        except WireError as error:
            log_event('record_refused', 'WARNING', endpoint=name, why=error)
            self._backends.remove(name, now)
            return
        registered = self._backends.find(name)
        changed = registered is None or registered.record != record
        if changed:
            log_decision(
                'endpoint_in' if registered is None else 'endpoint_changed',
                endpoint=name,
                service=record.service,
                address=record.address,
                failure_domain=record.failure_domain,
                boot=record.boot,
                software=record.version or None,
                draining=record.draining,
                cold=record.cold_seconds or None,
            )
        self._backends.apply_record(record, now)
        if changed:
            self._on_change()


def _log_changed_keys(replaced: RouteTable, table: RouteTable) -> None:
    """Warn operators of a table that opens all routes, or closes them."""
    if replaced.keys_required != table.keys_required:
        log_event(
            'keys_required' if table.keys_required else 'keys_not_required',
            'WARNING',
            version=table.version,
            before=replaced.version,
        )
