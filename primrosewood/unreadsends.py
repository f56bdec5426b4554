"""Retries of calls of which a back end may still read an earlier send.

A back end that is stopped, or behind a link that loses packets, reads a call
seconds after it was sent, also one whose connection was closed meanwhile.  It
reads calls in about the order in which they were sent, so one that answers a
later call has read the earlier ones.
"""

from collections.abc import Callable
from dataclasses import dataclass

from .backendstate import Backend

__all__ = ('HeldRetries', 'UnreadSend')

# Processes are rarely suspended, and links rarely cut, for longer.
_MAX_DELAY_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class UnreadSend:
    """A send that was given up before the back end answered it.

    Attributes
    ----------
    backend
        None if it was sent by the process that ran here before.
    sent_at
        Monotonic seconds.
    """

    backend: Backend | None
    sent_at: float


class HeldRetries:
    """Retries of one service that count until an earlier send is settled."""

    def __init__(self) -> None:
        """Start without retries."""
        self._unread: list[UnreadSend] = []

    def __len__(self) -> int:
        """Return the number of retries that are held."""
        return len(self._unread)

    def add(self, unread: UnreadSend) -> None:
        """Hold a retry until a send is settled."""
        self._unread.append(unread)

    def settle(self, backend: Backend, sent_at: float) -> int:
        """Release the retries of earlier sends to a back end that answers.

        Parameters
        ----------
        sent_at
            When the answered call was sent, in monotonic seconds.

        Returns
        -------
        int
            Number of retries released.
        """
        return self._release(
            lambda unread: (
                unread.backend is backend and unread.sent_at <= sent_at
            )
        )

    def expire(self, now: float) -> int:
        """Release retries whose send is too old to be read; return how many."""
        cutoff = now - _MAX_DELAY_SECONDS
        return self._release(lambda unread: unread.sent_at < cutoff)

    def _release(self, is_settled: Callable[[UnreadSend], bool]) -> int:
        before = len(self._unread)
        self._unread = [each for each in self._unread if not is_settled(each)]
        return before - len(self._unread)
