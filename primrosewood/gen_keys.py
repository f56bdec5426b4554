"""Generated from schema/keys.json by tools/generate.sh."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct, UnsetType, field


class Keys(Struct, forbid_unknown_fields=True):
    """
    Key file of one process.
    """

    process_key: Annotated[
        str,
        Meta(
            description='Secret that the processes of the system share.', min_length=16
        ),
    ]
    """
    Secret that the processes of the system share.
    """
    signing_key: Annotated[
        str, Meta(description='Secret that signs resume tokens.', min_length=16)
    ]
    """
    Secret that signs resume tokens.
    """
    operators: dict[str, Operator] | UnsetType = field(default_factory=dict)


class Operator(Struct, forbid_unknown_fields=True):
    key_sha256: Annotated[str, Meta(pattern='^[0-9a-f]{64}$')]
    teams: Annotated[
        list[str],
        Meta(description='Teams whose settings this operator may write; * for all.'),
    ]
    """
    Teams whose settings this operator may write; * for all.
    """
