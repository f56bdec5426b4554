"""Admission of calls at an entry that is being stopped.

The load is a rolling restart of entries while streams of 100 to 2,000 tokens
arrive, some shorter and some longer than the 8 s of the stop.  Decoding takes
9 ms per token, and 14,000 prompt tokens are prefilled per second.
"""

import dataclasses
import unittest

from loguru import logger

from primrosewood.directcalls import DirectCall, GenerationSize
from primrosewood.routes import Route, RouteKind, Target
from primrosewood.stopping import StopWindow

STREAMING_ROUTE = Route(
    'r', 'h', '/', RouteKind.streaming, (Target('s'),), 39, 1.8
)
PLAIN_ROUTE = Route('p', 'h', '/', RouteKind.idempotent, (Target('s'),), 4, 0.4)
ISSUE_ROUTE = Route(
    'i', 'h', '/', RouteKind.non_idempotent, (Target('s'),), 4, 0.4
)

SIZE = GenerationSize(3000, 2000)


def make_call(
    name='a', size=SIZE, target='/x', route=STREAMING_ROUTE, deadline=39
):
    return DirectCall(
        name=name,
        method='POST',
        target=target,
        headers=(),
        body=b'asked',
        route=route,
        service='s',
        organisation='o',
        arrived=0,
        deadline=deadline,
        caller_deadline=deadline,
        size=size,
    )


class StopWindowTest(unittest.TestCase):
    """Which calls are admitted, and when refused callers may retry."""

    def setUp(self):
        self.window = StopWindow(8, balancer_notice_seconds=2.6)

    def test_everything_is_admitted_before_the_stop(self):
        self.assertTrue(self.window.admits(make_call(), 5000, 0))
        self.assertFalse(self.window.begun)

    def test_only_streams_that_end_in_time(self):
        self.window.begin(100)
        self.assertTrue(self.window.admits(make_call(), 250, 100))
        self.assertFalse(self.window.admits(make_call(), 350, 100))
        later = make_call(target='/y')
        self.assertFalse(self.window.admits(later, 250, 102))

    def test_answer_longer_than_its_hint(self):
        """Callers expect 505 tokens, and 254 tokens a second later.

        Guards against an expected length that leaves no room for the half of
        all answers that are longer: both had 800 tokens and were cut.  An
        answer that is limited to little more than its hint is admitted.
        """
        self.window.begin(100)
        call = make_call(target='/y')
        self.assertFalse(self.window.admits(call, 505, 100))
        self.assertFalse(self.window.admits(make_call(), 254, 101.3))
        limited = make_call(size=GenerationSize(3000, 350), target='/z')
        self.assertTrue(self.window.admits(limited, 254, 101.3))

    def test_late_stream_is_buffered(self):
        """A short stream is admitted late, begins, and its engine stalls.

        Its caller must not get part of an answer.  A stream that was admitted
        earlier is forwarded as it arrives, however little time is left.
        """
        label = make_call(size=GenerationSize(2200, 40))
        self.assertFalse(self.window.must_buffer(label, 99))
        self.window.begin(100)
        self.assertFalse(self.window.must_buffer(label, 99))
        self.assertFalse(self.window.must_buffer(label, 102.5))
        for now in (102.6, 105.8, 107.4):
            self.assertTrue(self.window.must_buffer(label, now))
        plain = make_call(size=None, route=PLAIN_ROUTE)
        self.assertFalse(self.window.must_buffer(plain, 107))

    def test_plain_call_with_enough_time(self):
        self.window.begin(100)
        call = make_call(size=None, route=PLAIN_ROUTE)
        self.assertTrue(self.window.admits(call, 0, 107))

    def test_plain_call_in_the_last_moment(self):
        """A plain call arrives 0.3 s before its entry exits.

        Once begun, it would end with an unknown outcome, which the caller may
        not retry; after a refusal it may.
        """
        self.window.begin(100)
        call = make_call(size=None, route=PLAIN_ROUTE)
        self.assertFalse(self.window.admits(call, 0, 107.7))
        self.assertFalse(self.window.admits(call, 0, 108.1))

    def test_plain_call_to_a_slow_service(self):
        """Calls like it have taken 1.5 s, far over their objective of 0.4 s.

        Guards against admission by the objective alone: the call was passed
        on and cut when the process ended.
        """
        self.window.begin(100)
        for route in (PLAIN_ROUTE, ISSUE_ROUTE):
            call = make_call(size=None, route=route)
            self.assertTrue(self.window.admits(call, 0, 105, 1.5))
            self.assertFalse(self.window.admits(call, 0, 107, 1.5))
            self.assertTrue(self.window.admits(call, 0, 107, 0.1))

    def test_plain_call_without_an_objective(self):
        """A route states no objective, and so no usual answer time.

        Guards against an objective of 0 that admits calls until the very end.
        """
        self.window.begin(100)
        route = dataclasses.replace(PLAIN_ROUTE, objective=0)
        call = make_call(size=None, route=route)
        self.assertFalse(self.window.admits(call, 0, 107.9))
        self.assertFalse(self.window.admits(call, 0, 107.9, 0.1))
        self.assertTrue(self.window.admits(call, 0, 107.5, 0.1))

    def test_plain_call_that_may_not_be_repeated(self):
        """No recent call shows how long its service takes.

        Guards against a cut of a call whose caller may not repeat it.  It is
        admitted if its time is over before the process ends.
        """
        self.window.begin(100)
        call = make_call(size=None, route=ISSUE_ROUTE, deadline=106)
        self.assertTrue(self.window.admits(call, 0, 102))
        late = make_call(size=None, route=ISSUE_ROUTE, deadline=110)
        self.assertFalse(self.window.admits(late, 0, 106))

    def test_stream_of_unknown_size(self):
        """A caller does not state the greatest length of its answer.

        It is admitted early in a stop.  Late in the stop it is refused, as
        nothing shows that the answer ends in time.
        """
        self.window.begin(100)
        self.assertTrue(self.window.admits(make_call(size=None), 0, 101))
        self.assertFalse(self.window.admits(make_call(size=None), 0, 103))
        unlimited = make_call(size=GenerationSize(2200, 0))
        self.assertFalse(self.window.admits(unlimited, 40, 103))

    def test_retry_is_admitted(self):
        """The load balancer has no other entry than the one that stops.

        It sends the retry of a refused caller back here.  Guards against
        refusing that caller until the process exits.
        """
        self.window.begin(100)
        self.assertFalse(self.window.admits(make_call('a'), 1500, 100))
        self.assertTrue(self.window.admits(make_call('b'), 1500, 100.1))
        other = make_call('c', target='/y')
        self.assertFalse(self.window.admits(other, 1500, 100.2))

    def test_retry_of_a_plain_call(self):
        """The only entry stops, and a service takes longer than is left.

        Guards against refusing its callers again and again early in the stop.
        One whose call may not be repeated is refused, and so are all late.
        """
        self.window.begin(100)
        call = make_call(size=None, route=PLAIN_ROUTE)
        self.assertFalse(self.window.admits(call, 0, 100, 7))
        self.assertTrue(self.window.admits(call, 0, 100.1, 7))
        self.assertFalse(self.window.admits(call, 0, 103, 7))
        issue = make_call(size=None, route=ISSUE_ROUTE, target='/y')
        self.assertFalse(self.window.admits(issue, 0, 100, 7))
        self.assertFalse(self.window.admits(issue, 0, 100.1, 7))

    def test_length_hint_late_in_the_stop(self):
        """A caller expects 93 of at most 2,000 tokens with 2.2 s left.

        Half of all hints are too low, some by far.  Guards against admitting a
        stream by its hint late in a stop: such a stream outlived the process
        and was cut after 270 tokens.
        """
        self.window.begin(100)
        self.assertFalse(self.window.admits(make_call(), 93, 105.8))

    def test_short_answer_late_in_the_stop(self):
        """A stream of at most 40 tokens ends within 2.2 s in any case."""
        self.window.begin(100)
        call = make_call(size=GenerationSize(2200, 40))
        self.assertTrue(self.window.admits(call, 40, 105.8))

    def test_late_retry_is_refused(self):
        """The load balancer sends a refused caller back with 2 s left.

        Guards against an exception for retries that ignores the remaining
        time: it admitted streams with 0.1 s left, which were certain to be
        cut, so that the caller got part of an answer instead of a refusal.
        """
        self.window.begin(100)
        self.assertFalse(self.window.admits(make_call('a'), 1500, 105.9))
        self.assertFalse(self.window.admits(make_call('b'), 1500, 106))

    def test_retry_after(self):
        """All entries restart at once, and a refused caller retries once.

        Early in the stop other entries may be ready, so the caller may retry
        at once.  Late in the stop the load balancer has no other entry, and a
        caller that retried after 0.05 s was refused again; it should wait
        until this entry has restarted.
        """
        self.window.begin(100)
        self.assertEqual(0.05, self.window.seconds_until_retry(101))
        self.assertAlmostEqual(4.2, self.window.seconds_until_retry(105.8))
        self.assertAlmostEqual(2, self.window.seconds_until_retry(108.1))

    def test_each_decision_is_logged(self):
        """The log explains why a stream was admitted that was cut later.

        It has the reason, the expected and the greatest length of the answer,
        the caller's hint, and the remaining time.
        """
        logged = []
        sink = logger.add(
            lambda message: logged.append(message.record['extra']['pairs'])
        )
        self.addCleanup(logger.remove, sink)
        self.window.admits(make_call('a'), 1500, 99)
        self.window.begin(100)
        self.window.admits(make_call('b'), 1500, 102)
        self.assertEqual(['b'], [pairs['request'] for pairs in logged])
        self.assertFalse(logged[0]['admitted'])
        self.assertEqual('too_long', logged[0]['why'])
        self.assertEqual(1500, logged[0]['guess'])
        self.assertEqual(2000, logged[0]['most'])
        self.assertEqual(6, logged[0]['left'])
