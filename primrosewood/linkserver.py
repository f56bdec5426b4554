"""The listening side of links, the same at endpoints and entries."""

import asyncio
import ssl
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass

from websockets.asyncio.server import Server, ServerConnection, serve

from . import gen_wire as wire
from .codec import Message, serialise_frame
from .gen_process import Limits, Listen
from .gossip import handle_settings_message, heartbeat
from .link import CONNECT_ERRORS, Link, receive_hello
from .logs import log_event
from .settings import SettingsStore

__all__ = ('LinkServer', 'LinkServerCallbacks')

_HANDSHAKE_SECONDS = 2.0
_UNAUTHENTICATED = 1008
_COARSE_STEPS = 8


@dataclass(frozen=True, slots=True)
class LinkServerCallbacks:
    """What the owner of a link server provides.

    Attributes
    ----------
    welcome
        Makes the greeting.
    load
        Reads the load to be told; None where there is none to tell.
    handle
        Acts on a message that is not about settings.
    dropped
        Told of each connection that ended.
    """

    welcome: Callable[[], wire.Welcome]
    load: Callable[[], wire.Load | None]
    handle: Callable[[Message, Link], None]
    dropped: Callable[[Link], None]


class LinkServer:
    """Accepts links of peers that know the process key."""

    def __init__(
        self, store: SettingsStore, process_key: str, side: LinkServerCallbacks
    ) -> None:
        """Start without links."""
        self._store = store
        self._process_key = process_key
        self._side = side
        self._links: set[Link] = set()
        self._last_load: wire.Load | None = None

    @property
    def count(self) -> int:
        """Number of open links."""
        return len(self._links)

    def listen(
        self, listen: Listen, limits: Limits, tls: ssl.SSLContext | None
    ) -> AbstractAsyncContextManager[Server]:
        """Return the server; entering it opens the port."""
        return serve(
            self._serve,
            listen.host,
            listen.port,
            ssl=tls,
            compression=None,
            ping_interval=None,
            max_size=limits.frame_bytes,
        )

    def broadcast(self) -> None:
        """Send a heartbeat with the load on every link."""
        for link in self._links:
            link.send(heartbeat(self._store, self._side.load()))

    async def run_heartbeats(self, seconds: float) -> None:
        """Send heartbeats until cancelled, with the load when it changed."""
        while True:
            await asyncio.sleep(seconds)
            load = self._side.load()
            shown = load if _differs(load, self._last_load) else None
            self._last_load = shown or self._last_load
            for link in self._links:
                link.send(heartbeat(self._store, shown))

    async def close_links(self) -> None:
        """End every link after what waits on it was written."""
        for link in list(self._links):
            await link.close()

    async def _serve(self, socket: ServerConnection) -> None:
        try:
            hello = await self._greet(socket)
        except CONNECT_ERRORS as error:
            log_event('link_refused', 'WARNING', why=type(error).__name__)
            await socket.close(_UNAUTHENTICATED)
            return
        await self._run_link(socket, hello.process)

    async def _greet(self, socket: ServerConnection) -> wire.Hello:
        hello = await receive_hello(
            socket, self._process_key, _HANDSHAKE_SECONDS
        )
        await socket.send(serialise_frame([self._side.welcome()]))
        return hello

    async def _run_link(self, socket: ServerConnection, peer: str) -> None:
        link = Link(socket)
        self._links.add(link)
        log_event('link_opened', peer=peer)
        link.send(heartbeat(self._store, self._side.load()))
        try:
            await link.run(lambda message: self._handle(message, link))
        finally:
            self._links.discard(link)
            self._side.dropped(link)
            log_event('link_closed', peer=peer)

    def _handle(self, message: Message, link: Link) -> None:
        if not handle_settings_message(message, link, self._store):
            self._side.handle(message, link)


def _differs(load: wire.Load | None, told: wire.Load | None) -> bool:
    """Tell whether a load is worth telling beside those on data frames."""
    if load is None or told is None:
        return load is not told
    if (load.leaving, load.refusing) != (told.leaving, told.refusing):
        return True
    step = max(1, load.limit // _COARSE_STEPS)
    now = load.running + load.queued - load.limit
    then = told.running + told.queued - told.limit
    return abs(now - then) >= step
