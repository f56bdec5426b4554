"""Routes of direct calls, and the keys that may use them.

A direct call is forwarded to a back end byte for byte, by the route that
matches its host and path.  A table holds one complete version of the
operators' routes; a process replaces tables and never modifies one.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from .priorities import PriorityTable

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
    """Kind of a route, which decides whether its calls may be retried."""

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
    """How calls below a path prefix of one host are forwarded.

    Attributes
    ----------
    timeout
        Seconds after which a call is answered, if need be with an error.
    objective
        Seconds within which an answer, or a stream's first event, is on time.
    max_endpoints
        Most endpoints that may run one call.
    anonymous
        Whether callers need no key.
    resumable
        Whether a new generation may continue a stream after its last event.
    longest_pause
        Most seconds between the events of a stream that is on time, 0 for no
        limit.
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
        """Whether a call may run again when its outcome is unknown."""
        return self.kind == RouteKind.idempotent or self.resumable


@dataclass(frozen=True, slots=True)
class EngineTraits:
    """Properties of the engines of a service.

    Attributes
    ----------
    slots
        Generations that an engine runs concurrently.
    memory_tokens
        KV cache tokens that running generations and cached prompts share.
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
    """Properties common to the back ends of a service.

    Attributes
    ----------
    cold_rate
        Calls per second that a cold back end can handle, 0 for no limit.
    engine
        None for a plain service, which has no engines.
    """

    name: str
    cold_rate: float = 0
    engine: EngineTraits | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the requests of callers.

    Attributes
    ----------
    header_bytes, body_bytes
        Largest head and body of a request, in bytes.
    header_timeout_seconds
        Longest time to receive a head.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_seconds: float = 10


@dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of all routes, services and keys.

    Attributes
    ----------
    services
        Traits of each service, by its name.
    organisations
        Name of the organisation that holds each key, by the key.
    priorities
        Ranks of calls.
    keys_required
        Whether callers need a key; if there are none, nobody is admitted.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceTraits] = field(default_factory=dict)
    organisations: Mapping[str, str] = field(default_factory=dict)
    priorities: PriorityTable = field(default_factory=PriorityTable)
    limits: CallerLimits = CallerLimits()
    keys_required: bool = True

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix."""
        longest_match = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.path_prefix):
                continue
            if longest_match is None or len(route.path_prefix) > len(
                longest_match.path_prefix
            ):
                longest_match = route
        return longest_match


class TableHolder:
    """Holds the newest table that this process has received.

    An older table never replaces a newer one.  Otherwise a listing that was
    in progress while a watch delivered a newer version, or a peer with old
    data, would restore routes and keys that operators have removed.
    """

    def __init__(self) -> None:
        """Start with no table."""
        self._table: RouteTable | None = None

    @property
    def table(self) -> RouteTable | None:
        """The newest table, None before the first one is received."""
        return self._table

    @property
    def version(self) -> int:
        """Version of the newest table, 0 before the first is received."""
        return self._table.version if self._table else 0

    def traits(self, service: str) -> ServiceTraits | None:
        """Return the traits of a service, None if it is unknown."""
        return self._table.services.get(service) if self._table else None

    def engine_traits(self, service: str) -> EngineTraits | None:
        """Return the traits of a service's engines, None for plain services."""
        traits = self.traits(service)
        return traits.engine if traits else None

    def list_engine_services(self) -> list[str]:
        """Return the names of the services whose back ends are engines."""
        services = self._table.services if self._table else {}
        return [name for name, traits in services.items() if traits.engine]

    def replace_if_newer(self, table: RouteTable) -> bool:
        """Replace the table by a newer one; return whether it is newer."""
        if table.version <= self.version:
            return False
        self._table = table
        return True


def choose_target(route: Route, draw: float) -> str | None:
    """Return the service that gets a call, chosen by the targets' weights.

    None if no target has a name and a weight.

    Parameters
    ----------
    draw
        Random number in [0, 1).
    """
    targets = [
        each for each in route.targets if each.service and each.weight > 0
    ]
    remaining = draw * sum(target.weight for target in targets)
    for target in targets:
        remaining -= target.weight
        if remaining < 0:
            return target.service
    return targets[-1].service if targets else None
