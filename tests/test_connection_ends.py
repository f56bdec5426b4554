"""How connections end under answers, as callers see it on their sockets.

An answer to a caller on HTTP/1.0 has no chunks, so that the end of its
connection is all that shows whether it is whole.
"""

import asyncio
import contextlib
from unittest import mock

from primrosewood.platform import frontend

from .deployment import Deployment
from .processes.harness import free_port

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


class RawCaller:
    """A caller's connection that carries one request.

    Attributes
    ----------
    received
        All bytes so far.
    """

    def __init__(self, reader, writer):
        self.received = b''
        self._reader = reader
        self._writer = writer

    @classmethod
    @contextlib.asynccontextmanager
    async def send(cls, address, head, limit=65_536):
        """Send the head of a request; close the connection at the end."""
        host, _, port = address.partition(':')
        reader, writer = await asyncio.open_connection(host, port, limit=limit)
        writer.write(head.replace('\n', '\r\n').encode())
        try:
            yield cls(reader, writer)
        finally:
            writer.close()

    async def read_until(self, text):
        """Read until some bytes have come."""
        async with asyncio.timeout(5):
            while text not in self.received:
                part = await self._reader.read(65_536)
                assert part, self.received
                self.received += part

    async def read_to_end(self):
        """Read the rest; raises ConnectionResetError after a reset."""
        async with asyncio.timeout(10):
            while part := await self._reader.read(65_536):
                self.received += part


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
