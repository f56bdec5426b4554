"""A small deployment in one process, for tests of the whole request path.

Runs entry and endpoint nodes against stand-ins of the key-value service,
engines and plain services.  Each VM is a loopback address.
"""

import asyncio
import contextlib
import json
import unittest

import aiohttp
from aiohttp import web
from yarl import URL

from primrosewood.entrycount import StoredEntryCount
from primrosewood.gen_node import (
    EndpointNode as EndpointSettings,
)
from primrosewood.gen_node import (
    EntryNode as EntrySettings,
)
from primrosewood.gen_node import NodeSettings, SharedLimits
from primrosewood.platform.endpoint import EndpointNode
from primrosewood.platform.entry import EntryNode
from primrosewood.platform.entrydocuments import (
    ENTRY_COUNT_KEY,
    serialise_entry_count,
)
from standins.backends import EngineStandIn, KvCopyStore, ServiceStandIn
from standins.fleet import make_record, make_route
from standins.store import StoreStandIn

from .processes.harness import free_port

LIMITS = SharedLimits(
    stop_seconds=4,
    repeat_ratio=0.2,
    repeat_slack=50,
    # Until it is over, a process that starts uses a part of its share only.
    repeat_window_seconds=0.05,
    cold_factor=1.5,
    cold_slack=5,
)
# From the start of an endpoint node until its engine listens.
_VM_START_SECONDS = 0.4
# Headers with the API key, and those of a request for a generation.
KEY_HEADERS = {'Authorization': 'Bearer key-1'}
GENERATION_HEADERS = {'Primrosewood-Token-Usage': '1000,80', **KEY_HEADERS}


def make_table(version=1, keys=('key-1',), prefix='/lookup/', **limits):
    """Return a route table; ``prefix`` is the path of the look-up route."""
    return {
        'version': version,
        'routes': [
            make_route('guide', '/guide/', 'streaming', 'model'),
            make_route('issue', '/issue/', 'non_idempotent', 'desk'),
            make_route('lookup', prefix, 'idempotent', 'desk'),
            make_route('open', '/open/', 'idempotent', 'desk', anonymous=True),
        ],
        'services': [
            {
                'name': 'model',
                'engine': {'slots': 8, 'kv_capacity': 30_000, 'moves': True},
            },
            {'name': 'desk'},
        ],
        'limits': {
            'max_header_bytes': 4000,
            'max_body_bytes': 10_000,
            **limits,
        },
        'tenants': [{'name': 'o1', 'api_keys': list(keys)}],
    }


class Deployment(unittest.IsolatedAsyncioTestCase):
    """Runs two engines with their endpoint nodes, one service and one entry.

    Attributes
    ----------
    limits, body_memory_bytes
        Limits in the settings of all nodes, and of the entries.
    stand_in
        The key-value service.
    engines
        Engine stand-ins by name.
    service
        The plain service.
    callers, ready, peers
        Addresses of the entry that was started last.
    entry
        Task that runs the first entry.
    stop
        Stops the first entry.
    """

    limits = LIMITS
    body_memory_bytes = 25_000_000

    async def asyncSetUp(self):
        self.link_port = free_port()
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.session = aiohttp.ClientSession()
        self.stack.push_async_callback(self.session.close)
        self.stand_in = StoreStandIn()
        self.store_address = f'127.0.0.1:{free_port()}'
        await self.serve(self.stand_in.make_app(), self.store_address)
        self.copies = KvCopyStore()
        self.engines = {}
        await self.put('op/config', make_table())
        await self.stand_in.store.put(
            ENTRY_COUNT_KEY, serialise_entry_count(StoredEntryCount(1))
        )
        self.service = ServiceStandIn('i-desk')
        await self.add('i-desk', 'desk', self.service, '127.0.0.9')
        for number in (1, 2):
            await self.add_engine(f'i-{number}', f'127.0.0.{number + 1}')
        self.callers = f'127.0.0.1:{free_port()}'
        self.ready = f'127.0.0.1:{free_port()}'
        self.peers = f'127.0.0.1:{free_port()}'
        self.metrics_port = free_port()
        self.stop = asyncio.Event()
        self.entry = await self.start_entry(self.stop)
        await self.wait_ready()

    async def serve(self, app, address):
        """Serve an application or a request handler until the test ends.

        Returns the site, which may be stopped before.
        """
        if isinstance(app, web.Application):
            server_runner = web.AppRunner(app, shutdown_timeout=0.1)
        else:
            server = web.Server(app, handler_cancellation=True)
            server_runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await server_runner.setup()
        self.stack.push_async_callback(server_runner.cleanup)
        host, _, port = address.partition(':')
        site = web.TCPSite(server_runner, host, int(port))
        await site.start()
        return site

    async def put(self, key, document):
        """Write a JSON document to the key-value service."""
        await self.stand_in.store.put(key, json.dumps(document).encode())

    async def add(self, name, service, back_end, host, port=0):
        """Serve a back end, register it and return its address."""
        address = f'{host}:{port or free_port()}'
        await self.serve(back_end.handle, address)
        await self.register(name, service, address)
        return address

    async def register(self, name, service, address, **fields):
        record = make_record(service, address, **fields)
        await self.put(f'servers/{name}', record)

    async def add_engine(self, name, host, seeds=(), register=True):
        """Start an engine and its endpoint node, on a new VM the node first."""
        address = f'{host}:{free_port()}'
        engine = EngineStandIn(name, address, self.copies)
        self.engines[name] = engine
        settings = self.make_settings(
            f'side-{name}',
            host,
            endpoint=EndpointSettings(engine=address, service='model'),
            seeds=list(seeds),
        )
        self.run_node(EndpointNode(settings), asyncio.Event())
        if not register:
            await asyncio.sleep(_VM_START_SECONDS)
        site = await self.serve(engine.handle, address)
        engine.stop_listening = site.stop
        if register:
            await self.register(name, 'model', address)

    def make_settings(self, name, host, **fields):
        return NodeSettings(
            name=name,
            host=host,
            failure_domain='d1',
            link_port=self.link_port,
            link_key='',
            store=self.store_address,
            limits=self.limits,
            **{
                'metrics_port': 0,
                'seeds': [],
                **fields,
            },
        )

    async def start_entry(self, stop):
        settings = self.make_settings(
            'entry-1',
            '127.0.0.1',
            entry=EntrySettings(
                body_memory_bytes=self.body_memory_bytes,
                callers=self.callers,
                ready=self.ready,
                peers=self.peers,
            ),
            metrics_port=self.metrics_port,
        )
        return self.run_node(EntryNode(settings), stop)

    async def add_entry(self, name):
        """Start another entry; later calls go to it."""
        self.callers = f'127.0.0.1:{free_port()}'
        self.ready = f'127.0.0.1:{free_port()}'
        settings = self.make_settings(
            name,
            '127.0.0.1',
            entry=EntrySettings(
                body_memory_bytes=self.body_memory_bytes,
                callers=self.callers,
                ready=self.ready,
                peers=f'127.0.0.1:{free_port()}',
            ),
        )
        self.run_node(EntryNode(settings), asyncio.Event())
        await self.wait_ready()

    def run_node(self, node, stop):
        """Run a node until the test ends; return its task."""
        task = asyncio.create_task(node.run(stop))

        async def stop_node():
            stop.set()
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

        self.stack.push_async_callback(stop_node)
        return task

    async def wait_for(self, condition, seconds=10):
        """Wait until an asynchronous condition is true."""
        async with asyncio.timeout(seconds):
            while not await condition():
                await asyncio.sleep(0.02)

    async def is_ready(self):
        try:
            async with self.session.get(
                f'http://{self.ready}/readyz'
            ) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def wait_ready(self):
        await self.wait_for(self.is_ready)

    async def call(
        self, method, path, name='ab12', headers=KEY_HEADERS, **fields
    ):
        """Send a request to the entry; return the response and its body.

        ``name`` is the attempt id.
        """
        async with self.session.request(
            method,
            URL(f'http://{self.callers}{path}', encoded=True),
            headers={
                'Host': 'h.example',
                'Primrosewood-Attempt-Id': name,
                'Primrosewood-Deadline-Ms': '4000',
                **headers,
            },
            **fields,
        ) as response:
            return response, await response.read()

    async def status(self, *args, **fields):
        """Send a request to the entry; return the response's status."""
        response, _body = await self.call(*args, **fields)
        return response.status
