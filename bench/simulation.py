"""Discrete-event simulation of entries, endpoints and engine models.

The policy of an entry and the admission of an endpoint are the production
code; the clock, the engines and the network are simulated.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from primrosewood.admission import Admission, AdmissionRequest
from primrosewood.errors import NotRunError
from primrosewood.gen_stored import MemberRecord
from primrosewood.gen_wire import Load
from primrosewood.membership import EndpointView
from primrosewood.retries import RetryBudget, jitter
from primrosewood.routing import Policy, RoutingInput
from primrosewood.warmup import ConcurrencyTargets
from standins.enginemodel import (
    EngineModel,
    EngineShape,
    ModelStream,
    StepResult,
)

REPORT_INTERVAL_SECONDS = 1.0
TICK_INTERVAL_SECONDS = 0.1
_MAX_ATTEMPTS = 4
_STREAM_PRIORITY = 10
_INITIAL_LIMIT = 4
_MAX_RUNNING = 64


@dataclass(slots=True)
class VirtualClock:
    """Clock that the simulation advances."""

    now: float = 0.0

    def monotonic(self) -> float:
        """Return the world's time."""
        return self.now

    def wall(self) -> float:
        """Return the world's time."""
        return self.now


@dataclass(slots=True)
class Job:
    """One request of the workload, with its progress and outcome.

    Times are in seconds of the virtual clock, and 0 until they are reached.
    """

    name: str
    organisation: str
    kind: str
    streamed: bool
    prompt_tokens: int
    length: int
    max_output_tokens: int
    arrival: float
    deadline: float
    engine: str = ''
    entry: str = ''
    offers: int = 0
    refusals: int = 0
    first_token: float = 0.0
    last_token: float = 0.0
    finished: float = 0.0
    lost: bool = False
    given_up: bool = False
    stall: float = 0.0
    largest_gap: float = 0.0
    gaps: list[float] = field(default_factory=list)
    stream: ModelStream | None = None

    @property
    def prompt(self) -> str:
        """Prompt text, equal for requests of one organisation and kind."""
        return f'{self.organisation}/{self.kind}'


class SimulatedEndpoint:
    """An endpoint with its engine model, with or without admission control."""

    def __init__(
        self,
        name: str,
        domain: str,
        model: EngineModel,
        simulation: 'Simulation',
        admission: Admission | None,
    ) -> None:
        """Create an idle endpoint."""
        self.name = name
        self.domain = domain
        self.model = model
        self.admission = admission
        self.out_of_service = False
        self.dead = False
        self.running_jobs: dict[str, Job] = {}
        self.queued_jobs: dict[str, Job] = {}
        self._simulation = simulation
        self._step_scheduled = False
        self._reported_preemptions = 0

    def load(self) -> Load:
        """Return the load as the endpoint would report it."""
        if self.admission is None:
            return Load(
                running=len(self.running_jobs), queued=0, limit=_MAX_RUNNING
            )
        return self.admission.load()

    def offer(self, job: Job) -> None:
        """Start or queue a job.

        Raises
        ------
        NotRunError
            The endpoint refuses the job.
        """
        if self.admission is None:
            self.start(job)
            return
        started = self.admission.offer(self.make_request(job))
        if started:
            self.start(job)
        else:
            self.queued_jobs[job.name] = job

    def make_request(self, job: Job) -> AdmissionRequest:
        """Return the admission request of a job."""
        return AdmissionRequest(
            name=job.name,
            organisation=job.organisation,
            share=1.0,
            kind='streamed' if job.streamed else 'whole',
            template=job.kind if self._simulation.use_templates else '',
            prompt_tokens=job.prompt_tokens,
            max_output_tokens=job.max_output_tokens,
            max_queue_seconds=min(
                self._simulation.queue_seconds,
                job.deadline - self._simulation.clock.now,
            ),
            seconds_left=job.deadline - self._simulation.clock.now,
        )

    def start(self, job: Job) -> None:
        """Submit a job to the engine."""
        job.engine = self.name
        job.stream = ModelStream(
            name=job.name,
            prompt=job.prompt,
            prompt_tokens=job.prompt_tokens,
            length=job.length,
            priority=self._simulation.priority(job),
            started_at=self._simulation.clock.now,
        )
        self.running_jobs[job.name] = job
        self.model.submit(job.stream)
        if not self._step_scheduled:
            self._begin_step()

    def tick(self) -> None:
        """Expire queued jobs and start those that fit."""
        if self.admission is None:
            return
        for request in self.admission.expire():
            job = self.queued_jobs.pop(request.name)
            self._simulation.handle_refusal(
                job, self, self.admission.retry_seconds
            )
        self._start_queued()

    def report_preemptions(self) -> None:
        """Pass preemptions since the last report to admission control."""
        new_preemptions = self.model.preemptions - self._reported_preemptions
        self._reported_preemptions = self.model.preemptions
        if self.admission is not None:
            self.admission.memory.record_preemptions(new_preemptions)

    def drain_queue(self) -> list[Job]:
        """Remove and return all queued jobs."""
        if self.admission is None:
            return []
        requests = self.admission.drain()
        return [self.queued_jobs.pop(request.name) for request in requests]

    def kill(self) -> list[Job]:
        """Stop the endpoint and return its running and queued jobs."""
        self.dead = True
        lost = [*self.running_jobs.values(), *self.drain_queue()]
        self.running_jobs.clear()
        self.model.running.clear()
        self.model.waiting.clear()
        return lost

    def _begin_step(self) -> None:
        self._step_scheduled = True
        step = self.model.step()
        at = self._simulation.clock.now + step.seconds
        self._simulation.schedule(at, lambda: self._end_step(step))

    def _end_step(self, step: StepResult) -> None:
        if self.dead:
            return
        for stream in step.emitted:
            self._record_token(self.running_jobs[stream.name])
        for stream in step.finished:
            self._finish(self.running_jobs.pop(stream.name))
        if step.finished:
            self._start_queued()
        if self.model.running or self.model.waiting:
            self._begin_step()
        else:
            self._step_scheduled = False

    def _record_token(self, job: Job) -> None:
        self._simulation.record_token(job)
        if self.admission is not None:
            self.admission.record_tokens(job.name, job.stream.produced, 1)

    def _finish(self, job: Job) -> None:
        now = self._simulation.clock.now
        job.finished = now
        if self.admission is not None:
            self.admission.finish(job.name, job.length, whole=True)
            decode_seconds = now - job.first_token - job.largest_gap
            token_gap = decode_seconds / max(1, job.length - 2)
            self.admission.limit.observe(
                job.first_token - job.stream.started_at,
                token_gap,
                self.admission.running + 1,
            )
        self._simulation.record_finish(job, self)

    def _start_queued(self) -> None:
        if self.admission is None or self.out_of_service:
            return
        for request in self.admission.admit_waiting():
            self.start(self.queued_jobs.pop(request.name))


class SimulatedEntry:
    """An entry with its policy and its periodically updated endpoint views."""

    def __init__(self, name: str, policy: Policy) -> None:
        """Create an entry without endpoints."""
        self.name = name
        self.policy = policy
        self.views: dict[str, EndpointView] = {}
        self.usable: list[EndpointView] = []
        self.retry_budget = RetryBudget(0.2)

    def refresh(self, endpoints: dict[str, SimulatedEndpoint]) -> None:
        """Update the views from the load and state of all endpoints."""
        for name, endpoint in endpoints.items():
            view = self.views.get(name)
            if view is None:
                view = EndpointView(_make_member(endpoint))
                self.views[name] = view
            view.update_load(endpoint.load())
        self.usable = [
            view
            for view in self.views.values()
            if not endpoints[view.name].out_of_service
            and not endpoints[view.name].dead
        ]


@dataclass(slots=True)
class SimulationConfig:
    """Settings of a simulation.

    Attributes
    ----------
    make_policy
        Creates the policy of an entry.
    make_admission
        Creates the admission control of an endpoint, or returns None to run
        the endpoint without.
    prioritise_streams
        Whether engines prefer streamed requests, whose tokens a caller
        reads as they arrive.
    shapes, domains
        Shape and failure domain of each engine.
    seed
        Seed of the entries' random choices and of the engine models.
    entries
        Number of entries.
    queue_seconds
        Maximum time in an endpoint's queue.
    use_templates
        Whether admission requests name the kind of request as template.
    """

    make_policy: Callable[[random.Random], Policy]
    make_admission: Callable[[VirtualClock, EngineShape], Admission | None]
    prioritise_streams: bool
    shapes: list[EngineShape]
    domains: list[str]
    seed: int
    entries: int = 2
    queue_seconds: float = 5.0
    use_templates: bool = True


class Simulation:
    """Event loop that connects entries, endpoints and jobs."""

    def __init__(self, config: SimulationConfig) -> None:
        """Create the endpoints and entries."""
        self.clock = VirtualClock()
        self.random = random.Random(config.seed)
        self.queue_seconds = config.queue_seconds
        self.use_templates = config.use_templates
        self._config = config
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self.offers = 0
        self.arrivals = 0
        self.jobs: list[Job] = []
        self.endpoints = {
            f'e{number}': SimulatedEndpoint(
                f'e{number}',
                domain,
                EngineModel(shape, config.seed + number),
                self,
                config.make_admission(self.clock, shape),
            )
            for number, (shape, domain) in enumerate(
                zip(config.shapes, config.domains, strict=True)
            )
        }
        self.entries = [
            SimulatedEntry(f'entry-{number}', config.make_policy(self.random))
            for number in range(config.entries)
        ]

    def priority(self, job: Job) -> int:
        """Return the priority of a job at its engine."""
        return (
            _STREAM_PRIORITY
            if job.streamed and self._config.prioritise_streams
            else 0
        )

    def schedule(self, at: float, callback: Callable[[], None]) -> None:
        """Call back at a time of the virtual clock."""
        self._sequence += 1
        heapq.heappush(self._events, (at, self._sequence, callback))

    def run(self, jobs: list[Job], seconds: float) -> None:
        """Process the jobs' arrivals and all events up to a time."""
        self.jobs = jobs
        for job in jobs:
            self.schedule(
                job.arrival, lambda job=job: self._handle_arrival(job)
            )
        self._report_loads()
        self._tick()
        while self._events and self._events[0][0] <= seconds:
            at, _sequence, callback = heapq.heappop(self._events)
            self.clock.now = at
            callback()
        self.clock.now = seconds

    def handle_refusal(
        self, job: Job, endpoint: SimulatedEndpoint, retry_seconds: float
    ) -> None:
        """Offer a refused job to another endpoint, or schedule a retry."""
        job.refusals += 1
        entry = next(each for each in self.entries if each.name == job.entry)
        entry.views[endpoint.name].outstanding -= 1
        self._offer_elsewhere(job, entry, {endpoint.name}, retry_seconds)

    def record_token(self, job: Job) -> None:
        """Record the time of a token."""
        now = self.clock.now
        if not job.first_token:
            job.first_token = now
        else:
            gap = now - job.last_token
            job.gaps.append(gap)
            job.largest_gap = max(job.largest_gap, gap)
        job.last_token = now

    def record_finish(self, job: Job, endpoint: SimulatedEndpoint) -> None:
        """Update the view of the job's entry with the load after the answer."""
        for entry in self.entries:
            if entry.name == job.entry:
                view = entry.views[endpoint.name]
                view.update_load(endpoint.load())
                view.outstanding -= 1

    def take_domain_out(self, domain: str) -> None:
        """Take a failure domain out of service; running jobs continue."""
        for endpoint in self.endpoints.values():
            if endpoint.domain == domain:
                endpoint.out_of_service = True
                for job in endpoint.drain_queue():
                    self.handle_refusal(job, endpoint, 0.5)
        self._refresh_entries()

    def restore_domain(self, domain: str, cold: bool) -> None:
        """Return a failure domain to service, optionally with cold engines."""
        for endpoint in self.endpoints.values():
            if endpoint.domain == domain:
                endpoint.out_of_service = False
                if cold:
                    endpoint.model.turn_cold()
        self._refresh_entries()

    def kill_domain(self, domain: str) -> None:
        """Kill a failure domain; retry the jobs that have streamed nothing."""
        for endpoint in self.endpoints.values():
            if endpoint.domain != domain:
                continue
            for job in endpoint.kill():
                if job.streamed and job.first_token:
                    job.lost = True
                else:
                    job.first_token = 0.0
                    self.handle_refusal(job, endpoint, 1.0)
        self._refresh_entries()

    def _handle_arrival(self, job: Job) -> None:
        entry = self.random.choice(self.entries)
        self.arrivals += 1
        entry.retry_budget.earn()
        self._offer(job, entry, set(), 0)

    def _offer(
        self,
        job: Job,
        entry: SimulatedEntry,
        tried: set[str],
        retry_seconds: float,
    ) -> None:
        usable = [each for each in entry.usable if each.name not in tried]
        if not usable or len(tried) >= _MAX_ATTEMPTS:
            self._schedule_retry(job, retry_seconds or 1.0)
            return
        routing_input = RoutingInput(job.organisation, job.prompt)
        view = entry.policy.choose(usable, routing_input).endpoint
        endpoint = self.endpoints[view.name]
        view.offered += 1
        self.offers += 1
        job.offers += 1
        try:
            endpoint.offer(job)
        except NotRunError as error:
            view.update_load(endpoint.load())
            job.refusals += 1
            self._offer_elsewhere(
                job, entry, {*tried, endpoint.name}, error.retry_seconds
            )
            return
        view.update_load(endpoint.load())
        view.outstanding += 1
        job.entry = entry.name

    def _offer_elsewhere(
        self,
        job: Job,
        entry: SimulatedEntry,
        tried: set[str],
        retry_seconds: float,
    ) -> None:
        if entry.retry_budget.spend():
            self._offer(job, entry, tried, retry_seconds)
        else:
            self._schedule_retry(job, retry_seconds)

    def _schedule_retry(self, job: Job, retry_seconds: float) -> None:
        at = self.clock.now + jitter(retry_seconds, self.random.random())
        if at > job.deadline:
            job.given_up = True
            return
        self.schedule(at, lambda: self._handle_arrival(job))

    def _report_loads(self) -> None:
        self._refresh_entries()
        for endpoint in self.endpoints.values():
            endpoint.report_preemptions()
        self.schedule(
            self.clock.now + REPORT_INTERVAL_SECONDS, self._report_loads
        )

    def _refresh_entries(self) -> None:
        for entry in self.entries:
            entry.refresh(self.endpoints)

    def _tick(self) -> None:
        for endpoint in self.endpoints.values():
            endpoint.tick()
        self.schedule(self.clock.now + TICK_INTERVAL_SECONDS, self._tick)


def make_targets(
    shape: EngineShape, start: int = _INITIAL_LIMIT
) -> ConcurrencyTargets:
    """Return concurrency targets scaled to an engine model.

    The target of 25 ms between tokens applies to real engines. For an engine
    model, the target is its step time at the batch that fits its memory, plus
    a fifth.
    """
    batch = shape.capacity / 500
    step = (shape.step + shape.step_seconds_per_stream * batch) * 1.2
    return ConcurrencyTargets(
        start=start,
        most=_MAX_RUNNING,
        first_token=0.73,
        between_tokens=step,
    )


def _make_member(endpoint: SimulatedEndpoint) -> MemberRecord:
    return MemberRecord(
        name=endpoint.name,
        vm=endpoint.name,
        team='t',
        service='s',
        failure_domain=endpoint.domain,
        incarnation='1',
        url='',
    )
