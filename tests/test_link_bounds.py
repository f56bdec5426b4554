"""A link whose peer reads slowly, without network.

Load pattern: a process tells all its peers the same news, and one of them is
behind a thin or stalled connection.
"""

import asyncio
import unittest

from primrosewood import gen_wire as wire
from primrosewood.link import Link
from primrosewood.metrics import Metrics

_LARGE = wire.PairsUpdate(
    asker='',
    since=0,
    newest=1,
    pairs=[wire.StoredPair('routes', 1, False, b'x' * 100_000)],
)
_SMALL = wire.RunMoved(attempt='a1', source='a:1', handle='h', target='b:1')


class StalledSocket:
    """A connection that accepts frames only when told to."""

    def __init__(self):
        self.frames = []
        self.open = asyncio.Event()

    async def send(self, frame):
        await self.open.wait()
        self.frames.append(frame)

    async def recv(self):
        await asyncio.Event().wait()

    async def close(self):
        self.open.set()

    def __aiter__(self):
        return self

    async def __anext__(self):
        await asyncio.Event().wait()


class LinkBoundsTest(unittest.IsolatedAsyncioTestCase):
    """What a link holds while its peer does not read."""

    async def asyncSetUp(self):
        self.socket = StalledSocket()
        self.metrics = Metrics()
        self.link = Link(self.socket, self.metrics)
        task = asyncio.create_task(self.link.run(lambda _message: None))
        self.addCleanup(task.cancel)

    def count_dropped(self):
        text = self.metrics.expose().decode()
        rows = [row for row in text.splitlines() if 'messages_dropped' in row]
        values = [float(row.split()[-1]) for row in rows if row[0] != '#']
        return sum(values)

    async def test_repeated_news_is_dropped_beyond_the_bound(self):
        """Guards against 163 MB in a process whose peers read slowly."""
        for _number in range(50):
            self.link.send(_LARGE)
            await asyncio.sleep(0)
        self.assertGreaterEqual(self.count_dropped(), 46)

    async def test_what_is_not_repeated_is_kept(self):
        for _number in range(5):
            self.link.send(_LARGE)
        self.link.send(_SMALL)
        self.socket.open.set()
        await asyncio.sleep(0.05)
        self.assertTrue(any(b'a1' in frame for frame in self.socket.frames))

    async def test_news_is_sent_again_once_the_peer_has_read(self):
        for _number in range(5):
            self.link.send(_LARGE)
        dropped = self.count_dropped()
        self.socket.open.set()
        await asyncio.sleep(0.05)
        sent = len(self.socket.frames)
        self.link.send(_LARGE)
        await asyncio.sleep(0.05)
        self.assertEqual(sent + 1, len(self.socket.frames))
        self.assertEqual(dropped, self.count_dropped())
