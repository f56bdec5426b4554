"""Decodes the documents that operators and back ends write to the store.

The structs have the platform's field names; the functions return the
package's own types.
"""

import re
from typing import Annotated, Any, Literal

import msgspec

from ..addresses import parse_address
from ..backendstate import BackendRecord
from ..errors import WireError
from ..priorities import PriorityTable
from ..rollouts import RolloutOrder, RolloutState, RolloutStatus
from ..routes import (
    CallerLimits,
    EngineTraits,
    Route,
    RouteKind,
    RouteTable,
    ServiceTraits,
    Target,
)
from .numbers import PositiveCount, PositiveInteger
from .prioritydocuments import read_priorities

__all__ = (
    'BACKENDS_PREFIX',
    'EVACUATED_PREFIX',
    'ROLLOUTS_PREFIX',
    'ROLLOUT_STATUS_PREFIX',
    'TABLE_KEY',
    'parse_backend',
    'parse_order',
    'parse_status',
    'parse_table',
    'select_content',
    'serialise_status',
)

TABLE_KEY = 'op/config'
EVACUATED_PREFIX = 'op/evacuate/'
BACKENDS_PREFIX = 'servers/'
ROLLOUTS_PREFIX = 'op/rollout/'
ROLLOUT_STATUS_PREFIX = 'status/rollout/'

_MS_PER_SECOND = 1000
# Counter that a back end raises whenever it writes its record again.
_COUNTER = re.compile(rb'"sequence"\s*:\s*\d+')

NonEmptyText = Annotated[str, msgspec.Meta(min_length=1)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]


class _WeightedService(msgspec.Struct):
    service: str
    weight: NonNegativeFloat


class _Route(msgspec.Struct):
    name: NonEmptyText
    host: NonEmptyText
    path_prefix: Annotated[str, msgspec.Meta(pattern='^/')]
    route_kind: RouteKind
    timeout_ms: NonNegativeFloat
    # Latency objective, not a limit: a response within it counts as on time.
    goal_ms: NonNegativeFloat = 0
    # Objective for the time between two events of a stream; a longer gap
    # makes the stream late but does not end it.
    gap_aim_ms: NonNegativeFloat = 0
    # Empty where ``split`` distributes the calls over several services.
    service: str = ''
    split: list[_WeightedService] = []
    # Back ends that may run one call, not attempts to reach them.
    max_attempts: NonNegativeInt = 1
    # Any value is accepted, so that a wrong one does not void the document.
    priority: Any = None
    anonymous: bool = False
    resumable: bool = False


class _EngineTraits(msgspec.Struct):
    slots: NonNegativeInt
    # Size of the KV cache in tokens, not bytes.
    kv_capacity: NonNegativeInt
    # Tokens in one event of a stream.
    stride: NonNegativeInt = 1
    # Whether a running generation can be moved to another engine.
    moves: bool = False


class _ServiceTraits(msgspec.Struct):
    name: str
    # Calls per second that a cold back end can take; 0 means no limit.
    cold_per_s: NonNegativeFloat = 0
    engine: _EngineTraits | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: NonNegativeInt = CallerLimits().header_bytes
    max_body_bytes: NonNegativeInt = CallerLimits().body_bytes
    header_timeout_ms: NonNegativeFloat = (
        CallerLimits().header_timeout_seconds * _MS_PER_SECOND
    )


class _Tenant(msgspec.Struct):
    name: NonEmptyText
    # Takes precedence over that of a route, which decides between equals.
    priority: Any = None
    api_keys: list[str] = []


class _Table(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_ServiceTraits] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Absent where callers need no API keys. Nobody has one if it is empty.
    tenants: list[_Tenant] | msgspec.UnsetType = msgspec.UNSET


class _Backend(msgspec.Struct):
    service: NonEmptyText
    address: Annotated[str, msgspec.Meta(pattern=r'^[0-9.]+:[0-9]{1,5}$')]
    zone: NonEmptyText
    slots: PositiveCount
    state: Literal['ready', 'draining']
    # Start time in Unix milliseconds; distinguishes two processes that
    # registered under the same name, one after the other.
    born: PositiveInteger
    # Version of its software.
    version: str = ''
    # Remaining warm-up time when the record was written.
    cold_remaining_ms: NonNegativeFloat = 0


class _RolloutOrder(msgspec.Struct):
    service: NonEmptyText
    # Version to which the service is moved.
    to: NonEmptyText
    duration_s: Annotated[float, msgspec.Meta(gt=0)]


class _RolloutStatus(msgspec.Struct):
    to: str
    state: RolloutState


_ORDER_DECODER = msgspec.json.Decoder(_RolloutOrder)
_STATUS_DECODER = msgspec.json.Decoder(_RolloutStatus)
_TABLE_DECODER = msgspec.json.Decoder(_Table)
_BACKEND_DECODER = msgspec.json.Decoder(_Backend)


def parse_table(stored: bytes) -> RouteTable:
    """Decode the operators' route table.

    Parameters
    ----------
    stored
        The value of ``TABLE_KEY``.

    Raises
    ------
    WireError
        The document is not valid JSON or does not match the schema.
    """
    try:
        table = _TABLE_DECODER.decode(stored)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise WireError(str(error)) from error
    tenants = table.tenants
    return RouteTable(
        version=table.version,
        routes=tuple(_to_route(route) for route in table.routes),
        services={
            service.name: _to_traits(service) for service in table.services
        },
        organisations={
            key: tenant.name
            for tenant in tenants or ()
            for key in tenant.api_keys
        },
        limits=CallerLimits(
            table.limits.max_header_bytes,
            table.limits.max_body_bytes,
            table.limits.header_timeout_ms / _MS_PER_SECOND,
        ),
        priorities=PriorityTable(
            routes=read_priorities(table.routes),
            organisations=read_priorities(tenants or ()),
        ),
        keys_required=tenants is not msgspec.UNSET,
    )


def parse_backend(name: str, stored: bytes, revision: int = 0) -> BackendRecord:
    """Decode the record with which a back end registers.

    Parameters
    ----------
    name
        Name of the back end, the key without ``BACKENDS_PREFIX``.
    stored
        The value of the key.
    revision
        Revision of the key-value service at which the record was written.

    Raises
    ------
    WireError
        The value is not a back end's record; other programs write below the
        same prefix.
    """
    try:
        record = _BACKEND_DECODER.decode(stored)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise WireError(str(error)) from error
    if not name:
        raise WireError('the back end has no name')
    parse_address(record.address)
    return BackendRecord(
        name=name,
        service=record.service,
        address=record.address,
        failure_domain=record.zone,
        slots=record.slots,
        draining=record.state == 'draining',
        cold_seconds=record.cold_remaining_ms / _MS_PER_SECOND,
        boot=record.born,
        revision=revision,
        version=record.version,
    )


def parse_order(service: str, stored: bytes, revision: int) -> RolloutOrder:
    """Decode an operators' order to roll out a version.

    Parameters
    ----------
    service
        Name of the service, the key without ``ROLLOUTS_PREFIX``.
    stored
        The value of the key.
    revision
        Revision of the key-value service at which the order was written.

    Raises
    ------
    WireError
        The value is not an order for this service.
    """
    try:
        order = _ORDER_DECODER.decode(stored)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise WireError(str(error)) from error
    if order.service != service:
        raise WireError('the order names another service')
    return RolloutOrder(service, order.to, order.duration_s, revision)


def parse_status(stored: bytes, revision: int) -> RolloutStatus:
    """Decode the status of a roll-out.

    Raises
    ------
    WireError
        The value is not a status.
    """
    try:
        status = _STATUS_DECODER.decode(stored)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise WireError(str(error)) from error
    return RolloutStatus(status.to, status.state, revision)


def serialise_status(order: RolloutOrder, state: RolloutState) -> bytes:
    """Return the status that operators read for a roll-out."""
    return msgspec.json.encode(_RolloutStatus(order.version, state))


def select_content(key: str, stored: bytes) -> bytes:
    """Return a value without the counter that only shows its writer alive."""
    if key.startswith(BACKENDS_PREFIX):
        return _COUNTER.sub(b'', stored)
    return stored


def _to_route(route: _Route) -> Route:
    targets = [Target(share.service, share.weight) for share in route.split]
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=route.route_kind,
        targets=tuple(targets or (Target(route.service),)),
        timeout=route.timeout_ms / _MS_PER_SECOND,
        objective=route.goal_ms / _MS_PER_SECOND,
        max_endpoints=max(1, route.max_attempts),
        anonymous=route.anonymous,
        longest_pause=route.gap_aim_ms / _MS_PER_SECOND,
        resumable=route.resumable and route.route_kind == RouteKind.streaming,
    )


def _to_traits(service: _ServiceTraits) -> ServiceTraits:
    engine = service.engine
    traits = engine and EngineTraits(
        slots=engine.slots,
        memory_tokens=engine.kv_capacity,
        event_tokens=max(1, engine.stride),
        moves=engine.moves,
    )
    return ServiceTraits(service.name, service.cold_per_s, traits)
