"""Answers that are in progress as the process of an entry is stopped."""

import asyncio
import itertools
import json
import os
import signal
import socket
import sys
import tempfile
import unittest
from pathlib import Path

import aiohttp
from aiohttp import web

from standins.backends import ServiceStandIn
from standins.fleet import make_record
from standins.store import StoreStandIn
from tests.deployment import make_table

from .harness import free_port
from .test_platform import make_settings

_ROOT = Path(__file__).resolve().parents[2]
_START_TIMEOUT_SECONDS = 15
# A stop may take 4 s; without calls the entry exits after 2.6 s.
_READ_PAUSE_SECONDS = 3.0
# Bytes that the event loop buffers, beyond those that the kernel does, without
# pausing the handler.
_EVENT_LOOP_BYTES = 32_768
# More than the kernel buffers.
_PROBE_BYTES = 16_000_000
_SMALL_BUFFER_BYTES = 4096
# Longer than a stop, also if it begins late.
_ROUTE_TIMEOUT_MS = 20_000
# Of each method.
_PENDING_CALLS = 40


async def _connect_slowly(host, port):
    receiver = socket.socket()
    receiver.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES
    )
    receiver.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(receiver, (host, int(port)))
    return await asyncio.open_connection(
        sock=receiver, limit=_SMALL_BUFFER_BYTES
    )


async def _measure_kernel_buffers():
    """Return the bytes that the kernel buffers for a paused reader."""
    unsent = asyncio.get_running_loop().create_future()

    async def write(_reader, writer):
        writer.write(bytes(_PROBE_BYTES))
        await asyncio.sleep(1)
        unsent.set_result(writer.transport.get_write_buffer_size())
        writer.transport.abort()

    async with await asyncio.start_server(write, '127.0.0.1', 0) as server:
        _reader, writer = await _connect_slowly(
            *server.sockets[0].getsockname()
        )
        buffered = _PROBE_BYTES - await unsent
        writer.transport.abort()
    return buffered


class _EntryProcessTest(unittest.IsolatedAsyncioTestCase):
    """Runs an entry as a process, with one plain service."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.settings_file = Path(folder.name) / 'node.json'
        self.settings = make_settings()
        self.settings_file.write_text(json.dumps(self.settings))

    async def serve(self, runner, address):
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        host, _, port = address.partition(':')
        await web.TCPSite(runner, host, int(port)).start()

    async def serve_all(self, service):
        address = f'127.0.0.1:{free_port()}'
        server = web.Server(service.handle)
        runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self.serve(runner, address)
        stand_in = StoreStandIn()
        table = make_table()
        for route in table['routes']:
            route['timeout_ms'] = _ROUTE_TIMEOUT_MS
        for key, document in (
            ('op/config', table),
            ('servers/i-desk', make_record('desk', address)),
        ):
            await stand_in.store.put(key, json.dumps(document).encode())
        runner = web.AppRunner(stand_in.make_app(), shutdown_timeout=0.1)
        await self.serve(runner, self.settings['store'])

    async def start(self):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'primrosewood.platform',
            'entry',
            cwd=_ROOT,
            env={
                **os.environ,
                'PRIMROSEWOOD_NODE_FILE': str(self.settings_file),
            },
            stdout=asyncio.subprocess.PIPE,
        )
        self.addAsyncCleanup(self.kill, process)
        async with asyncio.timeout(_START_TIMEOUT_SECONDS):
            while not await self.is_ready():
                await asyncio.sleep(0.05)
        return process

    async def kill(self, process):
        if process.returncode is None:
            process.kill()
        await process.wait()
        process._transport.close()

    async def is_ready(self):
        url = f'http://{self.settings["entry"]["ready"]}/readyz'
        try:
            async with aiohttp.request('GET', url) as response:
                return response.status == 200
        except aiohttp.ClientConnectorError:
            return False


class SlowReaderTest(_EntryProcessTest):
    """An answer that is written completely but not yet read."""

    async def send_request(self):
        """Request the long answer and return a reader after its head."""
        address = self.settings['entry']['callers']
        reader, writer = await _connect_slowly(*address.split(':'))
        self.addCleanup(writer.close)
        writer.write(
            b'GET /lookup/1 HTTP/1.1\r\nHost: h.example\r\n'
            b'Primrosewood-Attempt-Id: ab12\r\n'
            b'Primrosewood-Deadline-Ms: 20000\r\n'
            b'Authorization: Bearer key-1\r\n\r\n'
        )
        head = await reader.readuntil(b'\r\n\r\n')
        self.assertIn(b' 200 ', head)
        return reader

    async def test_end_of_a_slowly_read_answer(self):
        """The last bytes of an answer are not lost with the event loop.

        The whole answer is written, so its request counts as answered, but
        the event loop still buffers bytes that exceed the kernel's buffers.
        An entry that exits as soon as no request is left would drop them.
        """
        body = bytes(await _measure_kernel_buffers() + _EVENT_LOOP_BYTES)
        await self.serve_all(ServiceStandIn('i-desk', body))
        process = await self.start()
        reader = await self.send_request()
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(_READ_PAUSE_SECONDS)
        received = 0
        while chunk := await reader.read(len(body)):
            received += len(chunk)
        self.assertEqual(len(body), received)
        self.assertEqual(0, await process.wait())


class EndOfStopTest(_EntryProcessTest):
    """Calls that are still in progress when the process ends."""

    async def call(self, method, path):
        address = self.settings['entry']['callers']
        async with aiohttp.request(
            method,
            f'http://{address}{path}',
            headers={
                'Host': 'h.example',
                'Primrosewood-Attempt-Id': f'ab{next(self.numbers)}',
                'Primrosewood-Deadline-Ms': '20000',
                'Authorization': 'Bearer key-1',
            },
        ) as response:
            await response.read()
            return response.status

    async def all_run(self):
        async with asyncio.timeout(_START_TIMEOUT_SECONDS):
            while len(self.service.ran) < 2 * _PENDING_CALLS:
                await asyncio.sleep(0.05)

    async def test_service_that_hangs(self):
        """Guards against a process that ends before its errors are sent.

        Some calls may be repeated and some not; their service hangs until the
        stop ends.  A closed connection would look like a network failure.
        """
        self.numbers = itertools.count()
        self.service = ServiceStandIn('i-desk')
        self.service.seconds = 30
        await self.serve_all(self.service)
        process = await self.start()
        calls = asyncio.gather(
            *(self.call('GET', '/lookup/1') for _ in range(_PENDING_CALLS)),
            *(self.call('POST', '/issue/1') for _ in range(_PENDING_CALLS)),
        )
        await self.all_run()
        process.send_signal(signal.SIGTERM)
        self.assertEqual({502}, set(await calls))
        self.assertEqual(0, await process.wait())
