"""Routes of direct calls, and who may use them.

A direct call is forwarded to a back end byte for byte, by a route that is
found from its host and path.  One table holds a whole version of the
operators' routes; a process replaces tables and never changes one.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

__all__ = (
    'CallerLimits',
    'EngineTraits',
    'Route',
    'RouteKind',
    'RouteTable',
    'ServiceTraits',
    'TableHolder',
    'Target',
    'choose_target',
)


class RouteKind(StrEnum):
    """What may be repeated."""

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    streaming = 'streaming'


@dataclass(frozen=True, slots=True)
class Target:
    """A service that gets a share of a route's calls."""

    service: str
    weight: float = 1


@dataclass(frozen=True, slots=True)
class Route:
    """How calls below one path of one host are forwarded.

    Attributes
    ----------
    timeout
        Seconds after which a call is answered in any case.
    objective
        Seconds within which an answer, or a stream's first event, is on time.
    max_endpoints
        Most endpoints that may run one call.
    anonymous
        Whether callers need no key.
    longest_pause
        Seconds between events of a stream that is on time, 0 for any.
    resumable
        Whether another generation may go on after an event of a stream.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout: float
    objective: float
    max_endpoints: int = 1
    anonymous: bool = False
    resumable: bool = False
    longest_pause: float = 0

    @property
    def streaming(self) -> bool:
        """Whether answers are streams of events."""
        return self.kind == RouteKind.streaming

    @property
    def repeatable(self) -> bool:
        """Whether a call may run again when its outcome is in doubt."""
        return self.kind == RouteKind.idempotent or self.resumable


@dataclass(frozen=True, slots=True)
class EngineTraits:
    """What the engines of a service can do.

    Attributes
    ----------
    memory_tokens
        Tokens that running generations and cached prompts share.
    event_tokens
        Tokens in one event of a stream.
    moves
        Whether a running generation can be moved to another engine.
    """

    slots: int
    memory_tokens: int
    event_tokens: int = 1
    moves: bool = False


@dataclass(frozen=True, slots=True)
class ServiceTraits:
    """What is common to the back ends of a service.

    Attributes
    ----------
    cold_rate
        Calls a second that a cold back end bears, 0 for no limit.
    engine
        None for a plain service.
    """

    name: str
    cold_rate: float = 0
    engine: EngineTraits | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send.

    Attributes
    ----------
    header_bytes, body_bytes
        Largest head and body.
    head_seconds
        How long a head may take.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    head_seconds: float = 10


@dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of all routes.

    Attributes
    ----------
    organisations
        Name of the organisation that holds each key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceTraits] = field(default_factory=dict)
    organisations: Mapping[str, str] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        found = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.path_prefix):
                continue
            if found is None or len(route.path_prefix) > len(found.path_prefix):
                found = route
        return found


class TableHolder:
    """The newest table that this process has seen.

    A table never gives way to an older one: a listing that was under way
    while a watch brought a newer version, or a stale peer, would otherwise
    bring back routes and keys that operators have taken away.
    """

    def __init__(self) -> None:
        """Start without a table."""
        self._table: RouteTable | None = None

    @property
    def table(self) -> RouteTable | None:
        """The newest table, None before the first."""
        return self._table

    @property
    def version(self) -> int:
        """Version of the newest table, 0 before the first."""
        return self._table.version if self._table else 0

    def traits(self, service: str) -> ServiceTraits | None:
        """Return what is common to a service's back ends, None if unknown."""
        return self._table.services.get(service) if self._table else None

    def engine_traits(self, service: str) -> EngineTraits | None:
        """Return what a service's engines can do, None for plain ones."""
        traits = self.traits(service)
        return traits.engine if traits else None

    def take(self, table: RouteTable) -> bool:
        """Keep a table if it is newer; tell whether it was."""
        if table.version <= self.version:
            return False
        self._table = table
        return True


def choose_target(route: Route, draw: float) -> str:
    """Return the service that gets a call, by the targets' weights.

    Parameters
    ----------
    route
        With at least one target.
    draw
        A number in [0, 1).
    """
    left = draw * sum(target.weight for target in route.targets)
    for target in route.targets:
        left -= target.weight
        if left < 0:
            return target.service
    return route.targets[-1].service
