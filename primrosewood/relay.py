"""An entry's handling of direct calls, from arrival to whole answer."""

import asyncio
from dataclasses import dataclass

from .backendset import Backend
from .balancing import Reservation
from .callplacement import CallPlacement
from .callprogress import CallProgress
from .clock import Clock
from .directcalls import (
    AnswerHead,
    AnswerSink,
    BackendReply,
    DirectCall,
    BackendAttempt,
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
from .moves import MoveNotice, MoveNotices
from .timers import TimerGroup

__all__ = ('Relay', 'RelayDependencies')

# A repeatable call that has no answer after this share of its objective is
# sent to another back end, in time for an answer on time.  Nine in ten plain
# calls take under a third of it.
_FIRST_PATIENCE = 0.6
# Engines answer by themselves when the time they were given is over; that
# answer is the better one, so the entry's own comes a little later.
_DEADLINE_SLACK = 0.1
# The notice of a move follows the cut by 4 to 20 ms; an engine that leaves is
# told some time before.  A crash has no notice, and its caller should hear
# of it soon.
_NOTICE_SECONDS = 0.4
_LEAVING_NOTICE_SECONDS = 1.0
# Where another generation may take a stream's place, waiting longer costs more
# than reading its prompt again.
_SHORT_NOTICE_SECONDS = 0.1
_STATUS_OK = 200


@dataclass(frozen=True, slots=True)
class RelayDependencies:
    """What the relay works with."""

    placement: CallPlacement
    notices: MoveNotices
    transport: Transport
    clock: Clock
    metrics: Metrics


class Relay:
    """Brings each direct call to one back end and its answer back."""

    def __init__(self, tools: RelayDependencies) -> None:
        """Take the tools."""
        self._tools = tools
        self._placement = tools.placement
        self._timers = TimerGroup()

    async def answer(self, call: DirectCall, sink: AnswerSink) -> None:
        """Write a call's answer; it is whole when this returns.

        Raises
        ------
        RequestFailedError
            With the kind that ends the call, at any point.
        """
        self._placement.note_arrival(call)
        progress = CallProgress(call)
        left = call.deadline - self._tools.clock.monotonic()
        try:
            async with self._timers.limit(left + _DEADLINE_SLACK):
                await self._answer(progress, sink)
        except TimeoutError as error:
            raise self._end_in_time(progress) from error

    def stop(self) -> None:
        """End all calls in progress, as this process ends now.

        A connection that just closes looks to its caller like a broken
        network.  A call of which nothing was handed on ends in an error
        instead, and the line of each tells how far it had come.
        """
        self._timers.end()

    def estimate_answer_tokens(self, call: DirectCall) -> int:
        """Return the tokens that a call's answer is expected to have."""
        return self._placement.estimate_answer_tokens(call)

    def _end_in_time(self, progress: CallProgress) -> RequestFailedError:
        if self._timers.ended:
            why = BackendCutError(PROCESS_STOPPED)
            return self._placement.end(progress, ErrorKind.outcome_unknown, why)
        return self._placement.end(progress, ErrorKind.deadline_exceeded)

    async def _answer(self, progress: CallProgress, sink: AnswerSink) -> None:
        if progress.call.size is None:
            await self._answer_whole(progress, sink)
        else:
            await self._answer_stream(progress, sink)

    async def _answer_whole(
        self, progress: CallProgress, sink: AnswerSink
    ) -> None:
        while True:
            backend = self._placement.choose(progress)
            try:
                head, body = await self._fetch(progress, backend)
            except (NotRunError, BackendCutError) as error:
                self._placement.reconsider(progress, backend, error)
                continue
            self._note_answer(progress, backend, head.status)
            await sink.begin(head)
            await sink.write(body)
            return

    async def _fetch(
        self, progress: CallProgress, backend: Backend
    ) -> tuple[AnswerHead, bytes]:
        """Return a whole answer; nothing of it is handed on before.

        An answer that breaks off or is spoiled on the way can then be
        replaced by another one, or by an error.
        """
        try:
            async with asyncio.timeout(_patience(progress)):
                return await self._fetch_patiently(progress, backend)
        except TimeoutError as error:
            raise BackendCutError('no answer in time') from error

    async def _fetch_patiently(
        self, progress: CallProgress, backend: Backend
    ) -> tuple[AnswerHead, bytes]:
        backend_attempt = BackendAttempt(backend)
        with self._placement.book(progress, backend_attempt):
            async with self._tools.transport.send(
                progress.call, backend_attempt
            ) as reply:
                return await _read_whole(reply)

    async def _answer_stream(
        self, progress: CallProgress, sink: AnswerSink
    ) -> None:
        backend_attempt = self._begin(progress)
        while True:
            try:
                await self._follow(progress, backend_attempt, sink)
            except NotRunError as error:
                backend_attempt = self._send_again(
                    progress, backend_attempt, error
                )
            except (BackendCutError, WireError) as error:
                backend_attempt = await self._go_on(
                    progress, backend_attempt, error
                )
            else:
                return

    async def _follow(
        self,
        progress: CallProgress,
        backend_attempt: BackendAttempt,
        sink: AnswerSink,
    ) -> None:
        call = progress.call
        # A notice of an earlier move must not explain a later cut.
        self._tools.notices.forget(call.name)
        with self._placement.book(progress, backend_attempt) as reservation:
            async with self._tools.transport.send(
                call, backend_attempt
            ) as reply:
                if reply.status == _STATUS_OK:
                    await self._pass_on(progress, reply, sink, reservation)
                else:
                    await self._pass_failure(progress, reply, sink)
                status = reply.status
        self._placement.learn(progress)
        self._note_answer(progress, backend_attempt.backend, status)

    async def _pass_on(
        self,
        progress: CallProgress,
        reply: BackendReply,
        sink: AnswerSink,
        reservation: Reservation,
    ) -> None:
        splitter = EventSplitter()
        async for part in reply.parts():
            events = splitter.feed(part)
            fresh = b''.join(filter(progress.order.accept, events))
            if not fresh:
                continue
            now = self._tools.clock.monotonic()
            reservation.record_event(now)
            progress.record_event(now)
            if not progress.begun:
                progress.begun = True
                await sink.begin(AnswerHead(reply.status, reply.headers))
            await sink.write(fresh)
        if splitter.rest or not progress.begun:
            raise BackendCutError('the stream ended inside an event')

    async def _pass_failure(
        self, progress: CallProgress, reply: BackendReply, sink: AnswerSink
    ) -> None:
        if progress.begun:
            # Part of the answer is out under another status.
            if progress.call.route.resumable:
                raise BackendCutError(f'status {reply.status}')
            raise NotRunError(ErrorKind.generation_lost, str(reply.status))
        head, body = await _read_whole(reply)
        await sink.begin(head)
        await sink.write(body)

    def _begin(self, progress: CallProgress) -> BackendAttempt:
        backend = self._placement.choose(progress)
        return BackendAttempt(backend, after_event=progress.order.last)

    def _send_again(
        self,
        progress: CallProgress,
        backend_attempt: BackendAttempt,
        error: NotRunError,
    ) -> BackendAttempt:
        if backend_attempt.resumption is not None:
            raise self._placement.end(
                progress, ErrorKind.outcome_unknown, error
            ) from error
        self._placement.reconsider(progress, backend_attempt.backend, error)
        return self._begin(progress)

    async def _go_on(
        self,
        progress: CallProgress,
        backend_attempt: BackendAttempt,
        error: Exception,
    ) -> BackendAttempt:
        """Return where a stream that was cut goes on."""
        notice = await self._await_notice(progress, backend_attempt.backend)
        if notice is None or not notice.handle:
            return self._begin_anew(progress, backend_attempt, error)
        progress.ran = max(1, progress.ran)
        last_event = progress.order.last
        log_decision(
            'resumed',
            request=progress.call.name,
            source=notice.source,
            endpoint=notice.target,
            last_event=last_event,
            why=error,
        )
        self._tools.metrics.count('resumed')
        backend = self._placement.find_address(progress, notice.target)
        return BackendAttempt(
            backend,
            Resumption(notice.source, notice.handle, last_event),
        )

    def _begin_anew(
        self,
        progress: CallProgress,
        backend_attempt: BackendAttempt,
        error: Exception,
    ) -> BackendAttempt:
        """Return where another generation takes the place of one that is lost.

        Raises
        ------
        RequestFailedError
            The route does not allow it, or it was tried often enough.
        """
        if not progress.call.route.resumable:
            progress.ran = 1
            raise self._placement.end(
                progress, ErrorKind.outcome_unknown, error
            ) from error
        cut = BackendCutError(str(error))
        self._placement.reconsider(progress, backend_attempt.backend, cut)
        self._tools.metrics.count('begun_anew')
        return self._begin(progress)

    async def _await_notice(
        self, progress: CallProgress, backend: Backend
    ) -> MoveNotice | None:
        traits = self._placement.engine_traits(progress.call.service)
        if traits is None or not traits.moves:
            return None
        seconds = _NOTICE_SECONDS
        if progress.call.route.resumable:
            seconds = _SHORT_NOTICE_SECONDS
        elif backend.stopping:
            seconds = _LEAVING_NOTICE_SECONDS
        return await self._tools.notices.wait(progress.call.name, seconds)

    def _note_answer(
        self, progress: CallProgress, backend: Backend, status: int
    ) -> None:
        call = progress.call
        seconds = self._tools.clock.monotonic() - call.arrived
        self._tools.metrics.count('calls', str(status))
        self._tools.metrics.record('call', seconds)
        log_decision(
            'answered',
            request=call.name,
            endpoint=backend.name,
            status=status,
            sends=progress.sends,
            last_event=progress.order.last,
            first_event=progress.first_event,
            longest_pause=progress.longest_pause or None,
            late=_find_delay(progress, seconds) or None,
            seconds=seconds,
        )


def _find_delay(progress: CallProgress, seconds: float) -> str:
    """Return what made an answer late, empty when it is on time."""
    route = progress.call.route
    first = progress.first_event
    if first is None:
        return 'whole answer' if _is_over(seconds, route.objective) else ''
    if _is_over(first, route.objective):
        return 'first event'
    paused = _is_over(progress.longest_pause, route.longest_pause)
    return 'pause' if paused else ''


def _is_over(seconds: float, most: float) -> bool:
    """Tell whether a time passes a bound; none is 0."""
    return bool(most) and seconds > most


def _patience(progress: CallProgress) -> float | None:
    """Return how long a try may take, None until the deadline."""
    route = progress.call.route
    last = progress.ran + 1 >= route.max_endpoints
    # Giving up an answer that may still come pays only where another back end
    # can be asked.
    if last or not route.repeatable or not progress.others:
        return None
    return route.objective * _FIRST_PATIENCE


async def _read_whole(reply: BackendReply) -> tuple[AnswerHead, bytes]:
    body = b''.join([part async for part in reply.parts()])
    return AnswerHead(reply.status, reply.headers, len(body)), body
