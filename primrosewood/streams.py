"""Token streams: a buffer at the endpoint and a cursor at the entry."""

from array import array

from .errors import ErrorKind, WireError

__all__ = ('StreamCursor', 'TokenBuffer')


class TokenBuffer:
    """All tokens of one generation, stored compactly and read by index."""

    def __init__(self) -> None:
        """Start empty and unfinished."""
        self._text = bytearray()
        self._ends = array('L')
        self._finish_reason = ''
        self._failure: ErrorKind | None = None

    def __len__(self) -> int:
        """Return the number of tokens."""
        return len(self._ends)

    @property
    def finish_reason(self) -> str:
        """Finish reason from the engine, empty while the generation runs."""
        return self._finish_reason

    @property
    def failure(self) -> ErrorKind | None:
        """Kind of the failure, None when the generation has not failed."""
        return self._failure

    @property
    def ended(self) -> bool:
        """Whether no more tokens will come."""
        return bool(self._finish_reason) or self._failure is not None

    def append(self, index: int, piece: str) -> bool:
        """Append the token with an index.

        Returns
        -------
        bool
            False for a duplicate or a token after the end; it is dropped.

        Raises
        ------
        WireError
            Tokens are missing before the index.
        """
        if index > len(self._ends):
            raise WireError(f'token {index} after {len(self._ends)}')
        if index < len(self._ends) or self.ended:
            return False
        self._text += piece.encode()
        self._ends.append(len(self._text))
        return True

    def finish(self, reason: str) -> None:
        """Record the finish reason, unless the generation has ended before."""
        if not self.ended:
            self._finish_reason = reason

    def fail(self, kind: ErrorKind) -> None:
        """Record a failure, unless the generation has ended before."""
        if not self.ended:
            self._failure = kind

    def read(self, first: int, last: int) -> list[str]:
        """Return the tokens with indices in [first, last)."""
        start = self._ends[first - 1] if first else 0
        pieces = []
        for end in self._ends[first:last]:
            pieces.append(self._text[start:end].decode())
            start = end
        return pieces


class StreamCursor:
    """Position of a receiver in the token stream of one generation.

    Duplicate tokens, after a resume or from a delayed frame, are dropped by
    their index, so each token is forwarded once and in order.
    """

    def __init__(self, offset: int = 0) -> None:
        """Start after ``offset`` tokens."""
        self._offset = offset

    @property
    def offset(self) -> int:
        """Number of tokens received."""
        return self._offset

    def accept(self, offset: int, pieces: list[str]) -> list[str]:
        """Return the pieces that are new; the first has index `offset`.

        Raises
        ------
        WireError
            Tokens are missing before the first piece.
        """
        if offset > self._offset:
            raise WireError(f'token {offset} after {self._offset}')
        new_pieces = pieces[self._offset - offset :]
        self._offset += len(new_pieces)
        return new_pieces
