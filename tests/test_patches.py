"""Tests of patches between two versions of a value, and compression."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from primrosewood.errors import WireError
from primrosewood.patches import (
    apply_patch,
    compress_value,
    decompress_value,
    make_patch,
)

DOCUMENTS = st.lists(st.sampled_from([b'{a}', b'{b}', b'c', b'}', b'{d}'])).map(
    b''.join
)


class PatchTest(unittest.TestCase):
    """Patches reproduce the newer value and are small."""

    @settings(derandomize=True, max_examples=400)
    @given(DOCUMENTS, DOCUMENTS)
    def test_patch_between_any_two_versions(self, old, new):
        patch = make_patch(old, new)
        self.assertEqual(new, apply_patch(old, patch.inserted, patch.copies))

    def test_patch_is_as_small_as_the_change(self):
        objects = [b'{"n": %d},' % number for number in range(1000)]
        old = b'{"version": 1, "list": [%s]}' % b''.join(objects)
        objects[500:501] = [b'{"n": "changed"},', b'{"n": "added"},']
        new = b'{"version": 2, "list": [%s]}' % b''.join(objects)
        patch = make_patch(old, new)
        self.assertEqual(new, apply_patch(old, patch.inserted, patch.copies))
        self.assertLess(len(patch.inserted), 100)
        self.assertLess(len(patch.copies), 5)

    def test_patch_of_another_value_is_refused(self):
        with self.assertRaises(WireError):
            apply_patch(b'short', b'', [(0, 3, 10)])
        with self.assertRaises(WireError):
            apply_patch(b'short', b'too much', [(2, 0, 5)])


class CompressionTest(unittest.TestCase):
    """Compression of values."""

    def test_decompresses_a_compressed_value(self):
        plain = b'{"name": "route"},' * 1000
        self.assertEqual(plain, decompress_value(compress_value(plain)))
        self.assertLess(len(compress_value(plain)), len(plain) / 10)

    def test_refuses_truncated_corrupt_or_huge_data(self):
        """A small frame must not decompress to all memory of a process."""
        compressed = compress_value(b'a' * 5_000_000)
        for bad in (b'', b'plain', compress_value(b'abc')[:-2], compressed):
            with self.assertRaises(WireError):
                decompress_value(bad)
