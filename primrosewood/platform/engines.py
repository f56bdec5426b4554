"""Calls to back ends over HTTP, each on a connection of its own."""

import asyncio
import functools
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from http import HTTPStatus

import aiohttp
import msgspec
from aiohttp.client_proto import ResponseHandler
from multidict import CIMultiDict
from yarl import URL

from ..backendset import Backend, EngineState
from ..clock import Clock
from ..directcalls import DirectCall, Header, BackendAttempt
from ..errors import BackendCutError, ErrorKind, MisdirectedError, NotRunError
from ..httpclient import never_repeat
from ..movableengine import EngineReading
from ..moves import EngineRun
from . import headers

__all__ = ('HttpMovableEngine', 'HttpTransport')

_SCHEME = 'http://'
_MILLISECONDS = 1000
# Back ends are a few milliseconds away.  One that does not even connect in
# this time is gone or cut off, and nothing of the call has been written.
_CONNECT_SECONDS = 0.3
_REPORT_SECONDS = 0.5
_MOVE_SECONDS = 2.0
_LONGEST_HEAD = 65536
# Promises that a call did not run; a back end that makes one without its mark
# may have run it all the same.
_PROMISES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
_SUCCESSES = range(HTTPStatus.OK, HTTPStatus.MULTIPLE_CHOICES)
# Added by the HTTP library where a caller sent none.
_AUTOMATIC = ('Accept', 'Accept-Encoding', 'Content-Type', 'User-Agent')


class _Connection(ResponseHandler):
    """Remembers how the connection ended.

    The HTTP library takes the end of a connection for the end of an answer
    without a length, also when the connection was reset: half an answer would
    pass as a whole one.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start unbroken."""
        super().__init__(loop=loop)
        self.broken = False

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note whether the connection was reset."""
        self.broken = exc is not None
        super().connection_lost(exc)


def _make_session() -> aiohttp.ClientSession:
    # A kept connection may be closed by the back end in the moment a call is
    # written to it, and may still hold the late answer of an earlier call; a
    # new one costs a millisecond.
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    connector._factory = functools.partial(  # noqa: SLF001, WPS437
        _Connection, loop=asyncio.get_running_loop()
    )
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=_CONNECT_SECONDS
        ),
        auto_decompress=False,
        skip_auto_headers=_AUTOMATIC,
        middlewares=(never_repeat,),
        max_line_size=_LONGEST_HEAD,
        max_field_size=_LONGEST_HEAD,
    )


class _Reply:
    """A back end's answer whose head has come."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response
        self._connection = response.connection and response.connection.protocol

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._response.status

    @property
    def headers(self) -> tuple[Header, ...]:
        """Headers that the caller gets."""
        return headers.drop_hop_headers(_decode(self._response.raw_headers))

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body as it comes."""
        try:
            async for part in self._response.content.iter_any():
                yield part
        except (aiohttp.ClientError, OSError) as error:
            raise BackendCutError(type(error).__name__) from error
        if getattr(self._connection, 'broken', False):
            raise BackendCutError('the answer was reset')


class HttpTransport:
    """Carries direct calls to back ends.

    Parameters
    ----------
    note_limit
        Called with a back end, the calls a second that its answer names (None
        for no limit), and when that call was sent.
    """

    def __init__(
        self,
        clock: Clock,
        note_limit: Callable[[Backend, float | None, float], None],
    ) -> None:
        """Connect with the first call."""
        self._clock = clock
        self._note_limit = note_limit
        self._lazy_session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._lazy_session is not None:
            await self._lazy_session.close()

    @asynccontextmanager
    async def send(
        self, call: DirectCall, backend_attempt: BackendAttempt
    ) -> AsyncIterator[_Reply]:
        """Send a call; leaving the context ends what is still running."""
        if self._lazy_session is None:
            self._lazy_session = _make_session()
        origin = _SCHEME + backend_attempt.backend.record.address
        sent_at = self._clock.monotonic()
        try:
            async with self._lazy_session.request(
                call.method,
                URL(origin + call.target, encoded=True),
                headers=self._headers(call, backend_attempt),
                data=call.body or None,
                allow_redirects=False,
            ) as response:
                self._read_limit(
                    call, backend_attempt.backend, response, sent_at
                )
                _check_answer(call, response)
                yield _Reply(response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            # No connection, so no byte of the call was written.
            raise NotRunError(ErrorKind.no_endpoint, 'no connection')
        except (aiohttp.ClientError, OSError) as error:
            raise BackendCutError(type(error).__name__) from error

    def _read_limit(
        self,
        call: DirectCall,
        backend: Backend,
        response: aiohttp.ClientResponse,
        sent_at: float,
    ) -> None:
        if _is_stray(call, response):
            return
        text = response.headers.get(headers.LIMIT, '')
        rate = headers.parse_quantity(text)
        # A back end may leave the limit out of its refusals and failures.
        sound = response.status in _SUCCESSES and not _find_fault(
            call, response
        )
        if rate is not None or (sound and not text):
            self._note_limit(backend, rate, sent_at)

    def _headers(
        self, call: DirectCall, backend_attempt: BackendAttempt
    ) -> CIMultiDict[str]:
        sent = CIMultiDict(call.headers)
        left = min(call.patience, call.deadline) - self._clock.monotonic()
        sent[headers.DEADLINE] = str(max(0, int(left * _MILLISECONDS)))
        sent[headers.EXPECTED_BACKEND] = backend_attempt.backend.name
        if call.organisation:
            sent[headers.ORGANISATION] = call.organisation
        if backend_attempt.after_event is not None:
            sent[headers.LAST_EVENT] = str(backend_attempt.after_event)
        resumption = backend_attempt.resumption
        if resumption is not None:
            origin = f'{resumption.source}/{resumption.handle}'
            sent[headers.MOVED_FROM] = origin
            if resumption.last_event is not None:
                sent[headers.LAST_EVENT] = str(resumption.last_event)
        return sent


class _Report(msgspec.Struct):
    """An engine's report."""

    # Tokens that cannot be freed; cached prompts are not among them.
    kv_used: int = 0
    kv_total: int = 0
    queued: int = 0
    # Counts those whose prompt is being read.
    running: int = 0
    # Tokens of the first request that waits.
    next_token: int = 0
    state: str = 'ready'
    leaves_ms: float | None = None
    # Rows of name, tokens in memory, events made, priority.
    runs: list[list[msgspec.Raw]] = []


class _Copied(msgspec.Struct):
    """A copy that an engine made."""

    cache_handle: str | int


@dataclass(frozen=True, slots=True)
class _Answer:
    """An engine's answer to a call of its own interface."""

    status: int
    body: bytes
    name: str


class HttpMovableEngine:
    """The engine on this VM."""

    def __init__(self, address: str) -> None:
        """Connect with the first call."""
        self._address = address
        self._lazy_session: aiohttp.ClientSession | None = None

    @property
    def address(self) -> str:
        """Address as ``host:port``."""
        return self._address

    async def close(self) -> None:
        """Close the connections."""
        if self._lazy_session is not None:
            await self._lazy_session.close()

    async def read(self) -> EngineReading:
        """Return the report."""
        found = await self._call('GET', '/report', _REPORT_SECONDS)
        if found.status != HTTPStatus.OK:
            raise BackendCutError(f'status {found.status}')
        try:
            report = msgspec.json.decode(found.body, type=_Report)
            runs = tuple(_to_run(row) for row in report.runs)
        except (msgspec.DecodeError, IndexError) as error:
            raise BackendCutError(str(error)) from error
        leaves_in = report.leaves_ms
        leaving = leaves_in is not None or report.state != 'ready'
        return EngineReading(
            state=EngineState(
                running=report.running,
                queued=report.queued,
                used_tokens=report.kv_used,
                total_tokens=report.kv_total,
                leaving=leaving,
                unread_tokens=_count_unread(report, runs),
                generating=len(runs),
            ),
            runs=runs,
            leaves_in=leaves_in and leaves_in / _MILLISECONDS,
        )

    async def identify(self) -> str:
        """Return the engine's name for this start of it."""
        found = await self._call('GET', '/healthz', _REPORT_SECONDS)
        if not found.name:
            raise BackendCutError('the engine has no name')
        return found.name

    async def copy(self, run: EngineRun, target: str, last: bool) -> str:
        """Copy a generation to another engine and return the handle."""
        order = {'id': run.name, 'to': target, 'last': last}
        found = await self._call('POST', '/kv-move', _MOVE_SECONDS, order)
        if found.status == HTTPStatus.NOT_FOUND:
            raise NotRunError(ErrorKind.answer_expired, 'it has ended')
        if found.status != HTTPStatus.OK:
            raise NotRunError(ErrorKind.overloaded, f'status {found.status}')
        try:
            copied = msgspec.json.decode(found.body, type=_Copied)
        except msgspec.DecodeError as error:
            raise BackendCutError(str(error)) from error
        return str(copied.cache_handle)

    async def _call(
        self, method: str, path: str, seconds: float, order: object = None
    ) -> _Answer:
        if self._lazy_session is None:
            self._lazy_session = aiohttp.ClientSession()
        try:
            async with asyncio.timeout(seconds):
                async with self._lazy_session.request(
                    method, f'http://{self._address}{path}', json=order
                ) as response:
                    return _Answer(
                        response.status,
                        await response.read(),
                        response.headers.get(headers.BACKEND, ''),
                    )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise BackendCutError(type(error).__name__) from error


def _to_run(row: list[msgspec.Raw]) -> EngineRun:
    name, tokens, events = row[:3]
    return EngineRun(
        name=msgspec.json.decode(name, type=str),
        tokens=int(msgspec.json.decode(tokens, type=float)),
        events=int(msgspec.json.decode(events, type=float)),
    )


def _count_unread(report: _Report, runs: Sequence[EngineRun]) -> int:
    """Return the tokens of prompts that are being read or wait.

    Rows are those past their prompt; what a prompt will need is in use from
    its admission on.  Of those that wait only the first is told.
    """
    waiting = report.queued * report.next_token
    if report.running <= len(runs):
        return waiting
    generated = sum(run.tokens for run in runs)
    return max(0, report.kv_used - generated) + waiting


def _decode(raw: tuple[tuple[bytes, bytes], ...]) -> list[Header]:
    return [
        (name.decode('latin-1'), text.decode('latin-1')) for name, text in raw
    ]


def _check_answer(call: DirectCall, response: aiohttp.ClientResponse) -> None:
    """Raise unless the answer is one to this call, and whole so far.

    Back ends send stray answers: of another call, late, spoiled on the way,
    or without the seal that shows them to be the back end's own.
    """
    found = response.headers
    if response.status == HTTPStatus.MISDIRECTED_REQUEST:
        raise MisdirectedError(ErrorKind.no_endpoint, 'another one is there')
    if headers.NOT_RUN in found:
        raise NotRunError(ErrorKind.overloaded, f'status {response.status}')
    fault = _find_fault(call, response)
    if fault:
        raise BackendCutError(fault)


def _is_stray(call: DirectCall, response: aiohttp.ClientResponse) -> bool:
    """Tell whether an answer is another back end's, or to another call."""
    if response.status == HTTPStatus.MISDIRECTED_REQUEST:
        return True
    return response.headers.get(headers.ATTEMPT, call.name) != call.name


def _find_fault(call: DirectCall, response: aiohttp.ClientResponse) -> str:
    found = response.headers
    if response.status in _PROMISES:
        return f'status {response.status} without its mark'
    if _is_stray(call, response):
        return 'an answer to another call'
    if response.status not in _SUCCESSES:
        return ''
    if headers.SEAL not in found or headers.ATTEMPT not in found:
        return 'a success without its seal'
    if 'Content-Encoding' in found:
        return 'an encoded answer'
    return ''
