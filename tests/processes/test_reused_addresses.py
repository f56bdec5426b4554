"""Addresses of crashed engines go to others, beside real processes.

    PRIMROSEWOOD_ADDRESS_SEEDS="1 2 3" python -m unittest \
        tests.processes.test_reused_addresses.SeededTest

plays other seeds than that of CI.
"""

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
import unittest
from collections import Counter
from pathlib import Path
from random import Random

import aiohttp
from aiohttp import web

from primrosewood.entrycount import StoredEntryCount
from primrosewood.platform.entrydocuments import (
    ENTRY_COUNT_KEY,
    serialise_entry_count,
)
from standins.backends import BORN, EngineStandIn, KvCopyStore
from standins.fleet import make_record, make_route
from standins.store import StoreStandIn

from .harness import free_port
from .test_platform import make_settings

_ROOT = Path(__file__).resolve().parents[2]
_SERVICES = ('guide', 'label')
_HOSTS = {'i-1': '127.0.0.2', 'i-2': '127.0.0.3', 'i-3': '127.0.0.4'}
_ENGINE_SERVICES = {'i-1': 'guide', 'i-2': 'guide', 'i-3': 'label'}
_NEW_HOST = '127.0.0.5'
_SEND_SECONDS = 0.05
# After this an address may go to another back end.
_REUSE_SECONDS = 2.2
# From the start of an engine until it registers.
_REGISTRATION_SECONDS = 0.5
# Longer than an entry takes a store that fails for a short pause, and than a
# process takes to announce an engine.
_SETTLE_SECONDS = 2.5
_NOTICE_SECONDS = 2
_MOVED_STREAMS = 5
_EVENTS = 30
_LONG_EVENTS = 150
_EXCHANGES = 4
_SEED = '1'


class _AddressCase(unittest.IsolatedAsyncioTestCase):
    """An entry before two engines of one service and one of another.

    A process stands beside each, and its settings never change.
    """

    async def asyncSetUp(self):
        # Debug mode checks every callback, which slows callers.
        asyncio.get_running_loop().set_debug(False)
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.folder = Path(
            self.stack.enter_context(tempfile.TemporaryDirectory())
        )
        self.port = free_port()
        self.link_port = free_port()
        self.store_address = f'127.0.0.1:{free_port()}'
        self.session = await self.stack.enter_async_context(
            aiohttp.ClientSession()
        )
        self.copies = KvCopyStore()
        self.engines = {}
        self.wanted = {}
        self.statuses = Counter()
        self.whole = Counter()
        self.services = dict(_ENGINE_SERVICES)
        await self.start_store()
        self.entry = make_settings(name='entry-1')
        self.start_node('entry', self.entry)
        self.sides = {}
        for name, service in _ENGINE_SERVICES.items():
            await self.start_engine(name, service, _HOSTS[name])
            self.start_side(name, _HOSTS[name], service)
        await self.wait_lines('event=reports_heard', len(_ENGINE_SERVICES))
        await asyncio.sleep(1)

    async def start_store(self):
        self.store = StoreStandIn()
        await self.put(
            'op/config',
            {
                'version': 1,
                'routes': [
                    make_route(
                        name,
                        f'/{name}/',
                        'streaming',
                        name,
                        timeout_ms=9000,
                        goal_ms=2000,
                    )
                    for name in _SERVICES
                ],
                'services': [
                    {
                        'name': name,
                        'engine': {
                            'slots': 32,
                            'kv_capacity': 30_000,
                            'moves': True,
                        },
                    }
                    for name in _SERVICES
                ],
                'limits': {},
                'tenants': [{'name': 'o1', 'api_keys': ['key-1']}],
            },
        )
        await self.store.store.put(
            ENTRY_COUNT_KEY, serialise_entry_count(StoredEntryCount(1))
        )
        runner = web.AppRunner(self.store.make_app(), shutdown_timeout=0.1)
        await self.listen(runner, self.store_address)

    async def listen(self, runner, address):
        await runner.setup()
        self.stack.push_async_callback(runner.cleanup)
        host, _, port = address.partition(':')
        site = web.TCPSite(runner, host, int(port), reuse_address=True)
        await site.start()
        return site

    async def put(self, key, document):
        await self.store.store.put(key, json.dumps(document).encode())

    async def start_engine(self, name, service, host, register=True):
        self.services[name] = service
        address = f'{host}:{self.port}'
        engine = EngineStandIn(name, address, self.copies)
        engine.born = BORN + len(self.engines)
        engine.events = _EVENTS
        self.engines[name] = engine
        server = web.Server(engine.handle, handler_cancellation=True)
        runner = web.ServerRunner(server, shutdown_timeout=0)
        engine.stop_listening = (await self.listen(runner, address)).stop
        if register:
            await self.register(name, service)
        return engine

    async def register(self, name, service):
        engine = self.engines[name]
        record = make_record(
            service, engine.address, born=engine.born, slots=32
        )
        await self.put(f'servers/{name}', record)

    def start_side(self, name, host, service):
        settings = make_settings(
            name=f'side-{name}',
            host=host,
            endpoint={'engine': f'{host}:{self.port}', 'service': service},
            seeds=[self.entry['entry']['peers']],
        )
        self.sides[host] = self.start_node('endpoint', settings)

    def start_node(self, role, settings):
        settings['store'] = self.store_address
        settings['link_port'] = self.link_port
        file = self.folder / f'{settings["name"]}.json'
        file.write_text(json.dumps(settings))
        with self.log_of(settings['name']).open('ab') as log:
            process = _Process(role, file, log)
        self.stack.push_async_callback(process.kill)
        return process

    def log_of(self, name):
        return self.folder / f'{name}.log'

    async def wait_lines(self, text, count, name='entry-1'):
        """Wait until a process has logged a text so often."""
        await self.wait_for(
            lambda: self.log_of(name).read_text().count(text) >= count
        )

    async def wait_for(self, condition):
        async with asyncio.timeout(20):
            while not condition():
                await asyncio.sleep(0.02)

    @contextlib.asynccontextmanager
    async def load(self):
        """Send requests for both services until the context ends."""
        calls = []

        async def send():
            for number in range(1_000_000):
                calls.append(
                    asyncio.create_task(self.request(_SERVICES[number % 2]))
                )
                await asyncio.sleep(_SEND_SECONDS)

        sender = asyncio.create_task(send())
        yield
        sender.cancel()
        await asyncio.gather(*calls)

    async def request(self, service):
        name = f'{len(self.wanted):016x}'
        self.wanted[name] = service
        url = f'http://{self.entry["entry"]["callers"]}/{service}/x'
        headers = {
            'Host': 'h.example',
            'Authorization': 'Bearer key-1',
            'Primrosewood-Attempt-Id': name,
            'Primrosewood-Deadline-Ms': '8000',
            'Primrosewood-Token-Usage': '1000,80',
        }
        try:
            async with self.session.post(
                url, headers=headers, data=b'{}'
            ) as response:
                self.statuses[service, response.status] += 1
                await response.read()
                self.whole[service, response.status] += 1
        except aiohttp.ClientError:
            self.statuses[service, 'cut'] += 1

    async def crash(self, name, recorded=False):
        """Crash an engine; its record stands if it is not removed."""
        engine = self.engines[name]
        engine.lose_power()
        await engine.stop_listening()
        if not recorded:
            self.store.store.delete(f'servers/{name}')
        await asyncio.sleep(_REUSE_SECONDS)

    def count_wrong(self):
        """Return how many requests engines of the other service ran."""
        return sum(
            self.wanted[call.name] != self.services[name]
            for name, engine in self.engines.items()
            for call in engine.ran
        )


class ReusedAddressTest(_AddressCase):
    """A newcomer at the address of an engine that crashed."""

    def count_new(self):
        return len(self.engines['i-new'].ran)

    async def replace(self, service, restart=False):
        """Crash an engine, and start another one at its address."""
        await self.crash('i-1', recorded=self.store.faults.silent)
        if restart:
            await self.sides[_HOSTS['i-1']].kill()
            self.start_side('i-1', _HOSTS['i-1'], _ENGINE_SERVICES['i-1'])
            await asyncio.sleep(1)
        await self.start_engine('i-new', service, _HOSTS['i-1'], register=False)

    async def test_store_answers(self):
        """Guards against an engine that is called before its record is read."""
        async with self.load():
            await self.replace('label')
            await asyncio.sleep(_REGISTRATION_SECONDS)
            await self.register('i-new', 'label')
            await self.wait_for(self.count_new)
        self.assertEqual(0, self.count_wrong(), self.statuses)

    async def test_store_is_away(self):
        """Guards against the service of settings that outlive their engine."""
        await self.check_in_an_outage('label')

    async def test_newcomer_of_the_same_service(self):
        """Guards against a newcomer that is believed, as nothing tells it."""
        await self.check_in_an_outage('guide')

    async def check_in_an_outage(self, service):
        """Check that a newcomer is called from its record on."""
        async with self.load():
            self.store.faults.silent = True
            await self.replace(service)
            await asyncio.sleep(_SETTLE_SECONDS)
            self.assertEqual(0, self.count_new())
            self.store.store.delete('servers/i-1')
            await self.register('i-new', service)
            self.store.faults.silent = False
            await self.wait_for(self.count_new)
        self.assertEqual(0, self.count_wrong(), self.statuses)

    async def test_store_is_away_and_the_process_new(self):
        """Guards against a process that takes a newcomer for its engine."""
        async with self.load():
            self.store.faults.silent = True
            await self.replace('label', restart=True)
            await asyncio.sleep(_SETTLE_SECONDS)
        self.assertEqual(0, self.count_new(), self.statuses)

    async def test_newcomer_leaves(self):
        """Guards against targets of moves by the service of the one before."""
        await self.replace('label')
        await self.register('i-new', 'label')
        self.engines['i-new'].events = _LONG_EVENTS
        self.engines['i-3'].events = _LONG_EVENTS
        await self.wait_lines('event=reports_heard', len(_ENGINE_SERVICES) + 1)
        async with self.load():
            await self.wait_for(lambda: self.count_new() > _MOVED_STREAMS)
            self.engines['i-new'].leaves_ms = _NOTICE_SECONDS * 1000
            await asyncio.sleep(_NOTICE_SECONDS)
            self.engines['i-new'].lose_power()
            await self.engines['i-new'].stop_listening()
        self.assertEqual(0, self.count_wrong(), self.statuses)
        self.assertEqual(
            self.statuses['label', 200], self.whole['label', 200], self.whole
        )

    async def test_new_machine_while_the_store_is_away(self):
        """Guards against engines that nobody calls as they cannot register."""
        async with self.load():
            self.store.faults.silent = True
            await asyncio.sleep(1.5)
            self.start_side('i-new', _NEW_HOST, 'guide')
            # It has looked for its engine by then.
            await self.wait_lines('event=link_opened', 1, 'side-i-new')
            await asyncio.sleep(0.2)
            await self.start_engine('i-new', 'guide', _NEW_HOST, register=False)
            await self.wait_for(self.count_new)
        self.assertEqual(0, self.count_wrong(), self.statuses)


class SeededTest(_AddressCase):
    """Exchanges of engines in series, with processes and store in trouble."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.standing = {_HOSTS[name]: name for name in ('i-1', 'i-2')}

    async def play(self, random):
        """Exchange engines at both addresses of one service a few times."""
        for _ in range(_EXCHANGES):
            host = random.choice(sorted(self.standing))
            name = f'i-{len(self.engines) + 1}'
            service = random.choice(_SERVICES)
            self.store.faults.silent = random.random() < 0.5
            await asyncio.sleep(random.uniform(0, 1.5))
            await self.end(self.standing[host], random)
            await self.disturb_side(host, random)
            await self.start_engine(name, service, host, register=False)
            await asyncio.sleep(random.uniform(0, 1.5))
            self.standing[host] = name
            await self.register(name, service)
            self.store.faults.silent = random.random() < 0.3
            await asyncio.sleep(random.uniform(0, 1.5))
        self.store.faults.silent = False
        await asyncio.sleep(_SETTLE_SECONDS)

    async def end(self, name, random):
        """End an engine, and its record now or when it is replaced."""
        engine = self.engines[name]
        if random.random() < 0.4:
            engine.leaves_ms = _NOTICE_SECONDS * 1000
            await asyncio.sleep(random.uniform(0, _NOTICE_SECONDS))
        await self.crash(name, recorded=True)
        self.store.store.delete(f'servers/{name}')

    async def disturb_side(self, host, random):
        """Leave the process at an address, start it anew, or freeze it."""
        side = self.sides[host]
        trouble = random.choice(('none', 'restart', 'freeze'))
        if trouble == 'restart':
            await side.kill()
            self.start_side(host, host, _ENGINE_SERVICES['i-1'])
            await asyncio.sleep(random.uniform(0, 1))
        elif trouble == 'freeze':
            await side.send_signal(signal.SIGSTOP)
            asyncio.get_running_loop().call_later(
                random.uniform(0, 3),
                lambda: asyncio.ensure_future(side.send_signal(signal.SIGCONT)),
            )

    async def test_seeds(self):
        """Guards against what single disturbances do not show."""
        seeds = os.environ.get('PRIMROSEWOOD_ADDRESS_SEEDS', _SEED).split()
        for seed in seeds:
            with self.subTest(seed=seed):
                wrong = self.count_wrong()
                async with self.load():
                    await self.play(Random(f'{seed} addresses'))
                self.assertEqual(wrong, self.count_wrong(), self.statuses)


class _Process:
    """One of our programs, started as on the platform."""

    def __init__(self, role, file, log):
        self._starting = asyncio.ensure_future(
            asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'primrosewood.platform',
                role,
                cwd=_ROOT,
                env={**os.environ, 'PRIMROSEWOOD_NODE_FILE': str(file)},
                stdout=os.dup(log.fileno()),
                stderr=os.dup(log.fileno()),
            )
        )

    async def send_signal(self, number):
        process = await self._starting
        if process.returncode is None:
            process.send_signal(number)

    async def kill(self):
        await self.send_signal(signal.SIGKILL)
        await (await self._starting).wait()


if __name__ == '__main__':
    unittest.main()
