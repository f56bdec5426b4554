"""Callers of an entry that is being stopped."""

import asyncio
import contextlib

import aiohttp

from .deployment import GUIDE, Deployment

# The stop of these tests lasts 4 s; the balancer notices it after 2.6 s.
_LATE_SECONDS = 3.0


class LateStreamTest(Deployment):
    """Streams that come when the balancer has noticed the stop."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for engine in self.engines.values():
            engine.events = 300
        # A reader from before the stop, without whom the entry would end.
        reading = asyncio.create_task(
            self.call('POST', '/guide/', name='ff00', headers=GUIDE)
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
            **GUIDE,
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
        self.assertEqual(1, self.count_runs())
