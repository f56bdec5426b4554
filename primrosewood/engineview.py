"""What an entry hears from the processes beside engines."""

from collections.abc import Callable
from functools import partial

from . import gen_wire as wire
from .backendset import Backend, BackendRecord, BackendSet
from .clock import Clock
from .codec import Message
from .enginereports import state_from_report
from .link import Link
from .logs import log_event
from .moves import MoveNotice, MoveNotices
from .peerlink import LinkIdentity, PeerLink
from .routes import TableHolder
from .shares import EntryCount

__all__ = ('EngineView',)

# An engine that leaves without a word loses its record first and serves on for
# some seconds; its moves are told over this link.
_LINGER_SECONDS = 15.0
# An engine that announces itself has just started, and its record, which says
# how long it is cold, has not come yet.
_ANNOUNCED_COLD_SECONDS = 5.0
# Room that is offered for moves leaves this share of an engine's memory to
# what its own generations will still add.
_OFFERED = 0.9


class EngineView:
    """Links to the process beside each engine, and what they bring.

    Parameters
    ----------
    link_port
        Where these processes listen, each on its engine's VM.
    handle_other
        Called with messages that are not about engines, and their link.
    """

    def __init__(
        self,
        backends: BackendSet,
        tables: TableHolder,
        notices: MoveNotices,
        entries: EntryCount,
        identity: LinkIdentity,
        clock: Clock,
        link_port: int,
        handle_other: Callable[[Message, Link], None],
    ) -> None:
        """Start without links."""
        self._handle_other = handle_other
        self._backends = backends
        self._tables = tables
        self._notices = notices
        self._entries = entries
        self._identity = identity
        self._clock = clock
        self._link_port = link_port
        self._links: dict[str, PeerLink] = {}
        self._told_entries: dict[str, int] = {}
        self._unlisted: dict[str, float] = {}

    def update(self) -> None:
        """Link to the engines that are known."""
        wanted = {
            backend.record.address
            for backend in self._backends.backends
            if self._is_engine(backend)
        }
        for missing in wanted - self._links.keys():
            self._links[missing] = self._open(missing)
        now = self._clock.monotonic()
        self._unlisted = {
            address: self._unlisted.get(address, now)
            for address in self._links.keys() - wanted
        }

    def tick(self) -> None:
        """Give up what is silent, or whose engine left long ago."""
        now = self._clock.monotonic()
        for backend in self._backends.backends:
            if backend.drop_stale_state(now):
                log_event('reports_stopped', 'WARNING', endpoint=backend.name)
        for address, since in list(self._unlisted.items()):
            if now > since + _LINGER_SECONDS:
                self._unlisted.pop(address)
                self._links.pop(address).stop()
                self._told_entries.pop(address, None)
        for link in self._links.values():
            link.check_silence()

    def stop(self) -> None:
        """End all links."""
        for link in self._links.values():
            link.stop()

    def room(self, service: str) -> list[wire.EngineRoom]:
        """Return the engines of a service that can take generations in."""
        now = self._clock.monotonic()
        return [
            wire.EngineRoom(
                backend.record.address,
                backend.record.failure_domain,
                _free_tokens(backend),
            )
            for backend in self._backends.usable(service)
            if _has_slot(backend)
            and not backend.call_limit.seconds_until_call(now)
        ]

    def take_found(self, found: wire.EngineFound) -> bool:
        """Note an engine that announces itself; tell whether it is new."""
        engine = self._tables.engine_traits(found.service)
        if engine is None:
            return False
        record = BackendRecord(
            name=found.name,
            service=found.service,
            address=found.address,
            failure_domain=found.failure_domain,
            slots=engine.slots,
            cold_seconds=_ANNOUNCED_COLD_SECONDS,
        )
        is_new = self._backends.announce(record, self._clock.monotonic())
        if is_new:
            log_event(
                'endpoint_announced',
                endpoint=found.name,
                address=found.address,
                failure_domain=found.failure_domain,
            )
            self.update()
        return is_new

    def send_to_one(self, message: Message) -> bool:
        """Send a message on one of the links, another one each time.

        Returns
        -------
        bool
            False when no link is connected.
        """
        for address, link in list(self._links.items()):
            if link.send(message):
                # To the end, so that the next message takes another one.
                self._links[address] = self._links.pop(address)
                return True
        return False

    def announce_call(
        self, backend: Backend, name: str, unread: int, whole: int
    ) -> None:
        """Tell the process beside an engine of a call that is sent there.

        Parameters
        ----------
        backend
            The engine.
        name
            Of the call.
        unread
            Tokens that the engine has to read.
        whole
            Tokens of its prompt and expected answer.
        """
        link = self._links.get(backend.record.address)
        if link is not None:
            link.send(wire.CallPlaced(name, unread, whole))

    def handle_announcement(self, message: Message, _link: Link) -> None:
        """Act on what came from the process beside an engine directly."""
        if isinstance(message, wire.EngineFound) and self.take_found(message):
            for link in self._links.values():
                link.send(message)

    def _open(self, address: str) -> PeerLink:
        host = address.partition(':')[0]
        return PeerLink(
            f'ws://{host}:{self._link_port}',
            self._identity,
            self._clock,
            partial(self._handle, address),
        )

    def _is_engine(self, backend: Backend) -> bool:
        return self._tables.engine_traits(backend.record.service) is not None

    def _handle(self, address: str, message: Message, link: Link) -> None:
        match message:
            case wire.EngineReport():
                self._take_report(address, message)
            case wire.RoomAsk():
                link.send(wire.RoomTold(self.room(message.service)))
            case wire.EngineFound():
                self.take_found(message)
            case wire.RunMoved():
                self._notices.post(
                    MoveNotice(
                        message.attempt,
                        message.source,
                        message.handle,
                        message.target,
                    )
                )
            case _:
                self._handle_other(message, link)

    def _take_report(self, address: str, report: wire.EngineReport) -> None:
        self._told_entries[address] = report.entries
        self._entries.take(max(self._told_entries.values()))
        backend = self._backends.find_address(address)
        if backend is None:
            return
        if backend.state is None:
            log_event('reports_heard', endpoint=backend.name)
        was_stopping = backend.stopping
        backend.update_state(state_from_report(report), self._clock.monotonic())
        if backend.stopping != was_stopping:
            log_event(
                'endpoint_reported',
                endpoint=backend.name,
                leaving=report.leaving,
                used=report.used_tokens,
            )


def _has_slot(backend: Backend) -> bool:
    running = backend.state.running if backend.state else backend.open_calls
    return running < backend.record.slots


def _free_tokens(backend: Backend) -> int:
    state = backend.state
    if state is None:
        return 0
    used = max(
        state.used_tokens + backend.unreported_tokens, backend.open_tokens
    )
    return max(0, int(state.total_tokens * _OFFERED) - used)
