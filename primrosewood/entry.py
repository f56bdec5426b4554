"""Entry process: serves the callers' HTTP API and the administration API."""

import asyncio

import fire
from aiohttp import web
from reactivex.scheduler.eventloop import AsyncIOScheduler

from . import gen_wire as wire
from .administration import AdministrationApi
from .announce import MEMBERS_PREFIX, Announcer, make_member
from .callers import CallerApi
from .changes import SettingsEditor
from .claimrouter import ClaimRouter
from .claims import ClaimWriter
from .clock import SystemClock, make_random
from .codec import Message
from .config import ProcessConfig, make_tls_contexts
from .dispatch import Dispatcher
from .etcd import EtcdKeyValue
from .fleet import ENTRY_SERVICE, Fleet
from .gen_process import Listen
from .gen_stored import MemberRecord
from .identity import make_identifier
from .link import Link
from .linkpool import LinkPool
from .linkserver import LinkServer, LinkServerCallbacks
from .logs import log_event
from .metrics import Metrics
from .process import run_process, spawn
from .progress import EntryContext
from .routing import make_policy
from .settings import SETTINGS_PREFIX, SettingsStore
from .unsent import has_unsent_data
from .vmlist import VmListPoller
from .watcher import PollSchedule, Watcher

__all__ = ('EntryProcess', 'main', 'run')

_DRAIN_POLL_SECONDS = 0.05
_DEAD_MEMBER_CHECK_SECONDS = 1.0
_HTTP_SHUTDOWN_SECONDS = 1.0
# Share of the store timeout that another entry has to answer a claim.
_PEER_TIMEOUT_SHARE = 0.6


class EntryProcess:
    """Connects the HTTP APIs, links to endpoints, membership and settings."""

    def __init__(self, config: ProcessConfig) -> None:
        """Create the components without opening ports or connections."""
        self._config = config
        settings = config.settings
        self._settings = settings
        self._clock = SystemClock()
        self._random = make_random()
        self._metrics = Metrics()
        self._store = SettingsStore()
        self._key_value = EtcdKeyValue(
            settings.store_url, settings.timing.store_timeout_seconds
        )
        self._fleet = Fleet(
            settings.name, self._store, self._clock, settings.timing
        )
        self._server_tls, client_tls = make_tls_contexts(
            settings.tls, config.folder
        )
        self._incarnation = make_identifier()
        self._links = LinkPool(
            settings=settings,
            incarnation=self._incarnation,
            process_key=config.keys.process_key,
            tls=client_tls,
            store=self._store,
            clock=self._clock,
            random=self._random,
            metrics=self._metrics,
        )
        self._claim_router = self._make_claim_router()
        self._caller_api = self._make_caller_api()
        self._administration_api = self._make_administration_api()
        self._link_server = LinkServer(
            self._store,
            config.keys.process_key,
            LinkServerCallbacks(
                make_welcome=self._make_welcome,
                current_load=lambda: None,
                handle_message=self._handle_peer_message,
                on_link_closed=lambda _link: None,
            ),
            self._metrics,
        )
        self._announcer = Announcer(
            self._key_value,
            self._make_member_record(),
            settings.timing.lease_seconds,
        )

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until the event is set, then drain and shut down."""
        entry = self._settings.entry
        limits = self._settings.limits
        async with self._link_server.listen(
            entry.links, limits, self._server_tls
        ):
            tasks = self._start_background_tasks()
            caller_runner = await self._listen(
                self._caller_api.make_app(), entry.callers
            )
            administration_runner = await self._listen(
                self._administration_api.make_app(), entry.administration
            )
            self._caller_api.ready = True
            await stop.wait()
            await self._drain(caller_runner, administration_runner)
            await self._announcer.withdraw()
            for task in tasks:
                task.cancel()
            self._links.stop()
            await caller_runner.cleanup()
            await administration_runner.cleanup()
        await self._key_value.close()

    def _start_background_tasks(self) -> list[asyncio.Task]:
        timing = self._settings.timing
        scheduler = AsyncIOScheduler(asyncio.get_running_loop())
        self._fleet.changes(scheduler).subscribe(
            lambda _name: self._update_links()
        )
        self._store.changes.subscribe(
            lambda _record: self._handle_settings_change()
        )
        settings_watcher = Watcher(
            self._key_value,
            SETTINGS_PREFIX,
            PollSchedule(timing.poll_seconds),
            self._store.apply_pair,
        )
        member_watcher = Watcher(
            self._key_value,
            MEMBERS_PREFIX,
            PollSchedule(timing.poll_seconds),
            self._fleet.apply_pair,
        )
        tasks = [
            spawn(settings_watcher.run(), 'settings'),
            spawn(member_watcher.run(), 'members'),
            spawn(self._links.run_heartbeats(), 'heartbeats'),
            spawn(
                self._link_server.run_heartbeats(
                    timing.quiet_heartbeat_seconds
                ),
                'heartbeats to entries',
            ),
            spawn(self._announcer.run(), 'lease'),
            spawn(self._remove_dead_members_periodically(), 'relink'),
        ]
        if self._settings.vm_list_url:
            tasks.append(spawn(self._make_vm_list_poller().run(), 'vm list'))
        return tasks

    def _make_vm_list_poller(self) -> VmListPoller:
        return VmListPoller(
            self._settings.vm_list_url,
            self._settings.timing.vm_list_seconds,
            self._fleet.apply_vm_list,
        )

    def _make_claim_router(self) -> ClaimRouter:
        settings = self._settings
        timeout_seconds = settings.timing.store_timeout_seconds
        claim_writer = ClaimWriter(
            self._key_value, self._clock, settings.claims, timeout_seconds
        )
        self._metrics.watch('claim_swaps', lambda: claim_writer.swaps)
        return ClaimRouter(
            name=settings.name,
            claim_writer=claim_writer,
            fleet=self._fleet,
            links=self._links,
            shards=settings.claims.shards,
            timeout_seconds=timeout_seconds * _PEER_TIMEOUT_SHARE,
        )

    def _make_member_record(self) -> MemberRecord:
        return make_member(
            self._settings,
            self._settings.entry.links,
            self._incarnation,
            team='',
            service=ENTRY_SERVICE,
        )

    def _make_welcome(self) -> wire.Welcome:
        return wire.Welcome(
            process=self._settings.name,
            incarnation=self._incarnation,
            failure_domain=self._settings.failure_domain,
            load=wire.Load(running=0, queued=0, limit=0),
        )

    def _handle_peer_message(self, message: Message, link: Link) -> None:
        if isinstance(message, wire.ClaimQuery):
            self._claim_router.handle(message, link)

    def _make_caller_api(self) -> CallerApi:
        settings = self._settings
        context = EntryContext(
            settings=settings,
            signing_key=self._config.keys.signing_key,
            store=self._store,
            fleet=self._fleet,
            links=self._links,
            claims=self._claim_router,
            policy=make_policy(settings.entry.policy, self._random),
            clock=self._clock,
            random=self._random,
            metrics=self._metrics,
        )
        self._metrics.watch('endpoints', lambda: len(self._fleet.views))
        caller_api = CallerApi(
            dispatcher=Dispatcher(context),
            store=self._store,
            clock=self._clock,
            limits=settings.limits,
            signing_key=self._config.keys.signing_key,
            metrics=self._metrics,
        )
        self._metrics.watch('active', lambda: caller_api.active)
        return caller_api

    def _make_administration_api(self) -> AdministrationApi:
        return AdministrationApi(
            name=self._settings.name,
            editor=SettingsEditor(self._key_value, self._clock),
            store=self._store,
            fleet=self._fleet,
            keys=self._config.keys,
            limits=self._settings.limits,
        )

    async def _listen(
        self, app: web.Application, listen: Listen
    ) -> web.AppRunner:
        runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=_HTTP_SHUTDOWN_SECONDS,
            max_line_size=self._settings.limits.header_bytes,
            max_field_size=self._settings.limits.header_bytes,
        )
        await runner.setup()
        site = web.TCPSite(
            runner, listen.host, listen.port, ssl_context=self._server_tls
        )
        await site.start()
        return runner

    def _handle_settings_change(self) -> None:
        self._links.broadcast()
        self._link_server.broadcast()
        self._update_links()

    def _update_links(self) -> None:
        self._fleet.rebuild()
        names = self._fleet.subset_names | self._claim_router.writers()
        self._links.connect_only(self._fleet.views, names)

    async def _remove_dead_members_periodically(self) -> None:
        # A member counts as dead only once its link is silent as well, and
        # silence changes no membership record that a watch could report.
        while True:
            await asyncio.sleep(_DEAD_MEMBER_CHECK_SECONDS)
            if self._fleet.remove_dead_members():
                self._update_links()

    async def _drain(self, *runners: web.AppRunner) -> None:
        timing = self._settings.timing
        log_event('draining', active=self._caller_api.active)
        self._caller_api.ready = False
        self._caller_api.leaving = True
        await self._announcer.leave()
        # The load balancer sends new requests until its next health check
        # fails; they are served as usual.
        await asyncio.sleep(timing.drain_seconds)
        self._caller_api.refusing = True
        self._administration_api.refusing = True
        try:
            async with asyncio.timeout(timing.stop_seconds):
                while self._has_pending_work(runners):
                    await asyncio.sleep(_DRAIN_POLL_SECONDS)
        except TimeoutError:
            log_event('stopped_with_work_left', 'ERROR')
            self._caller_api.fail_unanswered()

    def _has_pending_work(self, runners: tuple[web.AppRunner, ...]) -> bool:
        if self._caller_api.active or self._administration_api.active:
            return True
        return any(has_unsent_data(runner) for runner in runners)


def run(settings: str, check: bool = False) -> None:
    """Run an entry: the callers' HTTP API and the administration API.

    SIGTERM and SIGINT start a graceful shutdown: new requests are served
    until the load balancer has had time to react and refused after that. The
    process exits when every response in progress has been sent, or when the
    stop timeout expires.

    Parameters
    ----------
    settings
        Path of the local settings file (JSON); `primrosewood-ctl schema
        process` prints its schema.
    check
        Only validate the settings file and the key file that it names.
    """
    run_process(_run, 'entry', settings, check)


def main() -> None:
    """Run the program ``primrosewood-entry``."""
    fire.Fire(run, name='primrosewood-entry')


async def _run(config: ProcessConfig, stop: asyncio.Event) -> None:
    await EntryProcess(config).run(stop)
