"""Marks by which a request and its repetitions are recognised."""

import unittest
from dataclasses import replace

from primrosewood.platform.headers import select_repeated_headers
from primrosewood.requestmarks import RequestContent, make_marks

_CONTENT = RequestContent(
    'POST', '/a?b=1', (('X-A', '1'),), b'body', ('f', 'o')
)


class RequestMarksTest(unittest.TestCase):
    """What two requests must have in common to share a mark."""

    def shared(self, **changes):
        """Return the kinds of marks that a changed request has in common."""
        first = make_marks(_CONTENT, 'key')
        second = make_marks(replace(_CONTENT, **changes), 'key')
        return [mark.partition(':')[0] for mark in first if mark in second]

    def test_repetition_has_all(self):
        self.assertEqual(['f', 'o', 'content', 'request'], self.shared())

    def test_other_content(self):
        """Guards against requests taken for others of their route."""
        for changes in (
            {'method': 'GET'},
            {'target': '/a?b=2'},
            {'body': b'bodz'},
        ):
            with self.subTest(changes):
                self.assertEqual(['f', 'o'], self.shared(**changes))

    def test_own_part(self):
        """Guards against requests that only their last part tells apart."""
        self.assertEqual(['f'], self.shared(prompt_parts=('f', 'p')))

    def test_other_headers(self):
        self.assertEqual(
            ['f', 'o', 'content'], self.shared(headers=(('X-A', '2'),))
        )

    def test_fields_do_not_run_together(self):
        """Guards against different requests with the same digest."""
        self.assertEqual(
            [], self.shared(method='POS', target='T/a?b=1', prompt_parts=())
        )

    def test_body_does_not_run_into_headers(self):
        """Guards against a body made to look like another request."""
        disguised = b'body' + bytes((0, 0, 0, 3)) + b'x-a' + bytes((0, 0, 0, 1))
        self.assertEqual(
            ['f', 'o'], self.shared(body=disguised + b'1', headers=())
        )

    def test_key(self):
        """Guards against content that can be guessed from logs."""
        marks = set(make_marks(_CONTENT, 'key'))
        self.assertEqual({'f', 'o'}, marks & set(make_marks(_CONTENT, '')))

    def test_long_parts_are_bounded(self):
        marks = make_marks(replace(_CONTENT, prompt_parts=('x' * 64, '')), '')
        self.assertLessEqual(max(map(len, marks)), 24)
        self.assertEqual(3, len(marks))


class RepeatedHeadersTest(unittest.TestCase):
    """Headers of the platform by which a request is recognised."""

    def test_attempts_do_not_matter(self):
        """Guards against a repetition that looks like another request."""
        kept = ('Primrosewood-Model', 'm')
        received = [
            ('primrosewood-attempt-id', '1'),
            ('Primrosewood-Deadline-Ms', '2'),
            ('Content-Length', '3'),
            ('Authorization', 'Bearer k'),
            kept,
        ]
        self.assertEqual((kept,), select_repeated_headers(received))


if __name__ == '__main__':
    unittest.main()
