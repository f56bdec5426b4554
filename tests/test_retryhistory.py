"""Retries that an entry made before its process was restarted."""

import unittest
from types import SimpleNamespace

from primrosewood import gen_wire as wire
from primrosewood.entrycount import EntryCount
from primrosewood.repeatbudget import RepeatRule
from primrosewood.retrybudgets import RetryBudgets
from primrosewood.retryhistory import (
    EarlierRetries,
    RetryArchive,
    RetryHistory,
    count_by_interval,
)

from .virtualtime import ManualClock

_RULE = RepeatRule(ratio=0.2, slack=10, window=10)
_CALL = SimpleNamespace(name='call', service='model')


def make_record(retries, service='model', age_ms=0):
    """Return a record of retries in intervals of half a second."""
    return wire.RetryRecord(service, age_ms, 500, [0] * len(retries), retries)


class EarlierRetriesTest(unittest.TestCase):
    """Times of which only intervals are told."""

    def test_no_retry_is_earlier_and_no_request_later_than_it_was(self):
        requests, retries = (90.3, 95.0, 99.9), (91.2, 99.6)
        record = wire.RetryRecord(
            'model',
            0,
            500,
            count_by_interval(requests, 100.0, 0.5, 20),
            count_by_interval(retries, 100.0, 0.5, 20),
        )
        earlier = EarlierRetries.from_record(record, 100.0)
        for told, real in zip(earlier.requests, requests, strict=True):
            self.assertLessEqual(told, real)
        for told, real in zip(earlier.retries, retries, strict=True):
            self.assertGreaterEqual(told, real)


class RetryArchiveTest(unittest.TestCase):
    """What a process beside an engine keeps."""

    def setUp(self):
        self.clock = ManualClock()
        self.archive = RetryArchive(self.clock)

    def test_last_report_of_each_service_is_returned_with_its_age(self):
        self.archive.recall('e1')
        for record in (
            make_record([1]),
            make_record([2]),
            make_record([3], 'b'),
        ):
            self.archive.record(wire.RetryReport('e1', record))
        self.clock.now += 2
        kept = self.archive.recall('e1')
        self.assertEqual(2000, kept.known_ms)
        self.assertEqual(
            [('model', [2], 2000), ('b', [3], 2000)],
            [(row.service, row.retries, row.age_ms) for row in kept.counted],
        )

    def test_entry_of_another_name_gets_nothing(self):
        self.archive.recall('e1')
        self.archive.record(wire.RetryReport('e1', make_record([1])))
        kept = self.archive.recall('e2')
        self.assertEqual((0, []), (kept.known_ms, kept.counted))

    def test_report_for_an_entry_that_never_connected(self):
        """Guards against memory that grows with names nobody has."""
        self.archive.record(wire.RetryReport('e9', make_record([1])))
        self.assertEqual([], self.archive.recall('e9').counted)

    def test_number_of_entries_is_bounded(self):
        """Guards against memory that grows with every VM there ever was."""
        for number in range(3000):
            self.archive.recall(f'e{number}')
            self.archive.record(
                wire.RetryReport(f'e{number}', make_record([1]))
            )
        self.assertEqual([], self.archive.recall('e0').counted)
        self.assertEqual(1, len(self.archive.recall('e2999').counted))


class RetryHistoryTest(unittest.TestCase):
    """What a process learns about the one before it."""

    def setUp(self):
        self.clock = ManualClock()
        self.history = RetryHistory(self.clock, window=10.5)

    def test_past_is_unknown_at_the_start(self):
        """Guards against a whole share for each start of a new deployment."""
        self.assertFalse(self.history.complete)

    def test_unknown_past_expires(self):
        self.clock.now += 10.4
        self.assertFalse(self.history.complete)
        self.clock.now += 0.2
        self.assertTrue(self.history.complete)

    def test_answers_are_collected_for_a_second(self):
        """Guards against the answer of a process that has older numbers."""
        self.history.merge(
            wire.RetryRecall(60_000, [make_record([1], age_ms=900)])
        )
        self.assertFalse(self.history.complete)
        self.history.merge(
            wire.RetryRecall(60_000, [make_record([2], age_ms=100)])
        )
        self.history.merge(
            wire.RetryRecall(60_000, [make_record([3], age_ms=500)])
        )
        self.clock.now += 1.1
        self.assertTrue(self.history.complete)
        (earlier,) = self.history.take()
        self.assertEqual(2, len(earlier.retries))

    def test_process_that_has_just_started_knows_nothing(self):
        """Guards against a clean past where all processes lost power."""
        self.history.merge(wire.RetryRecall(3000, []))
        self.clock.now += 2
        self.assertFalse(self.history.complete)


class RestartedBudgetsTest(unittest.TestCase):
    """Retry budgets of a process and of the next one."""

    def setUp(self):
        self.clock = ManualClock()
        self.archive = RetryArchive(self.clock)
        self.archive.recall('e1')
        self.random = SimpleNamespace(random=lambda: 0.0)

    def start(self, history=None):
        return RetryBudgets(
            _RULE,
            EntryCount(1),
            self.clock.now,
            self.random,
            history,
            lambda record: self.archive.record(wire.RetryReport('e1', record)),
        )

    def spend_all(self, budgets):
        sent = 0
        while budgets.spend(_CALL, self.clock.now):
            sent += 1
        return sent

    def restart(self):
        history = RetryHistory(self.clock, _RULE.retry_seconds)
        history.merge(self.archive.recall('e1'))
        return self.start(history)

    def test_share_is_used_once_by_three_processes(self):
        """Guards against a whole share for each process of an entry."""
        self.clock.now += 60
        sent = self.spend_all(self.start())
        for _ in range(2):
            budgets = self.restart()
            self.clock.now += 1.5
            sent += self.spend_all(budgets)
        self.assertEqual(8, sent)

    def test_unused_share_is_left_to_the_next_process(self):
        """Guards against callers who get no retry after a restart in calm."""
        self.clock.now += 60
        self.start()
        budgets = self.restart()
        self.clock.now += 1.5
        self.assertEqual(8, self.spend_all(budgets))

    def test_process_that_knows_no_past_does_not_report(self):
        """Guards against a report that replaces a more complete one."""
        self.clock.now += 60
        self.spend_all(self.start())
        unknowing = self.start(RetryHistory(self.clock, _RULE.retry_seconds))
        self.clock.now += 10
        self.assertEqual(1, self.spend_all(unknowing))
        (row,) = self.archive.recall('e1').counted
        self.assertEqual(8, sum(row.retries))


if __name__ == '__main__':
    unittest.main()
