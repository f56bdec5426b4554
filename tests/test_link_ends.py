"""How links end, and what the attempts on them are told."""

import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

from websockets.asyncio.server import serve

from primrosewood import gen_wire as wire
from primrosewood.clock import SystemClock
from primrosewood.codec import parse_frame, serialise_frame
from primrosewood.gen_process import Limits, Timing
from primrosewood.gen_stored import MemberRecord
from primrosewood.link import Link
from primrosewood.linkpool import Inbox, LinkLost, LinkPool
from primrosewood.membership import EndpointView
from primrosewood.metrics import Metrics
from primrosewood.settings import SettingsStore

_LOAD = wire.Load(running=0, queued=0, limit=1)
_WELCOME = wire.Welcome('e1', 'i1', 'd1', _LOAD)
_TOKENS = wire.Tokens('a1', 0, ['a '])


async def _close_with_frame(socket):
    await socket.close()


async def _close_connection(socket):
    socket.transport.close()


async def _close_one_way(socket):
    socket.transport.write_eof()


async def _abort(socket):
    socket.transport.abort()


async def _send_part_of_a_frame(socket):
    socket.transport.write(b'\x82\x7e')
    socket.transport.close()


async def _send_text(socket):
    await socket.send('text')


_ENDS = (
    _close_with_frame,
    _close_connection,
    _close_one_way,
    _abort,
    _send_part_of_a_frame,
    _send_text,
)


class LinkEndTest(unittest.IsolatedAsyncioTestCase):
    """Links of an entry that the other process ends within an answer."""

    async def serve_link(self, end):
        """Serve links that send one token and end; return a view of it."""

        async def handle(socket):
            await socket.recv()
            await socket.send(serialise_frame([_WELCOME]))
            await self.ready.wait()
            await socket.send(serialise_frame([_TOKENS]))
            await end(socket)
            await socket.wait_closed()

        self.ready = asyncio.Event()
        server = await serve(handle, '127.0.0.1', 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        member = MemberRecord(
            'e1', 'vm-1', 't', 's', 'd1', 'i1', f'ws://127.0.0.1:{port}'
        )
        return EndpointView(member)

    async def receive_all(self, end):
        """Return what an attempt receives over a link that ends."""
        settings = SimpleNamespace(
            name='entry-1', limits=Limits(), timing=Timing()
        )
        pool = LinkPool(
            settings,
            'i0',
            'k',
            None,
            SettingsStore(),
            SystemClock(),
            mock.Mock(random=lambda: 0),
            Metrics(),
        )
        client = pool.open(await self.serve_link(end))
        self.addCleanup(pool.stop)
        self.assertTrue(await client.wait_linked(5))
        inbox = Inbox()
        client.open_inbox('a1', inbox)
        self.ready.set()
        received = []
        async with asyncio.timeout(5):
            while not received or not isinstance(received[-1], LinkLost):
                received.append(await inbox.receive())
        return received

    async def test_every_end_within_an_answer(self):
        """Guards against a closed link taken for the end of an answer."""
        for end in _ENDS:
            with self.subTest(end.__name__):
                received = await self.receive_all(end)
                self.assertEqual([_TOKENS, LinkLost()], received)


class _SlowSocket:
    """A connection that takes a while for each frame."""

    def __init__(self):
        self.messages = []
        self.closed = asyncio.Event()

    async def send(self, frame):
        self.messages += parse_frame(frame)
        await asyncio.sleep(0.05)
        if self.closed.is_set():
            raise AssertionError('closed under a frame')

    async def close(self):
        self.closed.set()

    def __aiter__(self):
        return self

    async def __anext__(self):
        await self.closed.wait()
        raise StopAsyncIteration


class LinkCloseTest(unittest.IsolatedAsyncioTestCase):
    """Links that this process closes."""

    async def test_close_while_messages_are_sent(self):
        """Guards against a lost end of an answer as an endpoint stops."""
        socket = _SlowSocket()
        link = Link(socket, Metrics())
        task = asyncio.create_task(link.run(lambda _message: None))
        replies = [
            wire.Reply(name, 200, '', b'done', _LOAD) for name in ('a1', 'a2')
        ]
        for reply in replies:
            link.send(reply)
        await asyncio.sleep(0.02)
        self.assertEqual(1, len(socket.messages))
        await link.close()
        await task
        self.assertEqual(replies, socket.messages)

    async def test_close_while_the_peer_does_not_read(self):
        """Guards against an endpoint that cannot stop for a stalled peer."""
        socket = _SlowSocket()
        socket.send = lambda _frame: socket.closed.wait()
        link = Link(socket, Metrics())
        task = asyncio.create_task(link.run(lambda _message: None))
        link.send(wire.Reply('a1', 200, '', b'done', _LOAD))
        await asyncio.sleep(0.02)
        link.send(wire.Reply('a2', 200, '', b'done', _LOAD))
        async with asyncio.timeout(3):
            await link.close()
        await task
