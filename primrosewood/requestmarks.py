"""Marks by which requests that end their back ends are recognised.

A request has several marks, from what it shares with many others to what only
its own repetitions have: the parts of its prompt, its content, and its content
with its headers.  Whoever compares requests compares marks; a further kind of
mark is added here alone.
"""

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .directcalls import Header

__all__ = (
    'RequestContent',
    'identifies_content',
    'identifies_request',
    'make_marks',
)

_CONTENT = 'content'
_REQUEST = 'request'
_DIGEST_BYTES = 8
# A longer part is represented by its digest.
_MAX_MARK_CHARACTERS = 24
_MAX_KEY_BYTES = 64


@dataclass(frozen=True, slots=True)
class RequestContent:
    """What a caller sends again when it repeats a request.

    Attributes
    ----------
    target
        Path and query.
    headers
        Those that stay the same when the request is repeated.
    prompt_parts
        Identifiers of all parts of the prompt, empty without a prompt.
    """

    method: str
    target: str
    headers: Sequence[Header]
    body: bytes
    prompt_parts: tuple[str, ...] = ()


def make_marks(content: RequestContent, key: str) -> tuple[str, ...]:
    """Return the marks of a request.

    Parameters
    ----------
    key
        Keys the digests, which are logged and told to other processes.
    """
    key_bytes = key.encode()[:_MAX_KEY_BYTES]
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES, key=key_bytes)
    texts = (content.method, content.target, *content.prompt_parts)
    _update(digest, map(_encode, texts))
    _update(digest, (content.body,))
    same_content = digest.hexdigest()
    headers = sorted((name.lower(), text) for name, text in content.headers)
    for pair in headers:
        _update(digest, map(_encode, pair))
    parts = dict.fromkeys(_shorten(part) for part in content.prompt_parts)
    parts.pop('', None)
    return (
        *parts,
        f'{_CONTENT}:{same_content}',
        f'{_REQUEST}:{digest.hexdigest()}',
    )


def identifies_request(mark: str) -> bool:
    """Return whether only one request and its repetitions have a mark."""
    return identifies_content(mark) or mark.startswith(f'{_REQUEST}:')


def identifies_content(mark: str) -> bool:
    """Return whether a mark is of the content without headers."""
    return mark.startswith(f'{_CONTENT}:')


def _encode(text: str) -> bytes:
    return text.encode(errors='surrogateescape')


def _update(digest: 'hashlib._Hash', fields: Iterable[bytes]) -> None:
    for each in fields:
        digest.update(len(each).to_bytes(4))
        digest.update(each)


def _shorten(part: str) -> str:
    if len(part) <= _MAX_MARK_CHARACTERS:
        return part
    digest = hashlib.blake2b(part.encode(), digest_size=_DIGEST_BYTES)
    return f'part:{digest.hexdigest()}'
