"""The load tool against entry, endpoints and stand-ins, as processes."""

import asyncio
import json
import os
import sys
import tempfile
import unittest
from pathlib import Path

import aiohttp

from .harness import free_port
from .test_platform import make_settings

_ROOT = Path(__file__).resolve().parents[2]
_LINE_TIMEOUT_SECONDS = 15


class _LoadTestCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests on an entry and two endpoints against stand-ins."""

    engines = 2

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.port = free_port()
        self.store = f'127.0.0.1:{self.port}'
        self.link_port = free_port()
        fleet = await self.start(
            'standins.fleet', f'--port={self.port}', f'--engines={self.engines}'
        )
        await self.wait_line(fleet, 'listening')
        self.endpoints = {}
        for number in (1, 2):
            self.endpoints[f'i-{number}'] = await self.start_node(
                'endpoint',
                name=f'side-{number}',
                host=f'127.0.0.{number + 1}',
                endpoint={
                    'engine': f'127.0.0.{number + 1}:{self.port}',
                    'service': 'model',
                },
            )
        self.entry = await self.start_node('entry')
        self.caller_address = self.settings['entry']['callers']
        await self.wait_line(self.entry, 'event=table_in_force')
        # Until then it makes few retries.
        await self.wait_line(self.entry, 'event=entries_counted')
        await asyncio.sleep(0.5)

    async def start_node(self, role, **fields):
        self.settings = make_settings(**fields)
        self.settings['store'] = self.store
        self.settings['link_port'] = self.link_port
        file = self.folder / f'{self.settings["name"]}.json'
        file.write_text(json.dumps(self.settings))
        return await self.start(
            'primrosewood.platform', role, PRIMROSEWOOD_NODE_FILE=str(file)
        )

    async def start(self, module, *arguments, **variables):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            module,
            *arguments,
            cwd=_ROOT,
            env={**os.environ, **variables},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        self.addAsyncCleanup(self.kill, process)
        return process

    async def kill(self, process):
        if process.returncode is None:
            process.kill()
        await process.communicate()

    async def wait_line(self, process, text):
        """Wait until a process prints a line that contains a text."""
        lines = []
        try:
            async with asyncio.timeout(_LINE_TIMEOUT_SECONDS):
                while not lines or text not in lines[-1]:
                    lines.append((await process.stdout.readline()).decode())
                    self.assertTrue(
                        lines[-1], f'the process exited before {text}'
                    )
        except TimeoutError:
            self.fail(f'no {text} in {"".join(lines)}')
        return lines[-1]

    async def set_faults(self, **faults):
        async with aiohttp.ClientSession() as session:
            url = f'http://{self.store}/faults'
            async with session.post(url, json=faults) as response:
                self.assertEqual(200, response.status)

    async def start_load(self, workload, *options):
        process = await self.start(
            'primrosewood.platform.load',
            f'--urls=http://{self.caller_address}',
            '--host=h.example',
            '--key=key-1',
            f'--workload={workload}',
            '--rate=12',
            '--seconds=3',
            *options,
        )
        return process

    async def wait_exit(self, process):
        """Return a process's exit code and its output."""
        async with asyncio.timeout(60):
            out, _errors = await process.communicate()
        return process.returncode, out.decode()


class PlatformLoadTest(_LoadTestCase):
    """An engine and the key-value service are lost."""

    async def test_workload_while_an_engine_leaves_and_the_store_is_down(self):
        """An engine is reclaimed, then the key-value service goes down.

        Every answer still arrives, complete and once.
        """
        load = await self.start_load('hengelwinkel')
        # A stream there takes two seconds, longer than the engine's notice.
        await self.wait_line(
            self.entry, 'route=generate organisation=o1 endpoint=i-1'
        )
        await self.set_faults(leave={'i-1': 600})
        await asyncio.sleep(1)
        await self.set_faults(down=True)
        code, out = await self.wait_exit(load)
        self.assertEqual(0, code, out)
        self.assertIn(' faults=0', out)
        for kind in ('guide', 'label', 'lookup', 'reorder'):
            self.assertIn(f'kind={kind} ', out)
        self.assertNotIn('cut_', out)
        await self.wait_line(self.endpoints['i-1'], 'event=moved')


class CrashingPromptLoadTest(_LoadTestCase):
    """A third of the prompts have a part that crashes each engine."""

    engines = 6

    async def test_engines_are_left(self):
        """Guards against a load that crashes one engine after the other."""
        await self.set_faults(crashing_part='bad0')
        load = await self.start_load(
            'hengelwinkel', '--part=bad0', '--part_share=0.3'
        )
        cause = await self.wait_line(self.entry, 'event=cause_found')
        self.assertIn('bad0', cause)
        # Further prompts with the part are sent for some seconds.
        await asyncio.sleep(2)
        await self.kill(load)
        # What was under way as the cause was found may crash two more.
        self.assertLessEqual(await self.count_crashed(), 5)

    async def count_crashed(self):
        """Return how many engines refuse connections."""
        crashed = 0
        for number in range(1, self.engines + 1):
            try:
                _reader, writer = await asyncio.open_connection(
                    f'127.0.0.{number + 1}', self.port
                )
            except ConnectionRefusedError:
                crashed += 1
            else:
                writer.close()
        return crashed
