"""Dispatch of requests: from their arrival to the end of the answer."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager

from . import gen_wire as wire
from .attempt import Attempt
from .errors import (
    AttemptFailedError,
    DoubtError,
    ErrorKind,
    NotRunError,
    RequestFailedError,
)
from .placement import Placement
from .progress import EntryContext, Progress
from .recovery import Recovery
from .requests import (
    AnswerEvent,
    Ended,
    PlainResponse,
    Request,
    Restarted,
    Started,
    TokenChunk,
)
from .resume import ResumePoint, sign_stream
from .retries import RetryBudget
from .streams import StreamCursor

__all__ = ('Dispatcher',)

# The engine died, or the outcome of the attempt is unknown. A repeatable
# request is retried after these; any other failure is returned to the caller.
_RETRYABLE_FAILURES = frozenset(
    (ErrorKind.generation_lost, ErrorKind.outcome_unknown)
)


class Dispatcher:
    """Places each request at an endpoint and streams the answer back."""

    def __init__(self, context: EntryContext) -> None:
        """Start without retry budgets; each is created on first use."""
        self._context = context
        self._budgets: dict[tuple[str, str], RetryBudget] = {}

    async def answer(self, request: Request) -> AsyncIterator[AnswerEvent]:
        """Yield the events of a request's answer.

        Raises
        ------
        RequestFailedError
            The request failed, possibly after part of the answer.
        """
        budget = self._budget(request)
        budget.earn()
        run = _RequestRun(self._context, Progress(request, budget))
        with run.guard():
            async for event in run.events():
                yield event

    async def resume(
        self, request: Request, point: ResumePoint
    ) -> AsyncIterator[AnswerEvent]:
        """Yield the rest of a stream, which another entry may have started."""
        progress = Progress(request, self._budget(request), resumed=True)
        run = _RequestRun(self._context, progress)
        with run.guard():
            async for event in run.resumed_events(point):
                yield event

    def _budget(self, request: Request) -> RetryBudget:
        service_key = (request.organisation.team, request.service)
        service = self._context.store.find_service(*service_key)
        share = service.retry_budget if service else 0
        budget = self._budgets.setdefault(service_key, RetryBudget(share))
        budget.share = share
        return budget


class _RequestRun:
    """The handling of one request."""

    def __init__(self, context: EntryContext, progress: Progress) -> None:
        self._context = context
        self._progress = progress
        self._request = progress.request
        self._recovery = Recovery(context, progress)
        self._placement = Placement(context, progress, self._recovery)

    @contextmanager
    def guard(self) -> Iterator[None]:
        """Enforce the deadline, and end the attempt in every case."""
        timer = asyncio.get_running_loop().call_later(
            self._context.seconds_left(self._request), self._on_deadline
        )
        try:
            yield
        finally:
            timer.cancel()
            self._close_attempt()

    async def events(self) -> AsyncIterator[AnswerEvent]:
        while True:
            attempt = await self._placement.place()
            if attempt.generation:
                yield self._make_started_event(attempt)
            try:
                async for event in self._receive_events(attempt):
                    yield event
            except (DoubtError, NotRunError, AttemptFailedError) as error:
                self._retry_or_raise(attempt, error)
                yield Restarted()
            else:
                self._progress.complete = True
                return

    async def resumed_events(
        self, point: ResumePoint
    ) -> AsyncIterator[AnswerEvent]:
        view = self._context.fleet.views.get(point.endpoint)
        if view is None:
            raise RequestFailedError(
                ErrorKind.answer_expired, 'the endpoint of the stream is gone'
            )
        attempt = Attempt(self._request, self._context.links.open(view))
        attempt.generation = point.generation
        attempt.cursor = StreamCursor(point.offset)
        self._progress.current = attempt
        await self._recovery.reattach(attempt)
        yield self._make_started_event(attempt)
        async for event in self._receive_events(attempt):
            yield event
        self._progress.complete = True

    async def _receive_events(
        self, attempt: Attempt
    ) -> AsyncIterator[AnswerEvent]:
        while True:
            try:
                received = await attempt.receive()
            except DoubtError as error:
                await self._recovery.recover_answer(attempt, error)
                continue
            if isinstance(received, wire.Tokens):
                new_tokens = attempt.accept(received)
                if new_tokens:
                    yield TokenChunk(attempt.cursor.offset, new_tokens)
                    attempt.give_credit()
                continue
            attempt.give_credit()
            yield _to_final_event(attempt, received)
            return

    def _retry_or_raise(self, attempt: Attempt, error: Exception) -> None:
        if self._progress.has_partial_answer:
            # The caller has part of an answer, which must not be mixed with
            # the tokens of another generation.
            if isinstance(error, AttemptFailedError):
                raise error
            raise RequestFailedError(ErrorKind.generation_lost) from error
        is_failure = isinstance(error, AttemptFailedError)
        if is_failure and error.kind not in _RETRYABLE_FAILURES:
            raise error
        self._placement.retry_or_raise(attempt, error)

    def _make_started_event(self, attempt: Attempt) -> Started:
        organisation = self._request.organisation
        point = ResumePoint(
            endpoint=attempt.endpoint,
            generation=attempt.generation,
            team=organisation.team,
            organisation=organisation.name,
        )
        return Started(sign_stream(point, self._context.signing_key))

    def _on_deadline(self) -> None:
        self._progress.deadline_passed = True
        if self._progress.current is not None:
            self._progress.current.signal_deadline()

    def _close_attempt(self) -> None:
        progress = self._progress
        attempt = progress.current
        if attempt is None:
            return
        if progress.complete:
            attempt.close()
            return
        # A caller that disconnected may resume its stream through another
        # entry. An answer that cannot be resumed is stopped at once.
        attempt.cancel(
            at_once=progress.deadline_passed or not self._request.streamed
        )


def _to_final_event(attempt: Attempt, received) -> Ended | PlainResponse:
    match received:
        case wire.Finished(total=total) if total == attempt.cursor.offset:
            return Ended(total, received.finish_reason, received.prompt_tokens)
        case wire.Reply():
            return PlainResponse(
                received.status, received.content_type, received.body
            )
    # The endpoint violated the protocol. A partial answer must not be
    # returned as complete.
    raise RequestFailedError(ErrorKind.internal)
