"""An entry's share of the limit on retries to a service.

The limit applies to any window of time and to the sum over all entries.  They
do not ask each other before a retry; each keeps to an equal part of the limit.
"""

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import accumulate, chain, repeat

from . import gen_wire as wire
from .backendstate import Backend
from .entrycount import EntryCount
from .retryhistory import EarlierRetries, count_by_interval
from .sharedlimits import drop_before
from .unreadsends import HeldRetries, UnreadSend

__all__ = ('RepeatBudget', 'RepeatRule')

_ALWAYS = float('-inf')
# Part of its share that an entry uses; the rest covers entries that are not
# counted yet.
_USED_SHARE = 0.8
# The same for moved streams that are resumed, which are lost otherwise.
_RESUMPTION_SHARE = 0.9
# The same while it is not known what the process before has used, or how many
# entries there are, or while nobody keeps what this one uses.
_PROVISIONAL_SHARE = 0.1
# Part of its share of the limit for any single window that an entry uses.
_WINDOW_SHARE = 0.95
# A retry may arrive this much later than it was counted.
_MAX_TRAVEL_SECONDS = 0.5
_INTERVALS_PER_WINDOW = 20
_HALF_WINDOW = _INTERVALS_PER_WINDOW // 2
_MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class RepeatRule:
    """Limit on the retries to a service within any window.

    The requests that earn retries are those of the window itself, of the
    window before it, or of the one half a window before it, whichever has most.

    Attributes
    ----------
    ratio
        Retries allowed per request.
    slack
        Retries allowed in addition, for all entries together.
    window
        Length of the window in seconds.
    """

    ratio: float = 0.2
    slack: float = 50
    window: float = 10

    @property
    def retry_seconds(self) -> float:
        """For how many seconds a retry counts."""
        return self.window + _MAX_TRAVEL_SECONDS

    @property
    def interval_ms(self) -> int:
        """Length of the intervals by which requests and retries are counted."""
        return math.ceil(self.window * _MS_PER_SECOND / _INTERVALS_PER_WINDOW)

    @property
    def travel_intervals(self) -> int:
        """Number of intervals by which a retry may arrive late."""
        return math.ceil(
            _MAX_TRAVEL_SECONDS * _MS_PER_SECOND / self.interval_ms
        )


class RepeatBudget:
    """Retry budget of one service, which prevents retry storms.

    Attributes
    ----------
    rule
        The limit.  When it changes, requests and retries so far still count.
    """

    def __init__(
        self,
        rule: RepeatRule,
        entries: EntryCount,
        started_at: float = _ALWAYS,
        rounding: float = 1,
    ) -> None:
        """Start without requests and retries.

        Parameters
        ----------
        started_at
            Monotonic seconds at which this process started.
        rounding
            Part of a retry, over 0 and at most 1, from which on a share is
            rounded up.  Where entries are many, the share of each is a few
            retries or less than one; with random parts the sum is still used.
        """
        self._rounding = rounding
        self.rule = rule
        self._entries = entries
        self._started_at = started_at
        # Of the last window, and of the one before it.
        self._requests: deque[float] = deque()
        self._older_requests: deque[float] = deque()
        self._repeats: deque[float] = deque()
        self._held = HeldRetries()

    @property
    def requests(self) -> int:
        """Number of callers' requests in the window, as of the last call."""
        return len(self._requests)

    @property
    def repeats(self) -> int:
        """Number of retries that count, as of the last call."""
        return len(self._repeats) + len(self._held)

    @property
    def held(self) -> int:
        """Number of these that count until an earlier send is settled."""
        return len(self._held)

    def record_request(self, now: float) -> None:
        """Count a caller's request, which earns retries."""
        self._requests.append(now)
        self._drop_expired(now)

    def restore(self, earlier: EarlierRetries) -> None:
        """Count what the process that ran here before has used."""
        self._requests.extendleft(reversed(earlier.requests))
        self._repeats.extendleft(reversed(earlier.retries))
        for _ in range(earlier.held):
            self._held.add(UnreadSend(None, earlier.counted_at))

    def allows(
        self, now: float, resumes: bool = False, whole_share: bool = True
    ) -> bool:
        """Return whether one more retry fits this entry's share.

        Parameters
        ----------
        resumes
            Whether a moved stream is resumed, for which part of the share is
            kept back.
        whole_share
            Whether the whole share may be used: the retries of the process that
            ran here before are counted, and those made now would be known to
            the next one.
        """
        self._drop_expired(now)
        allowed = whole_share and self._fits_share(now, resumes)
        if not (whole_share and self._entries.known):
            allowed = allowed or self._fits_provisional_share(now)
        return allowed

    def spend(
        self, now: float, resumes: bool = False, whole_share: bool = True
    ) -> bool:
        """Take one retry; return False if this entry's share is used up."""
        allowed = self.allows(now, resumes, whole_share)
        if allowed:
            self._repeats.append(now)
        return allowed

    def hold(self, unread: UnreadSend) -> None:
        """Count the newest retry until an unread send of its call is settled.

        That send may arrive at any time until then, and counts when it does.
        """
        if self._repeats:
            self._repeats.pop()
        self._held.add(unread)

    def settle(self, backend: Backend, sent_at: float, now: float) -> None:
        """Count held retries as just made whose send has been read by now."""
        released = self._held.settle(backend, sent_at)
        self._repeats.extend(repeat(now, released))

    def make_record(self, service: str, now: float) -> wire.RetryRecord:
        """Return the requests and retries that count for the next process."""
        return wire.RetryRecord(
            service=service,
            age_ms=0,
            interval_ms=self.rule.interval_ms,
            requests=self._count_requests(now),
            retries=self._count_repeats(now),
            held=self.held,
        )

    def _fits_share(self, now: float, resumes: bool) -> bool:
        """Return whether one more retry fits this entry's share."""
        used_share = _RESUMPTION_SHARE if resumes else _USED_SHARE
        slack = self._entries.share_of(self.rule.slack)
        return self._fits(used_share, slack) and self._fits_all_windows(now)

    def _fits_provisional_share(self, now: float) -> bool:
        """Return whether one more retry fits what an uncertain entry may use.

        The slack grows from the start of the process, which may be the last of
        several that have run here within the window.
        """
        slack = self._entries.provisional_share_of(self.rule.slack, now)
        up_share = min(1, (now - self._started_at) / self.rule.window)
        return self._fits(_PROVISIONAL_SHARE, slack * up_share)

    def _fits(self, used_share: float, slack: float) -> bool:
        """Return whether one more retry fits the requests of the window."""
        earned = self.rule.ratio * len(self._requests)
        needed = self.repeats + self._rounding
        return needed <= used_share * (earned + slack)

    def _fits_all_windows(self, now: float) -> bool:
        """Return whether one more retry fits every window that contains it.

        The limit takes the most requests of three windows.  Which one that is
        differs between entries, so the mean of two is used, whose sum over all
        entries never exceeds the most.
        """
        slack = self._entries.share_of(self.rule.slack)
        requests = self._count_requests(now)
        requests_after = list(accumulate(chain([0], requests)))
        repeats_after = list(accumulate(self._count_repeats(now)))
        travel = self.rule.travel_intervals
        for start in range(_INTERVALS_PER_WINDOW):
            before = _between(requests_after, start, _INTERVALS_PER_WINDOW)
            around = _between(
                requests_after, start - _HALF_WINDOW, _INTERVALS_PER_WINDOW
            )
            earned = self.rule.ratio * (before + around) / 2
            needed = repeats_after[start + travel] + self.held
            needed += self._rounding
            if needed > _WINDOW_SHARE * (earned + slack):
                return False
        return True

    def _count_requests(self, now: float) -> list[int]:
        requests = chain(self._older_requests, self._requests)
        return self._count(requests, now, 2 * _INTERVALS_PER_WINDOW)

    def _count_repeats(self, now: float) -> list[int]:
        number = _INTERVALS_PER_WINDOW + self.rule.travel_intervals
        return self._count(self._repeats, now, number)

    def _count(
        self, times: Iterable[float], now: float, number: int
    ) -> list[int]:
        interval = self.rule.interval_ms / _MS_PER_SECOND
        return count_by_interval(times, now, interval, number)

    def _drop_expired(self, now: float) -> None:
        window = self.rule.window
        while self._requests and self._requests[0] < now - window:
            self._older_requests.append(self._requests.popleft())
        drop_before(self._older_requests, now - 2 * window)
        self._repeats.extend(repeat(now, self._held.expire(now)))
        drop_before(self._repeats, now - self.rule.retry_seconds)


def _between(sums: list[int], first: int, number: int) -> int:
    """Return how many lie in a number of intervals from the first one on."""
    return sums[first + number] - sums[max(0, first)]
