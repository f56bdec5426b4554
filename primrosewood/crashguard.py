"""Refuses calls that would crash engines, together with the other entries.

Every entry tells the others of the crashes that its own calls reveal, and keeps
them in the key-value service for entries that restart or hear nothing.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from . import gen_wire as wire
from .backendstate import Backend
from .clock import Clock, RandomSource
from .codec import Message
from .crashevidence import Cause, Crash, CrashEvidence
from .crashtrials import CrashTrials
from .directcalls import DirectCall
from .errors import StoreUnavailableError
from .logs import log_decision, log_event
from .process import spawn

__all__ = ('CrashGuard', 'CrashWriter', 'GuardDependencies', 'StoredCrashes')

# Range of the random time for which an entry leaves it to others to tell that
# a part is cleared.
_TELL_TURN_SECONDS = 0.5
# The entry that saw a crash writes it at once; the others after this time, if
# it has not been written by then.
_WRITE_DELAY_SECONDS = 2.0
_WRITE_TURN_SECONDS = 5.0
# An engine whose process has just ended may still accept a connection.
_LOOKS = 2
_LOOK_INTERVAL_SECONDS = 0.25
# Stored moments are kept this far apart from each other when they are read.
_STORED_MOMENT_SECONDS = 1.0
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
    """Writes crashes to the key-value service."""

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


@dataclass(frozen=True, slots=True)
class GuardDependencies:
    """Collaborators of `CrashGuard`.

    Attributes
    ----------
    name
        Name of this entry.
    send
        Sends a message to a process that forwards it to the other entries.
    refuses_connections
        Returns whether nothing listens at a back end's address any more.
    """

    name: str
    writer: CrashWriter
    clock: Clock
    random: RandomSource
    send: Callable[[Message], bool]
    refuses_connections: Callable[[Backend], Awaitable[bool]]


class CrashGuard:
    """What this entry knows of prompts that crash engines."""

    def __init__(self, dependencies: GuardDependencies) -> None:
        """Start without crashes."""
        self._deps = dependencies
        self._evidence = CrashEvidence()
        self._causes: set[Cause] = set()
        self._trials = CrashTrials()
        self._stored = StoredCrashes()
        self._unreported: dict[str, frozenset[str]] = {}
        self._report_at = _NEVER
        self._write_at = _NEVER

    def refuse_for(self, call: DirectCall) -> float | None:
        """Return the seconds until a call may return, None if it is harmless.

        One of the calls that are not harmless is let through at times, to find
        out whether they still crash engines.
        """
        if not self._causes:
            return None
        cause = self._evidence.find_cause(
            call.service, call.organisation, call.prompt_parts
        )
        if cause is None:
            return None
        now = self._now()
        if self._trials.use_permit(cause.service):
            log_decision('trial_begun', request=call.name, **_describe(cause))
            return None
        if self._trials.take_claim(cause.service, now):
            spawn(self._claim_trial(cause.service), 'crash trial')
        seconds = self._trials.seconds_left(cause.service, now)
        log_decision(
            'call_would_crash',
            request=call.name,
            retry_after=seconds,
            **_describe(cause),
        )
        return seconds

    def record_cut(self, call: DirectCall, backend: Backend) -> None:
        """Handle an answer that began and broke off before its first event."""
        if call.prompt_parts and not backend.stopping:
            spawn(self._find_out(call, backend), 'crash')

    def record_survival(self, call: DirectCall) -> None:
        """Clear the parts of a call that an engine answers."""
        changed = self._evidence.clear(call.service, call.prompt_parts)
        if not changed:
            return
        log_decision(
            'parts_cleared',
            request=call.name,
            crashes=_join(crash.endpoint for crash in changed),
        )
        self._review()
        for crash in changed:
            self._unreported[crash.endpoint] = crash.cleared
        turn = _TELL_TURN_SECONDS * self._deps.random.random()
        self._report_at = min(self._report_at, self._now() + turn)

    def merge_from_peer(self, report: wire.CrashReport) -> None:
        """Apply another entry's record of a crash."""
        crash = _from_message(report)
        if self._unreported.get(crash.endpoint, frozenset()) <= crash.cleared:
            self._unreported.pop(crash.endpoint, None)
        if self._evidence.record(crash, self._now()):
            log_decision('crash_heard', **_describe_crash(crash))
            self._review()
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
        if now >= self._report_at:
            self._report_at = _NEVER
            self._report_cleared()
        if now >= self._write_at:
            self._write_at = _NEVER
            spawn(self._write(), 'crashes')
        if self._evidence.drop_expired(now):
            self._review()
            self._write_later()

    async def _find_out(self, call: DirectCall, backend: Backend) -> None:
        """Record a crash if the engine of a cut call has ended."""
        for look in range(_LOOKS):
            if look:
                await asyncio.sleep(_LOOK_INTERVAL_SECONDS)
            if await self._deps.refuses_connections(backend):
                self._record_crash(call, backend)
                return
        log_decision(
            'engine_survived', request=call.name, endpoint=backend.name
        )

    def _record_crash(self, call: DirectCall, backend: Backend) -> None:
        crash = Crash(
            endpoint=backend.name,
            boot=backend.record.boot,
            service=call.service,
            organisations=frozenset((call.organisation,)),
            parts=frozenset(call.prompt_parts),
            reporters=frozenset((self._deps.name,)),
        )
        log_decision('crash_seen', request=call.name, **_describe_crash(crash))
        if self._evidence.record(crash, self._now()):
            self._review()
            self._write_at = self._now()
        self._deps.send(_to_message(crash))

    def _report_cleared(self) -> None:
        unreported, self._unreported = self._unreported, {}
        for crash in self._evidence.crashes:
            if crash.endpoint in unreported:
                self._deps.send(_to_message(crash))
        if unreported:
            self._write_at = self._now()

    def _review(self) -> None:
        """Log changed causes and follow their trials."""
        causes = set(self._evidence.causes)
        for found in causes - self._causes:
            log_decision('cause_found', **_describe(found))
        for ended in self._causes - causes:
            log_decision('cause_ended', **_describe(ended))
        self._causes = causes
        services = {cause.service for cause in causes}
        self._trials.follow(services, self._now())

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


def _to_message(crash: Crash) -> wire.CrashReport:
    return wire.CrashReport(
        endpoint=crash.endpoint,
        boot=crash.boot,
        service=crash.service,
        organisations=sorted(crash.organisations),
        parts=sorted(crash.parts),
        cleared=sorted(crash.cleared),
        reporters=sorted(crash.reporters),
    )


def _from_message(report: wire.CrashReport) -> Crash:
    return Crash(
        endpoint=report.endpoint,
        boot=report.boot,
        service=report.service,
        organisations=frozenset(report.organisations),
        parts=frozenset(report.parts),
        cleared=frozenset(report.cleared),
        reporters=frozenset(report.reporters),
    )


def _describe(cause: Cause) -> dict[str, str]:
    """Return the fields with which a cause is logged."""
    return {
        'service': cause.service,
        'parts': _join(cause.parts),
        'organisations': _join(cause.organisations),
        'crashes': _join(
            f'{crash.endpoint}@{crash.boot}' for crash in cause.crashes
        ),
        'reporters': _join(
            {name for crash in cause.crashes for name in crash.reporters}
        ),
    }


def _describe_crash(crash: Crash) -> dict[str, str | int]:
    """Return the fields with which a crash is logged."""
    return {
        'endpoint': crash.endpoint,
        'boot': crash.boot,
        'service': crash.service,
        'parts': _join(crash.parts),
        'cleared': _join(crash.cleared),
        'reporters': _join(crash.reporters),
    }


def _join(names: Iterable[str]) -> str:
    return '+'.join(sorted(names)) or '-'
