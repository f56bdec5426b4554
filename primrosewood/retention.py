"""How long an endpoint keeps answers, and whether it may stop."""

from .attempts import AttemptBook
from .clock import Clock
from .gen_process import Limits, Timing
from .jobs import CallJob, Job
from .subscribers import Listeners
from .runner import JobRunner

__all__ = ('Retention',)

_RETURN_SECONDS = 5.0


class Retention:
    """Gives up answers by age and amount, and work that nobody reads."""

    def __init__(
        self,
        attempts: AttemptBook,
        listeners: Listeners,
        runner: JobRunner,
        clock: Clock,
        limits: Limits,
        timing: Timing,
    ) -> None:
        """Take the work that is watched over."""
        self._attempts = attempts
        self._listeners = listeners
        self._runner = runner
        self._clock = clock
        self._limits = limits
        self._timing = timing

    @property
    def idle(self) -> bool:
        """Whether every answer has been handed on."""
        return all(self._is_done(job) for job in self._attempts.jobs)

    def sweep(self, keep_seconds: float) -> None:
        """Give up ended answers that are too old or too many."""
        now = self._clock.monotonic()
        kept = 0
        for job in reversed(self._attempts.jobs):
            if job.ended_at is None:
                self._stop_orphan(job, now)
                continue
            kept += job.size
            too_old = now - job.ended_at > keep_seconds or _is_spent(job)
            if too_old or kept > self._budget(job):
                self._listeners.remove_job(job)
                self._attempts.retire(job)

    def _budget(self, job: Job) -> int:
        if isinstance(job, CallJob):
            return self._limits.kept_bytes
        return self._limits.kept_tokens

    def _stop_orphan(self, job: Job, now: float) -> None:
        # A claim points at keyed work, so a retry must find its answer.
        if job.orphaned_at is None or job.keyed:
            return
        if now - job.orphaned_at > self._timing.orphan_seconds:
            job.orphaned_at = now
            self._runner.cancel(job)

    def _is_done(self, job: Job) -> bool:
        if job.ended_at is None:
            return False
        if job.delivered or job.subscribers:
            return job.delivered
        # Its reader's entry went away; the reader may come by another one.
        alone = self._clock.monotonic() - job.orphaned_at
        return alone > _RETURN_SECONDS


def _is_spent(job: Job) -> bool:
    """Tell whether nobody can ask for an answer any more.

    A streamed one may be resumed by its event id and a keyed one asked for
    under its key; any other is of no use once it was handed on.
    """
    return job.delivered and not job.keyed and not job.offer.streamed
