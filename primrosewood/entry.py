"""The process on an entry VM: callers' HTTP and the administration API."""

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
from .claims import ClaimKeeper
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

_STEP_SECONDS = 0.05
_REBUILD_SECONDS = 1.0
_CUT_SECONDS = 1.0
_ASK_SHARE = 0.6


class EntryProcess:
    """Ties callers, administration, connections and settings together."""

    def __init__(self, config: ProcessConfig) -> None:
        """Prepare; nothing is opened yet."""
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
        )
        self._claims = self._make_claims()
        self._callers = self._make_callers()
        self._administration = self._make_administration()
        self._server = LinkServer(
            self._store,
            config.keys.process_key,
            LinkServerCallbacks(
                welcome=self._welcome,
                load=lambda: None,
                handle=self._handle_peer,
                dropped=lambda _link: None,
            ),
        )
        self._announcer = Announcer(
            self._key_value, self._member(), settings.timing.lease_seconds
        )

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until asked to stop, then end gracefully."""
        entry = self._settings.entry
        limits = self._settings.limits
        async with self._server.listen(entry.links, limits, self._server_tls):
            tasks = self._start_followers()
            callers = await self._listen(
                self._callers.make_app(), entry.callers
            )
            administration = await self._listen(
                self._administration.make_app(), entry.administration
            )
            self._callers.ready = True
            await stop.wait()
            await self._drain(callers, administration)
            await self._announcer.withdraw()
            for task in tasks:
                task.cancel()
            self._links.stop()
            await callers.cleanup()
            await administration.cleanup()
        await self._key_value.close()

    def _start_followers(self) -> list[asyncio.Task]:
        timing = self._settings.timing
        scheduler = AsyncIOScheduler(asyncio.get_running_loop())
        self._fleet.changes(scheduler).subscribe(lambda _name: self._relink())
        self._store.changes.subscribe(lambda _record: self._spread())
        settings = Watcher(
            self._key_value,
            SETTINGS_PREFIX,
            PollSchedule(timing.poll_seconds),
            self._store.apply_pair,
        )
        members = Watcher(
            self._key_value,
            MEMBERS_PREFIX,
            PollSchedule(timing.poll_seconds),
            self._fleet.apply_pair,
        )
        tasks = [
            spawn(settings.run(), 'settings'),
            spawn(members.run(), 'members'),
            spawn(self._links.run_heartbeats(), 'heartbeats'),
            spawn(
                self._server.run_heartbeats(timing.quiet_heartbeat_seconds),
                'heartbeats to entries',
            ),
            spawn(self._announcer.run(), 'lease'),
            spawn(self._relink_now_and_then(), 'relink'),
        ]
        if self._settings.vm_list_url:
            tasks.append(spawn(self._make_vm_list().run(), 'vm list'))
        return tasks

    def _make_vm_list(self) -> VmListPoller:
        return VmListPoller(
            self._settings.vm_list_url,
            self._settings.timing.vm_list_seconds,
            self._fleet.apply_vm_list,
        )

    def _make_claims(self) -> ClaimRouter:
        settings = self._settings
        patience = settings.timing.store_timeout_seconds
        keeper = ClaimKeeper(
            self._key_value, self._clock, settings.claims, patience
        )
        self._metrics.watch('claim_swaps', lambda: keeper.swaps)
        return ClaimRouter(
            name=settings.name,
            keeper=keeper,
            fleet=self._fleet,
            links=self._links,
            shards=settings.claims.shards,
            patience=patience * _ASK_SHARE,
        )

    def _member(self) -> MemberRecord:
        return make_member(
            self._settings,
            self._settings.entry.links,
            self._incarnation,
            team='',
            service=ENTRY_SERVICE,
        )

    def _welcome(self) -> wire.Welcome:
        return wire.Welcome(
            process=self._settings.name,
            incarnation=self._incarnation,
            failure_domain=self._settings.failure_domain,
            load=wire.Load(running=0, queued=0, limit=0),
        )

    def _handle_peer(self, message: Message, link: Link) -> None:
        if isinstance(message, wire.ClaimAsk):
            self._claims.handle(message, link)

    def _make_callers(self) -> CallerApi:
        settings = self._settings
        tools = EntryContext(
            settings=settings,
            signing_key=self._config.keys.signing_key,
            store=self._store,
            fleet=self._fleet,
            links=self._links,
            claims=self._claims,
            policy=make_policy(settings.entry.policy, self._random),
            clock=self._clock,
            random=self._random,
            metrics=self._metrics,
        )
        self._metrics.watch('endpoints', lambda: len(self._fleet.views))
        callers = CallerApi(
            dispatcher=Dispatcher(tools),
            store=self._store,
            clock=self._clock,
            limits=settings.limits,
            signing_key=self._config.keys.signing_key,
            metrics=self._metrics,
        )
        self._metrics.watch('active', lambda: callers.active)
        return callers

    def _make_administration(self) -> AdministrationApi:
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
            shutdown_timeout=_CUT_SECONDS,
            max_line_size=self._settings.limits.header_bytes,
            max_field_size=self._settings.limits.header_bytes,
        )
        await runner.setup()
        site = web.TCPSite(
            runner, listen.host, listen.port, ssl_context=self._server_tls
        )
        await site.start()
        return runner

    def _spread(self) -> None:
        self._links.broadcast()
        self._server.broadcast()
        self._relink()

    def _relink(self) -> None:
        self._fleet.rebuild()
        wanted = self._fleet.subset_names | self._claims.writers()
        self._links.keep(self._fleet.views, wanted)

    async def _relink_now_and_then(self) -> None:
        # Deaths show by silence, which brings no change of a record.
        while True:
            await asyncio.sleep(_REBUILD_SECONDS)
            if self._fleet.remove_dead_members():
                self._relink()

    async def _drain(self, *runners: web.AppRunner) -> None:
        timing = self._settings.timing
        log_event('draining', active=self._callers.active)
        self._callers.ready = False
        self._callers.leaving = True
        await self._announcer.leave()
        # The balancer may send more until its next health check; these
        # requests are served like any other.
        await asyncio.sleep(timing.drain_seconds)
        self._callers.refusing = True
        self._administration.refusing = True
        try:
            async with asyncio.timeout(timing.stop_seconds):
                while self._has_work(runners):
                    await asyncio.sleep(_STEP_SECONDS)
        except TimeoutError:
            log_event('stopped_with_work_left', 'ERROR')
            self._callers.fail_unanswered()

    def _has_work(self, runners: tuple[web.AppRunner, ...]) -> bool:
        if self._callers.active or self._administration.active:
            return True
        return any(has_unsent_data(runner) for runner in runners)


def run(settings: str, check: bool = False) -> None:
    """Run an entry: callers' HTTP and the administration API.

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
    run_process(_run, 'entry', settings, check)


def main() -> None:
    """Run the binary ``primrosewood-entry``."""
    fire.Fire(run, name='primrosewood-entry')


async def _run(config: ProcessConfig, stop: asyncio.Event) -> None:
    await EntryProcess(config).run(stop)
