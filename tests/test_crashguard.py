"""One entry's guard against calls that crash engines."""

import asyncio
import random
import unittest
from dataclasses import replace
from unittest import mock

from primrosewood.backendset import BackendSet
from primrosewood.backendstate import BackendRecord
from primrosewood.crashes import BlamedCall
from primrosewood.crashguard import (
    CrashGuard,
    GuardDependencies,
    StoredCrashes,
)
from primrosewood.crashtrials import CrashTrials
from primrosewood.entrycount import EntryCount
from primrosewood.errors import StoreUnavailableError, WireError
from primrosewood.platform.entrydocuments import (
    parse_crashes,
    serialise_crashes,
)

from .test_crashevidence import make_crash
from .virtualtime import ManualClock


class CrashTrialsTest(unittest.TestCase):
    """Calls that are let through to try whether engines still crash."""

    def setUp(self):
        self.trials = CrashTrials()
        self.trials.follow({'s'}, now=0)

    def test_no_trial_at_first(self):
        self.assertFalse(self.trials.take_claim('s', 59))
        self.assertEqual(1, self.trials.seconds_left('s', 59) - 4)

    def test_one_call_is_let_through(self):
        self.assertTrue(self.trials.take_claim('s', 60))
        self.assertFalse(self.trials.use_permit('s'))
        self.trials.permit('s', 60)
        self.assertTrue(self.trials.use_permit('s'))
        self.assertFalse(self.trials.use_permit('s'))

    def test_claims_are_not_repeated_at_once(self):
        """Guards against a write for each call that is refused."""
        self.assertTrue(self.trials.take_claim('s', 60))
        self.assertFalse(self.trials.take_claim('s', 61))
        self.assertTrue(self.trials.take_claim('s', 66))

    def test_intervals_grow_to_a_bound(self):
        """Guards against an engine that is lost every minute."""
        now = 60.0
        for _ in range(12):
            self.trials.permit('s', now)
            now += self.trials.seconds_left('s', now)
        self.assertEqual(3600, self.trials.seconds_left('s', now - 3600))

    def test_trial_of_another_entry_postpones(self):
        """Guards against a trial by each entry."""
        self.trials.update({'s': 1, 'unknown': 3}, now=50)
        self.assertFalse(self.trials.take_claim('s', 60))
        self.assertTrue(self.trials.take_claim('s', 170))

    def test_trials_end_with_the_cause(self):
        self.trials.follow(set(), now=70)
        self.trials.permit('s', 70)
        self.assertEqual({}, self.trials.numbers)


class CrashGuardTest(unittest.IsolatedAsyncioTestCase):
    """Crashes that an entry sees, hears of and stores."""

    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.writer = mock.AsyncMock()
        self.sent = []
        self.refuses = mock.AsyncMock(return_value=True)
        self.guard = CrashGuard(
            GuardDependencies(
                name='entry-1',
                writer=self.writer,
                clock=self.clock,
                random=random.Random(1),
                send=self.sent.append,
                refuses_connections=self.refuses,
                is_registered=self.is_registered,
            )
        )
        self.backends = BackendSet(EntryCount(1))
        self.backends.record_store_result(True, -60.0)

    def is_registered(self, backend):
        return self.backends.is_registered(backend)

    def make_call(self, *parts):
        return mock.Mock(
            service='s', organisation='o', marks=parts, **{'name': 'c'}
        )

    async def cut(self, number, *parts, **fields):
        """Cut a call at an engine as its answer begins."""
        record = BackendRecord(
            f'e{number}', 's', 'h:1', 'd', 8, boot=number, **fields
        )
        backend = self.backends.apply_record(record, 0)
        self.guard.record_cut(self.make_call(*parts), backend)
        await asyncio.sleep(0.01)
        self.clock.now += 1

    async def crash_thrice(self):
        for number in (1, 2, 3):
            await self.cut(number, 'f', 'b')

    def stored(self):
        return self.writer.write_crashes.await_args.args[0]

    async def tick(self, seconds=0):
        self.clock.now += seconds
        self.guard.tick()
        await asyncio.sleep(0.01)

    def refuse_for(self, *parts):
        return self.guard.refuse_for(self.make_call(*parts))

    async def test_crashes_are_told_and_stored(self):
        await self.crash_thrice()
        await self.tick()
        self.assertEqual(['e1', 'e2', 'e3'], [m.endpoint for m in self.sent])
        self.assertEqual(3, len(self.stored().crashes))
        self.assertEqual(
            [1, 2, 3], [at for _crash, at in self.stored().crashes]
        )
        self.assertGreater(self.refuse_for('f', 'b'), 30)
        self.assertIsNone(self.refuse_for('f'))

    async def test_engine_that_still_listens_did_not_crash(self):
        """Guards against faulty engines that truncate sound answers."""
        self.refuses.return_value = False
        with mock.patch('primrosewood.endwatch._LOOK_INTERVAL_SECONDS', 0):
            await self.crash_thrice()
        self.assertIsNone(self.refuse_for('f', 'b'))
        self.assertEqual([], self.sent)

    async def cut_thrice_at_open_ports(self, **fields):
        self.refuses.return_value = False
        with mock.patch('primrosewood.endwatch._LOOK_INTERVAL_SECONDS', 0):
            for number in (1, 2, 3):
                await self.cut(number, 'f', 'b', **fields)

    async def test_start_that_replaces_another_is_its_end(self):
        """Guards against engines that listen again at once."""
        await self.cut_thrice_at_open_ports()
        for number in (1, 2, 3):
            record = self.backends.find(f'e{number}').record
            restarted = replace(record, boot=number + 10)
            self.backends.apply_record(restarted, 3)
        await self.tick()
        self.assertIsNotNone(self.refuse_for('f', 'b'))

    async def test_removed_record_is_an_end(self):
        """Guards against engines that are gone without a word."""
        await self.cut_thrice_at_open_ports()
        for number in (1, 2, 3):
            self.backends.remove(f'e{number}', 3)
        await self.tick()
        self.assertIsNotNone(self.refuse_for('f', 'b'))

    async def test_reported_restart_is_an_end(self):
        """Guards against records that show a restart late."""
        await self.cut_thrice_at_open_ports()
        for number in (1, 2, 3):
            self.backends.find(f'e{number}').replaced = True
        await self.tick()
        self.assertIsNotNone(self.refuse_for('f', 'b'))

    async def test_planned_end_after_a_cut(self):
        """Guards against sound calls blamed for engines that leave."""
        await self.cut_thrice_at_open_ports()
        for number in (1, 2, 3):
            record = self.backends.find(f'e{number}').record
            leaving = replace(record, draining=True)
            self.backends.apply_record(leaving, 3)
        await self.tick()
        for number in (1, 2, 3):
            self.backends.remove(f'e{number}', 3)
        await self.tick()
        self.assertIsNone(self.refuse_for('f', 'b'))

    async def test_late_removal_is_no_end(self):
        """Guards against calls blamed for what happens much later."""
        await self.cut_thrice_at_open_ports()
        await self.tick(10)
        for number in (1, 2, 3):
            self.backends.remove(f'e{number}', 13)
        await self.tick()
        self.assertIsNone(self.refuse_for('f', 'b'))

    async def test_third_end_in_doubt_refuses_for_a_while(self):
        """Guards against sends while it is not known whether a third ended."""
        await self.cut(1, 'f', 'b')
        await self.cut(2, 'f', 'b')
        self.refuses.return_value = False
        with mock.patch('primrosewood.endwatch._LOOK_INTERVAL_SECONDS', 0):
            await self.cut(3, 'f', 'b')
        self.sent.clear()
        self.assertLess(self.refuse_for('f', 'b'), 10)
        await self.tick()
        self.assertEqual([False], [told.certain for told in self.sent])
        await self.tick(6)
        self.assertIsNone(self.refuse_for('f', 'b'))

    async def test_common_calls_need_more_evidence(self):
        """Guards against popular calls refused as all back ends restart."""
        for _ in range(3):
            self.guard.record_survival(self.make_call('f'))
        await self.cut(1, 'f')
        await self.cut(2, 'f')
        await self.cut(3, 'f')
        self.assertIsNone(self.refuse_for('f'))
        await self.cut(4, 'f')
        await self.cut(5, 'f')
        self.assertIsNotNone(self.refuse_for('f'))

    async def test_later_calls_of_the_same_end_are_told(self):
        """Guards against others that know only the first call of an end."""
        await self.cut(1, 'f', 'b')
        await self.cut(1, 'p')
        await self.tick()
        self.assertEqual(2, len(self.sent[-1].calls))

    async def test_engine_that_leaves_did_not_crash(self):
        for number in (1, 2, 3):
            await self.cut(number, 'f', 'b', draining=True)
        self.assertIsNone(self.refuse_for('f', 'b'))

    async def test_crashes_of_other_entries_count(self):
        """Guards against entries that each wait for crashes of their own."""
        await self.cut(1, 'f', 'b')
        told = self.sent[0]
        for number in (2, 3):
            told.endpoint, told.boot = f'e{number}', number
            self.guard.merge_from_peer(told)
            self.clock.now += 1
        self.assertIsNotNone(self.refuse_for('f', 'b'))

    async def test_stored_crashes_count(self):
        """Guards against crashes that are forgotten by a restart."""
        crashes = [(make_crash(number), number) for number in (1, 2, 3)]
        self.guard.apply(StoredCrashes(tuple(crashes), {'s': 2}, 7))
        self.assertGreater(self.refuse_for('f', 'b'), 200)

    async def test_stored_crashes_of_one_moment_count_once(self):
        crashes = [(make_crash(number), 1) for number in (1, 2, 3)]
        self.guard.apply(StoredCrashes(tuple(crashes), {}, 7))
        self.assertIsNone(self.refuse_for('f', 'b'))

    async def test_answer_clears_parts_everywhere(self):
        """Guards against a mended part that stays refused."""
        await self.crash_thrice()
        self.sent.clear()
        self.guard.record_survival(self.make_call('f', 'b'))
        self.assertIsNone(self.refuse_for('f', 'b'))
        await self.tick(1)
        self.assertEqual([['b', 'f']] * 3, [m.cleared for m in self.sent])

    async def test_one_trial_at_a_time(self):
        """Guards against trials that crash an engine for each entry."""
        await self.crash_thrice()
        await self.tick(60)
        self.writer.write_crashes.return_value = True
        self.assertIsNotNone(self.refuse_for('f', 'b'))
        await self.tick()
        self.assertEqual({'s': 1}, self.stored().trials)
        self.assertIsNone(self.refuse_for('f', 'b'))
        self.assertGreater(self.refuse_for('f', 'b'), 100)

    async def test_no_trial_without_the_store(self):
        """Guards against trials of all entries while the store is away."""
        await self.crash_thrice()
        self.writer.write_crashes.side_effect = StoreUnavailableError('')
        for _ in range(8):
            await self.tick(60)
            self.assertIsNotNone(self.refuse_for('f', 'b'))

    async def test_store_that_does_not_answer(self):
        """Guards against crashes that are never stored after an outage."""
        self.writer.write_crashes.side_effect = StoreUnavailableError('')
        await self.crash_thrice()
        await self.tick()
        self.writer.write_crashes.side_effect = None
        await self.tick(10)
        self.assertEqual(3, len(self.stored().crashes))


class StoredCrashesTest(unittest.TestCase):
    """Crashes as they are stored."""

    def test_round_trip(self):
        crash = make_crash(
            1, cleared=frozenset('f'), reporters=frozenset(('entry-1',))
        )
        stored = StoredCrashes(((crash, 4),), {'s': 2}, 7)
        self.assertEqual(stored, parse_crashes(serialise_crashes(stored), 7))

    def test_blamed_calls(self):
        """Guards against a restart that mixes up the marks of calls."""
        calls = frozenset((BlamedCall(('b', 'f'), 'o', 60, 3),))
        stored = StoredCrashes(((make_crash(1, calls=calls), 4),), {}, 7)
        self.assertEqual(stored, parse_crashes(serialise_crashes(stored), 7))

    def test_malformed_values(self):
        """Guards against a value of another writer that ends the reader."""
        for stored in (b'', b'{}', b'[]', b'{"crashes": [{"boot": "x"}]}'):
            with self.subTest(stored), self.assertRaises(WireError):
                parse_crashes(stored, 7)
