"""Applies operators' changes to a team's stored settings.

A team's settings are one value, which each change replaces by compare-and-swap.
"""

import asyncio
from dataclasses import dataclass
from typing import Any

import msgspec

from .clock import Clock
from .config import check_document
from .documents import Path, delete_at, paths_overlap, put_at, split_path
from .errors import ErrorKind, RequestFailedError, StoreUnavailableError
from .gen_stored import Change, StoredSettings
from .gen_wire import SettingsRecord
from .identity import make_identifier
from .kv import KeyValue, Pair
from .logs import log_event
from .settings import SETTINGS_PREFIX

__all__ = ('AcceptedChange', 'ChangeRequest', 'SettingsEditor')

_MAX_HISTORY_ENTRIES = 50
_MAX_ATTEMPTS = 12
_RETRY_DELAY_SECONDS = 0.1
_MAX_VALUE_BYTES = 900_000


@dataclass(frozen=True, slots=True)
class ChangeRequest:
    """A change of settings that an operator requests.

    Attributes
    ----------
    team, path
        Team, and path in its settings document.
    action
        ``put`` or ``delete``.
    replacement
        New value at the path, for ``put``.
    operator
        Name of the operator.
    seen_revision
        Revision that the operator has seen, against which conflicts are
        checked; None to change the current revision.
    """

    team: str
    path: str
    action: str
    replacement: Any
    operator: str
    seen_revision: int | None = None


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """An accepted change, with the settings that it resulted in."""

    record: SettingsRecord


@dataclass(slots=True)
class _Edit:
    """A requested change and its state across attempts.

    Attributes
    ----------
    request, path
        The request, and its path in parts.
    nonce
        Identifies the change in the stored history.
    base_revision
        Revision against which conflicts are checked; None until read.
    write_sent
        Whether a write was sent, which may have taken effect.
    """

    request: ChangeRequest
    path: Path
    nonce: str
    base_revision: int | None
    write_sent: bool = False


class SettingsEditor:
    """Writes changes of settings to the key-value service.

    When two operators change overlapping paths at once, one change is accepted
    and the other fails with ``conflict`` and the accepted revision. Changes of
    paths that do not overlap are both accepted: the later one is applied to
    the newer document.
    """

    def __init__(self, store: KeyValue, clock: Clock) -> None:
        """Create an editor.

        Parameters
        ----------
        store
            The key-value service.
        clock
            Source of the time that is recorded with a change.
        """
        self._store = store
        self._clock = clock

    async def apply(self, request: ChangeRequest) -> AcceptedChange:
        """Apply a change.

        Retries when the key-value service fails or another write came first.

        Raises
        ------
        SettingsInvalidError
            The changed document does not match its schema.
        RequestFailedError
            ``conflict`` when an overlapping path was changed after the seen
            revision, or may have been; ``not_found`` or ``invalid_request``
            for a bad path; ``too_large`` when the settings would exceed the
            size limit; ``store_unavailable`` when nothing was written;
            ``accept_unknown`` when a write was sent and cannot be read back.
        """
        edit = _Edit(
            request=request,
            path=split_path(request.path),
            nonce=make_identifier(),
            base_revision=request.seen_revision,
        )
        for _ in range(_MAX_ATTEMPTS):
            try:
                accepted = await self._attempt(edit)
            except StoreUnavailableError:
                accepted = None
            if accepted is not None:
                return accepted
            await asyncio.sleep(_RETRY_DELAY_SECONDS)
        kind = ErrorKind.store_unavailable
        if edit.write_sent:
            kind = ErrorKind.accept_unknown
        raise RequestFailedError(kind, retry_seconds=1)

    async def read_history(self, team: str) -> list[Change]:
        """Return a team's most recent changes, oldest first."""
        return _parse_stored(await self._fetch(team)).history

    async def _attempt(self, edit: _Edit) -> AcceptedChange | None:
        pair = await self._fetch(edit.request.team)
        stored = _parse_stored(pair)
        # A swap whose answer was lost may have taken effect. In that case the
        # history contains its nonce, even if other changes have followed.
        if any(change.nonce == edit.nonce for change in stored.history):
            return AcceptedChange(_make_record(edit.request.team, stored))
        if edit.base_revision is None:
            edit.base_revision = stored.revision
        _raise_on_conflict(edit, stored)
        updated = self._build_settings(edit, stored)
        encoded = msgspec.json.encode(updated)
        if len(encoded) > _MAX_VALUE_BYTES:
            raise RequestFailedError(ErrorKind.too_large)
        edit.write_sent = True
        swap = await self._store.swap(
            SETTINGS_PREFIX + edit.request.team,
            encoded,
            pair.revision if pair else 0,
        )
        if not swap.swapped:
            return None
        log_event(
            'settings_accepted',
            team=edit.request.team,
            path=edit.request.path,
            operator=edit.request.operator,
            revision=updated.revision,
        )
        return AcceptedChange(_make_record(edit.request.team, updated))

    async def _fetch(self, team: str) -> Pair | None:
        return await self._store.fetch(SETTINGS_PREFIX + team)

    def _build_settings(
        self, edit: _Edit, stored: StoredSettings
    ) -> StoredSettings:
        request = edit.request
        document = msgspec.json.decode(stored.document or '{}')
        if request.action == 'delete':
            document = delete_at(document, edit.path)
        else:
            document = put_at(document, edit.path, request.replacement)
        check_document(document, 'team')
        change = Change(
            revision=stored.revision + 1,
            nonce=edit.nonce,
            operator=request.operator,
            path='/'.join(edit.path),
            at=self._clock.wall(),
            action=request.action,
        )
        history = [*stored.history, change][-_MAX_HISTORY_ENTRIES:]
        text = msgspec.json.encode(document).decode()
        return StoredSettings(stored.revision + 1, text, history)


def _parse_stored(pair: Pair | None) -> StoredSettings:
    if pair is None:
        return StoredSettings(revision=0, document='', history=[])
    return msgspec.json.decode(pair.stored, type=StoredSettings)


def _make_record(team: str, stored: StoredSettings) -> SettingsRecord:
    return SettingsRecord(team, stored.revision, stored.document)


def _raise_on_conflict(edit: _Edit, stored: StoredSettings) -> None:
    later = [
        change
        for change in stored.history
        if change.revision > edit.base_revision
    ]
    # The paths of changes that were dropped from the history are unknown, so
    # any of them may overlap.
    history_truncated = stored.revision - edit.base_revision > len(later)
    overlapping = any(
        paths_overlap(split_path(change.path), edit.path) for change in later
    )
    if overlapping or history_truncated or edit.base_revision > stored.revision:
        raise RequestFailedError(
            ErrorKind.conflict, f'revision {stored.revision} stands'
        )
