"""Final admission at an endpoint: run now, wait a bounded time, or refuse."""

from dataclasses import dataclass

from .clock import Clock
from .errors import ErrorKind, NotRunError
from .fairness import FairQueue, Waiting
from .gen_wire import Load
from .lengths import LengthPredictor
from .memory import Reservation, MemoryTracker
from .warmup import ConcurrencyLimit, ConcurrencyTargets

__all__ = ('Admission', 'AdmissionRequest')

_DURATION_MEMORY = 0.1
_MOST_PASSED = 8
_SHORTEST_RETRY = 0.25
_LONGEST_RETRY = 30.0


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """What admission knows of an attempt.

    Attributes
    ----------
    name
        The attempt.
    organisation, share
        Whose it is, and that organisation's weight.
    kind, template
        Kind of request, and what its prompt begins with, for length groups.
    prompt_tokens, longest
        Tokens of the prompt, and the most that may be produced.
    patience
        Seconds it may wait.
    seconds_left
        Seconds until its deadline.
    """

    name: str
    organisation: str
    share: float
    kind: str
    template: str
    prompt_tokens: int
    max_output_tokens: int
    patience: float
    seconds_left: float

    @property
    def group(self) -> tuple[str, ...]:
        """Group of lengths, coarsest part first."""
        return (self.kind, self.organisation, self.template)


class Admission:
    """Limit, memory and fair queue of one endpoint, without I/O."""

    def __init__(
        self,
        clock: Clock,
        targets: ConcurrencyTargets,
        queue_length: int,
        capacity: int,
    ) -> None:
        """Start cold, with nothing running.

        Parameters
        ----------
        clock
            Source of monotonic time.
        targets
            What the concurrency limit keeps to.
        queue_length
            Requests that may wait.
        capacity
            The engine's memory in tokens, 0 when it has none to speak of.
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
        """Requests that run."""
        return len(self._running)

    @property
    def retry_seconds(self) -> float:
        """When a refused request may come back, from the drain rate."""
        return min(_LONGEST_RETRY, max(_SHORTEST_RETRY, self._estimate_wait()))

    def load(self, leaving: bool = False, refusing: bool = False) -> Load:
        """Return the load to report."""
        return Load(
            running=self.running,
            queued=len(self.queue),
            limit=self.limit.limit,
            memory=self.memory.permille,
            leaving=leaving,
            refusing=refusing,
        )

    def offer(self, request: AdmissionRequest) -> bool:
        """Admit a request, or let it wait.

        Returns
        -------
        bool
            True when it runs, False when it waits.

        Raises
        ------
        NotRunError
            ``overloaded`` when it may not wait, or could not start in time.
        """
        if not len(self.queue) and self._fits(request):
            self._start(request)
            return True
        if not self.queue.has_room(request.organisation):
            raise NotRunError(
                ErrorKind.overloaded, retry_seconds=self.retry_seconds
            )
        if request.patience < self._estimate_wait():
            raise NotRunError(
                ErrorKind.deadline_unmeetable, retry_seconds=self.retry_seconds
            )
        self._enqueue(request)
        return False

    def adopt(self, request: AdmissionRequest) -> None:
        """Count a request that already runs at the engine."""
        self._start(request)

    def admit_waiting(self) -> list[AdmissionRequest]:
        """Start every waiting request that now fits and return them."""
        started = []
        request = self._next_fitting()
        while request is not None:
            self.queue.remove(request.name)
            self._start(request)
            started.append(request)
            request = self._next_fitting()
        return started

    def expire(self) -> list[AdmissionRequest]:
        """Take out and return the waiting whose time is up."""
        late = self.queue.expire(self._clock.monotonic())
        return [self._requests.pop(waiting.name) for waiting in late]

    def drain(self) -> list[AdmissionRequest]:
        """Take out and return all waiting requests."""
        return [
            self._requests.pop(waiting.name) for waiting in self.queue.drain()
        ]

    def withdraw(self, name: str) -> bool:
        """Take one waiting request out; False when it does not wait."""
        if self.queue.remove(name) is None:
            return False
        self._requests.pop(name)
        return True

    def record_tokens(self, name: str, produced: int, added: int) -> None:
        """Count tokens produced for a running request."""
        self.memory.grow(name, produced)
        request = self._running.get(name)
        if request is not None:
            self.queue.charge(request.organisation, request.share, added)

    def finish(self, name: str, produced: int, whole: bool) -> None:
        """Release a running request.

        Parameters
        ----------
        name
            The attempt.
        produced
            Tokens it produced.
        whole
            Whether it ran to its end, so that its length counts.
        """
        request = self._running.pop(name, None)
        self._requests.pop(name, None)
        self.memory.remove(name)
        if request is None:
            return
        if whole:
            self.lengths.observe(request.group, produced)
        self._note_duration(self._started_at.pop(name))

    def _estimate_wait(self) -> float:
        """Return the time until one more waiting request would start.

        Each of the running ends after the mean duration on average, so the
        queue drains by the limit in that time. Nothing is assumed before the
        first request has ended.
        """
        ahead = len(self.queue) + 1
        return ahead * self._mean_seconds / max(1, self.limit.limit)

    def _next_fitting(self) -> AdmissionRequest | None:
        """Return the request to start next, None when none may start.

        A request that does not fit lets others pass that do: the room they
        take is too small for it, and a nearing deadline brings it forward.
        """
        if self.running >= self.limit.limit:
            return None
        now = self._clock.monotonic()
        for waiting in self.queue.candidates(now, _MOST_PASSED):
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
        expected = self.lengths.predict(request.group, 0).remaining
        self._requests[request.name] = request
        self.queue.push(
            Waiting(
                name=request.name,
                organisation=request.organisation,
                share=request.share,
                expected=min(expected, request.max_output_tokens),
                since=now,
                until=now + request.patience,
                deadline=now + request.seconds_left,
            )
        )

    def _note_duration(self, started_at: float) -> None:
        seconds = self._clock.monotonic() - started_at
        if not self._mean_seconds:
            self._mean_seconds = seconds
        self._mean_seconds += _DURATION_MEMORY * (seconds - self._mean_seconds)


def _make_reservation(request: AdmissionRequest) -> Reservation:
    return Reservation(
        group=request.group,
        prompt=request.prompt_tokens,
        max_output_tokens=request.max_output_tokens,
    )
