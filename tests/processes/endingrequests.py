"""Requests that end back ends of real processes, beside sound ones.

    python -m tests.processes.endingrequests --forms=look_up,call --folder=LOGS

plays forms by hand, and keeps the logs.
"""

import asyncio
import contextlib
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import aiohttp
import fire

from .retrylimit.fleet import SMALL_DEPLOYMENT, Fleet, reserve_network
from .retrylimit.load import Balancer, Callers
from .retrylimit.run import KINDS, TABLE

_READY_SECONDS = 40
_CALM_SECONDS = 4
_RUN_SECONDS = 10
_PAUSE_SECONDS = 0.25
_POLL_SECONDS = 0.02
# After this time of silence the platform removes the record of a back end.
_RECORD_SECONDS = 3.6
_SETTLE_SECONDS = 2
_MAX_LATE_SECONDS = 1.0


@dataclass(frozen=True)
class Form:
    """A request, and when back ends end under it.

    Attributes
    ----------
    again
        Seconds until a process that ended is started again.
    """

    method: str
    path: str
    way: str
    tokens: str = ''
    again: float = 1.0


_LABEL = ('POST', '/label/5')
_TOKENS = '1000,12'
FORMS = {
    'look_up': Form('GET', '/check/77', 'before_head'),
    'look_up_started_at_once': Form('GET', '/check/77', 'before_head', again=0),
    'call': Form('POST', '/reorder/77', 'before_head'),
    'before_head': Form(*_LABEL, 'before_head', _TOKENS),
    'at_begin': Form(*_LABEL, 'at_begin', _TOKENS),
    'after_events': Form(*_LABEL, 'after_events', _TOKENS),
    'started_at_once': Form(*_LABEL, 'after_events', _TOKENS, again=0),
}


@dataclass
class Result:
    """What a run showed.

    Attributes
    ----------
    ends
        When back ends ended, in monotonic seconds.
    statuses
        What callers of the request got, and when they had sent it.
    sound
        Numbers of sound calls by path and outcome.
    """

    ends: list[float] = field(default_factory=list)
    statuses: list[tuple[float, int]] = field(default_factory=list)
    sound: dict = field(default_factory=dict)

    @property
    def late_ends(self):
        """Ends from longer after the third one than is allowed."""
        if len(self.ends) < 3:
            return []
        bound = sorted(self.ends)[2] + _MAX_LATE_SECONDS
        return [at for at in self.ends if at > bound]

    def describe(self):
        answers = [status for _at, status in self.statuses]
        return (
            f'{len(self.ends)} ends, {len(self.late_ends)} late; '
            f'answers {answers}; sound {self.sound}'
        )


class EndingRun:
    """Sends one request again and again through all entries."""

    def __init__(self, form, folder, seed=1):
        self._form = form
        self._random = Random(f'{seed} ending')
        self._lock, network = reserve_network()
        self._fleet = Fleet(SMALL_DEPLOYMENT, network, folder, False)
        self._result = Result()

    async def play(self):
        """Return the result, after all processes have been killed."""
        async with contextlib.AsyncExitStack() as stack:
            stack.enter_context(self._lock)
            stack.callback(self._fleet.kill_all)
            await self._fleet.serve_store(stack, TABLE)
            connector = aiohttp.TCPConnector(limit=0, force_close=True)
            session = await stack.enter_async_context(
                aiohttp.ClientSession(connector=connector)
            )
            balancer = Balancer(self._fleet.entries, self._random)
            probes = asyncio.create_task(balancer.run(session))
            stack.callback(probes.cancel)
            await self._start(session, balancer)
            supervisor = asyncio.create_task(self._supervise())
            stack.callback(supervisor.cancel)
            await self._run_callers(session, balancer)
        return self._result

    async def _start(self, session, balancer):
        for node in (*self._fleet.entries, *self._fleet.endpoints):
            node.start()
            await asyncio.sleep(0)
        async with asyncio.timeout(_READY_SECONDS):
            await balancer.wait_listening(session)
            for backend in self._fleet.backends:
                backend.start()
                await self._fleet.register(backend)
            while not balancer.any_ready:
                await asyncio.sleep(_POLL_SECONDS)
        await asyncio.sleep(_SETTLE_SECONDS)

    async def _run_callers(self, session, balancer):
        callers = Callers(balancer, KINDS, self._random)
        seconds = _CALM_SECONDS + _RUN_SECONDS
        sound = asyncio.create_task(callers.run(session, seconds))
        await asyncio.sleep(_CALM_SECONDS)
        end = time.monotonic() + _RUN_SECONDS
        number = 0
        while time.monotonic() < end:
            number += 1
            await self._send(session, balancer.choose(), number)
            await asyncio.sleep(_PAUSE_SECONDS)
        await sound
        self._result.sound = dict(callers.outcomes)

    async def _send(self, session, entry, number):
        form = self._form
        headers = {
            'Primrosewood-Attempt-Id': f'e{number}',
            'Host': 'h.example',
            'Primrosewood-Deadline-Ms': '3000',
            'X-Ends': form.way,
        }
        if form.tokens:
            headers['Primrosewood-Token-Usage'] = form.tokens
        sent_at = time.monotonic()
        status = 0
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with session.request(
                form.method,
                f'http://{entry.caller_address}{form.path}',
                headers=headers,
            ) as answer:
                status = answer.status
                await answer.read()
        self._result.statuses.append((sent_at, status))

    async def _supervise(self):
        async with asyncio.TaskGroup() as restarts:
            while True:
                await asyncio.sleep(_POLL_SECONDS)
                for backend in self._fleet.backends:
                    process = backend.program.process
                    if process is not None and process.poll() is not None:
                        self._result.ends.append(time.monotonic())
                        backend.program.process = None
                        restarts.create_task(self._restart(backend))

    async def _restart(self, backend):
        old_key = backend.key
        await asyncio.sleep(self._form.again)
        backend.start()
        await self._fleet.register(backend)
        await asyncio.sleep(_RECORD_SECONDS)
        self._fleet.store.delete(old_key)


def main(folder, forms=tuple(FORMS), seed=1):
    """Print a line for each form; exit with 1 if back ends end too late."""
    late = False
    for name in (forms,) if isinstance(forms, str) else forms:
        logs = Path(folder).resolve() / f'{name}-{seed}'
        logs.mkdir(parents=True)
        result = asyncio.run(EndingRun(FORMS[name], logs, seed).play())
        late = late or bool(result.late_ends)
        sys.stdout.write(f'{name} {seed}: {result.describe()}\n')
        sys.stdout.flush()
    sys.exit(late)


if __name__ == '__main__':
    fire.Fire(main)
