"""Entries, back ends and a balancer.

Entries are real processes; the others run in the test and write down what
they see.
"""

import asyncio
import json
import os
import select
import signal
import subprocess
import sys
import time
from pathlib import Path

import aiohttp
from aiohttp import web

from standins.fleet import make_record
from standins.store import StoreStandIn

from ..harness import free_port
from ..test_platform import make_settings
from .history import (
    ATTEMPT,
    LIMIT,
    SEAL,
    STOP_SECONDS,
    Life,
    Named,
    Run,
)

_ROOT = Path(__file__).resolve().parents[3]
_START_SECONDS = 15
_PROMPT_TOKENS_A_SECOND = 14_000


class Backend:
    """A model engine or a plain service; the path says what it answers.

    Parameters
    ----------
    pace
        Seconds for each event.
    limit
        Calls a second that its answers name, None for no limit.
    """

    def __init__(self, name, history, pace=0.0, limit=None):
        self._name = name
        self._history = history
        self._pace = pace
        self._limit = limit

    async def handle(self, request):
        name = request.headers[ATTEMPT]
        run = Run(name, self._name, time.monotonic())
        self._history.runs[name].append(run)
        headers = {ATTEMPT: name, SEAL: f'{self._name}.{name}'}
        if self._limit is not None:
            headers[LIMIT] = str(self._limit)
            named = Named(self._limit, run.began)
            self._history.limits.setdefault(self._name, named)
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
        # In a thread, as callers and back ends would stand still meanwhile.
        self._process = await asyncio.to_thread(self._launch)
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
        await asyncio.to_thread(self._await_end, self.life)

    async def end(self):
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def _launch(self):
        self._file.write_text(json.dumps(self.settings))
        with self._log.open('ab') as log:
            return subprocess.Popen(
                (sys.executable, '-m', 'primrosewood.platform', 'entry'),
                cwd=_ROOT,
                env={**os.environ, 'PRIMROSEWOOD_NODE_FILE': str(self._file)},
                stdout=log,
                stderr=log,
            )

    def _await_end(self, life):
        process = self._process
        before = _seconds_in_queue(process.pid)
        with os.fdopen(os.pidfd_open(process.pid)) as handle:
            left = life.stopped_at + STOP_SECONDS - time.monotonic()
            if not select.select([handle], [], [], left)[0]:
                # Popen's own would reap one that ends just now.
                signal.pidfd_send_signal(handle.fileno(), signal.SIGKILL)
                select.select([handle], [], [])
        life.ended_at = time.monotonic()
        life.queued = _seconds_in_queue(process.pid) - before
        life.code = process.wait()


def _seconds_in_queue(pid):
    """Return how long a process has waited for a processor."""
    fields = Path(f'/proc/{pid}/schedstat').read_text().split()
    return int(fields[1]) / 1e9


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
