"""What the process beside an engine asks entries before it stops a run."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from . import gen_wire as wire
from .backendstate import BackendIdentity
from .codec import Message
from .link import Link
from .timers import wait_until_set

__all__ = ('EntryLinks', 'StopConfirmation', 'TargetReply')


@dataclass(frozen=True, slots=True)
class EntryLinks:
    """Links of the process beside an engine to the entries.

    Attributes
    ----------
    broadcast
        Sends a message to all entries.
    query_entries
        Sends a message to a few entries.
    announce_stop
        Asks the entry with a link, or all entries without one; the one that
        holds the stream answers. Returns whether any was asked.
    report_copy
        Called with the address of another engine when a copy to it begins, and
        with an empty one when the copy has ended.
    """

    broadcast: Callable[[Message], None]
    query_entries: Callable[[Message], None]
    announce_stop: Callable[[wire.StopQuery, Link | None], bool]
    report_copy: Callable[[str], None]


class _FirstReply:
    """The first reply to one question; those to others come late."""

    def __init__(self) -> None:
        self._received = asyncio.Event()
        self._answer: bool | None = None

    async def wait(self, seconds: float) -> bool | None:
        """Return the answer, None without a reply in time."""
        await wait_until_set(self._received, seconds)
        return self._answer

    def _keep(self, answer: bool) -> None:
        if not self._received.is_set():
            self._answer = answer
            self._received.set()


class TargetReply(_FirstReply):
    """Whether one engine takes calls, as the first entry says that replies."""

    def __init__(self, asked: BackendIdentity | None = None) -> None:
        """Wait for the reply about one engine; about none by default."""
        super().__init__()
        self._asked = asked

    def handle(self, message: wire.TargetReply) -> None:
        """Keep a reply if it is the first one about this engine."""
        asked = self._asked
        if asked is None:
            return
        if (message.name, message.boot) == (asked.name, asked.boot):
            self._keep(message.takes_calls)


class StopConfirmation(_FirstReply):
    """Whether a generation may be stopped, as the holder of its stream says."""

    def __init__(self, query: wire.StopQuery | None = None) -> None:
        """Wait for the reply to one question; to none by default."""
        super().__init__()
        self._query = query

    def handle(self, reply: wire.StopReply) -> None:
        """Keep a reply if it is the first one to this question."""
        query = self._query
        if query is None:
            return
        asked = (query.attempt, query.boot, query.number)
        if (reply.attempt, reply.boot, reply.number) == asked:
            self._keep(reply.agrees)
