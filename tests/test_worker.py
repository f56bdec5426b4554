"""An endpoint's decisions on offers, without sockets and back ends."""

import asyncio
import json
import unittest

from primrosewood import gen_wire as wire
from primrosewood.backends import (
    CallResult,
    EngineToken,
    StreamUnknownError,
)
from primrosewood.clock import SystemClock
from primrosewood.errors import BackendCutError, ErrorKind, NotRunError
from primrosewood.gen_process import Limits, Timing
from primrosewood.metrics import Metrics
from primrosewood.settings import SettingsStore
from primrosewood.worker import EndpointIdentity, Worker

_PLACE = EndpointIdentity('e1', 'i1', 't', 's', 'd1')


class FakeLink:
    """Keeps what would be sent; sources are asked at once."""

    def __init__(self):
        self.sent = []
        self.closed = False

    def send(self, message):
        self.sent.append(message)

    def notify(self, source):
        self.sent += source.collect()

    def kinds(self):
        return [type(message).__name__ for message in self.sent]


class FakeBackend:
    """An engine of three tokens and a service, each counting its runs."""

    def __init__(self):
        self.runs = []
        self.cut = None
        self.kept = True

    async def generate(self, call):
        self.runs.append(call.generation)
        if isinstance(self.cut, NotRunError):
            raise self.cut
        yield EngineToken(0, 'a ')
        if self.cut:
            raise BackendCutError('cut')
        yield EngineToken(1, 'b ')
        yield EngineToken(2, '', 'stop')

    async def resume(self, generation, offset):
        if not self.kept:
            raise StreamUnknownError
        for index in range(offset, 2):
            yield EngineToken(index, 'ab'[index] + ' ')
        yield EngineToken(2, '', 'stop')

    async def cancel(self, generation):
        self.runs.append(f'cancel {generation}')

    async def call(self, call):
        self.runs.append(call.attempt)
        if self.cut:
            raise self.cut
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
    """Offers, repeats, questions about attempts."""

    def setUp(self):
        self.store = SettingsStore()
        self.backend = FakeBackend()
        self.link = FakeLink()
        self.revision = 0
        self.worker = Worker(
            _PLACE,
            self.store,
            self.backend,
            self.backend,
            SystemClock(),
            Limits(),
            Timing(),
            Metrics(),
        )

    def put(self, state='in', **service):
        self.revision += 1
        document = {
            'services': {'s': {'kind': 'model', **service}},
            'failure_domains': {'d1': {'state': state}},
        }
        self.store.merge(
            wire.SettingsRecord('t', self.revision, json.dumps(document))
        )

    async def settle(self):
        for _ in range(20):
            await asyncio.sleep(0)

    def last_refusal(self):
        refusals = [m for m in self.link.sent if isinstance(m, wire.NotRun)]
        return ErrorKind(refusals[-1].kind) if refusals else None

    async def offer(self, *args, **changes):
        self.worker.handle(make_offer(*args, **changes), self.link)
        await self.settle()

    async def test_runs_and_sends_everything_once(self):
        self.put()
        await self.offer()
        tokens = [m for m in self.link.sent if isinstance(m, wire.Tokens)]
        pieces = [piece for message in tokens for piece in message.pieces]
        self.assertEqual(['a ', 'b '], pieces)
        self.assertEqual('Finished', self.link.kinds()[-1])

    async def test_refuses_while_its_domain_is_out(self):
        """An entry that is cut off from all settings keeps offering.

        The zone is out and may be gone in a minute: nothing may start there.
        """
        self.put('out')
        await self.offer()
        self.assertEqual(ErrorKind.domain_out, self.last_refusal())
        self.assertEqual([], self.backend.runs)
        self.put('in')
        await self.offer('a2')
        self.assertEqual(1, len(self.backend.runs))

    async def test_refuses_without_settings_and_while_leaving(self):
        await self.offer()
        self.assertEqual(ErrorKind.settings_missing, self.last_refusal())
        self.put()
        self.worker.leave()
        await self.offer('a2')
        self.assertEqual(ErrorKind.leaving, self.last_refusal())
        await self.offer('a3', service='other')
        self.assertEqual([], self.backend.runs)

    async def test_delayed_copy_of_a_refused_offer(self):
        """An offer is refused as not run; a copy of it comes later."""
        self.put('out')
        await self.offer()
        self.put('in')
        await self.offer()
        self.assertEqual(ErrorKind.never_offered, self.last_refusal())
        self.assertEqual([], self.backend.runs)

    async def test_repeated_offer_runs_once(self):
        self.put()
        await self.offer()
        await self.offer()
        self.assertEqual(1, len(self.backend.runs))

    async def test_waiting_is_refused_when_the_domain_goes_out(self):
        self.put(start_running=1, max_running=1)
        self.worker.handle(make_offer('a1'), self.link)
        self.worker.handle(make_offer('a2'), self.link)
        self.assertIn('Queued', self.link.kinds())
        self.put('out', start_running=1, max_running=1)
        self.assertEqual(ErrorKind.domain_out, self.last_refusal())
        await self.settle()
        self.assertEqual(1, len(self.backend.runs))

    async def test_asked_for_an_attempt_that_never_came(self):
        """An entry died between its claim and its offer.

        The retry's entry learns for certain that it never ran; the offer,
        should it come yet, is refused.
        """
        self.put()
        self.worker.handle(make_fetch(), self.link)
        self.assertEqual([], self.link.sent)
        await asyncio.sleep(0.35)
        self.worker.tick()
        self.assertEqual(ErrorKind.never_offered, self.last_refusal())
        await self.offer()
        self.assertEqual([], self.backend.runs)

    async def test_asked_just_before_the_offer_comes(self):
        """Two entries hold one key; the loser asks before the offer comes."""
        self.put()
        asking = FakeLink()
        self.worker.handle(make_fetch(), asking)
        await self.offer(key_digest='k')
        self.assertEqual(1, len(self.backend.runs))
        self.assertEqual('Finished', asking.kinds()[-1])
        self.assertEqual('Finished', self.link.kinds()[-1])

    async def test_asked_for_what_another_run_of_the_process_did(self):
        self.put()
        self.worker.handle(make_fetch(incarnation='older'), self.link)
        self.assertEqual('outcome_unknown', self.link.sent[-1].kind)

    async def test_asked_by_another_organisation(self):
        self.put()
        await self.offer(key_digest='k')
        self.worker.handle(make_fetch(organisation='t/other'), self.link)
        self.assertEqual('forbidden', self.link.sent[-1].kind)

    async def test_kept_answer_of_a_call(self):
        self.put(kind='plain')
        await self.offer(method='POST', path='/x', key_digest='k')
        self.worker.handle(make_fetch(), self.link)
        replies = [m for m in self.link.sent if isinstance(m, wire.Reply)]
        self.assertEqual([b'done', b'done'], [m.body for m in replies])
        self.assertEqual(1, len(self.backend.runs))

    async def test_call_that_broke_off(self):
        self.put(kind='plain')
        self.backend.cut = BackendCutError('cut')
        await self.offer(method='POST', path='/x')
        self.assertEqual('outcome_unknown', self.link.sent[-1].kind)

    async def test_back_end_that_is_not_there(self):
        self.put()
        self.backend.cut = NotRunError(ErrorKind.no_endpoint)
        await self.offer()
        self.assertEqual(ErrorKind.no_endpoint, self.last_refusal())
        self.assertEqual(0, self.worker.admission.running)

    async def test_engine_that_lost_the_stream(self):
        self.put()
        self.backend.cut, self.backend.kept = True, False
        await self.offer()
        self.assertEqual('generation_lost', self.link.sent[-1].kind)

    async def test_withdrawn_while_waiting(self):
        self.put(start_running=1, max_running=1)
        self.worker.handle(make_offer('a1'), self.link)
        self.worker.handle(make_offer('a2'), self.link)
        self.worker.handle(wire.Cancel('a2'), self.link)
        await self.settle()
        self.assertEqual(1, len(self.backend.runs))

    async def test_stops_only_when_all_was_handed_on(self):
        self.put()
        await self.offer(streamed=True)
        self.assertFalse(self.worker.idle)
        self.worker.handle(wire.Credit('a1', 2), self.link)
        self.assertTrue(self.worker.idle)

    async def test_credit_bounds_what_is_sent_ahead(self):
        self.worker._listeners._window = 1
        self.put()
        await self.offer()
        self.assertNotIn('Finished', self.link.kinds())
        self.worker.handle(wire.Credit('a1', 1), self.link)
        self.assertEqual('Finished', self.link.kinds()[-1])
