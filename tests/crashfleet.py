"""Entries before engines that a part of a prompt crashes, in virtual time."""

import asyncio
import random
from collections import Counter
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

from primrosewood.backendset import BackendSet
from primrosewood.backendstate import BackendRecord
from primrosewood.balancing import LeastCostBalancer
from primrosewood.callplacement import (
    CallPlacement,
    PlacementDependencies,
    RelayRules,
)
from primrosewood.crashguard import (
    CrashGuard,
    GuardDependencies,
    StoredCrashes,
)
from primrosewood.directcalls import AnswerFraming, DirectCall, GenerationSize
from primrosewood.entrycount import EntryCount
from primrosewood.errors import (
    BackendCutError,
    ErrorKind,
    NotRunError,
    RequestFailedError,
    StoreUnavailableError,
)
from primrosewood.metrics import Metrics
from primrosewood.moves import MoveNotices
from primrosewood.relay import Relay, RelayDependencies
from primrosewood.routes import (
    EngineTraits,
    Route,
    RouteKind,
    RouteTable,
    ServiceTraits,
    TableHolder,
    Target,
)

from .virtualtime import LoopClock

BAD_PART = 'bad'
FIRST_PART = 'first'
BAD_ORGANISATION = 'o-bad'
BAD_CONTENT = 'content:bad'
# Entries that were disturbed within this time are not held to the rules.
CONTACT_SECONDS = 3.0

_ROUTE = Route('r', 'h', '/', RouteKind.streaming, (Target('s'),), 6.0, 1.5)
_PLAIN_ROUTE = Route(
    'p',
    'h',
    '/p/',
    RouteKind.idempotent,
    (Target('s'),),
    6.0,
    1.5,
    max_endpoints=3,
)
_PROMPT_SECONDS = 0.3
_CRASH_SECONDS = 0.1
_EVENT_SECONDS = 0.1
_EVENTS = 6
_RESTART_SECONDS = 3.0
_RECORD_SECONDS = 1.2
_LINK_SECONDS = 0.02
_STORE_SECONDS = 0.4
_ENTRY_START_SECONDS = 0.7
_TICK_SECONDS = 0.1


@dataclass(frozen=True)
class Form:
    """How engines end under harmful calls.

    Attributes
    ----------
    marks
        Of the harmful calls.
    events
        Events of an answer before its engine ends, None to end before the head.
    route
        Of all calls.
    """

    marks: tuple[str, ...] = (FIRST_PART, BAD_PART)
    events: int | None = 0
    route: Route = _ROUTE


STREAMS = Form()
PLAIN = Form((BAD_CONTENT,), None, _PLAIN_ROUTE)


@dataclass(frozen=True)
class Answered:
    """Outcome of a sound call."""

    sent_at: float
    served: bool
    related: bool


@dataclass
class Engine:
    """One start of an engine."""

    record: BackendRecord
    down: asyncio.Event = field(default_factory=asyncio.Event)

    async def work(self, seconds):
        """Work for a while; fail if the engine ends meanwhile."""
        try:
            async with asyncio.timeout(seconds):
                await self.down.wait()
        except TimeoutError:
            return
        raise BackendCutError('reset')


class _Reply:
    status = 200
    headers = ()
    framing = AnswerFraming.chunks

    def __init__(self, fleet, engine, call):
        self._fleet = fleet
        self._engine = engine
        self._call = call

    async def parts(self):
        fleet = self._fleet
        ends_after = _EVENTS + 1
        if fleet.is_harmful(self._call):
            ends_after = fleet.form.events
        for number in range(1, _EVENTS + 1):
            if number > ends_after:
                await fleet.end(self._engine)
            yield b'id: %d\ndata: x\n\n' % number
            await self._engine.work(_EVENT_SECONDS)


class Entry:
    """An entry, which loses what it knows when it is restarted."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.calls = set()
        self.disturbed_at = float('-inf')
        self.cut_off = False
        self.start()

    def start(self):
        fleet = self.fleet
        entries = EntryCount(fleet.size)
        self.alive = True
        self.backends = BackendSet(entries)
        self.backends.record_store_result(True, -60.0)
        for engine in fleet.engines.values():
            self.backends.apply_record(engine.record, 0)
        self.guard = CrashGuard(
            GuardDependencies(
                name=f'entry-{self.number}',
                writer=self,
                clock=LoopClock(),
                random=fleet.random,
                send=self.tell,
                refuses_connections=self.refuses_connections,
                is_registered=self.backends.is_registered,
            )
        )
        self.guard.apply(fleet.stored)
        placement = CallPlacement(
            PlacementDependencies(
                rules=RelayRules('d0'),
                tables=fleet.tables,
                backends=self.backends,
                entries=entries,
                balancer=LeastCostBalancer(fleet.random),
                random=fleet.random,
                clock=LoopClock(),
                metrics=Metrics(),
                guard=self.guard,
            )
        )
        self.relay = Relay(
            RelayDependencies(
                placement, MoveNotices(), self, LoopClock(), Metrics()
            )
        )

    def kill(self):
        self.alive = False
        self.disturbed_at = LoopClock().monotonic()
        for call in self.calls:
            call.cancel()

    def is_in_touch(self):
        now = LoopClock().monotonic()
        return self.alive and now >= self.disturbed_at + CONTACT_SECONDS

    def tell(self, message):
        """Send a message to the other entries, as the guard's `send`."""
        self.fleet.spawn(self.fleet.forward(self, message))
        return True

    async def refuses_connections(self, backend):
        """Look for a listener, as the guard's `refuses_connections`."""
        await asyncio.sleep(0.001)
        engine = self.fleet.engines.get(backend.name)
        return engine is None or engine.down.is_set()

    async def write_crashes(self, crashes):
        """Write to the key-value service, as the guard's writer."""
        await asyncio.sleep(0.004)
        if not self.fleet.store_available:
            raise StoreUnavailableError('down')
        return self.alive and self.fleet.write(crashes)

    @asynccontextmanager
    async def send(self, call, backend_attempt):
        """Send a call to an engine, as the transport of the relay."""
        engine = self.fleet.engines.get(backend_attempt.backend.name)
        await asyncio.sleep(0.001)
        if engine is None or engine.down.is_set():
            raise NotRunError(ErrorKind.no_endpoint, 'no connection')
        harmful = self.fleet.is_harmful(call)
        if harmful:
            self.fleet.record_harmful_send(self)
        await engine.work(_PROMPT_SECONDS)
        if harmful and self.fleet.form.events is None:
            await self.fleet.end(engine)
        yield _Reply(self.fleet, engine, call)

    async def begin(self, head):
        """Discard the head of an answer, as the sink of the relay."""

    async def write(self, body):
        """Discard part of an answer."""


class CrashFleet:
    """Entries, engines and callers."""

    def __init__(self, size, engines, seed, form=STREAMS):
        self.form = form
        self.size = size
        self.random = random.Random(seed)
        self.harmful = True
        # Whether callers repeat calls that fail, and how many differ.
        self.repeats = False
        self.contents = 10_000
        self.store_available = True
        self.stored = StoredCrashes()
        self.crashes = []
        self.harmful_sends = []
        self.answered = []
        self.refusals = Counter()
        self.tables = TableHolder()
        traits = ServiceTraits('s', engine=EngineTraits(32, 30_000, 4, False))
        self.tables.replace_if_newer(RouteTable(1, (), {'s': traits}))
        self.engines = {}
        self._starts = 0
        self._tasks = set()
        for number in range(engines):
            self._start_engine(f'10.0.0.{number}:80', f'd{number % 3}')
        self.entries = [Entry(self, number) for number in range(size)]
        self.spawn(self._tick())

    async def forward(self, sender, message):
        """Deliver a message to all entries on the sender's side of the cut."""
        await asyncio.sleep(_LINK_SECONDS)
        for entry in self.entries:
            connected = entry.alive and entry.cut_off == sender.cut_off
            if connected and entry is not sender:
                entry.guard.merge_from_peer(message)

    def write(self, crashes):
        """Write under the condition of a revision; entries read it later."""
        if crashes.revision != self.stored.revision:
            return False
        self.stored = replace(crashes, revision=crashes.revision + 1)
        self.spawn(self._read_later(self.stored))
        return True

    async def _read_later(self, stored):
        await asyncio.sleep(_STORE_SECONDS)
        for entry in self.entries:
            if entry.alive and self.store_available:
                entry.guard.apply(stored)

    async def _tick(self):
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            for entry in self.entries:
                if entry.alive:
                    entry.guard.tick()

    def is_harmful(self, call):
        return (
            self.harmful
            and call.organisation == BAD_ORGANISATION
            and (not {BAD_PART, BAD_CONTENT}.isdisjoint(call.marks))
        )

    async def end(self, engine):
        """End an engine under a harmful call."""
        await engine.work(_CRASH_SECONDS)
        self.crash(engine)
        self.crashes.append(LoopClock().monotonic())
        raise BackendCutError('reset')

    def crash(self, engine):
        """End an engine; another start of it follows."""
        if not engine.down.is_set():
            engine.down.set()
            self.spawn(self._replace(engine))

    async def restart(self, entries):
        """Kill entries together and start them again."""
        for entry in entries:
            entry.kill()
        await asyncio.sleep(_ENTRY_START_SECONDS)
        for entry in entries:
            entry.start()
            entry.disturbed_at = LoopClock().monotonic()

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def record_harmful_send(self, entry):
        now = LoopClock().monotonic()
        self.harmful_sends.append((now, entry.is_in_touch()))

    def late_sends(self, number=5, seconds=CONTACT_SECONDS):
        """Return the sends from long after the fifth, or another, crash on."""
        if len(self.crashes) < number:
            return []
        since = sorted(self.crashes)[number - 1] + seconds
        return [
            at for at, in_touch in self.harmful_sends if at > since and in_touch
        ]

    def served_share(self, since, until):
        """Return the share of related sound calls that were served."""
        sent = [
            each.served
            for each in self.answered
            if each.related and since <= each.sent_at < until
        ]
        return sum(sent) / len(sent)

    async def run_callers(self, seconds, bad_per_second, sound_per_second):
        """Send calls for a while and wait for their ends."""
        until = LoopClock().monotonic() + seconds
        senders = (
            self._send_calls(until, bad_per_second, self._make_bad_call),
            self._send_calls(until, sound_per_second, self._make_sound_call),
        )
        await asyncio.gather(*senders)
        await asyncio.sleep(_ROUTE.timeout + 1)

    async def close(self):
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _send_calls(self, until, per_second, make_call):
        while per_second and LoopClock().monotonic() < until:
            await asyncio.sleep(self.random.expovariate(per_second))
            alive = [each for each in self.entries if each.alive]
            if alive:
                entry = self.random.choice(alive)
                entry.calls.add(self.spawn(self._send_call(entry, make_call())))

    async def _send_call(self, entry, call):
        try:
            await entry.relay.answer(call, entry)
        except RequestFailedError as error:
            self._record(entry, call, False)
            if not self.is_harmful(call):
                self.refusals[error.kind] += 1
                self._repeat(call)
        except asyncio.CancelledError:
            return
        else:
            self._record(entry, call, True)
        finally:
            entry.calls.discard(asyncio.current_task())

    def _repeat(self, call):
        """Send a call that failed once more, through any entry."""
        if call.name == 'c' and self.repeats:
            alive = [each for each in self.entries if each.alive]
            now = LoopClock().monotonic()
            again = replace(
                call,
                name='c-2',
                arrived=now,
                deadline=now + call.route.timeout,
                caller_deadline=now + call.route.timeout,
            )
            if alive:
                entry = self.random.choice(alive)
                entry.calls.add(self.spawn(self._send_call(entry, again)))

    def _record(self, entry, call, served):
        if not self.is_harmful(call) and entry.is_in_touch():
            related = call.organisation == BAD_ORGANISATION or (
                FIRST_PART in call.marks
            )
            self.answered.append(Answered(call.arrived, served, related))

    def _make_bad_call(self):
        return _make_call(self.form, BAD_ORGANISATION, self.form.marks)

    def _make_sound_call(self):
        organisation = self.random.choice((BAD_ORGANISATION, 'o-1', 'o-2'))
        other_part = f'session-{self.random.randrange(40)}'
        parts = self.random.choice(
            ((FIRST_PART, other_part), (FIRST_PART,), ('other', other_part))
        )
        content = f'content:{self.random.randrange(self.contents)}'
        return _make_call(self.form, organisation, (*parts, content))

    def _start_engine(self, address, domain):
        self._starts += 1
        record = BackendRecord(
            f'i-{self._starts}', 's', address, domain, 32, boot=self._starts
        )
        self.engines[record.name] = Engine(record)
        return record

    async def _replace(self, engine):
        record = engine.record
        await asyncio.sleep(_RECORD_SECONDS)
        for entry in self.entries:
            entry.backends.remove(record.name, LoopClock().monotonic())
        await asyncio.sleep(_RESTART_SECONDS - _RECORD_SECONDS)
        del self.engines[record.name]
        started = self._start_engine(record.address, record.failure_domain)
        for entry in self.entries:
            entry.backends.apply_record(started, LoopClock().monotonic())


def _make_call(form, organisation, marks):
    route = form.route
    now = LoopClock().monotonic()
    return DirectCall(
        name='c',
        method='POST',
        target='/x',
        headers=(),
        body=b'',
        route=route,
        service='s',
        organisation=organisation,
        arrived=now,
        deadline=now + route.timeout,
        caller_deadline=now + route.timeout,
        size=GenerationSize(1_000, 24) if route.streaming else None,
        marks=marks,
    )
