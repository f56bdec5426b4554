"""Lines of logs, read back."""

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
    'parse_lines',
)

# Events that end a request.
OUTCOMES = frozenset(('answered', 'call_failed', 'refused', 'caller_left'))
# Why a call ended when its process did.
PROCESS_STOPPED = 'this process stopped'
_LINE_START = 'ts='
_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log.

    Attributes
    ----------
    place
        Number of the line among all lines, from 0.
    seconds
        When it was written, by its own process's clock (Unix seconds).
    """

    place: int
    process: str
    event: str
    seconds: float
    pairs: dict[str, str]

    def read(self, name: str) -> str:
        """Return the value of a pair, empty when it is missing."""
        return self.pairs.get(name, '')


def parse_lines(texts: Iterable[str]) -> list[LogLine]:
    """Return the log lines among some lines of text, in their order.

    What collectors put in front of a line is left out.
    """
    parsed = (_parse(place, text) for place, text in enumerate(texts))
    return [line for line in parsed if line is not None]


def count_outcomes(
    lines: Sequence[LogLine], seconds: float
) -> dict[int, Counter[str]]:
    """Return how requests ended, by spans of time since the first line.

    Spans are for a look over a run: lines of processes whose clocks differ may
    be one span off.
    """
    counted: dict[int, Counter[str]] = {}
    first = min((line.seconds for line in lines), default=0)
    for line in lines:
        if line.event in OUTCOMES:
            span = int((line.seconds - first) / seconds)
            reason = line.read('kind') or line.read('status')
            name = f'{line.event}:{reason}' if reason else line.event
            counted.setdefault(span, Counter())[name] += 1
    return counted


def _parse(place: int, text: str) -> LogLine | None:
    start = text.find(_LINE_START)
    if start < 0:
        return None
    pairs = {
        name: shown.strip('"') for name, shown in _PAIR.findall(text[start:])
    }
    try:
        written = datetime.fromisoformat(pairs['ts']).timestamp()
    except (KeyError, ValueError):
        return None
    process = pairs.get('process', '')
    return LogLine(place, process, pairs.get('event', ''), written, pairs)
