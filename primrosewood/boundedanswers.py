"""Bounds on the bytes that an HTTP client takes for one answer.

A faulty server may send bytes without end that are no answer: empty lines,
interim answers, extensions of chunks, or a body.  The library reads them for as
long as they come, at the cost of a whole processor.
"""

import asyncio
import functools
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from .errors import BackendCutError, OversizedAnswerError

__all__ = (
    'BoundedResponseHandler',
    'follow_body',
    'make_connector',
    'read_limited',
    'read_parts',
)

# Heads of answers and the framing of short chunks take less.
_MAX_OVERHEAD_BYTES = 262_144
_MAX_OVERHEAD_PER_BYTE = 16
# Interim answers, which come before the real one.
_MAX_HEADS = 64
# What arrives at once is parsed at once, while all other work waits.
_MAX_READ_BYTES = 8192


class BoundedResponseHandler(ResponseHandler):
    """Closes a connection whose bytes bring no answer forward.

    Reports other faults of the connection too.  aiohttp takes its end for the
    end of an answer without a length, even after a reset, and after a malformed
    chunk leaves the reader of the answer waiting.

    Attributes
    ----------
    oversized
        Why it was closed, None unless it was closed for that.
    was_reset
        Whether it was reset.
    """

    def __init__(self, loop: Any) -> None:
        """Start before the first answer."""
        super().__init__(loop=loop)
        self._received_bytes = 0
        self._heads = 0
        self._content: aiohttp.StreamReader | None = None
        self.oversized: OversizedAnswerError | None = None
        self.was_reset = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound what is read at a time."""
        transport.max_size = _MAX_READ_BYTES
        super().connection_made(transport)

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the next answer."""
        self._received_bytes = 0
        self._heads = 0
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close if too many of them are no content."""
        super().data_received(data)
        self._received_bytes += len(data)
        # There is none before the head is complete.
        content_bytes = getattr(self._payload, 'total_bytes', 0)
        overhead = self._received_bytes - content_bytes
        allowed = _MAX_OVERHEAD_BYTES + _MAX_OVERHEAD_PER_BYTE * content_bytes
        if self.transport is None:
            return
        if overhead > allowed:
            self._close_oversized(f'{overhead} bytes that are no content')
        elif self._heads > _MAX_HEADS:
            self._close_oversized(f'{self._heads} heads for one answer')

    def feed_data(self, *message: Any) -> None:
        """Take the head of an answer, interim ones included."""
        self._heads += 1
        super().feed_data(*message)

    def set_exception(
        self, exc: BaseException, *exc_cause: BaseException
    ) -> None:
        """Report a fault; that the answer is oversized remains the reason."""
        super().set_exception(self.oversized or exc, *exc_cause)
        # Bytes after a whole response belong to no call.
        if self._content is not None and not self._content.is_eof():
            self._content.set_exception(
                self.oversized
                or aiohttp.ClientPayloadError('malformed response')
            )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record whether the connection was reset."""
        self.was_reset = exc is not None
        super().connection_lost(exc)

    def follow(self, content: aiohttp.StreamReader) -> None:
        """Report malformed bytes to the reader of an answer's content."""
        self._content = content

    def _close_oversized(self, why: str) -> None:
        self.oversized = OversizedAnswerError(why)
        content, self._payload = self._payload, None
        self.set_exception(self.oversized)
        if content is not None:
            content.set_exception(self.oversized)
        self._parser = None
        self.transport.abort()


def make_connector(**options: Any) -> aiohttp.TCPConnector:
    """Return a connector whose connections bound what they read.

    Parameters
    ----------
    **options
        Options of the connector.
    """
    connector = aiohttp.TCPConnector(**options)
    connector._factory = functools.partial(  # noqa: SLF001, WPS437
        BoundedResponseHandler,
        loop=connector._loop,  # noqa: SLF001, WPS437
    )
    return connector


def follow_body(
    response: aiohttp.ClientResponse,
) -> BoundedResponseHandler | None:
    """Return the handler of a response's connection, which reports its faults.

    To be called before the body is read, as aiohttp forgets the connection
    then; None if all of the body has been received.
    """
    connection = response.connection
    handler = None if connection is None else connection.protocol
    if not isinstance(handler, BoundedResponseHandler):
        return None
    handler.follow(response.content)
    return handler


async def read_parts(
    response: aiohttp.ClientResponse, limit: int
) -> AsyncIterator[bytes]:
    """Yield the parts of a response's body as they arrive.

    Parameters
    ----------
    limit
        Greatest number of bytes.

    Raises
    ------
    OversizedAnswerError
        The body is longer.
    BackendCutError
        The connection was reset.
    """
    handler = follow_body(response)
    size = 0
    async for part in response.content.iter_any():
        size += len(part)
        if size > limit:
            raise OversizedAnswerError(f'a body of over {limit} bytes')
        yield part
    if handler is not None and handler.was_reset:
        raise BackendCutError('the answer was reset')


async def read_limited(response: aiohttp.ClientResponse, limit: int) -> bytes:
    """Return the body of a response, which is bounded as by `read_parts`."""
    return b''.join([part async for part in read_parts(response, limit)])
