"""Tests of the planning of moves off a leaving engine.

The assumed load: an engine with up to eight streams of 2,000 to 5,000 tokens
has 1.5 to 2.1 s left. Copies are made one at a time; a copy of 4,300 tokens
takes 0.24 s within a failure domain and 0.47 s to another one.
"""

import asyncio
import unittest
from dataclasses import replace

from primrosewood.backendstate import BackendIdentity, BackendRecord
from primrosewood.errors import WireError
from primrosewood.moves import (
    EngineRun,
    MovedCopy,
    MoveNotice,
    MoveNotices,
    choose_move_target,
    plan_moves,
)

from .movetargets import make_target

RUN = EngineRun('r', 4000, 10)
_COPY = MovedCopy('h', BackendIdentity('s', 'i-b', 1), 'b:1')


class PlanTest(unittest.TestCase):
    """Order of moves and selection of targets."""

    def test_small_generations_come_first(self):
        """With time for five copies of eight, most streams are to be saved."""
        runs = [EngineRun(str(size), size, 1) for size in (5000, 2000, 3000)]
        self.assertEqual(
            ['2000', '3000', '5000'], [run.name for run in plan_moves(runs)]
        )

    def test_generations_that_complete_by_themselves_come_last(self):
        """Guards against copies of short generations that complete anyway.

        Half of the copies were of these, and the long generations behind them
        were lost with their engine.
        """
        runs = [EngineRun('short', 2000, 1), EngineRun('long', 4000, 50)]
        plan = plan_moves(runs, {'short'})
        self.assertEqual(['long', 'short'], [run.name for run in plan])

    def test_engines_that_leave_together_spread_their_copies(self):
        """Four of 25 engines leave at the same time and see the same targets.

        Guards against all of them copying to the target with the most free
        memory, where the copies queued on its link.
        """
        targets = [
            make_target(f't{n}', 'd1', 20_000 - n * 500) for n in range(6)
        ]
        targets.append(make_target('full', 'd1', 6000))
        chosen = {
            choose_move_target(RUN, targets, 'd1', draw / 10).address
            for draw in range(10)
        }
        self.assertGreaterEqual(len(chosen), 4)
        self.assertNotIn('full', chosen)

    def test_same_domain_is_preferred_unless_much_fuller(self):
        near = make_target('near', 'd1', 8000)
        far = make_target('far', 'd2', 15_000)
        self.assertEqual(
            'near', choose_move_target(RUN, [near, far], 'd1').address
        )
        farther = make_target('far', 'd2', 25_000)
        self.assertEqual(
            'far', choose_move_target(RUN, [near, farther], 'd1').address
        )

    def test_same_domain_is_preferred_on_short_notice(self):
        """Seven streams, 1.5 s of notice, 0.5 s a copy to another domain."""
        near = make_target('near', 'd1', 5000)
        far = make_target('far', 'd2', 25_000)
        chosen = choose_move_target(RUN, [near, far], 'd1', short_notice=True)
        self.assertEqual('near', chosen.address)
        chosen = choose_move_target(RUN, [far], 'd1', short_notice=True)
        self.assertEqual('far', chosen.address)

    def test_no_target_has_enough_memory(self):
        tight = make_target('near', 'd1', 4100)
        self.assertIsNone(choose_move_target(RUN, [tight], 'd1'))


class IdentityTest(unittest.TestCase):
    """Which start of which back end holds a copy."""

    def test_incomplete_identities(self):
        """Guards against an empty field that matches any back end."""
        for fields in (('', 'i-b', 1), ('s', '', 1), ('s', 'i-b', 0)):
            with self.subTest(fields), self.assertRaises(WireError):
                BackendIdentity(*fields)


class MoveNoticesTest(unittest.IsolatedAsyncioTestCase):
    """Notices and interruptions arrive in either order."""

    def setUp(self):
        self.notices = MoveNotices()
        self.notice = MoveNotice('r', 'a:1', 5, _COPY)
        self.record = BackendRecord('i-a', 's', 'a:1', 'd1', 8, boot=5)

    async def test_notice_before_interruption(self):
        with self.notices.follow('r', self.record) as awaited:
            self.notices.post(self.notice)
            self.assertEqual(self.notice, await awaited.wait(0))

    async def test_interruption_before_notice(self):
        with self.notices.follow('r', self.record) as awaited:
            waiting = asyncio.create_task(awaited.wait(5))
            await asyncio.sleep(0)
            self.notices.post(self.notice)
            self.assertEqual(self.notice, await waiting)

    async def test_no_notice(self):
        with self.notices.follow('r', self.record) as awaited:
            self.assertIsNone(await awaited.wait(0.01))

    async def test_notice_of_another_engine(self):
        """Guards against a notice of an engine that ran the stream before."""
        other = replace(self.record, name='i-c', address='c:1')
        with self.notices.follow('r', other) as awaited:
            self.notices.post(self.notice)
            self.assertIsNone(await awaited.wait(0.01))
            waiting = asyncio.create_task(awaited.wait(0.05))
            await asyncio.sleep(0)
            self.notices.post(self.notice)
            self.assertIsNone(await waiting)

    async def test_notice_of_an_earlier_engine_at_the_address(self):
        """Guards against the notice of an engine whose address is used again."""
        newcomer = replace(self.record, name='i-new', boot=9)
        with self.notices.follow('r', newcomer) as awaited:
            self.notices.post(self.notice)
            self.notices.post(replace(self.notice, source_boot=0))
            self.assertIsNone(await awaited.wait(0.01))

    async def test_notice_without_a_start(self):
        """Guards against an unknown start that matches another unknown one."""
        announced = replace(self.record, boot=0)
        with self.notices.follow('r', announced) as awaited:
            self.notices.post(replace(self.notice, source_boot=0))
            self.assertIsNone(await awaited.wait(0.01))

    async def test_outdated_notice_is_dropped(self):
        """A stream is moved, its notice arrives late, and the target dies.

        The outdated notice would resume the stream from a copy that was
        already consumed.
        """
        with self.notices.follow('r', self.record):
            self.notices.post(self.notice)
        self.notices.post(self.notice)
        with self.notices.follow('r', self.record) as awaited:
            self.assertIsNone(await awaited.wait(0.01))

    async def test_notices_of_two_engines(self):
        """Guards against a notice that replaces that of another attempt."""
        target = replace(self.record, name='i-b', address='b:1', boot=6)
        with self.notices.follow('r', self.record) as awaited:
            self.notices.post(self.notice)
            self.notices.post(MoveNotice('r', 'b:1', 6))
            self.assertEqual(self.notice, await awaited.wait(0))
        with self.notices.follow('r', target) as awaited:
            self.assertIsNone(await awaited.wait(0.01))

    async def test_notices_of_other_entries_are_not_kept(self):
        """Guards against memory that grows with the moves of all entries."""
        for number in range(2000):
            self.notices.post(MoveNotice(str(number), 'a:1', 5, _COPY))
        with self.notices.follow('1999', self.record) as awaited:
            self.assertIsNone(await awaited.wait(0))
