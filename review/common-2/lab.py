"""Starts a small deployment on loopback: the project's programs, and stand-ins.

The programs start by the commands in `deploy/system.toml`, with settings made
of the templates beside it.  The store is in this process, back ends are
processes of `server.py`, and callers speak over plain sockets.
"""

import asyncio
import base64
import ctypes
import json
import os
import re
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HERE = Path(__file__).resolve().parent
KEY = 'key-of-tenant-1'
TENANT = 'tenant-1'
HOST = 'h.example'

_LIBC = ctypes.CDLL(None)
_PR_SET_PDEATHSIG = 1

# As in the sheet of hw-vloot.
FIELDS = {
    'bounds': {
        'grace_s': 8,
        'retry_budget_ratio': 0.2,
        'retry_slack': 58,
        'budget_window_s': 10,
        'cold_overrun': 1.5,
        'cold_slack': 5,
    },
}


def fill_template(text, fields):
    """Fill in a template of settings, as the platform does."""

    def find(match):
        name, _bar, kind = match.group(1).partition('|')
        value = fields
        for part in name.split('.'):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part) if value is not None else None
        if kind == 'json':
            return json.dumps(value)
        return '' if value is None else str(value)

    return re.sub(r'\{\{([^}]+)\}\}', find, text)


class Store:
    """The platform's store, as far as the programs call it."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        self.changed = asyncio.Event()
        self.address = ''
        self.calls = 0
        # 'ok', 'busy' (503) or 'silent'.
        self.state = 'ok'

    def put(self, key, document):
        """Write a key."""
        value = (
            document
            if isinstance(document, bytes)
            else json.dumps(document).encode()
        )
        self.revision += 1
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'created': self.items.get(key, {}).get('created', self.revision),
            'lease': 0,
        }
        self.items[key] = item
        self._note(item)

    def remove(self, key):
        """Delete a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({'key': key, 'revision': self.revision, 'removed': True})

    def _note(self, event):
        self.history.append(event)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def start(self, host, port):
        """Listen on an address."""
        self.address = f'{host}:{port}'
        await asyncio.start_server(self._connected, host, port)

    async def _connected(self, reader, writer):
        from server import make_head, read_request

        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                self.calls += 1
                while self.state == 'silent':
                    await asyncio.sleep(0.1)
                if self.state == 'busy':
                    status, document = 503, {}
                else:
                    status, document = await self._answer(*request)
                body = json.dumps(document).encode()
                writer.write(
                    make_head(
                        status,
                        {'Content-Type': 'application/json'},
                        'length',
                        len(body),
                    )
                    + body
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, path, headers, body):
        from urllib.parse import parse_qsl

        route, _mark, query = path.partition('?')
        query = dict(parse_qsl(query))
        prefix = query.get('path_prefix', '')
        if route == '/kv-key':
            item = self.items.get(query['key'])
            return (200, item) if item else (404, {})
        if route == '/kv-range':
            items = [
                self.items[key]
                for key in sorted(self.items)
                if key.startswith(prefix) and key > query.get('after', '')
            ]
            return 200, {
                'items': items[:500],
                'has_more': len(items) > 500,
                'store_revision': self.revision,
            }
        if route == '/kv-watch':
            after = int(query['after'])
            until = time.monotonic() + int(query['wait_ms']) / 1000
            while True:
                events = [
                    event
                    for event in self.history
                    if event['revision'] > after
                    and event['key'].startswith(prefix)
                ]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {
                        'events': events,
                        'store_revision': self.revision,
                    }
                try:
                    async with asyncio.timeout(left):
                        await self.changed.wait()
                except TimeoutError:
                    pass
        if route == '/kv-txn':
            request = json.loads(body)
            for row in request['expected']:
                item = self.items.get(row['key'])
                if (item['revision'] if item else 0) != row['revision']:
                    return 412, {'items': [item] if item else []}
            for row in request['puts']:
                self.put(row['key'], base64.b64decode(row['value']))
            for key in request['remove']:
                self.remove(key)
            return 200, {'revision': self.revision}
        return 404, {}


class Lab:
    """All processes of one deployment, and the record of a run."""

    def __init__(self, record, trouble):
        self.record_file = open(record, 'w', buffering=1)
        self.temp = Path(tempfile.mkdtemp(prefix='review-'))
        self.processes = []
        self.store = Store()
        # Loopback network of this run, as metrics have a fixed port.
        self.net, self.net_lock = take_network()
        self.port = free_port(f'{self.net}.0.1')
        self.began = time.monotonic()
        self.trouble = trouble
        self.routes = []
        self.services = []
        self.version = 0

    def note(self, text):
        """Write a line of the record."""
        line = f'{time.monotonic() - self.began:8.3f} {text}'
        self.record_file.write(line + '\n')
        if os.environ.get('VERBOSE'):
            print(line, flush=True)

    async def spawn(self, arguments, name, environment=None):
        """Start a process with a log of its own."""
        log = open(self.temp / f'{name}.log', 'ab')
        process = await asyncio.create_subprocess_exec(
            *arguments,
            cwd=ROOT,
            stdout=log,
            stderr=asyncio.subprocess.STDOUT,
            env=environment,
            start_new_session=True,
            preexec_fn=end_with_parent,
        )
        self.processes.append(process)
        self.note(f'started {name}')
        return process

    async def start_role(self, role, fields):
        """Start a program by the deploy file; return process and fields."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        stated = deploy['roles'][role]
        template = (ROOT / stated['template']).read_text()
        name = fields['node_name']
        path = self.temp / f'{name}.json'
        path.write_text(
            fill_template(
                template,
                {
                    **FIELDS,
                    'platform': {'address': self.store.address},
                    **fields,
                },
            )
        )
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['PRIMROSEWOOD_NODE_FILE'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        return await self.spawn(shlex.split(stated['run']), name, environment)

    async def start_entry(self, number, zone='z1'):
        """Start an entry with a host of its own; return its process."""
        ip = f'{self.net}.1.{number}'
        fields = {
            'node_name': f'edge-{number}',
            'ip': ip,
            'zone': zone,
            'port_range': [self.port + 3, self.port + 18],
            'listen_addrs': {
                'front': f'{ip}:{self.port}',
                'ready_addr': f'{ip}:{self.port + 1}',
                'control_addr': f'{ip}:{self.port + 2}',
            },
        }
        process = await self.start_role('entry', fields)
        process.front = (ip, self.port)
        process.ready = (ip, self.port + 1)
        return process

    async def start_endpoint(self, number, service, app, ip, zone='z1'):
        """Start the process beside an engine."""
        fields = {
            'node_name': f'side-{number}',
            'ip': ip,
            'zone': zone,
            'port_range': [self.port + 3, self.port + 18],
            'seeds': [f'{self.net}.1.1:{self.port + 2}'],
            'app': app,
            'service': service,
        }
        return await self.start_role('endpoint', fields)

    async def start_server(self, number, **options):
        """Start a back end with a host of its own; return its process."""
        options = {
            'name': f'i-{number}',
            'host': f'{self.net}.2.{number}',
            'port': self.port,
            'log': str(self.temp / f'i-{number}.jsonl'),
            **options,
        }
        process = await self.spawn(
            [sys.executable, str(HERE / 'server.py'), json.dumps(options)],
            options['name'],
        )
        process.options = options
        process.address = f'{options["host"]}:{options["port"]}'
        for _ in range(1000):
            if await can_connect(options['host'], options['port']):
                return process
            await asyncio.sleep(0.01)
        raise RuntimeError('a stand-in did not start')

    def register(self, server, service, slots, zone='z1', **fields):
        """Put the record of a back end that runs into the store."""
        born = server.options.get('born', 1_790_000_000_000)
        self.put_record(
            server.options['name'],
            service,
            server.address,
            slots,
            **{'zone': zone, 'born': born, **fields},
        )

    def put_record(self, name, service, address, slots, **fields):
        """Put a record into the store."""
        self.store.put(
            f'servers/{name}',
            {
                'service': service,
                'address': address,
                'zone': 'z1',
                'version': 'v1',
                'slots': slots,
                'state': 'ready',
                'cold_remaining_ms': 0,
                'sequence': 1,
                **fields,
            },
        )

    def configure(self, **changes):
        """Write the next version of the configuration."""
        self.version += 3
        config = {
            'version': self.version,
            'routes': self.routes,
            'services': self.services,
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 4194304,
                'header_timeout_ms': 10000,
                'idle_timeout_ms': 60000,
            },
            'tenants': [{'name': TENANT, 'api_keys': [KEY]}],
            **changes,
        }
        self.store.put('op/config', config)

    async def wait_ready(self, entry, seconds=20):
        """Wait until an entry says that it is ready."""
        for _ in range(int(seconds / 0.1)):
            try:
                answer = await call(entry.ready, 'GET', '/readyz', {})
                if answer['status'] == 200:
                    self.note('entry is ready')
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError('the entry did not get ready')

    def read_ran(self):
        """Return all that back ends noted, in the order of time."""
        rows = []
        for path in self.temp.glob('i-*.jsonl'):
            for line in path.read_text().splitlines():
                try:
                    rows.append(json.loads(line))
                except ValueError:
                    pass
        return sorted(rows, key=lambda row: row['t'])

    def read_log(self, name):
        """Return the log of a process."""
        return (self.temp / f'{name}.log').read_text(errors='replace')

    async def close(self):
        """End all processes."""
        for process in self.processes:
            if process.returncode is None:
                for number in (signal.SIGCONT, signal.SIGKILL):
                    try:
                        process.send_signal(number)
                    except ProcessLookupError:
                        pass
        for process in self.processes:
            await process.wait()
        if os.environ.get('KEEP'):
            print('logs are in', self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)
        self.record_file.close()


async def can_connect(host, port):
    """Return whether something listens at an address."""
    try:
        _reader, writer = await asyncio.open_connection(host, port)
    except OSError:
        return False
    writer.close()
    return True


def end_with_parent():
    """Have this process killed as the script ends, however that comes about."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


def take_network():
    """Return the first two numbers of a network, and the socket that holds it.

    Other runs at the same time get other ones.
    """
    for number in range(10, 250):
        lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            lock.bind((f'127.{number}.0.1', 9463))
        except OSError:
            lock.close()
            continue
        return f'127.{number}', lock
    raise RuntimeError('no free network')


def free_port(host):
    """Return the first of 20 ports that are free, below the ephemeral ones."""
    start = 20000 + os.getpid() * 60 % 9000
    for first in range(start, start + 2000, 20):
        try:
            for port in range(first, first + 20):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((host, port))
        except OSError:
            continue
        return first
    raise RuntimeError('no free ports')


def run_case(play, record, trouble, seconds=115):
    """Run a case; exit with 1 if the rule broke, 0 if it held, 2 otherwise.

    ``play`` gets the deployment and returns whether the rule was broken;
    ``record`` is the file for what was sent, answered and run; ``trouble``
    tells whether there is a disruption.
    """

    async def main():
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        lab = Lab(record, trouble)
        try:
            await lab.store.start(f'{lab.net}.0.1', lab.port)
            async with asyncio.timeout(seconds):
                broken = await play(lab)
            lab.note('RULE BROKEN' if broken else 'rule held')
            return 1 if broken else 0
        except (Exception, asyncio.CancelledError) as error:
            lab.note(f'could not run: {type(error).__name__}: {error}')
            return 2
        finally:
            await lab.close()

    code = asyncio.run(main())
    sys.stdout.flush()
    # Channels that are still open need no tidying up.
    os._exit(code)


async def call(
    address, method, path, headers, body=b'', seconds=60, on_event=None
):
    """Send one request on a channel of its own; return what came.

    ``whole`` tells whether the answer looks complete to the caller.
    """
    answer = {
        'status': 0,
        'headers': {},
        'body': b'',
        'whole': False,
        'error': '',
    }
    reader, writer = await asyncio.open_connection(*address, limit=2**22)
    try:
        async with asyncio.timeout(seconds):
            lines = [f'{method} {path} HTTP/1.1', f'Host: {HOST}']
            lines += [f'{name}: {text}' for name, text in headers.items()]
            if body or method != 'GET':
                lines.append(f'Content-Length: {len(body)}')
            writer.write('\r\n'.join([*lines, '', '']).encode() + body)
            await writer.drain()
            await _read_answer(reader, answer, on_event)
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        answer['error'] = type(error).__name__
    finally:
        writer.close()
    return answer


async def _read_answer(reader, answer, on_event):
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    answer['status'] = int(first.split(' ')[1])
    for line in lines:
        name, colon, text = line.partition(':')
        if colon:
            answer['headers'][name.strip().lower()] = text.strip()
    if 'content-length' in answer['headers']:
        length = int(answer['headers']['content-length'])
        while len(answer['body']) < length:
            part = await reader.read(length - len(answer['body']))
            if not part:
                raise ConnectionResetError
            answer['body'] += part
        answer['whole'] = True
    elif answer['headers'].get('transfer-encoding') == 'chunked':
        while True:
            size = int(await reader.readuntil(b'\r\n'), 16)
            part = await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                answer['whole'] = True
                return
            answer['body'] += part
            if on_event is not None:
                on_event(answer)
    else:
        while part := await reader.read(65536):
            answer['body'] += part
        answer['whole'] = True


def stream_headers(attempt, tokens=(1000, 400), deadline_ms=39000):
    """Return the headers of a generation."""
    return {
        'Primrosewood-Attempt-Id': attempt,
        'Primrosewood-Model': 'm',
        'Primrosewood-Token-Usage': f'{tokens[0]},{tokens[1]}',
        'Primrosewood-Prefix-Hash': f'{attempt}:{tokens[0]}',
        'Primrosewood-Deadline-Ms': deadline_ms,
        'Authorization': f'Bearer {KEY}',
    }


def plain_headers(attempt, deadline_ms=2500):
    """Return the headers of a plain request."""
    return {
        'Primrosewood-Attempt-Id': attempt,
        'Primrosewood-Deadline-Ms': deadline_ms,
        'Authorization': f'Bearer {KEY}',
    }


def count_events(answer):
    """Return how many events of a stream have come."""
    return answer['body'].count(b'id: ')


def make_route(name, prefix, kind, service, timeout_ms, goal_ms, **fields):
    """Return a route of the configuration."""
    return {
        'name': name,
        'host': HOST,
        'path_prefix': prefix,
        'route_kind': kind,
        'service': service,
        'timeout_ms': timeout_ms,
        'goal_ms': goal_ms,
        'max_attempts': 2 if kind == 'idempotent' else 1,
        'priority': 1,
        **fields,
    }


def engine_service(name, slots=24):
    """Return a service of model engines."""
    return {
        'name': name,
        'cold_per_s': 36,
        'health_path': '/healthz',
        'engine': {
            'slots': slots,
            'kv_capacity': 34310,
            'stride': 4,
            'moves': True,
        },
    }
