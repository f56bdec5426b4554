"""Tests of entries that share their reads of the key-value service."""

import asyncio
import json
import unittest
from random import Random
from unittest import mock

from primrosewood import gen_wire as wire
from primrosewood.clock import SystemClock
from primrosewood.codec import serialise_frame
from primrosewood.entrycount import EntryCount
from primrosewood.errors import StoreUnavailableError
from primrosewood.kv import MemoryKeyValue
from primrosewood.patches import decompress_value, make_patch
from primrosewood.readschedule import ReadSchedule
from primrosewood.sharedreader import SharedReader
from primrosewood.storeview import StoreView


class _CountingKeyValue(MemoryKeyValue):
    """A key-value service that counts reads and can be slow or down."""

    def __init__(self):
        super().__init__()
        self.read_count = 0
        self.cancelled_count = 0
        self.is_down = False
        self.read_seconds = 0.002

    async def list_all(self, prefix):
        await self._count()
        return await super().list_all(prefix)

    async def list_changes(self, prefix, known):
        await self._count()
        return await super().list_changes(prefix, known)

    async def _count(self):
        self.read_count += 1
        try:
            await asyncio.sleep(self.read_seconds)
        except asyncio.CancelledError:
            self.cancelled_count += 1
            raise
        if self.is_down:
            raise StoreUnavailableError('down')


class _RefusingKeyValue(MemoryKeyValue):
    """The key-value service as seen by a process that it refuses."""

    async def list_all(self, prefix):
        raise StoreUnavailableError('refused')

    async def list_changes(self, prefix, known):
        raise StoreUnavailableError('refused')


class _MessageBus:
    """Forwards messages between readers, like an endpoint process."""

    def __init__(self):
        self.readers = {}
        self.partitioned = set()
        self.messages_to_drop = 0
        self.connected = True
        self.updates = []

    def connect(self, name):
        return lambda message: self.send(name, message)

    def send(self, sender, message):
        if self.messages_to_drop:
            self.messages_to_drop -= 1
            return True
        asker = getattr(message, 'asker', '')
        is_update = isinstance(message, wire.PairsUpdate)
        if is_update:
            self.updates.append(message)
        for name, reader in self.readers.items():
            is_recipient = (
                name == asker if is_update and asker else name != sender
            )
            if is_recipient and not self.partitioned & {name, sender}:
                reader.handle(message, _Link(self, name))
        return self.connected


class _Link:
    """A reader's link for replies over the bus."""

    def __init__(self, bus, name):
        self._bus = bus
        self._name = name

    def send(self, message):
        self._bus.send(self._name, message)


class SharedReaderTest(unittest.IsolatedAsyncioTestCase):
    """Keys that each reader holds, and calls that the service gets."""

    def setUp(self):
        self.entries = EntryCount(8)
        self.store = _CountingKeyValue()
        self.bus = _MessageBus()
        self.held = {}
        self.availability = {}

    def add(self, name, store=None):
        held = self.held.setdefault(name, {})
        reported = self.availability.setdefault(name, [])

        def take(key, pair):
            if pair is None:
                held.pop(key, None)
            else:
                held[key] = pair.stored

        self.bus.readers[name] = SharedReader(
            name=name,
            view=StoreView(store or self.store, '', take),
            clock=SystemClock(),
            schedule=ReadSchedule(
                name,
                self.entries,
                Random(len(self.held)),
                SystemClock().monotonic(),
            ),
            send=self.bus.connect(name),
            report_available=reported.append,
            entries=self.entries,
        )
        task = asyncio.create_task(self.bus.readers[name].run())
        self.addCleanup(task.cancel)

    async def wait_held(self, wanted, names=None, seconds=2.0):
        async with asyncio.timeout(seconds):
            while any(self.held[name] != wanted for name in names or self.held):
                await asyncio.sleep(0.01)

    async def test_calls_do_not_grow_with_the_number_of_entries(self):
        """Guards against 330 entries that make 900 calls a second.

        The service refuses calls above its rate, which delays changes for all
        entries. Here 40 readers make few more calls than one.
        """
        for number in range(40):
            self.add(f'e{number}')
        await self.store.put('a', b'1')
        await self.wait_held({'a': b'1'})
        self.store.read_count = 0
        await asyncio.sleep(2)
        # A single reader reads four to five times in two seconds.
        self.assertLess(self.store.read_count, 20)
        self.assertGreaterEqual(self.store.read_count, 3)

    async def test_entries_without_peers_read_less_often(self):
        """Guards against 170 calls a second by 68 entries that start first.

        Until the first engine registers they know of no process that could
        forward their updates, and each reads for itself.
        """
        self.bus.connected = False
        self.bus.partitioned = {f'e{number}' for number in range(10)}
        for number in range(10):
            self.add(f'e{number}')
        await asyncio.sleep(2.5)
        self.assertLessEqual(self.store.read_count, 40)
        await self.store.put('a', b'1')
        await self.wait_held({'a': b'1'}, seconds=1.3)

    async def test_changes_and_deletions_reach_all(self):
        for number in range(5):
            self.add(f'e{number}')
        await self.store.put('a', b'1')
        await self.store.put('b', b'2')
        await self.wait_held({'a': b'1', 'b': b'2'})
        self.store.delete('a')
        await self.store.put('b', b'3')
        await self.wait_held({'b': b'3'}, seconds=1.0)

    async def test_entry_without_updates_reads_by_itself(self):
        """An entry is partitioned from endpoint processes, not the store."""
        for name in ('e1', 'e2', 'e3'):
            self.add(name)
        await self.store.put('a', b'1')
        await self.wait_held({'a': b'1'})
        self.bus.partitioned.add('e2')
        await self.store.put('a', b'2')
        await self.wait_held({'a': b'2'}, seconds=1.0)

    async def test_lost_updates(self):
        """Some updates are lost without an error.

        Their changes must not be missing after later updates arrive.
        """
        for name in ('e1', 'e2', 'e3'):
            self.add(name)
        await self.wait_held({})
        for number in range(12):
            self.bus.messages_to_drop = number % 3
            await self.store.put(f'k{number}', b'x')
            await asyncio.sleep(0.1)
        wanted = {f'k{number}': b'x' for number in range(12)}
        await self.wait_held(wanted, seconds=1.0)

    async def test_refused_entry(self):
        """The service refuses one entry and serves the others.

        The refused entry still gets all changes, and does not report the
        service as lost.
        """
        refusing = _RefusingKeyValue()
        self.add('e1')
        self.add('e2')
        self.add('e3', refusing)
        await self.store.put('a', b'1')
        await self.wait_held({'a': b'1'})
        self.availability['e3'].clear()
        for value in (b'2', b'3', b'4'):
            await self.store.put('a', value)
            await self.wait_held({'a': value}, seconds=1.0)
        self.assertNotIn(False, self.availability['e3'])
        self.assertIn(True, self.availability['e3'])

    async def test_refused_entry_without_updates(self):
        """Broadcast updates are lost, but its own queries are answered."""
        self.add('e1')
        self.add('e3', _RefusingKeyValue())
        await self.store.put('a', b'1')
        await self.wait_held({'a': b'1'})
        original_send = self.bus.send

        def send(sender, message):
            if getattr(message, 'asker', ''):
                original_send(sender, message)

        self.bus.send = send
        await self.store.put('a', b'2')
        await self.wait_held({'a': b'2'}, seconds=2.5)

    async def test_outage_and_recovery(self):
        """The service is down for all entries, then recovers.

        Each entry reports the outage after a while, and none sends outdated
        keys as an update.
        """
        for name in ('e1', 'e2'):
            self.add(name)
        await self.store.put('a', b'1')
        await self.wait_held({'a': b'1'})
        self.store.is_down = True
        await self.store.put('a', b'2')
        async with asyncio.timeout(4):
            while not all(
                False in reported for reported in self.availability.values()
            ):
                await asyncio.sleep(0.01)
        self.assertEqual({'a': b'1'}, self.held['e1'])
        self.store.is_down = False
        await self.wait_held({'a': b'2'}, seconds=1.0)
        self.assertTrue(
            all(reported[-1] for reported in self.availability.values())
        )

    async def test_change_of_a_large_value_is_sent_as_a_patch(self):
        """One of 1,900 routes changes, and a network link has 10 Mbit/s.

        Guards against sending the complete value: it took 2 to 4 s to reach an
        entry, longer than a change may take to be in force.
        """
        self.add('e1')
        self.add('e2')
        await self.store.put('routes', make_routes(1900))
        await self.wait_held({'routes': make_routes(1900)})
        self.bus.updates.clear()
        await self.store.put('routes', make_routes(1901))
        await self.wait_held({'routes': make_routes(1901)})
        sent_bytes = sum(
            len(serialise_frame([message])) for message in self.bus.updates
        )
        self.assertLess(sent_bytes, len(make_routes(1900)) / 20)

    async def test_patch_to_an_unknown_version(self):
        """An entry gets a patch to a version of a value that it does not hold.

        It must neither store the patch as the value nor consider its view
        complete.
        """
        self.add('e1', _RefusingKeyValue())
        before, after = make_routes(100), make_routes(101)
        patch = make_patch(before, after)
        patched = wire.StoredPair(
            key='routes',
            revision=9,
            deleted=False,
            stored=patch.inserted,
            base=5,
            copies=[list(row) for row in patch.copies],
        )
        reader = self.bus.readers['e1']
        reader.handle(wire.PairsUpdate('', 0, 9, [patched]), None)
        self.assertEqual({}, self.held['e1'])
        whole = wire.StoredPair('routes', 5, False, before)
        reader.handle(wire.PairsUpdate('', 0, 5, [whole]), None)
        reader.handle(wire.PairsUpdate('', 5, 9, [patched]), None)
        self.assertEqual({'routes': after}, self.held['e1'])

    async def test_queries_are_answered_with_complete_values(self):
        """An entry that the service refuses holds another version.

        Guards against answering its queries with a patch to a version that it
        never held: it kept outdated routes until the service served it again.
        """
        self.add('e1', _RefusingKeyValue())
        reader = self.bus.readers['e1']
        for since, newest, count in ((0, 5, 100), (5, 12, 102)):
            whole = wire.StoredPair('routes', newest, False, make_routes(count))
            reader.handle(wire.PairsUpdate('', since, newest, [whole]), None)
        answers = []
        link = mock.Mock(send=answers.append)
        reader.handle(wire.PairsQuery('e3', 9), link)
        answered = answers[0].pairs[0]
        self.assertEqual(0, answered.base)
        self.assertEqual(make_routes(102), decompress_value(answered.stored))

    async def test_new_entry_gets_complete_values(self):
        """It holds no version that a patch could apply to."""
        self.add('e1')
        await self.store.put('routes', make_routes(100))
        await self.wait_held({'routes': make_routes(100)})
        await self.store.put('routes', make_routes(101))
        await self.wait_held({'routes': make_routes(101)})
        self.add('e2', _RefusingKeyValue())
        await self.wait_held({'routes': make_routes(101)})

    async def test_slow_read_is_cancelled_by_an_update(self):
        """All entries read the larger routes at once, some on slow links.

        An entry on a fast link finishes first and sends an update; the others
        must not spend seconds more on a read that is redundant by then.
        """
        slow = _CountingKeyValue()
        slow.read_seconds = 30
        await slow.put('a', b'1')
        self.add('slow', slow)
        await asyncio.sleep(0.05)
        self.add('fast')
        await self.store.put('a', b'1')
        await self.wait_held({'a': b'1'})
        async with asyncio.timeout(2):
            while not slow.cancelled_count:
                await asyncio.sleep(0.01)

    async def test_views_that_differ(self):
        """A back end lapses in an outage and registers again unchanged.

        Guards against an entry that lost it for good: the reader, which saw
        neither, takes the value for a rewritten one and does not send it. The
        digest shows that the entry lacks it, and it lists everything, but not
        for each update.
        """
        await self.store.put('a', b'1')
        self.add('e1')
        await self.wait_held({'a': b'1'})
        newest = self.store.revision
        update = wire.PairsUpdate('', newest, newest, [], 'e0', digest=12345)
        with mock.patch.object(
            self.store, 'list_all', wraps=self.store.list_all
        ) as listing:
            for _number in range(5):
                self.bus.readers['e1'].handle(update, None)
                await asyncio.sleep(0.45)
        self.assertEqual(1, listing.call_count)

    async def test_update_in_pieces(self):
        """Guards against a view that seems complete while a piece is missing."""
        self.add('e1', _RefusingKeyValue())
        reader = self.bus.readers['e1']
        pairs = [wire.StoredPair(key, 5, False, b'1') for key in 'ab']
        first, last = (
            wire.PairsUpdate('', 0, 5, [pair], 'e0', pieces=2, piece=number)
            for number, pair in enumerate(pairs)
        )
        self.availability['e1'].clear()
        reader.handle(first, None)
        self.assertEqual({'a': b'1'}, self.held['e1'])
        self.assertNotIn(True, self.availability['e1'])
        reader.handle(last, None)
        self.assertEqual({'a': b'1', 'b': b'1'}, self.held['e1'])
        self.assertIn(True, self.availability['e1'])

    async def test_pieces_of_two_updates_in_turn(self):
        """Guards against two readers whose updates keep each other open."""
        self.add('e1', _RefusingKeyValue())
        reader = self.bus.readers['e1']
        pairs = [wire.StoredPair(key, 5, False, b'1') for key in 'ab']
        self.availability['e1'].clear()
        for number, pair in enumerate(pairs):
            for sender in ('e0', 'e2'):
                reader.handle(
                    wire.PairsUpdate(
                        '', 0, 5, [pair], sender, pieces=2, piece=number
                    ),
                    None,
                )
        self.assertIn(True, self.availability['e1'])


def make_routes(count):
    """Return a route table whose version is its number of routes."""
    routes = [
        {'name': f'route-{number}', 'path_prefix': f'/p{number}/'}
        for number in range(count)
    ]
    return json.dumps({'version': count, 'routes': routes}).encode()
