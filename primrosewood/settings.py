"""Settings in force in a process: a join of team subtrees by revision."""

from dataclasses import dataclass

import msgspec
import reactivex
import xxhash
from reactivex.subject import Subject

from .errors import ErrorKind, RequestFailedError
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


@dataclass(frozen=True, slots=True)
class Organisation:
    """A caller's organisation within its team."""

    team: str
    name: str
    share: float

    @property
    def full_name(self) -> str:
        """Name that is unique over all teams."""
        return f'{self.team}/{self.name}'


@dataclass(slots=True)
class _Held:
    record: SettingsRecord
    document: TeamSettings


def parse_stored(team: str, stored: bytes) -> SettingsRecord:
    """Return the record behind a value of the key-value service."""
    found = msgspec.json.decode(stored, type=StoredSettings)
    return SettingsRecord(team, found.revision, found.document)


class SettingsStore:
    """All teams' settings, each at the highest revision seen.

    Merging is a join by revision: the order of records, repeats and stale
    reads cannot take an accepted setting back.
    """

    def __init__(self) -> None:
        """Start without settings."""
        self._held: dict[str, _Held] = {}
        self._organisations: dict[str, Organisation] = {}
        self._digest = 0
        self._changes: Subject[SettingsRecord] = Subject()

    @property
    def changes(self) -> reactivex.Observable[SettingsRecord]:
        """Records as they come into force."""
        return self._changes

    @property
    def digest(self) -> int:
        """Digest of all revisions; equal digests mean equal settings."""
        return self._digest

    @property
    def revisions(self) -> dict[str, int]:
        """Revision in force for each team."""
        return {team: held.record.revision for team, held in self._held.items()}

    @property
    def ready(self) -> bool:
        """Whether any settings are known."""
        return bool(self._held)

    def merge(self, record: SettingsRecord) -> bool:
        """Take a record when it is newer than what is held."""
        held = self._held.get(record.team)
        if held and held.record.revision >= record.revision:
            return False
        document = self._parse(record)
        if document is None:
            return False
        self._held[record.team] = _Held(record, document)
        self._index()
        log_event(
            'settings_in_force', team=record.team, revision=record.revision
        )
        self._changes.on_next(record)
        return True

    def apply_pair(self, key: str, pair: Pair | None) -> None:
        """Take a change of a stored subtree; deletions say nothing."""
        if pair is not None:
            team = key.removeprefix(SETTINGS_PREFIX)
            self.merge(parse_stored(team, pair.stored))

    def missing_from(self, revisions: dict[str, int]) -> list[SettingsRecord]:
        """Return the records that a peer with these revisions lacks."""
        return [
            held.record
            for team, held in self._held.items()
            if held.record.revision > revisions.get(team, 0)
        ]

    def revision_of(self, team: str) -> int:
        """Return the revision in force for a team, 0 when unknown."""
        held = self._held.get(team)
        return held.record.revision if held else 0

    def text_of(self, team: str) -> str:
        """Return a team's settings as JSON text, empty when unknown."""
        held = self._held.get(team)
        return held.record.document if held else ''

    def document_of(self, team: str) -> TeamSettings:
        """Return a team's settings; empty ones for an unknown team."""
        held = self._held.get(team)
        return held.document if held else TeamSettings()

    def find_service(self, team: str, name: str) -> Service | None:
        """Return a team's service by its name."""
        return self.document_of(team).services.get(name)

    def find_model(self, team: str, model: str) -> str | None:
        """Return the name of the service that serves a model."""
        for name, service in self.document_of(team).services.items():
            if service.kind == 'model' and model in {name, service.model}:
                return name
        return None

    def identify(self, key: str) -> Organisation:
        """Return the organisation a caller's key belongs to.

        Raises
        ------
        RequestFailedError
            ``unauthenticated`` when no organisation has the key.
        """
        # The look-up is by hash, so its timing tells nothing about the key.
        found = self._organisations.get(hash_secret(key))
        if found is None:
            raise RequestFailedError(ErrorKind.unauthenticated)
        return found

    def share_of(self, team: str, organisation: str) -> float:
        """Return an organisation's weight in fair queueing."""
        found = self.document_of(team).organisations.get(organisation)
        return found.share if found else 1.0

    def is_out(self, team: str, failure_domain: str) -> bool:
        """Tell whether a team or the platform took a failure domain out."""
        for owner in (team, PLATFORM_TEAM):
            domains = self.document_of(owner).failure_domains
            domain = domains.get(failure_domain)
            if domain is not None and domain.state == 'out':
                return True
        return False

    def _parse(self, record: SettingsRecord) -> TeamSettings | None:
        if not record.document:
            return TeamSettings()
        try:
            return msgspec.json.decode(record.document, type=TeamSettings)
        except msgspec.DecodeError as error:
            # A record of a newer version of the system: keep what is in
            # force rather than half of what is not understood.
            log_event(
                'settings_unreadable', 'ERROR', team=record.team, why=error
            )
            return None

    def _index(self) -> None:
        self._organisations = {
            organisation.key_sha256: Organisation(
                team, name, organisation.share
            )
            for team, held in sorted(self._held.items())
            for name, organisation in held.document.organisations.items()
        }
        text = ','.join(
            f'{team}:{revision}'
            for team, revision in sorted(self.revisions.items())
        )
        self._digest = xxhash.xxh32_intdigest(text.encode())
