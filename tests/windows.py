"""Sliding windows over moments."""


def most_in_window(moments, seconds):
    """Return the most moments in any window of that length."""
    return max(
        (
            sum(first <= at < first + seconds for at in moments)
            for first in moments
        ),
        default=0,
    )
