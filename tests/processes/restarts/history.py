"""What callers, back ends and the operator saw of a run."""

import io
import re
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import StrEnum
from http.client import HTTPException, HTTPResponse

ATTEMPT = 'Primrosewood-Attempt-Id'
SEAL = 'Primrosewood-Response-Seal'
STOP_SECONDS = 8
# The balancer has noticed a stop, whatever the phase of its questions.
NOTICED_SECONDS = 3
LIMIT = 'Server-Limit'

_EVENT = re.compile(rb'id: (\d+)\ndata: (\S+)\n\n')


class End(StrEnum):
    """How a call ended for its caller."""

    whole = 'answered whole'
    unread = 'closed before it was read'
    cut = 'closed after it was read, or within its answer'
    silent = 'no answer'


@dataclass(eq=False)
class Life:
    """An entry's process from start to end; times are monotonic seconds.

    Attributes
    ----------
    queued
        Seconds of its stop in which it waited for a processor: the witness of
        a machine that is too busy.
    """

    entry: str
    ready_at: float | None = None
    last_ready: float = 0
    stopped_at: float | None = None
    ended_at: float | None = None
    code: int | None = None
    queued: float = 0

    def since_stop(self, moment):
        """Return the seconds from SIGTERM to a moment, below 0 before it."""
        stopped = float('inf') if self.stopped_at is None else self.stopped_at
        return moment - stopped


@dataclass(frozen=True)
class Work:
    """What a caller wants; ``size`` is in events, or in milliseconds."""

    task: str
    kind: str
    size: int
    method: str = 'POST'
    headers: tuple[str, ...] = ()

    def encode(self, name):
        """Return the bytes of one try."""
        body = self.task if self.method == 'POST' else ''
        lines = [
            f'{self.method} /{self.kind}/{self.size} HTTP/1.1',
            'Host: h.example',
            'Authorization: Bearer key-1',
            f'{ATTEMPT}: {name}',
            f'Content-Length: {len(body)}',
            *self.headers,
        ]
        return '\r\n'.join((*lines, '', body)).encode()


@dataclass
class Call:
    """One try of a caller, and what it saw."""

    name: str
    work: Work
    life: Life
    sent: float = 0
    ended: float = 0
    end: End = End.silent
    received: bytes = b''
    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b''
    kept: bool = False

    @property
    def events(self):
        """Numbers and texts of the events that came."""
        return [
            (int(number), text.decode())
            for number, text in _EVENT.findall(self.received)
        ]

    @property
    def sent_late(self):
        """Seconds from its entry's SIGTERM to its last byte."""
        return self.life.since_stop(self.sent)

    def finish(self, received, end):
        """Note the end; an answer must follow HTTP to its last byte."""
        self.ended = time.monotonic()
        self.received = bytes(received)
        self.end = end
        if end == End.whole:
            replay = _Replay(self.received)
            response = HTTPResponse(replay, method=self.work.method)
            try:
                response.begin()
                self.body = response.read()
            except HTTPException:
                self.end = End.cut
            self.status = response.status
            self.headers = dict(response.headers)
            self.body += replay.read()


class _Replay(io.BytesIO):
    """Received bytes in the place of a socket."""

    def makefile(self, _mode):
        return self

    def close(self):
        """Stay open: what follows an answer is read as well."""


@dataclass
class Run:
    """A call that a back end began to work on."""

    name: str
    backend: str
    began: float
    ended: float | None = None


@dataclass(frozen=True)
class Named:
    """Calls a second that a back end takes from all entries together."""

    rate: float
    first_at: float


@dataclass
class History:
    """All that was seen from outside.

    Attributes
    ----------
    limits
        What back ends named, by their names.
    lag
        Longest time for which callers and back ends stood still.
    """

    lag: float = 0
    lives: list[Life] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    limits: dict[str, Named] = field(default_factory=dict)
    runs: dict[str, list[Run]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def runs_of(self, call):
        """Return the runs of a call."""
        return self.runs.get(call.name, [])

    def begun_at(self, backend):
        """Return when a back end's runs began, in order."""
        return sorted(
            run.began
            for runs in self.runs.values()
            for run in runs
            if run.backend == backend
        )

    def summarize(self):
        """Return how the stops and calls ended, calls late in a stop apart.

        After each stop stands how long it waited for a processor.
        """
        ends = Counter()
        for call in self.calls:
            late = 'late ' if call.sent_late > NOTICED_SECONDS else ''
            kept = 'kept ' if call.kept else ''
            end = call.status if call.end == End.whole else call.end.name
            ends[f'{late}{kept}{call.work.kind} {end}'] += 1
        stops = ' '.join(
            f'{life.since_stop(life.ended_at):.2f}({life.queued:.2f})'
            for life in self.lives
        )
        text = ', '.join(f'{end}: {ends[end]}' for end in sorted(ends))
        return f'stops of {stops} s; lag {self.lag:.2f} s; {text}'

    def most_stopping(self):
        """Return how many entries were stopping at the same moment."""
        return max(
            sum(
                each.stopped_at <= life.stopped_at < each.ended_at
                for each in self.lives
            )
            for life in self.lives
        )
