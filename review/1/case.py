"""A stream goes on at an address that another service has taken over.

An engine leaves, and its generation is copied to a target. The notice of the
move comes after the entry has begun the stream anew on a third engine. The
target is lost, its address goes to an engine of another service, and then the
third engine crashes.
"""

import asyncio
import sys
from pathlib import Path

_HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(_HERE.parent / 'common'))

from engine import Engine, KvCopy, Pace  # noqa: E402
from requester import request_stream  # noqa: E402
from service import Service  # noqa: E402
from stage import (  # noqa: E402
    EXIT_BROKEN,
    EXIT_HELD,
    TROUBLE,
    NotRunError,
    Stage,
    free_port,
    run_case,
)

# Bounds of the site, in seconds.
_REUSE_AFTER = 2.0
_CONTACT = 3.0
_DRAIN = 2.0

_DRAFTING = 'primrose-drafting'
_REGISTRY = 'cert-registry'
_VERDICT_ROUTE = {
    'name': 'compliance-verdict',
    'host': 'h.example',
    'path_prefix': '/verdict/',
    'route_kind': 'streaming',
    'timeout_ms': 6000,
    'goal_ms': 1500,
    'gap_aim_ms': 180,
    'priority': 0,
    'service': _DRAFTING,
    'max_attempts': 2,
    'anonymous': False,
    'sticky': True,
    'resumable': True,
}
_ISSUE_ROUTE = {
    'name': 'cert-issue',
    'host': 'h.example',
    'path_prefix': '/issue/',
    'route_kind': 'non_idempotent',
    'timeout_ms': 600,
    'goal_ms': 125,
    'priority': 2,
    'service': _REGISTRY,
    'max_attempts': 1,
    'anonymous': False,
}
_CONFIG = {
    'version': 3,
    'routes': [_VERDICT_ROUTE, _ISSUE_ROUTE],
    'services': [
        {
            'name': _DRAFTING,
            'health_path': '/healthz',
            'max_connections': 372,
            'cold_start_s': 1.0,
            'cold_per_s': 28.0,
            'engine': {
                'slots': 48,
                'kv_capacity': 34525,
                'kv_token_bytes': 18432,
                'link_mbps': 2700.0,
                'moves': True,
                'stride': 4,
                'handle_ttl_s': 5.0,
            },
        },
        {'name': _REGISTRY, 'health_path': '/healthz', 'max_connections': 100},
    ],
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 4194304,
        'header_timeout_ms': 5000,
        'idle_timeout_ms': 20000,
    },
    'tenants': [{'name': 'o1', 'api_keys': ['key-1']}],
}


async def play(stage: Stage) -> int:
    """Play the case; return whether the rule was broken."""
    await stage.open(_CONFIG)
    engines = _make_engines(stage)
    for number, engine in enumerate(engines):
        await engine.start(born=1_790_000_000_000 + number)
    registry = Service('i-registry-1', _REGISTRY, 'tln-b', stage)
    address = f'127.0.0.5:{free_port("127.0.0.5")}'
    await registry.start(address, born=1_790_000_000_009)
    entries = await stage.start_entries(['tln-a', 'tln-b'])
    for engine in engines:
        place = {'service': engine.service, 'zone': engine.zone}
        await stage.start_endpoint(engine.name, engine.address, place)
    for entry in entries:
        await stage.wait_ready(entry['ready'])
    # All machines are in touch when the request comes.
    await asyncio.sleep(_CONTACT + 1)
    call = asyncio.create_task(
        request_stream(
            stage,
            entries[0]['callers'],
            'attempt-1',
            _VERDICT_ROUTE,
            '2200,64',
        )
    )
    newcomer = Service('i-registry-2', _REGISTRY, 'tln-a', stage)
    if TROUBLE:
        await _disrupt(stage, engines, newcomer)
    await asyncio.wait_for(call, 15)
    stage.record_log('edge-1', 'sent', 'send_failed', 'resumed', 'call_failed')
    return _check(stage, [*engines, registry, newcomer])


def _make_engines(stage: Stage) -> list[Engine]:
    """Return the engine that leaves, the target, and the third engine.

    The first one is the emptiest. The target has most free memory, but is
    reading a long prompt, so that the third one is chosen before it.
    """
    copies: dict[str, KvCopy] = {}
    hosts = ('127.0.0.2', '127.0.0.3', '127.0.0.4')
    common = {
        'service': _DRAFTING,
        'stage': stage,
        'copies': copies,
        'events': 16,
        'slots': 48,
        'kv_total': 34525,
    }
    leaving, target, third = (f'{host}:{free_port(host)}' for host in hosts)
    # A crowded engine takes seconds to the first event.
    slow = Pace(first_event=5.0) if TROUBLE else Pace()
    return [
        Engine(name='i-leaving', zone='tln-a', address=leaving, **common),
        Engine(
            name='i-target',
            zone='tln-a',
            address=target,
            unread_tokens=6000,
            **common,
        ),
        Engine(
            name='i-third',
            zone='tln-b',
            address=third,
            other_runs=(6600, 6600, 6600),
            pace=slow,
            **common,
        ),
    ]


async def _disrupt(
    stage: Stage, engines: list[Engine], newcomer: Service
) -> None:
    leaving, target, third = engines
    await asyncio.sleep(0.25)
    if not leaving.ran:
        raise NotRunError('another engine was chosen first')
    await leaving.drain(_DRAIN + 2)
    await asyncio.wait_for(leaving.moved.wait(), 3)
    if not third.ran:
        raise NotRunError('the stream was not begun anew on the third engine')
    await asyncio.sleep(0.1)
    target.end('is lost with its machine')
    stage.kill(f'side-{target.name}')
    await asyncio.sleep(_REUSE_AFTER)
    await newcomer.start(target.address, born=1_790_000_100_000)
    # Entries learn of the new record within config_ms.
    await asyncio.sleep(1.5)
    third.end('crashes')


def _check(stage: Stage, back_ends: list[Engine | Service]) -> int:
    """Return whether a service has run what no route leads to it."""
    prefixes = {
        route['service']: route['path_prefix'] for route in _CONFIG['routes']
    }
    broken = False
    for back_end in back_ends:
        for attempt, path in back_end.ran:
            if not path.startswith(prefixes[back_end.service]):
                broken = True
                stage.record(
                    f'check: ROUTE: {back_end.name} of {back_end.service} ran '
                    f'{attempt} {path}'
                )
    stage.record(f'check: the rule {"was broken" if broken else "held"}')
    return EXIT_BROKEN if broken else EXIT_HELD


run_case(play, _HERE)
