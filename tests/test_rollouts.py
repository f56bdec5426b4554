"""Roll-outs of versions over entries that may not hear each other.

Load pattern: entries send steady calls to the engines of one service, of which
operators replace the version. The new one is good, or fails or is slow from some
moment on, under load only, or on one route only.
"""

import asyncio
import unittest
from collections import Counter
from random import Random
from unittest import mock

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from primrosewood.backendset import BackendSet
from primrosewood.backendstate import BackendRecord, EngineState
from primrosewood.entrycount import EntryCount
from primrosewood.errors import StoreUnavailableError
from primrosewood.rolloutcontrol import RolloutControl, RolloutDependencies
from primrosewood.rolloutevidence import Tally, find_fault
from primrosewood.rollouts import RolloutOrder, RolloutState, RolloutStatus

from .virtualtime import LoopClock, run_virtual

_SECONDS = 12.0
_ROUTES = ('drafts', 'queries')
_CALLS_PER_SECOND = 60
_EXPOSURE_SHARE = 0.1
_EXPOSURE_SLACK = 50
_ROLLBACK_SECONDS = 5.0
# Until entries have dropped engines that lost power.
_DETECTION_SECONDS = 0.8
_USUAL_FAILURES = {'drafts': 0.004, 'queries': 0.14}
_ANSWER_SECONDS = {'drafts': 0.3, 'queries': 0.05}


class _Version:
    """Behaviour of the new version's engines.

    Attributes
    ----------
    load
        Calls per second over all new engines above which it is bad.
    """

    def __init__(self, failures=0.0, slowness=1.0, since=0.0, load=0, route=''):
        self.failures = failures
        self.slowness = slowness
        self.since = since
        self.load = load
        self.route = route

    def is_bad(self, route, now, load):
        return (
            now >= self.since
            and load >= self.load
            and self.route in {'', route}
        )


class _StatusStore:
    """Keeps the status under a condition, and tells it to all entries."""

    def __init__(self):
        self.revision = 10
        self.status = RolloutStatus()
        self.history = []
        self.is_down = False
        self.writes = 0

    async def write_rollout(self, order, state, expected):
        self.writes += 1
        await asyncio.sleep(0.004)
        if self.is_down:
            raise StoreUnavailableError('down')
        if expected != self.status.revision:
            return False
        self.revision += 1
        self.status = RolloutStatus(order.version, state, self.revision)
        self.history.append(state)
        return True


class _Deployment:
    """Entries and the engines of one service in two versions."""

    def __init__(self, version, entries=5, engines=6, seed=1, cut=()):
        self.random = Random(seed)
        self.version = version
        self.store = _StatusStore()
        self.cut = set(cut)
        self.calls = Counter()
        self.new_calls = []
        self.bad_answers = []
        self.grey_engines = {}
        self.faults = []
        self.retired = set()
        self.backends = {}
        self.entries = [
            self._make_entry(each, engines) for each in range(entries)
        ]

    def _make_entry(self, number, engines):
        backends = BackendSet(EntryCount(1))
        for each in range(2 * engines):
            record = BackendRecord(
                f'{"new" if each % 2 else "old"}-{each}',
                's',
                f'10.0.0.{each}:80',
                f'd{each % 6 // 2}',
                24,
                version='v2' if each % 2 else 'v1',
            )
            backends.apply_record(record, 0)
        name = f'entry-{number}'
        control = RolloutControl(
            RolloutDependencies(
                name=name,
                backends=backends,
                writer=self.store,
                clock=LoopClock(),
                random=self.random,
                metrics=mock.Mock(),
                send=lambda message: self._tell(number, message),
                retire=lambda backend, seconds: self.retired.add(
                    backend.record.address
                ),
            )
        )
        self.backends[control] = backends
        return control

    def _tell(self, sender, message):
        for number, entry in enumerate(self.entries):
            if number != sender and not self.cut & {sender, number}:
                asyncio.get_running_loop().call_later(
                    0.02, entry.handle, message
                )
        return True

    async def run(self, seconds=_SECONDS + 1):
        order = RolloutOrder('s', 'v2', _SECONDS, 10)
        for entry in self.entries:
            entry.apply_order('s', order)
        tasks = [asyncio.create_task(self._run_entry(e)) for e in self.entries]
        tasks.append(asyncio.create_task(self._tell_status()))
        tasks += map(asyncio.create_task, self.faults)
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def lose_domain(self, at):
        """A third of the engines of both versions fails, then is dropped."""
        await asyncio.sleep(at)
        lost = ('old-0', 'new-1', 'old-6', 'new-7')
        self.grey_engines.update(dict.fromkeys(lost, 1.0))
        await asyncio.sleep(_DETECTION_SECONDS)
        for backends in self.backends.values():
            backends.record_store_result(answered=True, now=-60)
            for name in lost:
                backends.remove(name, LoopClock().monotonic())

    async def _tell_status(self):
        while True:
            await asyncio.sleep(0.4)
            for entry in self.entries:
                if not self.store.is_down and self.store.status.revision:
                    entry.apply_status('s', self.store.status)

    async def _run_entry(self, entry):
        interval = len(self.entries) / _CALLS_PER_SECOND
        last_tick = 0
        while True:
            await asyncio.sleep(self.random.expovariate(1 / interval))
            now = LoopClock().monotonic()
            if now >= last_tick + 0.1:
                entry.tick()
                last_tick = now
            backends = entry.select('s', self.backends[entry].usable('s'))
            if backends:
                self._call(entry, self.random.choice(backends), now)

    def _call(self, entry, backend, now):
        route = self.random.choice(_ROUTES)
        is_new = backend.record.version == 'v2'
        self.calls[backend.record.version] += 1
        failures = _USUAL_FAILURES[route]
        seconds = _ANSWER_SECONDS[route] * self.random.lognormvariate(0, 0.4)
        if is_new:
            self.new_calls.append(now)
            load = sum(at > now - 1 for at in self.new_calls[-200:])
            if self.version.is_bad(route, now, load):
                failures = max(failures, self.version.failures)
                seconds *= self.version.slowness
        failures = max(failures, self.grey_engines.get(backend.name, 0))
        failed = self.random.random() < failures
        is_bad = failed or self.version.slowness > 1
        if is_new and is_bad and self.version.is_bad(route, now, 10**6):
            self.bad_answers.append(now + seconds)
        asyncio.get_running_loop().call_later(
            seconds,
            entry.record,
            route,
            backend,
            failed,
            0 if failed else seconds,
        )

    @property
    def exposure(self):
        """Share of calls that the new version got beyond the slack."""
        excess = len(self.new_calls) - _EXPOSURE_SLACK
        return excess / sum(self.calls.values())

    @property
    def seconds_after_proof(self):
        """Seconds from the 50th bad answer to the last call, 0 without both."""
        if len(self.bad_answers) < _EXPOSURE_SLACK:
            return 0
        proof = sorted(self.bad_answers)[_EXPOSURE_SLACK - 1]
        return max(0, max(self.new_calls) - proof)


_BAD_VERSIONS = {
    'fails at once': _Version(failures=0.5),
    'fails rarely': _Version(failures=0.3),
    'fails later': _Version(failures=0.5, since=5),
    'fails under load': _Version(failures=0.5, load=12),
    'fails on one route': _Version(failures=0.6, route='drafts'),
    'is slow': _Version(slowness=4),
    'is slow later': _Version(slowness=4, since=4),
}


class BadVersionTest(unittest.TestCase):
    """Exposure of callers to versions that must be rolled back."""

    def check(self, deployment):
        run_virtual(deployment.run())
        self.assertLessEqual(deployment.exposure, _EXPOSURE_SHARE)
        self.assertLessEqual(deployment.seconds_after_proof, _ROLLBACK_SECONDS)
        self.assertEqual(
            RolloutState.rolled_back, deployment.store.status.state
        )

    def test_bad_versions_are_rolled_back(self):
        """Guards against callers that are served by a bad version."""
        for name, version in _BAD_VERSIONS.items():
            for seed in range(4):
                with self.subTest(version=name, seed=seed):
                    self.check(_Deployment(version, seed=seed))

    def test_domain_is_lost_as_a_version_is_tried(self):
        """Guards against calls to a bad version while its failures are few."""
        for seed in range(8):
            with self.subTest(seed=seed):
                version = _BAD_VERSIONS['fails rarely']
                deployment = _Deployment(version, seed=seed)
                deployment.faults = [deployment.lose_domain(at=2)]
                self.check(deployment)

    def test_domain_is_lost_as_a_version_is_tried_further_seeds(self):
        """Guards against the same, with seeds on which the proof comes late."""
        for seed in (13, 24, 27):
            with self.subTest(seed=seed):
                version = _BAD_VERSIONS['fails rarely']
                deployment = _Deployment(version, seed=seed)
                deployment.faults = [deployment.lose_domain(at=2)]
                self.check(deployment)

    def test_entries_that_hear_nobody(self):
        """Guards against an exposure that grows with entries that are cut off.

        They read the decision from the store.
        """
        for seed in range(4):
            with self.subTest(seed=seed):
                self.check(
                    _Deployment(
                        _BAD_VERSIONS['fails at once'],
                        entries=26,
                        seed=seed,
                        cut=range(9),
                    )
                )

    def test_store_that_is_away(self):
        """A decision that cannot be written holds among the entries."""
        deployment = _Deployment(_BAD_VERSIONS['fails at once'])
        deployment.store.is_down = True
        run_virtual(deployment.run())
        self.assertEqual([], deployment.store.history)
        self.assertLessEqual(deployment.exposure, _EXPOSURE_SHARE)
        self.assertLessEqual(deployment.seconds_after_proof, _ROLLBACK_SECONDS)


class GoodVersionTest(unittest.TestCase):
    """Completion of versions that are as good as the one in force."""

    def check(self, deployment):
        run_virtual(deployment.run())
        self.assertEqual(
            [RolloutState.in_progress, RolloutState.completed],
            deployment.store.history,
        )

    def test_good_version_is_completed(self):
        for seed in range(10):
            with self.subTest(seed=seed):
                self.check(_Deployment(_Version(), seed=seed))

    def test_grey_engine_of_the_new_version(self):
        """Guards against a roll-back because one engine fails by itself."""
        for seed in range(4):
            with self.subTest(seed=seed):
                deployment = _Deployment(_Version(), seed=seed)
                deployment.grey_engines['new-1'] = 0.45
                self.check(deployment)

    def test_domain_is_lost_as_the_new_version_takes_over(self):
        """Guards against a roll-back because engines of both versions fail."""
        for seed in range(10):
            with self.subTest(seed=seed):
                deployment = _Deployment(_Version(), seed=seed)
                deployment.faults = [deployment.lose_domain(at=9)]
                self.check(deployment)

    def test_domain_is_lost_further_seeds(self):
        """Guards against the same, with seeds that failed for longer."""
        for seed in (14, 29, 44):
            with self.subTest(seed=seed):
                deployment = _Deployment(_Version(), seed=seed)
                deployment.faults = [deployment.lose_domain(at=9)]
                self.check(deployment)

    def test_old_engines_are_retired_first(self):
        """Guards against streams that end as their engines are stopped."""
        deployment = _Deployment(_Version())
        run_virtual(deployment.run())
        old = {f'10.0.0.{each}:80' for each in range(0, 12, 2)}
        self.assertEqual(old, deployment.retired)

    def test_not_completed_without_new_engines(self):
        """Guards against old engines that stop before there are others."""
        deployment = _Deployment(_Version())
        for backends in deployment.backends.values():
            backends.record_store_result(answered=True, now=-60)
            for number in range(1, 9, 2):
                backends.remove(f'new-{number}', 0)
        run_virtual(deployment.run())
        self.assertEqual([RolloutState.in_progress], deployment.store.history)
        new_share = len(deployment.new_calls) / sum(deployment.calls.values())
        self.assertLess(new_share, 0.1)

    def test_not_completed_while_an_old_engine_is_busy(self):
        deployment = _Deployment(_Version())
        for entry in deployment.entries:
            engine = deployment.backends[entry].find('old-0')
            engine.update_state(EngineState(running=1), 0)
        run_virtual(deployment.run())
        self.assertEqual([RolloutState.in_progress], deployment.store.history)


class OrderTest(unittest.TestCase):
    """Orders and decisions that entries see in any order."""

    def setUp(self):
        self.deployment = _Deployment(_Version(), entries=1, engines=1)
        self.control = self.deployment.entries[0]
        self.backends = self.deployment.backends[self.control]
        self.backends.record_store_result(answered=True, now=0)

    def names(self):
        async def select():
            usable = self.backends.usable('s')
            return {
                backend.name
                for _call in range(100)
                for backend in self.control.select('s', usable)
            }

        return run_virtual(select())

    def test_new_version_does_not_stand_in_for_a_resting_old_engine(self):
        """Guards against a canary that gets all calls of engines that rest."""
        self.apply()
        old = self.backends.find('old-0')
        new = self.backends.find('new-1')

        async def select():
            return [
                self.control.select('s', [new], [old]) for _call in range(100)
            ]

        selections = run_virtual(select())
        self.assertLessEqual(sum(map(bool, selections)), 10)

    def test_new_version_stands_in_for_old_engines_that_are_gone(self):
        self.apply()
        new = self.backends.find('new-1')

        async def select():
            return self.control.select('s', [new])

        self.assertEqual([new], run_virtual(select()))

    def apply(self, *statuses, revision=10):
        async def apply():
            order = RolloutOrder('s', 'v2', _SECONDS, revision)
            self.control.apply_order('s', order)
            for status in statuses:
                self.control.apply_status('s', status)

        run_virtual(apply())

    def test_no_order(self):
        """A service must not lose engines whose version nobody ordered."""
        self.assertEqual({'old-0', 'new-1'}, self.names())

    def test_nothing_after_a_roll_back(self):
        self.apply(RolloutStatus('v2', RolloutState.rolled_back, 11))
        self.assertEqual({'old-0'}, self.names())
        # Not even when the old engines are gone.
        self.backends.remove('old-0', 100)
        self.assertEqual(set(), self.names())

    def test_completed(self):
        self.apply(RolloutStatus('v2', RolloutState.completed, 11))
        self.assertEqual({'new-1'}, self.names())

    def test_decision_of_an_older_order(self):
        self.apply(RolloutStatus('v2', RolloutState.rolled_back, 9))
        self.assertEqual({'old-0', 'new-1'}, self.names())

    def test_decision_is_final(self):
        self.apply(
            RolloutStatus('v2', RolloutState.rolled_back, 11),
            RolloutStatus('v2', RolloutState.completed, 12),
        )
        self.assertEqual({'old-0'}, self.names())

    def test_new_order_after_a_roll_back(self):
        self.apply(RolloutStatus('v2', RolloutState.rolled_back, 11))
        self.apply(revision=12)
        self.assertEqual({'old-0', 'new-1'}, self.names())

    def test_version_in_force(self):
        self.backends.remove('old-0', 100)
        self.apply()
        self.assertIsNone(self.control.find('s'))

    def test_old_engines_that_are_gone(self):
        """The service is left to the new engines while these are not bad."""
        self.apply()
        self.backends.remove('old-0', 100)
        self.assertEqual({'new-1'}, self.names())

    def test_records_without_a_version(self):
        """Guards against old engines that count as new and are completed."""
        record = BackendRecord('plain', 's', '10.0.0.8:80', 'd1', 24)
        self.backends.apply_record(record, 100)
        self.apply(RolloutStatus('v2', RolloutState.rolled_back, 11))
        self.assertEqual({'old-0', 'plain'}, self.names())

    def test_announced_engine_of_unknown_version(self):
        """It may have the new version, so it gets the trial share at most."""
        self.apply(RolloutStatus('v2', RolloutState.rolled_back, 11))
        record = BackendRecord('announced', 's', '10.0.0.9:80', 'd1', 24)
        self.backends.record_store_result(answered=True, now=0)
        self.backends.record_store_result(answered=False, now=99)
        self.backends.announce(record, 100, 100)
        self.assertIsNotNone(self.backends.find('announced'))
        self.assertEqual({'old-0'}, self.names())


class EvidenceTest(unittest.TestCase):
    """What counts as a fault."""

    def test_worst_of_few_engines(self):
        """Guards against a proof that is left out as one engine's own fault.

        Four engines are left of a bad version; the worst one has a third of the
        failures by chance.
        """
        tallies = {('r', '', False): Tally(300, 2)}
        for engine, failures in (('a', 7), ('b', 5), ('c', 3), ('d', 4)):
            tallies['r', engine, True] = Tally(15, failures)
        self.assertIn('19 of 60', find_fault(tallies))

    def test_one_of_two_engines_fails(self):
        tallies = {
            ('r', '', False): Tally(100, 1),
            ('r', 'a', True): Tally(20, 15),
            ('r', 'b', True): Tally(20, 0),
        }
        self.assertEqual('', find_fault(tallies))
        tallies['r', 'b', True] = Tally(20, 10)
        self.assertIn('r', find_fault(tallies))

    def test_usual_failures(self):
        """Guards against a roll-back where one in seven answers always fails."""
        tallies = {
            ('r', '', False): Tally(200, 28),
            ('r', 'a', True): Tally(30, 5),
            ('r', 'b', True): Tally(30, 5),
        }
        self.assertEqual('', find_fault(tallies))


class DecisionMachine(RuleBasedStateMachine):
    """Orders and statuses in any order, against a plain model.

    Guards against a decision that turns, and against calls to a version that
    was rolled back.
    """

    def __init__(self):
        super().__init__()
        self.deployment = _Deployment(_Version(), entries=1, engines=1)
        self.control = self.deployment.entries[0]
        self.revision = 10
        self.order = 0
        self.decision = None

    def run_in_loop(self, action, *arguments):
        async def run():
            return action(*arguments)

        return run_virtual(run())

    @rule()
    def order_again(self):
        self.revision += 1
        self.order = self.revision
        self.decision = None
        order = RolloutOrder('s', 'v2', _SECONDS, self.order)
        self.run_in_loop(self.control.apply_order, 's', order)

    @rule()
    def repeat_an_older_order(self):
        order = RolloutOrder('s', 'v2', _SECONDS, max(1, self.order - 1))
        if self.order:
            self.run_in_loop(self.control.apply_order, 's', order)

    @rule(state=st.sampled_from(list(RolloutState)), is_older=st.booleans())
    def read_status(self, state, is_older):
        self.revision += 1
        revision = min(self.order, 5) if is_older else self.revision
        status = RolloutStatus('v2', state, revision)
        self.run_in_loop(self.control.apply_status, 's', status)
        counts = self.order and not is_older
        if counts and self.decision is None:
            final = state != RolloutState.in_progress
            self.decision = state if final else None

    @invariant()
    def calls_follow_the_decision(self):
        backends = self.deployment.backends[self.control].usable('s')
        names = {
            backend.name
            for _call in range(40)
            for backend in self.run_in_loop(self.control.select, 's', backends)
        }
        wanted = {
            RolloutState.completed: {'new-1'},
            RolloutState.rolled_back: {'old-0'},
        }.get(self.decision, {'old-0', 'new-1'})
        assert names == wanted, (names, self.decision)


DecisionTest = DecisionMachine.TestCase
DecisionTest.settings = settings(
    derandomize=True, max_examples=30, stateful_step_count=12, deadline=None
)


if __name__ == '__main__':
    unittest.main()
