"""Entries that hear from each other what one of them cannot read."""

from standins.store import StoreStandIn

from .deployment import Deployment, asyncio, free_port, make_table


class CutEntryTest(Deployment):
    """Two entries, one of which the key-value service turns away."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        # The same keys at another address, with faults of its own.
        self.own_store = StoreStandIn(self.stand_in.store)
        address = f'127.0.0.1:{free_port()}'
        await self.serve(self.own_store.make_app(), address)
        self.store_address = address
        await self.add_entry('entry-2')
        self.assertEqual(200, await self.status('GET', '/lookup/'))

    async def is_moved(self):
        return await self.status('GET', '/moved/') == 200

    async def change_table(self):
        await self.put('op/config', make_table(9, prefix='/moved/'))
        await self.wait_for(self.is_moved, seconds=3)
        self.assertEqual(404, await self.status('GET', '/lookup/'))

    async def test_table_while_the_store_turns_one_entry_away(self):
        """Operators move a route; one entry cannot read the store.

        Callers of that entry get the old route's service for as long as the
        store turns it away, while the entry beside it has the new one.
        """
        self.own_store.faults.down = True
        await self.change_table()

    async def test_table_while_the_store_is_silent_to_one_entry(self):
        self.own_store.faults.silent = True
        await self.change_table()

    async def test_key_that_is_taken_away(self):
        """An organisation's key leaks and is withdrawn by the operators."""
        self.own_store.faults.down = True
        await self.put('op/config', make_table(9, keys=('key-2',)))

        async def is_refused():
            return await self.status('GET', '/lookup/') == 401

        await self.wait_for(is_refused, seconds=3)

    async def test_nothing_is_asked_of_a_peer_that_cannot_read_either(self):
        """The store is away for all.

        What a peer holds is no newer then; an old table must not travel
        from entry to entry as if it were news.
        """
        self.own_store.faults.down = True
        self.stand_in.faults.down = True
        await self.put('op/config', make_table(9, prefix='/moved/'))
        await asyncio.sleep(2)
        self.assertEqual(200, await self.status('GET', '/lookup/'))
        self.stand_in.faults.down = False
        await self.wait_for(self.is_moved, seconds=4)
