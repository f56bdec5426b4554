"""Bytes without end from back ends and the store, against real processes."""

import asyncio
import json
import os
import sys
import tempfile
import unittest
from pathlib import Path

import aiohttp
from aiohttp import web

from standins.backends import ServiceStandIn
from standins.fleet import make_record, make_route
from standins.store import StoreStandIn

from .endlessbytes import ENDLESS
from .harness import free_port
from .test_platform import make_settings

_ROOT = Path(__file__).resolve().parents[2]
_EVENT_TIMEOUT_SECONDS = 15
_SLOTS = 8
# Whole answers take 24 MB together, and each stream one event of 1 MB.
_MAX_GROWTH_KILOBYTES = 1024 * (24 + _SLOTS)
_CONTROL_SECONDS = 1.5
# One answer of the store of 32 MB, one report of an engine of 4 MB.
_MAX_STORE_GROWTH_KILOBYTES = 1024 * (32 + 4)
_MAX_REPORT_GROWTH_KILOBYTES = 1024 * (4 + 4)
# Those that matter to streams only, or are whole answers for long.
_STREAMS_ONLY = (
    'small chunks',
    'event',
    'events',
    'events without framing',
    'lines of an event',
)


class _EndlessCase(unittest.IsolatedAsyncioTestCase):
    """A process among servers that send without end."""

    default = 'body'

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.store_address = f'127.0.0.1:{free_port()}'
        self.faulty_address = f'127.0.0.1:{free_port()}'
        sender = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'tests.processes.endlessbytes',
            self.faulty_address,
            self.default,
            cwd=_ROOT,
            stdout=asyncio.subprocess.PIPE,
        )
        self.addAsyncCleanup(self.kill, sender)
        await sender.stdout.readline()

    async def start(self, role, **fields):
        settings = make_settings(**{'store': self.store_address, **fields})
        file = self.folder / f'{role}.json'
        file.write_text(json.dumps(settings))
        with (self.folder / 'log').open('w') as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'primrosewood.platform',
                role,
                cwd=_ROOT,
                env={**os.environ, 'PRIMROSEWOOD_NODE_FILE': str(file)},
                stdout=log,
            )
        self.addAsyncCleanup(self.kill, process)
        return process, settings

    async def kill(self, process):
        if process.returncode is None:
            process.kill()
        await process.wait()
        process._transport.close()

    async def serve(self, handler, address):
        if isinstance(handler, web.Application):
            runner = web.AppRunner(handler, shutdown_timeout=0.1)
        else:
            runner = web.ServerRunner(web.Server(handler), shutdown_timeout=0.1)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        host, _, port = address.partition(':')
        await web.TCPSite(runner, host, int(port)).start()

    def read_log(self):
        return (self.folder / 'log').read_text()

    async def wait_event(self, event):
        async with asyncio.timeout(_EVENT_TIMEOUT_SECONDS):
            while f'event={event}' not in self.read_log():
                await asyncio.sleep(0.05)


def read_memory(process, name):
    """Return a size that the kernel states of a process, in kilobytes."""
    status = Path(f'/proc/{process.pid}/status').read_text()
    (line,) = (each for each in status.splitlines() if name in each)
    return int(line.split()[1])


class EntryMemoryTest(_EndlessCase):
    """Back ends that send to an entry."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        stand_in = StoreStandIn()
        await self.serve(stand_in.make_app(), self.store_address)
        sound_address = f'127.0.0.1:{free_port()}'
        await self.serve(ServiceStandIn('i-desk').handle, sound_address)
        documents = {
            'op/config': {
                'version': 1,
                'routes': [
                    make_route('lookup', '/lookup/', 'idempotent', 'desk'),
                    make_route('whole', '/whole/', 'idempotent', 'faulty'),
                    make_route('stream', '/stream/', 'streaming', 'faulty'),
                ],
            },
            'servers/i-desk': make_record('desk', sound_address),
            'servers/i-faulty': make_record('faulty', self.faulty_address),
        }
        for key, document in documents.items():
            await stand_in.store.put(key, json.dumps(document).encode())
        self.process, settings = await self.start('entry')
        self.callers = settings['entry']['callers']
        await self.wait_event('table_in_force')
        await asyncio.sleep(0.5)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def call(self, path, name, seconds=5):
        headers = {
            'Host': 'h.example',
            'Primrosewood-Attempt-Id': name,
            'Primrosewood-Deadline-Ms': '5000',
            'Primrosewood-Token-Usage': '10,100',
        }
        try:
            async with asyncio.timeout(seconds):
                async with self.session.get(
                    f'http://{self.callers}{path}', headers=headers
                ) as response:
                    async for _part in response.content.iter_any():
                        pass
                    return response.status
        except (aiohttp.ClientError, TimeoutError) as error:
            return type(error).__name__

    async def call_sound(self, stop):
        """Call a sound service; return the statuses."""
        statuses = set()
        number = 0
        while not stop.is_set():
            number += 1
            statuses.add(await self.call('/lookup/', f'sound{number}'))
            await asyncio.sleep(0.02)
        return statuses

    async def play(self, path, names):
        """Let every slot of the faulty back end send; check the rest."""
        idle = read_memory(self.process, 'VmHWM')
        for name in names:
            stop = asyncio.Event()
            sound = asyncio.create_task(self.call_sound(stop))
            target = path + name.replace(' ', '-')
            await asyncio.gather(
                *(
                    self.call(target, f'a{number}', 2)
                    for number in range(_SLOTS)
                )
            )
            stop.set()
            with self.subTest(name):
                self.assertEqual({200}, await sound)
                self.assertIsNone(self.process.returncode)
        growth = read_memory(self.process, 'VmHWM') - idle
        self.assertLess(growth, _MAX_GROWTH_KILOBYTES)

    async def test_whole_answers(self):
        """Guards against an entry that is killed for its memory."""
        names = [name for name in ENDLESS if name not in _STREAMS_ONLY]
        await self.play('/whole/', names)

    async def test_streams(self):
        """Guards against one engine that stops all calls of an entry."""
        await self.play('/stream/', ENDLESS)


class ControlMemoryTest(_EndlessCase):
    """The store that entries read, and the engine beside an endpoint."""

    default = 'chunks'

    async def measure_growth(self, role, **fields):
        process, _settings = await self.start(role, **fields)
        await self.wait_event('started')
        idle = read_memory(process, 'VmHWM')
        await asyncio.sleep(_CONTROL_SECONDS)
        self.assertIsNone(process.returncode)
        return read_memory(process, 'VmHWM') - idle

    async def test_store(self):
        """Guards against an outage of the store that ends all entries."""
        growth = await self.measure_growth('entry', store=self.faulty_address)
        self.assertLess(growth, _MAX_STORE_GROWTH_KILOBYTES)

    async def test_engine(self):
        """Guards against an endpoint that is killed for its memory."""
        endpoint = {'engine': self.faulty_address, 'service': 'faulty'}
        growth = await self.measure_growth('endpoint', endpoint=endpoint)
        self.assertLess(growth, _MAX_REPORT_GROWTH_KILOBYTES)


if __name__ == '__main__':
    unittest.main()
