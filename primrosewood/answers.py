"""Bodies of OpenAI-compatible responses, complete and as stream chunks."""

from typing import Any, Protocol

import msgspec

from .requests import Ended

__all__ = ('AnswerFormat', 'ChatFormat', 'CompletionFormat')

_ENCODER = msgspec.json.Encoder()


class AnswerFormat(Protocol):
    """Encodes the answer to one request as JSON.

    Attributes
    ----------
    name
        Identifier of the request.
    """

    name: str

    def chunk(self, text: str) -> bytes:
        """Return a chunk with new text."""

    def last_chunk(self, ended: Ended) -> bytes:
        """Return the chunk with the finish reason."""

    def usage_chunk(self, ended: Ended) -> bytes:
        """Return the chunk with the token counts."""

    def full_response(self, text: str, ended: Ended) -> bytes:
        """Return the complete response."""


class _BaseFormat:
    """Common part of both formats.

    The bytes around a chunk's text are the same for a whole stream, so they
    are encoded once.
    """

    _prefix = ''
    _object_type = ''
    _chunk_object_type = ''

    def __init__(self, name: str, model: str, created: float) -> None:
        self.name = name
        self._common_fields = {
            'id': f'{self._prefix}{name}',
            'created': int(created),
            'model': model,
        }
        self._chunk_start, self._chunk_end = self._split_chunk()

    def chunk(self, text: str) -> bytes:
        """Return a chunk with new text."""
        return self._chunk_start + _ENCODER.encode(text) + self._chunk_end

    def last_chunk(self, ended: Ended) -> bytes:
        """Return the chunk with the finish reason."""
        return self._encode_chunk([self._choice('', ended.finish_reason)])

    def usage_chunk(self, ended: Ended) -> bytes:
        """Return the chunk with the token counts."""
        body = {
            **self._common_fields,
            'object': self._chunk_object_type,
            'choices': [],
        }
        return _ENCODER.encode({**body, 'usage': _usage(ended)})

    def full_response(self, text: str, ended: Ended) -> bytes:
        """Return the complete response."""
        body = {
            **self._common_fields,
            'object': self._object_type,
            'choices': [self._full_choice(text, ended.finish_reason)],
            'usage': _usage(ended),
        }
        return _ENCODER.encode(body)

    def _split_chunk(self) -> tuple[bytes, bytes]:
        placeholder = '\x00'
        encoded = self._encode_chunk([self._choice(placeholder, None)])
        start, _placeholder, end = encoded.partition(
            _ENCODER.encode(placeholder)
        )
        return start, end

    def _encode_chunk(self, choices: list[Any]) -> bytes:
        return _ENCODER.encode(
            {
                **self._common_fields,
                'object': self._chunk_object_type,
                'choices': choices,
            }
        )

    def _choice(self, text: str, reason: str | None) -> Any:
        raise NotImplementedError

    def _full_choice(self, text: str, reason: str) -> Any:
        raise NotImplementedError


class CompletionFormat(_BaseFormat):
    """Responses of ``/v1/completions``."""

    _prefix = 'cmpl-'
    _object_type = 'text_completion'
    _chunk_object_type = 'text_completion'

    def _choice(self, text: str, reason: str | None) -> Any:
        return {
            'index': 0,
            'text': text,
            'logprobs': None,
            'finish_reason': reason,
        }

    def _full_choice(self, text: str, reason: str) -> Any:
        return self._choice(text, reason)


class ChatFormat(_BaseFormat):
    """Responses of ``/v1/chat/completions``."""

    _prefix = 'chatcmpl-'
    _object_type = 'chat.completion'
    _chunk_object_type = 'chat.completion.chunk'

    def _choice(self, text: str, reason: str | None) -> Any:
        delta = {'role': 'assistant', 'content': text}
        return {'index': 0, 'delta': delta, 'finish_reason': reason}

    def _full_choice(self, text: str, reason: str) -> Any:
        message = {'role': 'assistant', 'content': text}
        return {'index': 0, 'message': message, 'finish_reason': reason}


def _usage(ended: Ended) -> dict[str, int]:
    return {
        'prompt_tokens': ended.prompt_tokens,
        'completion_tokens': ended.completion_tokens,
        'total_tokens': ended.prompt_tokens + ended.completion_tokens,
    }
