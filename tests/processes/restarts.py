"""What a test of restarts is made of: entries, back ends, balancer, callers.

Entries are real processes.  Back ends, balancer and callers run in the test
and write down in a ``History`` what each of them sees.
"""

import asyncio
import contextlib
import io
import json
import os
import re
import socket
import sys
import time
from collections import defaultdict
from dataclasses import dataclass, field
from enum import StrEnum
from http.client import HTTPException, HTTPResponse
from pathlib import Path

import aiohttp
from aiohttp import web

from standins.fleet import make_record
from standins.store import StoreStandIn

from .harness import free_port
from .test_platform import make_settings

STOP_SECONDS = 8
ATTEMPT = 'Primrosewood-Attempt-Id'
SEAL = 'Primrosewood-Response-Seal'

_ROOT = Path(__file__).resolve().parents[2]
_START_SECONDS = 15
_SILENT_SECONDS = 20
_PROMPT_TOKENS_A_SECOND = 14_000
_EVENT = re.compile(rb'id: (\d+)\ndata: (\S+)\n\n')
_LENGTH = re.compile(rb'\r\ncontent-length: *(\d+)', re.IGNORECASE)


class End(StrEnum):
    """How a call ended for its caller."""

    whole = 'answered whole'
    unread = 'closed before it was read'
    cut = 'closed after it was read, or within its answer'
    silent = 'no answer'


@dataclass(eq=False)
class Life:
    """An entry's process from start to end; times are monotonic seconds."""

    entry: str
    ready_at: float | None = None
    last_ready: float = 0
    stopped_at: float | None = None
    ended_at: float | None = None
    code: int | None = None

    def since_stop(self, moment):
        """Return the seconds from SIGTERM to a moment, below 0 before it."""
        stopped = float('inf') if self.stopped_at is None else self.stopped_at
        return moment - stopped


@dataclass(frozen=True)
class Work:
    """What a caller wants; ``size`` is in events, or in milliseconds."""

    task: str
    kind: str
    size: int
    method: str = 'POST'
    headers: tuple[str, ...] = ()

    def encode(self, name):
        """Return the bytes of one try."""
        body = self.task if self.method == 'POST' else ''
        lines = [
            f'{self.method} /{self.kind}/{self.size} HTTP/1.1',
            'Host: h.example',
            'Authorization: Bearer key-1',
            f'{ATTEMPT}: {name}',
            f'Content-Length: {len(body)}',
            *self.headers,
        ]
        return '\r\n'.join((*lines, '', body)).encode()


@dataclass
class Call:
    """One try of a caller, and what it saw."""

    name: str
    work: Work
    life: Life
    sent: float = 0
    ended: float = 0
    end: End = End.silent
    received: bytes = b''
    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b''
    kept: bool = False

    @property
    def events(self):
        """Numbers and texts of the events that came."""
        return [
            (int(number), text.decode())
            for number, text in _EVENT.findall(self.received)
        ]

    @property
    def sent_late(self):
        """Seconds from its entry's SIGTERM to its last byte."""
        return self.life.since_stop(self.sent)

    def finish(self, received, end):
        """Note the end; an answer must follow HTTP to its last byte."""
        self.ended = time.monotonic()
        self.received = bytes(received)
        self.end = end
        if end == End.whole:
            replay = _Replay(self.received)
            response = HTTPResponse(replay, method=self.work.method)
            try:
                response.begin()
                self.body = response.read()
            except HTTPException:
                self.end = End.cut
            self.status = response.status
            self.headers = dict(response.headers)
            self.body += replay.read()


class _Replay(io.BytesIO):
    """Received bytes in the place of a socket."""

    def makefile(self, _mode):
        return self

    def close(self):
        """Stay open: what follows an answer is read as well."""


@dataclass
class Run:
    """A call that a back end began to work on."""

    name: str
    backend: str
    began: float
    ended: float | None = None


@dataclass
class History:
    """All that was seen from outside."""

    lives: list[Life] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    runs: dict[str, list[Run]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def runs_of(self, call):
        """Return the runs of a call."""
        return self.runs.get(call.name, [])


class Backend:
    """A model engine or a plain service; the path says what it answers.

    Parameters
    ----------
    pace
        Seconds for each event.
    """

    def __init__(self, name, history, pace=0.0):
        self._name = name
        self._history = history
        self._pace = pace

    async def handle(self, request):
        name = request.headers[ATTEMPT]
        run = Run(name, self._name, time.monotonic())
        self._history.runs[name].append(run)
        headers = {ATTEMPT: name, SEAL: f'{self._name}.{name}'}
        _, kind, size = request.path.split('/')
        try:
            if kind == 'stream':
                return await self._stream(request, headers, int(size))
            await asyncio.sleep(int(size) / 1000)
            return web.Response(text=name, headers=headers)
        finally:
            run.ended = time.monotonic()

    async def _stream(self, request, headers, size):
        response = web.StreamResponse(headers=headers)
        response.content_type = 'text/event-stream'
        await response.prepare(request)
        usage = request.headers['Primrosewood-Token-Usage']
        prompt = int(usage.partition(',')[0])
        begins = time.monotonic() + prompt / _PROMPT_TOKENS_A_SECOND
        for number in range(1, size + 1):
            due = begins + number * self._pace
            await asyncio.sleep(due - time.monotonic())
            event = f'id: {number}\ndata: {headers[ATTEMPT]}\n\n'
            await response.write(event.encode())
        return response


class Entry:
    """One entry, started and stopped again and again."""

    def __init__(self, name, store, folder, history):
        self.settings = make_settings(name=name, store=store)
        self.settings['limits']['stop_seconds'] = STOP_SECONDS
        self.life = Life(name)
        self._history = history
        self._file = folder / f'{name}.json'
        self._log = folder / f'{name}.log'
        self._process = None

    @property
    def callers(self):
        """Address for callers."""
        host, _, port = self.settings['entry']['callers'].partition(':')
        return host, int(port)

    async def start(self):
        self._file.write_text(json.dumps(self.settings))
        with self._log.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *('-m', 'primrosewood.platform', 'entry'),
                cwd=_ROOT,
                env={**os.environ, 'PRIMROSEWOOD_NODE_FILE': str(self._file)},
                stdout=log,
                stderr=log,
            )
        self.life = Life(self.settings['name'])
        self._history.lives.append(self.life)

    async def wait_ready(self):
        async with asyncio.timeout(_START_SECONDS):
            while self.life.ready_at is None:
                await asyncio.sleep(0.05)

    async def stop(self):
        """Stop it as the platform does, with SIGKILL at the end."""
        self.life.stopped_at = time.monotonic()
        self._process.terminate()
        try:
            async with asyncio.timeout(STOP_SECONDS):
                await self._process.wait()
        except TimeoutError:
            self._process.kill()
        self.life.code = await self._process.wait()
        self.life.ended_at = time.monotonic()

    async def end(self):
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()


class Balancer:
    """Asks each entry once a second; two misses in a row take it out."""

    def __init__(self, entries, random):
        self._entries = entries
        self._random = random
        self._ready = set()

    def choose(self):
        """Return the entry for a new connection: any if none is ready."""
        ready = [each for each in self._entries if each in self._ready]
        return self._random.choice(ready or self._entries)

    async def watch(self, entry):
        url = f'http://{entry.settings["entry"]["ready"]}/readyz'
        timeout = aiohttp.ClientTimeout(total=1)
        misses = 0
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                ready = await self._ask(session, url, entry)
                misses = 0 if ready else misses + 1
                if ready:
                    self._ready.add(entry)
                elif misses >= 2:
                    self._ready.discard(entry)
                await asyncio.sleep(1)

    async def _ask(self, session, url, entry):
        life = entry.life
        asked = time.monotonic()
        try:
            async with session.get(url) as response:
                ready = response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False
        if ready:
            life.ready_at = life.ready_at or asked
            life.last_ready = asked
        return ready


class Connection:
    """A caller's connection, read to the very way in which it ends."""

    def __init__(self, life, sock):
        self.life = life
        self.used = False
        self._socket = sock

    @classmethod
    async def open(cls, entry):
        sock = socket.socket()
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(sock, entry.callers)
        except OSError:
            sock.close()
            raise
        return cls(entry.life, sock)

    def close(self):
        self._socket.close()

    async def exchange(self, call):
        """Send a call and note its end; close unless it may be used again."""
        received = bytearray()
        end = End.silent
        call.kept, self.used = self.used, True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_SILENT_SECONDS):
                end = await self._exchange(call, received)
        call.finish(received, end)
        if end != End.whole or call.headers.get('Connection') == 'close':
            self.close()
            return False
        return True

    async def _exchange(self, call, received):
        loop = asyncio.get_running_loop()
        call.sent = time.monotonic()
        try:
            await loop.sock_sendall(self._socket, call.work.encode(call.name))
            call.sent = time.monotonic()
            while not _is_whole(received):
                part = await loop.sock_recv(self._socket, 65536)
                if not part:
                    return End.cut if received or self._took() else End.unread
                received += part
        except ConnectionError:
            # The kernel resets a connection whose bytes nobody read.
            return End.cut if received else End.unread
        return End.whole

    def _took(self):
        """Tell whether the other end read all before it closed.

        Bytes that come after a close are answered with a reset.
        """
        return not self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)


def _is_whole(received):
    head, found, body = received.partition(b'\r\n\r\n')
    if not found:
        return False
    length = _LENGTH.search(head)
    if length:
        return len(body) >= int(length[1])
    return body == b'0\r\n\r\n' or body.endswith(b'\r\n0\r\n\r\n')


async def serve_store(stack):
    """Serve the key-value service; return it with its address."""
    stand_in = StoreStandIn()
    runner = web.AppRunner(stand_in.make_app(), shutdown_timeout=0)
    return stand_in.store, await _listen(stack, runner)


async def serve_backend(stack, store, service, backend, name):
    """Serve a back end and register it."""
    server = web.Server(backend.handle, handler_cancellation=True)
    runner = web.ServerRunner(server, shutdown_timeout=0)
    address = await _listen(stack, runner)
    record = make_record(service, address, slots=64)
    await store.put(f'servers/{name}', json.dumps(record).encode())


async def _listen(stack, runner):
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    port = free_port()
    await web.TCPSite(runner, '127.0.0.1', port).start()
    return f'127.0.0.1:{port}'
