"""Failures lose no token: each once, in order, from one generation."""

import asyncio
import json
import signal
import unittest

from primrosewood.invariants import AnswerRecord, check_tokens

from ..rawcaller import RawCaller
from .callers import complete
from .harness import Cluster


class ResumeTest(unittest.IsolatedAsyncioTestCase):
    """Streams over two entries and two engines."""

    async def asyncSetUp(self):
        self.cluster = Cluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start(
            {'e1': 'abertawe', 'e2': 'caerdydd'}, entries=2
        )

    async def request(self, length, entry=1, **options):
        return await complete(
            self.cluster.http,
            self.cluster.url(f'entry-{entry}'),
            length,
            **options,
        )

    async def generation_starts(self):
        """Return how often each generation began, over both engines."""
        histories = [
            await self.cluster.fetch_history(f'{name}-engine')
            for name in ('e1', 'e2')
        ]
        return [
            count
            for history in histories
            for count in history['starts'].values()
        ]

    async def find_serving_endpoint(self, kind):
        """Return the endpoint that runs the only generation."""
        for name in ('e1', 'e2'):
            if (await self.cluster.fetch_history(f'{name}-engine'))['starts']:
                return name
        raise AssertionError(f'no engine started the {kind}')

    def assert_complete(self, answer, length):
        self.assertTrue(answer.done, answer.error)
        self.assertEqual(length, len(answer.tokens))
        record = AnswerRecord('r', tuple(answer.tokens), complete=True)
        self.assertEqual([], check_tokens([record]))

    async def act_after(self, token_count, action, length, **options):
        """Read a stream and run an action once after some tokens."""
        acted = False

        async def on_chunk(answer):
            nonlocal acted
            if not acted and len(answer.tokens) >= token_count:
                acted = True
                await action()

        return await self.request(length, on_chunk=on_chunk, **options)

    async def test_entry_dies(self):
        """The entry is killed during a stream.

        The caller reconnects to the other entry with the last event id and
        gets the rest, with no token missing or repeated.
        """

        async def kill():
            self.cluster.kill('entry-1')

        first = await self.act_after(30, kill, 200)
        self.assertFalse(first.done)
        second = await self.request(200, entry=2, last_event_id=first.event_id)
        second.text = first.text + second.text
        self.assert_complete(second, 200)
        self.assertEqual([1], await self.generation_starts())

    async def test_entry_dies_under_an_answer_without_chunks(self):
        """Guards against a killed entry whose streams look complete.

        To a caller on HTTP/1.0, a close that is no reset is the end.
        """
        body = json.dumps(
            {
                'model': 'cert-1',
                'prompt': 'Draft a batch certificate [length=200]',
                'max_tokens': 210,
                'stream': True,
            }
        )
        head = (
            'POST /v1/completions HTTP/1.0\n'
            'Content-Type: application/json\n'
            'Authorization: Bearer key-gwenallt\n'
            f'Content-Length: {len(body)}\n'
            f'\n{body}'
        )
        address = self.cluster.url('entry-1').removeprefix('http://')
        async with RawCaller.send(address, head) as caller:
            await caller.read_until(b'data: ')
            self.cluster.kill('entry-1')
            with self.assertRaises(ConnectionResetError):
                await caller.read_to_end()
        self.assertNotIn(b'[DONE]', caller.received)

    async def test_endpoint_process_dies_and_its_engine_lives(self):
        """The endpoint process is killed during a stream and restarted.

        The stream pauses and continues from the same generation of the engine,
        at the token that the caller is at.
        """

        async def kill():
            name = await self.find_serving_endpoint('stream')
            self.cluster.kill(name)
            self.cluster.restart(name)

        answer = await self.act_after(30, kill, 250)
        self.assert_complete(answer, 250)
        self.assertEqual([1], await self.generation_starts())

    async def test_endpoint_process_is_paused(self):
        """The endpoint process is paused longer than the silence timeout."""

        async def pause():
            name = await self.find_serving_endpoint('stream')
            self.cluster.kill(name, signal.SIGSTOP)
            loop = asyncio.get_running_loop()
            loop.call_later(2.5, self.cluster.kill, name, signal.SIGCONT)

        answer = await self.act_after(30, pause, 250)
        self.assert_complete(answer, 250)
        self.assertEqual([1], await self.generation_starts())

    async def test_engine_connection_breaks(self):
        """The connection from endpoint to engine breaks during a stream."""
        for name in ('e1', 'e2'):
            await self.cluster.set_faults(f'{name}-engine', cut_at=20)
        answer = await self.request(100)
        self.assert_complete(answer, 100)
        self.assertEqual([1], await self.generation_starts())

    async def test_engine_dies_during_a_stream(self):
        """The engine is killed after part of a stream was read.

        A second generation would not match that part, so the stream must end
        with an error and not continue with other tokens.
        """

        async def kill():
            name = await self.find_serving_endpoint('stream')
            self.cluster.kill(f'{name}-engine')

        answer = await self.act_after(30, kill, 300)
        self.assertFalse(answer.done)
        self.assertEqual('generation_lost', answer.error_kind)
        self.assertEqual('yes', answer.error['ran'])
        record = AnswerRecord('r', tuple(answer.tokens), kind=answer.error_kind)
        self.assertEqual([], check_tokens([record]))

    async def test_engine_dies_during_an_unstreamed_answer(self):
        """The engine is killed before any of the answer was forwarded.

        Another engine then generates the whole answer.
        """
        completion = asyncio.create_task(self.request(150, stream=False))
        await self.cluster.wait_until(self.generation_starts)
        name = await self.find_serving_endpoint('label')
        self.cluster.kill(f'{name}-engine')
        answer = await completion
        self.assert_complete(answer, 150)

    async def test_both_entry_and_endpoint_die(self):
        """Entry and endpoint process are killed at the same time."""

        async def kill():
            name = await self.find_serving_endpoint('stream')
            self.cluster.kill('entry-1')
            self.cluster.kill(name)
            self.cluster.restart(name)

        first = await self.act_after(30, kill, 250)
        second = await self.request(250, entry=2, last_event_id=first.event_id)
        second.text = first.text + second.text
        self.assert_complete(second, 250)
        self.assertEqual([1], await self.generation_starts())

    async def test_finished_stream_can_be_resumed(self):
        """A caller that lost the end of a finished stream gets it again."""
        complete_answer = await self.request(80)
        middle = f'{complete_answer.event_id.rpartition(".")[0]}.50'
        rest = await self.request(80, entry=2, last_event_id=middle)
        self.assertEqual(complete_answer.tokens[50:], rest.tokens)

    async def test_token_of_another_organisation(self):
        """Resume tokens that are invalid or another caller's are refused."""
        original = await self.request(20)
        first, rest = original.event_id[0], original.event_id[1:]
        changed = f'{"A" if first != "A" else "B"}{rest}'
        for token, key, kind in (
            (original.event_id, 'key-rhosyn', 'forbidden'),
            (changed, 'key-gwenallt', 'invalid_request'),
            ('AAAA.1', 'key-gwenallt', 'invalid_request'),
            ('\u00e9.5', 'key-gwenallt', 'invalid_request'),
        ):
            answer = await self.request(20, key=key, last_event_id=token)
            self.assertEqual(kind, answer.error_kind)
            self.assertEqual([], answer.tokens)

    async def test_slow_reader_does_not_delay_others(self):
        """One caller pauses during its stream while another reads on."""

        async def stall(answer):
            if len(answer.tokens) == 5:
                await asyncio.sleep(2.0)

        slow = asyncio.create_task(self.request(150, on_chunk=stall))
        fast = await self.request(100)
        self.assert_complete(fast, 100)
        self.assert_complete(await slow, 150)
