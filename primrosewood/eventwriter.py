"""Streams a generation to the caller as server-sent events (SSE)."""

from aiohttp import web

from .answers import AnswerFormat
from .connectionends import (
    abort_connection,
    close_when_sent,
    reset_unless_complete,
)
from .errors import ErrorKind, RequestFailedError
from .httperrors import error_body
from .logs import log_event
from .requests import Ended, Started, TokenChunk
from .resume import format_event_id

__all__ = ('EventWriter',)


class EventWriter:
    """Writes one streamed response; its headers go out at the first event."""

    def __init__(
        self,
        request: web.Request,
        answer_format: AnswerFormat,
        include_usage: bool,
    ) -> None:
        """Prepare the response; nothing is sent yet.

        Parameters
        ----------
        request
            The caller's request.
        answer_format
            Encodes the chunks of the response.
        include_usage
            Whether to send a chunk with token counts at the end.
        """
        self._request = request
        self._answer_format = answer_format
        self._include_usage = include_usage
        self._response: web.StreamResponse | None = None
        self._event_id_prefix = ''
        self._complete = False

    @property
    def started(self) -> bool:
        """Whether the headers of the response were sent."""
        return self._response is not None

    async def write_event(self, event) -> None:
        """Write one event of a generation."""
        match event:
            case TokenChunk():
                data = self._answer_format.chunk(''.join(event.pieces))
                event_id = format_event_id(self._event_id_prefix, event.offset)
                await self._write(
                    b'id: %b\ndata: %b\n\n' % (event_id.encode(), data)
                )
            case Started():
                self._event_id_prefix = event.event_id_prefix
                await self._begin()
            case Ended():
                await self._write_end(event)

    async def write_error(self, error: RequestFailedError) -> None:
        """Write the error that ends the stream."""
        await self._write(b'data: %b\n\n' % error_body(error))
        self._complete = True

    async def end(self) -> web.StreamResponse:
        """Finish and return the response.

        Without a last event or an error the connection is aborted, so that
        the response does not look complete.

        Raises
        ------
        RequestFailedError
            ``cancelled`` when the response was not started.
        """
        if self._response is None:
            raise RequestFailedError(ErrorKind.cancelled)
        if not self._complete:
            abort_connection(self._request.transport)
            return self._response
        try:
            await self._finish()
        except ConnectionError:
            log_event('caller_left', request=self._answer_format.name)
        return self._response

    async def _begin(self) -> None:
        if self._response is not None:
            return
        response = web.StreamResponse()
        response.content_type = 'text/event-stream'
        response.headers['Cache-Control'] = 'no-store'
        response.headers['X-Request-Id'] = self._answer_format.name
        reset_unless_complete(self._request)
        await response.prepare(self._request)
        self._response = response

    async def _write_end(self, event: Ended) -> None:
        chunks = [self._answer_format.last_chunk(event)]
        if self._include_usage:
            chunks.append(self._answer_format.usage_chunk(event))
        chunks.append(b'[DONE]')
        await self._write(b''.join(b'data: %b\n\n' % data for data in chunks))
        self._complete = True

    async def _finish(self) -> None:
        await self._response.write_eof()
        await close_when_sent(self._request)

    async def _write(self, data: bytes) -> None:
        await self._response.write(data)
