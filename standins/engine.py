"""Stand-in for a model engine: an HTTP interface over ``EngineModel``.

A process of its own, for tests and the demo.  Faults are set from outside by
``POST /faults``:

- ``refuse`` answers new generations with 503;
- ``stalled`` stops the decoding steps;
- ``load_lag`` sets the seconds between refreshes of ``/load``;
- ``cut_at`` resets one stream when it has sent this number of tokens;
- ``turn_cold`` makes the engine cold again.
"""

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

_REQUESTED_LENGTH = re.compile(r'\[length=(\d+)\]')
_MAX_KEPT_STREAMS = 2000
_TAG_DIGITS = 6
_IDLE_SECONDS = 0.002
_BACKGROUND_TASKS = web.AppKey('loops', list)
_SERVICE_UNAVAILABLE = 503
_NOT_FOUND = 404
_CONFLICT = 409


@dataclass(slots=True)
class ServedStream:
    """A generation that readers may follow and resume.

    Attributes
    ----------
    stream
        The generation in the engine model.
    max_output_tokens
        The request's limit; an answer that reaches it ends with the finish
        reason ``length``.
    tag
        Prefix of the token texts, different for each request.
    changed
        Set when there are new tokens or the generation has ended; each
        notification replaces it with a new event.
    """

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
        """Return whether a reader at an index has received everything."""
        return self.ended and index >= self.stream.produced

    def notify(self) -> None:
        """Wake all readers."""
        self.changed.set()
        self.changed = asyncio.Event()


class EngineStandIn:
    """HTTP handlers over an engine model, and the loop that steps it."""

    def __init__(self, shape: EngineShape, pace: float, fencing: bool) -> None:
        """Create an idle engine.

        Parameters
        ----------
        shape
            Speeds and sizes of the engine.
        pace
            Real seconds for each simulated second.
        fencing
            Whether orders with an outdated fencing token are refused.
        """
        self._model = EngineModel(shape)
        self._pace = pace
        self._fencing = fencing
        self._served: dict[str, ServedStream] = {}
        self._start_counts: dict[str, int] = {}
        self._started_at: dict[str, float] = {}
        self._prompts: dict[str, str] = {}
        self._orders: list[dict] = []
        self._latest_fence = 0
        self._faults: dict = {}
        self._published_load = self._measure_load()

    def make_app(self) -> web.Application:
        """Return the application."""
        app = web.Application()
        app.router.add_post('/v1/completions', self._complete)
        app.router.add_get('/v1/streams/{name}', self._resume)
        app.router.add_delete('/v1/streams/{name}', self._cancel)
        app.router.add_get('/load', self._show_load)
        app.router.add_get('/cache_events', self._show_cache_events)
        app.router.add_post('/orders', self._accept_order)
        app.router.add_post('/faults', self._set_faults)
        app.router.add_get('/history', self._show_history)
        app.on_startup.append(self._start_background_tasks)
        return app

    async def _start_background_tasks(self, app: web.Application) -> None:
        app[_BACKGROUND_TASKS] = [
            asyncio.create_task(self._run_steps()),
            asyncio.create_task(self._publish_load()),
        ]

    async def _run_steps(self) -> None:
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

    async def _publish_load(self) -> None:
        """Refresh what ``/load`` shows, which lags behind the real load."""
        while True:
            await asyncio.sleep(self._faults.get('load_lag', 0.5))
            self._published_load = self._measure_load()

    def _measure_load(self) -> dict:
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
            return web.Response(status=_SERVICE_UNAVAILABLE)
        body = await request.json()
        name = body['request_id']
        self._start_counts[name] = self._start_counts.get(name, 0) + 1
        self._started_at[name] = time.time()
        self._prompts[name] = body['prompt']
        self._served[name] = self._submit(name, body)
        if len(self._served) > _MAX_KEPT_STREAMS:
            self._served.pop(next(iter(self._served)))
        return await self._send(request, self._served[name], 0)

    def _submit(self, name: str, body: dict) -> ServedStream:
        prompt = body['prompt']
        requested = _REQUESTED_LENGTH.search(prompt)
        answer_length = (
            int(requested[1]) if requested else _derive_length(prompt)
        )
        stream = ModelStream(
            name=name,
            prompt=prompt,
            prompt_tokens=len(prompt) // 4 + 1,
            length=min(answer_length, body['max_tokens']),
            priority=body.get('priority', 0),
        )
        self._model.submit(stream)
        tag = hashlib.sha256(name.encode()).hexdigest()[:_TAG_DIGITS]
        served = ServedStream(stream, body['max_tokens'], tag)
        return served

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        served = self._served.get(request.match_info['name'])
        if served is None:
            return web.Response(status=_NOT_FOUND)
        offset = int(request.query.get('offset', '0'))
        return await self._send(request, served, offset)

    async def _send(
        self, request: web.Request, served: ServedStream, index: int
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_type = 'text/event-stream'
        await response.prepare(request)
        while not served.sent_all(index):
            changed = served.changed
            if index < served.stream.produced:
                stop = served.stream.produced
                tokens = [
                    _encode_token(served, each) for each in range(index, stop)
                ]
                await response.write(b''.join(tokens))
                index = stop
            if index and index >= self._faults.get('cut_at', index + 1):
                self._faults.pop('cut_at')
                request.transport.abort()
                return response
            if not served.ended:
                await changed.wait()
        await response.write(_encode_end(served, index))
        return response

    async def _cancel(self, request: web.Request) -> web.Response:
        served = self._served.get(request.match_info['name'])
        if served is None:
            return web.Response(status=_NOT_FOUND)
        self._model.cancel(served.stream.name)
        if not served.finished:
            served.cancelled = True
        served.notify()
        return web.Response()

    async def _show_load(self, _request: web.Request) -> web.Response:
        return web.json_response(self._published_load)

    async def _show_cache_events(self, request: web.Request) -> web.Response:
        after = int(request.query.get('after', '0'))
        events = list(enumerate(self._model.cache_events))[after:]
        # Drops every third event: the events of real engines have gaps.
        kept = [event for event in events if event[0] % 3]
        return web.json_response({'events': kept})

    async def _accept_order(self, request: web.Request) -> web.Response:
        order = await request.json()
        if self._fencing and order['fence'] < self._latest_fence:
            return web.Response(status=_CONFLICT)
        self._latest_fence = max(self._latest_fence, order['fence'])
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
                'starts': self._start_counts,
                'started_at': self._started_at,
                'prompts': self._prompts,
                'orders': self._orders,
                'preemptions': self._model.preemptions,
            }
        )


def _derive_length(prompt: str) -> int:
    """Return an answer length in tokens that depends on the prompt only."""
    digest = hashlib.sha256(prompt.encode()).digest()
    return 5 + digest[0] // 4


def _encode_token(served: ServedStream, index: int) -> bytes:
    data = json.dumps({'choices': [{'text': f'{served.tag}.{index} '}]})
    return f'id: {index}\ndata: {data}\n\n'.encode()


def _encode_end(served: ServedStream, index: int) -> bytes:
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
    """Serve until killed.

    Parameters
    ----------
    port
        Port on loopback.
    capacity
        KV cache in tokens.
    cold_tokens
        Tokens that the engine generates before it is warm.
    pace
        Real seconds for each simulated second.
    fencing
        Whether orders with an outdated fencing token are refused.
    step
        Simulated seconds of a decoding step, without the time for each
        stream.
    late
        Seconds to wait before the port is opened.
    """
    time.sleep(late)
    shape = EngineShape(capacity=capacity, cold_tokens=cold_tokens, step=step)
    app = EngineStandIn(shape, pace, fencing).make_app()
    serve(app, port)


if __name__ == '__main__':
    fire.Fire(main)
