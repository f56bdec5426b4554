"""Bytes and time that a change of the route table takes to reach an entry."""

import json
import time
from collections.abc import Iterator

from primrosewood import gen_wire as wire
from primrosewood.codec import serialise_frame
from primrosewood.patches import apply_patch, make_patch

from .results import CaseResult

_ROUTE_COUNTS = (100, 1_900, 10_000)
_LINK_BITS_PER_SECOND = 10_000_000
_BITS_PER_BYTE = 8
# Maximum size of a patch for one changed route, as a share of the whole table.
_MAX_PATCH_SHARE = 0.05


def run_table_change() -> Iterator[CaseResult]:
    """Measure a change of one route, sent as the whole table and as a patch."""
    for count in _ROUTE_COUNTS:
        older, newer = _make_table(count, 1), _make_table(count, 2)
        started_at = time.process_time()
        patch = make_patch(older, newer)
        make_seconds = time.process_time() - started_at
        apply_patch(older, patch.inserted, patch.copies)
        apply_seconds = time.process_time() - started_at - make_seconds
        copies = [list(row) for row in patch.copies]
        whole_bytes = _count_frame_bytes(wire.StoredPair('t', 2, False, newer))
        patch_bytes = _count_frame_bytes(
            _make_patch_pair(patch.inserted, copies)
        )
        yield CaseResult(
            'table_change',
            {
                'routes': count,
                'whole_bytes': whole_bytes,
                'patch_bytes': patch_bytes,
                'whole_line_seconds': whole_bytes
                * _BITS_PER_BYTE
                / _LINK_BITS_PER_SECOND,
                'patch_line_seconds': patch_bytes
                * _BITS_PER_BYTE
                / _LINK_BITS_PER_SECOND,
                'make_seconds': make_seconds,
                'apply_seconds': apply_seconds,
            },
            f'patch_bytes <= {_MAX_PATCH_SHARE:g} of whole_bytes',
            patch_bytes <= whole_bytes * _MAX_PATCH_SHARE,
        )


def _make_table(count: int, version: int) -> bytes:
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


def _make_patch_pair(
    inserted: bytes, copies: list[list[int]]
) -> wire.StoredPair:
    return wire.StoredPair(
        key='t',
        revision=2,
        deleted=False,
        stored=inserted,
        base=1,
        copies=copies,
    )


def _count_frame_bytes(pair: wire.StoredPair) -> int:
    return len(serialise_frame([wire.PairsUpdate('', 1, 2, [pair])]))
