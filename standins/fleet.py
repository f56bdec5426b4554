"""Stand-ins for everything that a deployment on the users' platform calls.

One process serves the key-value service, two or more engines and one plain
service.  Each has its own loopback address, and all back ends are registered.
Faults are set from outside by ``POST /faults``.
"""

import asyncio
import json
import sys
from dataclasses import dataclass, field

import fire
from aiohttp import web

from .backends import BORN, EngineStandIn, KvCopyStore, ServiceStandIn
from .endings import Ending, EndingBackend, EndingWay
from .store import StoreStandIn
from .unframed import LastMove

__all__ = ('Fleet', 'make_record', 'make_route')

_MS_PER_SECOND = 1000
_ROUTE_HOST = 'h.example'
_API_KEY = 'key-1'
_OK = 200
_DRAINING = 'draining'
# 2 s for each stream, which outlasts the notice of an engine that leaves.
_EVENTS_PER_STREAM = 100
_SLOTS_PER_BACKEND = 32
_SERVICE_NAME = 'i-desk'


def make_route(name: str, path: str, kind: str, service: str, **fields) -> dict:
    """Return a route of the operators' routing table.

    Parameters
    ----------
    path
        Path prefix that the route matches.
    kind
        ``streaming``, ``idempotent`` or ``non_idempotent``.
    **fields
        Further fields of the route, or other values for the defaults.
    """
    return {
        'name': name,
        'host': _ROUTE_HOST,
        'path_prefix': path,
        'route_kind': kind,
        'timeout_ms': 5000,
        'goal_ms': 500,
        'service': service,
        'max_attempts': 2 if kind == 'idempotent' else 1,
        **fields,
    }


def make_record(service: str, address: str, **fields) -> dict:
    """Return the record under which a back end is registered.

    Parameters
    ----------
    address
        The back end's ``host:port``.
    **fields
        Further fields of the record, or other values for the defaults.
    """
    return {
        'service': service,
        'address': address,
        'zone': 'd1',
        'slots': 8,
        'state': 'ready',
        'born': BORN,
        **fields,
    }


@dataclass
class Fleet:
    """All stand-ins of a deployment.

    Attributes
    ----------
    port
        Port of all stand-ins; each has its own loopback host.
    store_stand_in
        The key-value service.
    engines
        The engines by name.
    service
        The plain service.
    """

    port: int
    store_stand_in: StoreStandIn = field(default_factory=StoreStandIn)
    engines: dict[str, EngineStandIn] = field(default_factory=dict)
    service: ServiceStandIn = field(
        default_factory=lambda: ServiceStandIn(_SERVICE_NAME)
    )
    _tasks: set[asyncio.Task] = field(default_factory=set)

    async def start(self, engines: int) -> None:
        """Start all stand-ins and register the back ends."""
        app = self.store_stand_in.make_app()
        app.router.add_post('/faults', self._set_faults)
        runner = web.AppRunner(app, shutdown_timeout=0)
        await self._listen(runner, '127.0.0.1')
        await self._put('op/config', _make_routing_table())
        copies = KvCopyStore()
        for number in range(1, engines + 1):
            host = _loopback_host(number + 1)
            name = f'i-{number}'
            engine = EngineStandIn(name, self._address_at(host), copies)
            engine.events = _EVENTS_PER_STREAM
            self.engines[name] = engine
            site = await self._serve(engine.handle, host)
            engine.stop_listening = site.stop
            await self._register(name, 'model', host)
        host = _loopback_host(engines + 2)
        await self._serve(self.service.handle, host)
        await self._register(_SERVICE_NAME, 'desk', host)

    async def _serve(self, handler, host: str) -> web.TCPSite:
        server = web.Server(handler, handler_cancellation=True)
        runner = web.ServerRunner(server, shutdown_timeout=0)
        return await self._listen(runner, host)

    async def _listen(self, runner: web.BaseRunner, host: str) -> web.TCPSite:
        await runner.setup()
        site = web.TCPSite(runner, host, self.port)
        await site.start()
        return site

    async def _register(self, name: str, service: str, host: str) -> None:
        record = make_record(
            service, self._address_at(host), slots=_SLOTS_PER_BACKEND
        )
        await self._put(f'servers/{name}', record)

    def _address_at(self, host: str) -> str:
        return f'{host}:{self.port}'

    async def _put(self, key: str, document: dict) -> None:
        await self.store_stand_in.store.put(key, json.dumps(document).encode())

    async def _set_faults(self, request: web.Request) -> web.Response:
        """Set the key-value service's faults and the back ends' behaviour.

        The body has fields of ``StoreFaults``.  Under ``leave`` it may give
        the notice in milliseconds by the names of engines that leave, under
        ``limits`` the calls per second by the names of back ends (null removes
        a limit), as ``crashing_part`` the part of prompts that crashes all
        engines, and as ``ending`` the ``marker`` of requests under which back
        ends end and the ``way``, for good.  By the names of engines, it may
        give under ``streams`` the ``events``, the ``pause`` between two and
        whether they are ``framed``, and under ``last_moves`` the name of a
        ``LastMove``.
        """
        faults = await request.json()
        back_ends = {**self.engines, _SERVICE_NAME: self.service}
        self._set_ends(faults)
        self._set_streams(faults)
        for name, rate in faults.pop('limits', {}).items():
            back_ends[name].limit = rate
        for name, notice_ms in faults.pop('leave', {}).items():
            task = asyncio.create_task(self._leave(name, notice_ms))
            self._tasks.add(task)
        for fault, value in faults.items():
            setattr(self.store_stand_in.faults, fault, value)
        return web.Response(status=_OK)

    def _set_ends(self, faults: dict) -> None:
        """Take out of the faults under which requests back ends end."""
        if 'crashing_part' in faults:
            crashing_part = faults.pop('crashing_part')
            for engine in self.engines.values():
                engine.crashing_part = crashing_part
        if 'ending' in faults:
            ending = _read_ending(faults.pop('ending'))
            for back_end in (*self.engines.values(), self.service):
                back_end.ending = ending

    def _set_streams(self, faults: dict) -> None:
        """Take out of the faults how engines stream and answer last moves."""
        for name, stated in faults.pop('streams', {}).items():
            engine = self.engines[name]
            engine.events = stated['events']
            engine.pause = stated['pause']
            engine.framed = stated['framed']
        for engine_name, answer in faults.pop('last_moves', {}).items():
            moves = self.engines[engine_name].last_moves
            moves.answer = LastMove(answer)

    async def _leave(self, name: str, notice_ms: float) -> None:
        """Announce that an engine leaves, and end it after the notice."""
        engine = self.engines[name]
        engine.leaves_ms = notice_ms
        await self._put(
            f'servers/{name}',
            make_record(
                'model',
                engine.address,
                slots=_SLOTS_PER_BACKEND,
                state=_DRAINING,
            ),
        )
        await asyncio.sleep(notice_ms / _MS_PER_SECOND)
        # A process that ends has its streams closed and its port refused.
        await engine.end()
        self.store_stand_in.store.delete(f'servers/{name}')


def _read_ending(stated: dict[str, str]) -> Ending:
    way = EndingWay(stated['way'])
    return Ending(stated['marker'], way, _ignore_end)


async def _ignore_end(_back_end: EndingBackend) -> None:
    """Let a back end that ended stay away."""


def _loopback_host(last_octet: int) -> str:
    return f'127.0.0.{last_octet}'


def _make_routing_table() -> dict:
    """Return a routing table for the load tool's workloads."""
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
        'tenants': [{'name': 'o1', 'api_keys': [_API_KEY]}],
    }


async def _serve_forever(port: int, engines: int) -> None:
    await Fleet(port).start(engines)
    sys.stdout.write('listening\n')
    sys.stdout.flush()
    await asyncio.Event().wait()


def main(port: int, engines: int = 2) -> None:
    """Serve until killed; print ``listening`` when all stand-ins are up.

    Parameters
    ----------
    port
        Port of all stand-ins, each on its own loopback address.
    engines
        Number of engines.
    """
    asyncio.run(_serve_forever(port, engines))


if __name__ == '__main__':
    fire.Fire(main)
