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
            description='Listening address for callers, as host:port.',
            pattern='^[0-9.]+:[0-9]{1,5}$',
        ),
    ]
    """
    Listening address for callers, as host:port.
    """
    ready: Annotated[
        str,
        Meta(
            description="Listening address for the load balancer's checks, as host:port.",
            pattern='^[0-9.]+:[0-9]{1,5}$',
        ),
    ]
    """
    Listening address for the load balancer's checks, as host:port.
    """
    peers: Annotated[
        str,
        Meta(
            description='Listening address for announcements of processes beside engines, as host:port.',
            pattern='^[0-9.]+:[0-9]{1,5}$',
        ),
    ]
    """
    Listening address for announcements of processes beside engines, as host:port.
    """
    body_memory_bytes: (
        Annotated[
            int,
            Meta(
                description='Largest sum of the bodies of requests that are held at a time.',
                ge=1,
            ),
        ]
        | UnsetType
    ) = 25165824
    """
    Largest sum of the bodies of requests that are held at a time.
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
            description='Port on which the process beside an engine listens; the same on every VM.',
            ge=1,
            le=65535,
        ),
    ]
    """
    Port on which the process beside an engine listens; the same on every VM.
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
        Annotated[
            str, Meta(description='Secret that all processes of a deployment share.')
        ]
        | UnsetType
    ) = ''
    """
    Secret that all processes of a deployment share.
    """
    metrics_port: (
        Annotated[
            int,
            Meta(description='Port of the metrics; 0 disables them.', ge=0, le=65535),
        ]
        | UnsetType
    ) = 0
    """
    Port of the metrics; 0 disables them.
    """
    entry: EntryNode | UnsetType = UNSET
    endpoint: EndpointNode | UnsetType = UNSET
    new_deployment: (
        Annotated[bool, Meta(description='Ignored. Settings of older builds have it.')]
        | UnsetType
    ) = False
    """
    Ignored. Settings of older builds have it.
    """
    priorities: (
        Annotated[
            bool,
            Meta(
                description='Whether the priorities of organisations and routes order generations.'
            ),
        ]
        | UnsetType
    ) = False
    """
    Whether the priorities of organisations and routes order generations.
    """
    seeds: (
        Annotated[
            list[Seed],
            Meta(
                description='Entries to connect to, as host:port; some may no longer exist.'
            ),
        ]
        | UnsetType
    ) = field(default_factory=list)
    """
    Entries to connect to, as host:port; some may no longer exist.
    """


Seed: TypeAlias = Annotated[str, Meta(pattern='^[0-9.]+:[0-9]{1,5}$')]


class SharedLimits(Struct, forbid_unknown_fields=True):
    """
    Limits that all entries share.
    """

    stop_seconds: Annotated[
        float, Meta(description='Time from SIGTERM to SIGKILL.', ge=0.0)
    ]
    """
    Time from SIGTERM to SIGKILL.
    """
    repeat_ratio: Annotated[
        float, Meta(description='Retries allowed per request of the window.', ge=0.0)
    ]
    """
    Retries allowed per request of the window.
    """
    repeat_slack: Annotated[
        float, Meta(description='Retries allowed in addition to the ratio.', ge=0.0)
    ]
    """
    Retries allowed in addition to the ratio.
    """
    repeat_window_seconds: Annotated[float, Meta(ge=0.0)]
    cold_factor: Annotated[float, Meta(ge=0.0)]
    cold_slack: Annotated[float, Meta(ge=0.0)]
