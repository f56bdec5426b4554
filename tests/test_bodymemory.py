"""Memory for the bodies of requests: many large ones at once."""

import asyncio
import unittest

from primrosewood.bodymemory import BodyMemory
from primrosewood.errors import RequestFailedError

from .deployment import Deployment

_MEGABYTE = 1_000_000
_LIMIT = 24 * _MEGABYTE
_SMALL = 2000


class BodyMemoryTest(unittest.IsolatedAsyncioTestCase):
    """The sum of the bodies that are held."""

    def setUp(self):
        self.memory = BodyMemory(_LIMIT)
        self.most = 0

    async def hold(self, size, seconds, grows=False):
        """Hold a body for some time; return the status of its call."""
        try:
            with self.memory.open('ab12') as held:
                if grows:
                    for part in range(1, 11):
                        held.grow_to(size * part // 10)
                        await asyncio.sleep(0)
                else:
                    await held.reserve(size)
                self.most = max(self.most, self.memory.used_bytes)
                await asyncio.sleep(seconds)
        except RequestFailedError as error:
            return error.answer.status
        return 200

    async def hold_many(self, number, *arguments, **fields):
        statuses = await asyncio.gather(
            *(self.hold(*arguments, **fields) for _ in range(number))
        )
        self.assertLessEqual(self.most, _LIMIT)
        self.assertEqual(0, self.memory.used_bytes)
        return statuses

    async def test_many_large_bodies(self):
        """Guards against an entry that is killed for its memory."""
        statuses = await self.hold_many(40, 4 * _MEGABYTE, 0.05)
        self.assertEqual({200}, set(statuses))

    async def test_bodies_that_find_no_memory(self):
        """Guards against calls that are held until their callers give up."""
        statuses = await self.hold_many(40, 4 * _MEGABYTE, 2)
        self.assertEqual(
            {200: 4, 429: 36}, {s: statuses.count(s) for s in statuses}
        )

    async def test_bodies_of_unknown_size(self):
        """Guards against bodies that wait for each other, partly read."""
        statuses = await self.hold_many(20, 4 * _MEGABYTE, 0.05, grows=True)
        self.assertLessEqual(set(statuses), {200, 429})
        self.assertIn(200, statuses)

    async def test_small_bodies_pass_by_large_ones(self):
        """Guards against all calls waiting for a few large ones."""
        large = asyncio.create_task(self.hold_many(10, 4 * _MEGABYTE, 0.3))
        await asyncio.sleep(0.01)
        async with asyncio.timeout(0.1):
            self.assertEqual(200, await self.hold(_SMALL, 0))
        await large

    async def test_body_that_never_fits(self):
        self.assertEqual(413, await self.hold(20 * _MEGABYTE, 0))

    async def test_caller_leaves_while_its_body_waits(self):
        """Guards against memory that is taken for callers who have left."""
        first = asyncio.create_task(self.hold(18 * _MEGABYTE, 0.05))
        await asyncio.sleep(0)
        waiting = asyncio.create_task(self.hold(18 * _MEGABYTE, 0))
        await asyncio.sleep(0.01)
        waiting.cancel()
        await asyncio.gather(first, waiting, return_exceptions=True)
        self.assertEqual(0, self.memory.used_bytes)
        self.assertEqual(200, await self.hold(18 * _MEGABYTE, 0))


class LargeBodiesTest(Deployment):
    """Large bodies at once, on the whole path to a back end."""

    body_memory_bytes = 40_000

    async def test_all_are_answered(self):
        """Guards against lost calls, and refused ones that have run."""
        self.service.seconds = 0.2
        statuses = await asyncio.gather(
            *(
                self.status(
                    'POST', '/issue/', name=f'call-{number}', data=b'x' * 9000
                )
                for number in range(20)
            )
        )
        self.assertLessEqual(set(statuses), {200, 429})
        self.assertEqual(statuses.count(200), len(self.service.ran))
