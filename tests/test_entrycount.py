"""Number of entries by which limits are divided."""

import asyncio
import random
import unittest
from unittest import mock

from primrosewood.entrycount import (
    EntryCount,
    EntryCountRecorder,
    StoredEntryCount,
)
from primrosewood.errors import StoreUnavailableError, WireError
from primrosewood.platform.entrydocuments import (
    parse_entry_count,
    serialise_entry_count,
)

from .virtualtime import ManualClock

_HOUR = 3600.0


class EntryCountTest(unittest.TestCase):
    """The number that one entry knows."""

    def test_nothing_is_known_at_first(self):
        entries = EntryCount.assume(8)
        self.assertEqual(
            (8, 0, 8), (entries.count, entries.most, entries.shares)
        )

    def test_entries_that_vanish_still_count(self):
        """Guards against larger shares on one side of a partition."""
        entries = EntryCount.assume(8)
        entries.update(26, 0)
        entries.update(9, 1)
        self.assertEqual((9, 26), (entries.count, entries.most))

    def test_stored_number_counts_after_a_restart(self):
        """Guards against shares for those that have come back already."""
        entries = EntryCount.assume(8)
        entries.restore(26)
        entries.update(1, 0)
        self.assertEqual(26, entries.most)

    def test_entries_that_are_gone_for_long_do_not_count(self):
        entries = EntryCount.assume(8)
        entries.update(26, 0)
        for hour in (1, 2, 3):
            entries.update(9, hour * _HOUR)
        self.assertEqual(9, entries.most)

    def test_limit_is_not_shared_before_the_number_is_known(self):
        """Guards against shares of those that have come back already."""
        entries = EntryCount.assume(8)
        entries.update(3, 0)
        self.assertEqual(0, entries.share_of(52))
        entries.restore(26)
        self.assertEqual(2, entries.share_of(52))

    def test_entries_that_start_first_share_little(self):
        """Guards against shares of those that have started already."""
        entries = EntryCount.assume(8)
        self.assertEqual(0, entries.provisional_share_of(52, 0))
        entries.update(1, 0)
        self.assertEqual(0, entries.provisional_share_of(52, 1))
        self.assertEqual(52, entries.provisional_share_of(52, 2))
        self.assertFalse(entries.known)


class EntryCountRecorderTest(unittest.IsolatedAsyncioTestCase):
    """Writes of the number to the key-value service."""

    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.entries = EntryCount.assume(8)
        self.writer = mock.AsyncMock()
        self.recorder = EntryCountRecorder(
            'entry-1',
            self.entries,
            self.writer,
            self.clock,
            random.Random(1),
        )

    async def run_ticks(self, seconds):
        for _ in range(int(seconds * 10)):
            self.clock.now += 0.1
            self.recorder.tick()
        # Writes run as tasks.
        await asyncio.sleep(0.01)

    def written(self):
        calls = self.writer.write_entry_count.await_args_list
        return [(each.args[0].entries, each.args[0].revision) for each in calls]

    async def test_number_is_written_once(self):
        self.entries.update(26, self.clock.now)
        await self.run_ticks(8)
        self.assertEqual([(26, 0)], self.written()[:1])
        self.recorder.apply(StoredEntryCount(26, (), 7))
        written = len(self.written())
        await self.run_ticks(60)
        self.assertEqual(written, len(self.written()))

    async def test_number_of_few_entries_is_written_soon(self):
        """Guards against a fleet whose limits are not shared for long."""
        self.entries.update(2, self.clock.now)
        await self.run_ticks(2.2)
        self.assertEqual([(2, 0)], self.written())

    async def test_growing_number_is_written_when_it_has_settled(self):
        """Guards against a write for each entry that starts."""
        for entries in range(1, 27):
            self.entries.update(entries, self.clock.now)
            await self.run_ticks(0.5)
        self.assertEqual([], self.written())
        await self.run_ticks(8)
        self.assertEqual((26, 0), self.written()[0])

    async def test_few_entries_after_a_restart_are_not_written(self):
        """Guards against a number that a kill of all entries lowers."""
        self.recorder.apply(StoredEntryCount(26, (), 7))
        self.entries.update(1, self.clock.now)
        await self.run_ticks(60)
        self.assertEqual([], self.written())

    async def test_lower_number_is_written_after_long(self):
        self.recorder.apply(StoredEntryCount(26, (), 7))
        self.clock.now += _HOUR
        self.entries.update(9, self.clock.now)
        await self.run_ticks(8)
        self.assertEqual((9, 7), self.written()[0])

    async def test_entries_without_reports_register(self):
        """Guards against a guess where no process beside engines counts."""
        others = ('entry-2', 'entry-3')
        self.recorder.apply(StoredEntryCount(0, others, 7))
        await self.run_ticks(12)
        self.assertEqual((3, 7), self.written()[0])
        self.recorder.apply(StoredEntryCount(0, (*others, 'entry-1'), 8))
        written = len(self.written())
        await self.run_ticks(60)
        self.assertEqual(written, len(self.written()))

    async def test_store_that_does_not_answer(self):
        """Guards against a count that is given up after a failed write."""
        self.writer.write_entry_count.side_effect = StoreUnavailableError('')
        self.entries.update(26, self.clock.now)
        await self.run_ticks(8)
        failed = len(self.written())
        await self.run_ticks(8)
        self.assertGreater(len(self.written()), failed)


class StoredEntryCountTest(unittest.TestCase):
    """The number as it is stored."""

    def test_round_trip(self):
        stored = StoredEntryCount(2, ('entry-1', 'entry-2', 'entry-3'), 7)
        self.assertEqual(3, stored.entries)
        parsed = parse_entry_count(serialise_entry_count(stored), 7)
        self.assertEqual(stored, parsed)

    def test_malformed_values(self):
        """Guards against a limit that is divided by what is no number."""
        for stored in (b'', b'26', b'{"entries": -1}', b'{"entries": "x"}'):
            with self.subTest(stored), self.assertRaises(WireError):
                parse_entry_count(stored, 7)
