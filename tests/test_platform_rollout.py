"""Roll-outs of a version over the store, entries, endpoints and back ends."""

import asyncio
import json

from standins.backends import ServiceStandIn

from .deployment import GENERATION_HEADERS, Deployment, make_table

_SECONDS = 7
_STREAM_HEADERS = {**GENERATION_HEADERS, 'Primrosewood-Deadline-Ms': '30000'}


class RolloutTest(Deployment):
    """Orders that operators write, and the status that they read."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.statuses = []
        caller = asyncio.create_task(self.send_calls())
        self.addCleanup(caller.cancel)

    async def add_versions(self, service, old, new):
        """Register back ends again with versions of their software."""
        for version, back_ends in (('v1', old), ('v2', new)):
            for name, address in back_ends.items():
                await self.register(name, service, address, version=version)

    async def order(self, service, **fields):
        order = {
            'service': service,
            'to': 'v2',
            'duration_s': _SECONDS,
            **fields,
        }
        await self.put(f'op/rollout/{service}', order)

    async def read_state(self, service):
        pair = await self.stand_in.store.fetch(f'status/rollout/{service}')
        return json.loads(pair.stored)['state'] if pair else None

    async def wait_state(self, service, wanted):
        async def is_written():
            return await self.read_state(service) == wanted

        await self.wait_for(is_written, seconds=_SECONDS + 5)

    async def send_calls(self):
        number = 0
        while True:
            number += 1
            self.statuses.append(
                await self.status('GET', '/lookup/x', name=f'call-{number}')
            )
            await asyncio.sleep(0.01)

    async def add_new_services(self):
        new = {name: ServiceStandIn(name) for name in ('i-new-1', 'i-new-2')}
        addresses = {}
        for number, (name, service) in enumerate(new.items()):
            host = f'127.0.0.{20 + number}'
            address = await self.add(name, 'desk', service, host)
            addresses[name] = address
        return new, addresses

    async def test_good_version(self):
        """Guards against old engines that stop while streams run there."""
        new, addresses = await self.add_new_services()
        pair = await self.stand_in.store.fetch('servers/i-desk')
        old = {'i-desk': json.loads(pair.stored)['address']}
        await self.add_versions('desk', old, addresses)
        await self.order('desk')
        await self.wait_state('desk', 'in_progress')
        await asyncio.sleep(1)
        tried = sum(len(service.ran) for service in new.values())
        self.assertLess(tried, 0.15 * len(self.statuses) + 10)
        await self.wait_state('desk', 'completed')
        ran_before = len(self.service.ran)
        await asyncio.sleep(0.5)
        self.assertEqual(ran_before, len(self.service.ran))
        self.assertEqual({200}, set(self.statuses))

    async def test_bad_version(self):
        """Guards against callers that a bad version goes on to serve."""
        new, addresses = await self.add_new_services()
        for service in new.values():
            service.inject_fault = lambda request: request.transport.abort()
        pair = await self.stand_in.store.fetch('servers/i-desk')
        old = {'i-desk': json.loads(pair.stored)['address']}
        await self.add_versions('desk', old, addresses)
        await self.order('desk')
        await self.wait_state('desk', 'rolled_back')
        ran = sum(len(service.ran) for service in new.values())
        self.assertLess(ran, 50)
        await asyncio.sleep(1)
        self.assertEqual(ran, sum(len(service.ran) for service in new.values()))

    async def test_streams_leave_the_old_engines(self):
        """Guards against streams cut as their engine is stopped undrained.

        They begin on the old engines shortly before these get no more calls,
        and are due to end after the roll-out.
        """
        # A machine under load takes longer for the events than the route has.
        table = make_table(2)
        for route in table['routes']:
            route['timeout_ms'] = 30_000
        await self.put('op/config', table)
        old = {name: each.address for name, each in self.engines.items()}
        await self.add_versions('model', old, {})
        for number in (3, 4):
            name = f'i-{number}'
            await self.add_engine(name, f'127.0.0.{number + 1}', register=False)
            address = self.engines[name].address
            await self.register(name, 'model', address, version='v2')
        for engine in self.engines.values():
            engine.events = 70
            engine.pause = 0.05
        await self.order('model')
        await self.wait_state('model', 'in_progress')
        await asyncio.sleep(2.3)
        streams = [
            asyncio.create_task(
                self.call(
                    'POST',
                    '/guide/1',
                    name=f'stream-{number}',
                    headers=_STREAM_HEADERS,
                )
            )
            for number in range(3)
        ]
        await self.wait_state('model', 'completed')
        self.assertTrue(all(not stream.done() for stream in streams))
        for name in old:
            self.assertTrue(self.engines[name].ran)
            self.engines[name].lose_power()
        for stream in streams:
            response, body = await stream
            self.assertEqual(200, response.status)
            self.assertIn(b'id: 70\n', body)

    async def test_orders_that_change_nothing(self):
        """Malformed orders, unknown services and the version in force."""
        await self.put('op/rollout/desk', {'service': 'desk', 'to': 'v2'})
        await self.order('nowhere')
        await self.order('model', to='')
        await asyncio.sleep(1.5)
        for service in ('desk', 'nowhere', 'model'):
            self.assertIsNone(await self.read_state(service))
        self.assertEqual({200}, set(self.statuses))
