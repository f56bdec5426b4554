"""Processor time of decisions and what it grows with."""

import random
import time
from collections.abc import Callable, Iterator

from loguru import logger

from primrosewood.admission import Admission, AdmissionRequest
from primrosewood.clock import SystemClock
from primrosewood.fleet import Fleet
from primrosewood.gen_process import Timing
from primrosewood.gen_stored import MemberRecord
from primrosewood.gen_wire import Load, SettingsRecord
from primrosewood.routing import PressurePolicy, Work
from primrosewood.settings import SettingsStore
from primrosewood.warmup import ConcurrencyTargets

from .lines import Line

FLEETS = (11, 100, 630, 2000)
ORGANISATIONS = (10, 230, 2000)
_REPEATS = 5
_CALLS = 2000
_GROWTH = 3.0
_MICROSECONDS = 1e6
_MODELS = 31


def run_costs() -> Iterator[Line]:
    """Measure routing and admission."""
    logger.remove()
    routing = {size: _time_routing(size) for size in FLEETS}
    for size, cost in routing.items():
        yield Line('routing_cost', {'endpoints': size, 'microseconds': cost})
    yield _bound('routing_cost_growth', routing)
    admission = {count: _time_admission(count) for count in ORGANISATIONS}
    for count, cost in admission.items():
        yield Line(
            'admission_cost', {'organisations': count, 'microseconds': cost}
        )
    yield _bound('admission_cost_growth', admission)


def _bound(case: str, costs: dict[int, float]) -> Line:
    first, last = min(costs), max(costs)
    ratio = costs[last] / costs[first]
    return Line(
        case,
        {'from': first, 'to': last, 'ratio': ratio},
        f'ratio <= {_GROWTH:g}',
        ratio <= _GROWTH,
    )


def _best_time(call: Callable[[int], None], calls: int = _CALLS) -> float:
    """Return the least processor time of a call in microseconds.

    The least of several rounds is what the code costs when nothing else
    runs; the others measure the machine.
    """
    rounds = []
    for _round in range(_REPEATS):
        started = time.process_time()
        for number in range(calls):
            call(number)
        rounds.append((time.process_time() - started) / calls)
    return min(rounds) * _MICROSECONDS


def _time_routing(size: int) -> float:
    clock = SystemClock()
    fleet = Fleet('entry-1', _settings(), clock, Timing(silence_seconds=1e9))
    for number in range(size):
        fleet.apply_member(_member(number))
    fleet.rebuild()
    for view in fleet.views.values():
        view.linked = True
        view.heard_at = clock.monotonic()
        view.update_load(Load(running=number % 7, queued=0, limit=16))
    policy = PressurePolicy(random.Random(1))

    def route(number: int) -> None:
        usable = fleet.usable('t', 's0')
        policy.choose(usable, Work('t/o', f'prompt {number}'))

    return _best_time(route)


def _settings() -> SettingsStore:
    store = SettingsStore()
    store.merge(
        SettingsRecord('t', 1, '{"services": {"s0": {"kind": "model"}}}')
    )
    return store


def _member(number: int) -> MemberRecord:
    return MemberRecord(
        name=f'e{number}',
        vm=f'v{number}',
        team='t',
        service='s0' if number % 2 else f's{number % _MODELS}',
        failure_domain=f'd{number % 5}',
        incarnation='1',
        url='',
    )


def _time_admission(organisations: int) -> float:
    targets = ConcurrencyTargets(
        start=64, most=64, first_token=1, between_tokens=0.1
    )
    admission = Admission(SystemClock(), targets, 256, 100_000)
    for number in range(organisations * 2):
        _serve(admission, number, organisations)

    def serve(number: int) -> None:
        _serve(admission, number, organisations)

    return _best_time(serve)


def _serve(admission: Admission, number: int, organisations: int) -> None:
    name = str(number)
    admission.offer(
        AdmissionRequest(
            name=name,
            organisation=f'o{number % organisations}',
            share=1,
            kind='whole',
            template=f't{number % 20}',
            prompt_tokens=20,
            max_output_tokens=4000,
            patience=5,
            seconds_left=60,
        )
    )
    admission.record_tokens(name, 40, 40)
    admission.finish(name, 40 + number % 50, whole=True)
