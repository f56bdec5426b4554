"""Tests of the concurrency limit with an engine that is or turns cold."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from primrosewood.warmup import ConcurrencyLimit, ConcurrencyTargets
from standins.enginemodel import EngineModel, EngineShape, ModelStream

_TARGETS = ConcurrencyTargets(
    start=2, most=32, first_token=0.5, between_tokens=0.03
)


class LoadDriver:
    """Keeps as many streams in an engine as the limit allows."""

    def __init__(self, limit, model):
        self.limit = limit
        self.model = model
        self.now = 0.0
        self.started = {}
        self.largest_cold_batch = 0

    def run(self, steps):
        for _ in range(steps):
            self.step()

    def step(self):
        model = self.model
        while len(model.running) + len(model.waiting) < self.limit.limit:
            name = f'stream-{len(self.started)}'
            self.started[name] = self.now
            model.submit(ModelStream(name, name, 10, 20))
        was_cold = model.cold
        step = model.step()
        self.now += step.seconds
        batch = len(step.emitted)
        if was_cold:
            self.largest_cold_batch = max(self.largest_cold_batch, batch)
        for stream in step.finished:
            mean_seconds = (self.now - self.started[stream.name]) / 20
            self.limit.observe(mean_seconds, mean_seconds, batch)


class LimitTest(unittest.TestCase):
    """The limit at a cold engine, a warm one, and one that turns cold."""

    def setUp(self):
        self.limit = ConcurrencyLimit(_TARGETS)
        self.shape = EngineShape(cold_tokens=400)

    def test_cold_engine_gets_no_more_than_the_start(self):
        """An engine that has just started can serve only two requests.

        The limit must not grow before answers show that the engine is warm,
        or callers would see an overloaded engine.
        """
        driver = self.make_driver(self.shape, 150)
        self.assertLessEqual(driver.largest_cold_batch, _TARGETS.start)

    def test_limit_grows_once_warm(self):
        self.make_driver(self.shape, 2000)
        self.assertEqual(_TARGETS.most, self.limit.limit)

    def test_warm_engine_turns_cold_again(self):
        """A full, warm engine turns cold without announcing it."""
        driver = self.make_driver(self.shape, 2000)
        driver.model.turn_cold()
        lowest = self.limit.limit
        for _ in range(60):
            driver.step()
            lowest = min(lowest, self.limit.limit)
        self.assertEqual(_TARGETS.start, lowest)

    def test_failure_resets_the_limit(self):
        self.make_driver(EngineShape(), 2000)
        self.limit.record_failure()
        self.assertEqual(_TARGETS.start, self.limit.limit)

    def make_driver(self, shape, steps):
        driver = LoadDriver(self.limit, EngineModel(shape))
        driver.run(steps)
        return driver

    def test_answers_without_load_do_not_raise_the_limit(self):
        for _ in range(200):
            self.limit.observe(0.01, 0.01, running=0)
        self.assertEqual(_TARGETS.start, self.limit.limit)

    def test_settings_before_the_first_answer_set_the_start(self):
        self.limit.update_targets(ConcurrencyTargets(8, 32, 0.5, 0.03))
        self.assertEqual(8, self.limit.limit)
        self.limit.observe(0.01, 0.01, running=8)
        self.limit.update_targets(ConcurrencyTargets(4, 6, 0.5, 0.03))
        self.assertEqual(6, self.limit.limit)

    @settings(derandomize=True, max_examples=200)
    @given(
        st.lists(
            st.tuples(
                st.floats(0.001, 5), st.floats(0, 0.5), st.integers(0, 40)
            ),
            max_size=60,
        )
    )
    def test_stays_within_start_and_maximum(self, answers):
        limit = ConcurrencyLimit(_TARGETS)
        for first, between, running in answers:
            limit.observe(first, between, running)
            self.assertLessEqual(_TARGETS.start, limit.limit)
            self.assertLessEqual(limit.limit, _TARGETS.most)
