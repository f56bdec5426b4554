"""The whole path on the users' platform, on loopback in one process."""

import asyncio
from unittest import mock

import aiohttp

from standins.backends import ServiceStandIn

from .deployment import GENERATION_HEADERS, KEY, Deployment, make_table

NAMED = b'Primrosewood-Attempt-Id: ef56\r\n\r\n'


class PathTest(Deployment):
    """Requests of all kinds, answered whole."""

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
        bad = {'Authorization': 'Bearer other'}
        self.assertEqual(404, await self.status('GET', '/nowhere/'))
        self.assertEqual(401, await self.status('GET', '/lookup/', headers=bad))
        self.assertEqual(401, await self.status('GET', '/lookup/', headers={}))
        self.assertEqual(200, await self.status('GET', '/open/', headers={}))
        self.assertNotIn('Primrosewood-Tenant', self.service.ran[-1].headers)
        large = b'x' * 20_000
        self.assertEqual(413, await self.status('POST', '/issue/', data=large))
        wide = {'X-Wide': 'x' * 5000, **KEY}
        self.assertEqual(431, await self.status('GET', '/open/', headers=wide))
        self.assertEqual(400, await self.status('GET', '/open/', name=''))
        self.assertEqual(1, len(self.service.ran))

    async def test_ambiguous_framing(self):
        """A caller hides a second request in the body of the first.

        A back end that reads the lengths the other way would run it.
        """
        reader, writer = await asyncio.open_connection(*self.callers.split(':'))
        hidden = b'GET /open/hidden HTTP/1.1\r\nHost: h.example\r\n\r\n'
        writer.write(
            b'POST /open/ HTTP/1.1\r\nHost: h.example\r\n'
            b'Primrosewood-Attempt-Id: ef56\r\nContent-Length: 4\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n' + hidden
        )
        async with asyncio.timeout(5):
            answer = await reader.read(12)
        writer.close()
        self.assertTrue(answer.endswith(b' 400'))
        self.assertEqual([], self.service.ran)

    async def open_head(self, *parts):
        """Return what comes back for a head that is sent in parts."""
        reader, writer = await asyncio.open_connection(*self.callers.split(':'))
        self.addCleanup(writer.close)
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0.05)
        async with asyncio.timeout(5):
            return await reader.read(12), reader

    async def test_slow_head(self):
        """A stranger opens connections and sends half a head on each.

        Nothing ended them, so that the entry ran out of descriptors. The
        refusal is true: nothing of the request was handed on.
        """
        await self.put('op/config', make_table(2, header_timeout_ms=200))
        await asyncio.sleep(0.9)
        half = b'GET /open/ HTTP/1.1\r\nHost: h.exa'
        answer, reader = await self.open_head(half)
        self.assertEqual(b'HTTP/1.1 408', answer)
        async with asyncio.timeout(5):
            await reader.read()
        self.assertEqual([], self.service.ran)

    async def test_slow_head_after_a_whole_request(self):
        await self.put('op/config', make_table(2, header_timeout_ms=200))
        await asyncio.sleep(0.9)
        whole = b'GET /nowhere/ HTTP/1.1\r\nHost: h.example\r\n' + NAMED
        answer, reader = await self.open_head(whole, b'GET /open/ HT')
        self.assertEqual(b'HTTP/1.1 404', answer)
        async with asyncio.timeout(5):
            self.assertIn(b'HTTP/1.1 408', await reader.read())

    async def test_head_in_parts_and_an_idle_connection(self):
        """A caller sends its head in two packets and keeps the connection."""
        await self.put('op/config', make_table(2, header_timeout_ms=200))
        await asyncio.sleep(0.9)
        answer, reader = await self.open_head(
            b'GET /nowhere/ HTTP/1.1\r\nHost', b': h.example\r\n' + NAMED
        )
        self.assertEqual(b'HTTP/1.1 404', answer)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.6):
                await reader.readuntil(b'HTTP/1.1 408')

    async def test_spoiled_body(self):
        """A caller's body breaks its own framing halfway.

        The HTTP library says nothing of it and the body never ends; a caller
        that sends slowly looks the same. Neither may hold on for ever.
        """
        patched = mock.patch('primrosewood.platform.front._BODY_SECONDS', 0.2)
        patched.start()
        self.addCleanup(patched.stop)
        reader, writer = await asyncio.open_connection(*self.callers.split(':'))
        writer.write(
            b'POST /open/ HTTP/1.1\r\nHost: h.example\r\n'
            b'Primrosewood-Attempt-Id: ef56\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
        )
        await asyncio.sleep(0.05)
        writer.write(b'zz\r\nnot a chunk\r\n')
        async with asyncio.timeout(5):
            answer = await reader.read(12)
        writer.close()
        self.assertTrue(answer.endswith(b' 408'), answer)
        self.assertEqual([], self.service.ran)

    async def test_host_with_port_and_capitals(self):
        """Host names are the same in any case, and a port may follow."""
        headers = {**KEY, 'Host': 'H.Example:80'}
        self.assertEqual(
            200, await self.status('GET', '/lookup/', headers=headers)
        )

    async def test_new_version_is_in_force(self):
        """Operators move a route and take a key away."""
        self.stand_in.faults.mute_watches = True
        await self.put(
            'op/config', make_table(9, keys=('key-2',), prefix='/moved/')
        )

        async def is_moved():
            new = {'Authorization': 'Bearer key-2'}
            return await self.status('GET', '/moved/', headers=new) == 200

        await self.wait_for(is_moved, seconds=2)
        self.assertEqual(401, await self.status('GET', '/moved/'))
        await self.put('op/config', make_table(5))
        await asyncio.sleep(1)
        self.assertEqual(401, await self.status('GET', '/moved/'))

    async def test_records_of_other_writers(self):
        """Bytes that name no engine stand among the records."""
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


class LeavingTest(Deployment):
    """Engines, domains and entries that go."""

    async def read_guide(self, events=100):
        for engine in self.engines.values():
            engine.events = events
        reading = asyncio.create_task(
            self.call('POST', '/guide/1', headers=GENERATION_HEADERS)
        )
        async with asyncio.timeout(5):
            while not any(engine.ran for engine in self.engines.values()):
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.3)
        engine = next(each for each in self.engines.values() if each.ran)
        return reading, engine

    def whole_guide(self, events):
        return ''.join(
            f'id: {number}\ndata: ab12\n\n' for number in range(1, events + 1)
        ).encode()

    async def test_reclaimed_engine(self):
        """An engine is reclaimed while somebody reads a guide from it.

        The reader gets every event once, in order, with no long pause.
        """
        reading, engine = await self.read_guide()
        engine.leaves_ms = 1800
        response, body = await reading
        self.assertEqual(200, response.status)
        self.assertEqual(self.whole_guide(100), body)
        other = next(e for e in self.engines.values() if e is not engine)
        self.assertIn('Kv-From', other.ran[0].headers)

    async def test_engine_whose_record_goes_first(self):
        """An engine leaves without saying so: its record is just removed.

        The link to the process beside it must outlive the record, as the
        moves are told over it.
        """
        reading, engine = await self.read_guide()
        self.stand_in.store.delete(f'servers/{engine.name}')
        await asyncio.sleep(0.8)
        engine.leaves_ms = 1000
        _response, body = await reading
        self.assertEqual(self.whole_guide(100), body)

    async def test_crashed_engine(self):
        """An engine crashes; what was read must not look complete."""
        reading, engine = await self.read_guide()
        engine.crash()
        with self.assertRaises(aiohttp.ClientPayloadError):
            await reading
        runs = [ran for each in self.engines.values() for ran in each.ran]
        self.assertEqual(1, len(runs))

    async def test_caller_that_leaves(self):
        """A reader closes the page; the engine must not work on for it."""
        reading, engine = await self.read_guide(events=5000)
        reading.cancel()
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

    async def test_store_is_away(self):
        """The key-value service is away; what is known goes on working."""
        self.stand_in.faults.down = True
        await asyncio.sleep(1)
        self.assertTrue(await self.is_ready())
        self.assertEqual(200, await self.status('GET', '/lookup/'))
        self.assertEqual(
            200,
            await self.status('POST', '/guide/', headers=GENERATION_HEADERS),
        )

    async def test_engine_that_cannot_register(self):
        """Engines are replaced while the key-value service is away.

        The new one cannot register; without its announcement no entry would
        know it, and the guides would go to ever fewer engines.
        """
        self.stand_in.faults.down = True
        await self.add_engine(
            'i-new', '127.0.0.7', seeds=[self.peers], register=False
        )
        for engine in list(self.engines.values())[:2]:
            engine.refusing = True

        async def runs_there():
            headers = {**GENERATION_HEADERS, 'Primrosewood-Deadline-Ms': '2000'}
            status = await self.status('POST', '/guide/', headers=headers)
            return status == 200 and bool(self.engines['i-new'].ran)

        await self.wait_for(runs_there)

    async def test_planned_stop(self):
        """An entry is told to stop while a guide and a look-up are out.

        It is out of rotation at once; both answers are whole, a new request
        on an open connection is served, and its connection ends after it.
        """
        reading, _engine = await self.read_guide(events=80)
        self.service.seconds = 0.5
        looking = asyncio.create_task(self.call('GET', '/lookup/'))
        await asyncio.sleep(0.1)
        self.stop.set()
        await asyncio.sleep(0.1)
        self.assertFalse(await self.is_ready())
        response, body = await self.call('GET', '/lookup/', name='ef56')
        self.assertEqual((200, b'found'), (response.status, body))
        self.assertEqual('close', response.headers['Connection'])
        self.assertEqual(200, (await looking)[0].status)
        self.assertEqual(self.whole_guide(80), (await reading)[1])
        async with asyncio.timeout(5):
            await self.entry

    async def test_silent_service(self):
        """A service takes a look-up and never answers it.

        A second endpoint may run it: the caller is answered on time.
        """
        other = ServiceStandIn('i-other', b'other')
        await self.add('i-other', 'desk', other, '127.0.0.8')
        await asyncio.sleep(1)
        self.service.seconds = 30
        for _ in range(4):
            response, body = await self.call('GET', '/lookup/')
            self.assertEqual((200, b'other'), (response.status, body))


class NoConfigurationTest(Deployment):
    """An entry that has just started and has nothing to go by."""

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

    async def test_it_says_nothing_of_keys_and_routes(self):
        """All processes are restarted while the key-value service is away.

        A 401 or 404 would be final for the caller; 503 says to come back.
        """
        self.assertFalse(await self.is_ready())
        self.assertEqual(503, await self.status('GET', '/lookup/'))
        self.stand_in.faults.down = False
        await self.wait_for(self.is_ready)
        self.assertEqual(200, await self.status('GET', '/lookup/'))
