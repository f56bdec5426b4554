"""Admission control of an endpoint.

An attempt starts at once, waits a bounded time in the queue, or is refused.
"""

from dataclasses import dataclass

from .clock import Clock
from .errors import ErrorKind, NotRunError
from .fairness import FairQueue, QueuedRequest
from .gen_wire import Load
from .memory import MemoryReservation, MemoryTracker
from .outputlengths import LengthPredictor
from .warmup import ConcurrencyLimit, ConcurrencyTargets

__all__ = ('Admission', 'AdmissionRequest')

_DURATION_SMOOTHING = 0.1
_MAX_CANDIDATES = 8
_MIN_RETRY_SECONDS = 0.25
_MAX_RETRY_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """An attempt that asks for admission.

    Attributes
    ----------
    name
        Identifier of the attempt.
    organisation, share
        Organisation that sent the request, and its weight in the fair queue.
    kind, template
        Kind of request and digest of the beginning of its prompt; they
        select the group for length prediction.
    prompt_tokens, max_output_tokens
        Tokens of the prompt, and the maximum number of output tokens.
    max_queue_seconds
        Maximum time in the queue, in seconds.
    seconds_left
        Seconds until the deadline of the request.
    """

    name: str
    organisation: str
    share: float
    kind: str
    template: str
    prompt_tokens: int
    max_output_tokens: int
    max_queue_seconds: float
    seconds_left: float

    @property
    def group(self) -> tuple[str, ...]:
        """Group for length prediction, coarsest part first."""
        return (self.kind, self.organisation, self.template)


class Admission:
    """Concurrency limit, memory and fair queue of one endpoint.

    It does no I/O.
    """

    def __init__(
        self,
        clock: Clock,
        targets: ConcurrencyTargets,
        queue_length: int,
        capacity: int,
    ) -> None:
        """Start with the limit of a cold engine and no requests.

        Parameters
        ----------
        clock
            Source of monotonic time.
        targets
            Bounds and latency targets of the concurrency limit.
        queue_length
            Maximum number of waiting requests.
        capacity
            The engine's memory in tokens, 0 when it is unknown.
        """
        self._clock = clock
        self.limit = ConcurrencyLimit(targets)
        self.lengths = LengthPredictor()
        self.memory = MemoryTracker(capacity, self.lengths)
        self.queue = FairQueue(queue_length)
        self._running: dict[str, AdmissionRequest] = {}
        self._requests: dict[str, AdmissionRequest] = {}
        self._started_at: dict[str, float] = {}
        self._mean_seconds = 0.0

    @property
    def running(self) -> int:
        """Number of running requests."""
        return len(self._running)

    @property
    def retry_seconds(self) -> float:
        """Seconds until a refused request may retry, from the drain rate."""
        return min(
            _MAX_RETRY_SECONDS, max(_MIN_RETRY_SECONDS, self._estimate_wait())
        )

    def load(self, leaving: bool = False, refusing: bool = False) -> Load:
        """Return the load that is reported to the entries."""
        return Load(
            running=self.running,
            queued=len(self.queue),
            limit=self.limit.limit,
            memory=self.memory.permille,
            leaving=leaving,
            refusing=refusing,
        )

    def offer(self, request: AdmissionRequest) -> bool:
        """Start a request or queue it.

        Returns
        -------
        bool
            True when it was started, False when it waits.

        Raises
        ------
        NotRunError
            ``overloaded`` when the queue has no place left for the
            organisation, ``deadline_unmeetable`` when the request could
            not start in time.
        """
        if not len(self.queue) and self._fits(request):
            self._start(request)
            return True
        if not self.queue.may_wait(request.organisation):
            raise NotRunError(
                ErrorKind.overloaded, retry_seconds=self.retry_seconds
            )
        if request.max_queue_seconds < self._estimate_wait():
            raise NotRunError(
                ErrorKind.deadline_unmeetable, retry_seconds=self.retry_seconds
            )
        self._enqueue(request)
        return False

    def adopt(self, request: AdmissionRequest) -> None:
        """Count a request that runs at the engine already."""
        self._start(request)

    def admit_waiting(self) -> list[AdmissionRequest]:
        """Start all waiting requests that fit now, and return them."""
        started = []
        request = self._find_next_fitting()
        while request is not None:
            self.queue.remove(request.name)
            self._start(request)
            started.append(request)
            request = self._find_next_fitting()
        return started

    def expire(self) -> list[AdmissionRequest]:
        """Remove and return the requests that have waited too long."""
        expired = self.queue.expire(self._clock.monotonic())
        return [self._requests.pop(waiting.name) for waiting in expired]

    def drain(self) -> list[AdmissionRequest]:
        """Remove and return all waiting requests."""
        return [
            self._requests.pop(waiting.name) for waiting in self.queue.drain()
        ]

    def withdraw(self, name: str) -> bool:
        """Remove a waiting request; return False when it does not wait."""
        if self.queue.remove(name) is None:
            return False
        self._requests.pop(name)
        return True

    def record_tokens(self, name: str, produced: int, added: int) -> None:
        """Record the tokens that a running request has produced.

        Parameters
        ----------
        name
            Identifier of the attempt.
        produced
            Tokens produced so far.
        added
            Tokens produced since the last call.
        """
        self.memory.grow(name, produced)
        request = self._running.get(name)
        if request is not None:
            self.queue.charge(request.organisation, request.share, added)

    def finish(self, name: str, produced: int, whole: bool) -> None:
        """Release a running request.

        Parameters
        ----------
        name
            Identifier of the attempt.
        produced
            Tokens it produced.
        whole
            Whether the generation is complete; only then is its length
            recorded for predictions.
        """
        request = self._running.pop(name, None)
        self._requests.pop(name, None)
        self.memory.remove(name)
        if request is None:
            return
        if whole:
            self.lengths.observe(request.group, produced)
        self._record_duration(self._started_at.pop(name))

    def _estimate_wait(self) -> float:
        """Return the seconds that a newly queued request would wait.

        On average, as many requests as the limit allows end within the mean
        duration of a request. The estimate is 0 until the first one has
        ended.
        """
        position = len(self.queue) + 1
        return position * self._mean_seconds / max(1, self.limit.limit)

    def _find_next_fitting(self) -> AdmissionRequest | None:
        """Return the request to start next, None when none may start.

        Smaller requests that fit overtake one that does not: the memory
        they take is too small for it, and its priority rises as its deadline
        approaches.
        """
        if self.running >= self.limit.limit:
            return None
        now = self._clock.monotonic()
        for waiting in self.queue.candidates(now, _MAX_CANDIDATES):
            request = self._requests[waiting.name]
            if self._fits(request):
                return request
        return None

    def _fits(self, request: AdmissionRequest) -> bool:
        if self.running >= self.limit.limit:
            return False
        return self.memory.fits(_make_reservation(request))

    def _start(self, request: AdmissionRequest) -> None:
        self._running[request.name] = request
        self._started_at[request.name] = self._clock.monotonic()
        self._requests[request.name] = request
        self.memory.add(request.name, _make_reservation(request))
        self.queue.charge(
            request.organisation, request.share, request.prompt_tokens
        )

    def _enqueue(self, request: AdmissionRequest) -> None:
        now = self._clock.monotonic()
        expected_tokens = self.lengths.predict(request.group, 0).remaining
        self._requests[request.name] = request
        self.queue.push(
            QueuedRequest(
                name=request.name,
                organisation=request.organisation,
                share=request.share,
                expected_tokens=min(expected_tokens, request.max_output_tokens),
                queued_at=now,
                latest_start=now + request.max_queue_seconds,
                deadline=now + request.seconds_left,
            )
        )

    def _record_duration(self, started_at: float) -> None:
        seconds = self._clock.monotonic() - started_at
        if not self._mean_seconds:
            self._mean_seconds = seconds
        self._mean_seconds += _DURATION_SMOOTHING * (
            seconds - self._mean_seconds
        )


def _make_reservation(request: AdmissionRequest) -> MemoryReservation:
    return MemoryReservation(
        group=request.group,
        prompt=request.prompt_tokens,
        max_output_tokens=request.max_output_tokens,
    )
