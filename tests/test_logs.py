"""Log lines are written without blocking on their reader."""

import os
import time
import unittest

from primrosewood.logs import LineWriter


class LineWriterTest(unittest.TestCase):
    """Lines written to a pipe whose reader may stall or close it."""

    def setUp(self):
        self.read_end, self.write_end = os.pipe()
        self.addCleanup(os.close, self.read_end)
        self.addCleanup(os.close, self.write_end)

    def read_pipe(self):
        os.set_blocking(self.read_end, False)
        chunks = []
        while True:
            try:
                chunks.append(os.read(self.read_end, 1 << 20))
            except BlockingIOError:
                return b''.join(chunks).decode()

    def test_lines_arrive(self):
        writer = LineWriter(self.write_end)
        writer.write('a=1', 0)
        writer.write('b=2', 0)
        self.assertEqual('a=1\nb=2\n', self.read_pipe())

    def test_stalled_reader_does_not_block_the_writer(self):
        """The log collector stalls and the pipe fills up.

        A process that blocked on it would stop answering its callers.
        """
        writer = LineWriter(self.write_end, max_lines_per_second=100_000)
        started = time.monotonic()
        for number in range(20_000):
            writer.write(f'number={number} text={"x" * 40}', 0)
        self.assertLess(time.monotonic() - started, 5)
        text = self.read_pipe()
        while True:
            writer.write('again=1', 0)
            more = self.read_pipe()
            text += more
            if 'event=lines_dropped' in text:
                break
        complete_lines = text.rpartition('\n')[0].split('\n')
        self.assertTrue(all('=' in line for line in complete_lines))

    def test_rate_is_limited(self):
        """A fault that logs in a loop must not slow down requests."""
        writer = LineWriter(self.write_end, max_lines_per_second=10)
        for _ in range(1000):
            writer.write('a=1', 5)
        writer.write('b=2', 6)
        text = self.read_pipe()
        self.assertEqual(10, text.count('a=1'))
        self.assertIn('event=lines_dropped count=990', text)
        self.assertTrue(text.endswith('b=2\n'))

    def test_closed_reader_raises_no_error(self):
        read_end, write_end = os.pipe()
        os.close(read_end)
        LineWriter(write_end).write('a=1', 0)
        os.close(write_end)
