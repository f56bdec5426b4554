"""Client for the platform's key-value service."""

import asyncio
import base64
import binascii
from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Any

import aiohttp
import msgspec

from ..boundedanswers import make_connector, read_parts
from ..crashguard import StoredCrashes
from ..entrycount import StoredEntryCount
from ..errors import (
    BackendCutError,
    HistoryLostError,
    StoreUnavailableError,
)
from ..httpclient import prevent_resend
from ..kv import Change, ChangeList, KeyValue, Listing, Pair, SwapResult
from ..rollouts import RolloutOrder, RolloutState
from .documents import ROLLOUT_STATUS_PREFIX, serialise_status
from .entrydocuments import (
    CRASHES_KEY,
    ENTRY_COUNT_KEY,
    serialise_crashes,
    serialise_entry_count,
)

__all__ = ('PlatformStore',)

_MS_PER_SECOND = 1000
# The service holds a watch request until something changes, at most this long.
# A watch whose connection was cut without a reset never gets a response; until
# this timeout shows it, the periodic reads find the changes.
_WATCH_WAIT_MS = 10_000
_WATCH_SLACK_SECONDS = 2.0
# The shortest wait that the service accepts; it returns known changes at once.
_MINIMUM_WAIT_MS = 1
# A response that keeps arriving may take this many times as long as the service
# may be silent: a page of 1 MB takes 1.1 s on a link of 10 Mbit/s, which is
# shared with callers' traffic.
_MAX_RESPONSE_FACTOR = 5
_MAX_RESPONSE_BYTES = 33_554_432

_CONNECTION_ERRORS = (
    BackendCutError,
    aiohttp.ClientError,
    TimeoutError,
    OSError,
)


class _KeyItem(msgspec.Struct):
    """A key with its value in base64, or a deletion."""

    key: str
    revision: int
    # Absent where the key was deleted.
    value: str = ''
    removed: bool = False


class _KeyPage(msgspec.Struct):
    """One page of a listing."""

    store_revision: int
    items: list[_KeyItem] = []
    has_more: bool = False


class _WatchEvents(msgspec.Struct):
    """Changes that a watch request returned."""

    store_revision: int
    events: list[_KeyItem] = []


class _Conflict(msgspec.Struct):
    """Current state of the keys whose revisions did not match."""

    items: list[_KeyItem]


class _WriteResult(msgspec.Struct):
    """Response to a write that took effect."""

    revision: int


class _GrantedLease(msgspec.Struct):
    """Response to a request for a lease."""

    lease: int


class PlatformStore(KeyValue):
    """The key-value service over HTTP.

    Parameters
    ----------
    address
        Address of the service as ``host:port``.
    timeout
        Seconds without a byte of the response after which a request fails.
    """

    def __init__(self, address: str, timeout: float) -> None:
        """Open no session before the first request."""
        self._url = f'http://{address}'
        self._timeout = timeout
        self._lazy_session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self._lazy_session is not None:
            await self._lazy_session.close()

    async def fetch(self, key: str) -> Pair | None:
        """Return the pair of a key, None when absent."""
        status, body = await self._send_request('GET', '/kv-key', {'key': key})
        if status == HTTPStatus.NOT_FOUND:
            return None
        return _to_pair(_decode(status, body, _KeyItem))

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
            answer = await self._send_request('GET', '/kv-range', query)
            page = _decode(*answer, _KeyPage)
            # Keys may change while the pages are read.  The listing therefore
            # has the first page's revision: a watch from there reports them.
            revision = revision or page.store_revision
            pairs += [_to_pair(key_item) for key_item in page.items]
            if not page.has_more:
                return Listing(pairs, revision)
            if not page.items:
                raise StoreUnavailableError('a listing that does not go on')
            query['after'] = page.items[-1].key

    async def list_changes(self, prefix: str, known: int) -> ChangeList:
        """Return changes below a prefix after a revision, without waiting."""
        query = {
            'path_prefix': prefix,
            'after': str(known),
            'wait_ms': str(_MINIMUM_WAIT_MS),
        }
        watched = _decode_events(
            await self._send_request('GET', '/kv-watch', query)
        )
        changes = [_to_change(event) for event in watched.events]
        return ChangeList(changes, watched.store_revision)

    async def swap(
        self, key: str, stored: bytes, expected: int, lease: int = 0
    ) -> SwapResult:
        """Write a key if its revision is ``expected`` (0 for absent)."""
        status, body = await self._write(
            key, stored, lease, [{'key': key, 'revision': expected}]
        )
        if status == HTTPStatus.PRECONDITION_FAILED:
            items = _decode_body(body, _Conflict).items
            current = next((each for each in items if each.revision), None)
            return SwapResult(
                False, current=_to_pair(current) if current else None
            )
        return SwapResult(True, _decode(status, body, _WriteResult).revision)

    async def put(self, key: str, stored: bytes, lease: int = 0) -> int:
        """Write a key unconditionally and return the revision."""
        answer = await self._write(key, stored, lease, [])
        return _decode(*answer, _WriteResult).revision

    async def write_rollout(
        self, order: RolloutOrder, state: RolloutState, expected: int
    ) -> bool:
        """Write the status of a roll-out if the last one is as expected."""
        key = f'{ROLLOUT_STATUS_PREFIX}{order.service}'
        outcome = await self.swap(key, serialise_status(order, state), expected)
        return outcome.swapped

    async def write_entry_count(self, count: StoredEntryCount) -> bool:
        """Write the number of entries if the last one is as expected."""
        stored = serialise_entry_count(count)
        outcome = await self.swap(ENTRY_COUNT_KEY, stored, count.revision)
        return outcome.swapped

    async def write_crashes(self, crashes: StoredCrashes) -> bool:
        """Write the crashes of engines if the last ones are as expected."""
        stored = serialise_crashes(crashes)
        outcome = await self.swap(CRASHES_KEY, stored, crashes.revision)
        return outcome.swapped

    async def grant(self, seconds: int) -> int:
        """Return a new lease."""
        body = {'ttl_ms': seconds * _MS_PER_SECOND}
        answer = await self._send_request('POST', '/kv-lease', json=body)
        return _decode(*answer, _GrantedLease).lease

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired."""
        status, _body = await self._send_request('POST', f'/kv-keep/{lease}')
        if status == HTTPStatus.NOT_FOUND:
            return False
        _require_ok(status)
        return True

    async def revoke(self, lease: int) -> None:
        """End a lease and delete the keys written under it."""
        status, _body = await self._send_request(
            'DELETE', f'/kv-lease-end/{lease}'
        )
        if status != HTTPStatus.NOT_FOUND:
            _require_ok(status)

    async def watch(self, prefix: str, since: int) -> AsyncIterator[Change]:
        """Yield changes below a prefix from a revision on, until an error."""
        # The service expects the last known revision, not the first one to
        # return.
        query = {
            'path_prefix': prefix,
            'after': str(max(0, since - 1)),
            'wait_ms': str(_WATCH_WAIT_MS),
        }
        silence_seconds = _WATCH_WAIT_MS / _MS_PER_SECOND + _WATCH_SLACK_SECONDS
        while True:
            answer = await self._send_request(
                'GET', '/kv-watch', query, seconds=silence_seconds
            )
            watched = _decode_events(answer)
            for event in watched.events:
                yield _to_change(event)
            query['after'] = str(watched.store_revision)

    async def _write(
        self, key: str, stored: bytes, lease: int, expected: list[Any]
    ) -> tuple[int, bytes]:
        new_item = {
            'key': key,
            'value': base64.b64encode(stored).decode(),
            'lease': lease,
        }
        body = {'expected': expected, 'puts': [new_item], 'remove': []}
        return await self._send_request('POST', '/kv-txn', json=body)

    async def _send_request(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        json: Any = None,
        seconds: float = 0,
    ) -> tuple[int, bytes]:
        silence_seconds = seconds or self._timeout
        try:
            async with (
                asyncio.timeout(silence_seconds * _MAX_RESPONSE_FACTOR),
                asyncio.timeout(silence_seconds) as silence_timer,
                self._get_session().request(
                    method, f'{self._url}{path}', params=query, json=json
                ) as response,
            ):
                return response.status, await _read_body(
                    response, silence_timer, silence_seconds
                )
        except _CONNECTION_ERRORS as error:
            raise StoreUnavailableError(type(error).__name__) from error

    def _get_session(self) -> aiohttp.ClientSession:
        if self._lazy_session is None:
            self._lazy_session = aiohttp.ClientSession(
                connector=make_connector(),
                timeout=aiohttp.ClientTimeout(total=None),
                middlewares=(prevent_resend,),
            )
        return self._lazy_session


async def _read_body(
    response: aiohttp.ClientResponse,
    silence_timer: asyncio.Timeout,
    silence_seconds: float,
) -> bytes:
    """Return a response's body, restarting the timer with each part of it.

    The routes of a large deployment take longer over a slow link than the
    service may be silent.
    """
    parts = []
    async for part in read_parts(response, _MAX_RESPONSE_BYTES):
        parts.append(part)
        silence_timer.reschedule(
            asyncio.get_running_loop().time() + silence_seconds
        )
    return b''.join(parts)


def _decode(status: int, body: bytes, kind: type) -> Any:
    _require_ok(status)
    return _decode_body(body, kind)


def _decode_body(body: bytes, kind: type) -> Any:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise StoreUnavailableError(str(error)) from error


def _decode_events(answer: tuple[int, bytes]) -> _WatchEvents:
    status, body = answer
    if status == HTTPStatus.GONE:
        raise HistoryLostError('the history is gone')
    return _decode(status, body, _WatchEvents)


def _require_ok(status: int) -> None:
    if status != HTTPStatus.OK:
        raise StoreUnavailableError(f'status {status}')


def _to_pair(key_item: _KeyItem) -> Pair:
    try:
        stored = base64.b64decode(key_item.value, validate=True)
    except binascii.Error:
        # An empty value fails to decode as a document, which is reported by
        # the code that uses the key.
        stored = b''
    return Pair(key_item.key, stored, key_item.revision)


def _to_change(event: _KeyItem) -> Change:
    pair = None if event.removed else _to_pair(event)
    return Change(event.key, event.revision, pair)
