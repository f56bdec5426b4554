"""Recovers attempts whose connection to the endpoint was lost."""

from .attempt import Attempt
from .errors import (
    DoubtError,
    ErrorKind,
    NotRunError,
    RequestFailedError,
)
from .progress import EntryContext, Progress

__all__ = ('Recovery',)


class Recovery:
    """Asks an endpoint for the outcome or the rest of a request's attempt."""

    def __init__(self, context: EntryContext, progress: Progress) -> None:
        """Bind to the state of one request."""
        self._context = context
        self._progress = progress

    async def recover(self, attempt: Attempt) -> bool:
        """Ask the endpoint about the state of an attempt.

        Returns
        -------
        bool
            True when the attempt runs or has run and its answer is received
            again, False when it is certain that it never runs.

        Raises
        ------
        RequestFailedError
            ``outcome_unknown`` when the endpoint cannot be reached or does
            not know the attempt.
        """
        if not await self._wait_linked(attempt):
            raise RequestFailedError(ErrorKind.outcome_unknown)
        attempt.fetch()
        try:
            await attempt.await_admission()
        except NotRunError as error:
            attempt.close()
            self._progress.refusal = error
            return False
        except DoubtError as error:
            raise RequestFailedError(ErrorKind.outcome_unknown) from error
        return True

    async def reattach(self, attempt: Attempt) -> None:
        """Resume a generation after the last token received.

        Raises
        ------
        RequestFailedError
            ``generation_lost`` when the endpoint cannot be reached in time.
        """
        give_up_at = self._context.clock.monotonic()
        give_up_at += self._context.settings.timing.resume_seconds
        while self._context.clock.monotonic() < give_up_at:
            if await self._resume_once(attempt):
                self._context.metrics.count('resumes')
                return
        raise RequestFailedError(ErrorKind.generation_lost)

    async def recover_answer(self, attempt: Attempt, error: DoubtError) -> None:
        """Recover an attempt whose answer was interrupted, or raise an error.

        An attempt that may be repeated and has received no token is not
        waited for: a new attempt at another endpoint answers sooner.
        """
        progress = self._progress
        if progress.may_repeat and not self._has_received_tokens(attempt):
            raise error
        if attempt.generation:
            await self.reattach(attempt)
        elif not await self.recover(attempt):
            raise progress.refusal

    def _has_received_tokens(self, attempt: Attempt) -> bool:
        return bool(attempt.generation) and attempt.cursor.offset > 0

    async def _resume_once(self, attempt: Attempt) -> bool:
        if not await self._wait_linked(attempt):
            return False
        attempt.resume()
        try:
            await attempt.await_admission()
        except DoubtError:
            return False
        return True

    async def _wait_linked(self, attempt: Attempt) -> bool:
        attempt.close()
        seconds = min(
            self._context.settings.timing.resume_seconds,
            self._context.seconds_left(self._progress.request),
        )
        return await attempt.client.wait_linked(max(0, seconds))
