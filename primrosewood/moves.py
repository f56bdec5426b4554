"""Planning of moves of running generations off a leaving engine.

The endpoint process of an engine plans and orders all of its moves. If each
entry moved its own streams, the copies would queue on the engine's network
link, and the last part of one stream would wait behind full copies of others,
which pauses streams for 0.4 to 0.65 s. Moved one at a time, a stream pauses
only while its last tokens are copied, 4 to 20 ms.
"""

import asyncio
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from .backendstate import BackendIdentity

__all__ = (
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
_MAX_NOTICES = 512


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
    source
        Address of the engine that it ran on.
    copy
        None if it was not moved.
    """

    name: str
    source: str
    copy: MovedCopy | None = None


def plan_moves(
    runs: Sequence[EngineRun], ending: Collection[str] = ()
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
    """
    return sorted(
        runs, key=lambda run: (run.name in ending, run.tokens, run.name)
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
    """An entry's notices of moves, matched to interrupted streams.

    A notice and the interruption that it explains arrive over different
    connections, in either order.
    """

    def __init__(self) -> None:
        """Create a collection without notices."""
        self._notices: dict[str, MoveNotice] = {}
        # By name of the generation and address of the source engine.
        self._waiters: dict[tuple[str, str], asyncio.Future[MoveNotice]] = {}

    def post(self, notice: MoveNotice) -> None:
        """Pass a notice to its waiter, or keep it until one comes."""
        waiter = self._waiters.pop((notice.name, notice.source), None)
        if waiter is not None and not waiter.done():
            waiter.set_result(notice)
            return
        self._notices[notice.name] = notice
        # Every entry receives notices of all moves, mostly of calls of other
        # entries, which nothing here waits for.
        while len(self._notices) > _MAX_NOTICES:
            self._notices.pop(next(iter(self._notices)))

    def forget(self, name: str) -> None:
        """Drop an outdated notice, so that no later interruption uses it."""
        self._notices.pop(name, None)

    async def wait(
        self, name: str, source: str, seconds: float
    ) -> MoveNotice | None:
        """Return the notice of a stream, None if none arrives in time.

        Parameters
        ----------
        source
            Address of the engine at which the stream broke off; late notices
            of an engine that ran it before are not about this.
        """
        notice = self._notices.pop(name, None)
        if notice is not None and notice.source == source:
            return notice
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[name, source] = waiter
        try:
            async with asyncio.timeout(seconds):
                return await waiter
        except TimeoutError:
            return None
        finally:
            self._waiters.pop((name, source), None)
