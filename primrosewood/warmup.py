"""Adaptive concurrency limit of an endpoint whose engine may be cold."""

from dataclasses import dataclass

from .logs import log_event

__all__ = ('ConcurrencyLimit', 'ConcurrencyTargets')

# Slowness is a measured latency divided by its target.
_GROW_RATIO = 1.25
_SHRINK_RATIO = 1.75
_COLD_RATIO = 3.0
_SHRINK_FACTOR = 0.7
_MIN_UTILISATION = 0.5
# Good answers needed before the limit rises above its initial value.
_PROBATION_ANSWERS = 4


@dataclass(frozen=True, slots=True)
class ConcurrencyTargets:
    """Bounds of the concurrency limit, and its latency targets.

    Attributes
    ----------
    start, most
        Initial limit, which is also its lower bound, and its upper bound.
    first_token, between_tokens
        Target time to first token and target time between tokens, in
        seconds. For a plain service, `first_token` is the target for the
        whole answer, and `between_tokens` is not used.
    """

    start: int
    most: int
    first_token: float
    between_tokens: float


class ConcurrencyLimit:
    """Limit that starts small and adapts to observed latencies.

    The limit doubles with each round of answers that meet the targets, until
    the first slow answer; after that it grows by one per round. A slow answer
    shrinks it, and an answer as slow as from a cold engine resets it to its
    initial value. The same signal serves after a restart of this process and
    when a warm engine turns cold, so the engine need not announce either.
    """

    def __init__(self, targets: ConcurrencyTargets) -> None:
        """Start with the initial limit."""
        self._targets = targets
        self._limit = float(targets.start)
        self._doubling = True
        self._good_answers = 0
        self._observed = False

    @property
    def limit(self) -> int:
        """Number of requests that may run concurrently."""
        return int(self._limit)

    def update_targets(self, targets: ConcurrencyTargets) -> None:
        """Apply new targets.

        The limit takes the new initial value if no answer was observed yet,
        and is reduced to the new upper bound.
        """
        self._targets = targets
        if not self._observed:
            self._limit = float(targets.start)
        self._limit = min(self._limit, float(targets.most))

    def observe(
        self, first_token: float, token_gap: float, running: int
    ) -> None:
        """Adjust the limit after an answer.

        Parameters
        ----------
        first_token
            Seconds from the engine call to the first token.
        token_gap
            Mean seconds between later tokens, 0 when there were none.
        running
            Number of requests that ran at the same time.
        """
        self._observed = True
        slowness = self._compute_slowness(first_token, token_gap)
        if slowness >= _COLD_RATIO:
            self._reset(slowness)
        elif slowness >= _SHRINK_RATIO:
            self._shrink(slowness)
        elif (
            slowness <= _GROW_RATIO
            and running >= self._limit * _MIN_UTILISATION
        ):
            # Only answers given under load show that the engine bears more.
            self._grow()

    def record_failure(self) -> None:
        """Reset the limit after a request that the engine failed."""
        self._reset(0)

    def _compute_slowness(self, first_token: float, token_gap: float) -> float:
        return max(
            first_token / self._targets.first_token,
            token_gap / self._targets.between_tokens,
        )

    def _grow(self) -> None:
        self._good_answers += 1
        if (
            self._good_answers < _PROBATION_ANSWERS
            and self._limit <= self._targets.start
        ):
            return
        step = 1 if self._doubling else 1 / self._limit
        self._limit = min(float(self._targets.most), self._limit + step)

    def _shrink(self, slowness: float) -> None:
        self._doubling = False
        floor = float(self._targets.start)
        self._limit = max(floor, self._limit * _SHRINK_FACTOR)
        log_event('limit_shrunk', limit=self.limit, slowness=slowness)

    def _reset(self, slowness: float) -> None:
        self._doubling = True
        self._good_answers = 0
        if self._limit > self._targets.start:
            self._limit = float(self._targets.start)
            log_event('limit_reset', limit=self.limit, slowness=slowness)
