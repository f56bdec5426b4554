"""Memory for the bodies of callers' requests, which all calls share.

A body is held until its call is answered, as the call may be sent again.
Without a bound on the sum, a few dozen large bodies exceed the memory of an
entry's VM.
"""

import asyncio
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager

from .errors import ErrorKind, RequestFailedError
from .logs import log_decision

__all__ = ('BodyMemory', 'HeldBody')

# Callers give up a request that is not read within a second.
_WAIT_SECONDS = 0.8
# Bodies up to this size never wait for larger ones, for which this share of the
# memory is kept free.
_SMALL_BODY_BYTES = 65536
_SMALL_BODY_SHARE = 0.25


class BodyMemory:
    """Bounds the sum of the bodies that an entry holds.

    Parameters
    ----------
    limit_bytes
        Largest sum.
    """

    def __init__(self, limit_bytes: int) -> None:
        """Start without bodies."""
        self._limit = limit_bytes
        self._used = 0
        self._waiters: deque[tuple[int, asyncio.Future[None]]] = deque()

    @property
    def largest_body(self) -> int:
        """Bytes of the largest body that is ever held."""
        return int(self._limit * (1 - _SMALL_BODY_SHARE))

    @property
    def used_bytes(self) -> int:
        """Sum of the bodies that are held or being read."""
        return self._used

    @contextmanager
    def open(self, name: str) -> Iterator['HeldBody']:
        """Return an account for one body; its memory is free at the end.

        Parameters
        ----------
        name
            Name of the call, for the log.
        """
        held = HeldBody(self, name)
        try:
            yield held
        finally:
            self.release(held.size)

    def try_take(self, size: int) -> bool:
        """Take memory if there is enough now; return whether there was."""
        is_small = size <= _SMALL_BODY_BYTES
        limit = self._limit if is_small else self.largest_body
        fits = self._used + size <= limit
        if fits:
            self._used += size
        return fits

    async def take(self, size: int) -> bool:
        """Take memory when there is enough; False if that takes too long."""
        if self.try_take(size):
            return True
        taken = asyncio.get_running_loop().create_future()
        waiter = (size, taken)
        self._waiters.append(waiter)
        try:
            await asyncio.wait((taken,), timeout=_WAIT_SECONDS)
        except asyncio.CancelledError:
            if taken.done():
                self.release(size)
            raise
        finally:
            if not taken.done():
                self._waiters.remove(waiter)
        return taken.done()

    def release(self, size: int) -> None:
        """Return memory; bodies that wait for it take it in turn."""
        self._used -= size
        while self._waiters:
            next_size, taken = self._waiters[0]
            if not self.try_take(next_size):
                return
            self._waiters.popleft()
            taken.set_result(None)


class HeldBody:
    """Memory of one body.

    Attributes
    ----------
    size
        Bytes that are taken.
    """

    def __init__(self, memory: BodyMemory, name: str) -> None:
        """Start without memory."""
        self._memory = memory
        self._name = name
        self.size = 0

    async def reserve(self, size: int) -> None:
        """Take memory for a body whose size is known, before it is read.

        Raises
        ------
        RequestFailedError
            Other bodies hold the memory, or it is too large by itself; the
            call has not run.
        """
        if size > self._memory.largest_body:
            raise RequestFailedError(ErrorKind.too_large)
        if not await self._memory.take(size):
            raise self._refuse(size)
        self.size += size

    def grow_to(self, size: int) -> None:
        """Take memory for a body of unknown size, of which so much was read.

        Does not wait: bodies that are partly read would wait for each other.

        Raises
        ------
        RequestFailedError
            Other bodies hold the memory; the call has not run.
        """
        missing = size - self.size
        if missing <= 0:
            return
        if not self._memory.try_take(missing):
            raise self._refuse(missing)
        self.size = size

    def _refuse(self, size: int) -> RequestFailedError:
        log_decision(
            'body_refused',
            request=self._name,
            bytes=size,
            used=self._memory.used_bytes,
        )
        return RequestFailedError(ErrorKind.overloaded)
