"""What an entry promises at the edges of its stop."""

import asyncio
import unittest

import aiohttp

from primrosewood.stopping import StopWindow
from primrosewood.timers import TimerGroup

from .deployment import GENERATION_HEADERS, Deployment
from .test_stopping import make_call


class EndedWindowTest(unittest.TestCase):
    """A stop that ends before the balancer has noticed it."""

    def test_caller_that_comes_back_after_the_end(self):
        """The operators give a process 2 s to stop; the balancer needs 2.6 s.

        A refused caller comes back as the process closes.  Cause: the
        exception for those who come back ends when the balancer has noticed,
        and not when the process does.
        """
        window = StopWindow(2, noticed_seconds=2.6)
        window.begin(100)
        self.assertFalse(window.admits(make_call('a'), 1500, 101.9))
        window.end(102)
        self.assertFalse(window.admits(make_call('b'), 1500, 102.01))


class EndedTimersTest(unittest.IsolatedAsyncioTestCase):
    """Time limits that begin when all were ended."""

    async def test_limit_after_the_end(self):
        """A head is read in the moment in which its process ends its calls.

        The rest of the body is awaited for 10 s, so that the connection is
        closed without a word.
        """
        timers = TimerGroup()
        timers.end()
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(1), timers.limit(10):
                await asyncio.sleep(0.5)
                self.fail('not ended')


class ReturnTest(Deployment):
    """When a refused caller is told to come back."""

    async def test_body_that_took_all_the_time(self):
        """A caller waits 0.5 s; its body takes 1 s and ends during a stop.

        A third of what it waits is less than nothing: it was told to come
        back after a negative time, which is no valid answer.
        """

        async def send_body():
            yield b'as'
            await asyncio.sleep(1)
            yield b'ked'

        self.stop.set()
        await asyncio.sleep(2)
        headers = {
            **GENERATION_HEADERS,
            'Primrosewood-Token-Usage': '1000,2000',
            'Primrosewood-Deadline-Ms': '500',
        }
        response, _body = await self.call(
            'POST', '/guide/1', headers=headers, data=send_body()
        )
        self.assertEqual(503, response.status)
        self.assertGreaterEqual(float(response.headers['Retry-After']), 0)


class LateStallTest(Deployment):
    """A stream that was let in late, and whose engine is slower than thought."""

    async def test_engine_that_stalls_after_its_first_event(self):
        """A label begins with room to spare and its engine then stalls.

        It came late, was handed on as it came and cut when the process ended:
        its caller got a part of an answer in place of an error.
        """
        reading = asyncio.create_task(
            self.call(
                'POST', '/guide/', name='ff00', headers=GENERATION_HEADERS
            )
        )
        for engine in self.engines.values():
            engine.events = 300
        await asyncio.sleep(0.3)
        self.stop.set()
        await asyncio.sleep(2.8)
        for engine in self.engines.values():
            engine.pause = 0.1
        headers = {**GENERATION_HEADERS, 'Primrosewood-Token-Usage': '1000,20'}
        asking = asyncio.create_task(
            self.call('POST', '/guide/', name='ab12', headers=headers)
        )
        await asyncio.sleep(0.25)
        for engine in self.engines.values():
            engine.pause = 30
        try:
            response, _body = await asking
        except aiohttp.ClientPayloadError:
            self.fail('cut in the middle')
        finally:
            reading.cancel()
            await asyncio.gather(reading, return_exceptions=True)
        self.assertEqual(502, response.status)
