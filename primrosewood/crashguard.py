"""Refuses calls that would end back ends, together with the other entries.

Every entry tells the others of the ends that its own calls reveal, and keeps
them in the key-value service for entries that restart or hear nothing.
"""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import Protocol

from . import gen_wire as wire
from .answeredmarks import AnsweredMarks
from .backendstate import Backend
from .clock import Clock, RandomSource
from .codec import Message
from .crashcauses import Cause
from .crashes import BlamedCall, Crash
from .crashevidence import CrashEvidence
from .crashreports import (
    describe_cause,
    describe_crash,
    make_report,
    read_report,
)
from .crashtrials import CrashTrials
from .directcalls import DirectCall
from .endwatch import EndWatch, EndWatchDependencies
from .errors import StoreUnavailableError
from .logs import log_decision, log_event
from .process import spawn

__all__ = ('CrashGuard', 'CrashWriter', 'GuardDependencies', 'StoredCrashes')

# Range of the random time for which an entry leaves it to others to tell that
# a mark is cleared.
_TELL_TURN_SECONDS = 0.5
# The entry that saw an end writes it at once; the others after this time, if
# it has not been written by then.
_WRITE_DELAY_SECONDS = 2.0
_WRITE_TURN_SECONDS = 5.0
# Stored moments are kept this far apart from each other when they are read.
_STORED_MOMENT_SECONDS = 1.0
# Calls that may not be refused for good return after this time.
_DOUBT_SECONDS = 4.0
# Ends after which calls are refused whose marks are often answered.
_MIN_CRASHES_OF_COMMON_CALLS = 5
_MS_PER_SECOND = 1000
_NEVER = float('inf')


@dataclass(frozen=True, slots=True)
class StoredCrashes:
    """What entries keep in the key-value service.

    Attributes
    ----------
    crashes
        Each with the number of the moment at which it was.
    trials
        Number of calls that were let through, by service.
    revision
        Store revision at which it was written.
    """

    crashes: tuple[tuple[Crash, int], ...] = ()
    trials: Mapping[str, int] = field(default_factory=dict)
    revision: int = 0


class CrashWriter(Protocol):
    """Writes the ends of back ends to the key-value service."""

    async def write_crashes(self, crashes: StoredCrashes) -> bool:
        """Write them if the stored ones still have the given revision.

        Returns
        -------
        bool
            Whether they were written.

        Raises
        ------
        StoreUnavailableError
            The service does not answer; they may have been written.
        """


def _assume_registered(_backend: Backend) -> bool:
    """Take every back end for registered; the default of `is_registered`."""
    return True


@dataclass(frozen=True, slots=True)
class GuardDependencies:
    """Collaborators of `CrashGuard`.

    Attributes
    ----------
    name
        Name of this entry.
    send
        Sends a message to processes that forward it to the other entries.
    refuses_connections
        Returns whether nothing listens at a back end's address any more.
    is_registered
        Returns whether a start of a back end is still registered.
    """

    name: str
    writer: CrashWriter
    clock: Clock
    random: RandomSource
    send: Callable[[Message], bool]
    refuses_connections: Callable[[Backend], Awaitable[bool]]
    is_registered: Callable[[Backend], bool] = _assume_registered


class CrashGuard:
    """What this entry knows of calls that end back ends."""

    def __init__(self, dependencies: GuardDependencies) -> None:
        """Start without any end."""
        self._deps = dependencies
        self._evidence = CrashEvidence()
        self._answered = AnsweredMarks()
        self._watch = EndWatch(
            EndWatchDependencies(
                dependencies.clock,
                dependencies.refuses_connections,
                dependencies.is_registered,
                self._record_end,
            )
        )
        self._causes: list[Cause] = []
        self._trials = CrashTrials()
        self._stored = StoredCrashes()
        self._dropped = 0
        # Back ends of whose ends this entry has learned more than it has told.
        self._untold: set[str] = set()
        self._unreported: dict[str, frozenset[str]] = {}
        self._report_at = _NEVER
        self._write_at = _NEVER

    def refuse_for(self, call: DirectCall) -> float | None:
        """Return the seconds until a call may return, None if it is harmless.

        One of the calls that are not harmless is let through at times, to find
        out whether they still end back ends.
        """
        self._review()
        cause = self._find_cause(call)
        if cause is None:
            return None
        now = self._now()
        if cause.certain and self._trials.use_permit(cause.service):
            log_decision(
                'trial_begun', request=call.name, **describe_cause(cause)
            )
            return None
        seconds = self._seconds_left(cause, now)
        log_decision(
            'call_would_crash',
            request=call.name,
            retry_after=seconds,
            **describe_cause(cause),
        )
        return seconds

    def record_cut(
        self,
        call: DirectCall,
        backend: Backend,
        seconds: float | None = None,
        events: int = 0,
    ) -> None:
        """Handle a connection that broke before an answer was complete.

        Parameters
        ----------
        seconds
            Since the call was sent, None if that is not known.
        events
            Events of the answer that had come.
        """
        if not call.marks or backend.was_announced_to_leave:
            return
        blamed = BlamedCall(tuple(sorted(call.marks)), call.organisation)
        if seconds is not None:
            milliseconds = int(seconds * _MS_PER_SECOND)
            blamed = replace(blamed, milliseconds=milliseconds)
        doubt = Crash(
            endpoint=backend.name,
            boot=backend.record.boot,
            service=call.service,
            organisations=frozenset((call.organisation,)),
            parts=frozenset(call.marks),
            reporters=frozenset((self._deps.name,)),
            calls=frozenset((replace(blamed, events=events),)),
            certain=False,
        )
        self._evidence.record(doubt, self._now())
        known = self._evidence.find(doubt)
        if known is not None and known.certain:
            self._untold.add(known.endpoint)
            return
        self._watch.watch(backend)
        if self._find_cause(call) is not None:
            # The others wait as well until it is known.
            self._untold.add(doubt.endpoint)

    def record_survival(
        self, call: DirectCall, events: int | None = None
    ) -> None:
        """Clear the marks of a call that a back end answers.

        Parameters
        ----------
        events
            Events of the answer so far, None if it is complete.
        """
        if events is None:
            self._answered.record(call.service, call.marks, self._now())
        changed = self._evidence.clear(call.service, call.marks, events)
        if not changed:
            return
        log_decision(
            'parts_cleared',
            request=call.name,
            events=events,
            crashes='+'.join(sorted(crash.endpoint for crash in changed)),
        )
        self._review()
        for crash in changed:
            self._unreported[crash.endpoint] = crash.cleared
        turn = _TELL_TURN_SECONDS * self._deps.random.random()
        self._report_at = min(self._report_at, self._now() + turn)

    def merge_from_peer(self, report: wire.CrashReport) -> None:
        """Apply another entry's record of an end."""
        crash, age = read_report(report)
        if self._unreported.get(crash.endpoint, frozenset()) <= crash.cleared:
            self._unreported.pop(crash.endpoint, None)
        if self._evidence.record(crash, self._now() - age):
            log_decision('crash_heard', **describe_crash(crash))
            if crash.certain:
                self._write_later()

    def apply(self, stored: StoredCrashes) -> None:
        """Apply what the key-value service holds."""
        self._stored = stored
        now = self._now()
        moments = len(stored.crashes)
        for crash, moment in stored.crashes:
            age = (moments - moment) * _STORED_MOMENT_SECONDS
            self._evidence.record(crash, now - age)
        self._review()
        self._trials.update(stored.trials, now)
        log_decision(
            'crashes_stored',
            crashes=moments,
            known=len(self._evidence.crashes),
            revision=stored.revision,
        )

    def tick(self) -> None:
        """Tell, write and forget what is due."""
        now = self._now()
        self._watch.tick()
        self._tell_untold()
        if now >= self._report_at:
            self._report_at = _NEVER
            self._report_cleared()
        if now >= self._write_at:
            self._write_at = _NEVER
            spawn(self._write(), 'crashes')
        if self._evidence.drop_expired(now):
            self._write_later()
        self._review()

    def _find_cause(self, call: DirectCall) -> Cause | None:
        """Return why a call would end a back end, None if it would not."""
        if not self._evidence.causes:
            return None
        found = self._evidence.find_causes(
            call.service, call.organisation, call.marks
        )
        now = self._now()
        for cause in found:
            common = self._answered.are_common(cause.service, cause.parts, now)
            if not common or cause.moments >= _MIN_CRASHES_OF_COMMON_CALLS:
                return cause
        return None

    def _seconds_left(self, cause: Cause, now: float) -> float:
        """Return the seconds until a refused call may return."""
        if not cause.certain:
            return _DOUBT_SECONDS
        if self._trials.take_claim(cause.service, now):
            spawn(self._claim_trial(cause.service), 'crash trial')
        return self._trials.seconds_left(cause.service, now)

    def _record_end(self, backend: Backend) -> None:
        """Handle the end of a back end that was watched."""
        crash = self._evidence.confirm(backend.name, backend.record.boot)
        if crash is None:
            return
        log_decision('crash_seen', **describe_crash(crash))
        self._write_at = self._now()
        self._untold.discard(backend.name)
        self._review()
        self._tell(crash)

    def _tell(self, crash: Crash) -> None:
        age = self._evidence.find_age(crash, self._now())
        self._deps.send(make_report(crash, age))

    def _tell_untold(self) -> None:
        if not self._untold:
            return
        for crash in self._evidence.known:
            if crash.endpoint in self._untold:
                self._tell(crash)
        self._untold.clear()
        self._write_later()

    def _report_cleared(self) -> None:
        if not self._unreported:
            return
        for crash in self._evidence.crashes:
            if crash.endpoint in self._unreported:
                self._tell(crash)
        self._unreported.clear()
        self._write_at = self._now()

    def _review(self) -> None:
        """Log changed causes and follow their trials."""
        causes = self._evidence.causes
        if causes is self._causes:
            return
        for found in set(causes) - set(self._causes):
            log_decision('cause_found', **describe_cause(found))
        for ended in set(self._causes) - set(causes):
            log_decision('cause_ended', **describe_cause(ended))
        self._causes = causes
        services = {cause.service for cause in causes if cause.certain}
        self._trials.follow(services, self._now())
        if self._evidence.dropped > self._dropped:
            self._dropped = self._evidence.dropped
            log_event('crashes_dropped', 'WARNING', dropped=self._dropped)

    def _write_later(self) -> None:
        turn = _WRITE_TURN_SECONDS * self._deps.random.random()
        write_at = self._now() + _WRITE_DELAY_SECONDS + turn
        self._write_at = min(self._write_at, write_at)

    async def _write(self) -> None:
        stored = {crash for crash, _moment in self._stored.crashes}
        if stored == set(self._evidence.crashes):
            return
        if not await self._store(self._trials.numbers):
            self._write_later()

    async def _claim_trial(self, service: str) -> None:
        numbers = self._trials.numbers
        numbers[service] = numbers.get(service, 0) + 1
        if await self._store(numbers):
            log_decision('trial_claimed', service=service, trials=numbers)
            self._trials.permit(service, self._now())

    async def _store(self, trials: Mapping[str, int]) -> bool:
        """Write what this entry knows; return whether it was written."""
        evidence = self._evidence
        crashes = zip(evidence.crashes, evidence.moments(), strict=True)
        stored = StoredCrashes(tuple(crashes), trials, self._stored.revision)
        try:
            return await self._deps.writer.write_crashes(stored)
        except StoreUnavailableError as error:
            log_event('crashes_not_stored', 'WARNING', why=error)
            return False

    def _now(self) -> float:
        return self._deps.clock.monotonic()
