"""Tests of merging settings records and of looking up settings."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from primrosewood.errors import RequestFailedError
from primrosewood.gen_wire import SettingsRecord
from primrosewood.identity import hash_secret
from primrosewood.settings import SettingsStore


def make_record(team, revision, document='{}'):
    return SettingsRecord(team, revision, document)


class MergeTest(unittest.TestCase):
    """Records that arrive late, twice and out of order."""

    @settings(derandomize=True, max_examples=200)
    @given(
        st.lists(
            st.tuples(st.sampled_from('ab'), st.integers(1, 6)), max_size=20
        )
    )
    def test_never_goes_back(self, arrivals):
        """A stale read, a repeat or a slow peer brings an old record.

        An operator must never see the old setting in force again.
        """
        store = SettingsStore()
        newest = {}
        for team, revision in arrivals:
            store.merge(make_record(team, revision))
            newest[team] = max(newest.get(team, 0), revision)
            self.assertEqual(newest, store.revisions)

    @settings(derandomize=True, max_examples=100)
    @given(
        st.lists(
            st.tuples(st.sampled_from('ab'), st.integers(1, 6)), max_size=12
        ),
        st.randoms(use_true_random=False),
    )
    def test_order_does_not_matter(self, arrivals, source):
        one, other = SettingsStore(), SettingsStore()
        for team, revision in arrivals:
            one.merge(make_record(team, revision))
        source.shuffle(arrivals)
        for team, revision in arrivals:
            other.merge(make_record(team, revision))
        self.assertEqual(one.digest, other.digest)

    def test_old_record_does_not_revert_a_deletion(self):
        store = SettingsStore()
        store.merge(make_record('a', 2, ''))
        self.assertFalse(store.merge(make_record('a', 1, '{"services": {}}')))
        self.assertEqual('', store.text_of('a'))

    def test_unreadable_record_keeps_what_is_in_force(self):
        store = SettingsStore()
        store.merge(make_record('a', 1))
        self.assertFalse(store.merge(make_record('a', 2, '{"new": 1}')))
        self.assertEqual(1, store.revision_of('a'))

    def test_records_newer_than_those_of_a_peer(self):
        store = SettingsStore()
        store.merge(make_record('a', 3))
        store.merge(make_record('b', 1))
        newer = store.records_newer_than({'a': 2, 'b': 1})
        self.assertEqual(['a'], [record.team for record in newer])


class LookUpTest(unittest.TestCase):
    """Look-ups of organisations, models and failure domains."""

    def setUp(self):
        self.store = SettingsStore()
        key = hash_secret('secret')
        self.store.merge(
            make_record(
                'a',
                1,
                json.dumps(
                    {
                        'organisations': {'o': {'key_sha256': key}},
                        'services': {'desk': {'kind': 'model', 'model': 'm-1'}},
                        'failure_domains': {'d1': {'state': 'out'}},
                    }
                ),
            )
        )
        self.store.merge(
            make_record(
                'platform', 1, '{"failure_domains": {"d2": {"state": "out"}}}'
            )
        )

    def test_identifies_by_key(self):
        self.assertEqual('a/o', self.store.identify('secret').full_name)
        with self.assertRaises(RequestFailedError):
            self.store.identify('other')

    def test_finds_a_model_by_either_name(self):
        self.assertEqual('desk', self.store.find_model('a', 'm-1'))
        self.assertEqual('desk', self.store.find_model('a', 'desk'))
        self.assertIsNone(self.store.find_model('b', 'm-1'))

    def test_team_and_platform_take_domains_out(self):
        self.assertTrue(self.store.is_out('a', 'd1'))
        self.assertFalse(self.store.is_out('b', 'd1'))
        self.assertTrue(self.store.is_out('b', 'd2'))
        self.assertFalse(self.store.is_out('a', 'd3'))
