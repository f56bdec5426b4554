"""Calls to back ends that misbehave, against small raw servers."""

import asyncio
import socket
import struct
import unittest
from contextlib import suppress

from primrosewood.backendset import Backend, BackendRecord
from primrosewood.clock import SystemClock
from primrosewood.directcalls import DirectCall, BackendAttempt, Resumption
from primrosewood.errors import BackendCutError, NotRunError
from primrosewood.platform.engines import HttpTransport
from primrosewood.routes import Route, RouteKind, Target
from primrosewood.shares import ColdLimit, EntryCount

HEAD = b'HTTP/1.1 200 OK\r\n'
MARKS = b'Primrosewood-Attempt-Id: ab12\r\nPrimrosewood-Response-Seal: s\r\n'
SIZED = b'Content-Length: 5\r\n\r\n'
WHOLE = HEAD + MARKS + SIZED + b'whole'
ROUTE = Route('r', 'h', '/', RouteKind.idempotent, (Target('s'),), 2, 0.2)


class TransportTest(unittest.IsolatedAsyncioTestCase):
    """What comes back from one raw answer."""

    async def asyncSetUp(self):
        self.limits = []
        self.transport = HttpTransport(SystemClock(), self.note_limit)
        self.addAsyncCleanup(self.transport.close)
        self.received = []
        self.connections = 0

    def note_limit(self, _backend, rate, _sent_at):
        self.limits.append(rate)

    async def serve(self, answer, reset=False):
        async def handle(reader, writer):
            self.connections += 1
            head = await reader.readuntil(b'\r\n\r\n')
            self.received.append(head)
            if b'ontent-Length: 4' in head:
                self.received.append(await reader.readexactly(4))
            writer.write(answer)
            await writer.drain()
            if reset:
                # What was written arrives first, then the reset.
                await asyncio.sleep(0.05)
                linger = struct.pack('ii', 1, 0)
                connection = writer.get_extra_info('socket')
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, linger
                )
            writer.close()

        server = await asyncio.start_server(handle, '127.0.0.1', 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'

    async def fetch(self, address, resumption=None, **fields):
        record = BackendRecord('i-1', 's', address, 'd1', 8)
        backend = Backend(record, ColdLimit(EntryCount(1)))
        now = SystemClock().monotonic()
        call = DirectCall(
            name='ab12',
            route=ROUTE,
            service='s',
            organisation='o1',
            arrived=now,
            deadline=now + 2,
            patience=now + 1,
            **{
                'method': 'GET',
                'target': '/x',
                'headers': (('Host', 'h.example'),),
                'body': b'',
                **fields,
            },
        )
        async with self.transport.send(
            call, BackendAttempt(backend, resumption)
        ) as reply:
            return b''.join([part async for part in reply.parts()])

    async def test_whole_answer(self):
        address = await self.serve(WHOLE)
        self.assertEqual(b'whole', await self.fetch(address))

    async def test_answer_without_length_that_is_reset(self):
        """An engine's answer has no length and its connection is reset.

        The HTTP library takes the reset for the end, so half a certificate
        would pass as a whole one.
        """
        address = await self.serve(HEAD + MARKS + b'\r\nhalf', reset=True)
        with self.assertRaises(BackendCutError):
            await self.fetch(address)

    async def test_answer_without_length_that_ends(self):
        address = await self.serve(HEAD + MARKS + b'\r\nall')
        self.assertEqual(b'all', await self.fetch(address))

    async def test_answers_that_do_not_count(self):
        """Answers of other calls, without a seal, or spoiled on the way."""
        other = MARKS.replace(b'ab12', b'cd34')
        encoded = MARKS + b'Content-Encoding: gzip\r\n'
        promise = b'HTTP/1.1 503 Busy\r\n' + MARKS + SIZED + b'sorry'
        for answer in (
            HEAD + other + SIZED + b'whole',
            HEAD + SIZED + b'whole',
            HEAD + encoded + SIZED + b'whole',
            HEAD + MARKS + SIZED + b'wh',
            b'garbage\r\n\r\n',
            b'',
            promise,
        ):
            with self.subTest(answer), self.assertRaises(BackendCutError):
                await self.fetch(await self.serve(answer))

    async def test_answers_that_say_it_did_not_run(self):
        marked = b'HTTP/1.1 503 Busy\r\nPrimrosewood-Not-Executed: 1\r\n'
        other = b'HTTP/1.1 421 Misdirected Request\r\n'
        for head in (marked, other):
            address = await self.serve(head + SIZED + b'sorry')
            with self.subTest(head), self.assertRaises(NotRunError):
                await self.fetch(address)

    async def test_limits_that_answers_name(self):
        """Guards against limits of stray answers, or lifted by failures."""
        limit = b'Server-Limit: 1.8\r\n'
        other = MARKS.replace(b'ab12', b'cd34')
        marked = b'HTTP/1.1 503 Busy\r\nPrimrosewood-Not-Executed: 1\r\n'
        failure = b'HTTP/1.1 500 Failed\r\n' + MARKS
        for head, told in (
            (HEAD + MARKS + limit, [1.8]),
            (HEAD + MARKS, [None]),
            (HEAD + MARKS + b'Server-Limit: nan\r\n', []),
            (HEAD + MARKS + b'Server-Limit: -1\r\n', []),
            (marked + limit, [1.8]),
            (marked, []),
            (failure + limit, [1.8]),
            (failure, []),
            (HEAD + other + limit, []),
            (b'HTTP/1.1 421 Misdirected Request\r\n' + limit, []),
            (HEAD + SIZED.strip() + b'\r\n', []),
        ):
            self.limits.clear()
            address = await self.serve(head + SIZED + b'whole')
            with suppress(BackendCutError, NotRunError):
                await self.fetch(address)
            with self.subTest(head):
                self.assertEqual(told, self.limits)

    async def test_nobody_listens(self):
        """Nothing was written, so it certainly did not run."""
        with self.assertRaises(NotRunError):
            await self.fetch('127.0.0.1:1')

    async def test_nothing_is_sent_twice(self):
        """A back end closes before it answers.

        The HTTP library would send a GET again by itself.
        """
        address = await self.serve(b'')
        with self.assertRaises(BackendCutError):
            await self.fetch(address)
        self.assertEqual(1, self.connections)

    async def test_call_is_carried_byte_for_byte(self):
        address = await self.serve(WHOLE)
        await self.fetch(
            address,
            method='POST',
            target='/a%2Fb//c/../d?x=%41&&y',
            headers=(('Host', 'h.example'), ('X-A', '1'), ('X-A', '2')),
            body=b'body',
        )
        head, body = self.received
        self.assertTrue(head.startswith(b'POST /a%2Fb//c/../d?x=%41&&y HTTP'))
        self.assertEqual(b'body', body)
        self.assertIn(b'X-A: 1\r\nX-A: 2\r\n', head)
        self.assertIn(b'Host: h.example\r\n', head)
        for name in (b'User-Agent', b'Accept', b'Content-Type', b'Cookie'):
            self.assertNotIn(name, head)

    async def test_headers_of_the_system(self):
        address = await self.serve(WHOLE)
        await self.fetch(address, Resumption('1.2.3.4:5', 'h-7', 12))
        head = self.received[0].decode()
        self.assertIn('Primrosewood-Expect-Instance: i-1\r\n', head)
        self.assertIn('Primrosewood-Tenant: o1\r\n', head)
        self.assertIn('Kv-From: 1.2.3.4:5/h-7\r\n', head)
        self.assertIn('Last-Event-Id: 12\r\n', head)
        deadline = head.partition('Primrosewood-Deadline-Ms: ')[2]
        self.assertLessEqual(int(deadline.partition('\r')[0]), 1000)
