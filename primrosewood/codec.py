"""Serialises frames, which are CBOR arrays of (code, fields) messages."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from io import BytesIO
from itertools import chain
from types import MappingProxyType
from typing import Any

import cbor2
import msgspec

from . import gen_wire as wire
from .errors import WireError

__all__ = (
    'EncodedMessage',
    'Message',
    'encode_message',
    'join_frame',
    'parse_frame',
    'serialise_frame',
)

Message = msgspec.Struct

# CBOR has a type for bytes, so msgspec need not convert them to base64.
_PASSTHROUGH_TYPES = (bytes,)

# The code of a message type is never reused, so that a peer of another version
# cannot misinterpret it.
_CODES = MappingProxyType(
    {
        wire.Hello: 1,
        wire.Welcome: 2,
        wire.Heartbeat: 3,
        wire.SettingsPull: 4,
        wire.SettingsPush: 5,
        wire.Offer: 6,
        wire.Admitted: 7,
        wire.Queued: 8,
        wire.NotRun: 9,
        wire.Tokens: 10,
        wire.Finished: 11,
        wire.Failed: 12,
        wire.Reply: 13,
        wire.Credit: 14,
        wire.Resume: 15,
        wire.Fetch: 16,
        wire.Cancel: 17,
        wire.ClaimQuery: 18,
        wire.ClaimReply: 19,
        wire.EngineReport: 20,
        wire.CapacityQuery: 21,
        wire.CapacityReply: 22,
        wire.RunMoved: 23,
        wire.EngineFound: 24,
        wire.PairsQuery: 25,
        wire.PairsUpdate: 26,
        wire.CallPlaced: 27,
        wire.LimitReport: 28,
        wire.RolloutReport: 29,
        wire.EngineRetired: 30,
        wire.CrashReport: 31,
        wire.TargetQuery: 32,
        wire.TargetReply: 33,
        wire.RetryReport: 34,
        wire.RetryRecall: 35,
        wire.StopQuery: 36,
        wire.StopReply: 37,
        wire.StopPolicy: 38,
    }
)
_MESSAGE_TYPES = MappingProxyType(
    {code: message_type for message_type, code in _CODES.items()}
)


# Major type of arrays in CBOR.
_CBOR_ARRAY = 4
# Tags of numbers of more than 64 bits; the bytes occur in texts too.
_CBOR_BIG_NUMBERS = (b'\xc2', b'\xc3')
_MAX_NUMBER = 18_446_744_073_709_551_615


@dataclass(frozen=True, slots=True)
class EncodedMessage:
    """A message in the form in which frames contain it.

    Attributes
    ----------
    kind
        Type of the message.
    body
        The encoded message.
    """

    kind: type[Message]
    body: bytes


def encode_message(message: Message) -> EncodedMessage:
    """Encode a message, for one frame or several."""
    fields = msgspec.to_builtins(message, builtin_types=_PASSTHROUGH_TYPES)
    kind = type(message)
    return EncodedMessage(kind, cbor2.dumps([_CODES[kind], fields]))


def join_frame(messages: Sequence[EncodedMessage]) -> bytes:
    """Return a frame that contains the messages in order."""
    frame = BytesIO()
    cbor2.CBOREncoder(frame).encode_length(_CBOR_ARRAY, len(messages))
    frame.writelines(message.body for message in messages)
    return frame.getvalue()


def serialise_frame(messages: Sequence[Message]) -> bytes:
    """Return a frame that contains the messages in order."""
    return join_frame([encode_message(message) for message in messages])


def parse_frame(frame: bytes) -> list[Message]:
    """Return the messages of a frame.

    Raises
    ------
    WireError
        The frame is not CBOR, or a message does not match the schema.
    """
    # cbor2 raises many kinds of errors on malicious input, RecursionError and
    # OverflowError among them. Each must close the connection and none may stop
    # the process.
    try:
        encoded_messages = cbor2.loads(frame)
    except Exception as error:
        raise WireError(f'not CBOR: {type(error).__name__}') from error
    if not isinstance(encoded_messages, list):
        raise WireError('a frame must be an array')
    if any(tag in frame for tag in _CBOR_BIG_NUMBERS):
        _require_small_numbers(encoded_messages)
    return [_decode_message(encoded) for encoded in encoded_messages]


def _require_small_numbers(decoded: Any) -> None:
    """Check for numbers of more than 64 bits.

    Where they are compared or divided, the largest of them raise errors that
    would cost the work with all other peers.

    Raises
    ------
    WireError
        There is one.
    """
    pending = [decoded]
    # CBOR may refer to what is around it.
    seen: set[int] = set()
    while pending:
        found = pending.pop()
        if isinstance(found, int) and abs(found) > _MAX_NUMBER:
            raise WireError('a number is too large')
        if id(found) not in seen:
            seen.add(id(found))
            pending.extend(_list_members(found))


def _list_members(found: Any) -> Iterable[Any]:
    if isinstance(found, dict):
        return chain(found, found.values())
    return found if isinstance(found, list | tuple | set | frozenset) else ()


def _decode_message(encoded: Any) -> Message:
    try:
        code, fields = encoded
        message_type = _MESSAGE_TYPES[code]
    except (TypeError, ValueError, KeyError) as error:
        raise WireError(
            'a message must be a known code and its fields'
        ) from error
    try:
        return msgspec.convert(
            fields, message_type, builtin_types=_PASSTHROUGH_TYPES
        )
    except (msgspec.ValidationError, RecursionError) as error:
        raise WireError(f'{message_type.__name__}: {error}') from error
