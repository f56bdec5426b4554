"""Stand-in for the users' platform's key-value service, as HTTP calls.

Faults are switched from outside: `down`, `silent`, `mute_watches`,
`lose_writes`, `history_from`, `drip_seconds` and `stall`.
"""

import asyncio
import base64
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from primrosewood.kv import Change, MemoryKeyValue, Pair

__all__ = ('StoreFaults', 'StoreStandIn')

_MILLISECONDS = 1000
_FOREVER = 3600
_OK = 200
_DOWN = 503
_GONE = 410
_CONFLICT = 412
_MISSING = 404
_CALLS = '/kv-'
# Of a body that comes slowly.
_PIECES = 10


@dataclass
class StoreFaults:
    """What is wrong with the service.

    Attributes
    ----------
    down
        Calls are refused.
    silent
        Calls get no answer.
    mute_watches
        Watches hear nothing, without a sign.
    lose_writes
        Writes are done and their answers lost.
    history_from
        Older changes have been dropped.
    drip_seconds
        An answer's body comes in pieces over this time.
    stall
        After half of such a body nothing more comes.
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
    """HTTP handlers over the key-value service in memory."""

    store: MemoryKeyValue = field(default_factory=MemoryKeyValue)
    faults: StoreFaults = field(default_factory=StoreFaults)
    calls: int = 0

    def make_app(self) -> web.Application:
        """Return the application."""
        app = web.Application(middlewares=(self._spoil,))
        app.router.add_get('/kv-key', self._fetch)
        app.router.add_get('/kv-range', self._list)
        app.router.add_get('/kv-watch', self._watch)
        app.router.add_post('/kv-txn', self._write)
        app.router.add_post('/kv-lease', self._grant)
        app.router.add_post('/kv-keep/{lease}', self._keep)
        app.router.add_delete('/kv-lease-end/{lease}', self._revoke)
        return app

    @web.middleware
    async def _spoil(self, request: web.Request, handler) -> web.Response:
        if not request.path.startswith(_CALLS):
            # Faults are switched while the service is away.
            return await handler(request)
        self.calls += 1
        self.store.expire_leases()
        response = await self._refuse() or await handler(request)
        # A watch may have waited since before the fault.
        response = await self._refuse() or response
        if self.faults.lose_writes and request.method == 'POST':
            request.transport.abort()
        if self.faults.drip_seconds:
            return await self._drip(request, response)
        return response

    async def _drip(
        self, request: web.Request, whole: web.Response
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            status=whole.status, headers={'Content-Type': 'application/json'}
        )
        body = whole.body or b''
        response.content_length = len(body)
        await response.prepare(request)
        for number in range(_PIECES):
            if self.faults.stall and number == _PIECES // 2:
                await asyncio.sleep(_FOREVER)
            await asyncio.sleep(self.faults.drip_seconds / _PIECES)
            first = len(body) * number // _PIECES
            last = len(body) * (number + 1) // _PIECES
            await response.write(body[first:last])
        return response

    async def _refuse(self) -> web.Response | None:
        if self.faults.silent:
            await asyncio.sleep(_FOREVER)
        return web.Response(status=_DOWN) if self.faults.down else None

    async def _fetch(self, request: web.Request) -> web.Response:
        pair = await self.store.fetch(request.query['key'])
        if pair is None:
            return web.Response(status=_MISSING)
        return self._answer(_to_item(pair))

    async def _list(self, request: web.Request) -> web.Response:
        pairs = await self.store.list_pairs(request.query['path_prefix'])
        after = request.query.get('after', '')
        items = [_to_item(pair) for pair in pairs if pair.key > after]
        # Small pages, so that tests meet the second one.
        page = items[:_PAGE]
        more = len(items) > _PAGE
        return self._answer({'items': page, 'has_more': more})

    async def _watch(self, request: web.Request) -> web.Response:
        after = int(request.query['after'])
        if after < self.faults.history_from:
            return web.Response(status=_GONE)
        prefix = request.query['path_prefix']
        seconds = int(request.query['wait_ms']) / _MILLISECONDS
        changes = self.store.watch(prefix, after + 1)
        try:
            async with asyncio.timeout(seconds):
                await anext(changes)
                while self.faults.mute_watches:
                    await asyncio.sleep(_FOREVER)
        except TimeoutError:
            if self.faults.mute_watches:
                return self._answer({'events': []})
        # Also after a wait that was too short to see what stood there before.
        seen = await self.store.list_changes(prefix, after)
        events = [_to_event(change) for change in seen.changes]
        return self._answer({'events': events})

    async def _write(self, request: web.Request) -> web.Response:
        body = await request.json()
        for row in body['expected']:
            pair = await self.store.fetch(row['key'])
            found = [_to_item(pair)] if pair else []
            standing = pair.revision if pair else 0
            if standing != row['revision']:
                return web.json_response({'items': found}, status=_CONFLICT)
        for key in body['remove']:
            self.store.delete(key)
        for row in body['puts']:
            stored = base64.b64decode(row['value'])
            await self.store.put(row['key'], stored, row.get('lease', 0))
        return web.json_response({'revision': self.store.revision})

    async def _grant(self, request: web.Request) -> web.Response:
        body = await request.json()
        seconds = body['ttl_ms'] // _MILLISECONDS
        lease = await self.store.grant(seconds)
        return web.json_response({'lease': lease, 'ttl_ms': body['ttl_ms']})

    async def _keep(self, request: web.Request) -> web.Response:
        held = await self.store.keep_alive(int(request.match_info['lease']))
        return web.Response(status=_OK if held else _MISSING)

    async def _revoke(self, request: web.Request) -> web.Response:
        await self.store.revoke(int(request.match_info['lease']))
        return web.Response()

    def _answer(self, fields: dict[str, Any]) -> web.Response:
        return web.json_response(
            {**fields, 'store_revision': self.store.revision}
        )


_PAGE = 3


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
