"""Tests of token buffers and stream cursors."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from primrosewood.errors import ErrorKind, WireError
from primrosewood.streams import StreamCursor, TokenBuffer


class TokenBufferTest(unittest.TestCase):
    """The buffer of an endpoint."""

    def test_reads_any_range(self):
        buffer = TokenBuffer()
        pieces = ['a', 'é', '', 'xyz']
        for index, piece in enumerate(pieces):
            self.assertTrue(buffer.append(index, piece))
        for first in range(5):
            for last in range(first, 5):
                self.assertEqual(pieces[first:last], buffer.read(first, last))

    def test_drops_repeats_and_refuses_gaps(self):
        buffer = TokenBuffer()
        buffer.append(0, 'a')
        self.assertFalse(buffer.append(0, 'b'))
        with self.assertRaises(WireError):
            buffer.append(2, 'c')
        self.assertEqual(['a'], buffer.read(0, 1))

    def test_first_ending_stands(self):
        buffer = TokenBuffer()
        buffer.finish('stop')
        buffer.fail(ErrorKind.generation_lost)
        self.assertIsNone(buffer.failure)
        self.assertFalse(buffer.append(0, 'late'))


class StreamCursorTest(unittest.TestCase):
    """The cursor of an entry, with duplicate, lost and resumed frames."""

    @settings(derandomize=True, max_examples=300)
    @given(st.lists(st.tuples(st.integers(0, 12), st.integers(0, 6))))
    def test_hands_on_each_token_once_in_order(self, frames):
        """Frames are repeated and overlap; some are lost with a link."""
        tokens = [str(number) for number in range(12)]
        cursor = StreamCursor()
        received = []
        for first, count in frames:
            try:
                received += cursor.accept(first, tokens[first : first + count])
            except WireError:
                self.assertGreater(first, len(received))
        self.assertEqual(tokens[: len(received)], received)
        self.assertEqual(len(received), cursor.offset)
