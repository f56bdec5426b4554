"""Entries are restarted in turn under load; callers and back ends judge it.

An operator rolls out a version: each entry gets SIGTERM, has eight seconds,
and is started again.  The stops overlap, at moments all entries are stopping.
Callers come as ever: new ones as the balancer sends them, which needs two
seconds to notice; others on connections that they opened long before and use
until these are gone.  Lengths of streams are not known; the hints of callers
are wrong by up to a factor of ten.

What callers must not meet: a call that was read and then dropped, as they can
not know whether it ran; half a stream that was begun late in a stop; a
refusal of what runs all the same, so that their second try makes it run twice;
an entry that the platform has to kill, with whatever it holds.

    PRIMROSEWOOD_RESTART_SEEDS="1 2 3" python -m unittest \
        tests.processes.test_platform_restarts

runs other seeds than those of CI; PRIMROSEWOOD_RESTART_LOGS=FOLDER keeps the
entries' logs there.
"""

import asyncio
import contextlib
import json
import os
import sys
import tempfile
import unittest
from collections import Counter
from pathlib import Path
from random import Random

from standins.fleet import make_route

from .restarts import (
    ATTEMPT,
    SEAL,
    STOP_SECONDS,
    Backend,
    Balancer,
    Call,
    Connection,
    End,
    Entry,
    History,
    Work,
    serve_backend,
    serve_store,
)

# Seeds that failed once, and why.
_REGRESSIONS = {}
_SEEDS = (1, 2)

_ENTRIES = 3
_KEPT_CALLERS = 40
_NEW_CALLERS_A_SECOND = 15
_LONGEST_PAUSE = 4
_REFUSED = (408, 421, 429, 503)
# The balancer has noticed a stop, whatever the phase of its questions.
_NOTICED_SECONDS = 3
# A stream that began before that and is still at work so late may be cut.
_LAST_SECONDS = STOP_SECONDS * 5 / 6
# Two misses in a row fit in before the fourth second.
_STILL_READY_SECONDS = 2


def make_table():
    plain = {'goal_ms': 2000}
    return {
        'version': 1,
        'routes': [
            make_route(
                'stream', '/stream/', 'streaming', 'model', timeout_ms=30_000
            ),
            make_route('read', '/read/', 'idempotent', 'desk', **plain),
            make_route('write', '/write/', 'non_idempotent', 'desk', **plain),
        ],
        'services': [
            {'name': 'model', 'engine': {'slots': 64, 'kv_capacity': 400_000}},
            {'name': 'desk'},
        ],
        'tenants': [{'name': 'o1', 'api_keys': ['key-1']}],
    }


def make_work(task, random):
    """Return a plain call or a stream that is likely to be misjudged."""
    kind = random.choice(('stream', 'stream', 'read', 'write', 'write'))
    if kind != 'stream':
        method = 'GET' if kind == 'read' else 'POST'
        return Work(task, kind, random.randint(50, 500), method)
    most = random.choice((60, 600, 600))
    size = round(most ** random.random())
    hint = max(1, round(size * 10 ** random.uniform(-1, 1)))
    prompt = random.randint(100, 4000)
    sizes = (
        f'Primrosewood-Token-Usage: {prompt},{most}',
        f'Primrosewood-Length-Hint: {hint}',
    )
    return Work(task, kind, size, headers=sizes)


class Callers:
    """The load: each caller comes back once after a refusal."""

    def __init__(self, history, balancer, seed):
        self._history = history
        self._balancer = balancer
        self._seed = seed
        self._over = asyncio.Event()

    async def run(self, until):
        """Call until something has ended, then wait for all answers."""
        async with asyncio.TaskGroup() as callers:
            for number in range(_KEPT_CALLERS):
                callers.create_task(self._keep(f'kept{number}'))
            callers.create_task(self._arrive(callers))
            await until
            self._over.set()

    async def _keep(self, name):
        """Call again and again on a connection for as long as it is open."""
        random = Random(f'{self._seed} {name}')
        connection = None
        task = 0
        while not self._over.is_set():
            connection = connection or await self._connect()
            await asyncio.sleep(random.uniform(0, _LONGEST_PAUSE))
            task += 1
            work = make_work(f'{name}.{task}', random)
            connection = await self._ask(work, connection)
        if connection is not None:
            connection.close()

    async def _arrive(self, callers):
        random = Random(f'{self._seed} new')
        task = 0
        while not self._over.is_set():
            await asyncio.sleep(random.expovariate(_NEW_CALLERS_A_SECOND))
            task += 1
            callers.create_task(self._ask_once(make_work(f'new{task}', random)))

    async def _ask_once(self, work):
        connection = await self._ask(work, None)
        if connection is not None:
            connection.close()

    async def _ask(self, work, connection):
        """Return the connection if it can be used again."""
        for attempt in (1, 2):
            connection = connection or await self._connect()
            if connection is None:
                continue
            name = f'{work.task}-{attempt}'
            call = Call(name, work, connection.life)
            self._history.calls.append(call)
            if not await connection.exchange(call):
                connection = None
            if not _may_return(call):
                break
            await asyncio.sleep(float(call.headers.get('Retry-After', 0)))
        return connection

    async def _connect(self):
        with contextlib.suppress(ConnectionError):
            return await Connection.open(self._balancer.choose())
        return None


def _may_return(call):
    return call.end == End.unread or call.status == 503


class Checks:
    """What must hold, from what callers and back ends saw."""

    def __init__(self, history):
        self._history = history
        self.faults = []

    def run(self):
        for call in self._history.calls:
            self._check_end(call)
            self._check_answer(call)
            self._check_stream(call)
            self._check_runs(call)
        for life in self._history.lives:
            self._check_stop(life)
        return self.faults

    def _check_end(self, call):
        """What was read is answered; what was not read never runs."""
        runs = self._history.runs_of(call)
        if call.end == End.unread:
            self._expect(call, not runs, 'ran, though it was not read')
        elif call.end != End.whole and not self._may_be_cut(call):
            self._expect(call, False, 'lost')

    def _may_be_cut(self, call):
        """Tell whether a stream began early in a stop, or before, and is long.

        Its engine was still at work when the time of the stop ran out.
        """
        early = call.sent_late <= _NOTICED_SECONDS
        at_work = any(
            call.life.since_stop(run.ended) >= _LAST_SECONDS
            for run in self._history.runs_of(call)
        )
        long = call.work.kind == 'stream' and call.end == End.cut
        return long and early and at_work

    def _check_answer(self, call):
        """An answer is its back end's own, or an error at the right time."""
        if call.end != End.whole:
            return
        if call.status != 200:
            stopping = call.life.since_stop(call.ended) >= 0
            starting = call.sent < (call.life.ready_at or float('inf'))
            why = f'{call.status} without a stop'
            self._expect(call, stopping or starting, why)
            return
        sealed = SEAL in call.headers and call.headers[ATTEMPT] == call.name
        self._expect(call, sealed, 'an answer to another call')
        if call.work.kind != 'stream':
            right = call.body.decode() == call.name
            self._expect(call, right, 'the body of another call')

    def _check_stream(self, call):
        """Every event comes once and in order, to the last in a whole one."""
        if call.work.kind != 'stream':
            return
        events = call.events
        size = len(events)
        if call.end == End.whole and call.status == 200:
            size = call.work.size
        wanted = [(number, call.name) for number in range(1, size + 1)]
        self._expect(call, events == wanted, 'events missing or out of order')

    def _check_runs(self, call):
        """A refusal means that nothing ran; only reads may run twice."""
        runs = self._history.runs_of(call)
        if call.status in _REFUSED:
            self._expect(call, not runs, 'ran, though it was refused')
        if call.work.kind != 'read':
            self._expect(call, len(runs) <= 1, 'ran twice')

    def _check_stop(self, life):
        """An entry is out of the balancer in time and ends by itself."""
        took = life.since_stop(life.ended_at)
        if life.code != 0 or took > STOP_SECONDS:
            self.faults.append(
                f'{life.entry}: not ended by itself, code {life.code} after '
                f'{took:.2f} s'
            )
        if life.since_stop(life.last_ready) > _STILL_READY_SECONDS:
            self.faults.append(f'{life.entry}: ready long after SIGTERM')

    def _expect(self, call, holds, why):
        if holds:
            return
        since = call.life.since_stop
        runs = [
            f'{run.backend} {since(run.began):.2f}..{since(run.ended):.2f}'
            for run in self._history.runs_of(call)
        ]
        self.faults.append(
            f'{why}: {call.work.kind} {call.name} of {call.work.size} '
            f'{call.work.headers} at {call.life.entry}, kept={call.kept}, '
            f'sent {call.sent_late:.3f}, ended {since(call.ended):.3f} s '
            f'after SIGTERM: {call.end}, status {call.status}, '
            f'{len(call.received)} bytes, {len(call.events)} events; ran {runs}'
        )


def summarize(history):
    """Return how the calls ended, and those sent late in a stop."""
    ends = Counter()
    for call in history.calls:
        late = 'late ' if call.sent_late > _NOTICED_SECONDS else ''
        kept = 'kept ' if call.kept else ''
        end = call.status if call.end == End.whole else call.end.name
        ends[f'{late}{kept}{call.work.kind} {end}'] += 1
    stops = [f'{life.since_stop(life.ended_at):.2f}' for life in history.lives]
    ends = ', '.join(f'{end}: {ends[end]}' for end in sorted(ends))
    return f'stops of {" ".join(stops)} s; {ends}'


def all_stopped_at_once(history):
    """Tell whether at a moment all entries were stopping."""
    stops = [life for life in history.lives if life.stopped_at]
    return any(
        _ENTRIES
        == sum(
            each.stopped_at <= moment.stopped_at < each.ended_at
            for each in stops
        )
        for moment in stops
    )


class RestartsTest(unittest.IsolatedAsyncioTestCase):
    """Three entries restarted in turn, twice, under a seeded load."""

    async def test_restarts_in_turn(self):
        chosen = os.environ.get('PRIMROSEWOOD_RESTART_SEEDS', '')
        for seed in map(int, chosen.split() or _SEEDS):
            with self.subTest(seed=seed):
                history = await self.play(seed)
                faults = Checks(history).run()
                summary = f'seed {seed}: {len(faults)} faults; '
                summary += summarize(history)
                sys.stdout.write(f'{summary}\n')
                if faults:
                    self.fail('\n'.join((summary, *faults)))
                self.check_story(history)

    def check_story(self, history):
        """Tell a run apart that put nothing to the test."""
        self.assertTrue(all_stopped_at_once(history))
        late = [
            call for call in history.calls if call.sent_late > _NOTICED_SECONDS
        ]
        self.assertTrue(any(call.status == 200 for call in late))
        self.assertTrue(any(call.status in _REFUSED for call in late))
        self.assertTrue(any(call.kept for call in history.calls))

    async def play(self, seed):
        random = Random(seed)
        history = History()
        # Its checks of every callback would slow down callers and back ends.
        asyncio.get_running_loop().set_debug(False)
        async with contextlib.AsyncExitStack() as stack:
            entries = await self.start_platform(stack, history, seed, random)
            balancer = Balancer(entries, Random(f'{seed} balancer'))
            watches = [
                asyncio.create_task(balancer.watch(entry)) for entry in entries
            ]
            for watch in watches:
                stack.callback(watch.cancel)
            for entry in entries:
                await entry.wait_ready()
            callers = Callers(history, balancer, seed)
            await callers.run(self.restart_in_turn(entries, random))
            # What was refused might still begin to run.
            await asyncio.sleep(1)
        return history

    async def start_platform(self, stack, history, seed, random):
        folder = os.environ.get('PRIMROSEWOOD_RESTART_LOGS')
        folder = folder or stack.enter_context(tempfile.TemporaryDirectory())
        folder = Path(folder) / f'seed-{seed}'
        folder.mkdir(parents=True)
        store, address = await serve_store(stack)
        await store.put('op/config', json.dumps(make_table()).encode())
        for number in range(random.choice((2, 3))):
            name = f'i-{number}'
            engine = Backend(name, history, random.uniform(0.007, 0.011))
            await serve_backend(stack, store, 'model', engine, name)
        for name in ('desk-0', 'desk-1'):
            desk = Backend(name, history)
            await serve_backend(stack, store, 'desk', desk, name)
        entries = [
            Entry(f'entry-{number}', address, folder, history)
            for number in range(_ENTRIES)
        ]
        for entry in entries:
            stack.push_async_callback(entry.end)
            await entry.start()
        return entries

    async def restart_in_turn(self, entries, random):
        """Stop each entry twice; the first stops overlap in any case."""
        random.shuffle(entries)
        delay = 1.0
        async with asyncio.TaskGroup() as stops:
            for entry in entries:
                delay += random.uniform(0.2, 1.2)
                pauses = (delay, random.uniform(0, 0.5), random.uniform(0.5, 3))
                stops.create_task(self.restart(entry, pauses))

    async def restart(self, entry, pauses):
        before, between, after = pauses
        await asyncio.sleep(before)
        await entry.stop()
        await asyncio.sleep(between)
        await entry.start()
        await entry.wait_ready()
        await asyncio.sleep(after)
        await entry.stop()
