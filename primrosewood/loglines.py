"""Parser of the log lines that ``logs`` writes."""

import re
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import datetime

__all__ = (
    'OUTCOMES',
    'PROCESS_STOPPED',
    'LogLine',
    'count_outcomes',
    'list_rollout_lines',
    'parse_lines',
)

# Events that report the end of a request.
OUTCOMES = frozenset(('answered', 'call_failed', 'refused', 'caller_left'))
# Logged under ``why`` when a call ended because its process stopped.
PROCESS_STOPPED = 'this process stopped'
_ROLLOUT_EVENT_START = 'rollout_'
_LINE_START = 'ts='
_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log.

    Attributes
    ----------
    index
        Index of the line among the lines of all files, from 0.
    process
        Name of the process that wrote it, empty if missing.
    event
        Name of the event, empty if missing.
    timestamp
        When it was written, by the clock of its process (Unix seconds).
    fields
        Values of all fields, by key.
    """

    index: int
    process: str
    event: str
    timestamp: float
    fields: dict[str, str]

    def get(self, key: str) -> str:
        """Return the value of a field, empty if it is missing."""
        return self.fields.get(key, '')


def parse_lines(texts: Iterable[str]) -> list[LogLine]:
    """Return the log lines among lines of text, in the same order.

    A prefix that a log collector added to a line is ignored, and so is any text
    that isn't a log line.
    """
    parsed = (_parse_line(index, text) for index, text in enumerate(texts))
    return [line for line in parsed if line is not None]


def count_outcomes(
    lines: Sequence[LogLine], interval_seconds: float
) -> dict[int, Counter[str]]:
    """Return the number of requests by outcome for each interval.

    Intervals are counted from the first line. Timestamps of different processes
    are compared here, so where clocks differ a request may be counted in a
    neighbouring interval.
    """
    counts: dict[int, Counter[str]] = {}
    start = min((line.timestamp for line in lines), default=0)
    for line in lines:
        if line.event in OUTCOMES:
            interval = int((line.timestamp - start) / interval_seconds)
            reason = line.get('kind') or line.get('status')
            outcome = f'{line.event}:{reason}' if reason else line.event
            counts.setdefault(interval, Counter())[outcome] += 1
    return counts


def list_rollout_lines(lines: Sequence[LogLine], service: str) -> list[LogLine]:
    """Return the lines about the roll-out of a service, by process."""
    about = [
        line
        for line in lines
        if line.event.startswith(_ROLLOUT_EVENT_START)
        and line.get('service') == service
    ]
    return sorted(about, key=lambda line: (line.process, line.index))


def _parse_line(index: int, text: str) -> LogLine | None:
    start = text.find(_LINE_START)
    if start < 0:
        return None
    fields = {
        key: value.strip('"') for key, value in _FIELD.findall(text[start:])
    }
    try:
        timestamp = datetime.fromisoformat(fields['ts']).timestamp()
    except (KeyError, ValueError):
        return None
    process = fields.get('process', '')
    return LogLine(index, process, fields.get('event', ''), timestamp, fields)
