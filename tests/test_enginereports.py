"""Tests of load reports, and a simulation of entries that rely on them.

The simulated load: 27 entries, 25 engines and about 29 generations a second.
Half of them are short; their first event is due within 1.5 s, and prefill of
one prompt takes 0.4 s.
"""

import unittest

from bench.herd import simulate_fleet
from primrosewood.backendstate import EngineState
from primrosewood.enginereports import EngineReports

IDLE = EngineState(total_tokens=27_000)


class EngineReportsTest(unittest.TestCase):
    """Contents and send rate of one engine's reports."""

    def setUp(self):
        self.reports = EngineReports()
        self.reports.record_state(IDLE, 0)
        self.send_if_due(0)

    def send_if_due(self, now, entries=4):
        """Send a report if one is due; return whether it was."""
        report = self.reports.make(entries, now)
        due = self.reports.is_due(report, now)
        if due:
            self.reports.record_sent(report, now)
        return due

    def test_start_of_the_engine_is_stated_once_a_second(self):
        """Guards against reports that count for the next engine there."""
        self.reports.record_boot(5)
        self.assertEqual(5, self.reports.make(4, 0.1).boot)
        self.assertTrue(self.send_if_due(0.1))
        self.assertEqual(0, self.reports.make(4, 0.2).boot)
        self.assertEqual(5, self.reports.make(4, 1.1).boot)
        self.assertEqual(5, self.reports.make_greeting().boot)
        self.reports.record_boot(6)
        self.assertEqual(6, self.reports.make(4, 0.3).boot)
        self.assertTrue(self.send_if_due(0.3))

    def test_announced_call_counts_until_the_engine_shows_it(self):
        """A call in flight is not in the engine's own figures yet."""
        self.reports.announce(3000, 1.0)
        report = self.reports.make(4, 1.0)
        self.assertEqual((1, 3000), (report.running, report.unread_tokens))
        shown = EngineState(running=1, unread_tokens=3000, total_tokens=27_000)
        self.reports.record_state(shown, 1.1)
        report = self.reports.make(4, 1.0)
        self.assertEqual((1, 3000), (report.running, report.unread_tokens))

    def test_figures_from_before_a_call_do_not_hide_it(self):
        self.reports.announce(3000, 1.0)
        self.reports.record_state(IDLE, 0.99)
        self.assertEqual(3000, self.reports.make(4, 1.0).unread_tokens)

    def test_reported_at_once_when_a_call_arrives_starts_or_ends(self):
        for now, state in enumerate(
            (
                EngineState(running=1, total_tokens=27_000),
                EngineState(running=1, generating=1, total_tokens=27_000),
                IDLE,
            ),
            start=1,
        ):
            self.reports.record_state(state, now / 10)
            self.assertTrue(self.send_if_due(now / 10), state)
            self.assertFalse(self.send_if_due(now / 10 + 0.01), state)

    def test_growing_generations_are_not_reported(self):
        grown = EngineState(used_tokens=200, total_tokens=27_000)
        self.reports.record_state(grown, 0.1)
        self.assertFalse(self.send_if_due(0.1))

    def test_heartbeat_is_sent_without_changes(self):
        self.assertFalse(self.send_if_due(0.4))
        self.assertTrue(self.send_if_due(0.5))

    def test_traffic_is_bounded_by_the_number_of_entries(self):
        """One engine with many changes of load and 330 entries.

        Reporting each change to all of them would exceed many times the control
        traffic that a node may send.
        """
        sent = 0
        for step in range(1000):
            now = step / 100
            running = EngineState(running=step % 7, total_tokens=27_000)
            self.reports.record_state(running, now)
            sent += self.send_if_due(now, entries=330)
        # A heartbeat a second, and the credit from a quiet time.
        self.assertLessEqual(sent, 10 + 20 + 5)

    def test_heartbeats_to_many_entries(self):
        """Guards against 45,000 reports a second of 150 idle engines."""
        self.assertFalse(self.send_if_due(0.9, entries=150))
        self.assertTrue(self.send_if_due(1.0, entries=150))


class ThunderingHerdTest(unittest.TestCase):
    """Many entries select engines at the same time."""

    def simulate(self, report_mode):
        return simulate_fleet(report_mode, 20, seed=3)

    def test_entries_do_not_all_choose_the_engine_that_looks_emptiest(self):
        """Guards against a thundering herd on an engine that looks empty.

        With counts that are 0.2 s old a third of the short answers were late;
        with announced calls hardly any is, as with a complete view.
        """
        by_counts = self.simulate('counts')
        announced = self.simulate('announced')
        self.assertGreater(by_counts.late, 0.1)
        self.assertLess(announced.late, 0.02)
        self.assertLess(announced.met, by_counts.met / 2)
        self.assertLess(announced.quantile(0.9), 0.9)

    def test_engines_leave_every_few_seconds(self):
        """A sixth of the engines leaves every 3.3 s, with a short notice.

        Engines that hold more than can be copied within the notice lose
        streams. If announced calls spread the load, hardly more are lost than
        with a complete view.
        """
        lost = {
            report_mode: sum(
                simulate_fleet(report_mode, 25, seed).lost
                for seed in range(1, 7)
            )
            for report_mode in ('counts', 'announced', 'oracle')
        }
        self.assertGreater(lost['counts'], 10)
        self.assertLess(lost['announced'], lost['counts'] / 3)
        self.assertLessEqual(lost['announced'], lost['oracle'] * 1.25)
