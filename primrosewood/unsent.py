"""Detection of responses that are written but not sent completely."""

from aiohttp import web

__all__ = ('has_unsent_data',)


def has_unsent_data(runner: web.BaseRunner) -> bool:
    """Return whether any connection has response data that is not sent yet.

    If a client reads slowly, the event loop buffers the response in this
    process, even after the handler has returned. When the process exits, the
    buffered data is lost and the client gets a truncated response.
    """
    return any(
        connection.transport is not None
        and connection.transport.get_write_buffer_size() > 0
        for connection in runner.server.connections
    )
