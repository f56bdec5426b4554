"""Rate limits that back ends set for the calls of all entries together."""

import asyncio
import heapq
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from primrosewood import gen_wire as wire
from primrosewood.backendset import BackendSet
from primrosewood.backendstate import BackendRecord
from primrosewood.calllimits import CallLimits
from primrosewood.clock import SystemClock
from primrosewood.entrycount import EntryCount
from primrosewood.sharedlimits import CallLimit

from .windows import most_in_window

WINDOW_SECONDS = 4
# From a call until all entries have its report: batched, sent, forwarded.
REPORT_SECONDS = 0.015


class EntrySimulation:
    """Entries with more calls than one rate-limited back end accepts."""

    def __init__(self, entries, rate, seed, report_seconds=REPORT_SECONDS):
        self._report_seconds = report_seconds
        self._random = random.Random(seed)
        self._limits = [CallLimit() for _ in range(entries)]
        self._pending_reports = []
        self.sent = []
        for limit in self._limits:
            limit.update(rate, 0, 0)
            self._hold_back(limit)

    def run(self, demand, seconds):
        now = 0.0
        while now < seconds:
            now += self._random.expovariate(demand)
            self._deliver_reports(now)
            limit = self._random.choice(self._limits)
            if not limit.seconds_until_call(now):
                self._count(limit, now)
                self.sent.append(now)
                report = (now + self._report_seconds, len(self.sent), limit)
                heapq.heappush(self._pending_reports, report)

    def most_in_window(self):
        return most_in_window(self.sent, WINDOW_SECONDS)

    def _deliver_reports(self, now):
        while self._pending_reports and self._pending_reports[0][0] <= now:
            at, _number, sender = heapq.heappop(self._pending_reports)
            for limit in self._limits:
                if limit is not sender:
                    self._count(limit, at)

    def _count(self, limit, now):
        limit.count(1, now)
        self._hold_back(limit)

    def _hold_back(self, limit):
        limit.hold_back(self._random.random(), len(self._limits))


class CallLimitTest(unittest.TestCase):
    """Rate of the calls of many entries to one back end."""

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
        """Guards against a sum above the limit and against unused capacity."""
        simulation = EntrySimulation(entries, rate, seed)
        simulation.run(demand, 20)
        allowed = 1.5 * rate * WINDOW_SECONDS + 5
        self.assertLessEqual(simulation.most_in_window(), allowed)
        self.assertGreaterEqual(len(simulation.sent), 0.75 * rate * 20 - 2)

    def test_entries_that_wait_for_the_same_token(self):
        """Guards against entries that all take the same new token."""
        for seed in range(5):
            simulation = EntrySimulation(27, 0.5, seed)
            simulation.run(500, 20)
            with self.subTest(seed):
                self.assertLessEqual(simulation.most_in_window(), 8)

    def test_calls_that_are_reported_late(self):
        """Guards against exceeding the limit while links delay reports."""
        for seed in range(6):
            simulation = EntrySimulation(27, 1.8, seed, report_seconds=0.2)
            simulation.run(150, 20)
            with self.subTest(seed):
                self.assertLessEqual(simulation.most_in_window(), 15)

    def test_limit_of_zero(self):
        """Guards against never finding out that a limit of 0 is lifted."""
        limit = CallLimit()
        limit.update(0.0, 0, 0)
        self.assertEqual(10, limit.seconds_until_call(0))
        limit.count(1, 10)
        self.assertEqual(10, limit.seconds_until_call(10))

    def test_outdated_report_is_ignored(self):
        limit = CallLimit()
        self.assertTrue(limit.update(2.0, 5, 5))
        self.assertFalse(limit.update(None, 4, 6))
        self.assertEqual(2, limit.rate)
        self.assertTrue(limit.update(None, 6, 6))
        self.assertEqual(0, limit.seconds_until_call(6))


class CallLimitsTest(unittest.IsolatedAsyncioTestCase):
    """Limits at one entry, as stated by back ends and by other entries."""

    async def asyncSetUp(self):
        self.clock = SystemClock()
        self.connected = True
        self.reports = []
        entries = EntryCount(5)
        backends = BackendSet(entries)
        record = BackendRecord('i-1', 's', 'h:1', 'd1', 8, boot=7)
        self.backend = backends.apply_record(record, self.clock.monotonic())
        self.limits = CallLimits(
            backends, entries, self.clock, random.Random(1), self.send
        )

    def send(self, message):
        self.reports.append(message)
        return self.connected

    def wait(self):
        return self.backend.call_limit.seconds_until_call(
            self.clock.monotonic()
        )

    def announce_limit(self, rate):
        self.limits.record_answer(self.backend, rate, self.clock.monotonic())

    def receive_report(self, rate, age_ms, calls=0, boot=7):
        self.limits.merge_from_peer(
            wire.LimitReport('i-1', rate, age_ms, calls, boot)
        )

    async def test_calls_are_reported_to_other_entries(self):
        self.announce_limit(2.0)
        for _ in range(3):
            self.limits.record_call(self.backend)
        await asyncio.sleep(0.05)
        (report,) = self.reports
        self.assertEqual(
            ('i-1', 2, 3), (report.endpoint, report.rate, report.calls)
        )

    async def test_first_wait_is_randomised(self):
        """Guards against entries that all wait equally long for a new limit."""
        self.announce_limit(2.0)
        self.assertGreater(self.wait(), 0.5)

    async def test_calls_of_other_entries_count(self):
        self.receive_report(2.0, age_ms=0, calls=10)
        self.assertAlmostEqual(5.5, self.wait(), delta=0.51)

    async def test_calls_that_cannot_be_reported(self):
        """Guards against disconnected entries that each use the whole rate."""
        self.connected = False
        self.announce_limit(2.0)
        self.limits.record_call(self.backend)
        await asyncio.sleep(0.05)
        self.assertAlmostEqual(3, self.wait(), delta=0.6)

    async def test_answer_that_was_overtaken(self):
        """Guards against outdated answers and reports that lift a limit."""
        before = self.clock.monotonic()
        self.announce_limit(2.0)
        self.limits.record_answer(self.backend, None, before)
        self.receive_report(None, age_ms=500)
        self.assertEqual(2, self.backend.call_limit.rate)

    async def test_lifted_limit(self):
        self.announce_limit(2.0)
        await asyncio.sleep(0.05)
        self.receive_report(None, age_ms=0)
        self.assertEqual(0, self.wait())
        self.limits.record_call(self.backend)
        await asyncio.sleep(0.05)
        self.assertEqual(1, len(self.reports))

    async def test_report_on_an_earlier_start(self):
        """Guards against a limit that is lifted for another process."""
        self.announce_limit(2.0)
        before = self.wait()
        self.receive_report(None, age_ms=0, boot=6)
        self.receive_report(None, age_ms=0, boot=0)
        self.assertGreater(self.wait(), 0)
        self.assertLessEqual(self.wait(), before)

    async def test_report_for_an_unknown_back_end(self):
        self.limits.merge_from_peer(wire.LimitReport('i-2', 2.0, 0, 1))
        self.assertEqual(0, self.wait())
