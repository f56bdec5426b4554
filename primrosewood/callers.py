"""HTTP interface for callers: OpenAI-compatible and plain services."""

import asyncio
import time
from contextlib import aclosing
from http import HTTPStatus
from typing import Any

import msgspec
from aiohttp import web

from .answers import AnswerFormat, ChatFormat, CompletionFormat
from .callerbodies import (
    decode_body,
    extract_engine_fields,
    read_body,
    render_chat,
)
from .clock import Clock
from .dispatch import Dispatcher
from .errors import ErrorKind, Ran, RequestFailedError
from .eventwriter import EventWriter
from .gen_caller import ChatRequest, CompletionRequest
from .gen_process import Limits
from .httperrors import convert_http_exception, error_response
from .identity import require_bearer_key
from .logs import log_event
from .metrics import Metrics
from .process import log_unexpected_error
from .requests import Ended, PlainResponse, Request, Restarted, TokenChunk
from .resume import parse_event_id
from .settings import Organisation, SettingsStore

__all__ = ('CallerApi',)

_DEFAULT_MAX_TOKENS = 4096
_MAX_KEY_LENGTH = 200
_MAX_TIMEOUT_SECONDS = 86_400


class CallerApi:
    """HTTP handlers of the port that callers use.

    Attributes
    ----------
    ready
        Whether the load balancer may send requests here.
    leaving
        Whether the entry drains: each connection closes after its response.
    refusing
        Whether new requests are refused.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        store: SettingsStore,
        clock: Clock,
        limits: Limits,
        signing_key: str,
        metrics: Metrics,
    ) -> None:
        """Start not ready, with no active requests."""
        self._dispatcher = dispatcher
        self._store = store
        self._clock = clock
        self._limits = limits
        self._signing_key = signing_key
        self._metrics = metrics
        self._active = 0
        self._unanswered: set[asyncio.Task] = set()
        self._failing_unanswered = False
        self.ready = False
        self.leaving = False
        self.refusing = False

    @property
    def active(self) -> int:
        """Number of requests in flight."""
        return self._active

    def make_app(self) -> web.Application:
        """Return the web application with all routes."""
        app = web.Application(
            client_max_size=self._limits.body_bytes,
            middlewares=[self._track_request],
        )
        app.router.add_post('/v1/chat/completions', self._chat)
        app.router.add_post('/v1/completions', self._complete)
        app.router.add_get('/v1/models', self._list_models)
        app.router.add_route(
            '*', '/services/{name}/{path:.*}', self._call_service
        )
        app.router.add_get('/healthz', self._show_health)
        app.router.add_get('/readyz', self._show_ready)
        app.router.add_get('/metrics', self._show_metrics)
        app.on_response_prepare.append(self._on_response_prepare)
        return app

    def fail_unanswered(self) -> None:
        """Answer all requests without a response with an error.

        Used when the entry stops. A connection that just closes would not
        show the caller whether the request may have run and may be retried.
        A stream that has started is cut instead: its caller resumes it
        through another entry.
        """
        self._failing_unanswered = True
        for task in self._unanswered:
            task.cancel()

    async def _on_response_prepare(
        self, _request: web.Request, response: web.StreamResponse
    ) -> None:
        self._unanswered.discard(asyncio.current_task())
        if self.leaving:
            # The load balancer does not move open connections, so the next
            # request on this one would reach an entry that refuses it.
            response.force_close()
            response.headers['Connection'] = 'close'

    @web.middleware
    async def _track_request(self, request: web.Request, handler) -> Any:
        started = self._clock.monotonic()
        task = asyncio.current_task()
        self._active += 1
        self._unanswered.add(task)
        try:
            return await self._answer_or_refuse(request, handler)
        except asyncio.CancelledError:
            if not self._failing_unanswered or task not in self._unanswered:
                raise
            task.uncancel()
            return self._to_error_response(_unanswered_error(request))
        finally:
            self._active -= 1
            self._unanswered.discard(task)
            self._metrics.record('request', self._clock.monotonic() - started)

    async def _answer_or_refuse(self, request: web.Request, handler) -> Any:
        try:
            return await handler(request)
        except RequestFailedError as error:
            return self._to_error_response(error)
        except web.HTTPException as error:
            return error_response(convert_http_exception(error))
        except Exception as error:
            log_unexpected_error(request.path, error)
            return error_response(RequestFailedError(ErrorKind.internal))

    def _to_error_response(self, error: RequestFailedError) -> web.Response:
        self._metrics.count('errors', error.kind.value)
        return error_response(error)

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        organisation = self._identify(request)
        body = await read_body(request)
        parsed = decode_body(body, ChatRequest)
        prompt = render_chat(parsed.messages)
        max_tokens = parsed.max_completion_tokens or parsed.max_tokens
        parameters = _GenerationParameters(
            parsed.model,
            prompt,
            max_tokens or _DEFAULT_MAX_TOKENS,
            parsed.stream,
        )
        generation = self._make_generation_request(
            request, organisation, parameters, body
        )
        answer_format = ChatFormat(generation.name, parsed.model, time.time())
        return await self._generate(request, generation, answer_format, parsed)

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        organisation = self._identify(request)
        body = await read_body(request)
        parsed = decode_body(body, CompletionRequest)
        parameters = _GenerationParameters(
            parsed.model, parsed.prompt, parsed.max_tokens, parsed.stream
        )
        generation = self._make_generation_request(
            request, organisation, parameters, body
        )
        answer_format = CompletionFormat(
            generation.name, parsed.model, time.time()
        )
        return await self._generate(request, generation, answer_format, parsed)

    def _make_generation_request(
        self,
        request: web.Request,
        organisation: Organisation,
        parameters: '_GenerationParameters',
        body: bytes,
    ) -> Request:
        service = self._store.find_model(organisation.team, parameters.model)
        if service is None:
            raise RequestFailedError(ErrorKind.not_found, 'no such model')
        return Request(
            organisation=organisation,
            service=service,
            deadline=self._deadline(request, organisation.team, service),
            streamed=parameters.stream,
            prompt=parameters.prompt,
            max_tokens=parameters.max_tokens,
            body=extract_engine_fields(body),
            key=_idempotency_key(request),
        )

    async def _generate(
        self,
        request: web.Request,
        generation: Request,
        answer_format: AnswerFormat,
        parsed: Any,
    ) -> web.StreamResponse:
        if not generation.streamed:
            return await self._answer_whole(generation, answer_format)
        include_usage = bool(
            parsed.stream_options and parsed.stream_options.include_usage
        )
        event_id = request.headers.get('Last-Event-ID', '')
        events = self._open_events(generation, event_id)
        return await self._answer_stream(
            request, events, answer_format, include_usage
        )

    def _open_events(self, generation: Request, event_id: str):
        if not event_id:
            return self._dispatcher.answer(generation)
        point = parse_event_id(
            event_id, self._signing_key, generation.organisation.full_name
        )
        return self._dispatcher.resume(generation, point)

    async def _answer_whole(
        self, generation: Request, answer_format: AnswerFormat
    ) -> web.Response:
        pieces: list[str] = []
        async with aclosing(self._dispatcher.answer(generation)) as events:
            async for event in events:
                if isinstance(event, Restarted):
                    pieces.clear()
                elif isinstance(event, TokenChunk):
                    pieces.extend(event.pieces)
                elif isinstance(event, Ended):
                    ended = event
        body = answer_format.full_response(''.join(pieces), ended)
        return web.Response(body=body, content_type='application/json')

    async def _answer_stream(
        self,
        request: web.Request,
        events,
        answer_format: AnswerFormat,
        include_usage: bool,
    ) -> web.StreamResponse:
        writer = EventWriter(request, answer_format, include_usage)
        async with aclosing(events):
            try:
                await self._write_events(writer, events)
            except ConnectionError:
                # The caller disconnected; it may resume through any entry.
                log_event('caller_left', request=answer_format.name)
        return await writer.end()

    async def _write_events(self, writer: EventWriter, events) -> None:
        try:
            async for event in events:
                await writer.write_event(event)
        except ConnectionError:
            raise
        except Exception as error:
            if not writer.started:
                raise
            failure = _to_request_error(error)
            self._metrics.count('errors', failure.kind.value)
            await writer.write_error(failure)

    async def _call_service(self, request: web.Request) -> web.Response:
        organisation = self._identify(request)
        name = request.match_info['name']
        service = self._store.find_service(organisation.team, name)
        if service is None or service.kind != 'plain':
            raise RequestFailedError(ErrorKind.not_found)
        call = Request(
            organisation=organisation,
            service=name,
            deadline=self._deadline(request, organisation.team, name),
            method=request.method,
            path=_backend_path(request),
            content_type=request.headers.get('Content-Type', ''),
            body=await read_body(request),
            key=_idempotency_key(request),
            repeatable=request.method in service.repeatable_methods,
        )
        async with aclosing(self._dispatcher.answer(call)) as events:
            async for event in events:
                if isinstance(event, PlainResponse):
                    return _to_response(event)
        raise RequestFailedError(ErrorKind.outcome_unknown)

    def _identify(self, request: web.Request) -> Organisation:
        if self.refusing:
            raise _refusal_before_claim_read(request, ErrorKind.leaving)
        if not self._store.ready:
            raise _refusal_before_claim_read(
                request, ErrorKind.settings_missing
            )
        key = require_bearer_key(request.headers.get('Authorization', ''))
        return self._store.identify(key)

    def _deadline(self, request: web.Request, team: str, service: str) -> float:
        header = request.headers.get('X-Request-Timeout')
        if header is None:
            seconds = self._store.find_service(team, service).deadline_seconds
        else:
            seconds = _parse_timeout(header)
        return self._clock.monotonic() + seconds

    async def _list_models(self, request: web.Request) -> web.Response:
        organisation = self._identify(request)
        services = self._store.document_of(organisation.team).services
        models = [
            {
                'id': service.model or name,
                'object': 'model',
                'created': 0,
                'owned_by': organisation.team,
            }
            for name, service in services.items()
            if service.kind == 'model'
        ]
        return web.json_response({'object': 'list', 'data': models})

    async def _show_health(self, _request: web.Request) -> web.Response:
        return web.Response(text='ok\n')

    async def _show_ready(self, _request: web.Request) -> web.Response:
        if self.ready and self._store.ready:
            return web.Response(text='ready\n')
        return web.Response(
            status=HTTPStatus.SERVICE_UNAVAILABLE, text='not ready\n'
        )

    async def _show_metrics(self, _request: web.Request) -> web.Response:
        return web.Response(body=self._metrics.expose())


class _GenerationParameters(msgspec.Struct):
    """Parameters that chat and text completions have in common."""

    model: str
    prompt: str
    max_tokens: int
    stream: bool


def _to_request_error(error: Exception) -> RequestFailedError:
    if isinstance(error, RequestFailedError):
        return error
    log_unexpected_error('stream', error)
    return RequestFailedError(ErrorKind.internal)


def _refusal_before_claim_read(
    request: web.Request, kind: ErrorKind
) -> RequestFailedError:
    """Return a refusal that is made before the claim is read."""
    error = RequestFailedError(kind, retry_seconds=1)
    if _idempotency_key(request):
        # An earlier attempt under the key may have run via another entry.
        error.ran = Ran.unknown
    return error


def _unanswered_error(request: web.Request) -> RequestFailedError:
    """Return the error for a request still unanswered as the entry stops."""
    if _idempotency_key(request):
        # A retry with the key gets this request's answer via another entry.
        return _refusal_before_claim_read(request, ErrorKind.leaving)
    return RequestFailedError(ErrorKind.outcome_unknown)


def _idempotency_key(request: web.Request) -> str:
    key = request.headers.get('Idempotency-Key', '')
    if len(key) > _MAX_KEY_LENGTH:
        raise RequestFailedError(
            ErrorKind.invalid_request, 'Idempotency-Key is too long'
        )
    return key


def _parse_timeout(header: str) -> float:
    try:
        seconds = float(header)
    except ValueError:
        seconds = 0
    if not 0 < seconds <= _MAX_TIMEOUT_SECONDS:
        raise RequestFailedError(
            ErrorKind.invalid_request, 'X-Request-Timeout is not in seconds'
        )
    return seconds


def _backend_path(request: web.Request) -> str:
    prefix = f'/services/{request.match_info["name"]}'
    return request.raw_path.removeprefix(prefix)


def _to_response(reply: PlainResponse) -> web.Response:
    headers = {'Content-Type': reply.content_type} if reply.content_type else {}
    return web.Response(status=reply.status, body=reply.body, headers=headers)
