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


class TargetReply:
    """Reply of the first entry that says whether one engine takes calls.

    Replies about other engines, which come late, do not count.
    """

    def __init__(self, asked: BackendIdentity | None = None) -> None:
        """Wait for the reply about one engine; about none by default."""
        self._asked = asked
        self._received = asyncio.Event()
        self._takes_calls: bool | None = None

    def handle(self, message: wire.TargetReply) -> None:
        """Keep a reply if it is the first one about this engine."""
        asked = self._asked
        if asked is None or self._received.is_set():
            return
        if (message.name, message.boot) == (asked.name, asked.boot):
            self._takes_calls = message.takes_calls
            self._received.set()

    async def wait(self, seconds: float) -> bool | None:
        """Return whether it takes calls, None without a reply in time."""
        await wait_until_set(self._received, seconds)
        return self._takes_calls


class StopConfirmation:
    """Reply of the entry that holds the stream of a generation.

    Replies to other questions, which come late, do not count.
    """

    def __init__(self, query: wire.StopQuery | None = None) -> None:
        """Wait for the reply to one question; to none by default."""
        self._query = query
        self._received = asyncio.Event()
        self._agrees: bool | None = None

    def handle(self, reply: wire.StopReply) -> None:
        """Keep a reply if it is the first one to this question."""
        query = self._query
        if query is None or self._received.is_set():
            return
        asked = (query.attempt, query.boot, query.number)
        if (reply.attempt, reply.boot, reply.number) == asked:
            self._agrees = reply.agrees
            self._received.set()

    async def wait(self, seconds: float) -> bool | None:
        """Return whether it may be stopped, None without a reply in time."""
        await wait_until_set(self._received, seconds)
        return self._agrees
