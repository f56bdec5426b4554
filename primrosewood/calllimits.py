"""Limits that back ends name for the calls of all entries together.

An entry tells the others what a back end said, and each call that it sends
there.  Calls that it cannot tell count as if every entry had sent as many.
"""

import asyncio
from collections.abc import Callable

from . import gen_wire as wire
from .backendset import Backend, BackendSet
from .clock import Clock, RandomSource
from .codec import Message
from .logs import log_decision
from .shares import CallLimit, EntryCount

__all__ = ('CallLimits',)

# Calls that are sent within this time are told together.
_GATHER_SECONDS = 0.01
_MILLISECONDS = 1000


class CallLimits:
    """Keeps what back ends say of their limits, with the other entries.

    Parameters
    ----------
    send
        Sends a message to some process that passes it on to the other
        entries; False when there is none.
    """

    def __init__(
        self,
        backends: BackendSet,
        entries: EntryCount,
        clock: Clock,
        random: RandomSource,
        send: Callable[[Message], bool],
    ) -> None:
        """Start without limits."""
        self._backends = backends
        self._entries = entries
        self._clock = clock
        self._random = random
        self._send = send
        self._untold: dict[Backend, int] = {}

    def record_answer(
        self, backend: Backend, rate: float | None, sent_at: float
    ) -> None:
        """Note what a back end's answer says.

        Parameters
        ----------
        backend
            The back end that answered.
        rate
            Calls a second, None for no limit.
        sent_at
            When the call was sent, in monotonic seconds.
        """
        # Answers may overtake each other: only one to a call that was sent
        # after the limit was heard of can show that it is over.
        if rate is None and sent_at <= backend.call_limit.heard_at:
            return
        if self._take(backend, rate, age=0):
            self._tell_soon(backend, calls=0)

    def record_call(self, backend: Backend) -> None:
        """Count a call that is sent to a back end."""
        if backend.call_limit.rate is not None:
            self._count(backend, calls=1)
            self._tell_soon(backend, calls=1)

    def merge_from_peer(self, told: wire.LimitTold) -> None:
        """Take what another entry heard, and count what it sent."""
        backend = self._backends.find(told.endpoint)
        if backend is not None:
            self._take(backend, told.rate, told.age_ms / _MILLISECONDS)
            self._count(backend, told.calls)

    def _count(self, backend: Backend, calls: int) -> None:
        limit = backend.call_limit
        limit.count(calls, self._clock.monotonic())
        self._hold_back(limit)

    def _hold_back(self, limit: CallLimit) -> None:
        limit.hold_back(self._random.random(), self._entries.count)

    def _take(self, backend: Backend, rate: float | None, age: float) -> bool:
        now = self._clock.monotonic()
        before = backend.call_limit.rate
        changed = backend.call_limit.take(rate, now - age, now)
        if changed:
            self._hold_back(backend.call_limit)
            log_decision(
                'limit_lifted' if rate is None else 'limit_named',
                endpoint=backend.name,
                rate=rate,
                before=before,
                age=age,
            )
        return changed

    def _tell_soon(self, backend: Backend, calls: int) -> None:
        if not self._untold:
            loop = asyncio.get_running_loop()
            loop.call_later(_GATHER_SECONDS, self._tell_gathered)
        self._untold[backend] = self._untold.get(backend, 0) + calls

    def _tell_gathered(self) -> None:
        untold, self._untold = self._untold, {}
        for backend, calls in untold.items():
            self._tell(backend, calls)

    def _tell(self, backend: Backend, calls: int) -> None:
        now = self._clock.monotonic()
        limit = backend.call_limit
        heard = self._send(
            wire.LimitTold(
                endpoint=backend.name,
                rate=limit.rate,
                age_ms=int((now - limit.heard_at) * _MILLISECONDS),
                calls=calls,
            )
        )
        if not heard:
            self._count(backend, calls * (self._entries.count - 1))
