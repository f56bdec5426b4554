"""Names of the platform's headers, and which headers are forwarded."""

import re
from collections.abc import Iterable

from ..directcalls import GenerationSize, Header
from ..httpclient import parse_quantity

__all__ = (
    'ATTEMPT_ID',
    'BACKEND',
    'DEADLINE',
    'EXPECTED_BACKEND',
    'LAST_EVENT_ID',
    'LEAVING',
    'LOWEST_PRIORITY',
    'MOVED_FROM',
    'NOT_EXECUTED',
    'ORGANISATION',
    'PRIORITY',
    'PROMPT_PARTS',
    'RATE_LIMIT',
    'RESPONSE_SEAL',
    'TOKEN_USAGE',
    'decode_header',
    'drop_hop_by_hop_headers',
    'filter_caller_headers',
    'find_header',
    'parse_deadline',
    'parse_prompt_parts',
    'parse_size',
    'select_repeated_headers',
)

# Chosen by the caller for each attempt of a request; back ends echo it.
ATTEMPT_ID = 'Primrosewood-Attempt-Id'
# Remaining milliseconds, not a time of day.
DEADLINE = 'Primrosewood-Deadline-Ms'
# Name of the back end that the call is for; any other one answers 421.
EXPECTED_BACKEND = 'Primrosewood-Expect-Instance'
# Name of the back end that responds.
BACKEND = 'Primrosewood-Instance-Id'
ORGANISATION = 'Primrosewood-Tenant'
# Proves that the back end itself made the response.
RESPONSE_SEAL = 'Primrosewood-Response-Seal'
# Rank of a call at an engine, from 0 for the most urgent ones to 9.
PRIORITY = 'Primrosewood-Urgency'
# Present in a response to a call that the back end did not run.
NOT_EXECUTED = 'Primrosewood-Not-Executed'
# ``host:port/handle`` of the KV cache copy that a moved generation resumes
# from.
MOVED_FROM = 'Kv-From'
LAST_EVENT_ID = 'Last-Event-Id'
# Calls per second that the back end accepts from all entries together.
RATE_LIMIT = 'Server-Limit'
# ``1`` in all answers of a back end that is about to leave.
LEAVING = 'Server-Leaving'
# Tokens of the prompt and the maximum for the answer, separated by a comma.
TOKEN_USAGE = 'Primrosewood-Token-Usage'
# Parts of the prompt in order, as ``id:tokens`` separated by commas.
PROMPT_PARTS = 'Primrosewood-Prefix-Hash'
# The caller's estimate of the answer's tokens.
_LENGTH_HINT = 'Primrosewood-Length-Hint'

# Greatest rank that an engine accepts.
LOWEST_PRIORITY = 9

_MS_PER_SECOND = 1000
_TOKENS = re.compile('[0-9]{1,18}')
_MAX_PARTS = 64
_MAX_PART_CHARACTERS = 64

_HOP_BY_HOP_HEADERS = frozenset(
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
# Headers that a caller must not pass to a back end.  They would let it hold
# engine memory, jump the queue, read another caller's KV cache or impersonate
# another organisation.  Its API key is checked here and not forwarded.
_RESERVED_HEADERS = frozenset(
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
        PRIORITY.lower(),
    )
)


# Headers that differ between a request and its repetition.
_VOLATILE_HEADERS = frozenset(
    (
        ATTEMPT_ID.lower(),
        LAST_EVENT_ID.lower(),
        PROMPT_PARTS.lower(),
        _LENGTH_HINT.lower(),
        'date',
        'traceparent',
        'tracestate',
        'x-request-id',
    )
)


def decode_header(raw: bytes) -> str:
    """Return a header's name or value.

    aiohttp writes headers as UTF-8, so what is UTF-8 is written as it came.

    Raises
    ------
    UnicodeDecodeError
        The bytes are not UTF-8 and could not be forwarded unchanged.
    """
    return raw.decode()


def find_header(headers: Iterable[Header], name: str) -> str:
    """Return the value of the first header of a name, empty if absent."""
    wanted = name.lower()
    for header, text in headers:
        if header.lower() == wanted:
            return text
    return ''


def drop_hop_by_hop_headers(headers: Iterable[Header]) -> tuple[Header, ...]:
    """Return the end-to-end headers.

    Drops hop-by-hop headers, also those that ``Connection`` lists, and the
    body's framing, which each connection sets for itself.
    """
    kept = tuple(headers)
    connection_options = {
        token.strip().lower()
        for name, text in kept
        if name.lower() == 'connection'
        for token in text.split(',')
    }
    dropped = connection_options | _HOP_BY_HOP_HEADERS
    return tuple(pair for pair in kept if pair[0].lower() not in dropped)


def filter_caller_headers(headers: Iterable[Header]) -> tuple[Header, ...]:
    """Return the headers of a caller that are forwarded to a back end."""
    return tuple(
        pair
        for pair in drop_hop_by_hop_headers(headers)
        if pair[0].lower() not in _RESERVED_HEADERS
    )


def parse_deadline(text: str) -> float | None:
    """Return the seconds that a caller waits, None if absent or invalid."""
    milliseconds = parse_quantity(text)
    return None if milliseconds is None else milliseconds / _MS_PER_SECOND


def parse_size(headers: Iterable[Header]) -> GenerationSize | None:
    """Return the tokens that a caller declares, None if absent or invalid.

    The maximum and the hint are 0 where the caller gives none.
    """
    usage = find_header(headers, TOKEN_USAGE)
    prompt, _comma, max_tokens = usage.partition(',')
    prompt_tokens = _parse_tokens(prompt)
    if prompt_tokens is None:
        return None
    return GenerationSize(
        prompt_tokens=prompt_tokens,
        max_answer_tokens=_parse_tokens(max_tokens) or 0,
        hint=_parse_tokens(find_header(headers, _LENGTH_HINT)) or 0,
    )


def parse_prompt_parts(headers: Iterable[Header]) -> tuple[str, ...]:
    """Return the ids of the parts of a prompt, empty without any."""
    listed = find_header(headers, PROMPT_PARTS)
    if not listed:
        return ()
    return tuple(
        part.partition(':')[0].strip().lower()[:_MAX_PART_CHARACTERS]
        for part in listed.split(',')[:_MAX_PARTS]
    )


def select_repeated_headers(headers: Iterable[Header]) -> tuple[Header, ...]:
    """Return the headers that a request has each time it is sent."""
    return tuple(
        pair
        for pair in filter_caller_headers(headers)
        if pair[0].lower() not in _VOLATILE_HEADERS
    )


def _parse_tokens(text: str) -> int | None:
    """Return a number of tokens, None for any other text.

    Estimates are sums over many calls, in which a number that no float can
    hold would raise an error.
    """
    match = _TOKENS.fullmatch(text.strip())
    return None if match is None else int(text)
