"""Callers that use a common client library, or send invalid input."""

import asyncio
import json
import random
import unittest

import openai
from websockets.asyncio.client import connect

from primrosewood import gen_wire as wire
from primrosewood.codec import serialise_frame

from .callers import call_service, complete
from .harness import Cluster


class InputTest(unittest.IsolatedAsyncioTestCase):
    """A cluster of one engine, one plain service and one entry."""

    async def asyncSetUp(self):
        self.cluster = Cluster(limits={'body_bytes': 20_000})
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start(
            {'e1': 'abertawe'}, services={'s1': 'abertawe'}
        )
        self.http = self.cluster.http
        self.entry_url = self.cluster.url('entry-1')

    async def assert_serves(self):
        """Check that requests are answered and no error was unexpected."""
        answer = await complete(self.http, self.entry_url, 5)
        self.assertTrue(answer.done, answer.error)
        self.assertNotIn('Traceback', self.cluster.log_text)
        self.assertNotIn('unexpected_error', self.cluster.log_text)

    async def test_openai_client_library(self):
        client = openai.AsyncOpenAI(
            api_key='key-gwenallt',
            base_url=f'{self.entry_url}/v1',
            max_retries=0,
        )
        models = await client.models.list()
        self.assertEqual(['cert-1'], [model.id for model in models.data])
        unstreamed = await client.chat.completions.create(
            model='cert-1',
            messages=[{'role': 'user', 'content': 'Cure time? [length=7]'}],
            temperature=0.2,
        )
        self.assertEqual(7, len(unstreamed.choices[0].message.content.split()))
        self.assertEqual(7, unstreamed.usage.completion_tokens)
        stream = await client.chat.completions.create(
            model='cert-1',
            messages=[{'role': 'user', 'content': 'Guide [length=30]'}],
            stream=True,
            stream_options={'include_usage': True},
        )
        text, usage = '', None
        async for chunk in stream:
            usage = chunk.usage or usage
            text += ''.join(each.delta.content for each in chunk.choices)
        self.assertEqual(30, len(text.split()))
        self.assertEqual(30, usage.completion_tokens)
        with self.assertRaises(openai.AuthenticationError):
            await client.with_options(api_key='wrong').models.list()
        await client.close()

    async def test_organisation_sees_only_its_own(self):
        """Two organisations use the same idempotency key.

        Each gets the answer of its own order.
        """
        answers = [
            await call_service(
                self.http,
                self.entry_url,
                'POST',
                'reorders/reorders',
                {'crates': 1},
                key=key,
                idempotency_key='same',
            )
            for key in ('key-gwenallt', 'key-rhosyn')
        ]
        serials = {json.loads(answer.text)['serial'] for answer in answers}
        self.assertEqual(2, len(serials))

    async def test_request_timeout(self):
        """A long completion exceeds its caller's timeout of one second."""
        answer = await complete(self.http, self.entry_url, 2000, timeout='1')
        self.assertEqual('deadline_exceeded', answer.error_kind)
        refused = await complete(self.http, self.entry_url, 5, timeout='soon')
        self.assertEqual('invalid_request', refused.error_kind)

    async def test_mutated_bodies(self):
        """Hundreds of bodies with changed bytes get an answer or a 4xx each."""
        rng = random.Random(7)
        body = json.dumps(
            {
                'model': 'cert-1',
                'prompt': 'Batch [length=2]',
                'max_tokens': 3,
                'stream': False,
                'stop': ['x'],
            }
        ).encode()
        for _ in range(400):
            mutated = bytearray(body)
            for _change in range(rng.randint(1, 4)):
                mutated[rng.randrange(len(mutated))] = rng.randrange(256)
            status = await self.post('/v1/completions', bytes(mutated))
            is_expected = status == 200 or 400 <= status < 500
            self.assertTrue(is_expected, (status, bytes(mutated)))
        await self.assert_serves()

    async def test_malformed_bodies(self):
        deeply_nested = b'[' * 15_000 + b']' * 4000
        for path in ('/v1/completions', '/v1/chat/completions'):
            for body in (
                b'',
                b'null',
                b'{}',
                b'\xff',
                deeply_nested,
                b'{"model": 1}',
            ):
                self.assertEqual(400, await self.post(path, body))
            large = json.dumps({'model': 'cert-1', 'prompt': 'x' * 30_000})
            self.assertEqual(413, await self.post(path, large.encode()))
        lone_surrogate = (
            b'{"model": "cert-1", "prompt": "\\ud800", "max_tokens": 2}'
        )
        self.assertEqual(
            400, await self.post('/v1/completions', lone_surrogate)
        )
        await self.assert_serves()

    async def test_malformed_headers(self):
        headers = {
            'Idempotency-Key': 'k' * 500,
            'Last-Event-ID': 'x' * 4000,
            'X-Request-Timeout': 'nan',
        }
        for name, text in headers.items():
            body = {'model': 'cert-1', 'prompt': 'x', 'stream': True}
            status = await self.post(
                '/v1/completions', json.dumps(body).encode(), {name: text}
            )
            self.assertEqual(400, status, name)
        await self.assert_serves()

    async def test_unknown_paths_and_methods(self):
        for method, path in (
            ('GET', '/nothing'),
            ('GET', '/v1/completions'),
            ('POST', '/services/none/x'),
            ('POST', '/services/certdesk/x'),
        ):
            async with self.http.request(
                method,
                f'{self.entry_url}{path}',
                headers={'Authorization': 'Bearer key-gwenallt'},
            ) as response:
                self.assertIn(response.status, {400, 404})
                self.assertIn('error', await response.json())

    async def test_unauthenticated_peers_on_the_link_port(self):
        """Peers without the process key, or with garbage, connect.

        Each connection is closed, and the endpoint keeps serving.
        """
        status = await self.cluster.administer('GET', '/status')
        self.assertTrue(status['endpoints'])
        url = await self.link_url()
        hello = wire.Hello('stranger', 'i', 'wrong key')
        for frame in (b'', b'\xff' * 50, 'text', serialise_frame([hello])):
            async with connect(url, ping_interval=None) as socket:
                await socket.send(frame)
                await socket.wait_closed()
                self.assertEqual(1008, socket.close_code)
        await self.assert_serves()

    async def test_peer_that_violates_the_protocol(self):
        """A peer with the right key sends random bytes after its greeting."""
        url = await self.link_url()
        rng = random.Random(3)
        for _ in range(30):
            async with connect(url, ping_interval=None) as socket:
                await self.greet(socket)
                await socket.send(rng.randbytes(rng.randint(1, 60)))
                await asyncio.wait_for(socket.wait_closed(), 5)
        await self.assert_serves()

    async def greet(self, socket):
        hello = wire.Hello('peer', 'i', 'process-key-of-the-tests')
        await socket.send(serialise_frame([hello]))
        await socket.recv()

    async def link_url(self):
        settings = json.loads((self.cluster.folder / 'e1.json').read_text())
        port = settings['endpoint']['links']['port']
        return f'ws://127.0.0.1:{port}'

    async def post(self, path, body, headers=None):
        async with self.http.post(
            f'{self.entry_url}{path}',
            data=body,
            headers={
                'Authorization': 'Bearer key-gwenallt',
                'Content-Type': 'application/json',
                **(headers or {}),
            },
        ) as response:
            await response.read()
            return response.status
