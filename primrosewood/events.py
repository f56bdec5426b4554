"""Server-sent events of one stream: splitting, numbering and order."""

import re
from itertools import pairwise

from .errors import WireError

__all__ = ('EventSplitter', 'StreamOrder', 'read_event_id')

# An empty line, after any line end.  The CR of a line that ends in CR LF may
# arrive before its LF.
_EVENT_END = re.compile(
    rb'\n\n|\r\n\r\n|\r\r(?!\n)|\n\r\n|\r\n\n|\r\r\n',
)
_MAX_END_BYTES = 4
_ID_FIELD = b'id:'
_MAX_ID_DIGITS = 18
_MAX_EVENT_BYTES = 1_048_576


class EventSplitter:
    """Splits a byte stream into complete events.

    The stream of an engine that dies may end inside an event.  Part of an
    event that was forwarded cannot be withdrawn, and the engine that resumes
    the stream sends the whole event again; so only complete events are
    returned.
    """

    def __init__(self) -> None:
        """Start at the beginning of an event."""
        self._rest = b''

    @property
    def rest(self) -> bytes:
        """Bytes after the last complete event."""
        return self._rest

    def feed(self, chunk: bytes) -> list[bytes]:
        """Return the events that a chunk completes, with their delimiters.

        Raises
        ------
        WireError
            An event exceeds the greatest length.
        """
        received = self._rest + chunk
        # The rest has no end of an event, and may be searched very often.
        start = max(0, len(self._rest) - _MAX_END_BYTES + 1)
        ends = _EVENT_END.finditer(received, start)
        edges = [0, *(match.end() for match in ends)]
        self._rest = received[edges[-1] :]
        if len(self._rest) > _MAX_EVENT_BYTES:
            raise WireError('an event is too long')
        return [received[start:end] for start, end in pairwise(edges)]


def read_event_id(event: bytes) -> int | None:
    """Return the number in an event's id field, None if it has none.

    Raises
    ------
    WireError
        The number is too large to count from.
    """
    for line in event.splitlines():
        if line.startswith(_ID_FIELD):
            digits = line[len(_ID_FIELD) :].strip()
            if not digits.isdigit():
                return None
            if len(digits) > _MAX_ID_DIGITS:
                raise WireError(f'an event id of {len(digits)} digits')
            return int(digits)
    return None


class StreamOrder:
    """Accepts each numbered event of one stream once and in order."""

    def __init__(self) -> None:
        """Start before the first event."""
        self._last: int | None = None

    @property
    def last(self) -> int | None:
        """Number of the last event that was accepted, None before one."""
        return self._last

    def accept(self, event: bytes) -> bool:
        """Return whether an event is new; False for a duplicate.

        Events without a number are always accepted.

        Raises
        ------
        WireError
            Events are missing before this one.
        """
        number = read_event_id(event)
        if number is None:
            return True
        if self._last is None:
            self._last = number
            return True
        if number <= self._last:
            return False
        if number != self._last + 1:
            raise WireError(f'event {number} after {self._last}')
        self._last = number
        return True
