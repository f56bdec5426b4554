"""Moves generations off a leaving engine, one at a time."""

import asyncio
from collections.abc import Callable, Sequence

from . import gen_wire as wire
from .backendstate import BackendIdentity
from .clock import Clock, RandomSource
from .codec import Message
from .errors import BackendCutError, ErrorKind, NotRunError, WireError
from .expectedends import ExpectedEnds
from .logs import log_decision, log_event
from .metrics import Metrics
from .movableengine import EngineLocation, EngineReading, MovableEngine
from .moves import EngineRun, MoveTarget, choose_move_target, plan_moves
from .process import spawn
from .timers import wait_until_set

__all__ = ('EngineMover',)

# How long to wait for an entry's reply to a query; the generation runs on.
_REPLY_TIMEOUT_SECONDS = 0.25
_MAX_TARGETS_TRIED = 3
# By then the engine and its possible targets have reported their load again.
_RETRY_DELAY_SECONDS = 0.05
# Assumed duration of a copy before the first one, and the weight of the newest
# copy in the moving average.
_INITIAL_COPY_SECONDS = 0.35
_NEWEST_COPY_WEIGHT = 0.3


class EngineMover:
    """Orders all moves off one engine.

    Parameters
    ----------
    broadcast
        Sends a message to all entries.
    query_entries
        Sends a message to a few entries.
    report_copy
        Called with the address of another engine when a copy to it begins, and
        with an empty one when the copy has ended.
    """

    def __init__(
        self,
        engine: MovableEngine,
        location: EngineLocation,
        clock: Clock,
        metrics: Metrics,
        random: RandomSource,
        broadcast: Callable[[Message], None],
        query_entries: Callable[[Message], None],
        report_copy: Callable[[str], None],
    ) -> None:
        """Create a mover that has no reading of the engine yet."""
        self._engine = engine
        self._location = location
        self._clock = clock
        self._metrics = metrics
        self._random = random
        self._broadcast = broadcast
        self._query_entries = query_entries
        self._report_copy = report_copy
        self._expected_ends = ExpectedEnds()
        self._mean_copy_seconds = _INITIAL_COPY_SECONDS
        self._reading: EngineReading | None = None
        self._source_boot = 0
        self._capacity_reply: asyncio.Future[list[MoveTarget]] | None = None
        self._target_reply = _TargetReply()
        # Names of generations that need no further move.
        self._settled: set[str] = set()
        self._move_task: asyncio.Task | None = None
        self._stopping = False

    @property
    def moving(self) -> bool:
        """Whether a generation is being moved."""
        return self._move_task is not None

    def stop(self) -> None:
        """Start no further move, because this process is about to exit.

        A generation whose last part is being copied is completed; callers
        wait for that through `moving`. All others keep running on the engine:
        stopping one without a process to report where its copy is would lose
        its stream, while the next endpoint process can still move it.
        """
        self._stopping = True

    def record_expected_tokens(self, name: str, tokens: int) -> None:
        """Record how many tokens a generation is expected to reach."""
        self._expected_ends.add(name, tokens)

    def update(self, reading: EngineReading) -> None:
        """Handle a new reading; start moves when the engine is leaving."""
        if self._reading is None:
            self._settled.clear()
        self._reading = reading
        self._source_boot = reading.boot
        may_move = not self._stopping and not self.moving
        if reading.state.leaving and reading.runs and may_move:
            self._move_task = spawn(self._move_all(), 'moves')

    def handle_engine_lost(self) -> None:
        """Report generations that can no longer be moved from a lost engine.

        Entries then do not wait for a notice of a move.
        """
        if self._reading is None:
            return
        for run in self._plan_remaining(self._reading.runs):
            self._settled.add(run.name)
            self._report_move(run)
        self._reading = None

    def handle_reply(
        self, message: wire.CapacityReply | wire.TargetReply
    ) -> None:
        """Handle an entry's answer to a query of this mover."""
        if isinstance(message, wire.CapacityReply):
            self._handle_capacity(message)
        else:
            self._target_reply.handle(message)

    def _handle_capacity(self, message: wire.CapacityReply) -> None:
        targets = _read_targets(self._location.service, message)
        # An entry that has just started knows no engines yet; wait for another
        # entry's reply.
        if not targets:
            return
        if self._capacity_reply is not None and not self._capacity_reply.done():
            self._capacity_reply.set_result(targets)

    async def _move_all(self) -> None:
        """Move generations one at a time until none is left."""
        try:
            while self._reading is not None and not self._stopping:
                runs = self._plan_remaining(self._reading.runs)
                if not runs:
                    return
                # Ask before each move: other engines that leave at the same
                # time take up free capacity too.
                await self._move(runs[0], await self._request_free_capacity())
        finally:
            self._move_task = None

    def _choose_target(
        self, run: EngineRun, targets: Sequence[MoveTarget]
    ) -> MoveTarget | None:
        return choose_move_target(
            run,
            targets,
            self._location.failure_domain,
            draw=self._random.random(),
            short_notice=self._is_short_of_time(),
        )

    def _is_short_of_time(self) -> bool:
        """Return whether the notice is too short for the remaining moves."""
        reading = self._reading
        if reading is None or reading.leaves_in is None:
            return False
        remaining = len(self._unsettled(reading.runs))
        return remaining * self._mean_copy_seconds > reading.leaves_in

    def _unsettled(self, runs: Sequence[EngineRun]) -> list[EngineRun]:
        return [run for run in runs if run.name not in self._settled]

    def _plan_remaining(self, runs: Sequence[EngineRun]) -> list[EngineRun]:
        remaining = self._unsettled(runs)
        reading = self._reading
        ending = self._expected_ends.within(
            remaining, reading.leaves_in, reading.state.token_seconds
        )
        return plan_moves(remaining, ending)

    async def _request_free_capacity(self) -> list[MoveTarget]:
        self._capacity_reply = asyncio.get_running_loop().create_future()
        query = wire.CapacityQuery(self._location.service)
        self._query_entries(query)
        try:
            async with asyncio.timeout(_REPLY_TIMEOUT_SECONDS):
                return await self._capacity_reply
        except TimeoutError:
            log_event('no_entry_told_room', 'WARNING')
            return []
        finally:
            self._capacity_reply = None

    async def _move(self, run: EngineRun, targets: list[MoveTarget]) -> None:
        """Try to move one generation to one of the targets.

        If all attempts fail the generation remains in the plan and is tried
        again, as it runs on until its engine is gone.
        """
        for _ in range(_MAX_TARGETS_TRIED):
            target = self._choose_target(run, targets)
            if target is None or self._reading is None or self._stopping:
                break
            if await self._move_to(run, target):
                return
            # Its reported capacity was outdated, or it is unreachable.
            targets = [each for each in targets if each is not target]
        await asyncio.sleep(_RETRY_DELAY_SECONDS)

    async def _move_to(self, run: EngineRun, target: MoveTarget) -> bool:
        """Return whether the generation was moved or is already complete."""
        self._report_copy(target.address)
        try:
            handle = await self._copy(run, target)
        except (NotRunError, BackendCutError) as error:
            self._log_failure(run, target, error)
            settled = _is_already_complete(error)
        else:
            self._report_move(run, target, handle)
            settled = True
        finally:
            self._report_copy('')
        if settled:
            self._settled.add(run.name)
        return settled

    async def _copy(self, run: EngineRun, target: MoveTarget) -> str:
        started = self._clock.monotonic()
        await self._engine.copy(run, target.address, last=False)
        takes_calls = await self._still_takes_calls(target)
        if self._stopping or not takes_calls:
            raise NotRunError(ErrorKind.leaving)
        handle = await self._order_stop(run, target)
        copy_seconds = self._clock.monotonic() - started
        self._mean_copy_seconds += (
            copy_seconds - self._mean_copy_seconds
        ) * _NEWEST_COPY_WEIGHT
        self._metrics.record('move', copy_seconds)
        return handle

    async def _order_stop(self, run: EngineRun, target: MoveTarget) -> str:
        """Stop a generation and return the handle of its last copy."""
        log_decision('stop_ordered', request=run.name, target=target.address)
        ordered_at = self._clock.monotonic()
        answer = 'none'
        try:
            handle = await self._engine.copy(run, target.address, last=True)
            answer = 'copied'
        except (NotRunError, BackendCutError) as error:
            answer = str(error) or type(error).__name__
            raise
        finally:
            log_decision(
                'stop_answered',
                request=run.name,
                target=target.address,
                answer=answer,
                seconds=self._clock.monotonic() - ordered_at,
            )
        return handle

    async def _still_takes_calls(self, target: MoveTarget) -> bool:
        """Return whether an entry says that an engine takes calls."""
        identity = target.identity
        self._target_reply = _TargetReply(identity)
        self._query_entries(
            wire.TargetQuery(
                identity.service, target.address, identity.name, identity.boot
            )
        )
        takes_calls = await self._target_reply.wait(_REPLY_TIMEOUT_SECONDS)
        if takes_calls is None:
            log_event('no_entry_answered', 'WARNING', target=identity.name)
        return bool(takes_calls)

    def _report_move(
        self,
        run: EngineRun,
        target: MoveTarget | None = None,
        handle: str = '',
    ) -> None:
        """Tell all entries where a generation was moved, or that it was not."""
        address = target.address if target else ''
        self._metrics.count('moves', 'moved' if handle else 'stays')
        log_decision(
            'moved' if handle else 'not_moved',
            request=run.name,
            target=address or None,
            tokens=run.tokens,
            events=run.events,
        )
        self._broadcast(
            wire.RunMoved(
                attempt=run.name,
                source=self._engine.address,
                handle=handle,
                target=address,
                target_name=target.identity.name if target else '',
                service=self._location.service,
                source_boot=self._source_boot,
                target_boot=target.identity.boot if target else 0,
            )
        )

    def _log_failure(
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


class _TargetReply:
    """Reply of the first entry that says whether one engine takes calls.

    Replies about other engines, which come late, do not count.
    """

    def __init__(self, asked: BackendIdentity | None = None) -> None:
        self._asked = asked
        self._received = asyncio.Event()
        self._takes_calls: bool | None = None

    def handle(self, message: wire.TargetReply) -> None:
        asked = self._asked
        if asked is None or self._received.is_set():
            return
        if (message.name, message.boot) == (asked.name, asked.boot):
            self._takes_calls = message.takes_calls
            self._received.set()

    async def wait(self, seconds: float) -> bool | None:
        await wait_until_set(self._received, seconds)
        return self._takes_calls


def _read_targets(
    service: str, message: wire.CapacityReply
) -> list[MoveTarget]:
    """Return the engines that an entry named completely."""
    targets: list[MoveTarget] = []
    for each in message.engines:
        try:
            identity = BackendIdentity(service, each.name, each.boot)
        except WireError as error:
            log_event('move_target_refused', address=each.address, why=error)
            continue
        targets.append(
            MoveTarget(
                identity,
                each.address,
                each.failure_domain,
                each.free_tokens,
                each.receiving,
            )
        )
    return targets


def _is_already_complete(error: Exception) -> bool:
    """Return whether an error says that the generation is complete."""
    kind = getattr(error, 'kind', None)
    return kind is ErrorKind.answer_expired
