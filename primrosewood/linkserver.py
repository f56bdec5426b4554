"""Server side of links, used by endpoints and entries."""

import asyncio
import ssl
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass

from websockets.asyncio.server import Server, ServerConnection, serve

from . import gen_wire as wire
from .boundedlinks import BoundedServerConnection
from .codec import Message, serialise_frame
from .gen_process import Limits, Listen
from .gossip import handle_settings_message, heartbeat
from .link import (
    CONNECT_ERRORS,
    MAX_WAITING_LINKS,
    Link,
    receive_hello,
)
from .logs import log_event
from .metrics import Metrics
from .settings import SettingsStore

__all__ = ('LinkServer', 'LinkServerCallbacks')

_HANDSHAKE_SECONDS = 2.0
# WebSocket close code.
_CLOSE_POLICY_VIOLATION = 1008
_LOAD_STEPS_PER_LIMIT = 8


@dataclass(frozen=True, slots=True)
class LinkServerCallbacks:
    """Callbacks through which a link server uses its owner.

    Attributes
    ----------
    make_welcome
        Returns the Welcome message for the handshake.
    current_load
        Returns the current load; None if the process reports none.
    handle_message
        Handles a message that is not about settings.
    on_link_closed
        Called with each link that has ended.
    """

    make_welcome: Callable[[], wire.Welcome]
    current_load: Callable[[], wire.Load | None]
    handle_message: Callable[[Message, Link], None]
    on_link_closed: Callable[[Link], None]


class LinkServer:
    """Accepts links from peers that present the process key."""

    def __init__(
        self,
        store: SettingsStore,
        process_key: str,
        callbacks: LinkServerCallbacks,
        metrics: Metrics,
    ) -> None:
        """Create a server without links."""
        self._store = store
        self._process_key = process_key
        self._callbacks = callbacks
        self._metrics = metrics
        self._links: set[Link] = set()
        self._last_sent_load: wire.Load | None = None

    @property
    def count(self) -> int:
        """Number of open links."""
        return len(self._links)

    def listen(
        self, listen: Listen, limits: Limits, tls: ssl.SSLContext | None
    ) -> AbstractAsyncContextManager[Server]:
        """Return the server as a context manager, which opens the port."""
        return serve(
            self._serve,
            listen.host,
            listen.port,
            ssl=tls,
            compression=None,
            ping_interval=None,
            create_connection=BoundedServerConnection,
            max_size=limits.frame_bytes,
            backlog=MAX_WAITING_LINKS,
        )

    def broadcast(self) -> None:
        """Send a heartbeat with the current load on every link."""
        for link in self._links:
            link.send(heartbeat(self._store, self._callbacks.current_load()))

    async def run_heartbeats(self, interval_seconds: float) -> None:
        """Send heartbeats until cancelled, with the load if it has changed."""
        while True:
            await asyncio.sleep(interval_seconds)
            load = self._callbacks.current_load()
            update = load if _load_changed(load, self._last_sent_load) else None
            self._last_sent_load = update or self._last_sent_load
            for link in self._links:
                link.send(heartbeat(self._store, update))

    async def close_links(self) -> None:
        """Close every link after sending its pending messages."""
        await asyncio.gather(*(link.close() for link in self._links))

    async def _serve(self, socket: ServerConnection) -> None:
        try:
            hello = await self._handshake(socket)
        except CONNECT_ERRORS as error:
            log_event('link_refused', 'WARNING', why=type(error).__name__)
            await socket.close(_CLOSE_POLICY_VIOLATION)
            return
        await self._run_link(socket, hello.process)

    async def _handshake(self, socket: ServerConnection) -> wire.Hello:
        hello = await receive_hello(
            socket, self._process_key, _HANDSHAKE_SECONDS
        )
        await socket.send(serialise_frame([self._callbacks.make_welcome()]))
        return hello

    async def _run_link(self, socket: ServerConnection, peer: str) -> None:
        link = Link(socket, self._metrics)
        self._links.add(link)
        log_event('link_opened', peer=peer)
        link.send(heartbeat(self._store, self._callbacks.current_load()))
        try:
            await link.run(lambda message: self._handle(message, link))
        finally:
            self._links.discard(link)
            self._callbacks.on_link_closed(link)
            log_event('link_closed', peer=peer)

    def _handle(self, message: Message, link: Link) -> None:
        if not handle_settings_message(message, link, self._store):
            self._callbacks.handle_message(message, link)


def _load_changed(load: wire.Load | None, last_sent: wire.Load | None) -> bool:
    """Return whether a heartbeat needs to carry the load.

    Messages of running work carry the load as well, so a heartbeat reports
    only a changed state or a change of at least one step.
    """
    if load is None or last_sent is None:
        return load is not last_sent
    if (load.leaving, load.refusing) != (last_sent.leaving, last_sent.refusing):
        return True
    step = max(1, load.limit // _LOAD_STEPS_PER_LIMIT)
    excess = load.running + load.queued - load.limit
    last_sent_excess = last_sent.running + last_sent.queued - last_sent.limit
    return abs(excess - last_sent_excess) >= step
