"""The key-value service: the same cases in memory and over the protocol."""

import asyncio
import contextlib
import unittest
from unittest import mock

from aiohttp import web

from primrosewood.errors import HistoryLostError, StoreUnavailableError
from primrosewood.etcd import EtcdKeyValue, end_of_prefix
from primrosewood.kv import MemoryKeyValue
from primrosewood.platform.store import PlatformStore
from standins.platform import PlatformStandIn
from standins.store import StoreStandIn


class _Cases:
    """Cases for any implementation."""

    async def test_swap_by_revision(self):
        first = await self.store.swap('k', b'1', 0)
        self.assertTrue(first.swapped)
        lost = await self.store.swap('k', b'2', 0)
        self.assertFalse(lost.swapped)
        self.assertEqual(b'1', lost.current.stored)
        self.assertEqual(first.revision, lost.current.revision)
        second = await self.store.swap('k', b'2', first.revision)
        self.assertGreater(second.revision, first.revision)
        self.assertEqual(b'2', (await self.store.fetch('k')).stored)

    async def test_absent_key(self):
        self.assertIsNone(await self.store.fetch('none'))
        lost = await self.store.swap('none', b'1', 5)
        self.assertFalse(lost.swapped)
        self.assertIsNone(lost.current)

    async def test_lists_a_prefix_since_a_revision(self):
        for key in ('a/1', 'a/2', 'b/1'):
            revision = await self.store.put(key, key.encode())
        await self.store.put('a/1', b'new')
        keys = [pair.key for pair in await self.store.list_pairs('a/')]
        self.assertEqual(['a/1', 'a/2'], keys)
        fresh = await self.store.list_pairs('a/', revision + 1)
        self.assertEqual([b'new'], [pair.stored for pair in fresh])

    async def test_lease_lapses_with_what_was_written_under_it(self):
        lease = await self.store.grant(1)
        await self.store.put('leased', b'x', lease)
        self.assertTrue(await self.store.keep_alive(lease))
        await asyncio.sleep(1.4)
        self.assertIsNone(await self.store.fetch('leased'))
        self.assertFalse(await self.store.keep_alive(lease))

    async def test_revoked_lease(self):
        lease = await self.store.grant(30)
        await self.store.put('leased', b'x', lease)
        await self.store.revoke(lease)
        self.assertIsNone(await self.store.fetch('leased'))

    async def test_watch_sees_changes_and_deletions(self):
        lease = await self.store.grant(30)
        revision = await self.store.put('w/1', b'1')
        await self.store.put('other', b'x')
        await self.store.put('w/2', b'2', lease)
        await self.store.revoke(lease)
        seen = []
        watch = self.store.watch('w/', revision)
        async with contextlib.aclosing(watch):
            async for change in watch:
                seen.append((change.key, change.pair and change.pair.stored))
                if len(seen) == 3:
                    break
        self.assertEqual([('w/1', b'1'), ('w/2', b'2'), ('w/2', None)], seen)

    async def test_listing_names_the_revision_to_watch_from(self):
        """A change between a listing and the watch after it."""
        for key in ('l/1', 'l/2', 'l/3', 'l/4', 'l/5'):
            await self.store.put(key, key.encode())
        listing = await self.store.list_all('l/')
        self.assertEqual(5, len(listing.pairs))
        await self.store.put('l/6', b'new')
        watch = self.store.watch('l/', listing.revision + 1)
        async with contextlib.aclosing(watch):
            change = await anext(watch)
        self.assertEqual('l/6', change.key)


class _ChangesCases:
    """Cases for services that list what changed."""

    async def test_lists_what_changed_after_a_revision(self):
        await self.store.put('c/1', b'old')
        known = (await self.store.list_all('c/')).revision
        lease = await self.store.grant(30)
        await self.store.put('c/2', b'new')
        await self.store.put('other', b'x')
        await self.store.put('c/3', b'x', lease)
        await self.store.revoke(lease)
        seen = await self.store.list_changes('c/', known)
        last = {
            each.key: each.pair and each.pair.stored for each in seen.changes
        }
        self.assertEqual({'c/2': b'new', 'c/3': None}, last)
        self.assertGreaterEqual(seen.revision, seen.changes[-1].revision)

    async def test_returns_at_once_when_nothing_changed(self):
        """A reading that waited for a change would look like an outage."""
        known = await self.store.put('c/1', b'1')
        began = asyncio.get_running_loop().time()
        seen = await self.store.list_changes('c/', known)
        self.assertEqual([], seen.changes)
        self.assertGreaterEqual(seen.revision, known)
        self.assertLess(asyncio.get_running_loop().time() - began, 0.3)


class MemoryTest(_Cases, _ChangesCases, unittest.IsolatedAsyncioTestCase):
    """In memory."""

    async def asyncSetUp(self):
        self.store = MemoryKeyValue()


class _ServedCases(_Cases):
    """Cases for services behind a connection."""

    async def serve(self, app):
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        self.addAsyncCleanup(self.runner.cleanup)
        site = web.TCPSite(self.runner, '127.0.0.1', 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'

    async def test_service_that_is_not_there(self):
        await self.runner.cleanup()
        for call in (
            self.store.fetch('k'),
            self.store.swap('k', b'', 0),
            self.store.list_pairs('k'),
            self.store.grant(5),
        ):
            with self.assertRaises(StoreUnavailableError):
                await call
        with self.assertRaises(StoreUnavailableError):
            async for _change in self.store.watch('k', 1):
                break


class EtcdTest(_ServedCases, unittest.IsolatedAsyncioTestCase):
    """Over the protocol, against the stand-in."""

    async def asyncSetUp(self):
        address = await self.serve(PlatformStandIn().make_app())
        self.store = EtcdKeyValue(f'http://{address}', 2)
        self.addAsyncCleanup(self.store.close)

    def test_end_of_a_prefix(self):
        self.assertEqual('a0', end_of_prefix('a/'))


class UsersPlatformTest(
    _ServedCases, _ChangesCases, unittest.IsolatedAsyncioTestCase
):
    """Over the users' platform's calls, against the stand-in."""

    async def asyncSetUp(self):
        self.stand_in = StoreStandIn()
        address = await self.serve(self.stand_in.make_app())
        self.store = PlatformStore(address, 0.5)
        self.addAsyncCleanup(self.store.close)

    async def test_silent_service_is_unavailable(self):
        """The service stands still and resets nothing.

        Whoever reads it would wait for ever, and an entry would serve an old
        configuration without knowing.
        """
        self.stand_in.faults.silent = True
        with self.assertRaises(StoreUnavailableError):
            await self.store.list_all('')

    async def test_long_answer_over_a_thin_line(self):
        """The routes have grown to half a megabyte, the line has 10 Mbit/s.

        The answer is coming all the time and takes longer than a service that
        is silent may take. An entry that gave it up each time kept old routes,
        and after a restart it knew no back end until the routes shrank.
        """
        await self.store.put('k', b'1')
        self.stand_in.faults.drip_seconds = 1.0
        listing = await self.store.list_all('')
        self.assertEqual([b'1'], [pair.stored for pair in listing.pairs])

    async def test_answer_that_stops_halfway(self):
        """The line goes silent in the middle of an answer.

        It is given up as soon as one that never begins.
        """
        await self.store.put('k', b'1')
        self.stand_in.faults.drip_seconds = 0.5
        self.stand_in.faults.stall = True
        began = asyncio.get_running_loop().time()
        with self.assertRaises(StoreUnavailableError):
            await self.store.list_all('')
        took = asyncio.get_running_loop().time() - began
        self.assertLess(took, 2.0)

    async def test_answer_that_drips_without_end(self):
        """Bytes keep coming far too slowly to be of use.

        Nothing else is read on the side: an entry would live for minutes on
        what it read last, and take its service for healthy.
        """
        await self.store.put('k', b'1')
        self.stand_in.faults.drip_seconds = 4.0
        began = asyncio.get_running_loop().time()
        with self.assertRaises(StoreUnavailableError):
            await self.store.list_all('')
        took = asyncio.get_running_loop().time() - began
        self.assertLess(took, 3.5)

    async def test_dropped_history_is_told_apart(self):
        self.stand_in.faults.history_from = 10
        with self.assertRaises(HistoryLostError):
            await anext(self.store.watch('', 2))

    async def test_dropped_history_ends_a_list_of_changes(self):
        self.stand_in.faults.history_from = 10
        with self.assertRaises(HistoryLostError):
            await self.store.list_changes('', 2)

    async def test_write_whose_answer_is_lost(self):
        """The write is done, and its answer never comes.

        The caller is told that it does not know; the value stands.
        """
        self.stand_in.faults.lose_writes = True
        with self.assertRaises(StoreUnavailableError):
            await self.store.put('k', b'1')
        self.assertEqual(b'1', (await self.store.fetch('k')).stored)

    async def test_value_that_is_not_base64(self):
        """Another writer's bytes below a prefix that is listed.

        The listing must not fail for all because of one.
        """
        await self.stand_in.store.put('a', b'x')
        with mock.patch('standins.store.base64.b64encode') as encode:
            encode.return_value = b'***'
            listing = await self.store.list_all('')
        self.assertEqual(b'', listing.pairs[0].stored)
