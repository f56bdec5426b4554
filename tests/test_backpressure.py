"""What back ends ask for in their answers, without any I/O."""

import unittest

from primrosewood.backendset import BackendSet
from primrosewood.backendstate import BackendRecord
from primrosewood.backpressure import AnswerNotice, Backpressure
from primrosewood.entrycount import EntryCount

PAUSE = AnswerNotice(pause_seconds=3)
LEAVING = AnswerNotice(leaving=True)


class BackpressureTest(unittest.TestCase):
    """The notices of one start of a back end."""

    def setUp(self):
        self.backpressure = Backpressure()

    def heed(self, notice, now):
        self.backpressure.heed('e1', notice, now)

    def test_pause_ends_by_itself(self):
        self.heed(PAUSE, 10)
        self.assertEqual(2, self.backpressure.seconds_until_call(11))
        self.assertEqual(0, self.backpressure.seconds_until_call(13))

    def test_shorter_pause_does_not_end_a_longer_one(self):
        """Guards against a late refusal that cuts a pause short."""
        self.heed(PAUSE, 10)
        self.heed(AnswerNotice(pause_seconds=1), 10.5)
        self.assertEqual(2.5, self.backpressure.seconds_until_call(10.5))

    def test_answer_without_notice_does_not_end_a_pause(self):
        self.heed(PAUSE, 10)
        self.heed(AnswerNotice(), 10.5)
        self.assertEqual(2.5, self.backpressure.seconds_until_call(10.5))

    def test_one_exempt_call_in_a_pause(self):
        """Guards against resumptions that add up while a back end rests."""
        self.assertTrue(self.backpressure.allow_exempt_call(9))
        self.heed(PAUSE, 10)
        self.assertTrue(self.backpressure.allow_exempt_call(11))
        self.heed(PAUSE, 12)
        self.assertFalse(self.backpressure.allow_exempt_call(12.5))
        self.assertTrue(self.backpressure.allow_exempt_call(15))
        self.heed(PAUSE, 16)
        self.assertTrue(self.backpressure.allow_exempt_call(17))

    def test_leaving_is_never_taken_back(self):
        self.heed(LEAVING, 10)
        self.heed(AnswerNotice(), 11)
        self.heed(LEAVING, 12)
        self.assertEqual(10, self.backpressure.leaving_since)


class RememberedNoticesTest(unittest.TestCase):
    """Notices of back ends whose records change or lapse."""

    def setUp(self):
        self.backends = BackendSet(EntryCount(1))
        self.backends.record_store_result(answered=True, now=0)

    def register(self, boot=1, **fields):
        record = BackendRecord(
            'e1', 's', '10.0.0.1:80', 'd1', 8, boot=boot, **fields
        )
        return self.backends.apply_record(record, 100)

    def is_usable(self):
        return bool(self.backends.usable('s'))

    def test_leaving_outlives_a_record_that_still_says_ready(self):
        """Guards against calls to a back end whose record is out of date."""
        self.register().backpressure.heed('e1', LEAVING, 100)
        self.register(revision=7)
        self.assertFalse(self.is_usable())

    def test_leaving_outlives_a_record_that_lapses_and_returns(self):
        """Guards against a back end cut from the store that comes back."""
        self.register().backpressure.heed('e1', LEAVING, 100)
        self.backends.remove('e1', 101)
        self.register()
        self.assertFalse(self.is_usable())

    def test_answer_that_arrives_after_the_record_was_removed(self):
        found = self.register()
        self.backends.remove('e1', 101)
        found.backpressure.heed('e1', LEAVING, 102)
        self.register()
        self.assertFalse(self.is_usable())

    def test_pause_outlives_a_late_record_of_an_earlier_start(self):
        """Guards against a pause that a heartbeat in disorder ends."""
        self.register(boot=2).backpressure.heed('e1', PAUSE, 100)
        self.register(boot=1)
        again = self.register(boot=2)
        self.assertEqual(2, again.seconds_until_call(101))

    def test_restarted_back_end_is_bound_by_no_earlier_notice(self):
        """Guards against a service that loses an engine for its lifetime."""
        self.register().backpressure.heed('e1', LEAVING, 100)
        self.register(boot=2)
        self.assertTrue(self.is_usable())

    def test_notice_of_an_announced_back_end_outlives_its_registration(self):
        announced = BackendRecord('e1', 's', '10.0.0.1:80', 'd1', 8, boot=3)
        self.backends.record_store_result(answered=True, now=0)
        self.backends.record_store_result(answered=False, now=98)
        self.backends.announce(announced, 99, 99)
        found = self.backends.find('e1')
        found.backpressure.heed('e1', LEAVING, 100)
        self.register(boot=3)
        self.backends.remove('e1', 101)
        self.register(boot=3)
        self.assertFalse(self.is_usable())
