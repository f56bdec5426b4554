"""The process beside an engine: tells its report, and moves what runs there.

It sees the engine's notice first, within one reading of its report, and it is
the one place that orders moves off that engine.
"""

import asyncio
from dataclasses import replace

from . import gen_wire as wire
from .backendset import EngineState
from .clock import Clock, RandomSource
from .codec import Message
from .enginemover import EngineMover
from .enginepace import TokenTimeEstimator
from .enginereports import EngineReports
from .errors import BackendCutError
from .link import Link
from .logs import log_decision, log_event
from .metrics import Metrics
from .movableengine import EngineLocation, EngineReading, MovableEngine
from .peerlink import PeerServer

__all__ = ('EngineKeeper',)

# A notice is 1.5 to 2.1 s; reading the report twenty times a second costs the
# local process a fiftieth of a core and shows it within 0.05 s.
_READ_SECONDS = 0.05
# Calls that entries announce within this time are told together.
_GATHER_SECONDS = 0.002
# Between two tries to learn the engine's name.  Each is paid for.
_NAME_SECONDS = 1.0
# Entries that are asked at a time: all answer alike, but one of them may itself
# be cut off, or have just started.
_MOST_ASKED = 3
# Told while the engine does not answer: it takes no new work.
_GONE = EngineState(leaving=True)


class EngineKeeper:
    """Follows one engine and moves its generations when it leaves."""

    def __init__(
        self,
        engine: MovableEngine,
        place: EngineLocation,
        clock: Clock,
        metrics: Metrics,
        random: RandomSource,
    ) -> None:
        """Start without a report."""
        self._engine = engine
        self._place = place
        self._clock = clock
        self._mover = EngineMover(
            engine,
            place,
            clock,
            metrics,
            random,
            tell=self._broadcast,
            ask=self._ask_some,
        )
        self._reports = EngineReports()
        self._pace = TokenTimeEstimator()
        self._gathering: asyncio.TimerHandle | None = None
        self._reading: EngineReading | None = None
        self._engine_answers = asyncio.Event()
        self._named = asyncio.Event()
        self.server: PeerServer | None = None
        self.found: wire.EngineFound | None = None

    @property
    def moving(self) -> bool:
        """Whether a generation is being moved."""
        return self._mover.moving

    @property
    def needed(self) -> bool:
        """Whether there is an engine with something to move or to tell."""
        if self.moving:
            return True
        return self._reading is not None and bool(self._reading.runs)

    @property
    def last_report(self) -> wire.EngineReport | None:
        """What entries were told last, None before the first report."""
        return self._reports.last

    def stop_moves(self) -> None:
        """Stop no further generation, as this process ends."""
        self._mover.stop()

    async def run(self) -> None:
        """Follow the engine until cancelled."""
        while True:
            began = self._clock.monotonic()
            try:
                reading = await self._engine.read()
            except BackendCutError as error:
                self._lose_engine(error)
            else:
                self._take(reading, began)
            await asyncio.sleep(_READ_SECONDS)

    def handle(self, message: Message, link: Link) -> None:
        """Act on an entry's message."""
        match message:
            case wire.CallPlaced():
                self._take_placed(message)
            case wire.EngineFound():
                # One entry heard of an engine; the others hear it from here.
                self._broadcast(message)
            case wire.RoomTold():
                self._mover.take_room(message)
            case wire.PairsAsk():
                self._ask_some(message, link)
            case wire.PairsTold():
                self._pass_on(message, link)
            case wire.LimitTold():
                self._broadcast(message, link)

    async def run_identification(self) -> None:
        """Learn the engine's name, for announcements, until cancelled.

        A full engine answers late or not at all, so this never holds up the
        reading of its reports.
        """
        while True:
            await self._engine_answers.wait()
            await self._learn_name()
            if self.found is None:
                await asyncio.sleep(_NAME_SECONDS)
            else:
                self._engine_answers.clear()
                self._named.set()

    async def wait_identified(self, seconds: float) -> None:
        """Wait until the engine's name is learned, or for some time."""
        try:
            async with asyncio.timeout(seconds):
                await self._named.wait()
        except TimeoutError:
            return
        self._named.clear()

    def _pass_on(self, message: wire.PairsTold, link: Link) -> None:
        if message.asker:
            self.server.send_to(message.asker, message)
        else:
            self._broadcast(message, link)

    def _broadcast(self, message: Message, but: Link | None = None) -> None:
        self.server.broadcast(message, but=but)

    def _ask_some(self, message: Message, but: Link | None = None) -> None:
        self.server.send_to_some(message, _MOST_ASKED, but=but)

    async def _learn_name(self) -> None:
        try:
            name = await self._engine.identify()
        except BackendCutError as error:
            log_event('engine_unnamed', why=error)
            return
        if self._reading is None:
            # It may be another engine by now.
            return
        self.found = wire.EngineFound(
            name=name,
            address=self._engine.address,
            service=self._place.service,
            failure_domain=self._place.failure_domain,
        )

    def _lose_engine(self, error: BackendCutError) -> None:
        if self._reading is not None:
            log_event('engine_lost', 'WARNING', why=error)
        self._mover.lose()
        self._reading = None
        self.found = None
        self._engine_answers.clear()
        self._named.clear()
        self._pace = TokenTimeEstimator()
        self._reports.take(_GONE, self._clock.monotonic())
        # Entries would take silence for the loss of this process.
        self._tell()

    def _take_placed(self, message: wire.CallPlaced) -> None:
        self._mover.expect(message.attempt, message.whole_tokens)
        if not message.unread_tokens:
            # A copy that goes on here; the engine counts it already.
            return
        self._reports.announce(message.unread_tokens, self._clock.monotonic())
        if self._gathering is None:
            loop = asyncio.get_running_loop()
            self._gathering = loop.call_later(
                _GATHER_SECONDS, self._tell_gathered
            )

    def _tell_gathered(self) -> None:
        self._gathering = None
        self._tell()

    def _take(self, reading: EngineReading, began: float) -> None:
        if self._reading is None:
            log_event('engine_found', address=self._engine.address)
            self._engine_answers.set()
        was_leaving = self._reading and self._reading.state.leaving
        self._reading = reading
        leaving = reading.state.leaving
        self._pace.observe(reading.runs, began)
        state = replace(reading.state, token_seconds=self._pace.seconds)
        self._reports.take(state, began)
        self._tell(at_once=leaving and not was_leaving)
        if leaving and not was_leaving:
            log_decision(
                'engine_leaves',
                leaves_in=reading.leaves_in,
                runs=len(reading.runs),
            )
        self._mover.follow(replace(reading, state=state))

    def _tell(self, at_once: bool = False) -> None:
        now = self._clock.monotonic()
        report = self._reports.make(self.server.peers)
        if at_once or self._reports.is_due(report, now):
            self._reports.record_sent(report, now)
            self._broadcast(report)
