"""Writes to the key-value service against claims of idempotency keys."""

import asyncio
import time
from collections.abc import Iterator

from loguru import logger

from primrosewood.claimrouter import choose_writer
from primrosewood.claims import ClaimKeeper, ClaimProposal, shard_of
from primrosewood.clock import SystemClock
from primrosewood.gen_process import ClaimSettings
from primrosewood.gen_wire import ClaimRecord
from primrosewood.identity import digest_key, make_identifier
from primrosewood.kv import MemoryKeyValue, SwapResult

from .lines import Line

RATE = 500
SECONDS = 4
CLAIMS = RATE * SECONDS
ENTRIES = 2
_MOST_WRITES = 50.0
_LATENCY = 0.003


class CountingStore(MemoryKeyValue):
    """Counts swaps and answers in milliseconds."""

    def __init__(self) -> None:
        """Start with nothing counted."""
        super().__init__()
        self.swaps = 0
        self.swapped = 0

    async def swap(
        self, key: str, stored: bytes, expected: int, lease: int = 0
    ) -> SwapResult:
        """Count and swap."""
        await asyncio.sleep(_LATENCY)
        self.swaps += 1
        swap = await super().swap(key, stored, expected, lease)
        self.swapped += swap.swapped
        return swap


def run_claims() -> Iterator[Line]:
    """Claim at a rate through two entries, with and without one writer."""
    logger.remove()
    yield _measure('claims_without_writers', routed=False)
    line = _measure('claims', routed=True)
    writes = line.pairs['swaps_s']
    line.bound = f'swaps_s <= {_MOST_WRITES:g}, all granted'
    line.ok = writes <= _MOST_WRITES and line.pairs['granted'] == CLAIMS
    yield line


def _measure(case: str, routed: bool) -> Line:
    store, took, granted = asyncio.run(_claim_all(routed))
    took.sort()
    return Line(
        case,
        {
            'claims_s': RATE,
            'granted': granted,
            'swaps_s': store.swaps / SECONDS,
            'effective_swaps_s': store.swapped / SECONDS,
            'wait_p50_s': took[len(took) // 2],
            'wait_p99_s': took[len(took) * 99 // 100],
        },
    )


async def _claim_all(routed: bool) -> tuple[CountingStore, list[float], int]:
    store = CountingStore()
    settings = ClaimSettings()
    keepers = {
        f'entry-{number}': ClaimKeeper(
            store, SystemClock(), settings, patience=5
        )
        for number in range(ENTRIES)
    }
    names = list(keepers)
    took: list[float] = []
    tasks = []
    started = time.monotonic()
    for number in range(CLAIMS):
        at = started + number / RATE
        await asyncio.sleep(max(0, at - time.monotonic()))
        record = _make_claim(number)
        name = names[number % ENTRIES]
        if routed:
            name = choose_writer(
                shard_of(record.digest, settings.shards), names
            )
        tasks.append(asyncio.create_task(_claim(keepers[name], record, took)))
    return store, took, sum(await asyncio.gather(*tasks))


def _make_claim(number: int) -> ClaimRecord:
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


async def _claim(
    keeper: ClaimKeeper, record: ClaimRecord, took: list[float]
) -> bool:
    started = time.monotonic()
    result = await keeper.claim(ClaimProposal(record))
    took.append(time.monotonic() - started)
    return result.granted
