"""How far a direct call has come."""

from dataclasses import dataclass, field

from .directcalls import DirectCall
from .events import StreamOrder

__all__ = ('CallProgress',)


@dataclass(slots=True)
class CallProgress:
    """One call on its way.

    Attributes
    ----------
    ran
        Back ends that may have run it.
    refused
        Back ends that did not take it, or failed.
    begun
        Whether part of the answer was handed on.
    others
        Back ends that could have been chosen in place of the last one.
    first_event, longest_pause
        Seconds from the arrival to the first event handed on, and between two
        of them.
    """

    call: DirectCall
    sends: int = 0
    ran: int = 0
    refused: set[str] = field(default_factory=set)
    order: StreamOrder = field(default_factory=StreamOrder)
    begun: bool = False
    others: int = 0
    first_event: float | None = None
    longest_pause: float = 0
    _event_at: float = 0

    def record_event(self, now: float) -> None:
        """Note that events are handed on."""
        if self.first_event is None:
            self.first_event = now - self.call.arrived
        else:
            pause = now - self._event_at
            self.longest_pause = max(self.longest_pause, pause)
        self._event_at = now
