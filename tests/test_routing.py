"""Load-balancing policies, the retry budget and the jitter."""

import random
import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from primrosewood.gen_stored import MemberRecord
from primrosewood.gen_wire import Load
from primrosewood.membership import EndpointView
from primrosewood.retries import RetryBudget, jitter
from primrosewood.routing import (
    POLICIES,
    PressurePolicy,
    RoutingInput,
    make_policy,
)


def make_view(number, running=0, limit=10, memory=0):
    member = MemberRecord(f'e{number}', 'v', 't', 's', 'd', 'i', 'ws://x')
    view = EndpointView(member, linked=True)
    view.update_load(Load(running, 0, limit, memory))
    return view


class PolicyTest(unittest.TestCase):
    """All policies, and the default one, which uses the pressure."""

    @settings(derandomize=True, max_examples=100)
    @given(st.integers(1, 30), st.sampled_from(sorted(POLICIES)), st.integers())
    def test_chooses_one_of_the_usable(self, count, name, seed):
        usable = [make_view(number) for number in range(count)]
        policy = make_policy(name, random.Random(seed))
        for _ in range(5):
            choice = policy.choose(usable, RoutingInput('t/o', 'prompt'))
            self.assertIn(choice.endpoint, usable)

    def test_loaded_endpoint_is_not_chosen(self):
        usable = [make_view(0, running=10), make_view(1, running=1)]
        policy = PressurePolicy(random.Random(1))
        for _ in range(20):
            choice = policy.choose(usable, RoutingInput('t/o'))
            self.assertEqual('e1', choice.endpoint.name)

    def test_own_offers_count_until_next_report(self):
        view = make_view(0, running=2)
        view.offered = 3
        self.assertEqual(0.5, view.pressure)
        view.update_load(Load(running=4, queued=0, limit=10))
        self.assertEqual(0.4, view.pressure)

    def test_entries_with_same_view_choose_different_endpoints(self):
        """A hundred entries choose by the same delayed load reports.

        A policy that sorts the endpoints would send all their requests to
        the same one.
        """
        usable = [make_view(number, running=number % 3) for number in range(30)]
        chosen = Counter(
            PressurePolicy(random.Random(seed))
            .choose(usable, RoutingInput('t/o'))
            .endpoint.name
            for seed in range(100)
        )
        self.assertLess(max(chosen.values()), 20)

    def test_same_prefix_prefers_its_endpoint_until_loaded(self):
        usable = [make_view(number) for number in range(10)]
        policy = PressurePolicy(random.Random(1))
        routing_input = RoutingInput('t/o', 'You draft certificates. ' * 20)
        first = policy.choose(usable, routing_input).endpoint
        again = policy.choose(usable, routing_input)
        self.assertEqual((first, 'prefix'), (again.endpoint, again.why))
        first.update_load(Load(running=9, queued=0, limit=10))
        self.assertIsNot(first, policy.choose(usable, routing_input).endpoint)

    def test_prefix_of_a_removed_endpoint(self):
        usable = [make_view(number) for number in range(3)]
        policy = PressurePolicy(random.Random(1))
        routing_input = RoutingInput('t/o', 'prompt')
        first = policy.choose(usable, routing_input).endpoint
        usable.remove(first)
        self.assertIn(policy.choose(usable, routing_input).endpoint, usable)


class RetryTest(unittest.TestCase):
    """Retries limited to a share of first attempts."""

    @settings(derandomize=True, max_examples=100)
    @given(st.lists(st.booleans(), max_size=400))
    def test_retries_stay_within_share_and_reserve(self, events):
        """A failure domain is lost, and every attempt there needs a retry."""
        budget = RetryBudget(0.2)
        earned = spent = 0
        for is_first in events:
            if is_first:
                budget.earn()
                earned += 1
            else:
                spent += budget.spend()
            self.assertLessEqual(spent, 10 + 0.2 * earned + 1e-6)

    def test_jitter_only_lengthens(self):
        for number in (0, 0.5, 0.999):
            self.assertGreaterEqual(jitter(2.0, number), 2.0)
            self.assertLess(jitter(2.0, number), 3.0)
