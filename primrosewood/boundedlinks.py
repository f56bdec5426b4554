"""WebSocket connections that bound what they read before they are open.

A faulty process may answer a handshake, or begin one, with bytes without end.
The library reads and drops them until the handshake times out, at the cost of a
whole processor.
"""

from typing import Any

from websockets.asyncio.client import ClientConnection
from websockets.asyncio.server import ServerConnection
from websockets.protocol import State

from .logs import log_event

__all__ = ('BoundedClientConnection', 'BoundedServerConnection')

_MAX_OPENING_BYTES = 262_144


class _OpeningBound:
    """Aborts a connection on which too much comes before it is open."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        """Start before the handshake."""
        super().__init__(*arguments, **options)
        self._opening_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Parse received data."""
        super().data_received(data)
        if self.protocol.state is not State.CONNECTING:
            return
        self._opening_bytes += len(data)
        if self._opening_bytes > _MAX_OPENING_BYTES:
            log_event(
                'handshake_oversized', 'WARNING', bytes=self._opening_bytes
            )
            self.transport.abort()


class BoundedClientConnection(_OpeningBound, ClientConnection):
    """Connection that this process opens."""


class BoundedServerConnection(_OpeningBound, ServerConnection):
    """Connection that this process accepts."""
