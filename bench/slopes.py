"""CPU time and memory that a process needs per link, call and token.

Idle processes are measured at several numbers of links, so that the slope is
the cost of one more link.
"""

import asyncio
from collections.abc import Iterator
from contextlib import suppress

import msgspec
import websockets
from websockets.asyncio.client import connect
from websockets.asyncio.server import ServerConnection, serve

from primrosewood import gen_wire as wire
from primrosewood.announce import MEMBERS_PREFIX
from primrosewood.codec import serialise_frame
from primrosewood.etcd import EtcdKeyValue
from primrosewood.gen_stored import MemberRecord
from tests.processes.callers import complete
from tests.processes.harness import Cluster, free_port

from .path import call_many, cpu_seconds, resident_megabytes
from .results import CaseResult

LINK_COUNTS = (0, 60, 180)
MEASURED_SECONDS = 8
CALL_COUNT = 3000
STREAM_COUNT = 40
TOKENS_PER_STREAM = 200
PLANNED_TIMING = {
    'heartbeat_seconds': 1.0,
    'quiet_heartbeat_seconds': 5.0,
    'silence_seconds': 2.5,
    'lease_seconds': 30,
    'poll_seconds': 5.0,
    'vm_list_seconds': 2.0,
}
_ALTERNATING_LOADS = (
    wire.Load(running=30, queued=0, limit=64),
    wire.Load(running=10, queued=0, limit=64),
)


def run_slopes() -> Iterator[CaseResult]:
    """Measure idle processes by number of links, then the cost of requests."""
    for count in LINK_COUNTS:
        yield asyncio.run(_measure_entry(count))
    for count in LINK_COUNTS:
        yield asyncio.run(_measure_endpoint(count))
    yield asyncio.run(_measure_request_cost())


async def _measure_entry(count: int) -> CaseResult:
    """Measure an idle entry with links to many endpoints."""
    cluster = Cluster(timing=PLANNED_TIMING)
    port = free_port()
    async with serve(
        _serve_fake_endpoint, '127.0.0.1', port, ping_interval=None
    ):
        try:
            await cluster.start({}, entries=1)
            await cluster.put_settings(
                'cymru', 1024, 'services/certdesk/subset'
            )
            await _register_fake_endpoints(cluster, port, count)
            names = [f'fake-{number}' for number in range(count)]
            await cluster.wait_usable(names)
            return await _measure_idle(cluster, 'entry-1', 'entry', count)
        finally:
            await cluster.stop()


async def _register_fake_endpoints(
    cluster: Cluster, port: int, count: int
) -> None:
    store = EtcdKeyValue(cluster.url('platform'), 5)
    for number in range(count):
        name = f'fake-{number}'
        member = MemberRecord(
            name=name,
            vm=name,
            team='cymru',
            service='certdesk',
            failure_domain=f'd{number % 5}',
            incarnation='1',
            url=f'ws://127.0.0.1:{port}/{name}',
        )
        await store.put(f'{MEMBERS_PREFIX}{name}', msgspec.json.encode(member))
    await store.close()


async def _serve_fake_endpoint(socket: ServerConnection) -> None:
    """Fake an endpoint whose load changes with every heartbeat."""
    name = socket.request.path.removeprefix('/')
    await socket.recv()
    await socket.send(
        serialise_frame([wire.Welcome(name, '1', 'd1', _ALTERNATING_LOADS[0])])
    )
    reader = asyncio.create_task(_discard_frames(socket))
    number = 0
    with suppress(websockets.ConnectionClosed):
        while not reader.done():
            number += 1
            load = _ALTERNATING_LOADS[number % len(_ALTERNATING_LOADS)]
            await socket.send(serialise_frame([wire.Heartbeat(0, load)]))
            await asyncio.sleep(PLANNED_TIMING['heartbeat_seconds'])


async def _discard_frames(socket) -> None:
    with suppress(websockets.ConnectionClosed):
        async for _frame in socket:
            pass


async def _measure_endpoint(count: int) -> CaseResult:
    """Measure an idle endpoint with links from many entries."""
    cluster = Cluster(timing=PLANNED_TIMING)
    try:
        await cluster.start({'e1': 'abertawe'}, entries=1)
        url = await _fetch_link_url(cluster)
        entry_tasks = [
            asyncio.create_task(_run_fake_entry(url, number))
            for number in range(count)
        ]
        await asyncio.sleep(1)
        result = await _measure_idle(cluster, 'e1', 'endpoint', count)
        for entry_task in entry_tasks:
            entry_task.cancel()
        return result
    finally:
        await cluster.stop()


async def _fetch_link_url(cluster: Cluster) -> str:
    store = EtcdKeyValue(cluster.url('platform'), 5)
    pair = await store.fetch(f'{MEMBERS_PREFIX}e1')
    await store.close()
    return msgspec.json.decode(pair.stored, type=MemberRecord).url


async def _run_fake_entry(url: str, number: int) -> None:
    async with connect(url, compression=None, ping_interval=None) as socket:
        hello = wire.Hello(f'p{number}', 'i', 'process-key-of-the-tests')
        await socket.send(serialise_frame([hello]))
        reader = asyncio.create_task(_discard_frames(socket))
        while not reader.done():
            await socket.send(serialise_frame([wire.Heartbeat(0, None)]))
            await asyncio.sleep(PLANNED_TIMING['quiet_heartbeat_seconds'])


async def _measure_idle(
    cluster: Cluster, name: str, role: str, count: int
) -> CaseResult:
    pid = cluster.parts[name].process.pid
    before = cpu_seconds(pid)
    await asyncio.sleep(MEASURED_SECONDS)
    core_share = (cpu_seconds(pid) - before) / MEASURED_SECONDS
    return CaseResult(
        f'idle_{role}',
        {
            'links': count,
            'core_percent': core_share * 100,
            'resident_mb': resident_megabytes(cluster, name),
        },
    )


async def _measure_request_cost() -> CaseResult:
    """Measure the CPU time per call and per token of entry and endpoint."""
    cluster = Cluster(service={'max_running': 128, 'start_running': 128})
    try:
        await cluster.start(
            {'e1': 'abertawe'},
            services={'s1': 'abertawe'},
            engine_flags=('--capacity=1000000',),
        )
        microseconds_per_call = await _measure_cpu_microseconds(
            cluster, 's1', call_many(cluster, CALL_COUNT), CALL_COUNT
        )
        microseconds_per_token = await _measure_cpu_microseconds(
            cluster,
            'e1',
            _run_streams(cluster),
            STREAM_COUNT * TOKENS_PER_STREAM,
        )
    finally:
        await cluster.stop()
    return CaseResult(
        'work',
        {
            'entry_us_a_call': microseconds_per_call[0],
            'endpoint_us_a_call': microseconds_per_call[1],
            'entry_us_a_token': microseconds_per_token[0],
            'endpoint_us_a_token': microseconds_per_token[1],
        },
    )


async def _measure_cpu_microseconds(
    cluster: Cluster, endpoint: str, workload, count: int
):
    """Return the CPU microseconds per item at entry and endpoint."""
    pids = [cluster.parts[name].process.pid for name in ('entry-1', endpoint)]
    before = [cpu_seconds(pid) for pid in pids]
    await workload
    return [
        (cpu_seconds(pid) - seconds_before) / count * 1e6
        for pid, seconds_before in zip(pids, before, strict=True)
    ]


async def _run_streams(cluster: Cluster) -> None:
    await asyncio.gather(
        *(
            complete(cluster.http, cluster.url('entry-1'), TOKENS_PER_STREAM)
            for _ in range(STREAM_COUNT)
        )
    )
