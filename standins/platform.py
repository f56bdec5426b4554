"""Stand-in for the platform: key-value service, VM list, weight store.

The key-value service implements the calls of the etcd v3 JSON gateway that
the system uses.  Faults are set from outside by ``POST /faults``:

- ``down`` refuses calls of the key-value service with 503 and resets its
  watches;
- ``slow`` delays each of its calls by this number of seconds;
- ``lose_answers`` answers this number of writes with 503 after they were
  executed;
- ``drop_watch_events`` keeps watches from reporting changes;
- ``vm_list_down`` refuses calls of the VM list with 503;
- ``weight_rate`` is the number of weight loads allowed per second.
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

_SERVICE_UNAVAILABLE = 503
_TOO_MANY_REQUESTS = 429
_MAX_REQUEST_BYTES = 4_194_304
_LEASE_CHECK_SECONDS = 0.2
_EXPIRY_TASK = web.AppKey('expiry', asyncio.Task)


class PlatformStandIn:
    """HTTP handlers over a key-value service in memory.

    Counts the calls by path, and the transactions that succeeded.
    """

    def __init__(self) -> None:
        """Create a platform without keys and VMs."""
        self._store = MemoryKeyValue()
        self._counts: Counter[str] = Counter()
        self._faults: dict = {}
        self._vms: dict[str, str] = {}
        self._weight_loads: list[float] = []

    def make_app(self) -> web.Application:
        """Return the application."""
        app = web.Application(client_max_size=_MAX_REQUEST_BYTES)
        app.router.add_post('/v3/kv/range', self._wrap(self._range))
        app.router.add_post('/v3/kv/put', self._wrap(self._put))
        app.router.add_post('/v3/kv/txn', self._wrap(self._txn))
        app.router.add_post('/v3/lease/grant', self._wrap(self._grant))
        app.router.add_post('/v3/lease/keepalive', self._wrap(self._keep_alive))
        app.router.add_post('/v3/lease/revoke', self._wrap(self._revoke))
        app.router.add_post('/v3/watch', self._watch)
        app.router.add_get('/vms', self._show_vms)
        app.router.add_post('/vms', self._set_vms)
        app.router.add_get('/weights/{model}', self._load_weights)
        app.router.add_post('/faults', self._set_faults)
        app.router.add_get('/counts', self._show_counts)
        app.on_startup.append(self._start_expiry)
        return app

    async def _start_expiry(self, app: web.Application) -> None:
        app[_EXPIRY_TASK] = asyncio.create_task(self._expire_leases())

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(_LEASE_CHECK_SECONDS)
            self._store.expire_leases()

    def _wrap(self, operation):
        return partial(self._handle, operation)

    async def _handle(self, operation, request: web.Request) -> web.Response:
        self._counts[request.path] += 1
        await asyncio.sleep(self._faults.get('slow', 0))
        if self._faults.get('down'):
            return web.Response(status=_SERVICE_UNAVAILABLE)
        body = await operation(await request.json())
        if request.path != '/v3/kv/range' and self._loses_answer():
            return web.Response(status=_SERVICE_UNAVAILABLE)
        body['header'] = {'revision': str(self._store.revision)}
        return web.json_response(body)

    def _loses_answer(self) -> bool:
        """Return whether this write's answer is lost; decrement the count."""
        remaining = self._faults.get('lose_answers', 0)
        self._faults['lose_answers'] = max(0, remaining - 1)
        return remaining > 0

    async def _range(self, body) -> dict:
        key = decode_base64(body['key']).decode()
        if 'range_end' in body:
            since = int(body.get('min_mod_revision', '0'))
            pairs = await self._store.list_pairs(key, since)
        else:
            pair = await self._store.fetch(key)
            pairs = [pair] if pair else []
        return {'kvs': [_encode_pair(pair) for pair in pairs]}

    async def _put(self, body) -> dict:
        await self._store.put(
            decode_base64(body['key']).decode(),
            decode_base64(body['value']),
            int(body.get('lease', '0')),
        )
        return {}

    async def _txn(self, body) -> dict:
        comparison = body['compare'][0]
        put = body['success'][0]['request_put']
        swap = await self._store.swap(
            decode_base64(comparison['key']).decode(),
            decode_base64(put['value']),
            int(comparison['mod_revision']),
            int(put.get('lease', '0')),
        )
        if swap.swapped:
            self._counts['swapped'] += 1
            return {'succeeded': True, 'responses': [{'response_put': {}}]}
        current = [_encode_pair(swap.current)] if swap.current else []
        return {'responses': [{'response_range': {'kvs': current}}]}

    async def _grant(self, body) -> dict:
        lease = await self._store.grant(int(body['TTL']))
        return {'ID': str(lease), 'TTL': body['TTL']}

    async def _keep_alive(self, body) -> dict:
        alive = await self._store.keep_alive(int(body['ID']))
        return {'result': {'ID': body['ID'], 'TTL': '1' if alive else '0'}}

    async def _revoke(self, body) -> dict:
        await self._store.revoke(int(body['ID']))
        return {}

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        self._counts['/v3/watch'] += 1
        if self._faults.get('down'):
            return web.Response(status=_SERVICE_UNAVAILABLE)
        watch_request = (await request.json())['create_request']
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(_encode_line({'created': True}))
        prefix = decode_base64(watch_request['key']).decode()
        since = int(watch_request['start_revision'])
        async for change in self._store.watch(prefix, since):
            if self._faults.get('down'):
                request.transport.abort()
                return response
            if not self._faults.get('drop_watch_events'):
                await response.write(
                    _encode_line({'events': [_encode_change(change)]})
                )
        return response

    async def _show_vms(self, _request: web.Request) -> web.Response:
        if self._faults.get('vm_list_down'):
            return web.Response(status=_SERVICE_UNAVAILABLE)
        vms = [
            {'name': name, 'state': state} for name, state in self._vms.items()
        ]
        return web.json_response({'vms': vms})

    async def _set_vms(self, request: web.Request) -> web.Response:
        self._vms.update(await request.json())
        return web.Response()

    async def _load_weights(self, request: web.Request) -> web.Response:
        now = time.monotonic()
        self._weight_loads = [at for at in self._weight_loads if now - at < 1]
        if len(self._weight_loads) >= self._faults.get('weight_rate', 1):
            return web.Response(
                status=_TOO_MANY_REQUESTS, headers={'Retry-After': '1'}
            )
        self._weight_loads.append(now)
        return web.json_response({'model': request.match_info['model']})

    async def _set_faults(self, request: web.Request) -> web.Response:
        self._faults.update(await request.json())
        return web.Response()

    async def _show_counts(self, _request: web.Request) -> web.Response:
        return web.json_response(dict(self._counts))


def _encode_pair(pair: Pair) -> dict:
    return {
        'key': encode_base64(pair.key),
        'value': encode_base64(pair.stored),
        'mod_revision': str(pair.revision),
    }


def _encode_change(change: Change) -> dict:
    if change.pair is not None:
        return {'kv': _encode_pair(change.pair)}
    deleted = {
        'key': encode_base64(change.key),
        'mod_revision': str(change.revision),
    }
    return {'type': 'DELETE', 'kv': deleted}


def _encode_line(result: dict) -> bytes:
    return b'%b\n' % json.dumps({'result': result}).encode()


def main(port: int) -> None:
    """Serve until killed.

    Parameters
    ----------
    port
        Port on loopback.
    """
    app = PlatformStandIn().make_app()
    serve(app, port)


if __name__ == '__main__':
    fire.Fire(main)
