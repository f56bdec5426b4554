"""Following a prefix while watches and listings overlap."""

import asyncio
import unittest

from primrosewood.announce import Announcer
from primrosewood.errors import HistoryLostError, StoreUnavailableError
from primrosewood.gen_stored import MemberRecord
from primrosewood.kv import Change, MemoryKeyValue, Pair
from primrosewood.watcher import Watcher, PollSchedule


class _SlowListing(MemoryKeyValue):
    """Answers a listing late, with what stood when it was asked."""

    def __init__(self):
        super().__init__()
        self.gate = asyncio.Event()

    async def list_pairs(self, prefix, since=0):
        pairs = await super().list_pairs(prefix, since)
        await self.gate.wait()
        return pairs


class _MuteWatch(MemoryKeyValue):
    """Its watches hear nothing."""

    async def watch(self, prefix, since):
        await asyncio.sleep(1000)
        yield


class _ShortHistory(MemoryKeyValue):
    """Has dropped its history once."""

    def __init__(self):
        super().__init__()
        self.refused = False

    async def watch(self, prefix, since):
        if not self.refused:
            self.refused = True
            raise HistoryLostError('gone')
        async for change in super().watch(prefix, since):
            yield change


class WatcherTest(unittest.IsolatedAsyncioTestCase):
    """What the taker is told."""

    def setUp(self):
        self.held = {}

    def take(self, key, pair):
        if pair is None:
            self.held.pop(key, None)
        else:
            self.held[key] = pair.stored

    async def wait_for(self, wanted):
        async with asyncio.timeout(5):
            while self.held != wanted:
                await asyncio.sleep(0.01)

    async def begin_listing(self, store, stored):
        """Return a listing that has read the store and not yet answered."""
        await store.put('m/1', stored)
        watcher = Watcher(store, 'm/', PollSchedule(1000), self.take)
        store.gate.set()
        following = asyncio.create_task(watcher.run())
        self.addCleanup(following.cancel)
        await self.wait_for({'m/1': stored})
        store.gate.clear()
        listing = asyncio.create_task(watcher.list_all())
        await asyncio.sleep(0.01)
        return listing

    async def test_listing_from_before_a_deletion_brings_nothing_back(self):
        """An engine leaves while an entry lists all records.

        The watch tells the deletion, then the listing, which was read before
        it, comes: callers would be sent to an engine that has gone.
        """
        store = _SlowListing()
        listing = await self.begin_listing(store, b'1')
        store.delete('m/1')
        await self.wait_for({})
        store.gate.set()
        await listing
        self.assertEqual({}, self.held)

    async def test_listing_from_before_a_change_does_not_win(self):
        """Operators change a route while an entry lists all keys.

        The watch brings the new version, then the older listing comes: the
        entry would go back to a version that is not in force any more.
        """
        store = _SlowListing()
        listing = await self.begin_listing(store, b'old')
        await store.put('m/1', b'new')
        await self.wait_for({'m/1': b'new'})
        store.gate.set()
        await listing
        self.assertEqual({'m/1': b'new'}, self.held)

    async def test_silent_watch_is_made_good_by_polls(self):
        """A watch that hears nothing, without a reset or an error.

        A change must be in force within seconds of being accepted.
        """
        store = _MuteWatch()
        pace = PollSchedule(0.02, polls_per_listing=1)
        watcher = Watcher(store, 'm/', pace, self.take)
        following = asyncio.create_task(watcher.run())
        await store.put('m/1', b'1')
        await self.wait_for({'m/1': b'1'})
        store.delete('m/1')
        await self.wait_for({})
        following.cancel()

    async def test_dropped_history_is_listed_anew(self):
        """The service drops its history while a watch is out.

        A watch from the old revision is refused for ever, though nothing
        below the prefix may have changed since.
        """
        store = _ShortHistory()
        watcher = Watcher(store, 'm/', PollSchedule(1000), self.take)
        following = asyncio.create_task(watcher.run())
        async with asyncio.timeout(5):
            while not store.refused:
                await asyncio.sleep(0.01)
        await store.put('m/1', b'1')
        await self.wait_for({'m/1': b'1'})
        following.cancel()

    async def test_change_during_a_listing_is_no_deletion(self):
        """An endpoint announces itself while an entry lists all members.

        Its callers would see it vanish from the choice until the next
        listing: the watch brings it, the late listing does not have it.
        """
        store = _SlowListing()
        store.gate.set()
        watcher = Watcher(store, 'm/', PollSchedule(1000), self.take)
        following = asyncio.create_task(watcher.run())
        await store.put('m/1', b'1')
        await self.wait_for({'m/1': b'1'})
        store.gate.clear()
        listing = asyncio.create_task(watcher.list_all())
        await asyncio.sleep(0)
        await store.put('m/2', b'2')
        await self.wait_for({'m/1': b'1', 'm/2': b'2'})
        store.gate.set()
        await listing
        self.assertEqual({'m/1': b'1', 'm/2': b'2'}, self.held)
        following.cancel()

    async def test_listing_finds_deletions_the_watch_missed(self):
        store = MemoryKeyValue()
        lease = await store.grant(30)
        await store.put('m/1', b'1', lease)
        watcher = Watcher(store, 'm/', PollSchedule(1000), self.take)
        await watcher.list_all()
        await store.revoke(lease)
        await watcher.list_all()
        self.assertEqual({}, self.held)

    async def test_changes_that_a_peer_tells(self):
        """An entry that the service turns away hears from one that reads.

        It gets what is newer than what it holds, deletions included, and is
        not taken back by a peer that knows less.
        """
        store = MemoryKeyValue()
        await store.put('m/1', b'1')
        await store.put('m/2', b'2')
        cut = Watcher(store, 'm/', PollSchedule(1000), self.take)
        peer = Watcher(store, 'm/', PollSchedule(1000), _drop)
        await cut.list_all()
        await peer.list_all()
        await store.put('m/1', b'new')
        store.delete('m/2')
        await peer.list_all()
        cut.merge_from_peer(peer.changes_since(cut.newest), peer.newest)
        self.assertEqual({'m/1': b'new'}, self.held)
        self.assertEqual(peer.newest, cut.newest)
        cut.merge_from_peer([Change('m/1', 1, Pair('m/1', b'1', 1))], 1)
        self.assertEqual({'m/1': b'new'}, self.held)
        self.assertEqual(peer.newest, cut.newest)

    async def test_told_changes_do_not_hide_what_the_service_says(self):
        """A peer missed one change and told the ones after it.

        When the service answers again the missed one must still come.
        """
        store = MemoryKeyValue()
        await store.put('m/1', b'1')
        watcher = Watcher(store, 'm/', PollSchedule(1000), self.take)
        await watcher.list_all()
        await store.put('m/2', b'missed')
        await store.put('m/3', b'told')
        told = await store.list_pairs('m/3')
        watcher.merge_from_peer(
            [Change(pair.key, pair.revision, pair) for pair in told], 3
        )
        following = asyncio.create_task(watcher.run())
        self.addCleanup(following.cancel)
        await self.wait_for({'m/1': b'1', 'm/2': b'missed', 'm/3': b'told'})


def _drop(_key, _pair):
    """Take nothing."""


class _FirstPutFails(MemoryKeyValue):
    """Loses the first write."""

    def __init__(self):
        super().__init__()
        self.failures = 1

    async def put(self, key, stored, lease=0):
        if self.failures:
            self.failures -= 1
            raise StoreUnavailableError('down')
        return await super().put(key, stored, lease)


class AnnouncerTest(unittest.IsolatedAsyncioTestCase):
    """The membership record under its lease."""

    def setUp(self):
        self.member = MemberRecord('e1', 'v', 't', 's', 'd', 'i', 'ws://x')

    async def test_record_is_written_though_the_first_write_failed(self):
        """The service took the lease and then was away for the write.

        No entry would ever see the endpoint, though its lease is renewed.
        """
        store = _FirstPutFails()
        announcer = Announcer(store, self.member, 30)
        with self.assertRaises(StoreUnavailableError):
            await announcer.renew()
        await announcer.renew()
        self.assertIsNotNone(await store.fetch('primrosewood/members/e1'))

    async def test_lapsed_lease_is_taken_anew(self):
        store = MemoryKeyValue()
        announcer = Announcer(store, self.member, 30)
        await announcer.renew()
        await announcer.withdraw()
        await announcer.renew()
        self.assertIsNotNone(await store.fetch('primrosewood/members/e1'))
