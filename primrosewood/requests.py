"""A caller's request as an entry handles it, and the events of its answer."""

from dataclasses import dataclass, field

from .identity import digest_key, make_identifier
from .settings import Organisation

__all__ = (
    'AnswerEvent',
    'Ended',
    'PlainResponse',
    'Request',
    'Restarted',
    'Started',
    'TokenChunk',
)


@dataclass(frozen=True, slots=True)
class Request:
    """A validated request.

    Attributes
    ----------
    organisation
        The caller's organisation.
    service
        Name of the service within the organisation's team.
    deadline
        Time on the monotonic clock in seconds.
    streamed
        Whether the caller reads the answer as a stream.
    key
        The caller's idempotency key, empty when there is none.
    prompt, max_tokens
        Input and token limit of a generation.
    method, path, content_type
        HTTP request line and content type for a plain service.
    body
        The caller's body for a plain service; for a generation, the JSON
        fields that only the engine reads.
    repeatable
        Whether it may run again when its outcome is in doubt.
    name
        Identifier of the request.
    """

    organisation: Organisation
    service: str
    deadline: float
    streamed: bool = False
    prompt: str = ''
    max_tokens: int = 0
    method: str = ''
    path: str = ''
    content_type: str = ''
    body: bytes = b''
    key: str = ''
    repeatable: bool = True
    name: str = field(default_factory=make_identifier)

    @property
    def key_digest(self) -> str:
        """Digest of the idempotency key, empty when there is none."""
        if not self.key:
            return ''
        return digest_key(self.organisation.full_name, self.service, self.key)

    @property
    def body_digest(self) -> str:
        """Digest of the content, to tell a retry from a different request."""
        return digest_key(
            self.method,
            self.path,
            self.prompt,
            str(self.max_tokens),
            self.body.hex(),
        )


@dataclass(frozen=True, slots=True)
class Started:
    """A generation runs; its event ids begin with ``event_id_prefix``."""

    event_id_prefix: str


@dataclass(frozen=True, slots=True)
class Restarted:
    """The answer so far is void: another attempt follows."""


@dataclass(frozen=True, slots=True)
class TokenChunk:
    """New tokens; ``offset`` is the number of tokens including them."""

    offset: int
    pieces: list[str]


@dataclass(frozen=True, slots=True)
class Ended:
    """The generation is complete."""

    completion_tokens: int
    finish_reason: str
    prompt_tokens: int


@dataclass(frozen=True, slots=True)
class PlainResponse:
    """The whole answer of a plain service."""

    status: int
    content_type: str
    body: bytes


AnswerEvent = Started | Restarted | TokenChunk | Ended | PlainResponse
