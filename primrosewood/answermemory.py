"""Bounds on the answers of back ends, in bytes."""

from collections.abc import Iterator
from contextlib import contextmanager

from .directcalls import AnswerHead, BackendReply, DirectCall
from .errors import OversizedAnswerError

__all__ = ('AnswerMemory', 'HeldAnswer', 'require_stream_size')

# Answers up to this size find memory also beside large ones.
_SMALL_ANSWER_BYTES = 65_536
# Part of the memory that is kept for them.
_SMALL_ANSWERS_SHARE = 1 / 4
_MAX_STREAM_BYTES = 268_435_456
_SMALL_STREAM_BYTES = 2_097_152
_MAX_BYTES_PER_TOKEN = 8192


class AnswerMemory:
    """Memory for answers that are held until they are whole.

    Attributes
    ----------
    free_bytes
        What further answers may take.
    reserved_bytes
        Part of the limit that only small answers may take.
    """

    def __init__(self, limit_bytes: int = 25_165_824) -> None:
        """Start without answers.

        Parameters
        ----------
        limit_bytes
            Largest sum of the answers that are held.
        """
        self.free_bytes = limit_bytes
        self.reserved_bytes = int(limit_bytes * _SMALL_ANSWERS_SHARE)

    @contextmanager
    def open(self) -> Iterator['HeldAnswer']:
        """Return a holder for one answer, which is dropped at the end."""
        held = HeldAnswer(self)
        try:
            yield held
        finally:
            held.drop()


class HeldAnswer:
    """One answer, held until it has been written to its caller."""

    def __init__(self, memory: AnswerMemory) -> None:
        """Start without an answer."""
        self._memory = memory
        self._size = 0

    async def read(self, reply: BackendReply) -> tuple[AnswerHead, bytes]:
        """Return a whole answer; the one read before is dropped.

        Raises
        ------
        OversizedAnswerError
            It does not fit beside the other answers.
        BackendCutError
            It ended before it was complete.
        """
        self.drop()
        parts: list[bytes] = []
        async for part in reply.parts():
            if len(part) > self._find_free_bytes(len(part)):
                raise OversizedAnswerError(
                    f'no memory for an answer of over {self._size} bytes'
                )
            self._memory.free_bytes -= len(part)
            self._size += len(part)
            parts.append(part)
        head = AnswerHead(reply.status, reply.headers, self._size)
        return head, b''.join(parts)

    def drop(self) -> None:
        """Return the memory of the answer."""
        self._memory.free_bytes += self._size
        self._size = 0

    def _find_free_bytes(self, further_bytes: int) -> int:
        memory = self._memory
        if self._size + further_bytes <= _SMALL_ANSWER_BYTES:
            return memory.free_bytes
        return memory.free_bytes - memory.reserved_bytes


def require_stream_size(call: DirectCall, received_bytes: int) -> None:
    """Check the size of a stream by the tokens that its caller allows.

    Raises
    ------
    OversizedAnswerError
        It is larger than any stream of so many tokens.
    """
    allowed = _MAX_STREAM_BYTES
    if call.size is not None and call.size.max_answer_tokens:
        by_tokens = call.size.max_answer_tokens * _MAX_BYTES_PER_TOKEN
        allowed = min(allowed, _SMALL_STREAM_BYTES + by_tokens)
    if received_bytes > allowed:
        raise OversizedAnswerError(f'a stream of over {allowed} bytes')
