"""Key-value service over the JSON gateway of the etcd v3 protocol."""

import asyncio
import base64
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import msgspec

from .errors import StoreUnavailableError
from .kv import Change, KeyValue, Listing, Pair, SwapResult

__all__ = ('EtcdKeyValue', 'decode_base64', 'encode_base64', 'end_of_prefix')

_LONGEST_WATCH_LINE = 8_388_608


def encode_base64(text: str | bytes) -> str:
    """Return bytes as the gateway writes them."""
    raw = text.encode() if isinstance(text, str) else text
    return base64.b64encode(raw).decode()


def decode_base64(text: str) -> bytes:
    """Return the bytes behind a field of the gateway."""
    return base64.b64decode(text)


def end_of_prefix(prefix: str) -> str:
    """Return the key that ends the range of a prefix."""
    *kept, last = prefix
    return ''.join((*kept, chr(ord(last) + 1)))


class EtcdKeyValue(KeyValue):
    """The platform's service, reached over HTTP.

    Parameters
    ----------
    url
        Base URL of the gateway.
    timeout
        Seconds after which a call counts as unanswered.
    """

    def __init__(self, url: str, timeout: float) -> None:
        """Connect on the first call."""
        self._url = url.rstrip('/')
        self._timeout = aiohttp.ClientTimeout(total=timeout)
        self._lazy_session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self._lazy_session is not None:
            await self._lazy_session.close()

    async def fetch(self, key: str) -> Pair | None:
        """Return the pair of a key, None when absent."""
        found = await self._call('kv/range', {'key': encode_base64(key)})
        return next(iter(_to_pairs(found)), None)

    async def list_pairs(self, prefix: str, since: int = 0) -> list[Pair]:
        """Return pairs below a prefix, written at ``since`` or later."""
        query = _below(prefix)
        if since:
            query['min_mod_revision'] = str(since)
        return _to_pairs(await self._call('kv/range', query))

    async def list_all(self, prefix: str) -> Listing:
        """Return all pairs below a prefix."""
        found = await self._call('kv/range', _below(prefix))
        return Listing(_to_pairs(found), _revision(found))

    async def swap(
        self, key: str, stored: bytes, expected: int, lease: int = 0
    ) -> SwapResult:
        """Write when the key's revision is ``expected`` (0 for absent)."""
        query = {
            'compare': [_compare(key, expected)],
            'success': [{'request_put': _put(key, stored, lease)}],
            'failure': [{'request_range': {'key': encode_base64(key)}}],
        }
        answer = await self._call('kv/txn', query)
        if answer.get('succeeded'):
            return SwapResult(swapped=True, revision=_revision(answer))
        found = answer['responses'][0]['response_range']
        return SwapResult(
            swapped=False, current=next(iter(_to_pairs(found)), None)
        )

    async def put(self, key: str, stored: bytes, lease: int = 0) -> int:
        """Write whatever stands there and return the revision."""
        return _revision(await self._call('kv/put', _put(key, stored, lease)))

    async def grant(self, seconds: int) -> int:
        """Return a new lease."""
        answer = await self._call('lease/grant', {'TTL': str(seconds)})
        return int(answer['ID'])

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; False when it has lapsed."""
        answer = await self._call('lease/keepalive', {'ID': str(lease)})
        return int(answer.get('result', {}).get('TTL', 0)) > 0

    async def revoke(self, lease: int) -> None:
        """End a lease and delete what was written under it."""
        await self._call('lease/revoke', {'ID': str(lease)})

    async def watch(self, prefix: str, since: int) -> AsyncIterator[Change]:
        """Yield changes below a prefix from a revision on, until cut off."""
        request = {
            'create_request': {
                'key': encode_base64(prefix),
                'range_end': encode_base64(end_of_prefix(prefix)),
                'start_revision': str(since),
            }
        }
        forever = aiohttp.ClientTimeout(total=None, sock_connect=1)
        try:
            async with self._session().post(
                f'{self._url}/v3/watch', json=request, timeout=forever
            ) as response:
                async for change in _read_watch(response):
                    yield change
        except _UNANSWERED as error:
            raise StoreUnavailableError(type(error).__name__) from error
        raise StoreUnavailableError('the watch ended')

    def _session(self) -> aiohttp.ClientSession:
        if self._lazy_session is None:
            self._lazy_session = aiohttp.ClientSession(
                read_bufsize=_LONGEST_WATCH_LINE
            )
        return self._lazy_session

    async def _call(self, path: str, query: Any) -> Any:
        try:
            async with self._session().post(
                f'{self._url}/v3/{path}', json=query, timeout=self._timeout
            ) as response:
                body = await response.read()
                if response.status != aiohttp.http.HTTPStatus.OK:
                    raise StoreUnavailableError(f'status {response.status}')
                return msgspec.json.decode(body)
        except _UNANSWERED as error:
            raise StoreUnavailableError(type(error).__name__) from error


_UNANSWERED = (
    aiohttp.ClientError,
    asyncio.TimeoutError,
    OSError,
    msgspec.DecodeError,
)


async def _read_watch(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[Change]:
    async for line in response.content:
        if not line.strip():
            continue
        result = msgspec.json.decode(line).get('result', {})
        for event in result.get('events', ()):
            yield _to_change(event)


def _to_change(event: Any) -> Change:
    pair = _to_pair(event['kv'])
    if event.get('type') == 'DELETE':
        return Change(pair.key, pair.revision, None)
    return Change(pair.key, pair.revision, pair)


def _below(prefix: str) -> dict[str, str]:
    return {
        'key': encode_base64(prefix),
        'range_end': encode_base64(end_of_prefix(prefix)),
    }


def _to_pairs(answer: Any) -> list[Pair]:
    return [_to_pair(fields) for fields in answer.get('kvs', ())]


def _to_pair(fields: Any) -> Pair:
    return Pair(
        key=decode_base64(fields['key']).decode(),
        stored=decode_base64(fields.get('value', '')),
        revision=int(fields['mod_revision']),
    )


def _revision(answer: Any) -> int:
    return int(answer['header']['revision'])


def _compare(key: str, expected: int) -> dict[str, str]:
    return {
        'key': encode_base64(key),
        'target': 'MOD',
        'result': 'EQUAL',
        'mod_revision': str(expected),
    }


def _put(key: str, stored: bytes, lease: int) -> dict[str, str]:
    return {
        'key': encode_base64(key),
        'value': encode_base64(stored),
        'lease': str(lease),
    }
