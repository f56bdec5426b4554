"""HTTP servers of a process: for callers, readiness checks and metrics."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

from aiohttp import web

from .logs import log_event
from .metrics import Metrics

__all__ = (
    'HttpLimits',
    'close_idle_connections',
    'listen',
    'listen_metrics',
    'split_address',
    'stop_listening',
)

# For servers whose limits operators do not set: readiness and metrics.
_HEADER_TIMEOUT_SECONDS = 10.0

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

# Time for responses that are being written when a server closes.
_SHUTDOWN_SECONDS = 0.1
# Further connections are dropped by the kernel, and clients try again after a
# second.
_MAX_WAITING_CONNECTIONS = 1024
# No handler has seen the request, so the client may safely repeat it, as
# status 408 implies.
_HEADER_TIMEOUT_RESPONSE = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'Content-Length: 0\r\n'
    b'Connection: close\r\n'
    b'\r\n'
)


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits of a server.

    Attributes
    ----------
    idle_timeout_seconds
        Time after which an idle keep-alive connection is closed. It must be
        at least as long as callers may reuse a connection; otherwise the
        server may close it while a request is on its way.
    max_header_line_bytes
        Maximum length of the request line and of each header field.
    header_timeout_seconds
        Returns the time limit for receiving a request header, from its first
        byte to its last. Called for each header, as operators may change it.
    """

    idle_timeout_seconds: float = 300
    max_header_line_bytes: int = 65536
    header_timeout_seconds: Callable[[], float] = lambda: (
        _HEADER_TIMEOUT_SECONDS
    )


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` into host and port."""
    host, _colon, port = address.rpartition(':')
    return host, int(port)


async def listen(
    handler: Handler, address: str, limits: HttpLimits
) -> web.ServerRunner:
    """Serve requests; a handler is cancelled when its client disconnects."""
    server = _HeaderTimeoutServer(
        handler,
        limits.header_timeout_seconds,
        handler_cancellation=True,
        access_log=None,
        keepalive_timeout=limits.idle_timeout_seconds,
        max_line_size=limits.max_header_line_bytes,
        max_field_size=limits.max_header_line_bytes,
        auto_decompress=False,
    )
    runner = web.ServerRunner(server, shutdown_timeout=_SHUTDOWN_SECONDS)
    await runner.setup()
    site = web.TCPSite(
        runner, *split_address(address), backlog=_MAX_WAITING_CONNECTIONS
    )
    await site.start()
    return runner


def close_idle_connections(runner: web.ServerRunner) -> None:
    """Close the connections that are idle now.

    A caller reuses an open connection even while this process drains; the
    load balancer directs a new connection to a process that stays.
    """
    for connection in runner.server.connections:
        connection.close_if_idle()


async def stop_listening(runner: web.ServerRunner) -> None:
    """Stop accepting connections; open ones continue."""
    for site in tuple(runner.sites):
        await site.stop()
    # Lets connections that were accepted just now start reading.
    await asyncio.sleep(0)


class _HeaderTimeoutServer(web.Server):
    """Gives each connection a handler with a header timeout."""

    def __init__(
        self,
        handler: Handler,
        header_timeout_seconds: Callable[[], float],
        **options,
    ) -> None:
        super().__init__(handler, **options)
        self._header_timeout_seconds = header_timeout_seconds

    def __call__(self) -> web.RequestHandler:
        return _HeaderTimeoutHandler(
            self, self._header_timeout_seconds, loop=self._loop, **self._kwargs
        )


class _HeaderTimeoutHandler(web.RequestHandler):
    """Closes a connection whose request header is not complete in time.

    The HTTP library waits for the rest of a header without a limit. A client
    that opens many connections and sends a few bytes on each would exhaust
    the file descriptors of the process and lock out other callers.
    """

    __slots__ = ('_header_timeout_seconds', '_timer', '_has_received_data')

    def __init__(
        self,
        server: web.Server,
        header_timeout_seconds: Callable[[], float],
        **options,
    ) -> None:
        super().__init__(server, **options)
        self._header_timeout_seconds = header_timeout_seconds
        self._timer: asyncio.TimerHandle | None = None
        self._has_received_data = False

    def data_received(self, data: bytes) -> None:
        """Parse received data and start the timer if a header is incomplete."""
        super().data_received(data)
        self._has_received_data = True
        # If the handler still awaits a request, the header is incomplete.
        if not self._awaits_request():
            self._stop_timer()
        elif self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(
                self._header_timeout_seconds(), self._close_on_timeout
            )

    def close_if_idle(self) -> None:
        """Close the connection if it is idle.

        A connection with a request or response in progress stays open, as the
        rest of a body would be lost. So does one without any data so far: it
        was opened for a request that is about to arrive.
        """
        idle = (
            self._has_received_data
            and self._timer is None
            and self._awaits_request()
        )
        if idle and not self.transport.get_write_buffer_size():
            self.force_close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the timer when the connection ends."""
        self._stop_timer()
        super().connection_lost(exc)

    def _awaits_request(self) -> bool:
        """Return whether the handler waits for a complete request header."""
        return self._waiter is not None and not self._waiter.done()

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close_on_timeout(self) -> None:
        log_event('head_timeout', 'WARNING')
        if self.transport is not None:
            self.transport.write(_HEADER_TIMEOUT_RESPONSE)
        self.force_close()


async def listen_metrics(
    metrics: Metrics, host: str, port: int
) -> web.ServerRunner:
    """Serve the metrics in the exposition format on any path."""
    return await listen(
        partial(_respond_with_metrics, metrics), f'{host}:{port}', HttpLimits()
    )


async def _respond_with_metrics(
    metrics: Metrics, _request: web.BaseRequest
) -> web.Response:
    return web.Response(body=metrics.expose())
