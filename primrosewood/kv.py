"""The platform's key-value service, as the system uses it."""

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
        The pair that stood in the way, None when the key was absent.
    """

    swapped: bool
    revision: int = 0
    current: Pair | None = None


@dataclass(frozen=True, slots=True)
class Change:
    """A watched change; ``pair`` is None for a deletion."""

    key: str
    revision: int
    pair: Pair | None


@dataclass(frozen=True, slots=True)
class Listing:
    """All pairs below a prefix.

    Attributes
    ----------
    revision
        Of the service when the listing began: a watch from the next one on
        misses nothing.
    """

    pairs: list[Pair]
    revision: int


@dataclass(frozen=True, slots=True)
class ChangeList:
    """What changed below a prefix.

    Attributes
    ----------
    revision
        Of the service, up to which these are all changes.
    """

    changes: list[Change]
    revision: int


class KeyValue(ABC):
    """Compare-and-swap, leases and watches.

    Every method raises :class:`~.errors.StoreUnavailableError` when the
    service does not answer; a write may have taken effect all the same.
    """

    @abstractmethod
    async def fetch(self, key: str) -> Pair | None:
        """Return the pair of a key, None when absent."""

    @abstractmethod
    async def list_pairs(self, prefix: str, since: int = 0) -> list[Pair]:
        """Return pairs below a prefix, written at ``since`` or later."""

    @abstractmethod
    async def list_all(self, prefix: str) -> Listing:
        """Return all pairs below a prefix."""

    async def list_changes(self, prefix: str, known: int) -> ChangeList:
        """Return at once what changed below a prefix after a revision.

        Raises
        ------
        HistoryLostError
            The service has no such list, or none back to that revision.
        """
        raise HistoryLostError('the service lists no changes')

    @abstractmethod
    async def swap(
        self, key: str, stored: bytes, expected: int, lease: int = 0
    ) -> SwapResult:
        """Write when the key's revision is ``expected`` (0 for absent)."""

    @abstractmethod
    async def put(self, key: str, stored: bytes, lease: int = 0) -> int:
        """Write whatever stands there and return the revision."""

    @abstractmethod
    async def grant(self, seconds: int) -> int:
        """Return a new lease."""

    @abstractmethod
    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; False when it has lapsed."""

    @abstractmethod
    async def revoke(self, lease: int) -> None:
        """End a lease and delete what was written under it."""

    @abstractmethod
    def watch(self, prefix: str, since: int) -> AsyncIterator[Change]:
        """Yield changes below a prefix from a revision on, until cut off.

        Raises
        ------
        HistoryLostError
            The service no longer has the changes since that revision.
        """


@dataclass(slots=True)
class _Lease:
    seconds: int
    expires_at: float


class MemoryKeyValue(KeyValue):
    """The same service in memory: for tests and behind the stand-in."""

    def __init__(self, clock: Clock | None = None) -> None:
        """Start empty."""
        self._clock = clock or SystemClock()
        self._pairs: dict[str, Pair] = {}
        self._leases: dict[int, _Lease] = {}
        self._lease_of: dict[str, int] = {}
        self._log: list[Change] = []
        self._revision = 0
        self._changed = asyncio.Event()

    @property
    def revision(self) -> int:
        """Revision of the newest write."""
        return self._revision

    async def fetch(self, key: str) -> Pair | None:
        """Return the pair of a key, None when absent."""
        self.expire_leases()
        return self._pairs.get(key)

    async def list_pairs(self, prefix: str, since: int = 0) -> list[Pair]:
        """Return pairs below a prefix, written at ``since`` or later."""
        self.expire_leases()
        return [
            pair
            for key, pair in sorted(self._pairs.items())
            if key.startswith(prefix) and pair.revision >= since
        ]

    async def list_all(self, prefix: str) -> Listing:
        """Return all pairs below a prefix."""
        revision = self._revision
        return Listing(await self.list_pairs(prefix), revision)

    async def list_changes(self, prefix: str, known: int) -> ChangeList:
        """Return what changed below a prefix after a revision."""
        self.expire_leases()
        changes = [
            change
            for change in self._log
            if change.revision > known and change.key.startswith(prefix)
        ]
        return ChangeList(changes, self._revision)

    async def swap(
        self, key: str, stored: bytes, expected: int, lease: int = 0
    ) -> SwapResult:
        """Write when the key's revision is ``expected`` (0 for absent)."""
        self.expire_leases()
        current = self._pairs.get(key)
        revision = current.revision if current else 0
        if revision != expected:
            return SwapResult(swapped=False, current=current)
        return SwapResult(
            swapped=True, revision=self._write(key, stored, lease)
        )

    async def put(self, key: str, stored: bytes, lease: int = 0) -> int:
        """Write whatever stands there and return the revision."""
        self.expire_leases()
        return self._write(key, stored, lease)

    async def grant(self, seconds: int) -> int:
        """Return a new lease."""
        lease = self._revision * 1000 + len(self._leases) + 1
        expires_at = self._clock.monotonic() + seconds
        self._leases[lease] = _Lease(seconds, expires_at)
        return lease

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; False when it has lapsed."""
        self.expire_leases()
        held = self._leases.get(lease)
        if held is None:
            return False
        held.expires_at = self._clock.monotonic() + held.seconds
        return True

    async def revoke(self, lease: int) -> None:
        """End a lease and delete what was written under it."""
        self._leases.pop(lease, None)
        self._delete_leased(lease)

    async def watch(self, prefix: str, since: int) -> AsyncIterator[Change]:
        """Yield changes below a prefix from a revision on."""
        position = 0
        while True:
            changed = self._changed
            for change in self._log[position:]:
                position += 1
                if change.revision >= since and change.key.startswith(prefix):
                    yield change
            await changed.wait()

    def expire_leases(self) -> None:
        """Delete what was written under leases that have lapsed."""
        now = self._clock.monotonic()
        for lease, held in list(self._leases.items()):
            if held.expires_at <= now:
                self._leases.pop(lease)
                self._delete_leased(lease)

    def delete(self, key: str) -> None:
        """Delete a key, as its owner's lease or another writer would."""
        self._lease_of.pop(key, None)
        if self._pairs.pop(key, None) is not None:
            self._record(key, None)

    def _delete_leased(self, lease: int) -> None:
        for key, owner in list(self._lease_of.items()):
            if owner == lease:
                self.delete(key)

    def _write(self, key: str, stored: bytes, lease: int) -> int:
        pair = Pair(key, stored, self._revision + 1)
        self._pairs[key] = pair
        self._lease_of.pop(key, None)
        if lease:
            self._lease_of[key] = lease
        self._record(key, pair)
        return self._revision

    def _record(self, key: str, pair: Pair | None) -> None:
        self._revision += 1
        self._log.append(Change(key, self._revision, pair))
        self._changed.set()
        self._changed = asyncio.Event()
