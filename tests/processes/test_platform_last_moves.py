"""Streams without a length or chunks, as engines of real processes leave."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from .lastmoves import Outcome, make_play

_SEED = 1
_CALM_STREAMS_PER_CALLER = 10


class LastMoveProcessesTest(unittest.IsolatedAsyncioTestCase):
    """An entry before three engines with a process beside each."""

    async def asyncSetUp(self):
        # Debug mode checks every callback, which slows callers.
        asyncio.get_running_loop().set_debug(False)

    async def play(self, name, streams=0):
        with tempfile.TemporaryDirectory() as folder:
            play = make_play(name, Path(folder), _SEED, streams=streams)
            return await play.play()

    async def assert_none_partial(self, name):
        """Fail if a part of a stream looks complete, or no run was stopped."""
        result = await self.play(name)
        self.assertEqual([], result.faults, result.describe())
        self.assertGreater(result.stopped, 0, result.describe())
        return result

    async def test_answer_to_the_order_is_lost(self):
        """Guards against a stopped run of which no entry is told."""
        result = await self.assert_none_partial('lost')
        self.assertGreater(result.resumed, 0, result.describe())

    async def test_process_beside_the_engine_is_killed(self):
        """Guards against a part that looks complete as no notice comes."""
        await self.assert_none_partial('killed')

    async def test_two_engines_leave_at_once(self):
        """Guards against a part that looks complete as targets leave too."""
        await self.assert_none_partial('two_leave')

    async def test_no_engine_leaves(self):
        """Guards against sound streams that are taken for broken ones."""
        result = await self.play('calm', _CALM_STREAMS_PER_CALLER)
        outcomes = {stream.outcome for stream in result.streams}
        self.assertEqual({Outcome.whole}, outcomes, result.describe())
        self.assertTrue(result.list_end_seconds(framed=False))


if __name__ == '__main__':
    unittest.main()
