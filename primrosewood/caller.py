"""HTTP client of entries; resumes streams and retries as errors allow."""

import asyncio
import time
from abc import ABC, abstractmethod
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field
from urllib.parse import urljoin

import aiohttp
import msgspec

from .workloads import Task

__all__ = ('Caller', 'CallerAnswer', 'CallerSettings', 'TaskCaller')

_MAX_ATTEMPTS = 8
# Delay before a retry when an attempt ends without an error from the entry.
_CUT_RETRY_SECONDS = 0.2
# Added to the expected length, so that the limit does not truncate the answer.
_MAX_TOKENS_MARGIN = 10
_FIRST_ERROR_STATUS = 400
_DATA_PREFIX = b'data: '
_ID_PREFIX = b'id: '


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """Settings of a caller.

    Attributes
    ----------
    urls
        URLs of entries; each attempt goes to the next one.
    key
        API key of the organisation.
    max_attempts
        Largest number of attempts for a task.
    """

    urls: tuple[str, ...]
    key: str
    max_attempts: int = _MAX_ATTEMPTS


@dataclass(slots=True)
class CallerAnswer:
    """Answer to a task, collected over all attempts.

    Attributes
    ----------
    status
        HTTP status of the last response.
    tokens
        Tokens received, in order.
    body
        Body of an answer that is not streamed.
    event_id
        ID of the last event received, from which a stream is resumed.
    complete
        Whether the whole answer has been received.
    error, ran
        Error kind of the last attempt, and whether the request ran according to
        the error. The kind starts with ``cut_`` when the connection failed.
    retry_seconds
        Delay before the next attempt.
    attempts
        Number of attempts.
    first_token
        Seconds from the first attempt to the first token.
    largest_gap
        Longest time in seconds between two chunks of a stream.
    seconds
        Seconds from the first attempt to the end of the last one.
    """

    status: int = 0
    tokens: list[str] = field(default_factory=list)
    body: str = ''
    event_id: str = ''
    complete: bool = False
    error: str = ''
    ran: str = ''
    retry_seconds: float = 0
    attempts: int = 0
    first_token: float = 0
    largest_gap: float = 0
    seconds: float = 0


class TaskCaller(ABC):
    """Sends the tasks of a workload and retries at the next entry.

    Parameters
    ----------
    session
        HTTP session, which the caller does not close.
    settings
        Entries, key and number of attempts.
    """

    def __init__(
        self, session: aiohttp.ClientSession, settings: CallerSettings
    ) -> None:
        """Keep the session and the settings."""
        self._session = session
        self._settings = settings

    async def send(self, task: Task) -> CallerAnswer:
        """Send a task until it is answered or may not be retried."""
        answer = CallerAnswer()
        started = time.monotonic()
        while answer.attempts < self._settings.max_attempts:
            await self._send_once(task, answer, started)
            if not self._may_retry(task, answer):
                break
            await asyncio.sleep(answer.retry_seconds)
        answer.seconds = time.monotonic() - started
        return answer

    async def _send_once(
        self, task: Task, answer: CallerAnswer, started: float
    ) -> None:
        urls = self._settings.urls
        url = urls[answer.attempts % len(urls)]
        answer.attempts += 1
        answer.error = ''
        try:
            async with self._request(url, task, answer) as response:
                answer.status = response.status
                await self._read(response, answer, started)
        except (aiohttp.ClientError, TimeoutError) as error:
            error_type = type(error).__name__
            answer.error = f'cut_{error_type}'
            answer.ran = 'unknown'

    @abstractmethod
    def _request(
        self, url: str, task: Task, answer: CallerAnswer
    ) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        """Return the HTTP request of one attempt.

        Parameters
        ----------
        url
            URL of the entry.
        task
            What is sent.
        answer
            What earlier attempts have received.
        """

    @abstractmethod
    async def _read(
        self,
        response: aiohttp.ClientResponse,
        answer: CallerAnswer,
        started: float,
    ) -> None:
        """Read a response into the answer.

        Parameters
        ----------
        response
            Response of one attempt.
        answer
            Answer that is updated.
        started
            Monotonic time in seconds of the first attempt.
        """

    @abstractmethod
    def _may_retry(self, task: Task, answer: CallerAnswer) -> bool:
        """Tell whether a task may be sent again after an attempt."""


class Caller(TaskCaller):
    """Caller of the completions and services API of `primrosewood-entry`."""

    def _request(
        self, url: str, task: Task, answer: CallerAnswer
    ) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        answer.retry_seconds = _CUT_RETRY_SECONDS
        return self._session.request(
            task.kind.method or 'POST',
            urljoin(url, _request_path(task)),
            json=_request_body(task),
            headers=self._headers(task, answer),
        )

    async def _read(
        self,
        response: aiohttp.ClientResponse,
        answer: CallerAnswer,
        started: float,
    ) -> None:
        await _ResponseReader(answer, started).read(response)

    def _may_retry(self, task: Task, answer: CallerAnswer) -> bool:
        return _may_retry(task, answer)

    def _headers(self, task: Task, answer: CallerAnswer) -> dict[str, str]:
        key = self._settings.key
        headers = {'Authorization': f'Bearer {key}'}
        if answer.event_id:
            headers['Last-Event-ID'] = answer.event_id
        if task.kind.keyed:
            headers['Idempotency-Key'] = task.name
        return headers


class _ResponseReader:
    """Reads the response of one attempt into an answer."""

    def __init__(self, answer: CallerAnswer, started: float) -> None:
        self._answer = answer
        self._started = started
        self._last_chunk_at = 0

    async def read(self, response: aiohttp.ClientResponse) -> None:
        if response.content_type == 'text/event-stream':
            async for line in response.content:
                self._parse_event_line(line.strip())
            if not self._answer.complete and not self._answer.error:
                self._answer.error = 'cut_early_end'
            return
        body = await response.read()
        self._record_chunk_time()
        if response.status >= _FIRST_ERROR_STATUS:
            self._record_error(msgspec.json.decode(body).get('error', {}))
            return
        self._answer.complete = True
        self._answer.body = body.decode()
        if 'services' not in response.url.path:
            text = msgspec.json.decode(body)['choices'][0]['text']
            self._answer.tokens = text.split()

    def _parse_event_line(self, line: bytes) -> None:
        if line.startswith(_ID_PREFIX):
            self._answer.event_id = line[len(_ID_PREFIX) :].decode()
        elif line == b'data: [DONE]':
            self._answer.complete = True
        elif line.startswith(_DATA_PREFIX):
            self._record_chunk(msgspec.json.decode(line[len(_DATA_PREFIX) :]))

    def _record_chunk(self, chunk) -> None:
        error = chunk.get('error')
        if error is not None:
            self._record_error(error)
            return
        self._record_chunk_time()
        for choice in chunk['choices']:
            self._answer.tokens += choice['text'].split()

    def _record_error(self, error) -> None:
        answer = self._answer
        answer.error = error.get('type', 'unknown')
        answer.ran = error.get('ran', 'unknown')
        answer.retry_seconds = error.get('retry_after_seconds', 0)

    def _record_chunk_time(self) -> None:
        now = time.monotonic()
        if self._last_chunk_at:
            gap = now - self._last_chunk_at
            self._answer.largest_gap = max(self._answer.largest_gap, gap)
        elif not self._answer.first_token:
            self._answer.first_token = now - self._started
        self._last_chunk_at = now


def _may_retry(task: Task, answer: CallerAnswer) -> bool:
    if answer.complete or not answer.error:
        return False
    if answer.error.startswith('cut_'):
        # A stream is resumed after its last event. A request that has an
        # idempotency key or changes no state can be repeated safely.
        repeatable = task.kind.keyed or task.kind.method == 'GET'
        return repeatable or bool(answer.event_id) or not answer.tokens
    return answer.ran == 'no' and answer.retry_seconds > 0


def _request_path(task: Task) -> str:
    path = task.kind.path
    if path:
        return f'/services/{path}'
    return '/v1/completions'


def _request_body(task: Task) -> dict | None:
    if task.kind.path:
        return {'task': task.name} if task.kind.method == 'POST' else None
    # Stand-in engines generate the number of tokens given in the prompt; real
    # engines end the answer themselves.
    prompt = f'{task.name} [length={task.length}]'
    return {
        'model': 'cert-1',
        'prompt': prompt,
        'max_tokens': task.length + _MAX_TOKENS_MARGIN,
        'stream': task.kind.streamed,
    }
