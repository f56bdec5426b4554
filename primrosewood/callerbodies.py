"""Bodies of callers' requests."""

from typing import Any

import msgspec
from aiohttp import web

from .errors import ErrorKind, RequestFailedError
from .gen_caller import ChatMessage

__all__ = ('decode_body', 'pass_on', 'read_body', 'render_chat')

_NOT_PASSED_ON = frozenset(
    ('model', 'prompt', 'messages', 'stream', 'stream_options', 'max_tokens')
)


async def read_body(request: web.Request) -> bytes:
    """Return a whole body, as it came."""
    try:
        return await request.read()
    except ValueError as error:
        raise RequestFailedError(ErrorKind.invalid_request) from error


def decode_body(body: bytes, kind: type) -> Any:
    """Return a JSON body as a checked type."""
    # Some texts decode as JSON but cannot be written again: a lone half of a
    # surrogate pair, for one, which UTF-8 has no bytes for.
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise RequestFailedError(
            ErrorKind.invalid_request, str(error)
        ) from error


def pass_on(body: bytes) -> bytes:
    """Return the fields of a body that only the engine reads, as JSON."""
    # Fields that are not read are not checked above; here they are.
    fields = decode_body(body, dict)
    return msgspec.json.encode(
        {
            name: fields[name]
            for name in sorted(fields)
            if name not in _NOT_PASSED_ON
        }
    )


def render_chat(messages: list[ChatMessage]) -> str:
    """Return the prompt that stands for a chat."""
    return '\n'.join(
        f'{message.role}: {_text_of(message)}' for message in messages
    )


def _text_of(message: ChatMessage) -> str:
    if isinstance(message.content, str):
        return message.content
    return ''.join(part.text for part in message.content)
