"""Stand-in for a plain service: supplier reorders and stock look-ups.

A process of its own, for tests and the demo.  Faults are set from outside by
``POST /faults``: ``slow`` delays answers by this number of seconds, and
``cut_after`` resets the connections of this number of calls after they ran.
"""

import asyncio
import time

import fire
from aiohttp import web

from .serving import serve

_CREATED = 201
_MAX_BODY_BYTES = 16_000_000


class ServiceStandIn:
    """HTTP handlers that record every call they run."""

    def __init__(self) -> None:
        """Create a service without recorded calls."""
        self._runs: list[dict] = []
        self._faults: dict = {}

    def make_app(self) -> web.Application:
        """Return the application."""
        app = web.Application(client_max_size=_MAX_BODY_BYTES)
        app.router.add_post('/reorders', self._reorder)
        app.router.add_get('/stock/{item}', self._look_up)
        app.router.add_post('/faults', self._set_faults)
        app.router.add_get('/history', self._show_history)
        return app

    async def _reorder(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        self._record(request, body)
        serial = len(self._runs)
        await asyncio.sleep(self._faults.get('slow', 0))
        if self._faults.get('cut_after', 0):
            # The reorder has been recorded, but its answer is never sent.
            self._faults['cut_after'] -= 1
            request.transport.abort()
        return web.json_response(
            {'serial': serial, 'order': body}, status=_CREATED
        )

    async def _look_up(self, request: web.Request) -> web.Response:
        self._record(request, None)
        await asyncio.sleep(self._faults.get('slow', 0))
        if self._faults.get('cut_after', 0):
            self._faults['cut_after'] -= 1
            request.transport.abort()
        item = request.match_info['item']
        return web.json_response({'item': item, 'in_stock': len(item)})

    def _record(self, request: web.Request, body) -> None:
        self._runs.append(
            {
                'method': request.method,
                'path': request.path,
                'attempt': request.headers.get('X-Attempt', ''),
                'body': body,
                'at': time.time(),
            }
        )

    async def _set_faults(self, request: web.Request) -> web.Response:
        self._faults.update(await request.json())
        return web.Response()

    async def _show_history(self, _request: web.Request) -> web.Response:
        return web.json_response({'runs': self._runs})


def main(port: int, late: float = 0) -> None:
    """Serve until killed.

    Parameters
    ----------
    port
        Port on loopback.
    late
        Seconds to wait before the port is opened.
    """
    time.sleep(late)
    app = ServiceStandIn().make_app()
    serve(app, port)


if __name__ == '__main__':
    fire.Fire(main)
