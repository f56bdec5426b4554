"""Ways in which a back end ends under requests that carry a marker."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum

from aiohttp import web

__all__ = ('Ending', 'EndingWay')


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
    end
        Called with the name of a back end once it has ended.
    seconds
        How long it works on a request before it ends.
    events
        Events of a stream before it ends, where any come.
    """

    marker: str
    way: EndingWay
    end: Callable[[str], Awaitable[None]]
    seconds: float = 0.05
    events: int = 3

    async def applies_to(self, request: web.BaseRequest) -> bool:
        """Return whether a back end ends under a request."""
        texts = (request.raw_path, *request.headers.values())
        if any(self.marker in text for text in texts):
            return True
        return self.marker.encode() in await request.read()
