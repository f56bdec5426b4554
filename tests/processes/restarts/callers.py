"""Callers, and the load that they make together."""

import asyncio
import contextlib
import math
import re
import socket
import time
from random import Random

from .history import Call, End, Work

_KEPT_CALLERS = 40
_NEW_CALLERS_A_SECOND = 15
_LONGEST_PAUSE = 4
_SILENT_SECONDS = 20
_LENGTH = re.compile(rb'\r\ncontent-length: *(\d+)', re.IGNORECASE)


def make_work(task, random):
    """Return a plain call or a stream that is likely to be misjudged."""
    kind = random.choice(('stream', 'stream', 'read', 'write', 'write'))
    if kind != 'stream':
        method = 'GET' if kind == 'read' else 'POST'
        return Work(task, kind, random.randint(50, 500), method)
    most = random.choice((60, 600, 600))
    # From 1 to the most, by orders of magnitude and rather long than short.
    size = round(most ** math.sqrt(random.random()))
    hint = max(1, round(size * 10 ** random.uniform(-1, 1)))
    prompt = random.randint(100, 4000)
    sizes = (
        f'Primrosewood-Token-Usage: {prompt},{most}',
        f'Primrosewood-Length-Hint: {hint}',
    )
    return Work(task, kind, size, headers=sizes)


class Callers:
    """The load: each caller comes back once after a refusal."""

    def __init__(self, history, balancer, seed):
        self._history = history
        self._balancer = balancer
        self._seed = seed
        self._over = asyncio.Event()

    async def run(self, until):
        """Call until something has ended, then wait for all answers."""
        async with asyncio.TaskGroup() as callers:
            for number in range(_KEPT_CALLERS):
                callers.create_task(self._keep(f'kept{number}'))
            callers.create_task(self._arrive(callers))
            await until
            self._over.set()

    async def _keep(self, name):
        """Call again and again on a connection for as long as it is open."""
        random = Random(f'{self._seed} {name}')
        connection = None
        task = 0
        while not self._over.is_set():
            connection = connection or await self._connect()
            await asyncio.sleep(random.uniform(0, _LONGEST_PAUSE))
            task += 1
            work = make_work(f'{name}.{task}', random)
            connection = await self._ask(work, connection)
        if connection is not None:
            connection.close()

    async def _arrive(self, callers):
        random = Random(f'{self._seed} new')
        task = 0
        while not self._over.is_set():
            await asyncio.sleep(random.expovariate(_NEW_CALLERS_A_SECOND))
            task += 1
            callers.create_task(self._ask_once(make_work(f'new{task}', random)))

    async def _ask_once(self, work):
        connection = await self._ask(work, None)
        if connection is not None:
            connection.close()

    async def _ask(self, work, connection):
        """Return the connection if it can be used again."""
        for attempt in (1, 2):
            connection = connection or await self._connect()
            if connection is None:
                continue
            name = f'{work.task}-{attempt}'
            call = Call(name, work, connection.life)
            self._history.calls.append(call)
            if not await connection.exchange(call):
                connection = None
            if not _may_retry(call):
                break
            await asyncio.sleep(float(call.headers.get('Retry-After', 0)))
        return connection

    async def _connect(self):
        with contextlib.suppress(ConnectionError):
            return await Connection.open(self._balancer.choose())
        return None


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


def _may_retry(call):
    return call.end == End.unread or call.status == 503


def _is_whole(received):
    head, found, body = received.partition(b'\r\n\r\n')
    if not found:
        return False
    length = _LENGTH.search(head)
    if length:
        return len(body) >= int(length[1])
    return body == b'0\r\n\r\n' or body.endswith(b'\r\n0\r\n\r\n')
