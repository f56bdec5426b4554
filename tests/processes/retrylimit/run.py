"""Plays the disruptions of a scenario on a deployment under load."""

import asyncio
import contextlib
import signal
import time
from dataclasses import dataclass
from random import Random

import aiohttp

from standins.fleet import make_route

from .checker import RetryLimit, find_peaks
from .fleet import Fleet, reserve_network
from .load import Balancer, CallerKind, Callers

_READY_SECONDS = 40
# From the start of the back ends until an entry can be ready.
_REGISTRATION_SECONDS = 0.5
_LEAVE_SECONDS = 1.9
_RESTART_SECONDS = 0.7

KINDS = (
    CallerKind('/guide/', 'model', 'POST', 5.3, 39, 150, '1000,600'),
    CallerKind('/label/', 'model', 'POST', 7.5, 6, 3, '1000,12'),
    CallerKind('/reorder/', 'desk', 'POST', 32.4, 2.5),
    CallerKind('/check/', 'desk', 'GET', 13.0, 2.5),
)
TABLE = {
    'version': 1,
    'routes': [
        make_route(
            'guide', '/guide/', 'streaming', 'model', timeout_ms=39_000,
            goal_ms=1800, gap_aim_ms=180,
        ),
        make_route(
            'label', '/label/', 'streaming', 'model', timeout_ms=6000,
            goal_ms=1500, gap_aim_ms=180,
        ),
        make_route(
            'reorder', '/reorder/', 'non_idempotent', 'desk', timeout_ms=1200,
            goal_ms=150,
        ),
        make_route(
            'check', '/check/', 'idempotent', 'desk', timeout_ms=1200,
            goal_ms=150,
        ),
    ],
    'services': [
        {
            'name': 'model',
            'engine': {'slots': 24, 'kv_capacity': 34_310, 'moves': True},
        },
        {'name': 'desk'},
    ],
}  # fmt: skip


@dataclass(frozen=True)
class Result:
    """What a run showed."""

    peaks: list
    requests: int
    arrivals: int
    outcomes: dict

    def describe(self):
        peaks = '; '.join(
            f'{peak.service}: {peak.retries} of {peak.allowed:.0f} allowed'
            for peak in self.peaks
        )
        return f'{self.requests} requests, {self.arrivals} arrivals; {peaks}'


class ScenarioRun:
    """Plays a scenario on a deployment."""

    def __init__(self, scenario, size, folder):
        self._scenario = scenario
        self._size = size
        self._random = Random(f'{scenario.seed} run')
        self._lock, network = reserve_network()
        self._fleet = Fleet(size, network, folder, scenario.first_start)
        self._begun_at = 0.0

    async def play(self):
        """Return the result, after all processes have been killed."""
        async with contextlib.AsyncExitStack() as stack:
            stack.enter_context(self._lock)
            stack.callback(self._fleet.kill_all)
            await self._fleet.serve_store(stack, TABLE)
            session = await stack.enter_async_context(_make_session())
            balancer = Balancer(
                self._fleet.entries, Random(f'{self._scenario.seed} balancer')
            )
            probes = asyncio.create_task(balancer.run(session))
            stack.callback(probes.cancel)
            callers = Callers(balancer, KINDS, self._random)
            await self._play(session, balancer, callers)
        arrivals = self._fleet.read_arrivals()
        limit = RetryLimit(
            self._size.ratio, self._size.slack, self._size.window
        )
        return Result(
            find_peaks(limit, callers.sent, arrivals),
            len(callers.sent),
            len(arrivals),
            dict(callers.outcomes),
        )

    async def _play(self, session, balancer, callers):
        async with asyncio.TaskGroup() as tasks:
            self._fleet.entries[0].start()
            for endpoint in self._fleet.endpoints:
                endpoint.start()
                await asyncio.sleep(0)
            async with asyncio.timeout(_READY_SECONDS):
                await balancer.wait_listening(session)
                self._begun_at = time.monotonic() + _REGISTRATION_SECONDS
                await self._start_backends()
                tasks.create_task(self._start_others())
                while not balancer.any_ready:
                    await asyncio.sleep(0.02)
            for disruption in self._list_disruptions():
                tasks.create_task(disruption)
            await callers.run(session, self._scenario.seconds)

    async def _start_others(self):
        others = self._fleet.entries[1:]
        for entry, gap in zip(others, self._scenario.gaps, strict=True):
            await asyncio.sleep(gap)
            entry.start()

    async def _start_backends(self):
        for backend in self._fleet.backends:
            backend.settings['faults'] = [
                (
                    fault.kind,
                    self._begun_at + fault.begin,
                    self._begun_at + fault.end,
                    fault.share,
                )
                for fault in self._scenario.faults
                if fault.service == backend.service
            ]
            backend.start()
            await self._fleet.register(backend)

    def _list_disruptions(self):
        for stop in self._scenario.stops:
            yield self._stop(stop)
        for kill in self._scenario.kills:
            yield self._kill(kill)
        for at in self._scenario.leaves:
            yield self._leave(at)

    async def _wait(self, seconds):
        await asyncio.sleep(self._begun_at + seconds - time.monotonic())

    def _find(self, group, numbers):
        service = {'engines': 'model', 'services': 'desk'}.get(group)
        parts = (
            [each for each in self._fleet.backends if each.service == service]
            if service
            else getattr(self._fleet, group)
        )
        return [parts[number] for number in numbers]

    async def _stop(self, stop):
        await self._wait(stop.begin)
        parts = self._find(stop.group, stop.numbers)
        for part in parts:
            part.program.signal(signal.SIGSTOP)
        await asyncio.sleep(stop.seconds)
        for part in parts:
            part.program.signal(signal.SIGCONT)

    async def _kill(self, kill):
        await self._wait(kill.begin)
        parts = self._find(kill.group, kill.numbers)
        parts = [part for part in parts if part.program.process is not None]
        for part in parts:
            part.program.kill()
        await asyncio.sleep(_RESTART_SECONDS)
        for part in parts:
            part.is_first = part.is_first and self._scenario.says_first_again
            part.start()

    async def _leave(self, at):
        await self._wait(at)
        engines = [e for e in self._fleet.backends if e.service == 'model']
        engine = self._random.choice(engines)
        await self._fleet.register(engine, 'draining')
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with aiohttp.ClientSession() as session:
                await session.post(
                    f'http://{engine.address}/leave',
                    json={'seconds': _LEAVE_SECONDS},
                    timeout=aiohttp.ClientTimeout(total=1),
                )
        await asyncio.sleep(_LEAVE_SECONDS)
        self._fleet.store.delete(engine.key)
        engine.program.kill()
        await asyncio.sleep(_RESTART_SECONDS)
        engine.start()
        await self._fleet.register(engine)


def _make_session():
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=True)
    )
