"""Timeouts of work in progress that can all be made to expire at once."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from typing import Any

__all__ = ('ConditionalTimeout', 'TimerGroup', 'wait_until_set')

_RECHECK_SECONDS = 0.2


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


class ConditionalTimeout:
    """Context manager whose timeout expires only while a condition holds.

    Parameters
    ----------
    seconds
        Time after which the condition is asked for, again and again until it
        holds.

    Raises
    ------
    TimeoutError
        The timeout expired.
    """

    def __init__(self, seconds: float, condition: Callable[[], bool]) -> None:
        """Prepare a timeout that begins as the context is entered."""
        self._seconds = seconds
        self._condition = condition
        self._timeout = asyncio.timeout(None)
        self._check_timer: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> None:
        """Begin the timeout."""
        await self._timeout.__aenter__()
        self._schedule(self._seconds)

    async def __aexit__(self, *exception: Any) -> bool | None:
        """End the timeout."""
        self._check_timer.cancel()
        return await self._timeout.__aexit__(*exception)

    def _schedule(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        self._check_timer = loop.call_later(seconds, self._check)

    def _check(self) -> None:
        if self._condition():
            self._timeout.reschedule(asyncio.get_running_loop().time())
        else:
            self._schedule(_RECHECK_SECONDS)


async def wait_until_set(event: asyncio.Event, seconds: float) -> bool:
    """Wait for an event, at most some seconds; return whether it is set."""
    with suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await event.wait()
    return event.is_set()
