"""Limits on the sum over all entries, from the settings of a process."""

from ..callplacement import RelayRules
from ..clock import Clock
from ..entrycount import EntryCount
from ..gen_node import NodeSettings
from ..repeatbudget import RepeatRule
from ..retryhistory import RetryHistory
from ..sharedlimits import ColdRule
from ..urgentroom import UrgentRoom

__all__ = (
    'make_entry_count',
    'make_history',
    'make_rules',
    'make_urgent_room',
)

# Number of entries assumed until it is known.
_ASSUMED_ENTRIES = 8


def make_entry_count() -> EntryCount:
    """Return the number of entries as a process that starts knows it."""
    return EntryCount.assume(_ASSUMED_ENTRIES)


def make_history(settings: NodeSettings, clock: Clock) -> RetryHistory:
    """Return the retries of the process before, which are to be learned."""
    repeats = make_rules(settings).repeats
    return RetryHistory(clock, repeats.retry_seconds)


def make_urgent_room(settings: NodeSettings) -> UrgentRoom:
    """Return the room that calls leave, none where priorities do not count."""
    return UrgentRoom(enabled=settings.priorities)


def make_rules(settings: NodeSettings) -> RelayRules:
    """Return the limits that the settings state."""
    limits = settings.limits
    return RelayRules(
        failure_domain=settings.failure_domain,
        repeats=RepeatRule(
            ratio=limits.repeat_ratio,
            slack=limits.repeat_slack,
            window=limits.repeat_window_seconds,
        ),
        cold=ColdRule(limits.cold_factor, limits.cold_slack),
    )
