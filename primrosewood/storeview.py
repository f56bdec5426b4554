"""A process's local copy of the keys below a prefix."""

from collections.abc import Callable, Iterable

import xxhash

from .errors import HistoryLostError
from .kv import Change, KeyValue, Pair

__all__ = ('ChangeHandler', 'ContentSelector', 'StoreView')

# Deletions kept so that a listing read before them cannot restore the key.
_MAX_DELETIONS_KEPT = 4096
# Reads of changes between two full listings. A full listing also finds
# changes that the service has dropped from its history without an error.
_READS_PER_LISTING = 4
# Values of this size or more are sent to peers as a difference from their
# previous version, which is kept for that. Smaller ones are sent whole, as the
# saving does not justify keeping two versions.
_LARGE_VALUE_BYTES = 4096

# Called with the key and its pair, None for a deletion. The same change may
# be reported more than once.
ChangeHandler = Callable[[str, Pair | None], None]

# Returns the part of a key's value that matters to its readers.
ContentSelector = Callable[[str, bytes], bytes]


def _select_all(_key: str, stored: bytes) -> bytes:
    """Return the whole value; the default of `select_content`."""
    return stored


class StoreView:
    """Local copy of a prefix, fed by listings, watches and peers.

    Where these sources overlap, the highest revision of a key wins. A value
    that is rewritten with the same content is kept, and otherwise ignored:
    thousands of back ends rewrite their records every second or so to show
    that they are alive.

    Parameters
    ----------
    store
        The key-value service.
    prefix
        Prefix of the keys.
    on_change
        Called with each change, possibly more than once; the pair is None
        for a deletion.
    select_content
        Returns the content of a value, by which rewritten values are told from
        changed ones.
    """

    def __init__(
        self,
        store: KeyValue,
        prefix: str,
        on_change: ChangeHandler,
        select_content: ContentSelector = _select_all,
    ) -> None:
        """Create an empty view."""
        self._store = store
        self._prefix = prefix
        self._on_change = on_change
        self._select_content = select_content
        self._known: dict[str, Pair] = {}
        # Revisions at which the contents of the known keys last changed.
        self._content_revisions: dict[str, int] = {}
        self._digest = 0
        self._deleted: dict[str, int] = {}
        self._previous: dict[str, Pair] = {}
        self._newest = 0
        self._peer_newest = 0
        self._change_reads_left = 0
        self._listing_required = False

    @property
    def newest(self) -> int:
        """Highest revision reported by the service or by peers."""
        return max(self._newest, self._peer_newest)

    @property
    def listing_required(self) -> bool:
        """Whether `require_listing` was called since the last listing."""
        return self._listing_required

    @property
    def digest(self) -> int:
        """Digest of all known keys and their contents."""
        return self._digest

    def find(self, key: str) -> Pair | None:
        """Return the pair of a key, None if it is not known."""
        return self._known.get(key)

    def find_previous(self, key: str) -> Pair | None:
        """Return the previous version of a key whose value is large."""
        return self._previous.get(key)

    async def read(self) -> None:
        """Read the changes since the last read, or list everything.

        A full listing transfers every value below the prefix, such as all
        routes, and takes seconds on a slow network link, whereas the changes
        are a few records.
        """
        if self._listing_required or self._change_reads_left <= 0:
            await self.list_all()
            return
        self._change_reads_left -= 1
        if not await self._read_changes():
            await self.list_all()

    def require_listing(self) -> None:
        """Let the next read list everything."""
        self._listing_required = True

    async def list_all(self) -> None:
        """List the whole prefix and report keys that are gone as deleted."""
        before = dict(self._known)
        listing = await self._store.list_all(self._prefix)
        listed_keys = {pair.key for pair in listing.pairs}
        for pair in listing.pairs:
            self._apply_pair(pair)
        for key, pair in before.items():
            # A key that the watch reported during the listing may be absent
            # from it without being deleted.
            if key not in listed_keys and self._known.get(key) is pair:
                self._apply_deletion(key, listing.revision)
        # The next watch starts here: a service that has dropped its history
        # refuses a watch from an older revision, even if nothing below the
        # prefix has changed since.
        self._newest = max(self._newest, listing.revision)
        self._change_reads_left = _READS_PER_LISTING
        self._listing_required = False

    def changes_since(self, revision: int) -> list[Change]:
        """Return the known changes and deletions after a revision.

        Values that were only rewritten since then are left out.
        """
        changes = [
            Change(key, self._known[key].revision, self._known[key])
            for key, changed in self._content_revisions.items()
            if changed > revision
        ]
        changes += [
            Change(key, deleted, None)
            for key, deleted in self._deleted.items()
            if deleted > revision
        ]
        return changes

    def merge_from_peer(self, changes: Iterable[Change], newest: int) -> None:
        """Apply changes that a peer has read from the service.

        The next watch still starts at the last revision that the service
        itself reported to this process: the peer may have missed a change.

        Parameters
        ----------
        changes
            Changes that the peer knows of.
        newest
            Highest revision that the peer knows of.
        """
        for change in changes:
            self._apply(change)
        self._peer_newest = max(self._peer_newest, newest)

    async def _read_changes(self) -> bool:
        """Read changes; return whether they are known to be complete."""
        known = self.newest
        try:
            listed = await self._store.list_changes(self._prefix, known)
        except HistoryLostError:
            return False
        # Of each key the last change is applied, and a deletion before it: a
        # value that returns is no rewritten one.
        latest: dict[tuple[str, bool], Change] = {}
        for change in listed.changes:
            place = (change.key, change.pair is None)
            latest.pop(place, None)
            latest[place] = change
        for change in latest.values():
            self._apply(change)
        last_revision = max(
            (each.revision for each in listed.changes), default=known
        )
        # A service revision beyond the last listed change means that the
        # service has lost changes without reporting an error.
        if last_revision < listed.revision:
            return False
        self._newest = max(self._newest, last_revision)
        return True

    def _apply(self, change: Change) -> None:
        if change.pair is None:
            self._apply_deletion(change.key, change.revision)
        else:
            self._apply_pair(change.pair)

    def _apply_pair(self, pair: Pair) -> None:
        key = pair.key
        known = self._known.get(key)
        # A listing may be older than what the watch has reported meanwhile,
        # and must not restore a deleted key or an older value.
        if pair.revision < self._deleted.get(key, 0):
            return
        if known is not None and pair.revision <= known.revision:
            return
        self._keep_previous(pair)
        self._known[key] = pair
        self._deleted.pop(key, None)
        if known is None or not self._is_rewritten(known, pair):
            self._toggle_digest(known)
            self._toggle_digest(pair)
            self._content_revisions[key] = pair.revision
            self._on_change(key, pair)

    def _is_rewritten(self, known: Pair, pair: Pair) -> bool:
        select = self._select_content
        return select(pair.key, known.stored) == select(pair.key, pair.stored)

    def _toggle_digest(self, pair: Pair | None) -> None:
        """Add a pair to the digest, or take it out again."""
        if pair is not None:
            content = self._select_content(pair.key, pair.stored)
            self._digest ^= xxhash.xxh3_64_intdigest(
                b'%s\0%s' % (pair.key.encode(), content)
            )

    def _keep_previous(self, pair: Pair) -> None:
        known = self._known.get(pair.key)
        large = len(pair.stored) >= _LARGE_VALUE_BYTES
        if large and known is not None and known.revision < pair.revision:
            self._previous[pair.key] = known

    def _apply_deletion(self, key: str, revision: int) -> None:
        if revision < self._known_revision(key):
            return
        self._toggle_digest(self._known.pop(key, None))
        self._content_revisions.pop(key, None)
        self._previous.pop(key, None)
        self._deleted.pop(key, None)
        self._deleted[key] = revision
        while len(self._deleted) > _MAX_DELETIONS_KEPT:
            self._deleted.pop(next(iter(self._deleted)))
        self._on_change(key, None)

    def _known_revision(self, key: str) -> int:
        known = self._known.get(key)
        return known.revision if known else 0
