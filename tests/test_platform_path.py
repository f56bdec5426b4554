"""Requests through an entry to back ends and engines of the platform."""

import asyncio
from unittest import mock

import aiohttp

from standins.backends import ServiceStandIn

from .deployment import GENERATION_HEADERS, KEY_HEADERS, Deployment, make_table

# Ends the head of a request.
LAST_HEADER = b'Primrosewood-Attempt-Id: ef56\r\n\r\n'


class PathTest(Deployment):
    """Requests of each kind, and requests that are refused."""

    async def test_all_kinds(self):
        response, body = await self.call(
            'POST', '/guide/1', headers=GENERATION_HEADERS
        )
        self.assertEqual(200, response.status)
        events = [f'id: {n}\ndata: ab12\n\n' for n in range(1, 21)]
        self.assertEqual(''.join(events).encode(), body)
        self.assertIn('Primrosewood-Response-Seal', response.headers)
        response, body = await self.call(
            'POST', '/issue/a%2Fb?x=%41', name='cd34', data=b'drum 7'
        )
        self.assertEqual((200, b'found'), (response.status, body))
        ran = self.service.ran[0]
        self.assertEqual('/issue/a%2Fb?x=%41', ran.target)
        self.assertEqual((b'drum 7', 'cd34'), (ran.body, ran.name))
        self.assertEqual('o1', ran.headers['Primrosewood-Tenant'])
        self.assertNotIn('Authorization', ran.headers)
        self.assertLessEqual(int(ran.headers['Primrosewood-Deadline-Ms']), 4000)
        self.assertEqual(200, await self.status('GET', '/lookup/x'))

    async def test_what_is_not_allowed(self):
        unknown_key = {'Authorization': 'Bearer other'}
        self.assertEqual(404, await self.status('GET', '/nowhere/'))
        self.assertEqual(
            401, await self.status('GET', '/lookup/', headers=unknown_key)
        )
        self.assertEqual(401, await self.status('GET', '/lookup/', headers={}))
        self.assertEqual(200, await self.status('GET', '/open/', headers={}))
        self.assertNotIn('Primrosewood-Tenant', self.service.ran[-1].headers)
        large_body = b'x' * 20_000
        self.assertEqual(
            413, await self.status('POST', '/issue/', data=large_body)
        )
        large_headers = {'X-Wide': 'x' * 5000, **KEY_HEADERS}
        self.assertEqual(
            431, await self.status('GET', '/open/', headers=large_headers)
        )
        self.assertEqual(400, await self.status('GET', '/open/', name=''))
        self.assertEqual(1, len(self.service.ran))

    async def test_request_smuggling(self):
        """Guards against a request that is hidden in another one's body.

        The request has a Content-Length and is chunked as well.  A back end
        that takes the length from the other header would run the hidden one.
        """
        reader, writer = await asyncio.open_connection(*self.callers.split(':'))
        smuggled = b'GET /open/hidden HTTP/1.1\r\nHost: h.example\r\n\r\n'
        writer.write(
            b'POST /open/ HTTP/1.1\r\nHost: h.example\r\n'
            b'Primrosewood-Attempt-Id: ef56\r\nContent-Length: 4\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n' + smuggled
        )
        async with asyncio.timeout(5):
            response_start = await reader.read(12)
        writer.close()
        self.assertTrue(response_start.endswith(b' 400'))
        self.assertEqual([], self.service.ran)

    async def limit_heads(self):
        """Put a timeout of 0.2 s for heads in force."""
        table = make_table(2, prefix='/moved/', header_timeout_ms=200)
        await self.put('op/config', table)

        async def is_in_force():
            # Without a key: 404 before, and nothing runs in either case.
            return await self.status('GET', '/moved/', headers={}) == 401

        await self.wait_for(is_in_force, seconds=2)

    async def send_parts(self, *parts):
        """Send a request's head in parts.

        Return the first bytes of the response and the connection's reader.
        """
        reader, writer = await asyncio.open_connection(*self.callers.split(':'))
        self.addCleanup(writer.close)
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0.05)
        async with asyncio.timeout(5):
            return await reader.read(12), reader

    async def test_slow_head(self):
        """Guards against connections that stay open with an incomplete head.

        Nothing closed them, so that a client could use up the entry's file
        descriptors.  The 408 is correct, as no back end got the request.
        """
        await self.limit_heads()
        incomplete_head = b'GET /open/ HTTP/1.1\r\nHost: h.exa'
        response_start, reader = await self.send_parts(incomplete_head)
        self.assertEqual(b'HTTP/1.1 408', response_start)
        async with asyncio.timeout(5):
            await reader.read()
        self.assertEqual([], self.service.ran)

    async def test_slow_head_on_a_reused_connection(self):
        await self.limit_heads()
        complete_request = (
            b'GET /nowhere/ HTTP/1.1\r\nHost: h.example\r\n' + LAST_HEADER
        )
        response_start, reader = await self.send_parts(
            complete_request, b'GET /open/ HT'
        )
        self.assertEqual(b'HTTP/1.1 404', response_start)
        async with asyncio.timeout(5):
            self.assertIn(b'HTTP/1.1 408', await reader.read())

    async def test_head_in_two_packets_and_an_idle_connection(self):
        """The timeout of heads must not apply to an idle connection."""
        await self.limit_heads()
        response_start, reader = await self.send_parts(
            b'GET /nowhere/ HTTP/1.1\r\nHost', b': h.example\r\n' + LAST_HEADER
        )
        self.assertEqual(b'HTTP/1.1 404', response_start)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.6):
                await reader.readuntil(b'HTTP/1.1 408')

    async def test_spoiled_body(self):
        """Guards against a body that keeps a request open for ever.

        aiohttp reports no error for a body with invalid framing, which then
        never ends, just as a body that is sent too slowly.
        """
        patcher = mock.patch(
            'primrosewood.platform.frontend._BODY_TIMEOUT_SECONDS', 0.2
        )
        patcher.start()
        self.addCleanup(patcher.stop)
        reader, writer = await asyncio.open_connection(*self.callers.split(':'))
        writer.write(
            b'POST /open/ HTTP/1.1\r\nHost: h.example\r\n'
            b'Primrosewood-Attempt-Id: ef56\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
        )
        await asyncio.sleep(0.05)
        writer.write(b'zz\r\nnot a chunk\r\n')
        async with asyncio.timeout(5):
            response_start = await reader.read(12)
        writer.close()
        self.assertTrue(response_start.endswith(b' 408'), response_start)
        self.assertEqual([], self.service.ran)

    async def test_host_with_port_and_capitals(self):
        """Routes match host names in any case, with or without a port."""
        headers = {**KEY_HEADERS, 'Host': 'H.Example:80'}
        self.assertEqual(
            200, await self.status('GET', '/lookup/', headers=headers)
        )

    async def test_new_version_is_in_force(self):
        """Operators move a route and replace a key; older tables are ignored."""
        self.stand_in.faults.mute_watches = True
        await self.put(
            'op/config', make_table(9, keys=('key-2',), prefix='/moved/')
        )

        async def is_moved():
            new_key = {'Authorization': 'Bearer key-2'}
            return await self.status('GET', '/moved/', headers=new_key) == 200

        await self.wait_for(is_moved, seconds=2)
        self.assertEqual(401, await self.status('GET', '/moved/'))
        await self.put('op/config', make_table(5))
        await asyncio.sleep(1)
        self.assertEqual(401, await self.status('GET', '/moved/'))

    async def test_invalid_records(self):
        """Other programs write invalid records below the back ends' prefix."""
        await self.stand_in.store.put('servers/odd', b'\xff\x00')
        await self.put('servers/other', {'service': 'desk', 'state': 5})
        await asyncio.sleep(1)
        self.assertEqual(200, await self.status('GET', '/lookup/'))

    async def test_metrics(self):
        await self.call('GET', '/lookup/')
        url = f'http://127.0.0.1:{self.metrics_port}/metrics'
        async with self.session.get(url) as response:
            text = await response.text()
        self.assertIn('primrosewood_calls_total{reason="200"} 1.0', text)
        self.assertIn('primrosewood_table_version 1.0', text)
        self.assertIn('primrosewood_call_seconds', text)


class RawHeaderTest(Deployment):
    """Header bytes beyond ASCII."""

    async def send(self, model):
        """Send a look-up with a header's bytes; return the response's."""
        host, _, port = self.callers.partition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b'GET /lookup/ HTTP/1.1\r\nHost: h.example\r\n'
            b'Primrosewood-Attempt-Id: ab12\r\n'
            b'Authorization: Bearer key-1\r\n'
            b'X-Model: %s\r\nConnection: close\r\n\r\n' % model
        )
        async with asyncio.timeout(5):
            response = await reader.read()
        writer.close()
        return response

    async def test_model_beyond_ascii(self):
        """Guards against a header that arrives encoded twice."""
        response = await self.send('sch\u00f6n'.encode())
        self.assertIn(b' 200 ', response.partition(b'\r\n')[0])
        (ran,) = self.service.ran
        self.assertEqual('sch\u00f6n', ran.headers['X-Model'])

    async def test_bytes_that_cannot_be_forwarded(self):
        """Guards against a header that is changed on its way."""
        response = await self.send(b'sch\xf6n')
        self.assertIn(b' 400 ', response.partition(b'\r\n')[0])
        self.assertEqual([], self.service.ran)


class LeavingTest(Deployment):
    """Engines, failure domains, entries and stores that become unavailable."""

    async def start_guide(self, events=100):
        for engine in self.engines.values():
            engine.events = events
        guide_call = asyncio.create_task(
            self.call('POST', '/guide/1', headers=GENERATION_HEADERS)
        )
        async with asyncio.timeout(5):
            while not any(engine.ran for engine in self.engines.values()):
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
        engine = next(each for each in self.engines.values() if each.ran)
        return guide_call, engine

    def make_guide_body(self, events):
        return ''.join(
            f'id: {number}\ndata: ab12\n\n' for number in range(1, events + 1)
        ).encode()

    async def test_reclaimed_engine(self):
        """The platform takes an engine away while it sends a stream.

        The caller gets every event once and in order.
        """
        guide_call, engine = await self.start_guide()
        engine.leaves_ms = 1800
        response, body = await guide_call
        self.assertEqual(200, response.status)
        self.assertEqual(self.make_guide_body(100), body)
        other = next(e for e in self.engines.values() if e is not engine)
        self.assertIn('Kv-From', other.ran[0].headers)

    async def test_engine_whose_record_is_removed_first(self):
        """Guards against a link that ends with its engine's record.

        The record is removed before the engine leaves.  The endpoint process
        reports moves over its link to the entry, so the link must stay.
        """
        guide_call, engine = await self.start_guide()
        self.stand_in.store.delete(f'servers/{engine.name}')
        await asyncio.sleep(0.8)
        engine.leaves_ms = 1000
        _response, body = await guide_call
        self.assertEqual(self.make_guide_body(100), body)

    async def test_crashed_engine(self):
        """An engine crashes; the truncated stream must not look complete."""
        guide_call, engine = await self.start_guide()
        engine.crash()
        with self.assertRaises(aiohttp.ClientPayloadError):
            await guide_call
        runs = [ran for each in self.engines.values() for ran in each.ran]
        self.assertEqual(1, len(runs))

    async def test_caller_disconnects(self):
        """A caller disconnects; the engine must stop its generation."""
        guide_call, engine = await self.start_guide(events=5000)
        guide_call.cancel()
        async with asyncio.timeout(0.5):
            while engine._runs:
                await asyncio.sleep(0.01)

    async def test_evacuated_domain(self):
        await self.put('op/evacuate/d1', {})

        async def is_refused():
            return await self.status('GET', '/lookup/') == 503

        await self.wait_for(is_refused, seconds=3)
        response, _body = await self.call('GET', '/lookup/')
        self.assertGreater(float(response.headers['Retry-After']), 0)
        self.stand_in.store.delete('op/evacuate/d1')

        async def is_served():
            return await self.status('GET', '/lookup/') == 200

        await self.wait_for(is_served, seconds=3)

    async def test_store_is_down(self):
        """Requests are served by the last known routes and back ends."""
        self.stand_in.faults.down = True
        await asyncio.sleep(1)
        self.assertTrue(await self.is_ready())
        self.assertEqual(200, await self.status('GET', '/lookup/'))
        self.assertEqual(
            200,
            await self.status('POST', '/guide/', headers=GENERATION_HEADERS),
        )

    async def test_engine_that_cannot_register(self):
        """Engines are replaced while the key-value service is down.

        The new one cannot register.  Unless it is announced no entry uses it,
        and the load goes to fewer and fewer engines.
        """
        self.stand_in.faults.down = True
        await self.add_engine(
            'i-new', '127.0.0.7', seeds=[self.peers], register=False
        )
        for engine in list(self.engines.values())[:2]:
            engine.refusing = True

        async def runs_on_new_engine():
            headers = {**GENERATION_HEADERS, 'Primrosewood-Deadline-Ms': '2000'}
            status = await self.status('POST', '/guide/', headers=headers)
            return status == 200 and bool(self.engines['i-new'].ran)

        await self.wait_for(runs_on_new_engine)

    async def test_planned_stop(self):
        """An entry is stopped while a stream and a look-up are in flight.

        It reports not ready at once.  Both responses are complete, and a new
        request is served, after which its connection closes.
        """
        guide_call, _engine = await self.start_guide(events=80)
        self.service.seconds = 0.5
        lookup_call = asyncio.create_task(self.call('GET', '/lookup/'))
        await asyncio.sleep(0.1)
        self.stop.set()
        await asyncio.sleep(0.1)
        self.assertFalse(await self.is_ready())
        response, body = await self.call('GET', '/lookup/', name='ef56')
        self.assertEqual((200, b'found'), (response.status, body))
        self.assertEqual('close', response.headers['Connection'])
        self.assertEqual(200, (await lookup_call)[0].status)
        self.assertEqual(self.make_guide_body(80), (await guide_call)[1])
        async with asyncio.timeout(5):
            await self.entry

    async def test_silent_service(self):
        """A back end accepts a look-up and never responds.

        The look-up is idempotent, so another back end may run it in time.
        """
        other = ServiceStandIn('i-other', b'other')
        await self.add('i-other', 'desk', other, '127.0.0.8')
        await asyncio.sleep(1)
        self.service.seconds = 30
        for _ in range(4):
            response, body = await self.call('GET', '/lookup/')
            self.assertEqual((200, b'other'), (response.status, body))


class NoConfigurationTest(Deployment):
    """An entry that has started without reading any configuration."""

    async def wait_ready(self):
        self.stand_in.faults.down = True

    async def asyncSetUp(self):
        self.started = False
        await super().asyncSetUp()

    async def start_entry(self, stop):
        self.stand_in.faults.down = True
        task = await super().start_entry(stop)
        await asyncio.sleep(0.3)
        return task

    async def test_requests_get_503(self):
        """All processes are restarted while the key-value service is down.

        A 401 or 404 would be final for the caller; a 503 makes it retry.
        """
        self.assertFalse(await self.is_ready())
        self.assertEqual(503, await self.status('GET', '/lookup/'))
        self.stand_in.faults.down = False
        await self.wait_for(self.is_ready)
        self.assertEqual(200, await self.status('GET', '/lookup/'))


class LastKeyTest(Deployment):
    """Operators take away keys until no organisation has one left."""

    async def revoke_all(self, version, tenants):
        table = {**make_table(version), 'tenants': tenants}
        await self.put('op/config', table)
        await self.wait_for(self.is_refused)
        await asyncio.sleep(1)

    async def is_refused(self):
        return await self.status('GET', '/lookup/') == 401

    async def test_nobody_is_admitted(self):
        """Guards against a service that is open once its last key is gone."""
        for version, tenants in (
            (9, [{'name': 'o1', 'api_keys': []}]),
            (10, []),
        ):
            await self.revoke_all(version, tenants)
            ran = len(self.service.ran)
            for headers in ({}, {'Authorization': 'Bearer never-held'}):
                status = await self.status('GET', '/lookup/', headers=headers)
                self.assertEqual(401, status)
            self.assertEqual(ran, len(self.service.ran))
            self.assertEqual(200, await self.status('GET', '/open/'))

    async def test_call_that_was_admitted_before(self):
        """Guards against an answer that is lost as its caller's key goes."""
        for engine in self.engines.values():
            engine.events = 100
        stream = asyncio.create_task(
            self.call('POST', '/guide/1', headers=GENERATION_HEADERS)
        )
        await asyncio.sleep(0.2)
        await self.revoke_all(9, [])
        self.assertFalse(stream.done())
        response, body = await stream
        self.assertEqual(200, response.status)
        self.assertIn(b'id: 100\n', body)
