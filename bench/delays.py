"""Delays until settings changes and endpoint failures are known everywhere.

Also measures the gap in a stream that resumes at another entry.
"""

import asyncio
import signal
import time
from collections.abc import Iterator
from functools import partial

from tests.processes.callers import complete
from tests.processes.harness import Cluster

from .policies import percentile
from .results import CaseResult
from .slopes import PLANNED_TIMING

CHANGE_COUNT = 60
ENDPOINT_DOMAINS = {'e1': 'abertawe', 'e2': 'caerdydd', 'e3': 'casnewydd'}
ENTRY_COUNT = 3


def run_delays() -> Iterator[CaseResult]:
    """Measure on a small cluster with the default timing."""
    yield from asyncio.run(_measure_all())


async def _measure_all() -> list[CaseResult]:
    cluster = Cluster(timing=PLANNED_TIMING)
    try:
        await cluster.start(ENDPOINT_DOMAINS, entries=ENTRY_COUNT)
        results = [await _measure_settings_change(cluster)]
        results.append(await _measure_resume_gap(cluster))
        results.append(
            await _measure_endpoint_loss(
                cluster, 'e2', signal.SIGKILL, 'killed', 1
            )
        )
        results.append(
            await _measure_endpoint_loss(
                cluster, 'e3', signal.SIGSTOP, 'stalled', 3
            )
        )
    finally:
        await cluster.stop()
    return results


async def _measure_settings_change(cluster: Cluster) -> CaseResult:
    delays = []
    for number in range(1, CHANGE_COUNT + 1):
        started_at = time.monotonic()
        answer = await cluster.put_settings(
            'cymru', number, 'services/certdesk/max_running'
        )
        check = partial(_is_in_force, cluster, answer['revision'])
        await cluster.wait_until(check)
        delays.append(time.monotonic() - started_at)
    p99 = percentile(delays, 0.99)
    return CaseResult(
        'setting_in_force',
        {
            'changes': CHANGE_COUNT,
            'p50_s': percentile(delays, 0.5),
            'p99_s': p99,
            'target_s': 1,
        },
        'p99_s <= 3',
        p99 <= 3,
    )


async def _is_in_force(cluster: Cluster, revision: int) -> bool:
    for number in range(1, ENTRY_COUNT + 1):
        status = await cluster.administer(
            'GET', '/status', entry=f'entry-{number}'
        )
        is_behind = status['revisions'].get('cymru', 0) < revision
        if is_behind or not all(
            each['holds_settings'] for each in status['endpoints']
        ):
            return False
    return True


async def _measure_endpoint_loss(
    cluster: Cluster,
    name: str,
    signal_number: int,
    failure: str,
    max_seconds: float,
) -> CaseResult:
    cluster.kill(name, signal_number)
    started_at = time.monotonic()
    await cluster.wait_until(lambda: _is_vetoed(cluster, name))
    seconds = time.monotonic() - started_at
    return CaseResult(
        f'{failure}_endpoint_out',
        {'s': seconds},
        f's <= {max_seconds}',
        seconds <= max_seconds,
    )


async def _is_vetoed(cluster: Cluster, name: str) -> bool:
    return (await cluster.vetoes()).get(name, 'gone') != ''


async def _measure_resume_gap(cluster: Cluster) -> CaseResult:
    killed_at = 0.0

    async def kill_entry(answer) -> None:
        nonlocal killed_at
        if not killed_at and len(answer.tokens) >= 30:
            killed_at = time.monotonic()
            cluster.kill(f'entry-{ENTRY_COUNT}')

    first_answer = await complete(
        cluster.http,
        cluster.url(f'entry-{ENTRY_COUNT}'),
        300,
        on_chunk=kill_entry,
    )
    resumed_at = 0.0

    async def record_resume(_answer) -> None:
        nonlocal resumed_at
        resumed_at = resumed_at or time.monotonic()

    second_answer = await complete(
        cluster.http,
        cluster.url('entry-1'),
        300,
        last_event_id=first_answer.event_id,
        on_chunk=record_resume,
    )
    cluster.restart(f'entry-{ENTRY_COUNT}')
    whole = len(first_answer.tokens) + len(second_answer.tokens) == 300
    gap = resumed_at - killed_at
    return CaseResult(
        'resume_after_entry_death',
        {'gap_s': gap, 'whole': whole},
        'gap_s <= 1, whole',
        whole and gap <= 1,
    )
