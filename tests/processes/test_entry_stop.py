"""What callers get that are with an entry when it is asked to stop."""

import asyncio
import json
import signal
import socket
import unittest

import aiohttp

from primrosewood.httpclient import prevent_resend

from .callers import call_service, complete
from .harness import OPERATOR_KEY, Cluster

_MEGABYTE = 1_000_000
# More than the kernel takes for a reader that stands still.
_LONG_BODY = 3 * _MEGABYTE


class _StopTest(unittest.IsolatedAsyncioTestCase):
    """One engine and one plain service behind two entries."""

    timing: dict = {}

    async def asyncSetUp(self):
        limits = {'body_bytes': 2 * _LONG_BODY}
        self.cluster = Cluster(self.timing, limits=limits)
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start(
            {'e1': 'abertawe'}, entries=2, services={'s1': 'abertawe'}
        )
        await self.cluster.wait_answering('e1-engine', 's1-engine')
        self.entry = self.cluster.url('entry-1')

    def complete(self, length, **options):
        return asyncio.create_task(
            complete(self.cluster.http, self.entry, length, **options)
        )

    def reorder(self, **options):
        path = 'reorders/reorders'
        return asyncio.create_task(
            call_service(
                self.cluster.http, self.entry, 'POST', path, {}, **options
            )
        )

    async def wait_running(self, count):
        """Wait until so many requests have reached their back ends."""

        async def run():
            engine = await self.cluster.history('e1-engine')
            service = await self.cluster.history('s1-engine')
            return len(engine['starts']) + len(service['runs']) >= count

        await self.cluster.wait_until(run)

    def stop(self):
        self.cluster.kill('entry-1', signal.SIGTERM)

    async def wait_logged(self, text):
        async def is_logged():
            return text in self.cluster.log_text

        await self.cluster.wait_until(is_logged)

    async def assert_ended(self):
        code = await asyncio.to_thread(self.cluster.wait_ended, 'entry-1')
        self.assertEqual(0, code)

    def assert_whole(self, answer, length):
        self.assertTrue(answer.done, answer.error)
        self.assertEqual(length, len(answer.tokens))


class LongStopTest(_StopTest):
    """A stop with time for all that is asked."""

    timing = {'drain_seconds': 1.0, 'stop_seconds': 20.0}

    async def test_requests_from_before_the_stop(self):
        """Requests of every kind run when their entry is asked to stop."""
        await self.cluster.fault('s1-engine', slow=3)
        asked = [
            self.complete(200),
            self.complete(200, stream=False),
            self.reorder(),
        ]
        await self.wait_running(3)
        self.stop()
        stream, whole, order = await asyncio.gather(*asked)
        self.assert_whole(stream, 200)
        self.assert_whole(whole, 200)
        self.assertEqual(201, order.status)
        await self.assert_ended()

    async def test_requests_while_the_balancer_notices(self):
        """Requests come after the signal, as the balancer still sends them."""
        await self.cluster.fault('s1-engine', slow=3)
        self.stop()
        await self.wait_logged('event=draining')
        stream, whole, order = await asyncio.gather(
            self.complete(200),
            self.complete(200, stream=False),
            self.reorder(),
        )
        self.assert_whole(stream, 200)
        self.assert_whole(whole, 200)
        self.assertEqual(201, order.status)
        await self.assert_ended()

    async def test_caller_that_keeps_its_connection(self):
        """A caller sends its requests over one connection.

        Its entry is stopped and refuses them with a time to come back. The
        connection stays open, so the caller comes back to the entry that
        refuses, for as long as a stream of another caller holds that one up.
        """
        holding = self.complete(600)
        await self.wait_running(1)
        one = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=one) as session:
            before = await complete(session, self.entry, 5)
            self.assertNotIn('Connection', before.headers)
            self.stop()
            await self.wait_logged('event=draining')
            for stream in (True, False):
                during = await complete(session, self.entry, 5, stream=stream)
                self.assert_whole(during, 5)
                self.assertEqual('close', during.headers.get('Connection'))
            await asyncio.sleep(1.5)
            after = await complete(session, self.entry, 5)
        self.assertEqual((503, 'leaving'), (after.status, after.kind))
        self.assertEqual('close', after.headers.get('Connection'))
        self.assert_whole(await holding, 600)
        await self.assert_ended()

    async def test_slow_reader_of_a_long_answer(self):
        """A caller reads a long answer slowly when its entry is stopped.

        The answer counts as handed on before it is written, so the entry ends
        two seconds later and cuts it.
        """
        order = json.dumps({'note': 'x' * _LONG_BODY}).encode()
        reader, writer = await self.connect_slowly()
        self.addCleanup(writer.close)
        writer.write(
            b'POST /services/reorders/reorders HTTP/1.1\r\nHost: h\r\n'
            b'Authorization: Bearer key-gwenallt\r\n'
            b'Content-Type: application/json\r\n'
            b'Content-Length: %d\r\n\r\n%b' % (len(order), order)
        )
        head = await reader.readuntil(b'\r\n\r\n')
        self.assertIn(b' 201 ', head)
        length = int(head.lower().partition(b'content-length: ')[2].split()[0])
        self.stop()
        await self.wait_logged('event=draining')
        await asyncio.sleep(4)
        received = 0
        while part := await reader.read(_MEGABYTE):
            received += len(part)
        self.assertEqual(length, received)
        await self.assert_ended()

    async def connect_slowly(self):
        receiver = socket.socket()
        receiver.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        receiver.setblocking(False)
        port = int(self.entry.rpartition(':')[2])
        loop = asyncio.get_running_loop()
        await loop.sock_connect(receiver, ('127.0.0.1', port))
        return await asyncio.open_connection(sock=receiver, limit=4096)


class ShortStopTest(_StopTest):
    """A stop that ends before the requests do."""

    timing = {'drain_seconds': 0.2, 'stop_seconds': 1.0}

    async def test_requests_that_outlive_the_stop(self):
        """Requests run on when the time of a planned stop is over.

        The entry closes their connections without a word: their callers hear
        neither that they may have run nor when to come back.
        """
        await self.cluster.fault('s1-engine', slow=8)
        asked = [self.complete(900, stream=False), self.reorder()]
        await self.wait_running(2)
        self.stop()
        for answer in await asyncio.gather(*asked):
            self.assertEqual(502, answer.status)
            self.assertEqual('outcome_unknown', answer.kind)
            self.assertEqual('unknown', answer.error['ran'])
        await self.assert_ended()

    async def test_keyed_request_that_outlives_the_stop(self):
        """A reorder under an idempotency key outlives its entry's stop.

        Its caller is told to come back with the same key and gets the answer
        of the one run at another entry.
        """
        await self.cluster.fault('s1-engine', slow=4)
        asked = self.reorder(idempotency_key='order-1')
        await self.wait_running(1)
        self.stop()
        answer = await asked
        self.assertEqual((503, 'leaving'), (answer.status, answer.kind))
        self.assertEqual('unknown', answer.error['ran'])
        self.assertIn('Retry-After', answer.headers)
        self.entry = self.cluster.url('entry-2')
        self.assertEqual(
            201, (await self.reorder(idempotency_key='order-1')).status
        )
        runs = (await self.cluster.history('s1-engine'))['runs']
        self.assertEqual(1, len(runs))
        await self.assert_ended()

    async def test_stream_that_outlives_the_stop(self):
        """A stream is cut at the end of a stop, and read on elsewhere."""
        asked = self.complete(400)
        await self.wait_running(1)
        self.stop()
        first = await asked
        self.assertFalse(first.done)
        self.entry = self.cluster.url('entry-2')
        rest = await self.complete(400, last_event_id=first.event_id)
        self.assertTrue(rest.done, rest.error)
        self.assertEqual(400, len(first.tokens) + len(rest.tokens))
        await self.assert_ended()


class SilentStoreTest(_StopTest):
    """A stop while the key-value service does not answer."""

    timing = {'drain_seconds': 0.2, 'stop_seconds': 20.0}

    async def test_change_of_settings(self):
        """An operator changes settings at an entry that is being stopped.

        The key-value service does not answer, so the change is tried again.
        The entry waits for its callers only and closes the connection: nobody
        is told whether the change may have been accepted.
        """
        await self.cluster.fault('platform', slow=30)
        self.stop()
        await self.wait_logged('event=draining')
        base = self.cluster.parts['entry-1'].extra['administration']
        async with (
            aiohttp.ClientSession(middlewares=(prevent_resend,)) as session,
            session.put(
                f'{base}/settings/platform/failure_domains/caerdydd',
                json={'state': 'out'},
                headers={'Authorization': f'Bearer {OPERATOR_KEY}'},
            ) as response,
        ):
            body = await response.json()
        self.assertEqual(503, response.status)
        self.assertEqual('store_unavailable', body['error']['type'])
        await self.assert_ended()
