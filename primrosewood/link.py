"""A connection between two processes: CBOR frames over a WebSocket."""

import asyncio
import hmac
from collections.abc import Callable
from contextlib import suppress
from typing import Protocol

import websockets
from websockets.asyncio.connection import Connection

from . import gen_wire as wire
from .codec import (
    EncodedMessage,
    Message,
    encode_message,
    join_frame,
    parse_frame,
)
from .errors import WireError
from .logs import log_event
from .metrics import Metrics

__all__ = (
    'CONNECT_ERRORS',
    'MAX_WAITING_LINKS',
    'Link',
    'MessageSource',
    'receive_hello',
)

# Errors that end an attempt to connect or an established connection.
CONNECT_ERRORS = (
    OSError,
    TimeoutError,
    WireError,
    websockets.WebSocketException,
)

# All processes of a deployment may connect at once.
MAX_WAITING_LINKS = 1024
# Large messages, each of which gets a frame of its own.
_UNBATCHED_TYPES = (wire.Offer, wire.Reply, wire.SettingsPush)
_MAX_MESSAGES_PER_FRAME = 128
# What these say is sent again or can be read elsewhere. They are dropped on a
# link that already holds more bytes than this.
_REPEATED_TYPES = frozenset(
    (wire.EngineReport, wire.EngineFound, wire.PairsQuery, wire.PairsUpdate)
)
_MAX_PENDING_BYTES = 262_144
_LAST_FLUSH_SECONDS = 1.0


class MessageSource(Protocol):
    """Supplies messages when the link is ready to write."""

    def collect(self) -> list[Message]:
        """Return and consume the messages that may be sent now."""


class _OutputState:
    """Wakes the writer of a link; only one task writes at a time."""

    def __init__(self) -> None:
        self.pending = asyncio.Event()
        self.writing = asyncio.Lock()


class Link:
    """One established connection.

    Messages that are queued when the socket becomes writable share frames;
    the link never delays a message to fill a frame. Token streams are not
    queued but registered as sources, which supply their messages when a frame
    is built, so that a slow link holds stream offsets and no copies of tokens.
    Messages that are repeated anyway are dropped when too many bytes wait.
    """

    def __init__(self, socket: Connection, metrics: Metrics) -> None:
        """Wrap a connection after its handshake."""
        self._socket = socket
        self._metrics = metrics
        self._outbox: list[EncodedMessage] = []
        self._pending_bytes = 0
        self._behind = False
        self._ready_sources: dict[MessageSource, None] = {}
        self._output = _OutputState()
        self._closed = False

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self._closed

    def send(self, message: Message) -> None:
        """Queue a message for sending."""
        self.send_encoded(encode_message(message))

    def send_encoded(self, message: EncodedMessage) -> None:
        """Queue a message that was encoded once for several links."""
        full = self._pending_bytes > _MAX_PENDING_BYTES
        if full and message.kind in _REPEATED_TYPES:
            self._drop(message)
            return
        self._outbox.append(message)
        self._pending_bytes += len(message.body)
        self._output.pending.set()

    def notify(self, source: MessageSource) -> None:
        """Schedule a source that has messages to send."""
        self._ready_sources[source] = None
        self._output.pending.set()

    async def run(self, handle: Callable[[Message], None]) -> None:
        """Receive and send messages until the connection ends.

        Parameters
        ----------
        handle
            Called with each received message, in order; must not block.
        """
        writer = asyncio.create_task(self._write())
        try:
            await self._read(handle)
        finally:
            self._closed = True
            writer.cancel()
            await self._socket.close()

    async def close(self) -> None:
        """Send all pending messages, then close the connection.

        A peer that does not read delays this by a second at most.
        """
        with suppress(TimeoutError, websockets.ConnectionClosed):
            async with asyncio.timeout(_LAST_FLUSH_SECONDS):
                await self._flush()
        await self._socket.close()

    async def abort(self) -> None:
        """Drop the connection without a closing handshake."""
        self._closed = True
        self._socket.transport.abort()

    async def _read(self, handle: Callable[[Message], None]) -> None:
        try:
            async for frame in self._socket:
                for message in parse_frame(_require_binary(frame)):
                    handle(message)
        except websockets.ConnectionClosed:
            return
        except WireError as error:
            log_event('frame_refused', 'WARNING', why=error)

    async def _write(self) -> None:
        try:
            while True:
                await self._output.pending.wait()
                await self._flush()
        except websockets.ConnectionClosed:
            return

    async def _flush(self) -> None:
        async with self._output.writing:
            await self._write_pending()

    async def _write_pending(self) -> None:
        self._output.pending.clear()
        messages, self._outbox = self._outbox, []
        sources, self._ready_sources = self._ready_sources, {}
        for source in sources:
            messages.extend(map(encode_message, source.collect()))
        for frame_messages in _group_by_frame(messages):
            self._count(frame_messages)
            await self._socket.send(join_frame(frame_messages))
        self._pending_bytes = sum(len(each.body) for each in self._outbox)
        self._behind = False

    def _drop(self, message: EncodedMessage) -> None:
        kind = message.kind.__name__
        self._metrics.count('messages_dropped', kind)
        if not self._behind:
            self._behind = True
            log_event(
                'link_behind', 'WARNING', kind=kind, bytes=self._pending_bytes
            )

    def _count(self, messages: list[EncodedMessage]) -> None:
        sizes: dict[str, list[int]] = {}
        for message in messages:
            kind = message.kind.__name__
            sizes.setdefault(kind, []).append(len(message.body))
        for kind, kind_sizes in sizes.items():
            self._metrics.count('messages_sent', kind, len(kind_sizes))
            self._metrics.count('message_bytes_sent', kind, sum(kind_sizes))


async def receive_hello(
    socket: Connection, key: str, timeout_seconds: float
) -> wire.Hello:
    """Receive the Hello message of a peer and check its key.

    Parameters
    ----------
    socket
        Connection that the peer has opened.
    key
        Process key, shared by all processes of a deployment.
    timeout_seconds
        Time limit for the message to arrive.

    Raises
    ------
    WireError
        The first message is not a Hello, or its key is wrong.
    TimeoutError
        No message arrived in time.
    """
    async with asyncio.timeout(timeout_seconds):
        frame = await socket.recv()
    messages = parse_frame(_require_binary(frame))
    if len(messages) != 1 or not isinstance(messages[0], wire.Hello):
        raise WireError('the first message is not a Hello')
    hello = messages[0]
    if not hmac.compare_digest(hello.key.encode(), key.encode()):
        raise WireError('the peer has another process key')
    return hello


def _group_by_frame(
    messages: list[EncodedMessage],
) -> list[list[EncodedMessage]]:
    groups: list[list[EncodedMessage]] = []
    free_slots = 0
    for message in messages:
        unbatched = message.kind in _UNBATCHED_TYPES
        if unbatched or free_slots == 0:
            groups.append([])
            free_slots = _MAX_MESSAGES_PER_FRAME
        groups[-1].append(message)
        free_slots = 0 if unbatched else free_slots - 1
    return groups


def _require_binary(frame: str | bytes) -> bytes:
    if isinstance(frame, str):
        raise WireError('a text frame')
    return frame
