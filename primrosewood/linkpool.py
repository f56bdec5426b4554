"""Connections of an entry to other processes, and inboxes for attempts."""

import asyncio
import ssl
from collections import deque
from dataclasses import dataclass

import websockets
from websockets.asyncio.client import ClientConnection, connect

from . import gen_wire as wire
from .boundedlinks import BoundedClientConnection
from .clock import Clock, RandomSource
from .codec import Message, parse_frame, serialise_frame
from .errors import WireError
from .fleet import ENTRY_SERVICE
from .gen_process import ProcessSettings
from .gossip import handle_settings_message, heartbeat
from .link import Link
from .logs import log_event
from .membership import EndpointView
from .metrics import Metrics
from .process import spawn
from .settings import SettingsStore

__all__ = ('DeadlinePassed', 'Inbox', 'LinkClient', 'LinkLost', 'LinkPool')

_HANDSHAKE_SECONDS = 2.0
_INITIAL_BACKOFF_SECONDS = 0.05
_BACKOFF_FACTOR = 2
_CHECKS_PER_SILENCE_LIMIT = 5
_ENTRY_SILENCE_FACTOR = 5


@dataclass(frozen=True, slots=True)
class LinkLost:
    """The connection ended, or its peer sent nothing for too long."""


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The deadline of the request passed."""


class Inbox:
    """Received messages and events of one attempt, in order."""

    def __init__(self) -> None:
        """Create an empty inbox."""
        self._received: deque[Message | LinkLost | DeadlinePassed] = deque()
        self._receiver: asyncio.Future | None = None

    def push(self, received: Message | LinkLost | DeadlinePassed) -> None:
        """Add a received message or event."""
        self._received.append(received)
        if self._receiver is not None and not self._receiver.done():
            self._receiver.set_result(None)

    async def receive(self) -> Message | LinkLost | DeadlinePassed:
        """Wait for the next message or event and return it."""
        while not self._received:
            self._receiver = asyncio.get_running_loop().create_future()
            await self._receiver
        return self._received.popleft()


@dataclass(frozen=True, slots=True)
class _ClientIdentity:
    """Identity and credentials that a client presents in the handshake."""

    settings: ProcessSettings
    incarnation: str
    process_key: str
    tls: ssl.SSLContext | None


class LinkClient:
    """Connection to one process, re-established whenever it ends."""

    def __init__(
        self,
        view: EndpointView,
        identity: _ClientIdentity,
        store: SettingsStore,
        clock: Clock,
        random: RandomSource,
        metrics: Metrics,
    ) -> None:
        """Start a background task that connects."""
        self.view = view
        self._identity = identity
        self._store = store
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._link: Link | None = None
        self._inboxes: dict[str, Inbox] = {}
        self._connected = asyncio.Event()
        self._connection_waiters = 0
        self._task = spawn(self._run_with_reconnect(), f'link to {view.name}')

    @property
    def busy(self) -> bool:
        """Whether an attempt uses or waits for this connection."""
        return bool(self._inboxes) or self._connection_waiters > 0

    def open_inbox(self, attempt: str, inbox: Inbox) -> None:
        """Deliver messages for an attempt to an inbox from now on."""
        self._inboxes[attempt] = inbox
        self.view.outstanding += 1

    def close_inbox(self, attempt: str) -> None:
        """Discard further messages for an attempt."""
        if self._inboxes.pop(attempt, None) is not None:
            self.view.outstanding -= 1

    def send(self, message: Message) -> bool:
        """Queue a message for sending; False when there is no connection."""
        if self._link is None or self._link.closed:
            return False
        self._link.send(message)
        return True

    async def wait_linked(self, seconds: float) -> bool:
        """Wait for a connection; False when there is none in time."""
        self._connection_waiters += 1
        try:
            async with asyncio.timeout(seconds):
                await self._connected.wait()
        except TimeoutError:
            return False
        finally:
            self._connection_waiters -= 1
        return True

    def check_silence(self) -> None:
        """Abort the connection if its peer has sent nothing for too long.

        The peer may be suspended, or its machine may have failed without
        closing the connection; attempts that wait on it must be notified.
        """
        if self._link is None:
            return
        silence_limit = self._identity.settings.timing.silence_seconds
        if self.view.member.service == ENTRY_SERVICE:
            # Entries send heartbeats less often, and only claims depend on
            # the connection to them.
            silence_limit *= _ENTRY_SILENCE_FACTOR
        if self._clock.monotonic() - self.view.heard_at > silence_limit:
            log_event('link_silent', 'WARNING', peer=self.view.name)
            link, self._link = self._link, None
            self._handle_disconnect()
            spawn(link.abort(), 'abort link')

    def stop(self) -> None:
        """Close the connection for good."""
        self._task.cancel()
        self._handle_disconnect()

    async def _run_with_reconnect(self) -> None:
        delay = _INITIAL_BACKOFF_SECONDS
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
                delay = _INITIAL_BACKOFF_SECONDS
            await asyncio.sleep(delay * (1 + self._random.random()))
            max_delay = self._identity.settings.timing.reconnect_seconds
            delay = min(max_delay, delay * _BACKOFF_FACTOR)

    async def _connect_once(self) -> None:
        url = self.view.member.url
        async with connect(
            url,
            ssl=self._identity.tls if url.startswith('wss') else None,
            compression=None,
            ping_interval=None,
            open_timeout=_HANDSHAKE_SECONDS,
            close_timeout=_HANDSHAKE_SECONDS,
            create_connection=BoundedClientConnection,
            max_size=self._identity.settings.limits.frame_bytes,
            proxy=None,
        ) as socket:
            await self._handshake(socket)
            link = Link(socket, self._metrics)
            self._link = link
            self._connected.set()
            link.send(heartbeat(self._store))
            try:
                await link.run(
                    lambda message: self._handle_message(message, link)
                )
            finally:
                self._discard_link(link)

    async def _handshake(self, socket: ClientConnection) -> None:
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
        # The address may have been reassigned to another endpoint.
        if welcome.process != self.view.name:
            raise WireError('another process answered at the address')
        self.view.incarnation = welcome.incarnation
        self.view.update_load(welcome.load)
        self.view.heard_at = self._clock.monotonic()
        self.view.linked = True
        log_event('link_opened', peer=self.view.name)

    def _handle_message(self, message: Message, link: Link) -> None:
        if link is not self._link:
            # This connection was aborted as silent and has delivered a message
            # after all. Its inboxes have received LinkLost already, so the
            # message is too late.
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
        # Without an inbox the attempt has ended, and the message is dropped.
        if inbox is not None:
            inbox.push(message)

    def _discard_link(self, link: Link) -> None:
        if self._link is link:
            self._link = None
            self._handle_disconnect()
            log_event('link_closed', peer=self.view.name)

    def _handle_disconnect(self) -> None:
        self.view.linked = False
        self._connected.clear()
        inboxes, self._inboxes = self._inboxes, {}
        self.view.outstanding = 0
        for inbox in inboxes.values():
            inbox.push(LinkLost())


class LinkPool:
    """All connections of an entry to other processes."""

    def __init__(
        self,
        settings: ProcessSettings,
        incarnation: str,
        process_key: str,
        tls: ssl.SSLContext | None,
        store: SettingsStore,
        clock: Clock,
        random: RandomSource,
        metrics: Metrics,
    ) -> None:
        """Create a pool without connections."""
        self._settings = settings
        self._store = store
        self._identity = _ClientIdentity(
            settings, incarnation, process_key, tls
        )
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._clients: dict[str, LinkClient] = {}

    @property
    def clients(self) -> list[LinkClient]:
        """All clients, connected or not."""
        return list(self._clients.values())

    def open(self, view: EndpointView) -> LinkClient:
        """Return the client of a process, creating it if necessary."""
        client = self._clients.get(view.name)
        if client is None:
            client = LinkClient(
                view,
                self._identity,
                self._store,
                self._clock,
                self._random,
                self._metrics,
            )
            self._clients[view.name] = client
        return client

    def connect_only(
        self, views: dict[str, EndpointView], names: set[str]
    ) -> None:
        """Connect to the named processes and close other idle connections."""
        for name in names:
            self.open(views[name])
        for name, client in list(self._clients.items()):
            if name not in names and not client.busy:
                client.stop()
                self._clients.pop(name)

    def broadcast(self) -> None:
        """Send a heartbeat on every connection."""
        for client in self._clients.values():
            client.send(heartbeat(self._store))

    async def run_heartbeats(self) -> None:
        """Send heartbeats and abort silent connections until cancelled."""
        timing = self._settings.timing
        seconds_to_heartbeat = 0.0
        check_interval_seconds = (
            timing.silence_seconds / _CHECKS_PER_SILENCE_LIMIT
        )
        while True:
            await asyncio.sleep(check_interval_seconds)
            seconds_to_heartbeat -= check_interval_seconds
            if seconds_to_heartbeat <= 0:
                self.broadcast()
                seconds_to_heartbeat = timing.quiet_heartbeat_seconds
            for client in self.clients:
                client.check_silence()

    def stop(self) -> None:
        """Close all connections."""
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
    raise WireError('the first message is not a Welcome')
