"""Middleware shared by all HTTP clients of the system."""

import aiohttp

from .errors import BackendCutError

__all__ = ('prevent_resend',)


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
