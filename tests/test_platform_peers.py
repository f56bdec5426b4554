"""Entries that read the key-value service's content from their peers."""

from standins.store import StoreStandIn

from .deployment import Deployment, asyncio, free_port, make_table


class PeerReadTest(Deployment):
    """Two entries, one of which cannot read the key-value service."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        # Serves the same keys at another address, with separate faults.
        self.failing_store = StoreStandIn(self.stand_in.store)
        address = f'127.0.0.1:{free_port()}'
        await self.serve(self.failing_store.make_app(), address)
        self.store_address = address
        await self.add_entry('entry-2')
        self.assertEqual(200, await self.status('GET', '/lookup/'))

    async def is_moved(self):
        return await self.status('GET', '/moved/') == 200

    async def assert_new_table_is_applied(self):
        await self.put('op/config', make_table(9, prefix='/moved/'))
        await self.wait_for(self.is_moved, seconds=3)
        self.assertEqual(404, await self.status('GET', '/lookup/'))

    async def test_table_while_the_store_refuses_one_entry(self):
        """Guards against an entry that keeps an old route table.

        Operators move a route while one entry cannot read the store.  That
        entry must get the new table from the other one.
        """
        self.failing_store.faults.down = True
        await self.assert_new_table_is_applied()

    async def test_table_while_the_store_is_silent_to_one_entry(self):
        self.failing_store.faults.silent = True
        await self.assert_new_table_is_applied()

    async def test_revoked_key(self):
        """Operators revoke a leaked key; an entry must not accept it longer."""
        self.failing_store.faults.down = True
        await self.put('op/config', make_table(9, keys=('key-2',)))

        async def is_refused():
            return await self.status('GET', '/lookup/') == 401

        await self.wait_for(is_refused, seconds=3)

    async def test_store_is_down_for_all_entries(self):
        """Guards against an old table that entries send each other as new.

        The store is down for all entries, so no peer has newer content.
        """
        self.failing_store.faults.down = True
        self.stand_in.faults.down = True
        await self.put('op/config', make_table(9, prefix='/moved/'))
        await asyncio.sleep(2)
        self.assertEqual(200, await self.status('GET', '/lookup/'))
        self.stand_in.faults.down = False
        await self.wait_for(self.is_moved, seconds=4)
