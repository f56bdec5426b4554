"""An entry's connections to endpoints, and who waits for what on them."""

import asyncio
import ssl
from collections import deque
from dataclasses import dataclass

import websockets
from websockets.asyncio.client import ClientConnection, connect

from . import gen_wire as wire
from .clock import Clock, RandomSource
from .codec import Message, parse_frame, serialise_frame
from .errors import WireError
from .fleet import ENTRY_SERVICE
from .gen_process import ProcessSettings
from .gossip import handle_settings_message, heartbeat
from .link import Link
from .logs import log_event
from .membership import EndpointView
from .process import spawn
from .settings import SettingsStore

__all__ = ('DeadlinePassed', 'Inbox', 'LinkClient', 'LinkLost', 'LinkPool')

_HANDSHAKE_SECONDS = 2.0
_FIRST_PAUSE = 0.05
_PAUSE_GROWTH = 2
_CHECKS_PER_SILENCE = 5
_ENTRY_PATIENCE = 5


@dataclass(frozen=True, slots=True)
class LinkLost:
    """The connection ended, or its peer fell silent."""


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The request's deadline came."""


class Inbox:
    """What came for one attempt, in order."""

    def __init__(self) -> None:
        """Start empty."""
        self._received: deque[Message | LinkLost | DeadlinePassed] = deque()
        self._waiter: asyncio.Future | None = None

    def push(self, received: Message | LinkLost | DeadlinePassed) -> None:
        """Add what came."""
        self._received.append(received)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def receive(self) -> Message | LinkLost | DeadlinePassed:
        """Return the next, waiting for it if need be."""
        while not self._received:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self._received.popleft()


@dataclass(frozen=True, slots=True)
class _Identity:
    """What a client needs to greet with."""

    settings: ProcessSettings
    incarnation: str
    process_key: str
    tls: ssl.SSLContext | None


class LinkClient:
    """One endpoint's connection, made again whenever it ends."""

    def __init__(
        self,
        view: EndpointView,
        identity: _Identity,
        store: SettingsStore,
        clock: Clock,
        random: RandomSource,
    ) -> None:
        """Start unconnected."""
        self.view = view
        self._identity = identity
        self._store = store
        self._clock = clock
        self._random = random
        self._link: Link | None = None
        self._inboxes: dict[str, Inbox] = {}
        self._linked = asyncio.Event()
        self._waiting = 0
        self._task = spawn(self._run(), f'link to {view.name}')

    @property
    def busy(self) -> bool:
        """Whether an attempt waits for something here."""
        return bool(self._inboxes) or self._waiting > 0

    def open_inbox(self, attempt: str, inbox: Inbox) -> None:
        """Route what comes for an attempt to an inbox."""
        self._inboxes[attempt] = inbox
        self.view.outstanding += 1

    def close_inbox(self, attempt: str) -> None:
        """Drop what still comes for an attempt."""
        if self._inboxes.pop(attempt, None) is not None:
            self.view.outstanding -= 1

    def send(self, message: Message) -> bool:
        """Send a message; False when there is no connection."""
        if self._link is None or self._link.closed:
            return False
        self._link.send(message)
        return True

    async def wait_linked(self, seconds: float) -> bool:
        """Wait for a connection; False when none came in time."""
        self._waiting += 1
        try:
            async with asyncio.timeout(seconds):
                await self._linked.wait()
        except TimeoutError:
            return False
        finally:
            self._waiting -= 1
        return True

    def check_silence(self) -> None:
        """Give up a connection whose peer has said nothing for too long.

        The peer may be stopped, or its machine gone without closing the
        connection; whoever waits there must learn of it.
        """
        if self._link is None:
            return
        silence = self._identity.settings.timing.silence_seconds
        if self.view.member.service == ENTRY_SERVICE:
            # Entries speak less often; nothing but claims goes to them.
            silence *= _ENTRY_PATIENCE
        if self._clock.monotonic() - self.view.heard_at > silence:
            log_event('link_silent', 'WARNING', peer=self.view.name)
            link, self._link = self._link, None
            self._lose()
            spawn(link.abort(), 'abort link')

    def stop(self) -> None:
        """End the connection."""
        self._task.cancel()
        self._lose()

    async def _run(self) -> None:
        pause = _FIRST_PAUSE
        while True:
            try:
                await self._connect_once()
            except _CONNECT_ERRORS as error:
                log_event(
                    'link_failed',
                    'DEBUG',
                    peer=self.view.name,
                    why=type(error).__name__,
                )
            else:
                pause = _FIRST_PAUSE
            await asyncio.sleep(pause * (1 + self._random.random()))
            most = self._identity.settings.timing.reconnect_seconds
            pause = min(most, pause * _PAUSE_GROWTH)

    async def _connect_once(self) -> None:
        url = self.view.member.url
        async with connect(
            url,
            ssl=self._identity.tls if url.startswith('wss') else None,
            compression=None,
            ping_interval=None,
            open_timeout=_HANDSHAKE_SECONDS,
            close_timeout=_HANDSHAKE_SECONDS,
            max_size=self._identity.settings.limits.frame_bytes,
            proxy=None,
        ) as socket:
            await self._greet(socket)
            link = Link(socket)
            self._link = link
            self._linked.set()
            link.send(heartbeat(self._store))
            try:
                await link.run(lambda message: self._handle(message, link))
            finally:
                self._forget(link)

    async def _greet(self, socket: ClientConnection) -> None:
        identity = self._identity
        hello = wire.Hello(
            process=identity.settings.name,
            incarnation=identity.incarnation,
            key=identity.process_key,
        )
        await socket.send(serialise_frame([hello]))
        async with asyncio.timeout(_HANDSHAKE_SECONDS):
            frame = await socket.recv()
        welcome = _require_welcome(frame)
        # A reused address may have another endpoint behind it by now.
        if welcome.process != self.view.name:
            raise WireError('another endpoint answers here')
        self.view.incarnation = welcome.incarnation
        self.view.update_load(welcome.load)
        self.view.heard_at = self._clock.monotonic()
        self.view.linked = True
        log_event('link_opened', peer=self.view.name)

    def _handle(self, message: Message, link: Link) -> None:
        if link is not self._link:
            # A connection that was given up as silent and woke again: those
            # who waited on it have been told, so its answers are too late.
            return
        self.view.heard_at = self._clock.monotonic()
        if isinstance(message, wire.Heartbeat):
            self.view.digest = message.digest
        load = getattr(message, 'load', None)
        if load:
            self.view.update_load(load)
        if handle_settings_message(message, link, self._store):
            return
        inbox = self._inboxes.get(message.attempt)
        # An answer to an attempt that has ended, late or crossed: dropped.
        if inbox is not None:
            inbox.push(message)

    def _forget(self, link: Link) -> None:
        if self._link is link:
            self._link = None
            self._lose()
            log_event('link_closed', peer=self.view.name)

    def _lose(self) -> None:
        self.view.linked = False
        self._linked.clear()
        inboxes, self._inboxes = self._inboxes, {}
        self.view.outstanding = 0
        for inbox in inboxes.values():
            inbox.push(LinkLost())


class LinkPool:
    """All connections of an entry."""

    def __init__(
        self,
        settings: ProcessSettings,
        incarnation: str,
        process_key: str,
        tls: ssl.SSLContext | None,
        store: SettingsStore,
        clock: Clock,
        random: RandomSource,
    ) -> None:
        """Start without connections."""
        self._settings = settings
        self._store = store
        self._identity = _Identity(settings, incarnation, process_key, tls)
        self._clock = clock
        self._random = random
        self._clients: dict[str, LinkClient] = {}

    @property
    def clients(self) -> list[LinkClient]:
        """All connections."""
        return list(self._clients.values())

    def open(self, view: EndpointView) -> LinkClient:
        """Return the connection to an endpoint, starting it if need be."""
        client = self._clients.get(view.name)
        if client is None:
            client = LinkClient(
                view, self._identity, self._store, self._clock, self._random
            )
            self._clients[view.name] = client
        return client

    def keep(self, views: dict[str, EndpointView], wanted: set[str]) -> None:
        """Connect to the wanted and end idle connections to others."""
        for name in wanted:
            self.open(views[name])
        for name, client in list(self._clients.items()):
            if name not in wanted and not client.busy:
                client.stop()
                self._clients.pop(name)

    def broadcast(self) -> None:
        """Send a heartbeat on every connection."""
        for client in self._clients.values():
            client.send(heartbeat(self._store))

    async def run_heartbeats(self) -> None:
        """Send heartbeats and watch for silence until cancelled."""
        timing = self._settings.timing
        next_beat = 0.0
        pause = timing.silence_seconds / _CHECKS_PER_SILENCE
        while True:
            await asyncio.sleep(pause)
            next_beat -= pause
            if next_beat <= 0:
                self.broadcast()
                next_beat = timing.quiet_heartbeat_seconds
            for client in self.clients:
                client.check_silence()

    def stop(self) -> None:
        """End all connections."""
        for client in self._clients.values():
            client.stop()


_CONNECT_ERRORS = (
    OSError,
    TimeoutError,
    WireError,
    websockets.WebSocketException,
)


def _require_welcome(frame: str | bytes) -> wire.Welcome:
    if isinstance(frame, str):
        raise WireError('a text frame')
    messages = parse_frame(frame)
    if len(messages) == 1 and isinstance(messages[0], wire.Welcome):
        return messages[0]
    raise WireError('no welcome')
