"""WebSocket links between entries and endpoint processes, for direct calls.

An endpoint process listens on its engine's VM, and every entry connects to it.
Over the link it sends the engine's report, which entries could otherwise read
only half a second late, reports moves of generations, and forwards messages
between entries. Entries listen too, for endpoint processes whose engine no
entry knows yet.
"""

import asyncio
from collections.abc import Callable, Collection, Iterable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass

from websockets.asyncio.client import connect
from websockets.asyncio.server import Server, ServerConnection, serve

from . import gen_wire as wire
from .boundedlinks import BoundedClientConnection, BoundedServerConnection
from .clock import Clock
from .codec import Message, encode_message, serialise_frame
from .link import (
    CONNECT_ERRORS,
    MAX_WAITING_LINKS,
    Link,
    receive_hello,
)
from .logs import log_event
from .metrics import Metrics
from .process import spawn

__all__ = ('LinkIdentity', 'PeerConnector', 'PeerLink', 'PeerServer')

_HANDSHAKE_TIMEOUT_SECONDS = 1.0
# A frame may carry the operators' complete route table, at most 1 MB.
_MAX_FRAME_BYTES = 2_097_152
# Reports arrive at least once a second. After this long without one the peer
# is paused, or its network was cut without a reset of the connection.
_SILENCE_TIMEOUT_SECONDS = 2.0
_RECONNECT_DELAY_SECONDS = 0.3
# WebSocket close code for peers that fail authentication.
_CLOSE_POLICY_VIOLATION = 1008


@dataclass(frozen=True, slots=True)
class LinkIdentity:
    """Identity that a process sends when it connects.

    Attributes
    ----------
    key
        Secret that all processes of a deployment share.
    wants_retries
        Whether peers are to return what they keep of this process's retries.
    confirms_stops
        Whether it answers when the generation of a stream is to be stopped.
    """

    name: str
    incarnation: str
    key: str
    wants_retries: bool = False
    confirms_stops: bool = False


class PeerLink:
    """A connection to a peer that reconnects whenever it ends.

    Parameters
    ----------
    url
        URL on which the peer listens.
    handle
        Called with each message and the link for replies.
    """

    def __init__(
        self,
        url: str,
        identity: LinkIdentity,
        clock: Clock,
        handle: Callable[[Message, Link], None],
        metrics: Metrics,
    ) -> None:
        """Start connecting in the background."""
        self._url = url
        self._identity = identity
        self._clock = clock
        self._handle = handle
        self._metrics = metrics
        self._last_received_at = clock.monotonic()
        self._link: Link | None = None
        self._task = spawn(self._run(), f'link to {url}')

    @property
    def silence(self) -> float:
        """Seconds since the peer was last heard."""
        return self._clock.monotonic() - self._last_received_at

    def check_silence(self) -> None:
        """Abort a connection on which nothing has arrived for too long.

        A network partition does not reset a connection; without this check the
        entry would wait for reports of an engine that is long gone.
        """
        link = self._link
        if link is not None and self.silence > _SILENCE_TIMEOUT_SECONDS:
            log_event('link_silent', 'WARNING', peer=self._url)
            self._link = None
            spawn(link.abort(), 'abort link')

    def send(self, message: Message) -> bool:
        """Send a message; return False if there is no connection."""
        if self._link is None:
            return False
        self._link.send(message)
        return True

    def stop(self) -> None:
        """Close the connection and stop reconnecting."""
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
            await asyncio.sleep(_RECONNECT_DELAY_SECONDS)

    async def _connect_once(self) -> None:
        async with connect(
            self._url,
            compression=None,
            ping_interval=None,
            open_timeout=_HANDSHAKE_TIMEOUT_SECONDS,
            close_timeout=_HANDSHAKE_TIMEOUT_SECONDS,
            create_connection=BoundedClientConnection,
            max_size=_MAX_FRAME_BYTES,
            proxy=None,
        ) as socket:
            identity = self._identity
            hello = wire.Hello(
                process=identity.name,
                incarnation=identity.incarnation,
                key=identity.key,
                wants_retries=identity.wants_retries,
                confirms_stops=identity.confirms_stops,
            )
            await socket.send(serialise_frame([hello]))
            link = Link(socket, self._metrics)
            self._last_received_at = self._clock.monotonic()
            self._link = link
            log_event('link_opened', peer=self._url)
            try:
                await link.run(
                    lambda message: self._handle_message(message, link)
                )
            finally:
                if self._link is link:
                    self._link = None
                log_event('link_closed', peer=self._url)

    def _handle_message(self, message: Message, link: Link) -> None:
        self._last_received_at = self._clock.monotonic()
        self._handle(message, link)


@dataclass(frozen=True, slots=True)
class PeerConnector:
    """Opens links of one process to its peers."""

    identity: LinkIdentity
    clock: Clock
    metrics: Metrics

    def open(
        self, url: str, handle: Callable[[Message, Link], None]
    ) -> PeerLink:
        """Return a link that connects in the background."""
        return PeerLink(url, self.identity, self.clock, handle, self.metrics)


def _say_nothing(_hello: wire.Hello) -> Iterable[Message]:
    """Return no messages; the default of `make_greeting`."""
    return ()


class PeerServer:
    """Accepts links from peers that know the shared key.

    Parameters
    ----------
    handle
        Called with each message of a peer and its link.
    make_greeting
        Returns the messages to send to a new peer.
    """

    def __init__(
        self,
        key: str,
        handle: Callable[[Message, Link], None],
        metrics: Metrics,
        make_greeting: Callable[[wire.Hello], Iterable[Message]] = _say_nothing,
    ) -> None:
        """Create a server without links."""
        self._key = key
        self._handle = handle
        self._metrics = metrics
        self._make_greeting = make_greeting
        self._links: dict[Link, str] = {}
        self._confirming_links: set[Link] = set()

    @property
    def peers(self) -> int:
        """Number of connected processes."""
        return len(set(self._links.values()))

    def listen(
        self, host: str, port: int
    ) -> AbstractAsyncContextManager[Server]:
        """Return a context manager that listens on the port."""
        return serve(
            self._serve_peer,
            host,
            port,
            compression=None,
            ping_interval=None,
            create_connection=BoundedServerConnection,
            max_size=_MAX_FRAME_BYTES,
            backlog=MAX_WAITING_LINKS,
        )

    def broadcast(
        self, message: Message, exclude: Collection[Link] = ()
    ) -> None:
        """Send a message to every peer except the excluded ones."""
        encoded = encode_message(message)
        for link in self._links:
            if link not in exclude:
                link.send_encoded(encoded)

    def announce_stop(
        self, query: wire.StopQuery, holder: Link | None = None
    ) -> bool:
        """Send a query to the peers that understand it.

        Parameters
        ----------
        holder
            Link of the only peer to ask, while it is connected.

        Returns
        -------
        bool
            Whether it was sent to any.
        """
        asked = self._confirming_links
        if holder in asked:
            asked = {holder}
        encoded = encode_message(query)
        for link in asked:
            link.send_encoded(encoded)
        return bool(asked)

    def send_to_some(
        self, message: Message, limit: int, exclude: Link | None = None
    ) -> list[Link]:
        """Send a message to a limited number of peers, in rotation.

        Returns
        -------
        list[Link]
            The links on which it was sent.
        """
        chosen = [link for link in self._links if link is not exclude][:limit]
        for link in chosen:
            link.send(message)
            self._links[link] = self._links.pop(link)
        return chosen

    def send_to(self, peer: str, message: Message) -> None:
        """Send a message to a peer by its process name, if connected."""
        for link, name in self._links.items():
            if name == peer:
                link.send(message)

    async def _serve_peer(self, socket: ServerConnection) -> None:
        try:
            hello = await receive_hello(
                socket, self._key, _HANDSHAKE_TIMEOUT_SECONDS
            )
        except CONNECT_ERRORS as error:
            log_event('link_refused', 'WARNING', why=type(error).__name__)
            await socket.close(_CLOSE_POLICY_VIOLATION)
            return
        link = Link(socket, self._metrics)
        self._links[link] = hello.process
        if hello.confirms_stops:
            self._confirming_links.add(link)
        log_event('link_opened', peer=hello.process, peers=self.peers)
        for greeting in self._make_greeting(hello):
            link.send(greeting)
        try:
            await link.run(lambda message: self._handle(message, link))
        finally:
            self._links.pop(link)
            self._confirming_links.discard(link)
            log_event('link_closed', peer=hello.process, peers=self.peers)
