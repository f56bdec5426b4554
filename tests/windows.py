"""Counting of events in sliding windows."""


def most_in_window(times, seconds):
    """Return the greatest number of times in any window of that length."""
    return max(
        (
            sum(start <= time < start + seconds for time in times)
            for start in times
        ),
        default=0,
    )
