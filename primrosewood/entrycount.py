"""Number of entries, by which limits on their sum are divided.

Processes beside back ends report how many entries are connected to them.  After
all entries were killed, or behind a network partition, that is only a part of
them.  Limits are therefore divided by the most entries that were reported for
a long time, and that number is kept in the key-value service, from which a
restarted entry reads it together with its routes.  Entries without any report,
as there are no such processes, register by name there.
"""

from dataclasses import dataclass, replace
from typing import Protocol

from .clock import Clock, RandomSource
from .errors import StoreUnavailableError
from .logs import log_decision, log_event
from .process import spawn

__all__ = (
    'EntryCount',
    'EntryCountRecorder',
    'EntryCountWriter',
    'StoredEntryCount',
)

# The most entries of this time count at least, of twice the time at most.
_HOLD_SECONDS = 3600.0
# An entry that has heard no report for this long registers by its name.
_REGISTER_SECONDS = 5.0
_MAX_NAMES = 1000
# A larger number counts, and is recorded, once it has not grown for this long.
_SETTLE_SECONDS = 1.5
# Range of the random time for which an entry leaves the write to the others,
# for each of them and at most.
_TURN_SECONDS_PER_ENTRY = 0.2
_MAX_TURN_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class StoredEntryCount:
    """What the key-value service holds on the number of entries.

    Attributes
    ----------
    reported
        Most entries that were reported.
    names
        Entries that have heard no report.
    revision
        Store revision at which it was written.
    """

    reported: int = 0
    names: tuple[str, ...] = ()
    revision: int = 0

    @property
    def entries(self) -> int:
        """Number of entries, 0 if nothing is known."""
        return max(self.reported, len(self.names))


class EntryCount:
    """Number of entries that share a limit.

    Parameters
    ----------
    entries
        Their number, if it is known.
    """

    def __init__(self, entries: int) -> None:
        """Start with a number that is known."""
        self._count = entries
        self._known = entries
        self._recent = _RecentMaximum()
        self._grown_at = float('inf')

    @classmethod
    def assume(cls, entries: int) -> 'EntryCount':
        """Return a number that is a guess until the first report."""
        guess = cls(entries)
        guess.restore(0)
        return guess

    @property
    def count(self) -> int:
        """Number of entries connected to back ends now, at least one."""
        return self._count

    @property
    def most(self) -> int:
        """Most entries there may be, 0 while nothing is known of them."""
        return max(self._known, self._recent.most)

    @property
    def shares(self) -> int:
        """Number by which limits are divided, a guess if nothing is known."""
        return self.most or self._count

    @property
    def most_reported(self) -> int:
        """Most entries that were reported for long, 0 without a report."""
        return self._recent.most

    @property
    def known(self) -> bool:
        """Whether limits may be divided by `shares` without reserve.

        The entries connected just now may be a part of them, also as a
        deployment starts for the first time.
        """
        return bool(self._known)

    def share_of(self, limit: float) -> float:
        """Return an equal part of a limit, 0 while their number is unknown."""
        return limit / self.shares if self.known else 0

    def provisional_share_of(self, limit: float, now: float) -> float:
        """Return a part of a limit, by the stored or the reported number.

        The reported number may miss entries that are restarted or cut off, so
        that callers use only a fraction of such a part.  It is 0 until that
        number has stopped growing.
        """
        if self.known:
            return self.share_of(limit)
        settled = now >= self._grown_at + _SETTLE_SECONDS
        return limit / self.most_reported if settled else 0

    def update(self, entries: int, now: float) -> None:
        """Update the number to that of the entries connected to an endpoint."""
        self._count = max(1, entries)
        if self._count > self.most_reported:
            self._grown_at = now
        self._recent.record(self._count, now)

    def restore(self, entries: int) -> None:
        """Apply the number that the key-value service holds."""
        self._known = entries


class EntryCountWriter(Protocol):
    """Writes the number of entries to the key-value service."""

    async def write_entry_count(self, count: StoredEntryCount) -> bool:
        """Write it if the stored one still has the given revision.

        Returns
        -------
        bool
            Whether it was written.

        Raises
        ------
        StoreUnavailableError
            The service does not answer; the number may have been written.
        """


class EntryCountRecorder:
    """Keeps the number of entries in the key-value service up to date."""

    def __init__(
        self,
        name: str,
        entries: EntryCount,
        writer: EntryCountWriter,
        clock: Clock,
        random: RandomSource,
    ) -> None:
        """Start without a stored number.

        Parameters
        ----------
        name
            Name of this entry.
        """
        self._name = name
        self._entries = entries
        self._writer = writer
        self._clock = clock
        self._random = random
        self._stored = StoredEntryCount()
        self._started_at = clock.monotonic()
        self._wanted: StoredEntryCount | None = None
        self._write_at = float('inf')

    def apply(self, stored: StoredEntryCount) -> None:
        """Apply the number that the key-value service holds."""
        self._stored = stored
        self._entries.restore(stored.entries)
        log_decision(
            'entries_stored',
            entries=stored.entries,
            reported=self._entries.most_reported,
            revision=stored.revision,
        )

    def tick(self) -> None:
        """Write the number if it has changed and no other entry wrote it."""
        wanted = self._find_wanted()
        now = self._clock.monotonic()
        if wanted != self._wanted:
            self._wanted = wanted
            self._schedule(now)
        if wanted is not None and now >= self._write_at:
            self._schedule(now)
            spawn(self._write(wanted), 'entry count')

    def _find_wanted(self) -> StoredEntryCount | None:
        """Return what to write, None if the stored number is right."""
        reported = self._entries.most_reported
        up_seconds = self._clock.monotonic() - self._started_at
        if reported:
            # After a restart or behind a partition few entries are reported.
            needed = _HOLD_SECONDS if reported < self._stored.entries else 0
            wanted = StoredEntryCount(reported, (), self._stored.revision)
        else:
            needed = _REGISTER_SECONDS
            wanted = self._with_own_name()
        differs = wanted.entries != self._stored.entries
        return wanted if differs and up_seconds >= needed else None

    def _with_own_name(self) -> StoredEntryCount:
        stored = self._stored
        if self._name in stored.names:
            return stored
        names = (*stored.names, self._name)[-_MAX_NAMES:]
        return replace(stored, names=names)

    def _schedule(self, now: float) -> None:
        # Without reports every entry has to write its own name.
        reported = self._entries.most_reported or float('inf')
        longest_turn = min(
            _MAX_TURN_SECONDS, reported * _TURN_SECONDS_PER_ENTRY
        )
        turn = longest_turn * self._random.random()
        self._write_at = now + _SETTLE_SECONDS + turn

    async def _write(self, wanted: StoredEntryCount) -> None:
        try:
            written = await self._writer.write_entry_count(wanted)
        except StoreUnavailableError as error:
            log_event('entries_not_stored', 'WARNING', why=error)
            return
        log_decision('entries_counted', entries=wanted.entries, written=written)


class _RecentMaximum:
    """Most of the numbers recorded in the current and the last period."""

    def __init__(self) -> None:
        self._period_began = float('-inf')
        self._current = 0
        self._previous = 0

    @property
    def most(self) -> int:
        return max(self._current, self._previous)

    def record(self, number: int, now: float) -> None:
        if now >= self._period_began + _HOLD_SECONDS:
            self._previous, self._current = self._current, 0
            self._period_began = now
        self._current = max(self._current, number)
