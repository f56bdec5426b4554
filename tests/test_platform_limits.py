"""Rate limits of back ends, which hold for all entries together."""

import asyncio
import time

from standins.backends import ServiceStandIn

from .deployment import Deployment
from .windows import most_in_window

CALLS_PER_SECOND = 2.0
# From the first response with the limit until all entries must keep it.
PROPAGATION_SECONDS = 3
WINDOW_SECONDS = 4
# A window may have half as many calls again as the rate allows, and five more.
MAX_CALLS_IN_WINDOW = CALLS_PER_SECOND * WINDOW_SECONDS * 1.5 + 5


class RateLimitTest(Deployment):
    """Three entries and two back ends of one service, one of them limited."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.second_service = ServiceStandIn('i-desk-2')
        await self.add('i-desk-2', 'desk', self.second_service, '127.0.0.8')
        self.addresses = [self.callers]
        for number in (2, 3):
            await self.add_entry(f'entry-{number}')
            self.addresses.append(self.callers)
        for address in self.addresses:
            self.callers = address
            await self.wait_for(self.calls_reach_both)

    async def calls_reach_both(self):
        counts = [len(self.service.ran), len(self.second_service.ran)]
        for _ in range(10):
            self.assertEqual(200, await self.status('GET', '/lookup/'))
        return len(self.service.ran) > counts[0] and (
            len(self.second_service.ran) > counts[1]
        )

    async def send_lookups(self, seconds, interval):
        """Send look-ups to the entries in turn; return the set of statuses."""
        until = time.monotonic() + seconds
        statuses = set()
        number_sent = 0
        while time.monotonic() < until:
            number_sent += 1
            self.callers = self.addresses[number_sent % len(self.addresses)]
            statuses.add(await self.status('GET', '/lookup/'))
            await asyncio.sleep(interval)
        return statuses

    async def test_limit_holds_for_all_entries_together(self):
        """Guards against entries that ignore a limit or each use all of it."""
        self.service.limit = CALLS_PER_SECOND
        limit_set_at = time.monotonic()
        seconds = PROPAGATION_SECONDS + WINDOW_SECONDS + 1
        statuses = await self.send_lookups(seconds, 0.04)
        self.assertEqual({200}, statuses)
        since = limit_set_at + PROPAGATION_SECONDS
        arrived = [at for at in self.service.arrived if at >= since]
        calls_in_busiest_window = most_in_window(arrived, WINDOW_SECONDS)
        self.assertLessEqual(calls_in_busiest_window, MAX_CALLS_IN_WINDOW)
