"""Answers that end with their connection, and answers to the last move.

Engines need not send a length or chunks.  A stream that a move stops is then
closed just as one that is complete.
"""

from dataclasses import dataclass, field
from enum import Enum

from aiohttp import web

__all__ = ('LastMove', 'LastMoves', 'UnframedResponse')


class LastMove(Enum):
    """What an engine answers to the move that stops a generation."""

    copied = 'copied'
    late = 'late'
    # 503 with the handle under which the engine itself keeps the memory, the
    # first time for each generation or always.
    refused = 'refused'
    full = 'full'
    # The connection is closed without an answer.
    lost = 'lost'
    # No answer comes, and the connection stays open.
    silent = 'silent'


@dataclass
class LastMoves:
    """The moves that stop generations of one engine.

    Attributes
    ----------
    answer
        What the engine answers to them.
    stopped
        Names of the generations that they have stopped.
    """

    answer: LastMove = LastMove.copied
    stopped: list[str] = field(default_factory=list)

    def refuses_last(self) -> bool:
        """Return whether the generation that stopped last is not copied."""
        is_first = self.stopped.count(self.stopped[-1]) == 1
        return self.answer is LastMove.full or (
            is_first and self.answer is LastMove.refused
        )


class UnframedResponse:
    """A streamed answer whose end is that of its connection."""

    def __init__(self, headers: dict[str, str]) -> None:
        """Send nothing yet."""
        self._headers = {
            **headers,
            'Content-Type': 'text/event-stream',
            'Connection': 'close',
        }
        self._transport = None

    async def prepare(self, request: web.BaseRequest) -> None:
        """Send the head."""
        self._transport = request.transport
        lines = [f'{name}: {text}' for name, text in self._headers.items()]
        head = '\r\n'.join(('HTTP/1.1 200 OK', *lines, '', ''))
        await self.write(head.encode())

    async def write(self, body: bytes) -> None:
        """Send a part of the body."""
        if self._transport is None or self._transport.is_closing():
            raise ConnectionResetError
        self._transport.write(body)

    def close(self) -> None:
        """End the answer."""
        self._transport.close()
