"""Subsets at the planned size: how even they are, and control bytes."""

import random
from collections import Counter
from collections.abc import Iterator

from primrosewood import gen_wire as wire
from primrosewood.codec import serialise_frame
from primrosewood.gen_process import Timing
from primrosewood.gen_wire import Load
from primrosewood.selection import Candidate, select_subset

from .results import CaseResult

ENTRIES = 330
ENDPOINTS = 630
DOMAINS = 5
MODELS = 31
SUBSET = 4
CONTROL_BYTES = 4000
SERVER_HEADER = 2
CLIENT_HEADER = 6
_MOST_IMBALANCE = 1.6


def run_subsets() -> Iterator[CaseResult]:
    """Work the real selection over the planned identities."""
    links, load = _select()
    entry_links = sum(links.values()) / ENTRIES
    endpoint_links = sum(links.values()) / ENDPOINTS
    mean = sum(load.values()) / ENDPOINTS
    worst = max(load.values()) / mean
    yield CaseResult(
        'subset',
        {
            'links_of_an_entry': entry_links,
            'links_of_an_endpoint': endpoint_links,
            'uncovered': ENDPOINTS - len(links),
            'worst_to_mean_share': worst,
        },
        f'uncovered = 0, worst share <= {_MOST_IMBALANCE:g}',
        len(links) == ENDPOINTS and worst <= _MOST_IMBALANCE,
    )
    yield _control('entry', entry_links)
    yield _control('endpoint', endpoint_links)


def _select() -> tuple[Counter, Counter]:
    """Return links and even shares of the work for each endpoint.

    An entry shares a service's work over its subset evenly here, which is
    the worst that selection alone does; the choice by load then evens out.
    """
    source = random.Random(1)
    services: dict[int, list[Candidate]] = {}
    for number in range(ENDPOINTS):
        service = number % MODELS
        domain = f'd{source.randrange(DOMAINS)}'
        services.setdefault(service, []).append(
            Candidate(f'endpoint-{number}', domain)
        )
    links: Counter = Counter()
    load: Counter = Counter()
    for number in range(ENTRIES):
        for group in services.values():
            chosen = select_subset(f'entry-{number}', group, SUBSET)
            for name in chosen:
                links[name] += 1
                load[name] += 1 / len(chosen)
    return links, load


def _control(role: str, links: float) -> CaseResult:
    """Return the worst case: every load changes much every second."""
    quiet = len(serialise_frame([wire.Heartbeat(0xFFFFFFFF, None)]))
    load = Load(running=30, queued=9, limit=64, memory=900)
    busy = len(serialise_frame([wire.Heartbeat(0xFFFFFFFF, load)]))
    told = (busy + SERVER_HEADER) / Timing().heartbeat_seconds
    heard = (quiet + CLIENT_HEADER) / Timing().quiet_heartbeat_seconds
    rate = links * (told + heard)
    return CaseResult(
        f'control_bytes_{role}',
        {
            'heartbeat_bytes': busy,
            'bytes_s_both_ways': rate,
            'planned': CONTROL_BYTES,
        },
        f'bytes_s_both_ways <= {CONTROL_BYTES}',
        rate <= CONTROL_BYTES,
    )
