"""Bytes and time that a change of the operators' routes takes to an entry."""

import json
import time
from collections.abc import Iterator

from primrosewood import gen_wire as wire
from primrosewood.codec import serialise_frame
from primrosewood.patches import apply_patch, make_patch

from .lines import Line

_ROUTES = (100, 1_900, 10_000)
_LINE_BITS_A_SECOND = 10_000_000
_BITS = 8
# A change of one route may not cost more than this share of the table.
_MOST_SHARE = 0.05


def run_table_change() -> Iterator[Line]:
    """Measure a change of one route, told whole and as a difference."""
    for count in _ROUTES:
        older, newer = _table(count, 1), _table(count, 2)
        began = time.process_time()
        patch = make_patch(older, newer)
        made = time.process_time() - began
        apply_patch(older, patch.inserted, patch.copies)
        applied = time.process_time() - began - made
        rows = [list(row) for row in patch.copies]
        whole = _size(wire.StoredPair('t', 2, False, newer))
        part = _size(_patched(patch.inserted, rows))
        yield Line(
            'table_change',
            {
                'routes': count,
                'whole_bytes': whole,
                'patch_bytes': part,
                'whole_line_seconds': whole * _BITS / _LINE_BITS_A_SECOND,
                'patch_line_seconds': part * _BITS / _LINE_BITS_A_SECOND,
                'make_seconds': made,
                'apply_seconds': applied,
            },
            f'patch_bytes <= {_MOST_SHARE:g} of whole_bytes',
            part <= whole * _MOST_SHARE,
        )


def _table(count: int, version: int) -> bytes:
    routes = [
        {
            'name': f'route-{number}',
            'host': f'host{number % 10}.example',
            'path_prefix': f'/path{number}/',
            'kind': 'idempotent',
            'timeout': 4000,
            'objective': 400,
            'targets': [f'service-{number % 5}'],
            'max_endpoints': 2,
        }
        for number in range(count)
    ]
    routes[count // 2]['timeout'] = version
    return json.dumps({'version': version, 'routes': routes}).encode()


def _patched(fresh: bytes, rows: list[list[int]]) -> wire.StoredPair:
    return wire.StoredPair(
        key='t', revision=2, deleted=False, stored=fresh, base=1, copies=rows
    )


def _size(pair: wire.StoredPair) -> int:
    return len(serialise_frame([wire.PairsTold('', 1, 2, [pair])]))
