"""One attempt to run a request at one endpoint, seen from the entry."""

from . import gen_wire as wire
from .codec import Message
from .errors import (
    AttemptFailedError,
    DoubtError,
    ErrorKind,
    NotRunError,
    RequestFailedError,
    WireError,
)
from .identity import make_identifier
from .linkpool import DeadlinePassed, Inbox, LinkClient, LinkLost
from .requests import Request
from .streams import StreamCursor

__all__ = ('Attempt',)

_MS_PER_SECOND = 1000
_UNLINKED_RETRY_MS = 1000


class Attempt:
    """Offers a request to an endpoint and receives the answers.

    Attributes
    ----------
    name
        Identifier under which the endpoint runs the request at most once.
    channel
        Identifier to which the endpoint addresses its messages. It starts as
        the name; each fetch or resume opens a new channel, so that delayed
        messages for an old one are ignored.
    claim
        The last known claim of the request's idempotency key, None when no
        claim is known.
    incarnation
        Incarnation of the endpoint process that is offered the attempt.
    generation
        The engine's generation, empty until admission and for plain services.
    cursor
        Position in the generation's tokens.
    """

    def __init__(
        self,
        request: Request,
        client: LinkClient,
        claim: wire.ClaimRecord | None = None,
    ) -> None:
        """Prepare an attempt over a connection; nothing is sent yet."""
        self.request = request
        self.client = client
        self.claim = claim
        self.name = make_identifier()
        self.channel = self.name
        self.incarnation = client.view.incarnation
        self.generation = ''
        self.cursor = StreamCursor()
        self._inbox = Inbox()
        self._deadline_passed = False

    @property
    def endpoint(self) -> str:
        """Name of the endpoint."""
        return self.client.view.name

    def offer(self, seconds_left: float) -> None:
        """Offer the request to the endpoint."""
        self.client.open_inbox(self.channel, self._inbox)
        if not self.client.send(self._make_offer(seconds_left)):
            # Nothing was sent without a connection, so it cannot have run.
            kind = ErrorKind.no_endpoint.value
            load = self.client.view.load
            self._inbox.push(
                wire.NotRun(self.name, kind, _UNLINKED_RETRY_MS, load)
            )

    def fetch(self) -> None:
        """Ask the endpoint for the state and the answer of the attempt."""
        self.client.send(
            wire.Fetch(
                attempt=self._open_channel(),
                claimed_attempt=self.name,
                incarnation=self.incarnation,
                organisation=self.request.organisation.full_name,
            )
        )

    def resume(self) -> None:
        """Ask the endpoint for the tokens after the last one received."""
        self.client.send(
            wire.Resume(
                attempt=self._open_channel(),
                generation=self.generation,
                organisation=self.request.organisation.full_name,
                offset=self.cursor.offset,
            )
        )

    def cancel(self, at_once: bool = True) -> None:
        """Inform the endpoint that the answer is no longer read.

        Parameters
        ----------
        at_once
            Whether the endpoint stops the work now; otherwise the caller may
            still resume the stream through another entry.
        """
        self.client.send(wire.Cancel(self.channel, at_once))
        self.close()

    def close(self) -> None:
        """Ignore all further messages of the attempt."""
        self.client.close_inbox(self.channel)

    def signal_deadline(self) -> None:
        """Make the current and all later calls of `receive` fail."""
        self._deadline_passed = True
        self._inbox.push(DeadlinePassed())

    async def receive(self) -> Message:
        """Return the next message of the endpoint.

        Raises
        ------
        DoubtError
            The connection was lost.
        NotRunError
            The endpoint refused, so the attempt never runs.
        AttemptFailedError
            The attempt ended without an answer.
        RequestFailedError
            ``deadline_exceeded`` once the deadline has passed.
        """
        if self._deadline_passed:
            raise RequestFailedError(ErrorKind.deadline_exceeded)
        received = await self._inbox.receive()
        if isinstance(received, (LinkLost, DeadlinePassed)):
            raise _to_interruption(received)
        if isinstance(received, (wire.NotRun, wire.Failed)):
            raise _to_error(received)
        return received

    async def await_admission(self) -> None:
        """Wait until the endpoint admits the attempt; raises as `receive`."""
        while True:
            received = await self.receive()
            if isinstance(received, wire.Admitted):
                self.generation = received.generation
                return
            if not isinstance(received, wire.Queued):
                raise DoubtError('unexpected answer to an offer')

    def accept(self, tokens: wire.Tokens) -> list[str]:
        """Advance the cursor and return the tokens not received before."""
        try:
            return self.cursor.accept(tokens.offset, tokens.pieces)
        except WireError as error:
            raise RequestFailedError(ErrorKind.internal) from error

    def give_credit(self) -> None:
        """Grant the endpoint credit for the tokens forwarded to the caller."""
        self.client.send(wire.Credit(self.channel, self.cursor.offset))

    def _open_channel(self) -> str:
        self.client.close_inbox(self.channel)
        self.channel = make_identifier()
        self._inbox = Inbox()
        self.client.open_inbox(self.channel, self._inbox)
        return self.channel

    def _make_offer(self, seconds_left: float) -> wire.Offer:
        request = self.request
        return wire.Offer(
            request=request.name,
            attempt=self.name,
            team=request.organisation.team,
            service=request.service,
            organisation=request.organisation.name,
            deadline_ms=max(0, int(seconds_left * _MS_PER_SECOND)),
            body=request.body,
            key_digest=request.key_digest,
            streamed=request.streamed,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            method=request.method,
            path=request.path,
            content_type=request.content_type,
        )


def _to_interruption(received: LinkLost | DeadlinePassed) -> Exception:
    if isinstance(received, LinkLost):
        return DoubtError('the connection was lost')
    return RequestFailedError(ErrorKind.deadline_exceeded)


def _to_error(received: wire.NotRun | wire.Failed) -> RequestFailedError:
    kind = ErrorKind(received.kind)
    if isinstance(received, wire.Failed):
        return AttemptFailedError(kind)
    seconds = received.retry_ms / _MS_PER_SECOND
    return NotRunError(kind, retry_seconds=seconds)
