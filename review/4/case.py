"""Addresses of crashed engines are used again by another model service.

Is a request of the one service run by an engine of the other?
"""

import asyncio
import os
import secrets
import signal
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-2'))

from lab import (  # noqa: E402
    call,
    engine_service,
    make_route,
    run_case,
    stream_headers,
)

# Engines of the service "guide" at first, of which the first ones crash.
ENGINES = 9
REPLACED = 8
# Three heartbeats of 1.2 s: then the platform removes the record.
RECORD_SECONDS = 3.6
# The address is used again after 4 s; `reuse_after_s` is 2.
REUSE_SECONDS = 4.0
SETTLE_SECONDS = 2.0
# Generations of hw-vloot: 13 a second, as its file has them.
REQUEST_SECONDS = {'guide': 0.08, 'label': 1.0}
EVENTS = 20


async def play(lab):
    """Play the case; return whether the rule was broken."""
    engines = []
    for number in range(1, ENGINES + 2):
        service = 'guide' if number <= ENGINES else 'label'
        engine = await lab.start_server(number, events=EVENTS, pause=0.04)
        await lab.start_endpoint(
            number, service, engine.address, engine.options['host']
        )
        lab.register(engine, service, 24)
        engines.append(engine)
    lab.services = [engine_service('guide'), engine_service('label')]
    lab.routes = [
        make_route(
            name,
            f'/{name}/',
            'streaming',
            name,
            39000,
            1800,
            gap_aim_ms=180,
            sticky=True,
        )
        for name in ('guide', 'label')
    ]
    lab.configure()
    entry = await lab.start_entry(1)
    await lab.wait_ready(entry)
    # From here on the entry is in touch.
    await asyncio.sleep(4)
    wanted = {}
    outcomes = Counter()
    requests = []
    over = asyncio.Event()

    async def request(service):
        attempt = secrets.token_hex(8)
        wanted[attempt] = service
        answer = await call(
            entry.front,
            'POST',
            f'/{service}/x',
            stream_headers(attempt, (300, 4 * EVENTS)),
            b'x' * 600,
        )
        seal = answer['headers'].get('primrosewood-response-seal', '')
        lab.note(
            f'{attempt} for {service}: {answer["status"]}, whole: '
            f'{answer["whole"]}, by {seal.partition(".")[0]}'
        )
        outcomes[service, answer['status'], answer['whole']] += 1

    async def send(service):
        while not over.is_set():
            requests.append(asyncio.create_task(request(service)))
            await asyncio.sleep(REQUEST_SECONDS[service])

    async def replace(number):
        """Crash an engine, and start one of the other service in its place."""
        old = engines[number]
        old.send_signal(signal.SIGKILL)
        await old.wait()
        lab.note(f'{old.options["name"]} has crashed')
        await asyncio.sleep(RECORD_SECONDS)
        lab.store.remove(f'servers/{old.options["name"]}')
        lab.note(f'the record of {old.options["name"]} is removed')
        await asyncio.sleep(REUSE_SECONDS - RECORD_SECONDS)
        new = {
            'name': f'i-{number + 21}',
            'host': old.options['host'],
            'born': 1_790_000_100_000 + number,
        }
        server = await lab.start_server(
            number + 21, events=EVENTS, pause=0.04, **new
        )
        # It registers as soon as it listens.
        lab.register(server, 'label', 24)
        lab.note(
            f'{new["name"]} of label listens at the address of '
            f'{old.options["name"]} and has registered'
        )
        await asyncio.sleep(SETTLE_SECONDS)

    senders = [asyncio.create_task(send(name)) for name in REQUEST_SECONDS]
    await asyncio.sleep(3)
    for number in range(REPLACED):
        if lab.trouble:
            await replace(number)
        else:
            await asyncio.sleep(REUSE_SECONDS + SETTLE_SECONDS)
    over.set()
    await asyncio.gather(*senders)
    await asyncio.gather(*requests)
    guides = {f'i-{number}' for number in range(1, ENGINES + 1)}
    wrong = 0
    for row in lab.read_ran():
        if row['what'] != 'ran':
            continue
        service = 'guide' if row['server'] in guides else 'label'
        if wanted.get(row['id']) != service:
            wrong += 1
            lab.note(
                f'{row["server"]} of {service} ran {row["id"]} for '
                f'{wanted.get(row["id"])}, {row["path"]}'
            )
    for line in lab.read_log('edge-1').splitlines():
        if 'endpoint_announced' in line or 'endpoint_changed' in line:
            lab.note(line.partition('event=')[2])
    for outcome, number in sorted(outcomes.items()):
        lab.note(f'{number} answers: {outcome}')
    lab.note(f'{wrong} requests were run by the other service')
    print(f'{wrong} requests run by the other service;', dict(outcomes))
    return wrong > 0


# What was sent, answered and run goes to record.txt.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
run_case(play, FOLDER / 'record.txt', TROUBLE)
