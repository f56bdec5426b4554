"""Callers of a deployment, which send through a load balancer."""

import asyncio
import contextlib
import time
from collections import Counter
from dataclasses import dataclass

import aiohttp

from .checker import SentRequest

_ATTEMPT = 'Primrosewood-Attempt-Id'
_PROBE_SECONDS = 1.0
_REFUSED = (429, 503)
_MS_PER_SECOND = 1000


@dataclass(frozen=True)
class CallerKind:
    """A kind of request.

    Attributes
    ----------
    rate
        Requests per second of all callers together.
    patience
        Seconds that a caller waits for the whole answer.
    """

    path: str
    service: str
    method: str
    rate: float
    patience: float
    events: int = 0
    tokens: str = ''

    def make_target(self, random):
        number = max(1, round(random.expovariate(1 / max(1, self.events))))
        return f'{self.path}{number}'


class Balancer:
    """Probes the entries once a second; two misses take one out."""

    def __init__(self, entries, random):
        self._entries = entries
        self._random = random
        self._missed = dict.fromkeys(entries, 2)

    @property
    def any_ready(self):
        return any(missed < 2 for missed in self._missed.values())

    def choose(self):
        ready = [each for each in self._entries if self._missed[each] < 2]
        return self._random.choice(ready or self._entries)

    async def wait_listening(self, session):
        """Wait until the first entry answers, ready or not."""
        while True:
            for entry in self._entries:
                if await self._fetch_status(session, entry):
                    return
            await asyncio.sleep(0.05)

    async def run(self, session):
        while True:
            await asyncio.gather(
                *(self._probe(session, entry) for entry in self._entries)
            )
            await asyncio.sleep(_PROBE_SECONDS)

    async def _probe(self, session, entry):
        ready = await self._fetch_status(session, entry) == 200
        self._missed[entry] = 0 if ready else self._missed[entry] + 1

    async def _fetch_status(self, session, entry):
        url = f'http://{entry.ready_address}/readyz'
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with asyncio.timeout(_PROBE_SECONDS):
                async with session.get(url) as answer:
                    return answer.status
        return 0


class Callers:
    """Send requests at random times, each again once if it fails."""

    def __init__(self, balancer, kinds, random):
        self._balancer = balancer
        self._kinds = kinds
        self._random = random
        self._numbers = 0
        self._sent = {}
        self.outcomes = Counter()

    @property
    def sent(self):
        """Requests for which a connection was made."""
        return list(self._sent.values())

    async def run(self, session, seconds):
        end = time.monotonic() + seconds
        async with asyncio.TaskGroup() as calls:
            for kind in self._kinds:
                calls.create_task(self._send_kind(session, kind, end, calls))

    async def _send_kind(self, session, kind, end, calls):
        while time.monotonic() < end:
            await asyncio.sleep(self._random.expovariate(kind.rate))
            calls.create_task(self._call(session, kind))

    async def _call(self, session, kind):
        target = kind.make_target(self._random)
        for _ in range(2):
            status, pause = await self._attempt(session, kind, target)
            self.outcomes[kind.path, status] += 1
            repeatable = kind.method == 'GET' or status in _REFUSED
            if status == 200 or not repeatable:
                return
            await asyncio.sleep(min(pause, kind.patience / 3))

    async def _attempt(self, session, kind, target):
        self._numbers += 1
        attempt = f'a{self._numbers}'
        headers = {
            _ATTEMPT: attempt,
            'Host': 'h.example',
            'Primrosewood-Deadline-Ms': str(
                int(kind.patience * _MS_PER_SECOND)
            ),
        }
        if kind.tokens:
            headers['Primrosewood-Token-Usage'] = kind.tokens
        entry = self._balancer.choose()
        sent = SentRequest(time.monotonic(), kind.service, attempt)
        self._sent[attempt] = sent
        try:
            async with asyncio.timeout(kind.patience):
                async with session.request(
                    kind.method,
                    f'http://{entry.caller_address}{target}',
                    headers=headers,
                    data=b'x' * 600 if kind.method == 'POST' else None,
                ) as answer:
                    await answer.read()
                    pause = answer.headers.get('Retry-After', 0)
                    return answer.status, float(pause)
        except aiohttp.ClientConnectorError:
            # Nothing was sent.
            self._sent.pop(attempt)
            return 'unreachable', 0.1
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return type(error).__name__, 0.1
