"""What a process knows of the keys below a prefix."""

from collections.abc import Callable, Iterable

from .errors import HistoryLostError
from .kv import Change, KeyValue, Pair

__all__ = ('StoreView', 'Taker')

# Deletions that are remembered against listings from before them.
_MOST_DELETED = 4096
# Readings of changes after each listing; a listing needs no history that a
# service might have lost without a sign.
_READINGS_A_LISTING = 4
# Values from this size on are told as a difference, which needs the version
# before; smaller ones are hardly worth keeping twice.
_LARGE_BYTES = 4096

# Told of each change, repeats included; None for a deletion.
Taker = Callable[[str, Pair | None], None]


class StoreView:
    """Keeps what listings, watches and peers bring, newest first.

    Parameters
    ----------
    store
        The key-value service.
    prefix
        What to follow.
    take
        Called with each change, repeats included; None for a deletion.
    """

    def __init__(self, store: KeyValue, prefix: str, take: Taker) -> None:
        """Start without knowledge."""
        self._store = store
        self._prefix = prefix
        self._take = take
        self._known: dict[str, Pair] = {}
        self._deleted: dict[str, int] = {}
        self._older: dict[str, Pair] = {}
        self._newest = 0
        self._told_newest = 0
        self._readings_left = 0

    @property
    def newest(self) -> int:
        """Last revision that was heard of, from the service or from peers."""
        return max(self._newest, self._told_newest)

    def find(self, key: str) -> Pair | None:
        """Return what is known of a key."""
        return self._known.get(key)

    def find_previous(self, key: str) -> Pair | None:
        """Return the version before of a key with a large value."""
        return self._older.get(key)

    async def read(self) -> None:
        """Read what changed since what is known, or everything.

        A listing carries all routes, which takes seconds on a thin line; what
        changed is a few records.
        """
        if self._readings_left <= 0:
            await self.list_all()
            return
        self._readings_left -= 1
        if not await self._read_changes():
            await self.list_all()

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
        self._readings_left = _READINGS_A_LISTING

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

    def merge_from_peer(self, changes: Iterable[Change], newest: int) -> None:
        """Take what a peer has read in place of this process.

        A watch goes on from where the service itself was last heard, not from
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

    async def _read_changes(self) -> bool:
        """Read what changed; tell whether that is known to be all."""
        known = self.newest
        try:
            seen = await self._store.list_changes(self._prefix, known)
        except HistoryLostError:
            return False
        # Of several versions only the last matters.
        newest = {change.key: change for change in seen.changes}
        for change in newest.values():
            self._apply(change)
        last = max((each.revision for each in seen.changes), default=known)
        # A service that is at a later revision, without a change that made
        # it, has lost some: it hears nothing and does not say so.
        if last < seen.revision:
            return False
        self._newest = max(self._newest, last)
        return True

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
        self._keep_older(pair)
        self._known[pair.key] = pair
        self._deleted.pop(pair.key, None)
        self._take(pair.key, pair)

    def _keep_older(self, pair: Pair) -> None:
        known = self._known.get(pair.key)
        large = len(pair.stored) >= _LARGE_BYTES
        if large and known is not None and known.revision < pair.revision:
            self._older[pair.key] = known

    def _report_deleted(self, key: str, revision: int) -> None:
        if revision < self._known_revision(key):
            return
        self._known.pop(key, None)
        self._older.pop(key, None)
        self._deleted.pop(key, None)
        self._deleted[key] = revision
        while len(self._deleted) > _MOST_DELETED:
            self._deleted.pop(next(iter(self._deleted)))
        self._take(key, None)

    def _known_revision(self, key: str) -> int:
        known = self._known.get(key)
        return known.revision if known else 0
