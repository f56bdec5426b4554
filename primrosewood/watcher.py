"""Follows a prefix of the key-value service."""

import asyncio
from collections.abc import Awaitable
from dataclasses import dataclass

from .errors import HistoryLostError, StoreUnavailableError
from .kv import KeyValue
from .logs import log_event
from .storeview import StoreView, Taker

__all__ = ('PollSchedule', 'Watcher')

_RETRY_SECONDS = 0.5
_POLLS_PER_LISTING = 120


@dataclass(frozen=True, slots=True)
class PollSchedule:
    """How often a prefix is read beside the watch.

    Attributes
    ----------
    poll_seconds
        Between two polls.
    polls_per_listing
        Every so many polls everything is read, so that deletions show which
        the watch missed.
    """

    poll_seconds: float
    polls_per_listing: int = _POLLS_PER_LISTING


class Watcher(StoreView):
    """Lists a prefix, watches it, and polls for what the watch missed.

    Watches may lose events without a sign, so changes are also asked for by
    revision every few seconds; deletions cannot be asked for and show in a
    full listing every so many polls.

    Parameters
    ----------
    store
        The key-value service.
    prefix
        What to follow.
    pace
        How often to poll.
    take
        Called with each change, repeats included; None for a deletion.
    """

    def __init__(
        self,
        store: KeyValue,
        prefix: str,
        pace: PollSchedule,
        take: Taker,
    ) -> None:
        """Start without knowledge."""
        super().__init__(store, prefix, take)
        self._pace = pace

    async def run(self, watch: bool = True) -> None:
        """Follow until cancelled.

        Parameters
        ----------
        watch
            Whether to hold a watch; polls alone find changes later.
        """
        await self._list_until_answered()
        tasks = [self._poll()]
        if watch:
            tasks.append(self._watch())
        await asyncio.gather(*tasks)

    async def _list_until_answered(self) -> None:
        while not await self._try(self.list_all()):
            await asyncio.sleep(_RETRY_SECONDS)

    async def _poll(self) -> None:
        polls = 0
        while True:
            await asyncio.sleep(self._pace.poll_seconds)
            polls += 1
            await self._try(self._poll_once(polls))

    async def _try(self, reading: Awaitable[None]) -> bool:
        try:
            await reading
        except StoreUnavailableError as error:
            log_event('poll_failed', 'WARNING', why=error)
            return False
        return True

    async def _poll_once(self, polls: int) -> None:
        if polls % self._pace.polls_per_listing == 0:
            await self.list_all()
            return
        since = self._newest + 1
        for pair in await self._store.list_pairs(self._prefix, since):
            self._report(pair)
            self._newest = max(self._newest, pair.revision)

    async def _watch(self) -> None:
        while True:
            try:
                await self._follow()
            except HistoryLostError as error:
                log_event('watch_lost_history', 'WARNING', why=error)
                await self._try(self.list_all())
            except StoreUnavailableError as error:
                log_event('watch_ended', 'DEBUG', why=error)
            await asyncio.sleep(_RETRY_SECONDS)

    async def _follow(self) -> None:
        changes = self._store.watch(self._prefix, self._newest + 1)
        async for change in changes:
            self._newest = max(self._newest, change.revision)
            self._apply(change)
