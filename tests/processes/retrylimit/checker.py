"""Checks the arrivals at back ends against the limit on retries."""

from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass


@dataclass(frozen=True)
class Arrival:
    """A request as a back end reads it; ``at`` in monotonic seconds."""

    at: float
    service: str
    backend: str
    attempt: str

    @classmethod
    def parse(cls, line):
        at, service, backend, attempt = line.split(' ')
        return cls(float(at), service, backend, attempt)


@dataclass(frozen=True)
class SentRequest:
    """A request as its caller sends it; ``at`` in monotonic seconds."""

    at: float
    service: str
    attempt: str


@dataclass(frozen=True)
class RetryLimit:
    """Limit on the arrivals beyond the first of each request, in any window."""

    ratio: float
    slack: float
    window: float

    def allowed(self, requests, start):
        """Return how many are allowed in the window that begins at a time.

        Parameters
        ----------
        requests
            When requests were sent, in ascending order.
        """
        return self.slack + self.ratio * max(
            self.count(requests, start - before)
            for before in (0, self.window / 2, self.window)
        )

    def count(self, times, start):
        """Return how many times lie in the window that begins at a time."""
        end = bisect_left(times, start + self.window)
        return end - bisect_left(times, start)


@dataclass(frozen=True)
class Peak:
    """The window of a service that uses most of its limit."""

    service: str
    start: float
    retries: int
    allowed: float

    @property
    def excess(self):
        return self.retries - self.allowed


def find_repeated(arrivals):
    """Return the arrivals beyond the first of each request, by service."""
    seen = set()
    repeated = defaultdict(list)
    for arrival in sorted(arrivals, key=lambda each: each.at):
        key = arrival.service, arrival.attempt
        if key in seen:
            repeated[arrival.service].append(arrival)
        seen.add(key)
    return repeated


def find_peaks(limit, requests, arrivals):
    """Return for each service with retries the window nearest to the limit."""
    return [
        max(
            _list_windows(limit, service, requests, repeated),
            key=lambda peak: peak.excess,
        )
        for service, repeated in find_repeated(arrivals).items()
    ]


def _list_windows(limit, service, requests, repeated):
    sent = sorted(each.at for each in requests if each.service == service)
    times = [each.at for each in repeated]
    return [
        Peak(
            service,
            start,
            limit.count(times, start),
            limit.allowed(sent, start),
        )
        for start in times
    ]
