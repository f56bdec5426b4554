"""Links between entries and the processes beside engines, for direct calls.

The process beside an engine listens; every entry connects to it.  It tells
the engine's own report, which entries could otherwise read only half a second
late, and which generations it moved where, and passes on what entries ask each
other.  Entries listen too, for the process beside an engine that no entry
knows yet.
"""

import asyncio
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass

from websockets.asyncio.client import connect
from websockets.asyncio.server import Server, ServerConnection, serve

from . import gen_wire as wire
from .clock import Clock
from .codec import Message, serialise_frame
from .link import CONNECT_ERRORS, Link, read_greeting
from .logs import log_event
from .process import spawn

__all__ = ('PeerLink', 'PeerServer', 'LinkIdentity')

_HANDSHAKE_SECONDS = 1.0
# Frames may carry the operators' whole table, whose value is at most 1 MB.
_LONGEST_FRAME = 2_097_152
# Reports come at least twice a second; a link without any for this long leads
# to a process that is stopped, or has lost its network without a reset.
_SILENCE_SECONDS = 2.0
_RECONNECT_SECONDS = 0.3
_UNAUTHENTICATED = 1008


@dataclass(frozen=True, slots=True)
class LinkIdentity:
    """How a process greets.

    Attributes
    ----------
    key
        Shared by all processes of a deployment.
    """

    name: str
    incarnation: str
    key: str


class PeerLink:
    """A connection that is made again whenever it ends.

    Parameters
    ----------
    url
        Where the peer listens.
    handle
        Called with each message, and with the link to answer on.
    """

    def __init__(
        self,
        url: str,
        identity: LinkIdentity,
        clock: Clock,
        handle: Callable[[Message, Link], None],
    ) -> None:
        """Begin to connect."""
        self._url = url
        self._identity = identity
        self._clock = clock
        self._handle = handle
        self._heard_at = clock.monotonic()
        self._link: Link | None = None
        self._task = spawn(self._run(), f'link to {url}')

    def check_silence(self) -> None:
        """Give up a connection whose peer has said nothing for too long.

        A connection that a cut has silenced is never reset; without this the
        entry would wait for reports of an engine that left long ago.
        """
        link = self._link
        silence = self._clock.monotonic() - self._heard_at
        if link is not None and silence > _SILENCE_SECONDS:
            log_event('link_silent', 'WARNING', peer=self._url)
            self._link = None
            spawn(link.abort(), 'abort link')

    def send(self, message: Message) -> bool:
        """Send a message; False when there is no connection."""
        if self._link is None:
            return False
        self._link.send(message)
        return True

    def stop(self) -> None:
        """End the connection."""
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            try:
                await self._connect_once()
            except CONNECT_ERRORS as error:
                log_event(
                    'link_failed',
                    'DEBUG',
                    peer=self._url,
                    why=type(error).__name__,
                )
            await asyncio.sleep(_RECONNECT_SECONDS)

    async def _connect_once(self) -> None:
        async with connect(
            self._url,
            compression=None,
            ping_interval=None,
            open_timeout=_HANDSHAKE_SECONDS,
            close_timeout=_HANDSHAKE_SECONDS,
            max_size=_LONGEST_FRAME,
            proxy=None,
        ) as socket:
            identity = self._identity
            hello = wire.Hello(
                process=identity.name,
                incarnation=identity.incarnation,
                key=identity.key,
            )
            await socket.send(serialise_frame([hello]))
            link = Link(socket)
            self._heard_at = self._clock.monotonic()
            self._link = link
            log_event('link_opened', peer=self._url)
            try:
                await link.run(lambda message: self._take(message, link))
            finally:
                if self._link is link:
                    self._link = None
                log_event('link_closed', peer=self._url)

    def _take(self, message: Message, link: Link) -> None:
        self._heard_at = self._clock.monotonic()
        self._handle(message, link)


class PeerServer:
    """Accepts links.

    Parameters
    ----------
    handle
        Called with each message of a peer, and with its link.
    greet
        Returns what a new peer is told at once, None for nothing.
    """

    def __init__(
        self,
        key: str,
        handle: Callable[[Message, Link], None],
        greet: Callable[[], Message | None] | None = None,
    ) -> None:
        """Start without links."""
        self._key = key
        self._handle = handle
        self._greet = greet
        self._links: dict[Link, str] = {}

    @property
    def peers(self) -> int:
        """Number of processes that are connected."""
        return len(set(self._links.values()))

    def listen(
        self, host: str, port: int
    ) -> AbstractAsyncContextManager[Server]:
        """Return the server; entering it opens the port."""
        return serve(
            self._serve,
            host,
            port,
            compression=None,
            ping_interval=None,
            max_size=_LONGEST_FRAME,
        )

    def broadcast(self, message: Message, but: Link | None = None) -> None:
        """Send a message to every peer, but for one."""
        for link in self._links:
            if link is not but:
                link.send(message)

    def send_to_some(
        self, message: Message, most: int, but: Link | None = None
    ) -> None:
        """Send a message to a few peers, others each time."""
        chosen = [link for link in self._links if link is not but][:most]
        for link in chosen:
            link.send(message)
            self._links[link] = self._links.pop(link)

    def send_to(self, peer: str, message: Message) -> None:
        """Send a message to the peer of a name, if it is connected."""
        for link, name in self._links.items():
            if name == peer:
                link.send(message)

    async def _serve(self, socket: ServerConnection) -> None:
        try:
            hello = await read_greeting(socket, self._key, _HANDSHAKE_SECONDS)
        except CONNECT_ERRORS as error:
            log_event('link_refused', 'WARNING', why=type(error).__name__)
            await socket.close(_UNAUTHENTICATED)
            return
        link = Link(socket)
        self._links[link] = hello.process
        log_event('link_opened', peer=hello.process, peers=self.peers)
        greeting = self._greet and self._greet()
        if greeting is not None:
            link.send(greeting)
        try:
            await link.run(lambda message: self._handle(message, link))
        finally:
            self._links.pop(link)
            log_event('link_closed', peer=hello.process, peers=self.peers)
