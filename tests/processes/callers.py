"""HTTP callers for tests; they record everything they receive."""

import json
from dataclasses import dataclass, field

import aiohttp


@dataclass
class RecordedAnswer:
    """What a caller received for one request.

    Attributes
    ----------
    text
        Text of the completion, or the body of a plain service's answer.
    chunks
        Texts of the events of a stream.
    event_id
        Last event id, to resume the stream with.
    done
        Whether the answer is complete.
    error
        The error object of the answer; for a broken connection, an object
        with a ``type`` that begins with ``cut``.
    """

    status: int = 0
    text: str = ''
    chunks: list[str] = field(default_factory=list)
    event_id: str = ''
    done: bool = False
    finish_reason: str = ''
    error: dict = field(default_factory=dict)
    headers: dict = field(default_factory=dict)
    usage: dict = field(default_factory=dict)

    @property
    def tokens(self) -> list[str]:
        """Tokens in the order of arrival."""
        return self.text.split()

    @property
    def error_kind(self) -> str:
        """Kind of the error, empty if there is none."""
        return self.error.get('type', '')


async def complete(
    http: aiohttp.ClientSession,
    url: str,
    length: int,
    key: str = 'key-gwenallt',
    stream: bool = True,
    last_event_id: str = '',
    idempotency_key: str = '',
    timeout: str = '',
    prompt: str = 'Draft a batch certificate',
    on_chunk=None,
) -> RecordedAnswer:
    """Request a completion and record the answer.

    Parameters
    ----------
    length
        Tokens that the stand-in engine generates.
    timeout
        Value of ``X-Request-Timeout``, not sent if empty.
    on_chunk
        Coroutine function that is called with the answer so far after each
        event; the next event is read when it returns.
    """
    headers = {'Authorization': f'Bearer {key}'}
    if last_event_id:
        headers['Last-Event-ID'] = last_event_id
    if idempotency_key:
        headers['Idempotency-Key'] = idempotency_key
    if timeout:
        headers['X-Request-Timeout'] = timeout
    body = {
        'model': 'cert-1',
        'prompt': f'{prompt} [length={length}]',
        'max_tokens': length + 10,
        'stream': stream,
    }
    answer = RecordedAnswer()
    try:
        async with http.post(
            f'{url}/v1/completions', json=body, headers=headers
        ) as response:
            answer.status = response.status
            answer.headers = dict(response.headers)
            await _read_answer(response, answer, on_chunk)
    except aiohttp.ClientError as error:
        answer.error = {'type': f'cut: {type(error).__name__}'}
    return answer


async def call_service(
    http: aiohttp.ClientSession,
    url: str,
    method: str,
    path: str,
    body=None,
    key: str = 'key-gwenallt',
    idempotency_key: str = '',
    timeout: str = '',
) -> RecordedAnswer:
    """Send a request to a plain service and record the answer."""
    headers = {'Authorization': f'Bearer {key}'}
    if idempotency_key:
        headers['Idempotency-Key'] = idempotency_key
    if timeout:
        headers['X-Request-Timeout'] = timeout
    answer = RecordedAnswer()
    try:
        async with http.request(
            method, f'{url}/services/{path}', json=body, headers=headers
        ) as response:
            answer.status = response.status
            answer.headers = dict(response.headers)
            answer.text = await response.text()
            if response.status >= 400:
                answer.error = json.loads(answer.text).get('error', {})
    except aiohttp.ClientError as error:
        answer.error = {'type': f'cut: {type(error).__name__}'}
    return answer


async def _read_answer(response, answer: RecordedAnswer, on_chunk) -> None:
    if response.content_type == 'text/event-stream':
        async for line in response.content:
            _parse_line(line.strip(), answer)
            if on_chunk is not None and line.startswith(b'data:'):
                await on_chunk(answer)
        return
    body = json.loads(await response.read())
    answer.error = body.get('error', {})
    if not answer.error:
        answer.text = body['choices'][0]['text']
        answer.finish_reason = body['choices'][0]['finish_reason']
        answer.usage = body['usage']
        answer.done = True


def _parse_line(line: bytes, answer: RecordedAnswer) -> None:
    if line.startswith(b'id: '):
        answer.event_id = line[4:].decode()
    elif line == b'data: [DONE]':
        answer.done = True
    elif line.startswith(b'data: '):
        body = json.loads(line[6:])
        if 'error' in body:
            answer.error = body['error']
            return
        for choice in body['choices']:
            text = choice['text']
            answer.text += text
            answer.chunks.append(text)
            answer.finish_reason = choice['finish_reason'] or ''
