"""Simulated fleet of entries that choose engines by delayed load reports.

Compares report modes by how well they avoid a thundering herd, in which entries
choose the same engine at once because the reports don't include each other's
latest calls. Engines prefill prompts one after another and are replaced from
time to time. The time to the first event and the number of calls that overlap
at an engine show how well entries spread the load.
"""

import heapq
import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from itertools import count

from primrosewood.backendstate import Backend, BackendRecord, EngineState
from primrosewood.balancing import (
    LeastCostBalancer,
    PlacementContext,
    Reservation,
    ReservedTokens,
)
from primrosewood.directcalls import BackendAttempt
from primrosewood.enginereports import EngineReports, state_from_report
from primrosewood.entrycount import EntryCount
from primrosewood.sharedlimits import ColdLimit

from .results import CaseResult

__all__ = (
    'FIVE_DOMAINS',
    'REPORT_MODES',
    'FleetFigures',
    'FleetShape',
    'run_herd',
    'simulate_fleet',
)

_POLL_SECONDS = 0.05
_LINK_DELAY_SECONDS = 0.001
_CALL_DELAY_SECONDS = 0.003
_BATCH_DELAY_SECONDS = 0.002
_PREFILL_TOKENS_PER_SECOND = 7_000
_SECONDS_PER_TOKEN = 0.009
_ENGINE_MEMORY_TOKENS = 27_000
_OBJECTIVE_SECONDS = 1.5
_OVERLAP_SECONDS = 0.5
_SHORT_CALL = ReservedTokens(2_500, 16)
_LONG_CALL = ReservedTokens(3_079, 750)
_LONG_CALL_SHARE = 0.47
_ENGINE_SLOTS = 64
# One engine in six leaves at a time and is replaced by an empty one.
_DEPARTURE_INTERVAL_SECONDS = 3.3
_DEPARTURE_DIVISOR = 6
# KV cache tokens that can be copied off an engine within its leave notice.
_COPIED_TOKENS = 18_000
_SIMULATED_SECONDS = 60
_PERCENT = 100
_MAX_LATE_SHARE = 0.02


@dataclass(frozen=True, slots=True)
class FleetShape:
    """Size and load of a simulated fleet.

    Attributes
    ----------
    calls_per_second
        Arrival rate of generations, summed over all entries.
    domains
        Failure domains over which entries and engines are spread evenly.
    """

    entries: int = 27
    engines: int = 25
    calls_per_second: float = 28.7
    domains: int = 1


FIVE_DOMAINS = FleetShape(
    entries=68, engines=31, calls_per_second=28.4, domains=5
)


@dataclass(frozen=True, slots=True)
class ReportMode:
    """How entries learn the load of an engine.

    Attributes
    ----------
    min_interval_seconds
        Minimum time between two reports of an engine; 0 applies the rate
        limit of `EngineReports` only.
    includes_unread
        Whether reports include the prompt tokens that wait for prefill.
    announces_calls
        Whether entries announce their calls to the engine's endpoint process.
    uses_current_state
        Whether each choice uses the current state of all engines, without
        delay.
    sample_size
        Number of randomly sampled engines to choose from; 0 for all.
    """

    min_interval_seconds: float = 0
    includes_unread: bool = True
    announces_calls: bool = False
    uses_current_state: bool = False
    sample_size: int = 0


REPORT_MODES = {
    'counts': ReportMode(min_interval_seconds=0.2, includes_unread=False),
    'prompts': ReportMode(min_interval_seconds=0.2),
    'changes': ReportMode(),
    'announced': ReportMode(announces_calls=True),
    'three_drawn': ReportMode(announces_calls=True, sample_size=3),
    'oracle': ReportMode(uses_current_state=True),
}


@dataclass(slots=True)
class FleetFigures:
    """Measured figures of one simulation run.

    Attributes
    ----------
    first_event_delays
        Time from each call to its first event, in seconds.
    met
        Mean number of other calls that the same engine received in the half
        second before a call.
    messages
        Reports and announcements sent; each copy of a report counts.
    lost
        Generations that weren't copied before their engine left.
    crowded
        Generations sent to an engine without enough free memory.
    answer_tokens, crossed_tokens
        Tokens of all answers, and of those that cross between failure domains.
    """

    first_event_delays: list[float] = field(default_factory=list)
    met: float = 0
    messages: int = 0
    lost: int = 0
    crowded: int = 0
    answer_tokens: int = 0
    crossed_tokens: int = 0

    @property
    def crossed(self) -> float:
        """Share of answer tokens that cross between failure domains."""
        return self.crossed_tokens / max(1, self.answer_tokens)

    @property
    def late(self) -> float:
        """Share of first events that missed the objective."""
        late = sum(
            each > _OBJECTIVE_SECONDS for each in self.first_event_delays
        )
        return late / len(self.first_event_delays)

    def quantile(self, share: float) -> float:
        """Return a quantile of the time to the first event."""
        ordered = sorted(self.first_event_delays)
        return ordered[int(share * (len(ordered) - 1))]


class _Engine:
    """An engine and the reports about it."""

    def __init__(self, name: str, domain: str) -> None:
        self.name = name
        self.domain = domain
        self.reports = EngineReports()
        self.reported_at = float('-inf')
        self.report_scheduled = False
        self.call_times: list[float] = []
        self.reservations: set[Reservation] = set()
        self._prefills: list[tuple[float, int]] = []
        self._generations: list[tuple[float, int]] = []
        self._prefill_done_at = 0.0

    def replace_with_empty(self, now: float) -> int:
        """Empty the engine and return the number of generations lost.

        The smallest generations are copied first, as many as the notice
        allows; the others are lost.
        """
        self.state(now)
        copyable_tokens = _COPIED_TOKENS
        lost = 0
        for _ended_at, total in sorted(
            self._generations, key=lambda item: item[1]
        ):
            copyable_tokens -= total
            lost += copyable_tokens < 0
        self._prefills.clear()
        self._generations.clear()
        self._prefill_done_at = now
        return lost

    def admit(self, tokens: ReservedTokens, now: float) -> tuple[float, float]:
        """Start a generation; return the times of its first and last event."""
        first_event_at = (
            max(now, self._prefill_done_at)
            + tokens.prompt / _PREFILL_TOKENS_PER_SECOND
        )
        self._prefill_done_at = first_event_at
        last_event_at = first_event_at + tokens.answer * _SECONDS_PER_TOKEN
        self._prefills.append((first_event_at, tokens.prompt))
        self._generations.append((last_event_at, tokens.total))
        return first_event_at, last_event_at

    def state(self, now: float) -> EngineState:
        self._prefills = [item for item in self._prefills if item[0] > now]
        self._generations = [
            item for item in self._generations if item[0] > now
        ]
        return EngineState(
            running=len(self._generations),
            used_tokens=sum(total for _ended_at, total in self._generations),
            total_tokens=_ENGINE_MEMORY_TOKENS,
            unread_tokens=sum(
                prompt for _prefilled_at, prompt in self._prefills
            ),
            generating=len(self._generations) - len(self._prefills),
            token_seconds=_SECONDS_PER_TOKEN,
        )


@dataclass(frozen=True, slots=True, eq=False)
class _Entry:
    """An entry and the engines as it sees them."""

    domain: str
    view: list[Backend]


class _FleetSimulation:
    """Discrete-event simulation of entries and engines on a virtual clock."""

    def __init__(self, shape: FleetShape, mode: ReportMode, seed: int) -> None:
        """Create idle engines and entries."""
        self._random = random.Random(seed)
        self._calls_per_second = shape.calls_per_second
        self._mode = mode
        self._engines = [
            _Engine(f'e{number}', f'd{number % shape.domains}')
            for number in range(shape.engines)
        ]
        self._entries = [
            _Entry(f'd{number % shape.domains}', self._make_view())
            for number in range(shape.entries)
        ]
        self._balancer = LeastCostBalancer(self._random)
        self._figures = FleetFigures()
        self._overlapping_calls = 0
        self._events: list[tuple] = []
        self._sequence = count()

    def run(self, seconds: float) -> FleetFigures:
        """Run the simulation and return its figures."""
        for engine in self._engines:
            self._schedule(
                self._random.random() * _POLL_SECONDS, self._poll_engine, engine
            )
        self._schedule(0, self._start_call)
        self._schedule(_DEPARTURE_INTERVAL_SECONDS, self._replace_engines)
        while self._events:
            now, _sequence, handler, *arguments = heapq.heappop(self._events)
            if now > seconds:
                break
            handler(now, *arguments)
        self._figures.met = self._overlapping_calls / len(
            self._figures.first_event_delays
        )
        return self._figures

    def _make_view(self) -> list[Backend]:
        return [
            Backend(
                BackendRecord(
                    engine.name, 's', 'a:1', engine.domain, _ENGINE_SLOTS
                ),
                ColdLimit(EntryCount(1)),
            )
            for engine in self._engines
        ]

    def _schedule(self, when: float, handler, *arguments) -> None:
        heapq.heappush(
            self._events, (when, next(self._sequence), handler, *arguments)
        )

    def _start_call(self, now: float) -> None:
        self._schedule(
            now + self._random.expovariate(self._calls_per_second),
            self._start_call,
        )
        entry = self._random.choice(self._entries)
        tokens = (
            _LONG_CALL
            if self._random.random() < _LONG_CALL_SHARE
            else _SHORT_CALL
        )
        backend = self._choose_backend(entry, tokens, now)
        engine = self._engines[entry.view.index(backend)]
        self._figures.answer_tokens += tokens.answer
        if engine.domain != entry.domain:
            self._figures.crossed_tokens += tokens.answer
        recent_calls = [
            at for at in engine.call_times if at > now - _OVERLAP_SECONDS
        ]
        self._overlapping_calls += len(recent_calls)
        engine.call_times = [*recent_calls, now]
        used = engine.state(now).used_tokens
        self._figures.crowded += used + tokens.total > _ENGINE_MEMORY_TOKENS
        reservation = Reservation(BackendAttempt(backend), tokens)
        first_event_at, last_event_at = engine.admit(
            tokens, now + _CALL_DELAY_SECONDS
        )
        self._figures.first_event_delays.append(first_event_at - now)
        engine.reservations.add(reservation)
        self._schedule(
            first_event_at, self._record_first_event, engine, reservation
        )
        self._schedule(last_event_at, self._finish_call, engine, reservation)
        if self._mode.announces_calls:
            self._figures.messages += 1
            self._schedule(
                now + _LINK_DELAY_SECONDS, self._announce_call, engine, tokens
            )

    def _record_first_event(
        self, now: float, engine: _Engine, reservation: Reservation
    ) -> None:
        if reservation in engine.reservations:
            reservation.record_event(now)

    def _finish_call(
        self, _now: float, engine: _Engine, reservation: Reservation
    ) -> None:
        if reservation in engine.reservations:
            engine.reservations.remove(reservation)
            reservation.release()

    def _replace_engines(self, now: float) -> None:
        self._schedule(now + _DEPARTURE_INTERVAL_SECONDS, self._replace_engines)
        leaving = len(self._engines) // _DEPARTURE_DIVISOR
        for engine in self._random.sample(self._engines, leaving):
            self._figures.lost += engine.replace_with_empty(now)
            for reservation in engine.reservations:
                reservation.release()
            engine.reservations.clear()

    def _choose_backend(
        self, entry: _Entry, tokens: ReservedTokens, now: float
    ) -> Backend:
        view = entry.view
        if self._mode.uses_current_state:
            for backend, engine in zip(view, self._engines, strict=True):
                backend.update_state(engine.state(now), now)
        usable = view
        if self._mode.sample_size:
            usable = self._random.sample(view, self._mode.sample_size)
        context = PlacementContext(
            entry.domain,
            now,
            tokens,
            _ENGINE_MEMORY_TOKENS,
            _OBJECTIVE_SECONDS,
            _PREFILL_TOKENS_PER_SECOND,
        )
        return self._balancer.choose(usable, context)

    def _announce_call(
        self, now: float, engine: _Engine, tokens: ReservedTokens
    ) -> None:
        engine.reports.announce(tokens.prompt, now)
        if not engine.report_scheduled:
            engine.report_scheduled = True
            self._schedule(
                now + _BATCH_DELAY_SECONDS, self._send_batched_report, engine
            )

    def _send_batched_report(self, now: float, engine: _Engine) -> None:
        engine.report_scheduled = False
        self._send_report_if_due(now, engine)

    def _poll_engine(self, now: float, engine: _Engine) -> None:
        self._schedule(now + _POLL_SECONDS, self._poll_engine, engine)
        state = engine.state(now)
        if not self._mode.includes_unread:
            state = replace(state, unread_tokens=0)
        engine.reports.record_state(state, now)
        self._send_report_if_due(now, engine)

    def _send_report_if_due(self, now: float, engine: _Engine) -> None:
        report = engine.reports.make(len(self._entries), now)
        if self._mode.min_interval_seconds:
            due = now >= engine.reported_at + self._mode.min_interval_seconds
        else:
            due = engine.reports.is_due(report, now)
        if due:
            engine.reported_at = now
            engine.reports.record_sent(report, now)
            self._figures.messages += len(self._entries)
            self._schedule(
                now + _LINK_DELAY_SECONDS, self._receive_report, engine, report
            )

    def _receive_report(self, now: float, engine: _Engine, report) -> None:
        index = self._engines.index(engine)
        state = state_from_report(report)
        for entry in self._entries:
            entry.view[index].update_state(state, now)


def simulate_fleet(
    mode: str, seconds: float, seed: int, shape: FleetShape | None = None
) -> FleetFigures:
    """Simulate a fleet, by default of 27 entries and 25 engines.

    Parameters
    ----------
    mode
        How entries learn the load of engines: a name in `REPORT_MODES`.
    seconds
        Duration on the virtual clock.
    seed
        Seed of arrivals, sizes and choices.
    shape
        Size and load of the fleet.
    """
    simulation = _FleetSimulation(
        shape or FleetShape(), REPORT_MODES[mode], seed
    )
    return simulation.run(seconds)


def run_herd() -> Iterator[CaseResult]:
    """Compare the report modes, and a fleet in five failure domains."""
    for name in REPORT_MODES:
        yield from _run_case(name, name, FleetShape())
    yield from _run_case('five_domains', 'announced', FIVE_DOMAINS)


def _run_case(way: str, mode: str, shape: FleetShape) -> Iterator[CaseResult]:
    figures = simulate_fleet(mode, _SIMULATED_SECONDS, 1, shape)
    nodes = shape.entries + shape.engines
    has_bound = mode in {'announced', 'oracle'}
    yield CaseResult(
        'herd',
        {
            'way': way,
            'first_p50': figures.quantile(0.5),
            'first_p99': figures.quantile(0.99),
            'late_percent': figures.late * _PERCENT,
            'met': figures.met,
            'lost': figures.lost,
            'crowded': figures.crowded,
            'crossed_percent': figures.crossed * _PERCENT,
            'messages_a_node_second': figures.messages
            / _SIMULATED_SECONDS
            / nodes,
        },
        f'late <= {_MAX_LATE_SHARE * _PERCENT:g} %' if has_bound else '',
        not has_bound or figures.late <= _MAX_LATE_SHARE,
    )
