"""Decides whether the answer of a back end is whole.

A length or the last chunk marks the end of an answer. Where neither is sent,
the end of the connection is all there is, and an engine closes the stream of a
generation that a move stops just as one that is complete.
"""

import asyncio
from contextlib import suppress
from typing import Protocol

from .backendstate import Backend
from .callprogress import CallProgress
from .clock import Clock
from .directcalls import AnswerFraming
from .errors import BackendCutError
from .logs import log_decision
from .moves import AwaitedNotice, MoveNotice
from .routes import EngineTraits

__all__ = ('AnswerEnds', 'BackendProbe', 'EngineCatalogue')

# The notice of a move follows the end of the old stream by 4 to 20 ms.  An
# engine gets notice some time before it leaves, so a move is likely and its
# notice is awaited longer.  After a crash no notice of a move comes, and the
# caller should get an error soon.
_NOTICE_SECONDS = 0.4
_LEAVING_NOTICE_SECONDS = 1.0
# The order that stops a generation is given up after a second.
_STOPPED_NOTICE_SECONDS = 1.5
# On resumable routes another generation may continue the stream, and waiting
# longer than this costs more than a second prefill.
_SHORT_NOTICE_SECONDS = 0.1
# A whole answer is held back for this long at most to look for its engine.
_PROBE_SECONDS = 0.015


class BackendProbe(Protocol):
    """Looks for back ends that are gone."""

    async def refuses_connections(self, backend: Backend) -> bool:
        """Return whether nothing listens at a back end's address any more."""


class EngineCatalogue(Protocol):
    """Knows which services are engines."""

    def engine_traits(self, service: str) -> EngineTraits | None:
        """Return the traits of a service's engines, None for plain services."""


class AnswerEnds:
    """Tells whole answers from those that ended early."""

    def __init__(
        self, engines: EngineCatalogue, probe: BackendProbe, clock: Clock
    ) -> None:
        """Keep no state of answers."""
        self._engines = engines
        self._probe = probe
        self._clock = clock

    async def require_whole(
        self,
        progress: CallProgress,
        backend: Backend,
        awaited: AwaitedNotice,
        unfinished_event: bytes = b'',
    ) -> None:
        """Check an answer whose body has ended without an error.

        Parameters
        ----------
        unfinished_event
            Bytes of a stream after its last event.

        Raises
        ------
        BackendCutError
            The answer is not whole, or nothing shows that it is.
        """
        if unfinished_event:
            raise BackendCutError('the stream ended inside an event')
        if progress.framing is not AnswerFraming.close:
            return
        if not self._may_be_moved(progress):
            return
        awaited.refuse_stops()
        why = await self._find_doubt(progress, backend, awaited)
        log_decision(
            'closed_answer',
            request=progress.call.name,
            endpoint=backend.name,
            whole=not why,
            last_event=progress.order.last,
            stopping=backend.stopping or None,
            report_age=backend.report_age(self._clock.monotonic()),
            why=why or None,
        )
        if why:
            raise BackendCutError(why)

    async def await_notice(
        self, progress: CallProgress, backend: Backend, awaited: AwaitedNotice
    ) -> MoveNotice | None:
        """Return the notice that tells where a broken stream goes on."""
        if not self._may_be_moved(progress):
            return None
        seconds = _NOTICE_SECONDS
        if progress.call.route.resumable:
            seconds = _SHORT_NOTICE_SECONDS
        elif awaited.stop_announced:
            seconds = _STOPPED_NOTICE_SECONDS
        elif backend.stopping:
            seconds = _LEAVING_NOTICE_SECONDS
        return await awaited.wait(seconds)

    async def _find_doubt(
        self, progress: CallProgress, backend: Backend, awaited: AwaitedNotice
    ) -> str:
        """Return why a closed answer may not be whole, empty if it is."""
        if awaited.stop_announced:
            await self.await_notice(progress, backend, awaited)
        elif _may_stop_unannounced(backend, awaited):
            await awaited.wait(
                _SHORT_NOTICE_SECONDS
                if progress.call.route.resumable
                else _NOTICE_SECONDS
            )
        if awaited.stop_announced or awaited.moved:
            return 'closed as its run was stopped'
        if await self._is_gone(backend):
            return 'closed by an engine that is gone'
        return ''

    async def _is_gone(self, backend: Backend) -> bool:
        """Return whether an engine's process has ended.

        The kernel closes the connections of such a process just as a process
        closes them after whole answers.
        """
        with suppress(TimeoutError):
            async with asyncio.timeout(_PROBE_SECONDS):
                return await self._probe.refuses_connections(backend)
        return False

    def _may_be_moved(self, progress: CallProgress) -> bool:
        traits = self._engines.engine_traits(progress.call.service)
        return traits is not None and traits.moves


def _may_stop_unannounced(backend: Backend, awaited: AwaitedNotice) -> bool:
    """Return whether a run may have been stopped without an announcement.

    Older processes beside engines announce no stops.
    """
    if backend.announces_stops:
        return False
    is_unknown = awaited.may_be_stopped and backend.state is None
    return backend.stopping or is_unknown
