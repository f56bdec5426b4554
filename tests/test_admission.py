"""Admission, fair queueing, length prediction and memory, without I/O."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from primrosewood.admission import Admission, AdmissionRequest
from primrosewood.errors import NotRunError
from primrosewood.memory import MemoryReservation, MemoryTracker
from primrosewood.outputlengths import (
    HORIZONS,
    LengthHistogram,
    LengthPredictor,
)
from primrosewood.warmup import ConcurrencyTargets

from .virtualtime import ManualClock


def make_request(
    name,
    organisation='o',
    max_queue_seconds=5.0,
    max_output_tokens=100,
    seconds_left=60,
):
    return AdmissionRequest(
        name,
        organisation,
        1.0,
        'whole',
        't',
        10,
        max_output_tokens,
        max_queue_seconds,
        seconds_left,
    )


class AdmissionTest(unittest.TestCase):
    """Requests start, wait or are refused."""

    def setUp(self):
        self.clock = ManualClock()
        targets = ConcurrencyTargets(
            start=2, most=2, first_token=1, between_tokens=0.1
        )
        self.admission = Admission(self.clock, targets, 4, 0)

    def test_runs_then_queues_then_refuses(self):
        outcomes = [
            self.admission.offer(make_request(str(n))) for n in range(6)
        ]
        self.assertEqual([True, True] + [False] * 4, outcomes)
        with self.assertRaises(NotRunError) as caught:
            self.admission.offer(make_request('7'))
        self.assertGreater(caught.exception.retry_seconds, 0)

    def test_small_organisation_is_not_shut_out(self):
        """A large organisation fills the queue before a small one asks."""
        for number in range(6):
            self.admission.offer(make_request(str(number), 'large'))
        self.assertFalse(self.admission.offer(make_request('s', 'small')))

    def test_waiting_starts_when_one_ends(self):
        for number in range(4):
            self.admission.offer(make_request(str(number)))
        self.admission.finish('0', 10, whole=True)
        started = self.admission.admit_waiting()
        self.assertEqual(['2'], [request.name for request in started])

    def test_expires_when_patience_ends(self):
        for number in range(3):
            self.admission.offer(make_request(str(number)))
        self.clock.now += 6
        self.assertEqual(['2'], [each.name for each in self.admission.expire()])
        self.assertEqual(0, len(self.admission.queue))

    def test_refuses_at_once_what_cannot_start_in_time(self):
        """Answers take ten seconds, but the caller waits only for one."""
        self.admission.offer(make_request('0'))
        self.clock.now += 10
        self.admission.finish('0', 10, whole=True)
        for number in (1, 2, 3):
            self.admission.offer(
                make_request(str(number), max_queue_seconds=60)
            )
        with self.assertRaises(NotRunError):
            self.admission.offer(make_request('4', max_queue_seconds=1))

    @settings(derandomize=True, max_examples=200)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(
                    ['offer', 'finish', 'withdraw', 'wait', 'expire', 'drain']
                ),
                st.integers(0, 15),
            ),
            max_size=60,
        )
    )
    def test_every_request_runs_or_waits_exactly_once(self, events):
        """Requests arrive, end, are withdrawn and expire in any order."""
        self.setUp()
        running, waiting = set(), set()
        for event, number in events:
            name = str(number)
            if event == 'offer' and name not in running | waiting:
                try:
                    started = self.admission.offer(make_request(name))
                except NotRunError:
                    continue
                (running if started else waiting).add(name)
            elif event == 'finish' and name in running:
                self.admission.finish(name, 5, whole=True)
                running.discard(name)
            elif event == 'withdraw':
                self.assertEqual(name in waiting, self.admission.withdraw(name))
                waiting.discard(name)
            elif event == 'wait':
                self.clock.now += 2
            elif event == 'expire':
                waiting -= {each.name for each in self.admission.expire()}
            elif event == 'drain':
                waiting -= {each.name for each in self.admission.drain()}
                self.assertEqual(set(), waiting)
            for request in self.admission.admit_waiting():
                waiting.discard(request.name)
                running.add(request.name)
            self.assertEqual(len(running), self.admission.running)
            self.assertEqual(len(waiting), len(self.admission.queue))
            self.assertLessEqual(len(running), 2)


class FairnessTest(unittest.TestCase):
    """Organisations share an endpoint by tokens."""

    def test_shares_by_tokens_not_requests(self):
        """One organisation asks for answers of 900 tokens, another of 100."""
        clock = ManualClock()
        targets = ConcurrencyTargets(
            start=1, most=1, first_token=1, between_tokens=1
        )
        admission = Admission(clock, targets, 10_000, 0)
        served = {'long': 0, 'short': 0}
        sizes = {'long': 900, 'short': 100}
        for number in range(400):
            for name in served:
                admission.offer(
                    make_request(
                        f'{name}-{number}', name, 1e9, sizes[name], 1e9
                    )
                )
        for _ in range(300):
            (current,) = admission._running
            name = current.partition('-')[0]
            served[name] += sizes[name]
            admission.record_tokens(current, sizes[name], sizes[name])
            admission.finish(current, sizes[name], whole=True)
            admission.admit_waiting()
        self.assertLess(abs(served['long'] - served['short']), 6000)


class LengthTest(unittest.TestCase):
    """Predictions for running generations from finished lengths."""

    def test_remaining_length_rises_with_age_for_mixtures(self):
        """Half the answers are short, and the others are very long."""
        histogram = LengthHistogram()
        for _ in range(200):
            histogram.observe(20)
            histogram.observe(2000)
        initial, later = histogram.predict(0), histogram.predict(100)
        self.assertLess(initial.remaining, later.remaining)
        self.assertAlmostEqual(0.5, initial.alive[2], delta=0.1)
        self.assertAlmostEqual(1.0, later.alive[2], delta=0.05)

    def test_sparse_group_falls_back(self):
        predictor = LengthPredictor()
        for _ in range(50):
            predictor.observe(('streamed', 'a'), 1000)
        self.assertEqual(
            predictor.predict(('streamed',), 0),
            predictor.predict(('streamed', 'b'), 0),
        )

    @settings(derandomize=True, max_examples=200)
    @given(
        st.lists(st.integers(1, 50_000), max_size=60), st.integers(0, 200_000)
    )
    def test_survival_never_rises_with_the_horizon(self, lengths, produced):
        histogram = LengthHistogram()
        for length in lengths:
            histogram.observe(length)
        forecast = histogram.predict(produced)
        self.assertEqual(len(HORIZONS), len(forecast.alive))
        previous = 1.0 + 1e-9
        for probability in forecast.alive:
            self.assertLessEqual(probability, previous + 1e-9)
            self.assertGreaterEqual(probability, -1e-9)
            previous = probability
        self.assertGreaterEqual(forecast.remaining, 0)


class MemoryTest(unittest.TestCase):
    """Admission by memory demand."""

    def make_tracker(self, capacity=1000):
        lengths = LengthPredictor()
        for _ in range(60):
            lengths.observe(('short',), 10)
            lengths.observe(('long',), 600)
        return MemoryTracker(capacity, lengths)

    def test_empty_engine_takes_anything(self):
        tracker = self.make_tracker()
        self.assertTrue(tracker.fits(MemoryReservation(('long',), 5000, 5000)))

    def test_short_answers_pass_where_long_ones_do_not(self):
        tracker = self.make_tracker(capacity=800)
        tracker.add('a', MemoryReservation(('long',), 50, 4000, produced=300))
        self.assertFalse(tracker.fits(MemoryReservation(('long',), 50, 4000)))
        self.assertTrue(tracker.fits(MemoryReservation(('short',), 50, 4000)))

    def test_preemptions_raise_the_reserve(self):
        tracker = self.make_tracker()
        before = tracker.deviations
        tracker.record_preemptions(3)
        self.assertGreater(tracker.deviations, before)
        for number in range(1000):
            tracker.remove(str(number))
        self.assertEqual(before, tracker.deviations)

    def test_unknown_capacity_admits(self):
        tracker = self.make_tracker(capacity=0)
        tracker.add('a', MemoryReservation(('long',), 50, 4000))
        self.assertTrue(tracker.fits(MemoryReservation(('long',), 50, 4000)))
        self.assertEqual(0, tracker.permille)
