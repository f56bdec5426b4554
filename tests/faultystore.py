"""A key-value service in memory that injects faults into swaps."""

import asyncio

from primrosewood.errors import StoreUnavailableError
from primrosewood.kv import MemoryKeyValue


class FaultyStore(MemoryKeyValue):
    """Injects one fault for each swap, in order.

    A fault is ``before`` to fail without a write, ``after`` to fail once the
    write took effect, or empty for no fault. Later swaps have none.
    """

    def __init__(self, faults):
        super().__init__()
        self.faults = iter(faults)

    async def swap(self, key, stored, expected, lease=0):
        fault = next(self.faults, '')
        await asyncio.sleep(0)
        if fault == 'before':
            raise StoreUnavailableError('down')
        swap = await super().swap(key, stored, expected, lease)
        if fault == 'after':
            raise StoreUnavailableError('the answer was lost')
        return swap
