"""Writing a generation to its caller as server-sent events."""

from aiohttp import web

from .answers import AnswerFormat
from .errors import ErrorKind, RequestFailedError
from .httperrors import error_body
from .logs import log_event
from .requests import Ended, Pieces, Started
from .resume import format_event_id

__all__ = ('EventWriter',)


class EventWriter:
    """Writes the events of one answer as server-sent events."""

    def __init__(
        self, request: web.Request, answer: AnswerFormat, usage: bool
    ) -> None:
        """Take the request that is answered.

        Parameters
        ----------
        request
            The caller's request.
        answer
            Shape of the events.
        usage
            Whether the caller wants the number of tokens.
        """
        self._request = request
        self._answer = answer
        self._usage = usage
        self._response: web.StreamResponse | None = None
        self._signed = ''

    @property
    def begun(self) -> bool:
        """Whether the head of the answer was written."""
        return self._response is not None

    async def write_event(self, event) -> None:
        """Write one event of a generation."""
        match event:
            case Pieces():
                data = self._answer.chunk(''.join(event.pieces))
                event_id = format_event_id(self._signed, event.offset)
                await self._write(
                    b'id: %b\ndata: %b\n\n' % (event_id.encode(), data)
                )
            case Started():
                self._signed = event.signed
                await self._begin()
            case Ended():
                await self._write_end(event)

    async def write_error(self, error: RequestFailedError) -> None:
        """Write the end of a stream that failed."""
        await self._write(b'data: %b\n\n' % error_body(error))

    async def end(self) -> web.StreamResponse:
        """Return the whole answer.

        Raises
        ------
        RequestFailedError
            It never began.
        """
        if self._response is None:
            raise RequestFailedError(ErrorKind.cancelled)
        try:
            await self._response.write_eof()
        except ConnectionError:
            log_event('caller_left', request=self._answer.name)
        return self._response

    async def _begin(self) -> None:
        if self._response is not None:
            return
        response = web.StreamResponse()
        response.content_type = 'text/event-stream'
        response.headers['Cache-Control'] = 'no-store'
        response.headers['X-Request-Id'] = self._answer.name
        await response.prepare(self._request)
        self._response = response

    async def _write_end(self, event: Ended) -> None:
        last = [self._answer.last_chunk(event)]
        if self._usage:
            last.append(self._answer.usage_chunk(event))
        last.append(b'[DONE]')
        await self._write(b''.join(b'data: %b\n\n' % data for data in last))

    async def _write(self, data: bytes) -> None:
        await self._response.write(data)
