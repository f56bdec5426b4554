"""The process beside a model engine on the platform."""

import asyncio

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
from ..peerlink import LinkIdentity, PeerLink, PeerServer
from ..process import spawn
from .engines import HttpMovableEngine

__all__ = ('EndpointNode',)

# Left of the time until SIGKILL to close what is open.
_CLOSE_SECONDS = 0.25
# Of what is left, for the last part of one copy and the word of where it is.
_LAST_MOVE_SECONDS = 0.5
_TICK_SECONDS = 0.05
# Entries hear of a new engine within this time while the key-value service,
# where it would register, is away.
_ANNOUNCE_SECONDS = 0.5


class EndpointNode:
    """Ties the engine, its keeper and the links of entries together."""

    def __init__(self, settings: NodeSettings) -> None:
        """Prepare; nothing is opened yet."""
        self._settings = settings
        self._stop_seconds = settings.limits.stop_seconds
        self._metrics = Metrics()
        self._engine = HttpMovableEngine(settings.endpoint.engine)
        place = EngineLocation(
            settings.endpoint.service, settings.failure_domain
        )
        self._keeper = EngineKeeper(
            self._engine, place, SystemClock(), self._metrics, make_random()
        )
        self._server = PeerServer(
            settings.link_key,
            self._keeper.handle,
            lambda: self._keeper.last_report,
        )
        self._keeper.server = self._server

    async def run(self, stop: asyncio.Event) -> None:
        """Follow the engine until asked to stop."""
        settings = self._settings
        self._metrics.watch('entries', lambda: self._server.peers)
        async with self._server.listen(settings.host, settings.link_port):
            runner = None
            if settings.metrics_port:
                runner = await listen_metrics(
                    self._metrics, settings.host, settings.metrics_port
                )
            try:
                await self._follow_engine(stop)
            finally:
                if runner is not None:
                    await runner.cleanup()
                await self._engine.close()

    def reload(self, settings: NodeSettings) -> None:
        """Take on the limits of changed settings."""
        self._stop_seconds = settings.limits.stop_seconds

    async def _follow_engine(self, stop: asyncio.Event) -> None:
        keeping = spawn(self._keeper.run(), 'keeper')
        naming = spawn(self._keeper.run_identification(), 'engine name')
        announcing = spawn(self._announce(), 'announcements')
        try:
            await stop.wait()
            log_event('leaving', entries=self._server.peers)
            await self._finish()
        finally:
            for task in (naming, announcing, keeping):
                task.cancel()

    async def _announce(self) -> None:
        """Tell the engine to entries that may not know it."""
        settings = self._settings
        identity = LinkIdentity(
            settings.name, make_identifier(), settings.link_key
        )
        links = [
            PeerLink(f'ws://{seed}', identity, SystemClock(), _ignore)
            for seed in settings.seeds
        ]
        try:
            await self._send_found(links)
        finally:
            for link in links:
                link.stop()

    async def _send_found(self, links: list[PeerLink]) -> None:
        while True:
            # At once when it has started, and again for entries that start.
            await self._keeper.wait_identified(_ANNOUNCE_SECONDS)
            found = self._keeper.found
            for link in links:
                if found is not None:
                    link.send(found)

    async def _finish(self) -> None:
        """Stay until the engine has gone, as far as the platform lets us.

        The VM is taken away together with its engine; a process that ended at
        once would leave the streams there to nobody.
        """
        seconds = self._stop_seconds - _CLOSE_SECONDS
        try:
            async with asyncio.timeout(seconds):
                await self._await_end(seconds - _LAST_MOVE_SECONDS)
        except TimeoutError:
            log_event('stopped_in_a_move', 'ERROR')

    async def _await_end(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                while self._keeper.needed:
                    await asyncio.sleep(_TICK_SECONDS)
        except TimeoutError:
            log_event('stopped_with_work_left', 'ERROR')
        self._keeper.stop_moves()
        while self._keeper.moving:
            await asyncio.sleep(_TICK_SECONDS)


def _ignore(_message: Message, _link: Link) -> None:
    """Do nothing with what an entry says on this link."""
