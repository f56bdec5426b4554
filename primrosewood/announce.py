"""Publishes a process's membership record under a lease."""

import asyncio

import msgspec

from .addresses import require_link_url
from .errors import StoreUnavailableError, WireError
from .gen_process import Listen, ProcessSettings
from .gen_stored import MemberRecord
from .kv import KeyValue
from .logs import log_event

__all__ = ('MEMBERS_PREFIX', 'Announcer', 'make_member', 'parse_member')

MEMBERS_PREFIX = 'primrosewood/members/'

_RENEWALS_PER_LEASE = 3
_RETRY_SECONDS = 1.0


def make_member(
    settings: ProcessSettings,
    listen: Listen,
    incarnation: str,
    team: str,
    service: str,
) -> MemberRecord:
    """Return the membership record of a process.

    Parameters
    ----------
    settings
        Settings of the process.
    listen
        Address where it accepts connections from its peers.
    incarnation
        Identifier of this run of the process.
    team, service
        Service that it belongs to.
    """
    scheme = 'wss' if settings.tls else 'ws'
    return MemberRecord(
        name=settings.name,
        vm=settings.vm or settings.name,
        team=team,
        service=service,
        failure_domain=settings.failure_domain,
        incarnation=incarnation,
        url=f'{scheme}://{listen.host}:{listen.port}',
    )


def parse_member(name: str, stored: bytes) -> MemberRecord:
    """Return the record from its value in the key-value service.

    Parameters
    ----------
    name
        Name of the member, the key without ``MEMBERS_PREFIX``.
    stored
        The value of the key.

    Raises
    ------
    WireError
        The value is not this member's record, or has no usable URL.
    """
    try:
        member = msgspec.json.decode(stored, type=MemberRecord)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise WireError(str(error)) from error
    if member.name != name:
        raise WireError('the record names another member')
    require_link_url(member.url)
    return member


class Announcer:
    """Writes a process's membership record and renews its lease.

    The next renewal detects an expired lease and writes the record again under
    a new one. Losing the lease stops no work: the endpoint's own admission
    decides which requests it accepts.
    """

    def __init__(
        self, store: KeyValue, member: MemberRecord, lease_seconds: int
    ) -> None:
        """Create an announcer, without a lease until it first renews.

        Parameters
        ----------
        store
            The key-value service.
        member
            Membership record to publish.
        lease_seconds
            Duration of the lease.
        """
        self._store = store
        self._member = member
        self._lease_seconds = lease_seconds
        self._lease = 0
        self._written = False

    async def run(self) -> None:
        """Keep the record published until cancelled."""
        while True:
            delay = self._lease_seconds / _RENEWALS_PER_LEASE
            try:
                await self.renew()
            except StoreUnavailableError as error:
                log_event('lease_not_renewed', 'WARNING', why=error)
                delay = min(delay, _RETRY_SECONDS)
            await asyncio.sleep(delay)

    async def renew(self) -> None:
        """Renew the lease, or obtain a new one and write the record."""
        if self._written and await self._store.keep_alive(self._lease):
            return
        # The lease may have been granted and the write under it have failed.
        # Without the flag, renewals would succeed without a record.
        self._written = False
        self._lease = await self._store.grant(self._lease_seconds)
        await self._write()
        self._written = True

    async def leave(self) -> None:
        """Publish the record marked as leaving."""
        self._member.leaving = True
        try:
            await self._write()
        except StoreUnavailableError as error:
            log_event('leaving_not_written', 'WARNING', why=error)

    async def withdraw(self) -> None:
        """Delete the record by revoking its lease."""
        try:
            await self._store.revoke(self._lease)
        except StoreUnavailableError as error:
            log_event('lease_not_revoked', 'WARNING', why=error)

    async def _write(self) -> None:
        key = MEMBERS_PREFIX + self._member.name
        stored = msgspec.json.encode(self._member)
        await self._store.put(key, stored, self._lease)
