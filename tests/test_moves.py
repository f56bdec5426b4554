"""Moves off a leaving engine, planned without any I/O.

The pattern: an engine with up to eight streams of 2,000 to 5,000 tokens has
1.5 to 2.1 s left; a copy of 4,300 tokens takes 0.24 s inside a failure domain
and 0.47 s to another one, one after the other.
"""

import asyncio
import unittest

from primrosewood.moves import (
    EngineRun,
    MoveNotice,
    MoveTarget,
    MoveNotices,
    choose_target,
    plan_moves,
)

RUN = EngineRun('r', 4000, 10)


class PlanTest(unittest.TestCase):
    """Order and targets."""

    def test_small_ones_first(self):
        """Eight streams and time for five copies: most are to be saved."""
        runs = [EngineRun(str(size), size, 1) for size in (5000, 2000, 3000)]
        self.assertEqual(
            ['2000', '3000', '5000'], [run.name for run in plan_moves(runs)]
        )

    def test_those_that_end_by_themselves_come_last(self):
        """Half of the copies were of short answers that ended meanwhile.

        The long ones behind them were cut when their engine went.
        """
        runs = [EngineRun('short', 2000, 1), EngineRun('long', 4000, 50)]
        plan = plan_moves(runs, {'short'})
        self.assertEqual(['long', 'short'], [run.name for run in plan])

    def test_engines_that_leave_together_spread_their_copies(self):
        """Four of 25 engines leave at the same moment and see the same room.

        All copied to the one with the most, and queued for its link.
        """
        targets = [
            MoveTarget(f't{n}', 'd1', 20_000 - n * 500) for n in range(6)
        ]
        targets.append(MoveTarget('full', 'd1', 6000))
        chosen = {
            choose_target(RUN, targets, 'd1', draw / 10).address
            for draw in range(10)
        }
        self.assertGreaterEqual(len(chosen), 4)
        self.assertNotIn('full', chosen)

    def test_near_engine_unless_it_is_much_fuller(self):
        near = MoveTarget('near', 'd1', 8000)
        far = MoveTarget('far', 'd2', 15_000)
        self.assertEqual('near', choose_target(RUN, [near, far], 'd1').address)
        farther = MoveTarget('far', 'd2', 25_000)
        self.assertEqual(
            'far', choose_target(RUN, [near, farther], 'd1').address
        )

    def test_near_engine_when_the_notice_is_short(self):
        """Seven streams, 1.5 s, and a copy to another domain takes 0.5 s."""
        near = MoveTarget('near', 'd1', 5000)
        far = MoveTarget('far', 'd2', 25_000)
        chosen = choose_target(RUN, [near, far], 'd1', hurried=True)
        self.assertEqual('near', chosen.address)
        chosen = choose_target(RUN, [far], 'd1', hurried=True)
        self.assertEqual('far', chosen.address)

    def test_no_room(self):
        tight = MoveTarget('near', 'd1', 4100)
        self.assertIsNone(choose_target(RUN, [tight], 'd1'))


class NoticeBoardTest(unittest.IsolatedAsyncioTestCase):
    """Notices and cuts come in either order."""

    def setUp(self):
        self.board = MoveNotices()
        self.notice = MoveNotice('r', 'a:1', 'h', 'b:1')

    async def test_notice_first(self):
        self.board.post(self.notice)
        self.assertEqual(self.notice, await self.board.wait('r', 0))

    async def test_cut_first(self):
        waiting = asyncio.create_task(self.board.wait('r', 5))
        await asyncio.sleep(0)
        self.board.post(self.notice)
        self.assertEqual(self.notice, await waiting)

    async def test_no_notice(self):
        self.assertIsNone(await self.board.wait('r', 0.01))

    async def test_older_notice_explains_no_later_cut(self):
        """A stream is moved, its notice comes late, and its new engine dies.

        The stale notice would send the stream to a copy that was used up.
        """
        self.board.post(self.notice)
        self.board.forget('r')
        self.assertIsNone(await self.board.wait('r', 0.01))

    async def test_notices_of_other_entries_do_not_pile_up(self):
        for number in range(2000):
            self.board.post(MoveNotice(str(number), 'a:1', 'h', 'b:1'))
        self.assertIsNone(await self.board.wait('0', 0))
        self.assertIsNotNone(await self.board.wait('1999', 0))
