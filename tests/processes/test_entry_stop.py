"""Callers of an entry get complete or definite answers while it stops."""

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
# More than the kernel buffers for a receiver that does not read.
_LONG_BODY_BYTES = 3 * _MEGABYTE


class _StopTest(unittest.IsolatedAsyncioTestCase):
    """One engine and one plain service behind two entries."""

    timing: dict = {}

    async def asyncSetUp(self):
        limits = {'body_bytes': 2 * _LONG_BODY_BYTES}
        self.cluster = Cluster(self.timing, limits=limits)
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start(
            {'e1': 'abertawe'}, entries=2, services={'s1': 'abertawe'}
        )
        await self.cluster.wait_reachable('e1-engine', 's1-engine')
        self.entry_url = self.cluster.url('entry-1')

    def start_completion(self, length, **options):
        return asyncio.create_task(
            complete(self.cluster.http, self.entry_url, length, **options)
        )

    def start_reorder(self, **options):
        path = 'reorders/reorders'
        return asyncio.create_task(
            call_service(
                self.cluster.http, self.entry_url, 'POST', path, {}, **options
            )
        )

    async def wait_running(self, count):
        """Wait until this many requests have reached their back ends."""

        async def is_running():
            engine = await self.cluster.fetch_history('e1-engine')
            service = await self.cluster.fetch_history('s1-engine')
            return len(engine['starts']) + len(service['runs']) >= count

        await self.cluster.wait_until(is_running)

    def stop_entry(self):
        self.cluster.kill('entry-1', signal.SIGTERM)

    async def wait_logged(self, text):
        async def is_logged():
            return text in self.cluster.log_text

        await self.cluster.wait_until(is_logged)

    async def assert_exits_cleanly(self):
        code = await asyncio.to_thread(self.cluster.wait_exit, 'entry-1')
        self.assertEqual(0, code)

    def assert_complete(self, answer, length):
        self.assertTrue(answer.done, answer.error)
        self.assertEqual(length, len(answer.tokens))


class LongStopTest(_StopTest):
    """A stop that is long enough for all requests."""

    timing = {'drain_seconds': 1.0, 'stop_seconds': 20.0}

    async def test_requests_in_flight_at_the_stop(self):
        """Requests of every kind that run at the stop are answered."""
        await self.cluster.set_faults('s1-engine', slow=3)
        requests = [
            self.start_completion(200),
            self.start_completion(200, stream=False),
            self.start_reorder(),
        ]
        await self.wait_running(3)
        self.stop_entry()
        streamed, unstreamed, order = await asyncio.gather(*requests)
        self.assert_complete(streamed, 200)
        self.assert_complete(unstreamed, 200)
        self.assertEqual(201, order.status)
        await self.assert_exits_cleanly()

    async def test_requests_before_the_balancer_reacts(self):
        """Requests that the balancer still sends after SIGTERM are answered."""
        await self.cluster.set_faults('s1-engine', slow=3)
        self.stop_entry()
        await self.wait_logged('event=draining')
        streamed, unstreamed, order = await asyncio.gather(
            self.start_completion(200),
            self.start_completion(200, stream=False),
            self.start_reorder(),
        )
        self.assert_complete(streamed, 200)
        self.assert_complete(unstreamed, 200)
        self.assertEqual(201, order.status)
        await self.assert_exits_cleanly()

    async def test_persistent_connection_is_closed(self):
        """Answers of a stopping entry close the caller's connection.

        If it stayed open, the caller's retries would reach the same entry and
        be refused for as long as another caller's stream delays the stop.
        """
        long_stream = self.start_completion(600)
        await self.wait_running(1)
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as session:
            before = await complete(session, self.entry_url, 5)
            self.assertNotIn('Connection', before.headers)
            self.stop_entry()
            await self.wait_logged('event=draining')
            for stream in (True, False):
                during = await complete(
                    session, self.entry_url, 5, stream=stream
                )
                self.assert_complete(during, 5)
                self.assertEqual('close', during.headers.get('Connection'))
            await asyncio.sleep(1.5)
            after = await complete(session, self.entry_url, 5)
        self.assertEqual((503, 'leaving'), (after.status, after.error_kind))
        self.assertEqual('close', after.headers.get('Connection'))
        self.assert_complete(await long_stream, 600)
        await self.assert_exits_cleanly()

    async def test_slow_reader_of_a_long_answer(self):
        """A caller that reads slowly during the stop gets its whole answer.

        An entry that counts the request as answered before the answer is
        written exits two seconds later and cuts it.
        """
        order = json.dumps({'note': 'x' * _LONG_BODY_BYTES}).encode()
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
        self.stop_entry()
        await self.wait_logged('event=draining')
        await asyncio.sleep(4)
        received = 0
        while part := await reader.read(_MEGABYTE):
            received += len(part)
        self.assertEqual(length, received)
        await self.assert_exits_cleanly()

    async def connect_slowly(self):
        receiver = socket.socket()
        receiver.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        receiver.setblocking(False)
        port = int(self.entry_url.rpartition(':')[2])
        loop = asyncio.get_running_loop()
        await loop.sock_connect(receiver, ('127.0.0.1', port))
        return await asyncio.open_connection(sock=receiver, limit=4096)


class ShortStopTest(_StopTest):
    """A stop that is too short for the requests that run."""

    timing = {'drain_seconds': 0.2, 'stop_seconds': 1.0}

    async def test_requests_that_outlive_the_stop(self):
        """Requests that still run at the end of the stop get an answer.

        If the entry just closed their connections, callers would learn neither
        that the requests may have run nor when to retry.
        """
        await self.cluster.set_faults('s1-engine', slow=8)
        requests = [
            self.start_completion(900, stream=False),
            self.start_reorder(),
        ]
        await self.wait_running(2)
        self.stop_entry()
        for answer in await asyncio.gather(*requests):
            self.assertEqual(502, answer.status)
            self.assertEqual('outcome_unknown', answer.error_kind)
            self.assertEqual('unknown', answer.error['ran'])
        await self.assert_exits_cleanly()

    async def test_keyed_request_that_outlives_the_stop(self):
        """A reorder with an idempotency key outlives its entry's stop.

        The answer asks its caller to retry; a retry with the same key at
        another entry gets the answer of the only run.
        """
        await self.cluster.set_faults('s1-engine', slow=4)
        reorder = self.start_reorder(idempotency_key='order-1')
        await self.wait_running(1)
        self.stop_entry()
        answer = await reorder
        self.assertEqual((503, 'leaving'), (answer.status, answer.error_kind))
        self.assertEqual('unknown', answer.error['ran'])
        self.assertIn('Retry-After', answer.headers)
        self.entry_url = self.cluster.url('entry-2')
        self.assertEqual(
            201, (await self.start_reorder(idempotency_key='order-1')).status
        )
        runs = (await self.cluster.fetch_history('s1-engine'))['runs']
        self.assertEqual(1, len(runs))
        await self.assert_exits_cleanly()

    async def test_stream_that_outlives_the_stop(self):
        """A stream cut at the end of a stop is resumed at another entry."""
        completion = self.start_completion(400)
        await self.wait_running(1)
        self.stop_entry()
        first = await completion
        self.assertFalse(first.done)
        self.entry_url = self.cluster.url('entry-2')
        rest = await self.start_completion(400, last_event_id=first.event_id)
        self.assertTrue(rest.done, rest.error)
        self.assertEqual(400, len(first.tokens) + len(rest.tokens))
        await self.assert_exits_cleanly()


class UnresponsiveStoreTest(_StopTest):
    """A stop while the key-value service does not answer."""

    timing = {'drain_seconds': 0.2, 'stop_seconds': 20.0}

    async def test_settings_change_during_the_stop(self):
        """An operator's change at a stopping entry gets an answer.

        The key-value service does not answer, so the entry retries the change.
        A stop that waits for callers only would close the connection, and the
        operator would not learn whether the change may have been accepted.
        """
        await self.cluster.set_faults('platform', slow=30)
        self.stop_entry()
        await self.wait_logged('event=draining')
        base = self.cluster.parts['entry-1'].other_urls['administration']
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
        await self.assert_exits_cleanly()
