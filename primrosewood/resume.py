"""Signed resume tokens: SSE event ids by which any entry resumes a stream."""

import base64
import binascii
import hashlib
import hmac
from dataclasses import dataclass

import msgspec

from .errors import ErrorKind, RequestFailedError

__all__ = ('ResumePoint', 'format_event_id', 'parse_event_id', 'sign_stream')

_MAC_BYTES = 12
_MAX_EVENT_ID_LENGTH = 1024
_MAX_OFFSET_DIGITS = 9


@dataclass(frozen=True, slots=True)
class ResumePoint:
    """The position of a caller in a stream.

    Attributes
    ----------
    endpoint, generation
        The endpoint that runs the generation, and the generation.
    team, organisation
        Owner of the stream.
    offset
        Number of tokens the caller has received.
    """

    endpoint: str
    generation: str
    team: str
    organisation: str
    offset: int = 0


def sign_stream(point: ResumePoint, signing_key: str) -> str:
    """Return the signed prefix that all event ids of a stream share."""
    fields = [point.endpoint, point.generation, point.team, point.organisation]
    payload = msgspec.json.encode(fields)
    signed = _compute_mac(payload, signing_key) + payload
    return base64.urlsafe_b64encode(signed).decode().rstrip('=')


def format_event_id(prefix: str, offset: int) -> str:
    """Return the SSE event id of the position after ``offset`` tokens."""
    return f'{prefix}.{offset}'


def parse_event_id(
    event_id: str, signing_key: str, organisation: str
) -> ResumePoint:
    """Verify an event id and return the position to resume from.

    Raises
    ------
    RequestFailedError
        ``invalid_request`` for a malformed token or a wrong signature,
        ``forbidden`` for a token of another organisation.
    """
    signed, offset = _split_event_id(event_id)
    payload = signed[_MAC_BYTES:]
    if not hmac.compare_digest(
        signed[:_MAC_BYTES], _compute_mac(payload, signing_key)
    ):
        raise _malformed_error()
    point = ResumePoint(*msgspec.json.decode(payload), offset)
    if f'{point.team}/{point.organisation}' != organisation:
        raise RequestFailedError(ErrorKind.forbidden, 'not your stream')
    return point


def _split_event_id(event_id: str) -> tuple[bytes, int]:
    if len(event_id) > _MAX_EVENT_ID_LENGTH:
        raise _malformed_error()
    encoded, _separator, offset = event_id.rpartition('.')
    is_number = offset.isascii() and offset.isdigit()
    if not is_number or len(offset) > _MAX_OFFSET_DIGITS:
        raise _malformed_error()
    padding = '=' * (-len(encoded) % 4)
    try:
        signed = base64.urlsafe_b64decode(encoded + padding)
    except (binascii.Error, ValueError) as error:
        raise _malformed_error() from error
    return signed, int(offset)


def _compute_mac(payload: bytes, signing_key: str) -> bytes:
    return hmac.digest(signing_key.encode(), payload, hashlib.sha256)[
        :_MAC_BYTES
    ]


def _malformed_error() -> RequestFailedError:
    return RequestFailedError(
        ErrorKind.invalid_request, 'Last-Event-ID is not a resume token'
    )
