"""An entry's links to the endpoint processes of all engines."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from itertools import chain

from . import gen_wire as wire
from .addresses import parse_address
from .backendset import AnnouncementOutcome, BackendSet
from .backendstate import Backend, BackendIdentity, BackendRecord
from .clock import Clock
from .codec import Message
from .enginereports import state_from_report
from .entrycount import EntryCount
from .errors import WireError
from .link import Link
from .logs import log_decision, log_event
from .moves import MovedCopy, MoveNotice, MoveNotices
from .peerlink import PeerConnector, PeerLink
from .routes import TableHolder

__all__ = ('EngineView',)

# The link outlives the engine's record: an engine that leaves without notice
# loses its record first and still serves for some seconds, during which moves
# are reported over this link.
_UNLISTED_LINK_SECONDS = 15.0
# Assumed cold time of an engine that was announced over a link: it has just
# started, and its record, which states the cold time, is not known yet.
_ANNOUNCED_COLD_SECONDS = 5.0
# Endpoint processes that forward the announcement of an engine. Several do, as
# one may be partitioned from some entries or leave at that moment.
_ANNOUNCEMENT_COPIES = 3
# Announced engines of which it is kept what became of them.
_MAX_OUTCOMES = 1024
# Processes that forward the end of a back end.
_CRASH_COPIES = 2
# Processes that keep this entry's retries; some of them may be lost with it.
_RETRY_COPIES = 3
# Interval at which all back ends are looked at again.
_RECHECK_SECONDS = 1.0
# A report of a copy counts for this long; copies take up to 0.5 s.
_COPY_REPORT_SECONDS = 1.0
# Endpoint processes report at least every second.
_SILENT_SECONDS = 1.3
# Share of an engine's memory that moves may fill; the rest is left for the
# growth of its own generations.
_OFFERED_MEMORY_SHARE = 0.9


@dataclass(frozen=True, slots=True)
class _ReportedCopy:
    """Engine to which another one copies a generation, empty for none."""

    target: str
    reported_at: float


class EngineView:
    """Keeps a link to the endpoint process of each engine.

    Parameters
    ----------
    link_port
        Port on which endpoint processes listen on their VMs.
    handle_other
        Called with each message that is not about engines, and its link.

    Attributes
    ----------
    may_receive
        Returns whether generations may be moved to an engine; any engine at
        first.
    """

    def __init__(
        self,
        backends: BackendSet,
        tables: TableHolder,
        notices: MoveNotices,
        entries: EntryCount,
        connector: PeerConnector,
        clock: Clock,
        link_port: int,
        handle_other: Callable[[Message, Link], None],
    ) -> None:
        """Create a view without links."""
        self.may_receive: Callable[[Backend], bool] = bool
        self._handle_other = handle_other
        self._backends = backends
        self._tables = tables
        self._notices = notices
        self._entries = entries
        self._connector = connector
        self._clock = clock
        self._link_port = link_port
        self._links: dict[str, PeerLink] = {}
        self._reported_entries: dict[str, int] = {}
        self._any_reported = False
        self._copies: dict[str, _ReportedCopy] = {}
        # Addresses of engines whose processes announce stops.
        self._announcing: set[str] = set()
        # Start of the engine beside each process, once it was reported.
        self._boots: dict[str, int] = {}
        # Starts of engines that asked for targets and are not known here.
        self._unknown_askers: dict[str, int] = {}
        self._unlisted_since: dict[str, float] = {}
        # What became of announced engines, by name; logged when it changes.
        self._announcement_outcomes: dict[str, AnnouncementOutcome] = {}
        self._update_scheduled = False
        self._rechecked_at = float('-inf')

    def schedule_update(self) -> None:
        """Update the links once for all changes that arrive together."""
        if not self._update_scheduled:
            self._update_scheduled = True
            asyncio.get_running_loop().call_soon(self.update)

    def update(self) -> None:
        """Open links to new engines and mark engines that are not listed."""
        self._update_scheduled = False
        wanted = {backend.record.address for backend in self._list_engines()}
        for missing in wanted - self._links.keys():
            self._links[missing] = self._open_link(missing)
        now = self._clock.monotonic()
        self._unlisted_since = {
            address: self._unlisted_since.get(address, now)
            for address in self._links.keys() - wanted
        }

    def tick(self) -> None:
        """Drop outdated reports, silent links and links of removed engines."""
        now = self._clock.monotonic()
        for engine in self._list_engines():
            if engine.drop_stale_state(now):
                log_event('reports_stopped', 'WARNING', endpoint=engine.name)
        if now >= self._rechecked_at + _RECHECK_SECONDS:
            self._rechecked_at = now
            self._backends.note_unusable(now)
            for backend in self._backends.backends:
                backend.retry_misdirected(now)
        for address, since in list(self._unlisted_since.items()):
            if now > since + _UNLISTED_LINK_SECONDS:
                self._unlisted_since.pop(address)
                self._links.pop(address).stop()
                self._reported_entries.pop(address, None)
                self._copies.pop(address, None)
                self._boots.pop(address, None)
                self._unknown_askers.pop(address, None)
                self._announcing.discard(address)
        for link in self._links.values():
            link.check_silence()

    def stop(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.stop()

    def engines_with_capacity(self, service: str) -> list[wire.EngineCapacity]:
        """Return the engines of a service that can accept moved generations."""
        now = self._clock.monotonic()
        receiving = self._list_receiving(now)
        return [
            wire.EngineCapacity(
                backend.record.address,
                backend.record.failure_domain,
                _free_tokens(backend),
                backend.record.address in receiving,
                backend.name,
                backend.record.boot,
            )
            for backend in self._backends.usable(service)
            if backend.record.identity is not None
            and _has_slot(backend)
            and self.may_receive(backend)
            and not backend.seconds_until_call(now)
        ]

    def register_engine(self, found: wire.EngineFound) -> bool:
        """Add an announced engine if it may be used; return whether it was."""
        engine = self._tables.engine_traits(found.service)
        if engine is None:
            return False
        # Processes of older builds announce whatever answers at the address.
        is_from_older_build = not (found.process_seconds >= 0 and found.boot)
        if is_from_older_build:
            return False
        try:
            parse_address(found.address)
        except WireError as error:
            log_event(
                'record_refused', 'WARNING', endpoint=found.name, why=error
            )
            return False
        record = BackendRecord(
            name=found.name,
            service=found.service,
            address=found.address,
            failure_domain=found.failure_domain,
            slots=engine.slots,
            cold_seconds=_ANNOUNCED_COLD_SECONDS,
            boot=found.boot,
        )
        now = self._clock.monotonic()
        outcome = self._backends.announce(
            record, now - found.process_seconds, now
        )
        self._log_announcement(found, outcome)
        if outcome is AnnouncementOutcome.used:
            self.update()
            return True
        return False

    def send_to_one(self, message: Message) -> bool:
        """Send a message on one of the links, in rotation.

        Returns
        -------
        bool
            False when no link is connected.
        """
        return self._send_to_some(message, limit=1)

    def report_retries(self, report: wire.RetryReport) -> None:
        """Send retries to a few processes, which keep them for the next one."""
        self._send_to_some(report, _RETRY_COPIES)

    def report_crash(self, message: Message) -> bool:
        """Send what is known of an end to all other entries.

        Several processes forward it, as one of them may end at that moment.
        """
        return self._send_to_some(message, _CRASH_COPIES)

    def keeps_retries(self) -> bool:
        """Return whether retries reported now would be kept.

        Where no process beside an engine was ever heard, nobody tells the next
        process of any retry, and that one waits until they do not count.
        """
        links = self._links.values()
        nobody_to_tell = not links or not self._any_reported
        return nobody_to_tell or not all(map(_is_silent, links))

    def announce_call(
        self, backend: Backend, name: str, unread_tokens: int, whole_tokens: int
    ) -> None:
        """Announce a call to the endpoint process of its engine.

        Parameters
        ----------
        backend
            The engine.
        name
            Name of the call.
        unread_tokens
            Tokens for which the engine still has to run prefill.
        whole_tokens
            Tokens of the prompt and the expected answer together.
        """
        link = self._links.get(backend.record.address)
        if link is not None:
            link.send(wire.CallPlaced(name, unread_tokens, whole_tokens))

    def retire(self, backend: Backend, seconds: float) -> None:
        """Tell the endpoint process of an engine to move its generations away.

        Parameters
        ----------
        seconds
            Time until the engine is stopped; negative if it is not to stop.
        """
        link = self._links.get(backend.record.address)
        if link is not None:
            link.send(wire.EngineRetired(seconds, backend.record.boot))

    def handle_announcement(self, message: Message, _link: Link) -> None:
        """Handle the announcement of an engine by its endpoint process.

        Some endpoint processes forward it to the other entries. Each of them
        sends a message to every entry, so that through all of them the
        messages would grow with the product of entries and engines.
        """
        if isinstance(message, wire.EngineFound) and self.register_engine(
            message
        ):
            self._send_to_some(message, _ANNOUNCEMENT_COPIES)

    def _log_announcement(
        self, found: wire.EngineFound, outcome: AnnouncementOutcome
    ) -> None:
        """Log a decision once; processes repeat their announcements."""
        if outcome is AnnouncementOutcome.known:
            return
        if self._announcement_outcomes.get(found.name) is outcome:
            return
        if len(self._announcement_outcomes) >= _MAX_OUTCOMES:
            self._announcement_outcomes.pop(
                next(iter(self._announcement_outcomes))
            )
        self._announcement_outcomes[found.name] = outcome
        used = outcome is AnnouncementOutcome.used
        log_decision(
            'endpoint_announced' if used else 'announcement_refused',
            endpoint=found.name,
            service=found.service,
            address=found.address,
            failure_domain=found.failure_domain,
            boot=found.boot,
            process_seconds=found.process_seconds,
            why=outcome.value,
        )

    def _send_to_some(self, message: Message, limit: int) -> bool:
        """Send on some links; return whether any of them is connected.

        A peer whose VM has just been taken away is silent until its link is
        given up, so that links which were heard lately come first.
        """
        links = self._links.items()
        active_first = chain(
            (each for each in links if not _is_silent(each[1])),
            (each for each in links if _is_silent(each[1])),
        )
        used: list[str] = []
        for address, link in active_first:
            if len(used) == limit:
                break
            if link.send(message):
                used.append(address)
        for address in used:
            # Moved to the end, so that the next message uses another link.
            self._links[address] = self._links.pop(address)
        return bool(used)

    def _list_receiving(self, now: float) -> set[str]:
        """Return the addresses of engines to which others copy generations."""
        return {
            copy.target
            for copy in self._copies.values()
            # An engine that is gone ends no copy in its last report.
            if now < copy.reported_at + _COPY_REPORT_SECONDS
        }

    def _open_link(self, address: str) -> PeerLink:
        host = address.partition(':')[0]
        return self._connector.open(
            f'ws://{host}:{self._link_port}',
            partial(self._handle_message, address),
        )

    def _list_engines(self) -> list[Backend]:
        return [
            backend
            for service in self._tables.list_engine_services()
            for backend in self._backends.list_service(service)
        ]

    def _handle_message(
        self, address: str, message: Message, link: Link
    ) -> None:
        match message:
            case wire.EngineReport():
                self._handle_report(address, message)
            case wire.CapacityQuery():
                self._answer_capacity_query(address, message, link)
            case wire.TargetQuery():
                self._answer_target_query(message, link)
            case wire.EngineFound():
                self.register_engine(message)
            case wire.RunMoved():
                self._notices.post(_read_notice(message))
            case wire.StopPolicy() | wire.StopQuery():
                self._handle_stop(address, message, link)
            case _:
                self._handle_other(message, link)

    def _answer_capacity_query(
        self, address: str, query: wire.CapacityQuery, link: Link
    ) -> None:
        """Tell which engines have room for generations of the asking one.

        Its service is that of its record: the process beside it may have been
        started for another engine.
        """
        boot = query.boot or self._boots.get(address, 0)
        asker = self._backends.find_start(address, boot)
        if asker is None:
            if self._unknown_askers.get(address) != boot:
                self._unknown_askers[address] = boot
                log_event(
                    'asker_unknown', 'WARNING', address=address, boot=boot
                )
            link.send(wire.CapacityReply([]))
            return
        engines = self.engines_with_capacity(asker.service)
        link.send(
            wire.CapacityReply(engines, asker.service, asker.name, asker.boot)
        )

    def _answer_target_query(self, query: wire.TargetQuery, link: Link) -> None:
        """Tell whether an engine takes calls, unless it is not known here."""
        if query.name and self._backends.find(query.name) is None:
            return
        link.send(
            wire.TargetReply(
                query.address, self._takes_calls(query), query.name, query.boot
            )
        )

    def _handle_stop(
        self,
        address: str,
        message: wire.StopPolicy | wire.StopQuery,
        link: Link,
    ) -> None:
        if isinstance(message, wire.StopQuery):
            self._answer_stop_query(message, link)
            return
        if message.announces_stops:
            self._announcing.add(address)
        else:
            self._announcing.discard(address)
        for backend in self._backends.list_address(address):
            backend.announces_stops = message.announces_stops

    def _answer_stop_query(self, query: wire.StopQuery, link: Link) -> None:
        """Tell whether a generation may be stopped, if its stream is here."""
        agrees = self._notices.announce_stop(
            query.attempt, query.source, query.boot
        )
        if agrees is None:
            return
        log_decision(
            'stop_announced',
            request=query.attempt,
            source=query.source,
            agrees=agrees,
        )
        link.send(
            wire.StopReply(query.attempt, query.boot, query.number, agrees)
        )

    def _takes_calls(self, query: wire.TargetQuery) -> bool:
        try:
            identity = BackendIdentity(query.service, query.name, query.boot)
        except WireError:
            return False
        backend = self._backends.find_identity(identity)
        return backend in self._backends.usable(query.service)

    def _compare_starts(self, address: str, boot: int) -> None:
        """Mark back ends of which a later start has the address.

        Their names may have come back under another service.  A report of the
        start that is registered takes back what a late report has said.
        """
        for backend in self._backends.list_address(address):
            known = backend.record.boot
            if not (boot and known):
                continue
            replaced = known < boot
            if replaced is backend.replaced or known > boot:
                continue
            backend.replaced = replaced
            log_event(
                'endpoint_replaced' if replaced else 'endpoint_back',
                endpoint=backend.name,
                boot=known,
                reported=boot,
            )

    def _find_reported(self, address: str, boot: int) -> Backend | None:
        """Return the engine that a report is about, None if it is not known.

        A process may report for a moment on the engine that had the address
        before the one that has registered there.
        """
        boot = boot or self._boots.get(address, 0)
        self._boots[address] = boot
        return _find_start(self._backends.list_address(address), boot)

    def _handle_report(self, address: str, report: wire.EngineReport) -> None:
        now = self._clock.monotonic()
        # Not kept with the back end: the record of an engine that leaves may be
        # removed before its generations are moved.
        self._copies[address] = _ReportedCopy(report.copying_to, now)
        self._reported_entries[address] = report.entries
        self._any_reported = True
        self._entries.update(max(self._reported_entries.values()), now)
        backend = self._find_reported(address, report.boot)
        self._compare_starts(address, report.boot)
        if backend is None:
            return
        backend.announces_stops = address in self._announcing
        if backend.state is None:
            log_event('reports_heard', endpoint=backend.name)
        was_stopping = backend.stopping
        backend.update_state(state_from_report(report), now)
        if backend.stopping != was_stopping:
            log_event(
                'endpoint_reported',
                endpoint=backend.name,
                leaving=report.leaving,
                used=report.used_tokens,
            )


def _find_start(backends: list[Backend], boot: int) -> Backend | None:
    """Return the back end of a start; the only one if the start is unknown."""
    if boot:
        backends = [each for each in backends if each.record.boot == boot]
    return backends[0] if len(backends) == 1 else None


def _read_notice(message: wire.RunMoved) -> MoveNotice:
    """Convert a notice; a copy whose target is not named counts for none."""
    copy = None
    if message.handle:
        try:
            target = BackendIdentity(
                message.service, message.target_name, message.target_boot
            )
        except WireError as error:
            log_event('move_refused', 'WARNING', why=error)
        else:
            copy = MovedCopy(message.handle, target, message.target)
    return MoveNotice(
        message.attempt, message.source, message.source_boot, copy
    )


def _is_silent(link: PeerLink) -> bool:
    return link.silence > _SILENT_SECONDS


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
    return max(0, int(state.total_tokens * _OFFERED_MEMORY_SHARE) - used)
