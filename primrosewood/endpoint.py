"""The process beside an engine or plain service: the only door to it."""

import asyncio

import fire
from aiohttp import web

from . import gen_wire as wire
from .announce import Announcer, make_member
from .backends import HttpEngine, HttpService
from .clock import SystemClock
from .config import ProcessConfig, make_tls_contexts
from .errors import BackendCutError
from .etcd import EtcdKeyValue
from .gen_stored import MemberRecord
from .identity import make_identifier
from .linkserver import LinkServer, LinkServerCallbacks
from .logs import log_event
from .metrics import Metrics
from .process import run_process, spawn
from .settings import SETTINGS_PREFIX, SettingsStore
from .watcher import PollSchedule, Watcher
from .worker import EndpointIdentity, Worker

__all__ = ('EndpointProcess', 'main', 'run')

_TICK_SECONDS = 0.1
_LOAD_SECONDS = 1.0
_POLL_FACTOR = 6
# What entries sent before they heard of the leave comes within a round trip
# between regions, and the time that a busy entry takes to read.
_NEWS_SECONDS = 0.5


class EndpointProcess:
    """Ties links, worker, membership record and settings together."""

    def __init__(self, config: ProcessConfig) -> None:
        """Prepare; nothing is opened yet."""
        self._config = config
        settings = config.settings
        self._settings = settings
        self._place = EndpointIdentity(
            name=settings.name,
            incarnation=make_identifier(),
            team=settings.endpoint.team,
            service=settings.endpoint.service,
            failure_domain=settings.failure_domain,
        )
        self._metrics = Metrics()
        self._store = SettingsStore()
        timeout = settings.timing.store_timeout_seconds
        self._key_value = EtcdKeyValue(settings.store_url, timeout)
        self._announcer = Announcer(
            self._key_value, self._member(), settings.timing.lease_seconds
        )
        self._server_tls = make_tls_contexts(settings.tls, config.folder)[0]
        url = settings.endpoint.backend_url
        self._engine = HttpEngine(url)
        self._service = HttpService(url)
        self._worker = Worker(
            place=self._place,
            store=self._store,
            engine=self._engine,
            plain_service=self._service,
            clock=SystemClock(),
            limits=settings.limits,
            timing=settings.timing,
            metrics=self._metrics,
        )
        self._server = LinkServer(
            self._store,
            config.keys.process_key,
            LinkServerCallbacks(
                welcome=self._welcome,
                load=lambda: self._worker.load,
                handle=self._worker.handle,
                dropped=self._worker.drop_link,
            ),
        )

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until asked to stop, then end gracefully."""
        tasks = [spawn(self._follow_settings(), 'settings')]
        self._watch_metrics()
        self._store.changes.subscribe(lambda _record: self._server.broadcast())
        listen = self._settings.endpoint.links
        limits = self._settings.limits
        async with self._server.listen(listen, limits, self._server_tls):
            runner = await self._serve_metrics()
            tasks.append(spawn(self._tick(), 'tick'))
            seconds = self._settings.timing.heartbeat_seconds
            beating = self._server.run_heartbeats(seconds)
            tasks.append(spawn(beating, 'heartbeats'))
            tasks.append(spawn(self._read_load(), 'engine load'))
            announcing = spawn(self._announcer.run(), 'lease')
            await stop.wait()
            await self._leave(announcing)
        for task in tasks:
            task.cancel()
        if runner is not None:
            await runner.cleanup()
        await self._engine.close()
        await self._service.close()
        await self._key_value.close()

    def _watch_metrics(self) -> None:
        admission = self._worker.admission
        watch = self._metrics.watch
        watch('running', lambda: admission.running)
        watch('queued', lambda: len(admission.queue))
        watch('limit', lambda: admission.limit.limit)
        watch('memory_permille', lambda: admission.memory.permille)
        watch('links', lambda: self._server.count)

    async def _follow_settings(self) -> None:
        # Connected entries bring changes within a heartbeat, so this process
        # holds no watch; slow polls cover the time without connections.
        seconds = self._settings.timing.poll_seconds * _POLL_FACTOR
        watcher = Watcher(
            self._key_value,
            SETTINGS_PREFIX,
            PollSchedule(seconds),
            self._store.apply_pair,
        )
        await watcher.run(watch=False)

    def _member(self) -> MemberRecord:
        endpoint = self._settings.endpoint
        return make_member(
            self._settings,
            endpoint.links,
            self._place.incarnation,
            team=endpoint.team,
            service=endpoint.service,
        )

    def _welcome(self) -> wire.Welcome:
        return wire.Welcome(
            process=self._place.name,
            incarnation=self._place.incarnation,
            failure_domain=self._place.failure_domain,
            load=self._worker.load,
        )

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            self._worker.tick()

    async def _read_load(self) -> None:
        while True:
            await asyncio.sleep(_LOAD_SECONDS)
            if not self._worker.serves_model:
                continue
            try:
                load = await self._engine.read_load()
            except BackendCutError as error:
                log_event('engine_silent', 'WARNING', why=error)
            else:
                self._worker.update_engine_load(load)

    async def _serve_metrics(self) -> web.AppRunner | None:
        listen = self._settings.endpoint.metrics
        if not listen:
            return None
        app = web.Application()
        app.router.add_get('/metrics', self._show_metrics)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, listen.host, listen.port).start()
        return runner

    async def _show_metrics(self, _request: web.Request) -> web.Response:
        return web.Response(body=self._metrics.expose())

    async def _leave(self, announcing: asyncio.Task) -> None:
        log_event('leaving')
        self._worker.leave()
        self._server.broadcast()
        await self._announcer.leave()
        await self._finish_work()
        # Until now the record tells entries that start where streams run.
        announcing.cancel()
        await self._announcer.withdraw()
        await self._server.close_links()

    async def _finish_work(self) -> None:
        deadline = self._settings.timing.stop_seconds
        try:
            async with asyncio.timeout(deadline):
                # An offer that finds the link closed may have run, as far as
                # its entry knows; here it is refused.
                await asyncio.sleep(_NEWS_SECONDS)
                while not self._worker.idle:
                    await asyncio.sleep(_TICK_SECONDS)
        except TimeoutError:
            log_event('stopped_with_work_left', 'ERROR')


def run(settings: str, check: bool = False) -> None:
    """Run the process beside one engine or plain service.

    SIGTERM and SIGINT ask for a planned stop: new work is refused, and the
    process ends when every running answer has been handed on.

    Parameters
    ----------
    settings
        Path of the local settings file (JSON); `primrosewood-ctl schema
        process` prints its schema.
    check
        Only check the settings file and the key file it names.
    """
    run_process(_run, 'endpoint', settings, check)


def main() -> None:
    """Run the binary ``primrosewood-endpoint``."""
    fire.Fire(run, name='primrosewood-endpoint')


async def _run(config: ProcessConfig, stop: asyncio.Event) -> None:
    await EndpointProcess(config).run(stop)
