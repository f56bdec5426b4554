"""Tests of all implementations of the key-value service."""

import asyncio
import contextlib
import json
import unittest
from unittest import mock

import aiohttp
from aiohttp import web

from primrosewood.errors import HistoryLostError, StoreUnavailableError
from primrosewood.etcd import EtcdKeyValue, prefix_range_end
from primrosewood.kv import MemoryKeyValue
from primrosewood.platform.store import PlatformStore
from primrosewood.vmlist import VmListPoller
from standins.platform import PlatformStandIn
from standins.store import StoreStandIn


class _CommonCases:
    """Cases for every implementation."""

    async def test_swap_by_revision(self):
        created = await self.store.swap('k', b'1', 0)
        self.assertTrue(created.swapped)
        rejected = await self.store.swap('k', b'2', 0)
        self.assertFalse(rejected.swapped)
        self.assertEqual(b'1', rejected.current.stored)
        self.assertEqual(created.revision, rejected.current.revision)
        updated = await self.store.swap('k', b'2', created.revision)
        self.assertGreater(updated.revision, created.revision)
        self.assertEqual(b'2', (await self.store.fetch('k')).stored)

    async def test_absent_key(self):
        self.assertIsNone(await self.store.fetch('none'))
        rejected = await self.store.swap('none', b'1', 5)
        self.assertFalse(rejected.swapped)
        self.assertIsNone(rejected.current)

    async def test_list_pairs_since_a_revision(self):
        for key in ('a/1', 'a/2', 'b/1'):
            revision = await self.store.put(key, key.encode())
        await self.store.put('a/1', b'new')
        keys = [pair.key for pair in await self.store.list_pairs('a/')]
        self.assertEqual(['a/1', 'a/2'], keys)
        recent = await self.store.list_pairs('a/', revision + 1)
        self.assertEqual([b'new'], [pair.stored for pair in recent])

    async def test_expired_lease_deletes_its_keys(self):
        lease = await self.store.grant(1)
        await self.store.put('leased', b'x', lease)
        self.assertTrue(await self.store.keep_alive(lease))
        await asyncio.sleep(1.4)
        self.assertIsNone(await self.store.fetch('leased'))
        self.assertFalse(await self.store.keep_alive(lease))

    async def test_revoked_lease_deletes_its_keys(self):
        lease = await self.store.grant(30)
        await self.store.put('leased', b'x', lease)
        await self.store.revoke(lease)
        self.assertIsNone(await self.store.fetch('leased'))

    async def test_watch_yields_writes_and_deletions(self):
        lease = await self.store.grant(30)
        revision = await self.store.put('w/1', b'1')
        await self.store.put('other', b'x')
        await self.store.put('w/2', b'2', lease)
        await self.store.revoke(lease)
        observed = []
        watch = self.store.watch('w/', revision)
        async with contextlib.aclosing(watch):
            async for change in watch:
                observed.append(
                    (change.key, change.pair and change.pair.stored)
                )
                if len(observed) == 3:
                    break
        self.assertEqual(
            [('w/1', b'1'), ('w/2', b'2'), ('w/2', None)], observed
        )

    async def test_listing_has_the_revision_to_watch_from(self):
        """A change between a listing and the following watch is not lost."""
        for key in ('l/1', 'l/2', 'l/3', 'l/4', 'l/5'):
            await self.store.put(key, key.encode())
        listing = await self.store.list_all('l/')
        self.assertEqual(5, len(listing.pairs))
        await self.store.put('l/6', b'new')
        watch = self.store.watch('l/', listing.revision + 1)
        async with contextlib.aclosing(watch):
            change = await anext(watch)
        self.assertEqual('l/6', change.key)


class _ListChangesCases:
    """Cases for implementations that can list changes."""

    async def test_list_changes_after_a_revision(self):
        await self.store.put('c/1', b'old')
        known = (await self.store.list_all('c/')).revision
        lease = await self.store.grant(30)
        await self.store.put('c/2', b'new')
        await self.store.put('other', b'x')
        await self.store.put('c/3', b'x', lease)
        await self.store.revoke(lease)
        observed = await self.store.list_changes('c/', known)
        last = {
            each.key: each.pair and each.pair.stored
            for each in observed.changes
        }
        self.assertEqual({'c/2': b'new', 'c/3': None}, last)
        self.assertGreaterEqual(
            observed.revision, observed.changes[-1].revision
        )

    async def test_list_changes_does_not_wait_for_a_change(self):
        """A read that waited for the next change would look like an outage."""
        known = await self.store.put('c/1', b'1')
        began = asyncio.get_running_loop().time()
        observed = await self.store.list_changes('c/', known)
        self.assertEqual([], observed.changes)
        self.assertGreaterEqual(observed.revision, known)
        self.assertLess(asyncio.get_running_loop().time() - began, 0.3)


class MemoryTest(
    _CommonCases, _ListChangesCases, unittest.IsolatedAsyncioTestCase
):
    """The implementation in memory."""

    async def asyncSetUp(self):
        self.store = MemoryKeyValue()


class _NetworkCases(_CommonCases):
    """Cases for implementations that use the network."""

    async def serve(self, app):
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        self.addAsyncCleanup(self.runner.cleanup)
        site = web.TCPSite(self.runner, '127.0.0.1', 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'

    async def test_unreachable_service(self):
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


class EtcdTest(_NetworkCases, unittest.IsolatedAsyncioTestCase):
    """The etcd protocol, against a stand-in."""

    async def asyncSetUp(self):
        address = await self.serve(PlatformStandIn().make_app())
        self.store = EtcdKeyValue(f'http://{address}', 2)
        self.addAsyncCleanup(self.store.close)

    def test_prefix_range_end(self):
        self.assertEqual('a0', prefix_range_end('a/'))


class UsersPlatformTest(
    _NetworkCases, _ListChangesCases, unittest.IsolatedAsyncioTestCase
):
    """The key-value API of the users' platform, against a stand-in."""

    async def asyncSetUp(self):
        self.stand_in = StoreStandIn()
        address = await self.serve(self.stand_in.make_app())
        self.store = PlatformStore(address, 0.5)
        self.addAsyncCleanup(self.store.close)

    async def test_hanging_service_is_unavailable(self):
        """The service hangs without closing the connection.

        Without a timeout a reader would wait forever, and an entry would keep
        serving an old configuration without detecting it.
        """
        self.stand_in.faults.silent = True
        with self.assertRaises(StoreUnavailableError):
            await self.store.list_all('')

    async def test_long_answer_over_a_slow_network(self):
        """Routes of half a megabyte arrive over a network of 10 Mbit/s.

        Data keeps arriving, but the whole answer takes longer than the timeout
        for a silent service. An entry that aborted such answers kept old
        routes, and after a restart knew no back end until the routes shrank.
        """
        await self.store.put('k', b'1')
        self.stand_in.faults.drip_seconds = 1.0
        listing = await self.store.list_all('')
        self.assertEqual([b'1'], [pair.stored for pair in listing.pairs])

    async def test_answer_that_stalls_halfway(self):
        """The connection goes silent in the middle of an answer.

        The read times out as early as one without any answer.
        """
        await self.store.put('k', b'1')
        self.stand_in.faults.drip_seconds = 0.5
        self.stand_in.faults.stall = True
        began = asyncio.get_running_loop().time()
        with self.assertRaises(StoreUnavailableError):
            await self.store.list_all('')
        elapsed = asyncio.get_running_loop().time() - began
        self.assertLess(elapsed, 2.0)

    async def test_answer_that_is_too_slow(self):
        """Data arrives continuously but far too slowly to be useful.

        No other read runs meanwhile, so without a limit an entry would use old
        data for minutes and consider the service healthy.
        """
        await self.store.put('k', b'1')
        self.stand_in.faults.drip_seconds = 4.0
        began = asyncio.get_running_loop().time()
        with self.assertRaises(StoreUnavailableError):
            await self.store.list_all('')
        elapsed = asyncio.get_running_loop().time() - began
        self.assertLess(elapsed, 3.5)

    async def test_dropped_history_ends_a_watch(self):
        self.stand_in.faults.history_from = 10
        with self.assertRaises(HistoryLostError):
            await anext(self.store.watch('', 2))

    async def test_dropped_history_fails_list_changes(self):
        self.stand_in.faults.history_from = 10
        with self.assertRaises(HistoryLostError):
            await self.store.list_changes('', 2)

    async def test_write_with_a_lost_answer(self):
        """The write takes effect, but its answer never arrives.

        The caller gets an error that leaves the outcome open, and the value
        is stored.
        """
        self.stand_in.faults.lose_writes = True
        with self.assertRaises(StoreUnavailableError):
            await self.store.put('k', b'1')
        self.assertEqual(b'1', (await self.store.fetch('k')).stored)

    async def test_value_that_is_not_base64(self):
        """Another writer stored an invalid value below the listed prefix.

        One invalid value must not fail the whole listing.
        """
        await self.stand_in.store.put('a', b'x')
        with mock.patch('standins.store.base64.b64encode') as encode:
            encode.return_value = b'***'
            listing = await self.store.list_all('')
        self.assertEqual(b'', listing.pairs[0].stored)


class _ScriptedCase(unittest.IsolatedAsyncioTestCase):
    """A service that answers with given bodies and closes after each."""

    async def serve_bodies(self, *bodies, status=200):
        """Return the address of the service; bodies state no length."""
        remaining = [body.encode() for body in bodies]

        async def handle(reader, writer):
            with contextlib.suppress(asyncio.IncompleteReadError):
                await reader.readuntil(b'\r\n\r\n')
                writer.write(b'HTTP/1.1 %d S\r\n\r\n' % status)
                writer.write(remaining.pop(0) if remaining else b'')
            writer.close()

        server = await asyncio.start_server(handle, '127.0.0.1', 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'

    async def assert_unavailable(self, calls, *bodies, status=200):
        """Check that a store's calls raise an error for each body."""
        for name, call in calls.items():
            for body in bodies:
                address = await self.serve_bodies(body, status=status)
                async with contextlib.aclosing(self.connect(address)) as store:
                    with (
                        self.subTest(call=name, body=body),
                        self.assertRaises(StoreUnavailableError),
                    ):
                        await call(store)


async def _watch(store):
    async for _change in store.watch('k', 1):
        continue


_READS = {
    'fetch': lambda store: store.fetch('k'),
    'list': lambda store: store.list_all('k'),
    'list since': lambda store: store.list_pairs('k', 1),
    'watch': _watch,
}
_WRITES = {
    'swap': lambda store: store.swap('k', b'', 3),
    'put': lambda store: store.put('k', b''),
    'grant': lambda store: store.grant(5),
}
_NO_ANSWERS = ('', '{', '{}', 'null', '[]')


class EtcdCutAnswerTest(_ScriptedCase):
    """Answers of the etcd gateway that end early."""

    def connect(self, address):
        store = EtcdKeyValue(f'http://{address}', 2)
        store.aclose = store.close
        return store

    async def test_part_of_an_answer(self):
        """Guards against an absent key where the answer says nothing."""
        await self.assert_unavailable({**_READS, **_WRITES}, *_NO_ANSWERS)

    async def test_renewal_without_an_outcome(self):
        """Guards against a lease that is given up as expired."""
        calls = {'renew': lambda store: store.keep_alive(7)}
        await self.assert_unavailable(calls, *_NO_ANSWERS, '{"error": {}}')

    async def test_conflict_without_the_stored_pair(self):
        """Guards against a key that counts as absent after a conflict."""
        calls = {'swap': _WRITES['swap']}
        header = {'header': {'revision': '9'}}
        answers = (
            header,
            {**header, 'responses': []},
            {**header, 'responses': [{}]},
        )
        await self.assert_unavailable(calls, *map(json.dumps, answers))

    async def test_watch_that_the_service_ends(self):
        """Guards against changes that were dropped and are not looked for."""
        cancelled = '{"result": {"canceled": true, "compact_revision": "5"}}\n'
        address = await self.serve_bodies(cancelled)
        async with contextlib.aclosing(self.connect(address)) as store:
            with self.assertRaises(HistoryLostError):
                await _watch(store)


class UsersPlatformCutAnswerTest(_ScriptedCase):
    """Answers of the users' platform's service that end early."""

    def connect(self, address):
        store = PlatformStore(address, 2)
        store.aclose = store.close
        return store

    async def test_part_of_an_answer(self):
        """Guards against an empty listing where the answer says nothing."""
        calls = {
            **_READS,
            **_WRITES,
            'changes': lambda store: store.list_changes('k', 1),
        }
        await self.assert_unavailable(calls, *_NO_ANSWERS)

    async def test_listing_that_ends_between_pages(self):
        """Guards against the first pages of a listing taken for all."""
        item = {'key': 'k1', 'value': '', 'revision': 3}
        more = {'store_revision': 9, 'has_more': True}
        page = json.dumps({**more, 'items': [item]})
        empty = json.dumps({**more, 'items': []})
        for second in ('', page[:-4], empty):
            address = await self.serve_bodies(page, second)
            async with contextlib.aclosing(self.connect(address)) as store:
                with (
                    self.subTest(second),
                    self.assertRaises(StoreUnavailableError),
                ):
                    await store.list_all('k')

    async def test_conflict_without_the_stored_pair(self):
        """Guards against a key that counts as absent after a conflict."""
        calls = {'swap': _WRITES['swap']}
        await self.assert_unavailable(calls, *_NO_ANSWERS, status=412)


class VmListCutAnswerTest(_ScriptedCase):
    """Answers with the platform's list of VMs that end early."""

    async def test_part_of_an_answer(self):
        """Guards against VMs that count as gone as the list was cut."""
        listed = mock.Mock()
        cut = '{"vms": [{"name": "vm-1", "state": "live"}'
        for body in (*_NO_ANSWERS, cut):
            with self.subTest(body):
                address = await self.serve_bodies(body)
                poller = VmListPoller(f'http://{address}', 1, listed)
                async with aiohttp.ClientSession() as session:
                    await poller._read(session)  # noqa: SLF001
                listed.assert_not_called()
