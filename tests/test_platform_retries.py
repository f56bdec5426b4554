"""Retries that processes beside engines keep for the next process of an entry."""

import asyncio

from msgspec import structs

from primrosewood import gen_wire as wire
from primrosewood.clock import SystemClock
from primrosewood.identity import make_identifier
from primrosewood.metrics import Metrics
from primrosewood.peerlink import LinkIdentity, PeerConnector
from standins.backends import ServiceStandIn

from .deployment import LIMITS, Deployment


class KeptRetriesTest(Deployment):
    """An entry whose calls are refused, and processes that take its name."""

    limits = structs.replace(LIMITS, repeat_window_seconds=6)

    async def recall(self, name, wants_retries=True):
        """Connect to all processes beside engines; return what they send."""
        received = []
        identity = LinkIdentity(
            name, make_identifier(), '', wants_retries=wants_retries
        )
        connector = PeerConnector(identity, SystemClock(), Metrics())
        links = [
            connector.open(
                f'ws://127.0.0.{number + 1}:{self.link_port}',
                lambda message, _link: received.append(message),
            )
            for number in (1, 2)
        ]

        async def all_reported():
            reports = [each for each in received if is_report(each)]
            return len(reports) >= len(links)

        # Each process sends its last report and then what it has kept.
        await self.wait_for(all_reported)
        await asyncio.sleep(0.2)
        for link in links:
            link.stop()
        return [each for each in received if isinstance(each, wire.RetryRecall)]

    async def refuse_calls(self):
        """Let every look-up be refused by two back ends; return their number."""
        other = ServiceStandIn('i-other')
        await self.add('i-other', 'desk', other, '127.0.0.8')
        services = (self.service, other)

        async def other_is_called():
            await self.call('GET', '/lookup/')
            return bool(other.ran)

        await self.wait_for(other_is_called)
        # Then what a process before might have used does not count any more.
        await asyncio.sleep(self.limits.repeat_window_seconds + 1)
        arrived = sum(len(each.arrived) for each in services)
        for each in services:
            each.refusing = True
        calls = 5
        for _ in range(calls):
            await self.call('GET', '/lookup/')
            await asyncio.sleep(1.1)
        return sum(len(each.arrived) for each in services) - arrived - calls

    async def test_next_process_is_told(self):
        """Guards against retries that are forgotten with a process."""
        repeated = await self.refuse_calls()
        self.assertGreater(repeated, 0)
        kept = await self.recall('entry-1')
        self.assertEqual(2, len(kept))
        for each in kept:
            (record,) = each.counted
            self.assertEqual('desk', record.service)
            self.assertEqual(repeated, sum(record.retries))

    async def test_another_entry_is_told_nothing(self):
        await self.refuse_calls()
        kept = await self.recall('entry-2')
        self.assertEqual([[], []], [each.counted for each in kept])

    async def test_process_of_an_older_build_is_not_sent_the_message(self):
        """Guards against a link that ends by a message nobody knows there."""
        self.assertEqual([], await self.recall('entry-1', wants_retries=False))


def is_report(message):
    return isinstance(message, wire.EngineReport)
