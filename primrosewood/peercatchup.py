"""What entries tell each other while the service does not answer them all.

The key-value service may turn some processes away and serve the others.
Operators' changes are accepted all the while, and callers of an entry that
cannot read them would get routes and keys that are no longer in force.  Entries
have no links to each other: the process beside an engine passes on what one
of them asks and what the others answer.
"""

from . import gen_wire as wire
from .codec import Message
from .engineview import EngineView
from .kv import Change, Pair
from .link import Link
from .logs import log_decision
from .watcher import Watcher

__all__ = ('PeerCatchUp',)


class PeerCatchUp:
    """Asks other entries when the service is silent here, and answers them.

    Parameters
    ----------
    name
        Of this process, for the way back.
    watcher
        What this process knows, and where it takes what others know.
    """

    def __init__(self, name: str, watcher: Watcher) -> None:
        """Start as a process that has not read the service yet."""
        self._name = name
        self._watcher = watcher
        self._reads = False

    def note_store(self, answered: bool, engines: EngineView) -> None:
        """Note whether the service answered; ask others where it did not.

        Each failed reading asks once more, of another link each time: the
        process that passes the question on may be cut off itself.
        """
        self._reads = answered
        if not answered:
            engines.send_to_one(wire.PairsAsk(self._name, self._watcher.newest))

    def handle(self, message: Message, link: Link) -> None:
        """Act on a question or an answer."""
        if isinstance(message, wire.PairsAsk):
            self._answer(message, link)
        elif isinstance(message, wire.PairsTold):
            self._take(message)

    def _answer(self, ask: wire.PairsAsk, link: Link) -> None:
        # What a process last read before an outage is no news.
        if not self._reads or self._watcher.newest <= ask.since:
            return
        changes = self._watcher.changes_since(ask.since)
        pairs = [_to_stored(change) for change in changes]
        link.send(wire.PairsTold(ask.asker, self._watcher.newest, pairs))

    def _take(self, told: wire.PairsTold) -> None:
        if self._reads:
            return
        log_decision(
            'changes_heard',
            known=self._watcher.newest,
            newest=told.newest,
            changes=len(told.pairs),
        )
        changes = [_to_change(pair) for pair in told.pairs]
        self._watcher.take_told(changes, told.newest)


def _to_stored(change: Change) -> wire.StoredPair:
    pair = change.pair
    return wire.StoredPair(
        key=change.key,
        revision=change.revision,
        deleted=pair is None,
        stored=pair.stored if pair else b'',
    )


def _to_change(told: wire.StoredPair) -> Change:
    pair = Pair(told.key, told.stored, told.revision)
    return Change(told.key, told.revision, None if told.deleted else pair)
