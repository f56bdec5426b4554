"""Load and experiment tool: sends workloads, records answers, checks them."""

import asyncio
import random
import sys
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import fire
import msgspec

from .caller import Caller, CallerAnswer, CallerSettings, TaskCaller
from .invariants import AnswerRecord, check_tokens
from .metrics import Percentiles
from .workloads import Task, make_tasks, workload_names

__all__ = ('LoadTool', 'main', 'run_workload', 'split_urls')

_PERCENTILES = (50, 95, 99, 99.9)
_BROKEN = 1
_CLIENT_SECONDS = 600


@dataclass(frozen=True, slots=True)
class _Sent:
    task: Task
    answer: CallerAnswer


class LoadTool:
    r"""Send generations and service calls to entries and measure them.

    Examples
    --------
    primrosewood-load run --urls http://127.0.0.1:8080 --key K \
        --workload gwenallt --rate 5 --seconds 30 --out answers.jsonl
    primrosewood-load report answers.jsonl
    primrosewood-load workloads
    """

    def workloads(self) -> None:
        """Print the names of the workloads."""
        sys.stdout.write('{}\n'.format('\n'.join(workload_names())))

    def run(
        self,
        urls: str,
        key: str,
        workload: str,
        rate: float = 5.0,
        seconds: float = 10.0,
        seed: int = 1,
        out: str = '',
    ) -> None:
        """Send a workload and print what came back.

        Parameters
        ----------
        urls
            Entries, separated by commas; a retry goes to the next one.
        key
            The organisation's key.
        workload
            One of those that `workloads` prints.
        rate
            Requests a second on average; they arrive whatever the load.
        seconds
            How long requests are sent.
        seed
            The same seed sends the same requests.
        out
            File for one JSON line for each answer.
        """
        settings = CallerSettings(split_urls(urls), key)
        run_workload(
            (workload, rate, seconds, seed),
            lambda session: Caller(session, settings),
            out,
        )

    def report(self, file: str) -> None:
        """Print the summary of a file that `run` wrote."""
        lines = Path(file).read_bytes().splitlines()
        decoded = [msgspec.json.decode(line, type=Line) for line in lines]
        sys.exit(_report(decoded))


class Line(msgspec.Struct):
    """One answer in a file of answers.

    Times are in seconds.
    """

    kind: str
    status: int
    error: str
    ran: str
    tokens: int
    attempts: int
    first_token: float
    largest_gap: float
    seconds: float
    faults: list[str]


def main() -> None:
    """Run the binary ``primrosewood-load``."""
    fire.Fire(LoadTool(), name='primrosewood-load')


def split_urls(urls: str | tuple[str, ...]) -> tuple[str, ...]:
    """Return the entries that a flag names."""
    # The command line library makes a tuple of words with commas by itself.
    parts = urls.split(',') if isinstance(urls, str) else urls
    return tuple(part.strip().rstrip('/') for part in parts)


def run_workload(
    asked: tuple[str, float, float, int],
    make_caller: Callable[[aiohttp.ClientSession], TaskCaller],
    out: str,
) -> None:
    """Send a workload, print what came back, and exit with 1 for a breach.

    Parameters
    ----------
    asked
        Workload, requests a second, seconds and seed.
    make_caller
        Returns what sends the tasks, over a session that outlives it.
    out
        File for one JSON line for each answer, empty for none.
    """
    workload, rate, seconds, seed = asked
    tasks = make_tasks(workload, rate, seconds, random.Random(seed))
    sent = asyncio.run(_send_all(tasks, make_caller))
    if out:
        _write_lines(Path(out), sent)
    sys.exit(_report([_to_line(each) for each in sent]))


async def _send_all(
    tasks: list[Task],
    make_caller: Callable[[aiohttp.ClientSession], TaskCaller],
) -> list[_Sent]:
    started = time.monotonic()
    timeout = aiohttp.ClientTimeout(total=_CLIENT_SECONDS)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        timeout=timeout, connector=connector
    ) as session:
        caller = make_caller(session)
        return await asyncio.gather(
            *(_send_at(started + task.at, caller, task) for task in tasks)
        )


async def _send_at(at: float, caller: TaskCaller, task: Task) -> _Sent:
    await asyncio.sleep(max(0, at - time.monotonic()))
    return _Sent(task, await caller.send(task))


def _to_line(sent: _Sent) -> Line:
    answer = sent.answer
    record = AnswerRecord(
        request=sent.task.name,
        tokens=tuple(answer.tokens),
        complete=answer.complete,
        kind=answer.error,
    )
    return Line(
        kind=sent.task.kind.name,
        status=answer.status,
        error=answer.error,
        ran=answer.ran,
        tokens=len(answer.tokens),
        attempts=answer.attempts,
        first_token=answer.first_token,
        largest_gap=answer.largest_gap,
        seconds=answer.seconds,
        faults=check_tokens([record]),
    )


def _write_lines(file: Path, sent: list[_Sent]) -> None:
    lines = [msgspec.json.encode(_to_line(each)) for each in sent]
    file.write_bytes(b'\n'.join(lines))


def _report(lines: list[Line]) -> int:
    """Print a line for each kind of request; return the exit code."""
    faults = [fault for line in lines for fault in line.faults]
    for kind in sorted({line.kind for line in lines}):
        _report_kind(kind, [line for line in lines if line.kind == kind])
    for fault in faults:
        sys.stdout.write(f'fault="{fault}"\n')
    sys.stdout.write(f'requests={len(lines)} faults={len(faults)}\n')
    return _BROKEN if faults else 0


def _report_kind(kind: str, lines: list[Line]) -> None:
    errors = Counter(line.error for line in lines if line.error)
    pairs = {
        'kind': kind,
        'requests': len(lines),
        'whole': len(lines) - errors.total(),
        'tokens': sum(line.tokens for line in lines),
        'errors': ','.join(f'{name}:{errors[name]}' for name in errors),
    }
    good = [line for line in lines if not line.error]
    for measure in ('first_token', 'largest_gap', 'seconds'):
        durations = Percentiles()
        for line in good:
            durations.record(getattr(line, measure))
        for percentile in _PERCENTILES:
            name = f'{measure}_p{percentile}'
            pairs[name] = round(durations.read(percentile), 4)
    shown = ' '.join(f'{name}={pair}' for name, pair in pairs.items())
    sys.stdout.write(f'{shown}\n')
