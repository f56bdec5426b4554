"""An entry's view of the back ends that it may call directly."""

from collections import OrderedDict
from dataclasses import dataclass, field

from .enginespeed import TOKEN_SECONDS
from .sharedlimits import CallLimit, ColdLimit, EntryCount

__all__ = ('Backend', 'BackendRecord', 'BackendSet', 'EngineState')

# Records that expired during an outage of the key-value service are written
# again within 2 s of its return, as the platform documents; the other 0.3 s
# cover the listing that shows them.
_REWRITE_SECONDS = 2.3
# A removal this long after the service's return may still be of a record that
# expired during the outage, as the service may have returned earlier for other
# clients than for this entry.
_OUTAGE_TAIL_SECONDS = 3.0
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
# Most names of removed back ends that are kept.
_MAX_REMOVED_NAMES = 4096
# Engines report at least twice a second; an older report is stale.
_MAX_REPORT_AGE_SECONDS = 3.0
# Back ends of a failure domain that has just been restored may be cold before
# their own records say so, which are written every 1.2 s.
_RESTORED_COLD_SECONDS = 3.0


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
    """

    running: int = 0
    queued: int = 0
    used_tokens: int = 0
    total_tokens: int = 0
    leaving: bool = False
    unread_tokens: int = 0
    generating: int = 0
    token_seconds: float = 0


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
    announced_at
        When it was announced, None once it is registered.
    failure_rate
        Share of its recent calls that got no answer, a moving average.
    misdirected_revision
        Revision of its record when another back end answered at its address,
        -1 if none has.
    state_at, suspect_until, cold_until
        Monotonic seconds.
    """

    record: BackendRecord
    cold_limit: ColdLimit
    call_limit: CallLimit = field(default_factory=CallLimit)
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
    misdirected_revision: int = -1
    suspect_until: float = 0
    cold_until: float = 0

    @property
    def name(self) -> str:
        """Name under which the back end registers."""
        return self.record.name

    @property
    def stopping(self) -> bool:
        """Whether any source says that it takes no new calls."""
        reported = self.state is not None and self.state.leaving
        return self.leaving or reported or self.record.draining

    @property
    def record_is_stale(self) -> bool:
        """Whether another back end answers at the address of its record.

        After a power failure, records remain until they expire, while newly
        started back ends already use their addresses.
        """
        return self.misdirected_revision >= self.record.revision

    @property
    def prefill_backlog(self) -> int:
        """Prompt tokens that the engine prefills before those of a new call."""
        if self.state is None:
            return self.unread_tokens
        reported = self.state.unread_tokens + self.unreported_prompts
        return max(self.unread_tokens, reported)

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

    def mark_misdirected(self) -> None:
        """Send no calls there until its record is written again."""
        self.misdirected_revision = self.record.revision

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


@dataclass(slots=True)
class _StoreAvailability:
    """When the key-value service last failed and when it recovered.

    Attributes
    ----------
    failed_at, answering_since
        Monotonic seconds.
    """

    failed_at: float = float('-inf')
    answering_since: float = 0
    answering: bool = False


@dataclass(slots=True)
class BackendSet:
    """All back ends that this entry knows.

    Attributes
    ----------
    entries
        Number of entries that share the limits of cold back ends.
    evacuated
        Failure domains that operators have taken out of service.
    """

    entries: EntryCount
    evacuated: frozenset[str] = frozenset()
    _backends: dict[str, Backend] = field(default_factory=dict)
    # Names whose records vanished around an outage; see `remove`.
    _missing: set[str] = field(default_factory=set)
    _removed_names: OrderedDict[str, None] = field(default_factory=OrderedDict)
    _restored_at: dict[str, float] = field(default_factory=dict)
    _store_availability: _StoreAvailability = field(
        default_factory=_StoreAvailability
    )

    @property
    def backends(self) -> list[Backend]:
        """All back ends, stopping ones included."""
        return list(self._backends.values())

    def apply_record(self, record: BackendRecord, now: float) -> Backend:
        """Add or update a back end by its record, and return it."""
        self._missing.discard(record.name)
        known = self._backends.get(record.name)
        announced = known is not None and known.announced_at is not None
        # An announcement states no boot to compare.
        if known is None or not (announced or known.record.boot == record.boot):
            known = Backend(record, ColdLimit(self.entries))
            self._backends[record.name] = known
        known.record = record
        known.announced_at = None
        if record.cold_seconds:
            known.cold_until = now + record.cold_seconds
        return known

    def announce(self, record: BackendRecord, now: float) -> bool:
        """Add a back end that announces itself; return whether it is new.

        During an outage of the key-value service new engines cannot register,
        while old ones still leave.  Without announcements, two of five engines
        were left after 8 s, and held seven streams too many when the next one
        left.
        """
        if record.name in self._backends or record.name in self._removed_names:
            return False
        found = Backend(record, ColdLimit(self.entries), announced_at=now)
        found.cold_until = now + record.cold_seconds
        self._backends[record.name] = found
        return True

    def remove(self, name: str, now: float) -> bool:
        """Handle the removal of a record; return whether it applies at once.

        While the key-value service is available, a removed record belongs to
        a back end that has left.  During or just after an outage the record
        may only have expired while its back end still serves; dropping all
        such back ends would leave callers with none.
        """
        if name not in self._backends:
            return True
        if self._store_failed_lately(now):
            self._missing.add(name)
            return False
        self._drop(name)
        return True

    def record_store_result(self, answered: bool, now: float) -> None:
        """Record whether the key-value service answered a call."""
        availability = self._store_availability
        if answered and not availability.answering:
            availability.answering_since = now
        if not answered:
            availability.failed_at = now
        availability.answering = answered

    def remove_unregistered(self, now: float) -> list[str]:
        """Drop back ends still unregistered after an outage.

        Returns
        -------
        list[str]
            Names of the back ends that were dropped.
        """
        availability = self._store_availability
        if not availability.answering:
            return []
        cutoff = now - _REWRITE_SECONDS
        dropped = []
        if availability.answering_since <= cutoff:
            dropped = sorted(self._missing)
            dropped += self._unregistered(cutoff)
        for name in dropped:
            self._drop(name)
        return dropped

    def evacuate_domain(self, domain: str) -> bool:
        """Evacuate a failure domain; return whether it was in service."""
        was_in = domain not in self.evacuated
        self.evacuated |= {domain}
        return was_in

    def restore_domain(self, domain: str, now: float) -> bool:
        """Restore a failure domain; return whether it was evacuated."""
        was_out = domain in self.evacuated
        if was_out:
            self._restored_at[domain] = now
            self.evacuated -= {domain}
        return was_out

    def find(self, name: str) -> Backend | None:
        """Return the back end with a name, None if unknown."""
        return self._backends.get(name)

    def find_address(self, address: str) -> Backend | None:
        """Return the last back end added with an address, None if unknown."""
        for backend in reversed(self._backends.values()):
            if backend.record.address == address:
                return backend
        return None

    def usable(self, service: str) -> list[Backend]:
        """Return the back ends of a service that may get new calls."""
        return [
            backend
            for backend in self._backends.values()
            if backend.record.service == service
            and not backend.stopping
            and not backend.record_is_stale
            and backend.record.failure_domain not in self.evacuated
        ]

    def token_seconds(self, service: str) -> float:
        """Return the mean seconds per token over a service's engines."""
        found = [
            backend.state.token_seconds
            for backend in self.usable(service)
            if backend.state is not None and backend.state.token_seconds
        ]
        return sum(found) / len(found) if found else TOKEN_SECONDS

    def is_cold(self, backend: Backend, now: float) -> bool:
        """Return whether a back end is cold or may be."""
        restored_at = self._restored_at.get(backend.record.failure_domain)
        recent = (
            restored_at is not None
            and now < restored_at + _RESTORED_COLD_SECONDS
        )
        return recent or now < backend.cold_until

    def _unregistered(self, cutoff: float) -> list[str]:
        """Return names announced by the cutoff and not registered since."""
        return [
            backend.name
            for backend in self._backends.values()
            if backend.announced_at is not None
            and backend.announced_at <= cutoff
        ]

    def _store_failed_lately(self, now: float) -> bool:
        availability = self._store_availability
        last_outage_at = max(
            availability.failed_at, availability.answering_since
        )
        return (
            not availability.answering
            or now < last_outage_at + _OUTAGE_TAIL_SECONDS
        )

    def _drop(self, name: str) -> None:
        self._missing.discard(name)
        backend = self._backends.pop(name)
        # It may still announce itself until it has left.
        self._removed_names[name] = None
        if len(self._removed_names) > _MAX_REMOVED_NAMES:
            self._removed_names.popitem(last=False)
        # Calls in progress that refer to it must see that it is leaving.
        backend.leaving = True
