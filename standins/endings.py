"""Ways in which a back end ends under requests that carry a marker."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum

from aiohttp import web

__all__ = ('Ending', 'EndingBackend', 'EndingWay')


class EndingWay(Enum):
    """How much of an answer comes before the back end ends."""

    before_head = 'before_head'
    at_begin = 'at_begin'
    after_events = 'after_events'
    silent = 'silent'


@dataclass(frozen=True)
class Ending:
    """How back ends end under requests.

    Attributes
    ----------
    marker
        Text in the target, a header or the body of these requests.
    report
        Called with a back end once it has ended.
    seconds
        How long it works on a request before it ends.
    events
        Events of a stream before it ends, where any come.
    """

    marker: str
    way: EndingWay
    report: Callable[['EndingBackend'], Awaitable[None]]
    seconds: float = 0.05
    events: int = 3

    async def applies_to(self, request: web.BaseRequest) -> bool:
        """Return whether a back end ends under a request."""
        texts = (request.raw_path, *request.headers.values())
        if any(self.marker in text for text in texts):
            return True
        return self.marker.encode() in await request.read()


class EndingBackend:
    """A back end that ends under some requests.

    Attributes
    ----------
    powered
        Whether it answers at all.
    ending
        How it ends, None if it does not.
    stop_listening
        Called when it ends; None if its port stays open.
    """

    def __init__(self) -> None:
        """Start without any requests to end under."""
        self.powered = True
        self.ending: Ending | None = None
        self.stop_listening: Callable[[], Awaitable[None]] | None = None

    def lose_power(self) -> None:
        """Reset every later connection."""
        self.powered = False

    async def end(self) -> None:
        """End, unless it has ended under another request meanwhile."""
        if not self.powered:
            return
        self.lose_power()
        if self.stop_listening is not None:
            await self.stop_listening()
        if self.ending is not None:
            await self.ending.report(self)

    async def end_for(self, request: web.BaseRequest, *ways: EndingWay) -> bool:
        """End if the request makes it end in one of the ways."""
        ending = self.ending
        if ending is None or ending.way not in ways:
            return False
        if not await ending.applies_to(request):
            return False
        await asyncio.sleep(ending.seconds)
        await self.end()
        if ending.way is EndingWay.silent:
            await asyncio.Event().wait()
        request.transport.abort()
        return True
