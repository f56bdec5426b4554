"""One back end of the platform as a process of its own: engine or plain.

Speaks what the platform's pages say, over plain sockets.  What it ran goes to a
file of lines in JSON, line by line, so that it outlasts the process.

Usage: server.py OPTIONS, where OPTIONS is one JSON object (see ``DEFAULTS``).
"""

import asyncio
import json
import sys
import time

DEFAULTS = {
    'name': 'i-1',
    'host': '127.0.0.2',
    'port': 0,
    'born': 1_790_000_000_000,
    'log': '/dev/null',
    # 'chunks', 'length' (plain answers only) or 'close': what ends an answer.
    'framing': 'chunks',
    # Events of a stream, and seconds between two.
    'events': 100,
    'pause': 0.05,
    # Plain answers: bytes, seconds of work, and how the body is sent.
    'bytes': 800,
    'work': 0.05,
    'parts': 1,
    'part_pause': 0.0,
    'kv_total': 34525,
    # Seconds of a copy of a run's memory, and of its last part.
    'copy': 0.03,
    'last_copy': 0.01,
}


class Server:
    """The back end."""

    def __init__(self, options):
        self.o = {**DEFAULTS, **options}
        self.log = open(self.o['log'], 'a', buffering=1)
        self.runs = {}
        self.leaves_at = None
        self.sequence = 0
        self.copies = {}

    def note(self, what, **fields):
        """Write a line of what was done."""
        fields = {
            't': round(time.time(), 4),
            'server': self.o['name'],
            'what': what,
            **fields,
        }
        self.log.write(json.dumps(fields) + '\n')

    async def serve(self):
        """Listen until killed."""
        server = await asyncio.start_server(
            self.connected, self.o['host'], self.o['port'], backlog=512
        )
        print('listening', flush=True)
        async with server:
            await server.serve_forever()

    async def connected(self, reader, writer):
        """Serve one connection."""
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                if not await self.answer(request, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, request, writer):
        """Answer a request; return whether the connection is kept."""
        method, path, headers, body = request
        route = path.partition('?')[0]
        if route == '/report':
            return await self.send_json(writer, 200, self.report())
        if route == '/healthz':
            return await self.send_json(
                writer, 200, {}, {'Primrosewood-Instance-Id': self.o['name']}
            )
        if route == '/test':
            return await self.command(json.loads(body), writer)
        if route == '/kv-move':
            return await self.move(json.loads(body), writer)
        if route.startswith('/kv-'):
            return await self.send_json(writer, 200, {})
        return await self.run(request, writer)

    def report(self):
        """Return the load report."""
        runs = [
            [name, 1000 + run['events'], run['events'], 0]
            for name, run in self.runs.items()
        ]
        report = {
            'stage': 'both',
            'models': [],
            'busy': False,
            'sequence': self.sequence,
            'queued': 0,
            'running': len(runs),
            'kv_used': sum(run[1] for run in runs),
            'kv_total': self.o['kv_total'],
            'cache_handles': 0,
            'state': 'ready' if self.leaves_at is None else 'draining',
            'born': self.o['born'],
            'runs': runs,
        }
        if self.leaves_at is not None:
            left = max(0, self.leaves_at - time.monotonic())
            report['leaves_ms'] = round(left * 1000)
        return report

    async def command(self, command, writer):
        """Change the behaviour, as the test asks."""
        if 'leaves_in' in command:
            self.leaves_at = time.monotonic() + command.pop('leaves_in')
        self.o.update(command)
        return await self.send_json(writer, 200, {})

    async def move(self, command, writer):
        """Copy the memory of a run; stop it with the last copy."""
        run = self.runs.get(command['id'])
        if run is None:
            return await self.send_json(writer, 404, {})
        last = command.get('last')
        await asyncio.sleep(0 if last else self.o['copy'])
        run = self.runs.get(command['id'])
        if run is None:
            return await self.send_json(writer, 404, {})
        handle = f'{command["id"]}-{run["events"]}'
        if last:
            run['stopped'].set()
            self.runs.pop(command['id'], None)
            self.note('stopped', id=command['id'], events=run['events'])
            await asyncio.sleep(self.o['last_copy'])
        made = {'cache_handle': handle, 'created': run['events']}
        return await self.send_json(writer, 200, made)

    async def run(self, request, writer):
        """Run a request of a caller."""
        method, path, headers, body = request
        attempt = headers.get('primrosewood-attempt-id')
        expected = headers.get('primrosewood-expect-instance')
        own = {'Primrosewood-Instance-Id': self.o['name']}
        if expected not in (None, self.o['name']):
            return await self.send_json(writer, 421, {}, own)
        if not attempt:
            own['Primrosewood-Not-Executed'] = '1'
            return await self.send_json(writer, 400, {}, own)
        self.note(
            'ran',
            id=attempt,
            method=method,
            path=path,
            after=headers.get('last-event-id'),
            came_from=headers.get('kv-from'),
            tenant=headers.get('primrosewood-tenant'),
            body=len(body),
        )
        sealed = {
            'Primrosewood-Attempt-Id': attempt,
            'Primrosewood-Response-Seal': f'{self.o["name"]}.{attempt}',
        }
        if 'primrosewood-token-usage' in headers:
            return await self.stream(attempt, headers, sealed, writer)
        return await self.plain(attempt, sealed, writer)

    async def plain(self, attempt, sealed, writer):
        """Run a request of a plain service."""
        o = self.o
        await asyncio.sleep(o['work'])
        body = attempt.encode() * (o['bytes'] // len(attempt) + 1)
        body = body[: o['bytes']]
        framing = o['framing']
        head = make_head(200, sealed, framing, len(body))
        self.note('begun', id=attempt)
        writer.write(head)
        size = -(-len(body) // o['parts'])
        for start in range(0, len(body), size):
            if start and o['part_pause']:
                await asyncio.sleep(o['part_pause'])
            write_part(writer, framing, body[start : start + size])
            await writer.drain()
        if framing == 'chunks':
            writer.write(b'0\r\n\r\n')
        await writer.drain()
        self.note('done', id=attempt, bytes=len(body))
        return framing != 'close'

    async def stream(self, attempt, headers, sealed, writer):
        """Run a generation."""
        o = self.o
        framing = 'chunks' if o['framing'] == 'length' else o['framing']
        sealed['Content-Type'] = 'text/event-stream'
        writer.write(make_head(200, sealed, framing, None))
        first = int(headers.get('last-event-id') or 0)
        run = {'events': first, 'stopped': asyncio.Event()}
        self.runs[attempt] = run
        try:
            while run['events'] < o['events']:
                try:
                    async with asyncio.timeout(o['pause']):
                        await run['stopped'].wait()
                    # Closed without its end.
                    return False
                except TimeoutError:
                    pass
                run['events'] += 1
                event = f'id: {run["events"]}\ndata: {attempt}\n\n'
                write_part(writer, framing, event.encode())
                await writer.drain()
        except ConnectionError:
            self.note('left', id=attempt, events=run['events'])
            raise
        finally:
            self.runs.pop(attempt, None)
        if framing == 'chunks':
            writer.write(b'0\r\n\r\n')
        self.note('done', id=attempt, events=run['events'])
        return framing != 'close'

    async def send_json(self, writer, status, document, headers=None):
        """Answer with a document."""
        body = json.dumps(document).encode()
        fields = {'Content-Type': 'application/json', **(headers or {})}
        writer.write(make_head(status, fields, 'length', len(body)) + body)
        await writer.drain()
        return True


def make_head(status, headers, framing, length):
    """Return the head of an answer."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    if framing == 'length':
        lines.append(f'Content-Length: {length}')
    elif framing == 'chunks':
        lines.append('Transfer-Encoding: chunked')
    else:
        lines.append('Connection: close')
    return '\r\n'.join([*lines, '', '']).encode()


def write_part(writer, framing, part):
    """Write a part of a body."""
    if framing == 'chunks':
        writer.write(b'%x\r\n%s\r\n' % (len(part), part))
    else:
        writer.write(part)


async def read_request(reader):
    """Return method, path, headers and body; None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').split('\r\n')
    method, path, _version = first.split(' ')
    headers = {}
    for line in lines:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.strip().lower()] = text.strip()
    body = b''
    if 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    elif headers.get('transfer-encoding') == 'chunked':
        while True:
            size = int(await reader.readline(), 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                break
    return method, path, headers, body


if __name__ == '__main__':
    asyncio.run(Server(json.loads(sys.argv[1])).serve())
