"""Reads the marks of a request off what its caller sent."""

from collections.abc import Sequence

from aiohttp import web

from ..directcalls import Header
from ..requestmarks import RequestContent, make_marks
from . import headers

__all__ = ('read_marks',)


def read_marks(
    request: web.BaseRequest,
    raw_headers: Sequence[Header],
    body: bytes,
    key: str,
) -> tuple[str, ...]:
    """Return the marks of a request, whose digests are keyed."""
    content = RequestContent(
        request.method,
        request.raw_path,
        headers.select_repeated_headers(raw_headers),
        body,
        headers.parse_prompt_parts(raw_headers),
    )
    return make_marks(content, key)
