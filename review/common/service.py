"""A back end of a plain service."""

import asyncio
from dataclasses import dataclass, field

from stage import Stage
from wire import make_answer, read_head

__all__ = ('Service',)


@dataclass(eq=False)
class Service:
    """One start of a back end of a plain service.

    Attributes
    ----------
    ran
        Attempt and path of each request that ran.
    """

    name: str
    service: str
    zone: str
    stage: Stage
    slots: int = 6
    work_seconds: float = 0.0225
    address: str = ''
    ran: list[tuple[str, str]] = field(default_factory=list)

    async def start(self, address: str, born: int) -> None:
        """Serve at an address and register there."""
        self.address = address
        self._places = asyncio.Semaphore(self.slots)
        host, port = address.split(':')
        self._server = await asyncio.start_server(self._serve, host, int(port))
        record = {
            'service': self.service,
            'address': address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': 1,
            'born': born,
        }
        await self.stage.put(f'servers/{self.name}', record)
        self.stage.record(f'{self.name}: starts as {self.service} at {address}')

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._answer(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            self.stage.record(f'{self.name}: a channel is cut')
        except asyncio.CancelledError:
            # The case is over.
            return
        finally:
            writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        first, headers = await read_head(reader)
        path = first.split()[1]
        await reader.readexactly(int(headers.get('content-length', 0)))
        attempt = headers.get('primrosewood-attempt-id', '')
        expected = headers.get('primrosewood-expect-instance')
        self.stage.record(f'{self.name}: has {attempt} {path} for {expected}')
        if expected != self.name:
            own_name = {'Primrosewood-Instance-Id': self.name}
            writer.write(make_answer(421, attempt, own_name))
            return await writer.drain()
        async with self._places:
            self.ran.append((attempt, path))
            self.stage.record(f'{self.name}: runs {attempt} {path}')
            await asyncio.sleep(self.work_seconds)
        seal = {'Primrosewood-Response-Seal': f'{self.name}.{attempt}'}
        answer = f'number 4711 issued for {attempt}\n\n'.encode()
        writer.write(make_answer(200, attempt, seal, answer))
        return await writer.drain()
