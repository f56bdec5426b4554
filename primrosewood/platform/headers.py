"""Headers of the platform, each named once, and which of them pass."""

import math
from collections.abc import Iterable

from ..directcalls import GenerationSize, Header

__all__ = (
    'ATTEMPT',
    'BACKEND',
    'DEADLINE',
    'EXPECTED_BACKEND',
    'LAST_EVENT',
    'LIMIT',
    'MOVED_FROM',
    'NOT_RUN',
    'ORGANISATION',
    'SEAL',
    'SIZE',
    'drop_hop_headers',
    'find_header',
    'keep_caller_headers',
    'parse_deadline',
    'parse_quantity',
    'parse_size',
)

# The caller's name for one try of its request; engines echo it.
ATTEMPT = 'Primrosewood-Attempt-Id'
# Milliseconds that are left, not a time of day.
DEADLINE = 'Primrosewood-Deadline-Ms'
# The back end must be the one of this name, or it answers 421.
EXPECTED_BACKEND = 'Primrosewood-Expect-Instance'
# Name of the back end that answers.
BACKEND = 'Primrosewood-Instance-Id'
ORGANISATION = 'Primrosewood-Tenant'
# The back end certifies an answer as its own.
SEAL = 'Primrosewood-Response-Seal'
# Present where a back end did not run the call.
NOT_RUN = 'Primrosewood-Not-Executed'
# ``host:port/handle`` of the copy that a generation goes on from.
MOVED_FROM = 'Kv-From'
LAST_EVENT = 'Last-Event-Id'
# Calls a second that the back end takes from all entries together.
LIMIT = 'Server-Limit'
# Tokens of the prompt, then the most that the answer may have.
SIZE = 'Primrosewood-Token-Usage'
_HINT = 'Primrosewood-Length-Hint'

_MILLISECONDS = 1000

_OF_ONE_CONNECTION = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
# What only the system may set towards an engine.  A caller's own would let it
# hold engine memory, jump the queue, read another caller's copy or pass for
# another organisation; its key stays with us.
_SET_BY_US = frozenset(
    (
        'authorization',
        DEADLINE.lower(),
        EXPECTED_BACKEND.lower(),
        ORGANISATION.lower(),
        MOVED_FROM.lower(),
        'kv-fetch',
        'primrosewood-expect-version',
        'primrosewood-hold',
        'primrosewood-kv-backup',
        'primrosewood-pin-ms',
        'primrosewood-urgency',
    )
)


def find_header(headers: Iterable[Header], name: str) -> str:
    """Return the first header of a name, empty when there is none."""
    wanted = name.lower()
    for found, text in headers:
        if found.lower() == wanted:
            return text
    return ''


def drop_hop_headers(headers: Iterable[Header]) -> tuple[Header, ...]:
    """Return the headers that concern more than one connection."""
    kept = tuple(headers)
    named = {
        token.strip().lower()
        for name, text in kept
        if name.lower() == 'connection'
        for token in text.split(',')
    }
    dropped = named | _OF_ONE_CONNECTION
    return tuple(pair for pair in kept if pair[0].lower() not in dropped)


def keep_caller_headers(headers: Iterable[Header]) -> tuple[Header, ...]:
    """Return a caller's headers as a back end may see them."""
    return tuple(
        pair
        for pair in drop_hop_headers(headers)
        if pair[0].lower() not in _SET_BY_US
    )


def parse_deadline(text: str) -> float | None:
    """Return the seconds that a caller waits, None where it does not say."""
    milliseconds = parse_quantity(text)
    return None if milliseconds is None else milliseconds / _MILLISECONDS


def parse_quantity(text: str) -> float | None:
    """Return a number of at least 0, None for anything else."""
    try:
        quantity = float(text)
    except ValueError:
        return None
    return quantity if math.isfinite(quantity) and quantity >= 0 else None


def parse_size(headers: Iterable[Header]) -> GenerationSize | None:
    """Return the size that a caller announces, None where it does not."""
    usage = find_header(headers, SIZE)
    prompt, _comma, most = usage.partition(',')
    if not prompt.strip().isdigit():
        return None
    hint = find_header(headers, _HINT).strip()
    return GenerationSize(
        prompt_tokens=int(prompt),
        max_answer_tokens=int(most) if most.strip().isdigit() else 0,
        hint=int(hint) if hint.isdigit() else 0,
    )
