"""Finding an attempt again whose connection was lost."""

from .attempt import Attempt
from .errors import (
    DoubtError,
    ErrorKind,
    NotRunError,
    RequestFailedError,
)
from .progress import Progress, EntryContext

__all__ = ('Recovery',)


class Recovery:
    """Asks an endpoint for what it did while nobody listened."""

    def __init__(self, tools: EntryContext, progress: Progress) -> None:
        """Take the request's progress."""
        self._tools = tools
        self._progress = progress

    async def recover(self, attempt: Attempt) -> bool:
        """Ask what became of an attempt.

        Returns
        -------
        bool
            True when the attempt is followed again, False when it is now
            certain that it never runs.

        Raises
        ------
        RequestFailedError
            ``outcome_unknown`` when the endpoint cannot be asked or does not
            know.
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
        until = self._tools.clock.monotonic()
        until += self._tools.settings.timing.resume_seconds
        while self._tools.clock.monotonic() < until:
            if await self._resume_once(attempt):
                self._tools.metrics.count('resumes')
                return
        raise RequestFailedError(ErrorKind.generation_lost)

    async def return_to(self, attempt: Attempt, error: DoubtError) -> None:
        """Find an attempt again in mid-answer, or raise what ends it.

        An attempt that has handed nothing on and may be repeated is not
        waited for: a fresh one elsewhere serves its caller sooner.
        """
        progress = self._progress
        if progress.may_repeat and not self._worth_waiting(attempt):
            raise error
        if attempt.generation:
            await self.reattach(attempt)
        elif not await self.recover(attempt):
            raise progress.refusal

    def _worth_waiting(self, attempt: Attempt) -> bool:
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
            self._tools.settings.timing.resume_seconds,
            self._tools.seconds_left(self._progress.request),
        )
        return await attempt.client.wait_linked(max(0, seconds))
