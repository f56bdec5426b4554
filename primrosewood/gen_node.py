"""Generated from schema/node.json by tools/generate.sh."""

from __future__ import annotations

from typing import Annotated, TypeAlias

from msgspec import UNSET, Meta, Struct, UnsetType, field


class EndpointNode(Struct, forbid_unknown_fields=True):
    """
    The engine that the process runs beside.
    """

    engine: Annotated[
        str,
        Meta(
            description="The engine's address, as host:port.",
            pattern='^[0-9.]+:[0-9]{1,5}$',
        ),
    ]
    """
    The engine's address, as host:port.
    """
    service: str


class EntryNode(Struct, forbid_unknown_fields=True):
    """
    Addresses on which an entry listens.
    """

    callers: Annotated[
        str,
        Meta(
            description='Where callers come, as host:port.',
            pattern='^[0-9.]+:[0-9]{1,5}$',
        ),
    ]
    """
    Where callers come, as host:port.
    """
    ready: Annotated[
        str,
        Meta(
            description='Where the balancer asks, as host:port.',
            pattern='^[0-9.]+:[0-9]{1,5}$',
        ),
    ]
    """
    Where the balancer asks, as host:port.
    """
    peers: Annotated[
        str,
        Meta(
            description='Where processes beside engines announce themselves, as host:port.',
            pattern='^[0-9.]+:[0-9]{1,5}$',
        ),
    ]
    """
    Where processes beside engines announce themselves, as host:port.
    """


class NodeSettings(Struct, forbid_unknown_fields=True):
    """
    Local settings of a process that calls back ends directly.
    """

    name: Annotated[str, Meta(min_length=1)]
    host: Annotated[str, Meta(min_length=1)]
    failure_domain: Annotated[str, Meta(min_length=1)]
    link_port: Annotated[
        int,
        Meta(
            description='Where the process beside an engine listens, on every VM.',
            ge=1,
            le=65535,
        ),
    ]
    """
    Where the process beside an engine listens, on every VM.
    """
    store: Annotated[
        str,
        Meta(
            description='Address of the key-value service, as host:port.',
            pattern='^[0-9.]+:[0-9]{1,5}$',
        ),
    ]
    """
    Address of the key-value service, as host:port.
    """
    limits: SharedLimits
    link_key: (
        Annotated[str, Meta(description='Shared by all processes of a deployment.')]
        | UnsetType
    ) = ''
    """
    Shared by all processes of a deployment.
    """
    metrics_port: (
        Annotated[int, Meta(description='0 serves no metrics.', ge=0, le=65535)]
        | UnsetType
    ) = 0
    """
    0 serves no metrics.
    """
    entry: EntryNode | UnsetType = UNSET
    endpoint: EndpointNode | UnsetType = UNSET
    seeds: (
        Annotated[
            list[Seed],
            Meta(
                description='Entries that may be reached, as host:port; some may be gone.'
            ),
        ]
        | UnsetType
    ) = field(default_factory=list)
    """
    Entries that may be reached, as host:port; some may be gone.
    """


Seed: TypeAlias = Annotated[str, Meta(pattern='^[0-9.]+:[0-9]{1,5}$')]


class SharedLimits(Struct, forbid_unknown_fields=True):
    """
    Limits that all entries share.
    """

    stop_seconds: Annotated[float, Meta(description='From SIGTERM to SIGKILL.', ge=0.0)]
    """
    From SIGTERM to SIGKILL.
    """
    repeat_ratio: Annotated[
        float, Meta(description='Repeats for each request of the window.', ge=0.0)
    ]
    """
    Repeats for each request of the window.
    """
    repeat_slack: Annotated[float, Meta(description='Repeats on top of these.', ge=0.0)]
    """
    Repeats on top of these.
    """
    repeat_window_seconds: Annotated[float, Meta(ge=0.0)]
    cold_factor: Annotated[float, Meta(ge=0.0)]
    cold_slack: Annotated[float, Meta(ge=0.0)]
