"""What the process beside an engine tells entries of its load, and when.

Entries choose by these reports, each for itself.  A call that one of them has
just sent is in no report of the engine yet: whoever chooses in that moment
sees an emptier engine than there is, and many entries send there together.
So entries announce what they send, and this process, which sees all of it,
tells it on at once.
"""

from collections import deque
from dataclasses import dataclass

from . import gen_wire as wire
from .backendset import EngineState

__all__ = ('EngineReports', 'state_from_report')

# Without news a report still shows that this process lives.
_BEAT_SECONDS = 0.5
# What a node may send for control, and a report's size in a frame.
_BYTES_A_SECOND = 4000
_REPORT_BYTES = 28
# Reports that may go out at once after a quiet time, and that news of a fuller
# engine may borrow.
_BURST = 12
# From a call's announcement until the engine's own figures count it.
_ARRIVAL_SECONDS = 0.015
# Memory that was used or freed counts as news from this share of all.
_MEMORY_SHARE = 0.06
_MICROSECONDS = 1e6


@dataclass(frozen=True, slots=True)
class _Announced:
    """A call that an entry announced."""

    prompt_tokens: int
    at: float


class EngineReports:
    """Joins the engine's figures with announced calls; bounds the traffic.

    Attributes
    ----------
    last
        What was told last, None before the first report.
    """

    def __init__(self) -> None:
        """Start without figures."""
        self.last: wire.EngineReport | None = None
        self._last_at = float('-inf')
        self._state = EngineState()
        self._coming: deque[_Announced] = deque()
        self._credit: float = _BURST
        self._filled_at: float = 0

    def announce(self, prompt_tokens: int, now: float) -> None:
        """Note a call that is on its way to the engine."""
        self._coming.append(_Announced(prompt_tokens, now))

    def take(self, state: EngineState, began: float) -> None:
        """Note the engine's own figures.

        Parameters
        ----------
        state
            As the engine told it.
        began
            When it was asked, in monotonic seconds.
        """
        self._state = state
        while self._coming and self._coming[0].at < began - _ARRIVAL_SECONDS:
            self._coming.popleft()

    def make(self, entries: int) -> wire.EngineReport:
        """Return the report that holds now."""
        state = self._state
        unread = sum(each.prompt_tokens for each in self._coming)
        return wire.EngineReport(
            running=state.running + len(self._coming),
            queued=state.queued,
            used_tokens=state.used_tokens + unread,
            total_tokens=state.total_tokens,
            leaving=state.leaving,
            entries=entries,
            unread_tokens=state.unread_tokens + unread,
            generating=state.generating,
            token_micros=int(state.token_seconds * _MICROSECONDS),
        )

    def is_due(self, report: wire.EngineReport, now: float) -> bool:
        """Tell whether a report is worth telling, and may be told now."""
        if now >= self._last_at + _BEAT_SECONDS:
            return True
        if self.last is not None and not _is_news(report, self.last):
            return False
        self._fill(report.entries, now)
        # An engine that looks emptier than it is draws all calls, so that
        # news may borrow; one that looks fuller only misses some.
        least = -_BURST if self._is_fuller(report) else 1
        return self._credit >= least

    def record_sent(self, report: wire.EngineReport, now: float) -> None:
        """Note that a report goes out."""
        self._fill(report.entries, now)
        self._credit = max(-_BURST, self._credit - 1)
        self.last, self._last_at = report, now

    def _is_fuller(self, report: wire.EngineReport) -> bool:
        last = self.last
        return last is not None and (
            report.leaving > last.leaving
            or report.unread_tokens > last.unread_tokens
        )

    def _fill(self, entries: int, now: float) -> None:
        rate = _BYTES_A_SECOND / (_REPORT_BYTES * max(1, entries))
        more = (now - self._filled_at) * rate
        self._credit = min(_BURST, self._credit + more)
        self._filled_at = now


def state_from_report(report: wire.EngineReport) -> EngineState:
    """Return the state that a report tells."""
    return EngineState(
        running=report.running,
        queued=report.queued,
        used_tokens=report.used_tokens,
        total_tokens=report.total_tokens,
        leaving=report.leaving,
        unread_tokens=report.unread_tokens,
        generating=report.generating,
        token_seconds=report.token_micros / _MICROSECONDS,
    )


def _is_news(report: wire.EngineReport, last: wire.EngineReport) -> bool:
    """Tell whether a choice among engines may come out differently."""
    if _counts(report) != _counts(last):
        return True
    step = report.total_tokens * _MEMORY_SHARE
    grown = abs(report.used_tokens - last.used_tokens)
    return grown > step or report.total_tokens != last.total_tokens


def _counts(report: wire.EngineReport) -> tuple[int, int, int, bool]:
    return (
        report.running,
        report.queued,
        report.generating,
        report.leaving,
    )
