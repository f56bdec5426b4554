"""What one more link, request or organisation costs a process."""

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

from .path import call_many, processor_seconds, resident
from .results import CaseResult

LINKS = (0, 60, 180)
SECONDS = 8
CALLS = 3000
STREAMS = 40
TOKENS = 200
PLANNED_TIMING = {
    'heartbeat_seconds': 1.0,
    'quiet_heartbeat_seconds': 5.0,
    'silence_seconds': 2.5,
    'lease_seconds': 30,
    'poll_seconds': 5.0,
    'vm_list_seconds': 2.0,
}
_LOADS = (
    wire.Load(running=30, queued=0, limit=64),
    wire.Load(running=10, queued=0, limit=64),
)


def run_slopes() -> Iterator[CaseResult]:
    """Measure an entry and an endpoint."""
    for count in LINKS:
        yield asyncio.run(_measure_entry(count))
    for count in LINKS:
        yield asyncio.run(_measure_endpoint(count))
    yield asyncio.run(_measure_work())


async def _measure_entry(count: int) -> CaseResult:
    """Measure an idle entry with links to many endpoints."""
    cluster = Cluster(timing=PLANNED_TIMING)
    port = free_port()
    async with serve(_answer, '127.0.0.1', port, ping_interval=None):
        try:
            await cluster.start({}, entries=1)
            await cluster.put_settings(
                'cymru', 1024, 'services/certdesk/subset'
            )
            await _register(cluster, port, count)
            names = [f'fake-{number}' for number in range(count)]
            await cluster.wait_usable(names)
            return await _measure_idle(cluster, 'entry-1', 'entry', count)
        finally:
            await cluster.stop()


async def _register(cluster: Cluster, port: int, count: int) -> None:
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


async def _answer(socket: ServerConnection) -> None:
    """Stand in for an endpoint whose load changes every second."""
    name = socket.request.path.removeprefix('/')
    await socket.recv()
    await socket.send(
        serialise_frame([wire.Welcome(name, '1', 'd1', _LOADS[0])])
    )
    reader = asyncio.create_task(_drain(socket))
    number = 0
    with suppress(websockets.ConnectionClosed):
        while not reader.done():
            number += 1
            load = _LOADS[number % len(_LOADS)]
            await socket.send(serialise_frame([wire.Heartbeat(0, load)]))
            await asyncio.sleep(PLANNED_TIMING['heartbeat_seconds'])


async def _drain(socket) -> None:
    with suppress(websockets.ConnectionClosed):
        async for _frame in socket:
            pass


async def _measure_endpoint(count: int) -> CaseResult:
    """Measure an idle endpoint with links from many entries."""
    cluster = Cluster(timing=PLANNED_TIMING)
    try:
        await cluster.start({'e1': 'abertawe'}, entries=1)
        url = await _find_links(cluster)
        peers = [
            asyncio.create_task(_speak(url, number)) for number in range(count)
        ]
        await asyncio.sleep(1)
        line = await _measure_idle(cluster, 'e1', 'endpoint', count)
        for peer in peers:
            peer.cancel()
        return line
    finally:
        await cluster.stop()


async def _find_links(cluster: Cluster) -> str:
    store = EtcdKeyValue(cluster.url('platform'), 5)
    pair = await store.fetch(f'{MEMBERS_PREFIX}e1')
    await store.close()
    return msgspec.json.decode(pair.stored, type=MemberRecord).url


async def _speak(url: str, number: int) -> None:
    async with connect(url, compression=None, ping_interval=None) as socket:
        hello = wire.Hello(f'p{number}', 'i', 'process-key-of-the-tests')
        await socket.send(serialise_frame([hello]))
        reader = asyncio.create_task(_drain(socket))
        while not reader.done():
            await socket.send(serialise_frame([wire.Heartbeat(0, None)]))
            await asyncio.sleep(PLANNED_TIMING['quiet_heartbeat_seconds'])


async def _measure_idle(
    cluster: Cluster, name: str, role: str, count: int
) -> CaseResult:
    pid = cluster.parts[name].process.pid
    before = processor_seconds(pid)
    await asyncio.sleep(SECONDS)
    share = (processor_seconds(pid) - before) / SECONDS
    return CaseResult(
        f'idle_{role}',
        {
            'links': count,
            'core_percent': share * 100,
            'resident_mb': resident(cluster, name),
        },
    )


async def _measure_work() -> CaseResult:
    """Return processor time a call and a token at each role."""
    cluster = Cluster(service={'max_running': 128, 'start_running': 128})
    try:
        await cluster.start(
            {'e1': 'abertawe'},
            services={'s1': 'abertawe'},
            engine_flags=('--capacity=1000000',),
        )
        calls = await _cost(cluster, 's1', call_many(cluster, CALLS), CALLS)
        tokens = await _cost(
            cluster, 'e1', _stream_many(cluster), STREAMS * TOKENS
        )
    finally:
        await cluster.stop()
    return CaseResult(
        'work',
        {
            'entry_us_a_call': calls[0],
            'endpoint_us_a_call': calls[1],
            'entry_us_a_token': tokens[0],
            'endpoint_us_a_token': tokens[1],
        },
    )


async def _cost(cluster: Cluster, endpoint: str, work, count: int):
    pids = [cluster.parts[name].process.pid for name in ('entry-1', endpoint)]
    before = [processor_seconds(pid) for pid in pids]
    await work
    return [
        (processor_seconds(pid) - then) / count * 1e6
        for pid, then in zip(pids, before, strict=True)
    ]


async def _stream_many(cluster: Cluster) -> None:
    await asyncio.gather(
        *(
            complete(cluster.http, cluster.url('entry-1'), TOKENS)
            for _ in range(STREAMS)
        )
    )
