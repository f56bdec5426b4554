"""Entries that share their readings of the key-value service."""

import asyncio
import json
import unittest
from random import Random
from unittest import mock

from primrosewood import gen_wire as wire
from primrosewood.clock import SystemClock
from primrosewood.codec import serialise_frame
from primrosewood.errors import StoreUnavailableError
from primrosewood.kv import MemoryKeyValue
from primrosewood.patches import make_patch, unpack
from primrosewood.sharedreader import SharedReader
from primrosewood.storeview import StoreView


class _Counted(MemoryKeyValue):
    """Counts readings; turns readers away."""

    def __init__(self):
        super().__init__()
        self.readings = 0
        self.away = False
        self.pause = 0.002

    async def list_all(self, prefix):
        await self._count()
        return await super().list_all(prefix)

    async def list_changes(self, prefix, known):
        await self._count()
        return await super().list_changes(prefix, known)

    async def _count(self):
        self.readings += 1
        await asyncio.sleep(self.pause)
        if self.away:
            raise StoreUnavailableError('away')


class _TurnedAway(MemoryKeyValue):
    """What a process sees that the service turns away."""

    async def list_all(self, prefix):
        raise StoreUnavailableError('not you')

    async def list_changes(self, prefix, known):
        raise StoreUnavailableError('not you')


class _Bus:
    """Passes messages on between readers, as a process beside an engine."""

    def __init__(self):
        self.readers = {}
        self.cut = set()
        self.lose = 0
        self.told = []

    def connect(self, name):
        return lambda message: self.send(name, message)

    def send(self, sender, message):
        if self.lose:
            self.lose -= 1
            return
        asker = getattr(message, 'asker', '')
        told = isinstance(message, wire.PairsTold)
        if told:
            self.told.append(message)
        for name, reader in self.readers.items():
            wanted = name == asker if told and asker else name != sender
            if wanted and not self.cut & {name, sender}:
                reader.handle(message, _Link(self, name))


class _Link:
    """The way back to the bus."""

    def __init__(self, bus, name):
        self._bus = bus
        self._name = name

    def send(self, message):
        self._bus.send(self._name, message)


class SharedReaderTest(unittest.IsolatedAsyncioTestCase):
    """What each knows, and how often the service is asked."""

    def setUp(self):
        self.store = _Counted()
        self.bus = _Bus()
        self.held = {}
        self.answered = {}

    def add(self, name, store=None):
        held = self.held.setdefault(name, {})
        notes = self.answered.setdefault(name, [])

        def take(key, pair):
            if pair is None:
                held.pop(key, None)
            else:
                held[key] = pair.stored

        self.bus.readers[name] = SharedReader(
            name=name,
            view=StoreView(store or self.store, '', take),
            clock=SystemClock(),
            random=Random(len(self.held)),
            send=self.bus.connect(name),
            report_available=notes.append,
        )
        task = asyncio.create_task(self.bus.readers[name].run())
        self.addCleanup(task.cancel)

    async def wait_held(self, wanted, names=None, seconds=2.0):
        async with asyncio.timeout(seconds):
            while any(self.held[name] != wanted for name in names or self.held):
                await asyncio.sleep(0.01)

    async def test_calls_do_not_grow_with_the_entries(self):
        """A fleet of 330 entries would ask 900 times a second.

        The service refuses what is over its rate, and changes come late to
        all. Forty readers here ask little more often than one.
        """
        for number in range(40):
            self.add(f'e{number}')
        await self.store.put('a', b'1')
        await self.wait_held({'a': b'1'})
        self.store.readings = 0
        await asyncio.sleep(2)
        # One alone reads four to five times in two seconds.
        self.assertLess(self.store.readings, 20)
        self.assertGreaterEqual(self.store.readings, 3)

    async def test_changes_and_deletions_reach_all(self):
        for number in range(5):
            self.add(f'e{number}')
        await self.store.put('a', b'1')
        await self.store.put('b', b'2')
        await self.wait_held({'a': b'1', 'b': b'2'})
        self.store.delete('a')
        await self.store.put('b', b'3')
        await self.wait_held({'b': b'3'}, seconds=1.0)

    async def test_entry_that_hears_nothing_reads_by_itself(self):
        """An entry is cut from what passes messages on, not from the store."""
        for name in ('e1', 'e2', 'e3'):
            self.add(name)
        await self.store.put('a', b'1')
        await self.wait_held({'a': b'1'})
        self.bus.cut.add('e2')
        await self.store.put('a', b'2')
        await self.wait_held({'a': b'2'}, seconds=1.0)

    async def test_lost_news(self):
        """Some messages never arrive, without a sign.

        What was told in them must not be missing once later ones come.
        """
        for name in ('e1', 'e2', 'e3'):
            self.add(name)
        await self.wait_held({})
        for number in range(12):
            self.bus.lose = number % 3
            await self.store.put(f'k{number}', b'x')
            await asyncio.sleep(0.1)
        wanted = {f'k{number}': b'x' for number in range(12)}
        await self.wait_held(wanted, seconds=1.0)

    async def test_entry_that_is_turned_away(self):
        """The service refuses one entry and serves the others.

        It follows all the same, and does not take the service for lost.
        """
        away = _TurnedAway()
        self.add('e1')
        self.add('e2')
        self.add('e3', away)
        await self.store.put('a', b'1')
        await self.wait_held({'a': b'1'})
        self.answered['e3'].clear()
        for value in (b'2', b'3', b'4'):
            await self.store.put('a', value)
            await self.wait_held({'a': value}, seconds=1.0)
        self.assertNotIn(False, self.answered['e3'])
        self.assertIn(True, self.answered['e3'])

    async def test_entry_that_is_turned_away_and_hears_no_news(self):
        """What passes news on is cut, but its own questions get through."""
        self.add('e1')
        self.add('e3', _TurnedAway())
        await self.store.put('a', b'1')
        await self.wait_held({'a': b'1'})
        sent = self.bus.send

        def send(sender, message):
            if getattr(message, 'asker', ''):
                sent(sender, message)

        self.bus.send = send
        await self.store.put('a', b'2')
        await self.wait_held({'a': b'2'}, seconds=2.5)

    async def test_outage_and_return(self):
        """The service is away for all, then back.

        Each says so once it has lasted, and nobody passes old keys on as news.
        """
        for name in ('e1', 'e2'):
            self.add(name)
        await self.store.put('a', b'1')
        await self.wait_held({'a': b'1'})
        self.store.away = True
        await self.store.put('a', b'2')
        async with asyncio.timeout(4):
            while not all(False in notes for notes in self.answered.values()):
                await asyncio.sleep(0.01)
        self.assertEqual({'a': b'1'}, self.held['e1'])
        self.store.away = False
        await self.wait_held({'a': b'2'}, seconds=1.0)
        self.assertTrue(all(notes[-1] for notes in self.answered.values()))

    async def test_change_of_a_large_value_is_told_as_a_difference(self):
        """One route of 1,900 changes, and a line carries 10 Mbit/s.

        Told whole the routes took 2 to 4 s to reach an entry, longer than a
        change may take to be in force.
        """
        self.add('e1')
        self.add('e2')
        await self.store.put('routes', make_routes(1900))
        await self.wait_held({'routes': make_routes(1900)})
        self.bus.told.clear()
        await self.store.put('routes', make_routes(1901))
        await self.wait_held({'routes': make_routes(1901)})
        told = sum(len(serialise_frame([message])) for message in self.bus.told)
        self.assertLess(told, len(make_routes(1900)) / 20)

    async def test_difference_that_fits_nothing_here(self):
        """An entry hears how a value changed whose version it has not got.

        It must not take the difference for the value, nor believe that it
        knows all.
        """
        self.add('e1', _TurnedAway())
        before, after = make_routes(100), make_routes(101)
        patch = make_patch(before, after)
        told = wire.StoredPair(
            key='routes',
            revision=9,
            deleted=False,
            stored=patch.fresh,
            base=5,
            copies=[list(row) for row in patch.copies],
        )
        reader = self.bus.readers['e1']
        reader.handle(wire.PairsTold('', 0, 9, [told]), None)
        self.assertEqual({}, self.held['e1'])
        whole = wire.StoredPair('routes', 5, False, before)
        reader.handle(wire.PairsTold('', 0, 5, [whole]), None)
        reader.handle(wire.PairsTold('', 5, 9, [told]), None)
        self.assertEqual({'routes': after}, self.held['e1'])

    async def test_who_asks_is_told_whole_values(self):
        """An entry that the service turns away has heard of another version.

        A difference to a version that it never had is of no use, however often
        it asks; it kept old routes until the service took it in again.
        """
        self.add('e1', _TurnedAway())
        reader = self.bus.readers['e1']
        for since, newest, count in ((0, 5, 100), (5, 12, 102)):
            whole = wire.StoredPair('routes', newest, False, make_routes(count))
            reader.handle(wire.PairsTold('', since, newest, [whole]), None)
        answers = []
        link = mock.Mock(send=answers.append)
        reader.handle(wire.PairsAsk('e3', 9), link)
        told = answers[0].pairs[0]
        self.assertEqual(0, told.base)
        self.assertEqual(make_routes(102), unpack(told.stored))

    async def test_entry_that_starts_late_is_told_whole_values(self):
        """It asks with no knowledge: no difference is of use to it."""
        self.add('e1')
        await self.store.put('routes', make_routes(100))
        await self.wait_held({'routes': make_routes(100)})
        await self.store.put('routes', make_routes(101))
        await self.wait_held({'routes': make_routes(101)})
        self.add('e2', _TurnedAway())
        await self.wait_held({'routes': make_routes(101)})

    async def test_reading_over_a_thin_line_is_overtaken(self):
        """All entries read the grown routes at once, some on thin lines.

        One on a fast line is done first and tells; the others must not go on
        for seconds with what they know by then.
        """
        slow = _Counted()
        slow.pause = 30
        await slow.put('a', b'1')
        self.add('slow', slow)
        await asyncio.sleep(0.05)
        self.add('fast')
        await self.store.put('a', b'1')
        await self.wait_held({'a': b'1'})
        slow.pause = 0.002
        slow.readings = 0
        async with asyncio.timeout(2):
            while not slow.readings:
                await asyncio.sleep(0.01)


def make_routes(count):
    """Return a table of routes; another count is another version."""
    routes = [
        {'name': f'route-{number}', 'path_prefix': f'/p{number}/'}
        for number in range(count)
    ]
    return json.dumps({'version': count, 'routes': routes}).encode()
