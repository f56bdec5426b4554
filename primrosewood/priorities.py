"""Priorities of calls: rank of a route, unless its organisation has one."""

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ('PriorityTable',)


@dataclass(frozen=True, slots=True)
class PriorityTable:
    """Ranks that operators have set; 0 is the most urgent one.

    Attributes
    ----------
    routes, organisations
        Ranks by name; whoever has none is left out.
    """

    routes: Mapping[str, int] = field(default_factory=dict)
    organisations: Mapping[str, int] = field(default_factory=dict)

    def find(self, route: str, organisation: str) -> int | None:
        """Return the rank of an organisation's calls on a route, if any."""
        own = self.organisations.get(organisation)
        return self.routes.get(route) if own is None else own
