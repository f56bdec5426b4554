"""Selection of the subset of endpoints that an entry connects to."""

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from primrosewood.selection import Candidate, select_subset


def make_candidates(count, domains=3):
    return [Candidate(f'e{n}', f'd{n % domains}') for n in range(count)]


class SubsetTest(unittest.TestCase):
    """Size, spread over failure domains, balance and stability."""

    @settings(derandomize=True, max_examples=200)
    @given(st.integers(0, 40), st.integers(1, 12), st.integers(1, 5), st.text())
    def test_size_and_membership(self, count, size, domains, entry):
        candidates = make_candidates(count, domains)
        chosen = select_subset(entry, candidates, size)
        self.assertEqual(len(set(chosen)), len(chosen))
        self.assertLessEqual(set(chosen), {each.name for each in candidates})
        self.assertLessEqual(abs(len(chosen) - min(size, count)), 1)

    def test_every_domain_is_represented(self):
        candidates = make_candidates(30, domains=5)
        for number in range(50):
            chosen = select_subset(f'entry-{number}', candidates, 5)
            domains = {int(name[1:]) % 5 for name in chosen}
            self.assertEqual(5, len(domains))

    def test_balanced_over_unequal_domains(self):
        """One failure domain has a fifth of the other's endpoints.

        Equal shares for both domains would give an endpoint in the small one
        five times the load.
        """
        candidates = [
            Candidate(f'e{n}', 'small' if n < 5 else 'large') for n in range(30)
        ]
        counts = Counter()
        for number in range(400):
            counts.update(select_subset(f'entry-{number}', candidates, 6))
        small = sum(counts[f'e{n}'] for n in range(5)) / 5
        large = sum(counts[f'e{n}'] for n in range(5, 30)) / 25
        self.assertLess(abs(small / large - 1), 0.25)

    def test_removed_endpoint_moves_few_connections(self):
        candidates = make_candidates(30)
        moved = 0
        for number in range(100):
            before = set(select_subset(f'entry-{number}', candidates, 6))
            after = set(select_subset(f'entry-{number}', candidates[:-1], 6))
            moved += len(after - before)
        self.assertLess(moved, 100)
