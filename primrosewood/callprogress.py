"""Progress of a direct call through its sends and its answer."""

from dataclasses import dataclass, field

from .directcalls import AnswerFraming, DirectCall
from .events import StreamOrder
from .unreadsends import UnreadSend

__all__ = ('CallProgress',)


@dataclass(slots=True)
class CallProgress:
    """State of one call in progress.

    Attributes
    ----------
    sends
        Times that the call was sent to a back end.
    retries
        Retries that were taken for the call.
    unread
        Sends that were given up before a back end answered them.
    held
        Number of its retries that count until such a send is settled.
    possible_runs
        Number of back ends that may have run the call.
    failed_backends
        Names of the back ends that refused the call or failed on it.
    order
        Event numbers of the stream, across all of its back ends.
    answer_begun
        Whether part of the answer was sent to the caller.
    head_received
        Whether the last back end has begun a successful answer.
    framing
        What marks the end of the answer of the last back end.
    survived_events
        Events of its answer as it was last recorded how far that has come.
    first_event
        Seconds from the arrival to the first event sent to the caller, None
        before.
    longest_pause
        Most seconds between two events sent to the caller.
    pause_after
        Number of the event before the longest pause.
    """

    call: DirectCall
    sends: int = 0
    retries: int = 0
    unread: list[UnreadSend] = field(default_factory=list)
    held: int = 0
    possible_runs: int = 0
    failed_backends: set[str] = field(default_factory=set)
    order: StreamOrder = field(default_factory=StreamOrder)
    answer_begun: bool = False
    head_received: bool = False
    framing: AnswerFraming | None = None
    survived_events: int = 0
    first_event: float | None = None
    longest_pause: float = 0
    pause_after: int | None = None
    _last_event_at: float = 0
    _last_event: int | None = None

    @property
    def broke_off_at_begin(self) -> bool:
        """Whether an answer began and broke off before its first event."""
        return self.head_received and self.order.last is None

    def silence(self, now: float) -> float | None:
        """Return seconds since the last event was sent, None before one."""
        return None if self.first_event is None else now - self._last_event_at

    def record_event(self, now: float) -> None:
        """Record that events are sent to the caller."""
        pause = self.silence(now)
        if pause is None:
            self.first_event = now - self.call.arrived
        elif pause > self.longest_pause:
            self.longest_pause = pause
            self.pause_after = self._last_event
        self._last_event_at = now
        self._last_event = self.order.last
