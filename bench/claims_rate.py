"""Rate of key-value writes that claims of idempotency keys cause."""

import asyncio
import time
from collections.abc import Iterator

from loguru import logger

from primrosewood.claimrouter import choose_writer
from primrosewood.claims import ClaimProposal, ClaimWriter, shard_of
from primrosewood.clock import SystemClock
from primrosewood.gen_process import ClaimSettings
from primrosewood.gen_wire import ClaimRecord
from primrosewood.identity import digest_key, make_identifier
from primrosewood.kv import MemoryKeyValue, SwapResult

from .results import CaseResult

CLAIMS_PER_SECOND = 500
DURATION_SECONDS = 4
CLAIM_COUNT = CLAIMS_PER_SECOND * DURATION_SECONDS
ENTRY_COUNT = 2
_MAX_SWAPS_PER_SECOND = 50.0
_STORE_LATENCY_SECONDS = 0.003


class CountingStore(MemoryKeyValue):
    """In-memory key-value service that counts swaps and delays answers.

    Attributes
    ----------
    swaps
        Attempted compare-and-swap writes.
    effective_swaps
        Writes that took effect.
    """

    def __init__(self) -> None:
        """Start with empty data and counters at zero."""
        super().__init__()
        self.swaps = 0
        self.effective_swaps = 0

    async def swap(
        self, key: str, stored: bytes, expected: int, lease: int = 0
    ) -> SwapResult:
        """Write after the latency of the service, and count the attempt."""
        await asyncio.sleep(_STORE_LATENCY_SECONDS)
        self.swaps += 1
        swap = await super().swap(key, stored, expected, lease)
        self.effective_swaps += swap.swapped
        return swap


def run_claims() -> Iterator[CaseResult]:
    """Claim keys through two entries, with and without a writer per shard."""
    logger.remove()
    yield _measure_case('claims_without_writers', use_shard_writers=False)
    result = _measure_case('claims', use_shard_writers=True)
    swaps_per_second = result.figures['swaps_s']
    result.bound = f'swaps_s <= {_MAX_SWAPS_PER_SECOND:g}, all granted'
    result.ok = (
        swaps_per_second <= _MAX_SWAPS_PER_SECOND
        and result.figures['granted'] == CLAIM_COUNT
    )
    yield result


def _measure_case(case: str, use_shard_writers: bool) -> CaseResult:
    store, wait_seconds, granted = asyncio.run(_run_claims(use_shard_writers))
    wait_seconds.sort()
    return CaseResult(
        case,
        {
            'claims_s': CLAIMS_PER_SECOND,
            'granted': granted,
            'swaps_s': store.swaps / DURATION_SECONDS,
            'effective_swaps_s': store.effective_swaps / DURATION_SECONDS,
            'wait_p50_s': wait_seconds[len(wait_seconds) // 2],
            'wait_p99_s': wait_seconds[len(wait_seconds) * 99 // 100],
        },
    )


async def _run_claims(
    use_shard_writers: bool,
) -> tuple[CountingStore, list[float], int]:
    store = CountingStore()
    settings = ClaimSettings()
    claim_writers = {
        f'entry-{number}': ClaimWriter(
            store, SystemClock(), settings, timeout_seconds=5
        )
        for number in range(ENTRY_COUNT)
    }
    names = list(claim_writers)
    wait_seconds: list[float] = []
    tasks = []
    started_at = time.monotonic()
    for number in range(CLAIM_COUNT):
        due_at = started_at + number / CLAIMS_PER_SECOND
        await asyncio.sleep(max(0, due_at - time.monotonic()))
        record = _make_claim_record(number)
        name = names[number % ENTRY_COUNT]
        if use_shard_writers:
            name = choose_writer(
                shard_of(record.digest, settings.shards), names
            )
        tasks.append(
            asyncio.create_task(
                _time_claim(claim_writers[name], record, wait_seconds)
            )
        )
    return store, wait_seconds, sum(await asyncio.gather(*tasks))


def _make_claim_record(number: int) -> ClaimRecord:
    return ClaimRecord(
        digest=digest_key('t/o', 's', str(number)),
        nonce=make_identifier(),
        attempt=make_identifier(),
        number=1,
        endpoint='endpoint-1',
        incarnation='0123456789abcdef',
        body_digest=digest_key(str(number)),
        claimed_at=int(time.time()),
    )


async def _time_claim(
    claim_writer: ClaimWriter, record: ClaimRecord, wait_seconds: list[float]
) -> bool:
    started_at = time.monotonic()
    result = await claim_writer.claim(ClaimProposal(record))
    wait_seconds.append(time.monotonic() - started_at)
    return result.granted
