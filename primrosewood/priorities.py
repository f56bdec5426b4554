"""Priorities of calls, from what operators set for organisations and routes."""

from collections.abc import Mapping
from functools import cached_property

__all__ = ('PriorityTable',)


class PriorityTable:
    """Orders calls by organisation, then by route.

    An organisation's priority takes precedence over that of a route, which
    decides among calls of equal organisations and stands alone where an
    organisation has none.

    Parameters
    ----------
    routes, organisations
        Priorities by name, 0 for the most urgent; whoever has none is left
        out.
    """

    def __init__(
        self,
        routes: Mapping[str, int] | None = None,
        organisations: Mapping[str, int] | None = None,
    ) -> None:
        """Keep the priorities of one version of the operators' routes."""
        self._routes = routes or {}
        self._organisations = organisations or {}

    def find_rank(self, route: str, organisation: str) -> int | None:
        """Return the rank of a call, 0 for the first; None if it has none."""
        own = self._organisations.get(organisation)
        of_route = self._routes.get(route)
        if own is None and of_route is None:
            return None
        return self._ranks[_make_key(own, of_route)]

    @property
    def last_rank(self) -> int | None:
        """Rank of the least urgent calls, None if nothing has a priority."""
        return len(self._ranks) - 1 if self._ranks else None

    @cached_property
    def _ranks(self) -> dict[tuple[int, int], int]:
        keys = {
            _make_key(own, of_route)
            for own in (None, *self._organisations.values())
            for of_route in (None, *self._routes.values())
            if own is not None or of_route is not None
        }
        return {key: rank for rank, key in enumerate(sorted(keys))}


def _make_key(own: int | None, of_route: int | None) -> tuple[int, int]:
    first = of_route if own is None else own
    return first, first if of_route is None else of_route
