"""Ends of back ends while they worked on calls."""

from collections.abc import Collection
from dataclasses import dataclass, replace

__all__ = ('BlamedCall', 'Crash')

_MAX_PARTS = 64
# Of all calls of one end together.
_MAX_BLAMED_CALLS = 48
_MAX_BLAMED_MARKS = 256
# Most organisations and most reporters of one end.
_MAX_NAMES = 8
_UNKNOWN_MS = 3_600_000


@dataclass(frozen=True, slots=True, order=True)
class BlamedCall:
    """A call that was under way at a back end as it ended.

    Attributes
    ----------
    marks
        By which the call is recognised, sorted.
    milliseconds
        Since it was sent.
    events
        Events of its answer that had come.
    """

    marks: tuple[str, ...]
    organisation: str
    milliseconds: int = _UNKNOWN_MS
    events: int = 0


@dataclass(frozen=True, slots=True)
class Crash:
    """The end of one start of a back end while it worked on calls.

    Attributes
    ----------
    boot
        Identifies the start of the back end, 0 if unknown.
    organisations
        Whose calls they were.
    parts
        Marks of the calls.
    cleared
        Those of the marks with which a call was answered since.
    reporters
        Entries whose calls they were.
    calls
        The calls one by one; empty if an older process told of them.
    certain
        Whether the back end is known to have ended; if not, connections to
        it broke.
    """

    endpoint: str
    boot: int
    service: str
    organisations: frozenset[str]
    parts: frozenset[str]
    cleared: frozenset[str] = frozenset()
    reporters: frozenset[str] = frozenset()
    calls: frozenset[BlamedCall] = frozenset()
    certain: bool = True

    @property
    def blamed(self) -> Collection[BlamedCall]:
        """Calls that may have caused it."""
        if self.calls:
            return self.calls
        marks = tuple(sorted(self.parts))
        return [BlamedCall(marks, name) for name in self.organisations]

    @property
    def suspects(self) -> frozenset[str]:
        """Marks that may have caused it."""
        marks = {mark for call in self.blamed for mark in call.marks}
        return frozenset(marks - self.cleared)

    def with_mark(self, mark: str) -> tuple[BlamedCall, ...]:
        """Return the blamed calls that have a mark."""
        return tuple(call for call in self.blamed if mark in call.marks)

    def clear(self, marks: frozenset[str]) -> 'Crash':
        """Return a record in which some more marks are cleared."""
        cleared = _join(self.cleared, marks, _MAX_BLAMED_MARKS)
        return replace(self, cleared=cleared)

    def limit_calls(self) -> 'Crash':
        """Return a record with as many calls as are kept."""
        return replace(self, calls=_limit_calls(self.calls))

    def same_start(self, other: 'Crash') -> bool:
        """Return whether both are of the same start of a back end."""
        same_boot = self.boot == other.boot or not (self.boot and other.boot)
        return self.endpoint == other.endpoint and same_boot

    def merge(self, other: 'Crash') -> 'Crash':
        """Return what both records of one end say."""
        return Crash(
            self.endpoint,
            self.boot or other.boot,
            self.service,
            _join(self.organisations, other.organisations, _MAX_NAMES),
            _join(self.parts, other.parts, _MAX_PARTS),
            _join(self.cleared, other.cleared, _MAX_BLAMED_MARKS),
            _join(self.reporters, other.reporters, _MAX_NAMES),
            _limit_calls(self.calls | other.calls),
            self.certain or other.certain,
        )


def _join(
    known: frozenset[str], added: frozenset[str], limit: int
) -> frozenset[str]:
    """Return at most a number of all members, the same ones at each entry."""
    joined = known | added
    return joined if len(joined) <= limit else frozenset(sorted(joined)[:limit])


def _limit_calls(calls: frozenset[BlamedCall]) -> frozenset[BlamedCall]:
    """Return the first calls that fit, the same ones at each entry."""
    kept: list[BlamedCall] = []
    marks = 0
    for call in sorted(calls):
        marks += len(call.marks)
        if marks > _MAX_BLAMED_MARKS or len(kept) == _MAX_BLAMED_CALLS:
            break
        kept.append(call)
    return frozenset(kept)
