"""A connection between two processes: CBOR frames over a websocket."""

import asyncio
import hmac
from collections.abc import Callable
from typing import Protocol

import websockets
from websockets.asyncio.connection import Connection

from . import gen_wire as wire
from .codec import Message, parse_frame, serialise_frame
from .errors import WireError
from .logs import log_event

__all__ = ('CONNECT_ERRORS', 'Link', 'Source', 'receive_hello')

# What ends an attempt to connect, or an established connection.
CONNECT_ERRORS = (
    OSError,
    TimeoutError,
    WireError,
    websockets.WebSocketException,
)

_BULKY = (wire.Offer, wire.Reply, wire.SettingsPush)
_MOST_IN_FRAME = 128


class Source(Protocol):
    """Something that has messages ready whenever the link can write."""

    def collect(self) -> list[Message]:
        """Return the messages to be sent now."""


class Link:
    """One established connection.

    Messages that wait when the socket can take more go out in one frame; the
    link never waits in order to batch. Streams are not queued as messages but
    registered as sources and asked when the frame is made, so that a slow
    link holds indices and not copies of tokens.
    """

    def __init__(self, socket: Connection) -> None:
        """Take over a connection after its handshake."""
        self._socket = socket
        self._outbox: list[Message] = []
        self._ready: dict[Source, None] = {}
        self._wake = asyncio.Event()
        self._closed = False

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self._closed

    def send(self, message: Message) -> None:
        """Queue a message."""
        self._outbox.append(message)
        self._wake.set()

    def notify(self, source: Source) -> None:
        """Note that a source has messages."""
        self._ready[source] = None
        self._wake.set()

    async def run(self, handle: Callable[[Message], None]) -> None:
        """Read and write until the connection ends.

        Parameters
        ----------
        handle
            Called with each message in order; must not block.
        """
        writer = asyncio.create_task(self._write())
        try:
            await self._read(handle)
        finally:
            self._closed = True
            writer.cancel()
            await self._socket.close()

    async def close(self) -> None:
        """Write what waits, then end the connection."""
        await self._flush()
        await self._socket.close()

    async def abort(self) -> None:
        """End the connection without waiting for the peer."""
        self._closed = True
        self._socket.transport.abort()

    async def _read(self, handle: Callable[[Message], None]) -> None:
        try:
            async for frame in self._socket:
                for message in parse_frame(_require_bytes(frame)):
                    handle(message)
        except websockets.ConnectionClosed:
            return
        except WireError as error:
            log_event('frame_refused', 'WARNING', why=error)

    async def _write(self) -> None:
        try:
            while True:
                await self._wake.wait()
                await self._flush()
        except websockets.ConnectionClosed:
            return

    async def _flush(self) -> None:
        self._wake.clear()
        messages, self._outbox = self._outbox, []
        sources, self._ready = self._ready, {}
        for source in sources:
            messages.extend(source.collect())
        for group in _group(messages):
            await self._socket.send(serialise_frame(group))


async def receive_hello(
    socket: Connection, key: str, seconds: float
) -> wire.Hello:
    """Return the greeting of a peer that has the right key.

    Parameters
    ----------
    key
        Shared by all processes of a deployment.
    seconds
        How long the peer may take.

    Raises
    ------
    WireError
        It says something else first, or has another key.
    TimeoutError
        It says nothing.
    """
    async with asyncio.timeout(seconds):
        frame = await socket.recv()
    messages = parse_frame(_require_bytes(frame))
    if len(messages) != 1 or not isinstance(messages[0], wire.Hello):
        raise WireError('no greeting')
    hello = messages[0]
    if not hmac.compare_digest(hello.key.encode(), key.encode()):
        raise WireError('another deployment')
    return hello


def _group(messages: list[Message]) -> list[list[Message]]:
    groups: list[list[Message]] = []
    room = 0
    for message in messages:
        bulky = isinstance(message, _BULKY)
        if bulky or room == 0:
            groups.append([])
            room = _MOST_IN_FRAME
        groups[-1].append(message)
        room = 0 if bulky else room - 1
    return groups


def _require_bytes(frame: str | bytes) -> bytes:
    if isinstance(frame, str):
        raise WireError('a text frame')
    return frame
