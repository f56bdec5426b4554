"""The endpoint process, which runs next to a model engine on each VM."""

import asyncio
from collections.abc import Iterator

from .. import gen_wire as wire
from ..clock import SystemClock, make_random
from ..codec import Message
from ..enginekeeper import EngineKeeper
from ..gen_node import NodeSettings
from ..httpserver import listen_metrics
from ..identity import make_identifier
from ..link import Link
from ..logs import log_event
from ..metrics import Metrics
from ..movableengine import EngineLocation
from ..peerlink import LinkIdentity, PeerConnector, PeerLink, PeerServer
from ..process import spawn_restarting
from ..retryhistory import RetryArchive
from .engines import HttpMovableEngine

__all__ = ('EndpointNode',)

# Part of the time until SIGKILL that is kept free to close connections.
_CLOSE_RESERVE_SECONDS = 0.25
# Kept free before that to finish one copy and to report its location.
_LAST_MOVE_RESERVE_SECONDS = 0.5
_POLL_INTERVAL_SECONDS = 0.05
# An engine cannot register while the key-value service is down; entries learn
# of it from these announcements instead.
_ANNOUNCE_INTERVAL_SECONDS = 0.5


class EndpointNode:
    """Reports the state of the engine on this VM and moves its streams.

    Entries receive the reports.  Streams are moved to other engines when this
    engine is about to leave.
    """

    def __init__(self, settings: NodeSettings) -> None:
        """Wire the components together; ``run`` opens the connections."""
        self._settings = settings
        self._stop_seconds = settings.limits.stop_seconds
        self._metrics = Metrics()
        self._engine = HttpMovableEngine(
            settings.endpoint.engine, SystemClock()
        )
        location = EngineLocation(
            settings.endpoint.service, settings.failure_domain
        )
        self._keeper = EngineKeeper(
            self._engine, location, SystemClock(), self._metrics, make_random()
        )
        self._server = PeerServer(
            settings.link_key,
            self._handle_message,
            self._metrics,
            self._make_greeting,
        )
        self._keeper.server = self._server
        self._retries = RetryArchive(SystemClock())

    async def run(self, stop: asyncio.Event) -> None:
        """Serve entries until ``stop`` is set, then drain."""
        settings = self._settings
        self._metrics.watch('entries', lambda: self._server.peers)
        async with self._server.listen(settings.host, settings.link_port):
            runner = None
            if settings.metrics_port:
                runner = await listen_metrics(
                    self._metrics, settings.host, settings.metrics_port
                )
            try:
                await self._run_until_stopped(stop)
            finally:
                if runner is not None:
                    await runner.cleanup()
                await self._engine.close()

    def reload(self, settings: NodeSettings) -> None:
        """Apply the limits of reloaded settings."""
        self._stop_seconds = settings.limits.stop_seconds

    def _handle_message(self, message: Message, link: Link) -> None:
        if isinstance(message, wire.RetryReport):
            self._retries.record(message)
        else:
            self._keeper.handle(message, link)

    def _make_greeting(self, hello: wire.Hello) -> Iterator[Message]:
        if hello.confirms_stops:
            yield wire.StopPolicy(announces_stops=True)
        if self._keeper.last_report is not None:
            yield self._keeper.last_report
        if hello.wants_retries:
            yield self._retries.recall(hello.process)

    async def _run_until_stopped(self, stop: asyncio.Event) -> None:
        keeper_task = spawn_restarting(self._keeper.run, 'keeper')
        identification_task = spawn_restarting(
            self._keeper.run_identification, 'engine name'
        )
        announcement_task = spawn_restarting(
            self._run_announcements, 'announcements'
        )
        try:
            await stop.wait()
            log_event('leaving', entries=self._server.peers)
            await self._drain()
        finally:
            for task in (identification_task, announcement_task, keeper_task):
                task.cancel()

    async def _run_announcements(self) -> None:
        """Announce the engine to the seed entries until cancelled."""
        settings = self._settings
        connector = PeerConnector(
            LinkIdentity(settings.name, make_identifier(), settings.link_key),
            SystemClock(),
            self._metrics,
        )
        links = [
            connector.open(f'ws://{seed}', _ignore_message)
            for seed in settings.seeds
        ]
        try:
            await self._send_announcements(links)
        finally:
            for link in links:
                link.stop()

    async def _send_announcements(self, links: list[PeerLink]) -> None:
        while True:
            # At once when the engine has started, and again at intervals for
            # entries that start later.
            await self._keeper.wait_identified(_ANNOUNCE_INTERVAL_SECONDS)
            announcement = self._keeper.found
            for link in links:
                if announcement is not None:
                    link.send(announcement)

    async def _drain(self) -> None:
        """Keep moving streams until none is left or the stop time is over.

        The platform takes the VM away together with its engine.  If this
        process ended at once, nothing would move the streams that still run.
        """
        drain_seconds = self._stop_seconds - _CLOSE_RESERVE_SECONDS
        try:
            async with asyncio.timeout(drain_seconds):
                await self._wait_for_moves(
                    drain_seconds - _LAST_MOVE_RESERVE_SECONDS
                )
        except TimeoutError:
            log_event('stopped_in_a_move', 'ERROR')

    async def _wait_for_moves(self, seconds: float) -> None:
        """Wait until no stream is left; begin no move after ``seconds``."""
        try:
            async with asyncio.timeout(seconds):
                while self._keeper.needed:
                    await asyncio.sleep(_POLL_INTERVAL_SECONDS)
        except TimeoutError:
            log_event('stopped_with_work_left', 'ERROR')
        self._keeper.stop_moves()
        while self._keeper.moving:
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)


def _ignore_message(_message: Message, _link: Link) -> None:
    """Discard what an entry sends on a link that only carries announcements."""
