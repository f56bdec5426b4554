"""The settings that are in force in a process, team by team."""

from dataclasses import dataclass

import msgspec
import reactivex
import xxhash
from reactivex.subject import Subject

from .errors import ErrorKind, RequestFailedError, WireError
from .gen_stored import StoredSettings
from .gen_team import Service, TeamSettings
from .gen_wire import SettingsRecord
from .identity import hash_secret
from .kv import Pair
from .logs import log_event

__all__ = (
    'PLATFORM_TEAM',
    'SETTINGS_PREFIX',
    'Organisation',
    'SettingsStore',
    'parse_stored',
)

SETTINGS_PREFIX = 'primrosewood/settings/'
PLATFORM_TEAM = 'platform'

_MAX_REVISION = 9_223_372_036_854_775_807


@dataclass(frozen=True, slots=True)
class Organisation:
    """A caller's organisation within its team.

    Attributes
    ----------
    team, name
        Team, and name that is unique within it.
    share
        Weight in fair queueing.
    """

    team: str
    name: str
    share: float

    @property
    def full_name(self) -> str:
        """Name that is unique across teams."""
        return f'{self.team}/{self.name}'


@dataclass(slots=True)
class _TeamEntry:
    record: SettingsRecord
    document: TeamSettings


def parse_stored(team: str, stored: bytes) -> SettingsRecord:
    """Return a team's settings from their value in the key-value service.

    Raises
    ------
    WireError
        The value holds no settings.
    """
    try:
        found = msgspec.json.decode(stored, type=StoredSettings)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise WireError(str(error)) from error
    if found.revision > _MAX_REVISION:
        raise WireError('the revision is too large')
    return SettingsRecord(team, found.revision, found.document)


class SettingsStore:
    """All teams' settings, each at the highest revision seen.

    A record replaces only an older revision of the same team, so records that
    arrive late, twice or out of order cannot revert an accepted setting.
    """

    def __init__(self) -> None:
        """Create a store without settings."""
        self._entries: dict[str, _TeamEntry] = {}
        self._organisations: dict[str, Organisation] = {}
        self._digest = 0
        self._changes: Subject[SettingsRecord] = Subject()

    @property
    def changes(self) -> reactivex.Observable[SettingsRecord]:
        """Observable of records as they take effect."""
        return self._changes

    @property
    def digest(self) -> int:
        """Digest of all revisions; equal digests mean equal settings."""
        return self._digest

    @property
    def revisions(self) -> dict[str, int]:
        """Revision in force for each team."""
        return {
            team: entry.record.revision for team, entry in self._entries.items()
        }

    @property
    def ready(self) -> bool:
        """Whether the settings of any team are known."""
        return bool(self._entries)

    def merge(self, record: SettingsRecord) -> bool:
        """Apply a record if it is newer; return whether it took effect."""
        entry = self._entries.get(record.team)
        if entry and entry.record.revision >= record.revision:
            return False
        document = self._parse_document(record)
        if document is None:
            return False
        self._entries[record.team] = _TeamEntry(record, document)
        self._rebuild_index()
        log_event(
            'settings_in_force', team=record.team, revision=record.revision
        )
        self._changes.on_next(record)
        return True

    def apply_pair(self, key: str, pair: Pair | None) -> None:
        """Apply a change from the key-value service; ignore deletions."""
        if pair is None:
            return
        team = key.removeprefix(SETTINGS_PREFIX)
        try:
            record = parse_stored(team, pair.stored)
        except WireError as error:
            log_event('settings_refused', 'WARNING', team=team, why=error)
            return
        self.merge(record)

    def records_newer_than(
        self, revisions: dict[str, int]
    ) -> list[SettingsRecord]:
        """Return the records that are newer than a peer's revisions."""
        return [
            entry.record
            for team, entry in self._entries.items()
            if entry.record.revision > revisions.get(team, 0)
        ]

    def revision_of(self, team: str) -> int:
        """Return the revision in force for a team, 0 if unknown."""
        entry = self._entries.get(team)
        return entry.record.revision if entry else 0

    def text_of(self, team: str) -> str:
        """Return a team's settings as JSON text, empty if unknown."""
        entry = self._entries.get(team)
        return entry.record.document if entry else ''

    def document_of(self, team: str) -> TeamSettings:
        """Return a team's settings, empty ones if the team is unknown."""
        entry = self._entries.get(team)
        return entry.document if entry else TeamSettings()

    def find_service(self, team: str, name: str) -> Service | None:
        """Return a team's service by its name, None if there is none."""
        return self.document_of(team).services.get(name)

    def find_model(self, team: str, model: str) -> str | None:
        """Return the name of the service that serves a model, if any.

        A service is found by its own name or by that of its model.
        """
        for name, service in self.document_of(team).services.items():
            if service.kind == 'model' and model in {name, service.model}:
                return name
        return None

    def identify(self, key: str) -> Organisation:
        """Return the organisation that a caller's key belongs to.

        Raises
        ------
        RequestFailedError
            ``unauthenticated`` when no organisation has the key.
        """
        # Looking up the hash instead of the key avoids a timing side channel.
        found = self._organisations.get(hash_secret(key))
        if found is None:
            raise RequestFailedError(ErrorKind.unauthenticated)
        return found

    def share_of(self, team: str, organisation: str) -> float:
        """Return an organisation's weight in fair queueing, 1 if unknown."""
        found = self.document_of(team).organisations.get(organisation)
        return found.share if found else 1.0

    def is_out(self, team: str, failure_domain: str) -> bool:
        """Return whether a team or the platform set a failure domain to out."""
        for owner in (team, PLATFORM_TEAM):
            domains = self.document_of(owner).failure_domains
            domain = domains.get(failure_domain)
            if domain is not None and domain.state == 'out':
                return True
        return False

    def _parse_document(self, record: SettingsRecord) -> TeamSettings | None:
        if not record.document:
            return TeamSettings()
        try:
            return msgspec.json.decode(record.document, type=TeamSettings)
        except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
            # The record is of a newer version of the system. Keep the settings
            # in force rather than apply those fields that are understood.
            log_event(
                'settings_unreadable', 'ERROR', team=record.team, why=error
            )
            return None

    def _rebuild_index(self) -> None:
        self._organisations = {
            organisation.key_sha256: Organisation(
                team, name, organisation.share
            )
            for team, entry in sorted(self._entries.items())
            for name, organisation in entry.document.organisations.items()
        }
        text = ','.join(
            f'{team}:{revision}'
            for team, revision in sorted(self.revisions.items())
        )
        self._digest = xxhash.xxh32_intdigest(text.encode())
