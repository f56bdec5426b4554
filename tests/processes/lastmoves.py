"""Streams without a length or chunks, of real processes, as engines leave.

    python -m tests.processes.lastmoves --rows=late,killed --seeds=1,2 \
        --folder=LOGS

plays rows by hand, and keeps the logs.  It runs on older builds too: copy it
there with the stand-ins.
"""

import asyncio
import contextlib
import json
import os
import signal
import statistics
import subprocess
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from random import Random

import aiohttp
import fire

from .harness import free_port
from .test_platform import make_settings

_ROOT = Path(__file__).resolve().parents[2]
_LAST_MOVES = ('copied', 'late', 'refused', 'full', 'lost', 'silent')
_ENGINES = ('i-1', 'i-2', 'i-3')
_CALLERS = 12
# Of the callers, these use HTTP/1.0, whose answers end with the connection.
_OLD_CALLERS = 2
_STREAMS_PER_CALLER = 2
_EVENTS = 40
_PAUSE_SECONDS = 0.04
_CALM_STREAMS_PER_CALLER = 66
_CALM_EVENTS = 10
_CALM_PAUSE_SECONDS = 0.03
_NOTICE_MS = 1500
_START_SECONDS = 40
_STREAM_SECONDS = 12
_SETTLE_SECONDS = 0.5
_POLL_SECONDS = 0.02
_MAX_LATE_SECONDS = 0.02


@dataclass(frozen=True)
class Row:
    """What happens while streams run.

    Attributes
    ----------
    last_moves
        Answers to the last move, of which a seed chooses one.
    leaving
        Number of engines that leave at once.
    trouble
        What happens beside that.
    """

    last_moves: tuple[str, ...] = _LAST_MOVES
    leaving: int = 1
    trouble: str = ''


ROWS = {
    **{answer: Row((answer,)) for answer in _LAST_MOVES},
    'killed': Row(trouble='kill_endpoint'),
    'frozen': Row(trouble='freeze_endpoint'),
    'cut_off': Row(trouble='cut_links'),
    'entry_frozen': Row(trouble='freeze_entry'),
    'entry_new': Row(trouble='start_entry'),
    'two_leave': Row(leaving=2),
    'calm': Row(leaving=0),
}


class Outcome(Enum):
    """What a stream was to its caller."""

    whole = 'whole'
    # It looked complete, but events lacked.
    partial = 'partial'
    # An event came twice, out of order or from another stream.
    disordered = 'disordered'
    broken = 'broken'
    # It looked broken, but had all events.
    whole_broken = 'whole_broken'
    unended = 'unended'
    refused = 'refused'


@dataclass
class Stream:
    """A stream as its caller got it; times are in monotonic seconds."""

    name: str
    events: int
    body: bytes = b''
    status: int = 0
    engine: str = ''
    ended: bool = False
    timed_out: bool = False
    last_event_at: float = 0
    ended_at: float = 0

    @property
    def outcome(self):
        if self.timed_out:
            return Outcome.unended
        if self.ended and self.status != 200:
            return Outcome.refused
        expected = ''.join(
            f'id: {number}\ndata: {self.name}\n\n'
            for number in range(1, self.events + 1)
        ).encode()
        if not expected.startswith(self.body):
            return Outcome.disordered
        has_all = self.body == expected
        if not self.ended:
            return Outcome.whole_broken if has_all else Outcome.broken
        return Outcome.whole if has_all else Outcome.partial

    @property
    def end_seconds(self):
        """Time from the last event to the end."""
        return self.ended_at - self.last_event_at

    def receive(self, part):
        self.body += part
        self.last_event_at = time.monotonic()


@dataclass
class Result:
    """What a play showed.

    Attributes
    ----------
    framed
        Engines whose streams were chunked.
    resumed
        How often a stream went on.
    stopped
        How often an engine was ordered to stop a run.
    """

    streams: list[Stream] = field(default_factory=list)
    framed: tuple[str, ...] = ()
    resumed: int = 0
    stopped: int = 0

    @property
    def outcomes(self):
        return Counter(stream.outcome.value for stream in self.streams)

    @property
    def faults(self):
        wrong = (Outcome.partial, Outcome.disordered, Outcome.unended)
        return [
            f'{stream.name}: {stream.outcome.value} after '
            f'{stream.body.count(b"id: ")} of {stream.events} events'
            for stream in self.streams
            if stream.outcome in wrong
        ]

    def list_end_seconds(self, framed):
        """Return how long whole streams took to end, by framing."""
        return [
            stream.end_seconds
            for stream in self.streams
            if stream.outcome is Outcome.whole
            and (stream.engine in self.framed) is framed
        ]

    def list_late(self, framed=False):
        """Return which ends took long beside the median chunked one."""
        usual = statistics.median(self.list_end_seconds(framed=True))
        return [
            seconds
            for seconds in self.list_end_seconds(framed)
            if seconds - usual > _MAX_LATE_SECONDS
        ]

    def describe(self):
        described = (
            f'{len(self.streams)} streams {dict(self.outcomes)}; '
            f'{self.resumed} resumed, {self.stopped} stops ordered'
        )
        if self.framed:
            described += f'; chunked {self._describe_ends(framed=True)}'
            described += f'; unframed {self._describe_ends(framed=False)}'
        return '; '.join((described, *self.faults))

    def _describe_ends(self, framed):
        seconds = self.list_end_seconds(framed)
        median, longest = statistics.median(seconds), max(seconds)
        return (
            f'{len(seconds)} ends (median {median * 1000:.1f}, '
            f'max {longest * 1000:.1f} ms, late {len(self.list_late(framed))})'
        )


class StreamCaller:
    """Sends streams one after the other over one connection.

    The connection stays in use until the other side closes it.
    """

    def __init__(self, entry, version='1.1'):
        self._address = entry['entry']['callers'].split(':')
        self._version = version
        self._connection = None

    async def read(self, name, events):
        stream = Stream(name, events)
        try:
            async with asyncio.timeout(_STREAM_SECONDS):
                await self._exchange(stream)
        except TimeoutError:
            stream.timed_out = True
            self.close()
        except (OSError, EOFError):
            self.close()
        return stream

    def close(self):
        if self._connection is not None:
            self._connection[1].transport.abort()
            self._connection = None

    async def _exchange(self, stream):
        if self._connection is None:
            self._connection = await asyncio.open_connection(*self._address)
        reader, writer = self._connection
        writer.write(
            f'POST /generate/{stream.name} HTTP/{self._version}\r\n'
            'Host: h.example\r\n'
            'Authorization: Bearer key-1\r\n'
            f'Primrosewood-Attempt-Id: {stream.name}\r\n'
            'Primrosewood-Deadline-Ms: 8000\r\n'
            'Primrosewood-Token-Usage: 1000,80\r\n'
            'Content-Length: 2\r\n\r\n{}'.encode()
        )
        head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
        status_line, *lines = head.strip().split('\r\n')
        headers = dict(line.split(': ', 1) for line in lines)
        stream.status = int(status_line.split()[1])
        seal = headers.get('primrosewood-response-seal', '')
        stream.engine = seal.partition('.')[0]
        await self._read_body(stream, reader, headers)
        stream.ended = True
        stream.ended_at = time.monotonic()
        kept = 'transfer-encoding' in headers or 'content-length' in headers
        if not kept or headers.get('connection') == 'close':
            self.close()

    async def _read_body(self, stream, reader, headers):
        if headers.get('transfer-encoding') == 'chunked':
            while size := int(await reader.readuntil(b'\r\n'), 16):
                chunk = await reader.readexactly(size + 2)
                stream.receive(chunk[:-2])
            await reader.readexactly(2)
        elif 'content-length' in headers:
            stream.receive(
                await reader.readexactly(int(headers['content-length']))
            )
        else:
            while part := await reader.read(65536):
                stream.receive(part)


class LinkProxy:
    """Passes links on, until it falls silent."""

    def __init__(self, target_port):
        self.target_port = target_port
        self._passing = asyncio.Event()
        self._passing.set()
        self._pumps = set()

    async def listen(self, stack, host, port):
        async def forward(reader, writer):
            try:
                target = await asyncio.open_connection(host, self.target_port)
            except OSError:
                writer.close()
                return
            for source, sink in ((reader, target[1]), (target[0], writer)):
                pump = asyncio.create_task(self._pump(source, sink))
                self._pumps.add(pump)
                stack.callback(pump.cancel)

        server = await asyncio.start_server(forward, host, port)
        stack.callback(server.close)

    def fall_silent(self):
        self._passing.clear()

    def pass_on(self):
        self._passing.set()

    async def _pump(self, source, sink):
        with contextlib.suppress(OSError):
            while part := await source.read(65536):
                await self._passing.wait()
                sink.write(part)
        sink.close()


class LastMovePlay:
    """Runs streams on three engines, of which some leave."""

    def __init__(
        self, row, folder, seed=1, streams=_STREAMS_PER_CALLER, framed=False
    ):
        self._row = row
        self._framed = framed
        self._folder = folder
        self._random = Random(f'{seed} last moves')
        self._streams = streams
        self._port = free_port()
        self._store = f'127.0.0.1:{self._port}'
        self._link_port = free_port()
        self._proxies = {}
        self._endpoints = {}
        self._entries = []
        self._result = Result()

    async def play(self):
        """Return the result, after all processes have been killed."""
        async with contextlib.AsyncExitStack() as stack:
            self._stack = stack
            self._session = await stack.enter_async_context(
                aiohttp.ClientSession()
            )
            await self._start()
            if self._row.leaving:
                await self._play_leave()
            else:
                await self._play_calm()
        self._result.resumed = self._count_lines('entry-', 'event=resumed ')
        self._result.stopped = self._count_lines('side-', 'event=stop_ordered ')
        return self._result

    async def _start(self):
        self._spawn(
            'fleet', 'standins.fleet', f'--port={self._port}', '--engines=3'
        )
        await self._wait_line('fleet', 'listening')
        for number, name in enumerate(_ENGINES, 1):
            await self._start_endpoint(name, f'127.0.0.{number + 1}')
        entry, _process = self._entry = self._start_entry()
        await self._wait_line(entry['name'], 'event=table_in_force')
        # Until then it makes few retries.
        await self._wait_line(entry['name'], 'event=entries_counted')
        await asyncio.sleep(_SETTLE_SECONDS)

    async def _start_endpoint(self, name, host):
        link_port = self._link_port
        if self._row.trouble == 'cut_links':
            proxy = self._proxies[name] = LinkProxy(free_port())
            await proxy.listen(self._stack, host, link_port)
            link_port = proxy.target_port
        settings = make_settings(
            name=f'side-{name}',
            host=host,
            endpoint={'engine': f'{host}:{self._port}', 'service': 'model'},
        )
        settings['link_port'] = link_port
        self._endpoints[name] = self._start_node('endpoint', settings)

    def _start_entry(self):
        settings = make_settings(name=f'entry-{len(self._entries) + 1}')
        settings['link_port'] = self._link_port
        process = self._start_node('entry', settings)
        self._entries.append(settings)
        return settings, process

    def _start_node(self, role, settings):
        settings['store'] = self._store
        file = self._folder / f'{settings["name"]}.json'
        file.write_text(json.dumps(settings))
        return self._spawn(
            settings['name'],
            'primrosewood.platform',
            role,
            PRIMROSEWOOD_NODE_FILE=str(file),
        )

    def _spawn(self, name, module, *arguments, **variables):
        with self._log_of(name).open('wb') as log:
            process = subprocess.Popen(
                (sys.executable, '-m', module, *arguments),
                cwd=_ROOT,
                env={**os.environ, **variables},
                stdout=log,
                stderr=log,
            )
        self._stack.callback(process.wait)
        self._stack.callback(process.kill)
        return process

    def _log_of(self, name):
        return self._folder / f'{name}.log'

    async def _wait_line(self, name, text):
        async with asyncio.timeout(_START_SECONDS):
            while text not in self._log_of(name).read_text():
                await asyncio.sleep(_POLL_SECONDS)

    def _count_lines(self, prefix, text):
        return sum(
            log.read_text().count(text)
            for log in self._folder.glob(f'{prefix}*.log')
        )

    async def _wait_ready(self, entry):
        url = f'http://{entry["entry"]["ready"]}/readyz'
        async with asyncio.timeout(_START_SECONDS):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    async with self._session.get(url) as answer:
                        if answer.status == 200:
                            return
                await asyncio.sleep(_POLL_SECONDS)

    async def _set_faults(self, **faults):
        url = f'http://{self._store}/faults'
        async with self._session.post(url, json=faults) as answer:
            answer.raise_for_status()

    async def _play_calm(self):
        self._result.framed = _ENGINES[:1]
        await self._set_faults(
            streams={
                name: {
                    'events': _CALM_EVENTS,
                    'pause': _CALM_PAUSE_SECONDS,
                    'framed': name in self._result.framed,
                }
                for name in _ENGINES
            }
        )
        await self._run_callers(
            [self._entry[0]], self._streams, _CALM_EVENTS, old_callers=0
        )

    async def _play_leave(self):
        behaviour = {
            'events': _EVENTS,
            'pause': _PAUSE_SECONDS,
            'framed': self._framed,
        }
        await self._set_faults(
            streams=dict.fromkeys(_ENGINES, behaviour),
            last_moves={
                name: self._random.choice(self._row.last_moves)
                for name in _ENGINES
            },
        )
        entries = [self._entry[0]]
        if self._row.trouble == 'start_entry':
            started, _process = self._start_entry()
            await self._wait_ready(started)
            entries.append(started)
        async with asyncio.TaskGroup() as parts:
            parts.create_task(
                self._run_callers(entries, self._streams, _EVENTS)
            )
            parts.create_task(self._make_leave())

    async def _run_callers(
        self, entries, count, events, old_callers=_OLD_CALLERS
    ):
        async def run(number):
            version = '1.0' if number < old_callers else '1.1'
            caller = StreamCaller(entries[number % len(entries)], version)
            for part in range(count):
                name = f'c{number}-{part}'
                self._result.streams.append(await caller.read(name, events))
            caller.close()

        await asyncio.gather(*map(run, range(_CALLERS)))

    async def _make_leave(self):
        start = self._random.uniform(0.2, 1.3)
        trouble_at = self._random.uniform(-0.1, 0.6)
        seconds = self._random.uniform(0.3, 2.0)
        leaving = self._random.sample(_ENGINES, self._row.leaving)
        await asyncio.sleep(start)

        async def leave():
            await asyncio.sleep(max(0, -trouble_at))
            await self._set_faults(leave=dict.fromkeys(leaving, _NOTICE_MS))

        async with asyncio.TaskGroup() as parts:
            parts.create_task(leave())
            await asyncio.sleep(max(0, trouble_at))
            await self._make_trouble(leaving, seconds)

    async def _make_trouble(self, leaving, seconds):
        match self._row.trouble:
            case 'kill_endpoint':
                for name in leaving:
                    self._endpoints[name].kill()
            case 'freeze_endpoint':
                frozen = [self._endpoints[name] for name in leaving]
                await self._freeze(frozen, seconds)
            case 'freeze_entry':
                await self._freeze([self._entry[1]], seconds)
            case 'cut_links':
                proxies = [self._proxies[name] for name in leaving]
                for proxy in proxies:
                    proxy.fall_silent()
                await asyncio.sleep(seconds)
                for silent in proxies:
                    silent.pass_on()

    async def _freeze(self, processes, seconds):
        for process in processes:
            process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        for frozen in processes:
            frozen.send_signal(signal.SIGCONT)


def make_play(name, folder, seed=1, framed=False, streams=0):
    """Return a play of a row by its name.

    ``streams`` is their number per caller, 0 for that of the row.
    """
    row = ROWS[name]
    usual = _STREAMS_PER_CALLER if row.leaving else _CALM_STREAMS_PER_CALLER
    count = streams or usual
    return LastMovePlay(row, folder, seed, count, framed)


def _as_tuple(value):
    return value if isinstance(value, (tuple, list)) else (value,)


def main(folder, rows=tuple(ROWS), seeds=(1,), framed=False):
    """Print a line for each play; exit with 1 if any has a fault.

    With ``framed``, all streams are chunked, for comparison.
    """
    # The processes of a play end with it, also when it is told to stop.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    failed = False
    for seed in _as_tuple(seeds):
        for name in _as_tuple(rows):
            logs = Path(folder).resolve() / f'{name}-{seed}'
            logs.mkdir(parents=True)
            result = asyncio.run(make_play(name, logs, seed, framed).play())
            failed = failed or bool(result.faults)
            sys.stdout.write(f'{name} {seed}: {result.describe()}\n')
            sys.stdout.flush()
    sys.exit(failed)


if __name__ == '__main__':
    fire.Fire(main)
