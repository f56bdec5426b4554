"""HTTP towards engines and plain services, against small raw servers."""

import asyncio
import unittest

from primrosewood.backends import (
    EngineCall,
    HttpEngine,
    HttpService,
    PlainCall,
    StreamUnknownError,
)
from primrosewood.errors import BackendCutError, NotRunError

_OK = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n'
    b'Content-Length: 2\r\n\r\nok'
)
_STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Connection: close\r\n\r\n'
)
_CALL = EngineCall('g-1', 'm', 'prompt', 5)


class RawServer:
    """Answers the n-th request of each connection as told."""

    def __init__(self, answers):
        self.answers = answers
        self.requests = 0

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        return f'http://127.0.0.1:{port}'

    async def __aexit__(self, *error):
        self.server.close()

    async def serve(self, reader, writer):
        try:
            for answer in self.answers:
                head = await reader.readuntil(b'\r\n\r\n')
                self.requests += 1
                length = 0
                for line in head.lower().split(b'\r\n'):
                    if line.startswith(b'content-length:'):
                        length = int(line.split(b':')[1])
                await reader.readexactly(length)
                for part in answer:
                    writer.write(part)
                    await writer.drain()
                    await asyncio.sleep(0.01)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class ServiceTest(unittest.IsolatedAsyncioTestCase):
    """Plain calls."""

    async def test_connection_that_the_service_would_not_use_again(self):
        """A service closes its connections when they have been idle.

        A shop's second order of the day met such a connection, ended with an
        unknown outcome and had to be looked up by hand, though it never ran.
        """
        server = RawServer([[_OK], []])
        async with server as url:
            service = HttpService(url)
            call = PlainCall('a', 'POST', '/reorders', '', b'x')
            statuses = [(await service.call(call)).status for _ in range(3)]
            await service.close()
        self.assertEqual([200, 200, 200], statuses)

    async def test_cut_before_an_answer_is_not_repeated(self):
        server = RawServer([[]])
        async with server as url:
            service = HttpService(url)
            for method in ('GET', 'PUT', 'DELETE', 'POST'):
                with self.assertRaises(BackendCutError):
                    await service.call(PlainCall('a', method, '/', '', b''))
            await service.close()
        self.assertEqual(4, server.requests)

    async def test_nobody_listens(self):
        service = HttpService('http://127.0.0.1:1')
        with self.assertRaises(NotRunError):
            await service.call(PlainCall('a', 'POST', '/', '', b'x'))
        await service.close()


class EngineTest(unittest.IsolatedAsyncioTestCase):
    """Streams."""

    async def read(self, *parts):
        async with RawServer([[_STREAM_HEAD, *parts]]) as url:
            engine = HttpEngine(url)
            tokens = []
            try:
                async for token in engine.generate(_CALL):
                    tokens.append(
                        (token.index, token.piece, token.finish_reason)
                    )
            finally:
                await engine.close()
        return tokens

    async def test_events_split_anywhere(self):
        body = (
            b'id: 0\ndata: {"choices": [{"text": "caf\xc3\xa9 "}]}\n\n'
            b'id: 1\ndata: {"choices": [{"text": "", "finish_reason": "stop"}]}'
            b'\n\ndata: [DONE]\n\n'
        )
        wanted = [(0, 'café ', ''), (1, '', 'stop')]
        for size in (1, 7, 30, 500):
            parts = [body[at : at + size] for at in range(0, len(body), size)]
            self.assertEqual(wanted, await self.read(*parts))

    async def test_early_end_and_malformed_events(self):
        good = b'id: 0\ndata: {"choices": [{"text": "a"}]}\n\n'
        for bad in (
            good,
            good + b'id: x\ndata: {"choices": [{}]}\n\n',
            b'id: 0\ndata: {"choices": []}\n\n',
            b'id: 0\ndata: nonsense\n\n',
            b'\n\n',
        ):
            with self.assertRaises(BackendCutError):
                await self.read(bad)

    async def test_refusals(self):
        for status, error in (
            (b'429 Too Many', NotRunError),
            (b'503 Busy', NotRunError),
            (b'404 Gone', StreamUnknownError),
            (b'500 Broken', BackendCutError),
        ):
            head = b'HTTP/1.1 %b\r\nContent-Length: 0\r\n\r\n' % status
            async with RawServer([[head]]) as url:
                engine = HttpEngine(url)
                with self.assertRaises(error):
                    async for _token in engine.generate(_CALL):
                        break
                await engine.close()
