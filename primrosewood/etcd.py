"""Client of the key-value service through etcd's v3 JSON gateway."""

import asyncio
import base64
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import msgspec

from .boundedanswers import make_connector, read_limited
from .errors import (
    BackendCutError,
    HistoryLostError,
    StoreUnavailableError,
)
from .etcdanswers import (
    Answer,
    GrantAnswer,
    PairFields,
    RangeAnswer,
    RenewalAnswer,
    SwapAnswer,
    WatchEvent,
    WatchLine,
)
from .kv import Change, KeyValue, Listing, Pair, SwapResult

__all__ = ('EtcdKeyValue', 'decode_base64', 'encode_base64', 'prefix_range_end')

_MAX_WATCH_LINE_BYTES = 8_388_608
_MAX_RESPONSE_BYTES = 67_108_864


def encode_base64(text: str | bytes) -> str:
    """Return text or bytes as base64, as the gateway's fields hold them."""
    raw = text.encode() if isinstance(text, str) else text
    return base64.b64encode(raw).decode()


def decode_base64(text: str) -> bytes:
    """Return the bytes of a base64 field of the gateway."""
    return base64.b64decode(text)


def prefix_range_end(prefix: str) -> str:
    """Return the exclusive end of the key range that a prefix covers."""
    *head, last = prefix
    return ''.join((*head, chr(ord(last) + 1)))


class EtcdKeyValue(KeyValue):
    """An etcd cluster, reached over HTTP.

    Parameters
    ----------
    url
        Base URL of the gateway.
    timeout
        Seconds after which a call fails as unanswered. Watches have no
        limit.
    """

    def __init__(self, url: str, timeout: float) -> None:
        """Create a client that connects on its first call."""
        self._url = url.rstrip('/')
        self._timeout = aiohttp.ClientTimeout(total=timeout)
        self._cached_session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self._cached_session is not None:
            await self._cached_session.close()

    async def fetch(self, key: str) -> Pair | None:
        """Return the pair of a key, None when absent."""
        query = {'key': encode_base64(key)}
        answer = await self._call('kv/range', query, RangeAnswer)
        return next(iter(_parse_pairs(answer)), None)

    async def list_pairs(self, prefix: str, since: int = 0) -> list[Pair]:
        """Return the pairs below a prefix with revision ``since`` or later."""
        query = _prefix_range(prefix)
        if since:
            query['min_mod_revision'] = str(since)
        return _parse_pairs(await self._call('kv/range', query, RangeAnswer))

    async def list_all(self, prefix: str) -> Listing:
        """Return all pairs below a prefix, with the revision of the service."""
        query = _prefix_range(prefix)
        answer = await self._call('kv/range', query, RangeAnswer)
        return Listing(_parse_pairs(answer), answer.revision)

    async def swap(
        self, key: str, stored: bytes, expected: int, lease: int = 0
    ) -> SwapResult:
        """Write if the key is at revision ``expected`` (0 if absent)."""
        query = {
            'compare': [_make_compare(key, expected)],
            'success': [{'request_put': _make_put(key, stored, lease)}],
            'failure': [{'request_range': {'key': encode_base64(key)}}],
        }
        answer = await self._call('kv/txn', query, SwapAnswer)
        if answer.succeeded:
            return SwapResult(swapped=True, revision=answer.revision)
        return SwapResult(swapped=False, current=_parse_current(answer))

    async def put(self, key: str, stored: bytes, lease: int = 0) -> int:
        """Write unconditionally and return the new revision."""
        query = _make_put(key, stored, lease)
        return (await self._call('kv/put', query, Answer)).revision

    async def grant(self, seconds: int) -> int:
        """Create a lease with a time to live in seconds; return its ID."""
        query = {'TTL': str(seconds)}
        return (await self._call('lease/grant', query, GrantAnswer)).lease

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired."""
        query = {'ID': str(lease)}
        answer = await self._call('lease/keepalive', query, RenewalAnswer)
        return answer.result.seconds > 0

    async def revoke(self, lease: int) -> None:
        """Revoke a lease and delete the keys attached to it."""
        await self._call('lease/revoke', {'ID': str(lease)}, Answer)

    async def watch(self, prefix: str, since: int) -> AsyncIterator[Change]:
        """Yield changes from a revision on, until the connection is lost."""
        request = {
            'create_request': {
                'key': encode_base64(prefix),
                'range_end': encode_base64(prefix_range_end(prefix)),
                'start_revision': str(since),
            }
        }
        no_total_timeout = aiohttp.ClientTimeout(total=None, sock_connect=1)
        try:
            async with self._session().post(
                f'{self._url}/v3/watch', json=request, timeout=no_total_timeout
            ) as response:
                async for change in _read_watch_events(response):
                    yield change
        except _TRANSPORT_ERRORS as error:
            raise StoreUnavailableError(type(error).__name__) from error
        raise StoreUnavailableError('the watch ended')

    def _session(self) -> aiohttp.ClientSession:
        if self._cached_session is None:
            self._cached_session = aiohttp.ClientSession(
                connector=make_connector(), read_bufsize=_MAX_WATCH_LINE_BYTES
            )
        return self._cached_session

    async def _call(self, path: str, query: Any, kind: type) -> Any:
        try:
            async with self._session().post(
                f'{self._url}/v3/{path}', json=query, timeout=self._timeout
            ) as response:
                body = await read_limited(response, _MAX_RESPONSE_BYTES)
                if response.status != aiohttp.http.HTTPStatus.OK:
                    raise StoreUnavailableError(f'status {response.status}')
                return msgspec.json.decode(body, type=kind, strict=False)
        except _TRANSPORT_ERRORS as error:
            raise StoreUnavailableError(type(error).__name__) from error


_TRANSPORT_ERRORS = (
    BackendCutError,
    aiohttp.ClientError,
    asyncio.TimeoutError,
    OSError,
    msgspec.DecodeError,
)


async def _read_watch_events(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[Change]:
    async for line in response.content:
        if not line.strip():
            continue
        result = msgspec.json.decode(line, type=WatchLine, strict=False).result
        for event in result.events:
            yield _parse_change(event)
        if result.canceled and result.compact_revision:
            raise HistoryLostError('the history was compacted')


def _parse_change(event: WatchEvent) -> Change:
    pair = _parse_pair(event.kv)
    if event.type == 'DELETE':
        return Change(pair.key, pair.revision, None)
    return Change(pair.key, pair.revision, pair)


def _prefix_range(prefix: str) -> dict[str, str]:
    return {
        'key': encode_base64(prefix),
        'range_end': encode_base64(prefix_range_end(prefix)),
    }


def _parse_pairs(answer: RangeAnswer) -> list[Pair]:
    return [_parse_pair(fields) for fields in answer.kvs]


def _parse_current(answer: SwapAnswer) -> Pair | None:
    try:
        fields = answer.find_current()
    except msgspec.DecodeError as error:
        raise StoreUnavailableError(str(error)) from error
    return _parse_pair(fields) if fields else None


def _parse_pair(fields: PairFields) -> Pair:
    return Pair(
        # Other writers' keys may be no text.
        key=decode_base64(fields.key).decode(errors='backslashreplace'),
        stored=decode_base64(fields.value),
        revision=fields.mod_revision,
    )


def _make_compare(key: str, expected: int) -> dict[str, str]:
    return {
        'key': encode_base64(key),
        'target': 'MOD',
        'result': 'EQUAL',
        'mod_revision': str(expected),
    }


def _make_put(key: str, stored: bytes, lease: int) -> dict[str, str]:
    return {
        'key': encode_base64(key),
        'value': encode_base64(stored),
        'lease': str(lease),
    }
