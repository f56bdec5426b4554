"""An entry's view of its back ends, without any I/O."""

import unittest
from dataclasses import replace

from primrosewood.backendset import AnnouncementOutcome, BackendSet
from primrosewood.backendstate import BackendRecord, EngineState
from primrosewood.entrycount import EntryCount


def make_record(name='e1', domain='d1', **fields):
    return BackendRecord(name, 's', f'{name}:80', domain, 8, **fields)


class BackendSetTest(unittest.TestCase):
    """Which back ends may get new calls."""

    def setUp(self):
        self.backends = BackendSet(EntryCount(1))
        self.backends.record_store_result(answered=True, now=0)

    def usable_names(self):
        return sorted(each.name for each in self.backends.usable('s'))

    def test_removal_without_an_outage_applies_at_once(self):
        """An engine leaves without notice: only its record is removed."""
        found = self.backends.apply_record(make_record(), 100)
        self.assertTrue(self.backends.remove('e1', 100))
        self.assertEqual([], self.usable_names())
        self.assertTrue(found.stopping)

    def test_records_that_expire_in_an_outage_are_kept(self):
        """All records expire during an outage of the key-value service.

        Guards against entries that refuse all calls until the engines, which
        still serve, have written their records again.
        """
        for name in ('e1', 'e2'):
            self.backends.apply_record(make_record(name), 100)
        self.backends.record_store_result(answered=False, now=101)
        self.backends.record_store_result(answered=True, now=106)
        for name in ('e1', 'e2'):
            self.assertFalse(self.backends.remove(name, 106))
        self.assertEqual(['e1', 'e2'], self.usable_names())
        self.backends.apply_record(make_record('e1'), 107)
        self.assertEqual([], self.backends.remove_unregistered(107))
        self.assertEqual(['e2'], self.backends.remove_unregistered(108.5))
        self.assertEqual(['e1'], self.usable_names())

    def test_nothing_is_dropped_during_an_outage(self):
        self.backends.apply_record(make_record(), 100)
        self.backends.record_store_result(answered=False, now=101)
        self.assertFalse(self.backends.remove('e1', 102))
        self.assertEqual([], self.backends.remove_unregistered(200))
        self.assertEqual(['e1'], self.usable_names())

    def test_every_source_can_stop_new_calls(self):
        self.backends.apply_record(make_record('e1', draining=True), 100)
        self.backends.apply_record(make_record('e2'), 100).update_state(
            EngineState(leaving=True), 100
        )
        self.backends.apply_record(make_record('e3', domain='d2'), 100)
        self.backends.apply_record(make_record('e4'), 100)
        self.backends.evacuate_domain('d2')
        self.assertEqual(['e4'], self.usable_names())

    def test_restored_domain_may_be_cold(self):
        """Operators restore a failure domain whose engines have become cold.

        Their records say so only with the next heartbeat; full load before
        that would overload a cold engine.
        """
        found = self.backends.apply_record(make_record(), 100)
        self.backends.evacuate_domain('d1')
        self.assertFalse(self.backends.is_cold(found, 101))
        self.backends.restore_domain('d1', 110)
        self.assertTrue(self.backends.is_cold(found, 111))
        self.assertFalse(self.backends.is_cold(found, 114))

    def test_record_of_a_back_end_that_lost_power(self):
        """All VMs lose power, and engines restart under other names.

        Old records remain for some seconds until they expire, and another
        engine at their address refuses the calls as misdirected.  Guards
        against trying these addresses again each second, which used up the
        retry budget so that calls failed while the new engines were idle.
        """
        old = self.backends.apply_record(make_record('e1', revision=7), 100)
        self.backends.apply_record(make_record('e2', revision=8), 100)
        old.mark_misdirected(100)
        self.assertEqual(['e2'], self.usable_names())
        # A listing shows the same record again.
        self.backends.apply_record(make_record('e1', revision=7), 101)
        self.assertEqual(['e2'], self.usable_names())
        # Its back end is alive and writes the record again.
        self.backends.apply_record(make_record('e1', revision=9), 102)
        self.assertEqual(['e1', 'e2'], self.usable_names())

    def test_announced_back_end_whose_old_record_lapses(self):
        """Guards against an entry whose background work ends by an error."""
        self.backends.record_store_result(False, 100)
        self.backends.announce(make_record('e1'), 100, 101)
        self.backends.remove('e1', 102)
        self.backends.record_store_result(True, 103)
        self.assertEqual(['e1'], self.backends.remove_unregistered(120))
        self.assertEqual([], self.backends.remove_unregistered(121))

    def test_restart_under_the_same_name(self):
        """An engine crashes and restarts under its name.

        Calls to the old process must not count at the new one.
        """
        old = self.backends.apply_record(make_record(boot=1), 100)
        old.open_calls = 5
        self.assertIs(old, self.backends.apply_record(make_record(boot=1), 101))
        self.assertEqual(
            0, self.backends.apply_record(make_record(boot=2), 102).open_calls
        )

    def test_record_that_changes_its_service(self):
        """Guards against calls for one service under way to another one.

        They were chosen before, and compare the back end that they hold.
        """
        for boot in (1, 2):
            with self.subTest(boot=boot):
                self.setUp()
                old = self.backends.apply_record(make_record(boot=1), 100)
                identity = old.record.identity
                old.open_calls = 5
                moved = replace(make_record(boot=boot), service='other')
                new = self.backends.apply_record(moved, 101)
                self.assertEqual([], self.backends.usable('s'))
                self.assertEqual([new], self.backends.usable('other'))
                self.assertIsNone(self.backends.find_identity(identity))
                self.assertFalse(self.backends.is_registered(old))
                self.assertTrue(old.stopping)
                self.assertEqual(('s', 0), (old.record.service, new.open_calls))

    def test_stale_report_is_dropped(self):
        """The process beside an engine hangs while its engine still serves.

        Later calls are added to the last report.  Guards against an engine
        that looks fuller and fuller until it gets no more calls.
        """
        found = self.backends.apply_record(make_record(), 100)
        found.update_state(EngineState(running=7, total_tokens=9), 100)
        found.unreported_tokens = 5000
        found.drop_stale_state(102)
        self.assertIsNotNone(found.state)
        found.drop_stale_state(104)
        self.assertIsNone(found.state)
        self.assertEqual(0, found.unreported_tokens)

    def test_stale_report_of_a_leaving_engine_still_counts(self):
        found = self.backends.apply_record(make_record(), 100)
        found.update_state(EngineState(leaving=True), 100)
        found.drop_stale_state(200)
        self.assertEqual([], self.usable_names())

    def test_announced_engines_during_an_outage(self):
        """Engines are replaced during an outage of the key-value service.

        New engines cannot register while old ones leave.  Guards against
        entries that know hardly any engine after a while.
        """
        self.backends.record_store_result(answered=False, now=100)
        outcomes = [
            self.backends.announce(make_record(boot=3), 100, now)
            for now in (101, 102)
        ]
        self.assertEqual(
            [AnnouncementOutcome.used, AnnouncementOutcome.known], outcomes
        )
        self.assertEqual(['e1'], self.usable_names())
        self.backends.record_store_result(answered=True, now=110)
        found = self.backends.apply_record(make_record(boot=3), 111)
        self.assertIsNone(found.announced_at)
        self.assertEqual([], self.backends.remove_unregistered(120))

    def test_announced_engine_that_never_registers_is_dropped(self):
        self.backends.record_store_result(answered=False, now=99)
        self.backends.announce(make_record(), 99, 100)
        self.backends.record_store_result(answered=True, now=100)
        self.assertEqual([], self.backends.remove_unregistered(101))
        self.assertEqual(['e1'], self.backends.remove_unregistered(103))

    def test_engine_that_left_is_not_added_again(self):
        """The process beside an engine announces it until it has left."""
        self.backends.apply_record(make_record(), 100)
        self.backends.remove('e1', 101)
        self.backends.record_store_result(answered=False, now=101.5)
        self.assertEqual(
            AnnouncementOutcome.gone,
            self.backends.announce(make_record(), 101, 102),
        )
        self.assertEqual([], self.usable_names())

    def test_record_at_an_address_that_another_engine_has_taken(self):
        """All entries restart, while records of lost engines still stand.

        Guards against sends to engines that are gone: others have started at
        their addresses and refuse the calls, which uses up the retries.
        """
        old = BackendRecord('old', 's', 'a:1', 'd1', 8, boot=1)
        new = BackendRecord('new', 's', 'a:1', 'd1', 8, boot=2)
        for records in ((old, new), (new, old)):
            self.setUp()
            for record in records:
                self.backends.apply_record(record, 100)
            self.assertEqual(['new'], self.usable_names())
