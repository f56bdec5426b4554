"""Forwarding and parsing of headers."""

import unittest

from primrosewood.platform.headers import (
    drop_hop_by_hop_headers,
    filter_caller_headers,
    find_header,
    parse_deadline,
    parse_prompt_parts,
    parse_size,
)


class CallerHeadersTest(unittest.TestCase):
    """Headers that are forwarded from a caller to a back end."""

    def test_reserved_headers_are_dropped(self):
        """Guards against forged headers that reach an engine.

        With them a caller could hold engine memory, resume from another
        caller's KV cache or impersonate another organisation.  Its API key
        must not reach the engine either.
        """
        forged = (
            'Primrosewood-Hold',
            'primrosewood-pin-ms',
            'PRIMROSEWOOD-KV-BACKUP',
            'Kv-From',
            'Kv-Fetch',
            'Primrosewood-Tenant',
            'Primrosewood-Urgency',
            'Primrosewood-Expect-Instance',
            'Primrosewood-Expect-Version',
            'Primrosewood-Deadline-Ms',
            'Authorization',
        )
        sent = [(name, 'x') for name in forged]
        self.assertEqual((), filter_caller_headers(sent))

    def test_hop_by_hop_headers_are_dropped(self):
        sent = [
            ('Connection', 'close, X-Mine'),
            ('X-Mine', '1'),
            ('Transfer-Encoding', 'chunked'),
            ('Content-Length', '5'),
            ('Accept', 'a'),
            ('Accept', 'b'),
        ]
        self.assertEqual(
            (('Accept', 'a'), ('Accept', 'b')), drop_hop_by_hop_headers(sent)
        )

    def test_first_header_of_a_name(self):
        sent = [('X-A', '1'), ('x-a', '2')]
        self.assertEqual('1', find_header(sent, 'x-A'))
        self.assertEqual('', find_header(sent, 'Y'))


class ParsingTest(unittest.TestCase):
    """Parsing of numbers in headers."""

    def test_deadlines(self):
        self.assertEqual(1.5, parse_deadline('1500'))
        for text in ('', 'soon', 'nan', 'inf', '-1'):
            self.assertIsNone(parse_deadline(text))

    def test_sizes(self):
        name = 'Primrosewood-Token-Usage'
        size = parse_size([(name, '1460,80')])
        self.assertEqual(
            (1460, 80, 0),
            (size.prompt_tokens, size.max_answer_tokens, size.hint),
        )
        with_hint = parse_size(
            [(name, '1,2'), ('Primrosewood-Length-Hint', '7')]
        )
        self.assertEqual(7, with_hint.hint)
        self.assertIsNone(parse_size([]))
        self.assertIsNone(parse_size([(name, 'many,80')]))
        self.assertEqual(0, parse_size([(name, '5')]).max_answer_tokens)

    def test_prompt_parts(self):
        """Guards against a request whose own part is left out."""
        for text, parts in (
            ('', ()),
            ('5c1e:80', ('5c1e',)),
            ('5C1e:80, 91bd:41,e440:25', ('5c1e', '91bd', 'e440')),
            (',,', ('', '', '')),
            ('5c1e', ('5c1e',)),
        ):
            with self.subTest(text):
                received = [('primrosewood-prefix-hash', text)]
                self.assertEqual(parts, parse_prompt_parts(received))
