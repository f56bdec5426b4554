"""Moves of running generations off an engine that is about to leave.

One process, the one beside the engine, plans and orders all moves of that
engine.  Entries that move their own streams each for itself queue on the same
link, and the last part of one stream waits behind whole copies of others:
pauses of 0.4 to 0.65 s.  One after another, a stream pauses for the time that
its last tokens take, 4 to 20 ms.
"""

import asyncio
from collections.abc import Collection, Sequence
from dataclasses import dataclass

__all__ = (
    'EngineRun',
    'MoveNotice',
    'MoveTarget',
    'MoveNotices',
    'choose_target',
    'plan_moves',
)

# A copy needs room for what the generation adds while it is copied, and an
# engine that is filled to the brim preempts.
_HEADROOM = 1.1
# Copying between failure domains takes twice as long (0.47 s in place of 0.24 s
# for 4,300 tokens), which halves how many streams a notice saves; a near engine
# is preferred until a far one has this many tokens more room.
_DISTANCE_TOKENS = 12000
_MOST_NOTICES = 512


@dataclass(frozen=True, slots=True)
class EngineRun:
    """A generation on an engine, as the engine reports it.

    Attributes
    ----------
    tokens
        Memory that it holds.
    events
        Events that it has made.
    """

    name: str
    tokens: int
    events: int


@dataclass(frozen=True, slots=True)
class MoveTarget:
    """An engine that may take generations in."""

    address: str
    failure_domain: str
    free_tokens: int


@dataclass(frozen=True, slots=True)
class MoveNotice:
    """Where a generation went; an empty handle says that it stays.

    Attributes
    ----------
    source, target
        Engines as ``host:port``.
    handle
        The source's name for the copy.
    """

    name: str
    source: str
    handle: str = ''
    target: str = ''


def plan_moves(
    runs: Sequence[EngineRun], ending: Collection[str] = ()
) -> list[EngineRun]:
    """Return the generations in the order in which to move them.

    Notice is short and a link carries one copy at a time, so small ones go
    first: that way the most streams are saved.

    Parameters
    ----------
    runs
        What is still to be moved.
    ending
        Names of those that are expected to end here before the engine goes;
        their turn comes last.
    """
    return sorted(
        runs, key=lambda run: (run.name in ending, run.tokens, run.name)
    )


def choose_target(
    run: EngineRun,
    targets: Sequence[MoveTarget],
    failure_domain: str,
    draw: float = 0,
    hurried: bool = False,
) -> MoveTarget | None:
    """Return an engine with the most room, None where none has enough.

    Parameters
    ----------
    run
        What is to be moved.
    targets
        Engines with their room.
    failure_domain
        Where the generation runs now.
    draw
        A number in [0, 1).  Engines that leave at the same moment see the
        same room; those that are alike but for one generation are drawn, so
        that not all copies queue for one link.
    hurried
        Whether the notice is too short for all copies; then a near engine is
        taken however full it is.
    """
    fitting = [
        target
        for target in targets
        if target.free_tokens >= run.tokens * _HEADROOM
    ]
    if not fitting:
        return None
    near = [each for each in fitting if each.failure_domain == failure_domain]
    if hurried and near:
        fitting = near
    worth = {
        target.address: target.free_tokens
        + (target.failure_domain == failure_domain) * _DISTANCE_TOKENS
        for target in fitting
    }
    least = max(worth.values()) - run.tokens
    alike = [target for target in fitting if worth[target.address] >= least]
    alike.sort(key=lambda target: -worth[target.address])
    return alike[int(draw * len(alike))]


class MoveNotices:
    """Notices of moves at an entry, matched to streams that were cut.

    A notice and the cut that it explains come over different connections, in
    either order.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._notices: dict[str, MoveNotice] = {}
        self._waiting: dict[str, asyncio.Future[MoveNotice]] = {}

    def post(self, notice: MoveNotice) -> None:
        """Keep a notice, and wake who waits for it."""
        waiter = self._waiting.pop(notice.name, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(notice)
            return
        self._notices[notice.name] = notice
        # Every entry hears of all moves and most are of other entries' calls.
        while len(self._notices) > _MOST_NOTICES:
            self._notices.pop(next(iter(self._notices)))

    def forget(self, name: str) -> None:
        """Drop an older notice, so that it cannot explain a later cut."""
        self._notices.pop(name, None)

    async def wait(self, name: str, seconds: float) -> MoveNotice | None:
        """Return the notice of a stream, None when none comes in time."""
        known = self._notices.pop(name, None)
        if known is not None:
            return known
        waiter = asyncio.get_running_loop().create_future()
        self._waiting[name] = waiter
        try:
            async with asyncio.timeout(seconds):
                return await waiter
        except TimeoutError:
            return None
        finally:
            self._waiting.pop(name, None)
