"""Bytes without end, in a head or a body, from servers and from callers.

Each reader closes the connection with an error of its own kind, after a bounded
number of bytes.
"""

import asyncio
import contextlib
import time
import unittest
from dataclasses import replace

from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed

from primrosewood.answermemory import AnswerMemory, require_stream_size
from primrosewood.backends import HttpEngine, HttpService, PlainCall
from primrosewood.backendstate import Backend, BackendRecord
from primrosewood.clock import SystemClock
from primrosewood.directcalls import (
    BackendAttempt,
    DirectCall,
    GenerationSize,
)
from primrosewood.entrycount import EntryCount
from primrosewood.errors import (
    BackendCutError,
    OversizedAnswerError,
    StoreUnavailableError,
)
from primrosewood.etcd import EtcdKeyValue
from primrosewood.httpserver import HttpLimits, listen
from primrosewood.metrics import Metrics
from primrosewood.peerlink import LinkIdentity, PeerConnector, PeerServer
from primrosewood.platform.engines import HttpMovableEngine, HttpTransport
from primrosewood.platform.store import PlatformStore
from primrosewood.routes import Route, RouteKind, Target
from primrosewood.sharedlimits import ColdLimit

from .processes.harness import free_port

_SECONDS = 10
_MAX_SENT_BYTES = 128 * 1024 * 1024
_HEAD = (
    b'HTTP/1.1 200 OK\r\n'
    b'Primrosewood-Attempt-Id: ab12\r\n'
    b'Primrosewood-Response-Seal: s\r\n'
)
# What is sent once, and what is sent without end.
_ENDLESS = {
    'empty lines': (b'', b'\r\n' * 5000),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 500),
    'early hints': (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n' * 500),
    'no status line': (b'', b'x' * 10_000),
    'a long header': (_HEAD + b'X: ', b'x' * 10_000),
    'many headers': (_HEAD, b'X: y\r\n' * 1000),
    'a chunk extension': (
        _HEAD + b'Transfer-Encoding: chunked\r\n\r\n5;',
        b'x' * 10_000,
    ),
    'trailers': (
        _HEAD + b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
        b'X: y\r\n' * 1000,
    ),
}
_OPENINGS = ('empty lines', 'no status line')
_BODIES = {
    'a body without a length': (_HEAD + b'\r\n', b'x' * 65_536),
    'a body in chunks': (
        _HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'10000\r\n' + b'x' * 65_536 + b'\r\n',
    ),
}


class _EndlessServerCase(unittest.IsolatedAsyncioTestCase):
    """A server that sends bytes until the connection is closed."""

    async def asyncSetUp(self):
        self.sent = 0
        self.ended = asyncio.Event()
        self.address = f'127.0.0.1:{free_port()}'
        host, _, port = self.address.partition(':')
        server = await asyncio.start_server(self.handle, host, int(port))
        self.addCleanup(server.close)

    async def handle(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self.first)
            while self.sent < 2 * _MAX_SENT_BYTES:
                writer.write(self.rest)
                self.sent += len(self.rest)
                await writer.drain()
        self.ended.set()
        writer.close()

    async def assert_closed(self, error, read, cases):
        """Check that reading ends with an error, and the connection with it."""
        for name, (self.first, self.rest) in cases.items():
            self.sent = 0
            self.ended.clear()
            with self.subTest(name):
                async with asyncio.timeout(_SECONDS):
                    with self.assertRaises(error):
                        await read()
                    await self.ended.wait()
                self.assertLess(self.sent, _MAX_SENT_BYTES)


class BackendAnswerTest(_EndlessServerCase):
    """Answers of back ends to an entry's calls."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.transport = HttpTransport(SystemClock(), lambda *_limit: None)
        self.addAsyncCleanup(self.transport.close)
        record = BackendRecord('i-1', 's', self.address, 'd1', 8)
        self.backend = Backend(record, ColdLimit(EntryCount(1)))

    async def read(self):
        memory = AnswerMemory()
        attempt = BackendAttempt(self.backend)
        async with self.transport.send(make_call(), attempt) as reply:
            with memory.open() as held:
                await held.read(reply)

    async def test_bytes_that_are_no_answer(self):
        """Guards against a processor that one faulty back end takes."""
        await self.assert_closed(BackendCutError, self.read, _ENDLESS)

    async def test_error_names_the_reason(self):
        """Guards against a log that shows a connection that just ended."""
        names = ('empty lines', 'interim answers', 'a chunk extension')
        cases = {name: _ENDLESS[name] for name in names}
        await self.assert_closed(OversizedAnswerError, self.read, cases)

    async def test_body(self):
        """Guards against an entry that is killed for its memory."""
        await self.assert_closed(OversizedAnswerError, self.read, _BODIES)

    async def test_whole_answer_of_tiny_chunks(self):
        """The bound does not cut what is an answer."""
        self.first = _HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
        self.first += b'1\r\nx\r\n' * 200_000 + b'0\r\n\r\n'
        self.rest = b''
        self.sent = 2 * _MAX_SENT_BYTES
        attempt = BackendAttempt(self.backend)
        async with self.transport.send(make_call(), attempt) as reply:
            with AnswerMemory().open() as held:
                head, _body = await held.read(reply)
        self.assertEqual(200_000, head.length)


class AnswerSizeTest(unittest.TestCase):
    """Answers that are held, and streams."""

    def test_stream_of_few_tokens(self):
        """Guards against a stream that takes a processor until its deadline."""
        call = replace(make_call(), size=GenerationSize(1000, 10))
        require_stream_size(call, 2_000_000)
        with self.assertRaises(OversizedAnswerError):
            require_stream_size(call, 3_000_000)

    def test_stream_of_any_length(self):
        require_stream_size(make_call(), 200_000_000)
        with self.assertRaises(OversizedAnswerError):
            require_stream_size(make_call(), 300_000_000)


class _Reply:
    status = 200
    headers = ()

    def __init__(self, *sizes):
        self.sizes = sizes

    async def parts(self):
        for size in self.sizes:
            yield b'x' * size


class AnswerMemoryTest(unittest.IsolatedAsyncioTestCase):
    """Answers that are held beside others."""

    async def test_small_answer_beside_large_ones(self):
        """Guards against one back end that costs the answers of all others."""
        memory = AnswerMemory(1_000_000)
        with memory.open() as large, memory.open() as small:
            with self.assertRaises(OversizedAnswerError):
                await large.read(_Reply(*[50_000] * 100))
            head, _body = await small.read(_Reply(30_000, 30_000))
            self.assertEqual(60_000, head.length)
        self.assertEqual(1_000_000, memory.free_bytes)


class ControlAnswerTest(_EndlessServerCase):
    """Answers of an engine to the process beside it."""

    async def test_report(self):
        """Guards against a process beside an engine that is killed."""
        engine = HttpMovableEngine(self.address, SystemClock())
        self.addAsyncCleanup(engine.close)
        cases = {**_ENDLESS, **_BODIES}
        await self.assert_closed(BackendCutError, engine.read, cases)

    async def test_load_report_of_the_own_interface(self):
        engine = HttpEngine(f'http://{self.address}')
        self.addAsyncCleanup(engine.close)
        cases = {**_ENDLESS, **_BODIES}
        await self.assert_closed(BackendCutError, engine.read_load, cases)

    async def test_answer_of_a_plain_service(self):
        service = HttpService(f'http://{self.address}')
        self.addAsyncCleanup(service.close)
        call = PlainCall('a-1', 'GET', '/', '', b'')
        cases = {**_ENDLESS, **_BODIES}
        await self.assert_closed(
            BackendCutError, lambda: service.call(call), cases
        )


class StoreAnswerTest(_EndlessServerCase):
    """Answers of the key-value service."""

    async def test_platform(self):
        """Guards against an outage of the service that ends all entries."""
        store = PlatformStore(self.address, 1.0)
        self.addAsyncCleanup(store.close)
        await self.assert_closed(
            StoreUnavailableError,
            lambda: store.fetch('k'),
            {**_ENDLESS, **_BODIES},
        )

    async def test_etcd(self):
        store = EtcdKeyValue(f'http://{self.address}', 2.0)
        self.addAsyncCleanup(store.close)
        await self.assert_closed(
            StoreUnavailableError,
            lambda: store.fetch('k'),
            {**_ENDLESS, **_BODIES},
        )


class CallerBytesTest(unittest.IsolatedAsyncioTestCase):
    """Requests of callers."""

    async def test_request_without_end(self):
        """Guards against a connection that one caller keeps for good."""
        address = f'127.0.0.1:{free_port()}'
        limits = HttpLimits(header_timeout_seconds=lambda: 0.5)
        server = await listen(self.answer, address, limits)
        self.addAsyncCleanup(server.cleanup)
        for first, rest in (
            (b'', b'\r\n' * 5000),
            (b'', b'x' * 10_000),
            (b'GET / HTTP/1.1\r\n', b'X: y\r\n' * 1000),
            (b'GET / HTTP/1.1\r\nX: ', b'x' * 10_000),
        ):
            with self.subTest(first=first, rest=rest[:10]):
                since = time.monotonic()
                await send_endless(address, first, rest)
                self.assertLess(time.monotonic() - since, 5)

    async def answer(self, _request):
        self.fail('a request without end was handled')


class PeerBytesTest(_EndlessServerCase):
    """Links between processes."""

    async def test_answers_to_a_link_that_opens(self):
        """Guards against an entry that one faulty process keeps busy."""
        identity = LinkIdentity('entry-1', 'x', '', wants_retries=True)
        connector = PeerConnector(identity, SystemClock(), Metrics())
        for name in _OPENINGS:
            self.first, self.rest = _ENDLESS[name]
            self.sent = 0
            self.ended.clear()
            with self.subTest(name):
                link = connector.open(
                    f'ws://{self.address}', lambda _message, _link: None
                )
                self.addCleanup(link.stop)
                async with asyncio.timeout(_SECONDS):
                    await self.ended.wait()
                link.stop()
                self.assertLess(self.sent, _MAX_SENT_BYTES)

    async def test_link_that_is_opened_without_end(self):
        """Guards against a process that one faulty peer keeps busy."""
        port = free_port()
        server = PeerServer('', lambda _message, _link: None, Metrics())
        async with server.listen('127.0.0.1', port):
            for name in _OPENINGS:
                _first, rest = _ENDLESS[name]
                with self.subTest(name):
                    sent = await send_endless(f'127.0.0.1:{port}', b'', rest)
                    self.assertLess(sent, _MAX_SENT_BYTES)

    async def test_message_without_end(self):
        """Guards against a process that is killed for its memory."""
        port = free_port()
        server = PeerServer('', lambda _message, _link: None, Metrics())
        sent = 0

        async def parts():
            nonlocal sent
            while True:
                sent += 65_536
                yield b'x' * 65_536

        async with server.listen('127.0.0.1', port):
            async with connect(f'ws://127.0.0.1:{port}') as socket:
                async with asyncio.timeout(_SECONDS):
                    with self.assertRaises(ConnectionClosed):
                        await socket.send(parts())
        self.assertLess(sent, _MAX_SENT_BYTES)


async def send_endless(address, first, rest):
    """Send bytes until the connection is closed; return how many."""
    host, _, port = address.partition(':')
    _reader, writer = await asyncio.open_connection(host, int(port))
    sent = 0
    with contextlib.suppress(ConnectionError):
        writer.write(first)
        while not writer.is_closing() and sent < 2 * _MAX_SENT_BYTES:
            writer.write(rest)
            sent += len(rest)
            await writer.drain()
            await asyncio.sleep(0)
    writer.close()
    return sent


def make_call():
    route = Route('r', 'h', '/', RouteKind.idempotent, (Target('s'),), 5, 0.2)
    now = time.monotonic()
    return DirectCall(
        name='ab12',
        method='GET',
        target='/x',
        headers=(),
        body=b'',
        route=route,
        service='s',
        organisation='o',
        arrived=now,
        deadline=now + 5,
        caller_deadline=now + 5,
    )


if __name__ == '__main__':
    unittest.main()
