"""Forwarding of direct calls at an entry, from arrival to complete answer."""

from contextlib import AbstractAsyncContextManager, nullcontext
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus

from .answerends import AnswerEnds
from .answermemory import AnswerMemory, HeldAnswer, require_stream_size
from .answertimes import AnswerTimes
from .backendstate import Backend
from .balancing import Reservation
from .callplacement import CallPlacement
from .callprogress import CallProgress
from .clock import Clock
from .directcalls import (
    AnswerHead,
    AnswerSink,
    BackendAttempt,
    BackendReply,
    DirectCall,
    Resumption,
    Transport,
)
from .errors import (
    BackendCutError,
    ErrorKind,
    NotRunError,
    RequestFailedError,
    WireError,
)
from .events import EventSplitter
from .loglines import PROCESS_STOPPED
from .logs import log_decision
from .metrics import Metrics
from .moves import AwaitedNotice, MoveNotices
from .timers import ConditionalTimeout, TimerGroup

__all__ = ('Relay', 'RelayDependencies')

# A repeatable call without an answer after this share of its objective is sent
# to another back end, which can still answer within the objective.  Nine in
# ten plain calls take less than a third of this time.
_ATTEMPT_SHARE = 0.6
# Engines answer by themselves when the deadline they were given passes.  Their
# answer says more than the entry's own error, so the entry waits a little
# longer.
_DEADLINE_GRACE_SECONDS = 0.1
_STATUS_OK = 200
# At this number of events, and whenever it has doubled, it is recorded how far
# an answer has come.
_FIRST_SURVIVAL_EVENTS = 10


@dataclass(frozen=True, slots=True)
class RelayDependencies:
    """Collaborators of `Relay`.

    Attributes
    ----------
    answers
        Memory for the answers that are held until they are whole.
    """

    placement: CallPlacement
    notices: MoveNotices
    transport: Transport
    clock: Clock
    metrics: Metrics
    answers: AnswerMemory = field(default_factory=AnswerMemory)


class Relay:
    """Forwards direct calls to back ends and their answers to the callers."""

    def __init__(self, dependencies: RelayDependencies) -> None:
        """Start without calls."""
        self._deps = dependencies
        self._placement = dependencies.placement
        self._timers = TimerGroup()
        self._answer_times = AnswerTimes(dependencies.clock)
        self._ends = AnswerEnds(
            dependencies.placement, dependencies.transport, dependencies.clock
        )

    async def answer(self, call: DirectCall, sink: AnswerSink) -> None:
        """Write a call's answer; it is complete when this returns.

        Raises
        ------
        RequestFailedError
            The call failed; part of the answer may have been written.
        """
        self._placement.record_arrival(call)
        progress = CallProgress(call)
        left = call.deadline - self._deps.clock.monotonic()
        try:
            async with self._timers.limit(left + _DEADLINE_GRACE_SECONDS):
                await self._answer(progress, sink)
        except TimeoutError as error:
            raise self._make_timeout_failure(progress) from error

    def stop(self) -> None:
        """End all calls in progress, as this process exits now.

        To a caller, a connection that just closes looks like a network
        failure.  A call whose answer has not begun gets an error instead, and
        the log shows how far each call had come.
        """
        self._timers.end()

    def estimate_answer_tokens(self, call: DirectCall) -> int:
        """Return the expected number of tokens in a call's answer."""
        return self._placement.estimate_answer_tokens(call)

    def find_longest_answer(self, call: DirectCall) -> float | None:
        """Return the longest recent answer time of calls like a plain one.

        Returns
        -------
            Seconds, None for streams and if there were no such calls.
        """
        return self._answer_times.find_longest(call)

    def _make_timeout_failure(
        self, progress: CallProgress
    ) -> RequestFailedError:
        if self._timers.ended:
            why = BackendCutError(PROCESS_STOPPED)
            return self._placement.make_failure(
                progress, ErrorKind.outcome_unknown, why
            )
        return self._placement.make_failure(
            progress, ErrorKind.deadline_exceeded
        )

    async def _answer(self, progress: CallProgress, sink: AnswerSink) -> None:
        if progress.call.route.streaming:
            await self._answer_stream(progress, sink)
        else:
            await self._answer_buffered(progress, sink)

    async def _answer_buffered(
        self, progress: CallProgress, sink: AnswerSink
    ) -> None:
        with self._deps.answers.open() as held:
            with self._answer_times.measure(progress.call):
                head, body = await self._fetch_from_any(progress, held)
            await sink.begin(head)
            await sink.write(body)

    async def _fetch_from_any(
        self, progress: CallProgress, held: HeldAnswer
    ) -> tuple[AnswerHead, bytes]:
        """Return a complete answer of one of the back ends."""
        while True:
            backend = self._placement.choose(progress)
            try:
                head, body = await self._fetch(progress, backend, held)
            except (NotRunError, BackendCutError) as error:
                self._placement.handle_failed_send(progress, backend, error)
                continue
            self._record_answer(progress, backend, head.status)
            return head, body

    async def _fetch(
        self, progress: CallProgress, backend: Backend, held: HeldAnswer
    ) -> tuple[AnswerHead, bytes]:
        """Return a complete answer, without writing any of it before.

        An answer that breaks off or is corrupted in transit can then be
        replaced by that of another back end, or by an error.
        """
        try:
            async with self._limit_attempt(progress, backend):
                return await self._fetch_once(progress, backend, held)
        except TimeoutError as error:
            raise BackendCutError('no answer in time') from error

    def _limit_attempt(
        self, progress: CallProgress, backend: Backend
    ) -> AbstractAsyncContextManager[None]:
        """Return a timeout for a send that another one may take the place of.

        It waits for another back end, which may register or come back only
        after this one was chosen, and for a retry to be left.  Without both,
        giving up would turn a late answer into a failure.
        """
        route = progress.call.route
        is_last_run = progress.possible_runs + 1 >= route.max_endpoints
        if is_last_run or not route.repeatable:
            return nullcontext()
        return ConditionalTimeout(
            route.objective * _ATTEMPT_SHARE,
            partial(self._placement.may_send_again, progress, backend),
        )

    async def _fetch_once(
        self, progress: CallProgress, backend: Backend, held: HeldAnswer
    ) -> tuple[AnswerHead, bytes]:
        backend_attempt = BackendAttempt(backend)
        with (
            self._placement.reserve(progress, backend_attempt) as reservation,
            self._deps.notices.follow(
                progress.call.name, backend.record, may_be_stopped=False
            ) as awaited,
        ):
            async with self._deps.transport.send(
                progress.call, backend_attempt
            ) as reply:
                progress.framing = reply.framing
                head, body = await held.read(reply)
                reservation.answer_bytes = len(body)
            await self._ends.require_whole(progress, backend, awaited)
            return head, body

    async def _answer_stream(
        self, progress: CallProgress, sink: AnswerSink
    ) -> None:
        await self._placement.wait_for_room(progress)
        backend_attempt: BackendAttempt | None = self._choose_attempt(progress)
        while backend_attempt is not None:
            with self._deps.notices.follow(
                progress.call.name, backend_attempt.backend.record
            ) as awaited:
                backend_attempt = await self._run_attempt(
                    progress, backend_attempt, sink, awaited
                )

    async def _run_attempt(
        self,
        progress: CallProgress,
        backend_attempt: BackendAttempt,
        sink: AnswerSink,
        awaited: AwaitedNotice,
    ) -> BackendAttempt | None:
        """Return the attempt that follows this one, None if it is complete."""
        try:
            await self._stream_attempt(progress, backend_attempt, sink, awaited)
        except NotRunError as error:
            return self._retry_refused(progress, backend_attempt, error)
        except (BackendCutError, WireError) as error:
            return await self._continue_stream(
                progress, backend_attempt, error, awaited
            )
        return None

    async def _stream_attempt(
        self,
        progress: CallProgress,
        backend_attempt: BackendAttempt,
        sink: AnswerSink,
        awaited: AwaitedNotice,
    ) -> None:
        call = progress.call
        progress.head_received = False
        with self._placement.reserve(progress, backend_attempt) as reservation:
            async with self._deps.transport.send(
                call, backend_attempt
            ) as reply:
                progress.framing = reply.framing
                progress.head_received = reply.status == _STATUS_OK
                backend = backend_attempt.backend
                if progress.head_received:
                    rest = await self._forward_events(
                        progress, reply, sink, reservation, awaited
                    )
                    await self._ends.require_whole(
                        progress, backend, awaited, rest
                    )
                else:
                    await self._forward_error(
                        progress, backend, reply, sink, awaited
                    )
                status = reply.status
        self._placement.observe_answer_length(progress)
        self._record_answer(progress, backend, status)

    async def _forward_events(
        self,
        progress: CallProgress,
        reply: BackendReply,
        sink: AnswerSink,
        reservation: Reservation,
        awaited: AwaitedNotice,
    ) -> bytes:
        """Return the bytes after the last event."""
        splitter = EventSplitter()
        async for part in reply.parts():
            reservation.answer_bytes += len(part)
            require_stream_size(progress.call, reservation.answer_bytes)
            events = splitter.feed(part)
            new_events = b''.join(filter(progress.order.accept, events))
            if not new_events:
                continue
            now = self._deps.clock.monotonic()
            awaited.record_event()
            reservation.record_event(now)
            progress.record_event(now)
            self._record_survival(progress)
            if not progress.answer_begun:
                progress.answer_begun = True
                await sink.begin(AnswerHead(reply.status, reply.headers))
            await sink.write(new_events)
        if not progress.answer_begun:
            raise BackendCutError('the stream ended before its first event')
        return splitter.rest

    async def _forward_error(
        self,
        progress: CallProgress,
        backend: Backend,
        reply: BackendReply,
        sink: AnswerSink,
        awaited: AwaitedNotice,
    ) -> None:
        if progress.answer_begun:
            # Part of the answer was sent, with the status of another response.
            if progress.call.route.resumable:
                raise BackendCutError(f'status {reply.status}')
            raise NotRunError(ErrorKind.generation_lost, str(reply.status))
        with self._deps.answers.open() as held:
            head, body = await held.read(reply)
            await self._ends.require_whole(progress, backend, awaited)
            await sink.begin(head)
            await sink.write(body)

    def _record_survival(self, progress: CallProgress) -> None:
        """Record that an answer has become much longer than before."""
        events = progress.order.last or 0
        if events >= max(_FIRST_SURVIVAL_EVENTS, 2 * progress.survived_events):
            progress.survived_events = events
            self._placement.evidence.record_survival(progress.call, events)

    def _choose_attempt(self, progress: CallProgress) -> BackendAttempt:
        backend = self._placement.choose(progress)
        return BackendAttempt(
            backend,
            after_event=progress.order.last,
            rank=self._placement.choose_rank(progress.call, backend),
        )

    def _retry_refused(
        self,
        progress: CallProgress,
        backend_attempt: BackendAttempt,
        error: NotRunError,
    ) -> BackendAttempt:
        if backend_attempt.resumption is not None:
            raise self._placement.make_failure(
                progress, ErrorKind.outcome_unknown, error
            ) from error
        self._placement.handle_failed_send(
            progress, backend_attempt.backend, error
        )
        return self._choose_attempt(progress)

    async def _continue_stream(
        self,
        progress: CallProgress,
        backend_attempt: BackendAttempt,
        error: Exception,
        awaited: AwaitedNotice,
    ) -> BackendAttempt:
        """Return the attempt that continues a stream that was cut."""
        notice = await self._ends.await_notice(
            progress, backend_attempt.backend, awaited
        )
        if notice is None or notice.copy is None:
            return self._restart_generation(progress, backend_attempt, error)
        progress.possible_runs = max(1, progress.possible_runs)
        last_event = progress.order.last
        log_decision(
            'resumed',
            request=progress.call.name,
            source=notice.source,
            endpoint=notice.copy.address,
            engine=notice.copy.target.name,
            boot=notice.copy.target.boot,
            last_event=last_event,
            silence=progress.silence(self._deps.clock.monotonic()),
            why=error,
        )
        self._deps.metrics.count('resumed')
        backend = await self._placement.find_resuming(
            progress,
            notice.copy,
            at_source=notice.copy.address == notice.source,
        )
        return BackendAttempt(
            backend,
            Resumption(notice.source, notice.copy.handle, last_event),
            rank=progress.call.priority,
        )

    def _restart_generation(
        self,
        progress: CallProgress,
        backend_attempt: BackendAttempt,
        error: Exception,
    ) -> BackendAttempt:
        """Return the attempt that replaces a lost generation by a new one.

        Raises
        ------
        RequestFailedError
            The route does not allow it, or no retry is left.
        """
        # Another engine might end as well.
        may_end_engines = progress.broke_off_at_begin
        if not progress.call.route.resumable or may_end_engines:
            progress.possible_runs = 1
            raise self._placement.make_failure(
                progress, ErrorKind.outcome_unknown, error
            ) from error
        cut_error = BackendCutError(str(error))
        self._placement.handle_failed_send(
            progress, backend_attempt.backend, cut_error
        )
        self._deps.metrics.count('begun_anew')
        return self._choose_attempt(progress)

    def _record_answer(
        self, progress: CallProgress, backend: Backend, status: int
    ) -> None:
        call = progress.call
        seconds = self._deps.clock.monotonic() - call.arrived
        self._placement.evidence.record_outcome(progress, backend, status)
        if status < HTTPStatus.INTERNAL_SERVER_ERROR:
            self._placement.evidence.record_survival(call)
        self._deps.metrics.count('calls', str(status))
        self._deps.metrics.record('call', seconds)
        log_decision(
            'answered',
            request=call.name,
            endpoint=backend.name,
            status=status,
            framing=progress.framing,
            sends=progress.sends,
            last_event=progress.order.last,
            first_event=progress.first_event,
            longest_pause=progress.longest_pause or None,
            pause_after=progress.pause_after,
            late=_find_lateness(progress, seconds) or None,
            seconds=seconds,
        )


def _find_lateness(progress: CallProgress, seconds: float) -> str:
    """Return which part of an answer was late, empty if none was."""
    route = progress.call.route
    first_event = progress.first_event
    if first_event is None:
        return 'whole answer' if _exceeds(seconds, route.objective) else ''
    if _exceeds(first_event, route.objective):
        return 'first event'
    paused = _exceeds(progress.longest_pause, route.longest_pause)
    return 'pause' if paused else ''


def _exceeds(seconds: float, bound: float) -> bool:
    """Return whether a time exceeds a bound, where 0 means no bound."""
    return bool(bound) and seconds > bound
