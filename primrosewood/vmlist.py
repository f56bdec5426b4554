"""Reads the platform's list of VMs and their states."""

import asyncio
from collections.abc import Callable

import aiohttp
import msgspec

from .boundedanswers import make_connector, read_limited
from .errors import BackendCutError
from .logs import log_event
from .membership import VmState

__all__ = ('VmListPoller', 'parse_vm_list')

_TIMEOUT_SECONDS = 1.0
_MAX_LIST_BYTES = 4_194_304
_READ_ERRORS = (
    BackendCutError,
    aiohttp.ClientError,
    TimeoutError,
    OSError,
    msgspec.DecodeError,
    RecursionError,
)


class _Vm(msgspec.Struct):
    name: str
    state: str


class _VmList(msgspec.Struct):
    vms: list[_Vm]


def parse_vm_list(body: bytes) -> dict[str, VmState]:
    """Return VM states by name; an unknown state counts as live.

    Raises
    ------
    msgspec.DecodeError
        The body is not a VM list.
    RecursionError
        It is nested too deep to tell.
    """
    listed = msgspec.json.decode(body, type=_VmList)
    return {
        vm.name: VmState.leaving if vm.state == 'leaving' else VmState.live
        for vm in listed.vms
    }


class VmListPoller:
    """Polls the list over HTTP; a list that cannot be read is skipped.

    Parameters
    ----------
    url
        URL of the list.
    poll_seconds
        Seconds between two reads.
    on_list
        Called with the states of each list that was read.
    """

    def __init__(
        self,
        url: str,
        poll_seconds: float,
        on_list: Callable[[dict[str, VmState]], None],
    ) -> None:
        """Create a poller that has not read a list yet."""
        self._url = url
        self._poll_seconds = poll_seconds
        self._on_list = on_list

    async def run(self) -> None:
        """Poll until cancelled."""
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(
            connector=make_connector(), timeout=timeout
        ) as session:
            while True:
                await self._read(session)
                await asyncio.sleep(self._poll_seconds)

    async def _read(self, session: aiohttp.ClientSession) -> None:
        try:
            async with session.get(self._url) as response:
                response.raise_for_status()
                body = await read_limited(response, _MAX_LIST_BYTES)
                self._on_list(parse_vm_list(body))
        except _READ_ERRORS as error:
            log_event('vm_list_unreadable', 'WARNING', why=type(error).__name__)
