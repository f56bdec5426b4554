"""Policy cases: the system against baselines and an oracle."""

import random
import time
from dataclasses import dataclass

from primrosewood.admission import Admission
from primrosewood.routing import (
    LeastOutstanding,
    PressurePolicy,
    RoundRobin,
    TwoChoices,
)
from standins.enginemodel import EngineShape

from .oracle import OracleAdmission, is_oracle, percentile
from .world import Job, Node, Setup, World, make_targets

SECONDS = 310.0
LAST_ARRIVAL = 120.0
QUEUE_LENGTH = 256
STALL_FROM = 0.25
BASELINES = ('round-robin', 'least-outstanding', 'two-choices')


@dataclass(frozen=True, slots=True)
class KindShape:
    """A kind of request in the policy workload."""

    name: str
    weight: float
    middle: float
    spread: float
    streamed: bool
    deadline: float
    prompt: tuple[int, int]


KINDS = (
    KindShape('question', 5, 60, 0.6, False, 30, (20, 120)),
    KindShape('certificate', 3, 300, 0.4, True, 60, (60, 200)),
    KindShape('label', 4, 15, 0.4, False, 20, (10, 60)),
    KindShape('guide', 3, 700, 0.8, True, 180, (20, 100)),
)
ORGANISATIONS = 10
LONGEST = 8000
SHAPES = (
    EngineShape(capacity=6000, step=0.012, cold_tokens=3000),
    EngineShape(capacity=6000, step=0.016, cold_tokens=3000),
    EngineShape(capacity=4500, step=0.012, cold_tokens=3000),
    EngineShape(capacity=7500, step=0.014, cold_tokens=3000),
    EngineShape(capacity=6000, step=0.020, cold_tokens=3000),
)
DOMAINS = ('d1', 'd1', 'd2', 'd2', 'd3')


def make_jobs(load: float, seed: int) -> list[Job]:
    """Return a workload at a share of the engines' capacity.

    Lengths are heavy-tailed, with a hidden factor for each organisation that
    shifts half-way through.
    """
    source = random.Random(seed)
    factors = [source.lognormvariate(0, 0.4) for _ in range(ORGANISATIONS)]
    weights = [1 / (1 + number) for number in range(ORGANISATIONS)]
    drafts = [_draft(source, factors, weights, 0.0) for _ in range(4000)]
    rate = load * _capacity(drafts)
    jobs = []
    at = source.expovariate(rate)
    while at < LAST_ARRIVAL:
        if at > LAST_ARRIVAL / 2 and factors is not None:
            shifted = [factor * 1.4 for factor in factors]
        else:
            shifted = factors
        job = _draft(source, shifted, weights, at)
        job.name = f'j{len(jobs)}'
        jobs.append(job)
        at += source.expovariate(rate)
    return jobs


def _draft(source, factors, weights, at: float) -> Job:
    kind = source.choices(KINDS, [each.weight for each in KINDS])[0]
    organisation = source.choices(range(ORGANISATIONS), weights)[0]
    drawn = kind.middle * source.lognormvariate(0, kind.spread)
    length = int(min(LONGEST, max(1, drawn * factors[organisation])))
    return Job(
        name='',
        organisation=f'o{organisation}',
        kind=kind.name,
        streamed=kind.streamed,
        prompt_tokens=source.randint(*kind.prompt),
        length=length,
        max_output_tokens=LONGEST,
        arrival=at,
        deadline=at + kind.deadline,
    )


def _capacity(jobs: list[Job]) -> float:
    """Return the requests a second that fill the engines' memory."""
    tokens = sum(job.length for job in jobs)
    held = sum(
        job.prompt_tokens * job.length + job.length**2 / 2 for job in jobs
    )
    mean_held = held / tokens
    speed = 0.0
    for shape in SHAPES:
        batch = min(shape.max_batch_size, shape.capacity / mean_held)
        speed += batch / (shape.step + shape.step_seconds_per_stream * batch)
    return speed / (tokens / len(jobs))


class OracleNode(Node):
    """Tells the oracle each length in place of the kind."""

    def make_request(self, job: Job):
        """Return what the oracle knows of a job."""
        request = super().make_request(job)
        fields = {name: getattr(request, name) for name in request.__slots__}
        return type(request)(**{**fields, 'kind': str(job.length)})


def make_setup(policy: str, seed: int) -> Setup:
    """Return the world of a policy."""
    makers = {
        'round-robin': RoundRobin,
        'least-outstanding': LeastOutstanding,
        'two-choices': TwoChoices,
        'primrosewood': PressurePolicy,
        'oracle': PressurePolicy,
    }
    return Setup(
        policy=makers[policy],
        admit=_ADMISSIONS.get(policy, _admit_all),
        priorities=policy not in BASELINES,
        shapes=list(SHAPES),
        domains=list(DOMAINS),
        seed=seed,
    )


def _admit_all(_clock, _shape) -> None:
    return None


def _admit(clock, shape: EngineShape) -> Admission:
    return Admission(clock, make_targets(shape), QUEUE_LENGTH, shape.capacity)


def _admit_oracle(clock, shape: EngineShape) -> Admission:
    return OracleAdmission(
        clock, make_targets(shape, start=64), QUEUE_LENGTH, shape.capacity
    )


_ADMISSIONS = {'primrosewood': _admit, 'oracle': _admit_oracle}


def run_case(case: str, policy: str, load: float, seed: int) -> dict:
    """Run one case and return its measures."""
    started = time.process_time()
    setup = make_setup(policy, seed)
    world = World(setup)
    for node in world.nodes.values():
        node.model.warm_up()
    if policy == 'oracle':
        for name, node in world.nodes.items():
            world.nodes[name].__class__ = OracleNode
            assert is_oracle(node.admission)
    if case == 'domain':
        world.schedule(30, lambda: world.take_out('d2'))
        world.schedule(60, lambda: world.bring_back('d2', cold=True))
    elif case == 'cold':
        world.schedule(40, world.nodes['e0'].model.turn_cold)
    elif case == 'lost':
        world.schedule(40, lambda: world.kill_domain('d1'))
    jobs = make_jobs(load, seed)
    world.run(jobs, SECONDS)
    measures = measure(world, jobs)
    measures['cpu_s'] = time.process_time() - started
    return measures


def measure(world: World, jobs: list[Job]) -> dict:
    """Return the measures of a finished run."""
    done = [
        job for job in jobs if job.finished and job.finished <= job.deadline
    ]
    streamed = [job for job in jobs if job.streamed]
    gaps = [gap for job in streamed for gap in job.gaps]
    certificates = [
        job
        for job in jobs
        if job.kind == 'certificate' and job.deadline < SECONDS
    ]
    in_time = sum(job in done for job in certificates) if certificates else 0
    preempted = [
        (job, job.stream.preempted) for job in jobs if job.stream is not None
    ]
    started = [job for job in jobs if job.first_token]
    return {
        'stall_s': sum(_stall(job) for job in jobs),
        'stall_streamed_s': sum(_stall(job) for job in streamed),
        'preemptions': sum(count for _job, count in preempted),
        'preemptions_streamed': sum(
            count for job, count in preempted if job.streamed
        ),
        'itl_p95': percentile(gaps, 0.95),
        'itl_p99': percentile(gaps, 0.99),
        'itl_p999': percentile(gaps, 0.999),
        'gap_p95': percentile([job.largest_gap for job in streamed], 0.95),
        'ttft_p95': percentile(
            [job.first_token - job.arrival for job in started], 0.95
        ),
        'goodput': sum(job.length for job in done) / LAST_ARRIVAL,
        'certificates': in_time / max(1, len(certificates)),
        'whole': len(done) / len(jobs),
        'given_up': sum(job.given_up for job in jobs),
        'lost': sum(job.lost for job in jobs),
        'offers': world.offers / world.arrivals,
        'returns': world.arrivals / len(jobs),
        'jobs': len(jobs),
    }


def _stall(job: Job) -> float:
    return sum(gap - STALL_FROM for gap in job.gaps if gap > STALL_FROM)
