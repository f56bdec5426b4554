"""Stand-in for the HTTP key-value service of the users' platform.

Faults are set from outside, as the attributes of ``StoreFaults``.
"""

import asyncio
import base64
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from primrosewood.kv import Change, MemoryKeyValue, Pair

__all__ = ('StoreFaults', 'StoreStandIn')

_MS_PER_SECOND = 1000
_FOREVER_SECONDS = 3600
_OK = 200
_SERVICE_UNAVAILABLE = 503
_GONE = 410
_PRECONDITION_FAILED = 412
_NOT_FOUND = 404
_CALL_PREFIX = '/kv-'
# Number of parts in which a slow body is sent.
_BODY_PARTS = 10


@dataclass
class StoreFaults:
    """Faults that the service simulates.

    Attributes
    ----------
    down
        Calls are refused with 503.
    silent
        Calls get no answer, and their connections stay open.
    mute_watches
        Watches report no changes: each ends empty after its wait, like one
        during which nothing changed.
    lose_writes
        Writes and lease calls (all POST calls) are executed, but their
        connections are reset before the answer.
    history_from
        Oldest revision after which a watch may begin; an older one is
        refused with 410, as its changes have been compacted.
    drip_seconds
        Each body is sent in parts over this time; 0 sends it at once.
    stall
        A body that is sent in parts stops after its first half, and the
        connection stays open.
    """

    down: bool = False
    silent: bool = False
    mute_watches: bool = False
    lose_writes: bool = False
    history_from: int = 0
    drip_seconds: float = 0
    stall: bool = False


@dataclass
class StoreStandIn:
    """HTTP handlers over a key-value service in memory.

    Attributes
    ----------
    store
        The keys, leases and changes.
    faults
        The faults that calls meet from now on.
    calls
        Number of calls received.
    """

    store: MemoryKeyValue = field(default_factory=MemoryKeyValue)
    faults: StoreFaults = field(default_factory=StoreFaults)
    calls: int = 0

    def make_app(self) -> web.Application:
        """Return the application."""
        app = web.Application(middlewares=(self._apply_faults,))
        app.router.add_get('/kv-key', self._fetch)
        app.router.add_get('/kv-range', self._list)
        app.router.add_get('/kv-watch', self._watch)
        app.router.add_post('/kv-txn', self._write)
        app.router.add_post('/kv-lease', self._grant)
        app.router.add_post('/kv-keep/{lease}', self._keep_alive)
        app.router.add_delete('/kv-lease-end/{lease}', self._revoke)
        return app

    @web.middleware
    async def _apply_faults(
        self, request: web.Request, handler
    ) -> web.Response:
        if not request.path.startswith(_CALL_PREFIX):
            # Other paths, such as /faults, work while the service is down.
            return await handler(request)
        self.calls += 1
        self.store.expire_leases()
        response = await self._refuse() or await handler(request)
        # The fault may have been set while a watch was waiting.
        response = await self._refuse() or response
        if self.faults.lose_writes and request.method == 'POST':
            request.transport.abort()
        if self.faults.drip_seconds:
            return await self._drip(request, response)
        return response

    async def _drip(
        self, request: web.Request, complete: web.Response
    ) -> web.StreamResponse:
        """Send a complete response slowly, in parts."""
        response = web.StreamResponse(
            status=complete.status, headers={'Content-Type': 'application/json'}
        )
        body = complete.body or b''
        response.content_length = len(body)
        await response.prepare(request)
        for number in range(_BODY_PARTS):
            if self.faults.stall and number == _BODY_PARTS // 2:
                await asyncio.sleep(_FOREVER_SECONDS)
            await asyncio.sleep(self.faults.drip_seconds / _BODY_PARTS)
            start = len(body) * number // _BODY_PARTS
            stop = len(body) * (number + 1) // _BODY_PARTS
            await response.write(body[start:stop])
        return response

    async def _refuse(self) -> web.Response | None:
        if self.faults.silent:
            await asyncio.sleep(_FOREVER_SECONDS)
        return (
            web.Response(status=_SERVICE_UNAVAILABLE)
            if self.faults.down
            else None
        )

    async def _fetch(self, request: web.Request) -> web.Response:
        pair = await self.store.fetch(request.query['key'])
        if pair is None:
            return web.Response(status=_NOT_FOUND)
        return self._answer(_to_item(pair))

    async def _list(self, request: web.Request) -> web.Response:
        pairs = await self.store.list_pairs(request.query['path_prefix'])
        after = request.query.get('after', '')
        items = [_to_item(pair) for pair in pairs if pair.key > after]
        # Pages are small, so that tests read more than one.
        page = items[:_PAGE_SIZE]
        more = len(items) > _PAGE_SIZE
        return self._answer({'items': page, 'has_more': more})

    async def _watch(self, request: web.Request) -> web.Response:
        after = int(request.query['after'])
        if after < self.faults.history_from:
            return web.Response(status=_GONE)
        prefix = request.query['path_prefix']
        seconds = int(request.query['wait_ms']) / _MS_PER_SECOND
        changes = self.store.watch(prefix, after + 1)
        try:
            async with asyncio.timeout(seconds):
                await anext(changes)
                while self.faults.mute_watches:
                    await asyncio.sleep(_FOREVER_SECONDS)
        except TimeoutError:
            if self.faults.mute_watches:
                return self._answer({'events': []})
        # A short wait may time out before the watch yields changes that were
        # made before it began, so they are listed in any case.
        recent = await self.store.list_changes(prefix, after)
        events = [_to_event(change) for change in recent.changes]
        return self._answer({'events': events})

    async def _write(self, request: web.Request) -> web.Response:
        body = await request.json()
        for expected in body['expected']:
            pair = await self.store.fetch(expected['key'])
            current = [_to_item(pair)] if pair else []
            revision = pair.revision if pair else 0
            if revision != expected['revision']:
                return web.json_response(
                    {'items': current}, status=_PRECONDITION_FAILED
                )
        for key in body['remove']:
            self.store.delete(key)
        for put in body['puts']:
            stored = base64.b64decode(put['value'])
            await self.store.put(put['key'], stored, put.get('lease', 0))
        return web.json_response({'revision': self.store.revision})

    async def _grant(self, request: web.Request) -> web.Response:
        body = await request.json()
        seconds = body['ttl_ms'] // _MS_PER_SECOND
        lease = await self.store.grant(seconds)
        return web.json_response({'lease': lease, 'ttl_ms': body['ttl_ms']})

    async def _keep_alive(self, request: web.Request) -> web.Response:
        alive = await self.store.keep_alive(int(request.match_info['lease']))
        return web.Response(status=_OK if alive else _NOT_FOUND)

    async def _revoke(self, request: web.Request) -> web.Response:
        await self.store.revoke(int(request.match_info['lease']))
        return web.Response()

    def _answer(self, fields: dict[str, Any]) -> web.Response:
        return web.json_response(
            {**fields, 'store_revision': self.store.revision}
        )


_PAGE_SIZE = 3


def _to_item(pair: Pair) -> dict[str, Any]:
    return {
        'key': pair.key,
        'value': base64.b64encode(pair.stored).decode(),
        'revision': pair.revision,
    }


def _to_event(change: Change) -> dict[str, Any]:
    if change.pair is None:
        return {
            'key': change.key,
            'revision': change.revision,
            'removed': True,
        }
    return _to_item(change.pair)
