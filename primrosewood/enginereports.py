"""Load reports of one engine, sent to entries by its endpoint process.

Each entry selects engines by these reports on its own. The engine's own figures
do not include a call that an entry has just sent, so other entries would see
the engine emptier than it is and send to it all at once (thundering herd). To
avoid this entries announce the calls that they send to the endpoint process,
which adds them to its reports until the engine's figures include them.
"""

from collections import deque
from dataclasses import dataclass

from msgspec import structs

from . import gen_wire as wire
from .backendstate import EngineState

__all__ = ('EngineReports', 'state_from_report')

# Interval of reports without changes, which show that this process is alive. It
# grows with the entries, within bounds, as each gets a message of its own.
_MIN_HEARTBEAT_SECONDS = 0.5
_MAX_HEARTBEAT_SECONDS = 1.0
# Control traffic that a node may send, and the size of one report in a frame.
_MAX_BYTES_PER_SECOND = 4000
_REPORT_BYTES = 28
# Reports that may be sent in a burst after a quiet time, and the debt that
# reports of a higher load may run up.
_BURST_REPORTS = 12
# Time from a call's announcement until the engine's own figures include it.
_ANNOUNCEMENT_SETTLE_SECONDS = 0.015
# The start of the engine, which takes 9 bytes, is stated again after this time.
_BOOT_REPEAT_SECONDS = 1.0
# A change of used memory is reported from this share of the total.
_MEMORY_CHANGE_SHARE = 0.06
_MICROSECONDS_PER_SECOND = 1e6
_MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class _AnnouncedCall:
    """A call that an entry announced and the engine does not show yet."""

    prompt_tokens: int
    announced_at: float


class EngineReports:
    """Combines engine figures with announced calls and limits the send rate.

    Attributes
    ----------
    last
        Report that was sent last, None before the first one.
    """

    def __init__(self) -> None:
        """Create reports for an engine without figures."""
        self.last: wire.EngineReport | None = None
        self._last_sent_at = float('-inf')
        self._state = EngineState()
        self._boot = 0
        self._stated_boot = 0
        self._boot_stated_at = float('-inf')
        self._copying_to = ''
        self._announced: deque[_AnnouncedCall] = deque()
        self._credit: float = _BURST_REPORTS
        self._refilled_at: float = 0

    def announce(self, prompt_tokens: int, now: float) -> None:
        """Record a call that an entry has just sent to the engine."""
        self._announced.append(_AnnouncedCall(prompt_tokens, now))

    def record_state(self, state: EngineState, started_at: float) -> None:
        """Record the engine's own figures.

        Parameters
        ----------
        state
            Figures as read from the engine.
        started_at
            When the request for them was sent, in monotonic seconds.
        """
        self._state = state
        while (
            self._announced
            and self._announced[0].announced_at
            < started_at - _ANNOUNCEMENT_SETTLE_SECONDS
        ):
            self._announced.popleft()

    def record_boot(self, boot: int) -> None:
        """Record which start of the engine the figures are of."""
        self._boot = boot

    def record_copy(self, target: str) -> None:
        """Record to which engine a generation is being copied, if any."""
        self._copying_to = target

    def make_greeting(self) -> wire.EngineReport | None:
        """Return the last report for a new link, None before the first one."""
        if self.last is None:
            return None
        return structs.replace(self.last, boot=self._boot)

    def make(self, entries: int, now: float) -> wire.EngineReport:
        """Return the current report for a number of connected entries."""
        state = self._state
        announced_tokens = sum(each.prompt_tokens for each in self._announced)
        return wire.EngineReport(
            running=state.running + len(self._announced),
            queued=state.queued,
            used_tokens=state.used_tokens + announced_tokens,
            total_tokens=state.total_tokens,
            leaving=state.leaving,
            entries=entries,
            unread_tokens=state.unread_tokens + announced_tokens,
            generating=state.generating,
            token_micros=int(state.token_seconds * _MICROSECONDS_PER_SECOND),
            copying_to=self._copying_to,
            queued_tokens=state.queued_tokens,
            freed_per_second=int(state.freed_per_second),
            waited_ms=int(state.waited * _MS_PER_SECOND),
            boot=self._boot if self._must_state_boot(now) else 0,
        )

    def is_due(self, report: wire.EngineReport, now: float) -> bool:
        """Return whether a report is worth sending and the rate allows it."""
        if now >= self._last_sent_at + _heartbeat_seconds(report.entries):
            return True
        is_known_start = self._boot == self._stated_boot
        if (
            self.last is not None
            and is_known_start
            and not _is_significant_change(report, self.last)
        ):
            return False
        self._refill_credit(report.entries, now)
        # An engine that looks emptier than it is attracts too many calls, so a
        # report of higher load may exceed the rate. An engine that looks fuller
        # than it is only misses some calls.
        min_credit = -_BURST_REPORTS if self._is_more_loaded(report) else 1
        return self._credit >= min_credit

    def record_sent(self, report: wire.EngineReport, now: float) -> None:
        """Record that a report is sent."""
        self._refill_credit(report.entries, now)
        self._credit = max(-_BURST_REPORTS, self._credit - 1)
        self.last, self._last_sent_at = report, now
        if report.boot:
            self._stated_boot, self._boot_stated_at = report.boot, now

    def _must_state_boot(self, now: float) -> bool:
        repeated_at = self._boot_stated_at + _BOOT_REPEAT_SECONDS
        return self._boot != self._stated_boot or now >= repeated_at

    def _is_more_loaded(self, report: wire.EngineReport) -> bool:
        last = self.last
        return last is not None and (
            report.leaving > last.leaving
            or report.unread_tokens > last.unread_tokens
        )

    def _refill_credit(self, entries: int, now: float) -> None:
        rate = _MAX_BYTES_PER_SECOND / (_REPORT_BYTES * max(1, entries))
        refill = (now - self._refilled_at) * rate
        self._credit = min(_BURST_REPORTS, self._credit + refill)
        self._refilled_at = now


def state_from_report(report: wire.EngineReport) -> EngineState:
    """Convert a report to the engine's state."""
    return EngineState(
        running=report.running,
        queued=report.queued,
        used_tokens=report.used_tokens,
        total_tokens=report.total_tokens,
        leaving=report.leaving,
        unread_tokens=report.unread_tokens,
        generating=report.generating,
        token_seconds=report.token_micros / _MICROSECONDS_PER_SECOND,
        queued_tokens=report.queued_tokens,
        freed_per_second=report.freed_per_second,
        waited=report.waited_ms / _MS_PER_SECOND,
    )


def _heartbeat_seconds(entries: int) -> float:
    """Return the interval at which heartbeats alone keep to the send rate."""
    seconds = entries * _REPORT_BYTES / _MAX_BYTES_PER_SECOND
    return min(_MAX_HEARTBEAT_SECONDS, max(_MIN_HEARTBEAT_SECONDS, seconds))


def _is_significant_change(
    report: wire.EngineReport, last: wire.EngineReport
) -> bool:
    """Return whether the change may alter the selection of an engine."""
    if _counts(report) != _counts(last):
        return True
    step = report.total_tokens * _MEMORY_CHANGE_SHARE
    used_change = abs(report.used_tokens - last.used_tokens)
    return used_change > step or report.total_tokens != last.total_tokens


def _counts(report: wire.EngineReport) -> tuple[int, int, int, bool]:
    return (
        report.running,
        report.queued,
        report.generating,
        report.leaving,
    )
