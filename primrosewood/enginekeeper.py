"""The process beside an engine: tells its report, and moves what runs there.

It sees the engine's notice first, within one reading of its report, and it is
the one place that orders moves off that engine.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Protocol

from . import gen_wire as wire
from .backendset import EngineState
from .clock import Clock, RandomSource
from .codec import Message
from .enginepace import TokenPace
from .enginereports import EngineReports
from .errors import BackendCutError, ErrorKind, NotRunError
from .expectedends import ExpectedEnds
from .link import Link
from .logs import log_decision, log_event
from .metrics import Metrics
from .moves import (
    EngineRun,
    MoveTarget,
    choose_target,
    plan_moves,
)
from .peerlink import PeerServer
from .process import spawn

__all__ = ('EngineKeeper', 'EngineReading', 'KeeperPlace', 'MovableEngine')

# A notice is 1.5 to 2.1 s; reading the report twenty times a second costs the
# local process a fiftieth of a core and shows it within 0.05 s.
_READ_SECONDS = 0.05
# Calls that entries announce within this time are told together.
_GATHER_SECONDS = 0.002
# How long entries may take to tell where there is room.
_ROOM_SECONDS = 0.25
# Between two tries to learn the engine's name.  Each is paid for.
_NAME_SECONDS = 1.0
_MOST_TRIES = 3
# What a copy takes before any was made, and the weight of the newest one in the
# mean.
_COPY_SECONDS = 0.35
_NEWEST_COPY = 0.3
# Entries that are asked at a time: all answer alike, but one of them may itself
# be cut off, or have just started.
_MOST_ASKED = 3


@dataclass(frozen=True, slots=True)
class EngineReading:
    """An engine's report and what runs there.

    Attributes
    ----------
    leaves_in
        Seconds until it goes, None when it does not say.
    """

    state: EngineState
    runs: tuple[EngineRun, ...] = ()
    leaves_in: float | None = None


# Told while the engine does not answer: it takes no new work.
_GONE = EngineState(leaving=True)


class MovableEngine(Protocol):
    """The engine beside this process."""

    @property
    def address(self) -> str:
        """Address as ``host:port``."""

    async def read(self) -> EngineReading:
        """Return the report.

        Raises
        ------
        BackendCutError
            The engine does not answer.
        """

    async def identify(self) -> str:
        """Return the engine's name for this start of it.

        Raises
        ------
        BackendCutError
            The engine does not answer.
        """

    async def copy(self, run: EngineRun, target: str, last: bool) -> str:
        """Copy a generation to another engine and return the handle.

        Parameters
        ----------
        last
            Whether to stop it here, so that it goes on there.

        Raises
        ------
        NotRunError
            It does not run here any more, or the target has no room.
        BackendCutError
            The engine does not answer.
        """


@dataclass(frozen=True, slots=True)
class KeeperPlace:
    """Where the keeper stands."""

    service: str
    failure_domain: str


class EngineKeeper:
    """Follows one engine and moves its generations when it leaves."""

    def __init__(
        self,
        engine: MovableEngine,
        place: KeeperPlace,
        clock: Clock,
        metrics: Metrics,
        random: RandomSource,
    ) -> None:
        """Start without a report."""
        self._engine = engine
        self._place = place
        self._clock = clock
        self._metrics = metrics
        self._reports = EngineReports()
        self._pace = TokenPace()
        self._ends = ExpectedEnds()
        self._copy_seconds = _COPY_SECONDS
        self._random = random
        self._gathering: asyncio.TimerHandle | None = None
        self._reading: EngineReading | None = None
        self._room: asyncio.Future[list[MoveTarget]] | None = None
        self._done: set[str] = set()
        self._moving: asyncio.Task | None = None
        self._ending = False
        self._engine_answers = asyncio.Event()
        self._named = asyncio.Event()
        self.server: PeerServer | None = None
        self.found: wire.EngineFound | None = None

    @property
    def moving(self) -> bool:
        """Whether a generation is being moved."""
        return self._moving is not None

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
        """Stop no further generation, as this process ends.

        One whose last part is being copied is waited for by who asks for
        `moving`.  Any other runs on: cut here with nobody to tell where its
        copy is, its stream would be lost, while the next process here may
        still move it.
        """
        self._ending = True

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
                self.server.broadcast(message)
            case wire.RoomTold():
                self._take_room(message)
            case wire.PairsAsk():
                self.server.send_to_some(message, _MOST_ASKED, but=link)
            case wire.PairsTold():
                self._pass_on(message, link)
            case wire.LimitTold():
                self.server.broadcast(message, but=link)

    async def run_naming(self) -> None:
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

    async def wait_named(self, seconds: float) -> None:
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
            self.server.broadcast(message, but=link)

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

    def _take_room(self, message: wire.RoomTold) -> None:
        # An entry that has just started knows no engines yet; another one does.
        if not message.engines:
            return
        if self._room is not None and not self._room.done():
            self._room.set_result(
                [
                    MoveTarget(
                        each.address, each.failure_domain, each.free_tokens
                    )
                    for each in message.engines
                ]
            )

    def _lose_engine(self, error: BackendCutError) -> None:
        if self._reading is not None:
            log_event('engine_lost', 'WARNING', why=error)
            self._tell_lost(self._reading.runs)
        self._reading = None
        self.found = None
        self._engine_answers.clear()
        self._named.clear()
        self._pace = TokenPace()
        self._reports.take(_GONE, self._clock.monotonic())
        # Entries would take silence for the loss of this process.
        self._tell()

    def _take_placed(self, message: wire.CallPlaced) -> None:
        self._ends.take(message.attempt, message.whole_tokens)
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
            self._done.clear()
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
        may_move = not self._ending and not self.moving
        if leaving and reading.runs and may_move:
            self._moving = spawn(self._move_all(), 'moves')

    def _tell(self, at_once: bool = False) -> None:
        now = self._clock.monotonic()
        report = self._reports.make(self.server.peers)
        if at_once or self._reports.is_due(report, now):
            self._reports.note_told(report, now)
            self.server.broadcast(report)

    async def _move_all(self) -> None:
        """Move what runs here, one after another, until nothing is left."""
        try:
            while self._reading is not None and not self._ending:
                runs = self._left_to_move(self._reading.runs)
                if not runs:
                    return
                # Other engines leave at the same time and fill the room.
                await self._move(runs[0], await self._ask_room())
        finally:
            self._moving = None

    def _tell_lost(self, runs: Sequence[EngineRun]) -> None:
        """Tell entries at once for which streams no notice will come."""
        for run in self._left_to_move(runs):
            self._done.add(run.name)
            self._tell_move(run, '', '')

    def _target(
        self, run: EngineRun, targets: Sequence[MoveTarget]
    ) -> MoveTarget | None:
        return choose_target(
            run,
            targets,
            self._place.failure_domain,
            draw=self._random.random(),
            hurried=self._is_hurried(),
        )

    def _is_hurried(self) -> bool:
        """Tell whether the notice is too short for what is left."""
        reading = self._reading
        if reading is None or reading.leaves_in is None:
            return False
        left = len(self._unsettled(reading.runs))
        return left * self._copy_seconds > reading.leaves_in

    def _unsettled(self, runs: Sequence[EngineRun]) -> list[EngineRun]:
        return [run for run in runs if run.name not in self._done]

    def _left_to_move(self, runs: Sequence[EngineRun]) -> list[EngineRun]:
        left = self._unsettled(runs)
        leaves_in = self._reading.leaves_in if self._reading else None
        ending = self._ends.within(left, leaves_in, self._pace.seconds)
        return plan_moves(left, ending)

    async def _ask_room(self) -> list[MoveTarget]:
        self._room = asyncio.get_running_loop().create_future()
        ask = wire.RoomAsk(self._place.service)
        self.server.send_to_some(ask, _MOST_ASKED)
        try:
            async with asyncio.timeout(_ROOM_SECONDS):
                return await self._room
        except TimeoutError:
            log_event('no_entry_told_room', 'WARNING')
            return []
        finally:
            self._room = None

    async def _move(self, run: EngineRun, targets: list[MoveTarget]) -> None:
        """Move one generation.

        One that could not be moved stays to be tried again: it runs on until
        its engine goes.
        """
        for _ in range(_MOST_TRIES):
            target = self._target(run, targets)
            if target is None or self._reading is None or self._ending:
                break
            if await self._move_to(run, target):
                return
            # Its room was told wrong, or it cannot be reached.
            targets = [each for each in targets if each is not target]
        await asyncio.sleep(_READ_SECONDS)

    async def _move_to(self, run: EngineRun, target: MoveTarget) -> bool:
        """Tell whether a generation is settled: moved, or complete."""
        try:
            handle = await self._copy(run, target.address)
        except (NotRunError, BackendCutError) as error:
            self._note_failure(run, target, error)
            settled = _has_ended(error)
        else:
            self._tell_move(run, target.address, handle)
            settled = True
        if settled:
            self._done.add(run.name)
        return settled

    async def _copy(self, run: EngineRun, target: str) -> str:
        started = self._clock.monotonic()
        await self._engine.copy(run, target, last=False)
        if self._ending:
            raise NotRunError(ErrorKind.leaving)
        handle = await self._engine.copy(run, target, last=True)
        took = self._clock.monotonic() - started
        self._copy_seconds += (took - self._copy_seconds) * _NEWEST_COPY
        self._metrics.record('move', took)
        return handle

    def _tell_move(self, run: EngineRun, target: str, handle: str) -> None:
        self._metrics.count('moves', 'moved' if handle else 'stays')
        log_decision(
            'moved' if handle else 'not_moved',
            request=run.name,
            target=target or None,
            tokens=run.tokens,
            events=run.events,
        )
        self.server.broadcast(
            wire.RunMoved(
                attempt=run.name,
                source=self._engine.address,
                handle=handle,
                target=target,
            )
        )

    def _note_failure(
        self, run: EngineRun, target: MoveTarget, error: Exception
    ) -> None:
        log_event(
            'move_failed',
            'WARNING',
            request=run.name,
            target=target.address,
            tokens=run.tokens,
            free=target.free_tokens,
            why=error,
        )


def _has_ended(error: Exception) -> bool:
    """Tell whether a generation needs no move, as it is complete."""
    kind = getattr(error, 'kind', None)
    return kind is ErrorKind.answer_expired
