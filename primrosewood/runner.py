"""Runs admitted work at the back end, each attempt at most once."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing
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
from .errors import (
    BackendCutError,
    BackendPausedError,
    ErrorKind,
    NotRunError,
    WireError,
)
from .jobs import CallJob, GenerationJob, Job
from .logs import log_event
from .metrics import Metrics
from .process import spawn

__all__ = ('JobRunner', 'RunnerCallbacks', 'estimate_tokens')

_CHARACTERS_PER_TOKEN = 4
_STREAMED_PRIORITY = 10
_RESUME_ATTEMPTS = 5
_RESUME_DELAY_SECONDS = 0.2


def estimate_tokens(text: str) -> int:
    """Estimate the tokens of a prompt by its length.

    The engine counts the exact number with its own tokenizer.
    """
    return len(text) // _CHARACTERS_PER_TOKEN + 1


@dataclass(frozen=True, slots=True)
class RunnerCallbacks:
    """Callbacks of a `JobRunner`.

    Attributes
    ----------
    ended
        Called when work has ended, successfully or not, before its outcome
        is published.
    not_run
        Called when the back end refused the work before running it.
    """

    ended: Callable[[Job], None]
    not_run: Callable[[Job, NotRunError], None]


class JobRunner:
    """Runs jobs at the model engine or plain service of an endpoint."""

    def __init__(
        self,
        engine: Engine,
        plain_service: PlainService,
        admission: Admission,
        clock: Clock,
        metrics: Metrics,
        callbacks: RunnerCallbacks,
    ) -> None:
        """Prepare to run jobs.

        Latencies and failures of the back end adjust the limit of
        `admission`.
        """
        self._engine = engine
        self._plain_service = plain_service
        self._admission = admission
        self._clock = clock
        self._metrics = metrics
        self._callbacks = callbacks

    def start(self, job: Job, model: str) -> None:
        """Start running admitted work."""
        if isinstance(job, GenerationJob):
            job.task = spawn(self._run_generation(job, model), 'generation')
        else:
            job.task = spawn(self._run_call(job), 'call')

    def resume_adopted(self, job: GenerationJob) -> None:
        """Resume a generation that an earlier run of the process started."""
        job.task = spawn(self._run_adopted(job), 'adopted job')

    def cancel(self, job: Job) -> None:
        """Stop a generation; a plain call cannot be cancelled."""
        if isinstance(job, GenerationJob):
            # Engines end a cancelled stream as any other one.  Whoever resumes
            # it meanwhile must not take the part for the whole.
            job.tokens.fail(ErrorKind.cancelled)
            spawn(self._engine.cancel(job.generation), 'cancel')

    async def _run_generation(self, job: GenerationJob, model: str) -> None:
        offer = job.offer
        job.prompt_tokens = estimate_tokens(offer.prompt)
        call = EngineCall(
            generation=job.generation,
            model=model,
            prompt=offer.prompt,
            max_tokens=offer.max_tokens,
            priority=_STREAMED_PRIORITY if offer.streamed else 0,
            parameters=offer.body or b'{}',
        )
        try:
            await self._read_tokens(job, self._engine.generate(call))
        except NotRunError as error:
            self._end_not_run(job, error)
            return
        except (BackendCutError, StreamUnknownError):
            await self._resume_generation(job)
        self._end_generation(job)

    async def _run_adopted(self, job: GenerationJob) -> None:
        await self._resume_generation(job)
        self._end_generation(job)

    async def _resume_generation(self, job: GenerationJob) -> None:
        # The connection to the engine broke. A running engine still has the
        # stream, and it resumes at the next token; a second generation would
        # differ from the part that was sent already.
        for _ in range(_RESUME_ATTEMPTS):
            if job.tokens.ended:
                return
            tokens = self._engine.resume(job.generation, len(job.tokens))
            try:
                await self._read_tokens(job, tokens)
            except StreamUnknownError:
                break
            except BackendPausedError as error:
                await asyncio.sleep(error.retry_seconds)
            except BackendCutError as error:
                log_event(
                    'engine_cut',
                    'WARNING',
                    generation=job.generation,
                    why=error,
                )
                await asyncio.sleep(_RESUME_DELAY_SECONDS)
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
        async with aclosing(tokens):
            async for token in tokens:
                self._handle_token(job, token, timer)
        if not job.tokens.ended:
            raise BackendCutError('the stream ended without a reason')
        self._admission.limit.observe(
            timer.first_token_seconds,
            timer.mean_gap_seconds,
            self._admission.running,
        )
        self._metrics.record('first_token', timer.first_token_seconds)
        self._metrics.record('between_tokens', timer.mean_gap_seconds)

    def _handle_token(
        self, job: GenerationJob, token: EngineToken, timer: '_TokenTimer'
    ) -> None:
        if token.finish_reason:
            _require_all_before(job, token)
            job.tokens.finish(token.finish_reason)
            return
        if _append(job, token):
            timer.record_token()
            produced = len(job.tokens)
            self._admission.record_tokens(job.offer.attempt, produced, added=1)
            job.publish()

    def _end_generation(self, job: GenerationJob) -> None:
        whole = job.tokens.failure is None
        self._admission.finish(job.offer.attempt, len(job.tokens), whole)
        self._metrics.count('tokens', amount=len(job.tokens))
        self._callbacks.ended(job)
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
        started_at = self._clock.monotonic()
        try:
            answer = await self._plain_service.call(call)
        except NotRunError as error:
            self._end_not_run(job, error)
            return
        except BackendCutError:
            self._end_call(job)
            job.fail(ErrorKind.outcome_unknown)
            return
        elapsed = self._clock.monotonic() - started_at
        self._admission.limit.observe(elapsed, 0, self._admission.running)
        self._metrics.record('plain_call', elapsed)
        self._end_call(job)
        job.finish(answer)

    def _end_call(self, job: CallJob) -> None:
        self._admission.finish(job.offer.attempt, 0, whole=False)
        self._callbacks.ended(job)

    def _end_not_run(self, job: Job, error: NotRunError) -> None:
        self._admission.finish(job.offer.attempt, 0, whole=False)
        self._admission.limit.record_failure()
        self._callbacks.not_run(job, error)


def _require_all_before(job: GenerationJob, token: EngineToken) -> None:
    if token.index > len(job.tokens):
        raise BackendCutError(f'end {token.index} after {len(job.tokens)}')


def _append(job: GenerationJob, token: EngineToken) -> bool:
    try:
        return job.tokens.append(token.index, token.piece)
    except WireError as error:
        raise BackendCutError(str(error)) from error


class _TokenTimer:
    """Measures time to first token and gaps of one generation."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started_at = clock.monotonic()
        self._first_at = self._started_at
        self._last_at = self._started_at
        self._largest_gap = 0.0
        self._token_count = 0

    @property
    def first_token_seconds(self) -> float:
        return self._first_at - self._started_at

    @property
    def mean_gap_seconds(self) -> float:
        # Leaves out the largest gap: a single stall, as after a preemption,
        # does not mean a slow engine and must not reset the limit.
        gaps_total = self._last_at - self._first_at - self._largest_gap
        return gaps_total / max(1, self._token_count - 2)

    def record_token(self) -> None:
        now = self._clock.monotonic()
        if self._token_count:
            self._largest_gap = max(self._largest_gap, now - self._last_at)
        else:
            self._first_at = now
        self._last_at = now
        self._token_count += 1
