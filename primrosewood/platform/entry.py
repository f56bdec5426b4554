"""The entry on the platform: callers in front, back ends behind."""

import asyncio
from functools import partial

from aiohttp import web

from .. import gen_wire as wire
from ..backendset import BackendSet
from ..balancing import LeastCostBalancer
from ..calllimits import CallLimits
from ..callplacement import CallPlacement, PlacementDependencies, RelayRules
from ..clock import SystemClock, make_random
from ..codec import Message
from ..engineview import EngineView
from ..gen_node import NodeSettings
from ..httpserver import (
    HttpLimits,
    listen,
    listen_metrics,
    release_connections,
    split_address,
    stop_listening,
)
from ..identity import make_identifier
from ..link import Link
from ..logs import log_event
from ..metrics import Metrics
from ..moves import MoveNotices
from ..peerlink import LinkIdentity, PeerServer
from ..process import spawn
from ..relay import Relay, RelayDependencies
from ..routes import CallerLimits, TableHolder
from ..sharedreader import SharedReader
from ..shares import EntryCount, RepeatRule
from ..stopping import StopWindow
from ..storeview import StoreView
from ..unsent import has_unsent_data
from .beliefs import Beliefs
from .engines import HttpTransport
from .front import Front, answer_ready
from .store import PlatformStore

__all__ = ('EntryNode',)

# Changes must be in force two seconds after they were accepted: a reading that
# gets no answer and the next one fit in.
_STORE_SECONDS = 0.7
_TICK_SECONDS = 0.1
# Entries to reckon with until an endpoint tells how many there are; a share
# that is too small only refuses some repeats.
_ASSUMED_ENTRIES = 8
# The balancer asks once a second and takes an entry out after two misses;
# until then new connections come.
_NOTICED_SECONDS = 2.6
# Left of the time until SIGKILL to close what is open.
_CLOSE_SECONDS = 0.4
# One prefix for all: each call is paid for, whatever it returns.
_EVERYTHING = ''


class EntryNode:
    """Ties callers, beliefs, links and back ends together."""

    def __init__(self, settings: NodeSettings) -> None:
        """Prepare; nothing is opened yet."""
        self._settings = settings
        self._clock = SystemClock()
        self._metrics = Metrics()
        self._tables = TableHolder()
        self._entries = EntryCount(_ASSUMED_ENTRIES)
        self._backends = BackendSet(self._entries)
        self._notices = MoveNotices()
        self._store = PlatformStore(settings.store, _STORE_SECONDS)
        self._engines = EngineView(
            backends=self._backends,
            tables=self._tables,
            notices=self._notices,
            entries=self._entries,
            identity=LinkIdentity(
                settings.name, make_identifier(), settings.link_key
            ),
            clock=self._clock,
            link_port=settings.link_port,
            handle_other=self._hear,
        )
        self._limits = CallLimits(
            self._backends,
            self._entries,
            self._clock,
            make_random(),
            self._engines.send_to_one,
        )
        self._transport = HttpTransport(self._clock, self._limits.record_answer)
        self._beliefs = Beliefs(
            self._tables, self._backends, self._clock, self._engines.update
        )
        self._reader = SharedReader(
            name=settings.name,
            view=StoreView(self._store, _EVERYTHING, self._beliefs.apply_pair),
            clock=self._clock,
            random=make_random(),
            send=self._engines.send_to_one,
            report_available=self._beliefs.record_store_result,
        )
        self._stop = StopWindow(
            settings.limits.stop_seconds - _CLOSE_SECONDS, _NOTICED_SECONDS
        )
        self._front = self._make_front()
        self._peers = PeerServer(
            settings.link_key, self._engines.handle_announcement
        )

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until asked to stop, then end gracefully."""
        settings = self._settings
        self._watch_metrics()
        callers = await listen(
            self._front.handle,
            settings.entry.callers,
            HttpLimits(head_seconds=self._head_seconds),
        )
        runners = [
            callers,
            await listen(
                partial(answer_ready, self._is_ready),
                settings.entry.ready,
                HttpLimits(),
            ),
        ]
        if settings.metrics_port:
            runners.append(
                await listen_metrics(
                    self._metrics, settings.host, settings.metrics_port
                )
            )
        tasks = [
            spawn(self._reader.run(), 'beliefs'),
            spawn(self._tick(), 'tick'),
        ]
        async with self._peers.listen(*split_address(settings.entry.peers)):
            try:
                await stop.wait()
                await self._drain(callers)
            finally:
                await self._close(tasks, runners)

    def reload(self, settings: NodeSettings) -> None:
        """Take on the limits of changed settings."""
        self._placement.update_rules(_to_rules(settings))
        self._stop.seconds = settings.limits.stop_seconds - _CLOSE_SECONDS

    def _make_front(self) -> Front:
        random = make_random()
        self._placement = CallPlacement(
            PlacementDependencies(
                rules=_to_rules(self._settings),
                tables=self._tables,
                backends=self._backends,
                entries=self._entries,
                balancer=LeastCostBalancer(random),
                random=random,
                clock=self._clock,
                metrics=self._metrics,
                announce=self._engines.announce_call,
                count_call=self._limits.record_call,
            )
        )
        tools = RelayDependencies(
            placement=self._placement,
            notices=self._notices,
            transport=self._transport,
            clock=self._clock,
            metrics=self._metrics,
        )
        return Front(
            Relay(tools),
            self._tables,
            self._clock,
            random,
            self._metrics,
            self._stop,
        )

    def _hear(self, message: Message, link: Link) -> None:
        if isinstance(message, wire.LimitTold):
            self._limits.merge_from_peer(message)
        else:
            self._reader.handle(message, link)

    def _watch_metrics(self) -> None:
        watch = self._metrics.watch
        watch('active', lambda: self._front.active)
        watch('table_version', lambda: self._tables.version)
        watch('endpoints', lambda: len(self._backends.backends))
        watch('entries', lambda: self._entries.count)

    def _head_seconds(self) -> float:
        table = self._tables.table
        return (table.limits if table else CallerLimits()).head_seconds

    def _is_ready(self) -> bool:
        # Stays ready through an outage of the key-value service, with what
        # is known.
        known = self._tables.table is not None and self._backends.backends
        return bool(known) and not self._stop.begun

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            self._beliefs.settle()
            self._engines.tick()

    async def _drain(self, callers: web.ServerRunner) -> None:
        """Serve on until the balancer has noticed and all are answered."""
        log_event('draining', active=self._front.active)
        self._stop.begin(self._clock.monotonic())
        try:
            async with asyncio.timeout(self._stop.seconds):
                await asyncio.sleep(_NOTICED_SECONDS)
                await self._wait_answered(callers)
                await stop_listening(callers)
                # What was read before that is answered like the rest.
                await self._wait_answered(callers)
        except TimeoutError:
            log_event(
                'stopped_with_work_left', 'ERROR', active=self._front.active
            )

    async def _wait_answered(self, callers: web.ServerRunner) -> None:
        release_connections(callers)
        while self._front.active or has_unsent_data(callers):
            await asyncio.sleep(_TICK_SECONDS)
            release_connections(callers)

    async def _close(
        self, tasks: list[asyncio.Task], runners: list[web.ServerRunner]
    ) -> None:
        self._front.end_calls()
        for task in tasks:
            task.cancel()
        self._engines.stop()
        await asyncio.gather(*(runner.cleanup() for runner in runners))
        await self._transport.close()
        await self._store.close()


def _to_rules(settings: NodeSettings) -> RelayRules:
    limits = settings.limits
    return RelayRules(
        failure_domain=settings.failure_domain,
        repeats=RepeatRule(
            ratio=limits.repeat_ratio,
            slack=limits.repeat_slack,
            window=limits.repeat_window_seconds,
        ),
        cold_factor=limits.cold_factor,
        cold_slack=limits.cold_slack,
    )
