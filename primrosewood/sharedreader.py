"""One reading of the key-value service for all entries.

Every entry needs all that stands there, soon after it changes.  If each reads
for itself the calls grow with the fleet: 330 entries with a watch and a poll
each make 900 calls a second of a service that bears several hundred.  Here
whoever reads tells the others what has changed, and they put their own reading
off.  Nobody is chosen: the first whose time has come reads.  An entry that
hears nothing, since it or what passes messages on is cut off, reads by itself
as soon as if it were alone.

The service may also turn some processes away and serve the others; these hear
from the others all the same, and ask them when they do not.
"""

import asyncio
from collections.abc import Callable

from . import gen_wire as wire
from .clock import Clock, RandomSource
from .codec import Message
from .errors import StoreUnavailableError, WireError
from .kv import Change, Pair
from .link import Link
from .logs import log_decision, log_event
from .patches import apply_patch, make_patch, pack, unpack
from .storeview import StoreView

__all__ = ('SharedReader',)

# From hearing of the service to the next reading, up to half as much again so
# that not all read at once.  Operators' changes must be in force two seconds
# after they were accepted: one reading that ends by its time-out of 0.7 s
# leaves time for another.
_PERIOD_SECONDS = 0.4
_JITTER = 0.5
# A reading that fails while others read well is no outage.
_LOST_SECONDS = 1.0
_TO_ALL = ''
# Smaller values are hardly worth packing.
_PACKED_BYTES = 1024


class SharedReader:
    """Keeps a view of the service fresh, with the other entries.

    Parameters
    ----------
    name
        Of this process, for the way back of answers.
    view
        Reads the service and keeps what is known.
    send
        Sends a message to some process that passes it on to the other
        entries, another one each time.
    note_answered
        Told whether the service answers, here or to others.
    """

    def __init__(
        self,
        name: str,
        view: StoreView,
        clock: Clock,
        random: RandomSource,
        send: Callable[[Message], None],
        report_available: Callable[[bool], None],
    ) -> None:
        """Start as a process that has not read anything."""
        self._name = name
        self._view = view
        self._clock = clock
        self._random = random
        self._send = send
        self._note_answered = report_available
        self._due_at = clock.monotonic()
        self._fresh_at = float('-inf')
        self._reading: asyncio.Timeout | None = None

    async def run(self) -> None:
        """Read whenever nobody else has, until cancelled."""
        while True:
            left = self._due_at - self._clock.monotonic()
            if left > 0:
                await asyncio.sleep(left)
                # Somebody may have told meanwhile.
                continue
            await self._read()

    def handle(self, message: Message, link: Link) -> None:
        """Act on what another entry asks or tells."""
        if isinstance(message, wire.PairsAsk):
            self._answer(message, link)
        elif isinstance(message, wire.PairsTold):
            self._take(message)

    async def _read(self) -> None:
        known = self._view.newest
        began = self._clock.monotonic()
        try:
            async with asyncio.timeout(None) as reading:
                self._reading = reading
                await self._view.read()
        except StoreUnavailableError as error:
            self._note_failure(error)
        except TimeoutError:
            log_event('reading_overtaken', 'DEBUG', newest=self._view.newest)
        else:
            self._note_fresh(began)
            self._send(self._news(_TO_ALL, known))
        finally:
            self._reading = None

    def _note_failure(self, error: StoreUnavailableError) -> None:
        now = self._clock.monotonic()
        self._put_off(now)
        if now - self._fresh_at > _LOST_SECONDS:
            log_event('reading_failed', 'WARNING', why=error)
            self._note_answered(False)
        self._send(wire.PairsAsk(self._name, self._view.newest))

    def _note_fresh(self, at: float) -> None:
        self._fresh_at = at
        self._put_off(at)
        self._note_answered(True)

    def _put_off(self, since: float) -> None:
        spread = 1 + _JITTER * self._random.random()
        self._due_at = since + _PERIOD_SECONDS * spread

    def _answer(self, ask: wire.PairsAsk, link: Link) -> None:
        # What a process last read before an outage is no news.
        age = self._clock.monotonic() - self._fresh_at
        if age <= _LOST_SECONDS and self._view.newest > ask.since:
            link.send(self._news(ask.asker, ask.since))

    def _news(self, asker: str, since: int) -> wire.PairsTold:
        changes = self._view.changes_since(since)
        return wire.PairsTold(
            asker=asker,
            since=since,
            newest=self._view.newest,
            pairs=[self._to_stored(asker, since, each) for each in changes],
        )

    def _end_reading(self) -> None:
        """Give up a reading that is under way, as it brings nothing new.

        Over a thin line it may take seconds yet, which callers' bytes wait
        for.
        """
        if self._reading is not None and not self._reading.expired():
            self._reading.reschedule(asyncio.get_running_loop().time())

    def _to_stored(
        self, asker: str, since: int, change: Change
    ) -> wire.StoredPair:
        told = wire.StoredPair(
            key=change.key,
            revision=change.revision,
            deleted=change.pair is None,
            stored=change.pair.stored if change.pair else b'',
        )
        older = self._view.find_previous(change.key)
        # Most have the version that this process had.  Who has another one
        # reads, or asks and is told the whole value.
        to_all = asker == _TO_ALL
        if to_all and change.pair and older and older.revision <= since:
            patch = make_patch(older.stored, change.pair.stored)
            told.base = older.revision
            told.stored = patch.fresh
            told.copies = [list(row) for row in patch.copies]
        if len(told.stored) >= _PACKED_BYTES:
            told.packed = True
            told.stored = pack(told.stored)
        return told

    def _take(self, told: wire.PairsTold) -> None:
        known = self._view.newest
        found = [self._to_change(pair) for pair in told.pairs]
        changes = [change for change in found if change is not None]
        if told.since > known or len(changes) < len(found):
            # Something was told in between that did not come here; what is
            # told now holds all the same, but does not make this complete.
            self._view.merge_from_peer(changes, known)
            self._due_at = self._clock.monotonic()
            return
        self._view.merge_from_peer(changes, told.newest)
        self._note_fresh(self._clock.monotonic())
        self._end_reading()
        if told.asker == self._name:
            log_decision(
                'changes_heard',
                known=known,
                newest=told.newest,
                changes=len(changes),
            )

    def _to_change(self, told: wire.StoredPair) -> Change | None:
        """Return what was told; None for what is of no use here."""
        if told.deleted:
            return Change(told.key, told.revision, None)
        known = self._view.find(told.key)
        if told.base and known is not None and known.revision >= told.revision:
            return Change(known.key, known.revision, known)
        try:
            stored = _read_value(told, known)
        except WireError as error:
            log_event('value_refused', 'WARNING', key=told.key, why=error)
            return None
        pair = Pair(told.key, stored, told.revision)
        return Change(told.key, told.revision, pair)


def _read_value(told: wire.StoredPair, known: Pair | None) -> bytes:
    fresh = unpack(told.stored) if told.packed else told.stored
    if not told.base:
        return fresh
    if known is None or known.revision != told.base:
        raise WireError('a patch of another version')
    return apply_patch(known.stored, fresh, told.copies)
