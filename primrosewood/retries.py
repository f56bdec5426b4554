"""Retry budget and jitter, which prevent retry storms."""

__all__ = ('RetryBudget', 'jitter')

_RESERVE_RETRIES = 10.0
_MAX_JITTER_SHARE = 0.5


class RetryBudget:
    """Limits retries to a share of first attempts plus a small reserve.

    The limit prevents a retry storm when a failure domain is lost and all
    attempts there fail at once.
    """

    def __init__(self, share: float) -> None:
        """Start with a full reserve.

        Parameters
        ----------
        share
            Retries that each first attempt allows.
        """
        self.share = share
        self._available = _RESERVE_RETRIES

    def earn(self) -> None:
        """Add the share of one first attempt, up to the reserve."""
        self._available = min(_RESERVE_RETRIES, self._available + self.share)

    def spend(self) -> bool:
        """Use one retry; False when the budget is exhausted."""
        if self._available < 1:
            return False
        self._available -= 1
        return True


def jitter(seconds: float, fraction: float) -> float:
    """Lengthen a retry delay at random, so that retries do not coincide.

    Parameters
    ----------
    seconds
        The shortest delay.
    fraction
        A random number in [0, 1).
    """
    return seconds * (1 + _MAX_JITTER_SHARE * fraction)
