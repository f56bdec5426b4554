"""Prefill and decoding speed of engines, estimated from their work.

The initial values are those of a large model on one accelerator; they apply
until the first generations have been observed.
"""

from collections.abc import Sequence

from .moves import EngineRun

__all__ = (
    'PROMPT_TOKENS_PER_SECOND',
    'TOKEN_SECONDS',
    'MemoryReleaseEstimator',
    'PromptRateEstimator',
    'TokenTimeEstimator',
)

# Engines prefill one prompt after the other, so prompts that wait before a call
# delay its first token.
PROMPT_TOKENS_PER_SECOND = 14_000
# Decoding time per token of a stream that shares its engine with a few others:
# 7 ms per step, plus a little for each of them.
TOKEN_SECONDS = 0.009

# Weight of earlier samples at each new one: at 20 samples per second, about
# the last two seconds count.
_DECAY = 0.975
# Weight of the newest call in the prompt rate: about the last 20 calls count.
_PROMPT_RATE_WEIGHT = 0.05
_FIRST_PROMPT_RATE_WEIGHT = 0.1
_MIN_PROMPT_TOKENS_PER_SECOND = 500
_MAX_PROMPT_TOKENS_PER_SECOND = 200_000


class TokenTimeEstimator:
    """Estimates the decoding time per token of one engine.

    Attributes
    ----------
    seconds
        Recent seconds per token, 0 before any token was observed.
    """

    def __init__(self) -> None:
        """Start without samples."""
        self.seconds: float = 0
        self._previous_tokens: dict[str, int] = {}
        self._observed_at: float = 0
        self._weighted_seconds: float = 0
        self._weighted_tokens: float = 0

    def observe(self, runs: Sequence[EngineRun], now: float) -> None:
        """Update the estimate from a sample of the running generations.

        Parameters
        ----------
        runs
            Generations that have produced an event.
        now
            When the sample was taken, in monotonic seconds.
        """
        previous_tokens, self._previous_tokens = (
            self._previous_tokens,
            {run.name: run.tokens for run in runs},
        )
        elapsed, self._observed_at = now - self._observed_at, now
        token_increases = [
            run.tokens - previous_tokens[run.name]
            for run in runs
            if run.name in previous_tokens
        ]
        if not token_increases:
            return
        # Tokens are produced several at a time, so that the difference between
        # two samples is noisy; a decaying sum smooths it.
        self._weighted_seconds = (
            self._weighted_seconds * _DECAY + elapsed * len(token_increases)
        )
        self._weighted_tokens = self._weighted_tokens * _DECAY + sum(
            token_increases
        )
        if self._weighted_tokens > 0:
            self.seconds = self._weighted_seconds / self._weighted_tokens


class MemoryReleaseEstimator:
    """Estimates how fast ending generations free an engine's memory.

    Attributes
    ----------
    tokens_per_second
        Tokens freed each second of the last few, 0 before any was freed.
    """

    def __init__(self) -> None:
        """Start without samples."""
        self.tokens_per_second: float = 0
        self._previous_tokens: dict[str, int] = {}
        self._observed_at: float | None = None
        self._weighted_seconds: float = 0
        self._weighted_tokens: float = 0

    def observe(self, runs: Sequence[EngineRun], now: float) -> None:
        """Update the estimate from a sample of the running generations."""
        tokens = {run.name: run.tokens for run in runs}
        freed = sum(
            size
            for name, size in self._previous_tokens.items()
            if name not in tokens
        )
        elapsed = 0 if self._observed_at is None else now - self._observed_at
        self._previous_tokens, self._observed_at = tokens, now
        self._weighted_seconds = self._weighted_seconds * _DECAY + elapsed
        self._weighted_tokens = self._weighted_tokens * _DECAY + freed
        if self._weighted_seconds > 0:
            self.tokens_per_second = (
                self._weighted_tokens / self._weighted_seconds
            )


class PromptRateEstimator:
    """Estimates how fast the engines of a service prefill prompts.

    Attributes
    ----------
    tokens_per_second
        Prompt tokens per second of one engine, while generations run there.
    """

    def __init__(self) -> None:
        """Start with the default rate."""
        self.tokens_per_second: float = PROMPT_TOKENS_PER_SECOND
        self._observations = 0

    def observe(self, tokens: int, seconds: float) -> None:
        """Update the estimate from the time to a call's first event.

        Parameters
        ----------
        tokens
            Prompt tokens of the call and of those prefilled before it.
        seconds
            From the send to the first event.
        """
        if tokens <= 0 or seconds <= 0:
            return
        measured = min(
            _MAX_PROMPT_TOKENS_PER_SECOND,
            max(_MIN_PROMPT_TOKENS_PER_SECOND, tokens / seconds),
        )
        # The first calls count more, so that an entry that has just started
        # does not keep the default for long.
        self._observations += 1
        newest = min(_FIRST_PROMPT_RATE_WEIGHT, 1 / self._observations)
        weight = max(_PROMPT_RATE_WEIGHT, newest)
        self.tokens_per_second += weight * (measured - self.tokens_per_second)
