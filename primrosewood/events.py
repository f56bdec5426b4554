"""Server-sent events of one stream, cut at their ends and kept in order."""

from .errors import WireError

__all__ = ('EventSplitter', 'StreamOrder', 'read_event_id')

_EVENT_END = b'\n\n'
_ID_FIELD = b'id:'
_LONGEST_EVENT = 1_048_576


class EventSplitter:
    """Gathers bytes into whole events.

    An engine that dies cuts its stream anywhere.  Half an event that was
    handed on cannot be taken back, and the engine that goes on would send
    that event again; so only whole events leave.
    """

    def __init__(self) -> None:
        """Start between two events."""
        self._rest = b''

    @property
    def rest(self) -> bytes:
        """What came after the last whole event."""
        return self._rest

    def feed(self, chunk: bytes) -> list[bytes]:
        """Return the events that a chunk completes, each with its end.

        Raises
        ------
        WireError
            An event is longer than any engine makes.
        """
        *events, self._rest = (self._rest + chunk).split(_EVENT_END)
        if len(self._rest) > _LONGEST_EVENT:
            raise WireError('an event is too long')
        return [event + _EVENT_END for event in events]


def read_event_id(event: bytes) -> int | None:
    """Return the number in an event's id field, None without one."""
    for line in event.split(b'\n'):
        if line.startswith(_ID_FIELD):
            digits = line[len(_ID_FIELD) :].strip()
            return int(digits) if digits.isdigit() else None
    return None


class StreamOrder:
    """Lets each numbered event of one stream pass once and in order."""

    def __init__(self) -> None:
        """Start before the first event."""
        self._last: int | None = None

    @property
    def last(self) -> int | None:
        """Number of the last event that passed."""
        return self._last

    def accept(self, event: bytes) -> bool:
        """Tell whether an event may pass; False for a repeat.

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
