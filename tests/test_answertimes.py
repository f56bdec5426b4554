"""Recent answer times of plain calls."""

import unittest

from primrosewood.answertimes import AnswerTimes

from .test_stopping import PLAIN_ROUTE, make_call


class _Clock:
    def __init__(self):
        self.now = 100.0

    def monotonic(self):
        return self.now


class AnswerTimesTest(unittest.TestCase):
    """The longest recent answer time of one route."""

    def setUp(self):
        self.clock = _Clock()
        self.times = AnswerTimes(self.clock)
        self.call = make_call(size=None, route=PLAIN_ROUTE)

    def answer(self, seconds):
        with self.times.measure(self.call):
            self.clock.now += seconds

    def test_longest_of_recent_answers(self):
        self.assertIsNone(self.times.find_longest(self.call))
        self.answer(0.5)
        self.answer(0.1)
        self.assertAlmostEqual(0.5, self.times.find_longest(self.call))
        self.assertIsNone(self.times.find_longest(make_call()))

    def test_failed_call(self):
        with self.assertRaises(OSError), self.times.measure(self.call):
            self.clock.now += 2
            raise OSError
        self.assertAlmostEqual(2, self.times.find_longest(self.call))

    def test_call_in_progress(self):
        """Guards against a service that hangs and so adds no answer times."""
        self.answer(0.1)
        with self.times.measure(self.call):
            self.clock.now += 3
            with self.times.measure(self.call):
                self.clock.now += 0.5
                self.assertAlmostEqual(3.5, self.times.find_longest(self.call))

    def test_old_answers_are_forgotten(self):
        self.answer(2)
        self.clock.now += 9
        self.assertAlmostEqual(2, self.times.find_longest(self.call))
        self.answer(0.1)
        self.clock.now += 10
        self.assertAlmostEqual(0.1, self.times.find_longest(self.call))
        self.clock.now += 100
        self.assertIsNone(self.times.find_longest(self.call))
