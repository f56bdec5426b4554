"""Errors as HTTP answers of the product's own interface."""

import math
from http import HTTPStatus

import msgspec
from aiohttp import web

from .errors import ErrorKind, RequestFailedError

__all__ = ('error_body', 'error_response', 'convert_http_exception')


def error_response(error: RequestFailedError) -> web.Response:
    """Return the answer for an error, with when to come back."""
    headers = {}
    if error.answer.retry:
        seconds = error.retry_seconds or 1
        headers['Retry-After'] = str(max(1, math.ceil(seconds)))
        headers['Retry-After-Ms'] = str(int(seconds * 1000))
    return web.Response(
        status=error.answer.status,
        body=error_body(error),
        content_type='application/json',
        headers=headers,
    )


def error_body(error: RequestFailedError) -> bytes:
    """Return the JSON that tells an error."""
    fields = {
        'message': error.message,
        'type': error.kind.value,
        'code': error.kind.value,
        'ran': error.ran.value,
    }
    if error.answer.retry:
        fields['retry_after_seconds'] = round(error.retry_seconds or 1, 3)
    return msgspec.json.encode({'error': fields})


def convert_http_exception(error: web.HTTPException) -> RequestFailedError:
    """Return the error kind for one that the HTTP library raised."""
    kinds = {
        HTTPStatus.NOT_FOUND: ErrorKind.not_found,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE: ErrorKind.too_large,
    }
    kind = kinds.get(HTTPStatus(error.status), ErrorKind.invalid_request)
    return RequestFailedError(kind, error.reason)
