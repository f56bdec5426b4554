"""Differences between two versions of a value."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from primrosewood.errors import WireError
from primrosewood.patches import apply_patch, make_patch, pack, unpack

DOCUMENTS = st.lists(st.sampled_from([b'{a}', b'{b}', b'c', b'}', b'{d}'])).map(
    b''.join
)


class PatchTest(unittest.TestCase):
    """What a patch brings back, and how small it is."""

    @settings(derandomize=True, max_examples=400)
    @given(DOCUMENTS, DOCUMENTS)
    def test_brings_any_version_from_any_other(self, old, new):
        patch = make_patch(old, new)
        self.assertEqual(new, apply_patch(old, patch.fresh, patch.copies))

    def test_is_as_small_as_the_change(self):
        objects = [b'{"n": %d},' % number for number in range(1000)]
        old = b'{"version": 1, "list": [%s]}' % b''.join(objects)
        objects[500:501] = [b'{"n": "changed"},', b'{"n": "added"},']
        new = b'{"version": 2, "list": [%s]}' % b''.join(objects)
        patch = make_patch(old, new)
        self.assertEqual(new, apply_patch(old, patch.fresh, patch.copies))
        self.assertLess(len(patch.fresh), 100)
        self.assertLess(len(patch.copies), 5)

    def test_refuses_what_is_no_patch_of_this_value(self):
        with self.assertRaises(WireError):
            apply_patch(b'short', b'', [(0, 3, 10)])
        with self.assertRaises(WireError):
            apply_patch(b'short', b'too much', [(2, 0, 5)])


class PackTest(unittest.TestCase):
    """Values that are compressed on the way."""

    def test_brings_back_what_was_packed(self):
        plain = b'{"name": "route"},' * 1000
        self.assertEqual(plain, unpack(pack(plain)))
        self.assertLess(len(pack(plain)), len(plain) / 10)

    def test_refuses_what_is_cut_spoiled_or_huge(self):
        """A small frame must not unpack to all of a process's memory."""
        packed = pack(b'a' * 5_000_000)
        for bad in (b'', b'plain', pack(b'abc')[:-2], packed):
            with self.assertRaises(WireError):
                unpack(bad)
