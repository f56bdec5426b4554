"""Log lines that are written without waiting for their reader."""

import os
import time
import unittest

from primrosewood.logs import LineWriter


class LineWriterTest(unittest.TestCase):
    """A pipe whose reader may stand still."""

    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)

    def read(self):
        os.set_blocking(self.reader, False)
        parts = []
        while True:
            try:
                parts.append(os.read(self.reader, 1 << 20))
            except BlockingIOError:
                return b''.join(parts).decode()

    def test_lines_arrive(self):
        lines = LineWriter(self.writer)
        lines.write('a=1', 0)
        lines.write('b=2', 0)
        self.assertEqual('a=1\nb=2\n', self.read())

    def test_reader_that_does_not_read(self):
        """Whatever collects the logs stands still, and the pipe fills.

        A process that waited for it would stop answering its callers.
        """
        lines = LineWriter(self.writer, most_a_second=100_000)
        started = time.monotonic()
        for number in range(20_000):
            lines.write(f'number={number} text={"x" * 40}', 0)
        self.assertLess(time.monotonic() - started, 5)
        first = self.read()
        while True:
            lines.write('again=1', 0)
            more = self.read()
            first += more
            if 'event=lines_dropped' in first:
                break
        whole = first.rpartition('\n')[0].split('\n')
        self.assertTrue(all('=' in line for line in whole))

    def test_volume_is_bounded(self):
        """A fault that logs in a loop must not cost what callers need."""
        lines = LineWriter(self.writer, most_a_second=10)
        for _ in range(1000):
            lines.write('a=1', 5)
        lines.write('b=2', 6)
        text = self.read()
        self.assertEqual(10, text.count('a=1'))
        self.assertIn('event=lines_dropped count=990', text)
        self.assertTrue(text.endswith('b=2\n'))

    def test_reader_that_is_gone(self):
        reader, writer = os.pipe()
        os.close(reader)
        LineWriter(writer).write('a=1', 0)
        os.close(writer)
