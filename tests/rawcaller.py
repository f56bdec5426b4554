"""A caller that shows how its connection ends."""

import asyncio
import contextlib

from primrosewood.httpserver import split_address


class RawCaller:
    """A caller's connection that carries one request.

    Attributes
    ----------
    received
        All bytes so far.
    """

    def __init__(self, reader, writer):
        self.received = b''
        self._reader = reader
        self._writer = writer

    @classmethod
    @contextlib.asynccontextmanager
    async def send(cls, address, head, limit=65_536):
        """Send the head of a request; close the connection at the end."""
        host, port = split_address(address)
        reader, writer = await asyncio.open_connection(host, port, limit=limit)
        writer.write(head.replace('\n', '\r\n').encode())
        try:
            yield cls(reader, writer)
        finally:
            writer.close()

    async def read_until(self, text):
        """Read until some bytes have come."""
        async with asyncio.timeout(5):
            while text not in self.received:
                part = await self._reader.read(65_536)
                assert part, self.received
                self.received += part

    async def read_to_end(self):
        """Read the rest; raises ConnectionResetError after a reset."""
        async with asyncio.timeout(10):
            while part := await self._reader.read(65_536):
                self.received += part
