"""Benchmark of the request path with real processes.

Measures memory, CPU time per token and the effect of a stalled reader.
"""

import asyncio
import os
import time
from collections.abc import Iterator
from pathlib import Path

import aiohttp
from aiohttp import web

from tests.processes.callers import call_service, complete
from tests.processes.harness import Cluster, free_port

from .policies import percentile
from .results import CaseResult

_STREAM_COUNT = 40
_TOKENS_PER_STREAM = 400
_READER_COUNT = 50
_MAX_IDLE_MEGABYTES = 64
_MAX_SLOWDOWN = 1.2
_KILOBYTES_PER_MEGABYTE = 1024
_REQUEST_COUNT = 20_000
_QUICK_REQUEST_COUNT = 3000
_CONCURRENT_CALLERS = 16
_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
_TEAM_COUNT = 23
_ORGANISATION_COUNT = 10
_MODEL_COUNT = 31


def run_path(quick: bool) -> Iterator[CaseResult]:
    """Measure a cluster of one entry, one engine and one service."""
    yield from asyncio.run(_measure_all(quick))


async def _measure_all(quick: bool) -> list[CaseResult]:
    cluster = Cluster(service={'max_running': 128, 'start_running': 128})
    try:
        await cluster.start(
            {'e1': 'abertawe'},
            services={'s1': 'abertawe'},
            engine_flags=('--capacity=1000000', '--step=0.01'),
        )
        results = [await _measure_idle_memory(cluster)]
        results += await _measure_token_cost(cluster)
        results.append(await _measure_slow_reader(cluster))
        requests = _QUICK_REQUEST_COUNT if quick else _REQUEST_COUNT
        results.append(await _measure_memory_growth(cluster, requests))
    finally:
        await cluster.stop()
    return results


async def _measure_idle_memory(cluster: Cluster) -> CaseResult:
    """Measure resident memory with settings of the planned size."""
    for team in range(_TEAM_COUNT):
        document = {
            'organisations': {
                f'organisation-{number}': {
                    'key_sha256': f'{team:032x}{number:032x}'
                }
                for number in range(_ORGANISATION_COUNT)
            },
            'services': {
                f'model-{number}': {'kind': 'model'}
                for number in range(_MODEL_COUNT)
            },
        }
        await cluster.put_settings(f'team-{team}', document)
    megabytes = {
        role: resident_megabytes(cluster, name)
        for role, name in (('entry', 'entry-1'), ('endpoint', 'e1'))
    }
    return CaseResult(
        'idle_memory',
        {f'{role}_mb': used for role, used in megabytes.items()},
        f'each <= {_MAX_IDLE_MEGABYTES}',
        max(megabytes.values()) <= _MAX_IDLE_MEGABYTES,
    )


def resident_megabytes(cluster: Cluster, name: str) -> float:
    """Return the resident memory of a process in megabytes."""
    pid = cluster.parts[name].process.pid
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / _KILOBYTES_PER_MEGABYTE
    raise ValueError(name)


def cpu_seconds(pid: int) -> float:
    """Return the CPU seconds that a process has used."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


async def _measure_token_cost(cluster: Cluster) -> list[CaseResult]:
    """Compare CPU time per token with that of a pass-through proxy.

    The proxy forwards chunks without parsing them, from the same engine
    stand-in and with the same number of streams.
    """
    pids = {
        role: cluster.parts[name].process.pid
        for role, name in (('entry', 'entry-1'), ('endpoint', 'e1'))
    }
    before = {role: cpu_seconds(pid) for role, pid in pids.items()}
    entry_url = cluster.url('entry-1')
    await _run_streams(cluster, entry_url)
    tokens = _STREAM_COUNT * _TOKENS_PER_STREAM
    costs = {
        role: (cpu_seconds(pid) - before[role]) / tokens * 1e6
        for role, pid in pids.items()
    }
    pass_through = await _measure_pass_through_cost(cluster)
    return [
        CaseResult(
            'token_cost',
            {
                **{f'{role}_us': cost for role, cost in costs.items()},
                'bare_pass_through_us': pass_through,
                'entry_ratio': costs['entry'] / pass_through,
                'endpoint_ratio': costs['endpoint'] / pass_through,
                'target': 2,
            },
            'entry ratio <= 4, endpoint ratio <= 4',
            max(costs.values()) / pass_through <= 4,
        )
    ]


async def _run_streams(cluster: Cluster, url: str) -> None:
    answers = await asyncio.gather(
        *(
            complete(cluster.http, url, _TOKENS_PER_STREAM)
            for _ in range(_STREAM_COUNT)
        )
    )
    if not all(answer.done for answer in answers):
        raise RuntimeError('a benchmark stream did not complete')


async def _measure_pass_through_cost(cluster: Cluster) -> float:
    """Return the CPU microseconds per token of a pass-through proxy."""
    port = free_port()
    code = 'from bench.path import serve_pass_through as s; s({}, {!r})'
    engine = cluster.url('e1-engine')
    process = await asyncio.create_subprocess_exec(
        os.sys.executable, '-c', code.format(port, engine)
    )
    url = f'http://127.0.0.1:{port}'
    for _ in range(200):
        try:
            async with cluster.http.get(f'{url}/load'):
                break
        except aiohttp.ClientError:
            await asyncio.sleep(0.05)
    before = cpu_seconds(process.pid)
    await _run_pass_through_streams(cluster, url)
    cost = cpu_seconds(process.pid) - before
    process.kill()
    await process.wait()
    return cost / (_STREAM_COUNT * _TOKENS_PER_STREAM) * 1e6


async def _run_pass_through_streams(cluster: Cluster, url: str) -> None:
    async def read(number: int) -> None:
        body = {
            'request_id': f'bare-{number}',
            'model': 'cert-1',
            'prompt': f'[length={_TOKENS_PER_STREAM}]',
            'max_tokens': _TOKENS_PER_STREAM,
            'stream': True,
        }
        async with cluster.http.post(
            f'{url}/v1/completions', json=body
        ) as response:
            async for _line in response.content:
                continue

    await asyncio.gather(*(read(number) for number in range(_STREAM_COUNT)))


def serve_pass_through(port: int, engine: str) -> None:
    """Run the pass-through proxy until it is killed."""

    async def forward(request: web.Request) -> web.StreamResponse:
        session = request.app['session']
        async with session.request(
            request.method, f'{engine}{request.path}', data=request.content
        ) as upstream:
            response = web.StreamResponse(status=upstream.status)
            response.content_type = upstream.content_type
            await response.prepare(request)
            async for chunk in upstream.content.iter_any():
                await response.write(chunk)
            return response

    async def open_session(app: web.Application) -> None:
        app['session'] = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )

    app = web.Application()
    app.router.add_route('*', '/{path:.*}', forward)
    app.on_startup.append(open_session)
    web.run_app(app, host='127.0.0.1', port=port, print=None, access_log=None)


async def _measure_slow_reader(cluster: Cluster) -> CaseResult:
    """Compare gaps between chunks without and with a stalled reader."""
    entry_url = cluster.url('entry-1')
    p99_alone = await _measure_gap_p99(cluster, entry_url, stalled=0)
    p99_with_stalled = await _measure_gap_p99(cluster, entry_url, stalled=1)
    ratio = p99_with_stalled / p99_alone
    return CaseResult(
        'slow_reader',
        {
            'p99_alone_s': p99_alone,
            'p99_beside_s': p99_with_stalled,
            'ratio': ratio,
        },
        f'ratio <= {_MAX_SLOWDOWN:g}',
        ratio <= _MAX_SLOWDOWN,
    )


async def _measure_gap_p99(cluster: Cluster, url: str, stalled: int) -> float:
    """Return the p99 gap of the readers that keep up."""
    gaps: list[float] = []

    async def read(number: int) -> None:
        last_chunk_at = 0.0

        async def record_gap(answer) -> None:
            nonlocal last_chunk_at
            if number < stalled:
                await asyncio.sleep(0.2)
                return
            now = time.monotonic()
            if last_chunk_at:
                gaps.append(now - last_chunk_at)
            last_chunk_at = now

        await complete(
            cluster.http, url, _TOKENS_PER_STREAM, on_chunk=record_gap
        )

    readers = [asyncio.create_task(read(n)) for n in range(_READER_COUNT)]
    await asyncio.wait(readers[stalled:])
    for reader in readers[:stalled]:
        reader.cancel()
    return percentile(gaps, 0.99)


async def _measure_memory_growth(cluster: Cluster, requests: int) -> CaseResult:
    """Measure memory growth over the second half of many requests."""
    names = (('entry', 'entry-1'), ('endpoint', 's1'))
    await call_many(cluster, requests // 2)
    at_half = {role: resident_megabytes(cluster, name) for role, name in names}
    await call_many(cluster, requests // 2)
    at_end = {role: resident_megabytes(cluster, name) for role, name in names}
    growth = {role: at_end[role] - at_half[role] for role in at_end}
    return CaseResult(
        'memory_growth',
        {
            'requests': requests,
            **{f'{role}_mb': at_end[role] for role in at_end},
            **{
                f'{role}_growth_mb': megabytes
                for role, megabytes in growth.items()
            },
        },
        'growth over the second half <= 4',
        max(growth.values()) <= 4,
    )


async def call_many(cluster: Cluster, count: int) -> None:
    """Send stock look-ups through the entry with limited concurrency."""
    numbers = iter(range(count))

    async def send_calls() -> None:
        for _number in numbers:
            await call_service(
                cluster.http,
                cluster.url('entry-1'),
                'GET',
                'reorders/stock/reel',
            )

    await asyncio.gather(*(send_calls() for _ in range(_CONCURRENT_CALLERS)))
