"""Shared dependencies of request handling, and the state of one request."""

from dataclasses import dataclass, field

from .attempt import Attempt
from .claimrouter import ClaimRouter
from .clock import Clock, RandomSource
from .errors import NotRunError
from .fleet import Fleet
from .gen_process import ProcessSettings
from .linkpool import LinkPool
from .metrics import Metrics
from .requests import Request
from .retries import RetryBudget
from .routing import Policy
from .settings import SettingsStore

__all__ = ('EntryContext', 'Progress')


@dataclass(frozen=True, slots=True)
class EntryContext:
    """The dependencies that all requests of an entry share."""

    settings: ProcessSettings
    signing_key: str
    store: SettingsStore
    fleet: Fleet
    links: LinkPool
    claims: ClaimRouter
    policy: Policy
    clock: Clock
    random: RandomSource
    metrics: Metrics

    def seconds_left(self, request: Request) -> float:
        """Return the time until a request's deadline."""
        return request.deadline - self.clock.monotonic()


@dataclass(slots=True)
class Progress:
    """The state of one request.

    Attributes
    ----------
    request
        The request.
    budget
        Retry budget of its service.
    tried
        Names of the endpoints that refused it, or whose attempt of it broke
        off.
    attempts
        Number of attempts made.
    current
        The latest attempt.
    refusal
        The last refusal that proves that an attempt did not run.
    in_doubt
        Whether an attempt ended without a known outcome.
    deadline_passed
        Whether its deadline has passed.
    resumed
        Whether it continues a stream that an earlier request began.
    complete
        Whether its whole answer has arrived.
    """

    request: Request
    budget: RetryBudget
    tried: set[str] = field(default_factory=set)
    attempts: int = 0
    current: Attempt | None = None
    refusal: NotRunError | None = None
    in_doubt: bool = False
    deadline_passed: bool = False
    resumed: bool = False
    complete: bool = False

    @property
    def may_repeat(self) -> bool:
        """Whether another attempt may follow one of unknown outcome."""
        has_key = bool(self.request.key)
        return self.request.repeatable and not has_key and not self.resumed

    @property
    def has_partial_answer(self) -> bool:
        """Whether the caller has received part of a streamed answer."""
        attempt = self.current
        if attempt is None or not self.request.streamed:
            return False
        return attempt.cursor.offset > 0
