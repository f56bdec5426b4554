"""Concurrency limit of an endpoint that may be cold."""

from dataclasses import dataclass

from .logs import log_event

__all__ = ('ConcurrencyLimit', 'ConcurrencyTargets')

_IN_TIME = 1.25
_TOO_SLOW = 1.75
_COLD = 3.0
_SHRINK = 0.7
_IN_USE = 0.5
_PROBATION = 4


@dataclass(frozen=True, slots=True)
class ConcurrencyTargets:
    """What the limit keeps to.

    Attributes
    ----------
    start, most
        Limit of a fresh endpoint, and its ceiling.
    first_token, between_tokens
        Seconds; a plain service has only the first, for its whole answer.
    """

    start: int
    most: int
    first_token: float
    between_tokens: float


class ConcurrencyLimit:
    """A limit that starts small and grows with proven answers.

    The limit doubles over each round of good answers until the first slow
    one, then grows by one a round. Only answers within the targets let it
    grow; a slow answer shrinks it, and answers as slow as a cold engine's
    take it back to its start. The same signal is read after a restart of
    this process and when a warm engine turns cold, so no announcement is
    needed.
    """

    def __init__(self, targets: ConcurrencyTargets) -> None:
        """Start cold."""
        self._targets = targets
        self._limit = float(targets.start)
        self._doubling = True
        self._good = 0
        self._proven = False

    @property
    def limit(self) -> int:
        """Requests that may run at once."""
        return int(self._limit)

    def retarget(self, targets: ConcurrencyTargets) -> None:
        """Take new targets; the limit stays within the new ceiling."""
        self._targets = targets
        if not self._proven:
            self._limit = float(targets.start)
        self._limit = min(self._limit, float(targets.most))

    def observe(self, first_token: float, between: float, running: int) -> None:
        """Learn from one answer.

        Parameters
        ----------
        first_token
            Seconds from the engine call to the first token.
        between
            Mean seconds between later tokens, 0 when there were none.
        running
            Requests that ran beside it.
        """
        self._proven = True
        slowness = self._slowness(first_token, between)
        if slowness >= _COLD:
            self._reset(slowness)
        elif slowness >= _TOO_SLOW:
            self._shrink(slowness)
        elif slowness <= _IN_TIME and running >= self._limit * _IN_USE:
            # Only answers given under load prove that more can be borne.
            self._grow()

    def record_failure(self) -> None:
        """Learn from an answer that the engine broke off."""
        self._reset(0)

    def _slowness(self, first_token: float, between: float) -> float:
        return max(
            first_token / self._targets.first_token,
            between / self._targets.between_tokens,
        )

    def _grow(self) -> None:
        self._good += 1
        if self._good < _PROBATION and self._limit <= self._targets.start:
            return
        step = 1 if self._doubling else 1 / self._limit
        self._limit = min(float(self._targets.most), self._limit + step)

    def _shrink(self, slowness: float) -> None:
        self._doubling = False
        floor = float(self._targets.start)
        self._limit = max(floor, self._limit * _SHRINK)
        log_event('limit_shrunk', limit=self.limit, slowness=slowness)

    def _reset(self, slowness: float) -> None:
        self._doubling = True
        self._good = 0
        if self._limit > self._targets.start:
            self._limit = float(self._targets.start)
            log_event('limit_reset', limit=self.limit, slowness=slowness)
