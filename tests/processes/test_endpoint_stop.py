"""Entries and callers get definite answers while an endpoint stops."""

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

# Network delay between regions, in one direction.
_ONE_WAY_DELAY_SECONDS = 0.04


class _EntryLink:
    """An entry's side of a link to an endpoint, without the entry."""

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
        """Wait until the endpoint reports that it is leaving."""
        while True:
            load = getattr(await self.receive(), 'load', None)
            if load and load.leaving:
                return

    async def wait_refusal(self):
        """Return the kind of the next refusal, empty if the link closes."""
        try:
            while True:
                message = await self.receive()
                if isinstance(message, wire.NotRun):
                    return message.kind
        except websockets.ConnectionClosed:
            return ''


class _StopTest(unittest.IsolatedAsyncioTestCase):
    """A cluster of one engine, one plain service and two entries."""

    timing: dict = {}

    async def asyncSetUp(self):
        self.cluster = Cluster(self.timing)
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start(
            {'e1': 'abertawe'}, entries=2, services={'s1': 'abertawe'}
        )
        await self.cluster.wait_reachable('e1-engine', 's1-engine')
        self.entry_url = self.cluster.url('entry-1')

    @asynccontextmanager
    async def link(self, endpoint):
        """Connect to an endpoint and exchange greetings."""
        file = self.cluster.folder / f'{endpoint}.json'
        address = json.loads(file.read_text())['endpoint']['links']
        async with connect(
            f'ws://127.0.0.1:{address["port"]}',
            compression=None,
            ping_interval=None,
        ) as socket:
            link = _EntryLink(socket)
            await link.send(
                wire.Hello(
                    process='entry-9',
                    incarnation='i-9',
                    key='process-key-of-the-tests',
                )
            )
            link.incarnation = (await link.receive()).incarnation
            yield link

    async def wait_logged(self, text):
        async def is_logged():
            return text in self.cluster.log_text

        await self.cluster.wait_until(is_logged)

    async def assert_exits_cleanly(self, name):
        code = await asyncio.to_thread(self.cluster.wait_exit, name)
        self.assertEqual(0, code)


class IdleEndpointTest(_StopTest):
    """An endpoint without calls when it is asked to stop."""

    async def test_offer_in_flight_at_the_stop(self):
        """An offer that arrives during the stop is refused as leaving.

        An entry in another region sends the offer before it learns of the
        stop. With the link closed by then, the call would not run, but its
        caller would get an unknown outcome and could not repeat a reorder.
        """
        async with self.link('s1') as link:
            self.cluster.kill('s1', signal.SIGTERM)
            await link.wait_leaving()
            await asyncio.sleep(2 * _ONE_WAY_DELAY_SECONDS)
            await link.send(
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
            self.assertEqual('leaving', await link.wait_refusal())
        await self.assert_exits_cleanly('s1')

    async def test_fetch_ahead_of_its_offer(self):
        """A pending fetch is answered before the endpoint stops.

        An entry asks for the answer of an attempt that was not offered yet.
        The endpoint holds the fetch for a moment, as the offer may be in
        flight. A stop that closes the link then would leave it unanswered.
        """
        async with self.link('s1') as link:
            await link.send(
                wire.Fetch(
                    attempt='c1',
                    claimed_attempt='a1',
                    incarnation=link.incarnation,
                    organisation=f'{TEAM}/gwenallt',
                )
            )
            self.cluster.kill('s1', signal.SIGTERM)
            self.assertEqual('never_offered', await link.wait_refusal())
        await self.assert_exits_cleanly('s1')


class BusyEndpointTest(_StopTest):
    """An endpoint with a stream that takes longer than its lease."""

    timing = {'stop_seconds': 60.0}

    async def test_stream_is_resumed_after_the_lease_expired(self):
        """A stream of a stopping endpoint can be resumed at a new entry.

        A stopping endpoint whose lease has expired is unknown to an entry
        that started since. After the stream's entry died, the new one would
        report the stream as lost, although it still runs.
        """
        completion = asyncio.create_task(
            complete(self.cluster.http, self.entry_url, 900)
        )
        await self.wait_logged('event=admission')
        self.cluster.kill('e1', signal.SIGTERM)
        await self.wait_logged('event=leaving')
        await asyncio.sleep(self.cluster.timing['lease_seconds'] + 1)
        self.cluster.kill('entry-2')
        self.cluster.restart('entry-2')
        await self.cluster.wait_until(self.is_ready)
        self.cluster.kill('entry-1')
        first = await completion
        rest = await complete(
            self.cluster.http,
            self.cluster.url('entry-2'),
            900,
            last_event_id=first.event_id,
        )
        self.assertTrue(rest.done, rest.error)
        self.assertEqual(900, len(first.tokens) + len(rest.tokens))
        await self.assert_exits_cleanly('e1')

    async def is_ready(self):
        try:
            async with self.cluster.http.get(
                f'{self.cluster.url("entry-2")}/readyz'
            ) as response:
                return response.status == 200
        except aiohttp.ClientConnectorError:
            return False


class ShortStopTest(_StopTest):
    """A stop that is too short for the requests that run."""

    timing = {'stop_seconds': 1.0}

    async def test_requests_that_outlive_the_stop(self):
        """Requests still run when the time of a planned stop is over.

        Their entry looks for the endpoint for a while, then reports to each
        caller what is known; no caller finds its connection closed.
        """
        await self.cluster.set_faults('s1-engine', slow=8)
        requests = [
            complete(self.cluster.http, self.entry_url, 900),
            complete(self.cluster.http, self.entry_url, 900, stream=False),
            call_service(
                self.cluster.http,
                self.entry_url,
                'POST',
                'reorders/reorders',
                {},
            ),
        ]
        requests = [asyncio.create_task(request) for request in requests]
        await self.cluster.wait_until(self.have_all_started)
        self.cluster.kill('e1', signal.SIGTERM)
        self.cluster.kill('s1', signal.SIGTERM)
        streamed, unstreamed, order = await asyncio.gather(*requests)
        self.assertEqual('generation_lost', streamed.error_kind)
        self.assertEqual(502, unstreamed.status)
        self.assertEqual('generation_lost', unstreamed.error_kind)
        self.assertEqual(502, order.status)
        self.assertEqual('outcome_unknown', order.error_kind)

    async def have_all_started(self):
        engine = await self.cluster.fetch_history('e1-engine')
        service = await self.cluster.fetch_history('s1-engine')
        return len(engine['starts']) == 2 and len(service['runs']) == 1
