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
from collections import OrderedDict
from collections.abc import Callable

from msgspec.structs import replace

from . import gen_wire as wire
from .clock import Clock
from .codec import Message
from .entrycount import EntryCount
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
# Least time between two listings that disagreeing digests cause.
_LISTING_INTERVAL_SECONDS = 5.0
# Bytes of changes that one process forwards to all entries at a time. Larger
# updates are divided over as many processes: one that forwards the records of
# hundreds of engines to hundreds of entries would send megabytes.
_FORWARDED_BYTES = 32_768
_MIN_PIECE_BYTES = 512
# Most pieces of one update.  Of more changes, as hundreds of back ends start at
# once, the others only hear that they exist, and each reads them by itself.
_MAX_PIECES = 64
# Most incomplete updates whose pieces are counted.
_MAX_OPEN_UPDATES = 16
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
    entries
        Number of entries that share reads.
    """

    def __init__(
        self,
        name: str,
        view: StoreView,
        clock: Clock,
        schedule: ReadSchedule,
        send: Callable[[Message], bool],
        report_available: Callable[[bool], None],
        entries: EntryCount,
    ) -> None:
        """Create a reader that has not read yet."""
        self._name = name
        self._view = view
        self._clock = clock
        self._schedule = schedule
        self._send = send
        self._report_available = report_available
        self._entries = entries
        self._pieces = _PieceCounter()
        self._synced_at = float('-inf')
        self._listed_at = float('-inf')
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
        if isinstance(message, wire.PairsQuery):
            self._handle_query(message, link)
        elif isinstance(message, wire.PairsUpdate):
            self._apply_update(message)

    async def _read(self) -> None:
        known = self._view.newest
        started_at = self._clock.monotonic()
        if self._schedule.failed:
            self._send(wire.PairsQuery(self._name, known, to_all=True))
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
            self._record_read(known, started_at)
        finally:
            self._read_timeout = None

    def _record_read(self, known: int, started_at: float) -> None:
        """Share what was read, if the others may not know it yet."""
        if self._schedule.catching_up:
            self._schedule.record_caught_up(started_at)
        else:
            self._schedule.record_read(started_at, self._share(known))

    def _handle_read_failure(self, error: StoreUnavailableError) -> None:
        now = self._clock.monotonic()
        failed_before = self._schedule.failed
        self._schedule.record_failure(now)
        if self._is_stale(now):
            log_event('reading_failed', 'WARNING', why=error)
            self._report_available(False)
        if not failed_before:
            self._send(wire.PairsQuery(self._name, self._view.newest))

    def _is_stale(self, now: float) -> bool:
        return now - self._synced_at > _STALE_SECONDS

    def _mark_synced(self, synced_at: float) -> None:
        self._synced_at = synced_at
        self._report_available(True)

    def _handle_query(self, query: wire.PairsQuery, link: Link) -> None:
        now = self._clock.monotonic()
        if query.to_all:
            self._schedule.record_attempt_elsewhere(now)
        stale = self._is_stale(now)
        if stale and self._schedule.failed:
            # Its next read may be postponed until the service is back.
            self._report_available(False)
        # Keys that were last read before an outage may be outdated.
        is_newer = self._view.newest > query.since
        if query.answer_wanted and is_newer and not stale:
            pairs = self._encode_changes(query.asker, query.since)
            link.send(self._make_update(query.asker, query.since, pairs))

    def _share(self, since: int) -> bool:
        """Send what changed to all entries; return whether any is reached."""
        pairs = self._encode_changes(_ALL_ENTRIES, since)
        piece_bytes = max(
            _MIN_PIECE_BYTES, _FORWARDED_BYTES // self._entries.count
        )
        groups = _group_by_size(pairs, piece_bytes)
        if len(groups) > _MAX_PIECES:
            groups, since = [[]], self._view.newest
        update = self._make_update(_ALL_ENTRIES, since, [])
        update.pieces = len(groups)
        sent = [
            self._send(replace(update, piece=number, pairs=group))
            for number, group in enumerate(groups)
        ]
        return all(sent)

    def _make_update(
        self, asker: str, since: int, pairs: list[wire.StoredPair]
    ) -> wire.PairsUpdate:
        return wire.PairsUpdate(
            asker=asker,
            since=since,
            newest=self._view.newest,
            pairs=pairs,
            reader=self._name,
            digest=self._view.digest,
        )

    def _encode_changes(self, asker: str, since: int) -> list[wire.StoredPair]:
        return [
            self._encode_change(asker, since, change)
            for change in self._view.changes_since(since)
        ]

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

    def _apply_update(self, update: wire.PairsUpdate) -> None:
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
        if not self._pieces.is_last(update):
            # If the other pieces do not arrive, the next read is due as before.
            self._view.merge_from_peer(changes, known)
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
        self._compare(update, now)

    def _compare(self, update: wire.PairsUpdate, now: float) -> None:
        """List everything if the sender holds something else.

        A value that was deleted and written again between two reads of the
        sender looks rewritten to it, and is not sent.
        """
        agrees = update.digest in {0, self._view.digest}
        comparable = update.newest == self._view.newest
        recent = now <= self._listed_at + _LISTING_INTERVAL_SECONDS
        if comparable and not agrees and not recent:
            self._listed_at = now
            log_event(
                'views_differ', reader=update.reader, newest=update.newest
            )
            self._view.require_listing()
        if self._view.listing_required:
            # The update has postponed the next read.
            self._schedule.read_now(now)

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


class _PieceCounter:
    """Counts the pieces of the updates that are being received."""

    def __init__(self) -> None:
        """Start without pieces."""
        self._received: OrderedDict[tuple[str, int, int], set[int]] = (
            OrderedDict()
        )

    def is_last(self, update: wire.PairsUpdate) -> bool:
        """Count a piece; return whether the update is complete with it."""
        if update.pieces <= 1:
            return True
        identity = (update.reader, update.since, update.newest)
        received = self._received.setdefault(identity, set())
        received.add(update.piece)
        if len(received) >= update.pieces:
            self._received.pop(identity)
            return True
        if len(self._received) > _MAX_OPEN_UPDATES:
            self._received.popitem(last=False)
        return False


def _group_by_size(
    pairs: list[wire.StoredPair], group_bytes: int
) -> list[list[wire.StoredPair]]:
    """Divide pairs into groups of a size; at least one, which may be empty."""
    groups: list[list[wire.StoredPair]] = [[]]
    size = 0
    for pair in pairs:
        if size >= group_bytes:
            groups.append([])
            size = 0
        groups[-1].append(pair)
        size += len(pair.key) + len(pair.stored)
    return groups


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
