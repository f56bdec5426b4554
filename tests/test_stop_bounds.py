"""Edge cases of an entry's planned stop."""

import asyncio
import unittest

import aiohttp
from msgspec import structs

from primrosewood.stopping import StopWindow
from primrosewood.timers import TimerGroup

from .deployment import GENERATION_HEADERS, LIMITS, Deployment
from .test_stopping import make_call


class EndedWindowTest(unittest.TestCase):
    """A stop that ends before the load balancer has noticed it."""

    def test_retry_after_the_end(self):
        """A process has 2 s to stop, and the load balancer needs 2.6 s.

        A refused caller retries as the process exits.  Guards against an
        exception for retries that applies until the balancer has noticed the
        stop, and not only until the process ends.
        """
        window = StopWindow(2, balancer_notice_seconds=2.6)
        window.begin(100)
        self.assertFalse(window.admits(make_call('a'), 1500, 101.9))
        window.end(102)
        self.assertFalse(window.admits(make_call('b'), 1500, 102.01))


class EndedTimersTest(unittest.IsolatedAsyncioTestCase):
    """Time limits that start after the timers have been ended."""

    async def test_limit_after_the_end(self):
        """A request head is read just as the process ends its calls.

        Guards against waiting 10 s for the body, so that the connection was
        closed without an answer.
        """
        timers = TimerGroup()
        timers.end()
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(1), timers.limit(10):
                await asyncio.sleep(0.5)
                self.fail('not ended')


class ReturnTest(Deployment):
    """Retry-After of a refused call."""

    async def test_body_that_takes_longer_than_the_deadline(self):
        """A body takes 1 s, with a deadline of 0.5 s, and ends in a stop.

        Guards against a Retry-After computed as a third of the remaining time
        when that is negative, which is not a valid header.
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
    """A stream that is admitted late and whose engine is slower than expected."""

    # Time for a test that falls behind: late streams are admitted only while
    # they still fit.
    limits = structs.replace(LIMITS, stop_seconds=8)

    async def test_engine_that_stalls_after_its_first_event(self):
        """A short stream begins in time, and then its engine stalls.

        Guards against forwarding a stream that was admitted late as it
        arrives: it was cut when the process ended, and its caller got part of
        an answer instead of an error.
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
