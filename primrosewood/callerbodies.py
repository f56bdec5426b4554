"""Reading and decoding of the bodies of callers' requests."""

from typing import Any

import msgspec
from aiohttp import web

from .errors import ErrorKind, RequestFailedError
from .gen_caller import ChatMessage

__all__ = ('decode_body', 'extract_engine_fields', 'read_body', 'render_chat')

_ENTRY_FIELDS = frozenset(
    ('model', 'prompt', 'messages', 'stream', 'stream_options', 'max_tokens')
)


async def read_body(request: web.Request) -> bytes:
    """Return the whole body as received."""
    try:
        return await request.read()
    except ValueError as error:
        raise RequestFailedError(ErrorKind.invalid_request) from error


def decode_body(body: bytes, body_type: type) -> Any:
    """Decode a JSON body and validate it against a type."""
    # UnicodeError: JSON can escape a lone surrogate, which UTF-8 cannot encode.
    try:
        return msgspec.json.decode(body, type=body_type)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise RequestFailedError(
            ErrorKind.invalid_request, str(error)
        ) from error


def extract_engine_fields(body: bytes) -> bytes:
    """Return the fields that are forwarded to the engine unread, as JSON."""
    # The typed decoding of the request skips unknown fields, so their JSON
    # is validated here.
    fields = decode_body(body, dict)
    return msgspec.json.encode(
        {
            name: fields[name]
            for name in sorted(fields)
            if name not in _ENTRY_FIELDS
        }
    )


def render_chat(messages: list[ChatMessage]) -> str:
    """Return the messages of a chat as one prompt."""
    return '\n'.join(
        f'{message.role}: {_message_text(message)}' for message in messages
    )


def _message_text(message: ChatMessage) -> str:
    if isinstance(message.content, str):
        return message.content
    return ''.join(part.text for part in message.content)
