"""Runs admitted work at the back end, each attempt at most once."""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

from .admission import Admission
from .backends import (
    Engine,
    EngineCall,
    EngineToken,
    PlainCall,
    PlainService,
    StreamUnknownError,
)
from .clock import Clock
from .errors import BackendCutError, ErrorKind, NotRunError
from .jobs import CallJob, GenerationJob, Job
from .logs import log_event
from .metrics import Metrics
from .process import spawn

__all__ = ('JobRunner', 'RunnerEvents', 'count_tokens')

_CHARACTERS_PER_TOKEN = 4
_READER_PRIORITY = 10
_RESUME_TRIES = 5
_RESUME_PAUSE = 0.2


def count_tokens(text: str) -> int:
    """Estimate the tokens of a prompt; the engine counts its own."""
    return len(text) // _CHARACTERS_PER_TOKEN + 1


@dataclass(frozen=True, slots=True)
class RunnerEvents:
    """What the runner tells its owner.

    Attributes
    ----------
    ended
        Work ended, well or not; its answer is yet to be published.
    unrun
        The back end refused the work before it ran.
    """

    ended: Callable[[Job], None]
    unrun: Callable[[Job, NotRunError], None]


class JobRunner:
    """Drives the engine or plain service beside the endpoint."""

    def __init__(
        self,
        engine: Engine,
        plain_service: PlainService,
        admission: Admission,
        clock: Clock,
        metrics: Metrics,
        events: RunnerEvents,
    ) -> None:
        """Take the back end, whose behaviour feeds the admission."""
        self._engine = engine
        self._plain_service = plain_service
        self._admission = admission
        self._clock = clock
        self._metrics = metrics
        self._events = events

    def start(self, job: Job, model: str) -> None:
        """Run admitted work."""
        if isinstance(job, GenerationJob):
            job.task = spawn(self._run_generation(job, model), 'generation')
        else:
            job.task = spawn(self._run_call(job), 'call')

    def start_adopted(self, job: GenerationJob) -> None:
        """Follow a generation that an earlier run of the process started."""
        job.task = spawn(self._run_adopted(job), 'adopted job')

    def cancel(self, job: Job) -> None:
        """Stop a generation; a call cannot be taken back."""
        if isinstance(job, GenerationJob):
            spawn(self._engine.cancel(job.generation), 'cancel')

    async def _run_generation(self, job: GenerationJob, model: str) -> None:
        offer = job.offer
        job.prompt_tokens = count_tokens(offer.prompt)
        call = EngineCall(
            generation=job.generation,
            model=model,
            prompt=offer.prompt,
            max_tokens=offer.max_tokens,
            priority=_READER_PRIORITY if offer.streamed else 0,
            parameters=offer.body or b'{}',
        )
        try:
            await self._read_tokens(job, self._engine.generate(call))
        except NotRunError as error:
            self._end_unrun(job, error)
            return
        except (BackendCutError, StreamUnknownError):
            await self._carry_on(job)
        self._end_generation(job)

    async def _run_adopted(self, job: GenerationJob) -> None:
        await self._carry_on(job)
        self._end_generation(job)

    async def _carry_on(self, job: GenerationJob) -> None:
        # The connection to the engine broke. If the engine lives it still has
        # the stream, and the tokens go on where they stopped; a second
        # generation in its place would differ from the part already sent.
        for _ in range(_RESUME_TRIES):
            tokens = self._engine.resume(job.generation, len(job.tokens))
            try:
                await self._read_tokens(job, tokens)
            except StreamUnknownError:
                break
            except BackendCutError as error:
                log_event(
                    'engine_cut',
                    'WARNING',
                    generation=job.generation,
                    why=error,
                )
                await asyncio.sleep(_RESUME_PAUSE)
            else:
                return
        log_event(
            'generation_lost',
            'ERROR',
            generation=job.generation,
            tokens=len(job.tokens),
        )
        self._admission.limit.record_failure()
        job.tokens.fail(ErrorKind.generation_lost)

    async def _read_tokens(
        self, job: GenerationJob, tokens: AsyncIterator[EngineToken]
    ) -> None:
        timer = _TokenTimer(self._clock)
        async for token in tokens:
            self._take_token(job, token, timer)
        self._admission.limit.observe(
            timer.first_seconds, timer.between_seconds, self._admission.running
        )
        self._metrics.record('first_token', timer.first_seconds)
        self._metrics.record('between_tokens', timer.between_seconds)

    def _take_token(
        self, job: GenerationJob, token: EngineToken, timer: '_TokenTimer'
    ) -> None:
        if token.finish_reason:
            job.tokens.finish(token.finish_reason)
            return
        if job.tokens.append(token.index, token.piece):
            timer.note()
            produced = len(job.tokens)
            self._admission.record_tokens(job.offer.attempt, produced, added=1)
            job.publish()

    def _end_generation(self, job: GenerationJob) -> None:
        whole = job.tokens.failure is None
        self._admission.finish(job.offer.attempt, len(job.tokens), whole)
        self._metrics.count('tokens', amount=len(job.tokens))
        self._events.ended(job)
        job.publish()

    async def _run_call(self, job: CallJob) -> None:
        offer = job.offer
        call = PlainCall(
            attempt=offer.attempt,
            method=offer.method,
            path=offer.path,
            content_type=offer.content_type,
            body=offer.body,
        )
        started = self._clock.monotonic()
        try:
            answer = await self._plain_service.call(call)
        except NotRunError as error:
            self._end_unrun(job, error)
            return
        except BackendCutError:
            self._end_call(job)
            job.fail(ErrorKind.outcome_unknown)
            return
        elapsed = self._clock.monotonic() - started
        self._admission.limit.observe(elapsed, 0, self._admission.running)
        self._metrics.record('plain_call', elapsed)
        self._end_call(job)
        job.finish(answer)

    def _end_call(self, job: CallJob) -> None:
        self._admission.finish(job.offer.attempt, 0, whole=False)
        self._events.ended(job)

    def _end_unrun(self, job: Job, error: NotRunError) -> None:
        self._admission.finish(job.offer.attempt, 0, whole=False)
        self._admission.limit.record_failure()
        self._events.unrun(job, error)


class _TokenTimer:
    """Times of one generation's tokens."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started = clock.monotonic()
        self._first = self._started
        self._last = self._started
        self._largest = 0.0
        self._count = 0

    @property
    def first_seconds(self) -> float:
        return self._first - self._started

    @property
    def between_seconds(self) -> float:
        # Without the largest gap: one stall, as after a preemption, is not a
        # slow engine, and must not take the limit back to its start.
        usual = self._last - self._first - self._largest
        return usual / max(1, self._count - 2)

    def note(self) -> None:
        now = self._clock.monotonic()
        if self._count:
            self._largest = max(self._largest, now - self._last)
        else:
            self._first = now
        self._last = now
        self._count += 1
