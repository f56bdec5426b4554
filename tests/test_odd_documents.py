"""Odd documents and numbers of other writers, peers, callers and back ends."""

import asyncio
import contextlib
import json
import unittest

import msgspec
from aiohttp import web

from primrosewood import gen_wire as wire
from primrosewood.announce import MEMBERS_PREFIX, parse_member
from primrosewood.clock import SystemClock
from primrosewood.codec import parse_frame, serialise_frame
from primrosewood.directcalls import GenerationSize
from primrosewood.errors import WireError
from primrosewood.etcd import EtcdKeyValue, encode_base64
from primrosewood.events import StreamOrder
from primrosewood.fleet import Fleet
from primrosewood.gen_process import Timing
from primrosewood.gen_stored import MemberRecord
from primrosewood.kv import MemoryKeyValue
from primrosewood.platform.headers import TOKEN_USAGE, parse_size
from primrosewood.settings import SETTINGS_PREFIX, SettingsStore, parse_stored
from primrosewood.vmlist import VmListPoller
from primrosewood.watcher import PollSchedule, Watcher

from .processes.harness import free_port

_HUGE = 10**400
_DEEP = b'[' * 90_000
_ODD_DOCUMENTS = (
    b'',
    b'{',
    b'[]',
    b'null',
    b'\xff\xfe',
    b'"\\ud800"',
    b'{"url":' + _DEEP,
    b'{"document":' + _DEEP,
    b'{"revision":' + _DEEP,
)
_ODD_URLS = (
    '',
    'ws://host',
    'ws://host:99999',
    'ws://host:0',
    'ws://.:80',
    'ws://[:80',
    'ws://a..b:80',
    f'ws://{"a" * 64}:80',
    'http://host:80',
    'ws://user@host:80',
    'ws://host:80/path',
    'host:80',
)


def make_member(name, url='ws://127.0.0.1:8000'):
    return MemberRecord(
        name=name,
        vm=name,
        team='t',
        service='s',
        failure_domain='d1',
        incarnation='i',
        url=url,
    )


def make_settings(team='t', revision=1):
    document = json.dumps({'services': {team: {'kind': 'plain'}}})
    return json.dumps(
        {'revision': revision, 'document': document, 'history': []}
    ).encode()


class _WatchedCase(unittest.IsolatedAsyncioTestCase):
    """A watched prefix."""

    async def watch(self, prefix, on_change):
        self.store = MemoryKeyValue()
        self.task = asyncio.create_task(
            Watcher(self.store, prefix, PollSchedule(0.01), on_change).run()
        )
        self.addAsyncCleanup(self.stop)

    async def stop(self):
        self.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.task

    async def wait_for(self, condition):
        async with asyncio.timeout(2):
            while not condition():
                if self.task.done():
                    self.task.result()
                await asyncio.sleep(0.01)


class MemberTest(_WatchedCase):
    """Records among those of the members of a fleet."""

    async def asyncSetUp(self):
        self.fleet = Fleet('entry-1', SettingsStore(), SystemClock(), Timing())
        await self.watch(MEMBERS_PREFIX, self.fleet.apply_pair)

    async def put(self, name, record):
        stored = msgspec.json.encode(record)
        await self.store.put(MEMBERS_PREFIX + name, stored)

    async def test_odd_records(self):
        """Guards against one odd record after which no member is followed."""
        for number, document in enumerate(_ODD_DOCUMENTS):
            with self.subTest(document[:20]):
                await self.store.put(f'{MEMBERS_PREFIX}odd', document)
                name = f'sound-{number}'
                await self.put(name, make_member(name))
                await self.wait_for(lambda name=name: name in self.fleet.views)

    async def test_record_that_names_another_member(self):
        """Guards against a record that takes a sound member's place."""
        await self.put('one', make_member('one'))
        await self.put('odd', make_member('one', 'ws://127.0.0.1:1'))
        await self.put('two', make_member('two'))
        await self.wait_for(lambda: 'two' in self.fleet.views)
        self.assertEqual(
            'ws://127.0.0.1:8000', self.fleet.views['one'].member.url
        )

    async def test_member_that_becomes_odd(self):
        """Guards against a member that stays under a record that is gone."""
        await self.put('one', make_member('one'))
        await self.wait_for(lambda: 'one' in self.fleet.views)
        await self.store.put(f'{MEMBERS_PREFIX}one', b'{')
        await self.wait_for(lambda: not self.fleet.views['one'].leased)

    def test_urls(self):
        """Guards against errors of other kinds where a link is opened."""
        for url in _ODD_URLS:
            stored = msgspec.json.encode(make_member('e', url))
            with self.subTest(url), self.assertRaises(WireError):
                parse_member('e', stored)

    def test_sound_urls(self):
        for url in ('ws://e-1.example:80', 'wss://10.0.0.1:65535'):
            record = make_member('e', url)
            stored = msgspec.json.encode(record)
            self.assertEqual(record, parse_member('e', stored))


class TeamSettingsTest(_WatchedCase):
    """Documents among the settings of teams."""

    async def asyncSetUp(self):
        self.settings = SettingsStore()
        await self.watch(SETTINGS_PREFIX, self.settings.apply_pair)

    async def test_odd_documents(self):
        """Guards against one odd document after which no team is followed."""
        for number, document in enumerate(_ODD_DOCUMENTS):
            with self.subTest(document[:20]):
                await self.store.put(f'{SETTINGS_PREFIX}odd', document)
                team = f't-{number}'
                await self.store.put(
                    f'{SETTINGS_PREFIX}{team}', make_settings(team)
                )
                await self.wait_for(
                    lambda team=team: self.settings.revision_of(team)
                )

    async def test_deep_settings(self):
        """Guards against a text that is sound and holds odd settings."""
        odd = {
            'revision': 1,
            'document': f'{{"services":{_DEEP.decode()}',
            'history': [],
        }
        await self.store.put(f'{SETTINGS_PREFIX}odd', json.dumps(odd).encode())
        await self.store.put(f'{SETTINGS_PREFIX}t', make_settings())
        await self.wait_for(lambda: self.settings.revision_of('t'))

    def test_revision_too_large(self):
        """Guards against a revision that no later one can exceed."""
        with self.assertRaises(WireError):
            parse_stored('t', make_settings(revision=_HUGE))


class VmListTest(unittest.IsolatedAsyncioTestCase):
    """Lists of VMs."""

    async def test_odd_lists(self):
        """Guards against one odd list after which none is read."""
        sound = json.dumps({'vms': [{'name': 'vm', 'state': 'leaving'}]})
        lists = [*_ODD_DOCUMENTS, b'{"vms":[],"x":' + _DEEP, sound.encode()]
        last = asyncio.Event()

        async def answer(_request):
            body = lists.pop(0) if len(lists) > 1 else lists[0]
            return web.Response(body=body)

        runner = web.ServerRunner(web.Server(answer))
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        port = free_port()
        await web.TCPSite(runner, '127.0.0.1', port).start()
        poller = VmListPoller(
            f'http://127.0.0.1:{port}', 0.01, lambda _listed: last.set()
        )
        task = asyncio.create_task(poller.run())
        self.addCleanup(task.cancel)
        waiter = asyncio.create_task(last.wait())
        done, _pending = await asyncio.wait(
            (task, waiter), timeout=5, return_when=asyncio.FIRST_COMPLETED
        )
        self.assertEqual({waiter}, done)


class StoredKeyTest(unittest.IsolatedAsyncioTestCase):
    """Keys of the key-value service that are no text."""

    async def test_key_of_other_bytes(self):
        """Guards against one key after which a prefix cannot be listed."""
        keys = [
            {'key': encode_base64(key), 'value': 'eA==', 'mod_revision': '1'}
            for key in (b'p/\xff', b'p/one')
        ]

        async def answer(_request):
            return web.json_response({'header': {'revision': '1'}, 'kvs': keys})

        runner = web.ServerRunner(web.Server(answer))
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        port = free_port()
        await web.TCPSite(runner, '127.0.0.1', port).start()
        store = EtcdKeyValue(f'http://127.0.0.1:{port}', 2)
        self.addAsyncCleanup(store.close)
        listing = await store.list_all('p/')
        self.assertEqual([b'x'], [pair.stored for pair in listing.pairs][-1:])
        self.assertIn('p/one', {pair.key for pair in listing.pairs})


class TokenUsageTest(unittest.TestCase):
    """Numbers of tokens that callers state."""

    def test_odd_numbers(self):
        """Guards against a request that is refused as an internal error."""
        for text in ('\u00b2', str(_HUGE), '9' * 5000, '-1', '1_0', '1e3', ''):
            with self.subTest(text[:9]):
                self.assertIsNone(parse_size([(TOKEN_USAGE, f'{text},8')]))
                size = parse_size(
                    [
                        (TOKEN_USAGE, f'7,{text}'),
                        ('Primrosewood-Length-Hint', text),
                    ]
                )
                self.assertEqual(GenerationSize(7, 0, 0), size)


class EventIdTest(unittest.TestCase):
    """Ids of events that back ends state."""

    def test_odd_ids(self):
        """Guards against a stream that ends by an error of another kind."""
        for digits in ('9' * 5000, str(_HUGE)):
            event = f'id: {digits}\ndata: x\n\n'.encode()
            with self.subTest(len(digits)), self.assertRaises(WireError):
                StreamOrder().accept(event)


class FrameTest(unittest.TestCase):
    """Numbers in the messages of peers."""

    def test_number_that_no_float_holds(self):
        """Guards against one peer's load that no other can be compared with."""
        load = wire.Load(running=1, queued=0, limit=1)
        sound = wire.Heartbeat(digest=2**64 - 1, load=load)
        self.assertEqual([sound], parse_frame(serialise_frame([sound])))
        for number in (_HUGE, -_HUGE, 2**64):
            odd = wire.Load(running=number, queued=0, limit=1)
            frame = serialise_frame([wire.Heartbeat(digest=1, load=odd)])
            with self.subTest(str(number)[:9]), self.assertRaises(WireError):
                parse_frame(frame)

    def test_frame_that_contains_itself(self):
        """Guards against a check for numbers that never ends."""
        # [28([29(0), 2**64])], a list whose first member is the list.
        frame = bytes.fromhex('81d81c82d81d00c249010000000000000000')
        with self.assertRaises(WireError):
            parse_frame(frame)
        with self.assertRaises(WireError):
            parse_frame(bytes.fromhex('81d81c82d81d0062c383'))

    def test_texts(self):
        """Guards against a check for numbers that takes texts for them."""
        query = wire.CapacityQuery(service='caf\u00e9 \u00c2')
        self.assertEqual([query], parse_frame(serialise_frame([query])))


if __name__ == '__main__':
    unittest.main()
