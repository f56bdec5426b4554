"""A model engine: generations, reports, and moves of generations."""

import asyncio
import contextlib
import json
from dataclasses import dataclass, field

from stage import Stage
from wire import NOT_EXECUTED, make_answer, read_head

__all__ = ('Engine', 'KvCopy', 'Pace')

_HEARTBEAT_SECONDS = 1.2
_TOKENS_PER_EVENT = 4
# Events that another requester's generation has made.
_OTHER_EVENTS = 20


@dataclass
class KvCopy:
    """Memory of a generation that was copied to another engine."""

    target: str
    used: bool = False


@dataclass(frozen=True)
class Pace:
    """How long an engine takes.

    Attributes
    ----------
    first_event, between_events
        Seconds of a generation.
    copy, last_copy
        Seconds of the two copies of a move, behind other moves on the links.
    """

    first_event: float = 0.2
    between_events: float = 0.06
    copy: float = 0.15
    last_copy: float = 0.3


@dataclass(eq=False)
class _Run:
    name: str
    made: int
    stopped: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(eq=False)
class Engine:
    """One start of a model engine.

    Attributes
    ----------
    copies
        By source and handle, shared by all engines.
    events
        Events of each generation.
    other_runs
        Tokens of generations of other requesters, which run all the time.
    unread_tokens
        Tokens of another requester's prompt that is being read.
    ran
        Attempt and path of each request that ran.
    arrived
        Attempt and time of each request that was meant for this engine.
    move_began, moved
        Set when the first copy begins, and when the last one is complete.
    """

    name: str
    service: str
    zone: str
    address: str
    stage: Stage
    copies: dict[str, KvCopy]
    events: int
    slots: int
    kv_total: int
    prompt_tokens: int = 2200
    other_runs: tuple[int, ...] = ()
    unread_tokens: int = 0
    pace: Pace = Pace()
    ran: list[tuple[str, str]] = field(default_factory=list)
    arrived: list[tuple[str, float]] = field(default_factory=list)
    move_began: asyncio.Event = field(default_factory=asyncio.Event)
    moved: asyncio.Event = field(default_factory=asyncio.Event)

    async def start(self, born: int) -> None:
        """Serve and register."""
        self._born = born
        self._leaves_at: float | None = None
        self._sequence = 0
        self._runs: dict[str, _Run] = {}
        self._writers: set[asyncio.StreamWriter] = set()
        host, port = self.address.split(':')
        self._server = await asyncio.start_server(self._serve, host, int(port))
        await self._register()
        self._heartbeats = asyncio.create_task(self._send_heartbeats())
        self.stage.record(
            f'{self.name}: starts as {self.service} at {self.address}'
        )

    async def drain(self, notice_seconds: float) -> None:
        """Report that the engine leaves; it serves until it is ended."""
        self._leaves_at = self.stage.now + notice_seconds
        await self._register()
        self.stage.record(f'{self.name}: draining, confirmed by the store')

    def end(self, why: str) -> None:
        """Reset all channels, and accept no more."""
        self.stage.record(f'{self.name}: {why}')
        self._heartbeats.cancel()
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _register(self) -> None:
        self._sequence += 1
        record = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready' if self._leaves_at is None else 'draining',
            'cold_remaining_ms': 0,
            'stage': 'both',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'sequence': self._sequence,
            'born': self._born,
        }
        await self.stage.put(f'servers/{self.name}', record)

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(_HEARTBEAT_SECONDS)
            await self._register()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._answer(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            self.stage.record(f'{self.name}: a channel is cut')
        except asyncio.CancelledError:
            # The case is over.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        first, headers = await read_head(reader)
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        path = first.split()[1]
        if path == '/report':
            await self._send_json(writer, self._make_report())
        elif path == '/healthz':
            status = 200 if self._leaves_at is None else 503
            await self._send_json(writer, {}, status)
        elif path == '/kv-move':
            await self._move(writer, json.loads(body))
        else:
            await self._generate(reader, writer, path, headers)

    async def _send_json(
        self, writer: asyncio.StreamWriter, document: dict, status: int = 200
    ) -> None:
        body = json.dumps({**document, 'born': self._born}).encode()
        headers = {
            'Content-Type': 'application/json',
            'Primrosewood-Instance-Id': self.name,
        }
        writer.write(make_answer(status, '', headers, body))
        await writer.drain()

    def _make_report(self) -> dict:
        rows = [
            [f'{self.name}-other-{number}', tokens, _OTHER_EVENTS, 1]
            for number, tokens in enumerate(self.other_runs)
        ]
        rows += [
            [run.name, self._count_tokens(run), run.made, 1]
            for run in self._runs.values()
            if run.made
        ]
        in_prefill = sum(not run.made for run in self._runs.values())
        report = {
            'stage': 'both',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': False,
            'sequence': self._sequence,
            'queued': 0,
            'running': len(rows) + in_prefill + bool(self.unread_tokens),
            'kv_used': sum(row[1] for row in rows)
            + in_prefill * self.prompt_tokens
            + self.unread_tokens,
            'kv_total': self.kv_total,
            'cache_handles': 0,
            'state': 'ready' if self._leaves_at is None else 'draining',
            'next_token': 0,
            'runs': rows,
        }
        if self._leaves_at is not None:
            left = max(0, self._leaves_at - self.stage.now)
            report['leaves_ms'] = int(left * 1000)
        return report

    def _count_tokens(self, run: _Run) -> int:
        return self.prompt_tokens + run.made * _TOKENS_PER_EVENT

    async def _move(self, writer: asyncio.StreamWriter, order: dict) -> None:
        run = self._runs.get(order['id'])
        if run is None:
            await self._send_json(writer, {}, 404)
            return
        last = order['last']
        kind = 'last copy' if last else 'copy'
        self.stage.record(f'{self.name}: {kind} of {run.name} to {order["to"]}')
        self.move_began.set()
        if last:
            run.stopped.set()
        await asyncio.sleep(self.pace.last_copy if last else self.pace.copy)
        handle = f'h-{run.name}'
        self.copies[f'{self.address}/{handle}'] = KvCopy(order['to'])
        self.stage.record(f'{self.name}: {kind} of {run.name} is complete')
        answer = {'cache_handle': handle, 'created': run.made}
        await self._send_json(writer, answer)
        if last:
            self.moved.set()

    async def _generate(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        path: str,
        headers: dict[str, str],
    ) -> None:
        attempt = headers.get('primrosewood-attempt-id', '')
        expected = headers.get('primrosewood-expect-instance')
        source = headers.get('kv-from', '')
        last_event = headers.get('last-event-id', '0')
        self.stage.record(
            f'{self.name}: has {attempt} {path} for {expected} '
            f'kv-from={source or None} last-event-id={last_event}'
        )
        if expected != self.name:
            await self._refuse(writer, 421, attempt)
            return
        self.arrived.append((attempt, self.stage.now))
        if source and not self._use_copy(source):
            await self._refuse(writer, 503, attempt)
            return
        self.ran.append((attempt, path))
        self.stage.record(f'{self.name}: runs {attempt} {path}')
        run = _Run(attempt, int(last_event))
        self._runs[attempt] = run
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
            b'Connection: close\r\nTransfer-Encoding: chunked\r\n'
            b'Primrosewood-Attempt-Id: %(id)s\r\n'
            b'Primrosewood-Response-Seal: %(engine)s.%(id)s\r\n\r\n'
            % {b'id': attempt.encode(), b'engine': self.name.encode()}
        )
        left = asyncio.create_task(reader.read())
        try:
            await self._stream(run, writer, left, bool(source))
        finally:
            left.cancel()
            self._runs.pop(attempt, None)

    async def _refuse(
        self, writer: asyncio.StreamWriter, status: int, attempt: str
    ) -> None:
        self.stage.record(f'{self.name}: {status} to {attempt}, not run')
        writer.write(make_answer(status, attempt, {NOT_EXECUTED: '1'}))
        await writer.drain()

    def _use_copy(self, source: str) -> bool:
        """Return whether a copy is here, and was not used before."""
        copy = self.copies.get(source)
        if copy is None or copy.used or copy.target != self.address:
            return False
        copy.used = True
        return True

    async def _stream(
        self,
        run: _Run,
        writer: asyncio.StreamWriter,
        left: asyncio.Task,
        moved: bool,
    ) -> None:
        """Send events until the end, a move, or the loss of the channel."""
        stopped = asyncio.create_task(run.stopped.wait())
        pause = self.pace.between_events if moved else self.pace.first_event
        try:
            while run.made < self.events:
                await asyncio.wait(
                    (stopped, left),
                    timeout=pause,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if stopped.done() or left.done():
                    self.stage.record(
                        f'{self.name}: {run.name} ends after event {run.made}'
                    )
                    await self._close_without_end(run, writer)
                    return
                pause = self.pace.between_events
                run.made += 1
                event = f'id: {run.made}\ndata: {run.name}\n\n'.encode()
                writer.write(b'%x\r\n%s\r\n' % (len(event), event))
                await writer.drain()
        finally:
            stopped.cancel()
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        self.stage.record(f'{self.name}: {run.name} is complete')

    async def _close_without_end(
        self, run: _Run, writer: asyncio.StreamWriter
    ) -> None:
        """Close a stream whose last chunk is missing."""
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()
        if run.stopped.is_set():
            # The engine keeps the memory until the copy is complete.
            await self.moved.wait()
