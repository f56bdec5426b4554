"""Callers of an entry that is being stopped."""

import asyncio
import contextlib
from unittest import mock

import aiohttp
from loguru import logger

from primrosewood.httpserver import stop_listening
from primrosewood.platform import entry
from primrosewood.platform.entry import EntryNode

from .deployment import GENERATION_HEADERS, KEY, LIMITS, Deployment

# The stop of these tests lasts 4 s; the balancer notices it after 2.6 s.
_LATE_SECONDS = 2.85


class LateStreamTest(Deployment):
    """Streams that come when the balancer has noticed the stop."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for engine in self.engines.values():
            engine.events = 300
        # A reader from before the stop, without whom the entry would end.
        reading = asyncio.create_task(
            self.call(
                'POST', '/guide/', name='ff00', headers=GENERATION_HEADERS
            )
        )
        self.stack.push_async_callback(self.end_reading, reading)
        await self.wait_for(self.has_run)
        self.stop.set()
        await asyncio.sleep(_LATE_SECONDS)

    async def has_run(self):
        return self.count_runs() == 1

    async def end_reading(self, reading):
        reading.cancel()
        with contextlib.suppress(asyncio.CancelledError, aiohttp.ClientError):
            await reading

    async def ask(self, name, hint):
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
        """A certificate is taken on late in a stop and cut with the process.

        Its caller guesses 10 tokens, which fits in what is left; the answer
        has 600 and is cut in its middle.
        """
        response = await self.ask('ab12', hint=10)
        self.assertEqual(503, response.status)
        self.assertEqual(1, self.count_runs())

    async def test_caller_that_comes_back_late(self):
        """A certificate is refused late in a stop, taken on and cut.

        All entries stop at once, so that the balancer sends the refused
        caller back here; it is let in although its answer cannot end.
        """
        for name in ('ab12', 'cd34'):
            response = await self.ask(name, hint=1000)
            self.assertEqual(503, response.status)
            # No later than a third of the 4 s that the caller waits, the
            # longest that it heeds.
            wait = float(response.headers['Retry-After'])
            self.assertAlmostEqual(4 / 3, wait, delta=0.05)
        self.assertEqual(1, self.count_runs())

    async def ask_label(self):
        """Ask for a short answer whose first event comes 0.2 s before the end."""
        for engine in self.engines.values():
            engine.pause = 0.5
        headers = {**GENERATION_HEADERS, 'Primrosewood-Token-Usage': '1000,20'}
        asking = asyncio.create_task(
            self.call('POST', '/guide/', name='ab12', headers=headers)
        )
        await self.wait_for(self.has_run_two)
        return asking

    async def has_run_two(self):
        return self.count_runs() == 2

    async def test_short_answer_that_begins_in_the_last_moment(self):
        """A label waits for its engine and begins as its entry's stop ends.

        Even a short answer must not be begun when it may not end: its caller
        gets an error in place of a part.
        """
        asking = await self.ask_label()
        response, _body = await asking
        self.assertEqual(502, response.status)

    async def test_short_answer_that_ends_in_the_last_moment(self):
        """The same, and its engine is quick: the answer is whole."""
        asking = await self.ask_label()
        for engine in self.engines.values():
            engine.events = 5
            engine.pause = 0.01
        response, body = await asking
        self.assertEqual(200, response.status)
        self.assertEqual(5, body.count(b'data:'))


class SlowBodyTest(Deployment):
    """Requests that are still being sent during a stop."""

    async def send(self, seconds):
        async def send_body():
            yield b'as'
            await asyncio.sleep(seconds)
            yield b'ked'

        for engine in self.engines.values():
            engine.events = 300
        headers = {
            **GENERATION_HEADERS,
            'Primrosewood-Token-Usage': '1000,2000',
            'Primrosewood-Length-Hint': '100',
        }
        self.stop.set()
        await asyncio.sleep(2)
        response, _body = await self.call(
            'POST', '/guide/1', headers=headers, data=send_body()
        )
        return response.status

    async def test_body_that_comes_late(self):
        """A certificate's head comes early in a stop and its body late.

        It was judged by the time of its head, when its answer would have
        ended, and was cut.  Its connection is in use when idle ones close,
        so that the rest of the body must still be read.
        """
        self.assertEqual(503, await self.send(seconds=1.2))

    async def test_body_that_never_comes(self):
        """The stop ends first: the caller hears that nothing ran."""
        self.assertEqual(408, await self.send(seconds=5))


class EndOfStopTest(Deployment):
    """Calls that have no answer when the stop ends."""

    async def ask_across_the_stop(self, path, headers):
        asking = asyncio.create_task(
            self.call('POST', path, headers=headers, data=b'asked')
        )
        await asyncio.sleep(0.3)
        self.stop.set()
        return (await asking)[0]

    async def test_service_that_hangs(self):
        """A reorder hangs at its service while its entry is restarted.

        The entry waited for it to the end and closed the connection without
        a word: the caller cannot tell that from a network that broke.
        """
        self.service.seconds = 30
        response = await self.ask_across_the_stop('/issue/', KEY)
        self.assertEqual(502, response.status)
        self.assertEqual('close', response.headers['Connection'])

    async def test_stream_that_has_not_begun(self):
        """A guide waits for its first event when its entry ends."""
        for engine in self.engines.values():
            engine.pause = 30
        response = await self.ask_across_the_stop('/guide/', GENERATION_HEADERS)
        self.assertEqual(502, response.status)

    async def test_process_ends_by_itself(self):
        """A stream outlives the stop, and the platform kills what is left.

        An entry that was still closing its connections then said nothing
        of the streams it cut, so that nobody could explain them.
        """
        for engine in self.engines.values():
            engine.events = 5000
        reading = asyncio.create_task(
            self.call('POST', '/guide/', headers=GENERATION_HEADERS)
        )
        await asyncio.sleep(0.3)
        told = []
        sink = logger.add(lambda message: told.append(message.record))
        self.addCleanup(logger.remove, sink)
        self.stop.set()
        async with asyncio.timeout(LIMITS.stop_seconds):
            await self.entry
        with self.assertRaises(aiohttp.ClientPayloadError):
            await reading
        ends = [
            record['extra']['pairs']
            for record in told
            if record['message'] == 'call_failed'
        ]
        self.assertEqual(['ab12'], [pairs['request'] for pairs in ends])
        self.assertGreater(ends[0]['last_event'], 100)


class KeptConnectionTest(Deployment):
    """Connections that callers keep open while their entry is stopped."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for engine in self.engines.values():
            engine.events = 150
        # Keeps the entry from ending early.
        self.reading = asyncio.create_task(
            self.call(
                'POST', '/guide/', name='ff00', headers=GENERATION_HEADERS
            )
        )
        await asyncio.sleep(0.3)

    async def asyncTearDown(self):
        self.assertEqual(200, (await self.reading)[0].status)

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
        """A caller keeps its connection and uses it again late in a stop.

        The balancer sends new connections elsewhere, but this one stays here:
        its certificate was refused for want of time, or cut, while other
        entries could have served it.  Cause: idle connections were kept until
        the process ended.
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
        """A connection whose answer began before the stop ends after it."""
        reader, writer = await self.open()
        self.service.seconds = 3
        looking = asyncio.create_task(self.look_up(reader, writer, b'ab12'))
        await asyncio.sleep(0.1)
        self.stop.set()
        await looking
        async with asyncio.timeout(0.5):
            self.assertEqual(b'', await reader.read())

    async def test_head_on_its_way(self):
        """Half a head is in when idle connections are closed."""
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
    """An answer that its caller has yet to read."""

    async def test_answer_that_waits_in_the_process(self):
        """A caller reads slowly, and the rest of its answer is still here.

        Its handler has returned, so that nothing counted as in progress; the
        entry ended, and the rest of the answer with it.
        """
        with mock.patch.object(entry, 'has_unsent', return_value=True) as asked:
            self.stop.set()
            await asyncio.sleep(3.2)
            self.assertFalse(self.entry.done())
            asked.return_value = False
            async with asyncio.timeout(0.5):
                await self.entry


class LastRequestTest(Deployment):
    """A request that comes when nothing is left to do."""

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

    async def test_request_that_crosses_the_end(self):
        """A look-up comes in the moment in which an idle entry ends its stop.

        It was read and begun, and its connection closed 0.1 s later without
        an answer.  Cause: the entry looked once whether anything was in
        progress, and then closed with callers still let in.
        """
        close = EntryNode._close

        async def cross(node, *others):
            await self.send()
            await close(node, *others)

        with mock.patch.object(EntryNode, '_close', cross):
            self.stop.set()
            head = await self.read_head()
        self.assertIn(b' 502 ', head)

    async def test_request_before_the_listener_closes(self):
        """The same a moment earlier: there is time, so it is answered."""

        async def cross(runner):
            await self.send()
            await stop_listening(runner)

        with mock.patch.object(entry, 'stop_listening', cross):
            self.stop.set()
            head = await self.read_head()
        self.assertIn(b' 200 ', head)
