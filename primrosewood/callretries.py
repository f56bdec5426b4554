"""Retries of single calls, taken from the budget of their service."""

from collections.abc import Callable

from .backendstate import Backend
from .callprogress import CallProgress
from .retrybudgets import RetryBudgets
from .unreadsends import UnreadSend

__all__ = ('CallRetries',)


class CallRetries:
    """Takes retries for calls, and follows which of their sends may be read.

    Where one of a call's sends was given up without an answer, both that send
    and its retry may arrive, in any order.
    """

    def __init__(
        self, budgets: RetryBudgets, monotonic: Callable[[], float]
    ) -> None:
        """Take retries from budgets.

        Parameters
        ----------
        monotonic
            Returns monotonic seconds.
        """
        self._budgets = budgets
        self._monotonic = monotonic

    def any_left(self, progress: CallProgress) -> bool:
        """Return whether a retry is left for a call."""
        return self._budgets.allows(progress.call, self._monotonic())

    def take(self, progress: CallProgress, resumes: bool = False) -> bool:
        """Take one retry for a call; return False if none is left.

        Parameters
        ----------
        resumes
            Whether a moved stream is resumed.
        """
        allowed = self._budgets.spend(progress.call, self._monotonic(), resumes)
        if allowed:
            progress.retries += 1
            self._hold(progress)
        return allowed

    def record_unread(
        self, progress: CallProgress, backend: Backend, sent_at: float
    ) -> None:
        """Record a send that was given up before the back end answered it."""
        progress.unread.append(UnreadSend(backend, sent_at))
        self._hold(progress)

    def record_answer(self, backend: Backend, sent_at: float) -> None:
        """Record that a back end has answered a call sent at a time."""
        self._budgets.settle(backend, sent_at, self._monotonic())

    def _hold(self, progress: CallProgress) -> None:
        """Hold a retry for each unread send, as long as there are both."""
        while progress.held < min(progress.retries, len(progress.unread)):
            unread = progress.unread[progress.held]
            self._budgets.hold(progress.call, unread, self._monotonic())
            progress.held += 1
