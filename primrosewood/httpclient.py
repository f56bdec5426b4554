"""What all HTTP clients of the system share."""

import math
from http import HTTPStatus

import aiohttp

from .errors import BackendCutError

__all__ = (
    'is_final_status',
    'parse_pause',
    'parse_quantity',
    'prevent_resend',
)

_PAUSING_STATUSES = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)


_NO_STATUS = 600
_FINAL_STATUSES = range(HTTPStatus.OK, _NO_STATUS)


def is_final_status(status: int) -> bool:
    """Return whether a number is a status that can end a request."""
    return status in _FINAL_STATUSES


async def prevent_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Prevent the HTTP library from resending a call by itself.

    When a connection breaks, the library resends calls whose method is
    idempotent by definition. That is unwanted here: a service may declare that
    its GET must not be repeated, the resent calls would bypass the retry
    budget, and each call to the key-value service is charged. The break is
    therefore raised as an error that the library does not handle.

    Raises
    ------
    BackendCutError
        The connection broke after the call was written.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise BackendCutError(type(error).__name__) from error


def parse_pause(response: aiohttp.ClientResponse) -> float:
    """Return the seconds for which a refusal asks for no calls, 0 for none.

    A ``Retry-After`` header with a date is ignored, as clocks differ.
    """
    if response.status not in _PAUSING_STATUSES:
        return 0
    return parse_quantity(response.headers.get('Retry-After', '')) or 0


def parse_quantity(text: str) -> float | None:
    """Return a finite number of at least 0, None for any other text."""
    try:
        quantity = float(text)
    except ValueError:
        return None
    return quantity if math.isfinite(quantity) and quantity >= 0 else None
