"""Interface of the key-value service, and an implementation in memory."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass

from .clock import Clock, SystemClock
from .errors import HistoryLostError

__all__ = (
    'Change',
    'ChangeList',
    'KeyValue',
    'Listing',
    'MemoryKeyValue',
    'Pair',
    'SwapResult',
)


@dataclass(frozen=True, slots=True)
class Pair:
    """A key with its value and the revision that wrote it."""

    key: str
    stored: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class SwapResult:
    """Outcome of a compare-and-swap.

    Attributes
    ----------
    swapped
        Whether the write took effect.
    revision
        Revision of the write, 0 when it did not take effect.
    current
        The stored pair that did not match, None when the key was absent.
    """

    swapped: bool
    revision: int = 0
    current: Pair | None = None


@dataclass(frozen=True, slots=True)
class Change:
    """A write or deletion of a key; ``pair`` is None for a deletion."""

    key: str
    revision: int
    pair: Pair | None


@dataclass(frozen=True, slots=True)
class Listing:
    """All pairs below a prefix.

    Attributes
    ----------
    pairs
        All pairs below the prefix.
    revision
        Revision of the service when the listing began. A watch that starts at
        the next revision misses no change.
    """

    pairs: list[Pair]
    revision: int


@dataclass(frozen=True, slots=True)
class ChangeList:
    """The changes below a prefix after a given revision.

    Attributes
    ----------
    changes
        The changes, in order of revision.
    revision
        Revision of the service up to which the changes are complete.
    """

    changes: list[Change]
    revision: int


class KeyValue(ABC):
    """A key-value service with compare-and-swap, leases and watches.

    Every method raises :class:`~.errors.StoreUnavailableError` when the
    service does not answer. A write that raises it may have taken effect.
    """

    @abstractmethod
    async def fetch(self, key: str) -> Pair | None:
        """Return the pair of a key, None when absent."""

    @abstractmethod
    async def list_pairs(self, prefix: str, since: int = 0) -> list[Pair]:
        """Return the pairs below a prefix with revision ``since`` or later."""

    @abstractmethod
    async def list_all(self, prefix: str) -> Listing:
        """Return all pairs below a prefix, with the revision of the service."""

    async def list_changes(self, prefix: str, known: int) -> ChangeList:
        """Return the changes below a prefix after a revision, without waiting.

        Parameters
        ----------
        prefix
            Prefix of the keys.
        known
            Revision after which changes are returned.

        Raises
        ------
        HistoryLostError
            The service cannot list changes, or its history does not reach
            back to that revision.
        """
        raise HistoryLostError('the service lists no changes')

    @abstractmethod
    async def swap(
        self, key: str, stored: bytes, expected: int, lease: int = 0
    ) -> SwapResult:
        """Write if the key is at revision ``expected`` (0 if absent)."""

    @abstractmethod
    async def put(self, key: str, stored: bytes, lease: int = 0) -> int:
        """Write unconditionally and return the new revision."""

    @abstractmethod
    async def grant(self, seconds: int) -> int:
        """Create a lease with a time to live in seconds; return its ID."""

    @abstractmethod
    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired."""

    @abstractmethod
    async def revoke(self, lease: int) -> None:
        """Revoke a lease and delete the keys attached to it."""

    @abstractmethod
    def watch(self, prefix: str, since: int) -> AsyncIterator[Change]:
        """Yield changes from a revision on, until the connection is lost.

        Raises
        ------
        HistoryLostError
            The service no longer has the changes from that revision on.
        """


@dataclass(slots=True)
class _Lease:
    seconds: int
    expires_at: float


class MemoryKeyValue(KeyValue):
    """Key-value service in memory, for tests and for the stand-ins."""

    def __init__(self, clock: Clock | None = None) -> None:
        """Create an empty service.

        Parameters
        ----------
        clock
            Clock that leases expire by, the system's when None.
        """
        self._clock = clock or SystemClock()
        self._pairs: dict[str, Pair] = {}
        self._leases: dict[int, _Lease] = {}
        self._key_leases: dict[str, int] = {}
        self._history: list[Change] = []
        self._revision = 0
        self._changed = asyncio.Event()

    @property
    def revision(self) -> int:
        """Revision of the latest write or deletion."""
        return self._revision

    async def fetch(self, key: str) -> Pair | None:
        """Return the pair of a key, None when absent."""
        self.expire_leases()
        return self._pairs.get(key)

    async def list_pairs(self, prefix: str, since: int = 0) -> list[Pair]:
        """Return the pairs below a prefix with revision ``since`` or later."""
        self.expire_leases()
        return [
            pair
            for key, pair in sorted(self._pairs.items())
            if key.startswith(prefix) and pair.revision >= since
        ]

    async def list_all(self, prefix: str) -> Listing:
        """Return all pairs below a prefix, with the revision of the service."""
        revision = self._revision
        return Listing(await self.list_pairs(prefix), revision)

    async def list_changes(self, prefix: str, known: int) -> ChangeList:
        """Return the changes below a prefix after a revision."""
        self.expire_leases()
        changes = [
            change
            for change in self._history
            if change.revision > known and change.key.startswith(prefix)
        ]
        return ChangeList(changes, self._revision)

    async def swap(
        self, key: str, stored: bytes, expected: int, lease: int = 0
    ) -> SwapResult:
        """Write if the key is at revision ``expected`` (0 if absent)."""
        self.expire_leases()
        current = self._pairs.get(key)
        revision = current.revision if current else 0
        if revision != expected:
            return SwapResult(swapped=False, current=current)
        return SwapResult(
            swapped=True, revision=self._write(key, stored, lease)
        )

    async def put(self, key: str, stored: bytes, lease: int = 0) -> int:
        """Write unconditionally and return the new revision."""
        self.expire_leases()
        return self._write(key, stored, lease)

    async def grant(self, seconds: int) -> int:
        """Create a lease with a time to live in seconds; return its ID."""
        lease = self._revision * 1000 + len(self._leases) + 1
        expires_at = self._clock.monotonic() + seconds
        self._leases[lease] = _Lease(seconds, expires_at)
        return lease

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired."""
        self.expire_leases()
        granted = self._leases.get(lease)
        if granted is None:
            return False
        granted.expires_at = self._clock.monotonic() + granted.seconds
        return True

    async def revoke(self, lease: int) -> None:
        """Revoke a lease and delete the keys attached to it."""
        self._leases.pop(lease, None)
        self._delete_leased_keys(lease)

    async def watch(self, prefix: str, since: int) -> AsyncIterator[Change]:
        """Yield changes below a prefix from a revision on."""
        position = 0
        while True:
            changed = self._changed
            for change in self._history[position:]:
                position += 1
                if change.revision >= since and change.key.startswith(prefix):
                    yield change
            await changed.wait()

    def expire_leases(self) -> None:
        """Delete the keys attached to leases that have expired."""
        now = self._clock.monotonic()
        for lease, granted in list(self._leases.items()):
            if granted.expires_at <= now:
                self._leases.pop(lease)
                self._delete_leased_keys(lease)

    def delete(self, key: str) -> None:
        """Delete a key, if it exists, and record the deletion."""
        self._key_leases.pop(key, None)
        if self._pairs.pop(key, None) is not None:
            self._append_change(key, None)

    def _delete_leased_keys(self, lease: int) -> None:
        for key, owner in list(self._key_leases.items()):
            if owner == lease:
                self.delete(key)

    def _write(self, key: str, stored: bytes, lease: int) -> int:
        pair = Pair(key, stored, self._revision + 1)
        self._pairs[key] = pair
        self._key_leases.pop(key, None)
        if lease:
            self._key_leases[key] = lease
        self._append_change(key, pair)
        return self._revision

    def _append_change(self, key: str, pair: Pair | None) -> None:
        self._revision += 1
        self._history.append(Change(key, self._revision, pair))
        self._changed.set()
        self._changed = asyncio.Event()
