"""Endpoint process: all calls to one engine or plain service go through it."""

import asyncio

import fire
from aiohttp import web

from . import gen_wire as wire
from .announce import Announcer, make_member
from .backends import HttpEngine, HttpService
from .clock import SystemClock
from .config import ProcessConfig, make_tls_contexts
from .errors import BackendCutError, BackendPausedError
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
_LOAD_POLL_SECONDS = 1.0
_SETTINGS_POLL_FACTOR = 6
# Covers a round trip between regions and the time a busy entry takes to read:
# an offer sent before the entry learnt of the drain arrives within it.
_LATE_OFFER_SECONDS = 0.5


class EndpointProcess:
    """Connects the link server, worker, membership record and settings."""

    def __init__(self, config: ProcessConfig) -> None:
        """Create the components without opening ports or connections."""
        self._config = config
        settings = config.settings
        self._settings = settings
        self._identity = EndpointIdentity(
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
            self._key_value,
            self._make_member_record(),
            settings.timing.lease_seconds,
        )
        self._server_tls = make_tls_contexts(settings.tls, config.folder)[0]
        url = settings.endpoint.backend_url
        self._engine = HttpEngine(url)
        self._service = HttpService(url)
        self._worker = Worker(
            identity=self._identity,
            store=self._store,
            engine=self._engine,
            plain_service=self._service,
            clock=SystemClock(),
            limits=settings.limits,
            timing=settings.timing,
            metrics=self._metrics,
        )
        self._link_server = LinkServer(
            self._store,
            config.keys.process_key,
            LinkServerCallbacks(
                make_welcome=self._make_welcome,
                current_load=lambda: self._worker.load,
                handle_message=self._worker.handle,
                on_link_closed=self._worker.drop_link,
            ),
            self._metrics,
        )

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until the event is set, then drain and shut down."""
        tasks = [spawn(self._poll_settings(), 'settings')]
        self._register_metrics()
        self._store.changes.subscribe(
            lambda _record: self._link_server.broadcast()
        )
        listen = self._settings.endpoint.links
        limits = self._settings.limits
        async with self._link_server.listen(listen, limits, self._server_tls):
            metrics_runner = await self._serve_metrics()
            tasks.append(spawn(self._tick_periodically(), 'tick'))
            heartbeat_seconds = self._settings.timing.heartbeat_seconds
            heartbeats = self._link_server.run_heartbeats(heartbeat_seconds)
            tasks.append(spawn(heartbeats, 'heartbeats'))
            tasks.append(spawn(self._poll_engine_load(), 'engine load'))
            announcer_task = spawn(self._announcer.run(), 'lease')
            await stop.wait()
            await self._drain(announcer_task)
        for task in tasks:
            task.cancel()
        if metrics_runner is not None:
            await metrics_runner.cleanup()
        await self._engine.close()
        await self._service.close()
        await self._key_value.close()

    def _register_metrics(self) -> None:
        admission = self._worker.admission
        watch = self._metrics.watch
        watch('running', lambda: admission.running)
        watch('queued', lambda: len(admission.queue))
        watch('limit', lambda: admission.limit.limit)
        watch('memory_permille', lambda: admission.memory.permille)
        watch('links', lambda: self._link_server.count)

    async def _poll_settings(self) -> None:
        # Connected entries report changes within one heartbeat, so this
        # process opens no watch; slow polls cover times without connections.
        poll_seconds = (
            self._settings.timing.poll_seconds * _SETTINGS_POLL_FACTOR
        )
        watcher = Watcher(
            self._key_value,
            SETTINGS_PREFIX,
            PollSchedule(poll_seconds),
            self._store.apply_pair,
        )
        await watcher.run(watch=False)

    def _make_member_record(self) -> MemberRecord:
        endpoint = self._settings.endpoint
        return make_member(
            self._settings,
            endpoint.links,
            self._identity.incarnation,
            team=endpoint.team,
            service=endpoint.service,
        )

    def _make_welcome(self) -> wire.Welcome:
        return wire.Welcome(
            process=self._identity.name,
            incarnation=self._identity.incarnation,
            failure_domain=self._identity.failure_domain,
            load=self._worker.load,
        )

    async def _tick_periodically(self) -> None:
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            self._worker.tick()

    async def _poll_engine_load(self) -> None:
        while True:
            await asyncio.sleep(_LOAD_POLL_SECONDS)
            if not self._worker.serves_model:
                continue
            try:
                load = await self._engine.read_load()
            except (BackendCutError, BackendPausedError) as error:
                log_event('engine_silent', 'WARNING', why=error)
            else:
                self._worker.update_engine_load(load)

    async def _serve_metrics(self) -> web.AppRunner | None:
        listen = self._settings.endpoint.metrics
        if not listen:
            return None
        app = web.Application()
        app.router.add_get('/metrics', self._handle_metrics)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, listen.host, listen.port).start()
        return runner

    async def _handle_metrics(self, _request: web.Request) -> web.Response:
        return web.Response(body=self._metrics.expose())

    async def _drain(self, announcer_task: asyncio.Task) -> None:
        log_event('leaving')
        self._worker.leave()
        self._link_server.broadcast()
        await self._announcer.leave()
        await self._wait_until_idle()
        # The membership record stays until the work is done, so that entries
        # that start meanwhile find the endpoint and can resume its streams.
        announcer_task.cancel()
        await self._announcer.withdraw()
        await self._link_server.close_links()

    async def _wait_until_idle(self) -> None:
        timeout_seconds = self._settings.timing.stop_seconds
        try:
            async with asyncio.timeout(timeout_seconds):
                # Keeps the links open for offers that are still on the way.
                # An entry whose offer meets a closed link cannot know whether
                # it ran; an offer that arrives here is refused instead.
                await asyncio.sleep(_LATE_OFFER_SECONDS)
                while not self._worker.idle:
                    await asyncio.sleep(_TICK_SECONDS)
        except TimeoutError:
            log_event('stopped_with_work_left', 'ERROR')


def run(settings: str, check: bool = False) -> None:
    """Run the process beside one engine or plain service.

    SIGTERM and SIGINT start a graceful shutdown: new work is refused, and the
    process exits when the outcome of all accepted work has been delivered, or
    when the stop timeout expires.

    Parameters
    ----------
    settings
        Path of the local settings file (JSON); `primrosewood-ctl schema
        process` prints its schema.
    check
        Only validate the settings file and the key file that it names.
    """
    run_process(_run, 'endpoint', settings, check)


def main() -> None:
    """Run the program ``primrosewood-endpoint``."""
    fire.Fire(run, name='primrosewood-endpoint')


async def _run(config: ProcessConfig, stop: asyncio.Event) -> None:
    await EndpointProcess(config).run(stop)
