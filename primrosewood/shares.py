"""An entry's share of limits that hold for the sum over all entries.

Entries do not ask each other before they spend: on a day with cuts there is
nobody to ask.  Each spends its share of the sum, by the number of entries
that it last heard of, and keeps a margin for an entry that has just come.
A limit of a few calls a second has no shares to divide; there each tells the
others what it has spent.
"""

from collections import deque
from dataclasses import dataclass

__all__ = (
    'CallLimit',
    'ColdLimit',
    'EntryCount',
    'RepeatBudget',
    'RepeatRule',
)

# Used of each share; the rest covers entries that were not counted yet.
_MARGIN = 0.8
# Calls are counted where they arrive, so two bursts that were a second apart
# when they were sent may be nearer to each other: count a little longer.
_COLD_WINDOW_SECONDS = 1.2
# A named limit may be used at once for so many seconds after a pause.
_BURST_SECONDS = 1.0
# Tokens that an entry may hold back: one for so many entries, and no more than
# leave room for a call.
_ENTRIES_A_TOKEN = 9
_MOST_HELD_BACK = 3.0
_LEAST_BURST = 1 + _MOST_HELD_BACK
# Calls a second that show whether a limit near zero still holds.
_LEAST_RATE = 0.1


class EntryCount:
    """How many entries share each sum, as endpoints last told.

    Parameters
    ----------
    assumed
        Entries to reckon with before anybody told.
    """

    def __init__(self, assumed: int) -> None:
        """Start with the assumption."""
        self._count = assumed

    @property
    def count(self) -> int:
        """Number of entries, at least one."""
        return self._count

    def take(self, entries: int) -> None:
        """Note how many entries an endpoint is connected to."""
        self._count = max(1, entries)


@dataclass(frozen=True, slots=True)
class RepeatRule:
    """Bound on repeats at a service within a window.

    Attributes
    ----------
    ratio
        Repeats allowed for each request of the window.
    slack
        Repeats allowed on top, by all entries together.
    window
        Seconds.
    """

    ratio: float = 0.2
    slack: float = 50
    window: float = 10


class RepeatBudget:
    """Repeats to one service, bounded so that a fault brings no storm.

    Attributes
    ----------
    rule
        The bound; what was spent counts on when it changes.
    """

    def __init__(self, rule: RepeatRule, entries: EntryCount) -> None:
        """Start with an empty window."""
        self.rule = rule
        self._entries = entries
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def note_request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.append(now)
        self._forget(now)

    def spend(self, now: float) -> bool:
        """Take one repeat; False when the share is used up."""
        self._forget(now)
        allowed = len(self._requests) * self.rule.ratio
        allowed += self.rule.slack / self._entries.count
        if len(self._repeats) + 1 > allowed * _MARGIN:
            return False
        self._repeats.append(now)
        return True

    def _forget(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] < now - self.rule.window:
                times.popleft()


class ColdLimit:
    """Calls a second to one cold back end."""

    def __init__(self, entries: EntryCount) -> None:
        """Start with an empty window."""
        self._entries = entries
        self._sent: deque[float] = deque()

    def has_room(self, rate: float, now: float) -> bool:
        """Tell whether another call keeps this entry within its share.

        Parameters
        ----------
        rate
            Calls a second that all entries together may send.
        now
            Monotonic seconds.
        """
        while self._sent and self._sent[0] < now - _COLD_WINDOW_SECONDS:
            self._sent.popleft()
        share = rate * _MARGIN / self._entries.count
        return len(self._sent) + 1 <= max(1, share)

    def note(self, now: float) -> None:
        """Count a call."""
        self._sent.append(now)


class CallLimit:
    """Calls a second that a back end takes from all entries together.

    A token bucket that the calls of every entry empty: this entry's own as
    they are sent, those of others as they are told.  What is told too late
    leaves a debt, so that the sum keeps to the rate.
    """

    def __init__(self) -> None:
        """Start without a limit."""
        self._rate: float | None = None
        self._heard_at = float('-inf')
        self._tokens = 0.0
        self._filled_at = 0.0
        self._held_back = 0.0

    @property
    def rate(self) -> float | None:
        """Calls a second, None without a limit."""
        return self._rate

    @property
    def heard_at(self) -> float:
        """When the back end last said so, in monotonic seconds."""
        return self._heard_at

    def take(self, rate: float | None, heard_at: float, now: float) -> bool:
        """Note what the back end said; tell whether the limit changes.

        Parameters
        ----------
        rate
            Calls a second, None for no limit.
        heard_at, now
            Monotonic seconds; what was heard before the last news is old.
        """
        if heard_at < self._heard_at:
            return False
        if self._rate is None:
            # It has just got calls that were not counted.
            self._tokens = 0
            self._filled_at = now
        else:
            self._fill(now)
        changed = rate != self._rate
        self._rate = rate
        self._heard_at = heard_at
        return changed

    def count(self, calls: int, now: float) -> None:
        """Count calls that were sent."""
        if self._rate is not None:
            self._fill(now)
            self._tokens -= calls

    def hold_back(self, draw: float, entries: int) -> None:
        """Leave some tokens until more have come.

        All entries see a new token at the same moment; holding back a random
        part lets one of them take it and tell the others.

        Parameters
        ----------
        draw
            A number in [0, 1).
        entries
            How many there are.
        """
        spread = max(1, entries / _ENTRIES_A_TOKEN)
        self._held_back = draw * min(_MOST_HELD_BACK, spread)

    def seconds_until_call(self, now: float) -> float:
        """Return the seconds until a call may be sent, 0 for at once."""
        if self._rate is None:
            return 0
        self._fill(now)
        missing = 1 + self._held_back - self._tokens
        return max(0, missing / self._pace())

    def _fill(self, now: float) -> None:
        pace = self._pace()
        most = max(_LEAST_BURST, pace * _BURST_SECONDS)
        earned = (now - self._filled_at) * pace
        self._tokens = min(most, self._tokens + earned)
        self._filled_at = now

    def _pace(self) -> float:
        return max(_LEAST_RATE, self._rate)
