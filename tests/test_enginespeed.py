"""Estimates of the prefill and decoding speed of engines."""

import unittest

from primrosewood.enginespeed import (
    PROMPT_TOKENS_PER_SECOND,
    PromptRateEstimator,
    TokenTimeEstimator,
)
from primrosewood.expectedends import ExpectedEnds
from primrosewood.moves import EngineRun


class TokenTimeEstimatorTest(unittest.TestCase):
    """Decoding time per token of one engine."""

    def test_converges_to_the_measured_time(self):
        """20 samples per second, 4 tokens per event, 10 ms per token."""
        estimator = TokenTimeEstimator()
        for step in range(200):
            produced = step * 5 // 4 * 4
            runs = [EngineRun(name, 3000 + produced, 1) for name in ('a', 'b')]
            estimator.observe(runs, step / 20)
        self.assertAlmostEqual(0.01, estimator.seconds, delta=0.001)

    def test_no_estimate_for_an_idle_engine(self):
        estimator = TokenTimeEstimator()
        estimator.observe([], 0)
        estimator.observe([EngineRun('a', 3000, 1)], 0.05)
        self.assertEqual(0, estimator.seconds)


class PromptRateEstimatorTest(unittest.TestCase):
    """Prefill rate of a service's engines."""

    def test_converges_to_the_measured_rate(self):
        estimator = PromptRateEstimator()
        for _ in range(100):
            estimator.observe(7000, 1.0)
        self.assertAlmostEqual(7000, estimator.tokens_per_second, delta=100)

    def test_one_stalled_call_does_not_change_it_much(self):
        estimator = PromptRateEstimator()
        estimator.observe(3000, 600)
        self.assertGreater(
            estimator.tokens_per_second, PROMPT_TOKENS_PER_SECOND * 0.9
        )


class ExpectedEndsTest(unittest.TestCase):
    """Which generations end before their engine leaves."""

    def setUp(self):
        self.ends = ExpectedEnds()
        self.ends.add('short', 2016)
        self.ends.add('long', 4000)
        self.runs = [
            EngineRun('short', 2004, 1),
            EngineRun('long', 3100, 9),
            EngineRun('unknown', 3000, 1),
        ]

    def test_short_generation_ends_in_time(self):
        ending = self.ends.within(self.runs, 2.0, 0.01)
        self.assertEqual({'short'}, ending)

    def test_no_prediction_without_a_time_or_a_speed(self):
        for seconds, pace in ((None, 0.01), (2.0, 0)):
            ending = self.ends.within(self.runs, seconds, pace)
            self.assertEqual(frozenset(), ending)

    def test_generation_beyond_its_expected_length(self):
        outlived = [EngineRun('short', 2500, 120)]
        self.assertEqual(frozenset(), self.ends.within(outlived, 2.0, 0.01))
