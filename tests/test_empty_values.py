"""What is allowed while something is empty, absent, unknown or malformed.

The rows are those of the table in docs/DESIGN.md.  Each guards against a value that
is missing and admits someone.
"""

import json
import random
import unittest
from types import SimpleNamespace
from unittest import mock

from aiohttp.test_utils import make_mocked_request

from primrosewood import gen_wire as wire
from primrosewood.administration import AdministrationApi
from primrosewood.backendset import BackendSet
from primrosewood.callers import CallerApi
from primrosewood.clock import SystemClock
from primrosewood.codec import serialise_frame
from primrosewood.directcalls import AnswerHead
from primrosewood.entrycount import EntryCount
from primrosewood.errors import RequestFailedError, WireError
from primrosewood.gen_keys import Keys
from primrosewood.identity import hash_secret
from primrosewood.kv import Pair
from primrosewood.link import receive_hello
from primrosewood.metrics import Metrics
from primrosewood.platform import documents
from primrosewood.platform.discovery import Discovery
from primrosewood.platform.frontend import HttpFrontend, answer_readiness_probe
from primrosewood.routes import CallerLimits, RouteTable, TableHolder
from primrosewood.settings import SettingsStore
from primrosewood.stopping import StopWindow

_EMPTY_KEY_HASH = hash_secret('')
_ROUTE = {
    'name': 'r',
    'host': 'h.example',
    'path_prefix': '/x/',
    'route_kind': 'idempotent',
    'timeout_ms': 4000,
    'service': 's',
}
_TENANTS = [{'name': 'o1', 'api_keys': ['k1']}]
_TABLE = {'version': 3, 'routes': [_ROUTE], 'tenants': _TENANTS}
_KEYLESS = (
    {},
    {'Authorization': ''},
    {'Authorization': 'Bearer'},
    {'Authorization': 'Bearer '},
    {'Authorization': 'Bearer \t '},
    {'Authorization': 'k1'},
    {'Authorization': 'Basic k1'},
)
_RECORD = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'd1',
    'slots': 8,
    'state': 'ready',
    'born': 7,
}


def make_pair(key, document, revision=1):
    """Return a key's value; a document of bytes is stored as it is."""
    if not isinstance(document, bytes):
        document = json.dumps(document).encode()
    return Pair(key, document, revision)


def make_frontend(relay, tables, metrics):
    return HttpFrontend(
        relay,
        tables,
        SystemClock(),
        random.Random(1),
        metrics,
        StopWindow(8, 4),
        1_000_000,
    )


def without(document, name):
    return {key: document[key] for key in document if key != name}


class _RecordingRelay:
    """Answers every call and records it."""

    def __init__(self):
        self.calls = []

    async def answer(self, call, sink):
        self.calls.append(call)
        await sink.begin(AnswerHead(200, (), 0))


class _DiscoveryCase(unittest.IsolatedAsyncioTestCase):
    """An entry's view of the key-value service, and its callers."""

    def setUp(self):
        self.tables = TableHolder()
        self.backends = BackendSet(EntryCount(1))
        # Past the time in which removals count as the work of an outage.
        self.backends.record_store_result(True, -60.0)
        self.entries = EntryCount.assume(8)
        self.discovery = Discovery(
            self.tables, self.backends, SystemClock(), lambda: None
        )
        self.discovery.entry_count = SimpleNamespace(
            apply=lambda stored: self.entries.restore(stored.entries)
        )
        self.discovery.guard = mock.Mock()
        self.relay = _RecordingRelay()
        self.frontend = make_frontend(self.relay, self.tables, Metrics())

    def apply(self, key, document, revision=1):
        pair = None
        if document is not None:
            pair = make_pair(key, document, revision)
        self.discovery.apply_pair(key, pair)

    def apply_table(self, document, revision=1):
        self.apply('op/config', document, revision)

    def apply_next_table(self, **fields):
        """Apply a table of the next version with some other fields."""
        version = self.tables.version + 1
        self.apply_table({**_TABLE, **fields, 'version': version})

    async def status(self, headers, path='/x/1'):
        request = make_mocked_request(
            'GET',
            path,
            headers={
                'Host': 'h.example',
                'Primrosewood-Attempt-Id': 'ab12',
                **headers,
            },
        )
        return (await self.frontend.handle(request)).status

    async def statuses(self, path='/x/1'):
        """Return the statuses of callers without a key, and with that of o1."""
        keyless = {await self.status(each, path) for each in _KEYLESS}
        key_holder = await self.status({'Authorization': 'Bearer k1'}, path)
        return keyless, key_holder


class ApiKeyTest(_DiscoveryCase):
    """Who is admitted by the keys in the table."""

    async def test_callers_without_a_key(self):
        """Guards against a caller whose key is empty or no bearer key."""
        self.apply_table(_TABLE)
        self.assertEqual(({401}, 200), await self.statuses())
        self.assertEqual('o1', self.relay.calls[0].organisation)

    async def test_empty_key_of_an_organisation(self):
        """Guards against a service that an empty key opens to everyone."""
        for keys in ([''], [' '], ['', 'k1']):
            self.apply_next_table(tenants=[{'name': 'o1', 'api_keys': keys}])
            keyless, _key_holder = await self.statuses()
            self.assertEqual({401}, keyless, keys)

    async def test_organisations_are_absent(self):
        """The page requires a key only if the table has organisations."""
        self.apply_table(without(_TABLE, 'tenants'))
        self.assertEqual(({200}, 200), await self.statuses())
        self.assertEqual({''}, {call.organisation for call in self.relay.calls})

    async def test_operators_see_that_keys_are_no_longer_required(self):
        """Guards against routes that are open, which nobody notices."""
        self.apply_table(_TABLE)
        with mock.patch('primrosewood.platform.discovery.log_event') as log:
            self.apply_table({**without(_TABLE, 'tenants'), 'version': 4})
            log.assert_called_once_with(
                'keys_not_required', 'WARNING', version=4, before=3
            )
            log.reset_mock()
            self.apply_table({**without(_TABLE, 'tenants'), 'version': 5})
            log.assert_not_called()
            self.apply_table({**_TABLE, 'version': 6})
            log.assert_called_once_with(
                'keys_required', 'WARNING', version=6, before=5
            )

    async def test_no_organisation_has_a_key(self):
        """Guards against a service that is open once its last key is gone."""
        for tenants in (
            [],
            [{'name': 'o1'}],
            [{'name': 'o1', 'api_keys': []}],
            [{'name': 'o1', 'api_keys': []}, {'name': 'o2', 'api_keys': []}],
        ):
            self.apply_next_table(tenants=tenants)
            self.assertEqual(({401}, 401), await self.statuses(), tenants)

    async def test_malformed_organisations(self):
        """Guards against a malformed table that opens the routes."""
        self.apply_table(_TABLE)
        for tenants in (
            None,
            {},
            'o1',
            ['o1'],
            [{}],
            [{'name': 'o1', 'api_keys': None}],
            [{'name': 'o1', 'api_keys': [7]}],
        ):
            self.apply_next_table(tenants=tenants)
            self.assertEqual(({401}, 200), await self.statuses(), tenants)

    async def test_table_without_a_statement_on_keys(self):
        """Guards against a table made in code that leaves the routes open."""
        self.tables.replace_if_newer(
            RouteTable(
                1, documents.parse_table(json.dumps(_TABLE).encode()).routes
            )
        )
        self.assertEqual(({401}, 401), await self.statuses())

    async def test_anonymous_routes(self):
        for anonymous, status in (
            ({}, {401}),
            ({'anonymous': False}, {401}),
            ({'anonymous': True}, {200}),
        ):
            self.apply_next_table(routes=[{**_ROUTE, **anonymous}])
            keyless, _key_holder = await self.statuses()
            self.assertEqual(status, keyless, anonymous)

    async def test_malformed_anonymous_routes(self):
        """Guards against a route that is open by a value of another type."""
        self.apply_table(_TABLE)
        for anonymous in (None, 1, 'yes', 'true', []):
            route = {**_ROUTE, 'anonymous': anonymous}
            self.apply_next_table(routes=[route])
            self.assertEqual(({401}, 200), await self.statuses(), anonymous)

    async def test_organisation_without_a_name(self):
        """Guards against a call for whom nobody answers."""
        self.apply_table(
            {**_TABLE, 'tenants': [{'name': '', 'api_keys': ['k1']}]}
        )
        self.assertEqual(({503}, 503), await self.statuses())


class RouteTest(_DiscoveryCase):
    """Which calls have a route, and which service they are sent to."""

    async def test_table_is_absent(self):
        """Guards against calls that no configuration allows yet."""
        self.assertEqual(({503}, 503), await self.statuses())
        self.apply_table(None)
        self.assertEqual(({503}, 503), await self.statuses())

    async def test_table_that_is_gone_or_malformed(self):
        """Guards against callers without routes, and against other routes."""
        self.apply_table(_TABLE)
        for document in (None, b'', b'{}', b'[]', b'{"version": 9, "routes"'):
            self.apply_table(document)
            self.assertEqual(({401}, 200), await self.statuses(), document)

    async def test_routes_are_absent_or_empty(self):
        self.apply_table(without(_TABLE, 'routes'))
        self.assertEqual(({404}, 404), await self.statuses())
        self.apply_next_table(routes=[])
        self.assertEqual(({404}, 404), await self.statuses())

    async def test_malformed_routes(self):
        """Guards against a route that matches by an empty field."""
        self.apply_table(_TABLE)
        for fields in (
            {'host': ''},
            {'path_prefix': ''},
            {'path_prefix': 'x/'},
            {'name': ''},
            {'route_kind': ''},
            {'timeout_ms': None},
            {'split': [{'service': 't', 'weight': -1}]},
            {'split': [{'service': 't'}]},
        ):
            self.apply_next_table(routes=[{**_ROUTE, **fields}])
            self.assertEqual(({401}, 200), await self.statuses(), fields)
            self.assertEqual(({404}, 404), await self.statuses('/y/1'), fields)

    async def test_older_table_after_a_newer_one(self):
        """Guards against a removed key that a late or repeated read restores."""
        self.apply_table({**_TABLE, 'version': 8, 'tenants': []}, revision=20)
        for version, revision in ((3, 10), (7, 30), (8, 31)):
            self.apply_table({**_TABLE, 'version': version}, revision)
            self.assertEqual(({401}, 401), await self.statuses())

    async def test_weights(self):
        """Guards against calls to a service that operators gave no share."""
        for weights, services in (
            ({'s': 0, 't': 0}, set()),
            ({'s': 0, 't': 1}, {'t'}),
            ({'': 1}, set()),
            ({}, set()),
        ):
            split = [
                {'service': service, 'weight': weights[service]}
                for service in weights
            ]
            route = {**without(_ROUTE, 'service'), 'split': split}
            self.apply_next_table(routes=[route])
            self.relay.calls.clear()
            _keyless, status = await self.statuses()
            called = {call.service for call in self.relay.calls}
            with self.subTest(weights):
                self.assertEqual(services, called)
                self.assertEqual(200 if services else 503, status)


class StoredValueTest(_DiscoveryCase):
    """Which back ends get calls, and by which limits."""

    def usable(self):
        return [each.name for each in self.backends.usable('s')]

    def test_limits(self):
        """Guards against a limit of 0 or none for callers' requests."""
        for limits in ({}, {'limits': {}}):
            self.apply_next_table(**limits)
            self.assertEqual(CallerLimits(), self.tables.table.limits)
        for limits in (
            None,
            [],
            {'max_body_bytes': -1},
            {'max_header_bytes': ''},
        ):
            self.apply_next_table(limits=limits)
            self.assertEqual(CallerLimits(), self.tables.table.limits)

    def test_evacuations(self):
        """Guards against calls to a domain whose evacuation is not readable."""
        self.apply('servers/i-1', _RECORD)
        self.assertEqual(['i-1'], self.usable())
        for document in (b'', {}, b'{"state": "back"}', b'\xff', _RECORD):
            self.apply('op/evacuate/d1', document)
            self.assertEqual([], self.usable(), document)
            self.apply('op/evacuate/d1', None)
            self.assertEqual(['i-1'], self.usable())

    def test_records(self):
        """Guards against a back end that is known by half of its record."""
        for document in (
            None,
            b'',
            b'{}',
            *(without(_RECORD, name) for name in _RECORD),
            *({**_RECORD, name: ''} for name in _RECORD),
            *({**_RECORD, name: None} for name in _RECORD),
            {**_RECORD, 'born': 0},
        ):
            self.apply('servers/i-1', _RECORD)
            self.assertEqual(['i-1'], self.usable())
            self.apply('servers/i-1', document)
            self.assertEqual([], self.usable(), document)
        self.apply('servers/', _RECORD)
        self.assertEqual([], self.usable())

    def test_number_of_entries(self):
        """Guards against a whole limit for one entry of an unknown number."""
        for document in (
            None,
            b'',
            b'{}',
            b'{"entries": 0, "names": []}',
            b'{"entries": -4}',
            b'{"entries": "2"}',
        ):
            self.apply('limits/entries', b'{"entries": 5, "names": []}')
            self.assertEqual(10, self.entries.share_of(50))
            self.apply('limits/entries', document)
            self.assertEqual(0, self.entries.share_of(50), document)

    def test_crashes(self):
        """A call is refused only if a crash is known."""
        for document in (None, b'', b'{}', b'{"crashes": "all"}', b'[]'):
            self.discovery.guard.reset_mock()
            self.apply('limits/crashes', document)
            (applied,) = self.discovery.guard.apply.call_args.args
            self.assertEqual(((), {}), (applied.crashes, applied.trials))


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """Who may open a link between processes."""

    async def connect(self, presented, expected):
        hello = wire.Hello(key=presented, process='p', incarnation='i')
        socket = mock.Mock()
        socket.recv = mock.AsyncMock(return_value=serialise_frame([hello]))
        return await receive_hello(socket, expected, 1)

    async def test_peers_without_the_key(self):
        """Guards against an empty key that opens the links of others."""
        for presented in ('', 'k', 'secret ', 'Secret'):
            with self.subTest(presented), self.assertRaises(WireError):
                await self.connect(presented, 'secret')
        hello = await self.connect('secret', 'secret')
        self.assertEqual('p', hello.process)

    async def test_processes_that_have_no_key(self):
        """Whoever reaches the port is a peer, but not with another key."""
        self.assertEqual('p', (await self.connect('', '')).process)
        with self.assertRaises(WireError):
            await self.connect('secret', '')


class OpenAddressTest(unittest.IsolatedAsyncioTestCase):
    """What is told to whoever reaches an address that asks for no key."""

    async def test_readiness(self):
        for ready, status in ((True, 200), (False, 503)):
            response = await answer_readiness_probe(
                lambda ready=ready: ready, make_mocked_request('GET', '/readyz')
            )
            self.assertEqual(status, response.status)

    async def test_metrics_hold_no_names_of_callers(self):
        """Guards against keys and organisations on the metrics address."""
        metrics = Metrics()
        relay = mock.Mock(answer=mock.AsyncMock())
        tables = TableHolder()
        tables.replace_if_newer(
            documents.parse_table(json.dumps(_TABLE).encode())
        )
        frontend = make_frontend(relay, tables, metrics)
        for key in ('k1', 'never-held'):
            await frontend.handle(
                make_mocked_request(
                    'GET',
                    '/nowhere/',
                    headers={
                        'Host': 'h.example',
                        'Primrosewood-Attempt-Id': 'ab12',
                        'Authorization': f'Bearer {key}',
                    },
                )
            )
        exposed = metrics.expose()
        for secret in (b'k1', b'never-held', b'o1', b'ab12'):
            self.assertNotIn(secret, exposed)
        self.assertIn(b'not_found', exposed)


class OwnInterfaceTest(unittest.IsolatedAsyncioTestCase):
    """Who is admitted to the product's own interface and administration."""

    def setUp(self):
        self.store = SettingsStore()
        self.keys = Keys('p' * 16, 's' * 16)

    def merge_key(self, key_sha256):
        organisations = {'o': {'key_sha256': key_sha256}} if key_sha256 else {}
        document = json.dumps({'organisations': organisations})
        revision = self.store.revision_of('a') + 1
        self.store.merge(wire.SettingsRecord('a', revision, document))

    async def list_models(self, headers):
        api = CallerApi(
            mock.Mock(), self.store, SystemClock(), mock.Mock(), '', Metrics()
        )
        request = make_mocked_request('GET', '/v1/models', headers=headers)
        return (await api._list_models(request)).status  # noqa: SLF001

    async def administer(self, headers):
        api = AdministrationApi(
            'entry-1',
            mock.Mock(),
            self.store,
            mock.Mock(),
            self.keys,
            mock.Mock(body_bytes=1000),
        )
        request = make_mocked_request(
            'GET', '/settings/a', headers=headers, match_info={'team': 'a'}
        )
        return (await api._get_settings(request)).status  # noqa: SLF001

    async def check_refused(self, call, headers):
        for each in headers:
            with (
                self.subTest(each),
                self.assertRaises(RequestFailedError) as caught,
            ):
                await call(each)
            self.assertEqual(401, caught.exception.answer.status)

    async def test_callers_without_a_key(self):
        """Guards against the hash of an empty key that admits everyone."""
        for key_sha256 in ('', hash_secret('k1'), _EMPTY_KEY_HASH):
            self.merge_key(key_sha256)
            await self.check_refused(self.list_models, _KEYLESS)
        await self.check_refused(
            self.list_models, [{'Authorization': 'Bearer k1'}]
        )

    async def test_operators_without_a_key(self):
        """Guards against settings that anyone may change."""
        self.merge_key('')
        await self.check_refused(
            self.administer, [*_KEYLESS, {'Authorization': 'Bearer k1'}]
        )
        for key_sha256 in (hash_secret('k1'), _EMPTY_KEY_HASH):
            self.keys.operators = {
                'ann': SimpleNamespace(key_sha256=key_sha256, teams=['*'])
            }
            await self.check_refused(self.administer, _KEYLESS)
