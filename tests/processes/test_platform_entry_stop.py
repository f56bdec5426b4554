"""What a slow reader gets of its answer when its entry is stopped."""

import asyncio
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
_WAIT_SECONDS = 15
# The stop lasts 4 s; with nobody to answer the entry ends after 2.6 s.
_STANDSTILL_SECONDS = 3.0
# What the event loop holds beyond what the kernel takes, without telling the
# handler to wait.
_HELD_BYTES = 32_768
_MORE_THAN_KERNEL = 16_000_000
_SMALL_BUFFER = 4096


async def _connect_slowly(host, port):
    receiver = socket.socket()
    receiver.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER)
    receiver.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(receiver, (host, int(port)))
    return await asyncio.open_connection(sock=receiver, limit=_SMALL_BUFFER)


async def _measure_kernel():
    """Return what the kernel takes for a reader that stands still."""
    left = asyncio.get_running_loop().create_future()

    async def write(_reader, writer):
        writer.write(bytes(_MORE_THAN_KERNEL))
        await asyncio.sleep(1)
        left.set_result(writer.transport.get_write_buffer_size())
        writer.transport.abort()

    async with await asyncio.start_server(write, '127.0.0.1', 0) as server:
        _reader, writer = await _connect_slowly(
            *server.sockets[0].getsockname()
        )
        taken = _MORE_THAN_KERNEL - await left
        writer.transport.abort()
    return taken


class SlowReaderTest(unittest.IsolatedAsyncioTestCase):
    """An answer that is written, and not yet read."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / 'node.json'
        self.settings = make_settings()
        self.file.write_text(json.dumps(self.settings))

    async def serve(self, runner, address):
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        host, _, port = address.partition(':')
        await web.TCPSite(runner, host, int(port)).start()

    async def serve_all(self, body):
        address = f'127.0.0.1:{free_port()}'
        service = web.Server(ServiceStandIn('i-desk', body).handle)
        await self.serve(web.ServerRunner(service), address)
        stand_in = StoreStandIn()
        for key, document in (
            ('op/config', make_table()),
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
            env={**os.environ, 'PRIMROSEWOOD_NODE_FILE': str(self.file)},
            stdout=asyncio.subprocess.PIPE,
        )
        self.addAsyncCleanup(self.end, process)
        async with asyncio.timeout(_WAIT_SECONDS):
            while not await self.is_ready():
                await asyncio.sleep(0.05)
        return process

    async def end(self, process):
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

    async def ask(self):
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

    async def test_end_of_an_answer(self):
        """A caller reads slowly when its entry is asked to stop.

        The whole answer is written and its request counts as answered; the
        event loop holds the last bytes, for which the kernel has no room. The
        entry ends as soon as nobody is left, and they end with it.
        """
        body = bytes(await _measure_kernel() + _HELD_BYTES)
        await self.serve_all(body)
        process = await self.start()
        reader = await self.ask()
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(_STANDSTILL_SECONDS)
        received = 0
        while part := await reader.read(len(body)):
            received += len(part)
        self.assertEqual(len(body), received)
        self.assertEqual(0, await process.wait())
