"""The work of an endpoint process: offers in, answers out."""

from dataclasses import dataclass

from . import gen_wire as wire
from .admission import Admission, AdmissionRequest
from .attempts import AttemptBook, Verdict
from .backends import Engine, EngineLoad, PlainService
from .clock import Clock
from .codec import Message
from .errors import ErrorKind, NotRunError
from .gen_process import Limits, Timing
from .gen_team import Service
from .identity import digest_template
from .jobs import CallJob, GenerationJob, Job
from .link import Link
from .subscribers import Listeners
from .logs import log_decision
from .lookup import Lookup
from .metrics import Metrics
from .retention import Retention
from .runner import JobRunner, RunnerEvents, count_tokens
from .settings import SettingsStore
from .warmup import ConcurrencyTargets

__all__ = ('EndpointIdentity', 'Worker')

_MILLISECONDS = 1000
_PASSING_RETRY_SECONDS = 0.5
_OFFER_GRACE_SECONDS = 0.3
_NEVER_SEEN = Verdict.never_seen


@dataclass(frozen=True, slots=True)
class EndpointIdentity:
    """Where a worker stands.

    Attributes
    ----------
    name, incarnation
        The endpoint, and this run of its process.
    team, service
        What it serves.
    failure_domain
        Where it is.
    """

    name: str
    incarnation: str
    team: str
    service: str
    failure_domain: str


@dataclass(slots=True)
class _Queued:
    """An offer that waits, and who waits for it by which channel."""

    offer: wire.Offer
    links: dict[str, Link]


@dataclass(frozen=True, slots=True)
class _Parked:
    """A question about an attempt whose offer may be on its way."""

    fetch: wire.Fetch
    link: Link
    until: float


class Worker:
    """Decides on offers and runs what is admitted.

    Parameters
    ----------
    place
        Where the worker stands.
    store
        Settings in force.
    engine, plain_service
        The back end beside it; which of them is there, the settings tell.
    clock
        Source of time.
    limits, timing
        Local settings.
    metrics
        Where counts go.
    """

    def __init__(
        self,
        place: EndpointIdentity,
        store: SettingsStore,
        engine: Engine,
        plain_service: PlainService,
        clock: Clock,
        limits: Limits,
        timing: Timing,
        metrics: Metrics,
    ) -> None:
        """Start cold."""
        self._place = place
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._attempts = AttemptBook(limits.attempts_remembered)
        self._listeners = Listeners(clock, limits.stream_window_tokens)
        self._queued: dict[str, _Queued] = {}
        self._parked: list[_Parked] = []
        self._counter = 0
        self._leaving = False
        self._preemptions = 0
        self.admission = Admission(
            clock, _make_targets(self._service), limits.queue_length, 0
        )
        self._runner = JobRunner(
            engine,
            plain_service,
            self.admission,
            clock,
            metrics,
            RunnerEvents(self._note_end, self._note_unrun),
        )
        self._retention = Retention(
            self._attempts, self._listeners, self._runner, clock, limits, timing
        )
        self._lookup = Lookup(
            incarnation=place.incarnation,
            attempts=self._attempts,
            listeners=self._listeners,
            admission=self.admission,
            runner=self._runner,
            read_load=lambda: self.load,
        )
        store.changes.subscribe(lambda _record: self._apply_settings())

    @property
    def load(self) -> wire.Load:
        """Load as it is reported."""
        return self.admission.load(
            leaving=self._leaving, refusing=self._refusal() is not None
        )

    @property
    def serves_model(self) -> bool:
        """Whether the settings say that a model engine stands beside it."""
        return self._store.ready and self._service.kind == 'model'

    @property
    def idle(self) -> bool:
        """Whether every answer has been handed on."""
        asked = self._queued or self._parked
        return not asked and self._retention.idle

    def handle(self, message: Message, link: Link) -> None:
        """Act on a message of an entry."""
        match message:
            case wire.Offer():
                self._take_offer(message, link)
            case wire.Credit():
                self._listeners.take_credit(message, link)
            case wire.Resume():
                self._lookup.resume(message, link)
            case wire.Fetch():
                self._fetch(message, link)
            case wire.Cancel():
                self._cancel(message, link)

    def drop_link(self, link: Link) -> None:
        """Withdraw what waits for a closed connection; runs go on."""
        for attempt, queued in list(self._queued.items()):
            for channel in list(queued.links):
                if queued.links[channel] is link:
                    queued.links.pop(channel)
            if not queued.links:
                self._withdraw(attempt)
        self._listeners.remove_link(link)

    def leave(self) -> None:
        """Refuse new work from now on; what runs goes on."""
        self._leaving = True
        self._refuse_queued(ErrorKind.leaving)

    def update_engine_load(self, load: EngineLoad) -> None:
        """Take memory size and preemptions from the engine's own report."""
        self.admission.memory.capacity = load.capacity_tokens
        fresh = max(0, load.preemptions - self._preemptions)
        self.admission.memory.record_preemptions(fresh)
        self._preemptions = load.preemptions

    def tick(self) -> None:
        """Do what time asks for; called a few times a second."""
        for request in self.admission.expire():
            self._refuse_waiting(request.name, ErrorKind.deadline_unmeetable)
        self._start_waiting()
        self._answer_parked()
        self._retention.sweep(self._service.keep_answer_seconds)

    @property
    def _service(self) -> Service:
        found = self._store.find_service(self._place.team, self._place.service)
        return found or Service(kind='model')

    def _take_offer(self, offer: wire.Offer, link: Link) -> None:
        verdict = self._attempts.judge(offer.attempt)
        if verdict in {Verdict.refused, Verdict.ran}:
            # A delayed copy of an offer that was already answered.
            self._send_not_run(link, offer.attempt, ErrorKind.never_offered)
            return
        job = self._attempts.find(offer.attempt)
        if job is not None:
            self._listeners.add(job, offer.attempt, link)
            return
        kind = self._refusal() or self._mismatch(offer)
        if kind is None:
            self._admit(offer, link)
        else:
            self._refuse(offer, link, kind, _PASSING_RETRY_SECONDS)
        self._answer_fetches_of(offer.attempt)

    def _admit(self, offer: wire.Offer, link: Link) -> None:
        try:
            started = self.admission.offer(self._to_request(offer))
        except NotRunError as error:
            self._refuse(offer, link, error.kind, error.retry_seconds)
            return
        self._log(offer, 'run' if started else 'queue')
        queued = _Queued(offer, {offer.attempt: link})
        if started:
            self._start(queued)
            return
        self._queued[offer.attempt] = queued
        wait_ms = int(self.admission.retry_seconds * _MILLISECONDS)
        link.send(wire.Queued(offer.attempt, wait_ms))

    def _refusal(self) -> ErrorKind | None:
        if self._leaving:
            return ErrorKind.leaving
        if not self._store.ready:
            return ErrorKind.settings_missing
        if self._store.is_out(self._place.team, self._place.failure_domain):
            return ErrorKind.domain_out
        return None

    def _mismatch(self, offer: wire.Offer) -> ErrorKind | None:
        wanted = (offer.team, offer.service)
        if wanted != (self._place.team, self._place.service):
            return ErrorKind.not_found
        return None

    def _refuse(
        self, offer: wire.Offer, link: Link, kind: ErrorKind, retry: float
    ) -> None:
        self._refuse_queued_offer(
            _Queued(offer, {offer.attempt: link}), kind, retry
        )

    def _refuse_queued_offer(
        self, queued: _Queued, kind: ErrorKind, retry: float
    ) -> None:
        self._attempts.refuse(queued.offer.attempt)
        self._metrics.count('refused', kind.value)
        self._log(queued.offer, 'refuse', why=kind.value)
        for channel, link in queued.links.items():
            self._send_not_run(link, channel, kind, retry)

    def _send_not_run(
        self, link: Link, channel: str, kind: ErrorKind, retry: float = 0
    ) -> None:
        retry_ms = int(retry * _MILLISECONDS)
        link.send(wire.NotRun(channel, kind.value, retry_ms, self.load))

    def _start(self, queued: _Queued) -> None:
        offer = queued.offer
        job = self._make_job(offer)
        self._attempts.add(job)
        for channel, link in queued.links.items():
            link.send(wire.Admitted(channel, job.generation, self.load))
            self._listeners.add(job, channel, link)
        self._metrics.count('admitted')
        self._runner.start(job, self._service.model or offer.service)

    def _make_job(self, offer: wire.Offer) -> Job:
        if offer.method:
            return CallJob(offer)
        self._counter += 1
        incarnation = self._place.incarnation
        return GenerationJob(offer, f'{incarnation}-{self._counter}')

    def _start_waiting(self) -> None:
        for request in self.admission.admit_waiting():
            queued = self._queued.pop(request.name)
            self._log(queued.offer, 'run', why='waited')
            self._start(queued)

    def _refuse_queued(self, kind: ErrorKind) -> None:
        for request in self.admission.drain():
            self._refuse_waiting(request.name, kind)

    def _refuse_waiting(self, attempt: str, kind: ErrorKind) -> None:
        queued = self._queued.pop(attempt)
        retry = max(_PASSING_RETRY_SECONDS, self.admission.retry_seconds)
        self._refuse_queued_offer(queued, kind, retry)

    def _withdraw(self, attempt: str) -> None:
        self._queued.pop(attempt)
        self.admission.withdraw(attempt)
        self._attempts.refuse(attempt)

    def _apply_settings(self) -> None:
        self.admission.limit.retarget(_make_targets(self._service))
        kind = self._refusal()
        if kind is not None:
            self._refuse_queued(kind)

    def _fetch(self, fetch: wire.Fetch, link: Link) -> None:
        queued = self._queued.get(fetch.claimed_attempt)
        foreign = fetch.incarnation != self._place.incarnation
        never_seen = self._attempts.judge(fetch.claimed_attempt) is _NEVER_SEEN
        if foreign or not never_seen:
            self._lookup.fetch(fetch, link)
        elif queued and _is_of(queued.offer, fetch):
            queued.links[fetch.attempt] = link
        else:
            # Two entries with one key: the loser of the claim may ask here
            # before the winner's offer comes. Refusing it at once would make
            # the winner lose its attempt for nothing.
            until = self._clock.monotonic() + _OFFER_GRACE_SECONDS
            self._parked.append(_Parked(fetch, link, until))

    def _answer_parked(self) -> None:
        now = self._clock.monotonic()
        parked, self._parked = self._parked, []
        for each in parked:
            if each.until <= now:
                self._lookup.fetch(each.fetch, each.link)
            elif not each.link.closed:
                self._parked.append(each)

    def _answer_fetches_of(self, attempt: str) -> None:
        parked, self._parked = self._parked, []
        for each in parked:
            if each.fetch.claimed_attempt == attempt:
                self._fetch(each.fetch, each.link)
            else:
                self._parked.append(each)

    def _cancel(self, cancel: wire.Cancel, link: Link) -> None:
        queued = self._queued.get(cancel.attempt)
        if queued is not None and not queued.offer.key_digest:
            self._withdraw(cancel.attempt)
            return
        subscriber = self._listeners.find(cancel.attempt, link)
        if subscriber is None:
            return
        self._listeners.remove(subscriber)
        job = subscriber.job
        # A claim points at keyed work, so a retry must find its answer.
        wanted = job.subscribers or job.keyed or job.ended_at is not None
        if cancel.at_once and not wanted:
            self._runner.cancel(job)

    def _note_end(self, job: Job) -> None:
        job.ended_at = self._clock.monotonic()
        job.load = self.load
        self._start_waiting()

    def _note_unrun(self, job: Job, error: NotRunError) -> None:
        self._attempts.drop_unrun(job)
        for channel, subscriber in job.subscribers.items():
            self._send_not_run(
                subscriber.link, channel, error.kind, error.retry_seconds
            )
        self._listeners.remove_job(job)
        self._start_waiting()

    def _to_request(self, offer: wire.Offer) -> AdmissionRequest:
        seconds_left = offer.deadline_ms / _MILLISECONDS
        return AdmissionRequest(
            name=offer.attempt,
            organisation=_full_name(offer),
            share=self._store.share_of(offer.team, offer.organisation),
            kind='streamed' if offer.streamed else 'whole',
            template=digest_template(offer.prompt),
            prompt_tokens=count_tokens(offer.prompt),
            max_output_tokens=offer.max_tokens,
            patience=min(self._service.queue_seconds, seconds_left),
            seconds_left=seconds_left,
        )

    def _log(self, offer: wire.Offer, chosen: str, why: str = '') -> None:
        admission = self.admission
        log_decision(
            'admission',
            request=offer.request,
            attempt=offer.attempt,
            organisation=_full_name(offer),
            service=offer.service,
            chosen=chosen,
            why=why or None,
            running=admission.running,
            limit=admission.limit.limit,
            queued=len(admission.queue),
            memory=admission.memory.permille,
            revision=self._store.revision_of(offer.team),
        )


def _is_of(offer: wire.Offer, fetch: wire.Fetch) -> bool:
    return _full_name(offer) == fetch.organisation


def _full_name(offer: wire.Offer) -> str:
    return f'{offer.team}/{offer.organisation}'


def _make_targets(service: Service) -> ConcurrencyTargets:
    return ConcurrencyTargets(
        start=service.start_running,
        most=service.max_running,
        first_token=service.first_token_seconds,
        between_tokens=service.between_tokens_seconds,
    )
