"""A deployment of real processes on loopback addresses of its own.

Entries, processes beside engines, and back ends; the key-value service runs in
the test's process.  Settings are rendered from the templates of the deployment.
"""

import json
import os
import re
import signal
import socket
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

from aiohttp import web

from standins.store import StoreStandIn

from .checker import Arrival

_ROOT = Path(__file__).resolve().parents[3]
_PLACEHOLDER = re.compile(r'\{\{([\w.]+)(\|json)?\}\}')
_CALLER_PORT, _PEER_PORT, _READY_PORT = 8740, 8748, 8749
_LINK_PORT, _BACKEND_PORT, _STORE_PORT = 7200, 8000, 8742
_LOCK_PORT = 8799
_NETWORKS = range(20, 120)
_BORN = 1_790_000_000_000


@dataclass(frozen=True)
class Size:
    """Numbers of processes, and the limit that the settings state."""

    domains: tuple[str, ...]
    entries: tuple[int, ...]
    engines: tuple[int, ...]
    services: tuple[int, ...]
    slack: float
    ratio: float = 0.2
    window: float = 10


# Numbers by failure domain.
SMALL_DEPLOYMENT = Size(
    domains=('d1', 'd2', 'd3', 'd4'),
    entries=(2, 1, 1, 1),
    engines=(4, 4, 3, 3),
    services=(1, 1, 1, 1),
    slack=58,
)


def reserve_network():
    """Return a socket that reserves a network, and the number of that network.

    Other runs find it taken for as long as the socket is open.
    """
    for network in _NETWORKS:
        lock = socket.socket()
        try:
            lock.bind((f'127.{network}.200.1', _LOCK_PORT))
        except OSError:
            lock.close()
            continue
        return lock, network
    raise RuntimeError('all networks are in use by other runs')


def render(template, fields):
    """Fill in a template of settings as the platform does."""

    def replace(match):
        found = fields
        for part in match[1].split('.'):
            found = found[int(part) if part.isdigit() else part]
        return json.dumps(found) if match[2] else str(found)

    return _PLACEHOLDER.sub(replace, template)


@dataclass
class Program:
    """A program that is started several times, with the same log."""

    name: str
    command: tuple[str, ...]
    folder: Path
    process: subprocess.Popen | None = None

    @property
    def settings_file(self):
        return self.folder / f'{self.name}.json'

    def start(self, settings):
        self.settings_file.write_text(settings)
        with (self.folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                (sys.executable, '-m', *self.command),
                cwd=_ROOT,
                env={
                    **os.environ,
                    'PRIMROSEWOOD_NODE_FILE': str(self.settings_file),
                },
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        if self.process is not None:
            self.signal(signal.SIGKILL)
            self.process.wait()


@dataclass(eq=False)
class Node:
    """A VM with one of the product's programs.

    Attributes
    ----------
    is_first
        Whether the settings say that the deployment starts for the first time.
    """

    program: Program
    template: str
    fields: dict
    is_first: bool = True

    @property
    def caller_address(self):
        return self.fields['listen_addrs']['front']

    @property
    def ready_address(self):
        return self.fields['listen_addrs']['ready_addr']

    def start(self):
        fields = {**self.fields, 'bootstrap': self.is_first}
        self.program.start(render(self.template, fields))


@dataclass(eq=False)
class Backend:
    """A back end; each start has a name of its own."""

    program: Program
    settings: dict
    domain: str
    starts: int = 0

    @property
    def service(self):
        return self.settings['service']

    @property
    def address(self):
        return f'{self.settings["host"]}:{self.settings["port"]}'

    @property
    def instance(self):
        return f'{self.program.name}-{self.starts}'

    @property
    def key(self):
        return f'servers/{self.instance}'

    def start(self):
        self.starts += 1
        started = {'name': self.instance, 'born': _BORN + self.starts}
        self.program.start(json.dumps({**self.settings, **started}))

    def make_record(self, state='ready'):
        record = {
            'service': self.service,
            'address': self.address,
            'zone': self.domain,
            'slots': self.settings['slots'],
            'state': state,
            'born': _BORN + self.starts,
        }
        return json.dumps(record).encode()


@dataclass
class Fleet:
    """All programs of a deployment, not yet started.

    Attributes
    ----------
    network
        Second octet of all its addresses, so that deployments run side by side.
    first_start
        Whether the settings say that the deployment starts for the first time.
    """

    size: Size
    network: int
    folder: Path
    first_start: bool = True
    entries: list[Node] = field(default_factory=list)
    endpoints: list[Node] = field(default_factory=list)
    backends: list[Backend] = field(default_factory=list)
    store_stand_in: StoreStandIn = field(default_factory=StoreStandIn)

    def __post_init__(self):
        for number, domain in enumerate(self.size.domains):
            for index in range(self.size.entries[number]):
                self._add_entry(
                    domain, f'127.{self.network}.{number}.{index + 1}'
                )
            for index in range(self.size.engines[number]):
                host = f'127.{self.network}.{number}.{index + 51}'
                self._add_backend('model', domain, host, 24, 72)
                self._add_endpoint(domain, host)
            for index in range(self.size.services[number]):
                host = f'127.{self.network}.{number}.{index + 101}'
                self._add_backend('desk', domain, host, 6, 24)

    @property
    def programs(self):
        parts = (*self.entries, *self.endpoints, *self.backends)
        return [part.program for part in parts]

    async def serve_store(self, stack, table):
        """Serve the key-value service, with the routes of the operators."""
        runner = web.AppRunner(
            self.store_stand_in.make_app(), shutdown_timeout=0
        )
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        host, port = self._store_address.split(':')
        await web.TCPSite(runner, host, int(port)).start()
        await self.store.put('op/config', json.dumps(table).encode())

    @property
    def store(self):
        return self.store_stand_in.store

    async def register(self, backend, state='ready'):
        await self.store.put(backend.key, backend.make_record(state))

    def kill_all(self):
        for program in self.programs:
            program.signal(signal.SIGKILL)
        for program in self.programs:
            program.kill()

    def read_arrivals(self):
        return [
            Arrival.parse(line)
            for path in sorted(self.folder.glob('*.arrivals'))
            for line in path.read_text().splitlines()
        ]

    @property
    def _store_address(self):
        return f'127.{self.network}.200.1:{_STORE_PORT}'

    def _add_entry(self, domain, host):
        name = f'entry-{len(self.entries) + 1}'
        addresses = {
            'front': f'{host}:{_CALLER_PORT}',
            'ready_addr': f'{host}:{_READY_PORT}',
            'control_addr': f'{host}:{_PEER_PORT}',
        }
        fields = {'listen_addrs': addresses}
        self.entries.append(
            self._make_node('entry', name, domain, host, fields)
        )

    def _add_endpoint(self, domain, host):
        name = f'endpoint-{len(self.endpoints) + 1}'
        fields = {'app': f'{host}:{_BACKEND_PORT}', 'service': 'model'}
        self.endpoints.append(
            self._make_node('endpoint', name, domain, host, fields)
        )

    def _make_node(self, role, name, domain, host, fields):
        command = ('primrosewood.platform', role)
        return Node(
            Program(name, command, self.folder),
            (_ROOT / 'deploy' / f'{role}.json').read_text(),
            {**self._make_fields(name, domain, host), **fields},
            self.first_start,
        )

    def _make_fields(self, name, domain, host):
        seeds = [
            entry.fields['listen_addrs']['control_addr']
            for entry in self.entries[:3]
        ]
        return {
            'node_name': name,
            'ip': host,
            'zone': domain,
            'port_range': [_LINK_PORT, _LINK_PORT + 15],
            'seeds': seeds,
            'platform': {'address': self._store_address},
            'bounds': {
                'grace_s': 8,
                'retry_budget_ratio': self.size.ratio,
                'retry_slack': self.size.slack,
                'budget_window_s': self.size.window,
                'cold_overrun': 1.5,
                'cold_slack': 5,
            },
        }

    def _add_backend(self, service, domain, host, slots, queue):
        name = f'{service}-{len(self.backends) + 1}'
        program = Program(
            name, ('tests.processes.retrylimit.backend',), self.folder
        )
        settings = {
            'service': service,
            'host': host,
            'port': _BACKEND_PORT,
            'slots': slots,
            'queue': queue,
            'is_engine': service == 'model',
            'arrivals': str(self.folder / f'{name}.arrivals'),
            'seed': len(self.backends),
            'faults': [],
        }
        self.backends.append(Backend(program, settings, domain))
