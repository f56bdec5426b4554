"""Schedule by which entries take turns in reading the key-value service.

The entry that read last, the current reader, reads again soonest and sends
what it read to the others, whose own reads that postpones. If its updates fail
to come, the others wait a random time each and the first one takes over. No
entry needs to know which others exist, and none waits for another one's
consent: two readers only cost calls until one hears of the other.

Entries whose last read failed take turns as well: each tells the others when it
reads again, which postpones the reads of those that also failed. Entries that
the service does answer are not held up by those that it refuses.
"""

from math import expm1, log, log1p

from .clock import RandomSource
from .entrycount import EntryCount

__all__ = ('ReadSchedule',)

# Time from one read to the next one of the same reader. Operators' changes must
# be in force within 2 s of their acceptance; this leaves time for a takeover
# and for a second read after one that fails by its timeout of 0.7 s.
_READ_INTERVAL_SECONDS = 0.4
# The same for an entry that is connected to no peer: one that has just started
# before the engines, of which there may be hundreds. Where hundreds of entries
# start at once, the random part keeps them from all reading again, and sending
# all changes to all others, as soon as they are connected.
_ALONE_INTERVAL_SECONDS = 0.5
_ALONE_RANGE_SECONDS = 0.6
# Silence after which another entry may take over, at the earliest, and the
# range of the random delay that is added. An update arrives within 0.05 s of
# the read that it reports.
_TAKEOVER_SECONDS = 0.5
_TAKEOVER_RANGE_SECONDS = 0.15
# Longest time from a failed read for which an entry leaves it to others to try
# again: it may be the only one that the service answers by now.
_MAX_POSTPONED_SECONDS = 2.0


class ReadSchedule:
    """Time of the next read of one entry.

    Parameters
    ----------
    name
        Name of this entry.
    entries
        Number of entries that share reads.

    Attributes
    ----------
    next_read_at
        When the next read is due, in monotonic seconds.
    """

    def __init__(
        self, name: str, entries: EntryCount, random: RandomSource, now: float
    ) -> None:
        """Create a schedule whose first read is due at once."""
        self._name = name
        self._entries = entries
        self._random = random
        self._is_reader = False
        self._failed = False
        self._failed_at = now
        self._started = False
        self._catching_up = False
        self.next_read_at = now

    @property
    def failed(self) -> bool:
        """Whether the last read failed and no update has arrived since."""
        return self._failed

    @property
    def catching_up(self) -> bool:
        """Whether the next read is for changes that others know already."""
        return self._catching_up

    def record_read(self, started_at: float, shared: bool = True) -> None:
        """Record that this entry has read the service.

        All entries read when they start, so that the first read makes none of
        them the reader.

        Parameters
        ----------
        started_at
            When the read began, in monotonic seconds.
        shared
            Whether the read was sent to others.
        """
        self._is_reader = self._started
        self._started = True
        self._failed = False
        if shared:
            self._schedule(started_at)
        else:
            delay = _ALONE_RANGE_SECONDS * self._draw_late_share()
            self.next_read_at = started_at + _ALONE_INTERVAL_SECONDS + delay

    def record_caught_up(self, started_at: float) -> None:
        """Record a read that `read_now` has asked for."""
        self._catching_up = False
        self._failed = False
        self._schedule(started_at)

    def record_update(self, reader: str, now: float) -> None:
        """Record an update from another entry.

        Of two readers that hear of each other, the one whose name sorts first
        goes on. Without that order both would stop, and come back together.
        """
        if reader < self._name:
            self._is_reader = False
        self._failed = False
        self._catching_up = False
        self._schedule(now)

    def record_overtaken(self, now: float) -> None:
        """Record that an update has cancelled a read of this entry."""
        self._is_reader = False
        self._schedule(now)

    def record_failure(self, now: float) -> None:
        """Record a failed read; others may be able to read instead."""
        self._is_reader = False
        self._catching_up = False
        self._failed = True
        self._failed_at = now
        self._schedule(now)

    def record_attempt_elsewhere(self, now: float) -> None:
        """Record that another entry, whose last read failed, reads again."""
        if self._failed and now < self._failed_at + _MAX_POSTPONED_SECONDS:
            self._schedule(now)

    def read_now(self, now: float) -> None:
        """Make a read due at once, for changes that others know already."""
        self._catching_up = True
        self.next_read_at = now

    def _schedule(self, since: float) -> None:
        delay = _READ_INTERVAL_SECONDS
        if not self._is_reader:
            delay = _TAKEOVER_SECONDS
            delay += _TAKEOVER_RANGE_SECONDS * self._draw_late_share()
        self.next_read_at = since + delay

    def _draw_late_share(self) -> float:
        """Return a random number below 1 that is mostly close to 1.

        An exponential distribution, cut off at 1 and steeper the more entries
        there are: few of them draw the low numbers, so that the first update
        arrives before the others are due. With equal chances for all numbers,
        the reads per takeover would grow with the number of entries.
        """
        steepness = 1 + log(self._entries.count)
        return log1p(self._random.random() * expm1(steepness)) / steepness
