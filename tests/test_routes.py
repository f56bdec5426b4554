"""Tables of the routes of direct calls."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from primrosewood.routes import (
    Route,
    RouteKind,
    RouteTable,
    TableHolder,
    Target,
    choose_target,
)

ONE_TARGET = (Target('a'),)


def make_route(prefix, targets=ONE_TARGET):
    return Route(prefix, 'h', prefix, RouteKind.idempotent, targets, 1.0, 0.1)


class RouteTableTest(unittest.TestCase):
    """Which route and which target a call gets."""

    def test_longest_prefix_of_the_host(self):
        table = RouteTable(1, (make_route('/a/'), make_route('/a/b/')))
        self.assertEqual('/a/b/', table.find('h', '/a/b/c').name)
        self.assertEqual('/a/', table.find('h', '/a/bc').name)
        self.assertIsNone(table.find('h', '/b/'))
        self.assertIsNone(table.find('other', '/a/'))

    def test_targets_are_chosen_by_weight(self):
        targets = (Target('a', 90), Target('b', 10))
        draws = random.Random(3)
        chosen = [
            choose_target(make_route('/', targets), draws.random())
            for _ in range(2000)
        ]
        self.assertAlmostEqual(0.1, chosen.count('b') / 2000, delta=0.03)

    def test_no_target_has_a_weight(self):
        """Guards against calls to a service that operators gave no share."""
        for targets in (
            (Target('a', 0), Target('b', 0)),
            (Target('', 1),),
            (),
        ):
            for draw in (0, 0.5, 1 - 2**-53):
                route = make_route('/', targets)
                self.assertIsNone(choose_target(route, draw), targets)

    def test_services_without_weight_get_nothing(self):
        """Guards against calls to a service that operators gave no share."""
        last = 1 - 2**-53
        targets = (Target('a', 0.1), Target('b', 0.2), Target('c', 0))
        for draw in (0, 0.5, last):
            route = make_route('/', targets)
            self.assertNotEqual('c', choose_target(route, draw))


class TableHolderTest(unittest.TestCase):
    """Which version of the table is held."""

    @settings(derandomize=True)
    @given(st.lists(st.integers(1, 50), min_size=1))
    def test_holds_newest_version_in_any_order(self, versions):
        holder = TableHolder()
        for version in versions:
            before = holder.version
            holder.replace_if_newer(RouteTable(version, ()))
            self.assertGreaterEqual(holder.version, before)
        self.assertEqual(max(versions), holder.version)
