"""Server-sent events of direct streams."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from primrosewood.errors import WireError
from primrosewood.events import EventSplitter, StreamOrder, read_event_id


def make_event(number):
    return b'id: %d\ndata: x\n\n' % number


class EventSplitterTest(unittest.TestCase):
    """Whole events from any cut of the bytes."""

    @settings(derandomize=True)
    @given(st.lists(st.integers(0, 200), max_size=20))
    def test_any_cut(self, cuts):
        complete = b''.join(make_event(number) for number in range(12))
        splitter = EventSplitter()
        events = []
        edges = sorted(min(cut, len(complete)) for cut in cuts)
        for start, end in zip(
            [0, *edges], [*edges, len(complete)], strict=True
        ):
            events += splitter.feed(complete[start:end])
        self.assertEqual(complete, b''.join(events))
        self.assertEqual(12, len(events))
        self.assertEqual(b'', splitter.rest)

    def test_half_an_event_stays_back(self):
        """An engine dies in the middle of an event.

        What was handed on cannot be taken back, and the engine that goes on
        sends that event again: the caller would see it one and a half times.
        """
        splitter = EventSplitter()
        self.assertEqual([make_event(1)], splitter.feed(make_event(1) + b'id'))
        self.assertEqual(b'id', splitter.rest)


class StreamOrderTest(unittest.TestCase):
    """Each event once, in order."""

    def test_repeats_are_dropped_and_gaps_refused(self):
        order = StreamOrder()
        self.assertTrue(order.accept(make_event(1)))
        self.assertTrue(order.accept(make_event(2)))
        self.assertFalse(order.accept(make_event(1)))
        with self.assertRaises(WireError):
            order.accept(make_event(4))
        self.assertEqual(2, order.last)

    def test_ids(self):
        self.assertEqual(7, read_event_id(b'data: x\nid:7\n\n'))
        self.assertIsNone(read_event_id(b'data: id: 7\n\n'))
        self.assertIsNone(read_event_id(b'id: seven\n\n'))
