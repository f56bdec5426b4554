"""HTTP clients of the back ends: model engines and plain services."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
from http import HTTPStatus
from typing import Annotated, Any, Protocol

import aiohttp
import msgspec

from .backpressure import AnswerNotice, Backpressure
from .boundedanswers import make_connector, read_limited
from .clock import SystemClock
from .errors import (
    BackendCutError,
    BackendPausedError,
    ErrorKind,
    NotRunError,
    PrimrosewoodError,
    WireError,
)
from .events import EventSplitter
from .httpclient import is_final_status, parse_pause, prevent_resend

__all__ = (
    'CallResult',
    'Engine',
    'EngineCall',
    'EngineLoad',
    'EngineToken',
    'HttpEngine',
    'HttpService',
    'PlainCall',
    'PlainService',
    'StreamUnknownError',
)

_CONNECT_TIMEOUT_SECONDS = 1.0
_CONTROL_TIMEOUT_SECONDS = 1.0
_MAX_LOAD_BYTES = 1_048_576
_MAX_ANSWER_BYTES = 33_554_432
_ID_PREFIX = b'id: '
_DATA_PREFIX = b'data: '
_DONE_EVENT = b'data: [DONE]\n\n'
_REFUSED_STATUSES = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)


class StreamUnknownError(PrimrosewoodError):
    """The engine does not know the stream, or no longer has it."""


@dataclass(frozen=True, slots=True)
class EngineCall:
    """Request to start a generation.

    Attributes
    ----------
    generation
        Identifier under which the engine keeps the stream.
    priority
        Requests of higher priority go first under memory pressure.
    parameters
        Other fields of the caller's request, as a JSON object.
    """

    generation: str
    model: str
    prompt: str
    max_tokens: int
    priority: int = 0
    parameters: bytes = b'{}'


@dataclass(frozen=True, slots=True)
class EngineToken:
    """One token of a stream.

    The last event of a stream has a finish reason and an empty piece.
    """

    index: int
    piece: str
    finish_reason: str = ''


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Load report of an engine, which lags behind its state."""

    running: int
    waiting: int
    memory_tokens: int
    capacity_tokens: int
    preemptions: int


@dataclass(frozen=True, slots=True)
class PlainCall:
    """Call to a plain service."""

    attempt: str
    method: str
    path: str
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class CallResult:
    """Complete answer of a plain service."""

    status: int
    content_type: str
    body: bytes


class Engine(Protocol):
    """Interface of a model engine."""

    def generate(self, call: EngineCall) -> AsyncIterator[EngineToken]:
        """Start a generation and yield its tokens."""

    def resume(
        self, generation: str, offset: int
    ) -> AsyncIterator[EngineToken]:
        """Yield the tokens of a known generation from an offset on."""

    async def cancel(self, generation: str) -> None:
        """Stop a generation."""

    async def read_load(self) -> EngineLoad:
        """Return the load report of the engine."""


class PlainService(Protocol):
    """Interface of a plain service."""

    async def call(self, call: PlainCall) -> CallResult:
        """Make the call once, without retries."""


class _HttpBackend:
    """HTTP session of a back end."""

    def __init__(self, url: str) -> None:
        """Prepare; the session is opened by the first call."""
        self._url = url.rstrip('/')
        self._clock = SystemClock()
        self._backpressure = Backpressure()
        self._lazy_session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self._lazy_session is not None:
            await self._lazy_session.close()

    def _require_no_pause(self) -> None:
        self._backpressure.require_no_pause(self._clock.monotonic())

    def _heed(self, response: aiohttp.ClientResponse) -> None:
        notice = AnswerNotice(parse_pause(response))
        self._backpressure.heed(self._url, notice, self._clock.monotonic())

    def _session(self) -> aiohttp.ClientSession:
        session = self._lazy_session
        if session is None:
            session = aiohttp.ClientSession(
                # The back end may close an idle connection just as a call
                # is written to it; the outcome of the call would be unknown
                # although it never ran. The endpoint runs next to its back
                # end, so a new connection per call costs little.
                connector=make_connector(limit=0, force_close=True),
                middlewares=(prevent_resend,),
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=_CONNECT_TIMEOUT_SECONDS
                ),
                auto_decompress=False,
            )
            self._lazy_session = session
        return session


class HttpEngine(_HttpBackend):
    """Client of an engine with OpenAI-style completions, resume, cancel."""

    async def generate(self, call: EngineCall) -> AsyncIterator[EngineToken]:
        """Start a generation and yield its tokens.

        Raises
        ------
        NotRunError
            The engine refused the call, or no connection was made.
        BackendPausedError
            The engine has asked for a pause.
        BackendCutError
            The connection broke after the call was written.
        """
        body = {
            **msgspec.json.decode(call.parameters),
            'request_id': call.generation,
            'model': call.model,
            'prompt': call.prompt,
            'max_tokens': call.max_tokens,
            'priority': call.priority,
            'stream': True,
        }
        async for token in self._stream('POST', '/v1/completions', body):
            yield token

    async def resume(
        self, generation: str, offset: int
    ) -> AsyncIterator[EngineToken]:
        """Yield the tokens of a generation from an offset on.

        Raises
        ------
        StreamUnknownError
            The engine does not have the stream.
        BackendCutError
            The engine cannot be reached, or the connection broke.
        BackendPausedError
            The engine has asked for a pause.
        """
        path = f'/v1/streams/{generation}?offset={offset}'
        try:
            async for token in self._stream('GET', path, None):
                yield token
        except BackendPausedError:
            raise
        except NotRunError as error:
            raise BackendCutError(str(error)) from error

    async def cancel(self, generation: str) -> None:
        """Stop a generation, after a pause if the engine asked for one.

        Errors are ignored: an engine that is gone has stopped the generation
        with it.
        """
        now = self._clock.monotonic()
        await asyncio.sleep(self._backpressure.seconds_until_call(now))
        try:
            async with self._session().delete(
                f'{self._url}/v1/streams/{generation}',
                timeout=aiohttp.ClientTimeout(total=_CONTROL_TIMEOUT_SECONDS),
            ):
                return
        except (aiohttp.ClientError, TimeoutError):
            return

    async def read_load(self) -> EngineLoad:
        """Return the load report of the engine.

        Raises
        ------
        BackendCutError
            The engine does not answer.
        BackendPausedError
            The engine has asked for a pause.
        """
        self._require_no_pause()
        try:
            async with self._session().get(
                f'{self._url}/load',
                timeout=aiohttp.ClientTimeout(total=_CONTROL_TIMEOUT_SECONDS),
            ) as response:
                self._heed(response)
                return msgspec.json.decode(
                    await read_limited(response, _MAX_LOAD_BYTES),
                    type=EngineLoad,
                )
        except (
            aiohttp.ClientError,
            TimeoutError,
            msgspec.DecodeError,
        ) as error:
            raise BackendCutError(type(error).__name__) from error

    async def _stream(
        self, method: str, path: str, body: Any
    ) -> AsyncIterator[EngineToken]:
        self._require_no_pause()
        try:
            async with self._session().request(
                method, f'{self._url}{path}', json=body
            ) as response:
                self._heed(response)
                _check_status(response)
                async for token in _read_tokens(response):
                    yield token
        except aiohttp.ClientConnectorError as error:
            # Without a connection, no byte of the call was written.
            raise NotRunError(ErrorKind.no_endpoint, retry_seconds=1) from error
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise BackendCutError(type(error).__name__) from error


class HttpService(_HttpBackend):
    """Client of a plain service; answers of any status are returned."""

    async def call(self, call: PlainCall) -> CallResult:
        """Make the call once, without retries.

        Raises
        ------
        NotRunError
            No connection was made.
        BackendPausedError
            The service has asked for a pause.
        BackendCutError
            The connection broke after the call was written, or the answer is
            none.
        """
        self._require_no_pause()
        headers = {'X-Attempt': call.attempt}
        if call.content_type:
            headers['Content-Type'] = call.content_type
        try:
            async with self._session().request(
                call.method,
                f'{self._url}{call.path}',
                data=call.body or None,
                headers=headers,
                allow_redirects=False,
            ) as response:
                self._heed(response)
                _require_final_status(response.status)
                return CallResult(
                    response.status,
                    response.headers.get('Content-Type', ''),
                    await read_limited(response, _MAX_ANSWER_BYTES),
                )
        except aiohttp.ClientConnectorError as error:
            raise NotRunError(ErrorKind.no_endpoint, retry_seconds=1) from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise BackendCutError(type(error).__name__) from error


def _require_final_status(status: int) -> None:
    if not is_final_status(status):
        raise BackendCutError(f'status {status} is none')


def _check_status(response: aiohttp.ClientResponse) -> None:
    status = response.status
    pause = parse_pause(response)
    if pause:
        raise BackendPausedError(ErrorKind.overloaded, retry_seconds=pause)
    if status in _REFUSED_STATUSES:
        raise NotRunError(ErrorKind.overloaded, retry_seconds=1)
    if status == HTTPStatus.NOT_FOUND:
        raise StreamUnknownError
    if status != HTTPStatus.OK:
        raise BackendCutError(f'status {status}')


async def _read_tokens(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[EngineToken]:
    splitter = EventSplitter()
    async for chunk in response.content.iter_any():
        for event in _split_events(splitter, chunk):
            if event.endswith(_DONE_EVENT):
                return
            yield _parse_event(event)
    # The engine ends every stream with [DONE]; without it, the connection
    # was cut.
    raise BackendCutError('the stream ended early')


def _split_events(splitter: EventSplitter, chunk: bytes) -> list[bytes]:
    try:
        return splitter.feed(chunk)
    except WireError as error:
        raise BackendCutError(str(error)) from error


def _parse_event(event: bytes) -> EngineToken:
    head, _, data = event.partition(_DATA_PREFIX)
    try:
        chunk = msgspec.json.decode(data, type=_Chunk)
        index = int(head.removeprefix(_ID_PREFIX))
    except (msgspec.DecodeError, ValueError) as error:
        raise BackendCutError('an event is malformed') from error
    choice = chunk.choices[0]
    return EngineToken(index, choice.text, choice.finish_reason or '')


class _Choice(msgspec.Struct):
    """The fields of a choice in a chunk that are read."""

    text: str = ''
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    """The fields of a chunk that are read."""

    choices: Annotated[list[_Choice], msgspec.Meta(min_length=1)]
