"""Stand-ins for the users' platform's engines and plain services.

Engines stream numbered events, copy their runs to each other and go on from a
copy; services answer whole.  Both write down what they ran.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from aiohttp import web

__all__ = ('KvCopyStore', 'EngineStandIn', 'Ran', 'ServiceStandIn')

_ATTEMPT = 'Primrosewood-Attempt-Id'
_SEAL = 'Primrosewood-Response-Seal'
_EXPECTED = 'Primrosewood-Expect-Instance'
_NAME = 'Primrosewood-Instance-Id'
_LIMIT = 'Server-Limit'
_MISDIRECTED = 421
_MISSING = 404
_REFUSED = 503
_MEMORY = 30_000
_PROMPT = 1000


@dataclass(frozen=True)
class Ran:
    """A call that a back end ran."""

    name: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass
class KvCopyStore:
    """Memory of moved runs, shared by all engines: events made by handle."""

    events: dict[str, int] = field(default_factory=dict)


@dataclass
class _Run:
    name: str
    events: int = 0
    stopped: asyncio.Event = field(default_factory=asyncio.Event)


class _Backend:
    """What engines and services share.

    Attributes
    ----------
    limit
        Calls a second that its answers name, None for no limit.
    arrived
        When each call came, in monotonic seconds.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.ran: list[Ran] = []
        self.refusing = False
        self.limit: float | None = None
        self.arrived: list[float] = []

    def _refusal(self, request: web.BaseRequest) -> web.Response | None:
        self.arrived.append(time.monotonic())
        if request.headers.get(_EXPECTED, self.name) != self.name:
            return web.Response(status=_MISDIRECTED, headers={_NAME: self.name})
        if self.refusing:
            return web.Response(
                status=_REFUSED, headers={'Primrosewood-Not-Executed': '1'}
            )
        return None

    async def _note(self, request: web.BaseRequest) -> dict[str, str]:
        name = request.headers[_ATTEMPT]
        self.ran.append(
            Ran(
                name,
                request.method,
                request.raw_path,
                dict(request.headers),
                await request.read(),
            )
        )
        headers = {_ATTEMPT: name, _SEAL: f'{self.name}.{name}'}
        if self.limit is not None:
            headers[_LIMIT] = str(self.limit)
        return headers


class ServiceStandIn(_Backend):
    """A plain service; ``answer`` may be replaced to misbehave."""

    def __init__(self, name: str, body: bytes = b'found') -> None:
        """Answer each call with the body."""
        super().__init__(name)
        self._body = body
        self.inject_fault: Callable[[web.BaseRequest], None] | None = None
        self.seconds = 0.0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        headers = await self._note(request)
        await asyncio.sleep(self.seconds)
        if self.inject_fault is not None:
            self.inject_fault(request)
        return web.Response(body=self._body, headers=headers)


class EngineStandIn(_Backend):
    """A model engine.

    Parameters
    ----------
    address
        ``host:port``, as others name it.
    copies
        Shared by all engines of a test.
    """

    def __init__(self, name: str, address: str, copies: KvCopyStore) -> None:
        """Start without runs."""
        super().__init__(name)
        self.address = address
        self.leaves_ms: float | None = None
        self.powered = True
        self.events = 20
        self.pause = 0.02
        self._copies = copies
        self._runs: dict[str, _Run] = {}

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        if not self.powered:
            request.transport.abort()
            return web.Response()
        if request.path == '/report':
            return self._report()
        if request.path == '/healthz':
            return web.Response(headers={_NAME: self.name})
        if request.path == '/kv-move':
            return await self._move(request)
        return self._refusal(request) or await self._generate(request)

    def crash(self) -> None:
        """Cut all streams."""
        for run in list(self._runs.values()):
            run.stopped.set()

    def lose_power(self) -> None:
        """Cut all streams and answer nothing more."""
        self.powered = False
        self.crash()

    def _report(self) -> web.Response:
        runs = [
            [run.name, _PROMPT + run.events, run.events, 0]
            for run in self._runs.values()
        ]
        report = {
            'state': 'ready' if self.leaves_ms is None else 'draining',
            'queued': 0,
            'running': len(runs),
            'kv_used': sum(row[1] for row in runs),
            'kv_total': _MEMORY,
            'runs': runs,
        }
        if self.leaves_ms is not None:
            report['leaves_ms'] = self.leaves_ms
        return web.json_response(report)

    async def _move(self, request: web.BaseRequest) -> web.Response:
        order = await request.json()
        run = self._runs.get(order['id'])
        if run is None:
            return web.Response(status=_MISSING)
        handle = f'copy-{run.name}'
        self._copies.events[handle] = run.events
        if order['last']:
            run.stopped.set()
        return web.json_response(
            {'cache_handle': handle, 'created': run.events}
        )

    async def _generate(self, request: web.BaseRequest) -> web.StreamResponse:
        first = 0
        origin = request.headers.get('Kv-From', '')
        if origin:
            handle = origin.rpartition('/')[2]
            if self._copies.events.pop(handle, None) is None:
                return web.Response(
                    status=_REFUSED,
                    headers={'Primrosewood-Not-Executed': '1'},
                )
            first = int(request.headers.get('Last-Event-Id', '0'))
        response = web.StreamResponse(headers=await self._note(request))
        response.content_type = 'text/event-stream'
        await response.prepare(request)
        run = _Run(request.headers[_ATTEMPT], first)
        self._runs[run.name] = run
        try:
            await self._stream(run, response)
        finally:
            self._runs.pop(run.name, None)
        if run.stopped.is_set():
            request.transport.abort()
        return response

    async def _stream(self, run: _Run, response: web.StreamResponse) -> None:
        while run.events < self.events:
            try:
                async with asyncio.timeout(self.pause):
                    await run.stopped.wait()
            except TimeoutError:
                run.events += 1
                event = f'id: {run.events}\ndata: {run.name}\n\n'
                await response.write(event.encode())
            else:
                return
