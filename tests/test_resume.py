"""Resume tokens: valid, malformed and forged."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from primrosewood.errors import ErrorKind, RequestFailedError
from primrosewood.resume import (
    ResumePoint,
    format_event_id,
    parse_event_id,
    sign_stream,
)

_KEY = 'signing-key-of-the-tests'
_POINT = ResumePoint('e1', 'i-1', 't', 'o')


class ResumeTokenTest(unittest.TestCase):
    """A token is accepted only from the organisation it was signed for."""

    def setUp(self):
        self.token = format_event_id(sign_stream(_POINT, _KEY), 42)

    def parse_error_kind(self, token, organisation='t/o', key=_KEY):
        try:
            parse_event_id(token, key, organisation)
        except RequestFailedError as error:
            return error.kind
        return None

    def test_round_trip(self):
        point = parse_event_id(self.token, _KEY, 't/o')
        self.assertEqual(ResumePoint('e1', 'i-1', 't', 'o', 42), point)

    def test_other_organisation_and_other_key(self):
        self.assertEqual(
            ErrorKind.forbidden, self.parse_error_kind(self.token, 't/other')
        )
        self.assertEqual(
            ErrorKind.invalid_request,
            self.parse_error_kind(self.token, key='another-signing-key'),
        )

    @settings(derandomize=True, max_examples=1000)
    @given(st.text(max_size=60))
    def test_any_text(self, text):
        self.assertEqual(ErrorKind.invalid_request, self.parse_error_kind(text))

    def test_any_changed_character(self):
        signed = self.token.rpartition('.')[0]
        for position, character in enumerate(signed):
            replacement = 'A' if character != 'A' else 'B'
            changed = (
                f'{signed[:position]}{replacement}{signed[position + 1 :]}.42'
            )
            kind = self.parse_error_kind(changed)
            # The last base64 character may have bits that are not decoded.
            if position < len(signed) - 1:
                self.assertEqual(ErrorKind.invalid_request, kind)

    def test_hostile_offsets(self):
        signed = self.token.rpartition('.')[0]
        for offset in ('', '-1', '1e3', '9' * 50, '\u0663', ' 1'):
            self.assertEqual(
                ErrorKind.invalid_request,
                self.parse_error_kind(f'{signed}.{offset}'),
            )
