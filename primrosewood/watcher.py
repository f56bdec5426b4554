"""Keeps a view of a prefix current with listings, a watch and polls."""

import asyncio
from collections.abc import Awaitable
from dataclasses import dataclass

from .errors import HistoryLostError, StoreUnavailableError
from .kv import KeyValue
from .logs import log_event
from .storeview import ChangeHandler, StoreView

__all__ = ('PollSchedule', 'Watcher')

_RETRY_SECONDS = 0.5
_POLLS_PER_LISTING = 120


@dataclass(frozen=True, slots=True)
class PollSchedule:
    """How often a prefix is polled in addition to the watch.

    Attributes
    ----------
    poll_seconds
        Seconds between two polls.
    polls_per_listing
        Number of polls after which the whole prefix is listed, which finds
        deletions that the watch missed.
    """

    poll_seconds: float
    polls_per_listing: int = _POLLS_PER_LISTING


class Watcher(StoreView):
    """Lists a prefix, watches it, and polls for changes the watch missed.

    A watch may lose events without an error, so changes are also polled by
    revision every few seconds. Such a poll does not return deletions; these
    are found by a full listing after a number of polls.

    Parameters
    ----------
    store
        The key-value service.
    prefix
        Prefix of the keys.
    schedule
        How often to poll.
    on_change
        Called with each change, possibly more than once; the pair is None
        for a deletion.
    """

    def __init__(
        self,
        store: KeyValue,
        prefix: str,
        schedule: PollSchedule,
        on_change: ChangeHandler,
    ) -> None:
        """Create a watcher with an empty view."""
        super().__init__(store, prefix, on_change)
        self._schedule = schedule

    async def run(self, watch: bool = True) -> None:
        """Keep the view current until cancelled.

        Parameters
        ----------
        watch
            Whether to watch as well as poll. Without a watch, changes are
            found only at the next poll.
        """
        await self._list_until_successful()
        tasks = [self._poll()]
        if watch:
            tasks.append(self._watch())
        await asyncio.gather(*tasks)

    async def _list_until_successful(self) -> None:
        while not await self._try_read(self.list_all()):
            await asyncio.sleep(_RETRY_SECONDS)

    async def _poll(self) -> None:
        polls = 0
        while True:
            await asyncio.sleep(self._schedule.poll_seconds)
            polls += 1
            await self._try_read(self._poll_once(polls))

    async def _try_read(self, read: Awaitable[None]) -> bool:
        try:
            await read
        except StoreUnavailableError as error:
            log_event('poll_failed', 'WARNING', why=error)
            return False
        return True

    async def _poll_once(self, polls: int) -> None:
        if polls % self._schedule.polls_per_listing == 0:
            await self.list_all()
            return
        since = self._newest + 1
        for pair in await self._store.list_pairs(self._prefix, since):
            self._apply_pair(pair)
            self._newest = max(self._newest, pair.revision)

    async def _watch(self) -> None:
        while True:
            try:
                await self._follow_watch()
            except HistoryLostError as error:
                log_event('watch_lost_history', 'WARNING', why=error)
                await self._try_read(self.list_all())
            except StoreUnavailableError as error:
                log_event('watch_ended', 'DEBUG', why=error)
            await asyncio.sleep(_RETRY_SECONDS)

    async def _follow_watch(self) -> None:
        changes = self._store.watch(self._prefix, self._newest + 1)
        async for change in changes:
            self._newest = max(self._newest, change.revision)
            self._apply(change)
