"""Many entries choose among engines that come and go, by views that lag.

Compares ways to learn what other entries have just sent.  Engines read prompts
one after another; the time to the first event and the sends that meet others
at the same engine show how well the choices fit together.
"""

import heapq
import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from itertools import count

from primrosewood.backendset import Backend, BackendRecord, EngineState
from primrosewood.balancing import (
    LeastCostBalancer,
    PlacementContext,
    Reservation,
    ReservedTokens,
)
from primrosewood.directcalls import BackendAttempt
from primrosewood.enginereports import EngineReports, state_from_report
from primrosewood.shares import ColdLimit, EntryCount

from .lines import Line

__all__ = ('WAYS', 'HerdFigures', 'play_fleet', 'run_herd')

_ENTRIES = 27
_ENGINES = 25
_CALLS_A_SECOND = 28.7
_READ_SECONDS = 0.05
_LINK_SECONDS = 0.001
_ARRIVAL_SECONDS = 0.003
_GATHER_SECONDS = 0.002
_READING_PACE = 7_000
_TOKEN_SECONDS = 0.009
_MEMORY = 27_000
_OBJECTIVE = 1.5
_NEAR_SECONDS = 0.5
_SHORT = ReservedTokens(2_500, 16)
_LONG = ReservedTokens(3_079, 750)
_LONG_SHARE = 0.47
_SLOTS = 64
# One engine in six leaves at a time; an empty one takes its place.
_LEAVE_EVERY_SECONDS = 3.3
_LEAVING_SHARE = 6
# Tokens that are copied off an engine within its notice.
_MOVED_TOKENS = 18_000
_SECONDS = 60
_PERCENT = 100
_LATE_BOUND = 0.02


@dataclass(frozen=True, slots=True)
class Way:
    """How entries learn of an engine's load.

    Attributes
    ----------
    told_every
        Least seconds between two reports of an engine; 0 for the bound that
        the reports set themselves.
    shows_unread
        Whether reports tell prompts that are being read.
    announced
        Whether entries announce what they send.
    sees_all
        Whether every choice sees the engines as they are.
    drawn
        Engines that are compared, drawn by lot; 0 for all.
    """

    told_every: float = 0
    shows_unread: bool = True
    announced: bool = False
    sees_all: bool = False
    drawn: int = 0


WAYS = {
    'counts': Way(told_every=0.2, shows_unread=False),
    'prompts': Way(told_every=0.2),
    'changes': Way(),
    'announced': Way(announced=True),
    'three_drawn': Way(announced=True, drawn=3),
    'oracle': Way(sees_all=True),
}


@dataclass(slots=True)
class HerdFigures:
    """What a run showed.

    Attributes
    ----------
    first_events
        Seconds to each first event.
    met
        Other sends to the same engine in the half second before a send, in
        the mean.
    messages
        Reports and announcements, each copy counted.
    lost
        Generations that were not copied before their engine left.
    crowded
        Generations that came to an engine without memory for them.
    """

    first_events: list[float] = field(default_factory=list)
    met: float = 0
    messages: int = 0
    lost: int = 0
    crowded: int = 0

    @property
    def late(self) -> float:
        """Share of first events after the objective."""
        late = sum(each > _OBJECTIVE for each in self.first_events)
        return late / len(self.first_events)

    def quantile(self, share: float) -> float:
        """Return a quantile of the time to the first event."""
        ordered = sorted(self.first_events)
        return ordered[int(share * (len(ordered) - 1))]


class _Engine:
    """An engine and what is told of it."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.reports = EngineReports()
        self.told_at = float('-inf')
        self.gathering = False
        self.sent: list[float] = []
        self.reservations: set[Reservation] = set()
        self._unread: list[tuple[float, int]] = []
        self._ends: list[tuple[float, int]] = []
        self._free_at = 0.0

    def leave(self, now: float) -> int:
        """Empty the engine; return how many generations were not copied."""
        self.state(now)
        left = _MOVED_TOKENS
        lost = 0
        for _end, total in sorted(self._ends, key=lambda row: row[1]):
            left -= total
            lost += left < 0
        self._unread.clear()
        self._ends.clear()
        self._free_at = now
        return lost

    def admit(self, tokens: ReservedTokens, now: float) -> tuple[float, float]:
        """Return when the first event comes, and the last one."""
        first = max(now, self._free_at) + tokens.prompt / _READING_PACE
        self._free_at = first
        last = first + tokens.answer * _TOKEN_SECONDS
        self._unread.append((first, tokens.prompt))
        self._ends.append((last, tokens.total))
        return first, last

    def state(self, now: float) -> EngineState:
        self._unread = [row for row in self._unread if row[0] > now]
        self._ends = [row for row in self._ends if row[0] > now]
        return EngineState(
            running=len(self._ends),
            used_tokens=sum(total for _end, total in self._ends),
            total_tokens=_MEMORY,
            unread_tokens=sum(prompt for _at, prompt in self._unread),
            generating=len(self._ends) - len(self._unread),
            token_seconds=_TOKEN_SECONDS,
        )


class _Herd:
    """Entries and engines on a virtual clock.

    Parameters
    ----------
    rate
        Generations a second at all entries together.
    """

    def __init__(
        self, entries: int, engines: int, rate: float, way: Way, seed: int
    ) -> None:
        """Start without calls."""
        self._random = random.Random(seed)
        self._rate = rate
        self._way = way
        self._engines = [_Engine(f'e{number}') for number in range(engines)]
        self._views = [self._make_view() for _ in range(entries)]
        self._balancer = LeastCostBalancer(self._random)
        self._figures = HerdFigures()
        self._met = 0
        self._events: list[tuple] = []
        self._order = count()

    def run(self, seconds: float) -> HerdFigures:
        """Play for some time and return what it showed."""
        for engine in self._engines:
            self._at(self._random.random() * _READ_SECONDS, self._read, engine)
        self._at(0, self._call)
        self._at(_LEAVE_EVERY_SECONDS, self._leave)
        while self._events:
            now, _order, act, *rest = heapq.heappop(self._events)
            if now > seconds:
                break
            act(now, *rest)
        self._figures.met = self._met / len(self._figures.first_events)
        return self._figures

    def _make_view(self) -> list[Backend]:
        return [
            Backend(
                BackendRecord(engine.name, 's', 'a:1', 'd', _SLOTS),
                ColdLimit(EntryCount(1)),
            )
            for engine in self._engines
        ]

    def _at(self, when: float, act, *rest) -> None:
        heapq.heappush(self._events, (when, next(self._order), act, *rest))

    def _call(self, now: float) -> None:
        self._at(now + self._random.expovariate(self._rate), self._call)
        view = self._random.choice(self._views)
        tokens = _LONG if self._random.random() < _LONG_SHARE else _SHORT
        backend = self._choose(view, tokens, now)
        engine = self._engines[view.index(backend)]
        near = [at for at in engine.sent if at > now - _NEAR_SECONDS]
        self._met += len(near)
        engine.sent = [*near, now]
        used = engine.state(now).used_tokens
        self._figures.crowded += used + tokens.total > _MEMORY
        reservation = Reservation(BackendAttempt(backend), tokens)
        first, last = engine.admit(tokens, now + _ARRIVAL_SECONDS)
        self._figures.first_events.append(first - now)
        engine.reservations.add(reservation)
        self._at(first, self._begin, engine, reservation)
        self._at(last, self._end, engine, reservation)
        if self._way.announced:
            self._figures.messages += 1
            self._at(now + _LINK_SECONDS, self._place, engine, tokens)

    def _begin(
        self, now: float, engine: _Engine, reservation: Reservation
    ) -> None:
        if reservation in engine.reservations:
            reservation.record_event(now)

    def _end(
        self, _now: float, engine: _Engine, reservation: Reservation
    ) -> None:
        if reservation in engine.reservations:
            engine.reservations.remove(reservation)
            reservation.release()

    def _leave(self, now: float) -> None:
        self._at(now + _LEAVE_EVERY_SECONDS, self._leave)
        leaving = len(self._engines) // _LEAVING_SHARE
        for engine in self._random.sample(self._engines, leaving):
            self._figures.lost += engine.leave(now)
            for reservation in engine.reservations:
                reservation.release()
            engine.reservations.clear()

    def _choose(
        self, view: list[Backend], tokens: ReservedTokens, now: float
    ) -> Backend:
        if self._way.sees_all:
            for backend, engine in zip(view, self._engines, strict=True):
                backend.update_state(engine.state(now), now)
        usable = view
        if self._way.drawn:
            usable = self._random.sample(view, self._way.drawn)
        placing = PlacementContext(
            'd', now, tokens, _MEMORY, _OBJECTIVE, _READING_PACE
        )
        return self._balancer.choose(usable, placing)

    def _place(
        self, now: float, engine: _Engine, tokens: ReservedTokens
    ) -> None:
        engine.reports.announce(tokens.prompt, now)
        if not engine.gathering:
            engine.gathering = True
            self._at(now + _GATHER_SECONDS, self._tell_gathered, engine)

    def _tell_gathered(self, now: float, engine: _Engine) -> None:
        engine.gathering = False
        self._tell(now, engine)

    def _read(self, now: float, engine: _Engine) -> None:
        self._at(now + _READ_SECONDS, self._read, engine)
        state = engine.state(now)
        if not self._way.shows_unread:
            state = replace(state, unread_tokens=0)
        engine.reports.take(state, now)
        self._tell(now, engine)

    def _tell(self, now: float, engine: _Engine) -> None:
        report = engine.reports.make(len(self._views))
        if self._way.told_every:
            due = now >= engine.told_at + self._way.told_every
        else:
            due = engine.reports.is_due(report, now)
        if due:
            engine.told_at = now
            engine.reports.record_sent(report, now)
            self._figures.messages += len(self._views)
            self._at(now + _LINK_SECONDS, self._hear, engine, report)

    def _hear(self, now: float, engine: _Engine, report) -> None:
        number = self._engines.index(engine)
        state = state_from_report(report)
        for view in self._views:
            view[number].update_state(state, now)


def play_fleet(way: str, seconds: float, seed: int) -> HerdFigures:
    """Play 27 entries before 25 engines.

    Parameters
    ----------
    way
        How entries learn of each other's calls, by its name in `WAYS`.
    seconds
        How long, on the virtual clock.
    seed
        Of arrivals, sizes and choices.
    """
    herd = _Herd(_ENTRIES, _ENGINES, _CALLS_A_SECOND, WAYS[way], seed)
    return herd.run(seconds)


def run_herd() -> Iterator[Line]:
    """Compare the ways on the fleet of 27 entries before 25 engines."""
    for name in WAYS:
        shown = play_fleet(name, _SECONDS, seed=1)
        told = shown.messages / _SECONDS / (_ENTRIES + _ENGINES)
        kept = name in {'announced', 'oracle'}
        yield Line(
            'herd',
            {
                'way': name,
                'first_p50': shown.quantile(0.5),
                'first_p99': shown.quantile(0.99),
                'late_percent': shown.late * _PERCENT,
                'met': shown.met,
                'lost': shown.lost,
                'crowded': shown.crowded,
                'messages_a_node_second': told,
            },
            f'late <= {_LATE_BOUND * _PERCENT:g} %' if kept else '',
            not kept or shown.late <= _LATE_BOUND,
        )
