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
from primrosewood.directcalls import AnswerHead
from primrosewood.entrycount import EntryCount
from primrosewood.errors import RequestFailedError
from primrosewood.gen_keys import Keys
from primrosewood.identity import hash_secret
from primrosewood.kv import Pair
from primrosewood.metrics import Metrics
from primrosewood.platform import documents
from primrosewood.platform.discovery import Discovery
from primrosewood.platform.frontend import (
    HttpFrontend,
)
from primrosewood.routes import RouteTable, TableHolder
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


def encode(document):
    return document if isinstance(document, bytes) else json.dumps(document)


def make_pair(key, document, revision=1):
    """Return a key's value; a document of bytes is stored as it is."""
    stored = encode(document)
    if isinstance(stored, str):
        stored = stored.encode()
    return Pair(key, stored, revision)


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
        self.frontend = HttpFrontend(
            self.relay,
            self.tables,
            SystemClock(),
            random.Random(1),
            Metrics(),
            StopWindow(8, 4),
        )

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
