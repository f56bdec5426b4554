"""Reads of the key-value service that entries share with each other.

Every entry needs all keys soon after they change. If each entry read them
itself, the load would grow with the fleet: 330 entries with a watch and a poll
each make 900 calls a second, and the service sustains several hundred. Instead,
an entry that has read sends the changes to the others, which then postpone
their own next read (see `readschedule`). An entry that receives no updates,
because it or the forwarding processes are partitioned, reads on its own.

The service may also refuse some processes and serve others. The refused ones
get updates from the others all the same, and query them when their own read
fails.
"""

import asyncio
from collections.abc import Callable

from . import gen_wire as wire
from .clock import Clock
from .codec import Message
from .errors import StoreUnavailableError, WireError
from .kv import Change, Pair
from .link import Link
from .logs import log_decision, log_event
from .patches import apply_patch, compress_value, decompress_value, make_patch
from .readschedule import ReadSchedule
from .storeview import StoreView

__all__ = ('SharedReader',)

# A failed read is no outage while updates from others are younger than this.
_STALE_SECONDS = 1.0
# Recipient of an update that does not reply to one entry's query.
_ALL_ENTRIES = ''
# Compressing smaller values saves too little.
_MIN_COMPRESSED_BYTES = 1024


class SharedReader:
    """Keeps a view of the key-value service current, with other entries.

    Parameters
    ----------
    name
        Name of this process, to which replies are addressed.
    view
        Reads the service and holds the known keys.
    schedule
        Decides when this entry reads next.
    send
        Sends a message to an endpoint process, which forwards it to the other
        entries; uses another endpoint process each time. Returns False if none
        is connected.
    report_available
        Called with whether the service answers this entry or others.
    """

    def __init__(
        self,
        name: str,
        view: StoreView,
        clock: Clock,
        schedule: ReadSchedule,
        send: Callable[[Message], bool],
        report_available: Callable[[bool], None],
    ) -> None:
        """Create a reader that has not read yet."""
        self._name = name
        self._view = view
        self._clock = clock
        self._schedule = schedule
        self._send = send
        self._report_available = report_available
        self._synced_at = float('-inf')
        self._read_timeout: asyncio.Timeout | None = None

    async def run(self) -> None:
        """Read whenever no update from others arrived, until cancelled."""
        while True:
            delay = self._schedule.next_read_at - self._clock.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
                # An update may have postponed the read meanwhile.
                continue
            await self._read()

    def handle(self, message: Message, link: Link) -> None:
        """Handle a query or an update from another entry."""
        if isinstance(message, wire.PairsAsk):
            self._handle_query(message, link)
        elif isinstance(message, wire.PairsTold):
            self._apply_update(message)

    async def _read(self) -> None:
        known = self._view.newest
        started_at = self._clock.monotonic()
        if self._schedule.failed:
            self._send(wire.PairsAsk(self._name, known, to_all=True))
        try:
            async with asyncio.timeout(None) as read_timeout:
                self._read_timeout = read_timeout
                await self._view.read()
        except StoreUnavailableError as error:
            self._handle_read_failure(error)
        except TimeoutError:
            self._schedule.record_overtaken(self._clock.monotonic())
            log_event('reading_overtaken', 'DEBUG', newest=self._view.newest)
        else:
            self._mark_synced(started_at)
            shared = self._send(self._make_update(_ALL_ENTRIES, known))
            self._schedule.record_read(started_at, shared)
        finally:
            self._read_timeout = None

    def _handle_read_failure(self, error: StoreUnavailableError) -> None:
        now = self._clock.monotonic()
        failed_before = self._schedule.failed
        self._schedule.record_failure(now)
        if self._is_stale(now):
            log_event('reading_failed', 'WARNING', why=error)
            self._report_available(False)
        if not failed_before:
            self._send(wire.PairsAsk(self._name, self._view.newest))

    def _is_stale(self, now: float) -> bool:
        return now - self._synced_at > _STALE_SECONDS

    def _mark_synced(self, synced_at: float) -> None:
        self._synced_at = synced_at
        self._report_available(True)

    def _handle_query(self, query: wire.PairsAsk, link: Link) -> None:
        now = self._clock.monotonic()
        if query.to_all:
            self._schedule.record_attempt_elsewhere(now)
        stale = self._is_stale(now)
        if stale and self._schedule.failed:
            # Its next read may be postponed until the service is back.
            self._report_available(False)
        # Keys that were last read before an outage may be outdated.
        if not stale and self._view.newest > query.since:
            link.send(self._make_update(query.asker, query.since))

    def _make_update(self, asker: str, since: int) -> wire.PairsTold:
        changes = self._view.changes_since(since)
        return wire.PairsTold(
            asker=asker,
            since=since,
            newest=self._view.newest,
            pairs=[self._encode_change(asker, since, each) for each in changes],
            reader=self._name,
        )

    def _cancel_read(self) -> None:
        """Cancel a read in progress that an update has made redundant.

        On a slow network link the read may take seconds more and delay
        callers' traffic.
        """
        if self._read_timeout is not None and not self._read_timeout.expired():
            self._read_timeout.reschedule(asyncio.get_running_loop().time())

    def _encode_change(
        self, asker: str, since: int, change: Change
    ) -> wire.StoredPair:
        encoded = wire.StoredPair(
            key=change.key,
            revision=change.revision,
            deleted=change.pair is None,
            stored=change.pair.stored if change.pair else b'',
        )
        older = self._view.find_previous(change.key)
        # Most entries hold the version that this entry held. Those with
        # another version read the service, or query and get complete values.
        for_all_entries = asker == _ALL_ENTRIES
        if (
            for_all_entries
            and change.pair
            and older
            and older.revision <= since
        ):
            patch = make_patch(older.stored, change.pair.stored)
            encoded.base = older.revision
            encoded.stored = patch.inserted
            encoded.copies = [list(row) for row in patch.copies]
        if len(encoded.stored) >= _MIN_COMPRESSED_BYTES:
            encoded.packed = True
            encoded.stored = compress_value(encoded.stored)
        return encoded

    def _apply_update(self, update: wire.PairsTold) -> None:
        known = self._view.newest
        decoded = [self._decode_change(pair) for pair in update.pairs]
        changes = [change for change in decoded if change is not None]
        if update.since > known or len(changes) < len(decoded):
            # An earlier update was missed, or a pair cannot be applied. The
            # decoded changes are valid, but the view is not complete at the
            # update's revision: read at once.
            self._view.merge_from_peer(changes, known)
            self._schedule.read_now(self._clock.monotonic())
            return
        self._view.merge_from_peer(changes, update.newest)
        now = self._clock.monotonic()
        self._schedule.record_update(update.reader, now)
        self._mark_synced(now)
        self._cancel_read()
        if update.asker == self._name:
            log_decision(
                'changes_heard',
                known=known,
                newest=update.newest,
                changes=len(changes),
            )

    def _decode_change(self, received: wire.StoredPair) -> Change | None:
        """Decode a received pair; return None if it cannot be applied."""
        if received.deleted:
            return Change(received.key, received.revision, None)
        known = self._view.find(received.key)
        if (
            received.base
            and known is not None
            and known.revision >= received.revision
        ):
            return Change(known.key, known.revision, known)
        try:
            stored = _decode_value(received, known)
        except WireError as error:
            log_event('value_refused', 'WARNING', key=received.key, why=error)
            return None
        pair = Pair(received.key, stored, received.revision)
        return Change(received.key, received.revision, pair)


def _decode_value(received: wire.StoredPair, known: Pair | None) -> bytes:
    inserted = (
        decompress_value(received.stored)
        if received.packed
        else received.stored
    )
    if not received.base:
        return inserted
    if known is None or known.revision != received.base:
        raise WireError('patch does not match the known revision')
    return apply_patch(known.stored, inserted, received.copies)
