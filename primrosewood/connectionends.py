"""Ends of connections that callers can tell from the end of an answer.

An answer to a caller on HTTP/1.0 may have neither a length nor chunks. Such an
answer is whole if its connection is closed, and incomplete only if it is reset.
"""

import asyncio
import socket
import struct

from aiohttp import HttpVersion11, web

__all__ = ('abort_connection', 'close_when_sent', 'reset_unless_complete')

# Fields of struct linger: whether it is in force, and its seconds.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_CLOSE_NORMALLY = struct.pack('ii', 0, 0)


def abort_connection(transport: asyncio.Transport | None) -> None:
    """End a connection under an answer; nothing if it is closed already.

    A caller on HTTP/1.1 still gets what was sent, and sees by the framing that
    it is not whole. Where the end of the connection is all that a caller sees,
    `reset_unless_complete` has been called.
    """
    if transport is not None:
        transport.abort()


def reset_unless_complete(request: web.BaseRequest) -> None:
    """Have the answer to a caller on HTTP/1.0 end with a reset.

    The kernel resets the connection in whatever way this process ends it, also
    if the process is killed. To be called before the answer begins.
    """
    transport = request.transport
    if request.version < HttpVersion11 and transport is not None:
        _set_linger(transport, _RESET_ON_CLOSE)
        transport.set_write_buffer_limits(high=0)


async def close_when_sent(request: web.BaseRequest) -> None:
    """Have an answer that is written completely end with a normal close."""
    if request.version >= HttpVersion11:
        return
    await request.writer.drain()
    if request.transport is not None:
        _set_linger(request.transport, _CLOSE_NORMALLY)


def _set_linger(transport: asyncio.Transport, linger: bytes) -> None:
    connection = transport.get_extra_info('socket')
    # None for transports without a socket, and -1 after it was closed.
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
