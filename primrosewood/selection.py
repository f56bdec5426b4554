"""Selects the endpoints of a service that an entry connects to."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

__all__ = ('Candidate', 'select_subset')

_HASH_BITS = 64
_HASH_RANGE = 1 << _HASH_BITS


@dataclass(frozen=True, slots=True)
class Candidate:
    """The properties of an endpoint that the selection uses."""

    name: str
    failure_domain: str


def select_subset(
    entry: str, endpoints: Iterable[Candidate], size: int
) -> list[str]:
    """Choose endpoints by rendezvous hashing, spread over failure domains.

    Each failure domain contributes to the subset in proportion to its number
    of endpoints, so that all endpoints are chosen by about the same number of
    entries. Systematic sampling with a start at the entry's hash rounds the
    fractional counts. Within a failure domain an endpoint's rank does not
    depend on the other endpoints, so a change of membership moves few
    connections.

    Parameters
    ----------
    entry
        Name of the entry.
    endpoints
        Endpoints of one service.
    size
        Intended size of the subset; rounding may change it by one.

    Returns
    -------
    list of str
        Names of the chosen endpoints, sorted.
    """
    domains: dict[str, list[str]] = {}
    for endpoint in endpoints:
        members = domains.setdefault(endpoint.failure_domain, [])
        members.append(endpoint.name)
    total = sum(len(members) for members in domains.values())
    fraction = min(1, size / total) if total else 0
    position = _hash(entry) / _HASH_RANGE
    chosen: list[str] = []
    for domain in sorted(domains):
        members = domains[domain]
        before = math.floor(position)
        position += len(members) * fraction
        chosen += _first_ranked(entry, members, math.floor(position) - before)
    return sorted(chosen)


def _first_ranked(entry: str, members: list[str], count: int) -> list[str]:
    ranked = sorted(members, key=lambda name: _hash(f'{entry}/{name}'))
    return ranked[:count]


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
