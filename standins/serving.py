"""Serves a stand-in on loopback."""

from aiohttp import web

_SHUTDOWN_SECONDS = 0.1


def serve(app: web.Application, port: int) -> None:
    """Serve until killed, without logging.

    At the end, open watches and streams are aborted after a short timeout.
    """
    web.run_app(
        app,
        host='127.0.0.1',
        port=port,
        print=None,
        access_log=None,
        shutdown_timeout=_SHUTDOWN_SECONDS,
    )
