"""Limits that back ends name for the calls of all entries together."""

import asyncio
import time

from standins.backends import ServiceStandIn

from .deployment import Deployment
from .windows import most_in_window

RATE = 2.0
# From the first answer that names a limit until it must be kept.
NOTICE_SECONDS = 3
WINDOW_SECONDS = 4
# A window may hold half as much again as the rate allows, and a few more.
MOST_IN_WINDOW = RATE * WINDOW_SECONDS * 1.5 + 5


class NamedLimitTest(Deployment):
    """Three entries before two copies of a service, one with a limit."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.second = ServiceStandIn('i-desk-2')
        await self.add('i-desk-2', 'desk', self.second, '127.0.0.8')
        self.addresses = [self.callers]
        for number in (2, 3):
            await self.add_entry(f'entry-{number}')
            self.addresses.append(self.callers)
        for address in self.addresses:
            self.callers = address
            await self.wait_for(self.is_served_by_both)

    async def is_served_by_both(self):
        counts = [len(self.service.ran), len(self.second.ran)]
        for _ in range(10):
            self.assertEqual(200, await self.status('GET', '/lookup/'))
        return len(self.service.ran) > counts[0] and (
            len(self.second.ran) > counts[1]
        )

    async def load(self, seconds, pause):
        """Send look-ups to the entries in turn and return the statuses."""
        until = time.monotonic() + seconds
        statuses = set()
        turn = 0
        while time.monotonic() < until:
            turn += 1
            self.callers = self.addresses[turn % len(self.addresses)]
            statuses.add(await self.status('GET', '/lookup/'))
            await asyncio.sleep(pause)
        return statuses

    async def test_calls_of_all_entries_to_a_limited_back_end(self):
        """Guards against a limit that entries ignore, or each keep alone."""
        self.service.limit = RATE
        named_at = time.monotonic()
        seconds = NOTICE_SECONDS + WINDOW_SECONDS + 1
        statuses = await self.load(seconds, 0.04)
        self.assertEqual({200}, statuses)
        since = named_at + NOTICE_SECONDS
        arrived = [at for at in self.service.arrived if at >= since]
        most = most_in_window(arrived, WINDOW_SECONDS)
        self.assertLessEqual(most, MOST_IN_WINDOW)
