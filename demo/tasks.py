"""Sends one request of each kind, and one reorder twice, and checks them.

Arguments: the base URLs of both entries, the organisation's key, and the base
URL of the plain service, whose history of calls is read.
"""

import asyncio
import json
import sys
import urllib.request

import aiohttp

from primrosewood.caller import Caller, CallerAnswer, CallerSettings
from primrosewood.invariants import (
    AnswerRecord,
    History,
    RunRecord,
    check_history,
)
from primrosewood.workloads import Kind, Task

TASKS = (
    Task('batch-4711', Kind('certificate', 1, streamed=True), 0, 700),
    Task('carp-season', Kind('guide', 1, streamed=True), 0, 2500),
    Task('crate-label', Kind('label', 1), 0, 12),
    Task(
        'stock-of-reels',
        Kind('lookup', 1, path='reorders/stock/reels', method='GET'),
        0,
        0,
    ),
)
REORDER = Task(
    'reorder-0815',
    Kind('reorder', 1, path='reorders/reorders', method='POST', keyed=True),
    0,
    0,
)


async def _send_all(
    first_url: str, second_url: str, key: str
) -> list[CallerAnswer]:
    async with aiohttp.ClientSession() as session:
        caller = Caller(session, CallerSettings((first_url, second_url), key))
        other = Caller(session, CallerSettings((second_url, first_url), key))
        return await asyncio.gather(
            *(caller.send(task) for task in TASKS),
            caller.send(REORDER),
            other.send(REORDER),
        )


def _show(task: Task, answer: CallerAnswer) -> None:
    excerpt = answer.body[:90] or ' '.join(answer.tokens[:4]) + ' ...'
    sys.stdout.write(
        f'task={task.name} status={answer.status} tokens={len(answer.tokens)} '
        f'attempts={answer.attempts} error={answer.error or "-"} '
        f'answer="{excerpt}"\n'
    )


def _read_runs(service_url: str) -> list[RunRecord]:
    with urllib.request.urlopen(f'{service_url}/history') as response:
        runs = json.load(response)['runs']
    return [
        RunRecord(run['attempt'], 'reorders-1', 'abertawe', run['at'], 'key')
        for run in runs
        if run['method'] == 'POST'
    ]


def main(first_url: str, second_url: str, key: str, service_url: str) -> None:
    """Send the tasks; exit with 1 when an invariant is violated."""
    answers = asyncio.run(_send_all(first_url, second_url, key))
    sent = [*TASKS, REORDER, REORDER]
    for task, answer in zip(sent, answers, strict=True):
        _show(task, answer)
    records = [
        AnswerRecord(
            f'{task.name}/{number}',
            tuple(answer.tokens),
            answer.complete,
            answer.error,
        )
        for number, (task, answer) in enumerate(zip(sent, answers, strict=True))
    ]
    breaches = check_history(History(records, _read_runs(service_url)))
    breaches += [
        f'{task.name}: {answer.error}'
        for task, answer in zip(sent, answers, strict=True)
        if not answer.complete or len(answer.tokens) != task.length
    ]
    if answers[-1].body != answers[-2].body:
        breaches.append('the two calls of the reorder got different answers')
    for breach in breaches:
        sys.stdout.write(f'breach="{breach}"\n')
    sys.exit(1 if breaches else 0)


main(*sys.argv[1:])
