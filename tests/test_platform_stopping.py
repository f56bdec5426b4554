"""Requests to an entry during its planned stop."""

import asyncio
import contextlib
from unittest import mock

import aiohttp
from loguru import logger
from msgspec import structs

from primrosewood.httpserver import stop_listening
from primrosewood.platform import draining
from primrosewood.platform.entry import EntryNode

from .deployment import GENERATION_HEADERS, KEY_HEADERS, LIMITS, Deployment

# A stop lasts 4 s unless a test says otherwise; the load balancer notices it
# after 2.6 s.
_AFTER_DETECTION_SECONDS = 2.85
# For answers that must be whole, also where the test falls behind by seconds.
_LONG_STOP_LIMITS = structs.replace(LIMITS, stop_seconds=8)


class LateStreamTest(Deployment):
    """Streams that are requested after the load balancer noticed the stop."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for engine in self.engines.values():
            engine.events = 300
        # A stream from before the stop, which keeps the entry from exiting.
        stream_call = asyncio.create_task(
            self.call(
                'POST', '/guide/', name='ff00', headers=GENERATION_HEADERS
            )
        )
        self.stack.push_async_callback(self.cancel_stream, stream_call)
        await self.wait_for(self.has_one_run)
        self.stop.set()
        await asyncio.sleep(_AFTER_DETECTION_SECONDS)

    async def has_one_run(self):
        return self.count_runs() == 1

    async def cancel_stream(self, stream_call):
        stream_call.cancel()
        with contextlib.suppress(asyncio.CancelledError, aiohttp.ClientError):
            await stream_call

    async def request_stream(self, name, hint):
        headers = {
            **GENERATION_HEADERS,
            'Primrosewood-Token-Usage': '1000,2000',
            'Primrosewood-Length-Hint': str(hint),
        }
        response, _body = await self.call(
            'POST', '/guide/1', name=name, headers=headers, data=b'asked'
        )
        return response

    def count_runs(self):
        return sum(len(engine.ran) for engine in self.engines.values())

    async def test_answer_much_longer_than_its_hint(self):
        """Guards against admission by the caller's length hint alone.

        10 tokens would fit in the remaining time, but the answer has 600 and
        would be cut when the process exits.
        """
        response = await self.request_stream('ab12', hint=10)
        self.assertEqual(503, response.status)
        self.assertEqual(1, self.count_runs())

    async def test_caller_that_retries_late(self):
        """Guards against admission of a late request on its second attempt.

        When all entries stop at once, the load balancer sends a refused
        caller back to the same entry, where its answer still cannot end.
        """
        for name in ('ab12', 'cd34'):
            response = await self.request_stream(name, hint=1000)
            self.assertEqual(503, response.status)
            # Callers follow a Retry-After of up to a third of their remaining
            # time, which is 4 s here.
            retry_after = float(response.headers['Retry-After'])
            self.assertAlmostEqual(4 / 3, retry_after, delta=0.05)
        self.assertEqual(1, self.count_runs())

    async def start_short_stream(self):
        """Request a short stream that begins 0.2 s before the stop ends."""
        for engine in self.engines.values():
            engine.pause = 0.5
        headers = {**GENERATION_HEADERS, 'Primrosewood-Token-Usage': '1000,20'}
        pending_call = asyncio.create_task(
            self.call('POST', '/guide/', name='ab12', headers=headers)
        )
        await self.wait_for(self.has_two_runs)
        return pending_call

    async def has_two_runs(self):
        return self.count_runs() == 2

    async def test_short_answer_that_begins_too_late(self):
        """Guards against a short answer that is cut when the process exits.

        Its caller gets an error in place of a partial answer.
        """
        pending_call = await self.start_short_stream()
        response, _body = await pending_call
        self.assertEqual(502, response.status)

    async def test_short_answer_that_ends_in_time(self):
        """The same with a fast engine, so that the answer is complete."""
        pending_call = await self.start_short_stream()
        for engine in self.engines.values():
            engine.events = 5
            engine.pause = 0.01
        response, body = await pending_call
        self.assertEqual(200, response.status)
        self.assertEqual(5, body.count(b'data:'))


class LatePlainCallTest(Deployment):
    """Plain calls that arrive late in a stop, at a service that is slow."""

    limits = structs.replace(LIMITS, stop_seconds=6)

    async def refuse_late(self, method, path):
        """Call while an earlier call has waited 2.85 s for its answer."""
        self.service.seconds = 3.5
        earlier_call = asyncio.create_task(self.call(method, path, name='ff00'))
        await self.wait_for(self.has_run)
        self.stop.set()
        await asyncio.sleep(_AFTER_DETECTION_SECONDS)
        response, _body = await self.call(method, path, data=b'asked')
        self.assertEqual(503, response.status)
        self.assertIn('Retry-After', response.headers)
        self.assertEqual(['ff00'], [call.name for call in self.service.ran])
        self.assertEqual(200, (await earlier_call)[0].status)

    async def has_run(self):
        return bool(self.service.ran)

    async def test_call_that_may_not_be_repeated(self):
        """Guards against a call that is passed on and cut as the stop ends.

        More than the route's objective of 0.5 s is left, but the service
        takes 3.5 s.  The caller got an error that forbids another try.
        """
        await self.refuse_late('POST', '/issue/')

    async def test_call_that_may_be_repeated(self):
        """The same; the caller may try elsewhere at once."""
        await self.refuse_late('GET', '/lookup/')


class SlowBodyTest(Deployment):
    """Requests whose body arrives during a stop."""

    async def send_slowly(self, seconds):
        """Send a request whose body takes ``seconds``; return the status."""

        async def send_body():
            yield b'as'
            await asyncio.sleep(seconds)
            yield b'ked'

        for engine in self.engines.values():
            engine.events = 300
        headers = {
            **GENERATION_HEADERS,
            'Primrosewood-Token-Usage': '1000,2000',
            'Primrosewood-Length-Hint': '40',
        }
        self.stop.set()
        await asyncio.sleep(2)
        response, _body = await self.call(
            'POST', '/guide/1', headers=headers, data=send_body()
        )
        return response.status

    async def test_body_that_comes_late(self):
        """Guards against admission at the time of the head.

        The head arrives early in the stop and the body late.  A stream that
        was admitted by the time of its head would be cut.  The connection is
        not idle when idle ones close, so the rest of the body must be read.
        """
        self.assertEqual(503, await self.send_slowly(seconds=1.2))

    async def test_body_that_never_comes(self):
        """The stop ends first; the 408 says that nothing ran."""
        self.assertEqual(408, await self.send_slowly(seconds=5))


class EndOfStopTest(Deployment):
    """Calls that are still in flight when the stop ends."""

    async def call_during_stop(self, path, headers):
        pending_call = asyncio.create_task(
            self.call('POST', path, headers=headers, data=b'asked')
        )
        await asyncio.sleep(0.3)
        self.stop.set()
        return (await pending_call)[0]

    async def test_service_that_hangs(self):
        """Guards against a connection that closes without a response.

        The service hangs until the entry's stop ends.  The caller could not
        tell a closed connection from a network failure.
        """
        self.service.seconds = 30
        response = await self.call_during_stop('/issue/', KEY_HEADERS)
        self.assertEqual(502, response.status)
        self.assertEqual('close', response.headers['Connection'])

    async def test_stream_that_has_not_begun(self):
        """The engine has sent no event when the stop ends."""
        for engine in self.engines.values():
            engine.pause = 30
        response = await self.call_during_stop('/guide/', GENERATION_HEADERS)
        self.assertEqual(502, response.status)

    async def test_process_ends_by_itself(self):
        """Guards against an entry that is killed before it has logged.

        A stream outlives the stop.  An entry that still closes connections
        when the platform kills it does not log the streams that it cut.
        """
        for engine in self.engines.values():
            engine.events = 5000
        stream_call = asyncio.create_task(
            self.call('POST', '/guide/', headers=GENERATION_HEADERS)
        )
        await asyncio.sleep(0.3)
        records = []
        sink = logger.add(lambda message: records.append(message.record))
        self.addCleanup(logger.remove, sink)
        self.stop.set()
        async with asyncio.timeout(LIMITS.stop_seconds):
            await self.entry
        with self.assertRaises(aiohttp.ClientPayloadError):
            await stream_call
        failed_calls = [
            record['extra']['pairs']
            for record in records
            if record['message'] == 'call_failed'
        ]
        self.assertEqual(['ab12'], [pairs['request'] for pairs in failed_calls])
        self.assertGreater(failed_calls[0]['last_event'], 100)


class PersistentConnectionTest(Deployment):
    """Persistent connections during a stop."""

    limits = _LONG_STOP_LIMITS

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for engine in self.engines.values():
            engine.events = 150
        # Keeps the entry from exiting early.
        self.stream_call = asyncio.create_task(
            self.call(
                'POST', '/guide/', name='ff00', headers=GENERATION_HEADERS
            )
        )
        await asyncio.sleep(0.3)

    async def asyncTearDown(self):
        self.assertEqual(200, (await self.stream_call)[0].status)

    async def open(self):
        host, _colon, port = self.callers.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        return reader, writer

    async def look_up(self, reader, writer, name):
        writer.write(
            b'GET /lookup/ HTTP/1.1\r\n'
            b'Host: h.example\r\n'
            b'Authorization: Bearer key-1\r\n'
            b'Primrosewood-Attempt-Id: %b\r\n\r\n' % name
        )
        head = await reader.readuntil(b'\r\n\r\n')
        self.assertIn(b'200 OK', head)
        await reader.readexactly(len(b'found'))
        return head

    async def test_idle_connection_ends_when_the_balancer_has_noticed(self):
        """Guards against idle connections that stay open until the exit.

        The load balancer sends only new connections to other entries.  A late
        request on an old connection would be refused or cut here, although
        another entry could serve it.
        """
        reader, writer = await self.open()
        await self.look_up(reader, writer, b'ab12')
        self.stop.set()
        await asyncio.sleep(2)
        self.assertFalse(reader.at_eof())
        async with asyncio.timeout(1.2):
            self.assertEqual(b'', await reader.read())
        head = await self.look_up(*await self.open(), b'cd34')
        self.assertIn(b'Connection: close', head)

    async def test_answer_in_progress_is_whole(self):
        """A connection closes after the response that is in progress."""
        reader, writer = await self.open()
        self.service.seconds = 3
        lookup_call = asyncio.create_task(self.look_up(reader, writer, b'ab12'))
        await asyncio.sleep(0.1)
        self.stop.set()
        await lookup_call
        async with asyncio.timeout(0.5):
            self.assertEqual(b'', await reader.read())

    async def test_incomplete_head(self):
        """Half a head has arrived when idle connections are closed."""
        reader, writer = await self.open()
        await self.look_up(reader, writer, b'ab12')
        self.stop.set()
        await asyncio.sleep(2.4)
        writer.write(b'GET /lookup/ HTTP/1.1\r\n')
        await asyncio.sleep(0.4)
        writer.write(
            b'Host: h.example\r\n'
            b'Authorization: Bearer key-1\r\n'
            b'Primrosewood-Attempt-Id: cd34\r\n\r\n'
        )
        head = await reader.readuntil(b'\r\n\r\n')
        self.assertIn(b'200 OK', head)
        self.assertIn(b'Connection: close', head)


class SlowReaderTest(Deployment):
    """A response that its caller has not read yet."""

    async def test_unsent_data(self):
        """Guards against an exit that drops data in the write buffers.

        With a slow caller the handler returns before everything is sent, so
        the request no longer counts as in progress.
        """
        with mock.patch.object(
            draining, 'has_unsent_data', return_value=True
        ) as has_unsent_data_mock:
            self.stop.set()
            await asyncio.sleep(3.2)
            self.assertFalse(self.entry.done())
            has_unsent_data_mock.return_value = False
            async with asyncio.timeout(0.5):
                await self.entry


class LastRequestTest(Deployment):
    """A request to an entry that is idle at the end of its stop."""

    limits = _LONG_STOP_LIMITS

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.service.seconds = 0.5
        host, _colon, port = self.callers.rpartition(':')
        self.reader, self.writer = await asyncio.open_connection(
            host, int(port)
        )
        self.addCleanup(self.writer.close)

    async def send(self):
        self.writer.write(
            b'GET /lookup/ HTTP/1.1\r\n'
            b'Host: h.example\r\n'
            b'Authorization: Bearer key-1\r\n'
            b'Primrosewood-Attempt-Id: ab12\r\n\r\n'
        )
        async with asyncio.timeout(1):
            while not self.service.ran:
                await asyncio.sleep(0.01)

    async def read_head(self):
        head = await self.reader.readuntil(b'\r\n\r\n')
        await self.entry
        return head

    async def test_request_as_the_entry_closes(self):
        """Guards against a request that is read but gets no response.

        The entry checked once that nothing was in progress and then closed
        while it still accepted requests.  The connection of a request that
        arrived in between closed 0.1 s later.
        """
        close = EntryNode._close

        async def send_request_first(node, *args):
            await self.send()
            await close(node, *args)

        with mock.patch.object(EntryNode, '_close', send_request_first):
            self.stop.set()
            head = await self.read_head()
        self.assertIn(b' 502 ', head)

    async def test_request_before_the_listener_closes(self):
        """The same before the listener closes, while there is time to answer."""

        async def send_request_first(runner):
            await self.send()
            await stop_listening(runner)

        with mock.patch.object(draining, 'stop_listening', send_request_first):
            self.stop.set()
            head = await self.read_head()
        self.assertIn(b' 200 ', head)
