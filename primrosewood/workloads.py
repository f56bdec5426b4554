"""Workloads modelled on those of users: kinds, rates, lengths of requests."""

from collections.abc import Sequence
from dataclasses import dataclass
from importlib import resources
from random import Random

import msgspec

__all__ = ('Kind', 'Task', 'make_tasks', 'workload_names')

_MAX_LENGTH_TOKENS = 30_000
_NAME_RANDOM_BITS = 48


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request in a workload.

    Attributes
    ----------
    name
        Name of the kind.
    weight
        Frequency relative to the workload's other kinds.
    middle, spread
        Parameters of the log-normal distribution of lengths: median in tokens,
        and standard deviation of the logarithm.
    streamed
        Whether the answer is streamed.
    path
        Path below ``/services/`` of a call to a plain service, empty for a
        generation.
    method
        HTTP method of such a call.
    keyed
        Whether the request has an idempotency key.
    """

    name: str
    weight: float
    middle: int = 0
    spread: float = 0
    streamed: bool = False
    path: str = ''
    method: str = ''
    keyed: bool = False


@dataclass(frozen=True, slots=True)
class Task:
    """One request of a workload.

    Attributes
    ----------
    name
        Unique name of the request.
    kind
        Kind of the request.
    at
        Seconds from the start of the workload to the arrival.
    length
        Length of the answer in tokens.
    """

    name: str
    kind: Kind
    at: float
    length: int


def workload_names() -> list[str]:
    """Return the sorted names of the workloads."""
    return sorted(_read_workloads())


def make_tasks(
    workload: str, rate: float, seconds: float, random: Random
) -> list[Task]:
    """Return the requests of a workload in order of arrival.

    Arrivals form a Poisson process.

    Parameters
    ----------
    workload
        Name of the workload.
    rate
        Mean number of arrivals per second.
    seconds
        Duration of the workload.
    random
        Source of times, kinds, lengths and names.
    """
    kinds = _read_workloads()[workload]
    tasks = []
    at = random.expovariate(rate)
    while at < seconds:
        tasks.append(_make_task(at, kinds, random))
        at += random.expovariate(rate)
    return tasks


def _read_workloads() -> dict[str, list[Kind]]:
    file = resources.files(__package__).joinpath('schema', 'workloads.json')
    return msgspec.json.decode(file.read_bytes(), type=dict[str, list[Kind]])


def _make_task(at: float, kinds: Sequence[Kind], random: Random) -> Task:
    weights = [kind.weight for kind in kinds]
    kind = random.choices(kinds, weights)[0]
    length = kind.middle * random.lognormvariate(0, kind.spread)
    name = f'{kind.name}-{random.getrandbits(_NAME_RANDOM_BITS):x}'
    return Task(name, kind, at, max(1, min(_MAX_LENGTH_TOKENS, int(length))))
