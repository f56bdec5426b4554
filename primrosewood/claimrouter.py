"""Routes each claim of an idempotency key to the entry that writes its shard.

When all entries write the same page, most of their compare-and-swaps fail on
conflicts. So each shard has one writer, chosen by rendezvous hashing over the
known entries, and the others send it their claims. Entries may disagree on
the writer for a while, or it may be gone: then several entries write the page
and the compare-and-swap decides. Safety does not depend on the writer.
"""

import asyncio

import xxhash

from . import gen_wire as wire
from .claims import ClaimProposal, ClaimResult, ClaimWriter, shard_of
from .errors import StoreUnavailableError, WireError
from .fleet import ENTRY_SERVICE, Fleet
from .gen_wire import ClaimRecord
from .identity import make_identifier
from .link import Link
from .linkpool import Inbox, LinkClient, LinkLost, LinkPool
from .process import spawn

__all__ = ('ClaimRouter', 'choose_writer')


class ClaimRouter:
    """Handles the claims of one entry and those that others send to it.

    Parameters
    ----------
    name
        Name of this entry.
    claim_writer
        Writes claims to the key-value service.
    fleet, links
        Known processes, and the connections to them.
    shards
        Number of shards of claims.
    timeout_seconds
        Timeout in seconds for another entry's answer, after which this entry
        writes the claim itself.
    """

    def __init__(
        self,
        name: str,
        claim_writer: ClaimWriter,
        fleet: Fleet,
        links: LinkPool,
        shards: int,
        timeout_seconds: float,
    ) -> None:
        """Bind to the claims and connections of one entry."""
        self._name = name
        self._claim_writer = claim_writer
        self._fleet = fleet
        self._links = links
        self._shards = shards
        self._timeout_seconds = timeout_seconds

    async def claim(self, proposal: ClaimProposal) -> ClaimResult:
        """Write a claim, or return the one already in force for its key.

        Raises
        ------
        StoreUnavailableError
            The service did not answer in time.
        """
        writer = self._find_writer(proposal.record.digest)
        if writer is not None:
            reply = await self._ask_writer(writer, proposal)
            if reply is not None:
                return reply
        # The writer may have written the claim without answering. The nonce
        # in the page then identifies the claim as this entry's.
        return await self._claim_writer.claim(proposal)

    async def look_up(self, digest: str) -> ClaimRecord | None:
        """Read the claim in force for a key, None when there is none."""
        return await self._claim_writer.look_up(digest)

    def handle(self, ask: wire.ClaimQuery, link: Link) -> None:
        """Write the claim of another entry and send back the result."""
        spawn(self._write_for_peer(ask, link), 'claim of a peer')

    def writers(self) -> set[str]:
        """Return the names of the other entries that write a shard."""
        names = self._entry_names()
        chosen = {choose_writer(shard, names) for shard in range(self._shards)}
        return chosen - {self._name}

    async def _write_for_peer(self, ask: wire.ClaimQuery, link: Link) -> None:
        try:
            result = await self._claim_writer.claim(
                ClaimProposal(ask.record, ask.replaces)
            )
        except (StoreUnavailableError, WireError):
            link.send(wire.ClaimReply(ask.attempt, None))
            return
        link.send(wire.ClaimReply(ask.attempt, result.record))

    async def _ask_writer(
        self, writer: LinkClient, proposal: ClaimProposal
    ) -> ClaimResult | None:
        """Return the writer's result, None when it gave none in time."""
        inbox = Inbox()
        channel = make_identifier()
        writer.open_inbox(channel, inbox)
        try:
            async with asyncio.timeout(self._timeout_seconds):
                writer.send(
                    wire.ClaimQuery(channel, proposal.record, proposal.replaces)
                )
                reply = await inbox.receive()
        except TimeoutError:
            return None
        finally:
            writer.close_inbox(channel)
        if isinstance(reply, LinkLost) or reply.record is None:
            return None
        granted = reply.record.nonce == proposal.record.nonce
        return ClaimResult(granted, reply.record)

    def _find_writer(self, digest: str) -> LinkClient | None:
        names = self._entry_names()
        writer = choose_writer(shard_of(digest, self._shards), names)
        if writer == self._name:
            return None
        client = self._links.open(self._fleet.views[writer])
        return client if client.view.linked else None

    def _entry_names(self) -> list[str]:
        others = (
            view.name
            for view in self._fleet.views.values()
            if view.member.service == ENTRY_SERVICE
            and view.leased
            and not view.member.leaving
        )
        return [self._name, *(name for name in others if name != self._name)]


def choose_writer(shard: int, names: list[str]) -> str:
    """Choose the entry that writes a shard, by rendezvous hashing."""
    return max(
        names,
        key=lambda name: xxhash.xxh64_intdigest(f'{shard}/{name}'.encode()),
    )
