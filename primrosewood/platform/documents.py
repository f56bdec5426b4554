"""What operators and back ends write to the key-value service, decoded."""

from typing import Annotated, Literal

import msgspec

from ..backendset import BackendRecord
from ..errors import WireError
from ..routes import (
    CallerLimits,
    EngineTraits,
    Route,
    RouteKind,
    RouteTable,
    ServiceTraits,
    Target,
)

__all__ = (
    'BACKENDS_PREFIX',
    'EVACUATED_PREFIX',
    'TABLE_KEY',
    'parse_backend',
    'parse_table',
)

TABLE_KEY = 'op/config'
EVACUATED_PREFIX = 'op/evacuate/'
BACKENDS_PREFIX = 'servers/'

_MILLISECONDS = 1000

Text = Annotated[str, msgspec.Meta(min_length=1)]
Count = Annotated[int, msgspec.Meta(ge=0)]
Number = Annotated[float, msgspec.Meta(ge=0)]


class _Split(msgspec.Struct):
    service: str
    weight: Number


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    route_kind: RouteKind
    timeout_ms: Number
    # Within it an answer earns all it can: an objective, not a limit.
    goal_ms: Number = 0
    # Between two events; longer ones make a stream late, no more.
    gap_aim_ms: Number = 0
    # Empty where the route splits its calls.
    service: str = ''
    split: list[_Split] = []
    # Counts back ends, not tries.
    max_attempts: Count = 1
    anonymous: bool = False
    resumable: bool = False


class _Engine(msgspec.Struct):
    slots: Count
    # Tokens, not bytes.
    kv_capacity: Count
    # Tokens in one event of a stream.
    stride: Count = 1
    moves: bool = False


class _Service(msgspec.Struct):
    name: str
    cold_per_s: Number = 0
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: Count = CallerLimits().header_bytes
    max_body_bytes: Count = CallerLimits().body_bytes
    header_timeout_ms: Number = (
        CallerLimits().header_timeout_seconds * _MILLISECONDS
    )


class _Holder(msgspec.Struct):
    name: str
    api_keys: list[str] = []


class _Table(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Absent where callers need no keys at all.
    tenants: list[_Holder] = []


class _Backend(msgspec.Struct):
    service: Text
    address: Annotated[str, msgspec.Meta(pattern=r'^[0-9.]+:[0-9]{1,5}$')]
    zone: Text
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: Literal['ready', 'draining']
    # How much longer it is cold as of when the record was written.
    cold_remaining_ms: Number = 0
    # Unix milliseconds of its start; tells two starts under one name apart.
    born: int = 0


_TABLE = msgspec.json.Decoder(_Table)
_BACKEND = msgspec.json.Decoder(_Backend)


def parse_table(stored: bytes) -> RouteTable:
    """Return the operators' routes.

    Raises
    ------
    WireError
        The document does not match.
    """
    try:
        table = _TABLE.decode(stored)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise WireError(str(error)) from error
    return RouteTable(
        version=table.version,
        routes=tuple(_to_route(route) for route in table.routes),
        services={
            service.name: _to_traits(service) for service in table.services
        },
        organisations={
            key: holder.name
            for holder in table.tenants
            for key in holder.api_keys
        },
        limits=CallerLimits(
            table.limits.max_header_bytes,
            table.limits.max_body_bytes,
            table.limits.header_timeout_ms / _MILLISECONDS,
        ),
    )


def parse_backend(name: str, stored: bytes, revision: int = 0) -> BackendRecord:
    """Return the back end that a record names.

    Raises
    ------
    WireError
        The record is not one of a back end: others write there too.
    """
    try:
        found = _BACKEND.decode(stored)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise WireError(str(error)) from error
    return BackendRecord(
        name=name,
        service=found.service,
        address=found.address,
        failure_domain=found.zone,
        slots=found.slots,
        draining=found.state == 'draining',
        cold_seconds=found.cold_remaining_ms / _MILLISECONDS,
        boot=found.born,
        revision=revision,
    )


def _to_route(route: _Route) -> Route:
    targets = [Target(each.service, each.weight) for each in route.split]
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=route.route_kind,
        targets=tuple(targets or (Target(route.service),)),
        timeout=route.timeout_ms / _MILLISECONDS,
        objective=route.goal_ms / _MILLISECONDS,
        max_endpoints=max(1, route.max_attempts),
        anonymous=route.anonymous,
        longest_pause=route.gap_aim_ms / _MILLISECONDS,
        resumable=route.resumable and route.route_kind == RouteKind.streaming,
    )


def _to_traits(service: _Service) -> ServiceTraits:
    engine = service.engine
    traits = engine and EngineTraits(
        slots=engine.slots,
        memory_tokens=engine.kv_capacity,
        event_tokens=max(1, engine.stride),
        moves=engine.moves,
    )
    return ServiceTraits(service.name, service.cold_per_s, traits)
