"""Limits that back ends name for the calls of all entries together."""

from .backendset import Backend
from .clock import Clock
from .logs import log_decision

__all__ = ('CallLimits',)


class CallLimits:
    """Keeps what each back end says of its limit."""

    def __init__(self, clock: Clock) -> None:
        """Start without limits."""
        self._clock = clock

    def note_answer(
        self, backend: Backend, rate: float | None, sent_at: float
    ) -> None:
        """Note what a back end's answer says.

        Parameters
        ----------
        backend
            The back end that answered.
        rate
            Calls a second, None for no limit.
        sent_at
            When the call was sent, in monotonic seconds.
        """
        limit = backend.call_limit
        # Answers may overtake each other: only one to a call that was sent
        # after the limit was heard of can show that it is over.
        if rate is None and sent_at <= limit.heard_at:
            return
        before = limit.rate
        if limit.take(rate, self._clock.monotonic()):
            log_decision(
                'limit_lifted' if rate is None else 'limit_named',
                endpoint=backend.name,
                rate=rate,
                before=before,
            )
