"""What entries and callers get from an endpoint that is asked to stop."""

import asyncio
import json
import signal
import unittest
from contextlib import asynccontextmanager, suppress

import aiohttp
import websockets
from websockets.asyncio.client import connect

from primrosewood import gen_wire as wire
from primrosewood.codec import parse_frame, serialise_frame

from .callers import call_service, complete
from .harness import TEAM, Cluster

# One way between regions.
_DISTANCE_SECONDS = 0.04


class _Entry:
    """An entry that is only a link to an endpoint."""

    def __init__(self, socket):
        self._socket = socket
        self._messages = []
        self.incarnation = ''

    async def send(self, message):
        with suppress(websockets.ConnectionClosed):
            await self._socket.send(serialise_frame([message]))

    async def receive(self):
        while not self._messages:
            self._messages += parse_frame(await self._socket.recv())
        return self._messages.pop(0)

    async def wait_leaving(self):
        while True:
            load = getattr(await self.receive(), 'load', None)
            if load and load.leaving:
                return

    async def wait_refusal(self):
        """Return the kind of the next refusal, empty for a closed link."""
        try:
            while True:
                message = await self.receive()
                if isinstance(message, wire.NotRun):
                    return message.kind
        except websockets.ConnectionClosed:
            return ''


class _StopTest(unittest.IsolatedAsyncioTestCase):
    """One engine and one plain service behind two entries."""

    timing: dict = {}

    async def asyncSetUp(self):
        self.cluster = Cluster(self.timing)
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start(
            {'e1': 'abertawe'}, entries=2, services={'s1': 'abertawe'}
        )
        await self.cluster.wait_answering('e1-engine', 's1-engine')
        self.entry = self.cluster.url('entry-1')

    @asynccontextmanager
    async def link(self, endpoint):
        file = self.cluster.folder / f'{endpoint}.json'
        listen = json.loads(file.read_text())['endpoint']['links']
        async with connect(
            f'ws://127.0.0.1:{listen["port"]}',
            compression=None,
            ping_interval=None,
        ) as socket:
            entry = _Entry(socket)
            await entry.send(
                wire.Hello(
                    process='entry-9',
                    incarnation='i-9',
                    key='process-key-of-the-tests',
                )
            )
            entry.incarnation = (await entry.receive()).incarnation
            yield entry

    async def wait_logged(self, text):
        async def is_logged():
            return text in self.cluster.log_text

        await self.cluster.wait_until(is_logged)

    async def assert_ended(self, name):
        code = await asyncio.to_thread(self.cluster.wait_ended, name)
        self.assertEqual(0, code)


class IdleEndpointTest(_StopTest):
    """An endpoint that has nothing to do when it is asked to stop."""

    async def test_offer_that_crosses_the_stop(self):
        """An entry in another region offers a call to an endpoint.

        The endpoint is asked to stop; the offer was sent before the word of
        it came, and finds the link closed. It never runs, but its caller gets
        an unknown outcome and may not send a reorder again.
        """
        async with self.link('s1') as entry:
            self.cluster.kill('s1', signal.SIGTERM)
            await entry.wait_leaving()
            await asyncio.sleep(2 * _DISTANCE_SECONDS)
            await entry.send(
                wire.Offer(
                    request='r1',
                    attempt='a1',
                    team=TEAM,
                    service='reorders',
                    organisation='gwenallt',
                    deadline_ms=5000,
                    body=b'{}',
                    method='POST',
                    path='/reorders',
                )
            )
            self.assertEqual('leaving', await entry.wait_refusal())
        await self.assert_ended('s1')

    async def test_question_whose_offer_may_be_on_its_way(self):
        """An entry asks what became of an attempt that was not offered yet.

        The endpoint keeps the question for a moment and is asked to stop. It
        closes the link with the question unanswered.
        """
        async with self.link('s1') as entry:
            await entry.send(
                wire.Fetch(
                    attempt='c1',
                    claimed_attempt='a1',
                    incarnation=entry.incarnation,
                    organisation=f'{TEAM}/gwenallt',
                )
            )
            self.cluster.kill('s1', signal.SIGTERM)
            self.assertEqual('never_offered', await entry.wait_refusal())
        await self.assert_ended('s1')


class BusyEndpointTest(_StopTest):
    """An endpoint whose stream takes longer than its lease lasts."""

    timing = {'stop_seconds': 60.0}

    async def test_stream_that_is_read_on_after_the_lease(self):
        """An endpoint leaves with a stream, and its entry dies.

        The endpoint stops renewing its lease when it is asked to stop. The
        entry that replaced another one knows nothing of it, and tells the
        caller that the stream is gone, which runs all the while.
        """
        asked = asyncio.create_task(
            complete(self.cluster.http, self.entry, 900)
        )
        await self.wait_logged('event=admission')
        self.cluster.kill('e1', signal.SIGTERM)
        await self.wait_logged('event=leaving')
        await asyncio.sleep(self.cluster.timing['lease_seconds'] + 1)
        self.cluster.kill('entry-2')
        self.cluster.restart('entry-2')
        await self.cluster.wait_until(self.is_ready)
        self.cluster.kill('entry-1')
        first = await asked
        rest = await complete(
            self.cluster.http,
            self.cluster.url('entry-2'),
            900,
            last_event_id=first.event_id,
        )
        self.assertTrue(rest.done, rest.error)
        self.assertEqual(900, len(first.tokens) + len(rest.tokens))
        await self.assert_ended('e1')

    async def is_ready(self):
        try:
            async with self.cluster.http.get(
                f'{self.cluster.url("entry-2")}/readyz'
            ) as response:
                return response.status == 200
        except aiohttp.ClientConnectorError:
            return False


class ShortStopTest(_StopTest):
    """A stop that ends before the work does."""

    timing = {'stop_seconds': 1.0}

    async def test_work_that_outlives_the_stop(self):
        """Requests run on when the time of a planned stop is over.

        Their entry finds the endpoint again for a while, in vain, and tells
        each caller what is known; none gets a closed connection.
        """
        await self.cluster.fault('s1-engine', slow=8)
        asked = [
            complete(self.cluster.http, self.entry, 900),
            complete(self.cluster.http, self.entry, 900, stream=False),
            call_service(
                self.cluster.http, self.entry, 'POST', 'reorders/reorders', {}
            ),
        ]
        asked = [asyncio.create_task(each) for each in asked]
        await self.cluster.wait_until(self.all_run)
        self.cluster.kill('e1', signal.SIGTERM)
        self.cluster.kill('s1', signal.SIGTERM)
        stream, whole, order = await asyncio.gather(*asked)
        self.assertEqual('generation_lost', stream.kind)
        self.assertEqual(502, whole.status)
        self.assertEqual('generation_lost', whole.kind)
        self.assertEqual(502, order.status)
        self.assertEqual('outcome_unknown', order.kind)

    async def all_run(self):
        engine = await self.cluster.history('e1-engine')
        service = await self.cluster.history('s1-engine')
        return len(engine['starts']) == 2 and len(service['runs']) == 1
