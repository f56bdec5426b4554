"""Timeouts of work in progress that can all be made to expire at once."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

__all__ = ('TimerGroup',)


class TimerGroup:
    """A group of active timeouts that can all expire at once."""

    def __init__(self) -> None:
        """Create a group without timeouts."""
        self._active: set[asyncio.Timeout] = set()
        self._ended = False

    @property
    def ended(self) -> bool:
        """Whether ``end`` was called, so that every timeout expires."""
        return self._ended

    @asynccontextmanager
    async def limit(self, seconds: float) -> AsyncIterator[None]:
        """Apply a timeout to the block; it is zero once the group has ended.

        Raises
        ------
        TimeoutError
            The timeout expired, or the group was ended.
        """
        timer = asyncio.timeout(0 if self._ended else seconds)
        self._active.add(timer)
        try:
            async with timer:
                yield
        finally:
            self._active.discard(timer)

    def end(self) -> None:
        """Make all active timeouts expire now, and new ones at once."""
        self._ended = True
        now = asyncio.get_running_loop().time()
        for timer in self._active:
            if not timer.expired():
                timer.reschedule(now)
