"""Load-balancing policies: choose an endpoint from delayed load reports."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from types import MappingProxyType
from typing import Protocol

import xxhash

from .clock import RandomSource
from .membership import EndpointView

__all__ = (
    'POLICIES',
    'Choice',
    'LeastOutstanding',
    'Policy',
    'PressurePolicy',
    'RoundRobin',
    'RoutingInput',
    'TwoChoices',
    'make_policy',
)

_SAMPLE_SIZE = 4
_PREFIX_CHARACTERS = 256
_MAX_PREFIXES = 4096
_AFFINITY_SLACK = 0.25
_FULL_MEMORY = 1000  # endpoints report memory in thousandths of capacity


@dataclass(frozen=True, slots=True)
class RoutingInput:
    """Properties of a request that a policy may use.

    Attributes
    ----------
    organisation
        Full name of the caller's organisation.
    prompt
        Prompt of a generation, empty for a call of a plain service.
    """

    organisation: str
    prompt: str = ''


@dataclass(frozen=True, slots=True)
class Choice:
    """A chosen endpoint.

    Attributes
    ----------
    endpoint
        The endpoint that gets the offer.
    why
        Reason for the choice, as it is logged.
    seen
        Number of endpoints that were compared.
    """

    endpoint: EndpointView
    why: str
    seen: int


class Policy(Protocol):
    """A load-balancing policy; ``usable`` is never empty."""

    def choose(
        self, usable: Sequence[EndpointView], routing_input: RoutingInput
    ) -> Choice:
        """Return the endpoint that gets the offer."""


class RoundRobin:
    """Chooses each endpoint in turn."""

    def __init__(self, random: RandomSource) -> None:
        """Start at a random position, so that entries choose differently."""
        self._next = int(random.random() * _MAX_PREFIXES)

    def choose(
        self, usable: Sequence[EndpointView], routing_input: RoutingInput
    ) -> Choice:
        """Return the endpoint that gets the offer."""
        self._next = (self._next + 1) % len(usable)
        return Choice(usable[self._next], 'turn', len(usable))


class LeastOutstanding:
    """Chooses the endpoint with the fewest open attempts of this entry."""

    def __init__(self, random: RandomSource) -> None:
        """Use the random source to break ties."""
        self._random = random

    def choose(
        self, usable: Sequence[EndpointView], routing_input: RoutingInput
    ) -> Choice:
        """Return the endpoint that gets the offer."""
        least = min(
            usable, key=lambda view: (view.outstanding, self._random.random())
        )
        return Choice(least, 'least', len(usable))


class TwoChoices:
    """Samples two endpoints and chooses the one with fewer open attempts."""

    def __init__(self, random: RandomSource) -> None:
        """Use the random source to sample."""
        self._random = random

    def choose(
        self, usable: Sequence[EndpointView], routing_input: RoutingInput
    ) -> Choice:
        """Return the endpoint that gets the offer."""
        sampled = _sample(self._random, usable, 2)
        return Choice(
            min(sampled, key=lambda view: view.outstanding), 'two', len(sampled)
        )


class PressurePolicy:
    """Chooses the least loaded of a sample, with prefix affinity.

    Candidates are sampled, not sorted: entries that see the same delayed
    load reports would all choose the same endpoint. The endpoint that last
    served a prompt with the same beginning may have it in its KV cache, and
    is preferred while its score is close to the best of the sample.
    """

    def __init__(self, random: RandomSource) -> None:
        """Start without recorded prefixes."""
        self._random = random
        self._endpoint_by_prefix: OrderedDict[int, str] = OrderedDict()

    def choose(
        self, usable: Sequence[EndpointView], routing_input: RoutingInput
    ) -> Choice:
        """Return the endpoint that gets the offer."""
        sampled = _sample(self._random, usable, _SAMPLE_SIZE)
        best = min(sampled, key=_score)
        if not routing_input.prompt:
            return Choice(best, 'pressure', len(sampled))
        prefix = _hash_prefix(routing_input)
        previous = self._find_previous(prefix, usable)
        if previous and _score(previous) <= _score(best) + _AFFINITY_SLACK:
            return Choice(previous, 'prefix', len(sampled))
        self._record_prefix(prefix, best.name)
        return Choice(best, 'pressure', len(sampled))

    def _find_previous(
        self, prefix: int, usable: Sequence[EndpointView]
    ) -> EndpointView | None:
        name = self._endpoint_by_prefix.get(prefix)
        if name is None:
            return None
        return next((view for view in usable if view.name == name), None)

    def _record_prefix(self, prefix: int, name: str) -> None:
        self._endpoint_by_prefix[prefix] = name
        self._endpoint_by_prefix.move_to_end(prefix)
        if len(self._endpoint_by_prefix) > _MAX_PREFIXES:
            self._endpoint_by_prefix.popitem(last=False)


POLICIES = MappingProxyType(
    {
        'primrosewood': PressurePolicy,
        'round-robin': RoundRobin,
        'least-outstanding': LeastOutstanding,
        'two-choices': TwoChoices,
    }
)


def make_policy(name: str, random: RandomSource) -> Policy:
    """Return a new policy by its name in the settings."""
    return POLICIES[name](random)


def _sample(
    random: RandomSource, usable: Sequence[EndpointView], count: int
) -> Sequence[EndpointView]:
    if len(usable) <= count:
        return usable
    return random.sample(usable, count)


def _score(endpoint: EndpointView) -> float:
    return endpoint.pressure + endpoint.load.memory / _FULL_MEMORY


def _hash_prefix(routing_input: RoutingInput) -> int:
    beginning = routing_input.prompt[:_PREFIX_CHARACTERS]
    return xxhash.xxh64_intdigest(
        f'{routing_input.organisation}/{beginning}'.encode()
    )
