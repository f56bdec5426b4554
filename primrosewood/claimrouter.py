"""Brings each claim to the one entry that writes its shard.

Entries that all write the same page lose most of their swaps to each other.
So every shard has one writer, chosen by rendezvous hashing over the entries
known; the others send it their claims. Who the writer is may be seen in two
ways for a while, or it may be gone: then two entries write the page and the
swap decides, as it always does. Safety does not rest on the writer.
"""

import asyncio

import xxhash

from . import gen_wire as wire
from .claims import ClaimKeeper, ClaimResult, ClaimProposal, shard_of
from .errors import StoreUnavailableError, WireError
from .fleet import ENTRY_SERVICE, Fleet
from .gen_wire import ClaimRecord
from .identity import make_identifier
from .link import Link
from .linkpool import Inbox, LinkClient, LinkLost, LinkPool
from .process import spawn

__all__ = ('ClaimRouter', 'choose_writer')


class ClaimRouter:
    """The claims of one entry, and those that others send to it.

    Parameters
    ----------
    name
        This entry.
    keeper
        Writes claims to the key-value service.
    fleet, links
        Where the other entries are.
    shards
        Number of shards.
    patience
        Seconds to wait for another entry before writing the claim oneself.
    """

    def __init__(
        self,
        name: str,
        keeper: ClaimKeeper,
        fleet: Fleet,
        links: LinkPool,
        shards: int,
        patience: float,
    ) -> None:
        """Take the parts."""
        self._name = name
        self._keeper = keeper
        self._fleet = fleet
        self._links = links
        self._shards = shards
        self._patience = patience

    async def claim(self, wish: ClaimProposal) -> ClaimResult:
        """Write a claim, or learn which one stands.

        Raises
        ------
        StoreUnavailableError
            The service did not answer in time.
        """
        writer = self._find_writer(wish.record.digest)
        if writer is not None:
            told = await self._ask(writer, wish)
            if told is not None:
                return told
        # The writer may have written the claim and died before it told us.
        # The nonce in the page shows it to be ours.
        return await self._keeper.claim(wish)

    async def look_up(self, digest: str) -> ClaimRecord | None:
        """Return the claim that stands for a key."""
        return await self._keeper.look_up(digest)

    def handle(self, ask: wire.ClaimAsk, link: Link) -> None:
        """Write the claim of another entry and tell it the outcome."""
        spawn(self._serve(ask, link), 'claim of a peer')

    def writers(self) -> set[str]:
        """Return the other entries that write a shard."""
        names = self._entry_names()
        chosen = {choose_writer(shard, names) for shard in range(self._shards)}
        return chosen - {self._name}

    async def _serve(self, ask: wire.ClaimAsk, link: Link) -> None:
        try:
            result = await self._keeper.claim(
                ClaimProposal(ask.record, ask.replaces)
            )
        except (StoreUnavailableError, WireError):
            link.send(wire.ClaimTold(ask.attempt, None))
            return
        link.send(wire.ClaimTold(ask.attempt, result.record))

    async def _ask(
        self, writer: LinkClient, wish: ClaimProposal
    ) -> ClaimResult | None:
        """Return the writer's answer, None when it gave none."""
        inbox = Inbox()
        channel = make_identifier()
        writer.open_inbox(channel, inbox)
        try:
            async with asyncio.timeout(self._patience):
                writer.send(wire.ClaimAsk(channel, wish.record, wish.replaces))
                told = await inbox.receive()
        except TimeoutError:
            return None
        finally:
            writer.close_inbox(channel)
        if isinstance(told, LinkLost) or told.record is None:
            return None
        granted = told.record.nonce == wish.record.nonce
        return ClaimResult(granted, told.record)

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
    """Return the entry that writes a shard, by rendezvous hashing."""
    return max(
        names,
        key=lambda name: xxhash.xxh64_intdigest(f'{shard}/{name}'.encode()),
    )
