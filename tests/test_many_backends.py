"""Thousands of back ends that rewrite their records, without any I/O.

Load pattern: 3,000 back ends register beside one entry and each writes its
record again every 1.2 s, with a higher counter and nothing else changed.
"""

import asyncio
import json
import unittest
from unittest import mock

from primrosewood.backendset import BackendSet
from primrosewood.clock import SystemClock
from primrosewood.engineview import EngineView
from primrosewood.entrycount import EntryCount
from primrosewood.kv import Pair
from primrosewood.platform.discovery import Discovery
from primrosewood.routes import (
    EngineTraits,
    RouteTable,
    ServiceTraits,
    TableHolder,
)


def make_pair(number, revision, **fields):
    document = {
        'service': f's{number % 30}',
        'address': f'10.0.{number // 250}.{number % 250}:80',
        'zone': 'd1',
        'slots': 8,
        'state': 'ready',
        'cold_remaining_ms': 0,
        'born': 1771910575727,
        'sequence': revision,
        **fields,
    }
    key = f'servers/b{number}'
    return Pair(key, json.dumps(document).encode(), revision)


class RewrittenRecordsTest(unittest.TestCase):
    """What an entry does when records change in their counter only."""

    def setUp(self):
        self.updates = 0
        self.backends = BackendSet(EntryCount(1))
        self.discovery = Discovery(
            TableHolder(), self.backends, SystemClock(), self.count_update
        )

    def count_update(self):
        self.updates += 1

    def apply(self, pair):
        self.discovery.apply_pair(pair.key, pair)

    def test_rewritten_records_do_not_update_the_links(self):
        """Guards against a pass over all back ends for each rewritten record.

        At 3,000 back ends 2,500 such passes a second took more than a core.
        """
        for number in range(3000):
            self.apply(make_pair(number, number + 1))
        self.updates = 0
        for number in range(3000):
            self.apply(make_pair(number, number + 3001))
        self.assertEqual(0, self.updates)
        self.apply(make_pair(7, 6001, state='draining'))
        self.assertEqual(1, self.updates)

    def test_back_ends_of_other_services_are_not_searched(self):
        """Guards against a choice that looks at all back ends of all services."""
        for number in range(3000):
            self.apply(make_pair(number, number + 1))
        self.assertEqual(100, len(self.backends.usable('s3')))
        (found,) = self.backends.list_address('10.0.4.5:80')
        self.assertEqual('b1005', found.name)

    def test_links_are_updated_once_for_a_listing(self):
        """Guards against a second of processor time for each start of an entry.

        Each of 3,000 new records updated the links, with a pass over all.
        """
        table = RouteTable(
            1, (), {'s3': ServiceTraits('s3', engine=EngineTraits(8, 9, 1))}
        )
        tables = TableHolder()
        tables.replace_if_newer(table)
        connector = mock.Mock()
        view = EngineView(
            self.backends,
            tables,
            mock.Mock(),
            EntryCount(1),
            connector,
            SystemClock(),
            1,
            mock.Mock(),
        )
        self.discovery = Discovery(
            tables, self.backends, SystemClock(), view.schedule_update
        )

        async def apply_listing():
            for number in range(3000):
                self.apply(make_pair(number, number + 1))
            connector.open.assert_not_called()
            await asyncio.sleep(0)
            await asyncio.sleep(0)

        asyncio.run(apply_listing())
        self.assertEqual(100, connector.open.call_count)

    def test_record_that_moves_to_another_address(self):
        self.apply(make_pair(1, 1))
        self.apply(make_pair(1, 2, address='10.9.9.9:80'))
        self.assertEqual([], self.backends.list_address('10.0.0.1:80'))
        (found,) = self.backends.list_address('10.9.9.9:80')
        self.assertEqual('b1', found.name)
