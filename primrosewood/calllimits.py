"""Rate limits that back ends set for the calls of all entries together.

An entry reports to the others the limit that a back end states and the calls
that it sends there.  If a report cannot be sent, the entry assumes that every
other entry has sent as many calls as itself.
"""

import asyncio
from collections.abc import Callable

from . import gen_wire as wire
from .backendset import BackendSet
from .backendstate import Backend
from .clock import Clock, RandomSource
from .codec import Message
from .entrycount import EntryCount
from .logs import log_decision
from .sharedlimits import CallLimit

__all__ = ('CallLimits',)

# Calls to one back end within this time are reported in one message.
_BATCH_SECONDS = 0.01
_MS_PER_SECOND = 1000


class CallLimits:
    """Tracks the rate limits of back ends together with the other entries.

    Parameters
    ----------
    send
        Sends a message to a process that forwards it to the other entries;
        returns False if none is connected.
    """

    def __init__(
        self,
        backends: BackendSet,
        entries: EntryCount,
        clock: Clock,
        random: RandomSource,
        send: Callable[[Message], bool],
    ) -> None:
        """Start with no calls to report."""
        self._backends = backends
        self._entries = entries
        self._clock = clock
        self._random = random
        self._send = send
        self._unreported_calls: dict[Backend, int] = {}

    def record_answer(
        self, backend: Backend, rate: float | None, sent_at: float
    ) -> None:
        """Update the limit of a back end from its answer to a call.

        Parameters
        ----------
        backend
            The back end that answered.
        rate
            Calls per second that the answer states, None for no limit.
        sent_at
            When the call was sent, in monotonic seconds.
        """
        # Answers may overtake each other: only the answer to a call that was
        # sent after the limit was stated can show that the limit is lifted.
        if rate is None and sent_at <= backend.call_limit.reported_at:
            return
        if self._update_limit(backend, rate, age=0):
            self._schedule_report(backend, calls=0)

    def record_call(self, backend: Backend) -> None:
        """Count a call to a back end and report it to the other entries."""
        if backend.call_limit.rate is not None:
            self._count(backend, calls=1)
            self._schedule_report(backend, calls=1)

    def merge_from_peer(self, report: wire.LimitReport) -> None:
        """Apply another entry's report of a limit and of its calls."""
        backend = self._backends.find(report.endpoint)
        # A later start of the back end has not stated any limit.
        if backend is not None and backend.record.boot == report.boot:
            self._update_limit(
                backend, report.rate, report.age_ms / _MS_PER_SECOND
            )
            self._count(backend, report.calls)

    def _count(self, backend: Backend, calls: int) -> None:
        limit = backend.call_limit
        limit.count(calls, self._clock.monotonic())
        self._hold_back(limit)

    def _hold_back(self, limit: CallLimit) -> None:
        limit.hold_back(self._random.random(), self._entries.shares)

    def _update_limit(
        self, backend: Backend, rate: float | None, age: float
    ) -> bool:
        now = self._clock.monotonic()
        previous_rate = backend.call_limit.rate
        changed = backend.call_limit.update(rate, now - age, now)
        if changed:
            self._hold_back(backend.call_limit)
            log_decision(
                'limit_lifted' if rate is None else 'limit_named',
                endpoint=backend.name,
                rate=rate,
                before=previous_rate,
                age=age,
            )
        return changed

    def _schedule_report(self, backend: Backend, calls: int) -> None:
        if not self._unreported_calls:
            loop = asyncio.get_running_loop()
            loop.call_later(_BATCH_SECONDS, self._send_reports)
        self._unreported_calls[backend] = (
            self._unreported_calls.get(backend, 0) + calls
        )

    def _send_reports(self) -> None:
        unreported, self._unreported_calls = self._unreported_calls, {}
        for backend, calls in unreported.items():
            self._send_report(backend, calls)

    def _send_report(self, backend: Backend, calls: int) -> None:
        now = self._clock.monotonic()
        limit = backend.call_limit
        delivered = self._send(
            wire.LimitReport(
                endpoint=backend.name,
                rate=limit.rate,
                age_ms=int((now - limit.reported_at) * _MS_PER_SECOND),
                calls=calls,
                boot=backend.record.boot,
            )
        )
        if not delivered:
            # Entries that have registered may be fewer than those assumed while
            # nobody reports any; some do not know of the limit yet.
            entries = max(self._entries.count, self._entries.shares)
            self._count(backend, calls * (entries - 1))
