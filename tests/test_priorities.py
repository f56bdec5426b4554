"""Priorities of calls, from operators' documents to the engines."""

import json
import unittest

from primrosewood.gen_node import NodeSettings
from primrosewood.platform.documents import parse_table
from primrosewood.platform.rules import make_urgent_room
from primrosewood.priorities import PriorityTable

from .deployment import LIMITS
from .test_platform_documents import TABLE


def parse_priorities(route_priority, organisation_priority):
    document = json.loads(json.dumps(TABLE))
    document['routes'][0]['priority'] = route_priority
    document['tenants'][0]['priority'] = organisation_priority
    return parse_table(json.dumps(document).encode()).priorities


class PriorityTableTest(unittest.TestCase):
    """Rank of a call."""

    def test_organisation_takes_precedence(self):
        """Guards against drafts of a first organisation behind its queries."""
        table = PriorityTable({'draft': 2, 'query': 0}, {'o1': 0, 'o2': 1})
        calls = [
            ('query', 'o1'),
            ('draft', 'o1'),
            ('query', 'o2'),
            ('draft', 'o2'),
        ]
        ranks = [table.find_rank(*call) for call in calls]
        self.assertEqual(sorted(set(ranks)), ranks)
        self.assertEqual(0, ranks[0])

    def test_route_decides_between_equal_organisations(self):
        """Guards against queries that wait behind drafts.

        Operators give all organisations but one the same priority.
        """
        names = [f'o{number}' for number in range(24)]
        table = PriorityTable(
            {'draft': 2, 'query': 0}, dict.fromkeys(names, 1) | {'o9': 0}
        )
        for name in names:
            self.assertLess(
                table.find_rank('query', name), table.find_rank('draft', name)
            )
        self.assertLess(
            table.find_rank('draft', 'o9'), table.find_rank('query', 'o0')
        )

    def test_whoever_has_no_priority(self):
        table = PriorityTable({'draft': 2, 'query': 0}, {'o1': 1})
        self.assertIsNone(table.find_rank('other', 'o2'))
        self.assertLess(
            table.find_rank('query', 'o2'), table.find_rank('other', 'o1')
        )
        self.assertLess(
            table.find_rank('other', 'o1'), table.find_rank('draft', 'o2')
        )


class PriorityDocumentTest(unittest.TestCase):
    """Priorities in the operators' route table."""

    def test_stated_priorities(self):
        table = parse_priorities(2, 0)
        self.assertLess(
            table.find_rank('r1', 'o1'), table.find_rank('r1', 'other')
        )

    def test_wrong_value_does_not_void_the_table(self):
        """Guards against routes that are lost with a priority that is none."""
        for wrong in ('high', -1, 1.5, True, [1]):
            with self.subTest(wrong):
                table = parse_priorities(wrong, wrong)
                self.assertIsNone(table.find_rank('r1', 'o1'))
                table = parse_priorities(1, wrong)
                self.assertEqual(0, table.find_rank('r1', 'o1'))


class PrioritySettingTest(unittest.TestCase):
    """Which deployments let priorities count."""

    def test_settings_that_ask_for_them(self):
        """Guards against deployments that did not ask for priorities."""
        for fields, expected in (({}, False), ({'priorities': True}, True)):
            with self.subTest(fields):
                settings = NodeSettings(
                    'e1',
                    '10.0.0.1',
                    'd1',
                    7000,
                    '10.0.0.9:80',
                    LIMITS,
                    **fields,
                )
                self.assertEqual(expected, make_urgent_room(settings).enabled)
