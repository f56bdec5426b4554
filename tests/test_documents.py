"""Tests of paths in settings documents and of changes to settings."""

import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from primrosewood.changes import ChangeRequest, SettingsEditor
from primrosewood.clock import SystemClock
from primrosewood.documents import (
    delete_at,
    find_differences,
    get_at,
    paths_overlap,
    put_at,
    split_path,
)
from primrosewood.errors import (
    ErrorKind,
    RequestFailedError,
    SettingsInvalidError,
)
from primrosewood.kv import MemoryKeyValue

from .faultystore import FaultyStore

_PATHS = st.lists(st.sampled_from('ab'), min_size=1, max_size=3).map(tuple)


class PathTest(unittest.TestCase):
    """Functions on paths and documents."""

    @settings(derandomize=True, max_examples=200)
    @given(_PATHS, st.integers())
    def test_put_get_delete(self, path, setting):
        document = put_at({}, path, setting)
        self.assertEqual(setting, get_at(document, path))
        with self.assertRaises(RequestFailedError):
            get_at(delete_at(document, path), path)
        self.assertEqual(1, len(find_differences({}, document)))

    def test_documents_are_not_changed_in_place(self):
        before = {'a': {'b': 1}}
        put_at(before, ('a', 'b'), 2)
        delete_at(before, ('a', 'b'))
        self.assertEqual({'a': {'b': 1}}, before)

    def test_put_below_a_leaf(self):
        with self.assertRaises(RequestFailedError):
            put_at({'a': 1}, ('a', 'b'), 2)

    def test_overlap(self):
        one = split_path('/a/b/')
        self.assertTrue(paths_overlap(one, split_path('a')))
        self.assertTrue(paths_overlap((), one))
        self.assertFalse(paths_overlap(one, split_path('a/c')))

    def test_path_that_is_too_long(self):
        with self.assertRaises(RequestFailedError):
            split_path('a/' * 400)


def make_request(path, setting, seen_revision=None):
    return ChangeRequest('t', path, 'put', setting, 'op', seen_revision)


class EditorTest(unittest.TestCase):
    """Changes with store faults, invalid values and conflicts."""

    @settings(derandomize=True, max_examples=25, deadline=None)
    @given(st.lists(st.sampled_from(['', 'before', 'after']), max_size=4))
    def test_accepted_once_whatever_the_faults(self, faults):
        """Answers of the write are lost or never come.

        The operator hears of one acceptance, and the history shows one.
        """
        asyncio.run(self.accept(faults))

    async def accept(self, faults):
        store = FaultyStore(faults)
        editor = SettingsEditor(store, SystemClock())
        accepted = await editor.apply(
            make_request('services/a', {'kind': 'model'})
        )
        self.assertEqual(1, accepted.record.revision)
        self.assertEqual(1, len(await editor.read_history('t')))

    def test_invalid_change_writes_nothing(self):
        asyncio.run(self.check_invalid_change())

    async def check_invalid_change(self):
        store = MemoryKeyValue()
        editor = SettingsEditor(store, SystemClock())
        with self.assertRaises(SettingsInvalidError) as caught:
            await editor.apply(make_request('services/a/kind', 'none'))
        self.assertIn('/services/a/kind', caught.exception.faults[0])
        self.assertEqual(0, store.revision)

    def test_conflict_reports_the_accepted_revision(self):
        asyncio.run(self.check_conflict())

    async def check_conflict(self):
        editor = SettingsEditor(MemoryKeyValue(), SystemClock())
        await editor.apply(make_request('services/a', {'kind': 'model'}))
        await editor.apply(make_request('services/b', {'kind': 'plain'}, 1))
        with self.assertRaises(RequestFailedError) as caught:
            await editor.apply(make_request('services/a/kind', 'plain', 0))
        self.assertEqual(ErrorKind.conflict, caught.exception.kind)
        self.assertIn('revision 2', caught.exception.message)
