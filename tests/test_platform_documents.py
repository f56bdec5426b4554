"""Decoding of the documents that operators and back ends write."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from primrosewood.errors import WireError
from primrosewood.platform.documents import (
    parse_backend,
    parse_order,
    parse_status,
    parse_table,
    select_content,
    serialise_status,
)
from primrosewood.rollouts import RolloutState
from primrosewood.routes import RouteKind

TABLE = {
    'version': 7,
    'unknown': {'later': 1},
    'routes': [
        {
            'name': 'r1',
            'host': 'h.example',
            'path_prefix': '/a/',
            'route_kind': 'streaming',
            'timeout_ms': 39000,
            'goal_ms': 1800,
            'max_attempts': 1,
            'split': [
                {'service': 's1', 'weight': 90},
                {'service': 's2', 'weight': 10},
            ],
        },
        {
            'name': 'r2',
            'host': 'h.example',
            'path_prefix': '/b/',
            'route_kind': 'idempotent',
            'timeout_ms': 2000,
            'service': 's2',
            'max_attempts': 2,
            'anonymous': True,
        },
    ],
    'services': [
        {
            'name': 's1',
            'cold_per_s': 50.0,
            'engine': {
                'slots': 32,
                'kv_capacity': 34343,
                'stride': 4,
                'moves': True,
            },
        },
        {'name': 's2'},
    ],
    'limits': {'max_header_bytes': 100, 'max_body_bytes': 200},
    'tenants': [{'name': 'o1', 'api_keys': ['k1', 'k2'], 'priority': 1}],
}
BACKEND_RECORD = {
    'service': 's1',
    'address': '10.0.0.1:80',
    'zone': 'd1',
    'slots': 32,
    'state': 'ready',
    'cold_remaining_ms': 1500,
    'born': 1771910575727,
}


class TableTest(unittest.TestCase):
    """Decoding of the operators' route table."""

    def test_fields(self):
        table = parse_table(json.dumps(TABLE).encode())
        stream_route, plain_route = table.routes
        self.assertEqual(RouteKind.streaming, stream_route.kind)
        self.assertEqual(
            (39, 1.8), (stream_route.timeout, stream_route.objective)
        )
        self.assertEqual(
            ['s1', 's2'], [each.service for each in stream_route.targets]
        )
        self.assertTrue(plain_route.repeatable and plain_route.anonymous)
        self.assertEqual({'k1': 'o1', 'k2': 'o1'}, table.organisations)
        self.assertEqual(4, table.services['s1'].engine.event_tokens)
        self.assertIsNone(table.services['s2'].engine)
        self.assertEqual(200, table.limits.body_bytes)

    def test_whether_keys_are_required(self):
        """Guards against a service that is open once nobody has a key."""
        holder = {'name': 'o1', 'api_keys': ['k1']}
        for tenants, required, keys in (
            ([holder], True, {'k1': 'o1'}),
            ([{**holder, 'api_keys': []}], True, {}),
            ([{'name': 'o1'}], True, {}),
            ([], True, {}),
        ):
            with self.subTest(tenants):
                table = self.parse(tenants=tenants)
                self.assertEqual(
                    (required, keys), (table.keys_required, table.organisations)
                )
        document = {**TABLE}
        del document['tenants']
        table = parse_table(json.dumps(document).encode())
        self.assertFalse(table.keys_required)

    def test_malformed_tables_are_refused(self):
        """Guards against a malformed table that admits what it should not.

        The table before it stays in force.
        """
        for fields in (
            {'tenants': None},
            {'tenants': {}},
            {'tenants': ['o1']},
            {'tenants': [{'name': 'o1', 'api_keys': None}]},
            {'routes': None},
            {'routes': [{**TABLE['routes'][0], 'anonymous': 'no'}]},
            {'routes': [{**TABLE['routes'][0], 'split': [{'service': 's1'}]}]},
            {'limits': None},
            {'version': None},
        ):
            with self.subTest(fields), self.assertRaises(WireError):
                self.parse(**fields)

    def parse(self, **fields):
        return parse_table(json.dumps({**TABLE, **fields}).encode())

    def test_error_names_the_invalid_field(self):
        invalid_table = json.loads(json.dumps(TABLE))
        invalid_table['routes'][1]['timeout_ms'] = 'soon'
        with self.assertRaisesRegex(WireError, r'routes\[.*\]\.timeout_ms'):
            parse_table(json.dumps(invalid_table).encode())


class BackendTest(unittest.TestCase):
    """Decoding of back ends' records and of other values beside them."""

    def test_fields(self):
        record = parse_backend('i-1', json.dumps(BACKEND_RECORD).encode())
        self.assertEqual(
            ('i-1', 's1', 'd1'),
            (record.name, record.service, record.failure_domain),
        )
        self.assertEqual(1.5, record.cold_seconds)
        self.assertFalse(record.draining)

    def test_missing_and_invalid_fields(self):
        invalid_values = {
            'service': 4,
            'zone': None,
            'slots': 0,
            'state': 'asleep',
            'born': '2026',
            'address': 'nowhere',
        }
        for name, value in invalid_values.items():
            with self.subTest(name), self.assertRaises(WireError):
                parse_backend(
                    'i', json.dumps({**BACKEND_RECORD, name: value}).encode()
                )
        with self.assertRaises(WireError):
            parse_backend(
                'i', json.dumps({**BACKEND_RECORD, 'born': 0}).encode()
            )
        with self.assertRaises(WireError):
            parse_backend('', json.dumps(BACKEND_RECORD).encode())
        for name in (
            'service',
            'address',
            'zone',
            'slots',
            'state',
            'born',
        ):
            incomplete = {
                key: BACKEND_RECORD[key]
                for key in BACKEND_RECORD
                if key != name
            }
            with self.subTest(name), self.assertRaises(WireError):
                parse_backend('i', json.dumps(incomplete).encode())

    @settings(derandomize=True)
    @given(st.binary(max_size=60))
    def test_arbitrary_bytes(self, stored):
        """Other programs write bytes of any kind below the records' prefix."""
        with self.assertRaises(WireError):
            parse_backend('i', stored)
        with self.assertRaises(WireError):
            parse_table(stored)

    def test_deep_nesting(self):
        with self.assertRaises(WireError):
            parse_backend('i', b'[' * 100_000)


class RolloutTest(unittest.TestCase):
    """Orders of roll-outs and their status."""

    def test_order(self):
        stored = b'{"service": "s1", "to": "v2", "duration_s": 12}'
        order = parse_order('s1', stored, 7)
        self.assertEqual(('v2', 12, 7), (order.version, order.seconds, 7))

    def test_malformed_orders(self):
        for stored in (
            b'',
            b'[]',
            b'{"service": "s1", "to": "v2"}',
            b'{"service": "s1", "to": "", "duration_s": 12}',
            b'{"service": "s1", "to": "v2", "duration_s": 0}',
            b'{"service": "s2", "to": "v2", "duration_s": 12}',
        ):
            with self.subTest(stored=stored), self.assertRaises(WireError):
                parse_order('s1', stored, 7)

    def test_status_that_was_written(self):
        order = parse_order(
            's1', b'{"service": "s1", "to": "v2", "duration_s": 12}', 7
        )
        stored = serialise_status(order, RolloutState.rolled_back)
        self.assertEqual(
            {'to': 'v2', 'state': 'rolled_back'}, json.loads(stored)
        )
        status = parse_status(stored, 9)
        self.assertTrue(status.answers(order))
        self.assertEqual(RolloutState.rolled_back, status.state)

    def test_counters_are_no_content(self):
        """Guards against an update of all entries for each sign of life."""
        before = b'{"service":"s1","sequence":4,"slots":8}'
        after = b'{"service":"s1","sequence": 51,"slots":8}'
        for key, is_same in (('servers/a', True), ('op/config', False)):
            self.assertEqual(
                is_same,
                select_content(key, before) == select_content(key, after),
            )
