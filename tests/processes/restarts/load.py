"""Generates load on the entries from persistent and from new connections."""

import asyncio
import contextlib
import math
import re
import socket
import time
from random import Random

from .history import Attempt, Outcome, RequestSpec

_PERSISTENT_CALLERS = 40
_NEW_CALLERS_PER_SECOND = 15
_MAX_PAUSE_SECONDS = 4
_ANSWER_TIMEOUT_SECONDS = 20
_CONTENT_LENGTH = re.compile(rb'\r\ncontent-length: *(\d+)', re.IGNORECASE)


def make_request(request_id, random):
    """Return a plain call, or a stream whose length hint may be wrong."""
    kind = random.choice(('stream', 'stream', 'read', 'write', 'write'))
    if kind != 'stream':
        method = 'GET' if kind == 'read' else 'POST'
        return RequestSpec(request_id, kind, random.randint(50, 500), method)
    max_tokens = random.choice((60, 600, 600))
    # From 1 to max_tokens, spread over orders of magnitude, with more long
    # streams than short ones.
    size = round(max_tokens ** math.sqrt(random.random()))
    hint = max(1, round(size * 10 ** random.uniform(-1, 1)))
    prompt_tokens = random.randint(100, 4000)
    headers = (
        f'Primrosewood-Token-Usage: {prompt_tokens},{max_tokens}',
        f'Primrosewood-Length-Hint: {hint}',
    )
    return RequestSpec(request_id, kind, size, headers=headers)


class LoadGenerator:
    """Runs all callers; each retries a refused request once."""

    def __init__(self, history, balancer, seed):
        self._history = history
        self._balancer = balancer
        self._seed = seed
        self._finished = asyncio.Event()

    async def run(self, until):
        """Send requests until an awaitable ends, then wait for all answers."""
        async with asyncio.TaskGroup() as callers:
            for number in range(_PERSISTENT_CALLERS):
                callers.create_task(self._run_persistent(f'kept{number}'))
            callers.create_task(self._run_new_callers(callers))
            await until
            self._finished.set()

    async def _run_persistent(self, name):
        """Send requests over one connection for as long as it stays open."""
        random = Random(f'{self._seed} {name}')
        connection = None
        number = 0
        while not self._finished.is_set():
            connection = connection or await self._connect()
            await asyncio.sleep(random.uniform(0, _MAX_PAUSE_SECONDS))
            number += 1
            request = make_request(f'{name}.{number}', random)
            connection = await self._send(request, connection)
        if connection is not None:
            connection.close()

    async def _run_new_callers(self, callers):
        random = Random(f'{self._seed} new')
        number = 0
        while not self._finished.is_set():
            await asyncio.sleep(random.expovariate(_NEW_CALLERS_PER_SECOND))
            number += 1
            callers.create_task(
                self._send_once(make_request(f'new{number}', random))
            )

    async def _send_once(self, request):
        """Send a request over a new connection and close the connection."""
        connection = await self._send(request, None)
        if connection is not None:
            connection.close()

    async def _send(self, request, connection):
        """Send a request, and again if it was refused.

        Return the connection if it can be reused, else None.
        """
        for number in (1, 2):
            connection = connection or await self._connect()
            if connection is None:
                continue
            attempt_id = f'{request.request_id}-{number}'
            attempt = Attempt(attempt_id, request, connection.lifetime)
            self._history.attempts.append(attempt)
            if not await connection.exchange(attempt):
                connection = None
            if not _may_retry(attempt):
                break
            await asyncio.sleep(float(attempt.headers.get('Retry-After', 0)))
        return connection

    async def _connect(self):
        with contextlib.suppress(ConnectionError):
            return await Connection.open(self._balancer.choose())
        return None


class Connection:
    """A caller's connection; tells whether the entry read a request."""

    def __init__(self, lifetime, sock):
        self.lifetime = lifetime
        self.used = False
        self._socket = sock

    @classmethod
    async def open(cls, entry):
        sock = socket.socket()
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(sock, entry.caller_address)
        except OSError:
            sock.close()
            raise
        return cls(entry.lifetime, sock)

    def close(self):
        self._socket.close()

    async def exchange(self, attempt):
        """Send an attempt and record its outcome.

        Return whether the connection can be reused; it is closed if not.
        """
        received = bytearray()
        outcome = Outcome.timed_out
        attempt.reused, self.used = self.used, True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_ANSWER_TIMEOUT_SECONDS):
                outcome = await self._exchange(attempt, received)
        attempt.record_outcome(received, outcome)
        if (
            outcome != Outcome.complete
            or attempt.headers.get('Connection') == 'close'
        ):
            self.close()
            return False
        return True

    async def _exchange(self, attempt, received):
        loop = asyncio.get_running_loop()
        attempt.sent_at = time.monotonic()
        try:
            await loop.sock_sendall(
                self._socket, attempt.request.encode(attempt.attempt_id)
            )
            attempt.sent_at = time.monotonic()
            while not _is_complete(received):
                part = await loop.sock_recv(self._socket, 65536)
                if not part:
                    return (
                        Outcome.cut
                        if received or self._peer_read_all()
                        else Outcome.unread
                    )
                received += part
        except ConnectionError:
            # The kernel resets a connection that is closed with unread bytes.
            return Outcome.cut if received else Outcome.unread
        return Outcome.complete

    def _peer_read_all(self):
        """Tell whether the peer read the whole request before it closed.

        The kernel answers bytes that arrive after a close with a reset, which
        sets an error on the socket.
        """
        return not self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)


def _may_retry(attempt):
    return attempt.outcome == Outcome.unread or attempt.status == 503


def _is_complete(received):
    """Tell whether an HTTP answer has arrived up to its end."""
    head, found, body = received.partition(b'\r\n\r\n')
    if not found:
        return False
    length = _CONTENT_LENGTH.search(head)
    if length:
        return len(body) >= int(length[1])
    return body == b'0\r\n\r\n' or body.endswith(b'\r\n0\r\n\r\n')
