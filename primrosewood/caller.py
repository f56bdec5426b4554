"""A caller that resumes streams and comes back when it is told to."""

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

_MOST_ATTEMPTS = 8
_CUT_PAUSE = 0.2
_EXTRA_TOKENS = 10
_BAD = 400
_DATA = b'data: '
_ID = b'id: '


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """Entries to use, one after the other, and the organisation's key."""

    urls: tuple[str, ...]
    key: str
    most_attempts: int = _MOST_ATTEMPTS


@dataclass(slots=True)
class CallerAnswer:
    """What came back; times in seconds.

    Attributes
    ----------
    error, ran
        Error kind of the last attempt, and what the system says of it.
    first_token
        From the first attempt to the first token.
    largest_gap
        Longest time between two chunks of a stream.
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
    """Sends tasks of a workload, each to one entry after the other."""

    def __init__(
        self, session: aiohttp.ClientSession, settings: CallerSettings
    ) -> None:
        """Take a session that outlives the caller."""
        self._session = session
        self._settings = settings

    async def send(self, task: Task) -> CallerAnswer:
        """Send a task until it is answered or may not be sent again."""
        answer = CallerAnswer()
        started = time.monotonic()
        while answer.attempts < self._settings.most_attempts:
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
            name = type(error).__name__
            answer.error = f'cut_{name}'
            answer.ran = 'unknown'

    @abstractmethod
    def _request(
        self, url: str, task: Task, answer: CallerAnswer
    ) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        """Return the request of one attempt; the answer is the last one's."""

    @abstractmethod
    async def _read(
        self,
        response: aiohttp.ClientResponse,
        answer: CallerAnswer,
        started: float,
    ) -> None:
        """Read a response into the answer."""

    @abstractmethod
    def _may_retry(self, task: Task, answer: CallerAnswer) -> bool:
        """Tell whether a task may be sent again."""


class Caller(TaskCaller):
    """A caller of the product's own interface."""

    def _request(
        self, url: str, task: Task, answer: CallerAnswer
    ) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        answer.retry_seconds = _CUT_PAUSE
        return self._session.request(
            task.kind.method or 'POST',
            urljoin(url, _path_of(task)),
            json=_body_of(task),
            headers=self._headers(task, answer),
        )

    async def _read(
        self,
        response: aiohttp.ClientResponse,
        answer: CallerAnswer,
        started: float,
    ) -> None:
        await _AnswerReader(answer, started).read(response)

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


class _AnswerReader:
    """Reads one response into an answer."""

    def __init__(self, answer: CallerAnswer, started: float) -> None:
        self._answer = answer
        self._started = started
        self._last = 0

    async def read(self, response: aiohttp.ClientResponse) -> None:
        if response.content_type == 'text/event-stream':
            async for line in response.content:
                self._take_line(line.strip())
            if not self._answer.complete and not self._answer.error:
                self._answer.error = 'cut_early_end'
            return
        body = await response.read()
        self._note_chunk()
        if response.status >= _BAD:
            self._take_error(msgspec.json.decode(body).get('error', {}))
            return
        self._answer.complete = True
        self._answer.body = body.decode()
        if 'services' not in response.url.path:
            text = msgspec.json.decode(body)['choices'][0]['text']
            self._answer.tokens = text.split()

    def _take_line(self, line: bytes) -> None:
        if line.startswith(_ID):
            self._answer.event_id = line[len(_ID) :].decode()
        elif line == b'data: [DONE]':
            self._answer.complete = True
        elif line.startswith(_DATA):
            self._take_chunk(msgspec.json.decode(line[len(_DATA) :]))

    def _take_chunk(self, chunk) -> None:
        error = chunk.get('error')
        if error is not None:
            self._take_error(error)
            return
        self._note_chunk()
        for choice in chunk['choices']:
            self._answer.tokens += choice['text'].split()

    def _take_error(self, error) -> None:
        answer = self._answer
        answer.error = error.get('type', 'unknown')
        answer.ran = error.get('ran', 'unknown')
        answer.retry_seconds = error.get('retry_after_seconds', 0)

    def _note_chunk(self) -> None:
        now = time.monotonic()
        if self._last:
            gap = now - self._last
            self._answer.largest_gap = max(self._answer.largest_gap, gap)
        elif not self._answer.first_token:
            self._answer.first_token = now - self._started
        self._last = now


def _may_retry(task: Task, answer: CallerAnswer) -> bool:
    if answer.complete or not answer.error:
        return False
    if answer.error.startswith('cut_'):
        # A stream that was cut goes on at its last event; what has an
        # idempotency key, or changes nothing, may be sent again.
        safe = task.kind.keyed or task.kind.method == 'GET'
        return safe or bool(answer.event_id) or not answer.tokens
    return answer.ran == 'no' and answer.retry_seconds > 0


def _path_of(task: Task) -> str:
    path = task.kind.path
    if path:
        return f'/services/{path}'
    return '/v1/completions'


def _body_of(task: Task) -> dict | None:
    if task.kind.path:
        return {'task': task.name} if task.kind.method == 'POST' else None
    # Stand-in engines read the length; real ones find theirs themselves.
    asked = f'{task.name} [length={task.length}]'
    return {
        'model': 'cert-1',
        'prompt': asked,
        'max_tokens': task.length + _EXTRA_TOKENS,
        'stream': task.kind.streamed,
    }
