"""Small HTTP servers of a process: callers, readiness, metrics."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

from aiohttp import web

from .metrics import Metrics

__all__ = ('HttpLimits', 'listen', 'listen_metrics', 'split_address')

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

_CUT_SECONDS = 0.3


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
    """

    idle_seconds: float = 300
    head_bytes: int = 65536


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``host:port``."""
    host, _colon, port = address.rpartition(':')
    return host, int(port)


async def listen(
    handler: Handler, address: str, limits: HttpLimits
) -> web.ServerRunner:
    """Serve a handler; it is cancelled when its caller leaves."""
    server = web.Server(
        handler,
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


async def listen_metrics(
    metrics: Metrics, host: str, port: int
) -> web.ServerRunner:
    """Serve the exposition of a process's metrics on any path."""
    return await listen(partial(_show, metrics), f'{host}:{port}', HttpLimits())


async def _show(metrics: Metrics, _request: web.BaseRequest) -> web.Response:
    return web.Response(body=metrics.expose())
