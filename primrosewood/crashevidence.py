"""Which calls make back ends end.

A call may end every back end that works on it, whatever shows this.  All marks
of all calls that were under way as a back end ended are suspects; a mark is
cleared once a call with it is answered.  A call is refused if it has all marks
that the blamed calls of several ends have in common, so that calls which share
only some of them with those that end back ends are served.

The records of an end only grow: entries can merge them in any order and learn
the same.
"""

from collections.abc import Collection
from dataclasses import dataclass, field, replace

from .crashcauses import (
    Cause,
    SeenCrash,
    Sighting,
    find_causes,
    number_moments,
)
from .crashes import Crash

__all__ = ('CrashEvidence',)

_MAX_CRASHES = 64
_MAX_DOUBTS = 32
# An end is forgotten after this time.
_MEMORY_SECONDS = 600.0
# One that has not become certain by then.
_DOUBT_SECONDS = 4.0
# A stream clears its marks once it is this many times as long as those that
# broke off, and some events longer.
_SURVIVAL_FACTOR = 2
_SURVIVAL_EVENTS = 10


@dataclass(slots=True)
class CrashEvidence:
    """All ends that an entry knows of, and the causes that follow.

    Attributes
    ----------
    dropped
        Number of ends that were forgotten as there were too many.
    """

    dropped: int = 0
    _seen: list[SeenCrash] = field(default_factory=list)
    _causes: list[Cause] | None = field(default_factory=list)

    @property
    def known(self) -> list[Crash]:
        """All ends, also those that may not have been."""
        return [each.crash for each in self._seen]

    @property
    def crashes(self) -> list[Crash]:
        """All certain ends, in the order in which they were."""
        return [each.crash for each in self._certain()]

    @property
    def causes(self) -> list[Cause]:
        """What calls are refused for."""
        if self._causes is None:
            self._causes = self._find_causes()
        return self._causes

    def moments(self) -> list[int]:
        """Return for each certain end the number of the moment it was at."""
        certain = self._certain()
        return number_moments(
            [Sighting(each, tuple(each.crash.blamed)) for each in certain]
        )

    def find(self, crash: Crash) -> Crash | None:
        """Return all that is known of the end that a record is about."""
        known = self._find(crash)
        return None if known is None else known.crash

    def confirm(self, endpoint: str, boot: int) -> Crash | None:
        """Make an end certain; return it, None if it is not known."""
        wanted = Crash(endpoint, boot, '', frozenset(), frozenset())
        known = self._find(wanted)
        if known is None:
            return None
        known.replace(replace(known.crash, certain=True))
        self._drop_excess()
        self._causes = None
        return known.crash

    def find_age(self, crash: Crash, now: float) -> float:
        """Return the seconds since an end, 0 if it is not known."""
        known = self._find(crash)
        return 0 if known is None else now - known.seen_at

    def record(self, crash: Crash, now: float) -> bool:
        """Merge a record of an end; return whether it says anything new.

        Parameters
        ----------
        now
            When the back end ended, in monotonic seconds.
        """
        known = self._find(crash)
        if known is None:
            if not crash.blamed:
                return False
            self._seen.append(SeenCrash(crash.limit_calls(), now))
            self._drop_excess()
        else:
            merged = known.crash.merge(crash)
            if not merged.certain:
                known.seen_at = max(known.seen_at, now)
                self._seen.sort(key=_order)
            if merged == known.crash:
                return False
            known.replace(merged)
        self._causes = None
        return True

    def clear(
        self, service: str, marks: Collection[str], events: int | None = None
    ) -> list[Crash]:
        """Clear the marks of an answered call; return the changed ends.

        Parameters
        ----------
        events
            Events of an answer that is not complete yet, None of a complete
            one.
        """
        changed = []
        for each in self._seen:
            concerned = each.suspects.intersection(marks)
            if not concerned or each.crash.service != service:
                continue
            cleared = {
                mark
                for mark in concerned
                if _outlasts(each.crash, mark, events)
            }
            if cleared:
                each.replace(each.crash.clear(frozenset(cleared)))
                changed.append(each.crash)
        if changed:
            self._causes = None
        return changed

    def drop_expired(self, now: float) -> bool:
        """Forget old ends; return whether there were any."""
        kept = [each for each in self._seen if _is_remembered(each, now)]
        expired = len(kept) < len(self._seen)
        if expired:
            self._seen = kept
            self._causes = None
        return expired

    def find_cause(
        self, service: str, organisation: str, marks: Collection[str]
    ) -> Cause | None:
        """Return why a call would end a back end, None if it would not."""
        found = self.find_causes(service, organisation, marks)
        return next(iter(found), None)

    def find_causes(
        self, service: str, organisation: str, marks: Collection[str]
    ) -> list[Cause]:
        """Return all causes that a call matches, certain ones first."""
        found = [
            cause
            for cause in self.causes
            if cause.service == service and cause.matches(organisation, marks)
        ]
        return sorted(found, key=_by_certainty)

    def _certain(self) -> list[SeenCrash]:
        return [each for each in self._seen if each.crash.certain]

    def _find(self, crash: Crash) -> SeenCrash | None:
        return next(
            (each for each in self._seen if each.crash.same_start(crash)), None
        )

    def _drop_excess(self) -> None:
        self._seen.sort(key=_order)
        certain = self._certain()
        doubts = [each for each in self._seen if not each.crash.certain]
        kept = certain[-_MAX_CRASHES:] + doubts[-_MAX_DOUBTS:]
        self.dropped += len(certain) - len(certain[-_MAX_CRASHES:])
        self._seen = sorted(kept, key=_order)

    def _find_causes(self) -> list[Cause]:
        ended_at = [each.seen_at for each in self._certain()]
        services = {each.crash.service for each in self._seen}
        return [
            cause
            for service in sorted(services)
            for cause in find_causes(
                [each for each in self._seen if each.crash.service == service],
                ended_at,
            )
        ]


def _order(seen: SeenCrash) -> float:
    return seen.seen_at


def _by_certainty(cause: Cause) -> bool:
    return not cause.certain


def _is_remembered(seen: SeenCrash, now: float) -> bool:
    seconds = _MEMORY_SECONDS if seen.crash.certain else _DOUBT_SECONDS
    return now < seen.seen_at + seconds


def _outlasts(crash: Crash, mark: str, events: int | None) -> bool:
    """Return whether an answer is longer than those that broke off."""
    if events is None:
        return True
    reached = max(call.events for call in crash.with_mark(mark))
    return events >= _SURVIVAL_FACTOR * reached + _SURVIVAL_EVENTS
