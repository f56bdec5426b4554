"""Keys are taken away until no tenant has one left.

Then requests come with a key that was taken away, with one that never was in
any configuration, and without any.
"""

import asyncio
import sys
from pathlib import Path

_HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(_HERE.parent / 'common'))

from requester import request_plain  # noqa: E402
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
_CONTACT = 3.0
_CONFIG_BOUND = 2.0
_TENANTS = 10
_VERSION_STEP = 7
_REVOKE_GAP = 0.3

_DESK = 'certdesk'
_ROUTE = {
    'name': 'cert-issue',
    'host': 'h.example',
    'path_prefix': '/issue/',
    'route_kind': 'non_idempotent',
    'timeout_ms': 4000,
    'goal_ms': 400,
    'priority': 2,
    'service': _DESK,
    'max_attempts': 1,
    'anonymous': False,
}
_LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 4194304,
    'header_timeout_ms': 5000,
    'idle_timeout_ms': 20000,
}


def _make_config(version: int, keys: dict[str, list[str]]) -> dict:
    return {
        'version': version,
        'routes': [_ROUTE],
        'services': [
            {'name': _DESK, 'health_path': '/healthz', 'max_connections': 110}
        ],
        'limits': _LIMITS,
        'tenants': [
            {'name': tenant, 'api_keys': held, 'priority': 1}
            for tenant, held in keys.items()
        ],
    }


async def play(stage: Stage) -> int:
    """Play the case; return whether the rule was broken."""
    keys = {f'tenant-{n}': [f'key-{n}'] for n in range(1, _TENANTS + 1)}
    version = 3
    await stage.open(_make_config(version, keys))
    desks = [
        Service(f'i-desk-{n}', _DESK, 'abertawe', stage, work_seconds=0.09)
        for n in (1, 2, 3)
    ]
    for number, desk in enumerate(desks):
        host = f'127.0.0.{number + 2}'
        address = f'{host}:{free_port(host)}'
        await desk.start(address, born=1_790_000_000_000 + number)
    entries = await stage.start_entries(['abertawe', 'caerdydd'])
    for entry in entries:
        await stage.wait_ready(entry['ready'])
    # All machines are in touch when keys are taken away.
    await asyncio.sleep(_CONTACT + 1)
    callers = entries[0]['callers']
    first = await request_plain(stage, callers, 'held', _ROUTE, 'key-1')
    unknown = await request_plain(stage, callers, 'before', _ROUTE, 'nobody')
    if (first, unknown) != (200, 401):
        raise NotRunError('keys are not checked as the page says')

    # Without the disruption the last tenant keeps its key.
    revoked = list(keys) if TROUBLE else list(keys)[:-1]
    for tenant in revoked:
        keys[tenant] = []
        version += _VERSION_STEP
        await stage.put('op/config', _make_config(version, keys))
        stage.record(f'operator: version {version} takes the key of {tenant}')
        await asyncio.sleep(_REVOKE_GAP)
    await asyncio.sleep(_CONFIG_BOUND + 1)
    for number, entry in enumerate(entries, 1):
        for attempt, key in (
            (f'dropped-{number}', 'key-1'),
            (f'unknown-{number}', 'never-held'),
            (f'keyless-{number}', ''),
        ):
            await request_plain(stage, entry['callers'], attempt, _ROUTE, key)
    stage.record_log('edge-1', 'table_in_force', 'refused')
    return _check(stage, desks)


def _check(stage: Stage, desks: list[Service]) -> int:
    """Return whether a request ran whose key no configuration ever held."""
    broken = False
    for desk in desks:
        for attempt, _path in desk.ran:
            if attempt.startswith(('unknown', 'keyless')):
                broken = True
                stage.record(f'check: ROUTE: {desk.name} ran {attempt}')
            elif attempt.startswith('dropped'):
                stage.record(f'check: CONFIG: {desk.name} ran {attempt}')
    stage.record(f'check: the rule {"was broken" if broken else "held"}')
    return EXIT_BROKEN if broken else EXIT_HELD


run_case(play, _HERE)
