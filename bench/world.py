"""Entry and endpoint decisions over engine models, under a virtual clock.

The choice at the entry and the admission at the endpoint are the system's
own code; only time, the engines and the wires between them are stood in for.
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
from primrosewood.routing import Policy, Work
from primrosewood.warmup import ConcurrencyTargets
from standins.enginemodel import (
    EngineModel,
    EngineShape,
    ModelStream,
    StepResult,
)

REPORT_SECONDS = 1.0
TICK_SECONDS = 0.1
_MOST_ATTEMPTS = 4
_READER_PRIORITY = 10
_START_LIMIT = 4
_MOST_RUNNING = 64


@dataclass(slots=True)
class VirtualClock:
    """Time that moves when the world says so."""

    now: float = 0.0

    def monotonic(self) -> float:
        """Return the world's time."""
        return self.now

    def wall(self) -> float:
        """Return the world's time."""
        return self.now


@dataclass(slots=True)
class Job:
    """One request of the workload with all that happened to it."""

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
        """A prompt whose beginning the organisation's requests share."""
        return f'{self.organisation}/{self.kind}'


class Node:
    """An engine with, or without, the system's admission before it."""

    def __init__(
        self,
        name: str,
        domain: str,
        model: EngineModel,
        world: 'World',
        admission: Admission | None,
    ) -> None:
        """Start idle."""
        self.name = name
        self.domain = domain
        self.model = model
        self.admission = admission
        self.out = False
        self.dead = False
        self.jobs: dict[str, Job] = {}
        self.queued: dict[str, Job] = {}
        self._world = world
        self._stepping = False
        self._reported_preemptions = 0

    def load(self) -> Load:
        """Return the load as the endpoint would report it."""
        if self.admission is None:
            return Load(running=len(self.jobs), queued=0, limit=_MOST_RUNNING)
        return self.admission.load()

    def offer(self, job: Job) -> None:
        """Take a job or refuse it.

        Raises
        ------
        NotRunError
            The endpoint refuses.
        """
        if self.admission is None:
            self.start(job)
            return
        started = self.admission.offer(self.make_request(job))
        if started:
            self.start(job)
        else:
            self.queued[job.name] = job

    def make_request(self, job: Job) -> AdmissionRequest:
        """Return what the endpoint knows of a job."""
        return AdmissionRequest(
            name=job.name,
            organisation=job.organisation,
            share=1.0,
            kind='streamed' if job.streamed else 'whole',
            template=job.kind if self._world.templates else '',
            prompt_tokens=job.prompt_tokens,
            max_output_tokens=job.max_output_tokens,
            patience=min(
                self._world.queue_seconds,
                job.deadline - self._world.clock.now,
            ),
            seconds_left=job.deadline - self._world.clock.now,
        )

    def start(self, job: Job) -> None:
        """Hand a job to the engine."""
        job.engine = self.name
        job.stream = ModelStream(
            name=job.name,
            prompt=job.prompt,
            prompt_tokens=job.prompt_tokens,
            length=job.length,
            priority=self._world.priority(job),
            started_at=self._world.clock.now,
        )
        self.jobs[job.name] = job
        self.model.submit(job.stream)
        if not self._stepping:
            self._begin_step()

    def tick(self) -> None:
        """Do what time asks for at the endpoint."""
        if self.admission is None:
            return
        for request in self.admission.expire():
            job = self.queued.pop(request.name)
            self._world.refuse(job, self, self.admission.retry_seconds)
        self._start_waiting()

    def report_preemptions(self) -> None:
        """Let the endpoint read the engine's lagging report."""
        fresh = self.model.preemptions - self._reported_preemptions
        self._reported_preemptions = self.model.preemptions
        if self.admission is not None:
            self.admission.memory.record_preemptions(fresh)

    def drain_queue(self) -> list[Job]:
        """Take out all that waits, as a failure domain that is out does."""
        if self.admission is None:
            return []
        requests = self.admission.drain()
        return [self.queued.pop(request.name) for request in requests]

    def kill(self) -> list[Job]:
        """Lose everything; return what ran."""
        self.dead = True
        lost = [*self.jobs.values(), *self.drain_queue()]
        self.jobs.clear()
        self.model.running.clear()
        self.model.waiting.clear()
        return lost

    def _begin_step(self) -> None:
        self._stepping = True
        step = self.model.step()
        at = self._world.clock.now + step.seconds
        self._world.schedule(at, lambda: self._end_step(step))

    def _end_step(self, step: StepResult) -> None:
        if self.dead:
            return
        for stream in step.emitted:
            self._take_token(self.jobs[stream.name])
        for stream in step.finished:
            self._finish(self.jobs.pop(stream.name))
        if step.finished:
            self._start_waiting()
        if self.model.running or self.model.waiting:
            self._begin_step()
        else:
            self._stepping = False

    def _take_token(self, job: Job) -> None:
        self._world.note_token(job)
        if self.admission is not None:
            self.admission.record_tokens(job.name, job.stream.produced, 1)

    def _finish(self, job: Job) -> None:
        now = self._world.clock.now
        job.finished = now
        if self.admission is not None:
            self.admission.finish(job.name, job.length, whole=True)
            usual = now - job.first_token - job.largest_gap
            between = usual / max(1, job.length - 2)
            self.admission.limit.observe(
                job.first_token - job.stream.started_at,
                between,
                self.admission.running + 1,
            )
        self._world.note_finish(job, self)

    def _start_waiting(self) -> None:
        if self.admission is None or self.out:
            return
        for request in self.admission.admit_waiting():
            self.start(self.queued.pop(request.name))


class Entry:
    """An entry's lagging view and its policy."""

    def __init__(self, name: str, policy: Policy) -> None:
        """Start without endpoints."""
        self.name = name
        self.policy = policy
        self.views: dict[str, EndpointView] = {}
        self.usable: list[EndpointView] = []
        self.budget = RetryBudget(0.2)

    def refresh(self, nodes: dict[str, Node]) -> None:
        """Take every node's report and state."""
        for name, node in nodes.items():
            view = self.views.get(name)
            if view is None:
                view = EndpointView(_member(node))
                self.views[name] = view
            view.update_load(node.load())
        self.usable = [
            view
            for view in self.views.values()
            if not nodes[view.name].out and not nodes[view.name].dead
        ]


@dataclass(slots=True)
class Setup:
    """How a world is made.

    Attributes
    ----------
    policy
        Makes an entry's policy.
    admit
        Makes a node's admission, or None for engines without one.
    priorities
        Whether readers go before unread work at the engines.
    """

    policy: Callable[[random.Random], Policy]
    admit: Callable[[VirtualClock, EngineShape], Admission | None]
    priorities: bool
    shapes: list[EngineShape]
    domains: list[str]
    seed: int
    entries: int = 2
    queue_seconds: float = 5.0
    templates: bool = True


class World:
    """Everything together."""

    def __init__(self, setup: Setup) -> None:
        """Make engines and entries."""
        self.clock = VirtualClock()
        self.random = random.Random(setup.seed)
        self.queue_seconds = setup.queue_seconds
        self.templates = setup.templates
        self._setup = setup
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self.offers = 0
        self.arrivals = 0
        self.jobs: list[Job] = []
        self.nodes = {
            f'e{number}': Node(
                f'e{number}',
                domain,
                EngineModel(shape, setup.seed + number),
                self,
                setup.admit(self.clock, shape),
            )
            for number, (shape, domain) in enumerate(
                zip(setup.shapes, setup.domains, strict=True)
            )
        }
        self.entries = [
            Entry(f'entry-{number}', setup.policy(self.random))
            for number in range(setup.entries)
        ]

    def priority(self, job: Job) -> int:
        """Return the priority a job has at its engine."""
        return (
            _READER_PRIORITY if job.streamed and self._setup.priorities else 0
        )

    def schedule(self, at: float, act: Callable[[], None]) -> None:
        """Let something happen."""
        self._count += 1
        heapq.heappush(self._events, (at, self._count, act))

    def run(self, jobs: list[Job], seconds: float) -> None:
        """Send the jobs and let the time pass."""
        self.jobs = jobs
        for job in jobs:
            self.schedule(job.arrival, lambda job=job: self._arrive(job))
        self._report()
        self._tick()
        while self._events and self._events[0][0] <= seconds:
            at, _count, act = heapq.heappop(self._events)
            self.clock.now = at
            act()
        self.clock.now = seconds

    def refuse(self, job: Job, node: Node, retry_seconds: float) -> None:
        """Send a refused job elsewhere, or tell its caller when to return."""
        job.refusals += 1
        entry = next(each for each in self.entries if each.name == job.entry)
        entry.views[node.name].outstanding -= 1
        self._offer_elsewhere(job, entry, {node.name}, retry_seconds)

    def note_token(self, job: Job) -> None:
        """Record a token's time."""
        now = self.clock.now
        if not job.first_token:
            job.first_token = now
        else:
            gap = now - job.last_token
            job.gaps.append(gap)
            job.largest_gap = max(job.largest_gap, gap)
        job.last_token = now

    def note_finish(self, job: Job, node: Node) -> None:
        """Let the entries see the load that comes with an ending."""
        for entry in self.entries:
            if entry.name == job.entry:
                view = entry.views[node.name]
                view.update_load(node.load())
                view.outstanding -= 1

    def take_out(self, domain: str) -> None:
        """Take a failure domain out: no new work, what runs goes on."""
        for node in self.nodes.values():
            if node.domain == domain:
                node.out = True
                for job in node.drain_queue():
                    self.refuse(job, node, 0.5)
        self._refresh()

    def bring_back(self, domain: str, cold: bool) -> None:
        """Bring a failure domain back."""
        for node in self.nodes.values():
            if node.domain == domain:
                node.out = False
                if cold:
                    node.model.turn_cold()
        self._refresh()

    def kill_domain(self, domain: str) -> None:
        """Lose a failure domain with all that ran there."""
        for node in self.nodes.values():
            if node.domain != domain:
                continue
            for job in node.kill():
                if job.streamed and job.first_token:
                    job.lost = True
                else:
                    job.first_token = 0.0
                    self.refuse(job, node, 1.0)
        self._refresh()

    def _arrive(self, job: Job) -> None:
        entry = self.random.choice(self.entries)
        self.arrivals += 1
        entry.budget.earn()
        self._offer(job, entry, set(), 0)

    def _offer(
        self, job: Job, entry: Entry, tried: set[str], retry_seconds: float
    ) -> None:
        usable = [each for each in entry.usable if each.name not in tried]
        if not usable or len(tried) >= _MOST_ATTEMPTS:
            self._come_back(job, retry_seconds or 1.0)
            return
        work = Work(job.organisation, job.prompt)
        view = entry.policy.choose(usable, work).endpoint
        node = self.nodes[view.name]
        view.offered += 1
        self.offers += 1
        job.offers += 1
        try:
            node.offer(job)
        except NotRunError as error:
            view.update_load(node.load())
            job.refusals += 1
            self._offer_elsewhere(
                job, entry, {*tried, node.name}, error.retry_seconds
            )
            return
        view.update_load(node.load())
        view.outstanding += 1
        job.entry = entry.name

    def _offer_elsewhere(
        self, job: Job, entry: Entry, tried: set[str], retry_seconds: float
    ) -> None:
        if entry.budget.spend():
            self._offer(job, entry, tried, retry_seconds)
        else:
            self._come_back(job, retry_seconds)

    def _come_back(self, job: Job, retry_seconds: float) -> None:
        at = self.clock.now + jitter(retry_seconds, self.random.random())
        if at > job.deadline:
            job.given_up = True
            return
        self.schedule(at, lambda: self._arrive(job))

    def _report(self) -> None:
        self._refresh()
        for node in self.nodes.values():
            node.report_preemptions()
        self.schedule(self.clock.now + REPORT_SECONDS, self._report)

    def _refresh(self) -> None:
        for entry in self.entries:
            entry.refresh(self.nodes)

    def _tick(self) -> None:
        for node in self.nodes.values():
            node.tick()
        self.schedule(self.clock.now + TICK_SECONDS, self._tick)


def make_targets(
    shape: EngineShape, start: int = _START_LIMIT
) -> ConcurrencyTargets:
    """Return targets scaled to an engine: its step at a full batch, and more.

    The letter's 25 ms stand for a real engine; a model engine's own figure is
    its step at the batch its memory carries, plus a fifth.
    """
    batch = shape.capacity / 500
    step = (shape.step + shape.step_seconds_per_stream * batch) * 1.2
    return ConcurrencyTargets(
        start=start,
        most=_MOST_RUNNING,
        first_token=0.73,
        between_tokens=step,
    )


def _member(node: Node) -> MemberRecord:
    return MemberRecord(
        name=node.name,
        vm=node.name,
        team='t',
        service='s',
        failure_domain=node.domain,
        incarnation='1',
        url='',
    )
