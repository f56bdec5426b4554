"""The platform's key-value service behind the package's interface."""

import asyncio
import base64
import binascii
from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Any

import aiohttp
import msgspec

from ..errors import (
    BackendCutError,
    HistoryLostError,
    StoreUnavailableError,
)
from ..httpclient import never_repeat
from ..kv import Change, ChangeList, KeyValue, Listing, Pair, SwapResult

__all__ = ('PlatformStore',)

_MILLISECONDS = 1000
# Watches are answered when something changes.  One that was cut without a
# reset answers never; the polls beside it cover the time until this is over.
_WATCH_MS = 10_000
_WATCH_SLACK_SECONDS = 2.0
# The shortest wait that the service knows: what changed is returned at once.
_NO_WAIT_MS = 1
# An answer that keeps coming may take this many times as long as one may be
# silent: a page of 1 MB takes 1.1 s on a line of 10 Mbit/s, and callers'
# traffic has its share of that.
_LONGEST_ANSWER = 5

_UNANSWERED = (BackendCutError, aiohttp.ClientError, TimeoutError, OSError)


class _Item(msgspec.Struct):
    """A key with its value, or a deletion."""

    key: str
    revision: int
    # Absent where the key was deleted.
    value: str = ''
    removed: bool = False


class _Items(msgspec.Struct):
    """A page of keys."""

    store_revision: int
    items: list[_Item] = []
    has_more: bool = False


class _Events(msgspec.Struct):
    """What a watch saw."""

    store_revision: int
    events: list[_Item] = []


class _Written(msgspec.Struct):
    """Answer to a write that took effect."""

    revision: int


class _Lease(msgspec.Struct):
    """A granted lease."""

    lease: int


class PlatformStore(KeyValue):
    """The service over HTTP.

    Parameters
    ----------
    address
        ``host:port``.
    timeout
        Seconds of silence after which a call counts as unanswered.
    """

    def __init__(self, address: str, timeout: float) -> None:
        """Connect on the first call."""
        self._url = f'http://{address}'
        self._timeout = timeout
        self._lazy_session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self._lazy_session is not None:
            await self._lazy_session.close()

    async def fetch(self, key: str) -> Pair | None:
        """Return the pair of a key, None when absent."""
        status, body = await self._call('GET', '/kv-key', {'key': key})
        if status == HTTPStatus.NOT_FOUND:
            return None
        return _to_pair(_decode(status, body, _Item))

    async def list_pairs(self, prefix: str, since: int = 0) -> list[Pair]:
        """Return pairs below a prefix, written at ``since`` or later."""
        listing = await self.list_all(prefix)
        return [pair for pair in listing.pairs if pair.revision >= since]

    async def list_all(self, prefix: str) -> Listing:
        """Return all pairs below a prefix."""
        pairs: list[Pair] = []
        query = {'path_prefix': prefix}
        revision = 0
        while True:
            answer = await self._call('GET', '/kv-range', query)
            page = _decode(*answer, _Items)
            # Pages are read one after the other; what changes meanwhile shows
            # in a watch from the first page's revision on.
            revision = revision or page.store_revision
            pairs += [_to_pair(found) for found in page.items]
            if not page.has_more or not page.items:
                return Listing(pairs, revision)
            query['after'] = page.items[-1].key

    async def list_changes(self, prefix: str, known: int) -> ChangeList:
        """Return at once what changed below a prefix after a revision."""
        query = {
            'path_prefix': prefix,
            'after': str(known),
            'wait_ms': str(_NO_WAIT_MS),
        }
        seen = _decode_events(await self._call('GET', '/kv-watch', query))
        changes = [_to_change(event) for event in seen.events]
        return ChangeList(changes, seen.store_revision)

    async def swap(
        self, key: str, stored: bytes, expected: int, lease: int = 0
    ) -> SwapResult:
        """Write when the key's revision is ``expected`` (0 for absent)."""
        status, body = await self._write(
            key, stored, lease, [{'key': key, 'revision': expected}]
        )
        if status == HTTPStatus.PRECONDITION_FAILED:
            found = msgspec.json.decode(body).get('items', ())
            items = msgspec.convert(found, list[_Item])
            current = next((each for each in items if each.revision), None)
            return SwapResult(
                False, current=_to_pair(current) if current else None
            )
        return SwapResult(True, _decode(status, body, _Written).revision)

    async def put(self, key: str, stored: bytes, lease: int = 0) -> int:
        """Write whatever stands there and return the revision."""
        answer = await self._write(key, stored, lease, [])
        return _decode(*answer, _Written).revision

    async def grant(self, seconds: int) -> int:
        """Return a new lease."""
        body = {'ttl_ms': seconds * _MILLISECONDS}
        answer = await self._call('POST', '/kv-lease', json=body)
        return _decode(*answer, _Lease).lease

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; False when it has lapsed."""
        status, _body = await self._call('POST', f'/kv-keep/{lease}')
        if status == HTTPStatus.NOT_FOUND:
            return False
        _require_ok(status)
        return True

    async def revoke(self, lease: int) -> None:
        """End a lease and delete what was written under it."""
        status, _body = await self._call('DELETE', f'/kv-lease-end/{lease}')
        if status != HTTPStatus.NOT_FOUND:
            _require_ok(status)

    async def watch(self, prefix: str, since: int) -> AsyncIterator[Change]:
        """Yield changes below a prefix from a revision on, until cut off."""
        # The service names the last revision that is known, not the first
        # that is wanted.
        query = {
            'path_prefix': prefix,
            'after': str(max(0, since - 1)),
            'wait_ms': str(_WATCH_MS),
        }
        patience = _WATCH_MS / _MILLISECONDS + _WATCH_SLACK_SECONDS
        while True:
            answer = await self._call(
                'GET', '/kv-watch', query, seconds=patience
            )
            seen = _decode_events(answer)
            for event in seen.events:
                yield _to_change(event)
            query['after'] = str(seen.store_revision)

    async def _write(
        self, key: str, stored: bytes, lease: int, expected: list[Any]
    ) -> tuple[int, bytes]:
        written = {
            'key': key,
            'value': base64.b64encode(stored).decode(),
            'lease': lease,
        }
        body = {'expected': expected, 'puts': [written], 'remove': []}
        return await self._call('POST', '/kv-txn', json=body)

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        json: Any = None,
        seconds: float = 0,
    ) -> tuple[int, bytes]:
        patience = seconds or self._timeout
        try:
            async with (
                asyncio.timeout(patience * _LONGEST_ANSWER),
                asyncio.timeout(patience) as silence,
                self._session().request(
                    method, f'{self._url}{path}', params=query, json=json
                ) as response,
            ):
                return response.status, await _read(response, silence, patience)
        except _UNANSWERED as error:
            raise StoreUnavailableError(type(error).__name__) from error

    def _session(self) -> aiohttp.ClientSession:
        if self._lazy_session is None:
            self._lazy_session = aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=None),
                middlewares=(never_repeat,),
            )
        return self._lazy_session


async def _read(
    response: aiohttp.ClientResponse, silence: asyncio.Timeout, patience: float
) -> bytes:
    """Return a body; each part of it gives the next one as much time.

    All routes of a large deployment take longer over a thin line than the
    service may be silent.
    """
    parts = []
    async for part in response.content.iter_any():
        parts.append(part)
        silence.reschedule(asyncio.get_running_loop().time() + patience)
    return b''.join(parts)


def _decode(status: int, body: bytes, kind: type) -> Any:
    _require_ok(status)
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise StoreUnavailableError(str(error)) from error


def _decode_events(answer: tuple[int, bytes]) -> _Events:
    status, body = answer
    if status == HTTPStatus.GONE:
        raise HistoryLostError('the history is gone')
    return _decode(status, body, _Events)


def _require_ok(status: int) -> None:
    if status != HTTPStatus.OK:
        raise StoreUnavailableError(f'status {status}')


def _to_pair(found: _Item) -> Pair:
    try:
        stored = base64.b64decode(found.value, validate=True)
    except binascii.Error:
        # Whoever reads the value finds that it is no document.
        stored = b''
    return Pair(found.key, stored, found.revision)


def _to_change(event: _Item) -> Change:
    pair = None if event.removed else _to_pair(event)
    return Change(event.key, event.revision, pair)
