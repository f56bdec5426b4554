"""CPU time of routing and admission decisions, and how it scales."""

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
from primrosewood.routing import PressurePolicy, RoutingInput
from primrosewood.settings import SettingsStore
from primrosewood.warmup import ConcurrencyTargets

from .results import CaseResult

FLEET_SIZES = (11, 100, 630, 2000)
ORGANISATION_COUNTS = (10, 230, 2000)
_ROUNDS = 5
_CALLS_PER_ROUND = 2000
_MAX_GROWTH_RATIO = 3.0
_MICROSECONDS_PER_SECOND = 1e6
_SERVICE_COUNT = 31


def run_costs() -> Iterator[CaseResult]:
    """Measure routing by fleet size and admission by organisation count."""
    logger.remove()
    routing = {size: _measure_routing(size) for size in FLEET_SIZES}
    for size, cost in routing.items():
        yield CaseResult(
            'routing_cost', {'endpoints': size, 'microseconds': cost}
        )
    yield _check_growth('routing_cost_growth', routing)
    admission = {
        count: _measure_admission(count) for count in ORGANISATION_COUNTS
    }
    for count, cost in admission.items():
        yield CaseResult(
            'admission_cost', {'organisations': count, 'microseconds': cost}
        )
    yield _check_growth('admission_cost_growth', admission)


def _check_growth(case: str, costs: dict[int, float]) -> CaseResult:
    smallest, largest = min(costs), max(costs)
    ratio = costs[largest] / costs[smallest]
    return CaseResult(
        case,
        {'from': smallest, 'to': largest, 'ratio': ratio},
        f'ratio <= {_MAX_GROWTH_RATIO:g}',
        ratio <= _MAX_GROWTH_RATIO,
    )


def _measure_min_microseconds(
    operation: Callable[[int], None], calls: int = _CALLS_PER_ROUND
) -> float:
    """Return the CPU microseconds of one call, as the minimum of all rounds.

    The minimum is closest to the cost of the code itself; slower rounds
    include interference from other processes on the machine.
    """
    rounds = []
    for _round in range(_ROUNDS):
        started_at = time.process_time()
        for number in range(calls):
            operation(number)
        rounds.append((time.process_time() - started_at) / calls)
    return min(rounds) * _MICROSECONDS_PER_SECOND


def _measure_routing(size: int) -> float:
    clock = SystemClock()
    fleet = Fleet(
        'entry-1', _make_settings(), clock, Timing(silence_seconds=1e9)
    )
    for number in range(size):
        fleet.apply_member(_make_member(number))
    fleet.rebuild()
    for view in fleet.views.values():
        view.linked = True
        view.heard_at = clock.monotonic()
        view.update_load(Load(running=number % 7, queued=0, limit=16))
    policy = PressurePolicy(random.Random(1))

    def route(number: int) -> None:
        usable = fleet.usable('t', 's0')
        policy.choose(usable, RoutingInput('t/o', f'prompt {number}'))

    return _measure_min_microseconds(route)


def _make_settings() -> SettingsStore:
    store = SettingsStore()
    store.merge(
        SettingsRecord('t', 1, '{"services": {"s0": {"kind": "model"}}}')
    )
    return store


def _make_member(number: int) -> MemberRecord:
    return MemberRecord(
        name=f'e{number}',
        vm=f'v{number}',
        team='t',
        service='s0' if number % 2 else f's{number % _SERVICE_COUNT}',
        failure_domain=f'd{number % 5}',
        incarnation='1',
        url='',
    )


def _measure_admission(organisations: int) -> float:
    targets = ConcurrencyTargets(
        start=64, most=64, first_token=1, between_tokens=0.1
    )
    admission = Admission(SystemClock(), targets, 256, 100_000)
    for number in range(organisations * 2):
        _admit_and_finish(admission, number, organisations)

    def admit(number: int) -> None:
        _admit_and_finish(admission, number, organisations)

    return _measure_min_microseconds(admit)


def _admit_and_finish(
    admission: Admission, number: int, organisations: int
) -> None:
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
            max_queue_seconds=5,
            seconds_left=60,
        )
    )
    admission.record_tokens(name, 40, 40)
    admission.finish(name, 40 + number % 50, whole=True)
