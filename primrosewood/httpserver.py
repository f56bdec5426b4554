"""Small HTTP servers of a process: callers, readiness, metrics."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

from aiohttp import web

from .logs import log_event
from .metrics import Metrics

__all__ = (
    'HttpLimits',
    'listen',
    'listen_metrics',
    'close_idle_connections',
    'split_address',
    'stop_listening',
)

# For servers without operators' limits: readiness and metrics.
_HEAD_SECONDS = 10.0

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

# For answers that are being written when a server closes.
_CUT_SECONDS = 0.1
# Nothing of the request was read, so that the promise of this status holds.
_HEAD_TIMEOUT = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'Content-Length: 0\r\n'
    b'Connection: close\r\n'
    b'\r\n'
)


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Bounds of a server.

    Attributes
    ----------
    idle_seconds
        How long a connection may stay idle.  Callers use theirs again for as
        long as the operators allow; one that is closed earlier crosses a
        request on its way.
    head_bytes
        Longest line of a request's head.
    head_seconds
        Returns how long a head may take from its first byte to its last;
        read for each head, as operators may change it.
    """

    idle_seconds: float = 300
    head_bytes: int = 65536
    header_timeout_seconds: Callable[[], float] = lambda: _HEAD_SECONDS


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``host:port``."""
    host, _colon, port = address.rpartition(':')
    return host, int(port)


async def listen(
    handler: Handler, address: str, limits: HttpLimits
) -> web.ServerRunner:
    """Serve a handler; it is cancelled when its caller leaves."""
    server = _Server(
        handler,
        limits.header_timeout_seconds,
        handler_cancellation=True,
        access_log=None,
        keepalive_timeout=limits.idle_seconds,
        max_line_size=limits.head_bytes,
        max_field_size=limits.head_bytes,
        auto_decompress=False,
    )
    runner = web.ServerRunner(server, shutdown_timeout=_CUT_SECONDS)
    await runner.setup()
    await web.TCPSite(runner, *split_address(address)).start()
    return runner


def close_idle_connections(runner: web.ServerRunner) -> None:
    """Close the connections that are idle now.

    A caller that keeps a connection open uses it again however long its
    process has been leaving; a new one would bring it to a process that stays.
    """
    for connection in runner.server.connections:
        connection.release()


async def stop_listening(runner: web.ServerRunner) -> None:
    """Take no more connections; those that are open go on."""
    for site in tuple(runner.sites):
        await site.stop()
    # Connections that were taken a moment ago begin to be read.
    await asyncio.sleep(0)


class _Server(web.Server):
    """Gives each connection a handler that times heads."""

    def __init__(
        self,
        handler: Handler,
        header_timeout_seconds: Callable[[], float],
        **options,
    ) -> None:
        super().__init__(handler, **options)
        self._header_timeout_seconds = header_timeout_seconds

    def __call__(self) -> web.RequestHandler:
        return _TimedHandler(
            self, self._header_timeout_seconds, loop=self._loop, **self._kwargs
        )


class _TimedHandler(web.RequestHandler):
    """Ends a connection whose request head does not come whole in time.

    The HTTP library waits for ever for the rest of a head.  A stranger that
    opens connections and sends a few bytes on each would use up the process's
    descriptors, and callers would find no free one.
    """

    __slots__ = ('_head_seconds', '_timer', '_used')

    def __init__(
        self,
        server: web.Server,
        header_timeout_seconds: Callable[[], float],
        **options,
    ) -> None:
        super().__init__(server, **options)
        self._header_timeout_seconds = header_timeout_seconds
        self._timer: asyncio.TimerHandle | None = None
        self._used = False

    def data_received(self, data: bytes) -> None:
        """Read on, and time what is still a part of a head."""
        super().data_received(data)
        self._used = True
        # Bytes came and the handler waits for a request all the same.
        if not self._waits():
            self._stop_timer()
        elif self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(
                self._header_timeout_seconds(), self._give_up
            )

    def release(self) -> None:
        """Close the connection if it is idle.

        Not if a request is in it or on its way: the rest of a body would be
        lost.  One that carried no request yet was opened for one that follows.
        """
        idle = self._used and self._timer is None and self._waits()
        if idle and not self.transport.get_write_buffer_size():
            self.force_close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the timer with the connection."""
        self._stop_timer()
        super().connection_lost(exc)

    def _waits(self) -> bool:
        """Tell whether the handler waits for a request to be whole."""
        return self._waiter is not None and not self._waiter.done()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _give_up(self) -> None:
        log_event('head_timeout', 'WARNING')
        if self.transport is not None:
            self.transport.write(_HEAD_TIMEOUT)
        self.force_close()


async def listen_metrics(
    metrics: Metrics, host: str, port: int
) -> web.ServerRunner:
    """Serve the exposition of a process's metrics on any path."""
    return await listen(partial(_show, metrics), f'{host}:{port}', HttpLimits())


async def _show(metrics: Metrics, _request: web.BaseRequest) -> web.Response:
    return web.Response(body=metrics.expose())
