"""Moves generations off a leaving engine, one at a time."""

import asyncio
from collections.abc import Sequence

from . import gen_wire as wire
from .backendstate import BackendIdentity
from .clock import Clock, RandomSource
from .errors import (
    BackendCutError,
    ErrorKind,
    NotRunError,
    WireError,
)
from .expectedends import ExpectedEnds
from .link import Link
from .logs import log_decision, log_event
from .metrics import Metrics
from .movableengine import EngineReading, MovableEngine
from .movequeries import EntryLinks, TargetReply
from .moves import (
    EngineRun,
    MovedCopy,
    MoveTarget,
    choose_move_target,
    plan_moves,
)
from .process import spawn
from .runstops import MovePostponedError, RunStopper, runs_no_more

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
    links
        Links to the entries.
    stopper
        Stops generations once they were copied.
    """

    def __init__(
        self,
        engine: MovableEngine,
        failure_domain: str,
        clock: Clock,
        metrics: Metrics,
        random: RandomSource,
        links: EntryLinks,
        stopper: RunStopper,
    ) -> None:
        """Create a mover that has no reading of the engine yet."""
        self._engine = engine
        self._failure_domain = failure_domain
        self._clock = clock
        self._metrics = metrics
        self._random = random
        self._links = links
        self._stopper = stopper
        self._expected_ends = ExpectedEnds()
        self._mean_copy_seconds = _INITIAL_COPY_SECONDS
        self._reading: EngineReading | None = None
        self._source_boot = 0
        # Which engine this is, as an entry told for this start of it.
        self._source: BackendIdentity | None = None
        self._capacity_reply: asyncio.Future[list[MoveTarget]] | None = None
        self._target_reply = TargetReply()
        # Names of generations that need no further move.
        self._settled: set[str] = set()
        # Names of those that may not be stopped yet, or whose stop failed.
        self._postponed: set[str] = set()
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
        self._stopper.withdraw_all(self._source_boot)

    def record_expected_tokens(self, name: str, tokens: int) -> None:
        """Record how many tokens a generation is expected to reach."""
        self._expected_ends.add(name, tokens)

    def update(self, reading: EngineReading) -> None:
        """Handle a new reading; start moves when the engine is leaving."""
        if self._reading is None:
            self._settled.clear()
        if self._source_boot != reading.boot:
            self._forget_generations()
        self._reading = reading
        self._source_boot = reading.boot
        running = {run.name for run in reading.runs}
        self._stopper.observe(running, reading.boot)
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
            # One that was ordered to stop may have stopped.
            if not self._stopper.may_have_stopped(run):
                self._stopper.report_stay(run, self._source_boot)
        self._reading = None

    def handle_reply(
        self,
        message: wire.CapacityReply | wire.TargetReply | wire.StopReply,
        link: Link | None = None,
    ) -> None:
        """Handle an entry's answer to a query of this mover."""
        match message:
            case wire.CapacityReply():
                self._handle_capacity(message)
            case wire.TargetReply():
                self._target_reply.handle(message)
            case wire.StopReply():
                self._stopper.handle(message, link)

    def _forget_generations(self) -> None:
        self._settled.clear()
        self._stopper.forget_generations()
        self._postponed.clear()

    def _handle_capacity(self, message: wire.CapacityReply) -> None:
        # An entry that has just started knows no engines yet, nor this one;
        # wait for another entry's reply.
        source = _read_source(message)
        if source is None or source.boot != self._source_boot:
            return
        targets = _read_targets(source.service, message)
        if not targets:
            return
        if self._source != source:
            log_decision(
                'engine_registered',
                endpoint=source.name,
                service=source.service,
                boot=source.boot,
            )
            self._source = source
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
            self._failure_domain,
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
        last = self._postponed | {
            run.name for run in remaining if self._stopper.expects_silence(run)
        }
        return plan_moves(remaining, ending, last)

    async def _request_free_capacity(self) -> list[MoveTarget]:
        self._capacity_reply = asyncio.get_running_loop().create_future()
        query = wire.CapacityQuery('', self._source_boot)
        self._links.query_entries(query)
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
        """Try one target; return False if another one may be tried now."""
        self._links.report_copy(target.address)
        try:
            await self._copy_and_stop(run, target)
        except MovePostponedError as error:
            self._log_failure(run, target, error)
            self._postponed.add(run.name)
        except (NotRunError, BackendCutError) as error:
            self._log_failure(run, target, error)
            if not runs_no_more(error):
                return False
            # It may be back soon if it was stopped and resumes here.
            if not self._stopper.may_have_stopped(run):
                self._settled.add(run.name)
        finally:
            self._links.report_copy('')
        if run.name in self._settled:
            return True
        await asyncio.sleep(_RETRY_DELAY_SECONDS)
        return True

    async def _copy_and_stop(self, run: EngineRun, target: MoveTarget) -> None:
        started = self._clock.monotonic()
        source = self._require_source()
        handle = await self._engine.copy(run, target.address, last=False)
        self._require_running(run)
        takes_calls = await self._still_takes_calls(target)
        if self._stopping or not takes_calls:
            raise NotRunError(ErrorKind.leaving)
        if not await self._stopper.ask(run, source.boot):
            self._settled.add(run.name)
            return
        if self._stopping or self._reading is None:
            self._stopper.report_stay(run, source.boot)
            raise MovePostponedError('the engine is lost')
        copy = MovedCopy(handle, target.identity, target.address)
        await self._stopper.stop(run, copy, source)
        self._settled.add(run.name)
        copy_seconds = self._clock.monotonic() - started
        self._mean_copy_seconds += (
            copy_seconds - self._mean_copy_seconds
        ) * _NEWEST_COPY_WEIGHT
        self._metrics.record('move', copy_seconds)

    def _require_source(self) -> BackendIdentity:
        """Return which engine this is.

        Raises
        ------
        MovePostponedError
            It has started anew since an entry told that.
        """
        source = self._source
        if source is None or source.boot != self._source_boot:
            raise MovePostponedError('the engine has started anew')
        return source

    def _require_running(self, run: EngineRun) -> None:
        """Check that the engine still reports a generation.

        No entry confirms the stop of one that ended during its copy, and the
        others would wait for that.

        Raises
        ------
        MovePostponedError
            The last reading does not list it.
        """
        reading = self._reading
        running = () if reading is None else reading.runs
        if all(each.name != run.name for each in running):
            raise MovePostponedError('it has ended')

    async def _still_takes_calls(self, target: MoveTarget) -> bool:
        """Return whether an entry says that an engine takes calls."""
        identity = target.identity
        self._target_reply = TargetReply(identity)
        self._links.query_entries(
            wire.TargetQuery(
                identity.service, target.address, identity.name, identity.boot
            )
        )
        takes_calls = await self._target_reply.wait(_REPLY_TIMEOUT_SECONDS)
        if takes_calls is None:
            log_event('no_entry_answered', 'WARNING', target=identity.name)
        return bool(takes_calls)

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


def _read_source(message: wire.CapacityReply) -> BackendIdentity | None:
    """Return which engine an entry takes this one for, None if for none."""
    try:
        return BackendIdentity(message.service, message.name, message.boot)
    except WireError:
        return None


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
