"""An entry's handling of requests from arrival to whole answer."""

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
from .progress import Progress, EntryContext
from .recovery import Recovery
from .requests import (
    AnswerEvent,
    Ended,
    Pieces,
    Request,
    Restarted,
    Started,
    WholeReply,
)
from .resume import ResumePoint, sign_stream
from .retries import RetryBudget
from .streams import StreamCursor

__all__ = ('Dispatcher',)

# An engine that died, or a repeatable call without a known outcome, may be
# followed by another attempt; every other failure is the caller's answer.
_REPEATABLE_FAILURES = frozenset(
    (ErrorKind.generation_lost, ErrorKind.outcome_unknown)
)


class Dispatcher:
    """Brings each request to one endpoint and its whole answer back."""

    def __init__(self, tools: EntryContext) -> None:
        """Take the tools."""
        self._tools = tools
        self._budgets: dict[tuple[str, str], RetryBudget] = {}

    async def answer(self, request: Request) -> AsyncIterator[AnswerEvent]:
        """Yield the events of a request's answer.

        Raises
        ------
        RequestFailedError
            With the kind that ends the request, at any point.
        """
        budget = self._budget(request)
        budget.earn()
        run = _Run(self._tools, Progress(request, budget))
        with run.guard():
            async for event in run.events():
                yield event

    async def resume(
        self, request: Request, point: ResumePoint
    ) -> AsyncIterator[AnswerEvent]:
        """Yield the rest of a stream that another entry may have begun."""
        progress = Progress(request, self._budget(request), resumed=True)
        run = _Run(self._tools, progress)
        with run.guard():
            async for event in run.resumed_events(point):
                yield event

    def _budget(self, request: Request) -> RetryBudget:
        name = (request.organisation.team, request.service)
        service = self._tools.store.find_service(*name)
        share = service.retry_budget if service else 0
        budget = self._budgets.setdefault(name, RetryBudget(share))
        budget.share = share
        return budget


class _Run:
    """One request on its way through one entry."""

    def __init__(self, tools: EntryContext, progress: Progress) -> None:
        self._tools = tools
        self._progress = progress
        self._request = progress.request
        self._recovery = Recovery(tools, progress)
        self._placement = Placement(tools, progress, self._recovery)

    @contextmanager
    def guard(self) -> Iterator[None]:
        """Watch the deadline, and end the attempt whatever happens."""
        timer = asyncio.get_running_loop().call_later(
            self._tools.seconds_left(self._request), self._pass_deadline
        )
        try:
            yield
        finally:
            timer.cancel()
            self._close()

    async def events(self) -> AsyncIterator[AnswerEvent]:
        while True:
            attempt = await self._placement.place()
            if attempt.generation:
                yield self._started(attempt)
            try:
                async for event in self._follow(attempt):
                    yield event
            except (DoubtError, NotRunError, AttemptFailedError) as error:
                self._reconsider(attempt, error)
                yield Restarted()
            else:
                self._progress.complete = True
                return

    async def resumed_events(
        self, point: ResumePoint
    ) -> AsyncIterator[AnswerEvent]:
        view = self._tools.fleet.views.get(point.endpoint)
        if view is None:
            raise RequestFailedError(
                ErrorKind.answer_expired, 'the endpoint of the stream is gone'
            )
        attempt = Attempt(self._request, self._tools.links.open(view))
        attempt.generation = point.generation
        attempt.cursor = StreamCursor(point.offset)
        self._progress.current = attempt
        await self._recovery.reattach(attempt)
        yield self._started(attempt)
        async for event in self._follow(attempt):
            yield event
        self._progress.complete = True

    async def _follow(self, attempt: Attempt) -> AsyncIterator[AnswerEvent]:
        while True:
            try:
                received = await attempt.receive()
            except DoubtError as error:
                await self._recovery.return_to(attempt, error)
                continue
            if isinstance(received, wire.Tokens):
                fresh = attempt.accept(received)
                if fresh:
                    yield Pieces(attempt.cursor.offset, fresh)
                    attempt.give_credit()
                continue
            attempt.give_credit()
            yield _to_ending(attempt, received)
            return

    def _reconsider(self, attempt: Attempt, error: Exception) -> None:
        if self._progress.forwarded:
            # Part of an answer is out: another generation must not follow.
            if isinstance(error, AttemptFailedError):
                raise error
            raise RequestFailedError(ErrorKind.generation_lost) from error
        is_failure = isinstance(error, AttemptFailedError)
        if is_failure and error.kind not in _REPEATABLE_FAILURES:
            raise error
        self._placement.reconsider(attempt, error)

    def _started(self, attempt: Attempt) -> Started:
        organisation = self._request.organisation
        point = ResumePoint(
            endpoint=attempt.endpoint,
            generation=attempt.generation,
            team=organisation.team,
            organisation=organisation.name,
        )
        return Started(sign_stream(point, self._tools.signing_key))

    def _pass_deadline(self) -> None:
        self._progress.late = True
        if self._progress.current is not None:
            self._progress.current.pass_deadline()

    def _close(self) -> None:
        progress = self._progress
        attempt = progress.current
        if attempt is None:
            return
        if progress.complete:
            attempt.close()
            return
        # A reader that went away may come back by another entry; a whole
        # answer that nobody waits for is stopped at once.
        attempt.cancel(at_once=progress.late or not self._request.streamed)


def _to_ending(attempt: Attempt, received) -> Ended | WholeReply:
    match received:
        case wire.Finished(total=total) if total == attempt.cursor.offset:
            return Ended(total, received.finish_reason, received.prompt_tokens)
        case wire.Reply():
            return WholeReply(
                received.status, received.content_type, received.body
            )
    # A peer that breaks the protocol; a partial answer must not pass as whole.
    raise RequestFailedError(ErrorKind.internal)
