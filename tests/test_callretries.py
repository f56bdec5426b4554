"""Retries of calls whose earlier sends a back end may still read."""

import unittest
from types import SimpleNamespace
from unittest import mock

from primrosewood.callprogress import CallProgress
from primrosewood.callretries import CallRetries
from primrosewood.entrycount import EntryCount
from primrosewood.repeatbudget import RepeatBudget, RepeatRule
from primrosewood.retrybudgets import RetryBudgets
from primrosewood.retryhistory import EarlierRetries
from primrosewood.unreadsends import UnreadSend

from .virtualtime import ManualClock

_RULE = RepeatRule(ratio=0.2, slack=10, window=10)
_SHARE = 8
_SERVICE = 'desk'


def make_backend(name):
    return SimpleNamespace(name=name, record=SimpleNamespace(service=_SERVICE))


class HeldRetriesTest(unittest.TestCase):
    """A budget while sends are unread."""

    def setUp(self):
        self.budget = RepeatBudget(_RULE, EntryCount(1))
        self.backend = make_backend('b1')

    def spend_all(self, now, hold=False):
        sent = 0
        while self.budget.spend(now):
            sent += 1
            if hold:
                self.budget.hold(UnreadSend(self.backend, now))
        return sent

    def test_retry_counts_until_the_send_is_read(self):
        """Guards against late arrivals beside those of a new window."""
        self.assertEqual(_SHARE, self.spend_all(0.0, hold=True))
        self.budget.settle(self.backend, 9.0, now=9.5)
        self.assertEqual(0, self.spend_all(19.9))
        self.assertEqual(_SHARE, self.spend_all(20.1))

    def test_answer_to_an_earlier_call_settles_nothing(self):
        """Guards against an answer that was on its way as reading stopped."""
        self.spend_all(5.0, hold=True)
        self.budget.settle(self.backend, 4.0, now=5.1)
        self.assertEqual(_SHARE, self.budget.held)

    def test_answer_of_another_back_end_settles_nothing(self):
        self.spend_all(5.0, hold=True)
        self.budget.settle(make_backend('b1'), 6.0, now=6.0)
        self.assertEqual(_SHARE, self.budget.held)

    def test_back_end_that_never_answers(self):
        """Guards against a share that a lost back end keeps for good."""
        self.spend_all(0.0, hold=True)
        self.assertEqual(0, self.spend_all(10.5))
        self.assertEqual(0, self.budget.held)
        self.assertEqual(_SHARE, self.spend_all(21.5))

    def test_next_process_holds_them_too(self):
        """Guards against late arrivals that are forgotten with a process."""
        self.spend_all(0.0, hold=True)
        record = self.budget.make_record(_SERVICE, 8.0)
        self.budget = RepeatBudget(_RULE, EntryCount(1))
        self.budget.restore(EarlierRetries.from_record(record, 8.0))
        self.assertEqual(_SHARE, self.budget.held)
        self.assertEqual(0, self.spend_all(18.1))
        self.assertEqual(0, self.spend_all(28.5))
        self.assertEqual(_SHARE, self.spend_all(28.7))


class CallRetriesTest(unittest.TestCase):
    """Which retries of a call are held."""

    def setUp(self):
        silenced = mock.patch('primrosewood.retrybudgets.log_decision')
        silenced.start()
        self.addCleanup(silenced.stop)
        self.clock = ManualClock()
        self.budgets = RetryBudgets(
            _RULE,
            EntryCount(1),
            float('-inf'),
            SimpleNamespace(random=lambda: 0.0),
            None,
            lambda _record: None,
        )
        self.retries = CallRetries(self.budgets, self.clock.monotonic)
        call = SimpleNamespace(name='a-1', service=_SERVICE)
        self.progress = CallProgress(call)

    def give_up(self, name):
        self.retries.record_unread(
            self.progress, make_backend(name), self.clock.now
        )

    def test_call_that_is_not_sent_again(self):
        self.give_up('b1')
        self.assertEqual(0, self.progress.held)

    def test_retry_after_an_unread_send(self):
        """Guards against two arrivals of which only the first is expected."""
        self.give_up('b1')
        self.retries.take(self.progress)
        self.assertEqual(1, self.progress.held)

    def test_retry_that_is_not_read_itself(self):
        """Guards against a retry that was refused once and then stopped."""
        self.retries.take(self.progress)
        self.assertEqual(0, self.progress.held)
        self.give_up('b2')
        self.assertEqual(1, self.progress.held)

    def test_both_sends_are_unread(self):
        """One of two arrivals is no retry, whichever comes first."""
        self.give_up('b1')
        self.retries.take(self.progress)
        self.give_up('b2')
        self.assertEqual(1, self.progress.held)


if __name__ == '__main__':
    unittest.main()
