"""Generated from schema/process.json by tools/generate.sh."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import UNSET, Meta, Struct, UnsetType, convert, field


class ClaimSettings(Struct, forbid_unknown_fields=True):
    shards: Annotated[int, Meta(ge=1, le=4096)] | UnsetType = 8
    period_seconds: (
        Annotated[
            float,
            Meta(
                description='Shortest interval between two writes of one shard by one entry.',
                ge=0.0,
            ),
        ]
        | UnsetType
    ) = 0.25
    """
    Shortest interval between two writes of one shard by one entry.
    """
    retention_seconds: Annotated[int, Meta(ge=60)] | UnsetType = 3600


class EndpointSettings(Struct, forbid_unknown_fields=True):
    team: str
    service: str
    links: Listen
    backend_url: Annotated[
        str,
        Meta(
            description='The model engine or plain service beside this process.',
            pattern='^https?://',
        ),
    ]
    """
    The model engine or plain service beside this process.
    """
    metrics: Listen | None | UnsetType = UNSET


class EntrySettings(Struct, forbid_unknown_fields=True):
    links: Annotated[Listen, Meta(description='Listening address for other entries.')]
    """
    Listening address for other entries.
    """
    callers: Listen
    administration: Listen
    policy: (
        Annotated[
            Literal['primrosewood', 'round-robin', 'least-outstanding', 'two-choices'],
            Meta(description='How an endpoint is chosen.'),
        ]
        | UnsetType
    ) = 'primrosewood'
    """
    How an endpoint is chosen.
    """


class Limits(Struct, forbid_unknown_fields=True):
    body_bytes: Annotated[int, Meta(ge=1024)] | UnsetType = 1048576
    header_bytes: Annotated[int, Meta(ge=1024)] | UnsetType = 16384
    frame_bytes: Annotated[int, Meta(ge=4096)] | UnsetType = 4194304
    queue_length: Annotated[int, Meta(ge=0)] | UnsetType = 256
    stream_window_tokens: (
        Annotated[
            int,
            Meta(
                description="Tokens that may be sent beyond the receiver's credit.",
                ge=1,
            ),
        ]
        | UnsetType
    ) = 256
    """
    Tokens that may be sent beyond the receiver's credit.
    """
    kept_tokens: (
        Annotated[
            int,
            Meta(
                description='Tokens that an endpoint keeps of all finished answers together.',
                ge=1,
            ),
        ]
        | UnsetType
    ) = 400000
    """
    Tokens that an endpoint keeps of all finished answers together.
    """
    kept_bytes: (
        Annotated[
            int,
            Meta(
                description='Bytes that an endpoint keeps of all plain answers together.',
                ge=1,
            ),
        ]
        | UnsetType
    ) = 8388608
    """
    Bytes that an endpoint keeps of all plain answers together.
    """
    attempts_remembered: Annotated[int, Meta(ge=1)] | UnsetType = 20000


class Listen(Struct, forbid_unknown_fields=True):
    port: Annotated[int, Meta(ge=1, le=65535)]
    host: str | UnsetType = '127.0.0.1'


class ProcessSettings(Struct, forbid_unknown_fields=True):
    """
    Local settings file of one process.
    """

    name: Annotated[
        str,
        Meta(
            description='Name of this process, unique in the deployment.',
            pattern='^[a-z0-9][a-z0-9-]{0,62}$',
        ),
    ]
    """
    Name of this process, unique in the deployment.
    """
    failure_domain: Annotated[str, Meta(pattern='^[a-z0-9][a-z0-9-]{0,62}$')]
    store_url: Annotated[
        str, Meta(description='Key-value service.', pattern='^https?://')
    ]
    """
    Key-value service.
    """
    key_file: Annotated[
        str, Meta(description='JSON file with the keys, relative to this file.')
    ]
    """
    JSON file with the keys, relative to this file.
    """
    vm: (
        Annotated[
            str,
            Meta(
                description='Name of the VM in the VM list; the process name when empty.'
            ),
        ]
        | UnsetType
    ) = ''
    """
    Name of the VM in the VM list; the process name when empty.
    """
    vm_list_url: (
        Annotated[str, Meta(description='VM list; none when empty.')] | UnsetType
    ) = ''
    """
    VM list; none when empty.
    """
    log_level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] | UnsetType = 'INFO'
    entry: EntrySettings | None | UnsetType = UNSET
    endpoint: EndpointSettings | None | UnsetType = UNSET
    tls: TlsSettings | None | UnsetType = UNSET
    limits: Limits | UnsetType = field(default_factory=lambda: convert({}, type=Limits))
    timing: Timing | UnsetType = field(default_factory=lambda: convert({}, type=Timing))
    claims: ClaimSettings | UnsetType = field(
        default_factory=lambda: convert({}, type=ClaimSettings)
    )


class Timing(Struct, forbid_unknown_fields=True):
    heartbeat_seconds: Annotated[float, Meta(gt=0.0)] | UnsetType = 1.0
    quiet_heartbeat_seconds: (
        Annotated[
            float,
            Meta(
                description="Interval of an entry's heartbeats; no other process needs its load.",
                gt=0.0,
            ),
        ]
        | UnsetType
    ) = 5.0
    """
    Interval of an entry's heartbeats; no other process needs its load.
    """
    silence_seconds: (
        Annotated[
            float,
            Meta(description='Silence after which a peer gets no new work.', gt=0.0),
        ]
        | UnsetType
    ) = 2.5
    """
    Silence after which a peer gets no new work.
    """
    lease_seconds: Annotated[int, Meta(ge=1)] | UnsetType = 30
    poll_seconds: (
        Annotated[
            float,
            Meta(
                description='Interval of the reads of the key-value service that make up for missed watch events.',
                gt=0.0,
            ),
        ]
        | UnsetType
    ) = 5.0
    """
    Interval of the reads of the key-value service that make up for missed watch events.
    """
    vm_list_seconds: Annotated[float, Meta(gt=0.0)] | UnsetType = 2.0
    store_timeout_seconds: Annotated[float, Meta(gt=0.0)] | UnsetType = 1.5
    reconnect_seconds: (
        Annotated[
            float,
            Meta(description='Longest interval between connection attempts.', gt=0.0),
        ]
        | UnsetType
    ) = 1.0
    """
    Longest interval between connection attempts.
    """
    resume_seconds: (
        Annotated[
            float,
            Meta(description='How long an entry tries to resume a cut stream.', gt=0.0),
        ]
        | UnsetType
    ) = 10.0
    """
    How long an entry tries to resume a cut stream.
    """
    orphan_seconds: (
        Annotated[
            float,
            Meta(
                description='How long an endpoint lets a stream run without a reader.',
                gt=0.0,
            ),
        ]
        | UnsetType
    ) = 30.0
    """
    How long an endpoint lets a stream run without a reader.
    """
    drain_seconds: (
        Annotated[
            float,
            Meta(
                description='How long a stopping entry still accepts new requests, until the load balancer has taken it out.',
                ge=0.0,
            ),
        ]
        | UnsetType
    ) = 3.0
    """
    How long a stopping entry still accepts new requests, until the load balancer has taken it out.
    """
    stop_seconds: (
        Annotated[
            float, Meta(description='Longest duration of a graceful shutdown.', gt=0.0)
        ]
        | UnsetType
    ) = 600.0
    """
    Longest duration of a graceful shutdown.
    """


class TlsSettings(Struct, forbid_unknown_fields=True):
    certificate_file: str
    private_key_file: str
    authority_file: (
        Annotated[
            str,
            Meta(
                description="Certificate authorities that other processes' certificates are verified against."
            ),
        ]
        | UnsetType
    ) = ''
    """
    Certificate authorities that other processes' certificates are verified against.
    """
