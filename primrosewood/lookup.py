"""Work that entries ask for again: resumed streams and claimed attempts."""

from collections.abc import Callable

from . import gen_wire as wire
from .admission import Admission, AdmissionRequest
from .attempts import AttemptBook, Verdict
from .errors import ErrorKind
from .jobs import GenerationJob, Job
from .link import Link
from .subscribers import Listeners
from .logs import log_event
from .runner import JobRunner

__all__ = ('Lookup',)


class Lookup:
    """Finds work by its generation or by the attempt that claimed it."""

    def __init__(
        self,
        incarnation: str,
        attempts: AttemptBook,
        listeners: Listeners,
        admission: Admission,
        runner: JobRunner,
        read_load: Callable[[], wire.Load],
    ) -> None:
        """Take the work that can be asked for."""
        self._incarnation = incarnation
        self._attempts = attempts
        self._listeners = listeners
        self._admission = admission
        self._runner = runner
        self._read_load = read_load

    def resume(self, resume: wire.Resume, link: Link) -> None:
        """Let a connection listen to a generation from a token on."""
        job = self._attempts.find_generation(resume.generation)
        if job is None:
            job = self._adopt(resume)
        if job is None:
            self._fail(link, resume.attempt, ErrorKind.answer_expired)
            return
        self._listen(job, resume, link, resume.offset)

    def fetch(self, fetch: wire.Fetch, link: Link) -> None:
        """Tell what became of an attempt, or let a connection listen to it."""
        verdict = self._attempts.judge(fetch.claimed_attempt)
        if fetch.incarnation != self._incarnation:
            verdict = Verdict.forgotten
        match verdict:
            case Verdict.kept:
                job = self._attempts.find(fetch.claimed_attempt)
                self._listen(job, fetch, link, 0)
            case Verdict.ran:
                self._fail(link, fetch.attempt, ErrorKind.answer_expired)
            case Verdict.forgotten:
                self._fail(link, fetch.attempt, ErrorKind.outcome_unknown)
            case _:
                self._refuse_for_good(fetch, link)

    def _refuse_for_good(self, fetch: wire.Fetch, link: Link) -> None:
        # Its offer never came; should it come yet, it is refused. Only so may
        # the claim pass to another attempt.
        self._attempts.refuse(fetch.claimed_attempt)
        kind = ErrorKind.never_offered.value
        link.send(wire.NotRun(fetch.attempt, kind, 0, self._read_load()))

    def _adopt(self, resume: wire.Resume) -> GenerationJob | None:
        # A generation of an earlier run of this process: the engine may well
        # have outlived it and still hold the stream under the same name.
        incarnation = resume.generation.rpartition('-')[0]
        if incarnation == self._incarnation:
            return None
        job = GenerationJob(_offer_of(resume), resume.generation)
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
                patience=0,
                seconds_left=0,
            )
        )
        log_event('generation_adopted', generation=resume.generation)
        self._runner.start_adopted(job)
        return job

    def _listen(
        self, job: Job, asked: wire.Resume | wire.Fetch, link: Link, offset: int
    ) -> None:
        if job.organisation != asked.organisation:
            self._fail(link, asked.attempt, ErrorKind.forbidden)
            return
        admitted = wire.Admitted(
            asked.attempt, job.generation, self._read_load()
        )
        link.send(admitted)
        self._listeners.add(job, asked.attempt, link, offset)

    def _fail(self, link: Link, channel: str, kind: ErrorKind) -> None:
        link.send(wire.Failed(channel, kind.value, ''))


def _offer_of(resume: wire.Resume) -> wire.Offer:
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
