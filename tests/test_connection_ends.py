"""How connections end under answers, as callers see it on their sockets.

An answer to a caller on HTTP/1.0 has no chunks, so that the end of its
connection is all that shows whether it is whole.
"""

import asyncio
import contextlib
import unittest
from unittest import mock

from aiohttp import web

from primrosewood.callers import CallerApi
from primrosewood.clock import SystemClock
from primrosewood.errors import ErrorKind, RequestFailedError
from primrosewood.gen_process import Limits
from primrosewood.httpserver import split_address
from primrosewood.metrics import Metrics
from primrosewood.platform import frontend
from primrosewood.requests import Ended, PlainResponse, Started, TokenChunk
from primrosewood.settings import Organisation

from .deployment import Deployment
from .processes.harness import free_port
from .rawcaller import RawCaller

_LAST_CHUNK = b'0\r\n\r\n'
_CHUNKED_HEAD = (
    b'HTTP/1.1 200 OK\r\n'
    b'Primrosewood-Attempt-Id: ab12\r\n'
    b'Primrosewood-Response-Seal: s\r\n'
    b'Transfer-Encoding: chunked\r\n'
    b'\r\n'
)
# More than the kernel buffers for a receiver that does not read.
_LONG_BODY_BYTES = 16_000_000
_STARTED = (Started('p-'), TokenChunk(0, ['a ']), TokenChunk(1, ['b ']))
_ENDED = Ended(2, 'stop', 1)


class PlatformCase(Deployment):
    """Calls to an entry of the users' platform over raw connections."""

    def send(self, version, method, path, extra='', **options):
        head = (
            f'{method} {path} HTTP/{version}\n'
            'Host: h.example\n'
            'Primrosewood-Attempt-Id: ab12\n'
            'Primrosewood-Deadline-Ms: 9000\n'
            'Authorization: Bearer key-1\n'
            f'{extra}\n'
        )
        return RawCaller.send(self.callers, head, **options)

    @contextlib.asynccontextmanager
    async def stream(self, version, events=5000):
        """Begin a stream and yield its caller after two events."""
        for engine in self.engines.values():
            engine.events = events
        usage = 'Primrosewood-Token-Usage: 1000,80\n'
        async with self.send(version, 'POST', '/guide/', usage) as caller:
            await caller.read_until(b'id: 2\n')
            yield caller

    async def serve_chunks(self, *chunks):
        """Replace the plain service by one that sends given chunks."""

        async def handle(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(_CHUNKED_HEAD)
            for chunk in (*chunks, b''):
                writer.write(b'%x\r\n%b\r\n' % (len(chunk), chunk))
                await writer.drain()
            writer.close()

        port = free_port()
        server = await asyncio.start_server(handle, '127.0.0.7', port)
        self.addCleanup(server.close)
        await self.register('i-desk', 'desk', '127.0.0.9:1', state='draining')
        await self.register('i-raw', 'desk', f'127.0.0.7:{port}')
        await asyncio.sleep(1.2)

    async def assert_reset(self, caller):
        with self.assertRaises(ConnectionResetError):
            await caller.read_to_end()

    async def assert_cut_in_chunks(self, caller):
        with contextlib.suppress(ConnectionResetError):
            await caller.read_to_end()
        self.assertNotIn(_LAST_CHUNK, caller.received)


class PlatformCutTest(PlatformCase):
    """Answers of an entry of the users' platform that break off."""

    def crash_engines(self):
        for engine in self.engines.values():
            engine.crash()

    async def test_engine_crashes(self):
        """Guards against a part of a stream that ends like a whole one."""
        async with self.stream('1.0') as caller:
            self.crash_engines()
            await self.assert_reset(caller)

    async def test_engine_crashes_under_chunks(self):
        """Guards against a last chunk after a part of a stream."""
        async with self.stream('1.1') as caller:
            self.crash_engines()
            await self.assert_cut_in_chunks(caller)

    async def test_entry_ends_its_calls(self):
        """Guards against a stop that ends a stream like a whole one."""
        async with self.stream('1.0') as caller:
            self.stop.set()
            await self.assert_reset(caller)

    async def test_entry_is_cancelled(self):
        """Guards against an entry whose end looks like that of a stream."""
        async with self.stream('1.0') as caller:
            self.entry.cancel()
            await self.assert_reset(caller)

    async def break_midway(self, version, error):
        write = frontend._AnswerWriter.write  # noqa: SLF001

        async def write_or_fail(writer, body):
            if b'id: 3\n' in body:
                raise error
            await write(writer, body)

        with mock.patch.object(
            frontend._AnswerWriter,  # noqa: SLF001
            'write',
            write_or_fail,
        ):
            async with self.stream(version) as caller:
                with contextlib.suppress(ConnectionResetError):
                    await caller.read_to_end()
                    self.assertNotEqual('1.0', version, 'a clean end')
        self.assertEqual(1, caller.received.count(b'HTTP/1.'))
        self.assertNotIn(_LAST_CHUNK, caller.received)

    async def test_unexpected_error_midway(self):
        """Guards against an error page that goes on with a begun answer."""
        for version in ('1.0', '1.1'):
            for error in (ValueError('fault'), OSError('fault')):
                with self.subTest(version=version, error=error):
                    await self.break_midway(version, error)

    async def test_slow_reader_at_the_end_of_a_stop(self):
        """Guards against unsent bytes that a stop drops without a sign."""
        await self.serve_chunks(b'x' * _LONG_BODY_BYTES)
        async with self.send('1.0', 'GET', '/lookup/', limit=1) as caller:
            await caller.read_until(b'xx')
            self.stop.set()
            async with asyncio.timeout(8):
                await self.entry
            await self.assert_reset(caller)


class PlatformWholeTest(PlatformCase):
    """Whole answers of an entry to callers on HTTP/1.0."""

    async def test_stream(self):
        """Guards against a whole stream that ends like a broken one."""
        async with self.stream('1.0', events=6) as caller:
            await caller.read_to_end()
        body = caller.received.partition(b'\r\n\r\n')[2]
        events = b''.join(b'id: %d\ndata: ab12\n\n' % i for i in range(1, 7))
        self.assertEqual(events, body)

    async def test_answer_with_a_length(self):
        """Guards against a reset that drops the last bytes."""
        async with self.send('1.0', 'GET', '/lookup/') as caller:
            await caller.read_to_end()
        self.assertTrue(caller.received.endswith(b'\r\n\r\nfound'))

    async def test_slow_reader(self):
        """Guards against a close that drops what a caller has yet to read."""
        await self.serve_chunks(b'x' * _LONG_BODY_BYTES, b'end')
        async with self.send('1.0', 'GET', '/lookup/', limit=1) as caller:
            await caller.read_until(b'xx')
            await asyncio.sleep(0.5)
            await caller.read_to_end()
        body = caller.received.partition(b'\r\n\r\n')[2]
        self.assertEqual(_LONG_BODY_BYTES + 3, len(body))
        self.assertTrue(body.endswith(b'xend'))

    async def test_refusal(self):
        """Guards against a reset in place of a status."""
        async with self.send('1.0', 'GET', '/unknown/') as caller:
            await caller.read_to_end()
        self.assertIn(b' 404 ', caller.received)


class _ScriptedDispatcher:
    """Answers each request with given events, then an error or silence."""

    def __init__(self, *events):
        self.events = events

    async def answer(self, _request):
        for event in self.events:
            if isinstance(event, Exception):
                raise event
            if event is None:
                await asyncio.sleep(30)
            yield event


class OwnInterfaceTest(unittest.IsolatedAsyncioTestCase):
    """Streams of the product's own interface."""

    @contextlib.asynccontextmanager
    async def stream(self, version, *events):
        """Request a stream of given events; yield its caller at the begin."""
        store = mock.Mock(ready=True)
        store.identify.return_value = Organisation('t', 'o', 1)
        store.find_model.return_value = 's'
        api = CallerApi(
            _ScriptedDispatcher(*_STARTED, *events),
            store,
            SystemClock(),
            Limits(),
            's' * 16,
            Metrics(),
        )
        self.runner = web.AppRunner(
            api.make_app(), handler_cancellation=True, shutdown_timeout=0.1
        )
        await self.runner.setup()
        self.addAsyncCleanup(self.runner.cleanup)
        address = f'127.0.0.1:{free_port()}'
        await web.TCPSite(self.runner, *split_address(address)).start()
        body = '{"model": "m", "prompt": "x", "stream": true}'
        head = (
            f'POST /v1/completions HTTP/{version}\n'
            'Host: h.example\n'
            'Content-Type: application/json\n'
            f'Content-Length: {len(body)}\n'
            'Authorization: Bearer key-1\n'
            'X-Request-Timeout: 9\n'
            f'\n{body}'
        )
        async with RawCaller.send(address, head) as caller:
            await caller.read_until(b'"b "')
            yield caller

    async def assert_cut(self, caller):
        with contextlib.suppress(ConnectionResetError):
            await caller.read_to_end()
            self.assertNotIn(b'HTTP/1.0', caller.received, 'a clean end')
        self.assertEqual(1, caller.received.count(b'HTTP/1.'))
        self.assertNotIn(_LAST_CHUNK, caller.received)
        self.assertNotIn(b'[DONE]', caller.received)

    async def test_whole_stream(self):
        """Guards against a whole stream that ends like a broken one."""
        for version in ('1.0', '1.1'):
            async with self.stream(version, _ENDED) as caller:
                await caller.read_until(b'data: [DONE]\n\n')
                if version == '1.0':
                    await caller.read_to_end()
                else:
                    await caller.read_until(_LAST_CHUNK)

    async def test_failure_midway(self):
        """Guards against a failure that its caller is not told."""
        for error in (
            RequestFailedError(ErrorKind.generation_lost),
            ValueError('fault'),
        ):
            for version in ('1.0', '1.1'):
                with self.subTest(error=error, version=version):
                    async with self.stream(version, error) as caller:
                        await caller.read_until(b'"error"')
                    self.assertEqual(1, caller.received.count(b'HTTP/1.'))

    async def test_end_without_a_last_event(self):
        """Guards against a silent end of the events that looks complete."""
        for version in ('1.0', '1.1'):
            for events in ((), (PlainResponse(200, '', b''),)):
                with self.subTest(version=version, events=events):
                    async with self.stream(version, *events) as caller:
                        await self.assert_cut(caller)

    async def test_connection_to_another_process_breaks(self):
        """Guards against a lost connection taken for that of the caller."""
        for version in ('1.0', '1.1'):
            with self.subTest(version=version):
                fault = ConnectionResetError('fault')
                async with self.stream(version, fault) as caller:
                    await self.assert_cut(caller)

    async def test_entry_ends(self):
        """Guards against a stop that ends a stream like a whole one."""
        for version in ('1.0', '1.1'):
            with self.subTest(version=version):
                async with self.stream(version, None) as caller:
                    await self.runner.cleanup()
                    await self.assert_cut(caller)
