"""Runs the programs of the deploy file beside stand-ins on loopback."""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

_ROOT = Path(__file__).resolve().parents[2]
_DEPENDENCIES = _ROOT / 'target' / 'deps'
sys.path[:0] = [str(_DEPENDENCIES), str(_ROOT)]

from aiohttp import web  # noqa: E402

from standins.store import StoreStandIn  # noqa: E402

__all__ = (
    'EXIT_BROKEN',
    'EXIT_HELD',
    'EXIT_NOT_RUN',
    'TROUBLE',
    'NotRunError',
    'Stage',
    'free_port',
    'run_case',
)

EXIT_HELD = 0
# Not 1, with which Python ends on an error of the case itself.
EXIT_BROKEN = 41
EXIT_NOT_RUN = 42
# Whether the case plays its disruption.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

_MAX_SECONDS = 100
_READY_SECONDS = 20
# Names the file to which the ids of started programs are written, so that the
# caller can end them if this process is killed.
_PROCESS_IDS_VARIABLE = 'REVIEW_PROCESS_IDS'
# Environment that the platform passes on to a program.
_PASSED_VARIABLES = ('PATH', 'HOME', 'LANG')
# Bounds of the small sites, as the template passes them on.
_LIMITS = {
    'stop_seconds': 8,
    'repeat_ratio': 0.2,
    'repeat_slack': 56,
    'repeat_window_seconds': 10,
    'cold_factor': 1.5,
    'cold_slack': 5,
}


class NotRunError(Exception):
    """The case could not be played as intended."""


def free_port(host: str = '127.0.0.1') -> int:
    """Return a free port of a loopback host."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Stage:
    """The store, the programs and the record of one run.

    Attributes
    ----------
    link_port
        Port of all endpoint processes, each on its own host.
    seeds
        Addresses at which the entries hear announcements.
    """

    def __init__(self, record_file: Path) -> None:
        """Create a stage without programs."""
        self.store = StoreStandIn()
        self.link_port = free_port()
        self.seeds: list[str] = []
        self._folder = Path(tempfile.mkdtemp(prefix='review-'))
        self._store_address = f'127.0.0.1:{free_port()}'
        self._programs: dict[str, asyncio.subprocess.Process] = {}
        self._record_file = record_file.open('w')
        self._began_at = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the stage was created."""
        return time.monotonic() - self._began_at

    def record(self, text: str) -> None:
        """Append a line with the time to the record."""
        self._record_file.write(f'{self.now:8.3f} {text}\n')
        self._record_file.flush()

    async def open(self, config: dict) -> None:
        """Serve the store, with the operator's first configuration."""
        runner = web.AppRunner(self.store.make_app(), shutdown_timeout=0)
        await runner.setup()
        host, port = self._store_address.split(':')
        await web.TCPSite(runner, host, int(port)).start()
        await self.put('op/config', config)

    async def put(self, key: str, document: dict) -> None:
        """Write a key of the store."""
        await self.store.store.put(key, json.dumps(document).encode())

    async def start_entries(self, zones: list[str]) -> list[dict]:
        """Start an entry in each zone; return the addresses of each."""
        started = []
        for number, zone in enumerate(zones, 1):
            host = f'127.0.1.{number}'
            addresses = {
                place: f'{host}:{free_port(host)}'
                for place in ('callers', 'ready', 'peers')
            }
            settings = self._make_settings(f'edge-{number}', host, zone)
            settings['entry'] = addresses
            self.seeds.append(addresses['peers'])
            await self._start('entry', settings)
            started.append(addresses)
        return started

    async def start_endpoint(self, name: str, address: str, place: dict) -> str:
        """Start the endpoint process beside an engine; return its name.

        Parameters
        ----------
        place
            ``service`` and ``zone`` of the engine.
        """
        host = address.partition(':')[0]
        settings = self._make_settings(f'side-{name}', host, place['zone'])
        settings['seeds'] = self.seeds[:3]
        settings['endpoint'] = {'engine': address, 'service': place['service']}
        await self._start('endpoint', settings)
        return settings['name']

    async def wait_ready(self, address: str) -> None:
        """Wait until an entry says that it is ready."""
        host, port = address.split(':')
        until = self.now + _READY_SECONDS
        while self.now < until:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b'GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n')
                status = await reader.readline()
                writer.close()
                if b' 200 ' in status:
                    return
            await asyncio.sleep(0.05)
        raise NotRunError('an entry did not get ready')

    def kill(self, name: str) -> None:
        """Kill a program, as a loss of its machine does."""
        self.record(f'{name}: SIGKILL')
        self._programs[name].send_signal(signal.SIGKILL)

    def program(self, name: str) -> asyncio.subprocess.Process:
        """Return the process of a program."""
        return self._programs[name]

    def record_log(self, name: str, *events: str) -> None:
        """Copy a program's log lines of some events to the record."""
        log = (self._folder / f'{name}.log').read_text()
        for line in log.splitlines():
            if any(f'event={event} ' in line for event in events):
                self.record(f'log: {line}')

    async def close(self) -> None:
        """End all programs."""
        for process in self._programs.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
            await process.wait()
        if _PROCESS_IDS_VARIABLE in os.environ:
            # None is left; an id may soon be that of another process.
            Path(os.environ[_PROCESS_IDS_VARIABLE]).write_text('')
        self._record_file.close()
        shutil.rmtree(self._folder)

    def _make_settings(self, name: str, host: str, zone: str) -> dict:
        return {
            'name': name,
            'host': host,
            'failure_domain': zone,
            'link_port': self.link_port,
            'link_key': '',
            'metrics_port': free_port(host),
            'store': self._store_address,
            'limits': _LIMITS,
        }

    async def _start(self, role: str, settings: dict) -> None:
        name = settings['name']
        path = self._folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        environment = {
            variable: os.environ[variable]
            for variable in _PASSED_VARIABLES
            if variable in os.environ
        }
        environment['PYTHONPATH'] = str(_DEPENDENCIES)
        environment['PRIMROSEWOOD_NODE_FILE'] = str(path)
        with (self._folder / f'{name}.log').open('ab') as log:
            # The line ``run`` of the deploy file.
            self._programs[name] = await asyncio.create_subprocess_exec(
                *('python3', '-m', 'primrosewood.platform', role),
                cwd=_ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record(f'{name}: started')
        if _PROCESS_IDS_VARIABLE in os.environ:
            with Path(os.environ[_PROCESS_IDS_VARIABLE]).open('a') as ids:
                ids.write(f'{self._programs[name].pid}\n')


def run_case(play: Callable[[Stage], Awaitable[int]], folder: Path) -> None:
    """Play a case with its record in a folder, and exit with its code."""
    sys.exit(asyncio.run(_run_case(play, folder)))


async def _run_case(
    play: Callable[[Stage], Awaitable[int]], folder: Path
) -> int:
    stage = Stage(folder / 'record.txt')
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    try:
        async with asyncio.timeout(_MAX_SECONDS):
            code = await play(stage)
    except Exception:
        stage.record(f'not run: {traceback.format_exc()}')
        code = EXIT_NOT_RUN
    finally:
        await stage.close()
    return code
