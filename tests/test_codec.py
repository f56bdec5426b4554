"""Tests of the codec with valid, random and malicious frames."""

import unittest

import cbor2
from hypothesis import given, settings
from hypothesis import strategies as st

from primrosewood import gen_wire as wire
from primrosewood.codec import parse_frame, serialise_frame
from primrosewood.errors import WireError

_LOAD = wire.Load(running=1, queued=2, limit=3)
_CLAIM = wire.ClaimRecord('d', 'n', 'a', 1, 'e', 'i', 'b', 5)
_MESSAGES = [
    wire.Hello('p', 'i', 'k'),
    wire.Welcome('p', 'i', 'd', _LOAD),
    wire.Heartbeat(7, None),
    wire.Heartbeat(7, _LOAD),
    wire.SettingsPull({'t': 3}),
    wire.SettingsPush([wire.SettingsRecord('t', 3, '{}')]),
    wire.Offer('r', 'a', 't', 's', 'o', 1000, b'\x00\xff', prompt='é'),
    wire.Admitted('a', 'g', _LOAD),
    wire.Queued('a', 5),
    wire.NotRun('a', 'overloaded', 5, _LOAD),
    wire.Tokens('a', 9, ['x', '']),
    wire.Finished('a', 9, 'stop', 3, _LOAD),
    wire.Failed('a', 'internal', ''),
    wire.Reply('a', 201, 'text/plain', b'ok', _LOAD),
    wire.Credit('a', 4),
    wire.Resume('a', 'g', 't/o', 4),
    wire.Fetch('a', 'b', 'i', 't/o'),
    wire.Cancel('a', at_once=False),
    wire.ClaimQuery('a', _CLAIM, ''),
    wire.ClaimReply('a', None),
    wire.StopQuery('a', 'h:1', 7, 2),
    wire.StopReply('a', 7, 2, agrees=True),
    wire.StopPolicy(announces_stops=True),
]


class CodecTest(unittest.TestCase):
    """Round trips and rejected frames."""

    def test_round_trip_of_messages(self):
        self.assertEqual(_MESSAGES, parse_frame(serialise_frame(_MESSAGES)))

    def test_frames_of_any_length(self):
        """The head of a CBOR array changes its form at 24 and at 256."""
        for length in (0, 1, 23, 24, 255, 256, 1000):
            messages = [wire.Credit('a', number) for number in range(length)]
            frame = serialise_frame(messages)
            self.assertEqual(messages, parse_frame(frame))
            rows = [[14, ['a', number]] for number in range(length)]
            self.assertEqual(cbor2.dumps(rows), frame)

    def test_unknown_trailing_field_is_ignored(self):
        frame = cbor2.dumps([[15 - 1, ['a', 4, 'new']]])
        self.assertEqual([wire.Credit('a', 4)], parse_frame(frame))

    def test_malformed_frames_are_rejected(self):
        for data in (7, 'text', [7], [[1]], [[99, []]], [[10, ['a', -1, []]]]):
            with self.assertRaises(WireError):
                parse_frame(cbor2.dumps(data))

    @settings(derandomize=True, max_examples=2000)
    @given(st.binary(max_size=120))
    def test_random_bytes(self, frame):
        """Bytes from nowhere end in a refusal, never in another error."""
        try:
            parse_frame(frame)
        except WireError:
            return

    @settings(derandomize=True, max_examples=2000)
    @given(st.integers(0, 2**30), st.integers(0, 255), st.integers(1, 400))
    def test_mutated_frames(self, place, octet, cut):
        frame = bytearray(serialise_frame(_MESSAGES))
        frame[place % len(frame)] = octet
        try:
            parse_frame(bytes(frame[: max(1, len(frame) - cut % 40)]))
            parse_frame(bytes(frame))
        except WireError:
            return

    @settings(derandomize=True, max_examples=500)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 20),
                st.recursive(
                    st.none() | st.integers() | st.text() | st.binary(),
                    lambda inner: (
                        st.lists(inner, max_size=4)
                        | st.dictionaries(
                            st.text(max_size=3), inner, max_size=3
                        )
                    ),
                    max_leaves=10,
                ),
            ),
            max_size=4,
        )
    )
    def test_well_formed_nonsense(self, pairs):
        frame = cbor2.dumps([list(pair) for pair in pairs])
        try:
            parse_frame(frame)
        except WireError:
            return
