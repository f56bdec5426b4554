"""Conversion between errors and HTTP responses of the project's own API."""

import math
from http import HTTPStatus

import msgspec
from aiohttp import web

from .errors import ErrorKind, RequestFailedError

__all__ = ('convert_http_exception', 'error_body', 'error_response')


def error_response(error: RequestFailedError) -> web.Response:
    """Return the HTTP response for an error, with retry headers if any."""
    headers = {}
    if error.answer.retry:
        retry_seconds = error.retry_seconds or 1
        headers['Retry-After'] = str(max(1, math.ceil(retry_seconds)))
        headers['Retry-After-Ms'] = str(int(retry_seconds * 1000))
    return web.Response(
        status=error.answer.status,
        body=error_body(error),
        content_type='application/json',
        headers=headers,
    )


def error_body(error: RequestFailedError) -> bytes:
    """Return the JSON body that describes an error."""
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
    """Convert an exception of the HTTP library to a request error."""
    kinds_by_status = {
        HTTPStatus.NOT_FOUND: ErrorKind.not_found,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE: ErrorKind.too_large,
    }
    kind = kinds_by_status.get(
        HTTPStatus(error.status), ErrorKind.invalid_request
    )
    return RequestFailedError(kind, error.reason)
