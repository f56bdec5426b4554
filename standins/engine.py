"""Stand-in for a model engine: its HTTP interface over the engine model."""

import asyncio
import hashlib
import json
import re
import time
from dataclasses import dataclass, field

import fire
from aiohttp import web

from .enginemodel import EngineModel, EngineShape, ModelStream
from .serving import serve

_LENGTH = re.compile(r'\[length=(\d+)\]')
_MOST_KEPT = 2000
_TAG_DIGITS = 6
_IDLE_SECONDS = 0.002
_LOOPS = web.AppKey('loops', list)
_BUSY = 503
_UNKNOWN = 404
_OLD_ORDER = 409


@dataclass(slots=True)
class Served:
    """A stream with what was sent of it."""

    stream: ModelStream
    max_output_tokens: int
    tag: str
    finished: bool = False
    cancelled: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def ended(self) -> bool:
        """Whether no more tokens will come."""
        return self.finished or self.cancelled

    def sent_all(self, index: int) -> bool:
        """Tell whether a reader at an index has everything."""
        return self.ended and index >= self.stream.produced

    def notify(self) -> None:
        """Wake all readers."""
        self.changed.set()
        self.changed = asyncio.Event()


class EngineStandIn:
    """HTTP handlers, and a loop that steps the model."""

    def __init__(self, shape: EngineShape, pace: float, fencing: bool) -> None:
        """Start idle.

        Parameters
        ----------
        shape
            Speeds and sizes.
        pace
            Real seconds for each second of the model.
        fencing
            Whether orders with an old fencing number are refused.
        """
        self._model = EngineModel(shape)
        self._pace = pace
        self._fencing = fencing
        self._served: dict[str, Served] = {}
        self._starts: dict[str, int] = {}
        self._started_at: dict[str, float] = {}
        self._prompts: dict[str, str] = {}
        self._orders: list[dict] = []
        self._fence = 0
        self._faults: dict = {}
        self._stale_load = self._report()

    def make_app(self) -> web.Application:
        """Return the application."""
        app = web.Application()
        app.router.add_post('/v1/completions', self._complete)
        app.router.add_get('/v1/streams/{name}', self._resume)
        app.router.add_delete('/v1/streams/{name}', self._cancel)
        app.router.add_get('/load', self._show_load)
        app.router.add_get('/cache_events', self._show_cache_events)
        app.router.add_post('/orders', self._order)
        app.router.add_post('/faults', self._set_faults)
        app.router.add_get('/history', self._show_history)
        app.on_startup.append(self._start_loops)
        return app

    async def _start_loops(self, app: web.Application) -> None:
        app[_LOOPS] = [
            asyncio.create_task(self._run()),
            asyncio.create_task(self._report_late()),
        ]

    async def _run(self) -> None:
        while True:
            busy = self._model.running or self._model.waiting
            if not busy or self._faults.get('stalled'):
                await asyncio.sleep(_IDLE_SECONDS)
                continue
            step = self._model.step()
            await asyncio.sleep(step.seconds * self._pace)
            for stream in step.emitted:
                served = self._served[stream.name]
                served.finished = stream in step.finished
                served.notify()

    async def _report_late(self) -> None:
        while True:
            await asyncio.sleep(self._faults.get('load_lag', 0.5))
            self._stale_load = self._report()

    def _report(self) -> dict:
        model = self._model
        return {
            'running': len(model.running),
            'waiting': len(model.waiting),
            'memory_tokens': model.memory,
            'capacity_tokens': model.shape.capacity,
            'preemptions': model.preemptions,
        }

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        if self._faults.get('refuse'):
            return web.Response(status=_BUSY)
        body = await request.json()
        name = body['request_id']
        self._starts[name] = self._starts.get(name, 0) + 1
        self._started_at[name] = time.time()
        self._prompts[name] = body['prompt']
        self._served[name] = self._submit(name, body)
        if len(self._served) > _MOST_KEPT:
            self._served.pop(next(iter(self._served)))
        return await self._send(request, self._served[name], 0)

    def _submit(self, name: str, body: dict) -> Served:
        prompt = body['prompt']
        stated = _LENGTH.search(prompt)
        wanted = int(stated[1]) if stated else _hash_length(prompt)
        stream = ModelStream(
            name=name,
            prompt=prompt,
            prompt_tokens=len(prompt) // 4 + 1,
            length=min(wanted, body['max_tokens']),
            priority=body.get('priority', 0),
        )
        self._model.submit(stream)
        tag = hashlib.sha256(name.encode()).hexdigest()[:_TAG_DIGITS]
        served = Served(stream, body['max_tokens'], tag)
        return served

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        served = self._served.get(request.match_info['name'])
        if served is None:
            return web.Response(status=_UNKNOWN)
        offset = int(request.query.get('offset', '0'))
        return await self._send(request, served, offset)

    async def _send(
        self, request: web.Request, served: Served, index: int
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_type = 'text/event-stream'
        await response.prepare(request)
        while not served.sent_all(index):
            changed = served.changed
            if index < served.stream.produced:
                last = served.stream.produced
                tokens = [_token(served, each) for each in range(index, last)]
                await response.write(b''.join(tokens))
                index = last
            if index and index >= self._faults.get('cut_at', index + 1):
                self._faults.pop('cut_at')
                request.transport.abort()
                return response
            if not served.ended:
                await changed.wait()
        await response.write(_ending(served, index))
        return response

    async def _cancel(self, request: web.Request) -> web.Response:
        served = self._served.get(request.match_info['name'])
        if served is None:
            return web.Response(status=_UNKNOWN)
        self._model.cancel(served.stream.name)
        if not served.finished:
            served.cancelled = True
        served.notify()
        return web.Response()

    async def _show_load(self, _request: web.Request) -> web.Response:
        return web.json_response(self._stale_load)

    async def _show_cache_events(self, request: web.Request) -> web.Response:
        after = int(request.query.get('after', '0'))
        events = list(enumerate(self._model.cache_events))[after:]
        # Every third event is lost, as the real ones come with gaps.
        kept = [event for event in events if event[0] % 3]
        return web.json_response({'events': kept})

    async def _order(self, request: web.Request) -> web.Response:
        order = await request.json()
        if self._fencing and order['fence'] < self._fence:
            return web.Response(status=_OLD_ORDER)
        self._fence = max(self._fence, order['fence'])
        self._orders.append(order)
        return web.Response()

    async def _set_faults(self, request: web.Request) -> web.Response:
        self._faults.update(await request.json())
        if self._faults.pop('turn_cold', False):
            self._model.turn_cold()
        return web.Response()

    async def _show_history(self, _request: web.Request) -> web.Response:
        return web.json_response(
            {
                'starts': self._starts,
                'started_at': self._started_at,
                'prompts': self._prompts,
                'orders': self._orders,
                'preemptions': self._model.preemptions,
            }
        )


def _hash_length(prompt: str) -> int:
    digest = hashlib.sha256(prompt.encode()).digest()
    return 5 + digest[0] // 4


def _token(served: Served, index: int) -> bytes:
    data = json.dumps({'choices': [{'text': f'{served.tag}.{index} '}]})
    return f'id: {index}\ndata: {data}\n\n'.encode()


def _ending(served: Served, index: int) -> bytes:
    reason = 'cancelled' if served.cancelled else 'stop'
    if served.stream.produced >= served.max_output_tokens:
        reason = 'length'
    data = json.dumps({'choices': [{'text': '', 'finish_reason': reason}]})
    return f'id: {index}\ndata: {data}\n\ndata: [DONE]\n\n'.encode()


def main(
    port: int,
    capacity: int = 6000,
    cold_tokens: int = 0,
    pace: float = 1.0,
    fencing: bool = True,
    step: float = 0.012,
    late: float = 0,
) -> None:
    """Serve until killed, from some seconds after the start on."""
    time.sleep(late)
    shape = EngineShape(capacity=capacity, cold_tokens=cold_tokens, step=step)
    app = EngineStandIn(shape, pace, fencing).make_app()
    serve(app, port)


if __name__ == '__main__':
    fire.Fire(main)
