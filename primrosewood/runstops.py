"""Stops generations of an engine once their entries expect it.

An engine closes the stream of a generation that it stops. Without a length or
chunks that looks like the end of the answer, so a generation is stopped only
after the entry that holds its stream has confirmed that it expects this.
"""

from collections import OrderedDict
from collections.abc import Collection
from contextlib import suppress
from dataclasses import replace

from . import gen_wire as wire
from .backendstate import BackendIdentity
from .clock import Clock
from .errors import (
    BackendCutError,
    BackendPausedError,
    ErrorKind,
    NotRunError,
    PrimrosewoodError,
    RunStoppedError,
)
from .link import Link
from .logs import log_decision
from .metrics import Metrics
from .movableengine import MovableEngine
from .movequeries import EntryLinks, StopConfirmation
from .moves import EngineRun, MovedCopy

__all__ = ('MovePostponedError', 'RunStopper', 'runs_no_more')

# How long to wait for the entry; the generation runs on.
_CONFIRMATION_SECONDS = 0.25
_MAX_TRACKED = 1024


class MovePostponedError(PrimrosewoodError):
    """A generation cannot be moved now, to whatever engine."""


class RunStopper:
    """Orders the stops of generations of one engine.

    Parameters
    ----------
    links
        Links to the entries.
    """

    def __init__(
        self,
        engine: MovableEngine,
        clock: Clock,
        metrics: Metrics,
        links: EntryLinks,
    ) -> None:
        """Create a stopper that has ordered nothing."""
        self._engine = engine
        self._clock = clock
        self._metrics = metrics
        self._links = links
        self._confirmation = StopConfirmation()
        # Links of the entries that hold the streams, by generation.
        self._holders: OrderedDict[str, Link] = OrderedDict()
        self._silent_holders: set[Link] = set()
        # Generations whose entries may expect a stop, by name.
        self._announced: dict[str, EngineRun] = {}
        self._asked = ''
        self._questions = 0
        self._ordered: set[str] = set()
        # Those that have certainly stopped and may resume here.
        self._stopped: set[str] = set()

    def record_holder(self, name: str, link: Link) -> None:
        """Record the link of the entry that has placed a generation."""
        self._silent_holders.discard(link)
        self._holders[name] = link
        if len(self._holders) > _MAX_TRACKED:
            self._holders.popitem(last=False)

    def may_have_stopped(self, run: EngineRun) -> bool:
        """Return whether a generation has stopped or may do so any moment."""
        return run.name in self._ordered or run.name == self._asked

    def expects_silence(self, run: EngineRun) -> bool:
        """Return whether the entry of a stream did not answer lately."""
        return self._holders.get(run.name) in self._silent_holders

    def forget_generations(self) -> None:
        """Forget all generations, as the engine has started anew."""
        self._announced.clear()
        self._ordered.clear()
        self._stopped.clear()

    def handle(self, reply: wire.StopReply, link: Link | None) -> None:
        """Handle the reply of an entry."""
        self._silent_holders.discard(link)
        self._confirmation.handle(reply)

    def observe(self, running: Collection[str], boot: int) -> None:
        """Handle the names of the generations in a new reading.

        The entries of those that have ended by themselves still expect a stop.
        """
        ended = self._announced.keys() - running
        for name in ended:
            self._withdraw(name, boot)

    def withdraw_all(self, boot: int) -> None:
        """Tell all entries that what was announced will not happen."""
        for name in list(self._announced):
            self._withdraw(name, boot)

    async def ask(self, run: EngineRun, boot: int) -> bool:
        """Return whether a generation may be stopped that was just copied.

        Until it is told otherwise, its entry then takes the end of the stream
        for the stop.

        Parameters
        ----------
        run
            The generation.
        boot
            Start of the engine that runs it.

        Raises
        ------
        MovePostponedError
            No entry says that it holds the stream.
        """
        if run.name in self._stopped:
            # As it could be copied, it has resumed here.
            self._stopped.discard(run.name)
            self._ordered.discard(run.name)
        self._asked = run.name
        try:
            agrees = await self._ask_holder(run, boot)
        finally:
            self._asked = ''
        if agrees is None:
            raise MovePostponedError('no entry confirms the stop')
        if not agrees:
            log_decision('stop_declined', request=run.name)
        return agrees

    async def stop(
        self, run: EngineRun, copy: MovedCopy, source: BackendIdentity
    ) -> None:
        """Stop a generation and tell the entries where it goes on.

        They are told in any case, as it may have stopped whatever the answer
        to the order is.

        Parameters
        ----------
        run
            The generation.
        copy
            An earlier copy of it at the target.
        source
            The engine that runs it.

        Raises
        ------
        MovePostponedError
            It was stopped, or may have been, and may come back.
        NotRunError
            It was not stopped.
        """
        boot = source.boot
        was_ordered = run.name in self._ordered
        self._ordered.add(run.name)
        try:
            handle = await self._send_order(run, copy.address)
        except RunStoppedError as error:
            self._stopped.add(run.name)
            kept = MovedCopy(error.handle, source, self._engine.address)
            self._report_move(run, kept, boot)
            raise MovePostponedError(str(error)) from error
        except (NotRunError, BackendCutError) as error:
            if not was_ordered and await self._runs_on(error, boot):
                self._ordered.discard(run.name)
                self.report_stay(run, boot)
                raise
            self._report_move(run, copy, boot)
            raise MovePostponedError(str(error)) from error
        self._report_move(run, replace(copy, handle=handle), boot)

    def report_stay(self, run: EngineRun, boot: int) -> None:
        """Tell all entries that a generation was not stopped."""
        self._announced.pop(run.name, None)
        self._metrics.count('moves', 'stays')
        log_decision(
            'not_moved', request=run.name, tokens=run.tokens, events=run.events
        )
        self._links.broadcast(
            wire.RunMoved(
                attempt=run.name,
                source=self._engine.address,
                handle='',
                target='',
                source_boot=boot,
            )
        )

    async def _ask_holder(self, run: EngineRun, boot: int) -> bool | None:
        """Return the answer of the entry that holds a stream, None without."""
        holder = self._holders.get(run.name)
        if holder in self._silent_holders:
            # Its link may be dead, and it may have another one.
            holder = None
        self._questions += 1
        query = wire.StopQuery(
            run.name, self._engine.address, boot, self._questions
        )
        self._confirmation = StopConfirmation(query)
        if not self._links.announce_stop(query, holder):
            return None
        was_announced = run.name in self._announced
        self._announced[run.name] = run
        agrees = await self._confirmation.wait(_CONFIRMATION_SECONDS)
        if agrees is None and holder is not None:
            self._silent_holders.add(holder)
        if agrees is False:
            if was_announced:
                self.report_stay(run, boot)
            self._announced.pop(run.name, None)
        return agrees

    def _withdraw(self, name: str, boot: int) -> None:
        run = self._announced[name]
        if not self.may_have_stopped(run):
            self.report_stay(run, boot)

    async def _runs_on(self, error: Exception, boot: int) -> bool:
        """Return whether an answer shows that nothing was stopped.

        A generation that is not there has ended by itself, unless the engine
        has started anew.
        """
        if isinstance(error, BackendPausedError):
            return True
        if not runs_no_more(error):
            return False
        with suppress(BackendPausedError, BackendCutError):
            reading = await self._engine.read()
            return reading.boot == boot
        return False

    async def _send_order(self, run: EngineRun, target: str) -> str:
        log_decision('stop_ordered', request=run.name, target=target)
        ordered_at = self._clock.monotonic()
        answer = 'none'
        try:
            handle = await self._engine.copy(run, target, last=True)
            answer = 'copied'
        except (NotRunError, BackendCutError) as error:
            answer = str(error) or type(error).__name__
            raise
        finally:
            log_decision(
                'stop_answered',
                request=run.name,
                target=target,
                answer=answer,
                seconds=self._clock.monotonic() - ordered_at,
            )
        return handle

    def _report_move(self, run: EngineRun, copy: MovedCopy, boot: int) -> None:
        self._announced.pop(run.name, None)
        self._metrics.count('moves', 'moved')
        log_decision(
            'moved',
            request=run.name,
            target=copy.address,
            tokens=run.tokens,
            events=run.events,
        )
        self._links.broadcast(
            wire.RunMoved(
                attempt=run.name,
                source=self._engine.address,
                handle=copy.handle,
                target=copy.address,
                target_name=copy.target.name,
                service=copy.target.service,
                source_boot=boot,
                target_boot=copy.target.boot,
            )
        )


def runs_no_more(error: Exception) -> bool:
    """Return whether an error says that the engine has no such generation."""
    return getattr(error, 'kind', None) is ErrorKind.answer_expired
