"""The platform's VM list."""

import asyncio
from collections.abc import Callable

import aiohttp
import msgspec

from .logs import log_event
from .membership import VmState

__all__ = ('VmListPoller', 'parse_vm_list')

_TIMEOUT_SECONDS = 1.0


class _Vm(msgspec.Struct):
    name: str
    state: str


class _VmList(msgspec.Struct):
    vms: list[_Vm]


def parse_vm_list(body: bytes) -> dict[str, VmState]:
    """Return the states of a list, a state we do not know counting as live.

    Raises
    ------
    msgspec.DecodeError
        The body is not a VM list.
    """
    listed = msgspec.json.decode(body, type=_VmList)
    return {
        vm.name: VmState.leaving if vm.state == 'leaving' else VmState.live
        for vm in listed.vms
    }


class VmListPoller:
    """Reads the list now and then; an unreadable list changes nothing."""

    def __init__(
        self,
        url: str,
        pause: float,
        take: Callable[[dict[str, VmState]], None],
    ) -> None:
        """Take where to read and whom to tell."""
        self._url = url
        self._pause = pause
        self._take = take

    async def run(self) -> None:
        """Read until cancelled."""
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await self._read(session)
                await asyncio.sleep(self._pause)

    async def _read(self, session: aiohttp.ClientSession) -> None:
        try:
            async with session.get(self._url) as response:
                response.raise_for_status()
                self._take(parse_vm_list(await response.read()))
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            msgspec.DecodeError,
        ) as error:
            log_event('vm_list_unreadable', 'WARNING', why=type(error).__name__)
