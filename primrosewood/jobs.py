"""Work that runs at an endpoint, and the subscribers to its outcome."""

import asyncio

from . import gen_wire as wire
from .backends import CallResult
from .codec import Message
from .errors import ErrorKind
from .link import Link
from .streams import TokenBuffer

__all__ = ('CallJob', 'GenerationJob', 'Job', 'Subscriber')

# Memory of a job's own objects, counted in addition to its answer.
_JOB_OVERHEAD_BYTES = 4096
_JOB_OVERHEAD_TOKENS = 400


class Subscriber:
    """Subscription of an entry to the outcome of a job.

    Parameters
    ----------
    attempt
        Identifier of the entry's attempt, carried by all messages to it.
    job
        Job whose outcome is sent.
    link
        Connection to the entry.
    offset
        Index of the first token to send.
    window_tokens
        Maximum number of tokens sent ahead of the receiver's credit.
    """

    def __init__(
        self,
        attempt: str,
        job: 'Job',
        link: Link,
        offset: int,
        window_tokens: int,
    ) -> None:
        """Start at the offset with one window of credit."""
        self.attempt = attempt
        self.link = link
        self.job = job
        self._sent = offset
        self._credit_offset = offset
        self._window_tokens = window_tokens
        self._ended = False

    @property
    def sent(self) -> int:
        """Number of tokens sent."""
        return self._sent

    def collect(self) -> list[Message]:
        """Return the messages that can be sent now."""
        if self._ended:
            return []
        messages, self._sent, self._ended = self.job.pending_messages(
            self.attempt, self._sent, self._credit_offset + self._window_tokens
        )
        return messages

    def apply_credit(self, offset: int) -> None:
        """Record that the receiver has forwarded all tokens below an offset."""
        self._credit_offset = max(self._credit_offset, min(offset, self._sent))
        self.job.record_delivered(self._credit_offset)
        self.link.notify(self)


class Job:
    """Work of one attempt: runs once and has any number of subscribers.

    Attributes
    ----------
    subscribers
        Subscribers by the identifiers of their attempts.
    ended_at, orphaned_at
        Monotonic times when it ended, and when it lost its last subscriber
        or, if cancelled for that, when it was cancelled.
    load
        Load of the endpoint when it ended, sent with the outcome.
    delivered
        Whether a subscriber has forwarded the whole outcome.
    """

    def __init__(self, offer: wire.Offer) -> None:
        """Start without subscribers."""
        self.offer = offer
        self.generation = ''
        self.subscribers: dict[str, Subscriber] = {}
        self.ended_at: float | None = None
        self.orphaned_at: float | None = None
        self.load = wire.Load(running=0, queued=0, limit=0)
        self.delivered = False
        self.task: asyncio.Task | None = None

    @property
    def organisation(self) -> str:
        """Full name (team/organisation) of the organisation it runs for."""
        offer = self.offer
        return f'{offer.team}/{offer.organisation}'

    @property
    def keyed(self) -> bool:
        """Whether a claim of an idempotency key refers to this work."""
        return bool(self.offer.key_digest)

    @property
    def size(self) -> int:
        """Size for the retention limits: bytes of a call, tokens otherwise."""
        return 0

    def publish(self) -> None:
        """Notify all subscribers of new output."""
        for subscriber in self.subscribers.values():
            subscriber.link.notify(subscriber)

    def pending_messages(
        self, attempt: str, sent: int, limit: int
    ) -> tuple[list[Message], int, bool]:
        """Return the messages for a subscriber that may be sent now.

        Parameters
        ----------
        attempt
            Identifier that the messages carry.
        sent
            Number of tokens sent before.
        limit
            Number of tokens that may be sent in total.

        Returns
        -------
        tuple[list[Message], int, bool]
            The messages, the number of tokens sent including them, and
            whether they complete the outcome.
        """
        raise NotImplementedError

    def record_delivered(self, offset: int) -> None:
        """Record that a subscriber has forwarded all tokens below an offset."""


class GenerationJob(Job):
    """Generation of a model engine, with its tokens."""

    def __init__(self, offer: wire.Offer, generation: str) -> None:
        """Start without tokens."""
        super().__init__(offer)
        self.generation = generation
        self.tokens = TokenBuffer()
        self.prompt_tokens = 0

    @property
    def size(self) -> int:
        """Tokens kept for it, including the overhead of the job itself."""
        return len(self.tokens) + _JOB_OVERHEAD_TOKENS

    def pending_messages(
        self, attempt: str, sent: int, limit: int
    ) -> tuple[list[Message], int, bool]:
        """Return the messages for a subscriber that may be sent now.

        Parameters
        ----------
        attempt
            Identifier that the messages carry.
        sent
            Number of tokens sent before.
        limit
            Number of tokens that may be sent in total.

        Returns
        -------
        tuple[list[Message], int, bool]
            The messages, the number of tokens sent including them, and
            whether they complete the outcome.
        """
        end = min(len(self.tokens), limit)
        messages: list[Message] = []
        if end > sent:
            pieces = self.tokens.read(sent, end)
            messages.append(wire.Tokens(attempt, sent, pieces))
            sent = end
        complete = self.tokens.ended and sent >= len(self.tokens)
        if complete:
            messages.append(self._make_final_message(attempt))
        return messages, sent, complete

    def record_delivered(self, offset: int) -> None:
        """Record that a subscriber has forwarded all tokens below an offset."""
        if self.tokens.ended and offset >= len(self.tokens):
            self.delivered = True

    def _make_final_message(self, attempt: str) -> Message:
        if self.tokens.failure is not None:
            return wire.Failed(attempt, self.tokens.failure.value, '')
        return wire.Finished(
            attempt,
            len(self.tokens),
            self.tokens.finish_reason,
            self.prompt_tokens,
            self.load,
        )


class CallJob(Job):
    """Call to a plain service, with its whole answer."""

    def __init__(self, offer: wire.Offer) -> None:
        """Start without an answer."""
        super().__init__(offer)
        self._answer: CallResult | None = None
        self._failure: ErrorKind | None = None

    @property
    def size(self) -> int:
        """Bytes kept for it, including the overhead of the job itself."""
        body = len(self._answer.body) if self._answer else 0
        return body + _JOB_OVERHEAD_BYTES

    def finish(self, answer: CallResult) -> None:
        """Store the answer and notify the subscribers."""
        self._answer = answer
        self.publish()

    def fail(self, kind: ErrorKind) -> None:
        """Store the failure and notify the subscribers."""
        self._failure = kind
        self.publish()

    def pending_messages(
        self, attempt: str, sent: int, limit: int
    ) -> tuple[list[Message], int, bool]:
        """Return the messages for a subscriber that may be sent now.

        Parameters
        ----------
        attempt
            Identifier that the messages carry.
        sent
            Number of tokens sent before.
        limit
            Number of tokens that may be sent in total.

        Returns
        -------
        tuple[list[Message], int, bool]
            The messages, the number of tokens sent including them, and
            whether they complete the outcome.
        """
        if self._failure is not None:
            failed = wire.Failed(attempt, self._failure.value, '')
            return [failed], sent, True
        if self._answer is None:
            return [], sent, False
        return [self._make_reply(attempt, self._answer)], sent, True

    def record_delivered(self, offset: int) -> None:
        """Record that a subscriber has forwarded the answer."""
        self.delivered = self._answer is not None

    def _make_reply(self, attempt: str, answer: CallResult) -> wire.Reply:
        return wire.Reply(
            attempt,
            answer.status,
            answer.content_type,
            answer.body,
            self.load,
        )
