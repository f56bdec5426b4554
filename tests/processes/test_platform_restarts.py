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
import time
import unittest
from pathlib import Path
from random import Random

from standins.fleet import make_route

from .restarts.callers import Callers
from .restarts.checks import REFUSED, Checks
from .restarts.history import (
    ATTEMPT,
    NOTICED_SECONDS,
    SEAL,
    Call,
    End,
    History,
    Life,
    Named,
    Run,
    Work,
)
from .restarts.parts import (
    Backend,
    Balancer,
    Entry,
    serve_backend,
    serve_store,
)

# Seeds that failed once, and why.
_SEEDS = {
    2: 'a call cut within its answer when a stop ended, the entry killed',
    5: 'plain calls taken late and dropped when a stop ended, entries killed',
}

_ENTRIES = 3
# Calls a second that one of the two plain back ends takes.
_LIMIT = 2.0
_REFUSAL = b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n'


def make_table():
    # A read is sent again after six tenths of it; none takes so long.
    read = {'goal_ms': 900}
    return {
        'version': 1,
        'routes': [
            make_route(
                'stream', '/stream/', 'streaming', 'model', timeout_ms=30_000
            ),
            make_route('read', '/read/', 'idempotent', 'desk', **read),
            make_route('write', '/write/', 'non_idempotent', 'desk'),
        ],
        'services': [
            {'name': 'model', 'engine': {'slots': 64, 'kv_capacity': 400_000}},
            {'name': 'desk'},
        ],
        'tenants': [{'name': 'o1', 'api_keys': ['key-1']}],
    }


class ChecksTest(unittest.TestCase):
    """Each check finds the fault that it is for, in a made-up history."""

    def setUp(self):
        self.life = Life('entry-0', stopped_at=100, ended_at=107.75, code=0)
        self.life.ready_at = self.life.last_ready = 99
        self.history = History(lives=[self.life])

    def add(self, kind, sent, ended, end, answer=b'', runs=((0, 0),)):
        """Add a call of size 3; times are in seconds after SIGTERM."""
        call = Call('a-1', Work('a', kind, 3), self.life, 100 + sent)
        call.finish(answer, end)
        call.ended = 100 + ended
        self.history.calls.append(call)
        for began, finished in runs:
            run = Run(call.name, 'i-1', 100 + began, 100 + finished)
            self.history.runs['a-1'].append(run)

    def assert_found(self, *wanted):
        faults = Checks(self.history).run()
        found = [fault.partition(':')[0] for fault in faults]
        self.assertEqual([*wanted], found)

    def test_plain_call_lost(self):
        self.add('write', 7.6, 7.75, End.cut, runs=[(7.6, 7.75)])
        self.assert_found('lost')

    def test_no_answer(self):
        self.add('read', -9, 11, End.silent)
        self.assert_found('lost')

    def test_stream_begun_late_and_cut(self):
        self.add('stream', 3.1, 7.75, End.cut, runs=[(3.1, 7.75)])
        self.assert_found('lost')

    def test_stream_cut_after_its_engine_was_done(self):
        self.add('stream', 1, 7.75, End.cut, runs=[(1, 6)])
        self.assert_found('lost')

    def test_long_stream_may_be_cut(self):
        self.add('stream', 2, 7.75, End.cut, runs=[(2, 7.75)])
        self.assert_found()

    def test_ran_unread(self):
        self.add('write', 7.6, 7.75, End.unread)
        self.assert_found('ran, though it was not read')

    def test_ran_though_refused(self):
        self.add('write', 1, 1, End.whole, _REFUSAL)
        self.assert_found('ran, though it was refused')

    def test_refused_without_a_stop(self):
        self.add('write', -1, -0.5, End.whole, _REFUSAL, runs=())
        self.assert_found('503 without a reason')

    def test_failed_early_in_a_stop(self):
        failure = _REFUSAL.replace(b'503', b'502')
        self.add('write', 1, 1, End.whole, failure)
        self.assert_found('502 without a reason')

    def test_ran_twice(self):
        answer = _make_answer(b'a-1')
        self.add('write', 1, 2, End.whole, answer, [(1, 2), (1, 2)])
        self.assert_found('ran twice')

    def test_body_of_another_call(self):
        self.add('write', 1, 2, End.whole, _make_answer(b'b-1'))
        self.assert_found('the body of another call')

    def test_events(self):
        """Whole; one missing, one twice, the last one missing."""
        for numbers in ('123', '13', '1223', '12'):
            events = ''.join(
                f'id: {number}\ndata: a-1\n\n' for number in numbers
            )
            self.setUp()
            answer = _make_answer(events.encode())
            self.add('stream', 1, 2, End.whole, answer)
            wrong = ['events missing or out of order']
            self.assert_found(*wrong[numbers == '123' :])

    def test_answer_shorter_than_its_length(self):
        answer = _make_answer(b'a-1')[:-1]
        self.add('write', 1, 2, End.whole, answer)
        self.assert_found('lost')

    def test_entry_killed(self):
        self.life.ended_at, self.life.code = 108.01, -9
        self.assert_found('entry-0')

    def test_back_end_over_its_limit(self):
        """Twenty calls in 4 s at a back end that takes two a second."""
        self.history.limits['i-1'] = Named(2.0, 90)
        for number in range(20):
            run = Run(f'b-{number}', 'i-1', 95 + number * 0.1)
            self.history.runs[run.name].append(run)
        self.assert_found('i-1')

    def test_entry_ready_long_after_its_signal(self):
        self.life.last_ready = 103
        self.assert_found('entry-0')


def _make_answer(body):
    head = f'{SEAL}: s\r\n{ATTEMPT}: a-1\r\nContent-Length: {len(body)}'
    return f'HTTP/1.1 200 OK\r\n{head}\r\n\r\n'.encode() + body


class RestartsTest(unittest.IsolatedAsyncioTestCase):
    """Three entries restarted in turn, twice, under a seeded load."""

    async def test_restarts_in_turn(self):
        chosen = os.environ.get('PRIMROSEWOOD_RESTART_SEEDS', '')
        for seed in map(int, chosen.split() or _SEEDS):
            with self.subTest(seed=seed):
                history = await self.play(seed)
                faults = Checks(history).run()
                summary = f'seed {seed}: {len(faults)} faults; '
                summary += history.summarize()
                sys.stdout.write(f'{summary}\n')
                if faults:
                    self.fail('\n'.join((summary, *faults)))
                self.check_story(history)

    def check_story(self, history):
        """Tell a run apart that put nothing to the test."""
        self.assertEqual(_ENTRIES, history.most_stopping())
        late = [
            call for call in history.calls if call.sent_late > NOTICED_SECONDS
        ]
        self.assertTrue(any(call.status == 200 for call in late))
        self.assertTrue(any(call.status in REFUSED for call in late))
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
            watches.append(asyncio.create_task(self.watch_lag(history)))
            for watch in watches:
                stack.callback(watch.cancel)
            for entry in entries:
                await entry.wait_ready()
            callers = Callers(history, balancer, seed)
            await callers.run(self.restart_in_turn(entries, random))
            # What was refused might still begin to run, or run on.
            await asyncio.sleep(1)
        return history

    async def watch_lag(self, history):
        while True:
            due = time.monotonic() + 0.1
            await asyncio.sleep(0.1)
            history.lag = max(history.lag, time.monotonic() - due)

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
        for name, limit in (('desk-0', None), ('desk-1', _LIMIT)):
            desk = Backend(name, history, limit=limit)
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
