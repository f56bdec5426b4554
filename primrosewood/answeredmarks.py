"""Marks of the calls that back ends have answered lately.

Where back ends end for another reason, what most calls have in common is
present at each end.  What has often been answered needs more evidence.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ('AnsweredMarks',)

_MEMORY_SECONDS = 60.0
_MAX_MARKS = 4096
# A mark that few calls had may still belong to one request that was repeated.
_MIN_ANSWERS = 3


@dataclass(slots=True)
class AnsweredMarks:
    """How often calls with each mark were answered, and when last."""

    _answers: OrderedDict[tuple[str, str], tuple[int, float]] = field(
        default_factory=OrderedDict
    )

    def record(self, service: str, marks: Iterable[str], now: float) -> None:
        """Record that a call was answered completely."""
        for mark in marks:
            count = self._count(service, mark, now)
            self._answers[service, mark] = (count + 1, now)
            self._answers.move_to_end((service, mark))
        while len(self._answers) > _MAX_MARKS:
            self._answers.popitem(last=False)

    def are_common(
        self, service: str, marks: Iterable[str], now: float
    ) -> bool:
        """Return whether calls with each of the marks are often answered."""
        return all(
            self._count(service, mark, now) >= _MIN_ANSWERS for mark in marks
        )

    def _count(self, service: str, mark: str, now: float) -> int:
        count, answered_at = self._answers.get((service, mark), (0, now))
        return count if now < answered_at + _MEMORY_SECONDS else 0
