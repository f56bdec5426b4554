"""HttpTransport against raw TCP servers that send faulty responses."""

import asyncio
import socket
import struct
import unittest
from contextlib import suppress
from functools import partial
from itertools import product

from primrosewood.backendstate import Backend, BackendRecord
from primrosewood.clock import SystemClock
from primrosewood.directcalls import (
    AnswerFraming,
    BackendAttempt,
    DirectCall,
    Resumption,
)
from primrosewood.entrycount import EntryCount
from primrosewood.errors import (
    BackendCutError,
    BackendPausedError,
    NotRunError,
    RunStoppedError,
)
from primrosewood.moves import EngineRun
from primrosewood.platform.engines import HttpMovableEngine, HttpTransport
from primrosewood.routes import Route, RouteKind, Target
from primrosewood.sharedlimits import ColdLimit

STATUS_LINE = b'HTTP/1.1 200 OK\r\n'
RESPONSE_HEADERS = (
    b'Primrosewood-Attempt-Id: ab12\r\nPrimrosewood-Response-Seal: s\r\n'
)
LENGTH_HEADER = b'Content-Length: 5\r\n\r\n'
COMPLETE_RESPONSE = STATUS_LINE + RESPONSE_HEADERS + LENGTH_HEADER + b'whole'
ROUTE = Route('r', 'h', '/', RouteKind.idempotent, (Target('s'),), 2, 0.2)


class _ServerTestCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests against servers that send fixed bytes."""

    async def asyncSetUp(self):
        self.received = []
        self.connections = 0

    async def serve(self, response, reset=False):
        """Start a server that sends fixed bytes; return its address."""

        async def handle(reader, writer):
            self.connections += 1
            head = await reader.readuntil(b'\r\n\r\n')
            self.received.append(head)
            if b'ontent-Length: 4' in head:
                self.received.append(await reader.readexactly(4))
            writer.write(response)
            await writer.drain()
            if reset:
                # Leaves time for the bytes to arrive before the reset.
                await asyncio.sleep(0.05)
                reset_on_close = struct.pack('ii', 1, 0)
                connection = writer.get_extra_info('socket')
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, reset_on_close
                )
            writer.close()

        server = await asyncio.start_server(handle, '127.0.0.1', 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        return f'127.0.0.1:{port}'


class TransportTest(_ServerTestCase):
    """Outcome of one call for each kind of response."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.rate_limits = []
        self.transport = HttpTransport(SystemClock(), self.on_rate_limit)
        self.addAsyncCleanup(self.transport.close)

    def on_rate_limit(self, _backend, rate, _sent_at):
        self.rate_limits.append(rate)

    async def fetch(self, address, resumption=None, rank=None, **fields):
        record = BackendRecord('i-1', 's', address, 'd1', 8)
        backend = self.backend = Backend(record, ColdLimit(EntryCount(1)))
        now = SystemClock().monotonic()
        call = DirectCall(
            name='ab12',
            route=ROUTE,
            service='s',
            organisation='o1',
            arrived=now,
            deadline=now + 2,
            caller_deadline=now + 1,
            **{
                'method': 'GET',
                'target': '/x',
                'headers': (('Host', 'h.example'),),
                'body': b'',
                **fields,
            },
        )
        async with self.transport.send(
            call, BackendAttempt(backend, resumption, rank=rank)
        ) as reply:
            self.framing = reply.framing
            return b''.join([part async for part in reply.parts()])

    async def test_complete_response(self):
        address = await self.serve(COMPLETE_RESPONSE)
        self.assertEqual(b'whole', await self.fetch(address))

    async def test_priority_that_an_engine_is_told(self):
        """Guards against deployments that did not ask for priorities."""
        for sends, priority, sent in (
            (True, 0, b'primrosewood-urgency: 0\r\n'),
            (True, 12, b'primrosewood-urgency: 9\r\n'),
            (True, None, None),
            (False, 0, None),
        ):
            with self.subTest(sends=sends, priority=priority):
                self.transport.sends_priorities = sends
                address = await self.serve(COMPLETE_RESPONSE)
                await self.fetch(address, rank=priority)
                head = self.received[-1].lower()
                if sent:
                    self.assertIn(sent, head)
                else:
                    self.assertNotIn(b'primrosewood-urgency', head)

    async def test_reset_truncates_a_response_without_length(self):
        """Guards against a truncated response that passes as complete.

        aiohttp takes a reset for the end of a response without a length.
        """
        address = await self.serve(
            STATUS_LINE + RESPONSE_HEADERS + b'\r\nhalf', reset=True
        )
        with self.assertRaises(BackendCutError):
            await self.fetch(address)

    async def test_close_ends_a_response_without_length(self):
        address = await self.serve(STATUS_LINE + RESPONSE_HEADERS + b'\r\nall')
        self.assertEqual(b'all', await self.fetch(address))

    async def test_close_before_the_marked_end(self):
        """Guards against a close that passes for a last chunk or a length."""
        chunked = b'Transfer-Encoding: chunked\r\n\r\n'
        for framed in (
            chunked,
            chunked + b'3\r\nall\r\n',
            chunked + b'3\r\nall\r\n0\r\n',
            chunked + b'3\r\nal',
            b'Content-Length: 4\r\n\r\nall',
            b'Content-Length: 4\r\n\r\n',
        ):
            response = STATUS_LINE + RESPONSE_HEADERS + framed
            for reset in (False, True):
                address = await self.serve(response, reset)
                with self.subTest(response, reset=reset):
                    with self.assertRaises(BackendCutError):
                        await self.fetch(address)

    async def test_framing_of_responses(self):
        """Guards against an end that is marked and not taken for one."""
        for framed, framing in (
            (b'Content-Length: 3\r\n\r\nall', AnswerFraming.length),
            (
                b'Transfer-Encoding: chunked\r\n\r\n3\r\nall\r\n0\r\n\r\n',
                AnswerFraming.chunks,
            ),
            (b'\r\nall', AnswerFraming.close),
            (
                b'Transfer-Encoding: xchunked\r\n\r\nall',
                AnswerFraming.close,
            ),
            (
                b'Transfer-Encoding: chunked, identity\r\n\r\nall',
                AnswerFraming.close,
            ),
        ):
            response = STATUS_LINE + RESPONSE_HEADERS + framed
            with self.subTest(framing):
                address = await self.serve(response)
                self.assertEqual(b'all', await self.fetch(address))
                self.assertEqual(framing, self.framing)

    async def test_invalid_responses(self):
        """Responses to other calls, without a seal, or altered on the way."""
        other_call_headers = RESPONSE_HEADERS.replace(b'ab12', b'cd34')
        encoded_headers = RESPONSE_HEADERS + b'Content-Encoding: gzip\r\n'
        unmarked_refusal = (
            b'HTTP/1.1 503 Busy\r\n'
            + RESPONSE_HEADERS
            + LENGTH_HEADER
            + b'sorry'
        )
        for response in (
            STATUS_LINE + other_call_headers + LENGTH_HEADER + b'whole',
            STATUS_LINE + LENGTH_HEADER + b'whole',
            STATUS_LINE + encoded_headers + LENGTH_HEADER + b'whole',
            STATUS_LINE + RESPONSE_HEADERS + LENGTH_HEADER + b'wh',
            b'garbage\r\n\r\n',
            b'',
            unmarked_refusal,
        ):
            with self.subTest(response), self.assertRaises(BackendCutError):
                await self.fetch(await self.serve(response))

    async def test_statuses_that_are_none(self):
        """Guards against an answer of an engine in trouble that is passed on."""
        not_executed = b'Primrosewood-Not-Executed: 1\r\n'
        for status in (b'000', b'001', b'099', b'600', b'999'):
            for marks in (b'', not_executed):
                response = (
                    b'HTTP/1.1 %b Odd\r\n' % status
                    + RESPONSE_HEADERS
                    + marks
                    + LENGTH_HEADER
                    + b'whole'
                )
                with self.subTest(response):
                    with self.assertRaises(BackendCutError):
                        await self.fetch(await self.serve(response))

    async def test_responses_that_say_the_call_did_not_run(self):
        not_executed = b'HTTP/1.1 503 Busy\r\nPrimrosewood-Not-Executed: 1\r\n'
        misdirected = b'HTTP/1.1 421 Misdirected Request\r\n'
        for head in (not_executed, misdirected):
            address = await self.serve(head + LENGTH_HEADER + b'sorry')
            with self.subTest(head), self.assertRaises(NotRunError):
                await self.fetch(address)

    async def test_limits_that_answers_name(self):
        """Guards against limits that stray or failed responses set or lift."""
        limit = b'Server-Limit: 1.8\r\n'
        other_call_headers = RESPONSE_HEADERS.replace(b'ab12', b'cd34')
        not_executed = b'HTTP/1.1 503 Busy\r\nPrimrosewood-Not-Executed: 1\r\n'
        failure = b'HTTP/1.1 500 Failed\r\n' + RESPONSE_HEADERS
        for head, expected in (
            (STATUS_LINE + RESPONSE_HEADERS + limit, [1.8]),
            (STATUS_LINE + RESPONSE_HEADERS, [None]),
            (STATUS_LINE + RESPONSE_HEADERS + b'Server-Limit: nan\r\n', []),
            (STATUS_LINE + RESPONSE_HEADERS + b'Server-Limit: -1\r\n', []),
            (not_executed + limit, [1.8]),
            (not_executed, []),
            (failure + limit, [1.8]),
            (failure, []),
            (STATUS_LINE + other_call_headers + limit, []),
            (b'HTTP/1.1 421 Misdirected Request\r\n' + limit, []),
            (STATUS_LINE + LENGTH_HEADER.strip() + b'\r\n', []),
        ):
            self.rate_limits.clear()
            address = await self.serve(head + LENGTH_HEADER + b'whole')
            with suppress(BackendCutError, NotRunError):
                await self.fetch(address)
            with self.subTest(head):
                self.assertEqual(expected, self.rate_limits)

    async def test_notices_in_answers(self):
        """Guards against pauses and leaves that an answer states in vain."""
        success = STATUS_LINE + RESPONSE_HEADERS
        refused = b'HTTP/1.1 503 Busy\r\nPrimrosewood-Not-Executed: 1\r\n'
        failure = b'HTTP/1.1 500 Failed\r\n' + RESPONSE_HEADERS
        misdirected = b'HTTP/1.1 421 Misdirected Request\r\n'
        pause = b'Retry-After: 2.5\r\n'
        leaving = b'Server-Leaving: 1\r\n'
        for head, paused, left in (
            (refused + pause, True, False),
            (b'HTTP/1.1 503 Busy\r\n' + pause, True, False),
            (b'HTTP/1.1 429 Too many\r\n' + pause, True, False),
            (refused + b'Retry-After: soon\r\n', False, False),
            (refused + b'Retry-After: inf\r\n', False, False),
            (success + pause, False, False),
            (success + leaving, False, True),
            (failure + leaving, False, True),
            (refused + pause + leaving, True, True),
            (success + b'Server-Leaving: 0\r\n', False, False),
            (misdirected + pause + leaving, False, False),
        ):
            address = await self.serve(head + LENGTH_HEADER + b'whole')
            with suppress(BackendCutError, NotRunError):
                await self.fetch(address)
            seconds = self.backend.seconds_until_call(SystemClock().monotonic())
            with self.subTest(head):
                self.assertAlmostEqual(2.5 if paused else 0, seconds, delta=0.2)
                self.assertEqual(left, self.backend.stopping)

    async def test_connection_refused(self):
        """Nothing was written, so the call certainly did not run."""
        with self.assertRaises(NotRunError):
            await self.fetch('127.0.0.1:1')

    async def test_nothing_is_sent_twice(self):
        """A back end closes the connection before it responds.

        aiohttp retries a GET by itself unless it is kept from doing so.
        """
        address = await self.serve(b'')
        with self.assertRaises(BackendCutError):
            await self.fetch(address)
        self.assertEqual(1, self.connections)

    async def test_call_is_forwarded_byte_for_byte(self):
        address = await self.serve(COMPLETE_RESPONSE)
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

    async def test_headers_added_by_the_transport(self):
        address = await self.serve(COMPLETE_RESPONSE)
        await self.fetch(address, Resumption('1.2.3.4:5', 'h-7', 12))
        head = self.received[0].decode()
        self.assertIn('Primrosewood-Expect-Instance: i-1\r\n', head)
        self.assertIn('Primrosewood-Tenant: o1\r\n', head)
        self.assertIn('Kv-From: 1.2.3.4:5/h-7\r\n', head)
        self.assertIn('Last-Event-Id: 12\r\n', head)
        deadline = head.partition('Primrosewood-Deadline-Ms: ')[2]
        self.assertLessEqual(int(deadline.partition('\r')[0]), 1000)


class MovableEngineTest(_ServerTestCase):
    """Requests to the control interface of the engine on the same VM."""

    async def serve_engine(self, response):
        engine = HttpMovableEngine(await self.serve(response), SystemClock())
        self.addAsyncCleanup(engine.close)
        return engine

    async def test_nothing_is_sent_while_the_engine_rests(self):
        """Guards against reports, health checks and copies that ignore it."""
        engine = await self.serve_engine(
            b'HTTP/1.1 503 Busy\r\nRetry-After: 5\r\n'
            b'Connection: close\r\nContent-Length: 0\r\n\r\n'
        )
        with self.assertRaises(BackendCutError):
            await engine.identify()
        self.assertEqual(1, self.connections)
        run = EngineRun('ab12', 1000, 5)
        for request in (
            engine.read,
            engine.identify,
            partial(engine.copy, run, '10.0.0.2:80', last=False),
        ):
            with self.assertRaises(BackendPausedError) as caught:
                await request()
            self.assertGreater(caught.exception.retry_seconds, 4)
        self.assertEqual(1, self.connections)

    async def test_report_with_the_header_of_a_leaving_engine(self):
        """Guards against a leave that only the head of an answer states."""
        body = b'{"state":"ready"}'
        engine = await self.serve_engine(
            STATUS_LINE
            + b'Server-Leaving: 1\r\nConnection: close\r\n'
            + b'Content-Length: %d\r\n\r\n' % len(body)
            + body
        )
        reading = await engine.read()
        self.assertTrue(reading.state.leaving)

    async def test_refused_last_copy(self):
        """Guards against a stopped run that is taken for one that goes on."""
        body = b'{"cache_handle":"kept","created":7}'
        engine = await self.serve_engine(
            b'HTTP/1.1 503 Full\r\nConnection: close\r\n'
            + b'Content-Length: %d\r\n\r\n' % len(body)
            + body
        )
        run = EngineRun('ab12', 1000, 5)
        with self.assertRaises(RunStoppedError) as caught:
            await engine.copy(run, '10.0.0.2:80', last=True)
        self.assertEqual('kept', caught.exception.handle)
        with self.assertRaises(NotRunError) as caught:
            await engine.copy(run, '10.0.0.2:80', last=False)
        self.assertNotIsInstance(caught.exception, RunStoppedError)

    async def test_odd_reports(self):
        """Guards against a process that ends by a number in a report."""
        for body in (
            b'{"kv_used":1%b}' % (b'0' * 400),
            b'{"leaves_ms":1e999}',
            b'{"running":-1}',
            b'{"runs":[["a",1e999,2]]}',
            b'{"runs":[["a",1%b,2]]}' % (b'0' * 400),
            b'{"runs":[["a"]]}',
            b'{"x":' + b'[' * 90_000 + b']' * 90_000 + b'}',
            b'{"state":"\xff"}',
        ):
            engine = await self.serve_engine(
                STATUS_LINE
                + b'Connection: close\r\nContent-Length: %d\r\n\r\n' % len(body)
                + body
            )
            with self.subTest(body[:30]), self.assertRaises(BackendCutError):
                await engine.read()

    async def order_stop(self, status, body):
        engine = await self.serve_engine(
            b'HTTP/1.1 %b\r\nConnection: close\r\n' % status
            + b'Content-Length: %d\r\n\r\n' % len(body)
            + body
        )
        run = EngineRun('ab12', 1000, 5)
        return await engine.copy(run, '10.0.0.2:80', last=True)

    async def test_nested_answer(self):
        """Guards against an order of which no entry is told the outcome."""
        deep = b'[' * 90_000 + b']' * 90_000
        body = b'{"cache_handle":"h","x":%b}' % deep
        with self.assertRaises(BackendCutError):
            await self.order_stop(b'200 OK', body)

    async def test_handle_that_is_none(self):
        """Guards against "not moved", as which entries read no handle."""
        bodies = (b'{"cache_handle":""}', b'{"cache_handle":"a\\r\\nb"}')
        for status, body in product((b'200 OK', b'503 Full'), bodies):
            with self.subTest(status, body=body):
                with self.assertRaises((BackendCutError, NotRunError)) as got:
                    await self.order_stop(status, body)
                self.assertNotIsInstance(got.exception, RunStoppedError)
