"""Claims of idempotency keys: pages in the key-value service.

A page holds the claims of one shard of keys. Every change of a page is one
compare-and-swap, made with all claims that wait at this entry; who loses the
swap merges with what stands there and tries again. Safety rests on the swap
alone: no lease and no clock decides who may run a request.
"""

import asyncio
from dataclasses import dataclass, field

import cbor2
import msgspec

from .clock import Clock
from .errors import StoreUnavailableError, WireError
from .gen_process import ClaimSettings
from .gen_wire import ClaimRecord
from .kv import KeyValue
from .logs import log_event
from .process import spawn

__all__ = (
    'CLAIMS_PREFIX',
    'ClaimKeeper',
    'ClaimResult',
    'ClaimProposal',
    'merge_wishes',
    'parse_page',
    'serialise_page',
    'shard_of',
)

CLAIMS_PREFIX = 'primrosewood/claims/'

_DIGEST_DIGITS = 8
_HEXADECIMAL = 16
_LARGEST_PAGE = 1_000_000

Page = dict[str, ClaimRecord]


@dataclass(frozen=True, slots=True)
class ClaimProposal:
    """A claim to be written.

    Attributes
    ----------
    record
        The claim wished for.
    replaces
        Nonce of the claim it follows, empty for the first claim of a key.
    """

    record: ClaimRecord
    replaces: str = ''


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """Whether a wish was granted, and the claim that stands."""

    granted: bool
    record: ClaimRecord


@dataclass(slots=True)
class _Shard:
    name: str
    page: Page = field(default_factory=dict)
    revision: int = 0
    waiting: dict[str, tuple[ClaimProposal, asyncio.Future]] = field(
        default_factory=dict
    )
    task: asyncio.Task | None = None
    in_doubt: bool = True


def shard_of(digest: str, shards: int) -> int:
    """Return the shard of a key's digest."""
    return int(digest[:_DIGEST_DIGITS], _HEXADECIMAL) % shards


def parse_page(stored: bytes) -> Page:
    """Return the claims of a page by their key's digest.

    Raises
    ------
    WireError
        The value is not a page.
    """
    try:
        rows = cbor2.loads(stored)
        records = msgspec.convert(rows, list[ClaimRecord])
    except (cbor2.CBORDecodeError, ValueError) as error:
        raise WireError(f'not a page of claims: {error}') from error
    return {record.digest: record for record in records}


def serialise_page(page: Page) -> bytes:
    """Return a page as it is stored."""
    return cbor2.dumps(msgspec.to_builtins(list(page.values())))


def merge_wishes(
    page: Page, wishes: list[ClaimProposal], oldest: int
) -> tuple[Page, dict[str, ClaimResult]]:
    """Apply wishes to a page.

    Parameters
    ----------
    page
        Claims that stand.
    wishes
        Claims to add, or to put in place of one they name.
    oldest
        Claims made before this wall-clock second are dropped.

    Returns
    -------
    tuple
        The new page, and a result for the nonce of each wish.
    """
    merged = {
        digest: record
        for digest, record in page.items()
        if record.claimed_at >= oldest
    }
    results = {}
    for wish in wishes:
        record = wish.record
        standing = merged.get(record.digest)
        if _may_stand(wish, standing):
            merged[record.digest] = record
            standing = record
        granted = standing.nonce == record.nonce
        results[record.nonce] = ClaimResult(granted, standing)
    return merged, results


def _may_stand(wish: ClaimProposal, standing: ClaimRecord | None) -> bool:
    if standing is None:
        return True
    return bool(wish.replaces) and standing.nonce == wish.replaces


class ClaimKeeper:
    """Writes claims in groups, one swap for a shard at a time.

    Parameters
    ----------
    store
        The key-value service.
    clock
        Source of the wall clock that dates claims.
    settings
        Shards, period and retention.
    patience
        Seconds a claim may wait for the service.
    """

    def __init__(
        self,
        store: KeyValue,
        clock: Clock,
        settings: ClaimSettings,
        patience: float,
    ) -> None:
        """Start with empty pages; each is read on its first use."""
        self._store = store
        self._clock = clock
        self._settings = settings
        self._patience = patience
        self._shards: dict[int, _Shard] = {}
        self._swaps = 0

    @property
    def swaps(self) -> int:
        """Number of compare-and-swaps sent."""
        return self._swaps

    async def claim(self, wish: ClaimProposal) -> ClaimResult:
        """Write a claim, or learn which one stands.

        Raises
        ------
        StoreUnavailableError
            The service did not answer in time. The claim may stand all the
            same; the caller must not offer the request.
        """
        shard = self._shard(shard_of(wish.record.digest, self._settings.shards))
        future = asyncio.get_running_loop().create_future()
        shard.waiting[wish.record.nonce] = (wish, future)
        if shard.task is None or shard.task.done():
            shard.task = spawn(self._write_shard(shard), 'claims')
        try:
            return await asyncio.wait_for(future, self._patience)
        except TimeoutError as error:
            raise StoreUnavailableError('the claim was not written') from error
        finally:
            shard.waiting.pop(wish.record.nonce, None)

    async def look_up(self, digest: str) -> ClaimRecord | None:
        """Return the claim that stands for a key.

        Raises
        ------
        StoreUnavailableError
            The service did not answer.
        """
        shard = self._shard(shard_of(digest, self._settings.shards))
        pair = await self._store.fetch(shard.name)
        return parse_page(pair.stored).get(digest) if pair else None

    def _shard(self, number: int) -> _Shard:
        shard = self._shards.get(number)
        if shard is None:
            shard = _Shard(CLAIMS_PREFIX + str(number))
            self._shards[number] = shard
        return shard

    async def _write_shard(self, shard: _Shard) -> None:
        while shard.waiting:
            try:
                await self._write_page(shard)
            except (StoreUnavailableError, WireError) as error:
                shard.in_doubt = True
                log_event('claims_delayed', 'WARNING', why=error)
            await asyncio.sleep(self._settings.period_seconds)

    async def _write_page(self, shard: _Shard) -> None:
        if shard.in_doubt:
            await self._read_back(shard)
        wishes = [wish for wish, _future in shard.waiting.values()]
        oldest = int(self._clock.wall()) - self._settings.retention_seconds
        merged, results = merge_wishes(shard.page, wishes, oldest)
        standing = {
            nonce: result
            for nonce, result in results.items()
            if not self._is_new(shard, result)
        }
        _settle(shard, standing)
        if len(standing) == len(results):
            return
        if await self._swap_page(shard, merged):
            _settle(shard, results)
        else:
            await self._write_page(shard)

    async def _read_back(self, shard: _Shard) -> None:
        # A swap whose answer was lost may have taken effect. Reading the page
        # back shows our nonce in it, so the claim is recognised, not refused
        # as somebody else's and not made twice.
        pair = await self._store.fetch(shard.name)
        self._take_page(shard, pair)
        shard.in_doubt = False

    async def _swap_page(self, shard: _Shard, merged: Page) -> bool:
        stored = serialise_page(merged)
        if len(stored) > _LARGEST_PAGE:
            # The service refuses larger values, each time anew: claims of
            # this shard wait until old ones are dropped.
            raise StoreUnavailableError('the page of claims is full')
        self._swaps += 1
        swap = await self._store.swap(shard.name, stored, shard.revision)
        if not swap.swapped:
            self._take_page(shard, swap.current)
            return False
        shard.page = merged
        shard.revision = swap.revision
        return True

    def _is_new(self, shard: _Shard, result: ClaimResult) -> bool:
        standing = shard.page.get(result.record.digest)
        return standing is None or standing.nonce != result.record.nonce

    def _take_page(self, shard: _Shard, pair) -> None:
        shard.page = parse_page(pair.stored) if pair else {}
        shard.revision = pair.revision if pair else 0


def _settle(shard: _Shard, results: dict[str, ClaimResult]) -> None:
    for nonce, result in results.items():
        _wish, future = shard.waiting.get(nonce, (None, None))
        if future is not None and not future.done():
            future.set_result(result)
