"""Finds work for entries that resume a stream or fetch a claimed attempt."""

from collections.abc import Callable

from . import gen_wire as wire
from .admission import Admission, AdmissionRequest
from .attempts import AttemptState, AttemptTracker
from .errors import ErrorKind
from .jobs import GenerationJob, Job
from .link import Link
from .logs import log_event
from .runner import JobRunner
from .subscribers import SubscriberRegistry

__all__ = ('JobLookup',)


class JobLookup:
    """Finds jobs by their generation or by the attempt that started them."""

    def __init__(
        self,
        incarnation: str,
        attempts: AttemptTracker,
        subscribers: SubscriberRegistry,
        admission: Admission,
        runner: JobRunner,
        read_load: Callable[[], wire.Load],
    ) -> None:
        """Prepare to answer resumes and fetches.

        Parameters
        ----------
        incarnation
            Identifier of this run of the process.
        attempts, subscribers
            Attempts known to this endpoint, and subscribers to their work.
        admission, runner
            Account for and run generations that are adopted from an earlier
            run of this process.
        read_load
            Returns the load that is reported to the entries.
        """
        self._incarnation = incarnation
        self._attempts = attempts
        self._subscribers = subscribers
        self._admission = admission
        self._runner = runner
        self._read_load = read_load

    def resume(self, resume: wire.Resume, link: Link) -> None:
        """Subscribe a connection to a generation from an offset on."""
        job = self._attempts.find_generation(resume.generation)
        if job is None:
            job = self._adopt(resume)
        if job is None:
            self._send_failure(link, resume.attempt, ErrorKind.answer_expired)
            return
        self._subscribe(job, resume, link, resume.offset)

    def fetch(self, fetch: wire.Fetch, link: Link) -> None:
        """Report the state of an attempt, or subscribe to its kept work."""
        state = self._attempts.find_state(fetch.claimed_attempt)
        if fetch.incarnation != self._incarnation:
            state = AttemptState.forgotten
        match state:
            case AttemptState.kept:
                job = self._attempts.find(fetch.claimed_attempt)
                self._subscribe(job, fetch, link, 0)
            case AttemptState.ran:
                self._send_failure(
                    link, fetch.attempt, ErrorKind.answer_expired
                )
            case AttemptState.forgotten:
                self._send_failure(
                    link, fetch.attempt, ErrorKind.outcome_unknown
                )
            case _:
                self._refuse_permanently(fetch, link)

    def _refuse_permanently(self, fetch: wire.Fetch, link: Link) -> None:
        # The offer has not arrived or was refused; if it arrives later, it is
        # refused. Without that guarantee the claim could not pass to another
        # attempt.
        self._attempts.refuse(fetch.claimed_attempt)
        kind = ErrorKind.never_offered.value
        link.send(wire.NotRun(fetch.attempt, kind, 0, self._read_load()))

    def _adopt(self, resume: wire.Resume) -> GenerationJob | None:
        # The generation belongs to an earlier run of this process. The engine
        # may have outlived that run and still hold the stream by its name.
        incarnation = resume.generation.rpartition('-')[0]
        if incarnation == self._incarnation:
            return None
        job = GenerationJob(_make_adopted_offer(resume), resume.generation)
        self._attempts.add(job)
        self._admission.adopt(
            AdmissionRequest(
                name=job.offer.attempt,
                organisation=resume.organisation,
                share=1,
                kind='streamed',
                template='',
                prompt_tokens=0,
                max_output_tokens=0,
                max_queue_seconds=0,
                seconds_left=0,
            )
        )
        log_event('generation_adopted', generation=resume.generation)
        self._runner.resume_adopted(job)
        return job

    def _subscribe(
        self,
        job: Job,
        request: wire.Resume | wire.Fetch,
        link: Link,
        offset: int,
    ) -> None:
        if job.organisation != request.organisation:
            self._send_failure(link, request.attempt, ErrorKind.forbidden)
            return
        admitted = wire.Admitted(
            request.attempt, job.generation, self._read_load()
        )
        link.send(admitted)
        self._subscribers.add(job, request.attempt, link, offset)

    def _send_failure(self, link: Link, attempt: str, kind: ErrorKind) -> None:
        link.send(wire.Failed(attempt, kind.value, ''))


def _make_adopted_offer(resume: wire.Resume) -> wire.Offer:
    team, _, organisation = resume.organisation.partition('/')
    return wire.Offer(
        request='',
        attempt=f'adopted-{resume.generation}',
        team=team,
        service='',
        organisation=organisation,
        deadline_ms=0,
        body=b'',
        streamed=True,
    )
