"""Direct calls, their answers, and the transport to a back end."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from .backendstate import Backend
from .routes import Route

__all__ = (
    'AnswerFraming',
    'AnswerHead',
    'AnswerSink',
    'BackendAttempt',
    'BackendReply',
    'DirectCall',
    'GenerationSize',
    'Header',
    'Resumption',
    'Transport',
)

Header = tuple[str, str]


class AnswerFraming(StrEnum):
    """What marks the end of an answer's body."""

    length = 'length'
    chunks = 'chunks'
    # The end of the connection, after a body of unknown length.
    close = 'close'


@dataclass(frozen=True, slots=True)
class GenerationSize:
    """Size of a generation in tokens, as its caller declares it.

    Attributes
    ----------
    prompt_tokens
        Length of the prompt.
    max_answer_tokens
        Greatest length of the answer, 0 if the caller sets none.
    hint
        The caller's estimate of the answer's length, 0 without one.
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
        The caller's identifier for this attempt of its request.
    target
        Path and query as received, still percent-encoded.
    organisation
        Organisation that holds the caller's key, empty on anonymous routes.
    arrived, deadline
        Monotonic seconds; the call is answered by the deadline, if need be
        with an error.
    caller_deadline
        Monotonic seconds until which the caller waits.
    size
        None for calls to plain services, which do not generate tokens.
    priority
        Rank among the calls of its service, 0 for the most urgent ones; None
        if operators have set none.
    marks
        By which the call and its repetitions are recognised.
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
    caller_deadline: float
    size: GenerationSize | None = None
    priority: int | None = None
    marks: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Resumption:
    """Copy of a moved generation from which another engine resumes it.

    Attributes
    ----------
    source
        Engine that made the copy, as ``host:port``.
    handle
        The source engine's identifier for the copy.
    last_event
        Number of the last event sent to the caller, None before the first.
    """

    source: str
    handle: str
    last_event: int | None


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers that are forwarded to the caller unchanged.

    Attributes
    ----------
    length
        Length of the body in bytes, None for a stream.
    """

    status: int
    headers: tuple[Header, ...]
    length: int | None = None


class AnswerSink(Protocol):
    """Destination of an answer: first its head, then its body in order."""

    async def begin(self, head: AnswerHead) -> None:
        """Write the head."""

    async def write(self, body: bytes) -> None:
        """Write the next part of the body."""


@dataclass(frozen=True, slots=True)
class BackendAttempt:
    """One send of a call to a back end.

    Attributes
    ----------
    resumption
        Copy from which the back end resumes a moved generation, None for a
        new generation.
    after_event
        Number of the last event sent to the caller from an earlier
        generation, after which a new one continues; None from the beginning.
    rank
        Rank that the engine is told, 0 for the most urgent calls; None for no
        rank.
    """

    backend: Backend
    resumption: Resumption | None = None
    after_event: int | None = None
    rank: int | None = None


class BackendReply(Protocol):
    """A back end's answer whose head has been received."""

    @property
    def status(self) -> int:
        """HTTP status."""

    @property
    def headers(self) -> tuple[Header, ...]:
        """Headers to forward to the caller."""

    @property
    def framing(self) -> AnswerFraming:
        """What marks the end of the body."""

    def parts(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body as they are received.

        Raises
        ------
        BackendCutError
            The body ended before it was complete.
        """


class Transport(Protocol):
    """Sends a direct call to one back end, over a connection of its own."""

    def send(
        self, call: DirectCall, backend_attempt: BackendAttempt
    ) -> AbstractAsyncContextManager[BackendReply]:
        """Send a call; leaving the context aborts an answer in progress.

        Raises
        ------
        NotRunError
            The call was not written, or the back end reports that it did not
            run.
        BackendCutError
            The connection broke, or the response was no answer to this call.
        """

    async def refuses_connections(self, backend: Backend) -> bool:
        """Return whether nothing listens at a back end's address any more."""
