"""A model engine or a plain service, as a process that logs each arrival.

Its settings are in the file that ``PRIMROSEWOOD_NODE_FILE`` names.  A line of the log has the monotonic time in seconds, the service, the back end
and the attempt id.  It is written as the request is read.
"""

import asyncio
import contextlib
import json
import os
import random
import time
from dataclasses import dataclass, field
from pathlib import Path

_ATTEMPT = 'primrosewood-attempt-id'
# In a request under which a back end ends; its value says when.
_ENDS = 'x-ends'
_ENDING_SECONDS = 0.05
_ENDING_EVENTS = 3
_MS_PER_SECOND = 1000
_KV_CAPACITY_TOKENS = 34_310
_PROMPT_TOKENS = 1000
_EVENT_SECONDS = 0.04
_CONNECTIONS_WAITING = 128
_REASONS = {200: 'OK', 404: 'Not Found', 421: 'Misdirected', 503: 'Busy'}


@dataclass
class HttpRequest:
    """A request whose body has been read; names of headers in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt(self):
        return self.headers.get(_ATTEMPT, '')

    @classmethod
    async def read(cls, reader):
        """Return the next request of a connection, None at its end."""
        try:
            head = await reader.readuntil(b'\r\n\r\n')
        except asyncio.IncompleteReadError:
            return None
        first, *lines = head.decode('latin-1').strip().split('\r\n')
        method, path, _version = first.split(' ')
        headers = {}
        for line in lines:
            name, _, text = line.partition(':')
            headers[name.lower()] = text.strip()
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        return cls(method, path, headers, body)


@dataclass
class Run:
    """A generation; ``events`` includes those before a move."""

    total: int
    events: int = 0
    ends_at: int = 0
    stopped: asyncio.Event = field(default_factory=asyncio.Event)


class BackendProcess:
    """Serves one back end until it is killed.

    Parameters
    ----------
    settings
        ``name``, ``service``, ``host``, ``port``, ``born``, ``slots``,
        ``queue``, ``is_engine``, ``arrivals`` (the log), ``seed``, and
        ``faults``: rows of a kind, the monotonic seconds from and until which
        it holds, and the share of the calls that meet it.
    """

    def __init__(self, settings):
        self._settings = settings
        self._random = random.Random(settings['seed'])
        self._arrivals = Path(settings['arrivals']).open('a', buffering=1)
        self._slots = asyncio.Semaphore(settings['slots'])
        self._calls = 0
        self._runs = {}
        self._leaves_at = None

    async def serve(self):
        server = await asyncio.start_server(
            self._handle,
            self._settings['host'],
            self._settings['port'],
            backlog=_CONNECTIONS_WAITING,
        )
        await server.serve_forever()

    async def _handle(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                request = await HttpRequest.read(reader)
                if request is None:
                    break
                await self._answer(request, writer)
        writer.close()

    async def _answer(self, request, writer):
        controls = {
            '/report': self._report,
            '/healthz': self._tell_name,
            '/kv-move': self._move,
            '/leave': self._leave,
        }
        control = controls.get(request.path)
        if control is not None:
            control(request, writer)
            return
        service, name = self._settings['service'], self._settings['name']
        self._arrivals.write(
            f'{time.monotonic()} {service} {name} {request.attempt}\n'
        )
        if request.headers.get('primrosewood-expect-instance', name) != name:
            self._respond(writer, 421)
            return
        if request.headers.get(_ENDS) == 'before_head':
            await asyncio.sleep(_ENDING_SECONDS)
            os._exit(1)
        fault = self._choose_fault()
        if fault == 'reset':
            writer.transport.abort()
        elif fault == 'hang':
            await asyncio.sleep(60)
        elif fault == 'refuse' or self._calls >= self._places:
            self._respond(writer, 503, {'Primrosewood-Not-Executed': '1'})
        else:
            if fault == 'late':
                await asyncio.sleep(self._random.uniform(0.5, 4))
            await self._run(request, writer)

    @property
    def _places(self):
        return self._settings['slots'] + self._settings['queue']

    def _choose_fault(self):
        now = time.monotonic()
        for kind, begin, end, share in self._settings['faults']:
            if begin <= now < end and self._random.random() < share:
                return kind
        return ''

    async def _run(self, request, writer):
        self._calls += 1
        try:
            async with self._slots:
                if self._settings['is_engine']:
                    await self._generate(request, writer)
                else:
                    await asyncio.sleep(self._random.expovariate(1 / 0.03))
                    self._respond(writer, 200, self._seal(request))
        finally:
            self._calls -= 1

    async def _generate(self, request, writer):
        events, total = 0, int(request.path.rpartition('/')[2])
        copy = request.headers.get('kv-from', '')
        if copy:
            events = int(request.headers.get('last-event-id', '0'))
        run = self._runs[request.attempt] = Run(total, events)
        self._write_head(
            writer,
            200,
            {
                **self._seal(request),
                'Content-Type': 'text/event-stream',
                'Transfer-Encoding': 'chunked',
            },
        )
        ends = request.headers.get(_ENDS)
        if ends == 'at_begin':
            await writer.drain()
            await asyncio.sleep(_ENDING_SECONDS)
            os._exit(1)
        if ends == 'after_events':
            run.ends_at = _ENDING_EVENTS
        try:
            await self._stream(run, writer)
        finally:
            self._runs.pop(request.attempt, None)
        if run.stopped.is_set():
            writer.transport.abort()
        else:
            writer.write(b'0\r\n\r\n')

    async def _stream(self, run, writer):
        while run.events < run.total and not run.stopped.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_EVENT_SECONDS):
                    await run.stopped.wait()
                    return
            if run.ends_at and run.events >= run.ends_at:
                os._exit(1)
            run.events += 1
            event = f'id: {run.events}\ndata: x\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()

    def _report(self, _request, writer):
        rows = [
            [name, _PROMPT_TOKENS + run.events, run.events, 0]
            for name, run in self._runs.items()
        ]
        report = {
            'state': 'ready' if self._leaves_at is None else 'draining',
            'born': self._settings['born'],
            'queued': 0,
            'running': len(rows),
            'kv_used': sum(row[1] for row in rows),
            'kv_total': _KV_CAPACITY_TOKENS,
            'runs': rows,
        }
        if self._leaves_at is not None:
            left = self._leaves_at - time.monotonic()
            report['leaves_ms'] = max(0, left * _MS_PER_SECOND)
        self._respond(writer, 200, body=json.dumps(report))

    def _tell_name(self, _request, writer):
        name = self._settings['name']
        self._respond(writer, 200, {'Primrosewood-Instance-Id': name})

    def _move(self, request, writer):
        command = json.loads(request.body)
        run = self._runs.get(command['id'])
        if run is None:
            self._respond(writer, 404)
            return
        if command['last']:
            run.stopped.set()
        copied = {'cache_handle': command['id'], 'created': run.events}
        self._respond(writer, 200, body=json.dumps(copied))

    def _leave(self, request, writer):
        seconds = json.loads(request.body)['seconds']
        self._leaves_at = time.monotonic() + seconds
        self._respond(writer, 200)

    def _seal(self, request):
        return {
            'Primrosewood-Attempt-Id': request.attempt,
            'Primrosewood-Response-Seal': f's.{request.attempt}',
        }

    def _respond(self, writer, status, headers=(), body=''):
        length = {'Content-Length': str(len(body))}
        self._write_head(writer, status, {**dict(headers), **length})
        writer.write(body.encode())

    def _write_head(self, writer, status, headers):
        lines = [f'HTTP/1.1 {status} {_REASONS[status]}']
        lines += [f'{name}: {text}' for name, text in headers.items()]
        writer.write('\r\n'.join((*lines, '', '')).encode())


if __name__ == '__main__':
    with contextlib.suppress(KeyboardInterrupt):
        settings_file = Path(os.environ['PRIMROSEWOOD_NODE_FILE'])
        process = BackendProcess(json.loads(settings_file.read_text()))
        asyncio.run(process.serve())
