"""Priorities of calls, from operators' documents to the engines."""

import json
import unittest

from primrosewood.gen_node import NodeSettings
from primrosewood.platform.documents import parse_table
from primrosewood.platform.rules import sends_priorities
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
        table = PriorityTable({'r1': 2, 'r2': 0}, {'o1': 0, 'o2': 3})
        for route, organisation, expected in (
            ('r1', 'o1', 0),
            ('r2', 'o2', 3),
            ('r1', 'other', 2),
            ('r2', '', 0),
            ('none', 'other', None),
        ):
            with self.subTest(route=route, organisation=organisation):
                self.assertEqual(expected, table.find(route, organisation))


class PriorityDocumentTest(unittest.TestCase):
    """Priorities in the operators' route table."""

    def test_stated_priorities(self):
        table = parse_priorities(2, 0)
        self.assertEqual(0, table.find('r1', 'o1'))
        self.assertEqual(2, table.find('r1', 'other'))

    def test_wrong_value_does_not_void_the_table(self):
        """Guards against routes that are lost with a priority that is none."""
        for wrong in ('high', -1, 1.5, True, [1]):
            with self.subTest(wrong):
                self.assertIsNone(parse_priorities(wrong, wrong).find('r1', ''))
                self.assertEqual(1, parse_priorities(1, wrong).find('r1', 'o1'))


class PrioritySettingTest(unittest.TestCase):
    """Which deployments send priorities."""

    def test_settings_that_ask_for_them(self):
        for fields, expected in (
            ({}, False),
            ({'agreements': ['base', 'engine']}, False),
            ({'agreements': ['engine', 'pressure']}, True),
            ({'priorities': True}, True),
        ):
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
                self.assertEqual(expected, sends_priorities(settings))
