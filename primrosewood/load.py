"""Load tool: sends a workload, records the answers and checks them."""

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
from .metrics import DurationHistogram
from .workloads import Task, make_tasks, workload_names

__all__ = ('LoadTool', 'main', 'run_workload', 'split_urls')

_PERCENTILES = (50, 95, 99, 99.9)
_EXIT_FAULTS_FOUND = 1
_REQUEST_TIMEOUT_SECONDS = 600


@dataclass(frozen=True, slots=True)
class _CompletedTask:
    task: Task
    answer: CallerAnswer


class LoadTool:
    r"""Send generations and service calls to entries and measure the answers.

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
        """Send a workload and print a summary of the answers.

        Exits with 1 if an answer breaks an invariant.

        Parameters
        ----------
        urls
            URLs of entries, separated by commas; a retry goes to the next one.
        key
            API key of the organisation.
        workload
            Name of a workload that `workloads` prints.
        rate
            Mean number of requests sent in a second; sending does not wait for
            answers (open loop).
        seconds
            How long requests are sent.
        seed
            Seed of times, kinds and lengths; the same seed sends the same
            requests.
        out
            File that gets one JSON line for each answer.
        """
        settings = CallerSettings(split_urls(urls), key)
        run_workload(
            (workload, rate, seconds, seed),
            lambda session: Caller(session, settings),
            out,
        )

    def report(self, file: str) -> None:
        """Print the summary of a file that `run` wrote.

        Exits with 1 if an answer breaks an invariant.
        """
        lines = Path(file).read_bytes().splitlines()
        decoded = [msgspec.json.decode(line, type=AnswerLine) for line in lines]
        sys.exit(_print_summary(decoded))


class AnswerLine(msgspec.Struct):
    """One line of a file of answers.

    Attributes
    ----------
    kind
        Name of the kind of request.
    status
        HTTP status of the last attempt.
    error, ran
        Error kind of the last attempt, and whether the request ran.
    tokens
        Number of tokens received.
    attempts
        Number of attempts.
    first_token
        Seconds from the first attempt to the first token.
    largest_gap
        Longest time in seconds between two chunks of a stream.
    seconds
        Seconds from the first attempt to the end of the last one.
    faults
        Messages about invariants that the answer breaks.
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
    """Run the program ``primrosewood-load``."""
    fire.Fire(LoadTool(), name='primrosewood-load')


def split_urls(urls: str | tuple[str, ...]) -> tuple[str, ...]:
    """Return the URLs in the value of a flag, without trailing slashes."""
    # Fire may have parsed a value with commas into a tuple.
    url_list = urls.split(',') if isinstance(urls, str) else urls
    return tuple(url.strip().rstrip('/') for url in url_list)


def run_workload(
    options: tuple[str, float, float, int],
    make_caller: Callable[[aiohttp.ClientSession], TaskCaller],
    out: str,
) -> None:
    """Send a workload, print a summary of the answers, and exit.

    The exit code is 1 if an answer breaks an invariant.

    Parameters
    ----------
    options
        Name of the workload, requests per second, seconds and seed.
    make_caller
        Returns the caller that sends the tasks, for a session that is closed
        after all of them.
    out
        File that gets one JSON line for each answer, empty for none.
    """
    workload, rate, seconds, seed = options
    tasks = make_tasks(workload, rate, seconds, random.Random(seed))
    completed = asyncio.run(_send_all(tasks, make_caller))
    if out:
        _write_answers(Path(out), completed)
    sys.exit(_print_summary([_make_answer_line(each) for each in completed]))


async def _send_all(
    tasks: list[Task],
    make_caller: Callable[[aiohttp.ClientSession], TaskCaller],
) -> list[_CompletedTask]:
    started = time.monotonic()
    timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_SECONDS)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        timeout=timeout, connector=connector
    ) as session:
        caller = make_caller(session)
        return await asyncio.gather(
            *(_send_at_time(started + task.at, caller, task) for task in tasks)
        )


async def _send_at_time(
    at: float, caller: TaskCaller, task: Task
) -> _CompletedTask:
    await asyncio.sleep(max(0, at - time.monotonic()))
    return _CompletedTask(task, await caller.send(task))


def _make_answer_line(completed: _CompletedTask) -> AnswerLine:
    answer = completed.answer
    record = AnswerRecord(
        request=completed.task.name,
        tokens=tuple(answer.tokens),
        complete=answer.complete,
        kind=answer.error,
    )
    return AnswerLine(
        kind=completed.task.kind.name,
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


def _write_answers(file: Path, completed: list[_CompletedTask]) -> None:
    lines = [msgspec.json.encode(_make_answer_line(each)) for each in completed]
    file.write_bytes(b'\n'.join(lines))


def _print_summary(lines: list[AnswerLine]) -> int:
    """Print a line for each kind of request and return the exit code."""
    faults = [fault for line in lines for fault in line.faults]
    for kind in sorted({line.kind for line in lines}):
        _print_kind_summary(kind, [line for line in lines if line.kind == kind])
    for fault in faults:
        sys.stdout.write(f'fault="{fault}"\n')
    sys.stdout.write(f'requests={len(lines)} faults={len(faults)}\n')
    return _EXIT_FAULTS_FOUND if faults else 0


def _print_kind_summary(kind: str, lines: list[AnswerLine]) -> None:
    errors = Counter(line.error for line in lines if line.error)
    fields = {
        'kind': kind,
        'requests': len(lines),
        'whole': len(lines) - errors.total(),
        'tokens': sum(line.tokens for line in lines),
        'errors': ','.join(f'{name}:{errors[name]}' for name in errors),
    }
    successful = [line for line in lines if not line.error]
    for measure in ('first_token', 'largest_gap', 'seconds'):
        histogram = DurationHistogram()
        for line in successful:
            histogram.record(getattr(line, measure))
        for percentile in _PERCENTILES:
            key = f'{measure}_p{percentile}'
            fields[key] = round(histogram.percentile(percentile), 4)
    text = ' '.join(f'{key}={value}' for key, value in fields.items())
    sys.stdout.write(f'{text}\n')
