"""How fast engines work, learned from what they do.

The figures to start from are those of a large model on one accelerator; they
only matter until the first generations were seen.
"""

from collections.abc import Sequence

from .moves import EngineRun

__all__ = (
    'PROMPT_TOKENS_A_SECOND',
    'TOKEN_SECONDS',
    'ReadingPace',
    'TokenTimeEstimator',
)

# Prompts are read one after the other, so what stands before a call is time
# to its first token.
PROMPT_TOKENS_A_SECOND = 14_000
# A token of one stream with some neighbours: 7 ms a step and a little for
# each of them.
TOKEN_SECONDS = 0.009

# Of what was seen before each reading: about the last two seconds count.
_KEPT = 0.975
# About the last twenty calls count.
_READING_WEIGHT = 0.05
_SLOWEST_READING = 500
_FASTEST_READING = 200_000


class TokenTimeEstimator:
    """What a token takes on one engine, from readings of its generations.

    Attributes
    ----------
    seconds
        A token's time lately, 0 before any was seen.
    """

    def __init__(self) -> None:
        """Start without readings."""
        self.seconds: float = 0
        self._before: dict[str, int] = {}
        self._read_at: float = 0
        self._spent: float = 0
        self._made: float = 0

    def observe(self, runs: Sequence[EngineRun], now: float) -> None:
        """Take the generations of one reading.

        Parameters
        ----------
        runs
            Those that have made an event.
        now
            Monotonic seconds at which they were read.
        """
        before, self._before = (
            self._before,
            {run.name: run.tokens for run in runs},
        )
        passed, self._read_at = now - self._read_at, now
        grown = [
            run.tokens - before[run.name] for run in runs if run.name in before
        ]
        if not grown:
            return
        # Tokens come several at a time, so that single readings say little.
        self._spent = self._spent * _KEPT + passed * len(grown)
        self._made = self._made * _KEPT + sum(grown)
        if self._made > 0:
            self.seconds = self._spent / self._made


class ReadingPace:
    """How fast the engines of a service read prompts, as calls show it.

    Attributes
    ----------
    tokens_a_second
        Beside the generations that run there.
    """

    def __init__(self) -> None:
        """Start with the assumption."""
        self.tokens_a_second: float = PROMPT_TOKENS_A_SECOND

    def observe(self, tokens: int, seconds: float) -> None:
        """Take the time to a first event.

        Parameters
        ----------
        tokens
            Of the call's prompt and of those that stood before it.
        seconds
            From the send to the first event.
        """
        if tokens <= 0 or seconds <= 0:
            return
        found = min(_FASTEST_READING, max(_SLOWEST_READING, tokens / seconds))
        self.tokens_a_second += _READING_WEIGHT * (found - self.tokens_a_second)
