"""Tracks the attempts of an endpoint, so that none runs twice."""

from collections import OrderedDict
from enum import StrEnum

from .jobs import GenerationJob, Job

__all__ = ('AttemptState', 'AttemptTracker')


class AttemptState(StrEnum):
    """State of an attempt at this endpoint.

    Attributes
    ----------
    kept
        Its work is running, or its answer is kept.
    refused
        It was refused and must never run here.
    ran
        It ran; its answer was discarded.
    never_seen
        It has no record here (it may be queued), and no record of an ended
        attempt with an idempotency key was evicted.
    forgotten
        It has no record here, but may be an ended attempt with an
        idempotency key whose record was evicted.
    """

    kept = 'kept'
    refused = 'refused'
    ran = 'ran'
    never_seen = 'never_seen'
    forgotten = 'forgotten'


class AttemptTracker:
    """Attempts that are running, kept, refused, or ended and discarded.

    Parameters
    ----------
    max_remembered
        Maximum number of refused attempts, of discarded keyed attempts, and of
        attempts whose answers were discarded unread, that are remembered.
    """

    def __init__(self, max_remembered: int) -> None:
        """Start without attempts."""
        self._max_remembered = max_remembered
        self._jobs: dict[str, Job] = {}
        self._generations: dict[str, GenerationJob] = {}
        self._refused: OrderedDict[str, None] = OrderedDict()
        self._ran: OrderedDict[str, None] = OrderedDict()
        self._unread: OrderedDict[str, None] = OrderedDict()
        self._has_forgotten = False

    @property
    def jobs(self) -> list[Job]:
        """All running and kept work, oldest first."""
        return list(self._jobs.values())

    def find_state(self, attempt: str) -> AttemptState:
        """Return the state of an attempt."""
        if attempt in self._jobs:
            return AttemptState.kept
        if attempt in self._refused:
            return AttemptState.refused
        if attempt in self._ran or attempt in self._unread:
            return AttemptState.ran
        # Once the record of an ended keyed attempt was evicted, an unknown
        # attempt may be that one and can no longer be reported as never seen.
        return (
            AttemptState.forgotten
            if self._has_forgotten
            else AttemptState.never_seen
        )

    def find(self, attempt: str) -> Job | None:
        """Return the work of an attempt."""
        return self._jobs.get(attempt)

    def find_generation(self, generation: str) -> GenerationJob | None:
        """Return the work of a generation."""
        return self._generations.get(generation)

    def add(self, job: Job) -> None:
        """Add work that is about to run."""
        self._jobs[job.offer.attempt] = job
        if isinstance(job, GenerationJob):
            self._generations[job.generation] = job

    def refuse(self, attempt: str) -> None:
        """Record that an attempt must never run here.

        A delayed duplicate of its offer is refused as well, so that a
        reported "not run" stays true.
        """
        self._refused[attempt] = None
        if len(self._refused) > self._max_remembered:
            self._refused.popitem(last=False)

    def discard_not_run(self, job: Job) -> None:
        """Remove work that the back end did not run, and refuse its attempt."""
        self._remove(job)
        self.refuse(job.offer.attempt)

    def retire(self, job: Job) -> None:
        """Discard an ended answer.

        An attempt with an idempotency key is remembered as run, and so is one
        whose answer was not read: its entry may have lost the connection, and
        asks again within the deadline of the request.
        """
        self._remove(job)
        if not job.keyed:
            self._remember_unread(job)
            return
        self._ran[job.offer.attempt] = None
        if len(self._ran) > self._max_remembered:
            self._ran.popitem(last=False)
            self._has_forgotten = True

    def _remember_unread(self, job: Job) -> None:
        if job.delivered:
            return
        self._unread[job.offer.attempt] = None
        if len(self._unread) > self._max_remembered:
            self._unread.popitem(last=False)

    def _remove(self, job: Job) -> None:
        self._jobs.pop(job.offer.attempt, None)
        if isinstance(job, GenerationJob):
            self._generations.pop(job.generation, None)
