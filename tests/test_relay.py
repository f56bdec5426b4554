"""Relaying of direct calls, over a transport with scripted replies."""

import asyncio
import random
import unittest
from collections import deque
from contextlib import asynccontextmanager
from dataclasses import replace
from functools import partial
from unittest import mock

from primrosewood.backendset import BackendSet
from primrosewood.backendstate import (
    BackendIdentity,
    BackendRecord,
    EngineState,
)
from primrosewood.backpressure import AnswerNotice
from primrosewood.balancing import LeastCostBalancer
from primrosewood.callplacement import (
    CallPlacement,
    PlacementDependencies,
    RelayRules,
)
from primrosewood.clock import SystemClock
from primrosewood.directcalls import (
    AnswerFraming,
    DirectCall,
    GenerationSize,
)
from primrosewood.entrycount import EntryCount
from primrosewood.errors import (
    BackendCutError,
    ErrorKind,
    MisdirectedError,
    NotRunError,
    RequestFailedError,
    UnreachableError,
)
from primrosewood.metrics import Metrics
from primrosewood.moves import MovedCopy, MoveNotice, MoveNotices
from primrosewood.relay import Relay, RelayDependencies
from primrosewood.repeatbudget import RepeatRule
from primrosewood.routes import (
    EngineTraits,
    Route,
    RouteKind,
    RouteTable,
    ServiceTraits,
    TableHolder,
    Target,
)
from primrosewood.urgentroom import UrgentRoom

REFUSED = NotRunError(ErrorKind.overloaded)
UNREACHABLE = UnreachableError(ErrorKind.no_endpoint)
CUT = BackendCutError('cut')
HANG = 'hang'
_BOOT = 7


class ScriptedReply:
    """Reply with given parts; an exception among them breaks it off.

    It ends with its connection, which is closed without an error.
    """

    framing = AnswerFraming.close

    def __init__(self, *parts, status=200):
        self.status = status
        self.headers = (('X', 'y'),)
        self._parts = parts

    async def parts(self):
        for part in self._parts:
            if isinstance(part, Exception):
                raise part
            yield part


class ChunkedReply(ScriptedReply):
    """Reply whose last chunk marks its end."""

    framing = AnswerFraming.chunks


class ScriptedTransport:
    """Returns or raises the next scripted outcome for each send."""

    def __init__(self):
        self.script = deque()
        self.backend_attempts = []

    @asynccontextmanager
    async def send(self, call, backend_attempt):
        self.backend_attempts.append(backend_attempt)
        outcome = self.script.popleft()
        if isinstance(outcome, Exception):
            raise outcome
        if outcome is HANG:
            await asyncio.sleep(60)
        yield outcome

    async def refuses_connections(self, _backend):
        return False


class Sink:
    """Records the answer that the caller would receive."""

    def __init__(self):
        self.head = None
        self.body = b''

    async def begin(self, head):
        assert self.head is None
        self.head = head

    async def write(self, body):
        self.body += body


def make_event(number):
    return b'id: %d\ndata: x\n\n' % number


def make_notice(backend_attempt, target, service='s', name='', boot=_BOOT):
    """Return the notice that a stream was moved off its engine.

    The target has the name in its address, if no other name is given.
    """
    source = backend_attempt.backend.record
    name = name or target.partition(':')[0]
    identity = BackendIdentity(service, name, boot)
    copy = MovedCopy('h', identity, target)
    return MoveNotice('ab12', source.address, source.boot, copy)


def make_call(kind, now, seconds=5, **fields):
    """Return a call that arrives now, on a route of a kind."""
    route = Route('r', 'h', '/', kind, (Target('s'),), seconds, 0.2, **fields)
    return DirectCall(
        name='ab12',
        method='POST',
        target='/x',
        headers=(),
        body=b'',
        route=route,
        service='s',
        organisation='o',
        arrived=now,
        deadline=now + seconds,
        caller_deadline=now + seconds,
        size=GenerationSize(1000, 400) if route.streaming else None,
    )


class _RelayTestCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests on a relay with three back ends."""

    def setUp(self):
        self.clock = SystemClock()
        tables = TableHolder()
        traits = ServiceTraits('s', engine=EngineTraits(8, 30_000, 4, True))
        tables.replace_if_newer(RouteTable(1, (), {'s': traits}))
        entries = EntryCount(1)
        self.backends = BackendSet(entries)
        for name in ('e1', 'e2', 'e3'):
            record = BackendRecord(name, 's', f'{name}:80', 'd1', 8, boot=_BOOT)
            self.backends.apply_record(record, self.clock.monotonic())
        self.notices = MoveNotices()
        self.transport = ScriptedTransport()
        self.sink = Sink()
        self.tables = tables
        self.entries = entries
        self.make_relay()

    def make_relay(self, guard=None, urgent_room=None):
        self.placement = CallPlacement(
            PlacementDependencies(
                rules=RelayRules('d1'),
                tables=self.tables,
                backends=self.backends,
                entries=self.entries,
                guard=guard,
                urgent_room=urgent_room or UrgentRoom(),
                balancer=LeastCostBalancer(random.Random(1)),
                random=random.Random(1),
                clock=self.clock,
                metrics=Metrics(),
            )
        )
        self.relay = Relay(
            RelayDependencies(
                self.placement,
                self.notices,
                self.transport,
                self.clock,
                Metrics(),
            )
        )

    def make_call(self, kind, seconds=5, **fields):
        return make_call(kind, self.clock.monotonic(), seconds, **fields)

    async def answer(self, call, *script):
        self.transport.script.extend(script)
        await self.relay.answer(call, self.sink)

    async def find_failure(self, call, *script):
        with self.assertRaises(RequestFailedError) as caught:
            await self.answer(call, *script)
        return caught.exception.kind


class HeldBackTest(_RelayTestCase):
    """Streams that wait until engines have room beyond that for urgent ones."""

    def setUp(self):
        super().setUp()
        self.room = UrgentRoom(enabled=True)
        self.make_relay(urgent_room=self.room)
        self.call = replace(self.make_call(RouteKind.streaming), priority=1)
        # Objectives in tests are short; this one allows to wait for 3 s.
        route = replace(self.call.route, objective=2)
        self.call = replace(self.call, route=route)
        self.room.record_call(replace(self.call, priority=0))
        self.fill_engines(29_500)

    def fill_engines(self, used_tokens):
        for backend in self.backends.list_service('s'):
            state = EngineState(used_tokens=used_tokens, total_tokens=30_000)
            backend.update_state(state, self.clock.monotonic())

    async def start(self):
        """Let the call wait; return its task."""
        answering = asyncio.ensure_future(
            self.answer(self.call, ScriptedReply(make_event(1)))
        )
        await asyncio.sleep(0.15)
        self.assertFalse(self.transport.backend_attempts)
        return answering

    async def test_it_is_sent_once_there_is_room(self):
        answering = await self.start()
        self.fill_engines(1_000)
        await answering
        self.assertEqual(make_event(1), self.sink.body)
        self.assertEqual(1, self.transport.backend_attempts[0].rank)

    async def test_it_is_sent_as_the_process_stops(self):
        """Guards against calls that are held until the process has ended."""
        answering = await self.start()
        self.room.enabled = False
        await answering
        self.assertEqual(make_event(1), self.sink.body)

    async def test_it_is_not_sent_after_its_caller_has_left(self):
        """Guards against generations for callers that no longer wait."""
        answering = await self.start()
        answering.cancel()
        self.fill_engines(1_000)
        await asyncio.sleep(0.15)
        self.assertFalse(self.transport.backend_attempts)

    async def test_it_is_sent_without_reports(self):
        """Guards against calls that wait for processes that are gone."""
        answering = await self.start()
        for backend in self.backends.list_service('s'):
            backend.drop_stale_state(self.clock.monotonic() + 10)
        await answering
        self.assertEqual(make_event(1), self.sink.body)

    async def test_urgent_call_is_sent_at_once(self):
        self.call = replace(self.call, priority=0)
        await self.answer(self.call, ScriptedReply(make_event(1)))
        self.assertEqual(make_event(1), self.sink.body)


class WholeAnswerTest(_RelayTestCase):
    """Calls to plain services, whose answers are buffered."""

    async def test_first_answer(self):
        await self.answer(
            self.make_call(RouteKind.non_idempotent), ScriptedReply(b'a', b'b')
        )
        self.assertEqual(b'ab', self.sink.body)
        self.assertEqual(2, self.sink.head.length)

    async def test_back_end_that_registers_while_another_one_hangs(self):
        """Guards against a call that waits although another could run it."""
        now = self.clock.monotonic()
        # Past the time in which removals count as the work of an outage.
        self.backends.record_store_result(True, now - 60)
        for name in ('e2', 'e3'):
            self.backends.remove(name, now)
        record = BackendRecord('e4', 's', 'e4:80', 'd1', 8)
        asyncio.get_running_loop().call_later(
            0.3,
            lambda: self.backends.apply_record(record, self.clock.monotonic()),
        )
        await self.answer(
            self.make_call(RouteKind.idempotent, max_endpoints=2),
            HANG,
            ScriptedReply(b'a'),
        )
        self.assertEqual(b'a', self.sink.body)

    async def test_no_retry_is_used_where_no_back_end_is_left(self):
        """Guards against calls refused because retries went to nobody."""
        rules = RelayRules('d1', RepeatRule(ratio=0, slack=5, window=10))
        self.placement.update_rules(rules)
        for _ in range(2):
            call = self.make_call(RouteKind.non_idempotent)
            await self.find_failure(call, REFUSED, REFUSED, REFUSED)
        self.assertEqual(6, len(self.transport.backend_attempts))

    async def test_sends_that_never_arrived_are_no_retries(self):
        """Guards against calls refused because lost back ends used the budget.

        After a loss of power records still name back ends that are gone.
        """
        rules = RelayRules('d1', RepeatRule(ratio=0, slack=0, window=10))
        self.placement.update_rules(rules)
        await self.answer(
            self.make_call(RouteKind.non_idempotent),
            UNREACHABLE,
            UNREACHABLE,
            ScriptedReply(b'a'),
        )
        self.assertEqual(b'a', self.sink.body)
        kind = await self.find_failure(
            self.make_call(RouteKind.non_idempotent), UNREACHABLE, REFUSED
        )
        self.assertEqual(ErrorKind.overloaded, kind)

    async def test_refused_call_is_sent_to_another_back_end(self):
        await self.answer(
            self.make_call(RouteKind.non_idempotent),
            REFUSED,
            REFUSED,
            ScriptedReply(b'a'),
        )
        names = {
            backend_attempt.backend.name
            for backend_attempt in self.transport.backend_attempts
        }
        self.assertEqual({'e1', 'e2', 'e3'}, names)

    async def test_non_idempotent_call_with_unknown_outcome_is_not_retried(
        self,
    ):
        """The connection breaks after a non-idempotent call was sent.

        The call may have run: a retry could run it twice, and an error that
        claims that it did not run would make the caller retry it.
        """
        call = self.make_call(RouteKind.non_idempotent, max_endpoints=3)
        kind = await self.find_failure(call, CUT, ScriptedReply(b'a'))
        self.assertEqual(ErrorKind.outcome_unknown, kind)
        self.assertEqual(1, len(self.transport.backend_attempts))

    async def test_back_end_that_hangs_is_set_aside(self):
        """A back end accepts calls and never answers some of them.

        It reports good health and resets no connection.  Guards against
        sending it further calls, each of which waits for the route's timeout.
        """
        call = self.make_call(RouteKind.non_idempotent, seconds=1)
        kind = await self.find_failure(call, HANG)
        self.assertEqual(ErrorKind.deadline_exceeded, kind)
        now = self.clock.monotonic()
        hanging = self.transport.backend_attempts[0].backend
        self.assertGreater(hanging.suspect_until, now)
        for _ in range(10):
            self.sink = Sink()
            await self.answer(
                self.make_call(RouteKind.non_idempotent), ScriptedReply(b'a')
            )
        names = [
            backend_attempt.backend.name
            for backend_attempt in self.transport.backend_attempts[1:]
        ]
        self.assertNotIn(hanging.name, names)

    async def test_early_cancellation_does_not_count_as_failure(self):
        """A caller that disconnects early does not make a back end suspect."""
        call = self.make_call(RouteKind.non_idempotent)
        calling = asyncio.create_task(self.answer(call, HANG))
        await asyncio.sleep(0.1)
        calling.cancel()
        await asyncio.wait([calling])
        self.assertEqual(
            0, self.transport.backend_attempts[0].backend.failure_rate
        )

    async def test_address_where_another_back_end_answers(self):
        """Another engine answers at the address of an old record.

        The call is sent to another back end, and later calls avoid the old
        address.
        """
        for _ in range(3):
            self.sink = Sink()
            elsewhere = MisdirectedError(ErrorKind.overloaded)
            script = [] if self.transport.backend_attempts else [elsewhere]
            await self.answer(
                self.make_call(RouteKind.non_idempotent),
                *script,
                ScriptedReply(b'a'),
            )
        names = [
            backend_attempt.backend.name
            for backend_attempt in self.transport.backend_attempts
        ]
        self.assertNotIn(names[0], names[1:])
        self.assertEqual(2, len(self.backends.usable('s')))

    async def test_refused_after_a_send_with_unknown_outcome(self):
        """The answer breaks off at one back end, and the others refuse.

        The call may have run, so the error must not claim that it did not.
        """
        call = self.make_call(RouteKind.idempotent, max_endpoints=2)
        kind = await self.find_failure(call, CUT, REFUSED, REFUSED)
        self.assertEqual(ErrorKind.outcome_unknown, kind)

    async def test_idempotent_call_runs_at_no_more_endpoints_than_allowed(
        self,
    ):
        call = self.make_call(RouteKind.idempotent, max_endpoints=2)
        kind = await self.find_failure(call, CUT, CUT, ScriptedReply(b'a'))
        self.assertEqual(ErrorKind.outcome_unknown, kind)
        self.assertEqual(2, len(self.transport.backend_attempts))

    async def test_partial_answer_is_replaced_by_a_complete_one(self):
        call = self.make_call(RouteKind.idempotent, max_endpoints=2)
        await self.answer(call, ScriptedReply(b'ha', CUT), ScriptedReply(b'w'))
        self.assertEqual(b'w', self.sink.body)

    async def test_slow_answer_without_an_alternative(self):
        """A call takes longer than usual and no other back end is left.

        Abandoning it would turn a late answer into a failure.
        """
        for name in ('e1', 'e2'):
            self.backends.find(name).leaving = True
        await self.assert_late_answer()

    async def test_slow_answer_without_a_retry_left(self):
        """Guards against a late answer that is given up for a failure."""
        rules = RelayRules('d1', RepeatRule(ratio=0, slack=0, window=10))
        self.placement.update_rules(rules)
        await self.assert_late_answer()

    async def assert_late_answer(self):
        reply = ScriptedReply()

        async def answer_late():
            await asyncio.sleep(0.3)
            yield b'late'

        reply.parts = answer_late
        call = self.make_call(RouteKind.idempotent, max_endpoints=2)
        await self.answer(call, reply)
        self.assertEqual(b'late', self.sink.body)

    async def test_no_back_end_is_available(self):
        for name in ('e1', 'e2', 'e3'):
            self.backends.find(name).leaving = True
        kind = await self.find_failure(self.make_call(RouteKind.idempotent))
        self.assertEqual(ErrorKind.no_endpoint, kind)
        self.assertEqual([], self.transport.backend_attempts)

    async def test_all_have_got_what_they_take(self):
        """All back ends are at their rate limits.

        The call fails at once, and its Retry-After is the time until the first
        back end accepts a call.
        """
        now = self.clock.monotonic()
        for rate, backend in zip(
            (0.5, 0.25, 0.2), self.backends.backends, strict=True
        ):
            backend.call_limit.update(rate, now, now)
        call = self.make_call(RouteKind.non_idempotent)
        with self.assertRaises(RequestFailedError) as caught:
            await self.answer(call)
        self.assertEqual(ErrorKind.overloaded, caught.exception.kind)
        self.assertAlmostEqual(2.25, caught.exception.retry_seconds, delta=0.3)
        self.assertEqual([], self.transport.backend_attempts)


class PausedBackendTest(_RelayTestCase):
    """Calls while back ends have asked for a pause or said they leave."""

    def pause(self, seconds, *names):
        for name in names:
            self.backends.find(name).backpressure.heed(
                name,
                AnswerNotice(pause_seconds=seconds),
                self.clock.monotonic(),
            )

    def list_called(self):
        return [
            backend_attempt.backend.name
            for backend_attempt in self.transport.backend_attempts
        ]

    async def test_first_sends_and_repeats_pass_by_a_paused_back_end(self):
        """Guards against repeats that do not keep to a pause."""
        self.pause(5, 'e2')
        for _ in range(20):
            self.sink = Sink()
            await self.answer(
                self.make_call(RouteKind.idempotent),
                REFUSED,
                ScriptedReply(b'a'),
            )
        self.assertNotIn('e2', self.list_called())

    async def test_all_are_paused(self):
        """Guards against a refusal with a time at which all still rest."""
        self.pause(3, 'e1', 'e2')
        self.pause(2, 'e3')
        with self.assertRaises(RequestFailedError) as caught:
            await self.answer(self.make_call(RouteKind.non_idempotent))
        self.assertEqual(ErrorKind.overloaded, caught.exception.kind)
        self.assertGreaterEqual(caught.exception.retry_seconds, 1.9)
        self.assertLess(caught.exception.retry_seconds, 2.6)
        self.assertEqual([], self.list_called())

    async def check_last_refusal(self):
        """The one back end that is not paused refuses and asks for 2 s."""
        self.pause(3, 'e1', 'e2')

        @asynccontextmanager
        async def send(_call, _backend_attempt):
            self.pause(2, 'e3')
            raise REFUSED
            yield

        self.transport.send = send
        with self.assertRaises(RequestFailedError) as caught:
            await self.answer(self.make_call(RouteKind.non_idempotent))
        self.assertGreaterEqual(caught.exception.retry_seconds, 1.9)

    async def test_refusal_that_pauses_the_last_back_end(self):
        """Guards against the default time where the refusal states one."""
        await self.check_last_refusal()

    async def test_no_repeat_is_left_while_all_are_paused(self):
        """Guards against the default time after the last repeat."""
        with mock.patch('primrosewood.callplacement._MAX_SENDS', 1):
            await self.check_last_refusal()

    async def resume_at(self, target, seconds=5):
        """Answer a stream that is moved; return its seconds."""
        call = self.make_call(RouteKind.streaming, seconds)
        attempts = self.transport.backend_attempts

        @asynccontextmanager
        async def send(call, backend_attempt):
            attempts.append(backend_attempt)
            if backend_attempt.resumption is None:
                self.notices.post(make_notice(backend_attempt, target))
                yield ScriptedReply(make_event(1), CUT)
            else:
                yield ChunkedReply(make_event(2))

        self.transport.send = send
        self.sink = Sink()
        since = self.clock.monotonic()
        await self.relay.answer(call, self.sink)
        self.assertEqual(make_event(1) + make_event(2), self.sink.body)
        return self.clock.monotonic() - since

    async def test_resumptions_keep_to_the_retry_limit(self):
        """Guards against moved streams that are sent on beyond the limit."""
        rules = RelayRules('d1', RepeatRule(ratio=0, slack=5, window=10))
        self.placement.update_rules(rules)
        kinds = []
        for _ in range(8):
            try:
                await self.resume_at('e2:80')
            except RequestFailedError as error:
                kinds.append(error.kind)
        resumptions = [
            each
            for each in self.transport.backend_attempts
            if each.resumption is not None
        ]
        self.assertLessEqual(len(resumptions), 5)
        self.assertEqual({ErrorKind.generation_lost}, set(kinds))

    async def test_resumption_of_a_call_that_ends_back_ends(self):
        """Guards against a moved stream that ends one engine after another."""
        guard = mock.Mock()
        guard.refuse_for.side_effect = [None, 60.0]
        self.make_relay(guard)
        with self.assertRaises(RequestFailedError) as caught:
            await self.resume_at('e2:80')
        self.assertEqual(ErrorKind.generation_lost, caught.exception.kind)
        self.assertEqual(1, len(self.transport.backend_attempts))

    async def test_resumptions_wait_for_the_end_of_a_pause(self):
        """Guards against streams that are moved to a paused engine at once.

        One goes on, as its caller waits for the next event and no other engine
        has the copy; the second one waits.
        """
        self.pause(0.6, 'e2')
        self.assertLess(await self.resume_at('e2:80'), 0.3)
        self.assertGreater(await self.resume_at('e2:80'), 0.3)

    async def test_resumption_that_cannot_wait_fails_at_once(self):
        self.pause(30, 'e2')
        await self.resume_at('e2:80')
        since = self.clock.monotonic()
        with self.assertRaises(RequestFailedError):
            await self.resume_at('e2:80')
        self.assertLess(self.clock.monotonic() - since, 0.3)

    async def test_resumption_at_an_engine_that_left_before_the_call(self):
        """Guards against late calls to an engine bound to its address."""
        target = self.backends.find('e2')
        target.backpressure.heed('e2', AnswerNotice(leaving=True), 0)
        with self.assertRaises(RequestFailedError):
            await self.resume_at('e2:80')
        self.assertNotIn('e2', self.list_called())

    async def test_resumption_at_an_engine_that_leaves_since_the_call(self):
        target = self.backends.find('e2')
        target.backpressure.heed(
            'e2', AnswerNotice(leaving=True), self.clock.monotonic() + 1
        )
        await self.resume_at('e2:80')
        self.assertEqual('e2', self.list_called()[-1])


class StreamTest(_RelayTestCase):
    """Streams, and their recovery when engines leave or fail."""

    async def test_only_complete_events_are_forwarded(self):
        await self.answer(
            self.make_call(RouteKind.streaming),
            ScriptedReply(make_event(1)[:5], make_event(1)[5:] + make_event(2)),
        )
        self.assertEqual(make_event(1) + make_event(2), self.sink.body)
        self.assertIsNone(self.sink.head.length)

    async def test_stream_of_a_caller_who_declares_no_size(self):
        """Guards against events that are held back until the stream ends."""
        call = replace(self.make_call(RouteKind.streaming), size=None)
        kind = await self.find_failure(call, ScriptedReply(make_event(1), CUT))
        self.assertEqual(ErrorKind.generation_lost, kind)
        self.assertEqual(make_event(1), self.sink.body)

    async def test_moved_stream_is_resumed(self):
        """An engine leaves in the middle of a stream.

        The generation was copied to another engine, which sends the last event
        again and continues.  The caller gets each event once.
        """
        call = self.make_call(RouteKind.streaming)
        self.transport.script.extend(
            (
                ScriptedReply(make_event(1), make_event(2) + b'id: 3', CUT),
                ChunkedReply(make_event(2), make_event(3)),
            )
        )
        original_send = self.transport.send

        @asynccontextmanager
        async def send(call, backend_attempt):
            async with original_send(call, backend_attempt) as reply:
                self.notices.post(make_notice(backend_attempt, 'e2:80'))
                yield reply

        self.transport.send = send
        await self.relay.answer(call, self.sink)
        events = b''.join(map(make_event, (1, 2, 3)))
        self.assertEqual(events, self.sink.body)
        resumption = self.transport.backend_attempts[1].resumption
        self.assertEqual('e2', self.transport.backend_attempts[1].backend.name)
        self.assertEqual(2, resumption.last_event)
        self.assertEqual('h', resumption.handle)

    async def test_notice_before_the_generation_runs_on(self):
        """Guards against "not moved" after one failed reading of an engine.

        The generation is moved later, and its notice follows the end of the
        stream.
        """

        @asynccontextmanager
        async def send(_call, backend_attempt):
            self.transport.backend_attempts.append(backend_attempt)
            yield self.make_moved_reply(backend_attempt)

        self.transport.send = send
        await self.relay.answer(self.make_call(RouteKind.streaming), self.sink)
        events = b''.join(map(make_event, (1, 2, 3)))
        self.assertEqual(events, self.sink.body)

    def make_moved_reply(self, backend_attempt):
        """Return a reply that is told "not moved" and moved later."""
        notice = make_notice(backend_attempt, 'e2:80')
        reply = ScriptedReply()

        async def parts():
            yield make_event(1)
            self.notices.post(replace(notice, copy=None))
            yield make_event(2)
            loop = asyncio.get_running_loop()
            loop.call_later(0.02, self.notices.post, notice)
            raise CUT

        if backend_attempt.resumption is None:
            reply.parts = parts
            return reply
        return ScriptedReply(make_event(2), make_event(3))

    async def test_lost_stream_is_not_regenerated_by_default(self):
        """An engine crashes in the middle of a stream.

        Unless the route is resumable, one answer must not mix two generations.
        """
        call = self.make_call(RouteKind.streaming)
        kind = await self.find_failure(
            call, ScriptedReply(make_event(1), CUT), ScriptedReply()
        )
        self.assertEqual(ErrorKind.generation_lost, kind)
        self.assertEqual(1, len(self.transport.backend_attempts))

    async def test_missing_events_fail_the_stream(self):
        call = self.make_call(RouteKind.streaming)
        kind = await self.find_failure(
            call, ScriptedReply(make_event(1), make_event(3))
        )
        self.assertEqual(ErrorKind.generation_lost, kind)
        self.assertEqual(make_event(1), self.sink.body)

    async def fail_resumption(self, make_notice):
        """Answer a moved stream; return how often it was resumed."""

        @asynccontextmanager
        async def send(_call, backend_attempt):
            self.transport.backend_attempts.append(backend_attempt)
            self.notices.post(make_notice(backend_attempt))
            yield ScriptedReply(make_event(1), CUT)

        self.transport.send = send
        kind = await self.find_failure(self.make_call(RouteKind.streaming))
        self.assertEqual(ErrorKind.generation_lost, kind)
        attempts = self.transport.backend_attempts
        return sum(each.resumption is not None for each in attempts)

    async def test_engine_that_takes_no_calls_any_more(self):
        """Guards against a stream sent long after its target began to leave."""
        target = self.backends.find('e2')
        now = self.clock.monotonic()
        for seconds, resumed in ((1.5, 0), (0.1, 1)):
            target.unusable_since = now - seconds
            self.transport.backend_attempts.clear()
            self.sink = Sink()
            notice = partial(make_notice, target='e2:80')
            found = await self.fail_resumption(notice)
            self.assertEqual(resumed, min(1, found))

    async def test_address_that_another_service_has_taken(self):
        """Guards against a stream that a back end of another service runs."""
        registry = BackendRecord('r1', 'registry', 'e4:80', 'd1', 8, boot=9)
        self.backends.apply_record(registry, self.clock.monotonic())
        for identity in (
            {'name': 'e4'},
            {'name': 'r1', 'boot': 9},
            {'name': 'r1', 'boot': 9, 'service': 'registry'},
        ):
            resumed = await self.fail_resumption(
                partial(make_notice, target='e4:80', **identity)
            )
            self.assertEqual(0, resumed)
            self.sink = Sink()

    async def test_address_that_another_engine_has_taken(self):
        """Guards against an engine that does not hold the copy."""
        resumed = await self.fail_resumption(
            partial(make_notice, target='e2:80', name='e-gone')
        )
        self.assertEqual(0, resumed)

    async def test_engine_that_was_started_again(self):
        """Guards against a process of the same name that has no copies."""
        resumed = await self.fail_resumption(
            partial(make_notice, target='e2:80', boot=_BOOT - 1)
        )
        self.assertEqual(0, resumed)

    async def test_notice_of_an_earlier_engine(self):
        """Guards against a late notice that is taken for that of this break."""
        resumed = await self.fail_resumption(
            lambda attempt: replace(
                make_notice(attempt, 'e2:80'), source='e9:80'
            )
        )
        self.assertEqual(0, resumed)

    async def test_log_names_the_engine_that_resumes(self):
        """Guards against a resumption that `explain` cannot tie to its move."""
        with mock.patch('primrosewood.relay.log_decision') as log:
            await self.fail_resumption(partial(make_notice, target='e2:80'))
        fields = next(
            each.kwargs
            for each in log.call_args_list
            if each.args[0] == 'resumed'
        )
        self.assertEqual(
            ('e2:80', 'e2', _BOOT),
            (fields['endpoint'], fields['engine'], fields['boot']),
        )

    async def test_copy_that_is_no_longer_available(self):
        call = self.make_call(RouteKind.streaming)

        @asynccontextmanager
        async def send(_call, backend_attempt):
            if backend_attempt.resumption is not None:
                raise REFUSED
            self.notices.post(make_notice(backend_attempt, 'e2:80'))
            yield ScriptedReply(make_event(1), CUT)

        self.transport.send = send
        self.assertEqual(
            ErrorKind.generation_lost, await self.find_failure(call)
        )

    async def test_refused_stream_is_sent_to_another_back_end(self):
        await self.answer(
            self.make_call(RouteKind.streaming),
            REFUSED,
            ScriptedReply(make_event(1)),
        )
        self.assertEqual(make_event(1), self.sink.body)

    async def test_error_response_of_the_engine_is_forwarded(self):
        await self.answer(
            self.make_call(RouteKind.streaming),
            ScriptedReply(b'no', status=500),
        )
        self.assertEqual((500, b'no'), (self.sink.head.status, self.sink.body))

    async def test_timeout_is_answered(self):
        """An engine stalls before its first event.

        The caller gets an error when the route's timeout expires.
        """
        call = self.make_call(RouteKind.streaming, seconds=0.05)
        reply = ScriptedReply()

        async def stall():
            await asyncio.sleep(5)
            yield b''

        reply.parts = stall
        kind = await self.find_failure(call, reply)
        self.assertEqual(ErrorKind.deadline_exceeded, kind)

    async def test_lost_stream_of_a_resumable_route_is_regenerated(self):
        """An engine leaves during the prefill of a call.

        A resumable route allows another generation.  Guards against an error,
        after which the caller has no time left for a retry.
        """
        call = self.make_call(
            RouteKind.streaming, resumable=True, max_endpoints=2
        )
        await self.answer(call, CUT, ScriptedReply(make_event(1)))
        self.assertEqual(make_event(1), self.sink.body)
        first, second = self.transport.backend_attempts
        self.assertNotEqual(first.backend.name, second.backend.name)
        self.assertIsNone(second.after_event)

    async def test_new_generation_continues_after_the_last_event(self):
        """An engine crashes between two events of a resumable stream.

        The caller gets each event once, and the new engine receives the number
        of the last event.
        """
        call = self.make_call(
            RouteKind.streaming, resumable=True, max_endpoints=2
        )
        await self.answer(
            call,
            ScriptedReply(make_event(1), make_event(2), CUT),
            ScriptedReply(make_event(3)),
        )
        events = b''.join(map(make_event, (1, 2, 3)))
        self.assertEqual(events, self.sink.body)
        self.assertEqual(2, self.transport.backend_attempts[1].after_event)

    async def test_regenerated_at_no_more_endpoints_than_allowed(self):
        call = self.make_call(
            RouteKind.streaming, resumable=True, max_endpoints=2
        )
        kind = await self.find_failure(
            call, CUT, CUT, ScriptedReply(make_event(1))
        )
        self.assertEqual(ErrorKind.outcome_unknown, kind)
        self.assertEqual(2, len(self.transport.backend_attempts))

    async def test_log_shows_what_made_a_stream_late(self):
        """The log distinguishes a late first event from a long pause."""
        reply = ScriptedReply()

        async def stall():
            yield make_event(1)
            yield make_event(2)
            await asyncio.sleep(0.15)
            yield make_event(3)

        reply.parts = stall
        call = self.make_call(RouteKind.streaming, longest_pause=0.1)
        with mock.patch('primrosewood.relay.log_decision') as log:
            await self.answer(call, reply)
        self.assertEqual('pause', log.call_args.kwargs['late'])
        self.assertEqual(2, log.call_args.kwargs['pause_after'])

    async def test_failed_call_releases_its_reservation(self):
        call = self.make_call(RouteKind.streaming)
        await self.find_failure(call, ScriptedReply(make_event(1), CUT))
        for backend in self.backends.backends:
            self.assertEqual(0, backend.open_calls)
            self.assertEqual(0, backend.open_tokens)
            self.assertEqual(0, backend.unread_tokens)
