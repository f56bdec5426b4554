"""Direct calls, their answers, and what carries them to a back end."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from typing import Protocol

from .backendset import Backend
from .routes import Route

__all__ = (
    'AnswerHead',
    'AnswerSink',
    'BackendReply',
    'DirectCall',
    'GenerationSize',
    'Header',
    'BackendAttempt',
    'Resumption',
    'Transport',
)

Header = tuple[str, str]


@dataclass(frozen=True, slots=True)
class GenerationSize:
    """What a caller says of a generation's size, in tokens.

    Attributes
    ----------
    hint
        The caller's guess of the answer's length, 0 without one.
    """

    prompt_tokens: int
    max_answer_tokens: int
    hint: int = 0


@dataclass(frozen=True, slots=True)
class DirectCall:
    """A caller's request that is forwarded byte for byte.

    Attributes
    ----------
    name
        The caller's name for this attempt of its request.
    target
        Path and query as they came, still encoded.
    organisation
        Holder of the caller's key, empty on anonymous routes.
    arrived, deadline
        Monotonic seconds; at the deadline it is answered in any case.
    patience
        Monotonic seconds until which the caller waits.
    size
        None for calls of plain services.
    """

    name: str
    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes
    route: Route
    service: str
    organisation: str
    arrived: float
    deadline: float
    patience: float
    size: GenerationSize | None = None


@dataclass(frozen=True, slots=True)
class Resumption:
    """Where a moved generation goes on.

    Attributes
    ----------
    source
        Engine that made the copy, as ``host:port``.
    handle
        The engine's name for the copy.
    last_event
        Number of the last event that the caller got, None before the first.
    """

    source: str
    handle: str
    last_event: int | None


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers that go to the caller unchanged.

    Attributes
    ----------
    length
        Bytes of the body, None for a stream.
    """

    status: int
    headers: tuple[Header, ...]
    length: int | None = None


class AnswerSink(Protocol):
    """Where an answer is written, in order."""

    async def begin(self, head: AnswerHead) -> None:
        """Write the head."""

    async def write(self, body: bytes) -> None:
        """Write a part of the body."""


@dataclass(frozen=True, slots=True)
class BackendAttempt:
    """One back end's part in a call.

    Attributes
    ----------
    resumption
        Where a moved generation goes on, None for a fresh one.
    after_event
        Last event that the caller got from another generation, after which
        this one goes on; None for one from the beginning.
    """

    backend: Backend
    resumption: Resumption | None = None
    after_event: int | None = None


class BackendReply(Protocol):
    """A back end's answer whose head has come."""

    @property
    def status(self) -> int:
        """HTTP status."""

    @property
    def headers(self) -> tuple[Header, ...]:
        """Headers that the caller gets."""

    def parts(self) -> AsyncIterator[bytes]:
        """Yield the body as it comes.

        Raises
        ------
        BackendCutError
            It ended before it was complete.
        """


class Transport(Protocol):
    """Carries a direct call to one back end, over a connection of its own."""

    def send(
        self, call: DirectCall, backend_attempt: BackendAttempt
    ) -> AbstractAsyncContextManager[BackendReply]:
        """Send a call; leaving the context ends what is still running.

        Raises
        ------
        NotRunError
            The call was not written, or the back end says it did not run.
        BackendCutError
            The connection broke, or what came was no answer to this call.
        """
