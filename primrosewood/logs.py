"""One line of key=value pairs for each event."""

import logging
import os
import select
import sys
import time
from datetime import UTC, datetime
from typing import Any

from loguru import logger

__all__ = ('LineWriter', 'configure_logs', 'log_decision', 'log_event')

_LONGEST_SAID = 200
# A request takes about four lines, and an entry answers some hundred requests
# a second at the most; a fault that logs more than this repeats itself.
_MOST_LINES = 2000
_MOST_WAITING = 262_144
_NEEDS_QUOTES = frozenset(' ="\n\r\t')


def configure_logs(process: str, level: str = 'INFO') -> None:
    """Send log lines of this process to standard output."""
    writer = LineWriter(sys.stdout.fileno())
    logger.remove()
    logger.configure(extra={'process': process})
    logger.add(
        lambda message: _write_line(writer, message),
        level=level,
        format='{message}',
    )
    # Libraries log through the standard library; a stranger's broken TLS
    # handshake must be one line of ours and not their stack trace.
    logging.basicConfig(
        handlers=[_LibraryHandler()], level=logging.WARNING, force=True
    )


def log_event(event: str, level: str = 'INFO', **pairs: Any) -> None:
    """Log an event; pairs with a value of None are left out.

    Callers never pass prompts, answers or keys.
    """
    logger.bind(pairs=pairs).log(level, event)


def log_decision(event: str, **pairs: Any) -> None:
    """Log a routing or placement decision."""
    log_event(event, 'INFO', **pairs)


class _LibraryHandler(logging.Handler):
    """Turns a library's log record into one line without its trace."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log the record as an event."""
        error = record.exc_info and record.exc_info[0]
        log_event(
            'library',
            'WARNING',
            logger=record.name,
            said=record.getMessage().partition('\n')[0][:_LONGEST_SAID],
            error=error.__name__ if error else None,
        )


class LineWriter:
    """Writes lines to a file descriptor and never waits for its reader.

    A log reader that stands still fills the pipe; a process that waited for
    it would stop answering callers.  Lines beyond the bounds are dropped,
    counted, and the count is said as soon as there is room again.

    Parameters
    ----------
    descriptor
        Where the lines go.
    most_a_second
        Lines that are taken in any one second.
    """

    def __init__(
        self, descriptor: int, most_a_second: int = _MOST_LINES
    ) -> None:
        """Start with nothing waiting."""
        self._descriptor = descriptor
        self._most = most_a_second
        self._waiting = bytearray()
        self._dropped = 0
        self._second = 0
        self._taken = 0
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def write(self, line: str, now: float) -> None:
        """Take a line; ``now`` is in monotonic seconds."""
        if int(now) != self._second:
            self._second, self._taken = int(now), 0
        self._taken += 1
        full = len(self._waiting) > _MOST_WAITING
        if full or self._taken > self._most:
            self._dropped += 1
        else:
            self._say_dropped()
            self._waiting += f'{line}\n'.encode()
        self._flush()

    def _say_dropped(self) -> None:
        if self._dropped:
            said = f'level=warning event=lines_dropped count={self._dropped}\n'
            self._waiting += said.encode()
            self._dropped = 0

    def _flush(self) -> None:
        # A pipe that is writable takes this many bytes without waiting; the
        # descriptor itself is not made non-blocking, as it may be shared.
        while self._waiting and self._poll.poll(0):
            part = self._waiting[: select.PIPE_BUF]
            try:
                written = os.write(self._descriptor, part)
            except OSError:
                # The reader is gone; there is nobody to tell.
                written = len(self._waiting)
            self._waiting = self._waiting[written:]


def _write_line(writer: LineWriter, message: Any) -> None:
    record = message.record
    extra = record['extra']
    stamp = datetime.now(UTC).isoformat(timespec='milliseconds')
    shown = {
        'ts': stamp,
        'level': record['level'].name.lower(),
        'process': extra.get('process', '-'),
        'event': record['message'],
        **extra.get('pairs', {}),
    }
    line = ' '.join(
        f'{name}={_format(pair)}'
        for name, pair in shown.items()
        if pair is not None
    )
    writer.write(line, time.monotonic())


def _format(shown: Any) -> str:
    if isinstance(shown, float):
        return format(shown, '.4g')
    text = str(shown)
    # A line break in a caller's header must not forge a second log line.
    if not text or any(mark in _NEEDS_QUOTES for mark in text):
        escaped = text.encode('unicode_escape').decode().replace('"', r'\"')
        return f'"{escaped}"'
    return text
