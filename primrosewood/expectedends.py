"""Estimates which generations of an engine end soon by themselves."""

from collections import OrderedDict
from collections.abc import Sequence

from .moves import EngineRun

__all__ = ('ExpectedEnds',)

_MAX_TRACKED = 1024
# Expected lengths are medians, so a generation counts as ending only if it is
# expected to need at most this share of the remaining time.
_USABLE_TIME_SHARE = 0.5


class ExpectedEnds:
    """Keeps the lengths that entries expect of their generations."""

    def __init__(self) -> None:
        """Create an estimator without expected lengths."""
        self._expected_tokens: OrderedDict[str, int] = OrderedDict()

    def add(self, name: str, whole_tokens: int) -> None:
        """Record the tokens of a generation's prompt and expected answer."""
        self._expected_tokens[name] = whole_tokens
        if len(self._expected_tokens) > _MAX_TRACKED:
            self._expected_tokens.popitem(last=False)

    def within(
        self,
        runs: Sequence[EngineRun],
        seconds: float | None,
        token_seconds: float,
    ) -> frozenset[str]:
        """Return the names of generations that end within some time.

        Parameters
        ----------
        runs
            Generations that have produced at least one event.
        seconds
            Remaining time, None when it is unknown.
        token_seconds
            Time per generated token; 0 when it is unknown.
        """
        if seconds is None or not token_seconds:
            return frozenset()
        max_tokens_left = seconds * _USABLE_TIME_SHARE / token_seconds
        return frozenset(
            run.name
            for run in runs
            if 0
            < self._expected_tokens.get(run.name, 0) - run.tokens
            <= max_tokens_left
        )
