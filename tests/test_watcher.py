"""Tests of the watcher, with overlapping sources, and of the announcer."""

import asyncio
import unittest

from primrosewood.announce import Announcer
from primrosewood.errors import HistoryLostError, StoreUnavailableError
from primrosewood.gen_stored import MemberRecord
from primrosewood.kv import Change, MemoryKeyValue, Pair
from primrosewood.watcher import PollSchedule, Watcher


class _DelayedListingStore(MemoryKeyValue):
    """Delays the result of a listing that it has already read."""

    def __init__(self):
        super().__init__()
        self.release = asyncio.Event()

    async def list_pairs(self, prefix, since=0):
        pairs = await super().list_pairs(prefix, since)
        await self.release.wait()
        return pairs


class _SilentWatchStore(MemoryKeyValue):
    """Its watches never yield a change and never fail."""

    async def watch(self, prefix, since):
        await asyncio.sleep(1000)
        yield


class _LostHistoryStore(MemoryKeyValue):
    """Rejects the first watch because its history is lost."""

    def __init__(self):
        super().__init__()
        self.rejected = False

    async def watch(self, prefix, since):
        if not self.rejected:
            self.rejected = True
            raise HistoryLostError('gone')
        async for change in super().watch(prefix, since):
            yield change


class WatcherTest(unittest.IsolatedAsyncioTestCase):
    """Changes that the watcher reports."""

    def setUp(self):
        self.values_by_key = {}

    def apply(self, key, pair):
        if pair is None:
            self.values_by_key.pop(key, None)
        else:
            self.values_by_key[key] = pair.stored

    async def wait_for(self, expected):
        async with asyncio.timeout(5):
            while self.values_by_key != expected:
                await asyncio.sleep(0.01)

    async def begin_listing(self, store, stored):
        """Return a task of a listing that has been read but not returned."""
        await store.put('m/1', stored)
        watcher = Watcher(store, 'm/', PollSchedule(1000), self.apply)
        store.release.set()
        running = asyncio.create_task(watcher.run())
        self.addCleanup(running.cancel)
        await self.wait_for({'m/1': stored})
        store.release.clear()
        listing = asyncio.create_task(watcher.list_all())
        await asyncio.sleep(0.01)
        return listing

    async def test_older_listing_does_not_restore_a_deleted_key(self):
        """An engine leaves while an entry lists all records.

        The watch reports the deletion before the older listing arrives. The
        listing must not restore the record, or calls would be routed to an
        engine that is gone.
        """
        store = _DelayedListingStore()
        listing = await self.begin_listing(store, b'1')
        store.delete('m/1')
        await self.wait_for({})
        store.release.set()
        await listing
        self.assertEqual({}, self.values_by_key)

    async def test_older_listing_does_not_revert_a_change(self):
        """Operators change a route while an entry lists all keys.

        The watch reports the new version before the older listing arrives. The
        entry must not revert to the version in the listing.
        """
        store = _DelayedListingStore()
        listing = await self.begin_listing(store, b'old')
        await store.put('m/1', b'new')
        await self.wait_for({'m/1': b'new'})
        store.release.set()
        await listing
        self.assertEqual({'m/1': b'new'}, self.values_by_key)

    async def test_polls_find_changes_that_a_silent_watch_misses(self):
        """The watch yields nothing, without a reset or an error.

        Polls must find changes, which have to take effect within seconds of
        being accepted.
        """
        store = _SilentWatchStore()
        pace = PollSchedule(0.02, polls_per_listing=1)
        watcher = Watcher(store, 'm/', pace, self.apply)
        running = asyncio.create_task(watcher.run())
        await store.put('m/1', b'1')
        await self.wait_for({'m/1': b'1'})
        store.delete('m/1')
        await self.wait_for({})
        running.cancel()

    async def test_dropped_history_leads_to_a_new_listing(self):
        """The service drops its history while a watch is disconnected.

        It then rejects each watch from the old revision, even if nothing below
        the prefix has changed since.
        """
        store = _LostHistoryStore()
        watcher = Watcher(store, 'm/', PollSchedule(1000), self.apply)
        running = asyncio.create_task(watcher.run())
        async with asyncio.timeout(5):
            while not store.rejected:
                await asyncio.sleep(0.01)
        await store.put('m/1', b'1')
        await self.wait_for({'m/1': b'1'})
        running.cancel()

    async def test_key_created_during_a_listing_is_not_deleted(self):
        """An endpoint announces itself while an entry lists all members.

        The watch reports it, and the listing, which was read before, lacks it.
        The entry must not drop the endpoint until the next listing.
        """
        store = _DelayedListingStore()
        store.release.set()
        watcher = Watcher(store, 'm/', PollSchedule(1000), self.apply)
        running = asyncio.create_task(watcher.run())
        await store.put('m/1', b'1')
        await self.wait_for({'m/1': b'1'})
        store.release.clear()
        listing = asyncio.create_task(watcher.list_all())
        await asyncio.sleep(0)
        await store.put('m/2', b'2')
        await self.wait_for({'m/1': b'1', 'm/2': b'2'})
        store.release.set()
        await listing
        self.assertEqual({'m/1': b'1', 'm/2': b'2'}, self.values_by_key)
        running.cancel()

    async def test_listing_finds_deletions_the_watch_missed(self):
        store = MemoryKeyValue()
        lease = await store.grant(30)
        await store.put('m/1', b'1', lease)
        watcher = Watcher(store, 'm/', PollSchedule(1000), self.apply)
        await watcher.list_all()
        await store.revoke(lease)
        await watcher.list_all()
        self.assertEqual({}, self.values_by_key)

    async def test_changes_from_a_peer(self):
        """An entry that the service rejects gets changes from a peer.

        It applies newer changes, deletions included, and ignores older ones
        from a peer that is behind.
        """
        store = MemoryKeyValue()
        await store.put('m/1', b'1')
        await store.put('m/2', b'2')
        disconnected = Watcher(store, 'm/', PollSchedule(1000), self.apply)
        peer = Watcher(store, 'm/', PollSchedule(1000), _ignore_change)
        await disconnected.list_all()
        await peer.list_all()
        await store.put('m/1', b'new')
        store.delete('m/2')
        await peer.list_all()
        disconnected.merge_from_peer(
            peer.changes_since(disconnected.newest), peer.newest
        )
        self.assertEqual({'m/1': b'new'}, self.values_by_key)
        self.assertEqual(peer.newest, disconnected.newest)
        disconnected.merge_from_peer(
            [Change('m/1', 1, Pair('m/1', b'1', 1))], 1
        )
        self.assertEqual({'m/1': b'new'}, self.values_by_key)
        self.assertEqual(peer.newest, disconnected.newest)

    async def test_changes_from_a_peer_do_not_hide_missed_ones(self):
        """A peer missed one change and reported a later one.

        Once the service answers again, the missed change must still arrive.
        """
        store = MemoryKeyValue()
        await store.put('m/1', b'1')
        watcher = Watcher(store, 'm/', PollSchedule(1000), self.apply)
        await watcher.list_all()
        await store.put('m/2', b'missed')
        await store.put('m/3', b'told')
        reported = await store.list_pairs('m/3')
        watcher.merge_from_peer(
            [Change(pair.key, pair.revision, pair) for pair in reported], 3
        )
        running = asyncio.create_task(watcher.run())
        self.addCleanup(running.cancel)
        await self.wait_for({'m/1': b'1', 'm/2': b'missed', 'm/3': b'told'})


def _ignore_change(_key, _pair):
    """Ignore a change."""


class _FirstPutFailsStore(MemoryKeyValue):
    """Fails the first put."""

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

    async def test_record_is_written_after_a_failed_first_write(self):
        """The service grants the lease and then fails the write.

        If only the lease were renewed, no entry would ever see the endpoint.
        """
        store = _FirstPutFailsStore()
        announcer = Announcer(store, self.member, 30)
        with self.assertRaises(StoreUnavailableError):
            await announcer.renew()
        await announcer.renew()
        self.assertIsNotNone(await store.fetch('primrosewood/members/e1'))

    async def test_expired_lease_is_replaced(self):
        store = MemoryKeyValue()
        announcer = Announcer(store, self.member, 30)
        await announcer.renew()
        await announcer.withdraw()
        await announcer.renew()
        self.assertIsNotNone(await store.fetch('primrosewood/members/e1'))
