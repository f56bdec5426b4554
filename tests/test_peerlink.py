"""Messages that one process sends to dozens of peers over its links."""

import asyncio
import unittest
from unittest import mock

from primrosewood import gen_wire as wire
from primrosewood.codec import encode_message, parse_frame
from primrosewood.link import Link
from primrosewood.metrics import Metrics
from primrosewood.peerlink import PeerServer

_PEERS = 68
_REPORT = wire.EngineReport(
    running=3,
    queued=0,
    used_tokens=9000,
    total_tokens=34_312,
    leaving=False,
    entries=_PEERS,
)


class _Socket:
    """An established connection on which nothing arrives."""

    def __init__(self, hello):
        self.sent = []
        self._hello = hello

    async def recv(self):
        return self._hello

    async def send(self, frame):
        self.sent.append(frame)

    async def close(self, _code=1000):
        return None

    def __aiter__(self):
        return self

    async def __anext__(self):
        await asyncio.Event().wait()


class PeerServerTest(unittest.IsolatedAsyncioTestCase):
    """A report of an engine to each of 68 entries."""

    async def asyncSetUp(self):
        self.metrics = Metrics()
        self.server = PeerServer(
            'k', lambda _message, _link: None, self.metrics
        )
        self.sockets = []
        for number in range(_PEERS):
            hello = wire.Hello(
                f'e{number}', 'i', 'k', confirms_stops=number % 2 == 0
            )
            socket = _Socket(_frame(hello))
            self.sockets.append(socket)
            # The connection handler, as the listening socket would call it.
            work = asyncio.create_task(self.server._serve_peer(socket))
            self.addCleanup(work.cancel)
        async with asyncio.timeout(5):
            while self.server.peers < _PEERS:
                await asyncio.sleep(0.001)

    async def broadcast(self, message):
        self.server.broadcast(message)
        async with asyncio.timeout(5):
            while not all(socket.sent for socket in self.sockets):
                await asyncio.sleep(0.001)

    async def test_broadcast_is_encoded_once(self):
        """Guards against encoding each report 68 times."""
        with mock.patch(
            'primrosewood.peerlink.encode_message', wraps=encode_message
        ) as encode:
            await self.broadcast(_REPORT)
        self.assertEqual(1, encode.call_count)
        for socket in self.sockets:
            self.assertEqual([_REPORT], parse_frame(b''.join(socket.sent)))

    async def test_sent_messages_are_counted_by_kind(self):
        """Operators see which messages grow with the size of a fleet."""
        await self.broadcast(_REPORT)
        exposed = self.metrics.expose().decode().splitlines()
        size = len(encode_message(_REPORT).body)
        labels = '{reason="EngineReport"}'
        for line in (
            f'primrosewood_messages_sent_total{labels} {_PEERS}.0',
            f'primrosewood_message_bytes_sent_total{labels} {_PEERS * size}.0',
        ):
            self.assertIn(line, exposed)

    async def test_stops_are_announced_to_those_that_confirm(self):
        """Guards against links that an unknown message closes.

        Older processes refuse a frame with one.
        """
        query = wire.StopQuery('ab12', 'a:1', 5, 1)
        self.server.announce_stop(query)
        newer, older = self.sockets[::2], self.sockets[1::2]
        await self.wait_until_sent(newer)
        self.assertEqual([query], parse_frame(b''.join(newer[-1].sent)))
        self.assertFalse(any(socket.sent for socket in older))

    async def test_stop_is_announced_to_one_entry(self):
        """Guards against bytes that grow with entries times moves."""
        holder = list(self.server._links)[2]
        self.server.announce_stop(wire.StopQuery('ab12', 'a:1', 5, 1), holder)
        await self.wait_until_sent(self.sockets[2:3])
        self.assertEqual(1, sum(bool(each.sent) for each in self.sockets))

    async def wait_until_sent(self, sockets):
        async with asyncio.timeout(5):
            while not all(socket.sent for socket in sockets):
                await asyncio.sleep(0.001)


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """Frames of one link."""

    async def test_messages_of_a_burst_share_frames_in_order(self):
        """Hundreds of messages wait while a slow link is not writable."""
        socket = _Socket(b'')
        link = Link(socket, Metrics())
        messages = [wire.Credit(f'a{number}', number) for number in range(300)]
        for message in messages:
            link.send(message)
        await link.close()
        frames = [parse_frame(frame) for frame in socket.sent]
        self.assertEqual([128, 128, 44], [len(frame) for frame in frames])
        self.assertEqual(messages, sum(frames, []))


def _frame(message):
    # A CBOR array of one element.
    return b'\x81' + encode_message(message).body
