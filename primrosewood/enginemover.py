"""Moves generations off an engine that leaves, one after another."""

import asyncio
from collections.abc import Callable, Sequence

from . import gen_wire as wire
from .clock import Clock, RandomSource
from .codec import Message
from .errors import BackendCutError, ErrorKind, NotRunError
from .expectedends import ExpectedEnds
from .logs import log_decision, log_event
from .metrics import Metrics
from .movableengine import EngineLocation, EngineReading, MovableEngine
from .moves import EngineRun, MoveTarget, choose_target, plan_moves
from .process import spawn

__all__ = ('EngineMover',)

# How long entries may take to tell where there is room.
_ROOM_SECONDS = 0.25
_MOST_TRIES = 3
# After that the engine and its neighbours have told anew how full they are.
_RETRY_SECONDS = 0.05
# What a copy takes before any was made, and the weight of the newest one in the
# mean.
_COPY_SECONDS = 0.35
_NEWEST_COPY = 0.3


class EngineMover:
    """Orders all moves off one engine.

    Parameters
    ----------
    tell
        Sends a message to all entries.
    ask
        Sends a message to a few entries.
    """

    def __init__(
        self,
        engine: MovableEngine,
        place: EngineLocation,
        clock: Clock,
        metrics: Metrics,
        random: RandomSource,
        tell: Callable[[Message], None],
        ask: Callable[[Message], None],
    ) -> None:
        """Start without a reading of the engine."""
        self._engine = engine
        self._place = place
        self._clock = clock
        self._metrics = metrics
        self._random = random
        self._tell = tell
        self._ask = ask
        self._ends = ExpectedEnds()
        self._copy_seconds = _COPY_SECONDS
        self._reading: EngineReading | None = None
        self._room: asyncio.Future[list[MoveTarget]] | None = None
        self._done: set[str] = set()
        self._moving: asyncio.Task | None = None
        self._ending = False

    @property
    def moving(self) -> bool:
        """Whether a generation is being moved."""
        return self._moving is not None

    def stop(self) -> None:
        """Stop no further generation, as this process ends.

        One whose last part is being copied is waited for by who asks for
        `moving`.  Any other runs on: cut here with nobody to tell where its
        copy is, its stream would be lost, while the next process here may
        still move it.
        """
        self._ending = True

    def expect(self, name: str, tokens: int) -> None:
        """Note how many tokens a generation may come to hold."""
        self._ends.take(name, tokens)

    def follow(self, reading: EngineReading) -> None:
        """Take a new reading; begin to move when the engine leaves."""
        if self._reading is None:
            self._done.clear()
        self._reading = reading
        may_move = not self._ending and not self.moving
        if reading.state.leaving and reading.runs and may_move:
            self._moving = spawn(self._move_all(), 'moves')

    def lose(self) -> None:
        """Tell entries at once for which streams no notice will come."""
        if self._reading is None:
            return
        for run in self._left_to_move(self._reading.runs):
            self._done.add(run.name)
            self._tell_move(run, '', '')
        self._reading = None

    def take_room(self, message: wire.RoomTold) -> None:
        """Note where an entry knows of room."""
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
        reading = self._reading
        ending = self._ends.within(
            left, reading.leaves_in, reading.state.token_seconds
        )
        return plan_moves(left, ending)

    async def _ask_room(self) -> list[MoveTarget]:
        self._room = asyncio.get_running_loop().create_future()
        ask = wire.RoomAsk(self._place.service)
        self._ask(ask)
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
        await asyncio.sleep(_RETRY_SECONDS)

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
        self._tell(
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
