"""Back ends that ask in their answers to get fewer calls, or none."""

import asyncio
import time

from standins.backends import ServiceStandIn

from .deployment import GENERATION_HEADERS, Deployment

# Calls that were sent before the refusal arrived may reach the back end later.
GRACE_SECONDS = 0.5
MAX_CALLS_DURING_REST = 2
REST_SECONDS = 2.0
# An answer that says that its back end leaves takes effect at once; calls that
# are on their way then arrive within this time.
LEAVING_SECONDS = 0.3


class BackpressureTest(Deployment):
    """An entry before two back ends of a plain service and two engines."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.other_service = ServiceStandIn('i-desk-2')
        await self.add('i-desk-2', 'desk', self.other_service, '127.0.0.8')
        await self.wait_for(self.calls_reach_both)

    async def calls_reach_both(self):
        for _ in range(10):
            self.assertEqual(200, await self.status('GET', '/lookup/'))
        return bool(self.service.ran and self.other_service.ran)

    async def send_lookups(self, seconds):
        """Send look-ups one after the other; return the set of statuses."""
        until = time.monotonic() + seconds
        statuses = set()
        while time.monotonic() < until:
            statuses.add(await self.status('GET', '/lookup/'))
            await asyncio.sleep(0.01)
        return statuses

    async def refuse_once(self, back_end, path='/lookup/', **fields):
        """Let a back end refuse one call; return when it did."""
        back_end.retry_after = REST_SECONDS
        back_end.refusing = True
        arrived = len(back_end.arrived)

        async def has_refused():
            await self.status('GET', path, **fields)
            return len(back_end.arrived) > arrived

        await self.wait_for(has_refused)
        back_end.refusing = False
        return back_end.arrived[-1]

    def count_arrivals(self, back_end, since, until):
        return sum(since <= arrived < until for arrived in back_end.arrived)

    async def test_no_calls_while_a_back_end_rests(self):
        """Guards against calls that ignore a refusal's Retry-After."""
        refused_at = await self.refuse_once(self.service)
        rest_ends_at = refused_at + REST_SECONDS
        statuses = await self.send_lookups(rest_ends_at - time.monotonic())
        self.assertEqual({200}, statuses)
        during_rest = self.count_arrivals(
            self.service, refused_at + GRACE_SECONDS, rest_ends_at
        )
        self.assertLessEqual(during_rest, MAX_CALLS_DURING_REST)
        await self.wait_for(self.is_called_again)

    async def is_called_again(self):
        arrived = len(self.service.arrived)
        await self.status('GET', '/lookup/')
        return len(self.service.arrived) > arrived

    async def test_caller_is_refused_while_all_back_ends_rest(self):
        """Guards against callers that return before any rest has ended."""
        await self.refuse_once(self.service)
        refused_at = await self.refuse_once(self.other_service)
        first_rest_ends_at = self.service.arrived[-1] + REST_SECONDS
        counts = [len(self.service.arrived), len(self.other_service.arrived)]
        for _ in range(5):
            sent_at = time.monotonic()
            response, _body = await self.call('GET', '/lookup/')
            self.assertIn(response.status, (429, 503))
            self.assertLess(time.monotonic() - sent_at, 0.2)
            returns_at = sent_at + float(response.headers['Retry-After'])
            self.assertGreaterEqual(returns_at, first_rest_ends_at - 0.05)
            self.assertLess(returns_at, refused_at + REST_SECONDS + 1)
        self.assertEqual(
            counts,
            [len(self.service.arrived), len(self.other_service.arrived)],
        )

    async def test_no_streams_while_an_engine_rests(self):
        """Guards against generations that ignore a refusal's Retry-After."""
        for engine in self.engines.values():
            engine.events = 2
        refused_at = await self.refuse_once(
            engine, '/guide/1', headers=GENERATION_HEADERS
        )
        rest_ends_at = refused_at + REST_SECONDS
        while time.monotonic() < rest_ends_at:
            status = await self.status(
                'GET', '/guide/1', headers=GENERATION_HEADERS
            )
            self.assertEqual(200, status)
        during_rest = self.count_arrivals(
            engine, refused_at + GRACE_SECONDS, rest_ends_at
        )
        self.assertLessEqual(during_rest, MAX_CALLS_DURING_REST)

    async def test_no_calls_after_an_answer_that_says_leaving(self):
        """Guards against calls to a back end that only its answers say leaves.

        Its record still says that it is ready.
        """
        self.service.leaving = True
        told_at = await self.refuse_once(self.service)
        statuses = await self.send_lookups(REST_SECONDS + 1)
        self.assertEqual({200}, statuses)
        late = self.count_arrivals(
            self.service, told_at + LEAVING_SECONDS, float('inf')
        )
        self.assertEqual(0, late)
