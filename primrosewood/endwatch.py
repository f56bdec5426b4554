"""Finds out whether a back end has ended after a connection to it broke.

A connection also breaks at a back end that runs on.  One has ended if its port
refuses connections, or if within some seconds its record is removed or names
another start.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from .backendstate import Backend
from .clock import Clock
from .logs import log_decision
from .process import spawn

__all__ = ('EndWatch', 'EndWatchDependencies')

# An engine whose process has just ended may still accept a connection.
_LOOKS = 2
_LOOK_INTERVAL_SECONDS = 0.25
# The platform removes the record of a back end that is gone within 3.6 s.
_WATCH_SECONDS = 4.0
_MAX_WATCHED = 256


@dataclass(frozen=True, slots=True)
class EndWatchDependencies:
    """Collaborators of `EndWatch`.

    Attributes
    ----------
    refuses_connections
        Returns whether nothing listens at a back end's address any more.
    is_registered
        Returns whether a start of a back end is still registered.
    report_end
        Called with a back end that has ended.
    """

    clock: Clock
    refuses_connections: Callable[[Backend], Awaitable[bool]]
    is_registered: Callable[[Backend], bool]
    report_end: Callable[[Backend], None]


@dataclass(slots=True)
class _Watched:
    """A start of a back end, watched until a time in monotonic seconds."""

    backend: Backend
    until: float
    looking: bool = True


class EndWatch:
    """Watches back ends to which connections broke."""

    def __init__(self, dependencies: EndWatchDependencies) -> None:
        """Watch nothing."""
        self._deps = dependencies
        self._watched: dict[tuple[str, int], _Watched] = {}

    def watch(self, backend: Backend) -> None:
        """Watch a back end, as a connection to it has just broken."""
        start = backend.name, backend.record.boot
        until = self._deps.clock.monotonic() + _WATCH_SECONDS
        watched = self._watched.get(start)
        if watched is None:
            if len(self._watched) >= _MAX_WATCHED:
                self._watched.pop(next(iter(self._watched)))
            watched = _Watched(backend, until, looking=False)
            self._watched[start] = watched
        watched.until = until
        if not watched.looking:
            watched.looking = True
            spawn(self._look(watched), 'end of a back end')

    def tick(self) -> None:
        """Report the ends that records show, and end what is over."""
        now = self._deps.clock.monotonic()
        for start, watched in list(self._watched.items()):
            backend = watched.backend
            if not self._deps.is_registered(backend) or backend.replaced:
                self._report(watched)
            elif backend.was_announced_to_leave or now >= watched.until:
                self._watched.pop(start)
                log_decision(
                    'endpoint_survived',
                    endpoint=backend.name,
                    boot=backend.record.boot,
                    leaving=backend.stopping,
                )

    async def _look(self, watched: _Watched) -> None:
        for look in range(_LOOKS):
            if look:
                await asyncio.sleep(_LOOK_INTERVAL_SECONDS)
            if await self._deps.refuses_connections(watched.backend):
                self._report(watched)
                return
        watched.looking = False

    def _report(self, watched: _Watched) -> None:
        backend = watched.backend
        start = backend.name, backend.record.boot
        if self._watched.pop(start, None) is not None:
            self._deps.report_end(backend)
