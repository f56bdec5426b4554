"""Error kinds, the table from kind to answer, and the exception tree."""

from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus
from types import MappingProxyType

__all__ = (
    'ANSWERS',
    'Answer',
    'AttemptFailedError',
    'BackendCutError',
    'DoubtError',
    'ErrorKind',
    'HistoryLostError',
    'MisdirectedError',
    'NotRunError',
    'PrimrosewoodError',
    'Ran',
    'RequestFailedError',
    'SettingsInvalidError',
    'StoreUnavailableError',
    'WireError',
)


class Ran(StrEnum):
    """Whether a refused or failed request ran at a back end."""

    no = 'no'
    yes = 'yes'
    unknown = 'unknown'


class ErrorKind(StrEnum):
    """The closed list of error kinds that callers and operators see."""

    invalid_request = 'invalid_request'
    unauthenticated = 'unauthenticated'
    forbidden = 'forbidden'
    not_found = 'not_found'
    too_large = 'too_large'
    head_too_large = 'head_too_large'
    request_timeout = 'request_timeout'
    conflict = 'conflict'
    key_reused = 'key_reused'
    overloaded = 'overloaded'
    no_endpoint = 'no_endpoint'
    leaving = 'leaving'
    domain_out = 'domain_out'
    settings_missing = 'settings_missing'
    store_unavailable = 'store_unavailable'
    claim_unreadable = 'claim_unreadable'
    never_offered = 'never_offered'
    deadline_unmeetable = 'deadline_unmeetable'
    deadline_exceeded = 'deadline_exceeded'
    outcome_unknown = 'outcome_unknown'
    accept_unknown = 'accept_unknown'
    generation_lost = 'generation_lost'
    answer_expired = 'answer_expired'
    backend_refused = 'backend_refused'
    cancelled = 'cancelled'
    internal = 'internal'


@dataclass(frozen=True, slots=True)
class Answer:
    """How an error kind is answered.

    Attributes
    ----------
    status
        HTTP status code.
    ran
        Whether the request ran.
    retry
        Whether coming back later makes sense.
    meaning
        One sentence for the caller.
    """

    status: HTTPStatus
    ran: Ran
    retry: bool
    meaning: str


ANSWERS = MappingProxyType(
    {
        ErrorKind.invalid_request: Answer(
            HTTPStatus.BAD_REQUEST, Ran.no, False, 'The request is malformed.'
        ),
        ErrorKind.unauthenticated: Answer(
            HTTPStatus.UNAUTHORIZED, Ran.no, False, 'The key is not known.'
        ),
        ErrorKind.forbidden: Answer(
            HTTPStatus.FORBIDDEN, Ran.no, False, 'The key may not do this.'
        ),
        ErrorKind.not_found: Answer(
            HTTPStatus.NOT_FOUND, Ran.no, False, 'There is no such service.'
        ),
        ErrorKind.too_large: Answer(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            Ran.no,
            False,
            'The request is larger than the limit.',
        ),
        ErrorKind.head_too_large: Answer(
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            Ran.no,
            False,
            'The headers are larger than the limit.',
        ),
        ErrorKind.request_timeout: Answer(
            HTTPStatus.REQUEST_TIMEOUT,
            Ran.no,
            True,
            'The request did not come to its end.',
        ),
        ErrorKind.conflict: Answer(
            HTTPStatus.CONFLICT, Ran.no, False, 'Another change came first.'
        ),
        ErrorKind.key_reused: Answer(
            HTTPStatus.UNPROCESSABLE_ENTITY,
            Ran.no,
            False,
            'The idempotency key was used for another request.',
        ),
        ErrorKind.overloaded: Answer(
            HTTPStatus.TOO_MANY_REQUESTS, Ran.no, True, 'No endpoint has room.'
        ),
        ErrorKind.no_endpoint: Answer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Ran.no,
            True,
            'No endpoint can take the request.',
        ),
        ErrorKind.leaving: Answer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Ran.no,
            True,
            'The process is leaving.',
        ),
        ErrorKind.domain_out: Answer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Ran.no,
            True,
            'The failure domain is out.',
        ),
        ErrorKind.settings_missing: Answer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Ran.no,
            True,
            'The process has no settings yet.',
        ),
        ErrorKind.store_unavailable: Answer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Ran.no,
            True,
            'The key-value service does not answer.',
        ),
        ErrorKind.claim_unreadable: Answer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Ran.unknown,
            True,
            'Whether the idempotency key was used before cannot be read; '
            'this attempt did not run. Come back with the same key.',
        ),
        ErrorKind.never_offered: Answer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Ran.no,
            True,
            'The attempt never reached its endpoint.',
        ),
        ErrorKind.deadline_unmeetable: Answer(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Ran.no,
            True,
            'The request could not start before its deadline.',
        ),
        ErrorKind.deadline_exceeded: Answer(
            HTTPStatus.GATEWAY_TIMEOUT,
            Ran.unknown,
            False,
            'The deadline passed while the request ran.',
        ),
        ErrorKind.outcome_unknown: Answer(
            HTTPStatus.BAD_GATEWAY,
            Ran.unknown,
            False,
            'The request may have run; its outcome is not known.',
        ),
        ErrorKind.accept_unknown: Answer(
            HTTPStatus.BAD_GATEWAY,
            Ran.unknown,
            True,
            'The change may have been accepted; read it back.',
        ),
        ErrorKind.generation_lost: Answer(
            HTTPStatus.BAD_GATEWAY,
            Ran.yes,
            False,
            'The engine died after part of the answer was sent.',
        ),
        ErrorKind.answer_expired: Answer(
            HTTPStatus.GONE, Ran.yes, False, 'The answer is no longer kept.'
        ),
        ErrorKind.backend_refused: Answer(
            HTTPStatus.BAD_GATEWAY,
            Ran.unknown,
            False,
            'The back end answered with an error.',
        ),
        ErrorKind.cancelled: Answer(
            HTTPStatus.BAD_GATEWAY,
            Ran.unknown,
            False,
            'The request was cancelled.',
        ),
        ErrorKind.internal: Answer(
            HTTPStatus.INTERNAL_SERVER_ERROR,
            Ran.unknown,
            False,
            'The system failed.',
        ),
    }
)


class PrimrosewoodError(Exception):
    """Base of all errors of this package."""


class WireError(PrimrosewoodError):
    """A frame from another process could not be read."""


class BackendCutError(PrimrosewoodError):
    """The connection to a back end broke after the call was written."""


class StoreUnavailableError(PrimrosewoodError):
    """The key-value service did not answer, or answered with an error.

    A write may have taken effect all the same.
    """


class HistoryLostError(StoreUnavailableError):
    """The key-value service has dropped the changes that were asked for."""


class SettingsInvalidError(PrimrosewoodError):
    """Settings do not match their schema.

    Parameters
    ----------
    faults
        One line each, as ``path: fault``.
    """

    def __init__(self, faults: list[str]) -> None:
        """Keep the faults for the answer."""
        super().__init__('; '.join(faults))
        self.faults = faults


class RequestFailedError(PrimrosewoodError):
    """A request ends with an error kind.

    Parameters
    ----------
    kind
        Row of the table of answers.
    message
        What happened, for the caller; never a prompt or a key.
    retry_seconds
        When to come back; 0 leaves it to the kind's default.

    Attributes
    ----------
    ran
        Whether the request ran, as the table has it; ``unknown`` in its place
        when an earlier attempt under the same idempotency key may have run.
    """

    def __init__(
        self, kind: ErrorKind, message: str = '', retry_seconds: float = 0
    ) -> None:
        """Keep kind, message and retry time for the answer."""
        super().__init__(f'{kind}: {message}')
        self.kind = kind
        self.message = message or ANSWERS[kind].meaning
        self.retry_seconds = retry_seconds
        self.ran = ANSWERS[kind].ran

    @property
    def answer(self) -> Answer:
        """Row of the table for this kind."""
        return ANSWERS[self.kind]


class NotRunError(RequestFailedError):
    """An endpoint refused an attempt before it ran."""


class MisdirectedError(NotRunError):
    """Another back end answers at the address that was called."""


class AttemptFailedError(RequestFailedError):
    """An attempt ran, or may have run, and ended without an answer."""


class DoubtError(PrimrosewoodError):
    """A connection was lost while an attempt was out on it."""
