"""A fleet that starts within a second, on a virtual clock and without network.

Load pattern: all entries, endpoint processes and back ends start at once. The
back ends register within a second and then rewrite their records every 1.2 s,
while the key-value service refuses calls above its rate.
"""

import asyncio
import json
import unittest
from collections import Counter
from random import Random
from unittest import mock

from primrosewood.codec import encode_message
from primrosewood.enginekeeper import EngineKeeper
from primrosewood.entrycount import EntryCount
from primrosewood.errors import StoreUnavailableError
from primrosewood.kv import Change, ChangeList, Listing, Pair
from primrosewood.movableengine import EngineLocation
from primrosewood.platform.documents import select_content
from primrosewood.readschedule import ReadSchedule
from primrosewood.sharedreader import SharedReader
from primrosewood.storeview import StoreView

from .virtualtime import LoopClock, run_virtual

_REWRITE_SECONDS = 1.2
_LINK_SECONDS = 0.03
_START_SECONDS = 10
_READS_PER_SECOND = 2000
_MAX_BYTES_OUT_PER_SECOND = 262_144


class _Store:
    """A key-value service with a bounded rate of reads."""

    def __init__(self, pairs):
        self.revision = 0
        self.events = []
        self.pairs = {}
        self.reads = Counter()
        self.refusals = 0
        for key, stored in pairs:
            self.put(key, stored)

    def put(self, key, stored):
        self.revision += 1
        self.pairs[key] = Pair(key, stored, self.revision)
        self.events.append(Change(key, self.revision, self.pairs[key]))

    async def list_all(self, _prefix):
        await self._count()
        return Listing(list(self.pairs.values()), self.revision)

    async def list_changes(self, _prefix, known):
        await self._count()
        first = max(0, len(self.events) - (self.revision - known))
        return ChangeList(self.events[first:], self.revision)

    async def _count(self):
        second = int(LoopClock().monotonic())
        self.reads[second] += 1
        await asyncio.sleep(0.008)
        if self.reads[second] > _READS_PER_SECOND:
            self.refusals += 1
            raise StoreUnavailableError('status 429')


class _Traffic:
    """Bytes that processes send and receive, by second."""

    def __init__(self):
        self.received = Counter()
        self.sent = Counter()
        self.kinds = Counter()

    def count(self, sender, recipient, message):
        size = len(encode_message(message).body)
        self.received[recipient] += size
        self.sent[sender, int(LoopClock().monotonic())] += size
        self.kinds[type(message).__name__] += size


class _Forwarder:
    """Server side of an endpoint process: delivers to the entries."""

    def __init__(self, name, fleet):
        self.name = name
        self._fleet = fleet
        self._order = []
        self.keeper = EngineKeeper(
            mock.Mock(),
            EngineLocation('s', 'd1'),
            LoopClock(),
            mock.Mock(),
            fleet.random,
        )
        self.keeper.server = self

    def broadcast(self, message, exclude=()):
        for name in self._fleet.readers:
            if name not in exclude:
                self.send_to(name, message)

    def send_to_some(self, message, limit, exclude=None):
        others = [name for name in self._fleet.readers if name != exclude]
        chosen = self._fleet.random.sample(others, min(limit, len(others)))
        for name in chosen:
            self.send_to(name, message)
        return chosen

    def send_to(self, name, message):
        self._fleet.deliver(self.name, name, message, self)


class _Link:
    """An entry's link to an endpoint process, for replies."""

    def __init__(self, entry, forwarder, fleet):
        self._entry = entry
        self._forwarder = forwarder
        self._fleet = fleet

    def send(self, message):
        self._fleet.forward(self._entry, self._forwarder, message)


class _Fleet:
    """Entries, endpoint processes and a store.

    Parameters
    ----------
    engines, others
        Number of engines, each with an endpoint process, and of other back
        ends.
    """

    def __init__(self, entries, engines, others, seed=1):
        self.random = Random(seed)
        self.traffic = _Traffic()
        self.back_ends = engines + others
        table = {'routes': [{'name': f'route-{each}'} for each in range(500)]}
        self.store = _Store([('op/config', json.dumps(table).encode())])
        self.forwarders = [
            _Forwarder(f'endpoint-{each}', self) for each in range(engines)
        ]
        self.registered = 0
        self.held = {}
        self._rotations = {}
        self._linked_at = {}
        self.readers = {
            f'entry-{each}': self._make_reader(f'entry-{each}', entries)
            for each in range(entries)
        }

    @property
    def view_bytes(self):
        return sum(len(each.stored) for each in self.store.pairs.values())

    async def run(self, seconds):
        tasks = [
            asyncio.create_task(self._run_back_end(number))
            for number in range(self.back_ends)
        ]
        tasks += [
            asyncio.create_task(self._run_entry(name)) for name in self.readers
        ]
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def forward(self, entry, forwarder, message):
        self.traffic.count(entry, forwarder.name, message)
        self._later(forwarder.keeper.handle, message, entry)

    def deliver(self, sender, name, message, forwarder):
        self.traffic.count(sender, name, message)
        link = _Link(name, forwarder, self)
        self._later(self.readers[name].handle, message, link)

    def _later(self, action, *arguments):
        delay = self.random.uniform(0.005, 0.02)
        asyncio.get_running_loop().call_later(delay, action, *arguments)

    def _make_reader(self, name, entries):
        held = self.held.setdefault(name, {})
        count = EntryCount(entries)
        return SharedReader(
            name=name,
            view=StoreView(self.store, '', held.__setitem__, select_content),
            clock=LoopClock(),
            schedule=ReadSchedule(name, count, self.random, 0.0),
            send=lambda message: self._send(name, message),
            report_available=mock.Mock(),
            entries=count,
        )

    def _send(self, name, message):
        now = LoopClock().monotonic()
        if any(key.startswith('servers/') for key in self.held[name]):
            self._linked_at.setdefault(name, now + _LINK_SECONDS)
        if now < self._linked_at.get(name, now + 1):
            return False
        rotation = self._rotations.setdefault(
            name, self.random.sample(self.forwarders, len(self.forwarders))
        )
        rotation.append(rotation.pop(0))
        self.forward(name, rotation[-1], message)
        return True

    async def _run_entry(self, name):
        await asyncio.sleep(self.random.uniform(0, 0.3))
        await self.readers[name].run()

    async def _run_back_end(self, number):
        await asyncio.sleep(self.random.uniform(0, 1))
        sequence = 0
        while True:
            sequence += 1
            document = {
                'service': f's{number % 30}',
                'address': f'10.0.{number // 250}.{number % 250}:8080',
                'zone': f'zone-{number % 3}',
                'version': 'v1',
                'slots': 24,
                'state': 'ready',
                'cold_remaining_ms': 0,
                'born': 1771910575727,
                'sequence': sequence,
            }
            stored = json.dumps(document).encode()
            self.store.put(f'servers/i-{number:08x}', stored)
            await asyncio.sleep(_REWRITE_SECONDS)


class FleetStartTest(unittest.TestCase):
    """Bytes between processes in the first ten seconds."""

    def check(self, entries, engines, others):
        fleet = _Fleet(entries, engines, others)
        run_virtual(fleet.run(_START_SECONDS))
        received = max(fleet.traffic.received.values())
        sent = max(fleet.traffic.sent.values())
        self.assertLess(received, 3 * fleet.view_bytes, fleet.traffic.kinds)
        self.assertLess(sent, _MAX_BYTES_OUT_PER_SECOND, fleet.traffic.kinds)
        for held in fleet.held.values():
            self.assertEqual(fleet.back_ends + 1, len(held))

    def test_bytes_of_a_start(self):
        """Guards against entries that all send all others what they read.

        As 301 VMs started, one process forwarded 7.9 MB a second.
        """
        for entries, engines in ((5, 5), (27, 25), (68, 31), (150, 150)):
            with self.subTest(entries=entries, engines=engines):
                self.check(entries, engines, others=3)

    def test_bytes_of_a_start_at_the_planned_size(self):
        """Guards against a process that forwards megabytes as a fleet starts."""
        self.check(entries=330, engines=630, others=3)

    def test_back_ends_beyond_the_engines(self):
        """Guards against 2,500 rewritten records a second to every entry."""
        self.check(entries=60, engines=60, others=1200)


if __name__ == '__main__':
    unittest.main()
