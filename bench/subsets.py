"""Evenness of endpoint subsets and control traffic at the planned size."""

import random
from collections import Counter
from collections.abc import Iterator

from primrosewood import gen_wire as wire
from primrosewood.codec import serialise_frame
from primrosewood.gen_process import Timing
from primrosewood.gen_wire import Load
from primrosewood.selection import Candidate, select_subset

from .results import CaseResult

ENTRY_COUNT = 330
ENDPOINT_COUNT = 630
DOMAIN_COUNT = 5
MODEL_COUNT = 31
SUBSET_SIZE = 4
MAX_CONTROL_BYTES_PER_SECOND = 4000
SERVER_FRAME_HEADER_BYTES = 2
CLIENT_FRAME_HEADER_BYTES = 6
_MAX_IMBALANCE = 1.6


def run_subsets() -> Iterator[CaseResult]:
    """Select the subsets of all entries, and compute the control traffic."""
    links, shares = _select_subsets()
    entry_links = sum(links.values()) / ENTRY_COUNT
    endpoint_links = sum(links.values()) / ENDPOINT_COUNT
    mean_share = sum(shares.values()) / ENDPOINT_COUNT
    worst_to_mean = max(shares.values()) / mean_share
    yield CaseResult(
        'subset',
        {
            'links_of_an_entry': entry_links,
            'links_of_an_endpoint': endpoint_links,
            'uncovered': ENDPOINT_COUNT - len(links),
            'worst_to_mean_share': worst_to_mean,
        },
        f'uncovered = 0, worst share <= {_MAX_IMBALANCE:g}',
        len(links) == ENDPOINT_COUNT and worst_to_mean <= _MAX_IMBALANCE,
    )
    yield _compute_control_traffic('entry', entry_links)
    yield _compute_control_traffic('endpoint', endpoint_links)


def _select_subsets() -> tuple[Counter, Counter]:
    """Return the number of links and the share of work of each endpoint.

    Each entry spreads the work of a service evenly over its subset. This is
    the imbalance of subset selection alone; load-based choice reduces it.
    """
    random_source = random.Random(1)
    services: dict[int, list[Candidate]] = {}
    for number in range(ENDPOINT_COUNT):
        service = number % MODEL_COUNT
        domain = f'd{random_source.randrange(DOMAIN_COUNT)}'
        services.setdefault(service, []).append(
            Candidate(f'endpoint-{number}', domain)
        )
    links: Counter = Counter()
    shares: Counter = Counter()
    for number in range(ENTRY_COUNT):
        for candidates in services.values():
            chosen = select_subset(f'entry-{number}', candidates, SUBSET_SIZE)
            for name in chosen:
                links[name] += 1
                shares[name] += 1 / len(chosen)
    return links, shares


def _compute_control_traffic(role: str, links: float) -> CaseResult:
    """Compute the worst case, where each heartbeat carries a changed load."""
    plain_heartbeat_bytes = len(
        serialise_frame([wire.Heartbeat(0xFFFFFFFF, None)])
    )
    load = Load(running=30, queued=9, limit=64, memory=900)
    load_heartbeat_bytes = len(
        serialise_frame([wire.Heartbeat(0xFFFFFFFF, load)])
    )
    endpoint_rate = (
        load_heartbeat_bytes + SERVER_FRAME_HEADER_BYTES
    ) / Timing().heartbeat_seconds
    entry_rate = (
        plain_heartbeat_bytes + CLIENT_FRAME_HEADER_BYTES
    ) / Timing().quiet_heartbeat_seconds
    total_rate = links * (endpoint_rate + entry_rate)
    return CaseResult(
        f'control_bytes_{role}',
        {
            'heartbeat_bytes': load_heartbeat_bytes,
            'bytes_s_both_ways': total_rate,
            'planned': MAX_CONTROL_BYTES_PER_SECOND,
        },
        f'bytes_s_both_ways <= {MAX_CONTROL_BYTES_PER_SECOND}',
        total_rate <= MAX_CONTROL_BYTES_PER_SECOND,
    )
