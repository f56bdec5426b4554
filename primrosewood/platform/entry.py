"""The entry process: accepts callers' requests and calls the back ends."""

import asyncio
from functools import partial

from aiohttp import web

from .. import gen_wire as wire
from ..backendset import BackendSet
from ..balancing import LeastCostBalancer
from ..calllimits import CallLimits
from ..callplacement import CallPlacement, PlacementDependencies
from ..clock import SystemClock, make_random
from ..codec import Message
from ..crashguard import CrashGuard, GuardDependencies
from ..engineview import EngineView
from ..entrycount import EntryCountRecorder
from ..gen_node import NodeSettings
from ..httpserver import (
    HttpLimits,
    listen,
    listen_metrics,
    split_address,
)
from ..identity import make_identifier
from ..link import Link
from ..metrics import Metrics
from ..moves import MoveNotices
from ..peerlink import LinkIdentity, PeerConnector, PeerServer
from ..process import run_step, spawn_restarting
from ..readschedule import ReadSchedule
from ..relay import Relay, RelayDependencies
from ..rolloutcontrol import RolloutControl, RolloutDependencies
from ..routes import CallerLimits, TableHolder
from ..sharedreader import SharedReader
from .discovery import Discovery
from .draining import drain, make_stop_window
from .engines import HttpTransport
from .frontend import HttpFrontend, answer_readiness_probe
from .rules import (
    make_entry_count,
    make_history,
    make_rules,
    make_urgent_room,
)
from .store import PlatformStore

__all__ = ('EntryNode',)

# A change in the key-value service must take effect here within two seconds.
# This leaves time for a read that times out and the one after it.
_STORE_TIMEOUT_SECONDS = 0.7
_TICK_INTERVAL_SECONDS = 0.1


class EntryNode:
    """Runs the servers and tasks of an entry and stops them in order."""

    def __init__(self, settings: NodeSettings) -> None:
        """Wire the components together; ``run`` opens the connections."""
        self._settings = settings
        self._clock = SystemClock()
        self._metrics = Metrics()
        self._tables = TableHolder()
        self._entries = make_entry_count()
        self._history = make_history(settings, self._clock)
        self._backends = BackendSet(
            self._entries,
            random=make_random(),
            started_at=self._clock.monotonic(),
        )
        self._notices = MoveNotices()
        self._store = PlatformStore(settings.store, _STORE_TIMEOUT_SECONDS)
        self._engines = EngineView(
            backends=self._backends,
            tables=self._tables,
            notices=self._notices,
            entries=self._entries,
            connector=PeerConnector(
                LinkIdentity(
                    settings.name,
                    make_identifier(),
                    settings.link_key,
                    wants_retries=True,
                    confirms_stops=True,
                ),
                self._clock,
                self._metrics,
            ),
            clock=self._clock,
            link_port=settings.link_port,
            handle_other=self._handle_message,
        )
        self._limits = CallLimits(
            self._backends,
            self._entries,
            self._clock,
            make_random(),
            self._engines.send_to_one,
        )
        self._transport = HttpTransport(
            self._clock,
            self._limits.record_answer,
            settings.priorities,
        )
        self._discovery = Discovery(
            self._tables,
            self._backends,
            self._clock,
            self._engines.schedule_update,
        )
        self._rollouts = self._make_rollouts()
        self._discovery.rollouts = self._rollouts
        self._entry_count = EntryCountRecorder(
            settings.name,
            self._entries,
            self._store,
            self._clock,
            make_random(),
        )
        self._discovery.entry_count = self._entry_count
        self._guard = CrashGuard(
            GuardDependencies(
                name=settings.name,
                writer=self._store,
                clock=self._clock,
                random=make_random(),
                send=self._engines.report_crash,
                refuses_connections=self._transport.refuses_connections,
                is_registered=self._backends.is_registered,
            )
        )
        self._discovery.guard = self._guard
        self._engines.may_receive = self._rollouts.may_receive
        self._store_reader = SharedReader(
            name=settings.name,
            view=self._discovery.make_view(self._store),
            clock=self._clock,
            schedule=ReadSchedule(
                settings.name,
                self._entries,
                make_random(),
                self._clock.monotonic(),
            ),
            send=self._engines.send_to_one,
            report_available=self._discovery.record_store_result,
            entries=self._entries,
        )
        self._urgent_room = make_urgent_room(settings)
        self._stop_window = make_stop_window(settings)
        self._frontend = self._make_frontend()
        self._peers = PeerServer(
            settings.link_key, self._engines.handle_announcement, self._metrics
        )

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set, then drain and close."""
        settings = self._settings
        self._register_gauges()
        caller_server = await listen(
            self._frontend.handle,
            settings.entry.callers,
            HttpLimits(header_timeout_seconds=self._get_header_timeout),
        )
        servers = [
            caller_server,
            await listen(
                partial(answer_readiness_probe, self._is_ready),
                settings.entry.ready,
                HttpLimits(),
            ),
        ]
        if settings.metrics_port:
            servers.append(
                await listen_metrics(
                    self._metrics, settings.host, settings.metrics_port
                )
            )
        tasks = [
            spawn_restarting(self._store_reader.run, 'store reader'),
            spawn_restarting(self._tick, 'tick'),
        ]
        async with self._peers.listen(*split_address(settings.entry.peers)):
            try:
                await stop.wait()
                self._begin_stop()
                await drain(caller_server, self._frontend)
            finally:
                await self._close(tasks, servers)

    def reload(self, settings: NodeSettings) -> None:
        """Apply the limits of reloaded settings."""
        self._placement.update_rules(make_rules(settings))
        self._transport.sends_priorities = settings.priorities
        self._urgent_room.enabled = (
            settings.priorities and not self._stop_window.begun
        )
        self._stop_window.seconds = make_stop_window(settings).seconds

    def _begin_stop(self) -> None:
        # What is held back begins now, to end before this process.
        self._urgent_room.enabled = False
        self._stop_window.begin(self._clock.monotonic())

    def _make_rollouts(self) -> RolloutControl:
        return RolloutControl(
            RolloutDependencies(
                name=self._settings.name,
                backends=self._backends,
                writer=self._store,
                clock=self._clock,
                random=make_random(),
                metrics=self._metrics,
                send=self._engines.send_to_one,
                retire=self._engines.retire,
            )
        )

    def _make_frontend(self) -> HttpFrontend:
        random = make_random()
        self._placement = CallPlacement(
            PlacementDependencies(
                rules=make_rules(self._settings),
                tables=self._tables,
                backends=self._backends,
                entries=self._entries,
                balancer=LeastCostBalancer(random),
                random=random,
                clock=self._clock,
                metrics=self._metrics,
                urgent_room=self._urgent_room,
                rollouts=self._rollouts,
                announce=self._engines.announce_call,
                count_call=self._limits.record_call,
                started_at=self._clock.monotonic(),
                guard=self._guard,
                history=self._history,
                report_retries=self._report_retries,
                keeps_retries=self._engines.keeps_retries,
            )
        )
        dependencies = RelayDependencies(
            placement=self._placement,
            notices=self._notices,
            transport=self._transport,
            clock=self._clock,
            metrics=self._metrics,
        )
        return HttpFrontend(
            Relay(dependencies),
            self._tables,
            self._clock,
            random,
            self._metrics,
            self._stop_window,
            self._settings.entry.body_memory_bytes,
            self._settings.link_key,
        )

    def _report_retries(self, record: wire.RetryRecord) -> None:
        self._engines.report_retries(
            wire.RetryReport(self._settings.name, record)
        )

    def _handle_message(self, message: Message, link: Link) -> None:
        if isinstance(message, wire.LimitReport):
            self._limits.merge_from_peer(message)
        elif isinstance(message, wire.RolloutReport):
            self._rollouts.handle(message)
        elif isinstance(message, wire.RetryRecall):
            self._history.merge(message)
        elif isinstance(message, wire.CrashReport):
            self._guard.merge_from_peer(message)
        else:
            self._store_reader.handle(message, link)

    def _register_gauges(self) -> None:
        watch = self._metrics.watch
        watch('active', lambda: self._frontend.active)
        watch('table_version', lambda: self._tables.version)
        watch('endpoints', lambda: len(self._backends.backends))
        watch('entries', lambda: self._entries.count)

    def _get_header_timeout(self) -> float:
        table = self._tables.table
        return (
            table.limits if table else CallerLimits()
        ).header_timeout_seconds

    def _is_ready(self) -> bool:
        # Stays ready during an outage of the key-value service: the routes and
        # back ends that were read before it remain in use.
        has_configuration = (
            self._tables.table is not None and self._backends.backends
        )
        return bool(has_configuration) and not self._stop_window.begun

    async def _tick(self) -> None:
        steps = {
            'back ends': self._discovery.remove_unregistered,
            'engines': self._engines.tick,
            'roll-outs': self._rollouts.tick,
            'entry count': self._entry_count.tick,
            'crash guard': self._guard.tick,
        }
        while True:
            await asyncio.sleep(_TICK_INTERVAL_SECONDS)
            for name, step in steps.items():
                run_step(step, name)

    async def _close(
        self, tasks: list[asyncio.Task], servers: list[web.ServerRunner]
    ) -> None:
        self._frontend.terminate_calls()
        for task in tasks:
            task.cancel()
        self._engines.stop()
        await asyncio.gather(*(server.cleanup() for server in servers))
        await self._transport.close()
        await self._store.close()
