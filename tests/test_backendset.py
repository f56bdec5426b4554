"""What an entry believes of back ends, without any I/O."""

import unittest

from primrosewood.backendset import BackendRecord, BackendSet, EngineState
from primrosewood.shares import EntryCount


def make_record(name='e1', domain='d1', **fields):
    return BackendRecord(name, 's', f'{name}:80', domain, 8, **fields)


class BackendSetTest(unittest.TestCase):
    """Which back ends may get new work."""

    def setUp(self):
        self.backends = BackendSet(EntryCount(1))
        self.backends.record_store_result(answered=True, now=0)

    def names(self):
        return sorted(each.name for each in self.backends.usable('s'))

    def test_removal_in_quiet_times_counts_at_once(self):
        """An engine leaves without saying so: its record is just removed."""
        found = self.backends.take(make_record(), 100)
        self.assertTrue(self.backends.remove('e1', 100))
        self.assertEqual([], self.names())
        self.assertTrue(found.stopping)

    def test_records_that_lapse_in_an_outage_are_kept(self):
        """The key-value service is away and all records lapse.

        Callers would get refusals from every entry until the engines have
        written theirs again, though all engines serve.
        """
        for name in ('e1', 'e2'):
            self.backends.take(make_record(name), 100)
        self.backends.record_store_result(answered=False, now=101)
        self.backends.record_store_result(answered=True, now=106)
        for name in ('e1', 'e2'):
            self.assertFalse(self.backends.remove(name, 106))
        self.assertEqual(['e1', 'e2'], self.names())
        self.backends.take(make_record('e1'), 107)
        self.assertEqual([], self.backends.settle(107))
        self.assertEqual(['e2'], self.backends.settle(108.5))
        self.assertEqual(['e1'], self.names())

    def test_nothing_is_dropped_while_the_service_is_away(self):
        self.backends.take(make_record(), 100)
        self.backends.record_store_result(answered=False, now=101)
        self.assertFalse(self.backends.remove('e1', 102))
        self.assertEqual([], self.backends.settle(200))
        self.assertEqual(['e1'], self.names())

    def test_every_source_can_stop_new_work(self):
        self.backends.take(make_record('e1', draining=True), 100)
        self.backends.take(make_record('e2'), 100).update_state(
            EngineState(leaving=True), 100
        )
        self.backends.take(make_record('e3', domain='d2'), 100)
        self.backends.take(make_record('e4'), 100)
        self.backends.take_out('d2')
        self.assertEqual(['e4'], self.names())

    def test_domain_that_returns_may_be_cold(self):
        """Operators take a failure domain back, whose engines turned cold.

        Their records say so only with the next heartbeat; a full load in the
        meantime makes a cold engine fall over.
        """
        found = self.backends.take(make_record(), 100)
        self.backends.take_out('d1')
        self.assertFalse(self.backends.is_cold(found, 101))
        self.backends.let_in('d1', 110)
        self.assertTrue(self.backends.is_cold(found, 111))
        self.assertFalse(self.backends.is_cold(found, 114))

    def test_record_of_a_back_end_that_lost_power(self):
        """All VMs lose power; engines come back under other names.

        Old records stand until they lapse, seconds later, and another engine
        answers at their addresses that it is not the one. Tried again each
        second they used up the share of repeats, and callers were refused
        while the new engines had room.
        """
        old = self.backends.take(make_record('e1', revision=7), 100)
        self.backends.take(make_record('e2', revision=8), 100)
        old.note_misdirected()
        self.assertEqual(['e2'], self.names())
        # A listing shows the same record again.
        self.backends.take(make_record('e1', revision=7), 101)
        self.assertEqual(['e2'], self.names())
        # Its back end lives, and writes it anew.
        self.backends.take(make_record('e1', revision=9), 102)
        self.assertEqual(['e1', 'e2'], self.names())

    def test_another_start_under_the_same_name(self):
        """An engine crashes and starts again under its name.

        What was open at the old one must not count at the new one.
        """
        old = self.backends.take(make_record(boot=1), 100)
        old.open_calls = 5
        self.assertIs(old, self.backends.take(make_record(boot=1), 101))
        self.assertEqual(
            0, self.backends.take(make_record(boot=2), 102).open_calls
        )

    def test_report_that_has_grown_old(self):
        """The process beside an engine stands still; its engine serves on.

        What was opened since is added to the old report for ever: the engine
        would look ever fuller and get no more work.
        """
        found = self.backends.take(make_record(), 100)
        found.update_state(EngineState(running=7, total_tokens=9), 100)
        found.unreported_tokens = 5000
        found.drop_stale_state(102)
        self.assertIsNotNone(found.state)
        found.drop_stale_state(104)
        self.assertIsNone(found.state)
        self.assertEqual(0, found.unreported_tokens)

    def test_old_report_of_a_leave_still_counts(self):
        found = self.backends.take(make_record(), 100)
        found.update_state(EngineState(leaving=True), 100)
        found.drop_stale_state(200)
        self.assertEqual([], self.names())

    def test_announced_engines_while_nothing_can_register(self):
        """Engines are replaced during an outage of the key-value service.

        The new ones cannot register, and the old ones are taken away one by
        one: after a while entries would know hardly any.
        """
        self.backends.record_store_result(answered=False, now=100)
        self.assertTrue(self.backends.announce(make_record(), 101))
        self.assertFalse(self.backends.announce(make_record(), 102))
        self.assertEqual(['e1'], self.names())
        self.backends.record_store_result(answered=True, now=110)
        found = self.backends.take(make_record(boot=3), 111)
        self.assertIsNone(found.found_at)
        self.assertEqual([], self.backends.settle(120))

    def test_announced_engine_that_never_registers_is_dropped(self):
        self.backends.announce(make_record(), 100)
        self.assertEqual([], self.backends.settle(101))
        self.assertEqual(['e1'], self.backends.settle(103))

    def test_engine_that_left_is_not_taken_back(self):
        """The process beside an engine announces it until it has gone."""
        self.backends.take(make_record(), 100)
        self.backends.remove('e1', 101)
        self.assertFalse(self.backends.announce(make_record(), 102))
        self.assertEqual([], self.names())
