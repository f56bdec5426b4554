"""Retention of finished answers, and cancelling of orphaned work."""

from .attempts import AttemptTracker
from .clock import Clock
from .gen_process import Limits, Timing
from .jobs import CallJob, Job
from .runner import JobRunner
from .subscribers import SubscriberRegistry

__all__ = ('Retention',)

_RESUME_GRACE_SECONDS = 5.0


class Retention:
    """Discards answers by age and size, and cancels orphaned work."""

    def __init__(
        self,
        attempts: AttemptTracker,
        subscribers: SubscriberRegistry,
        runner: JobRunner,
        clock: Clock,
        limits: Limits,
        timing: Timing,
    ) -> None:
        """Prepare to sweep the work of `attempts`."""
        self._attempts = attempts
        self._subscribers = subscribers
        self._runner = runner
        self._clock = clock
        self._limits = limits
        self._timing = timing

    @property
    def idle(self) -> bool:
        """Whether no answer is awaited any more, so the process may stop."""
        return all(self._is_settled(job) for job in self._attempts.jobs)

    def sweep(self, keep_answer_seconds: float) -> None:
        """Discard finished answers that are too old or exceed the size limit.

        Cancels running work that has had no subscribers for too long.
        """
        now = self._clock.monotonic()
        kept_size = 0
        for job in reversed(self._attempts.jobs):
            if job.ended_at is None:
                self._cancel_orphan(job, now)
                continue
            kept_size += job.size
            expired = (
                now - job.ended_at > keep_answer_seconds or _is_unreachable(job)
            )
            if expired or kept_size > self._find_size_limit(job):
                self._subscribers.remove_job(job)
                self._attempts.retire(job)

    def _find_size_limit(self, job: Job) -> int:
        if isinstance(job, CallJob):
            return self._limits.kept_bytes
        return self._limits.kept_tokens

    def _cancel_orphan(self, job: Job, now: float) -> None:
        # A claim refers to keyed work, so a retry must find its answer.
        if job.orphaned_at is None or job.keyed:
            return
        if now - job.orphaned_at > self._timing.orphan_seconds:
            job.orphaned_at = now
            self._runner.cancel(job)

    def _is_settled(self, job: Job) -> bool:
        if job.ended_at is None:
            return False
        if job.delivered or job.subscribers:
            return job.delivered
        # The connection to the entry was lost; the caller may resume through
        # another entry for a while.
        orphaned_seconds = self._clock.monotonic() - job.orphaned_at
        return orphaned_seconds > _RESUME_GRACE_SECONDS


def _is_unreachable(job: Job) -> bool:
    """Return whether no caller can ask for an answer any more.

    A streamed answer can be resumed by its event ID, and a keyed one can be
    fetched by its key; any other is useless once it was delivered.
    """
    return job.delivered and not job.keyed and not job.offer.streamed
