"""Planning of moves of running generations off a leaving engine.

The endpoint process of an engine plans and orders all of its moves. If each
entry moved its own streams, the copies would queue on the engine's network
link, and the last part of one stream would wait behind full copies of others,
which pauses streams for 0.4 to 0.65 s. Moved one at a time, a stream pauses
only while its last tokens are copied, 4 to 20 ms.
"""

import asyncio
from collections.abc import Collection, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass

from .backendstate import BackendIdentity, BackendRecord
from .timers import wait_until_set

__all__ = (
    'AwaitedNotice',
    'EngineRun',
    'MoveNotice',
    'MoveNotices',
    'MoveTarget',
    'MovedCopy',
    'choose_move_target',
    'plan_moves',
)

# A target needs space for the tokens that are generated during the copy, and an
# engine without free memory preempts.
_COPY_HEADROOM_FACTOR = 1.1
# Copying to another failure domain takes twice as long (0.47 s instead of
# 0.24 s for 4,300 tokens), so half as many streams can be moved within the
# notice. An engine in the same domain is preferred until one elsewhere has this
# many more free tokens.
_SAME_DOMAIN_BONUS_TOKENS = 12000
# From the announcement of a stop until its order is carried out or given up.
_LONGEST_STOP_SECONDS = 2.5


@dataclass(frozen=True, slots=True)
class EngineRun:
    """A generation on an engine, as the engine reports it.

    Attributes
    ----------
    tokens
        Tokens that it holds in the engine's memory.
    events
        Events that it has produced.
    """

    name: str
    tokens: int
    events: int


@dataclass(frozen=True, slots=True)
class MoveTarget:
    """An engine that may accept moved generations.

    Attributes
    ----------
    receiving
        Whether another engine is copying a generation to it.
    """

    identity: BackendIdentity
    address: str
    failure_domain: str
    free_tokens: int
    receiving: bool = False


@dataclass(frozen=True, slots=True)
class MovedCopy:
    """Copy of a generation, at which its stream goes on.

    Attributes
    ----------
    handle
        Identifies the copy; issued by the engine that made it.
    target
        Engine that holds it.
    address
        Address of that engine when it got the copy.
    """

    handle: str
    target: BackendIdentity
    address: str


@dataclass(frozen=True, slots=True)
class MoveNotice:
    """Where a generation was moved, or that it was not.

    Attributes
    ----------
    name
        Name of the generation.
    source, source_boot
        Address and start of the engine that it ran on; a start of 0 is unknown.
    copy
        None if it was not moved.
    """

    name: str
    source: str
    source_boot: int
    copy: MovedCopy | None = None


def plan_moves(
    runs: Sequence[EngineRun],
    ending: Collection[str] = (),
    postponed: Collection[str] = (),
) -> list[EngineRun]:
    """Return the generations in the order in which to move them.

    The notice is short and copies are made one at a time, so small generations
    go first: that saves the most streams.

    Parameters
    ----------
    runs
        Generations that are still to be moved.
    ending
        Names of generations that are expected to end by themselves before the
        engine is gone; they come last.
    postponed
        Names of generations that could not be moved before; they come after
        all others.
    """
    return sorted(
        runs,
        key=lambda run: (
            run.name in postponed,
            run.name in ending,
            run.tokens,
            run.name,
        ),
    )


def choose_move_target(
    run: EngineRun,
    targets: Sequence[MoveTarget],
    failure_domain: str,
    draw: float = 0,
    short_notice: bool = False,
) -> MoveTarget | None:
    """Return one of the engines with the most free memory.

    Engines to which nothing is being copied come first. Returns None if no
    engine has enough memory.

    Parameters
    ----------
    run
        The generation to move.
    targets
        Engines with their free memory.
    failure_domain
        Failure domain in which the generation runs now.
    draw
        A random number in [0, 1). Engines that leave at the same time see the
        same free memory; drawing among targets that differ by less than this
        generation keeps their copies from queueing on one target's link.
    short_notice
        Whether the notice is too short for all copies; then engines in the
        same failure domain are preferred however full they are.
    """
    fitting = [
        target
        for target in targets
        if target.free_tokens >= run.tokens * _COPY_HEADROOM_FACTOR
    ]
    if not fitting:
        return None
    # The last part of this generation would wait behind the other copy.
    fitting = [each for each in fitting if not each.receiving] or fitting
    same_domain = [
        each for each in fitting if each.failure_domain == failure_domain
    ]
    if short_notice and same_domain:
        fitting = same_domain
    scores = {
        target.address: target.free_tokens
        + (target.failure_domain == failure_domain) * _SAME_DOMAIN_BONUS_TOKENS
        for target in fitting
    }
    min_score = max(scores.values()) - run.tokens
    candidates = [
        target for target in fitting if scores[target.address] >= min_score
    ]
    candidates.sort(key=lambda target: -scores[target.address])
    return candidates[int(draw * len(candidates))]


class MoveNotices:
    """An entry's notices of moves, matched to the attempts that they end.

    Every entry receives the notices of all moves, mostly of calls of other
    entries.  Only those that belong to an attempt in progress are kept.
    """

    def __init__(self) -> None:
        """Start without attempts."""
        self._awaited: dict[tuple[str, str, int], AwaitedNotice] = {}

    @contextmanager
    def follow(
        self, name: str, record: BackendRecord, may_be_stopped: bool = True
    ) -> Iterator['AwaitedNotice']:
        """Accept the notice of one attempt while it is in progress.

        Parameters
        ----------
        name
            Name of the generation.
        record
            Engine that the attempt is sent to.  The notices of other engines,
            and of other starts of this one, are not about the attempt.
        may_be_stopped
            Whether the answer can go on elsewhere.
        """
        key = (name, record.address, record.boot)
        awaited = AwaitedNotice(may_be_stopped)
        self._awaited[key] = awaited
        try:
            yield awaited
        finally:
            if self._awaited.get(key) is awaited:
                self._awaited.pop(key)

    def post(self, notice: MoveNotice) -> None:
        """Pass a notice to the attempt that it belongs to, or drop it."""
        key = (notice.name, notice.source, notice.source_boot)
        awaited = self._awaited.get(key)
        if awaited is not None and notice.source_boot:
            awaited.receive(notice)

    def announce_stop(
        self, name: str, source: str, source_boot: int
    ) -> bool | None:
        """Tell an attempt that a move is about to stop its generation.

        Returns
        -------
        bool | None
            Whether it may be stopped; None if no attempt is in progress.
        """
        awaited = self._awaited.get((name, source, source_boot))
        if awaited is None or not source_boot:
            return None
        return awaited.announce_stop()


class AwaitedNotice:
    """The notice that one attempt was moved, if one comes.

    It arrives over another connection than the end of the stream that it
    explains, before or after it. Before the generation is stopped, its stop is
    announced, so that the end of the stream is not taken for its completion.

    Attributes
    ----------
    may_be_stopped
        Whether the answer can go on elsewhere.
    stop_announced
        Whether the generation was stopped, or may be stopped at any moment.
    """

    def __init__(self, may_be_stopped: bool = True) -> None:
        """Start without a notice."""
        self.may_be_stopped = may_be_stopped
        self.stop_announced = False
        self._refuses_stops = not may_be_stopped
        self._received = asyncio.Event()
        self._notice: MoveNotice | None = None
        self._waits_since: float | None = None
        self._announced_at = 0.0

    @property
    def moved(self) -> bool:
        """Whether the generation was moved."""
        return self._notice is not None and self._notice.copy is not None

    def announce_stop(self) -> bool:
        """Expect the generation to be stopped; return whether it may be."""
        if self._refuses_stops:
            return False
        self.stop_announced = True
        self._announced_at = asyncio.get_running_loop().time()
        # It was about an earlier order.
        self._drop_notice()
        return True

    def refuse_stops(self) -> None:
        """Let the generation not be stopped from now on, as it has ended."""
        self._refuses_stops = True

    def receive(self, notice: MoveNotice) -> None:
        """Keep a notice; a later one replaces it."""
        self._notice = notice
        if notice.copy is None:
            self.stop_announced = False
        self._received.set()

    def record_event(self) -> None:
        """Drop what an event shows to be outdated, as the generation runs on.

        A process beside an engine sends a notice that it was not moved also
        after a single failed reading. And it may end before it orders the stop
        that it has announced.
        """
        if self._notice is not None and self._notice.copy is None:
            self._drop_notice()
        now = asyncio.get_running_loop().time()
        if now > self._announced_at + _LONGEST_STOP_SECONDS:
            self.stop_announced = False

    async def wait(self, seconds: float) -> MoveNotice | None:
        """Return the notice, None if none arrives in time.

        Parameters
        ----------
        seconds
            Counted from the first time that it is awaited.
        """
        now = asyncio.get_running_loop().time()
        if self._waits_since is None:
            self._waits_since = now
        left = self._waits_since + seconds - now
        await wait_until_set(self._received, max(0, left))
        return self._notice

    def _drop_notice(self) -> None:
        self._notice = None
        self._received.clear()
