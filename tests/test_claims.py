"""Pages of claims: merging, and concurrent writes by several entries."""

import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from primrosewood.claims import (
    ClaimProposal,
    ClaimWriter,
    apply_proposals,
    parse_page,
    serialise_page,
)
from primrosewood.clock import SystemClock
from primrosewood.errors import StoreUnavailableError, WireError
from primrosewood.gen_process import ClaimSettings
from primrosewood.gen_wire import ClaimRecord
from primrosewood.kv import MemoryKeyValue

from .faultystore import FaultyStore


def make_claim(digest='aa', nonce='n1', number=1, at=100):
    return ClaimRecord(digest, nonce, f'a-{nonce}', number, 'e1', 'i1', 'b', at)


class PageTest(unittest.TestCase):
    """Encoding of pages and application of proposals."""

    def test_round_trip(self):
        page = {'aa': make_claim(), 'bb': make_claim('bb', 'n2')}
        self.assertEqual(page, parse_page(serialise_page(page)))

    def test_first_claim_wins(self):
        page, results = apply_proposals(
            {},
            [
                ClaimProposal(make_claim(nonce='n1')),
                ClaimProposal(make_claim(nonce='n2')),
            ],
            0,
        )
        self.assertTrue(results['n1'].granted)
        self.assertFalse(results['n2'].granted)
        self.assertEqual('n1', results['n2'].record.nonce)
        self.assertEqual(['n1'], [record.nonce for record in page.values()])

    def test_only_the_named_claim_is_replaced(self):
        """Two entries try to replace the same refused claim."""
        page = {'aa': make_claim(nonce='n1')}
        proposals = [
            ClaimProposal(make_claim(nonce='n2', number=2), replaces='n1'),
            ClaimProposal(make_claim(nonce='n3', number=2), replaces='n1'),
        ]
        page, results = apply_proposals(page, proposals, 0)
        self.assertTrue(results['n2'].granted)
        self.assertFalse(results['n3'].granted)

    def test_own_claim_is_recognised(self):
        """A swap succeeded but its response was lost; the claim is retried."""
        page = {'aa': make_claim(nonce='n1')}
        _page, results = apply_proposals(
            page, [ClaimProposal(make_claim(nonce='n1'))], 0
        )
        self.assertTrue(results['n1'].granted)

    def test_old_claims_are_dropped(self):
        page, _results = apply_proposals({'aa': make_claim(at=5)}, [], 6)
        self.assertEqual({}, page)

    @settings(derandomize=True, max_examples=200)
    @given(st.binary(max_size=200))
    def test_hostile_pages(self, stored):
        try:
            parse_page(stored)
        except WireError:
            return


class FullPageTest(unittest.IsolatedAsyncioTestCase):
    """A page of the largest size that the service accepts."""

    async def test_full_page_refuses_new_claims_and_keeps_the_old(self):
        """Claims are added faster than they expire, and the page fills up.

        A new claim must fail with an error; the claim of an older key must
        still be recognised.
        """
        store = MemoryKeyValue()
        page = {
            f'{number:032x}': make_claim(
                f'{number:032x}', f'{number}', at=2**40
            )
            for number in range(16_000)
        }
        await store.put('primrosewood/claims/0', serialise_page(page))
        claim_writer = ClaimWriter(
            store,
            SystemClock(),
            ClaimSettings(shards=1, period_seconds=0.01),
            timeout_seconds=0.3,
        )
        with self.assertRaises(StoreUnavailableError):
            await claim_writer.claim(
                ClaimProposal(make_claim('f' * 32, 'new', at=2**40))
            )
        old = await claim_writer.claim(
            ClaimProposal(make_claim(f'{7:032x}', 'x', at=2**40))
        )
        self.assertFalse(old.granted)
        self.assertEqual('7', old.record.nonce)


class ClaimWriterTest(unittest.TestCase):
    """Several entries claim the same keys while the store has faults."""

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(st.sampled_from(['', 'before', 'after']), max_size=12),
        st.lists(st.tuples(st.integers(0, 2), st.integers(0, 3)), max_size=12),
    )
    def test_one_winner_for_each_key(self, faults, claims):
        """Entries claim the same keys while some swaps fail.

        A fault strikes before a swap, which then is not made, or after it,
        when only its response is lost. At most one proposal for a key may be
        granted, so that its request runs once, and all entries must agree
        which.
        """
        asyncio.run(self.race(faults, claims))

    async def race(self, faults, claims):
        store = FaultyStore(faults)
        claim_writers = [
            ClaimWriter(
                store,
                SystemClock(),
                ClaimSettings(shards=2, period_seconds=0),
                timeout_seconds=2,
            )
            for _ in range(3)
        ]
        proposals = [
            (
                claim_writers[claim_writer],
                ClaimProposal(make_claim(f'{key:08x}', f'n{number}', at=2**40)),
            )
            for number, (claim_writer, key) in enumerate(claims)
        ]
        results = await asyncio.gather(
            *(
                claim_writer.claim(proposal)
                for claim_writer, proposal in proposals
            )
        )
        winners = {}
        for (_claim_writer, proposal), result in zip(
            proposals, results, strict=True
        ):
            digest = proposal.record.digest
            nonce = winners.setdefault(digest, result.record.nonce)
            self.assertEqual(nonce, result.record.nonce)
            self.assertEqual(nonce == proposal.record.nonce, result.granted)
