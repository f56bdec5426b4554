"""The planned stop of an entry, from SIGTERM until it may close."""

import asyncio

from aiohttp import web

from ..gen_node import NodeSettings
from ..httpserver import close_idle_connections, stop_listening
from ..logs import log_event
from ..stopping import StopWindow
from ..unsent import has_unsent_data
from .frontend import HttpFrontend

__all__ = ('drain', 'make_stop_window')

# The load balancer probes readiness once a second and takes an entry out of
# rotation after two failures; until then it sends new connections.
_BALANCER_DETECTION_SECONDS = 2.6
# Part of the time until SIGKILL that is kept free to close connections.
_CLOSE_RESERVE_SECONDS = 0.4
_POLL_INTERVAL_SECONDS = 0.1


def make_stop_window(settings: NodeSettings) -> StopWindow:
    """Return the time that a stop may take by the settings."""
    return StopWindow(
        settings.limits.stop_seconds - _CLOSE_RESERVE_SECONDS,
        _BALANCER_DETECTION_SECONDS,
    )


async def drain(
    caller_server: web.ServerRunner, frontend: HttpFrontend
) -> None:
    """Serve until the load balancer has detected the stop and all is sent.

    Ends earlier when the stop time is over, even with requests in progress.
    """
    log_event('draining', active=frontend.active)
    try:
        async with asyncio.timeout(frontend.stop.seconds):
            await asyncio.sleep(_BALANCER_DETECTION_SECONDS)
            await _wait_until_idle(caller_server, frontend)
            await stop_listening(caller_server)
            # Requests that arrived before the listener closed are answered
            # as well.
            await _wait_until_idle(caller_server, frontend)
    except TimeoutError:
        log_event('stopped_with_work_left', 'ERROR', active=frontend.active)


async def _wait_until_idle(
    caller_server: web.ServerRunner, frontend: HttpFrontend
) -> None:
    close_idle_connections(caller_server)
    while frontend.active or has_unsent_data(caller_server):
        await asyncio.sleep(_POLL_INTERVAL_SECONDS)
        close_idle_connections(caller_server)
