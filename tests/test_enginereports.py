"""What is told of an engine, and when.

The pattern: 27 entries before 25 engines, some 29 generations a second, half
of them short ones whose first event is due after 1.5 s behind prompts that
take 0.4 s each.
"""

import unittest

from bench.herd import play_fleet
from primrosewood.backendset import EngineState
from primrosewood.enginereports import EngineReports

IDLE = EngineState(total_tokens=27_000)


class EngineReportsTest(unittest.TestCase):
    """One engine's reports."""

    def setUp(self):
        self.reports = EngineReports()
        self.reports.take(IDLE, 0)
        self.tell(0)

    def tell(self, now, entries=4):
        """Tell what is due; return whether something was."""
        report = self.reports.make(entries)
        due = self.reports.is_due(report, now)
        if due:
            self.reports.record_sent(report, now)
        return due

    def test_announced_call_counts_until_the_engine_shows_it(self):
        """A call is on its way: no figure of the engine has it yet."""
        self.reports.announce(3000, 1.0)
        report = self.reports.make(4)
        self.assertEqual((1, 3000), (report.running, report.unread_tokens))
        shown = EngineState(running=1, unread_tokens=3000, total_tokens=27_000)
        self.reports.take(shown, 1.1)
        report = self.reports.make(4)
        self.assertEqual((1, 3000), (report.running, report.unread_tokens))

    def test_figures_from_before_a_call_do_not_hide_it(self):
        self.reports.announce(3000, 1.0)
        self.reports.take(IDLE, 0.99)
        self.assertEqual(3000, self.reports.make(4).unread_tokens)

    def test_told_at_once_when_a_call_comes_begins_or_ends(self):
        for now, state in enumerate(
            (
                EngineState(running=1, total_tokens=27_000),
                EngineState(running=1, generating=1, total_tokens=27_000),
                IDLE,
            ),
            start=1,
        ):
            self.reports.take(state, now / 10)
            self.assertTrue(self.tell(now / 10), state)
            self.assertFalse(self.tell(now / 10 + 0.01), state)

    def test_growing_generations_are_no_news(self):
        grown = EngineState(used_tokens=200, total_tokens=27_000)
        self.reports.take(grown, 0.1)
        self.assertFalse(self.tell(0.1))

    def test_beat_shows_that_the_process_lives(self):
        self.assertFalse(self.tell(0.4))
        self.assertTrue(self.tell(0.5))

    def test_traffic_is_bounded_by_the_number_of_entries(self):
        """A storm of calls at one engine before 330 entries.

        Reports to all of them would take what the node may send many times.
        """
        told = 0
        for step in range(1000):
            now = step / 100
            running = EngineState(running=step % 7, total_tokens=27_000)
            self.reports.take(running, now)
            told += self.tell(now, entries=330)
        # Twice a second, and what a quiet time had saved.
        self.assertLessEqual(told, 20 + 20 + 5)


class HerdTest(unittest.TestCase):
    """Many entries choose at the same time."""

    def play(self, way):
        return play_fleet(way, 20, seed=3)

    def test_entries_do_not_all_choose_the_engine_that_looks_emptiest(self):
        """A herd on a fresh engine.

        By counts that are 0.2 s old a third of the short answers came late;
        by announced calls hardly any does, as with a view of everything.
        """
        herd = self.play('counts')
        announced = self.play('announced')
        self.assertGreater(herd.late, 0.1)
        self.assertLess(announced.late, 0.02)
        self.assertLess(announced.met, herd.met / 2)
        self.assertLess(announced.quantile(0.9), 0.9)

    def test_leave_every_few_seconds(self):
        """A sixth of the engines leaves every 3.3 s, with a short notice.

        Engines that held more than could be copied lost streams; spread by
        what is on its way to them, hardly more are lost than with a view of
        everything.
        """
        lost = {
            way: sum(play_fleet(way, 25, seed).lost for seed in range(1, 7))
            for way in ('counts', 'announced', 'oracle')
        }
        self.assertGreater(lost['counts'], 10)
        self.assertLess(lost['announced'], lost['counts'] / 3)
        self.assertLessEqual(lost['announced'], lost['oracle'] * 1.25)
