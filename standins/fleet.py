"""Stand-ins of a whole deployment on the users' platform, in one process.

Its key-value service, two or more engines, each on a loopback address of its
own, and one plain service, all registered.  Faults are switched from outside
by ``POST /faults``.
"""

import asyncio
import json
import sys
from dataclasses import dataclass, field

import fire
from aiohttp import web

from .backends import KvCopyStore, EngineStandIn, ServiceStandIn
from .store import StoreStandIn

__all__ = ('Fleet', 'make_record', 'make_route')

_MILLISECONDS = 1000
_HOST = 'h.example'
_KEY = 'key-1'
_OK = 200
_DRAIN = 'draining'
# Streams of two seconds outlast the notice of an engine that leaves.
_EVENTS = 100
_SLOTS = 32
_SERVICE = 'i-desk'


def make_route(name: str, path: str, kind: str, service: str, **fields) -> dict:
    """Return one route of an operators' table."""
    return {
        'name': name,
        'host': _HOST,
        'path_prefix': path,
        'route_kind': kind,
        'timeout_ms': 5000,
        'goal_ms': 500,
        'service': service,
        'max_attempts': 2 if kind == 'idempotent' else 1,
        **fields,
    }


def make_record(service: str, address: str, **fields) -> dict:
    """Return a back end's record."""
    return {
        'service': service,
        'address': address,
        'zone': 'd1',
        'slots': 8,
        'state': 'ready',
        **fields,
    }


@dataclass
class Fleet:
    """The deployment.

    Attributes
    ----------
    port
        Of everything; each stand-in has a host of its own.
    """

    port: int
    stand_in: StoreStandIn = field(default_factory=StoreStandIn)
    engines: dict[str, EngineStandIn] = field(default_factory=dict)
    service: ServiceStandIn = field(
        default_factory=lambda: ServiceStandIn(_SERVICE)
    )
    _tasks: set[asyncio.Task] = field(default_factory=set)

    async def start(self, engines: int) -> None:
        """Serve and register everything."""
        app = self.stand_in.make_app()
        app.router.add_post('/faults', self._set_faults)
        runner = web.AppRunner(app, shutdown_timeout=0)
        await self._listen(runner, '127.0.0.1')
        await self._put('op/config', _make_table())
        copies = KvCopyStore()
        for number in range(1, engines + 1):
            host = _host_of(number + 1)
            name = f'i-{number}'
            engine = EngineStandIn(name, self._address(host), copies)
            engine.events = _EVENTS
            self.engines[name] = engine
            await self._serve(engine.handle, host)
            await self._register(name, 'model', host)
        host = _host_of(engines + 2)
        await self._serve(self.service.handle, host)
        await self._register(_SERVICE, 'desk', host)

    async def _serve(self, handler, host: str) -> None:
        server = web.Server(handler, handler_cancellation=True)
        await self._listen(web.ServerRunner(server, shutdown_timeout=0), host)

    async def _listen(self, runner: web.BaseRunner, host: str) -> None:
        await runner.setup()
        await web.TCPSite(runner, host, self.port).start()

    async def _register(self, name: str, service: str, host: str) -> None:
        record = make_record(service, self._address(host), slots=_SLOTS)
        await self._put(f'servers/{name}', record)

    def _address(self, host: str) -> str:
        return f'{host}:{self.port}'

    async def _put(self, key: str, document: dict) -> None:
        await self.stand_in.store.put(key, json.dumps(document).encode())

    async def _set_faults(self, request: web.Request) -> web.Response:
        """Set the service's faults, and let engines leave.

        The body has the fields of ``StoreFaults``, under ``leave`` the
        milliseconds of notice for each engine that goes, and under ``limits``
        the calls a second that a back end takes, or null.
        """
        wanted = await request.json()
        back_ends = {**self.engines, _SERVICE: self.service}
        for name, rate in wanted.pop('limits', {}).items():
            back_ends[name].limit = rate
        for name, notice in wanted.pop('leave', {}).items():
            task = asyncio.create_task(self._leave(name, notice))
            self._tasks.add(task)
        for fault, setting in wanted.items():
            setattr(self.stand_in.faults, fault, setting)
        return web.Response(status=_OK)

    async def _leave(self, name: str, notice: float) -> None:
        engine = self.engines[name]
        engine.leaves_ms = notice
        await self._put(
            f'servers/{name}',
            make_record('model', engine.address, slots=_SLOTS, state=_DRAIN),
        )
        await asyncio.sleep(notice / _MILLISECONDS)
        engine.lose_power()
        self.stand_in.store.delete(f'servers/{name}')


def _host_of(place: int) -> str:
    return f'127.0.0.{place}'


def _make_table() -> dict:
    """Return routes for the load tool's workloads."""
    return {
        'version': 1,
        'routes': [
            make_route('generate', '/generate/', 'streaming', 'model'),
            make_route('stock', '/reorders/stock/', 'idempotent', 'desk'),
            make_route(
                'reorder', '/reorders/reorders/', 'non_idempotent', 'desk'
            ),
        ],
        'services': [
            {
                'name': 'model',
                'engine': {'slots': 8, 'kv_capacity': 30_000, 'moves': True},
            },
            {'name': 'desk'},
        ],
        'tenants': [{'name': 'o1', 'api_keys': [_KEY]}],
    }


async def _run(port: int, engines: int) -> None:
    await Fleet(port).start(engines)
    sys.stdout.write('listening\n')
    sys.stdout.flush()
    await asyncio.Event().wait()


def main(port: int, engines: int = 2) -> None:
    """Serve until killed."""
    asyncio.run(_run(port, engines))


if __name__ == '__main__':
    fire.Fire(main)
