"""Limits that back ends name for the calls of all entries together."""

import asyncio
import heapq
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from primrosewood import gen_wire as wire
from primrosewood.backendset import BackendRecord, BackendSet
from primrosewood.calllimits import CallLimits
from primrosewood.clock import SystemClock
from primrosewood.shares import CallLimit, EntryCount

from .windows import most_in_window

WINDOW_SECONDS = 4
# From a call to its being told everywhere: gathered, sent, passed on.
TOLD_SECONDS = 0.015


class Crowd:
    """Entries with callers who always wait, and one back end with a limit."""

    def __init__(self, entries, rate, seed, told_seconds=TOLD_SECONDS):
        self._told_seconds = told_seconds
        self._random = random.Random(seed)
        self._limits = [CallLimit() for _ in range(entries)]
        self._told = []
        self.sent = []
        for limit in self._limits:
            limit.take(rate, 0, 0)
            self._hold_back(limit)

    def play(self, demand, seconds):
        now = 0.0
        while now < seconds:
            now += self._random.expovariate(demand)
            self._hear(now)
            limit = self._random.choice(self._limits)
            if not limit.seconds_until_call(now):
                self._count(limit, now)
                self.sent.append(now)
                told = (now + self._told_seconds, len(self.sent), limit)
                heapq.heappush(self._told, told)

    def most_in_window(self):
        return most_in_window(self.sent, WINDOW_SECONDS)

    def _hear(self, now):
        while self._told and self._told[0][0] <= now:
            at, _number, sender = heapq.heappop(self._told)
            for limit in self._limits:
                if limit is not sender:
                    self._count(limit, at)

    def _count(self, limit, now):
        limit.count(1, now)
        self._hold_back(limit)

    def _hold_back(self, limit):
        limit.hold_back(self._random.random(), len(self._limits))


class CallLimitTest(unittest.TestCase):
    """Calls of many entries to one back end."""

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.integers(1, 27),
        st.floats(0.2, 20),
        st.sampled_from((50, 500)),
        st.integers(0, 1000),
    )
    def test_sum_over_entries_keeps_to_the_rate(
        self, entries, rate, demand, seed
    ):
        """Guards against a sum beyond the limit, and against idle back ends."""
        crowd = Crowd(entries, rate, seed)
        crowd.play(demand, 20)
        allowed = 1.5 * rate * WINDOW_SECONDS + 5
        self.assertLessEqual(crowd.most_in_window(), allowed)
        self.assertGreaterEqual(len(crowd.sent), 0.75 * rate * 20 - 2)

    def test_entries_that_see_the_same_token(self):
        """Guards against entries that all take the token they wait for."""
        for seed in range(5):
            crowd = Crowd(27, 0.5, seed)
            crowd.play(500, 20)
            with self.subTest(seed):
                self.assertLessEqual(crowd.most_in_window(), 8)

    def test_calls_that_are_told_late(self):
        """Guards against overuse while links delay what entries tell."""
        for seed in range(6):
            crowd = Crowd(27, 1.8, seed, told_seconds=0.2)
            crowd.play(150, 20)
            with self.subTest(seed):
                self.assertLessEqual(crowd.most_in_window(), 15)

    def test_limit_of_none(self):
        """Guards against entries that never learn that a limit of 0 is over."""
        limit = CallLimit()
        limit.take(0.0, 0, 0)
        self.assertEqual(10, limit.seconds_until_call(0))
        limit.count(1, 10)
        self.assertEqual(10, limit.seconds_until_call(10))

    def test_older_news(self):
        limit = CallLimit()
        self.assertTrue(limit.take(2.0, 5, 5))
        self.assertFalse(limit.take(None, 4, 6))
        self.assertEqual(2, limit.rate)
        self.assertTrue(limit.take(None, 6, 6))
        self.assertEqual(0, limit.seconds_until_call(6))


class CallLimitsTest(unittest.IsolatedAsyncioTestCase):
    """What one entry hears from back ends and from the others."""

    async def asyncSetUp(self):
        self.clock = SystemClock()
        self.linked = True
        self.told = []
        entries = EntryCount(5)
        backends = BackendSet(entries)
        record = BackendRecord('i-1', 's', 'h:1', 'd1', 8)
        self.backend = backends.take(record, self.clock.monotonic())
        self.limits = CallLimits(
            backends, entries, self.clock, random.Random(1), self.send
        )

    def send(self, message):
        self.told.append(message)
        return self.linked

    def wait(self):
        return self.backend.call_limit.seconds_until_call(
            self.clock.monotonic()
        )

    def name(self, rate):
        self.limits.record_answer(self.backend, rate, self.clock.monotonic())

    def tell(self, rate, age_ms, calls=0):
        self.limits.merge_from_peer(wire.LimitTold('i-1', rate, age_ms, calls))

    async def test_others_are_told(self):
        self.name(2.0)
        for _ in range(3):
            self.limits.record_call(self.backend)
        await asyncio.sleep(0.05)
        (told,) = self.told
        self.assertEqual(('i-1', 2, 3), (told.endpoint, told.rate, told.calls))

    async def test_entries_that_hear_of_a_limit_at_once(self):
        """Guards against entries that all wait equally long at first."""
        self.name(2.0)
        self.assertGreater(self.wait(), 0.5)

    async def test_calls_of_others_count(self):
        self.tell(2.0, age_ms=0, calls=10)
        self.assertAlmostEqual(5.5, self.wait(), delta=0.51)

    async def test_calls_that_cannot_be_told(self):
        """Guards against unlinked entries that each use the whole rate."""
        self.linked = False
        self.name(2.0)
        self.limits.record_call(self.backend)
        await asyncio.sleep(0.05)
        self.assertAlmostEqual(3, self.wait(), delta=0.6)

    async def test_answer_that_was_overtaken(self):
        """Guards against a limit that old news lifts."""
        before = self.clock.monotonic()
        self.name(2.0)
        self.limits.record_answer(self.backend, None, before)
        self.tell(None, age_ms=500)
        self.assertEqual(2, self.backend.call_limit.rate)

    async def test_limit_that_is_over(self):
        self.name(2.0)
        await asyncio.sleep(0.05)
        self.tell(None, age_ms=0)
        self.assertEqual(0, self.wait())
        self.limits.record_call(self.backend)
        await asyncio.sleep(0.05)
        self.assertEqual(1, len(self.told))

    async def test_back_end_that_is_not_known_yet(self):
        self.limits.merge_from_peer(wire.LimitTold('i-2', 2.0, 0, 1))
        self.assertEqual(0, self.wait())
