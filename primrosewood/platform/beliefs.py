"""Turns what the key-value service holds into an entry's beliefs."""

from collections.abc import Callable

from ..backendset import BackendSet
from ..clock import Clock
from ..errors import WireError
from ..kv import Pair
from ..logs import log_decision, log_event
from ..routes import TableHolder
from . import documents

__all__ = ('Beliefs',)


class Beliefs:
    """Takes keys as they change.

    Parameters
    ----------
    changed
        Called when back ends or routes changed.
    """

    def __init__(
        self,
        tables: TableHolder,
        backends: BackendSet,
        clock: Clock,
        changed: Callable[[], None],
    ) -> None:
        """Start without beliefs."""
        self._tables = tables
        self._backends = backends
        self._clock = clock
        self._changed = changed
        self._answered: bool | None = None

    def apply_pair(self, key: str, pair: Pair | None) -> None:
        """Take a key's new value, None for a deletion."""
        if key == documents.TABLE_KEY:
            self._take_table(pair)
        elif key.startswith(documents.EVACUATED_PREFIX):
            self._take_evacuation(key, pair)
        elif key.startswith(documents.BACKENDS_PREFIX):
            name = key.removeprefix(documents.BACKENDS_PREFIX)
            self._take_backend(name, pair)

    def record_store_result(self, answered: bool) -> None:
        """Note whether the service answered."""
        self._backends.record_store_result(answered, self._clock.monotonic())
        if answered != self._answered:
            self._answered = answered
            log_event('store_regained' if answered else 'store_lost')

    def settle(self) -> None:
        """Drop back ends whose records did not come back."""
        gone = self._backends.settle(self._clock.monotonic())
        for name in gone:
            log_decision('endpoint_out', endpoint=name, why='not back')
        if gone:
            self._changed()

    def _take_table(self, pair: Pair | None) -> None:
        if pair is None:
            # Operators never delete it; without it nothing could be served.
            log_event('table_deleted', 'WARNING')
            return
        try:
            table = documents.parse_table(pair.stored)
        except WireError as error:
            log_event('table_refused', 'ERROR', why=error)
            return
        if self._tables.take(table):
            log_decision(
                'table_in_force',
                version=table.version,
                revision=pair.revision,
                routes=len(table.routes),
            )
            self._changed()

    def _take_evacuation(self, key: str, pair: Pair | None) -> None:
        domain = key.removeprefix(documents.EVACUATED_PREFIX)
        if pair is None:
            if self._backends.let_in(domain, self._clock.monotonic()):
                log_decision('failure_domain_back', failure_domain=domain)
        elif self._backends.take_out(domain):
            log_decision(
                'failure_domain_out',
                failure_domain=domain,
                revision=pair.revision,
            )

    def _take_backend(self, name: str, pair: Pair | None) -> None:
        now = self._clock.monotonic()
        if pair is None:
            at_once = self._backends.remove(name, now)
            log_decision(
                'endpoint_out' if at_once else 'endpoint_missing',
                endpoint=name,
                why='removed',
            )
            self._changed()
            return
        try:
            record = documents.parse_backend(name, pair.stored, pair.revision)
        except WireError as error:
            log_event('record_refused', 'WARNING', endpoint=name, why=error)
            self._backends.remove(name, now)
            return
        known = self._backends.find(name)
        if known is None or known.record != record:
            log_decision(
                'endpoint_in' if known is None else 'endpoint_changed',
                endpoint=name,
                service=record.service,
                address=record.address,
                failure_domain=record.failure_domain,
                boot=record.boot,
                draining=record.draining,
                cold=record.cold_seconds or None,
            )
        self._backends.take(record, now)
        self._changed()
