"""Frames between processes: a CBOR array of (code, fields) messages."""

from types import MappingProxyType
from typing import Any

import cbor2
import msgspec

from . import gen_wire as wire
from .errors import WireError

__all__ = ('Message', 'parse_frame', 'serialise_frame')

Message = msgspec.Struct

_NATIVE = (bytes,)

# A code is never reused: a peer of another version must not misread it.
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
        wire.ClaimAsk: 18,
        wire.ClaimTold: 19,
        wire.EngineReport: 20,
        wire.RoomAsk: 21,
        wire.RoomTold: 22,
        wire.RunMoved: 23,
        wire.EngineFound: 24,
        wire.PairsAsk: 25,
        wire.PairsTold: 26,
        wire.CallPlaced: 27,
        wire.LimitTold: 28,
    }
)
_TYPES = MappingProxyType({code: kind for kind, code in _CODES.items()})


def serialise_frame(messages: list[Message]) -> bytes:
    """Return one frame that carries the messages in order."""
    return cbor2.dumps([_to_pair(message) for message in messages])


def parse_frame(frame: bytes) -> list[Message]:
    """Return the messages of a frame.

    Raises
    ------
    WireError
        The frame is not CBOR, or a message does not match the schema.
    """
    # cbor2 raises errors of many kinds on hostile bytes (RecursionError and
    # OverflowError among them); any of them must end in a closed connection,
    # never in a stopped process.
    try:
        pairs = cbor2.loads(frame)
    except Exception as error:
        raise WireError(f'not CBOR: {type(error).__name__}') from error
    if not isinstance(pairs, list):
        raise WireError('a frame is an array')
    return [_from_pair(pair) for pair in pairs]


def _to_pair(message: Message) -> list[Any]:
    return [
        _CODES[type(message)],
        msgspec.to_builtins(message, builtin_types=_NATIVE),
    ]


def _from_pair(pair: Any) -> Message:
    try:
        code, fields = pair
        kind = _TYPES[code]
    except (TypeError, ValueError, KeyError) as error:
        raise WireError('a message is a known code and its fields') from error
    try:
        return msgspec.convert(fields, kind, builtin_types=_NATIVE)
    except (msgspec.ValidationError, RecursionError) as error:
        raise WireError(f'{kind.__name__}: {error}') from error
