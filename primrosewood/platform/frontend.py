"""HTTP frontend of an entry: reads callers' requests and writes responses."""

import asyncio
from collections.abc import Callable
from functools import partial
from http import HTTPStatus

from aiohttp import web
from multidict import CIMultiDict
from yarl import URL

from ..bodymemory import BodyMemory, HeldBody
from ..clock import Clock, RandomSource
from ..connectionends import (
    abort_connection,
    close_when_sent,
    reset_unless_complete,
)
from ..directcalls import AnswerHead, DirectCall, Header
from ..errors import ErrorKind, RequestFailedError
from ..identity import parse_bearer_key
from ..logs import log_decision
from ..metrics import Metrics
from ..process import log_unexpected_error
from ..relay import Relay
from ..routes import Route, RouteTable, TableHolder, choose_target
from ..stopping import StopWindow
from ..timers import TimerGroup
from . import headers
from .marks import read_marks

__all__ = ('HttpFrontend', 'answer_readiness_probe')

_DEFAULT_RETRY_SECONDS = 0.5
# Enough for the largest body that operators allow, 4 MB, over a slow line.
_BODY_TIMEOUT_SECONDS = 10.0
# Callers follow a Retry-After of up to this share of their remaining time.
_MAX_RETRY_WAIT_SHARE = 1 / 3


class HttpFrontend:
    """Handles callers' HTTP requests.

    A request is checked against the operators' routes and limits, forwarded
    by the relay, or refused.

    Attributes
    ----------
    stop
        State of the planned stop.  Once the stop has begun, each connection
        is closed after its current response.
    """

    def __init__(
        self,
        relay: Relay,
        tables: TableHolder,
        clock: Clock,
        random: RandomSource,
        metrics: Metrics,
        stop: StopWindow,
        body_memory_bytes: int,
        mark_key: str = '',
    ) -> None:
        """Start with no requests in progress.

        Parameters
        ----------
        relay
            Forwards calls to back ends.
        tables
            Holds the operators' routes.
        clock
            Its monotonic time is what deadlines refer to.
        random
            Chooses between the services that share a route.
        metrics
            Counts refusals and disconnects.
        stop
            State of the planned stop.
        body_memory_bytes
            Largest sum of the bodies of requests that are held.
        mark_key
            Keys the digests in the marks of calls.
        """
        self.stop = stop
        self._bodies = BodyMemory(body_memory_bytes)
        self._relay = relay
        self._tables = tables
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._active = 0
        self._body_timers = TimerGroup()
        self._mark_key = mark_key

    @property
    def active(self) -> int:
        """Number of requests in progress."""
        return self._active

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request.

        aiohttp requires a response even when the caller has disconnected; it
        is then discarded.
        """
        self._active += 1
        try:
            return await self._answer_or_refuse(request)
        except ConnectionAbortedError:
            # This process aborted the connection and has logged the cause.
            return web.Response()
        except ConnectionError:
            self._record_disconnect(request)
            abort_connection(request.transport)
            return web.Response()
        except asyncio.CancelledError:
            self._record_disconnect(request)
            raise
        finally:
            self._active -= 1

    def terminate_calls(self) -> None:
        """End all calls in progress and refuse new ones.

        Called just before the process exits.  A caller that still waits for
        its response gets an error: without one it could not tell whether it
        is safe to retry.
        """
        self.stop.end(self._clock.monotonic())
        self._body_timers.end()
        self._relay.stop()

    async def _answer_or_refuse(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        try:
            return await self._answer(request)
        except RequestFailedError as error:
            return self._refuse(request, error)
        except ConnectionError:
            raise
        except Exception as error:
            log_unexpected_error('request', error)
            internal_error = RequestFailedError(ErrorKind.internal)
            return self._refuse(request, internal_error)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        with self._bodies.open(_get_attempt_id(request)) as held:
            return await self._answer_call(request, held)

    async def _answer_call(
        self, request: web.BaseRequest, held: HeldBody
    ) -> web.StreamResponse:
        arrived = self._clock.monotonic()
        call = await self._read_call(request, arrived, held)
        # Reading the body may have taken long, so the time is read again.
        admission_time = self._clock.monotonic()
        if self.stop.begun and not self.stop.admits(
            call,
            self._relay.estimate_answer_tokens(call),
            admission_time,
            self._relay.find_longest_answer(call),
        ):
            raise RequestFailedError(
                ErrorKind.leaving,
                retry_seconds=self._choose_retry_delay(call, admission_time),
            )
        writer = _AnswerWriter(
            request,
            self._close_if_stopping,
            partial(self.stop.must_buffer, call, admission_time),
        )
        try:
            await self._relay.answer(call, writer)
        except ConnectionError:
            raise
        except Exception as error:
            if not writer.begun:
                raise
            _log_unless_expected(error)
            writer.abort()
        return await writer.end()

    async def _read_call(
        self, request: web.BaseRequest, arrived: float, held: HeldBody
    ) -> DirectCall:
        table = self._tables.table
        if table is None:
            raise RequestFailedError(ErrorKind.settings_missing)
        raw_headers = _decode_headers(request)
        self._check_head_size(raw_headers, table)
        attempt_id = headers.find_header(raw_headers, headers.ATTEMPT_ID)
        if not attempt_id or not _is_forwarded_unchanged(request.raw_path):
            raise RequestFailedError(ErrorKind.invalid_request)
        body = await self._read_body(request, table.limits.body_bytes, held)
        # A new route table may have arrived while the body was read.  Using the
        # old one could contradict decisions that are already based on the new.
        table = self._tables.table
        route = _find_route(request, table)
        organisation = _authenticate(raw_headers, route, table)
        timeout_seconds = headers.parse_deadline(
            headers.find_header(raw_headers, headers.DEADLINE)
        )
        deadline = arrived + route.timeout
        service = choose_target(route, self._random.random())
        if service is None:
            raise RequestFailedError(ErrorKind.no_endpoint)
        return DirectCall(
            name=attempt_id,
            method=request.method,
            target=request.raw_path,
            headers=headers.filter_caller_headers(raw_headers),
            body=body,
            route=route,
            service=service,
            organisation=organisation,
            arrived=arrived,
            deadline=deadline,
            caller_deadline=(
                deadline
                if timeout_seconds is None
                else arrived + timeout_seconds
            ),
            size=headers.parse_size(raw_headers) if route.streaming else None,
            priority=table.priorities.find_rank(route.name, organisation),
            marks=read_marks(request, raw_headers, body, self._mark_key),
        )

    async def _read_body(
        self, request: web.BaseRequest, max_bytes: int, held: HeldBody
    ) -> bytes:
        if not request.body_exists:
            return b''
        declared_bytes = request.content_length
        if declared_bytes is not None:
            if declared_bytes > max_bytes:
                raise RequestFailedError(ErrorKind.too_large)
            await held.reserve(declared_bytes)
        # aiohttp reports no error when the framing of a body is invalid; the
        # body just never ends.  A body that is sent slowly on purpose also
        # holds memory.
        try:
            async with self._body_timers.limit(_BODY_TIMEOUT_SECONDS):
                return await _read_limited_body(request, max_bytes, held)
        except TimeoutError as error:
            raise RequestFailedError(ErrorKind.request_timeout) from error

    def _check_head_size(
        self, raw_headers: list[Header], table: RouteTable
    ) -> None:
        if _count_header_bytes(raw_headers) > table.limits.header_bytes:
            raise RequestFailedError(ErrorKind.head_too_large)

    def _refuse(
        self, request: web.BaseRequest, error: RequestFailedError
    ) -> web.Response:
        answer = error.answer
        attempt_id = _get_attempt_id(request)
        log_decision(
            'refused',
            request=attempt_id,
            kind=error.kind.value,
            status=int(answer.status),
            ran=error.ran.value,
            version=self._tables.version,
        )
        self._metrics.count('refused', error.kind.value)
        kind = error.kind.value
        response = web.Response(status=answer.status, text=f'{kind}\n')
        if answer.retry:
            seconds = error.retry_seconds or _DEFAULT_RETRY_SECONDS
            response.headers['Retry-After'] = str(round(seconds, 2))
        if attempt_id:
            response.headers[headers.ATTEMPT_ID] = attempt_id
        self._close_if_stopping(response)
        return response

    def _record_disconnect(self, request: web.BaseRequest) -> None:
        log_decision('caller_left', request=_get_attempt_id(request))
        self._metrics.count('callers_left')

    def _choose_retry_delay(self, call: DirectCall, now: float) -> float:
        longest_accepted = (
            max(0, call.caller_deadline - now) * _MAX_RETRY_WAIT_SHARE
        )
        return min(self.stop.seconds_until_retry(now), longest_accepted)

    def _close_if_stopping(self, response: web.StreamResponse) -> None:
        if self.stop.begun:
            response.force_close()


class _AnswerWriter:
    """Writes one response to its caller.

    If ``must_buffer`` says so when the response begins, nothing is sent until
    the response is complete.
    """

    def __init__(
        self,
        request: web.BaseRequest,
        close_if_stopping: Callable[[web.StreamResponse], None],
        must_buffer: Callable[[], bool],
    ) -> None:
        self._request = request
        self._close_if_stopping = close_if_stopping
        self._must_buffer = must_buffer
        self._response: web.StreamResponse | None = None
        self._buffered: list[bytes] = []

    @property
    def begun(self) -> bool:
        return self._response is not None and self._response.prepared

    async def begin(self, head: AnswerHead) -> None:
        response = web.StreamResponse(
            status=head.status, headers=CIMultiDict(head.headers)
        )
        if head.length is not None:
            response.content_length = head.length
        self._close_if_stopping(response)
        self._response = response
        if not self._must_buffer():
            await self._send_head()

    async def write(self, body: bytes) -> None:
        if not self.begun:
            self._buffered.append(body)
        elif body:
            await self._response.write(body)

    def abort(self) -> None:
        """Abort the connection, so that a partial response looks incomplete.

        Raises
        ------
        ConnectionAbortedError
            In any case, as there is no response to return.
        """
        abort_connection(self._request.transport)
        raise ConnectionAbortedError

    async def end(self) -> web.StreamResponse:
        if not self.begun:
            await self._send_head()
            await self._response.write(b''.join(self._buffered))
        await self._response.write_eof()
        await close_when_sent(self._request)
        return self._response

    async def _send_head(self) -> None:
        reset_unless_complete(self._request)
        await self._response.prepare(self._request)


async def answer_readiness_probe(
    is_ready: Callable[[], bool], _request: web.BaseRequest
) -> web.Response:
    """Answer the load balancer's readiness probe."""
    if is_ready():
        return web.Response(text='ready\n')
    return web.Response(
        status=HTTPStatus.SERVICE_UNAVAILABLE, text='not ready\n'
    )


def _log_unless_expected(error: Exception) -> None:
    if not isinstance(error, RequestFailedError):
        log_unexpected_error('request', error)


def _is_forwarded_unchanged(target: str) -> bool:
    """Tell whether aiohttp would forward a request target unchanged.

    It drops a fragment and a trailing question mark without a query.  A call
    that would reach the back end under another path is refused instead.
    """
    url = URL(f'http://host{target}', encoded=True)
    return target.startswith('/') and url.raw_path_qs == target


def _get_attempt_id(request: web.BaseRequest) -> str:
    return request.headers.get(headers.ATTEMPT_ID, '')


def _decode_headers(request: web.BaseRequest) -> list[Header]:
    try:
        return [
            (headers.decode_header(name), headers.decode_header(text))
            for name, text in request.raw_headers
        ]
    except UnicodeDecodeError as error:
        raise RequestFailedError(ErrorKind.invalid_request) from error


async def _read_limited_body(
    request: web.BaseRequest, max_bytes: int, held: HeldBody
) -> bytes:
    parts = []
    size = 0
    async for part in request.content.iter_any():
        size += len(part)
        if size > max_bytes:
            raise RequestFailedError(ErrorKind.too_large)
        held.grow_to(size)
        parts.append(part)
    return b''.join(parts)


def _count_header_bytes(raw_headers: list[Header]) -> int:
    return sum(len(name) + len(text) for name, text in raw_headers)


def _find_route(request: web.BaseRequest, table: RouteTable) -> Route:
    path = request.raw_path.partition('?')[0]
    host = request.headers.get('Host', '').partition(':')[0]
    route = table.find(host.lower(), path)
    if route is None:
        raise RequestFailedError(ErrorKind.not_found)
    return route


def _authenticate(
    raw_headers: list[Header], route: Route, table: RouteTable
) -> str:
    """Return the organisation that a caller's API key belongs to.

    Empty where the operators require no keys, and for callers of an anonymous
    route that send no known key.
    """
    if not table.keys_required:
        return ''
    key = parse_bearer_key(headers.find_header(raw_headers, 'Authorization'))
    organisation = table.organisations.get(key) if key else None
    if organisation is None and not route.anonymous:
        raise RequestFailedError(ErrorKind.unauthenticated)
    return organisation or ''
