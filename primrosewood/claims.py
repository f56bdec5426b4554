"""Claims of idempotency keys, stored as pages in the key-value service.

A page holds the claims of one shard of keys. An entry writes all its waiting
claims for a page in one compare-and-swap. When another entry has changed the
page in between, the swap fails, and the claims are merged into the new page
and written again. Safety depends only on the compare-and-swap: no lease and
no clock decides who may run a request.
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
    'ClaimProposal',
    'ClaimResult',
    'ClaimWriter',
    'apply_proposals',
    'parse_page',
    'serialise_page',
    'shard_of',
)

CLAIMS_PREFIX = 'primrosewood/claims/'

_SHARD_DIGITS = 8
_HEX_BASE = 16
_MAX_PAGE_BYTES = 1_000_000

Page = dict[str, ClaimRecord]


@dataclass(frozen=True, slots=True)
class ClaimProposal:
    """A claim that an entry wants to write.

    Attributes
    ----------
    record
        The new claim.
    replaces
        Nonce of the claim it replaces, empty for the first claim of a key.
    """

    record: ClaimRecord
    replaces: str = ''


@dataclass(frozen=True, slots=True)
class ClaimResult:
    """Whether a proposal was granted, and the claim in force for the key."""

    granted: bool
    record: ClaimRecord


@dataclass(slots=True)
class _Shard:
    """State of one shard at this entry.

    Attributes
    ----------
    name
        Key of its page in the key-value service.
    page, revision
        The page as last read or written, and its revision.
    waiting
        Proposals to be written and the futures of their results, by nonce.
    task
        The task that writes the proposals.
    must_read
        Whether the page is unknown and has to be read before a write.
    """

    name: str
    page: Page = field(default_factory=dict)
    revision: int = 0
    waiting: dict[str, tuple[ClaimProposal, asyncio.Future]] = field(
        default_factory=dict
    )
    task: asyncio.Task | None = None
    must_read: bool = True


def shard_of(digest: str, shards: int) -> int:
    """Return the number of the shard that a key's digest belongs to."""
    return int(digest[:_SHARD_DIGITS], _HEX_BASE) % shards


def parse_page(stored: bytes) -> Page:
    """Decode a page and return its claims by their key's digest.

    Raises
    ------
    WireError
        The value is not a valid page.
    """
    try:
        rows = cbor2.loads(stored)
        records = msgspec.convert(rows, list[ClaimRecord])
    except (cbor2.CBORDecodeError, ValueError) as error:
        raise WireError(f'not a page of claims: {error}') from error
    return {record.digest: record for record in records}


def serialise_page(page: Page) -> bytes:
    """Encode a page for the key-value service."""
    return cbor2.dumps(msgspec.to_builtins(list(page.values())))


def apply_proposals(
    page: Page, proposals: list[ClaimProposal], oldest_kept: int
) -> tuple[Page, dict[str, ClaimResult]]:
    """Apply proposals to a page.

    Parameters
    ----------
    page
        Claims in force, by their key's digest.
    proposals
        Claims to add, or to put in place of the claim they replace.
    oldest_kept
        Claims made before this time are dropped, wall-clock seconds.

    Returns
    -------
    tuple
        The new page, and the results by the nonce of each proposal.
    """
    merged = {
        digest: record
        for digest, record in page.items()
        if record.claimed_at >= oldest_kept
    }
    results = {}
    for proposal in proposals:
        record = proposal.record
        current = merged.get(record.digest)
        if _is_applicable(proposal, current):
            merged[record.digest] = record
            current = record
        granted = current.nonce == record.nonce
        results[record.nonce] = ClaimResult(granted, current)
    return merged, results


def _is_applicable(
    proposal: ClaimProposal, current: ClaimRecord | None
) -> bool:
    if current is None:
        return True
    return bool(proposal.replaces) and current.nonce == proposal.replaces


class ClaimWriter:
    """Writes claims in batches, with one swap in flight per shard.

    Parameters
    ----------
    store
        The key-value service.
    clock
        Wall clock by which old claims expire.
    settings
        Number of shards, period between writes, and retention of claims.
    timeout_seconds
        Timeout in seconds for writing a claim.
    """

    def __init__(
        self,
        store: KeyValue,
        clock: Clock,
        settings: ClaimSettings,
        timeout_seconds: float,
    ) -> None:
        """Start without pages; each is read on its first use."""
        self._store = store
        self._clock = clock
        self._settings = settings
        self._timeout_seconds = timeout_seconds
        self._shards: dict[int, _Shard] = {}
        self._swaps = 0

    @property
    def swaps(self) -> int:
        """Number of compare-and-swap requests sent."""
        return self._swaps

    async def claim(self, proposal: ClaimProposal) -> ClaimResult:
        """Write a claim, or return the one already in force for its key.

        Raises
        ------
        StoreUnavailableError
            The service did not answer in time. The claim may have been
            written all the same; the caller must not offer the request.
        """
        shard = self._get_shard(
            shard_of(proposal.record.digest, self._settings.shards)
        )
        future = asyncio.get_running_loop().create_future()
        shard.waiting[proposal.record.nonce] = (proposal, future)
        if shard.task is None or shard.task.done():
            shard.task = spawn(self._write_shard(shard), 'claims')
        try:
            return await asyncio.wait_for(future, self._timeout_seconds)
        except TimeoutError as error:
            raise StoreUnavailableError('the claim was not written') from error
        finally:
            shard.waiting.pop(proposal.record.nonce, None)

    async def look_up(self, digest: str) -> ClaimRecord | None:
        """Read the claim in force for a key, None when there is none.

        Raises
        ------
        StoreUnavailableError
            The service did not answer.
        WireError
            The value is not a valid page.
        """
        shard = self._get_shard(shard_of(digest, self._settings.shards))
        pair = await self._store.fetch(shard.name)
        return parse_page(pair.stored).get(digest) if pair else None

    def _get_shard(self, number: int) -> _Shard:
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
                shard.must_read = True
                log_event('claims_delayed', 'WARNING', why=error)
            await asyncio.sleep(self._settings.period_seconds)

    async def _write_page(self, shard: _Shard) -> None:
        if shard.must_read:
            await self._read_page(shard)
        proposals = [proposal for proposal, _future in shard.waiting.values()]
        oldest_kept = int(self._clock.wall()) - self._settings.retention_seconds
        merged, results = apply_proposals(shard.page, proposals, oldest_kept)
        already_written = {
            nonce: result
            for nonce, result in results.items()
            if not self._needs_write(shard, result)
        }
        _resolve_waiting(shard, already_written)
        if len(already_written) == len(results):
            return
        if await self._swap_page(shard, merged):
            _resolve_waiting(shard, results)
        else:
            await self._write_page(shard)

    async def _read_page(self, shard: _Shard) -> None:
        # A swap may have succeeded although its response was lost. The page
        # then contains the nonce of the claim, by which it is recognised as
        # written, neither refused as another entry's nor written twice.
        pair = await self._store.fetch(shard.name)
        self._use_page(shard, pair)
        shard.must_read = False

    async def _swap_page(self, shard: _Shard, merged: Page) -> bool:
        stored = serialise_page(merged)
        if len(stored) > _MAX_PAGE_BYTES:
            # The service refuses larger values, so sending this one is of no
            # use. New claims of this shard wait until old ones expire.
            raise StoreUnavailableError('the page of claims is full')
        self._swaps += 1
        swap = await self._store.swap(shard.name, stored, shard.revision)
        if not swap.swapped:
            self._use_page(shard, swap.current)
            return False
        shard.page = merged
        shard.revision = swap.revision
        return True

    def _needs_write(self, shard: _Shard, result: ClaimResult) -> bool:
        current = shard.page.get(result.record.digest)
        return current is None or current.nonce != result.record.nonce

    def _use_page(self, shard: _Shard, pair) -> None:
        shard.page = parse_page(pair.stored) if pair else {}
        shard.revision = pair.revision if pair else 0


def _resolve_waiting(shard: _Shard, results: dict[str, ClaimResult]) -> None:
    for nonce, result in results.items():
        _proposal, future = shard.waiting.get(nonce, (None, None))
        if future is not None and not future.done():
            future.set_result(result)
