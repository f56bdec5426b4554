"""Which generations of an engine are expected to end soon."""

from collections import OrderedDict
from collections.abc import Sequence

from .moves import EngineRun

__all__ = ('ExpectedEnds',)

_MOST_KNOWN = 1024
# Guesses of lengths are right in the median only: half of the time that is
# left must be enough by them.
_SURE_SHARE = 0.5


class ExpectedEnds:
    """Keeps how long generations may become, as entries guess."""

    def __init__(self) -> None:
        """Start without guesses."""
        self._whole: OrderedDict[str, int] = OrderedDict()

    def take(self, name: str, whole_tokens: int) -> None:
        """Note the tokens of a generation's prompt and expected answer."""
        self._whole[name] = whole_tokens
        if len(self._whole) > _MOST_KNOWN:
            self._whole.popitem(last=False)

    def within(
        self,
        runs: Sequence[EngineRun],
        seconds: float | None,
        token_seconds: float,
    ) -> frozenset[str]:
        """Return the names of those that end by themselves in some time.

        Parameters
        ----------
        runs
            Generations that have made an event.
        seconds
            The time, None when it is not known.
        token_seconds
            What a token takes; 0 when it is not known.
        """
        if seconds is None or not token_seconds:
            return frozenset()
        most = seconds * _SURE_SHARE / token_seconds
        return frozenset(
            run.name
            for run in runs
            if 0 < self._whole.get(run.name, 0) - run.tokens <= most
        )
