"""Retries that an entry made before its process was restarted.

The limit on retries applies to a window of time, so a restarted process has to
know how much of the entry's share the one before it has used.  Entries report
their retries to processes beside engines, which return the last report to a new
process of the same name.
"""

from collections import Counter, OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from . import gen_wire as wire
from .clock import Clock
from .logs import log_decision

__all__ = (
    'EarlierRetries',
    'RetryArchive',
    'RetryHistory',
    'count_by_interval',
)

_MS_PER_SECOND = 1000
# Links of a restarted entry open within this time of the first one.
_COLLECTION_SECONDS = 1.0
_MAX_ENTRIES = 2000


def count_by_interval(
    times: Iterable[float], now: float, interval_seconds: float, number: int
) -> list[int]:
    """Return how many times lie in each interval, the latest one first.

    Parameters
    ----------
    times
        Monotonic seconds, none of them after ``now``.
    number
        Number of intervals; the last one contains all times before it.
    """
    counts = Counter(int((now - at) / interval_seconds) for at in times)
    last = number - 1
    counts[last] = sum(counts[index] for index in counts if index >= last)
    return [counts[index] for index in range(number)]


@dataclass(frozen=True, slots=True)
class EarlierRetries:
    """Requests and retries of one service in the window before a restart.

    Attributes
    ----------
    requests, retries
        Monotonic seconds in ascending order.  As only intervals are known, no
        request is later and no retry earlier than it was.
    held
        Further retries, of which an earlier send may still be read.
    counted_at
        Monotonic seconds; the sends of the held retries are older.
    """

    service: str
    requests: tuple[float, ...]
    retries: tuple[float, ...]
    held: int
    counted_at: float

    @classmethod
    def from_record(
        cls, record: wire.RetryRecord, counted_at: float
    ) -> 'EarlierRetries':
        """Return the requests and retries that a record counts."""
        interval = record.interval_ms / _MS_PER_SECOND
        return cls(
            service=record.service,
            requests=_spread(record.requests, counted_at - interval, interval),
            retries=_spread(record.retries, counted_at, interval),
            held=record.held,
            counted_at=counted_at,
        )


class RetryHistory:
    """What a process learns about the one that ran in its place before.

    Parameters
    ----------
    window
        Seconds for which retries count.
    """

    def __init__(self, clock: Clock, window: float) -> None:
        """Start without a report."""
        self._clock = clock
        self._window = window
        self._complete_at = clock.monotonic() + window
        self._records: dict[str, tuple[float, wire.RetryRecord]] = {}

    @property
    def complete(self) -> bool:
        """Whether the retries of the process before are known, or expired."""
        return self._clock.monotonic() >= self._complete_at

    def merge(self, kept: wire.RetryRecall) -> None:
        """Apply what a process beside an engine kept for this entry."""
        now = self._clock.monotonic()
        for record in kept.counted:
            counted_at = now - record.age_ms / _MS_PER_SECOND
            newest = self._records.get(record.service)
            if newest is None or counted_at > newest[0]:
                self._records[record.service] = (counted_at, record)
        if kept.known_ms >= self._window * _MS_PER_SECOND:
            self._complete_at = min(
                self._complete_at, now + _COLLECTION_SECONDS
            )

    def take(self) -> list[EarlierRetries]:
        """Return what was reported since the last call."""
        records, self._records = self._records, {}
        restored = [
            EarlierRetries.from_record(record, counted_at)
            for counted_at, record in records.values()
        ]
        log_decision(
            'retries_restored',
            services=len(restored),
            retries=sum(len(earlier.retries) for earlier in restored),
            held=sum(earlier.held for earlier in restored) or None,
        )
        return restored


class RetryArchive:
    """Last reports of entries on their retries, beside an engine."""

    def __init__(self, clock: Clock) -> None:
        """Start without reports."""
        self._clock = clock
        self._known_since: OrderedDict[str, float] = OrderedDict()
        self._reports: dict[str, dict[str, tuple[float, wire.RetryRecord]]] = {}

    def record(self, report: wire.RetryReport) -> None:
        """Keep a report instead of the last one of that entry and service.

        Ignored if no process of that name has connected.
        """
        if report.entry not in self._known_since:
            return
        services = self._reports.setdefault(report.entry, {})
        services[report.counted.service] = (
            self._clock.monotonic(),
            report.counted,
        )

    def recall(self, entry: str) -> wire.RetryRecall:
        """Return what an entry reported, for a process that has its name."""
        now = self._clock.monotonic()
        known_since = self._known_since.setdefault(entry, now)
        self._known_since.move_to_end(entry)
        self._drop_oldest()
        return wire.RetryRecall(
            known_ms=int((now - known_since) * _MS_PER_SECOND),
            counted=[
                _with_age(record, now - reported_at)
                for reported_at, record in self._reports.get(entry, {}).values()
            ],
        )

    def _drop_oldest(self) -> None:
        while len(self._known_since) > _MAX_ENTRIES:
            entry, _since = self._known_since.popitem(last=False)
            self._reports.pop(entry, None)


def _with_age(record: wire.RetryRecord, age: float) -> wire.RetryRecord:
    return wire.RetryRecord(
        service=record.service,
        age_ms=record.age_ms + int(age * _MS_PER_SECOND),
        interval_ms=record.interval_ms,
        requests=record.requests,
        retries=record.retries,
        held=record.held,
    )


def _spread(
    counts: list[int], latest: float, interval: float
) -> tuple[float, ...]:
    """Return a time for each count, in ascending order."""
    return tuple(
        latest - index * interval
        for index in reversed(range(len(counts)))
        for _ in range(counts[index])
    )
