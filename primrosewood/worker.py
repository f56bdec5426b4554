"""Handles the messages of entries at an endpoint.

Offers are admitted, queued or refused; admitted work runs at the back end,
and its output is sent to all subscribers.
"""

from dataclasses import dataclass

from . import gen_wire as wire
from .admission import Admission, AdmissionRequest
from .attempts import AttemptState, AttemptTracker
from .backends import Engine, EngineLoad, PlainService
from .backpressure import AnswerNotice, Backpressure
from .clock import Clock
from .codec import Message
from .errors import BackendPausedError, ErrorKind, NotRunError
from .gen_process import Limits, Timing
from .gen_team import Service
from .identity import digest_prompt_prefix
from .jobs import CallJob, GenerationJob, Job
from .link import Link
from .logs import log_decision
from .lookup import JobLookup
from .metrics import Metrics
from .retention import Retention
from .runner import JobRunner, RunnerCallbacks, estimate_tokens
from .settings import SettingsStore
from .subscribers import SubscriberRegistry
from .warmup import ConcurrencyTargets

__all__ = ('EndpointIdentity', 'Worker')

_MS_PER_SECOND = 1000
_MIN_RETRY_SECONDS = 0.5
_OFFER_GRACE_SECONDS = 0.3
_NEVER_SEEN = AttemptState.never_seen


@dataclass(frozen=True, slots=True)
class EndpointIdentity:
    """Identity of an endpoint process.

    Attributes
    ----------
    name, incarnation
        Name of the endpoint, and identifier of this run of its process.
    team, service
        Service that it serves, and the team that owns the service.
    failure_domain
        Failure domain that it runs in.
    """

    name: str
    incarnation: str
    team: str
    service: str
    failure_domain: str


@dataclass(slots=True)
class _PendingOffer:
    """An offer with the connections that wait for its outcome.

    `links` maps the attempt that each entry uses in its messages to the
    connection of that entry.
    """

    offer: wire.Offer
    links: dict[str, Link]


@dataclass(frozen=True, slots=True)
class _PendingFetch:
    """A fetch that is answered later because the offer may still arrive.

    `until` is the monotonic time in seconds at which it is answered anyway.
    """

    fetch: wire.Fetch
    link: Link
    until: float


class Worker:
    """Decides on offers and runs the admitted ones.

    Parameters
    ----------
    identity
        Identity of this endpoint.
    store
        Settings that are in force.
    engine, plain_service
        Clients of the back end; the kind of the service in the settings
        decides which one is used.
    clock
        Source of time.
    limits, timing
        Limits and timing of this process.
    metrics
        Receives the counters.
    """

    def __init__(
        self,
        identity: EndpointIdentity,
        store: SettingsStore,
        engine: Engine,
        plain_service: PlainService,
        clock: Clock,
        limits: Limits,
        timing: Timing,
        metrics: Metrics,
    ) -> None:
        """Start with the limit of a cold engine and no work."""
        self._identity = identity
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._attempts = AttemptTracker(limits.attempts_remembered)
        self._subscribers = SubscriberRegistry(
            clock, limits.stream_window_tokens
        )
        self._queued: dict[str, _PendingOffer] = {}
        self._pending_fetches: list[_PendingFetch] = []
        self._generation_count = 0
        self._leaving = False
        self._last_preemptions = 0
        self._backpressure = Backpressure()
        self.admission = Admission(
            clock, _make_targets(self._service), limits.queue_length, 0
        )
        self._runner = JobRunner(
            engine,
            plain_service,
            self.admission,
            clock,
            metrics,
            RunnerCallbacks(self._handle_job_end, self._handle_not_run),
        )
        self._retention = Retention(
            self._attempts,
            self._subscribers,
            self._runner,
            clock,
            limits,
            timing,
        )
        self._lookup = JobLookup(
            incarnation=identity.incarnation,
            attempts=self._attempts,
            subscribers=self._subscribers,
            admission=self.admission,
            runner=self._runner,
            read_load=lambda: self.load,
        )
        store.changes.subscribe(lambda _record: self._apply_settings())

    @property
    def load(self) -> wire.Load:
        """Load that is reported to the entries."""
        return self.admission.load(
            leaving=self._leaving, refusing=self._find_refusal() is not None
        )

    @property
    def serves_model(self) -> bool:
        """Whether the service is a model according to the settings."""
        return self._store.ready and self._service.kind == 'model'

    @property
    def idle(self) -> bool:
        """Whether no work is pending and every answer has been delivered."""
        pending_work = self._queued or self._pending_fetches
        return not pending_work and self._retention.idle

    def handle(self, message: Message, link: Link) -> None:
        """Handle a message from an entry."""
        match message:
            case wire.Offer():
                self._handle_offer(message, link)
            case wire.Credit():
                self._subscribers.apply_credit(message, link)
            case wire.Resume():
                self._lookup.resume(message, link)
            case wire.Fetch():
                self._handle_fetch(message, link)
            case wire.Cancel():
                self._handle_cancel(message, link)

    def drop_link(self, link: Link) -> None:
        """Withdraw the queued offers of a closed connection.

        Running work continues.
        """
        for attempt, queued in list(self._queued.items()):
            for subscriber_attempt in list(queued.links):
                if queued.links[subscriber_attempt] is link:
                    queued.links.pop(subscriber_attempt)
            if not queued.links:
                self._withdraw_offer(attempt)
        self._subscribers.remove_link(link)

    def leave(self) -> None:
        """Refuse new and queued work from now on; running work continues."""
        self._leaving = True
        self._refuse_all_queued(ErrorKind.leaving)

    def update_engine_load(self, load: EngineLoad) -> None:
        """Apply memory size and preemptions from the engine's report."""
        self.admission.memory.capacity = load.capacity_tokens
        new_preemptions = max(0, load.preemptions - self._last_preemptions)
        self.admission.memory.record_preemptions(new_preemptions)
        self._last_preemptions = load.preemptions

    def tick(self) -> None:
        """Handle timeouts; called a few times per second."""
        for request in self.admission.expire():
            self._refuse_queued_attempt(
                request.name, ErrorKind.deadline_unmeetable
            )
        self._start_waiting()
        self._answer_expired_fetches()
        self._retention.sweep(self._service.keep_answer_seconds)

    @property
    def _service(self) -> Service:
        configured = self._store.find_service(
            self._identity.team, self._identity.service
        )
        return configured or Service(kind='model')

    def _handle_offer(self, offer: wire.Offer, link: Link) -> None:
        state = self._attempts.find_state(offer.attempt)
        # A delayed duplicate of an offer may have been answered before.
        if state is AttemptState.refused:
            self._send_not_run(link, offer.attempt, ErrorKind.never_offered)
            return
        if state is AttemptState.ran:
            kind = ErrorKind.answer_expired
            link.send(wire.Failed(offer.attempt, kind.value, ''))
            return
        job = self._attempts.find(offer.attempt)
        if job is not None:
            self._subscribers.add(job, offer.attempt, link)
            return
        kind = self._find_refusal() or self._find_mismatch(offer)
        pause = self._backpressure.seconds_until_call(self._clock.monotonic())
        if kind is None and pause:
            # Other endpoints can take it at once.
            self._refuse(offer, link, ErrorKind.overloaded, pause)
        elif kind is None:
            self._admit(offer, link)
        else:
            self._refuse(offer, link, kind, _MIN_RETRY_SECONDS)
        self._answer_pending_fetches(offer.attempt)

    def _admit(self, offer: wire.Offer, link: Link) -> None:
        try:
            started = self.admission.offer(self._make_admission_request(offer))
        except NotRunError as error:
            self._refuse(offer, link, error.kind, error.retry_seconds)
            return
        self._log(offer, 'run' if started else 'queue')
        queued = _PendingOffer(offer, {offer.attempt: link})
        if started:
            self._start(queued)
            return
        self._queued[offer.attempt] = queued
        wait_ms = int(self.admission.retry_seconds * _MS_PER_SECOND)
        link.send(wire.Queued(offer.attempt, wait_ms))

    def _find_refusal(self) -> ErrorKind | None:
        if self._leaving:
            return ErrorKind.leaving
        if not self._store.ready:
            return ErrorKind.settings_missing
        if self._store.is_out(
            self._identity.team, self._identity.failure_domain
        ):
            return ErrorKind.domain_out
        return None

    def _find_mismatch(self, offer: wire.Offer) -> ErrorKind | None:
        requested = (offer.team, offer.service)
        if requested != (self._identity.team, self._identity.service):
            return ErrorKind.not_found
        return None

    def _refuse(
        self,
        offer: wire.Offer,
        link: Link,
        kind: ErrorKind,
        retry_after_seconds: float,
    ) -> None:
        self._refuse_pending_offer(
            _PendingOffer(offer, {offer.attempt: link}),
            kind,
            retry_after_seconds,
        )

    def _refuse_pending_offer(
        self, queued: _PendingOffer, kind: ErrorKind, retry_after_seconds: float
    ) -> None:
        self._attempts.refuse(queued.offer.attempt)
        self._metrics.count('refused', kind.value)
        self._log(queued.offer, 'refuse', why=kind.value)
        for subscriber_attempt, link in queued.links.items():
            self._send_not_run(
                link, subscriber_attempt, kind, retry_after_seconds
            )

    def _send_not_run(
        self,
        link: Link,
        subscriber_attempt: str,
        kind: ErrorKind,
        retry_after_seconds: float = 0,
    ) -> None:
        retry_ms = int(retry_after_seconds * _MS_PER_SECOND)
        link.send(
            wire.NotRun(subscriber_attempt, kind.value, retry_ms, self.load)
        )

    def _start(self, queued: _PendingOffer) -> None:
        offer = queued.offer
        job = self._make_job(offer)
        self._attempts.add(job)
        for subscriber_attempt, link in queued.links.items():
            link.send(
                wire.Admitted(subscriber_attempt, job.generation, self.load)
            )
            self._subscribers.add(job, subscriber_attempt, link)
        self._metrics.count('admitted')
        self._runner.start(job, self._service.model or offer.service)

    def _make_job(self, offer: wire.Offer) -> Job:
        if offer.method:
            return CallJob(offer)
        self._generation_count += 1
        incarnation = self._identity.incarnation
        return GenerationJob(offer, f'{incarnation}-{self._generation_count}')

    def _start_waiting(self) -> None:
        for request in self.admission.admit_waiting():
            queued = self._queued.pop(request.name)
            self._log(queued.offer, 'run', why='waited')
            self._start(queued)

    def _refuse_all_queued(self, kind: ErrorKind) -> None:
        for request in self.admission.drain():
            self._refuse_queued_attempt(request.name, kind)

    def _refuse_queued_attempt(self, attempt: str, kind: ErrorKind) -> None:
        queued = self._queued.pop(attempt)
        retry_after_seconds = max(
            _MIN_RETRY_SECONDS,
            self.admission.retry_seconds,
            self._backpressure.seconds_until_call(self._clock.monotonic()),
        )
        self._refuse_pending_offer(queued, kind, retry_after_seconds)

    def _withdraw_offer(self, attempt: str) -> None:
        self._queued.pop(attempt)
        self.admission.withdraw(attempt)
        self._attempts.refuse(attempt)

    def _apply_settings(self) -> None:
        self.admission.limit.update_targets(_make_targets(self._service))
        kind = self._find_refusal()
        if kind is not None:
            self._refuse_all_queued(kind)

    def _handle_fetch(self, fetch: wire.Fetch, link: Link) -> None:
        queued = self._queued.get(fetch.claimed_attempt)
        other_incarnation = fetch.incarnation != self._identity.incarnation
        never_seen = (
            self._attempts.find_state(fetch.claimed_attempt) is _NEVER_SEEN
        )
        if other_incarnation or not never_seen:
            self._lookup.fetch(fetch, link)
        elif queued and _is_same_organisation(queued.offer, fetch):
            queued.links[fetch.attempt] = link
        else:
            # Two entries use the same key: the one that lost the claim may
            # fetch here before the winner's offer arrives. An immediate
            # refusal would also refuse the winner's attempt needlessly.
            until = self._clock.monotonic() + _OFFER_GRACE_SECONDS
            self._pending_fetches.append(_PendingFetch(fetch, link, until))

    def _answer_expired_fetches(self) -> None:
        now = self._clock.monotonic()
        pending_fetches, self._pending_fetches = self._pending_fetches, []
        for pending in pending_fetches:
            if pending.until <= now:
                self._lookup.fetch(pending.fetch, pending.link)
            elif not pending.link.closed:
                self._pending_fetches.append(pending)

    def _answer_pending_fetches(self, attempt: str) -> None:
        pending_fetches, self._pending_fetches = self._pending_fetches, []
        for pending in pending_fetches:
            if pending.fetch.claimed_attempt == attempt:
                self._handle_fetch(pending.fetch, pending.link)
            else:
                self._pending_fetches.append(pending)

    def _handle_cancel(self, cancel: wire.Cancel, link: Link) -> None:
        queued = self._queued.get(cancel.attempt)
        if queued is not None and not queued.offer.key_digest:
            self._withdraw_offer(cancel.attempt)
            return
        subscriber = self._subscribers.find(cancel.attempt, link)
        if subscriber is None:
            return
        self._subscribers.remove(subscriber)
        job = subscriber.job
        # A claim refers to keyed work, so a retry must find its answer.
        needed = job.subscribers or job.keyed or job.ended_at is not None
        if cancel.at_once and not needed:
            self._runner.cancel(job)

    def _handle_job_end(self, job: Job) -> None:
        job.ended_at = self._clock.monotonic()
        job.load = self.load
        self._start_waiting()

    def _handle_not_run(self, job: Job, error: NotRunError) -> None:
        self._attempts.discard_not_run(job)
        for subscriber_attempt, subscriber in job.subscribers.items():
            self._send_not_run(
                subscriber.link,
                subscriber_attempt,
                error.kind,
                error.retry_seconds,
            )
        self._subscribers.remove_job(job)
        if isinstance(error, BackendPausedError):
            self._backpressure.heed(
                self._identity.name,
                AnswerNotice(error.retry_seconds),
                self._clock.monotonic(),
            )
            self._refuse_all_queued(ErrorKind.overloaded)
        self._start_waiting()

    def _make_admission_request(self, offer: wire.Offer) -> AdmissionRequest:
        seconds_left = offer.deadline_ms / _MS_PER_SECOND
        return AdmissionRequest(
            name=offer.attempt,
            organisation=_full_name(offer),
            share=self._store.share_of(offer.team, offer.organisation),
            kind='streamed' if offer.streamed else 'whole',
            template=digest_prompt_prefix(offer.prompt),
            prompt_tokens=estimate_tokens(offer.prompt),
            max_output_tokens=offer.max_tokens,
            max_queue_seconds=min(self._service.queue_seconds, seconds_left),
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


def _is_same_organisation(offer: wire.Offer, fetch: wire.Fetch) -> bool:
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
