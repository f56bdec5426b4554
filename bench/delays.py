"""How soon what was decided, or what has failed, is known everywhere."""

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

CHANGES = 60
ENDPOINTS = {'e1': 'abertawe', 'e2': 'caerdydd', 'e3': 'casnewydd'}
ENTRIES = 3


def run_delays() -> Iterator[CaseResult]:
    """Measure with the timing that is the default."""
    yield from asyncio.run(_measure())


async def _measure() -> list[CaseResult]:
    cluster = Cluster(timing=PLANNED_TIMING)
    try:
        await cluster.start(ENDPOINTS, entries=ENTRIES)
        lines = [await _settings(cluster)]
        lines.append(await _resume_gap(cluster))
        lines.append(await _vanish(cluster, 'e2', signal.SIGKILL, 'killed', 1))
        lines.append(await _vanish(cluster, 'e3', signal.SIGSTOP, 'stalled', 3))
    finally:
        await cluster.stop()
    return lines


async def _settings(cluster: Cluster) -> CaseResult:
    delays = []
    for number in range(1, CHANGES + 1):
        started = time.monotonic()
        answer = await cluster.put_settings(
            'cymru', number, 'services/certdesk/max_running'
        )
        check = partial(_in_force, cluster, answer['revision'])
        await cluster.wait_until(check)
        delays.append(time.monotonic() - started)
    worst = percentile(delays, 0.99)
    return CaseResult(
        'setting_in_force',
        {
            'changes': CHANGES,
            'p50_s': percentile(delays, 0.5),
            'p99_s': worst,
            'target_s': 1,
        },
        'p99_s <= 3',
        worst <= 3,
    )


async def _in_force(cluster: Cluster, revision: int) -> bool:
    for number in range(1, ENTRIES + 1):
        status = await cluster.administer(
            'GET', '/status', entry=f'entry-{number}'
        )
        behind = status['revisions'].get('cymru', 0) < revision
        if behind or not all(
            each['holds_settings'] for each in status['endpoints']
        ):
            return False
    return True


async def _vanish(
    cluster: Cluster, name: str, number: int, case: str, most: float
) -> CaseResult:
    cluster.kill(name, number)
    started = time.monotonic()
    await cluster.wait_until(lambda: _is_vetoed(cluster, name))
    took = time.monotonic() - started
    return CaseResult(
        f'{case}_endpoint_out', {'s': took}, f's <= {most}', took <= most
    )


async def _is_vetoed(cluster: Cluster, name: str) -> bool:
    return (await cluster.vetoes()).get(name, 'gone') != ''


async def _resume_gap(cluster: Cluster) -> CaseResult:
    killed_at = 0.0

    async def kill(answer) -> None:
        nonlocal killed_at
        if not killed_at and len(answer.tokens) >= 30:
            killed_at = time.monotonic()
            cluster.kill(f'entry-{ENTRIES}')

    first = await complete(
        cluster.http, cluster.url(f'entry-{ENTRIES}'), 300, on_chunk=kill
    )
    resumed_at = 0.0

    async def note(_answer) -> None:
        nonlocal resumed_at
        resumed_at = resumed_at or time.monotonic()

    second = await complete(
        cluster.http,
        cluster.url('entry-1'),
        300,
        last_event_id=first.event_id,
        on_chunk=note,
    )
    cluster.restart(f'entry-{ENTRIES}')
    whole = len(first.tokens) + len(second.tokens) == 300
    gap = resumed_at - killed_at
    return CaseResult(
        'resume_after_entry_death',
        {'gap_s': gap, 'whole': whole},
        'gap_s <= 1, whole',
        whole and gap <= 1,
    )
