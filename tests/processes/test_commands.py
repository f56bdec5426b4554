"""The command line programs of operators and of the load tool."""

import asyncio
import json
import sys
import unittest

from .harness import OPERATOR_KEY, Cluster


class CommandTest(unittest.IsolatedAsyncioTestCase):
    """Commands against a running cluster."""

    async def asyncSetUp(self):
        self.cluster = Cluster()
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.start(
            {'e1': 'abertawe'}, services={'s1': 'abertawe'}
        )
        entry = self.cluster.parts['entry-1']
        self.caller_url = entry.url
        self.environment = {
            'PRIMROSEWOOD_URL': entry.other_urls['administration'],
            'PRIMROSEWOOD_KEY': OPERATOR_KEY,
            'PATH': '/usr/bin:/bin',
        }

    async def run_command(self, module, *arguments):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-c',
            f'from primrosewood.{module} import main; main()',
            *arguments,
            env=self.environment,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await process.communicate()
        return process.returncode, out.decode(), err.decode()

    async def ctl(self, *arguments):
        return await self.run_command('ctl', *arguments)

    async def test_put_get_diff_delete_history(self):
        path = 'services/certdesk/max_running'
        code, out, _err = await self.ctl('put', 'cymru', path, '12')
        self.assertEqual((0, 2), (code, json.loads(out)['revision']))
        _code, out, _err = await self.ctl('get', 'cymru', path)
        self.assertEqual(12, json.loads(out)['value'])
        file = self.cluster.folder / 'wanted.json'
        document = self.cluster.team_settings()
        file.write_text(json.dumps(document))
        code, out, _err = await self.ctl('diff', 'cymru', str(file))
        self.assertEqual(1, code)
        self.assertIn('/services/certdesk/max_running: 12 -> 32', out)
        code, _out, _err = await self.ctl('put', 'cymru', '/', f'@{file}')
        code, out, _err = await self.ctl('diff', 'cymru', str(file))
        self.assertEqual((0, ''), (code, out))
        code, _out, err = await self.ctl('delete', 'cymru', 'services/none')
        self.assertEqual(1, code)
        self.assertIn('not_found', err)
        _code, out, _err = await self.ctl('history', 'cymru')
        paths = [change['path'] for change in json.loads(out)]
        self.assertEqual(['', path, ''], paths)

    async def test_refused_commands(self):
        outdated_put = ('put', 'cymru', 'services', '{}', '--revision=0')
        code, _out, err = await self.ctl(*outdated_put)
        self.assertEqual(1, code)
        self.assertIn('conflict', err)
        file = self.cluster.folder / 'bad.json'
        file.write_text('{"services": {"x": {"kind": "none"}}}')
        code, _out, err = await self.ctl('check', str(file))
        self.assertEqual(2, code)
        self.assertIn('/services/x/kind', err)

    async def test_status_and_domains(self):
        await self.ctl('domain_out', 'cymru', 'abertawe')
        _code, out, _err = await self.ctl('status')
        vetoes = {endpoint['veto'] for endpoint in json.loads(out)['endpoints']}
        self.assertEqual({'domain_out'}, vetoes)
        await self.ctl('domain_in', 'cymru', 'abertawe')
        _code, out, _err = await self.ctl('status')
        vetoes = {endpoint['veto'] for endpoint in json.loads(out)['endpoints']}
        self.assertEqual({''}, vetoes)

    async def test_load_tool(self):
        file = self.cluster.folder / 'answers'
        code, out, err = await self.run_command(
            'load',
            'run',
            f'--urls={self.caller_url}',
            '--key=key-gwenallt',
            '--workload=gwenallt',
            '--rate=8',
            '--seconds=2',
            f'--out={file}',
        )
        self.assertEqual(0, code, out + err)
        self.assertIn('faults=0', out)
        code, report, _err = await self.run_command('load', 'report', str(file))
        self.assertEqual((0, out), (code, report))
