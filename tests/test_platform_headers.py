"""Which headers pass from callers to back ends."""

import unittest

from primrosewood.platform.headers import (
    drop_hop_headers,
    find_header,
    keep_caller_headers,
    parse_deadline,
    parse_size,
)


class CallerHeadersTest(unittest.TestCase):
    """What a caller may say to a back end."""

    def test_what_only_the_system_may_set(self):
        """A caller sends the system's own headers.

        It would hold memory at an engine, go on from another caller's copy or
        pass for another organisation, and its key would reach the engine.
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
        self.assertEqual((), keep_caller_headers(sent))

    def test_headers_of_one_connection(self):
        sent = [
            ('Connection', 'close, X-Mine'),
            ('X-Mine', '1'),
            ('Transfer-Encoding', 'chunked'),
            ('Content-Length', '5'),
            ('Accept', 'a'),
            ('Accept', 'b'),
        ]
        self.assertEqual(
            (('Accept', 'a'), ('Accept', 'b')), drop_hop_headers(sent)
        )

    def test_first_of_a_name(self):
        sent = [('X-A', '1'), ('x-a', '2')]
        self.assertEqual('1', find_header(sent, 'x-A'))
        self.assertEqual('', find_header(sent, 'Y'))


class ParsingTest(unittest.TestCase):
    """Numbers in headers."""

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
        hinted = parse_size([(name, '1,2'), ('Primrosewood-Length-Hint', '7')])
        self.assertEqual(7, hinted.hint)
        self.assertIsNone(parse_size([]))
        self.assertIsNone(parse_size([(name, 'many,80')]))
        self.assertEqual(0, parse_size([(name, '5')]).max_answer_tokens)
