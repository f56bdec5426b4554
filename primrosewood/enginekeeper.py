"""Follows one engine from the endpoint process on the engine's VM.

The endpoint process polls the engine's report and broadcasts it to all entries.
It is the first to see the engine's notice of leaving, and the only process that
orders moves of running generations off that engine.
"""

import asyncio
from dataclasses import replace

from msgspec import structs

from . import gen_wire as wire
from .backendstate import EngineState
from .clock import Clock, RandomSource
from .codec import Message
from .enginemover import EngineMover
from .enginereports import EngineReports
from .enginespeed import MemoryReleaseEstimator, TokenTimeEstimator
from .errors import BackendCutError, BackendPausedError
from .link import Link
from .logs import log_decision, log_event
from .metrics import Metrics
from .movableengine import (
    EngineAbsentError,
    EngineLocation,
    EngineReading,
    MovableEngine,
)
from .movequeries import EntryLinks
from .peerlink import PeerServer
from .runstops import RunStopper
from .startwitness import StartWitness
from .timers import wait_until_set
from .waitingcalls import WaitingCalls

__all__ = ('EngineKeeper',)

# An engine gives 1.5 to 2.1 s of notice before it leaves. Polling its report 20
# times a second detects the notice within 0.05 s and costs this process 2 % of
# a core. An idle engine has nothing to be moved.
_REPORT_POLL_SECONDS = 0.05
_IDLE_POLL_SECONDS = 0.15
# Calls that entries announce within this time share one report.
_ANNOUNCEMENT_BATCH_SECONDS = 0.002
# Delay between attempts to identify the engine, as each attempt is billed.
_IDENTIFY_RETRY_SECONDS = 1.0
# Any entry can answer a query; several are asked because one of them may be
# partitioned or may have just started.
_MAX_ASKED_ENTRIES = 3
# The same for queries that are answered with all changes since a revision, for
# a new entry with the whole configuration.
_MAX_ASKED_FOR_CHANGES = 2
# Entries repeat several times a second that an engine is to be stopped.
_RETIRED_SECONDS = 2.0
# Reported while the engine does not answer, so that it gets no new calls.
_UNREACHABLE_STATE = EngineState(leaving=True)


class EngineKeeper:
    """Follows one engine and moves its generations when it leaves.

    Attributes
    ----------
    server
        Links to entries; has to be set before `run`.
    """

    def __init__(
        self,
        engine: MovableEngine,
        location: EngineLocation,
        clock: Clock,
        metrics: Metrics,
        random: RandomSource,
    ) -> None:
        """Create a keeper that has no report yet."""
        self._engine = engine
        self._location = location
        self._clock = clock
        links = EntryLinks(
            broadcast=self._broadcast,
            query_entries=self._send_to_some,
            announce_stop=self._announce_stop,
            report_copy=self._report_copy,
        )
        self._stopper = RunStopper(engine, clock, metrics, links)
        self._mover = EngineMover(
            engine,
            location.failure_domain,
            clock,
            metrics,
            random,
            links,
            self._stopper,
        )
        self._reports = EngineReports()
        self._token_time = TokenTimeEstimator()
        self._memory_release = MemoryReleaseEstimator()
        self._waiting = WaitingCalls()
        self._batch_timer: asyncio.TimerHandle | None = None
        self._reading: EngineReading | None = None
        self._engine_reachable = asyncio.Event()
        self._identified = asyncio.Event()
        self._engine_name = ''
        self._witness = StartWitness()
        self._retired_until = float('-inf')
        self._stops_at = float('inf')
        self.server: PeerServer | None = None

    @property
    def found(self) -> wire.EngineFound | None:
        """Announcement of the engine, to be sent now.

        None while the engine is not identified, and if the service in the
        settings of this process may be that of an earlier engine here.
        """
        reading = self._reading
        if reading is None or not self._engine_name:
            return None
        if not self._witness.vouches_for(reading.boot):
            return None
        return wire.EngineFound(
            name=self._engine_name,
            address=self._engine.address,
            service=self._location.service,
            failure_domain=self._location.failure_domain,
            boot=reading.boot,
            process_seconds=self._clock.monotonic() - self._witness.began_at,
        )

    @property
    def moving(self) -> bool:
        """Whether a generation is being moved."""
        return self._mover.moving

    @property
    def needed(self) -> bool:
        """Whether generations still run on the engine or are being moved."""
        if self.moving:
            return True
        return self._reading is not None and bool(self._reading.runs)

    @property
    def last_report(self) -> wire.EngineReport | None:
        """Last report, for a new link; None before the first one."""
        return self._reports.make_greeting()

    def stop_moves(self) -> None:
        """Start no further move, because this process is about to exit."""
        self._mover.stop()

    async def run(self) -> None:
        """Poll the engine's report until cancelled."""
        while True:
            started_at = self._clock.monotonic()
            try:
                reading = await self._engine.read()
            except EngineAbsentError as error:
                self._witness.record_absence(self._clock.monotonic())
                self._handle_engine_lost(error)
            except BackendCutError as error:
                self._witness.record_silence(self._clock.monotonic())
                self._handle_engine_lost(error)
            except BackendPausedError:
                self._witness.record_silence(self._clock.monotonic())
                # The last report stays in force.
                self._send_report_if_due()
            else:
                self._handle_reading(reading, started_at)
            await asyncio.sleep(
                _IDLE_POLL_SECONDS if self._is_idle() else _REPORT_POLL_SECONDS
            )

    def handle(self, message: Message, link: Link) -> None:
        """Handle a message from an entry."""
        match message:
            case wire.CallPlaced():
                self._stopper.record_holder(message.attempt, link)
                self._handle_call_placed(message)
            case wire.EngineFound():
                # Forwarded, as entries have no links to each other.
                self._broadcast(message, link)
            case wire.CapacityReply() | wire.TargetReply() | wire.StopReply():
                self._mover.handle_reply(message, link)
            case wire.PairsQuery():
                self._forward_query(message, link)
            case wire.PairsUpdate():
                self._forward_pairs(message, link)
            case wire.LimitReport() | wire.RolloutReport() | wire.CrashReport():
                self._broadcast(message, link)
            case wire.EngineRetired():
                self._retire(message)

    async def run_identification(self) -> None:
        """Keep the engine identified, for announcements, until cancelled.

        Runs apart from `run`: a full engine answers late or not at all, and
        that must not delay the polling of its reports.
        """
        while True:
            await self._engine_reachable.wait()
            await self._identify_engine()
            if self._engine_name:
                self._engine_reachable.clear()
                self._identified.set()
            else:
                await asyncio.sleep(_IDENTIFY_RETRY_SECONDS)

    async def wait_identified(self, seconds: float) -> None:
        """Wait until the engine is identified, at most some seconds."""
        if await wait_until_set(self._identified, seconds):
            self._identified.clear()

    def _is_idle(self) -> bool:
        if self._reading is None:
            return False
        state = self._reading.state
        return not (state.running or state.queued or self._waiting.any)

    def _retire(self, message: wire.EngineRetired) -> None:
        """Move all generations away, as a roll-out will stop the engine.

        Entries repeat the message, so that its effect ends with the last entry
        that carries out the roll-out.  Another engine may have the address of
        the one that is meant.
        """
        if self._reading is None or self._reading.boot != message.boot:
            return
        seconds = message.seconds
        now = self._clock.monotonic()
        if not self._is_retired(now) and seconds > 0:
            log_decision('engine_retired', stops_in=seconds)
        self._retired_until = now + _RETIRED_SECONDS if seconds > 0 else now
        self._stops_at = now + seconds

    def _is_retired(self, now: float) -> bool:
        return now < self._retired_until

    def _with_retirement(
        self, reading: EngineReading, now: float
    ) -> EngineReading:
        """Return a reading in which a retired engine is leaving."""
        if not self._is_retired(now) or reading.state.leaving:
            return reading
        return replace(
            reading,
            state=replace(reading.state, leaving=True),
            leaves_in=max(0, self._stops_at - now),
        )

    def _forward_pairs(self, message: wire.PairsUpdate, link: Link) -> None:
        if message.asker:
            self.server.send_to(message.asker, message)
        else:
            self._broadcast(message, link)

    def _forward_query(self, message: wire.PairsQuery, link: Link) -> None:
        asked = self.server.send_to_some(
            message, _MAX_ASKED_FOR_CHANGES, exclude=link
        )
        if message.to_all:
            notice = structs.replace(message, answer_wanted=False)
            self.server.broadcast(notice, exclude=(link, *asked))

    def _broadcast(self, message: Message, *exclude: Link) -> None:
        self.server.broadcast(message, exclude=exclude)

    def _send_to_some(
        self, message: Message, exclude: Link | None = None
    ) -> None:
        self.server.send_to_some(message, _MAX_ASKED_ENTRIES, exclude=exclude)

    def _announce_stop(
        self, query: wire.StopQuery, holder: Link | None
    ) -> bool:
        return self.server.announce_stop(query, holder)

    async def _identify_engine(self) -> None:
        """Learn the name of the engine that the last reading is of.

        Another engine may take the address before the name is asked for, so
        that a second reading has to be of the same start.
        """
        before = self._reading
        try:
            name = await self._engine.identify()
            after = await self._engine.read()
        except (BackendCutError, BackendPausedError) as error:
            log_event('engine_unnamed', why=error)
            return
        # It may have been lost meanwhile.
        starts = {each and each.boot for each in (before, after, self._reading)}
        if len(starts) > 1 or None in starts:
            log_event('engine_unnamed', why='another start answers')
            return
        self._engine_name = name
        log_decision(
            'engine_identified',
            endpoint=name,
            boot=after.boot,
            service=self._location.service,
            vouched=self._witness.vouches_for(after.boot),
        )

    def _handle_engine_lost(self, error: BackendCutError) -> None:
        if self._reading is not None:
            log_event('engine_lost', 'WARNING', why=error)
        self._mover.handle_engine_lost()
        self._reading = None
        self._engine_name = ''
        self._engine_reachable.clear()
        self._identified.clear()
        self._token_time = TokenTimeEstimator()
        self._memory_release = MemoryReleaseEstimator()
        self._waiting = WaitingCalls()
        self._reports.record_state(_UNREACHABLE_STATE, self._clock.monotonic())
        # Without a report entries would assume that this process is lost.
        self._send_report_if_due()

    def _handle_call_placed(self, message: wire.CallPlaced) -> None:
        self._mover.record_expected_tokens(
            message.attempt, message.whole_tokens
        )
        if not message.unread_tokens:
            # A moved generation that continues here is already counted.
            return
        now = self._clock.monotonic()
        self._waiting.add(message.attempt, now)
        self._reports.announce(message.unread_tokens, now)
        if self._batch_timer is None:
            loop = asyncio.get_running_loop()
            self._batch_timer = loop.call_later(
                _ANNOUNCEMENT_BATCH_SECONDS, self._send_batched_report
            )

    def _send_batched_report(self) -> None:
        self._batch_timer = None
        self._send_report_if_due()

    def _handle_reading(
        self, reading: EngineReading, started_at: float
    ) -> None:
        self._witness.record_start(reading.boot, self._clock.monotonic())
        if self._reading is not None and self._reading.boot != reading.boot:
            self._handle_engine_lost(BackendCutError('another start answers'))
        if self._reading is None:
            log_event(
                'engine_found', address=self._engine.address, boot=reading.boot
            )
            self._engine_reachable.set()
        reading = self._with_retirement(reading, started_at)
        was_leaving = self._reading and self._reading.state.leaving
        self._reading = reading
        leaving = reading.state.leaving
        self._token_time.observe(reading.runs, started_at)
        self._memory_release.observe(reading.runs, started_at)
        waiting = reading.state.running + reading.state.queued
        waiting -= len(reading.runs)
        self._waiting.update(reading.runs, waiting, started_at)
        state = replace(
            reading.state,
            token_seconds=self._token_time.seconds,
            freed_per_second=self._memory_release.tokens_per_second,
            waited=self._waiting.longest_wait(started_at),
        )
        self._reports.record_boot(reading.boot)
        self._reports.record_state(state, started_at)
        self._send_report_if_due(force=leaving and not was_leaving)
        if leaving and not was_leaving:
            log_decision(
                'engine_leaves',
                leaves_in=reading.leaves_in,
                runs=len(reading.runs),
            )
        self._mover.update(replace(reading, state=state))

    def _report_copy(self, target: str) -> None:
        """Report the start or the end of a copy at once.

        Engines that leave at the same time then choose other targets.
        """
        self._reports.record_copy(target)
        self._send_report_if_due(force=True)

    def _send_report_if_due(self, force: bool = False) -> None:
        now = self._clock.monotonic()
        report = self._reports.make(self.server.peers, now)
        if force or self._reports.is_due(report, now):
            self._reports.record_sent(report, now)
            self._broadcast(report)
