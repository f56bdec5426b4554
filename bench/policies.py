"""Simulated cases that compare routing policies with an oracle."""

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
from .simulation import (
    Job,
    SimulatedEndpoint,
    Simulation,
    SimulationConfig,
    make_targets,
)

SIMULATED_SECONDS = 310.0
LAST_ARRIVAL_SECONDS = 120.0
QUEUE_LENGTH = 256
STALL_THRESHOLD_SECONDS = 0.25
BASELINES = ('round-robin', 'least-outstanding', 'two-choices')


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request in the policy workload.

    Attributes
    ----------
    name
        Name of the kind.
    weight
        Relative frequency.
    median_length, length_sigma
        Median and sigma of the lognormal answer length, in tokens.
    streamed
        Whether the caller reads the answer as a stream.
    deadline
        Seconds from arrival until the answer must be complete.
    prompt
        Smallest and largest prompt length, in tokens.
    """

    name: str
    weight: float
    median_length: float
    length_sigma: float
    streamed: bool
    deadline: float
    prompt: tuple[int, int]


REQUEST_KINDS = (
    RequestKind('question', 5, 60, 0.6, False, 30, (20, 120)),
    RequestKind('certificate', 3, 300, 0.4, True, 60, (60, 200)),
    RequestKind('label', 4, 15, 0.4, False, 20, (10, 60)),
    RequestKind('guide', 3, 700, 0.8, True, 180, (20, 100)),
)
ORGANISATION_COUNT = 10
MAX_OUTPUT_TOKENS = 8000
ENGINE_SHAPES = (
    EngineShape(capacity=6000, step=0.012, cold_tokens=3000),
    EngineShape(capacity=6000, step=0.016, cold_tokens=3000),
    EngineShape(capacity=4500, step=0.012, cold_tokens=3000),
    EngineShape(capacity=7500, step=0.014, cold_tokens=3000),
    EngineShape(capacity=6000, step=0.020, cold_tokens=3000),
)
ENGINE_DOMAINS = ('d1', 'd1', 'd2', 'd2', 'd3')


def make_jobs(load: float, seed: int) -> list[Job]:
    """Return a workload that uses a share of the engines' capacity.

    Answer lengths are heavy-tailed and scaled by a factor per organisation,
    unknown to the policies, which rises half-way through the arrivals.
    """
    random_source = random.Random(seed)
    length_factors = [
        random_source.lognormvariate(0, 0.4) for _ in range(ORGANISATION_COUNT)
    ]
    organisation_weights = [
        1 / (1 + number) for number in range(ORGANISATION_COUNT)
    ]
    sample_jobs = [
        _draw_job(random_source, length_factors, organisation_weights, 0.0)
        for _ in range(4000)
    ]
    rate = load * _estimate_capacity(sample_jobs)
    jobs = []
    arrival = random_source.expovariate(rate)
    while arrival < LAST_ARRIVAL_SECONDS:
        if arrival > LAST_ARRIVAL_SECONDS / 2 and length_factors is not None:
            current_factors = [factor * 1.4 for factor in length_factors]
        else:
            current_factors = length_factors
        job = _draw_job(
            random_source, current_factors, organisation_weights, arrival
        )
        job.name = f'j{len(jobs)}'
        jobs.append(job)
        arrival += random_source.expovariate(rate)
    return jobs


def _draw_job(
    random_source, length_factors, organisation_weights, arrival: float
) -> Job:
    kind = random_source.choices(
        REQUEST_KINDS, [each.weight for each in REQUEST_KINDS]
    )[0]
    organisation = random_source.choices(
        range(ORGANISATION_COUNT), organisation_weights
    )[0]
    drawn_length = kind.median_length * random_source.lognormvariate(
        0, kind.length_sigma
    )
    length = int(
        min(
            MAX_OUTPUT_TOKENS,
            max(1, drawn_length * length_factors[organisation]),
        )
    )
    return Job(
        name='',
        organisation=f'o{organisation}',
        kind=kind.name,
        streamed=kind.streamed,
        prompt_tokens=random_source.randint(*kind.prompt),
        length=length,
        max_output_tokens=MAX_OUTPUT_TOKENS,
        arrival=arrival,
        deadline=arrival + kind.deadline,
    )


def _estimate_capacity(jobs: list[Job]) -> float:
    """Return the requests per second that fill the engines' memory."""
    tokens = sum(job.length for job in jobs)
    token_steps = sum(
        job.prompt_tokens * job.length + job.length**2 / 2 for job in jobs
    )
    mean_held_tokens = token_steps / tokens
    tokens_per_second = 0.0
    for shape in ENGINE_SHAPES:
        batch = min(shape.max_batch_size, shape.capacity / mean_held_tokens)
        tokens_per_second += batch / (
            shape.step + shape.step_seconds_per_stream * batch
        )
    return tokens_per_second / (tokens / len(jobs))


class OracleEndpoint(SimulatedEndpoint):
    """Endpoint that passes the answer length to the oracle as the kind."""

    def make_request(self, job: Job):
        """Return the admission request, with the answer length as its kind."""
        request = super().make_request(job)
        fields = {name: getattr(request, name) for name in request.__slots__}
        return type(request)(**{**fields, 'kind': str(job.length)})


def make_config(policy: str, seed: int) -> SimulationConfig:
    """Return the simulation settings of a policy."""
    policy_classes = {
        'round-robin': RoundRobin,
        'least-outstanding': LeastOutstanding,
        'two-choices': TwoChoices,
        'primrosewood': PressurePolicy,
        'oracle': PressurePolicy,
    }
    return SimulationConfig(
        make_policy=policy_classes[policy],
        make_admission=_ADMISSION_FACTORIES.get(policy, _make_no_admission),
        prioritise_streams=policy not in BASELINES,
        shapes=list(ENGINE_SHAPES),
        domains=list(ENGINE_DOMAINS),
        seed=seed,
    )


def _make_no_admission(_clock, _shape) -> None:
    return None


def _make_admission(clock, shape: EngineShape) -> Admission:
    return Admission(clock, make_targets(shape), QUEUE_LENGTH, shape.capacity)


def _make_oracle_admission(clock, shape: EngineShape) -> Admission:
    return OracleAdmission(
        clock, make_targets(shape, start=64), QUEUE_LENGTH, shape.capacity
    )


_ADMISSION_FACTORIES = {
    'primrosewood': _make_admission,
    'oracle': _make_oracle_admission,
}


def run_case(case: str, policy: str, load: float, seed: int) -> dict:
    """Simulate one case and return its measures."""
    started_at = time.process_time()
    config = make_config(policy, seed)
    simulation = Simulation(config)
    for endpoint in simulation.endpoints.values():
        endpoint.model.warm_up()
    if policy == 'oracle':
        for name, endpoint in simulation.endpoints.items():
            simulation.endpoints[name].__class__ = OracleEndpoint
            assert is_oracle(endpoint.admission)
    if case == 'domain':
        simulation.schedule(30, lambda: simulation.take_domain_out('d2'))
        simulation.schedule(
            60, lambda: simulation.restore_domain('d2', cold=True)
        )
    elif case == 'cold':
        simulation.schedule(40, simulation.endpoints['e0'].model.turn_cold)
    elif case == 'lost':
        simulation.schedule(40, lambda: simulation.kill_domain('d1'))
    jobs = make_jobs(load, seed)
    simulation.run(jobs, SIMULATED_SECONDS)
    measures = compute_measures(simulation, jobs)
    measures['cpu_s'] = time.process_time() - started_at
    return measures


def compute_measures(simulation: Simulation, jobs: list[Job]) -> dict:
    """Return the measures of a finished simulation."""
    succeeded = [
        job for job in jobs if job.finished and job.finished <= job.deadline
    ]
    streamed = [job for job in jobs if job.streamed]
    gaps = [gap for job in streamed for gap in job.gaps]
    certificates = [
        job
        for job in jobs
        if job.kind == 'certificate' and job.deadline < SIMULATED_SECONDS
    ]
    succeeded_certificates = (
        sum(job in succeeded for job in certificates) if certificates else 0
    )
    preempted = [
        (job, job.stream.preempted) for job in jobs if job.stream is not None
    ]
    started_jobs = [job for job in jobs if job.first_token]
    return {
        'stall_s': sum(_sum_stalls(job) for job in jobs),
        'stall_streamed_s': sum(_sum_stalls(job) for job in streamed),
        'preemptions': sum(count for _job, count in preempted),
        'preemptions_streamed': sum(
            count for job, count in preempted if job.streamed
        ),
        'itl_p95': percentile(gaps, 0.95),
        'itl_p99': percentile(gaps, 0.99),
        'itl_p999': percentile(gaps, 0.999),
        'gap_p95': percentile([job.largest_gap for job in streamed], 0.95),
        'ttft_p95': percentile(
            [job.first_token - job.arrival for job in started_jobs], 0.95
        ),
        'goodput': sum(job.length for job in succeeded) / LAST_ARRIVAL_SECONDS,
        'certificates': succeeded_certificates / max(1, len(certificates)),
        'whole': len(succeeded) / len(jobs),
        'given_up': sum(job.given_up for job in jobs),
        'lost': sum(job.lost for job in jobs),
        'offers': simulation.offers / simulation.arrivals,
        'returns': simulation.arrivals / len(jobs),
        'jobs': len(jobs),
    }


def _sum_stalls(job: Job) -> float:
    return sum(
        gap - STALL_THRESHOLD_SECONDS
        for gap in job.gaps
        if gap > STALL_THRESHOLD_SECONDS
    )
