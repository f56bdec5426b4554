"""Records what callers, back ends and the operator observe in a run."""

import io
import re
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import StrEnum
from http.client import HTTPException, HTTPResponse

ATTEMPT_HEADER = 'Primrosewood-Attempt-Id'
SEAL_HEADER = 'Primrosewood-Response-Seal'
STOP_SECONDS = 8
# By then the balancer has taken a stopping entry out, whatever the phase of
# its health checks.
BALANCER_REACTION_SECONDS = 3
LEAVING_HEADER = 'Server-Leaving'
LIMIT_HEADER = 'Server-Limit'

_EVENT = re.compile(rb'id: (\d+)\ndata: (\S+)\n\n')


class Outcome(StrEnum):
    """How an attempt ended for its caller."""

    complete = 'answered completely'
    unread = 'closed before the request was read'
    cut = 'closed after the request was read, or within the answer'
    timed_out = 'no answer before the timeout'


@dataclass(eq=False)
class EntryLifetime:
    """One process of an entry from start to exit; times are monotonic seconds.

    Attributes
    ----------
    first_ready_at, last_ready_at
        When the first and the last health check that found it ready were sent.
    sigterm_at
        When it was asked to stop.
    cpu_wait_seconds
        Time within its stop that it was runnable and waited for a processor;
        shows whether the machine was overloaded.
    """

    entry_name: str
    first_ready_at: float | None = None
    last_ready_at: float = 0
    sigterm_at: float | None = None
    exited_at: float | None = None
    exit_code: int | None = None
    cpu_wait_seconds: float = 0

    def seconds_after_stop(self, timestamp):
        """Return the seconds from SIGTERM to a time, below 0 before it."""
        sigterm = float('inf') if self.sigterm_at is None else self.sigterm_at
        return timestamp - sigterm


@dataclass(frozen=True)
class RequestSpec:
    """A caller's request.

    Attributes
    ----------
    request_id
        Shared by all attempts at the request.
    kind
        ``stream``, ``read`` or ``write``; the first segment of the path.
    size
        Events of a stream; else milliseconds until the back end answers.
    headers
        Further header lines.
    """

    request_id: str
    kind: str
    size: int
    method: str = 'POST'
    headers: tuple[str, ...] = ()

    def encode(self, attempt_id):
        """Return the HTTP/1.1 request of one attempt."""
        body = self.request_id if self.method == 'POST' else ''
        lines = [
            f'{self.method} /{self.kind}/{self.size} HTTP/1.1',
            'Host: h.example',
            'Authorization: Bearer key-1',
            f'{ATTEMPT_HEADER}: {attempt_id}',
            f'Content-Length: {len(body)}',
            *self.headers,
        ]
        return '\r\n'.join((*lines, '', body)).encode()


@dataclass
class Attempt:
    """One attempt of a caller at a request, and what the caller received.

    Attributes
    ----------
    lifetime
        The entry's process that the connection was opened to.
    reused
        Whether the connection had carried an attempt before.
    """

    attempt_id: str
    request: RequestSpec
    lifetime: EntryLifetime
    sent_at: float = 0
    ended_at: float = 0
    outcome: Outcome = Outcome.timed_out
    received: bytes = b''
    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b''
    reused: bool = False

    @property
    def events(self):
        """Numbers and texts of the events received."""
        return [
            (int(number), text.decode())
            for number, text in _EVENT.findall(self.received)
        ]

    @property
    def sent_after_stop(self):
        """Seconds from its entry's SIGTERM to the last byte of the request."""
        return self.lifetime.seconds_after_stop(self.sent_at)

    def record_outcome(self, received, outcome):
        """Record the end; a complete answer must be valid HTTP throughout."""
        self.ended_at = time.monotonic()
        self.received = bytes(received)
        self.outcome = outcome
        if outcome == Outcome.complete:
            replay = _ReplaySocket(self.received)
            response = HTTPResponse(replay, method=self.request.method)
            try:
                response.begin()
                self.body = response.read()
            except HTTPException:
                self.outcome = Outcome.cut
            self.status = response.status
            self.headers = dict(response.headers)
            self.body += replay.read()


class _ReplaySocket(io.BytesIO):
    """Gives received bytes to ``HTTPResponse`` as if from a socket."""

    def makefile(self, _mode):
        return self

    def close(self):
        """Stay open, so that bytes after the answer can be read too."""


@dataclass
class BackendRun:
    """An attempt that a back end started to process."""

    attempt_id: str
    backend: str
    started_at: float
    ended_at: float | None = None


@dataclass(frozen=True)
class AnnouncedLimit:
    """Calls per second that a back end accepts from all entries together.

    Attributes
    ----------
    first_seen_at
        When the back end first announced it in an answer.
    """

    rate: float
    first_seen_at: float


@dataclass(frozen=True)
class Refusal:
    """A call that a back end refused, and the seconds of rest it asked for."""

    attempt_id: str
    backend: str
    refused_at: float
    rest_seconds: float


@dataclass
class History:
    """All that was observed from outside the entries.

    Attributes
    ----------
    max_loop_lag
        Longest delay, in seconds, of the event loop of callers and back ends.
    limits
        Announced limits by the names of back ends.
    refusals
        Calls that back ends refused.
    leaving
        When an answer first said that its back end leaves, by the back end and
        the attempt.
    runs
        Runs by attempt id.
    """

    max_loop_lag: float = 0
    lifetimes: list[EntryLifetime] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    limits: dict[str, AnnouncedLimit] = field(default_factory=dict)
    refusals: list[Refusal] = field(default_factory=list)
    leaving: dict[tuple[str, str], float] = field(default_factory=dict)
    runs: dict[str, list[BackendRun]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def runs_of(self, attempt):
        """Return the runs of an attempt."""
        return self.runs.get(attempt.attempt_id, [])

    def run_starts(self, backend):
        """Return when a back end's runs started, in order."""
        return sorted(
            run.started_at
            for runs in self.runs.values()
            for run in runs
            if run.backend == backend
        )

    def calls_by_process(self):
        """Return the back end and the time of all calls, by entry process."""
        lifetimes = {each.attempt_id: each.lifetime for each in self.attempts}
        calls = [
            (run.attempt_id, run.backend, run.started_at)
            for runs in self.runs.values()
            for run in runs
        ]
        calls += [
            (each.attempt_id, each.backend, each.refused_at)
            for each in self.refusals
        ]
        found = defaultdict(list)
        for attempt_id, backend, at in calls:
            lifetime = lifetimes.get(attempt_id)
            if lifetime is not None:
                found[id(lifetime)].append((backend, at, attempt_id))
        return found

    def summarize(self):
        """Return one line with the stops and the counts of outcomes.

        Each stop's duration is followed by its wait for a processor. Attempts
        that were sent late in a stop are counted apart.
        """
        counts = Counter()
        for attempt in self.attempts:
            late = (
                'late '
                if attempt.sent_after_stop > BALANCER_REACTION_SECONDS
                else ''
            )
            reused = 'reused ' if attempt.reused else ''
            outcome = (
                attempt.status
                if attempt.outcome == Outcome.complete
                else attempt.outcome.name
            )
            counts[f'{late}{reused}{attempt.request.kind} {outcome}'] += 1
        stops = ' '.join(
            f'{lifetime.seconds_after_stop(lifetime.exited_at):.2f}'
            f'({lifetime.cpu_wait_seconds:.2f})'
            for lifetime in self.lifetimes
        )
        text = ', '.join(
            f'{label}: {counts[label]}' for label in sorted(counts)
        )
        return f'stops of {stops} s; lag {self.max_loop_lag:.2f} s; {text}'

    def max_concurrent_stops(self):
        """Return the largest number of entries stopping at the same time."""
        return max(
            sum(
                other.sigterm_at <= lifetime.sigterm_at < other.exited_at
                for other in self.lifetimes
            )
            for lifetime in self.lifetimes
        )
