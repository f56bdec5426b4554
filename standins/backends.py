"""Stand-ins for the engines and plain services of the users' platform.

An engine streams numbered events.  It can copy the KV cache of a generation,
so that another engine continues from the copy.  A service sends its answer in
one response.  Both record the calls that they ran.  They are HTTP handlers,
for use in the test's own process.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from aiohttp import web

from .endings import EndingBackend, EndingWay
from .unframed import LastMove, LastMoves, UnframedResponse

__all__ = (
    'BORN',
    'EngineStandIn',
    'KvCopyStore',
    'RecordedCall',
    'ServiceStandIn',
)

# Start of a back end in Unix milliseconds, unless a test gives another one.
BORN = 1_790_000_000_000

_ATTEMPT_HEADER = 'Primrosewood-Attempt-Id'
_SEAL_HEADER = 'Primrosewood-Response-Seal'
_EXPECTED_HEADER = 'Primrosewood-Expect-Instance'
_INSTANCE_HEADER = 'Primrosewood-Instance-Id'
_PARTS_HEADER = 'Primrosewood-Prefix-Hash'
_RATE_LIMIT_HEADER = 'Server-Limit'
_LEAVING_HEADER = 'Server-Leaving'
_MISDIRECTED_REQUEST = 421
_NOT_FOUND = 404
_SERVICE_UNAVAILABLE = 503
_KV_CAPACITY_TOKENS = 30_000
_PROMPT_TOKENS = 1000
_LATE_SECONDS = 0.4


@dataclass(frozen=True)
class RecordedCall:
    """A call that a back end ran; ``name`` is its attempt id."""

    name: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass
class KvCopyStore:
    """KV cache copies that all engines of a test share.

    Attributes
    ----------
    events
        By the copy's handle: the number of events generated before the copy.
    """

    events: dict[str, int] = field(default_factory=dict)


@dataclass
class _Run:
    """A generation with its event count, which includes those before a move."""

    name: str
    request: web.BaseRequest
    events: int = 0
    stopped: asyncio.Event = field(default_factory=asyncio.Event)


class _Backend(EndingBackend):
    """A back end that refuses calls on request and records those it runs.

    Attributes
    ----------
    name
        Instance id; a call whose header expects another one is answered with
        421.
    ran
        The calls that ran, in order of arrival.
    refusing
        Whether new calls are answered with 503 and do not run.
    retry_after
        Seconds that refusals state as ``Retry-After``; None to leave it out.
    leaving
        Whether all answers say that the back end is leaving.
    limit
        Rate limit that the answers state, in calls per second; None for no
        limit.
    arrived
        Arrival times of all calls, also refused ones, in monotonic seconds.
    """

    def __init__(self, name: str) -> None:
        super().__init__()
        self.name = name
        self.ran: list[RecordedCall] = []
        self.refusing = False
        self.retry_after: float | None = None
        self.leaving = False
        self.limit: float | None = None
        self.arrived: list[float] = []

    def _check_refusal(self, request: web.BaseRequest) -> web.Response | None:
        """Record the arrival; return an answer if the call must not run."""
        self.arrived.append(time.monotonic())
        if request.headers.get(_EXPECTED_HEADER, self.name) != self.name:
            return web.Response(
                status=_MISDIRECTED_REQUEST,
                headers={_INSTANCE_HEADER: self.name},
            )
        return self._refuse() if self.refusing else None

    def _refuse(self) -> web.Response:
        headers = {'Primrosewood-Not-Executed': '1', **self._common_headers()}
        if self.retry_after is not None:
            headers['Retry-After'] = str(self.retry_after)
        return web.Response(status=_SERVICE_UNAVAILABLE, headers=headers)

    def _common_headers(self) -> dict[str, str]:
        return {_LEAVING_HEADER: '1'} if self.leaving else {}

    async def _record_call(self, request: web.BaseRequest) -> dict[str, str]:
        name = request.headers[_ATTEMPT_HEADER]
        self.ran.append(
            RecordedCall(
                name,
                request.method,
                request.raw_path,
                dict(request.headers),
                await request.read(),
            )
        )
        headers = {
            _ATTEMPT_HEADER: name,
            _SEAL_HEADER: f'{self.name}.{name}',
            **self._common_headers(),
        }
        if self.limit is not None:
            headers[_RATE_LIMIT_HEADER] = str(self.limit)
        return headers


class ServiceStandIn(_Backend):
    """A plain service.

    Attributes
    ----------
    inject_fault
        Called with each request before its answer is sent, for example to
        reset the connection; None for no fault.
    seconds
        How long each call takes.
    """

    def __init__(self, name: str, body: bytes = b'found') -> None:
        """Create a service that answers each call with the same body."""
        super().__init__(name)
        self._body = body
        self.inject_fault: Callable[[web.BaseRequest], None] | None = None
        self.seconds = 0.0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one call."""
        if not self.powered:
            request.transport.abort()
            return web.Response()
        refusal = self._check_refusal(request)
        if refusal is not None:
            return refusal
        headers = await self._record_call(request)
        if await self.end_for(request, *EndingWay):
            return web.Response()
        await asyncio.sleep(self.seconds)
        if self.inject_fault is not None:
            self.inject_fault(request)
        return web.Response(body=self._body, headers=headers)


class EngineStandIn(_Backend):
    """A model engine.

    Parameters
    ----------
    name
        Instance id.
    address
        ``host:port`` under which the engine is registered.
    copies
        KV cache copies, shared by all engines of a test.

    Attributes
    ----------
    born
        Unix milliseconds of its start, as in its record.
    leaves_ms
        Notice that an engine about to leave states in its report, in
        milliseconds; None for an engine that stays.
    events
        Number of events in each generation.
    pause
        Seconds between two events.
    framed
        Whether streams are sent in chunks and reset where a move stops them;
        otherwise they end with their connection in both cases.
    last_moves
        The moves that stop its generations.
    crashing_part
        Identifier of a part of prompts; the engine crashes as it begins to
        answer a prompt with it.
    """

    def __init__(self, name: str, address: str, copies: KvCopyStore) -> None:
        """Create an engine without generations."""
        super().__init__(name)
        self.address = address
        self.born = BORN
        self.leaves_ms: float | None = None
        self.events = 20
        self.pause = 0.02
        self.framed = True
        self.last_moves = LastMoves()
        self.crashing_part = ''
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
            return web.Response(
                headers={
                    _INSTANCE_HEADER: self.name,
                    **self._common_headers(),
                }
            )
        if request.path == '/kv-move':
            return await self._move(request)
        return self._check_refusal(request) or await self._generate(request)

    def crash(self) -> None:
        """Abort all streams; the engine itself keeps answering."""
        for run in list(self._runs.values()):
            run.stopped.set()

    def lose_power(self) -> None:
        """Abort all streams, and reset every later connection."""
        super().lose_power()
        self.crash()

    def _report(self) -> web.Response:
        runs = [
            [run.name, _PROMPT_TOKENS + run.events, run.events, 0]
            for run in self._runs.values()
        ]
        report = {
            'state': 'ready' if self.leaves_ms is None else 'draining',
            'born': self.born,
            'queued': 0,
            'running': len(runs),
            'kv_used': sum(run_report[1] for run_report in runs),
            'kv_total': _KV_CAPACITY_TOKENS,
            'runs': runs,
        }
        if self.leaves_ms is not None:
            report['leaves_ms'] = self.leaves_ms
        return web.json_response(report, headers=self._common_headers())

    async def _move(self, request: web.BaseRequest) -> web.Response:
        command = await request.json()
        run = self._runs.get(command['id'])
        if run is None:
            return web.Response(status=_NOT_FOUND)
        handle = f'copy-{run.name}'
        self._copies.events[handle] = run.events
        made = {'cache_handle': handle, 'created': run.events}
        if command['last']:
            run.stopped.set()
            self.last_moves.stopped.append(run.name)
            return await self._answer_last_move(request, made)
        return web.json_response(made)

    async def _answer_last_move(
        self, request: web.BaseRequest, made: dict
    ) -> web.Response:
        if self.last_moves.refuses_last():
            return web.json_response(made, status=_SERVICE_UNAVAILABLE)
        match self.last_moves.answer:
            case LastMove.lost:
                request.transport.abort()
            case LastMove.silent:
                await asyncio.Event().wait()
            case LastMove.late:
                await asyncio.sleep(_LATE_SECONDS)
        return web.json_response(made)

    async def _generate(self, request: web.BaseRequest) -> web.StreamResponse:
        previous_events = 0
        copy_source = request.headers.get('Kv-From', '')
        if copy_source:
            handle = copy_source.rpartition('/')[2]
            if self._copies.events.pop(handle, None) is None:
                return self._refuse()
            previous_events = int(request.headers.get('Last-Event-Id', '0'))
        response = self._make_response(await self._record_call(request))
        if await self.end_for(request, EndingWay.before_head, EndingWay.silent):
            return response
        await response.prepare(request)
        if self._crashes_on(request):
            await self.end()
            request.transport.abort()
            return response
        if await self.end_for(request, EndingWay.at_begin):
            return response
        name = request.headers[_ATTEMPT_HEADER]
        run = _Run(name, request, previous_events)
        self._runs[run.name] = run
        try:
            await self._stream(run, response)
        finally:
            self._runs.pop(run.name, None)
        if isinstance(response, UnframedResponse):
            response.close()
            return web.Response()
        if run.stopped.is_set():
            request.transport.abort()
        return response

    def _make_response(
        self, headers: dict[str, str]
    ) -> web.StreamResponse | UnframedResponse:
        if not self.framed:
            return UnframedResponse(headers)
        response = web.StreamResponse(headers=headers)
        response.content_type = 'text/event-stream'
        return response

    async def _stream(
        self, run: _Run, response: web.StreamResponse | UnframedResponse
    ) -> None:
        ending = self.ending
        while run.events < self.events:
            if (
                ending is not None
                and run.events >= ending.events
                and await self.end_for(run.request, EndingWay.after_events)
            ):
                return
            try:
                async with asyncio.timeout(self.pause):
                    await run.stopped.wait()
            except TimeoutError:
                run.events += 1
                event = f'id: {run.events}\ndata: {run.name}\n\n'
                await response.write(event.encode())
            else:
                return

    def _crashes_on(self, request: web.BaseRequest) -> bool:
        listed = request.headers.get(_PARTS_HEADER, '').split(',')[:-1]
        parts = {part.partition(':')[0] for part in listed}
        return self.crashing_part in parts
