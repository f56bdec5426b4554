"""Follows a prefix of the key-value service."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

from .errors import HistoryLostError, StoreUnavailableError
from .kv import Change, KeyValue, Pair
from .logs import log_event

__all__ = ('WatchPace', 'Watcher')

_RETRY_SECONDS = 0.5
_POLLS_PER_LISTING = 120
# Deletions that are remembered against listings from before them.
_MOST_DELETED = 4096


@dataclass(frozen=True, slots=True)
class WatchPace:
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


class Watcher:
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
    note_answered
        Called after each poll, with whether the service answered.
    """

    def __init__(
        self,
        store: KeyValue,
        prefix: str,
        pace: WatchPace,
        take: Callable[[str, Pair | None], None],
        note_answered: Callable[[bool], None] | None = None,
    ) -> None:
        """Start without knowledge."""
        self._store = store
        self._prefix = prefix
        self._pace = pace
        self._take = take
        self._note_answered = note_answered or _ignore
        self._known: dict[str, Pair] = {}
        self._deleted: dict[str, int] = {}
        self._newest = 0
        self._told_newest = 0

    @property
    def newest(self) -> int:
        """Last revision that was heard of, from the service or from peers."""
        return max(self._newest, self._told_newest)

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

    async def list_all(self) -> None:
        """Read everything and report deletions."""
        before = dict(self._known)
        listing = await self._store.list_all(self._prefix)
        found = {pair.key for pair in listing.pairs}
        for pair in listing.pairs:
            self._report(pair)
        for key, pair in before.items():
            # What the watch brought while the listing was under way is not
            # in it, and is no deletion.
            if key not in found and self._known.get(key) is pair:
                self._report_deleted(key, listing.revision)
        # A service that has dropped its history refuses to watch from an old
        # revision, even if nothing below the prefix has changed since.
        self._newest = max(self._newest, listing.revision)

    def changes_since(self, revision: int) -> list[Change]:
        """Return what is known to have changed after a revision."""
        changes = [
            Change(pair.key, pair.revision, pair)
            for pair in self._known.values()
            if pair.revision > revision
        ]
        changes += [
            Change(key, deleted, None)
            for key, deleted in self._deleted.items()
            if deleted > revision
        ]
        return changes

    def take_told(self, changes: Iterable[Change], newest: int) -> None:
        """Take what a peer knows while the service does not answer here.

        The watch goes on from where the service was last heard, not from
        what was told: a peer may have missed a change.

        Parameters
        ----------
        changes
            What the peer knows to have changed.
        newest
            Last revision that the peer knows.
        """
        for change in changes:
            self._apply(change)
        self._told_newest = max(self._told_newest, newest)

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
            self._note_answered(False)
            return False
        self._note_answered(True)
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

    def _apply(self, change: Change) -> None:
        if change.pair is None:
            self._report_deleted(change.key, change.revision)
        else:
            self._report(change.pair)

    def _report(self, pair: Pair) -> None:
        # A listing may be older than what the watch has brought meanwhile: it
        # would bring back what was deleted, or an older value.
        deleted = self._deleted.get(pair.key, 0)
        if pair.revision < max(deleted, self._known_revision(pair.key)):
            return
        self._known[pair.key] = pair
        self._deleted.pop(pair.key, None)
        self._take(pair.key, pair)

    def _report_deleted(self, key: str, revision: int) -> None:
        if revision < self._known_revision(key):
            return
        self._known.pop(key, None)
        self._deleted.pop(key, None)
        self._deleted[key] = revision
        while len(self._deleted) > _MOST_DELETED:
            self._deleted.pop(next(iter(self._deleted)))
        self._take(key, None)

    def _known_revision(self, key: str) -> int:
        known = self._known.get(key)
        return known.revision if known else 0


def _ignore(_answered: bool) -> None:
    """Do nothing with whether the service answered."""
