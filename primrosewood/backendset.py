"""What an entry believes of the back ends that it may call directly."""

from collections import OrderedDict
from dataclasses import dataclass, field

from .enginepace import TOKEN_SECONDS
from .shares import CallLimit, ColdLimit, EntryCount

__all__ = ('Backend', 'BackendRecord', 'BackendSet', 'EngineState')

# Records that lapsed while the key-value service was away are written again
# within two seconds of its return, by the platform's word; a little is added
# for the listing that shows it.
_REWRITE_SECONDS = 2.3
# A removal this long after the service's return may still be of a record that
# lapsed before: it may have come back for others earlier than for us.
_DISTURBED_SECONDS = 3.0
# A back end that refused a connection is passed over for so long while others
# can take the work; the platform restarts a process in about a second.
_SUSPECT_SECONDS = 1.0
# Share of the newest call in the share of calls that fail: about the last
# three count, as a back end that is passed over gets few.
_NEWEST_WEIGHT = 0.3
# Added to that second by the share of calls that fail.  With one of three back
# ends failing 45 in 100 of its calls for twelve seconds an entry loses 3.4
# calls in place of 5.7 (simulated in the tests).
_FAILING_SECONDS = 12.0
# Names of back ends that are remembered after they left.
_MOST_GONE = 4096
# Reports come twice a second at the least.
_REPORT_SECONDS = 3.0
# Back ends of a failure domain that has just been let in again may be cold
# before their own record says so: their records are written every 1.2 s.
_RETURN_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class BackendRecord:
    """A back end as it registers itself.

    Attributes
    ----------
    address
        ``host:port``.
    slots
        Calls that it works on at the same time.
    cold_seconds
        How much longer it is cold, as it said when it wrote the record.
    boot
        Start of its process; another one under the same name remembers
        nothing.
    revision
        Write that the record stands for; a back end writes it again as long
        as it lives.
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
    """An engine's own report, read beside it.

    Attributes
    ----------
    used_tokens, total_tokens
        Memory that cannot be freed, and all of it.
    leaving
        Whether the engine is about to go.
    unread_tokens
        Prompts that are being read or wait to be.
    generating
        Generations that have made an event.
    token_seconds
        What a token took lately, 0 when nothing ran.
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
    """One back end with what this entry has open there.

    Attributes
    ----------
    open_calls, open_tokens
        This entry's calls, and the tokens they may come to hold.
    unread_tokens
        Prompts of this entry's calls that have not had their first event.
    unreported_tokens, unreported_prompts
        What was opened after the last report was read: tokens in all, and
        those of prompts.
    found_at
        When it announced itself, None once it is registered.
    misdirected
        Revision of its record when another back end answered at its address.
    failing
        Share of its last calls that got no answer, the newest counting most.
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
    found_at: float | None = None
    failing: float = 0
    misdirected: int = -1
    suspect_until: float = 0
    cold_until: float = 0

    @property
    def name(self) -> str:
        """Name under which it registered."""
        return self.record.name

    @property
    def stopping(self) -> bool:
        """Whether any source says that it takes no new work."""
        reported = self.state is not None and self.state.leaving
        return self.leaving or reported or self.record.draining

    @property
    def misplaced(self) -> bool:
        """Whether its record stands for a back end that is not there.

        After a loss of power records stand until they lapse, and another
        start answers at their addresses.
        """
        return self.misdirected >= self.record.revision

    @property
    def unread_ahead(self) -> int:
        """Tokens of prompts that are read before a new one."""
        if self.state is None:
            return self.unread_tokens
        reported = self.state.unread_tokens + self.unreported_prompts
        return max(self.unread_tokens, reported)

    def report_age(self, now: float) -> float | None:
        """Return seconds since the last report, None without one."""
        return None if self.state is None else now - self.state_at

    def update_state(self, state: EngineState, now: float) -> None:
        """Note the engine's own report."""
        self.state_at = now
        self._replace_state(state)

    def drop_stale_state(self, now: float) -> bool:
        """Forget a report that no newer one follows; tell whether it was.

        What was opened since is added to a report, so that an old one would
        make its engine look ever fuller.  A leave is never taken back.
        """
        old = now > self.state_at + _REPORT_SECONDS
        if self.state is None or not old or self.state.leaving:
            return False
        self._replace_state(None)
        return True

    def note_misdirected(self) -> None:
        """Pass it over until its record is written again."""
        self.misdirected = self.record.revision

    def suspect(self, now: float) -> None:
        """Pass it over for a moment, as it did not take a call."""
        self.suspect_until = max(self.suspect_until, now + _SUSPECT_SECONDS)

    def record_failure(self, now: float) -> None:
        """Pass it over for a while after a call that got no answer.

        One that fails part of its calls while its records and reports are
        good shows in nothing else; it is passed over the longer the more of
        its last calls failed.
        """
        self.failing += (1 - self.failing) * _NEWEST_WEIGHT
        more = max(0, self.failing - _NEWEST_WEIGHT) * _FAILING_SECONDS
        self.suspect_until = now + _SUSPECT_SECONDS + more

    def note_success(self) -> None:
        """Note that a call was answered."""
        self.failing -= self.failing * _NEWEST_WEIGHT

    def _replace_state(self, state: EngineState | None) -> None:
        # What was opened before the report was made is part of it.
        self.state = state
        self.unreported_tokens = 0
        self.unreported_prompts = 0


@dataclass(slots=True)
class _Disturbance:
    """When the key-value service last failed, and answered again."""

    failed_at: float = float('-inf')
    answering_since: float = 0
    answering: bool = False


@dataclass(slots=True)
class BackendSet:
    """All back ends that this entry knows.

    Attributes
    ----------
    evacuated
        Failure domains that operators have taken out.
    """

    entries: EntryCount
    evacuated: frozenset[str] = frozenset()
    _backends: dict[str, Backend] = field(default_factory=dict)
    _missing: set[str] = field(default_factory=set)
    _gone: OrderedDict[str, None] = field(default_factory=OrderedDict)
    _returned: dict[str, float] = field(default_factory=dict)
    _disturbance: _Disturbance = field(default_factory=_Disturbance)

    @property
    def backends(self) -> list[Backend]:
        """All back ends, stopping ones included."""
        return list(self._backends.values())

    def take(self, record: BackendRecord, now: float) -> Backend:
        """Note a back end's record."""
        self._missing.discard(record.name)
        known = self._backends.get(record.name)
        announced = known is not None and known.found_at is not None
        if known is None or not (announced or known.record.boot == record.boot):
            known = Backend(record, ColdLimit(self.entries))
            self._backends[record.name] = known
        known.record = record
        known.found_at = None
        if record.cold_seconds:
            known.cold_until = now + record.cold_seconds
        return known

    def announce(self, record: BackendRecord, now: float) -> bool:
        """Note a back end that announces itself; tell whether it is new.

        While the key-value service is away nothing can register, and engines
        are replaced all the same: after eight seconds two of five were left,
        which held seven streams too many when the next one went.
        """
        if record.name in self._backends or record.name in self._gone:
            return False
        found = Backend(record, ColdLimit(self.entries), found_at=now)
        found.cold_until = now + record.cold_seconds
        self._backends[record.name] = found
        return True

    def remove(self, name: str, now: float) -> bool:
        """Note that a record is gone; tell whether it counts at once.

        A record that is removed in quiet times belongs to a back end that
        leaves without saying so.  One that is gone during or after an outage
        of the key-value service may only have lapsed: its back end serves on,
        and to drop all of them would leave callers without any.
        """
        if name not in self._backends:
            return True
        if self._is_disturbed(now):
            self._missing.add(name)
            return False
        self._drop(name)
        return True

    def record_store_result(self, answered: bool, now: float) -> None:
        """Note whether the key-value service answered a call."""
        seen = self._disturbance
        if answered and not seen.answering:
            seen.answering_since = now
        if not answered:
            seen.failed_at = now
        seen.answering = answered

    def settle(self, now: float) -> list[str]:
        """Drop what has stayed missing after an outage; return the names."""
        seen = self._disturbance
        if not seen.answering:
            return []
        settled = now - _REWRITE_SECONDS
        gone = []
        if seen.answering_since <= settled:
            gone = sorted(self._missing)
            gone += self._unregistered(settled)
        for name in gone:
            self._drop(name)
        return gone

    def take_out(self, domain: str) -> bool:
        """Note that a failure domain is out; tell whether it was in."""
        was_in = domain not in self.evacuated
        self.evacuated |= {domain}
        return was_in

    def let_in(self, domain: str, now: float) -> bool:
        """Note that a failure domain is back; tell whether it was out."""
        was_out = domain in self.evacuated
        if was_out:
            self._returned[domain] = now
            self.evacuated -= {domain}
        return was_out

    def find(self, name: str) -> Backend | None:
        """Return a back end by its name."""
        return self._backends.get(name)

    def find_address(self, address: str) -> Backend | None:
        """Return the back end that registered an address last."""
        for backend in reversed(self._backends.values()):
            if backend.record.address == address:
                return backend
        return None

    def usable(self, service: str) -> list[Backend]:
        """Return the back ends of a service that may get new work."""
        return [
            backend
            for backend in self._backends.values()
            if backend.record.service == service
            and not backend.stopping
            and not backend.misplaced
            and backend.record.failure_domain not in self.evacuated
        ]

    def token_seconds(self, service: str) -> float:
        """Return what a token takes in the mean of a service's engines."""
        found = [
            backend.state.token_seconds
            for backend in self.usable(service)
            if backend.state is not None and backend.state.token_seconds
        ]
        return sum(found) / len(found) if found else TOKEN_SECONDS

    def is_cold(self, backend: Backend, now: float) -> bool:
        """Tell whether a back end is cold, or may be."""
        returned = self._returned.get(backend.record.failure_domain)
        recent = returned is not None and now < returned + _RETURN_SECONDS
        return recent or now < backend.cold_until

    def _unregistered(self, settled: float) -> list[str]:
        """Return what announced itself and has not registered since."""
        return [
            backend.name
            for backend in self._backends.values()
            if backend.found_at is not None and backend.found_at <= settled
        ]

    def _is_disturbed(self, now: float) -> bool:
        seen = self._disturbance
        last = max(seen.failed_at, seen.answering_since)
        return not seen.answering or now < last + _DISTURBED_SECONDS

    def _drop(self, name: str) -> None:
        self._missing.discard(name)
        backend = self._backends.pop(name)
        # It may announce itself until it has gone.
        self._gone[name] = None
        if len(self._gone) > _MOST_GONE:
            self._gone.popitem(last=False)
        # Whoever still holds it must see that it takes no new work.
        backend.leaving = True
