"""Tests of an endpoint's worker, without sockets and real back ends."""

import asyncio
import json
import unittest
from unittest import mock

from primrosewood import gen_wire as wire
from primrosewood.backends import (
    CallResult,
    EngineToken,
    StreamUnknownError,
)
from primrosewood.clock import SystemClock
from primrosewood.errors import (
    BackendCutError,
    BackendPausedError,
    ErrorKind,
    NotRunError,
)
from primrosewood.gen_process import Limits, Timing
from primrosewood.metrics import Metrics
from primrosewood.settings import SettingsStore
from primrosewood.worker import EndpointIdentity, Worker

_IDENTITY = EndpointIdentity('e1', 'i1', 't', 's', 'd1')


class RecordingLink:
    """Records messages; sources that notify it are collected at once."""

    def __init__(self):
        self.sent = []
        self.closed = False

    def send(self, message):
        self.sent.append(message)

    def notify(self, source):
        self.sent += source.collect()

    def message_types(self):
        return [type(message).__name__ for message in self.sent]


class FakeBackend:
    """Engine that sends two tokens, and plain service; records its calls."""

    def __init__(self):
        self.calls = []
        self.failure = None
        self.keeps_stream = True
        self.pauses = []

    async def generate(self, call):
        self.calls.append(call.generation)
        if isinstance(self.failure, NotRunError):
            raise self.failure
        yield EngineToken(0, 'a ')
        if self.failure:
            raise BackendCutError('cut')
        yield EngineToken(1, 'b ')
        yield EngineToken(2, '', 'stop')

    async def resume(self, generation, offset):
        if self.pauses:
            raise BackendPausedError(
                ErrorKind.overloaded, retry_seconds=self.pauses.pop()
            )
        if not self.keeps_stream:
            raise StreamUnknownError
        for index in range(offset, 2):
            yield EngineToken(index, 'ab'[index] + ' ')
        yield EngineToken(2, '', 'stop')

    async def cancel(self, generation):
        self.calls.append(f'cancel {generation}')

    async def call(self, call):
        self.calls.append(call.attempt)
        if self.failure:
            raise self.failure
        return CallResult(201, 'text/plain', b'done')


def make_offer(attempt='a1', **changes):
    fields = {
        'request': 'r',
        'attempt': attempt,
        'team': 't',
        'service': 's',
        'organisation': 'o',
        'deadline_ms': 60_000,
        'body': b'',
        'max_tokens': 10,
        'prompt': 'x',
    }
    return wire.Offer(**{**fields, **changes})


def make_fetch(attempt='a1', incarnation='i1', organisation='t/o'):
    return wire.Fetch('f1', attempt, incarnation, organisation)


class WorkerTest(unittest.IsolatedAsyncioTestCase):
    """Offers, duplicates, fetches and cancels."""

    def setUp(self):
        self.store = SettingsStore()
        self.backend = FakeBackend()
        self.link = RecordingLink()
        self.revision = 0
        self.worker = self.make_worker(Limits())

    def make_worker(self, limits):
        return Worker(
            _IDENTITY,
            self.store,
            self.backend,
            self.backend,
            SystemClock(),
            limits,
            Timing(),
            Metrics(),
        )

    def apply_settings(self, state='in', **service):
        self.revision += 1
        document = {
            'services': {'s': {'kind': 'model', **service}},
            'failure_domains': {'d1': {'state': state}},
        }
        self.store.merge(
            wire.SettingsRecord('t', self.revision, json.dumps(document))
        )

    async def run_pending_tasks(self):
        for _ in range(20):
            await asyncio.sleep(0)

    def last_refusal(self):
        refusals = [
            each for each in self.link.sent if isinstance(each, wire.NotRun)
        ]
        return ErrorKind(refusals[-1].kind) if refusals else None

    async def offer(self, *args, **changes):
        self.worker.handle(make_offer(*args, **changes), self.link)
        await self.run_pending_tasks()

    async def test_runs_and_sends_everything_once(self):
        self.apply_settings()
        await self.offer()
        tokens = [
            each for each in self.link.sent if isinstance(each, wire.Tokens)
        ]
        pieces = [piece for message in tokens for piece in message.pieces]
        self.assertEqual(['a ', 'b '], pieces)
        self.assertEqual('Finished', self.link.message_types()[-1])

    async def test_refuses_while_its_domain_is_out(self):
        """An entry that receives no settings keeps sending offers.

        The failure domain is out and may be shut down soon, so nothing may
        start there.
        """
        self.apply_settings('out')
        await self.offer()
        self.assertEqual(ErrorKind.domain_out, self.last_refusal())
        self.assertEqual([], self.backend.calls)
        self.apply_settings('in')
        await self.offer('a2')
        self.assertEqual(1, len(self.backend.calls))

    async def test_refuses_without_settings_and_while_leaving(self):
        await self.offer()
        self.assertEqual(ErrorKind.settings_missing, self.last_refusal())
        self.apply_settings()
        self.worker.leave()
        await self.offer('a2')
        self.assertEqual(ErrorKind.leaving, self.last_refusal())
        await self.offer('a3', service='other')
        self.assertEqual([], self.backend.calls)

    async def test_delayed_copy_of_a_refused_offer(self):
        """An offer is refused as not run; a duplicate arrives later."""
        self.apply_settings('out')
        await self.offer()
        self.apply_settings('in')
        await self.offer()
        self.assertEqual(ErrorKind.never_offered, self.last_refusal())
        self.assertEqual([], self.backend.calls)

    async def test_delayed_copy_of_an_offer_that_ran(self):
        """Guards against a call that ran and is reported as not run."""
        self.worker = self.make_worker(Limits(kept_bytes=1))
        self.apply_settings(kind='plain')
        await self.offer(method='POST', path='/x')
        self.worker.drop_link(self.link)
        self.worker.tick()
        await self.offer(method='POST', path='/x')
        self.assertEqual('Failed', self.link.message_types()[-1])
        self.assertEqual('answer_expired', self.link.sent[-1].kind)
        self.assertEqual(1, len(self.backend.calls))

    async def test_repeated_offer_runs_once(self):
        self.apply_settings()
        await self.offer()
        await self.offer()
        self.assertEqual(1, len(self.backend.calls))

    async def test_queued_offer_is_refused_when_the_domain_goes_out(self):
        self.apply_settings(start_running=1, max_running=1)
        self.worker.handle(make_offer('a1'), self.link)
        self.worker.handle(make_offer('a2'), self.link)
        self.assertIn('Queued', self.link.message_types())
        self.apply_settings('out', start_running=1, max_running=1)
        self.assertEqual(ErrorKind.domain_out, self.last_refusal())
        await self.run_pending_tasks()
        self.assertEqual(1, len(self.backend.calls))

    async def test_fetch_of_an_attempt_that_never_came(self):
        """An entry dies between its claim and its offer.

        The entry that handles the retry learns that the attempt never ran;
        the offer is refused if it arrives after all.
        """
        self.apply_settings()
        self.worker.handle(make_fetch(), self.link)
        self.assertEqual([], self.link.sent)
        await asyncio.sleep(0.35)
        self.worker.tick()
        self.assertEqual(ErrorKind.never_offered, self.last_refusal())
        await self.offer()
        self.assertEqual([], self.backend.calls)

    async def test_fetch_just_before_the_offer_comes(self):
        """Two entries use one key; the loser fetches before the offer."""
        self.apply_settings()
        fetching_link = RecordingLink()
        self.worker.handle(make_fetch(), fetching_link)
        await self.offer(key_digest='k')
        self.assertEqual(1, len(self.backend.calls))
        self.assertEqual('Finished', fetching_link.message_types()[-1])
        self.assertEqual('Finished', self.link.message_types()[-1])

    async def test_fetch_of_an_answer_that_was_discarded_unread(self):
        """Guards against a call that ran and is reported as never offered.

        Its entry lost the connection before it read the answer, and the answer
        was discarded for want of space before the entry came back.
        """
        self.worker = self.make_worker(Limits(kept_bytes=1))
        self.apply_settings(kind='plain')
        await self.offer(method='POST', path='/x')
        self.worker.drop_link(self.link)
        self.worker.tick()
        with mock.patch('primrosewood.worker._OFFER_GRACE_SECONDS', 0):
            self.worker.handle(make_fetch(), self.link)
        self.worker.tick()
        self.assertEqual('answer_expired', self.link.sent[-1].kind)

    async def test_fetch_of_an_older_incarnation(self):
        self.apply_settings()
        self.worker.handle(make_fetch(incarnation='older'), self.link)
        self.assertEqual('outcome_unknown', self.link.sent[-1].kind)

    async def test_fetch_by_another_organisation(self):
        self.apply_settings()
        await self.offer(key_digest='k')
        self.worker.handle(make_fetch(organisation='t/other'), self.link)
        self.assertEqual('forbidden', self.link.sent[-1].kind)

    async def test_kept_answer_of_a_call(self):
        self.apply_settings(kind='plain')
        await self.offer(method='POST', path='/x', key_digest='k')
        self.worker.handle(make_fetch(), self.link)
        replies = [
            each for each in self.link.sent if isinstance(each, wire.Reply)
        ]
        self.assertEqual([b'done', b'done'], [each.body for each in replies])
        self.assertEqual(1, len(self.backend.calls))

    async def test_call_whose_connection_broke(self):
        self.apply_settings(kind='plain')
        self.backend.failure = BackendCutError('cut')
        await self.offer(method='POST', path='/x')
        self.assertEqual('outcome_unknown', self.link.sent[-1].kind)

    async def test_back_end_refuses_connections(self):
        self.apply_settings()
        self.backend.failure = NotRunError(ErrorKind.no_endpoint)
        await self.offer()
        self.assertEqual(ErrorKind.no_endpoint, self.last_refusal())
        self.assertEqual(0, self.worker.admission.running)

    async def test_offers_while_the_back_end_rests(self):
        """Guards against work that is queued or sent during a pause."""
        self.apply_settings(start_running=1, max_running=1)
        self.backend.failure = BackendPausedError(
            ErrorKind.overloaded, retry_seconds=3
        )
        self.worker.handle(make_offer('a1'), self.link)
        self.worker.handle(make_offer('a2'), self.link)
        await self.run_pending_tasks()
        await self.offer('a3')
        refusals = {
            each.attempt: each.retry_ms
            for each in self.link.sent
            if isinstance(each, wire.NotRun)
        }
        self.assertEqual({'a1', 'a2', 'a3'}, refusals.keys())
        self.assertGreater(min(refusals.values()), 2900)
        self.assertEqual(1, len(self.backend.calls))

    async def test_stream_is_resumed_after_a_pause(self):
        """Guards against a generation given up while its engine rests."""
        self.apply_settings()
        self.backend.failure = True
        self.backend.pauses = [0.05] * 2
        await self.offer()
        async with asyncio.timeout(5):
            while self.worker.admission.running:
                await asyncio.sleep(0.01)
        self.assertIsInstance(self.link.sent[-1], wire.Finished)
        self.assertEqual([], self.backend.pauses)

    async def test_engine_lost_the_stream(self):
        self.apply_settings()
        self.backend.failure, self.backend.keeps_stream = True, False
        await self.offer()
        self.assertEqual('generation_lost', self.link.sent[-1].kind)

    async def run_until_ended(self):
        async with asyncio.timeout(5):
            while self.worker.admission.running:
                await asyncio.sleep(0.01)

    async def generate_events(self, *tokens):
        """Have the engine end its stream after given tokens, then resume."""
        resume = self.backend.resume
        self.backend.resumed_from = []

        async def generate(call):
            self.backend.calls.append(call.generation)
            for token in tokens:
                yield token

        async def resume_and_record(generation, offset):
            self.backend.resumed_from.append(offset)
            async for token in resume(generation, offset):
                yield token

        self.backend.generate = generate
        self.backend.resume = resume_and_record
        self.apply_settings()
        await self.offer()
        await self.run_until_ended()

    def received_pieces(self):
        return [
            piece
            for message in self.link.sent
            if isinstance(message, wire.Tokens)
            for piece in message.pieces
        ]

    async def test_stream_ends_without_a_reason(self):
        """Guards against a subscriber that waits for an end that was lost."""
        await self.generate_events(EngineToken(0, 'a '))
        self.assertEqual([1], self.backend.resumed_from)
        self.assertEqual(['a ', 'b '], self.received_pieces())
        self.assertEqual('Finished', self.link.message_types()[-1])

    async def test_last_event_after_missing_tokens(self):
        """Guards against a part of a stream that is taken for the whole."""
        await self.generate_events(
            EngineToken(0, 'a '), EngineToken(2, '', 'stop')
        )
        self.assertEqual([1], self.backend.resumed_from)
        self.assertEqual(['a ', 'b '], self.received_pieces())
        self.assertEqual(2, self.link.sent[-1].total)

    async def test_token_after_missing_tokens(self):
        """Guards against a gap that leaves subscribers without any end."""
        await self.generate_events(
            EngineToken(1, 'b '), EngineToken(2, '', 'stop')
        )
        self.assertEqual([0], self.backend.resumed_from)
        self.assertEqual(['a ', 'b '], self.received_pieces())
        self.assertEqual('Finished', self.link.message_types()[-1])

    async def test_resume_after_a_cancel(self):
        """Guards against a part of a cancelled stream that looks complete.

        Engines end a cancelled stream with a reason, as any other one.
        """
        cancelled = asyncio.Event()

        async def generate(_call):
            yield EngineToken(0, 'a ')
            await cancelled.wait()
            yield EngineToken(1, '', 'cancelled')

        self.backend.generate = generate
        self.apply_settings()
        await self.offer(streamed=True)
        self.worker.handle(wire.Cancel('a1', at_once=True), self.link)
        resume = wire.Resume('f1', 'i1-1', 't/o', 1)
        self.worker.handle(resume, self.link)
        cancelled.set()
        await self.run_until_ended()
        self.assertNotIn('Finished', self.link.message_types())
        self.assertEqual('Failed', self.link.message_types()[-1])
        self.assertEqual('f1', self.link.sent[-1].attempt)

    async def test_cancel_withdraws_a_queued_offer(self):
        self.apply_settings(start_running=1, max_running=1)
        self.worker.handle(make_offer('a1'), self.link)
        self.worker.handle(make_offer('a2'), self.link)
        self.worker.handle(wire.Cancel('a2'), self.link)
        await self.run_pending_tasks()
        self.assertEqual(1, len(self.backend.calls))

    async def test_idle_only_when_all_is_delivered(self):
        self.apply_settings()
        await self.offer(streamed=True)
        self.assertFalse(self.worker.idle)
        self.worker.handle(wire.Credit('a1', 2), self.link)
        self.assertTrue(self.worker.idle)

    async def test_credit_bounds_tokens_sent_ahead(self):
        self.worker._subscribers._window_tokens = 1
        self.apply_settings()
        await self.offer()
        self.assertNotIn('Finished', self.link.message_types())
        self.worker.handle(wire.Credit('a1', 1), self.link)
        self.assertEqual('Finished', self.link.message_types()[-1])
