"""A back end that an entry may call directly, its record and its load."""

from dataclasses import dataclass, field

from .backpressure import Backpressure
from .errors import WireError
from .sharedlimits import CallLimit, ColdLimit

__all__ = ('Backend', 'BackendIdentity', 'BackendRecord', 'EngineState')

# A back end that refused a connection gets no calls for this long while others
# are available; the platform restarts a process in about a second.
_SUSPECT_SECONDS = 1.0
# Weight of the newest call in the failure rate, a moving average over about
# three calls; an average over more would react too slowly, as a suspect back
# end gets few calls.
_NEWEST_WEIGHT = 0.3
# Seconds of suspicion in addition to `_SUSPECT_SECONDS`, per unit of failure
# rate beyond that of a single failure.  If one of three back ends fails 45% of
# its calls for 12 s, an entry loses 3.4 calls with it instead of 5.7 without
# (simulated in tests/test_balancing.py).
_FAILURE_RATE_SECONDS = 12.0
# Engines report at least once a second; an older report is stale.
_MAX_REPORT_AGE_SECONDS = 3.0
# The platform removes the record of a back end that is gone within 3.6 s. One
# that still stands after this long is tried again.
_MISDIRECTED_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class BackendIdentity:
    """One start of one back end.

    An address does not identify a back end: others use it later, also those of
    other services.

    Attributes
    ----------
    boot
        Identifies the start of its process.

    Raises
    ------
    WireError
        One of the fields is empty.
    """

    service: str
    name: str
    boot: int

    def __post_init__(self) -> None:
        """Refuse an identity that could match several back ends."""
        if not (self.service and self.name and self.boot):
            raise WireError(f'incomplete identity of a back end: {self}')


@dataclass(frozen=True, slots=True)
class BackendRecord:
    """A back end's registration in the key-value service.

    Attributes
    ----------
    address
        ``host:port``.
    slots
        Calls that it processes concurrently.
    draining
        Whether it takes no new calls.
    cold_seconds
        Seconds for which it was still cold when it wrote the record.
    boot
        Identifies the start of its process; a restarted process has none of
        the calls of the earlier one under the same name.
    revision
        Store revision of the record; a live back end keeps rewriting it.
    version
        Version of its software; empty if it is not known.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool = False
    cold_seconds: float = 0
    boot: int = 0
    revision: int = field(default=0, compare=False)
    version: str = ''

    @property
    def identity(self) -> BackendIdentity | None:
        """Which start of which back end it is, None if the start is unknown."""
        if not self.boot:
            return None
        return BackendIdentity(self.service, self.name, self.boot)


@dataclass(frozen=True, slots=True)
class EngineState:
    """Load of an engine, as reported by the endpoint process beside it.

    Attributes
    ----------
    running, queued
        Numbers of running and of waiting generations.
    used_tokens, total_tokens
        KV cache memory that cannot be freed, and all of it.
    leaving
        Whether the engine is about to leave.
    unread_tokens
        Prompt tokens whose prefill has not finished.
    generating
        Number of generations that have produced an event.
    token_seconds
        Recent seconds per decoded token, 0 when nothing ran.
    queued_tokens
        Prompt tokens of the waiting generations, which hold no memory yet.
    freed_per_second
        Memory in tokens that ending generations have lately freed each second.
    waited
        Seconds for which the first of the waiting generations has waited for
        its first event.
    """

    running: int = 0
    queued: int = 0
    used_tokens: int = 0
    total_tokens: int = 0
    leaving: bool = False
    unread_tokens: int = 0
    generating: int = 0
    token_seconds: float = 0
    queued_tokens: int = 0
    freed_per_second: float = 0
    waited: float = 0


@dataclass(slots=True, eq=False)
class Backend:
    """One back end, with this entry's calls in flight there.

    Attributes
    ----------
    open_calls, open_tokens
        This entry's calls in flight, and the tokens they are expected to use.
    unread_tokens
        Prompt tokens of this entry's calls that wait for their first event.
    unreported_tokens, unreported_prompts
        Tokens of the calls that began after the last report: in total, and of
        prompts only.
    state
        The engine's last report, None without a recent one.
    leaving
        Whether it was removed, or is known to be leaving from another source
        than its report and record.
    backpressure
        What it has asked of this entry in its answers.
    announced_at
        When it was announced, None once it is registered.
    failure_rate
        Share of its recent calls that got no answer, a moving average.
    misdirected_revision
        Revision of its record when another back end answered at its address,
        -1 if none has.
    unusable_since
        When it was first seen that it may get no new calls, in monotonic
        seconds; None while it may.
    misdirected_at, state_at, suspect_until, cold_until
        Monotonic seconds.
    replaced
        Whether a later start of it is known.
    announces_stops
        Whether the process beside it asks this entry before it stops a run.
    """

    record: BackendRecord
    cold_limit: ColdLimit
    call_limit: CallLimit = field(default_factory=CallLimit)
    backpressure: Backpressure = field(default_factory=Backpressure)
    open_calls: int = 0
    open_tokens: int = 0
    unread_tokens: int = 0
    unreported_tokens: int = 0
    unreported_prompts: int = 0
    state: EngineState | None = None
    state_at: float = 0
    leaving: bool = False
    announced_at: float | None = None
    failure_rate: float = 0
    unusable_since: float | None = None
    misdirected_revision: int = -1
    misdirected_at: float = 0
    suspect_until: float = 0
    cold_until: float = 0
    replaced: bool = False
    announces_stops: bool = False

    @property
    def name(self) -> str:
        """Name under which the back end registers."""
        return self.record.name

    @property
    def stopping(self) -> bool:
        """Whether any source says that it takes no new calls."""
        reported = self.state is not None and self.state.leaving
        stated = self.backpressure.leaving_since is not None
        return self.leaving or reported or stated or self.record.draining

    @property
    def was_announced_to_leave(self) -> bool:
        """Whether it was said before its end that it leaves.

        The process beside an engine that does not answer reports it as leaving.
        """
        reported = (
            self.state is not None
            and self.state.leaving
            and self.state.total_tokens > 0
        )
        stated = self.backpressure.leaving_since is not None
        return reported or stated or self.record.draining

    @property
    def record_is_stale(self) -> bool:
        """Whether another back end, or a later start, has its address.

        After a power failure, records remain until they expire, while newly
        started back ends already use their addresses.
        """
        misdirected = self.misdirected_revision >= self.record.revision
        return misdirected or self.replaced

    @property
    def prefill_backlog(self) -> int:
        """Prompt tokens that the engine prefills before those of a new call."""
        if self.state is None:
            return self.unread_tokens
        reported = self.state.unread_tokens + self.unreported_prompts
        return max(self.unread_tokens, reported)

    @property
    def reserved_tokens(self) -> int:
        """Tokens of all calls that run or wait at the engine.

        The engine's last report includes the calls of other entries; this
        entry's later calls are added to it.  This entry's own calls count in
        any case.
        """
        state = self.state
        if state is None or not state.total_tokens:
            return self.open_tokens
        reported = state.used_tokens + state.queued_tokens
        return max(self.open_tokens, reported + self.unreported_tokens)

    def seconds_until_call(self, now: float) -> float:
        """Return the seconds until it takes a call again, 0 for now."""
        return max(
            self.call_limit.seconds_until_call(now),
            self.backpressure.seconds_until_call(now),
        )

    def report_age(self, now: float) -> float | None:
        """Return seconds since the last report, None without one."""
        return None if self.state is None else now - self.state_at

    def update_state(self, state: EngineState, now: float) -> None:
        """Replace the engine's report by a newer one."""
        self.state_at = now
        self._replace_state(state)

    def drop_stale_state(self, now: float) -> bool:
        """Drop a report that is too old; return whether it was dropped.

        Later calls are added to the last report, so that an engine with a
        stale report would look fuller and fuller.  A report that the engine
        is leaving stays in force, as an engine never revokes its notice.
        """
        expired = now > self.state_at + _MAX_REPORT_AGE_SECONDS
        if self.state is None or not expired or self.state.leaving:
            return False
        self._replace_state(None)
        return True

    def mark_misdirected(self, now: float) -> None:
        """Send no calls there until its record has changed, or for a while."""
        self.misdirected_revision = self.record.revision
        self.misdirected_at = now

    def retry_misdirected(self, now: float) -> None:
        """Allow calls again if its record has stood for long."""
        if now > self.misdirected_at + _MISDIRECTED_SECONDS:
            self.misdirected_revision = -1

    def mark_suspect(self, now: float) -> None:
        """Avoid it for a moment, as it did not accept a call."""
        self.suspect_until = max(self.suspect_until, now + _SUSPECT_SECONDS)

    def record_failure(self, now: float) -> None:
        """Avoid it for a while after a call that got no answer.

        Records and reports do not reveal a back end that fails only some of
        its calls.  The more of its recent calls failed, the longer it is
        avoided.
        """
        self.failure_rate += (1 - self.failure_rate) * _NEWEST_WEIGHT
        extra = (
            max(0, self.failure_rate - _NEWEST_WEIGHT) * _FAILURE_RATE_SECONDS
        )
        self.suspect_until = now + _SUSPECT_SECONDS + extra

    def record_success(self) -> None:
        """Lower the failure rate after a call that was answered."""
        self.failure_rate -= self.failure_rate * _NEWEST_WEIGHT

    def _replace_state(self, state: EngineState | None) -> None:
        # The new report includes the calls that began before it.
        self.state = state
        self.unreported_tokens = 0
        self.unreported_prompts = 0
