"""What all HTTP clients of the system share."""

import aiohttp

from .errors import BackendCutError

__all__ = ('prevent_resend',)


async def prevent_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Make the break of a connection an error that the library passes on.

    The HTTP library sends a call again by itself when its connection broke
    and the method is idempotent by its name.  A service may say that its GET
    must not be repeated, repeats would pass the retry budget by, and calls to
    the key-value service are paid for one by one.

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
