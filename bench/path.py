"""The path with real processes: memory, processor time, slow readers."""

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

_STREAMS = 40
_TOKENS = 400
_READERS = 50
_IDLE_MEGABYTES = 64
_MOST_SLOWDOWN = 1.2
_KILO = 1024
_REQUESTS = 20_000
_QUICK_REQUESTS = 3000
_PARALLEL = 16
_TICKS = os.sysconf('SC_CLK_TCK')
_TEAMS = 23
_ORGANISATIONS = 10
_MODELS = 31


def run_path(quick: bool) -> Iterator[CaseResult]:
    """Measure a small system."""
    yield from asyncio.run(_measure(quick))


async def _measure(quick: bool) -> list[CaseResult]:
    cluster = Cluster(service={'max_running': 128, 'start_running': 128})
    try:
        await cluster.start(
            {'e1': 'abertawe'},
            services={'s1': 'abertawe'},
            engine_flags=('--capacity=1000000', '--step=0.01'),
        )
        lines = [await _idle_memory(cluster)]
        lines += await _token_cost(cluster)
        lines.append(await _slow_reader(cluster))
        requests = _QUICK_REQUESTS if quick else _REQUESTS
        lines.append(await _memory_growth(cluster, requests))
    finally:
        await cluster.stop()
    return lines


async def _idle_memory(cluster: Cluster) -> CaseResult:
    """Return resident memory with the settings of the planned size."""
    for team in range(_TEAMS):
        document = {
            'organisations': {
                f'organisation-{number}': {
                    'key_sha256': f'{team:032x}{number:032x}'
                }
                for number in range(_ORGANISATIONS)
            },
            'services': {
                f'model-{number}': {'kind': 'model'}
                for number in range(_MODELS)
            },
        }
        await cluster.put_settings(f'team-{team}', document)
    sizes = {
        role: resident(cluster, name)
        for role, name in (('entry', 'entry-1'), ('endpoint', 'e1'))
    }
    return CaseResult(
        'idle_memory',
        {f'{role}_mb': size for role, size in sizes.items()},
        f'each <= {_IDLE_MEGABYTES}',
        max(sizes.values()) <= _IDLE_MEGABYTES,
    )


def resident(cluster: Cluster, name: str) -> float:
    """Return a process's resident memory in megabytes."""
    pid = cluster.parts[name].process.pid
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / _KILO
    raise ValueError(name)


def processor_seconds(pid: int) -> float:
    """Return the processor time a process has used."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


async def _token_cost(cluster: Cluster) -> list[CaseResult]:
    """Compare processor time a token with a bare pass-through.

    The pass-through forwards the engine stand-in's stream unread, chunk by
    chunk, from the same engine with the same number of streams.
    """
    pids = {
        role: cluster.parts[name].process.pid
        for role, name in (('entry', 'entry-1'), ('endpoint', 'e1'))
    }
    before = {role: processor_seconds(pid) for role, pid in pids.items()}
    entry = cluster.url('entry-1')
    await _run_streams(cluster, entry)
    tokens = _STREAMS * _TOKENS
    costs = {
        role: (processor_seconds(pid) - before[role]) / tokens * 1e6
        for role, pid in pids.items()
    }
    bare = await _pass_through_cost(cluster)
    return [
        CaseResult(
            'token_cost',
            {
                **{f'{role}_us': cost for role, cost in costs.items()},
                'bare_pass_through_us': bare,
                'entry_ratio': costs['entry'] / bare,
                'endpoint_ratio': costs['endpoint'] / bare,
                'target': 2,
            },
            'entry ratio <= 4, endpoint ratio <= 4',
            max(costs.values()) / bare <= 4,
        )
    ]


async def _run_streams(cluster: Cluster, url: str) -> None:
    answers = await asyncio.gather(
        *(complete(cluster.http, url, _TOKENS) for _ in range(_STREAMS))
    )
    if not all(answer.done for answer in answers):
        raise RuntimeError('a stream of the benchmark failed')


async def _pass_through_cost(cluster: Cluster) -> float:
    """Return processor microseconds a token of a bare pass-through."""
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
    before = processor_seconds(process.pid)
    await _run_bare_streams(cluster, url)
    cost = processor_seconds(process.pid) - before
    process.kill()
    await process.wait()
    return cost / (_STREAMS * _TOKENS) * 1e6


async def _run_bare_streams(cluster: Cluster, url: str) -> None:
    async def read(number: int) -> None:
        body = {
            'request_id': f'bare-{number}',
            'model': 'cert-1',
            'prompt': f'[length={_TOKENS}]',
            'max_tokens': _TOKENS,
            'stream': True,
        }
        async with cluster.http.post(
            f'{url}/v1/completions', json=body
        ) as response:
            async for _line in response.content:
                continue

    await asyncio.gather(*(read(number) for number in range(_STREAMS)))


def serve_pass_through(port: int, engine: str) -> None:
    """Serve the baseline until killed."""

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


async def _slow_reader(cluster: Cluster) -> CaseResult:
    """Compare gaps of readers without and with a stalled one among them."""
    entry = cluster.url('entry-1')
    alone = await _reader_gaps(cluster, entry, stalled=0)
    beside = await _reader_gaps(cluster, entry, stalled=1)
    ratio = beside / alone
    return CaseResult(
        'slow_reader',
        {'p99_alone_s': alone, 'p99_beside_s': beside, 'ratio': ratio},
        f'ratio <= {_MOST_SLOWDOWN:g}',
        ratio <= _MOST_SLOWDOWN,
    )


async def _reader_gaps(cluster: Cluster, url: str, stalled: int) -> float:
    gaps: list[float] = []

    async def read(number: int) -> None:
        last = 0.0

        async def note(answer) -> None:
            nonlocal last
            if number < stalled:
                await asyncio.sleep(0.2)
                return
            now = time.monotonic()
            if last:
                gaps.append(now - last)
            last = now

        await complete(cluster.http, url, _TOKENS, on_chunk=note)

    readers = [asyncio.create_task(read(n)) for n in range(_READERS)]
    await asyncio.wait(readers[stalled:])
    for reader in readers[:stalled]:
        reader.cancel()
    return percentile(gaps, 0.99)


async def _memory_growth(cluster: Cluster, requests: int) -> CaseResult:
    """Return what the second half of many requests adds to memory."""
    names = (('entry', 'entry-1'), ('endpoint', 's1'))
    await call_many(cluster, requests // 2)
    middle = {role: resident(cluster, name) for role, name in names}
    await call_many(cluster, requests // 2)
    after = {role: resident(cluster, name) for role, name in names}
    growth = {role: after[role] - middle[role] for role in after}
    return CaseResult(
        'memory_growth',
        {
            'requests': requests,
            **{f'{role}_mb': after[role] for role in after},
            **{f'{role}_growth_mb': grown for role, grown in growth.items()},
        },
        'growth over the second half <= 4',
        max(growth.values()) <= 4,
    )


async def call_many(cluster: Cluster, count: int) -> None:
    """Send look-ups through the entry, some at a time."""
    left = iter(range(count))

    async def work() -> None:
        for _number in left:
            await call_service(
                cluster.http,
                cluster.url('entry-1'),
                'GET',
                'reorders/stock/reel',
            )

    await asyncio.gather(*(work() for _ in range(_PARALLEL)))
