"""The process beside a model engine on the platform."""

import asyncio

from ..clock import SystemClock
from ..enginekeeper import EngineKeeper, KeeperPlace
from ..enginelink import EngineLinkServer
from ..gen_node import NodeSettings
from ..httpserver import listen_metrics
from ..logs import log_event
from ..metrics import Metrics
from ..process import spawn
from .engines import HttpMovableEngine

__all__ = ('EndpointNode',)

# Left of the time until SIGKILL to close what is open.
_CLOSE_SECONDS = 0.7
_TICK_SECONDS = 0.05


class EndpointNode:
    """Ties the engine, its keeper and the links of entries together."""

    def __init__(self, settings: NodeSettings) -> None:
        """Prepare; nothing is opened yet."""
        self._settings = settings
        self._metrics = Metrics()
        self._engine = HttpMovableEngine(settings.endpoint.engine)
        place = KeeperPlace(settings.endpoint.service, settings.failure_domain)
        self._keeper = EngineKeeper(
            self._engine, place, SystemClock(), self._metrics
        )
        self._server = EngineLinkServer(settings.link_key, self._keeper.handle)
        self._keeper.server = self._server

    async def run(self, stop: asyncio.Event) -> None:
        """Follow the engine until asked to stop."""
        settings = self._settings
        self._metrics.watch('entries', lambda: self._server.entries)
        async with self._server.listen(settings.host, settings.link_port):
            runner = None
            if settings.metrics_port:
                runner = await listen_metrics(
                    self._metrics, settings.host, settings.metrics_port
                )
            keeping = spawn(self._keeper.run(), 'keeper')
            await stop.wait()
            log_event('leaving', entries=self._server.entries)
            await self._finish()
            keeping.cancel()
            if runner is not None:
                await runner.cleanup()
        await self._engine.close()

    async def _finish(self) -> None:
        """Stay until the engine has gone, as far as the platform lets us.

        The VM is taken away together with its engine; a process that ended at
        once would leave the streams there to nobody.
        """
        seconds = self._settings.limits.stop_seconds - _CLOSE_SECONDS
        try:
            async with asyncio.timeout(seconds):
                while self._keeper.needed:
                    await asyncio.sleep(_TICK_SECONDS)
        except TimeoutError:
            log_event('stopped_with_work_left', 'ERROR')
