"""Shares of limits that apply to the sum over all entries."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from primrosewood.entrycount import EntryCount
from primrosewood.repeatbudget import RepeatBudget, RepeatRule
from primrosewood.retryhistory import EarlierRetries
from primrosewood.sharedlimits import ColdLimit

_COLD_RATE = 48.5
RULE = RepeatRule(ratio=0.2, slack=50, window=10)


class RepeatBudgetTest(unittest.TestCase):
    """Retries of all entries together."""

    @settings(derandomize=True, max_examples=50)
    @given(
        st.integers(1, 12),
        st.lists(
            st.tuples(st.floats(0, 0.5), st.integers(0, 11), st.booleans()),
            max_size=300,
        ),
    )
    def test_sum_over_entries_stays_in_bounds(self, entries, steps):
        """Retries stay within the limit without messages between entries."""
        count = EntryCount(entries)
        budgets = [RepeatBudget(RULE, count) for _ in range(entries)]
        now = 0.0
        requests, repeats = [], []
        for seconds, entry, repeat in steps:
            now += seconds
            budget = budgets[entry % entries]
            budget.record_request(now)
            requests.append(now)
            if repeat and budget.spend(now):
                repeats.append(now)
            requests_in_window = [at for at in requests if at >= now - 10]
            repeats_in_window = [at for at in repeats if at >= now - 10]
            self.assertLessEqual(
                len(repeats_in_window), len(requests_in_window) * 0.2 + 50
            )

    def test_share_is_restored_after_the_window(self):
        budget = RepeatBudget(RULE, EntryCount(1))
        while budget.spend(0.0):
            continue
        self.assertFalse(budget.spend(9.0))
        self.assertTrue(budget.spend(11.0))

    def test_retries_that_arrive_late(self):
        """Guards against retries that arrive together with earlier ones."""
        budget = RepeatBudget(RULE, EntryCount(1))
        while budget.spend(0.0):
            continue
        self.assertFalse(budget.spend(10.4))
        self.assertTrue(budget.spend(10.6))

    def test_entry_whose_past_is_unknown(self):
        """Guards against a whole share for each start of an entry."""
        budget = RepeatBudget(RULE, EntryCount(1), started_at=100.0)
        for _ in range(10):
            budget.record_request(100.0)
        self.assertFalse(budget.spend(100.1, whole_share=False))
        sent = 0
        while budget.spend(109.9, whole_share=False):
            sent += 1
        # A tenth of the slack of 50 and of two for ten requests.
        self.assertEqual(5, sent)

    def test_slack_needs_the_number_of_entries(self):
        """Guards against a share of a guessed number of entries."""
        entries = EntryCount.assume(8)
        entries.update(1, 0.0)
        budget = RepeatBudget(RULE, entries)
        self.assertFalse(budget.spend(1.0))
        entries.restore(5)
        self.assertTrue(budget.spend(1.0))

    def test_number_of_entries_that_is_not_stored_yet(self):
        """Guards against no retry at all in the first seconds of a fleet."""
        entries = EntryCount.assume(8)
        entries.update(2, 1.0)
        budget = RepeatBudget(RULE, entries, started_at=0.0)
        self.assertFalse(budget.spend(2.0, whole_share=False))
        self.assertTrue(budget.spend(4.5, whole_share=False))
        self.assertFalse(budget.spend(4.5, whole_share=False))

    def test_stored_number_is_away_for_long(self):
        """Guards against a whole share of a number that only was reported."""
        entries = EntryCount.assume(8)
        entries.update(2, 1.0)
        budget = RepeatBudget(RULE, entries, started_at=0.0)
        sent = 0
        while budget.spend(60.0):
            sent += 1
        # A tenth of half of the slack of 50.
        self.assertEqual(2, sent)

    def test_retries_of_the_process_before_are_counted(self):
        """Guards against retries that are forgotten with a process."""
        before = RepeatBudget(RULE, EntryCount(1))
        for _ in range(20):
            before.record_request(100.0)
        while before.spend(101.0):
            continue
        record = before.make_record('model', 101.0)
        budget = RepeatBudget(RULE, EntryCount(1), started_at=102.0)
        budget.restore(EarlierRetries.from_record(record, 101.0))
        self.assertEqual(before.repeats, budget.repeats)
        self.assertFalse(budget.spend(102.0))
        self.assertTrue(budget.spend(112.0))

    def test_share_of_many_entries_is_rounded_at_random(self):
        """Guards against shares below one that nobody uses."""
        count = EntryCount(200)
        budgets = [
            RepeatBudget(RULE, count, rounding=(number + 1) / 200)
            for number in range(200)
        ]
        self.assertEqual(40, sum(budget.spend(0.0) for budget in budgets))

    def test_windows_that_are_no_multiple_of_an_interval(self):
        """Guards against calls that fail because of the window's length."""
        for window in (0.05, 0.3, 1, 7.77, 10, 60):
            rule = RepeatRule(ratio=0.2, slack=50, window=window)
            budget = RepeatBudget(rule, EntryCount(1))
            with self.subTest(window=window):
                for step in range(300):
                    budget.record_request(step * window / 100)
                    budget.spend(step * window / 100)
                self.assertGreater(budget.repeats, 0)
                record = budget.make_record('model', 3 * window)
                self.assertEqual(budget.repeats, sum(record.retries))

    def test_entry_whose_past_is_known_has_its_share_at_once(self):
        """Guards against retries refused where nobody can have spent them."""
        budget = RepeatBudget(RULE, EntryCount(1), started_at=100.0)
        self.assertTrue(budget.spend(100.1))


class ColdLimitTest(unittest.TestCase):
    """Calls to a cold back end."""

    def test_share_of_a_second(self):
        limit = ColdLimit(EntryCount(4))
        sent = 0
        while limit.has_capacity(40, 0.0):
            limit.record_call(0.0)
            sent += 1
        self.assertEqual(8, sent)
        self.assertFalse(limit.has_capacity(40, 1.0))
        self.assertTrue(limit.has_capacity(40, 1.3))

    def test_sum_over_many_entries(self):
        """Guards against one call of each of more entries than the rate."""
        rate = 48.5
        entries = EntryCount(330)
        limits = [ColdLimit(entries) for _ in range(330)]
        sent = 0
        for limit in limits:
            if limit.has_capacity(rate, 0.0):
                limit.record_call(0.0)
                sent += 1
        self.assertLessEqual(sent, rate)

    def test_entry_that_has_just_started(self):
        """Guards against the share of the process before, used once more."""
        limit = ColdLimit(EntryCount(1), started_at=100.0)
        self.assertFalse(limit.has_capacity(_COLD_RATE, 101.0))
        self.assertTrue(limit.has_capacity(_COLD_RATE, 101.3))

    def test_random_parts_of_entries(self):
        """Guards against sums over the limit, and against shares unused."""
        for number in (5, 26, 68, 330):
            sums = [
                self.sum_calls(number, random.Random(seed))
                for seed in range(200)
            ]
            with self.subTest(entries=number):
                self.assertLessEqual(max(sums), _COLD_RATE)
                self.assertGreater(sum(sums) / len(sums), _COLD_RATE / 2)

    def sum_calls(self, entries, source):
        """Return how many calls all entries may send at once."""
        count = EntryCount(entries)
        total = 0
        for _ in range(entries):
            limit = ColdLimit(count, rounding=1 - source.random())
            while limit.has_capacity(_COLD_RATE, 0.0):
                limit.record_call(0.0)
                total += 1
        return total
