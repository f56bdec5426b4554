"""Time limits of what is in progress, which can all be ended at once."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

__all__ = ('TimerGroup',)


class TimerGroup:
    """Time limits that are running."""

    def __init__(self) -> None:
        """Start with none."""
        self._running: set[asyncio.Timeout] = set()
        self._ended = False

    @property
    def ended(self) -> bool:
        """Whether all were ended at once."""
        return self._ended

    @asynccontextmanager
    async def limit(self, seconds: float) -> AsyncIterator[None]:
        """Limit what is done inside; it has no time once all were ended.

        Raises
        ------
        TimeoutError
            The time was over, or all were ended.
        """
        timer = asyncio.timeout(0 if self._ended else seconds)
        self._running.add(timer)
        try:
            async with timer:
                yield
        finally:
            self._running.discard(timer)

    def end(self) -> None:
        """Let the time of all that run be over."""
        self._ended = True
        now = asyncio.get_running_loop().time()
        for timer in self._running:
            if not timer.expired():
                timer.reschedule(now)
