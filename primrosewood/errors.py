"""Error kinds, the response for each kind, and the exception hierarchy."""

from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus
from types import MappingProxyType

__all__ = (
    'ERROR_RESPONSES',
    'AttemptFailedError',
    'BackendCutError',
    'BackendPausedError',
    'DoubtError',
    'ErrorKind',
    'ErrorResponse',
    'HistoryLostError',
    'MisdirectedError',
    'NotRunError',
    'OversizedAnswerError',
    'PrimrosewoodError',
    'Ran',
    'RequestFailedError',
    'SettingsInvalidError',
    'StoreUnavailableError',
    'UnreachableError',
    'WireError',
)


class Ran(StrEnum):
    """Whether a refused or failed request was executed at a back end."""

    no = 'no'
    yes = 'yes'
    unknown = 'unknown'


class ErrorKind(StrEnum):
    """All error kinds that callers and operators see."""

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
    crashes_endpoints = 'crashes_endpoints'
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
class ErrorResponse:
    """HTTP response for an error kind.

    Attributes
    ----------
    status
        HTTP status code.
    ran
        Whether the request was executed.
    retry
        Whether retrying later can succeed.
    default_message
        One sentence for the caller, sent unless the error has its own message.
    """

    status: HTTPStatus
    ran: Ran
    retry: bool
    default_message: str


ERROR_RESPONSES = MappingProxyType(
    {
        ErrorKind.invalid_request: ErrorResponse(
            HTTPStatus.BAD_REQUEST, Ran.no, False, 'The request is malformed.'
        ),
        ErrorKind.unauthenticated: ErrorResponse(
            HTTPStatus.UNAUTHORIZED, Ran.no, False, 'The key is not known.'
        ),
        ErrorKind.forbidden: ErrorResponse(
            HTTPStatus.FORBIDDEN, Ran.no, False, 'The key may not do this.'
        ),
        ErrorKind.not_found: ErrorResponse(
            HTTPStatus.NOT_FOUND, Ran.no, False, 'There is no such service.'
        ),
        ErrorKind.too_large: ErrorResponse(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            Ran.no,
            False,
            'The request is larger than the limit.',
        ),
        ErrorKind.head_too_large: ErrorResponse(
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            Ran.no,
            False,
            'The headers are larger than the limit.',
        ),
        ErrorKind.request_timeout: ErrorResponse(
            HTTPStatus.REQUEST_TIMEOUT,
            Ran.no,
            True,
            'The request did not come to its end.',
        ),
        ErrorKind.conflict: ErrorResponse(
            HTTPStatus.CONFLICT, Ran.no, False, 'Another change came first.'
        ),
        ErrorKind.key_reused: ErrorResponse(
            HTTPStatus.UNPROCESSABLE_ENTITY,
            Ran.no,
            False,
            'The idempotency key was used for another request.',
        ),
        ErrorKind.overloaded: ErrorResponse(
            HTTPStatus.TOO_MANY_REQUESTS, Ran.no, True, 'No endpoint has room.'
        ),
        ErrorKind.crashes_endpoints: ErrorResponse(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Ran.no,
            True,
            'Endpoints have crashed on prompts like this one.',
        ),
        ErrorKind.no_endpoint: ErrorResponse(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Ran.no,
            True,
            'No endpoint can take the request.',
        ),
        ErrorKind.leaving: ErrorResponse(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Ran.no,
            True,
            'The process is leaving.',
        ),
        ErrorKind.domain_out: ErrorResponse(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Ran.no,
            True,
            'The failure domain is out.',
        ),
        ErrorKind.settings_missing: ErrorResponse(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Ran.no,
            True,
            'The process has no settings yet.',
        ),
        ErrorKind.store_unavailable: ErrorResponse(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Ran.no,
            True,
            'The key-value service does not answer.',
        ),
        ErrorKind.claim_unreadable: ErrorResponse(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Ran.unknown,
            True,
            'Whether the idempotency key was used before cannot be read; '
            'this attempt did not run. Come back with the same key.',
        ),
        ErrorKind.never_offered: ErrorResponse(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Ran.no,
            True,
            'The attempt never reached its endpoint.',
        ),
        ErrorKind.deadline_unmeetable: ErrorResponse(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Ran.no,
            True,
            'The request could not start before its deadline.',
        ),
        ErrorKind.deadline_exceeded: ErrorResponse(
            HTTPStatus.GATEWAY_TIMEOUT,
            Ran.unknown,
            False,
            'The deadline passed while the request ran.',
        ),
        ErrorKind.outcome_unknown: ErrorResponse(
            HTTPStatus.BAD_GATEWAY,
            Ran.unknown,
            False,
            'The request may have run; its outcome is not known.',
        ),
        ErrorKind.accept_unknown: ErrorResponse(
            HTTPStatus.BAD_GATEWAY,
            Ran.unknown,
            True,
            'The change may have been accepted; read it back.',
        ),
        ErrorKind.generation_lost: ErrorResponse(
            HTTPStatus.BAD_GATEWAY,
            Ran.yes,
            False,
            'The engine died after part of the answer was sent.',
        ),
        ErrorKind.answer_expired: ErrorResponse(
            HTTPStatus.GONE, Ran.yes, False, 'The answer is no longer kept.'
        ),
        ErrorKind.backend_refused: ErrorResponse(
            HTTPStatus.BAD_GATEWAY,
            Ran.unknown,
            False,
            'The back end answered with an error.',
        ),
        ErrorKind.cancelled: ErrorResponse(
            HTTPStatus.BAD_GATEWAY,
            Ran.unknown,
            False,
            'The request was cancelled.',
        ),
        ErrorKind.internal: ErrorResponse(
            HTTPStatus.INTERNAL_SERVER_ERROR,
            Ran.unknown,
            False,
            'The system failed.',
        ),
    }
)


class PrimrosewoodError(Exception):
    """Base class of all errors of this package."""


class WireError(PrimrosewoodError):
    """Data from another process is invalid or unexpected."""


class BackendCutError(PrimrosewoodError):
    """A connection broke after a call was written, or a response is invalid."""


class OversizedAnswerError(BackendCutError):
    """An answer, or bytes in its place, exceeded what its reader takes."""


class StoreUnavailableError(PrimrosewoodError):
    """The key-value service did not respond, or responded with an error.

    A write may have taken effect nevertheless.
    """


class HistoryLostError(StoreUnavailableError):
    """The key-value service no longer has the requested past changes."""


class SettingsInvalidError(PrimrosewoodError):
    """Settings do not match their schema.

    Parameters
    ----------
    faults
        One line per fault, as ``path: fault``.
    """

    def __init__(self, faults: list[str]) -> None:
        """Store the faults for the response."""
        super().__init__('; '.join(faults))
        self.faults = faults


class RequestFailedError(PrimrosewoodError):
    """A request failed with an error kind.

    Parameters
    ----------
    kind
        Error kind, which determines the response.
    message
        Text for the caller, without prompts or keys; the default message of
        the kind if empty.
    retry_seconds
        Time after which to retry; 0 selects the default.

    Attributes
    ----------
    ran
        Whether the request was executed: the value for the kind, or
        ``unknown`` if an earlier attempt with the same idempotency key may
        have run.
    """

    def __init__(
        self, kind: ErrorKind, message: str = '', retry_seconds: float = 0
    ) -> None:
        """Store kind, message and retry time for the response."""
        super().__init__(f'{kind}: {message}')
        self.kind = kind
        self.message = message or ERROR_RESPONSES[kind].default_message
        self.retry_seconds = retry_seconds
        self.ran = ERROR_RESPONSES[kind].ran

    @property
    def answer(self) -> ErrorResponse:
        """Response for this error kind."""
        return ERROR_RESPONSES[self.kind]


class NotRunError(RequestFailedError):
    """An endpoint refused an attempt without executing it."""


class BackendPausedError(NotRunError):
    """A back end wants no calls for some time, so that this one did not run."""


class RunStoppedError(NotRunError):
    """A generation was stopped, and its memory stayed at its engine.

    Parameters
    ----------
    handle
        Under which that engine keeps it.
    """

    def __init__(self, handle: str, why: str) -> None:
        """Store the handle."""
        super().__init__(ErrorKind.overloaded, why)
        self.handle = handle


class UnreachableError(NotRunError):
    """No connection to a back end was made, so that it never saw the call."""


class MisdirectedError(NotRunError):
    """A back end other than the intended one answered at the called address."""


class AttemptFailedError(RequestFailedError):
    """An attempt was executed, or may have been, but gave no answer."""


class DoubtError(PrimrosewoodError):
    """The connection was lost while an attempt was in flight on it.

    Whether the attempt ran is therefore unknown.
    """
