"""What an entry takes on while it is being stopped.

The load: restarts of entries one after the other while guides and
certificates of 100 to 2,000 tokens come in, each longer or shorter than the
8 s that are left. Figures: 9 ms a token, 14,000 prompt tokens a second.
"""

import unittest

from loguru import logger

from primrosewood.directcalls import DirectCall, GenerationSize
from primrosewood.routes import Route, RouteKind, Target
from primrosewood.stopping import StopWindow

ROUTE = Route('r', 'h', '/', RouteKind.streaming, (Target('s'),), 39, 1.8)
PLAIN = Route('p', 'h', '/', RouteKind.idempotent, (Target('s'),), 4, 0.4)

SIZE = GenerationSize(3000, 2000)


def make_call(name='a', size=SIZE, target='/x', route=ROUTE):
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
        deadline=39,
        patience=39,
        size=size,
    )


class StopWindowTest(unittest.TestCase):
    """Which streams may begin."""

    def setUp(self):
        self.window = StopWindow(8, noticed_seconds=2.6)

    def test_everything_before_the_stop(self):
        self.assertTrue(self.window.admits(make_call(), 5000, 0))
        self.assertFalse(self.window.begun)

    def test_what_ends_in_time(self):
        self.window.begin(100)
        self.assertTrue(self.window.admits(make_call(), 500, 100))
        self.assertFalse(self.window.admits(make_call(), 700, 100))
        later = make_call(target='/y')
        self.assertFalse(self.window.admits(later, 500, 102))

    def test_late_stream_is_held(self):
        """A label is let in late, begins in time, and its engine stalls.

        Its caller must not get a part; a stream from before is handed on as
        it comes, however little time is left.
        """
        label = make_call(size=GenerationSize(2200, 40))
        self.assertFalse(self.window.must_buffer(label, 99))
        self.window.begin(100)
        self.assertFalse(self.window.must_buffer(label, 99))
        self.assertFalse(self.window.must_buffer(label, 102.5))
        for judged in (102.6, 105.8, 107.4):
            self.assertTrue(self.window.must_buffer(label, judged))
        plain = make_call(size=None, route=PLAIN)
        self.assertFalse(self.window.must_buffer(plain, 107))

    def test_plain_calls(self):
        self.window.begin(100)
        call = make_call(size=None, route=PLAIN)
        self.assertTrue(self.window.admits(call, 0, 107))

    def test_plain_call_in_the_last_moment(self):
        """A reorder comes 0.3 s before its entry ends.

        It has no answer by then and ends in an error that promises nothing,
        so that nobody may send it again; a refusal lets its caller do so.
        """
        self.window.begin(100)
        call = make_call(size=None, route=PLAIN)
        self.assertFalse(self.window.admits(call, 0, 107.7))
        self.assertFalse(self.window.admits(call, 0, 108.1))

    def test_stream_of_unknown_size(self):
        """A caller does not say how long its guide may become.

        Early in a stop it is let in as before; late nothing says that it ends.
        """
        self.window.begin(100)
        self.assertTrue(self.window.admits(make_call(size=None), 0, 101))
        self.assertFalse(self.window.admits(make_call(size=None), 0, 103))
        untold = make_call(size=GenerationSize(2200, 0))
        self.assertFalse(self.window.admits(untold, 40, 103))

    def test_caller_that_comes_back(self):
        """The only entry of a failure domain is restarted.

        A caller is refused, the balancer has no other entry and sends it
        back: it would be refused until the process ends.
        """
        self.window.begin(100)
        self.assertFalse(self.window.admits(make_call('a'), 1500, 100))
        self.assertTrue(self.window.admits(make_call('b'), 1500, 100.1))
        other = make_call('c', target='/y')
        self.assertFalse(self.window.admits(other, 1500, 100.2))

    def test_guess_late_in_the_stop(self):
        """A caller guesses 93 tokens of 2,000 with 2.2 s left.

        Half of all guesses are too short, some by far; the stream outlives
        the process and its caller gets a part of a certificate.  Cause: a
        bet was taken where nothing is left to win; the lines of the decision
        proved it (let in, 93 guessed, 2.2 s left, cut after 270 tokens).
        """
        self.window.begin(100)
        self.assertFalse(self.window.admits(make_call(), 93, 105.8))

    def test_answer_that_cannot_be_long_late_in_the_stop(self):
        """A label of 40 tokens at most ends in 2.2 s however it is guessed."""
        self.window.begin(100)
        call = make_call(size=GenerationSize(2200, 40))
        self.assertTrue(self.window.admits(call, 40, 105.8))

    def test_caller_that_comes_back_late(self):
        """The balancer sends a refused caller back with 2 s left.

        A stream that is begun now is cut for certain, so that letting it in
        only turns a refusal into half an answer.  Cause: the exception for
        those who come back did not ask how much time was left; it let
        callers in with 0.1 s to go.
        """
        self.window.begin(100)
        self.assertFalse(self.window.admits(make_call('a'), 1500, 105.9))
        self.assertFalse(self.window.admits(make_call('b'), 1500, 106))

    def test_when_to_come_back(self):
        """All entries are restarted at once; a refused caller comes back once.

        Early, others may be ready: at once.  Late, the balancer sends callers
        here only for want of others, and 0.05 s later they met the same entry
        and were refused for good: not before this one is back.
        """
        self.window.begin(100)
        self.assertEqual(0.05, self.window.seconds_until_retry(101))
        self.assertAlmostEqual(4.2, self.window.seconds_until_retry(105.8))
        self.assertAlmostEqual(2, self.window.seconds_until_retry(108.1))

    def test_each_decision_is_logged(self):
        """Somebody asks why a stream was let in that the stop then cut.

        The line has what decided: why, the guess and where it came from, the
        most that the answer may hold, and the time that was left.
        """
        told = []
        sink = logger.add(
            lambda message: told.append(message.record['extra']['pairs'])
        )
        self.addCleanup(logger.remove, sink)
        self.window.admits(make_call('a'), 1500, 99)
        self.window.begin(100)
        self.window.admits(make_call('b'), 1500, 102)
        self.assertEqual(['b'], [pairs['request'] for pairs in told])
        self.assertFalse(told[0]['admitted'])
        self.assertEqual('too_long', told[0]['why'])
        self.assertEqual(1500, told[0]['guess'])
        self.assertEqual(2000, told[0]['most'])
        self.assertEqual(6, told[0]['left'])
