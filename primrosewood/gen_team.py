"""Generated from schema/team.json by tools/generate.sh."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct, UnsetType, field


class FailureDomain(Struct, forbid_unknown_fields=True):
    state: Annotated[
        Literal['in', 'out'],
        Meta(description='Whether new work may go to the failure domain.'),
    ]
    """
    Whether new work may go to the failure domain.
    """


class Organisation(Struct, forbid_unknown_fields=True):
    key_sha256: Annotated[
        str,
        Meta(
            description="SHA-256 of the organisation's key, hexadecimal.",
            pattern='^[0-9a-f]{64}$',
        ),
    ]
    """
    SHA-256 of the organisation's key, hexadecimal.
    """
    share: (
        Annotated[
            float, Meta(description='Weight in fair queueing.', gt=0.0, le=1000.0)
        ]
        | UnsetType
    ) = 1.0
    """
    Weight in fair queueing.
    """


class Service(Struct, forbid_unknown_fields=True):
    kind: Annotated[
        Literal['model', 'plain'],
        Meta(description='Model engines, or a plain HTTP service.'),
    ]
    """
    Model engines, or a plain HTTP service.
    """
    model: (
        Annotated[
            str,
            Meta(
                description="Model name in callers' requests; the service's name when empty.",
                max_length=200,
            ),
        ]
        | UnsetType
    ) = ''
    """
    Model name in callers' requests; the service's name when empty.
    """
    repeatable_methods: (
        Annotated[
            list[Literal['GET', 'HEAD', 'PUT', 'DELETE', 'POST', 'PATCH', 'OPTIONS']],
            Meta(description='HTTP methods of a plain service that may be repeated.'),
        ]
        | UnsetType
    ) = field(default_factory=lambda: ['GET', 'HEAD'])
    """
    HTTP methods of a plain service that may be repeated.
    """
    queue_seconds: (
        Annotated[
            float, Meta(description='Longest wait for admission.', ge=0.0, le=600.0)
        ]
        | UnsetType
    ) = 5.0
    """
    Longest wait for admission.
    """
    deadline_seconds: (
        Annotated[
            float,
            Meta(
                description='Deadline of a request that names none.', gt=0.0, le=86400.0
            ),
        ]
        | UnsetType
    ) = 600.0
    """
    Deadline of a request that names none.
    """
    keep_answer_seconds: (
        Annotated[
            float,
            Meta(
                description='How long an endpoint keeps an answer that no caller has fetched.',
                ge=1.0,
                le=86400.0,
            ),
        ]
        | UnsetType
    ) = 120.0
    """
    How long an endpoint keeps an answer that no caller has fetched.
    """
    max_running: (
        Annotated[
            int,
            Meta(
                description="Upper bound of an endpoint's adaptive concurrency limit.",
                ge=1,
                le=4096,
            ),
        ]
        | UnsetType
    ) = 64
    """
    Upper bound of an endpoint's adaptive concurrency limit.
    """
    start_running: (
        Annotated[
            int,
            Meta(
                description='Concurrency limit of an endpoint that has just started.',
                ge=1,
                le=4096,
            ),
        ]
        | UnsetType
    ) = 2
    """
    Concurrency limit of an endpoint that has just started.
    """
    first_token_seconds: (
        Annotated[
            float,
            Meta(
                description='Target for the time to the first token.', gt=0.0, le=600.0
            ),
        ]
        | UnsetType
    ) = 0.73
    """
    Target for the time to the first token.
    """
    between_tokens_seconds: (
        Annotated[
            float,
            Meta(description='Target for the time between tokens.', gt=0.0, le=60.0),
        ]
        | UnsetType
    ) = 0.025
    """
    Target for the time between tokens.
    """
    retry_budget: (
        Annotated[
            float,
            Meta(
                description='Retries allowed as a share of first attempts.',
                ge=0.0,
                le=1.0,
            ),
        ]
        | UnsetType
    ) = 0.2
    """
    Retries allowed as a share of first attempts.
    """
    subset: (
        Annotated[
            int,
            Meta(
                description='Number of endpoints of this service that an entry keeps connected.',
                ge=2,
                le=1024,
            ),
        ]
        | UnsetType
    ) = 16
    """
    Number of endpoints of this service that an entry keeps connected.
    """


class TeamSettings(Struct, forbid_unknown_fields=True):
    """
    One team's subtree of settings.
    """

    organisations: dict[str, Organisation] | UnsetType = field(default_factory=dict)
    services: dict[str, Service] | UnsetType = field(default_factory=dict)
    failure_domains: dict[str, FailureDomain] | UnsetType = field(default_factory=dict)
