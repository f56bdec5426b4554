"""What an entry works with, and how far one request has come."""

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

__all__ = ('Progress', 'EntryContext')


@dataclass(frozen=True, slots=True)
class EntryContext:
    """What the handling of every request works with."""

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
    """How far one request has come.

    Attributes
    ----------
    tried
        Endpoints that refused it or lost it.
    attempts
        Offers made.
    current
        The attempt that is out.
    refusal
        The last definite refusal.
    in_doubt
        Whether an attempt ended without a known outcome.
    late
        Whether its deadline has passed.
    resumed
        Whether it carries on a stream that was begun elsewhere.
    complete
        Whether its whole answer has come.
    """

    request: Request
    budget: RetryBudget
    tried: set[str] = field(default_factory=set)
    attempts: int = 0
    current: Attempt | None = None
    refusal: NotRunError | None = None
    in_doubt: bool = False
    late: bool = False
    resumed: bool = False
    complete: bool = False

    @property
    def may_repeat(self) -> bool:
        """Whether it may run again when its outcome is in doubt."""
        keyed = bool(self.request.key)
        return self.request.repeatable and not keyed and not self.resumed

    @property
    def forwarded(self) -> bool:
        """Whether the caller has part of an answer in hand."""
        attempt = self.current
        if attempt is None or not self.request.streamed:
            return False
        return attempt.cursor.offset > 0
