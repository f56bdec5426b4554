"""An entry's share of limits that apply to the sum over all entries.

Entries do not ask each other before they use up part of a limit, as that
would fail during a network partition.  Each uses an equal share, by the most
entries that are known of, and keeps a margin for entries that have just
started.  A limit of a few calls per second is too small to divide; there each
entry reports its calls to the others, see `CallLimit`.
"""

import math
from collections import deque
from dataclasses import dataclass

from .entrycount import EntryCount

__all__ = (
    'CallLimit',
    'ColdLimit',
    'ColdRule',
    'drop_before',
)

_ALWAYS = float('-inf')
# Part of its share that an entry uses; the rest covers entries that are not
# counted yet.
_USED_SHARE = 0.8
# The limit of a cold back end applies to calls per second as they arrive there.
# Calls that are sent a second apart may arrive closer together, so the window
# is a little longer.
_COLD_WINDOW_SECONDS = 1.2
# Standard deviations by which the mean of a random sum stays below a limit.
_DEVIATIONS = 4
# After a pause, up to this many seconds of a rate limit may be used at once.
_BURST_SECONDS = 1.0
# Most spare tokens that `CallLimit.hold_back` requires: one for this many
# entries, at least one, up to a maximum.  The bucket holds at least one token
# more than that maximum, so that a call is always possible once it is full.
_ENTRIES_PER_HELD_TOKEN = 9
_MAX_HELD_TOKENS = 3.0
_MIN_BURST_TOKENS = 1 + _MAX_HELD_TOKENS
# Calls per second that probe whether a limit near zero is still in force.
_MIN_CALLS_PER_SECOND = 0.1


@dataclass(frozen=True, slots=True)
class ColdRule:
    """Limit on the calls per second to one cold back end.

    Attributes
    ----------
    factor, slack
        It gets at most its cold rate times the factor, plus the slack.
    """

    factor: float = 1.5
    slack: float = 5


class ColdLimit:
    """Limits this entry's calls per second to one cold back end."""

    def __init__(
        self,
        entries: EntryCount,
        rounding: float = 1,
        started_at: float = _ALWAYS,
    ) -> None:
        """Start with an empty window.

        Parameters
        ----------
        rounding
            Part of a call, over 0 and at most 1, from which on a share is
            rounded up.
        started_at
            Monotonic seconds at which this process started; the process that
            ran here before may have used the share until then.
        """
        self._entries = entries
        self._rounding = rounding
        self._opens_at = started_at + _COLD_WINDOW_SECONDS
        self._sent: deque[float] = deque()

    def has_capacity(self, rate: float, now: float) -> bool:
        """Return whether another call stays within this entry's share.

        Parameters
        ----------
        rate
            Calls per second that all entries together may send.
        now
            Monotonic seconds.
        """
        if now < self._opens_at:
            return False
        drop_before(self._sent, now - _COLD_WINDOW_SECONDS)
        entries = self._entries.shares
        share = _find_rounded_sum(rate, entries) / entries
        return len(self._sent) + self._rounding <= share

    def record_call(self, now: float) -> None:
        """Count a call that is sent to the back end."""
        self._sent.append(now)


class CallLimit:
    """Rate limit that a back end sets for the calls of all entries together.

    A token bucket that the calls of every entry draw from: this entry's own
    when they are sent, those of other entries when they are reported.  Late
    reports leave the bucket in debt, so that the sum still keeps to the rate.
    """

    def __init__(self) -> None:
        """Start with no limit in force."""
        self._rate: float | None = None
        self._reported_at = float('-inf')
        self._tokens = 0.0
        self._filled_at = 0.0
        self._held_tokens = 0.0

    @property
    def rate(self) -> float | None:
        """Calls per second, None without a limit."""
        return self._rate

    @property
    def reported_at(self) -> float:
        """When the back end last stated its limit, in monotonic seconds."""
        return self._reported_at

    def update(
        self, rate: float | None, reported_at: float, now: float
    ) -> bool:
        """Update the limit; return whether the rate changes.

        Parameters
        ----------
        rate
            Calls per second, None for no limit.
        reported_at
            When the back end stated the limit, in monotonic seconds; a
            statement older than the last one is ignored.
        now
            Monotonic seconds.
        """
        if reported_at < self._reported_at:
            return False
        if self._rate is None:
            # Calls before the limit was known were not counted, so the bucket
            # starts empty.
            self._tokens = 0
            self._filled_at = now
        else:
            self._fill(now)
        changed = rate != self._rate
        self._rate = rate
        self._reported_at = reported_at
        return changed

    def count(self, calls: int, now: float) -> None:
        """Draw the tokens of calls that were sent."""
        if self._rate is not None:
            self._fill(now)
            self._tokens -= calls

    def hold_back(self, draw: float, entries: int) -> None:
        """Require a random number of spare tokens before the next call.

        All entries see a new token at the same moment; with random thresholds
        one of them takes it first and reports that to the others.

        Parameters
        ----------
        draw
            Random number in [0, 1).
        entries
            Number of entries.
        """
        max_held = max(1, entries / _ENTRIES_PER_HELD_TOKEN)
        self._held_tokens = draw * min(_MAX_HELD_TOKENS, max_held)

    def seconds_until_call(self, now: float) -> float:
        """Return the seconds until a call may be sent, 0 for now."""
        if self._rate is None:
            return 0
        self._fill(now)
        missing = 1 + self._held_tokens - self._tokens
        return max(0, missing / self._refill_rate())

    def _fill(self, now: float) -> None:
        refill_rate = self._refill_rate()
        capacity = max(_MIN_BURST_TOKENS, refill_rate * _BURST_SECONDS)
        refilled = (now - self._filled_at) * refill_rate
        self._tokens = min(capacity, self._tokens + refilled)
        self._filled_at = now

    def _refill_rate(self) -> float:
        return max(_MIN_CALLS_PER_SECOND, self._rate)


def _find_rounded_sum(rate: float, entries: int) -> float:
    """Return the sum of shares whose random rounding rarely exceeds a rate.

    The variance of the rounded sum is at most a quarter of the number of
    entries, and at most the sum itself where the shares are below one.
    """
    by_entries = rate - _DEVIATIONS * math.sqrt(entries) / 2
    half = _DEVIATIONS / 2
    by_sum = (math.sqrt(rate + half**2) - half) ** 2
    return max(by_sum, min(rate * _USED_SHARE, by_entries))


def drop_before(times: deque[float], cutoff: float) -> None:
    """Remove the times before a cutoff from the beginning."""
    while times and times[0] < cutoff:
        times.popleft()
