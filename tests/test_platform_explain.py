"""Logs alone lead from a request's ID to the cause of its failure.

Each test follows docs/OPERATIONS.md, with log lines of entries and endpoint
processes that run against the stand-ins.
"""

import asyncio
import re
import sys
import tempfile
from pathlib import Path
from unittest import mock

import aiohttp
from loguru import logger

from primrosewood.loglines import parse_lines
from primrosewood.logs import configure_logs
from primrosewood.requesttrace import trace_request

from .deployment import GENERATION_HEADERS, Deployment


class ExplainTest(Deployment):
    """Failed requests, explained by the lines that were logged."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / 'lines'
        log_file = self.file.open('w')
        self.addCleanup(log_file.close)
        with mock.patch('sys.stdout', log_file):
            configure_logs('all-of-them')
        self.addCleanup(self.restore_logs)
        await super().asyncSetUp()

    def restore_logs(self):
        logger.remove()
        logger.add(sys.stderr)

    def verdict(self, request):
        """Return the verdict of `primrosewood-ctl explain` for a request."""
        lines = parse_lines(self.file.read_text().splitlines())
        return trace_request(lines, request).verdict

    def grep(self, pattern):
        lines = self.file.read_text().splitlines()
        return [line for line in lines if re.search(pattern, line)]

    async def test_stream_breaks_off(self):
        """Engines crash while a caller reads a stream.

        The endpoint processes log no failed move, so the entry's lines alone
        must show the cause.
        """
        for engine in self.engines.values():
            engine.events = 1
        await self.wait_for(self.has_reports)
        for engine in self.engines.values():
            engine.events = 20
        reading = asyncio.create_task(
            self.call('POST', '/guide/1', headers=GENERATION_HEADERS)
        )
        await asyncio.sleep(0.2)
        for engine in self.engines.values():
            engine.crash()
        with self.assertRaises(aiohttp.ClientPayloadError):
            await reading
        lines = self.grep('request=ab12')
        self.assertIn('event=sent', lines[0])
        self.assertIn('version=1', lines[0])
        self.assertIn('report_age=', lines[0])
        self.assertIn('event=call_failed', lines[-1])
        self.assertIn('kind=generation_lost', lines[-1])
        self.assertIn('why=ClientPayloadError', lines[-1])
        self.assertEqual([], self.grep('event=(not_moved|move_failed)'))
        self.assertEqual(
            'broken off: the connection to its engine ended '
            '(ClientPayloadError)',
            self.verdict('ab12'),
        )

    async def test_engine_loses_power_during_a_stream(self):
        """Engines lose power without notice while a caller reads a stream."""
        for engine in self.engines.values():
            engine.events = 1000
        reading = asyncio.create_task(
            self.call('POST', '/guide/1', headers=GENERATION_HEADERS)
        )
        await asyncio.sleep(0.3)
        for engine in self.engines.values():
            engine.lose_power()
        with self.assertRaises(aiohttp.ClientPayloadError):
            await reading
        await self.wait_for(self.engines_are_lost)
        self.assertEqual(
            'broken off: its engine ended without notice', self.verdict('ab12')
        )

    async def engines_are_lost(self):
        return len(self.grep('event=engine_lost')) == len(self.engines)

    async def has_reports(self):
        """Tell whether both engines have reported to the entry."""
        await self.call(
            'POST', '/guide/1', name='ef56', headers=GENERATION_HEADERS
        )
        lines = self.grep('event=sent request=ef56.*report_age=')
        reported = {re.search('endpoint=[^ ]+', line)[0] for line in lines}
        return len(reported) == len(self.engines)

    async def test_refused_while_its_failure_domain_is_out(self):
        """Look-ups are refused while an operator has taken out a domain."""
        await self.put('op/evacuate/d1', {})

        async def is_refused():
            return await self.status('GET', '/lookup/', name='cd34') == 503

        await self.wait_for(is_refused, seconds=3)
        refused = self.grep('request=cd34')[-1]
        self.assertIn('event=refused', refused)
        self.assertIn('kind=no_endpoint', refused)
        self.assertIn('ran=no', refused)
        removals = self.grep(
            'event=(endpoint_out|endpoint_missing|failure_domain_out)'
        )
        self.assertIn('failure_domain=d1', removals[-1])
        self.assertIn('revision=', removals[-1])
        self.assertEqual(
            'refused as no_endpoint: failure domain d1 was out',
            self.verdict('cd34'),
        )

    async def test_unknown_outcome(self):
        """The connection of a reorder breaks, so that it may have been placed.

        The lines must say that its outcome is unknown, and that it was sent
        only once.
        """
        self.service.inject_fault = lambda request: request.transport.abort()
        self.assertEqual(502, await self.status('POST', '/issue/', data=b'x'))
        doubtful = self.grep('request=ab12.*event=send_failed') or self.grep(
            'event=send_failed.*request=ab12'
        )
        self.assertEqual(1, len(doubtful))
        self.assertIn('doubtful=True', doubtful[0])
        refused = self.grep('event=refused.*request=ab12')[0]
        self.assertIn('ran=unknown', refused)
        self.assertEqual(1, len(self.grep('event=sent.*request=ab12')))
        self.assertEqual(
            'refused as outcome_unknown: i-desk gave no answer, '
            'it may have run',
            self.verdict('ab12'),
        )

    async def test_no_line_contains_a_secret(self):
        await self.call(
            'POST', '/guide/1', headers=GENERATION_HEADERS, data=b'our prompt'
        )
        await self.call(
            'GET', '/lookup/', headers={'Authorization': 'Bearer z9'}
        )
        text = self.file.read_text()
        for secret in ('key-1', 'z9', 'our prompt', 'found'):
            self.assertNotIn(f'={secret}', text)
            self.assertNotIn(f'"{secret}', text)
