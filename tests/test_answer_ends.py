"""Answers that end with their connection, at the entry."""

import asyncio
import unittest
from contextlib import asynccontextmanager
from dataclasses import replace
from unittest import mock

from primrosewood.answerends import AnswerEnds
from primrosewood.backendstate import Backend, BackendRecord, EngineState
from primrosewood.backpressure import AnswerNotice
from primrosewood.callprogress import CallProgress
from primrosewood.directcalls import AnswerFraming, BackendAttempt
from primrosewood.entrycount import EntryCount
from primrosewood.errors import ErrorKind, RequestFailedError
from primrosewood.moves import MoveNotices
from primrosewood.routes import EngineTraits, RouteKind
from primrosewood.sharedlimits import ColdLimit

from .test_relay import (
    _BOOT,
    ChunkedReply,
    ScriptedReply,
    _RelayTestCase,
    make_call,
    make_event,
    make_notice,
)
from .virtualtime import LoopClock, run_virtual

_PART = make_event(1) + make_event(2)
_WHOLE = _PART + make_event(3)
_AT_ONCE_SECONDS = 0.02
# Callers give up a stream that pauses for two seconds.
_LONGEST_WAIT_SECONDS = 2


class _ClosedStreamTestCase(_RelayTestCase):
    """Base of tests on a stream that is closed after two events of three."""

    def setUp(self):
        super().setUp()
        self.stops = []
        self.resumed_at = []
        self.transport.send = self.send

    def report(self, **fields):
        for backend in self.backends.list_service('s'):
            state = EngineState(total_tokens=30_000, **fields)
            backend.update_state(state, self.clock.monotonic())

    def announce_stop(self, backend_attempt):
        record = backend_attempt.backend.record
        self.stops.append(
            self.notices.announce_stop('ab12', record.address, _BOOT)
        )

    @asynccontextmanager
    async def send(self, _call, backend_attempt):
        if backend_attempt.resumption is not None:
            self.resumed_at.append(backend_attempt.backend.name)
            yield ChunkedReply(make_event(3))
            return
        reply = ScriptedReply()
        reply.parts = lambda: self.make_parts(backend_attempt)
        yield reply

    async def make_parts(self, backend_attempt):
        yield _PART
        self.end(backend_attempt)

    def end(self, backend_attempt):
        """Called as the connection is about to be closed."""

    async def answer_stream(self, **fields):
        call = self.make_call(RouteKind.streaming, **fields)
        async with asyncio.timeout(_LONGEST_WAIT_SECONDS):
            await self.relay.answer(call, self.sink)
        return self.sink.body

    async def find_stream_failure(self):
        with self.assertRaises(RequestFailedError) as caught:
            await self.answer_stream()
        return caught.exception.kind


class AnnouncedStopTest(_ClosedStreamTestCase):
    """The stop of a run was announced before its stream was closed."""

    def setUp(self):
        super().setUp()
        self.report()

    async def test_notice_follows(self):
        """Guards against a part that looks complete until its notice."""

        def end(backend_attempt):
            self.announce_stop(backend_attempt)
            notice = make_notice(backend_attempt, 'e2:80')
            asyncio.get_running_loop().call_later(
                0.2, self.notices.post, notice
            )

        self.end = end
        self.assertEqual(_WHOLE, await self.answer_stream())
        self.assertEqual([True], self.stops)

    async def test_no_notice_follows(self):
        """Guards against a part that looks complete as nobody knows more."""
        self.end = self.announce_stop
        kind = await self.find_stream_failure()
        self.assertEqual(ErrorKind.generation_lost, kind)
        self.assertEqual(_PART, self.sink.body)

    async def test_notice_of_an_earlier_order(self):
        """Guards against a copy that was made before the run went on."""

        def end(backend_attempt):
            self.notices.post(make_notice(backend_attempt, 'e3:80'))
            self.announce_stop(backend_attempt)
            self.notices.post(make_notice(backend_attempt, 'e2:80'))

        self.end = end
        self.assertEqual(_WHOLE, await self.answer_stream())
        called = [
            e.backend.name for e in self.backends.backends if e.open_calls
        ]
        self.assertEqual([], called)

    async def test_run_was_not_stopped(self):
        """Guards against whole streams that are broken off beside moves."""

        def end(backend_attempt):
            self.announce_stop(backend_attempt)
            notice = make_notice(backend_attempt, 'e2:80')
            self.notices.post(replace(notice, copy=None))

        self.end = end
        self.assertEqual(_PART, await self.answer_stream())

    async def test_last_chunk_is_an_end(self):
        """Guards against streams that wait though their end was marked."""

        async def make_parts(backend_attempt):
            yield _PART
            self.announce_stop(backend_attempt)

        @asynccontextmanager
        async def send(_call, backend_attempt):
            reply = ChunkedReply()
            reply.parts = lambda: make_parts(backend_attempt)
            yield reply

        self.transport.send = send
        with mock.patch('primrosewood.moves.wait_until_set') as waits:
            self.assertEqual(_PART, await self.answer_stream())
        waits.assert_not_called()

    async def test_stop_after_the_close_is_declined(self):
        """Guards against whole streams that are stopped after their end."""

        def end(backend_attempt):
            self.report(leaving=True)
            asyncio.get_running_loop().call_later(
                0.1, self.announce_stop, backend_attempt
            )

        self.end = end
        self.assertEqual(_PART, await self.answer_stream())
        self.assertEqual([False], self.stops)


_IDLE = EngineState(total_tokens=30_000)


class _Probe:
    """Looks for engines, which takes some seconds."""

    def __init__(self, seconds):
        self._seconds = seconds

    async def refuses_connections(self, _backend):
        await asyncio.sleep(self._seconds)
        return False


class _Engines:
    """Says that all services are engines whose runs may be moved."""

    def engine_traits(self, _service):
        return EngineTraits(8, 30_000, 4, True)


class WholeAtOnceTest(unittest.TestCase):
    """Whole answers beside no move, in virtual time."""

    def find_longest_wait(self, probe_seconds, framing, answers=500):
        """Return the most seconds by which an answer was held back."""
        return run_virtual(self._wait(_Probe(probe_seconds), framing, answers))

    async def _wait(self, probe, framing, answers, state=_IDLE):
        clock = LoopClock()
        ends = AnswerEnds(_Engines(), probe, clock)
        record = BackendRecord('e1', 's', 'e1:80', 'd1', 8, boot=_BOOT)
        backend = Backend(record, ColdLimit(EntryCount(1)))
        notices = MoveNotices()
        longest = 0
        backend.announces_stops = True
        for _ in range(answers):
            if state is not None:
                backend.update_state(state, clock.monotonic())
            progress = CallProgress(make_call(RouteKind.streaming, 0))
            progress.framing = framing
            with notices.follow('ab12', record) as awaited:
                began = clock.monotonic()
                await ends.require_whole(progress, backend, awaited)
                longest = max(longest, clock.monotonic() - began)
        return longest

    def test_closed_answers(self):
        """Guards against whole answers that wait for a move."""
        seconds = self.find_longest_wait(0.002, AnswerFraming.close)
        self.assertLessEqual(seconds, _AT_ONCE_SECONDS)

    def test_process_beside_the_engine_is_silent(self):
        """Guards against whole answers that wait as no reports come."""
        probe = _Probe(0.002)
        wait = self._wait(probe, AnswerFraming.close, 500, state=None)
        self.assertLessEqual(run_virtual(wait), _AT_ONCE_SECONDS)

    def test_engine_that_leaves(self):
        """Guards against whole answers that wait though no stop came."""
        leaving = EngineState(leaving=True, total_tokens=30_000)
        wait = self._wait(_Probe(0.002), AnswerFraming.close, 500, leaving)
        self.assertLessEqual(run_virtual(wait), _AT_ONCE_SECONDS)

    def test_engine_that_does_not_answer(self):
        """Guards against a look at the engine that holds up the answer."""
        seconds = self.find_longest_wait(60, AnswerFraming.close)
        self.assertLessEqual(seconds, _AT_ONCE_SECONDS)

    def test_answers_with_a_length(self):
        """Guards against looks at engines that answer whole."""
        seconds = self.find_longest_wait(60, AnswerFraming.length)
        self.assertEqual(0, seconds)


class OutdatedAnnouncementTest(_ClosedStreamTestCase):
    """Announced stops that are not carried out."""

    async def test_events_long_after_an_announcement(self):
        """Guards against whole streams broken off as a process was killed.

        It had announced the stop and not ordered it.
        """
        record = BackendRecord('e1', 's', 'e1:80', 'd1', 8, boot=_BOOT)
        with self.notices.follow('ab12', record) as awaited:
            self.notices.announce_stop('ab12', 'e1:80', _BOOT)
            awaited.record_event()
            self.assertTrue(awaited.stop_announced)
            with mock.patch('primrosewood.moves._LONGEST_STOP_SECONDS', -1):
                awaited.record_event()
            self.assertFalse(awaited.stop_announced)


class UnannouncedCloseTest(_ClosedStreamTestCase):
    """No stop was announced before the stream was closed."""

    async def test_notice_of_an_older_process(self):
        """Guards against moves of processes that announce no stops."""

        def end(backend_attempt):
            self.report(leaving=True)
            notice = make_notice(backend_attempt, 'e2:80')
            asyncio.get_running_loop().call_later(
                0.2, self.notices.post, notice
            )

        self.end = end
        self.assertEqual(_WHOLE, await self.answer_stream())

    async def test_process_of_the_engine_has_ended(self):
        """Guards against streams that the end of a process closes."""
        self.report()

        async def refuses_connections(_backend):
            return True

        self.transport.refuses_connections = refuses_connections
        kind = await self.find_stream_failure()
        self.assertEqual(ErrorKind.generation_lost, kind)


class WholeAnswerTest(_ClosedStreamTestCase):
    """Answers that are held until they are whole, from engines."""

    def setUp(self):
        super().setUp()
        self.report()
        self.call = self.make_call(RouteKind.non_idempotent)

    async def test_its_run_may_not_be_stopped(self):
        """Guards against answers that can go on nowhere."""
        self.end = self.announce_stop
        await self.relay.answer(self.call, self.sink)
        self.assertEqual([False], self.stops)
        self.assertEqual(_PART, self.sink.body)

    async def test_part_of_one_that_was_stopped(self):
        """Guards against a part that is passed on with its own length."""

        def end(backend_attempt):
            self.notices.post(make_notice(backend_attempt, 'e2:80'))

        self.end = end
        with self.assertRaises(RequestFailedError):
            await self.relay.answer(self.call, self.sink)
        self.assertEqual(b'', self.sink.body)

    async def test_part_of_one_that_an_older_process_stopped(self):
        """Guards against a part that gets a length of its own."""
        self.report()

        def end(backend_attempt):
            self.report(leaving=True)
            notice = make_notice(backend_attempt, 'e2:80')
            asyncio.get_running_loop().call_later(
                0.02, self.notices.post, notice
            )

        self.end = end
        call = self.make_call(RouteKind.non_idempotent)
        with self.assertRaises(RequestFailedError):
            await self.relay.answer(call, self.sink)


class TakeBackTest(_ClosedStreamTestCase):
    """Streams that go back to the engine that stopped them."""

    async def test_take_back_after_the_time_for_drained_engines(self):
        """Guards against a stream sent to an engine 2 s after it drained."""
        self.report()
        engine = self.backends.find('e1')
        began = self.clock.monotonic()
        # The record that states it was read just after one recheck; the next
        # one, a second later, notes it.
        self.backends.note_unusable(began)
        self.backends.apply_record(
            replace(engine.record, draining=True), began + 0.01
        )
        self.backends.note_unusable(began + 1.0)
        engine = self.backends.find('e1')
        attempt = BackendAttempt(engine)
        notice = make_notice(attempt, 'e1:80')
        progress = CallProgress(self.make_call(RouteKind.streaming))
        with mock.patch.object(
            self.placement, '_now', return_value=began + 2.1
        ):
            with self.assertRaises(RequestFailedError):
                await self.placement.find_resuming(
                    progress, notice.copy, at_source=True
                )

    async def test_record_changes_its_service_while_the_engine_rests(self):
        """Guards against a stream that goes on at an engine of another one."""
        engine = self.backends.find('e1')
        now = self.clock.monotonic()
        for _ in range(2):
            engine.backpressure.heed('e1', AnswerNotice(0.1), now)
            engine.backpressure.allow_exempt_call(now)
        notice = make_notice(BackendAttempt(engine), 'e1:80')
        progress = CallProgress(self.make_call(RouteKind.streaming))
        asyncio.get_running_loop().call_later(
            0.05,
            self.backends.apply_record,
            replace(engine.record, service='other'),
            now,
        )
        with self.assertRaises(RequestFailedError):
            await self.placement.find_resuming(progress, notice.copy)
