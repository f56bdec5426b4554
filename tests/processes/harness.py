"""Starts a small cluster on loopback, each part in a process of its own."""

import asyncio
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus
from pathlib import Path

import aiohttp

from primrosewood.identity import hash_secret

OPERATOR_KEY = 'operator-key-of-the-tests'
TEAM = 'cymru'
ORGANISATIONS = {'gwenallt': 'key-gwenallt', 'rhosyn': 'key-rhosyn'}
FAST_TIMING = {
    'heartbeat_seconds': 0.2,
    'quiet_heartbeat_seconds': 0.5,
    'silence_seconds': 1.0,
    'lease_seconds': 3,
    'poll_seconds': 1.0,
    'vm_list_seconds': 0.3,
    'store_timeout_seconds': 1.0,
    'reconnect_seconds': 0.3,
    'resume_seconds': 6.0,
    'orphan_seconds': 3.0,
    'drain_seconds': 0.2,
}
_START_TIMEOUT_SECONDS = 30
_FIRST_PORT = 12_000
_LAST_PORT = 30_000
_PORTS_PER_BLOCK = 1000
_ROOT = Path(__file__).resolve().parents[2]


def _reserve_port_block() -> tuple[socket.socket, Iterator[int]]:
    """Reserve a block of ports against other runs of the tests.

    Return the socket that holds the reservation and the ports of the block.
    The socket stays bound to the block's first port until this process exits.
    Without it, concurrent runs found the same ports free and then conflicted.
    The blocks lie below the kernel's range of ephemeral ports.
    """
    for first in range(_FIRST_PORT, _LAST_PORT, _PORTS_PER_BLOCK):
        lock = socket.socket()
        try:
            lock.bind(('127.0.0.1', first))
        except OSError:
            lock.close()
            continue
        return lock, itertools.cycle(range(first + 1, first + _PORTS_PER_BLOCK))
    raise RuntimeError('all port blocks are in use by other test runs')


_BLOCK_LOCK, _PORTS = _reserve_port_block()


def free_port() -> int:
    """Return an unused port from the block of this run."""
    while True:
        port = next(_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
            return port


@dataclass
class Part:
    """One process of the cluster, with the command that starts it.

    Attributes
    ----------
    url
        Address for callers, or of the metrics of an endpoint.
    other_urls
        Further addresses by their purpose.
    """

    name: str
    command: list[str]
    url: str
    process: subprocess.Popen | None = None
    other_urls: dict = field(default_factory=dict)


class Cluster:
    """Stand-ins of the platform and of back ends, endpoints and entries.

    Parameters
    ----------
    timing
        Settings that replace some of ``FAST_TIMING``.
    options
        Further settings: ``service`` for the team's model service, ``claims``
        and ``limits`` for all processes.
    """

    def __init__(self, timing: dict | None = None, **options) -> None:
        """Create the folder; ``start`` starts the processes."""
        self._temporary = tempfile.TemporaryDirectory(
            prefix='primrosewood-test-'
        )
        self.folder = Path(self._temporary.name)
        self.timing = {**FAST_TIMING, **(timing or {})}
        self.options = options
        self.parts: dict[str, Part] = {}
        self.http: aiohttp.ClientSession | None = None
        self._log = (self.folder / 'log').open('ab')
        self._final_log: str | None = None

    @property
    def log_text(self) -> str:
        """Log lines of all processes so far."""
        if self._final_log is not None:
            return self._final_log
        return (self.folder / 'log').read_text(encoding='utf-8')

    def url(self, name: str) -> str:
        """Return the address of a part."""
        return self.parts[name].url

    async def start(
        self,
        engines: dict[str, str],
        entries: int = 1,
        services: dict[str, str] | None = None,
        engine_flags: tuple[str, ...] = (),
        service_flags: tuple[str, ...] = (),
    ) -> None:
        """Start the cluster and wait until it serves.

        Parameters
        ----------
        engines, services
            Failure domains by the names of endpoints.
        entries
            Number of entries.
        engine_flags, service_flags
            Further command line flags of the stand-ins of that kind.
        """
        self.http = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=60),
            connector=aiohttp.TCPConnector(limit=0),
        )
        self._write_keys()
        self.start_standin('platform', 'platform')
        for name, domain in engines.items():
            self.start_standin(f'{name}-engine', 'engine', *engine_flags)
            self.start_endpoint(name, domain, 'certdesk')
        for name, domain in (services or {}).items():
            self.start_standin(f'{name}-engine', 'service', *service_flags)
            self.start_endpoint(name, domain, 'reorders')
        for number in range(1, entries + 1):
            self.start_entry(f'entry-{number}', 'abertawe')
        await self.wait_until(self._put_initial_settings)
        endpoint_names = [*engines, *(services or {})]
        await self.wait_usable(endpoint_names)
        await self.wait_reachable(
            *(f'{name}-engine' for name in endpoint_names)
        )

    def team_settings(self) -> dict:
        """Return the team's settings."""
        overrides = self.options.get('service', {})
        certdesk = {'kind': 'model', 'model': 'cert-1', 'max_running': 32}
        return {
            'organisations': {
                name: {'key_sha256': hash_secret(key)}
                for name, key in ORGANISATIONS.items()
            },
            'services': {
                'certdesk': {
                    **certdesk,
                    'first_token_seconds': 2.0,
                    'between_tokens_seconds': 0.2,
                    'start_running': 16,
                    **overrides,
                },
                'reorders': {
                    'kind': 'plain',
                    'first_token_seconds': 5.0,
                    'start_running': 16,
                },
            },
        }

    def start_standin(self, name: str, module: str, *flags: str) -> None:
        """Start a stand-in, a module of the package ``standins``."""
        port = free_port()
        command = [sys.executable, '-m', f'standins.{module}']
        self._launch(
            Part(name, [*command, f'--port={port}', *flags], _url(port))
        )

    def start_endpoint(self, name: str, domain: str, service: str) -> None:
        """Start an endpoint for the back end called ``{name}-engine``."""
        port = free_port()
        metrics_port = free_port()
        settings = self._process_settings(name, domain)
        settings['endpoint'] = {
            'team': TEAM,
            'service': service,
            'links': {'port': port},
            'backend_url': self.url(f'{name}-engine'),
            'metrics': {'port': metrics_port},
        }
        self._launch(
            self._make_part(name, 'endpoint', settings, _url(metrics_port))
        )

    def start_entry(self, name: str, domain: str) -> None:
        """Start an entry."""
        caller_port = free_port()
        administration_port = free_port()
        settings = self._process_settings(name, domain)
        settings['vm_list_url'] = f'{self.url("platform")}/vms'
        settings['entry'] = {
            'links': {'port': free_port()},
            'callers': {'port': caller_port},
            'administration': {'port': administration_port},
        }
        part = self._make_part(name, 'entry', settings, _url(caller_port))
        part.other_urls['administration'] = _url(administration_port)
        self._launch(part)

    def restart(self, name: str) -> None:
        """Start a part again, with the same command, after it has exited."""
        part = self.parts[name]
        part.process.wait()
        self._launch(part)

    def kill(self, name: str, signum: int = signal.SIGKILL) -> None:
        """Send a signal to a part, SIGKILL by default."""
        self.parts[name].process.send_signal(signum)

    def wait_exit(self, name: str, seconds: float = 30) -> int:
        """Wait for a part's process to exit and return its exit code."""
        return self.parts[name].process.wait(seconds)

    async def stop(self) -> None:
        """Kill every process that was started, and delete the folder."""
        for part in self.parts.values():
            if part.process.poll() is None:
                part.process.send_signal(signal.SIGCONT)
                part.process.kill()
        for part in self.parts.values():
            part.process.wait()
        self._log.close()
        self._final_log = self.log_text
        self._temporary.cleanup()
        await self.http.close()

    async def put_settings(self, team: str, document: dict, path='') -> dict:
        """Write settings of a team through the first entry."""
        return await self.administer(
            'PUT', f'/settings/{team}/{path}', document
        )

    async def administer(
        self, method: str, path: str, body=None, entry: str = 'entry-1'
    ) -> dict:
        """Call the administration API; retry while nothing listens there."""
        base = self.parts[entry].other_urls['administration']
        headers = {'Authorization': f'Bearer {OPERATOR_KEY}'}
        deadline = time.monotonic() + _START_TIMEOUT_SECONDS
        while True:
            try:
                async with self.http.request(
                    method, f'{base}{path}', json=body, headers=headers
                ) as response:
                    return {
                        'status': response.status,
                        **(await response.json(content_type=None)),
                    }
            except aiohttp.ClientConnectorError:
                if time.monotonic() > deadline:
                    raise
                await asyncio.sleep(0.05)

    async def wait_usable(self, names, entry: str | None = None) -> None:
        """Wait until all named endpoints are eligible for new work.

        Parameters
        ----------
        entry
            The only entry to ask; None for all entries.
        """
        entry_names = [entry] if entry else self._entry_names()
        for entry_name in entry_names:
            await self.wait_until(partial(self._all_usable, names, entry_name))

    async def vetoes(self, entry: str = 'entry-1') -> dict[str, str]:
        """Return each endpoint's veto of new work, empty if there is none."""
        status = await self.administer('GET', '/status', entry=entry)
        return {
            endpoint['name']: endpoint['veto']
            for endpoint in status['endpoints']
        }

    async def wait_until(
        self, check, seconds: float = _START_TIMEOUT_SECONDS
    ) -> float:
        """Wait until a coroutine function returns true.

        Return the seconds waited; after ``seconds`` raise AssertionError.
        """
        started = time.monotonic()
        while not await check():
            if time.monotonic() - started > seconds:
                raise AssertionError(
                    f'condition not met within {seconds} s\n{self.log_text}'
                )
            await asyncio.sleep(0.02)
        return time.monotonic() - started

    async def set_faults(self, name: str, **faults) -> None:
        """Switch faults of a stand-in on or off."""
        async with self.http.post(f'{self.url(name)}/faults', json=faults):
            return

    async def fetch_history(self, name: str, path: str = 'history') -> dict:
        """Return records of a stand-in, by default those of its calls."""
        async with self.http.get(f'{self.url(name)}/{path}') as response:
            return await response.json()

    async def fetch_call_counts(self) -> dict:
        """Return the platform's calls, counted by path."""
        return await self.fetch_history('platform', 'counts')

    async def set_vm_states(self, **states: str) -> None:
        """Set states of VMs in the platform's VM list."""
        async with self.http.post(f'{self.url("platform")}/vms', json=states):
            return

    async def wait_reachable(self, *names):
        """Wait until back ends listen; endpoints may be usable earlier."""

        async def are_reachable():
            try:
                for name in names:
                    await self.fetch_history(name)
            except aiohttp.ClientConnectorError:
                return False
            return True

        await self.wait_until(are_reachable)

    async def _put_initial_settings(self) -> bool:
        # The key-value service may start long after the entry; until then the
        # entry refuses settings.
        answer = await self.put_settings(TEAM, self.team_settings())
        return answer['status'] == HTTPStatus.OK

    def _entry_names(self) -> list[str]:
        return [name for name in self.parts if name.startswith('entry-')]

    async def _all_usable(self, names, entry: str) -> bool:
        vetoes = await self.vetoes(entry)
        return all(vetoes.get(name) == '' for name in names)

    def _process_settings(self, name: str, domain: str) -> dict:
        return {
            'name': name,
            'failure_domain': domain,
            'store_url': self.url('platform'),
            'key_file': 'keys.json',
            'timing': self.timing,
            'claims': {
                'period_seconds': 0.05,
                **self.options.get('claims', {}),
            },
            'limits': self.options.get('limits', {}),
        }

    def _make_part(
        self, name: str, role: str, settings: dict, url: str
    ) -> Part:
        file = self.folder / f'{name}.json'
        file.write_text(json.dumps(settings))
        code = f'from primrosewood.{role} import main; main()'
        command = [sys.executable, '-c', code, f'--settings={file}']
        return Part(name, command, url)

    def _write_keys(self) -> None:
        keys = {
            'process_key': 'process-key-of-the-tests',
            'signing_key': 'signing-key-of-the-tests',
            'operators': {
                'guest': {
                    'key_sha256': hash_secret('guest-key'),
                    'teams': ['vlaanderen'],
                },
                'op': {'key_sha256': hash_secret(OPERATOR_KEY), 'teams': ['*']},
            },
        }
        (self.folder / 'keys.json').write_text(json.dumps(keys))

    def _launch(self, part: Part) -> None:
        part.process = subprocess.Popen(
            part.command,
            cwd=_ROOT,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
            env={**os.environ, 'PYTHONUNBUFFERED': '1'},
        )
        self.parts[part.name] = part


def _url(port: int) -> str:
    return f'http://127.0.0.1:{port}'
