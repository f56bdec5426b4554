"""Stand-in for the platform: key-value service, VM list, weight store.

The key-value service speaks the JSON gateway of the etcd v3 protocol, as far
as the system uses it.
"""

import asyncio
import json
import time
from collections import Counter
from functools import partial

import fire
from aiohttp import web

from primrosewood.etcd import decode_base64, encode_base64
from primrosewood.kv import Change, MemoryKeyValue, Pair

from .serving import serve

_DOWN = 503
_TOO_MANY = 429
_LARGEST_CALL = 4_194_304
_EXPIRY_SECONDS = 0.2
_EXPIRY = web.AppKey('expiry', asyncio.Task)


class PlatformStandIn:
    """HTTP handlers over the key-value service in memory."""

    def __init__(self) -> None:
        """Start empty."""
        self._store = MemoryKeyValue()
        self._counts: Counter[str] = Counter()
        self._faults: dict = {}
        self._vms: dict[str, str] = {}
        self._loads: list[float] = []

    def make_app(self) -> web.Application:
        """Return the application."""
        app = web.Application(client_max_size=_LARGEST_CALL)
        app.router.add_post('/v3/kv/range', self._answer(self._range))
        app.router.add_post('/v3/kv/put', self._answer(self._put))
        app.router.add_post('/v3/kv/txn', self._answer(self._txn))
        app.router.add_post('/v3/lease/grant', self._answer(self._grant))
        app.router.add_post('/v3/lease/keepalive', self._answer(self._keep))
        app.router.add_post('/v3/lease/revoke', self._answer(self._revoke))
        app.router.add_post('/v3/watch', self._watch)
        app.router.add_get('/vms', self._show_vms)
        app.router.add_post('/vms', self._set_vms)
        app.router.add_get('/weights/{model}', self._load_weights)
        app.router.add_post('/faults', self._set_faults)
        app.router.add_get('/counts', self._show_counts)
        app.on_startup.append(self._start_expiry)
        return app

    async def _start_expiry(self, app: web.Application) -> None:
        app[_EXPIRY] = asyncio.create_task(self._expire())

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_SECONDS)
            self._store.expire_leases()

    def _answer(self, act):
        return partial(self._handle, act)

    async def _handle(self, act, request: web.Request) -> web.Response:
        self._counts[request.path] += 1
        await asyncio.sleep(self._faults.get('slow', 0))
        if self._faults.get('down'):
            return web.Response(status=_DOWN)
        body = await act(await request.json())
        if request.path != '/v3/kv/range' and self._lose_answer():
            return web.Response(status=_DOWN)
        body['header'] = {'revision': str(self._store.revision)}
        return web.json_response(body)

    def _lose_answer(self) -> bool:
        left = self._faults.get('lose_answers', 0)
        self._faults['lose_answers'] = max(0, left - 1)
        return left > 0

    async def _range(self, body) -> dict:
        key = decode_base64(body['key']).decode()
        if 'range_end' in body:
            since = int(body.get('min_mod_revision', '0'))
            pairs = await self._store.list_pairs(key, since)
        else:
            pair = await self._store.fetch(key)
            pairs = [pair] if pair else []
        return {'kvs': [_show_pair(pair) for pair in pairs]}

    async def _put(self, body) -> dict:
        await self._store.put(
            decode_base64(body['key']).decode(),
            decode_base64(body['value']),
            int(body.get('lease', '0')),
        )
        return {}

    async def _txn(self, body) -> dict:
        compared = body['compare'][0]
        put = body['success'][0]['request_put']
        swap = await self._store.swap(
            decode_base64(compared['key']).decode(),
            decode_base64(put['value']),
            int(compared['mod_revision']),
            int(put.get('lease', '0')),
        )
        if swap.swapped:
            self._counts['swapped'] += 1
            return {'succeeded': True, 'responses': [{'response_put': {}}]}
        found = [_show_pair(swap.current)] if swap.current else []
        return {'responses': [{'response_range': {'kvs': found}}]}

    async def _grant(self, body) -> dict:
        lease = await self._store.grant(int(body['TTL']))
        return {'ID': str(lease), 'TTL': body['TTL']}

    async def _keep(self, body) -> dict:
        held = await self._store.keep_alive(int(body['ID']))
        return {'result': {'ID': body['ID'], 'TTL': '1' if held else '0'}}

    async def _revoke(self, body) -> dict:
        await self._store.revoke(int(body['ID']))
        return {}

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        self._counts['/v3/watch'] += 1
        if self._faults.get('down'):
            return web.Response(status=_DOWN)
        wanted = (await request.json())['create_request']
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(_line({'created': True}))
        prefix = decode_base64(wanted['key']).decode()
        since = int(wanted['start_revision'])
        async for change in self._store.watch(prefix, since):
            if self._faults.get('down'):
                request.transport.abort()
                return response
            if not self._faults.get('drop_watch_events'):
                await response.write(_line({'events': [_show_change(change)]}))
        return response

    async def _show_vms(self, _request: web.Request) -> web.Response:
        if self._faults.get('vm_list_down'):
            return web.Response(status=_DOWN)
        listed = [
            {'name': name, 'state': state} for name, state in self._vms.items()
        ]
        return web.json_response({'vms': listed})

    async def _set_vms(self, request: web.Request) -> web.Response:
        self._vms.update(await request.json())
        return web.Response()

    async def _load_weights(self, request: web.Request) -> web.Response:
        now = time.monotonic()
        self._loads = [at for at in self._loads if now - at < 1]
        if len(self._loads) >= self._faults.get('weight_rate', 1):
            return web.Response(status=_TOO_MANY, headers={'Retry-After': '1'})
        self._loads.append(now)
        return web.json_response({'model': request.match_info['model']})

    async def _set_faults(self, request: web.Request) -> web.Response:
        self._faults.update(await request.json())
        return web.Response()

    async def _show_counts(self, _request: web.Request) -> web.Response:
        return web.json_response(dict(self._counts))


def _show_pair(pair: Pair) -> dict:
    return {
        'key': encode_base64(pair.key),
        'value': encode_base64(pair.stored),
        'mod_revision': str(pair.revision),
    }


def _show_change(change: Change) -> dict:
    if change.pair is not None:
        return {'kv': _show_pair(change.pair)}
    gone = {
        'key': encode_base64(change.key),
        'mod_revision': str(change.revision),
    }
    return {'type': 'DELETE', 'kv': gone}


def _line(result: dict) -> bytes:
    return b'%b\n' % json.dumps({'result': result}).encode()


def main(port: int) -> None:
    """Serve until killed."""
    app = PlatformStandIn().make_app()
    serve(app, port)


if __name__ == '__main__':
    fire.Fire(main)
