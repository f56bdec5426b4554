"""Answers that stop inside their heads, at every client of other servers."""

import asyncio
import base64
import contextlib
import itertools
import json
import socket
import struct
import unittest
from functools import partial

from primrosewood.backends import EngineCall, HttpEngine, HttpService, PlainCall
from primrosewood.backendstate import Backend, BackendRecord
from primrosewood.clock import SystemClock
from primrosewood.directcalls import BackendAttempt, DirectCall, Resumption
from primrosewood.entrycount import EntryCount
from primrosewood.errors import PrimrosewoodError
from primrosewood.etcd import EtcdKeyValue
from primrosewood.moves import EngineRun
from primrosewood.platform.engines import HttpMovableEngine, HttpTransport
from primrosewood.platform.store import PlatformStore
from primrosewood.routes import Route, RouteKind, Target
from primrosewood.sharedlimits import ColdLimit

_ROUTE = Route('r', 'h', '/', RouteKind.idempotent, (Target('s'),), 2, 0.2)
_CALL_HEADERS = (
    b'Primrosewood-Attempt-Id: ab12\r\n'
    b'Primrosewood-Response-Seal: i-1.ab12.5\r\n'
)
_INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
_EVENT = b'id: 0\ndata: {"choices": [{"text": "a"}]}\n\n'
_TOKENS = _EVENT + b'data: [DONE]\n\n'
_STORED = base64.b64encode(b'v').decode()
_ITEM = {'key': 'k', 'value': _STORED, 'revision': 3}
_ETCD_PAIR = {
    'key': base64.b64encode(b'k').decode(),
    'value': _STORED,
    'mod_revision': '3',
}
# Every byte of a head on the path of callers, each of so many elsewhere.
_OTHER_STEP = 6


def _make_answers(headers, body):
    """Return an answer framed in each way, as heads and bodies."""
    chunk = b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
    length = b'Content-Length: %d\r\n' % len(body)
    status_line = b'HTTP/1.1 200 OK\r\n'
    head = status_line + headers
    old_head = b'HTTP/1.0 200 OK\r\n' + headers
    chunked_head = status_line + b'Transfer-Encoding: chunked\r\n' + headers
    return {
        'length': (head + length + b'\r\n', body),
        'chunks': (chunked_head + b'\r\n', chunk),
        'none': (head + b'\r\n', body),
        'interim': (_INTERIM + head + length + b'\r\n', body),
        'old': (old_head + length + b'\r\n', body),
        'old, none': (old_head + b'\r\n', body),
    }


def _reset_on_close(writer):
    writer.get_extra_info('socket').setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )


class _CutHeadCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests against a server that sends fixed bytes."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.answer = b''
        self.ending = 'closed'
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        self.transport = HttpTransport(SystemClock(), lambda *_limit: None)
        self.addAsyncCleanup(self.transport.close)

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b'\r\n\r\n')
            for line in head.lower().split(b'\r\n'):
                if line.startswith(b'content-length:'):
                    await reader.readexactly(int(line.split(b':')[1]))
            writer.write(self.answer)
            await writer.drain()
            if self.ending == 'half closed':
                writer.write_eof()
                await reader.read()
            elif self.ending == 'reset':
                await asyncio.sleep(0.005)
                _reset_on_close(writer)
        writer.close()

    async def call(self, resumed=False):
        """Send a caller's request; return the answer's body."""
        record = BackendRecord('i-1', 's', self.address, 'd1', 8)
        backend = Backend(record, ColdLimit(EntryCount(1)))
        now = SystemClock().monotonic()
        call = DirectCall(
            name='ab12',
            route=_ROUTE,
            service='s',
            organisation='o1',
            arrived=now,
            deadline=now + 2,
            caller_deadline=now + 2,
            method='POST',
            target='/x',
            headers=(('Host', 'h.example'),),
            body=b'{}',
        )
        resumption = None
        if resumed:
            resumption = Resumption(self.address, 'copy', 3)
        async with self.transport.send(
            call, BackendAttempt(backend, resumption)
        ) as reply:
            return b''.join([part async for part in reply.parts()])

    async def list_taken(self, use, answers, step):
        """Return where an answer was cut that was taken for an answer."""
        taken = []
        for form, (head, body) in answers.items():
            self.answer, self.ending = head + body, 'closed'
            await use()
            for ending in ('closed', 'reset', 'half closed'):
                self.ending = ending
                for end in range(0, len(head), step):
                    self.answer = head[:end]
                    with contextlib.suppress(PrimrosewoodError):
                        taken.append((form, ending, head[:end], await use()))
        return taken


class CallTest(_CutHeadCase):
    """Requests of callers, plain ones and streams."""

    async def test_plain_answers_and_streams(self):
        """Guards against an empty or short answer that looks whole."""
        answers = _make_answers(_CALL_HEADERS, b'whole')
        self.assertEqual([], await self.list_taken(self.call, answers, 1))

    async def test_engine_that_goes_on_with_a_stream(self):
        """Guards against a stream that ends as complete where it goes on."""
        events = _make_answers(
            b'Content-Type: text/event-stream\r\n' + _CALL_HEADERS,
            b'id: 4\ndata: x\n\n',
        )
        use = partial(self.call, resumed=True)
        self.assertEqual([], await self.list_taken(use, events, 1))

    async def test_bytes_of_another_answer_follow(self):
        """Guards against an answer to another call behind a cut head."""
        others = [
            b'HTTP/1.1 200 OK\r\n%bContent-Length: 5\r\n\r\nother' % named
            for named in (
                b'Primrosewood-Attempt-Id: cd34\r\n'
                b'Primrosewood-Response-Seal: i-1.cd34.5\r\n',
                b'Primrosewood-Response-Seal: i-1.cd34.5\r\n',
                _CALL_HEADERS,
            )
        ]
        heads = _make_answers(_CALL_HEADERS, b'whole').items()
        taken = []
        for (form, (head, _body)), other in itertools.product(heads, others):
            for end in range(1, len(head)):
                if head[:end] == _INTERIM:
                    continue
                self.answer = head[:end] + other
                with contextlib.suppress(PrimrosewoodError):
                    taken.append((form, head[:end], await self.call()))
        self.assertEqual([], taken)


class ControlTest(_CutHeadCase):
    """What our processes ask of engines, plain services and stores."""

    async def check(self, connect, uses, body, headers=b''):
        client = connect()
        self.addAsyncCleanup(client.close)
        answers = _make_answers(headers, body)
        for name, use in uses.items():
            with self.subTest(name):
                taken = await self.list_taken(
                    partial(use, client), answers, _OTHER_STEP
                )
                self.assertEqual([], taken)

    def connect_engine(self):
        return HttpMovableEngine(self.address, SystemClock())

    async def test_reports(self):
        """Guards against an engine that counts as empty or as staying."""
        uses = {'read': lambda engine: engine.read()}
        await self.check(
            self.connect_engine, uses, b'{"born": 7, "kv_total": 9}'
        )

    async def test_names(self):
        """Guards against an engine that gets no name, or a part of one."""
        uses = {'identify': lambda engine: engine.identify()}
        await self.check(
            self.connect_engine,
            uses,
            b'{}',
            b'Primrosewood-Instance-Id: i-1\r\n',
        )

    async def test_copies(self):
        """Guards against a copy that counts as made."""
        run = EngineRun('ab12', 10, 1)
        uses = {
            f'last {last}': lambda engine, last=last: engine.copy(
                run, 'b:1', last
            )
            for last in (False, True)
        }
        await self.check(self.connect_engine, uses, b'{"cache_handle": "c"}')

    async def test_product_engines(self):
        """Guards against a stream or a load report of nothing."""

        async def read(tokens):
            return [token async for token in tokens]

        call = EngineCall('g-1', 'm', 'prompt', 5)
        streams = {
            'generate': lambda engine: read(engine.generate(call)),
            'resume': lambda engine: read(engine.resume('g-1', 0)),
        }
        connect = partial(HttpEngine, f'http://{self.address}')
        await self.check(connect, streams, _TOKENS)
        load = {
            'running': 0,
            'waiting': 0,
            'memory_tokens': 0,
            'capacity_tokens': 9,
            'preemptions': 0,
        }
        uses = {'load': lambda engine: engine.read_load()}
        await self.check(connect, uses, json.dumps(load).encode())

    async def test_product_services(self):
        """Guards against an empty answer that looks whole."""
        call = PlainCall('ab12', 'POST', '/x', '', b'{}')
        uses = {'call': lambda service: service.call(call)}
        connect = partial(HttpService, f'http://{self.address}')
        await self.check(connect, uses, b'whole')

    async def test_platform_store(self):
        """Guards against a key that counts as absent, or a write as done."""
        connect = partial(PlatformStore, self.address, 2)
        uses = {'fetch': lambda store: store.fetch('k')}
        await self.check(connect, uses, json.dumps(_ITEM).encode())
        uses = {
            'list': lambda store: store.list_all('k'),
            'changes': lambda store: store.list_changes('k', 1),
        }
        page = {'store_revision': 9, 'items': [_ITEM], 'events': [_ITEM]}
        await self.check(connect, uses, json.dumps(page).encode())
        uses = {'swap': lambda store: store.swap('k', b'v', 2)}
        await self.check(connect, uses, b'{"revision": 9}')

    async def test_etcd(self):
        """Guards against a key that counts as absent."""
        connect = partial(EtcdKeyValue, f'http://{self.address}', 2)
        uses = {
            'fetch': lambda store: store.fetch('k'),
            'list': lambda store: store.list_all('k'),
        }
        listed = {'header': {'revision': '9'}, 'kvs': [_ETCD_PAIR]}
        await self.check(connect, uses, json.dumps(listed).encode())


if __name__ == '__main__':
    unittest.main()
