"""Generated from schema/stored.json by tools/generate.sh."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct, UnsetType


class Change(Struct, forbid_unknown_fields=True):
    """
    An accepted change of a team's settings.
    """

    revision: int
    nonce: str
    operator: str
    path: str
    at: float
    action: str | UnsetType = 'put'


class MemberRecord(Struct, forbid_unknown_fields=True):
    """
    An endpoint's membership record in the key-value service.
    """

    name: str
    vm: str
    team: str
    service: str
    failure_domain: str
    incarnation: str
    url: str
    leaving: bool | UnsetType = False


class Stored(Struct):
    """
    Values stored in the key-value service.
    """


class StoredSettings(Struct, forbid_unknown_fields=True):
    """
    A team's settings, as stored in the key-value service.
    """

    revision: Annotated[int, Meta(ge=1)]
    document: str
    history: list[Change]
