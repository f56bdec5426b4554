"""Callers' HTTP on the platform: one request in, its answer out."""

import asyncio
from collections.abc import Callable
from functools import partial
from http import HTTPStatus

from aiohttp import web
from multidict import CIMultiDict
from yarl import URL

from ..clock import Clock, RandomSource
from ..directcalls import AnswerHead, DirectCall, Header
from ..errors import ErrorKind, RequestFailedError
from ..logs import log_decision
from ..metrics import Metrics
from ..process import log_failure
from ..relay import Relay
from ..routes import Route, RouteTable, TableHolder, choose_target
from ..stopping import StopWindow
from ..timers import TimerGroup
from . import headers

__all__ = ('Front', 'answer_ready')

_BEARER = 'Bearer '
_SECONDS_TO_RETURN = 0.5
# For a body of the largest size that operators allow, 4 MB, over a slow line.
_BODY_SECONDS = 10.0
# Callers wait as they are told up to this share of the time they have left.
_HEEDED_SHARE = 1 / 3


class Front:
    """Takes callers' requests and writes their answers.

    Attributes
    ----------
    stop
        The planned stop; once it has begun, connections end with their
        answers.
    """

    def __init__(
        self,
        relay: Relay,
        tables: TableHolder,
        clock: Clock,
        random: RandomSource,
        metrics: Metrics,
        stop: StopWindow,
    ) -> None:
        """Take the relay that answers."""
        self.stop = stop
        self._relay = relay
        self._tables = tables
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._active = 0
        self._bodies = TimerGroup()

    @property
    def active(self) -> int:
        """Number of requests in progress."""
        return self._active

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request.

        Where the caller's connection has ended nobody reads what is returned;
        the HTTP library wants a response that it can drop.
        """
        self._active += 1
        try:
            return await self._answer_or_refuse(request)
        except ConnectionAbortedError:
            # Cut by us, which is logged with its cause.
            return web.Response()
        except ConnectionError:
            self._note_left(request)
            return web.Response()
        except asyncio.CancelledError:
            self._note_left(request)
            raise
        finally:
            self._active -= 1

    def end_calls(self) -> None:
        """End what is in progress and refuse what still comes.

        The process ends now.  Whoever was read and gets no word cannot tell
        whether to ask again.
        """
        self.stop.end(self._clock.monotonic())
        self._bodies.end()
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
            log_failure('request', error)
            failed = RequestFailedError(ErrorKind.internal)
            return self._refuse(request, failed)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived = self._clock.monotonic()
        call = await self._read_call(request, arrived)
        # The body may have taken its time.
        judged = self._clock.monotonic()
        if self.stop.begun and not self.stop.admits(
            call, self._relay.estimate_answer_tokens(call), judged
        ):
            raise RequestFailedError(
                ErrorKind.leaving,
                retry_seconds=self._return_seconds(call, judged),
            )
        writer = _AnswerWriter(
            request,
            self._close_after,
            partial(self.stop.must_buffer, call, judged),
        )
        try:
            await self._relay.answer(call, writer)
        except RequestFailedError:
            if not writer.begun:
                raise
            writer.abort()
        return await writer.end()

    async def _read_call(
        self, request: web.BaseRequest, arrived: float
    ) -> DirectCall:
        table = self._tables.table
        if table is None:
            raise RequestFailedError(ErrorKind.settings_missing)
        raw = _raw_headers(request)
        self._check_head(raw, table)
        name = headers.find_header(raw, headers.ATTEMPT)
        if not name or not _is_carried_unchanged(request.raw_path):
            raise RequestFailedError(ErrorKind.invalid_request)
        body = await self._read_body(request, table.limits.body_bytes)
        # A configuration may have come while the body did; what is decided
        # now must not be older than what was decided a moment ago.
        table = self._tables.table
        route = _find_route(request, table)
        organisation = _identify(raw, route, table)
        patience = headers.parse_deadline(
            headers.find_header(raw, headers.DEADLINE)
        )
        deadline = arrived + route.timeout
        target = choose_target(route, self._random.random())
        return DirectCall(
            name=name,
            method=request.method,
            target=request.raw_path,
            headers=headers.keep_caller_headers(raw),
            body=body,
            route=route,
            service=target,
            organisation=organisation,
            arrived=arrived,
            deadline=deadline,
            patience=deadline if patience is None else arrived + patience,
            size=headers.parse_size(raw) if route.streaming else None,
        )

    async def _read_body(self, request: web.BaseRequest, most: int) -> bytes:
        if not request.body_exists:
            return b''
        # The HTTP library says nothing of a body whose framing breaks
        # halfway: it never ends.  One that is slow on purpose holds memory as
        # long.
        try:
            async with self._bodies.limit(_BODY_SECONDS):
                return await _join_body(request, most)
        except TimeoutError as error:
            raise RequestFailedError(ErrorKind.request_timeout) from error

    def _check_head(self, raw: list[Header], table: RouteTable) -> None:
        if _size_of(raw) > table.limits.header_bytes:
            raise RequestFailedError(ErrorKind.head_too_large)

    def _refuse(
        self, request: web.BaseRequest, error: RequestFailedError
    ) -> web.Response:
        answer = error.answer
        name = _name_of(request)
        log_decision(
            'refused',
            request=name,
            kind=error.kind.value,
            status=int(answer.status),
            ran=error.ran.value,
            version=self._tables.version,
        )
        self._metrics.count('refused', error.kind.value)
        kind = error.kind.value
        response = web.Response(status=answer.status, text=f'{kind}\n')
        if answer.retry:
            seconds = error.retry_seconds or _SECONDS_TO_RETURN
            response.headers['Retry-After'] = str(round(seconds, 2))
        if name:
            response.headers[headers.ATTEMPT] = name
        self._close_after(response)
        return response

    def _note_left(self, request: web.BaseRequest) -> None:
        log_decision('caller_left', request=_name_of(request))
        self._metrics.count('callers_left')

    def _return_seconds(self, call: DirectCall, now: float) -> float:
        heeded = max(0, call.patience - now) * _HEEDED_SHARE
        return min(self.stop.seconds_until_retry(now), heeded)

    def _close_after(self, response: web.StreamResponse) -> None:
        if self.stop.begun:
            response.force_close()


class _AnswerWriter:
    """Writes one answer to its caller.

    Where the answer must be held, it is kept until it is whole.
    """

    def __init__(
        self,
        request: web.BaseRequest,
        close_after: Callable[[web.StreamResponse], None],
        must_buffer: Callable[[], bool],
    ) -> None:
        self._request = request
        self._close_after = close_after
        self._must_hold = must_buffer
        self._response: web.StreamResponse | None = None
        self._held: list[bytes] = []

    @property
    def begun(self) -> bool:
        return self._response is not None and self._response.prepared

    async def begin(self, head: AnswerHead) -> None:
        response = web.StreamResponse(
            status=head.status, headers=CIMultiDict(head.headers)
        )
        if head.length is not None:
            response.content_length = head.length
        self._close_after(response)
        self._response = response
        if not self._must_hold():
            await response.prepare(self._request)

    async def write(self, body: bytes) -> None:
        if not self.begun:
            self._held.append(body)
        elif body:
            await self._response.write(body)

    def abort(self) -> None:
        """Cut the connection: half an answer must not look complete."""
        transport = self._request.transport
        if transport is not None:
            transport.abort()
        raise ConnectionAbortedError

    async def end(self) -> web.StreamResponse:
        if not self.begun:
            await self._response.prepare(self._request)
            await self._response.write(b''.join(self._held))
        await self._response.write_eof()
        return self._response


async def answer_ready(
    is_ready: Callable[[], bool], _request: web.BaseRequest
) -> web.Response:
    """Answer the balancer's question whether to send callers here."""
    if is_ready():
        return web.Response(text='ready\n')
    return web.Response(
        status=HTTPStatus.SERVICE_UNAVAILABLE, text='not ready\n'
    )


def _is_carried_unchanged(target: str) -> bool:
    """Tell whether the HTTP library would send a target as it came.

    It drops a fragment and a lone question mark; a call that would reach the
    back end under another path is refused.
    """
    url = URL(f'http://host{target}', encoded=True)
    return target.startswith('/') and url.raw_path_qs == target


def _name_of(request: web.BaseRequest) -> str:
    return request.headers.get(headers.ATTEMPT, '')


def _raw_headers(request: web.BaseRequest) -> list[Header]:
    return [
        (name.decode('latin-1'), text.decode('latin-1'))
        for name, text in request.raw_headers
    ]


async def _join_body(request: web.BaseRequest, most: int) -> bytes:
    parts = []
    size = 0
    async for part in request.content.iter_any():
        size += len(part)
        if size > most:
            raise RequestFailedError(ErrorKind.too_large)
        parts.append(part)
    return b''.join(parts)


def _size_of(raw: list[Header]) -> int:
    return sum(len(name) + len(text) for name, text in raw)


def _find_route(request: web.BaseRequest, table: RouteTable) -> Route:
    path = request.raw_path.partition('?')[0]
    host = request.headers.get('Host', '').partition(':')[0]
    route = table.find(host.lower(), path)
    if route is None:
        raise RequestFailedError(ErrorKind.not_found)
    return route


def _identify(raw: list[Header], route: Route, table: RouteTable) -> str:
    """Return the organisation of a caller's key, empty without one."""
    if not table.organisations:
        return ''
    text = headers.find_header(raw, 'Authorization')
    found = table.organisations.get(text.removeprefix(_BEARER).strip())
    if found is None and not route.anonymous:
        raise RequestFailedError(ErrorKind.unauthenticated)
    return found or ''
