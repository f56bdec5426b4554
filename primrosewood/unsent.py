"""What callers have yet to read of answers that handlers have written."""

from aiohttp import web

__all__ = ('has_unsent_data',)


def has_unsent_data(runner: web.BaseRunner) -> bool:
    """Tell whether part of an answer waits in this process.

    The HTTP library and the event loop hold what a slow reader has not made
    room for.  It ends with the process, and the caller gets the beginning of
    an answer whose handler has long returned.
    """
    return any(
        connection.transport is not None
        and connection.transport.get_write_buffer_size() > 0
        for connection in runner.server.connections
    )
