"""Paces that are learned from what engines do."""

import unittest

from primrosewood.enginepace import (
    PROMPT_TOKENS_A_SECOND,
    ReadingPace,
    TokenTimeEstimator,
)
from primrosewood.expectedends import ExpectedEnds
from primrosewood.moves import EngineRun


class TokenPaceTest(unittest.TestCase):
    """What a token takes on one engine."""

    def test_follows_the_generations(self):
        """Twenty readings a second, four tokens an event, ten a token."""
        pace = TokenTimeEstimator()
        for step in range(200):
            produced = step * 5 // 4 * 4
            runs = [EngineRun(name, 3000 + produced, 1) for name in ('a', 'b')]
            pace.observe(runs, step / 20)
        self.assertAlmostEqual(0.01, pace.seconds, delta=0.001)

    def test_says_nothing_of_an_idle_engine(self):
        pace = TokenTimeEstimator()
        pace.observe([], 0)
        pace.observe([EngineRun('a', 3000, 1)], 0.05)
        self.assertEqual(0, pace.seconds)


class ReadingPaceTest(unittest.TestCase):
    """How fast prompts are read."""

    def test_follows_the_calls(self):
        pace = ReadingPace()
        for _ in range(100):
            pace.observe(7000, 1.0)
        self.assertAlmostEqual(7000, pace.tokens_a_second, delta=100)

    def test_one_stalled_call_does_not_change_it_much(self):
        pace = ReadingPace()
        pace.observe(3000, 600)
        self.assertGreater(pace.tokens_a_second, PROMPT_TOKENS_A_SECOND * 0.9)


class ExpectedEndsTest(unittest.TestCase):
    """Which generations end before their engine goes."""

    def setUp(self):
        self.ends = ExpectedEnds()
        self.ends.take('short', 2016)
        self.ends.take('long', 4000)
        self.runs = [
            EngineRun('short', 2004, 1),
            EngineRun('long', 3100, 9),
            EngineRun('unknown', 3000, 1),
        ]

    def test_short_one_ends_by_itself(self):
        ending = self.ends.within(self.runs, 2.0, 0.01)
        self.assertEqual({'short'}, ending)

    def test_no_guess_without_a_time_or_a_pace(self):
        for seconds, pace in ((None, 0.01), (2.0, 0)):
            ending = self.ends.within(self.runs, seconds, pace)
            self.assertEqual(frozenset(), ending)

    def test_one_that_outlived_its_guess_may_go_on(self):
        outlived = [EngineRun('short', 2500, 120)]
        self.assertEqual(frozenset(), self.ends.within(outlived, 2.0, 0.01))
