"""Which parts of prompts make engines crash, by the crashes that are known."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from primrosewood.answeredmarks import AnsweredMarks
from primrosewood.crashes import BlamedCall, Crash
from primrosewood.crashevidence import CrashEvidence

_NAMES = st.frozensets(st.sampled_from('abcdef'), max_size=4)


def make_crash(number, parts='fb', organisation='o', **fields):
    """Return the crash of an engine; each letter is a part."""
    return Crash(
        f'e{number}',
        number,
        's',
        frozenset((organisation,)),
        frozenset(parts),
        **fields,
    )


class CrashEvidenceTest(unittest.TestCase):
    """Calls that are refused; `f` is the first part and `b` the bad one."""

    def setUp(self):
        self.evidence = CrashEvidence()

    def record(self, *crashes):
        for number, crash in enumerate(crashes):
            self.evidence.record(crash, now=float(number))

    def is_refused(self, parts, organisation='o', service='s'):
        cause = self.evidence.find_cause(service, organisation, parts)
        return cause is not None

    def test_two_crashes_refuse_nothing(self):
        self.record(make_crash(1), make_crash(2))
        self.assertFalse(self.is_refused('fb'))

    def test_calls_with_all_common_parts_are_refused(self):
        """Guards against sound calls with the same first part."""
        self.record(make_crash(1, 'fbx'), make_crash(2, 'fby'), make_crash(3))
        self.assertTrue(self.is_refused('fbz'))
        self.assertFalse(self.is_refused('f'))
        self.assertFalse(self.is_refused('fx'))
        self.assertFalse(self.is_refused('fb', service='t'))

    def test_calls_are_refused_whatever_else_they_hold(self):
        """Guards against the part beside another first part."""
        self.record(make_crash(1), make_crash(2, 'gb'), make_crash(3))
        self.assertTrue(self.is_refused('hb'))

    def test_crash_of_another_cause(self):
        """Guards against an ordinary crash that hides the part."""
        self.record(
            make_crash(1), make_crash(2, 'fx'), make_crash(3), make_crash(4)
        )
        self.assertTrue(self.is_refused('fb'))
        self.evidence.clear('s', 'fx')
        self.assertTrue(self.is_refused('gb'))
        self.assertFalse(self.is_refused('fx'))

    def test_answered_part_is_cleared(self):
        """Guards against a popular part that is present at most crashes."""
        self.record(make_crash(1, 'f'), make_crash(2, 'f'))
        self.evidence.clear('s', 'fx')
        self.record(make_crash(3, 'f'))
        self.assertFalse(self.is_refused('f'))

    def test_mended_part_is_served_again(self):
        self.record(make_crash(1), make_crash(2), make_crash(3))
        self.evidence.clear('s', 'fb')
        self.assertEqual([], self.evidence.causes)

    def test_engines_lost_together_count_once(self):
        """Guards against sound calls refused after a failure domain is lost."""
        for number in range(9):
            self.evidence.record(make_crash(number), now=5 + number / 100)
        self.assertFalse(self.is_refused('fb'))

    def test_crash_known_from_several_entries_counts_once(self):
        self.record(
            make_crash(1, reporters=frozenset('x')),
            make_crash(1, reporters=frozenset('y')),
            Crash('e1', 0, 's', frozenset('o'), frozenset('fb')),
        )
        self.assertEqual(1, len(self.evidence.crashes))

    def test_restarted_engine_of_the_same_name_crashes_again(self):
        names = frozenset('o'), frozenset('fb')
        self.record(*(Crash('e', boot, 's', *names) for boot in (1, 2, 3)))
        self.assertTrue(self.is_refused('fb'))

    def test_other_organisations_are_served(self):
        """Guards against callers that get another's calls refused."""
        self.record(make_crash(1), make_crash(2), make_crash(3))
        self.assertFalse(self.is_refused('fb', organisation='p'))
        self.record(make_crash(4, organisation='p'))
        self.assertTrue(self.is_refused('fb', organisation='q'))

    def test_calls_without_common_parts_are_served(self):
        self.record(make_crash(1, ''), make_crash(2, ''), make_crash(3, ''))
        self.assertFalse(self.is_refused(''))

    def test_crashes_are_forgotten(self):
        """Guards against calls that are refused for ever."""
        self.record(make_crash(1), make_crash(2), make_crash(3))
        self.assertFalse(self.evidence.drop_expired(500))
        self.assertTrue(self.evidence.drop_expired(700))
        self.assertFalse(self.is_refused('fb'))

    def test_memory_is_bounded(self):
        """Guards against callers that choose ever new parts."""
        for number in range(150):
            parts = [f'{number}-{part}' for part in range(100)]
            self.evidence.record(make_crash(number, parts), float(number))
            self.evidence.record(make_crash(number, parts[50:]), float(number))
        self.assertLessEqual(len(self.evidence.crashes), 64)
        self.assertLessEqual(
            max(len(crash.parts) for crash in self.evidence.crashes), 64
        )


class BlamedCallsTest(unittest.TestCase):
    """Ends under several calls, each of which has its own marks."""

    def setUp(self):
        self.evidence = CrashEvidence()

    def record(self, number, *calls, now=None, certain=True):
        crash = make_crash(
            number,
            {mark for call in calls for mark in call.marks},
            calls=frozenset(calls),
            certain=certain,
        )
        self.evidence.record(crash, float(number) if now is None else now)

    def is_refused(self, marks, organisation='o'):
        return bool(self.evidence.find_cause('s', organisation, marks))

    def test_other_calls_under_way(self):
        """Guards against sound calls that hide the one beside them."""
        for number in (1, 2, 3):
            self.record(
                number, BlamedCall(('b',), 'o'), BlamedCall(('p',), 'q')
            )
        self.assertTrue(self.is_refused('b'))
        self.assertFalse(self.is_refused('b', 'q'))
        self.evidence.clear('s', 'p')
        self.assertTrue(self.is_refused('b'))
        self.assertFalse(self.is_refused('p', 'q'))

    def test_one_call_goes_on_from_end_to_end(self):
        """Guards against ends that count once as they come quickly."""
        for number, now in ((1, 5.0), (2, 5.1), (3, 5.2)):
            call = BlamedCall(('b',), 'o', milliseconds=60)
            self.record(number, call, now=now)
        self.assertTrue(self.is_refused('b'))
        self.assertEqual([1, 2, 3], self.evidence.moments())

    def test_ends_of_one_moment_under_one_request(self):
        """Guards against one request sent to many servers at once."""
        for number in (1, 2, 3):
            call = BlamedCall(('content:b', 'f'), 'o')
            self.record(number, call, now=5.0)
        self.assertTrue(self.is_refused(('content:b', 'f')))
        self.assertFalse(self.is_refused('f'))

    def test_calls_at_some_of_the_ends_of_a_moment(self):
        """Guards against calls that were under way in a lost domain."""
        for number in range(12):
            mark = 'b' if number % 4 == 0 else f'p{number}'
            now = 5.0 * (number // 4) + 0.01 * number
            self.record(number + 1, BlamedCall((mark,), 'o'), now=now)
        self.assertFalse(self.is_refused('b'))

    def test_doubt_counts_beside_two_ends(self):
        """Guards against a third end that is not known yet."""
        call = BlamedCall(('b',), 'o')
        self.record(1, call, certain=False)
        self.record(2, call, certain=False)
        self.record(3, call, certain=False)
        self.assertFalse(self.is_refused('b'))
        self.evidence.confirm('e1', 1)
        self.evidence.confirm('e2', 2)
        self.assertTrue(self.is_refused('b'))
        self.assertFalse(self.evidence.causes[0].certain)
        self.evidence.drop_expired(8)
        self.assertFalse(self.is_refused('b'))

    def test_doubt_that_is_renewed(self):
        """Guards against ends that are counted out of their order."""
        call = BlamedCall(('b',), 'o')
        self.record(1, call, now=1.0, certain=False)
        self.record(2, call, now=2.0)
        self.record(3, call, now=2.5)
        again = BlamedCall(('b', 'c'), 'o')
        self.record(1, again, now=4.0, certain=False)
        self.assertTrue(self.is_refused('b'))

    def test_doubts_do_not_displace_ends(self):
        """Guards against ends forgotten over connections that just break."""
        for number in (1, 2, 3):
            self.record(number, BlamedCall(('b',), 'o'))
        for number in range(4, 300):
            call = BlamedCall((f'm{number}',), 'o')
            self.record(number, call, certain=False)
        self.assertTrue(self.is_refused('b'))
        self.assertLessEqual(len(self.evidence.known), 96)
        self.assertEqual(0, self.evidence.dropped)

    def test_flood_of_different_requests(self):
        """Guards against memory that grows with requests that end servers."""
        for number in range(200):
            calls = [
                BlamedCall(
                    tuple(f'{number}-{call}-{mark}' for mark in range(20)), 'o'
                )
                for call in range(60)
            ]
            self.record(number, *calls)
        self.assertEqual(136, self.evidence.dropped)
        marks = sum(
            len(call.marks)
            for crash in self.evidence.known
            for call in crash.calls
        )
        self.assertLessEqual(marks, 64 * 256)

    def test_long_answer_clears(self):
        """Guards against a popular part refused until a stream is whole."""
        for number in (1, 2, 3):
            self.record(number, BlamedCall(('f',), 'o', events=20))
        self.evidence.clear('s', 'f', 40)
        self.assertTrue(self.is_refused('f'))
        self.evidence.clear('s', 'f', 50)
        self.assertFalse(self.is_refused('f'))


class AnsweredMarksTest(unittest.TestCase):
    """Marks of most calls, which are present whenever a back end ends."""

    def test_common_marks(self):
        answered = AnsweredMarks()
        for now in (1, 2, 3):
            answered.record('s', ('f', f'own-{now}'), now)
        self.assertTrue(answered.are_common('s', ('f',), 4))
        self.assertFalse(answered.are_common('s', ('f', 'own-1'), 4))
        self.assertFalse(answered.are_common('t', ('f',), 4))
        self.assertFalse(answered.are_common('s', ('f',), 64))


class MergedRecordsTest(unittest.TestCase):
    """Records of crashes that reach entries in any order."""

    @settings(derandomize=True, max_examples=60)
    @given(
        st.lists(
            st.tuples(st.integers(1, 4), _NAMES, _NAMES),
            min_size=1,
            max_size=8,
        ),
        st.integers(0, 1000),
    )
    def test_order_does_not_matter(self, rows, seed):
        """Guards against entries that decide differently on the same news."""
        records = [
            make_crash(number, parts, cleared=cleared)
            for number, parts, cleared in rows
        ]
        shuffled = records * 2
        random.Random(seed).shuffle(shuffled)
        causes = []
        for order in (records, shuffled):
            evidence = CrashEvidence()
            for crash in order:
                evidence.record(crash, now=float(crash.boot))
            causes.append(set(evidence.causes))
        self.assertEqual(*causes)
