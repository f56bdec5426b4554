"""Calls that an engine was sent and that have had no event yet."""

from collections import OrderedDict
from collections.abc import Sequence

from .moves import EngineRun

__all__ = ('WaitingCalls',)

_MAX_TRACKED = 1024


class WaitingCalls:
    """Measures how long the first waiting call of an engine has waited.

    The engine's own figures say how much waits, but not for how long.
    """

    def __init__(self) -> None:
        """Start without calls."""
        self._sent_at: OrderedDict[str, float] = OrderedDict()

    @property
    def any(self) -> bool:
        """Whether any call waits."""
        return bool(self._sent_at)

    def add(self, name: str, now: float) -> None:
        """Record a call that is being sent to the engine."""
        self._sent_at.setdefault(name, now)
        if len(self._sent_at) > _MAX_TRACKED:
            self._sent_at.popitem(last=False)

    def update(
        self, runs: Sequence[EngineRun], waiting: int, read_at: float
    ) -> None:
        """Forget the calls that wait no more.

        Parameters
        ----------
        runs
            Generations that have produced an event.
        waiting
            Number of generations that have not.
        read_at
            When these figures were requested, in monotonic seconds.
        """
        for run in runs:
            self._sent_at.pop(run.name, None)
        # Calls that ended without an event are never among the runs.
        earlier = [name for name, at in self._sent_at.items() if at < read_at]
        for name in earlier[: max(0, len(earlier) - waiting)]:
            self._sent_at.pop(name)

    def longest_wait(self, now: float) -> float:
        """Return how long the first call has waited, 0 if none waits."""
        first = next(iter(self._sent_at.values()), now)
        return max(0, now - first)
