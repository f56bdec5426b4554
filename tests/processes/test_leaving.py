"""Leaving endpoints soon get no new work, and no answer is lost."""

import asyncio
import signal
import time
import unittest

from primrosewood.caller import Caller, CallerSettings
from primrosewood.invariants import (
    AnswerRecord,
    History,
    OutOfServicePeriod,
    RunRecord,
    check_history,
)
from primrosewood.workloads import Kind, Task

from .callers import complete
from .harness import Cluster

_GRACE_SECONDS = 1.0
_LABEL = Kind('label', 1)
_GUIDE = Kind('guide', 1, streamed=True)
_DOMAINS = {'e1': 'abertawe', 'e2': 'caerdydd', 'e3': 'casnewydd'}


class LeavingTest(unittest.IsolatedAsyncioTestCase):
    """Three engines in three failure domains under a constant load."""

    async def asyncSetUp(self):
        self.cluster = Cluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start(_DOMAINS, entries=2)
        self.answers = {}
        self.earlier_runs = []

    def make_caller(self):
        urls = [self.cluster.url(f'entry-{n}') for n in (1, 2)]
        return Caller(
            self.cluster.http, CallerSettings(tuple(urls), 'key-gwenallt')
        )

    async def run_load(self, seconds, pause=0.06):
        """Send labels and guides for some seconds and record all answers."""
        caller = self.make_caller()
        deadline = time.monotonic() + seconds
        sent = []
        number = 0
        while time.monotonic() < deadline:
            kind = _GUIDE if number % 3 == 0 else _LABEL
            length = 60 if number % 3 == 0 else 8
            task = Task(f'task-{number}', kind, 0, length)
            sent.append((task, asyncio.create_task(caller.send(task))))
            number += 1
            await asyncio.sleep(pause)
        for task, answer in sent:
            self.answers[task.name] = (task, await answer)

    async def collect_history(self, out_periods=()):
        runs = list(self.earlier_runs)
        for name, domain in _DOMAINS.items():
            recorded = await self.cluster.fetch_history(f'{name}-engine')
            runs += [
                RunRecord(generation, name, domain, at)
                for generation, at in recorded['started_at'].items()
            ]
        answers = [
            AnswerRecord(
                name, tuple(answer.tokens), answer.complete, answer.error
            )
            for name, (_task, answer) in self.answers.items()
        ]
        return History(answers, runs, list(out_periods))

    async def assert_nothing_lost(self, out_periods=()):
        history = await self.collect_history(out_periods)
        self.assertEqual([], check_history(history))
        for task, answer in self.answers.values():
            self.assertTrue(answer.complete, f'{task.name} {answer.error}')
            self.assertEqual(task.length, len(answer.tokens), task.name)
        return history

    async def check_out_and_back(self, name, take_out, bring_back):
        """Run a load while an endpoint or domain is out for two seconds."""
        load = asyncio.create_task(self.run_load(5))
        await asyncio.sleep(1)
        await take_out()
        since = time.time()
        await asyncio.sleep(2)
        until = time.time()
        await bring_back()
        await load
        history = await self.assert_nothing_lost(
            [OutOfServicePeriod(name, since, until, _GRACE_SECONDS)]
        )
        last_run = max(
            (
                run.at - since
                for run in history.runs
                if name in {run.endpoint, run.failure_domain} and run.at < until
            ),
            default=0,
        )
        returned = [
            run
            for run in history.runs
            if name in {run.endpoint, run.failure_domain} and run.at > until
        ]
        self.assertLess(last_run, _GRACE_SECONDS)
        self.assertTrue(returned, 'no new work after the return')

    async def put_domain(self, state):
        await self.cluster.put_settings(
            'platform', {'state': state}, 'failure_domains/caerdydd'
        )

    async def test_failure_domain_out_and_back(self):
        """Operators take a failure domain out under load and bring it back."""

        async def take_out():
            await self.put_domain('out')

        async def bring_back():
            await self.put_domain('in')

        await self.check_out_and_back('caerdydd', take_out, bring_back)

    async def test_vm_list_says_leaving(self):
        """The platform's VM list shows a VM as leaving, then live again."""

        async def take_out():
            await self.cluster.set_vm_states(e2='leaving')

        async def bring_back():
            await self.cluster.set_vm_states(e2='live')

        await self.check_out_and_back('e2', take_out, bring_back)

    async def test_domain_out_at_an_entry_that_is_cut_off(self):
        """An entry misses a change of settings and offers calls as before.

        The endpoints of the domain that is out refuse them.
        """
        self.cluster.kill('entry-2', signal.SIGSTOP)
        await self.put_domain('out')
        since = time.time()
        self.cluster.kill('entry-2', signal.SIGCONT)
        answers = await asyncio.gather(
            *(
                complete(self.cluster.http, self.cluster.url('entry-2'), 5)
                for _ in range(20)
            )
        )
        self.assertTrue(all(answer.done for answer in answers))
        out = OutOfServicePeriod('caerdydd', since, time.time(), 0)
        self.assertEqual([], check_history(await self.collect_history([out])))

    async def test_vm_list_and_store_down(self):
        """Serving endpoints stay in use while VM list and store are down."""
        await self.cluster.set_faults('platform', down=True, vm_list_down=True)
        await asyncio.sleep(self.cluster.timing['lease_seconds'] + 1)
        await self.run_load(1)
        await self.assert_nothing_lost()

    async def test_lease_lapses_while_its_holder_is_cut_off(self):
        """The lease of a serving endpoint expires as the store is slow.

        The endpoint registers again and gets new work throughout.
        """
        await self.cluster.set_faults('platform', slow=1.2)
        await asyncio.sleep(self.cluster.timing['lease_seconds'] + 1)
        await self.cluster.set_faults('platform', slow=0)
        await self.run_load(1)
        await self.assert_nothing_lost()
        self.assertEqual('', (await self.cluster.vetoes())['e1'])

    async def test_planned_stop_of_an_endpoint(self):
        """An endpoint stops with streams in flight; none is lost."""
        load = asyncio.create_task(self.run_load(3))
        await asyncio.sleep(1)
        self.cluster.kill('e2', signal.SIGTERM)
        since = time.time()
        await load
        code = await asyncio.to_thread(self.cluster.wait_exit, 'e2')
        self.assertEqual(0, code)
        out = OutOfServicePeriod('e2', since, time.time(), _GRACE_SECONDS)
        await self.assert_nothing_lost([out])

    async def test_planned_stop_of_an_entry(self):
        """An entry stops with streams in flight; none is lost."""
        entry = self.cluster.url('entry-1')
        streams = [
            asyncio.create_task(complete(self.cluster.http, entry, 120))
            for _ in range(6)
        ]
        await asyncio.sleep(0.5)
        self.cluster.kill('entry-1', signal.SIGTERM)
        answers = await asyncio.gather(*streams)
        self.assertEqual([120] * 6, [len(answer.tokens) for answer in answers])
        self.assertTrue(all(answer.done for answer in answers))
        code = await asyncio.to_thread(self.cluster.wait_exit, 'entry-1')
        self.assertEqual(0, code)

    async def test_killed_endpoint_gets_no_new_work(self):
        """An endpoint is killed under load; it is excluded within a second."""
        load = asyncio.create_task(self.run_load(3))
        await asyncio.sleep(1)
        self.cluster.kill('e2')
        killed = time.monotonic()

        async def is_excluded():
            return (await self.cluster.vetoes()).get('e2', 'gone') != ''

        await self.cluster.wait_until(is_excluded)
        self.assertLess(time.monotonic() - killed, 1.0)
        self.cluster.restart('e2')
        await load
        for task, answer in self.answers.values():
            self.assertTrue(answer.complete, f'{task.name} {answer.error}')

    async def test_stalled_endpoint_gets_no_new_work(self):
        """An endpoint hangs with its connections open; it is excluded."""
        self.cluster.kill('e2', signal.SIGSTOP)
        stopped = time.monotonic()

        async def is_excluded():
            return (await self.cluster.vetoes()).get('e2', 'gone') != ''

        await self.cluster.wait_until(is_excluded)
        self.assertLess(time.monotonic() - stopped, 3.0)

    async def test_offers_to_a_stalled_endpoint_go_elsewhere(self):
        """An endpoint hangs with its connections open and offers unread.

        Other endpoints must run the calls within seconds.
        """
        self.cluster.kill('e2', signal.SIGSTOP)
        started = time.monotonic()
        answers = await asyncio.gather(
            *(
                complete(
                    self.cluster.http,
                    self.cluster.url('entry-1'),
                    5,
                    stream=False,
                    timeout='20',
                    prompt=f'label {number}',
                )
                for number in range(12)
            )
        )
        self.assertTrue(all(answer.done for answer in answers))
        self.assertLess(time.monotonic() - started, 10)

    async def test_rolling_replacement(self):
        """Every process is replaced in turn under load.

        Callers retry when asked to; none loses an answer or a token.
        """
        load = asyncio.create_task(self.run_load(12, pause=0.1))
        for name in ('e1', 'e2', 'e3', 'entry-1', 'entry-2'):
            self.cluster.kill(name, signal.SIGTERM)
            code = await asyncio.to_thread(self.cluster.wait_exit, name)
            self.assertEqual(0, code)
            self.cluster.restart(name)
            await self.cluster.wait_usable(list(_DOMAINS))
        await load
        await self.assert_nothing_lost()
