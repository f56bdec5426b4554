"""Reads the priorities in the operators' documents."""

from collections.abc import Iterable
from typing import Any, Protocol

from ..logs import log_event

__all__ = ('read_priorities',)


class _Row(Protocol):
    name: str
    priority: Any


def read_priorities(rows: Iterable[_Row]) -> dict[str, int]:
    """Return the valid priorities by name; a wrong one counts for none."""
    priorities: dict[str, int] = {}
    for row in rows:
        if _is_priority(row.priority):
            priorities[row.name] = row.priority
        elif row.priority is not None:
            log_event(
                'priority_ignored', 'WARNING', name=row.name, why=row.priority
            )
    return priorities


def _is_priority(found: Any) -> bool:
    # JSON's true and false are integers to Python.
    is_number = isinstance(found, int) and not isinstance(found, bool)
    return is_number and found >= 0
