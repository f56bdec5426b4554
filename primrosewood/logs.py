"""Structured logging: one line of ``key=value`` fields for each event."""

import logging
import os
import select
import sys
import time
from datetime import UTC, datetime
from typing import Any

from loguru import logger

__all__ = ('LineWriter', 'configure_logs', 'log_decision', 'log_event')

_MAX_LIBRARY_MESSAGE_CHARS = 200
# A request logs about four lines and an entry answers at most a few hundred
# requests a second, so a higher rate means that a fault repeats itself.
_MAX_LINES_PER_SECOND = 2000
_MAX_BUFFERED_BYTES = 262_144
_QUOTED_CHARACTERS = frozenset(' ="\n\r\t')


def configure_logs(process: str, level: str = 'INFO') -> None:
    """Write the log lines of this process to standard output.

    Parameters
    ----------
    process
        Name of the process, logged with each line.
    level
        Lines below this level are left out.
    """
    writer = LineWriter(sys.stdout.fileno())
    logger.remove()
    logger.configure(extra={'process': process})
    logger.add(
        lambda message: _write_line(writer, message),
        level=level,
        format='{message}',
    )
    # Libraries use the logging module of the standard library; a failed TLS
    # handshake of any client must take one line, not a stack trace.
    logging.basicConfig(
        handlers=[_LibraryHandler()], level=logging.WARNING, force=True
    )


def log_event(event: str, level: str = 'INFO', **fields: Any) -> None:
    """Log an event; fields whose value is None are left out.

    Fields must never hold prompts, answers or API keys.
    """
    logger.bind(pairs=fields).log(level, event)


def log_decision(event: str, **fields: Any) -> None:
    """Log a routing or placement decision."""
    log_event(event, 'INFO', **fields)


class _LibraryHandler(logging.Handler):
    """Logs a library's record as one line, without its stack trace."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log the record as an event."""
        error_type = record.exc_info and record.exc_info[0]
        log_event(
            'library',
            'WARNING',
            logger=record.name,
            said=record.getMessage().partition('\n')[0][
                :_MAX_LIBRARY_MESSAGE_CHARS
            ],
            error=error_type.__name__ if error_type else None,
        )


class LineWriter:
    """Writes lines to a file descriptor without ever blocking.

    A log collector that has stalled lets the pipe fill up; a process that
    blocked on it would stop answering callers.  Lines beyond the buffer size or
    the rate limit are dropped, and their number is logged before the next line
    that is accepted.

    Parameters
    ----------
    descriptor
        File descriptor that lines are written to.
    max_lines_per_second
        Lines that are accepted in any one second.
    """

    def __init__(
        self, descriptor: int, max_lines_per_second: int = _MAX_LINES_PER_SECOND
    ) -> None:
        """Start with an empty buffer."""
        self._descriptor = descriptor
        self._max_lines_per_second = max_lines_per_second
        self._buffer = bytearray()
        self._dropped = 0
        self._current_second = 0
        self._lines_this_second = 0
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def write(self, line: str, now: float) -> None:
        """Buffer a line and write what the descriptor accepts.

        Parameters
        ----------
        line
            Text without its line break.
        now
            Monotonic time in seconds.
        """
        if int(now) != self._current_second:
            self._current_second, self._lines_this_second = int(now), 0
        self._lines_this_second += 1
        buffer_full = len(self._buffer) > _MAX_BUFFERED_BYTES
        if buffer_full or self._lines_this_second > self._max_lines_per_second:
            self._dropped += 1
        else:
            self._report_dropped_lines()
            self._buffer += f'{line}\n'.encode()
        self._flush()

    def _report_dropped_lines(self) -> None:
        if self._dropped:
            line = f'level=warning event=lines_dropped count={self._dropped}\n'
            self._buffer += line.encode()
            self._dropped = 0

    def _flush(self) -> None:
        # A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
        # The descriptor stays in blocking mode, as other processes may share
        # it.
        while self._buffer and self._poll.poll(0):
            chunk = self._buffer[: select.PIPE_BUF]
            try:
                written = os.write(self._descriptor, chunk)
            except OSError:
                # The reader has closed the pipe, so the error cannot be logged.
                written = len(self._buffer)
            self._buffer = self._buffer[written:]


def _write_line(writer: LineWriter, message: Any) -> None:
    record = message.record
    extra = record['extra']
    timestamp = datetime.now(UTC).isoformat(timespec='milliseconds')
    fields = {
        'ts': timestamp,
        'level': record['level'].name.lower(),
        'process': extra.get('process', '-'),
        'event': record['message'],
        **extra.get('pairs', {}),
    }
    line = ' '.join(
        f'{name}={_format_value(value)}'
        for name, value in fields.items()
        if value is not None
    )
    writer.write(line, time.monotonic())


def _format_value(value: Any) -> str:
    if isinstance(value, float):
        return format(value, '.4g')
    text = str(value)
    # A line break in a caller's header must not forge a second log line.
    if not text or any(character in _QUOTED_CHARACTERS for character in text):
        escaped = text.encode('unicode_escape').decode().replace('"', r'\"')
        return f'"{escaped}"'
    return text
