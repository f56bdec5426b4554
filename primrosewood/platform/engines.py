"""HTTP clients for calls to back ends and for the engine on the same VM."""

import asyncio
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from http import HTTPStatus

import aiohttp
import msgspec
from multidict import CIMultiDict
from yarl import URL

from ..backendstate import Backend, EngineState
from ..backpressure import AnswerNotice, Backpressure
from ..boundedanswers import (
    follow_body,
    make_connector,
    read_limited,
)
from ..clock import Clock
from ..directcalls import AnswerFraming, BackendAttempt, DirectCall, Header
from ..errors import (
    BackendCutError,
    ErrorKind,
    MisdirectedError,
    NotRunError,
    RunStoppedError,
    UnreachableError,
)
from ..httpclient import (
    is_final_status,
    parse_pause,
    parse_quantity,
    prevent_resend,
)
from ..httpserver import split_address
from ..movableengine import EngineAbsentError, EngineReading
from ..moves import EngineRun
from . import headers
from .numbers import BoundedInteger

__all__ = ('HttpMovableEngine', 'HttpTransport')

_SCHEME = 'http://'
_PROTOCOL = 'HTTP/'
_MS_PER_SECOND = 1000
# Back ends are a few milliseconds away.  If no connection is established in
# this time, the back end is down or unreachable; no byte of the call has been
# written by then.
_CONNECT_TIMEOUT_SECONDS = 0.3
_REPORT_TIMEOUT_SECONDS = 0.5
_MOVE_TIMEOUT_SECONDS = 2.0
# The stream of a stopped generation pauses meanwhile.
_STOP_TIMEOUT_SECONDS = 1.0
_MAX_HEADER_LINE_BYTES = 65536
_MAX_REPORT_BYTES = 4_194_304
# Statuses that usually mean the call did not run.  It may have run all the same
# unless the response also has the ``NOT_EXECUTED`` header.
_NOT_EXECUTED_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
_STATUSES_WITHOUT_BODY = frozenset(
    (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
)
_REPORT_ERRORS = (
    msgspec.DecodeError,
    IndexError,
    OverflowError,
    RecursionError,
    ValueError,
)
_SUCCESS_STATUSES = range(HTTPStatus.OK, HTTPStatus.MULTIPLE_CHOICES)
# aiohttp adds these headers where a caller sent none.
_LIBRARY_HEADERS = ('Accept', 'Accept-Encoding', 'Content-Type', 'User-Agent')


def _make_session() -> aiohttp.ClientSession:
    # No keep-alive: the back end may close an idle connection just as a call is
    # written to it, or the connection may deliver a late response to an earlier
    # call.  A new connection costs a millisecond.
    connector = make_connector(limit=0, force_close=True)
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=_CONNECT_TIMEOUT_SECONDS
        ),
        auto_decompress=False,
        skip_auto_headers=_LIBRARY_HEADERS,
        middlewares=(prevent_resend,),
        max_line_size=_MAX_HEADER_LINE_BYTES,
        max_field_size=_MAX_HEADER_LINE_BYTES,
    )


class _BackendResponse:
    """A back end's response, of which the status and headers have arrived."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response
        self._handler = follow_body(response)

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._response.status

    @property
    def headers(self) -> tuple[Header, ...]:
        """End-to-end headers, which are forwarded to the caller."""
        return headers.drop_hop_by_hop_headers(
            _decode_headers(self._response.raw_headers)
        )

    @property
    def framing(self) -> AnswerFraming:
        """What marks the end of the body."""
        received = self._response.headers
        if self._has_no_body:
            return AnswerFraming.length
        codings = ','.join(received.getall('Transfer-Encoding', ()))
        if codings:
            last_coding = codings.rpartition(',')[2].strip().lower()
            is_chunked = last_coding == 'chunked'
            return AnswerFraming.chunks if is_chunked else AnswerFraming.close
        if 'Content-Length' in received:
            return AnswerFraming.length
        return AnswerFraming.close

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises
        ------
        BackendCutError
            The connection failed before the body was complete.
        """
        try:
            async for part in self._response.content.iter_any():
                yield part
        except (aiohttp.ClientError, OSError) as error:
            raise BackendCutError(type(error).__name__) from error
        if self._handler is not None and self._handler.was_reset:
            raise BackendCutError('the answer was reset')

    @property
    def _has_no_body(self) -> bool:
        return (
            self._response.method == 'HEAD'
            or self._response.status in _STATUSES_WITHOUT_BODY
        )


class HttpTransport:
    """Sends calls to back ends, each over a new connection.

    Parameters
    ----------
    clock
        Its monotonic time is what the deadlines of calls refer to.
    sends_priorities
        Whether engines are told the priority of each call.
    on_rate_limit
        Called with a back end, the rate limit in its response (calls per
        second, None for no limit), and the monotonic time at which the call
        was sent.
    """

    def __init__(
        self,
        clock: Clock,
        on_rate_limit: Callable[[Backend, float | None, float], None],
        sends_priorities: bool = False,
    ) -> None:
        """Open no session before the first call."""
        self.sends_priorities = sends_priorities
        self._clock = clock
        self._on_rate_limit = on_rate_limit
        self._lazy_session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._lazy_session is not None:
            await self._lazy_session.close()

    @asynccontextmanager
    async def send(
        self, call: DirectCall, backend_attempt: BackendAttempt
    ) -> AsyncIterator[_BackendResponse]:
        """Send a call to a back end and yield its response.

        Leaving the context aborts a response that is still arriving.

        Raises
        ------
        NotRunError
            The call was not written, or the back end says it did not run.
        BackendCutError
            The connection failed, or the response is not a valid one to this
            call.
        """
        if self._lazy_session is None:
            self._lazy_session = _make_session()
        origin = _SCHEME + backend_attempt.backend.record.address
        sent_at = self._clock.monotonic()
        try:
            async with self._lazy_session.request(
                call.method,
                URL(origin + call.target, encoded=True),
                headers=self._make_headers(call, backend_attempt),
                data=call.body or None,
                allow_redirects=False,
            ) as response:
                self._report_rate_limit(
                    call, backend_attempt.backend, response, sent_at
                )
                self._heed_notice(backend_attempt.backend, response)
                _check_response(call, response)
                yield _BackendResponse(response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            # Without a connection no byte of the call was written.
            raise UnreachableError(ErrorKind.no_endpoint, 'no connection')
        except (aiohttp.ClientError, OSError) as error:
            raise BackendCutError(type(error).__name__) from error

    async def refuses_connections(self, backend: Backend) -> bool:
        """Return whether nothing listens at a back end's address any more.

        False if the back end is unreachable, which tells nothing of it.
        """
        host, port = split_address(backend.record.address)
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_SECONDS):
                _reader, writer = await asyncio.open_connection(host, port)
        except ConnectionRefusedError:
            return True
        except (TimeoutError, OSError):
            return False
        writer.close()
        return False

    def _heed_notice(
        self, backend: Backend, response: aiohttp.ClientResponse
    ) -> None:
        # Another back end gave this answer.
        if response.status == HTTPStatus.MISDIRECTED_REQUEST:
            return
        backend.backpressure.heed(
            backend.name, _parse_notice(response), self._clock.monotonic()
        )

    def _report_rate_limit(
        self,
        call: DirectCall,
        backend: Backend,
        response: aiohttp.ClientResponse,
        sent_at: float,
    ) -> None:
        if _is_mismatched(call, response):
            return
        text = response.headers.get(headers.RATE_LIMIT, '')
        rate = parse_quantity(text)
        # Only a valid success without the header shows that there is no limit;
        # refusals and failures may leave it out.
        valid_success = (
            response.status in _SUCCESS_STATUSES
            and not _find_response_fault(call, response)
        )
        if rate is not None or (valid_success and not text):
            self._on_rate_limit(backend, rate, sent_at)

    def _make_headers(
        self, call: DirectCall, backend_attempt: BackendAttempt
    ) -> CIMultiDict[str]:
        request_headers = CIMultiDict(call.headers)
        remaining = (
            min(call.caller_deadline, call.deadline) - self._clock.monotonic()
        )
        request_headers[headers.DEADLINE] = str(
            max(0, int(remaining * _MS_PER_SECOND))
        )
        request_headers[headers.EXPECTED_BACKEND] = backend_attempt.backend.name
        if call.organisation:
            request_headers[headers.ORGANISATION] = call.organisation
        if self.sends_priorities and backend_attempt.rank is not None:
            request_headers[headers.PRIORITY] = str(
                min(backend_attempt.rank, headers.LOWEST_PRIORITY)
            )
        if backend_attempt.after_event is not None:
            request_headers[headers.LAST_EVENT_ID] = str(
                backend_attempt.after_event
            )
        resumption = backend_attempt.resumption
        if resumption is not None:
            origin = f'{resumption.source}/{resumption.handle}'
            request_headers[headers.MOVED_FROM] = origin
            if resumption.last_event is not None:
                request_headers[headers.LAST_EVENT_ID] = str(
                    resumption.last_event
                )
        return request_headers


class _EngineReport(msgspec.Struct):
    """An engine's report of its own load, as it sends it."""

    # KV cache in tokens: what cannot be freed, and the total.  Cached prompts
    # can be freed and do not count as used.
    kv_used: BoundedInteger = 0
    kv_total: BoundedInteger = 0
    queued: BoundedInteger = 0
    # Includes requests in prefill.
    running: BoundedInteger = 0
    # Prompt tokens of the first request in the queue.
    next_token: BoundedInteger = 0
    state: str = 'ready'
    # Start time in Unix milliseconds.
    born: BoundedInteger = 0
    # Time until the engine is taken away, None if it has given no notice.
    leaves_ms: float | None = None
    # A row for each generation past prefill: name, tokens in the KV cache,
    # events sent, priority.
    runs: list[list[msgspec.Raw]] = []


class _CopyResult(msgspec.Struct):
    """Response to a request to copy a generation to another engine."""

    cache_handle: str | int


@dataclass(frozen=True, slots=True)
class _EngineResponse:
    """An engine's response to a request to its control interface."""

    status: int
    body: bytes
    engine_name: str
    notice: AnswerNotice


class HttpMovableEngine:
    """Client for the control interface of the engine on this VM."""

    def __init__(self, address: str, clock: Clock) -> None:
        """Open no session before the first request.

        Parameters
        ----------
        address
            The engine's address as ``host:port``.
        clock
            Times the pauses that the engine asks for.
        """
        self._address = address
        self._clock = clock
        self._backpressure = Backpressure()
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
        """Return the engine's current report."""
        response = await self._send_request(
            'GET', '/report', _REPORT_TIMEOUT_SECONDS
        )
        if response.status != HTTPStatus.OK:
            raise BackendCutError(f'status {response.status}')
        try:
            report = msgspec.json.decode(response.body, type=_EngineReport)
            runs = tuple(_parse_run(row) for row in report.runs)
        except _REPORT_ERRORS as error:
            raise BackendCutError(str(error)) from error
        leaves_in = report.leaves_ms
        leaving = (
            leaves_in is not None
            or report.state != 'ready'
            or response.notice.leaving
        )
        return EngineReading(
            state=EngineState(
                running=report.running,
                queued=report.queued,
                used_tokens=report.kv_used,
                total_tokens=report.kv_total,
                leaving=leaving,
                unread_tokens=_count_unprocessed_prompt_tokens(report, runs),
                generating=len(runs),
                queued_tokens=report.queued * report.next_token,
            ),
            runs=runs,
            leaves_in=leaves_in and leaves_in / _MS_PER_SECOND,
            boot=report.born,
        )

    async def identify(self) -> str:
        """Return the name of the engine, which changes with each start."""
        response = await self._send_request(
            'GET', '/healthz', _REPORT_TIMEOUT_SECONDS
        )
        if not response.engine_name:
            raise BackendCutError('the engine has no name')
        return response.engine_name

    async def copy(self, run: EngineRun, target: str, last: bool) -> str:
        """Copy a generation's KV cache to another engine.

        Parameters
        ----------
        run
            The generation.
        target
            Address of the other engine.
        last
            Whether this is the final copy, for which the generation stops.

        Returns
        -------
        str
            Handle under which the other engine resumes the generation.
        """
        payload = {'id': run.name, 'to': target, 'last': last}
        response = await self._send_request(
            'POST',
            '/kv-move',
            _STOP_TIMEOUT_SECONDS if last else _MOVE_TIMEOUT_SECONDS,
            payload,
        )
        if response.status == HTTPStatus.OK:
            return _parse_handle(response.body)
        if response.status == HTTPStatus.NOT_FOUND:
            raise NotRunError(ErrorKind.answer_expired, 'it does not run here')
        why = f'status {response.status}'
        if last and response.status == HTTPStatus.SERVICE_UNAVAILABLE:
            with suppress(BackendCutError):
                raise RunStoppedError(_parse_handle(response.body), why)
        raise NotRunError(ErrorKind.overloaded, why)

    async def _send_request(
        self, method: str, path: str, seconds: float, payload: object = None
    ) -> _EngineResponse:
        if self._lazy_session is None:
            self._lazy_session = aiohttp.ClientSession(
                connector=make_connector()
            )
        self._backpressure.require_no_pause(self._clock.monotonic())
        try:
            async with asyncio.timeout(seconds):
                async with self._lazy_session.request(
                    method, f'http://{self._address}{path}', json=payload
                ) as response:
                    return await self._read_response(response)
        except aiohttp.ClientConnectorError as error:
            if isinstance(error.os_error, ConnectionRefusedError):
                raise EngineAbsentError('nothing listens') from error
            raise BackendCutError(type(error).__name__) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise BackendCutError(type(error).__name__) from error

    async def _read_response(
        self, response: aiohttp.ClientResponse
    ) -> _EngineResponse:
        notice = _parse_notice(response)
        self._backpressure.heed(self._address, notice, self._clock.monotonic())
        return _EngineResponse(
            response.status,
            await read_limited(response, _MAX_REPORT_BYTES),
            response.headers.get(headers.BACKEND, ''),
            notice,
        )


def _parse_handle(body: bytes) -> str:
    try:
        handle = str(msgspec.json.decode(body, type=_CopyResult).cache_handle)
    except _REPORT_ERRORS as error:
        raise BackendCutError(str(error)) from error
    # It is sent in a header.
    if not handle.isascii() or not handle.isprintable() or not handle:
        raise BackendCutError('a copy without a valid handle')
    return handle


def _parse_run(row: list[msgspec.Raw]) -> EngineRun:
    name, tokens, events = row[:3]
    return EngineRun(
        name=msgspec.json.decode(name, type=str),
        tokens=int(msgspec.json.decode(tokens, type=float)),
        events=int(msgspec.json.decode(events, type=float)),
    )


def _count_unprocessed_prompt_tokens(
    report: _EngineReport, runs: Sequence[EngineRun]
) -> int:
    """Return the tokens of prompts in prefill or in the queue.

    An engine reserves KV cache for a whole prompt when it admits the request,
    so what the reported generations do not use belongs to prompts in prefill.
    The report has the size of the first prompt in the queue only; the others
    are assumed to be as long.
    """
    queued_tokens = report.queued * report.next_token
    if report.running <= len(runs):
        return queued_tokens
    generation_tokens = sum(run.tokens for run in runs)
    return max(0, report.kv_used - generation_tokens) + queued_tokens


def _decode_headers(raw: tuple[tuple[bytes, bytes], ...]) -> list[Header]:
    return [(_decode_header(name), _decode_header(text)) for name, text in raw]


def _decode_header(raw: bytes) -> str:
    try:
        return headers.decode_header(raw)
    except UnicodeDecodeError:
        # An answer with a changed header is better than none.
        return raw.decode('latin-1')


def _check_response(call: DirectCall, response: aiohttp.ClientResponse) -> None:
    """Raise unless a response is a valid one to this call.

    Responses may belong to another call, arrive late, be altered on the way,
    or lack the seal which proves that the back end itself made them.

    Raises
    ------
    NotRunError
        The response says that the call did not run.
    BackendCutError
        The response is not valid, so the call may have run.
    """
    if response.status == HTTPStatus.MISDIRECTED_REQUEST:
        raise MisdirectedError(ErrorKind.no_endpoint, 'another one is there')
    refuses = headers.NOT_EXECUTED in response.headers
    if refuses and is_final_status(response.status):
        raise NotRunError(
            ErrorKind.overloaded,
            f'status {response.status}',
            retry_seconds=parse_pause(response),
        )
    fault = _find_response_fault(call, response)
    if fault:
        raise BackendCutError(fault)


def _parse_notice(response: aiohttp.ClientResponse) -> AnswerNotice:
    leaving = response.headers.get(headers.LEAVING, '').strip()
    return AnswerNotice(parse_pause(response), leaving not in {'', '0'})


def _is_mismatched(call: DirectCall, response: aiohttp.ClientResponse) -> bool:
    """Tell whether a response is another back end's or to another call."""
    if response.status == HTTPStatus.MISDIRECTED_REQUEST:
        return True
    named = response.headers.getall(headers.ATTEMPT_ID, [call.name])
    # A head that was cut is read as one with the head behind it.
    seals = response.headers.getall(headers.RESPONSE_SEAL, ())
    joined = len(seals) > 1 or _PROTOCOL in (response.reason or '')
    return joined or named != [call.name]


def _find_response_fault(
    call: DirectCall, response: aiohttp.ClientResponse
) -> str:
    """Return why a response is not valid, empty if it is."""
    received = response.headers
    status_fault = _find_status_fault(response.status)
    if status_fault:
        return status_fault
    if _is_mismatched(call, response):
        return 'an answer to another call'
    if response.status not in _SUCCESS_STATUSES:
        return ''
    if (
        headers.RESPONSE_SEAL not in received
        or headers.ATTEMPT_ID not in received
    ):
        return 'a success without its seal'
    if 'Content-Encoding' in received:
        return 'an encoded answer'
    return ''


def _find_status_fault(status: int) -> str:
    """Return why a status without the mark of a refusal is not valid."""
    if not is_final_status(status):
        return f'status {status} is none'
    if status in _NOT_EXECUTED_STATUSES:
        return f'status {status} without its mark'
    return ''
