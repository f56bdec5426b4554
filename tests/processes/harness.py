"""Starts a small system on loopback: every part its own process."""

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
_START_SECONDS = 30
_FIRST_PORT = 12_000
_LAST_PORT = 30_000
_BLOCK = 1000
_ROOT = Path(__file__).resolve().parents[2]


def _take_block() -> tuple[socket.socket, Iterator[int]]:
    """Return the ports of a block that no other run of the tests uses.

    The block's first port stays bound for as long as this process runs.
    Without it two runs side by side found the same ports free and then took
    them from each other. The blocks lie below the range from which the kernel
    takes ports for connections.
    """
    for first in range(_FIRST_PORT, _LAST_PORT, _BLOCK):
        guard = socket.socket()
        try:
            guard.bind(('127.0.0.1', first))
        except OSError:
            guard.close()
            continue
        return guard, itertools.cycle(range(first + 1, first + _BLOCK))
    raise RuntimeError('every block of ports is taken')


_GUARD, _PORTS = _take_block()


def free_port() -> int:
    """Return a port of this run's block that nobody listens on."""
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
    """One started process."""

    name: str
    command: list[str]
    url: str
    process: subprocess.Popen | None = None
    extra: dict = field(default_factory=dict)


class Cluster:
    """Platform, engines, plain service, endpoints and entries."""

    def __init__(self, timing: dict | None = None, **options) -> None:
        """Prepare; ``start`` opens."""
        self._temporary = tempfile.TemporaryDirectory(
            prefix='primrosewood-test-'
        )
        self.folder = Path(self._temporary.name)
        self.timing = {**FAST_TIMING, **(timing or {})}
        self.options = options
        self.parts: dict[str, Part] = {}
        self.http: aiohttp.ClientSession | None = None
        self._log = (self.folder / 'log').open('ab')
        self._kept_log: str | None = None

    @property
    def log_text(self) -> str:
        """All log lines so far."""
        if self._kept_log is not None:
            return self._kept_log
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
        """Start everything.

        Parameters
        ----------
        engines, services
            Names with their failure domains.
        entries
            How many entries.
        engine_flags, service_flags
            Further flags of every stand-in of that kind.
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
        await self.wait_until(self._put_first_settings)
        everyone = [*engines, *(services or {})]
        await self.wait_usable(everyone)
        await self.wait_answering(*(f'{name}-engine' for name in everyone))

    def team_settings(self) -> dict:
        """Return the team's settings."""
        shared = self.options.get('service', {})
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
                    **shared,
                },
                'reorders': {
                    'kind': 'plain',
                    'first_token_seconds': 5.0,
                    'start_running': 16,
                },
            },
        }

    def start_standin(self, name: str, module: str, *flags: str) -> None:
        """Start a stand-in."""
        port = free_port()
        command = [sys.executable, '-m', f'standins.{module}']
        self._launch(
            Part(name, [*command, f'--port={port}', *flags], _url(port))
        )

    def start_endpoint(self, name: str, domain: str, service: str) -> None:
        """Start an endpoint process beside the engine of its name."""
        port = free_port()
        metrics = free_port()
        settings = self._settings(name, domain)
        settings['endpoint'] = {
            'team': TEAM,
            'service': service,
            'links': {'port': port},
            'backend_url': self.url(f'{name}-engine'),
            'metrics': {'port': metrics},
        }
        self._launch(self._binary(name, 'endpoint', settings, _url(metrics)))

    def start_entry(self, name: str, domain: str) -> None:
        """Start an entry."""
        callers = free_port()
        administration = free_port()
        settings = self._settings(name, domain)
        settings['vm_list_url'] = f'{self.url("platform")}/vms'
        settings['entry'] = {
            'links': {'port': free_port()},
            'callers': {'port': callers},
            'administration': {'port': administration},
        }
        part = self._binary(name, 'entry', settings, _url(callers))
        part.extra['administration'] = _url(administration)
        self._launch(part)

    def restart(self, name: str) -> None:
        """Start a stopped part again, the same as before."""
        part = self.parts[name]
        part.process.wait()
        self._launch(part)

    def kill(self, name: str, number: int = signal.SIGKILL) -> None:
        """Send a signal to a part."""
        self.parts[name].process.send_signal(number)

    def wait_ended(self, name: str, seconds: float = 30) -> int:
        """Wait for a part's process to end and return its exit code."""
        return self.parts[name].process.wait(seconds)

    async def stop(self) -> None:
        """End every process that was started."""
        for part in self.parts.values():
            if part.process.poll() is None:
                part.process.send_signal(signal.SIGCONT)
                part.process.kill()
        for part in self.parts.values():
            part.process.wait()
        self._log.close()
        self._kept_log = self.log_text
        self._temporary.cleanup()
        await self.http.close()

    async def put_settings(self, team: str, document: dict, path='') -> dict:
        """Put settings through the first entry."""
        return await self.administer(
            'PUT', f'/settings/{team}/{path}', document
        )

    async def administer(
        self, method: str, path: str, body=None, entry: str = 'entry-1'
    ) -> dict:
        """Call the administration API until its process is up."""
        base = self.parts[entry].extra['administration']
        headers = {'Authorization': f'Bearer {OPERATOR_KEY}'}
        until = time.monotonic() + _START_SECONDS
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
                if time.monotonic() > until:
                    raise
                await asyncio.sleep(0.05)

    async def wait_usable(self, names, entry: str | None = None) -> None:
        """Wait until entries may send new work to all endpoints named."""
        entries = [entry] if entry else self._entries()
        for each in entries:
            await self.wait_until(partial(self._all_usable, names, each))

    async def vetoes(self, entry: str = 'entry-1') -> dict[str, str]:
        """Return why each endpoint gets no new work, empty when it does."""
        status = await self.administer('GET', '/status', entry=entry)
        return {each['name']: each['veto'] for each in status['endpoints']}

    async def wait_until(self, check, seconds: float = _START_SECONDS) -> float:
        """Wait for a coroutine function to return true; return how long."""
        started = time.monotonic()
        while not await check():
            if time.monotonic() - started > seconds:
                raise AssertionError(f'not in {seconds} s\n{self.log_text}')
            await asyncio.sleep(0.02)
        return time.monotonic() - started

    async def fault(self, name: str, **faults) -> None:
        """Switch faults of a stand-in."""
        async with self.http.post(f'{self.url(name)}/faults', json=faults):
            return

    async def history(self, name: str, path: str = 'history') -> dict:
        """Return what a stand-in recorded."""
        async with self.http.get(f'{self.url(name)}/{path}') as response:
            return await response.json()

    async def counts(self) -> dict:
        """Return the calls that the platform counted."""
        return await self.history('platform', 'counts')

    async def set_vm(self, **states: str) -> None:
        """Set states in the VM list."""
        async with self.http.post(f'{self.url("platform")}/vms', json=states):
            return

    async def wait_answering(self, *names):
        """Wait until back ends answer; endpoints are usable before that."""

        async def answer():
            try:
                for name in names:
                    await self.history(name)
            except aiohttp.ClientConnectorError:
                return False
            return True

        await self.wait_until(answer)

    async def _put_first_settings(self) -> bool:
        # The key-value service may start long after the entry.
        accepted = await self.put_settings(TEAM, self.team_settings())
        return accepted['status'] == HTTPStatus.OK

    def _entries(self) -> list[str]:
        return [name for name in self.parts if name.startswith('entry-')]

    async def _all_usable(self, names, entry: str) -> bool:
        vetoes = await self.vetoes(entry)
        return all(vetoes.get(name) == '' for name in names)

    def _settings(self, name: str, domain: str) -> dict:
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

    def _binary(self, name: str, role: str, settings: dict, url: str) -> Part:
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
