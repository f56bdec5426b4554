"""Pauses of streams on engines of unequal pace, while prompts are prefilled.

A quarter of the engines has less than half the pace of the others.  In moments
in which one of them is slower still, a prompt delays the events of its streams
beyond what is allowed.
"""

import random
import unittest
from collections import Counter
from dataclasses import dataclass, field

from primrosewood.backendset import BackendSet
from primrosewood.backendstate import BackendRecord, EngineState
from primrosewood.balancing import (
    LeastCostBalancer,
    PlacementContext,
    ReservedTokens,
)
from primrosewood.entrycount import EntryCount
from primrosewood.moves import EngineRun
from primrosewood.pauses import StreamPauses

_ALLOWED = 0.18
_FAST, _SLOW = 1.2, 0.55
_EVENT_TOKENS = 4
_PAUSE_SECONDS = 0.0187  # of an engine of pace 1
_PREFILL_PAUSE_SECONDS = 0.0473
_TOKEN_SECONDS = _PAUSE_SECONDS / _EVENT_TOKENS
_SLOW_SHARE = 0.15  # of the time, in which engines are slower
_PROMPT_RATE = 7_000
_MEMORY_TOKENS = 27_000
_POLL_SECONDS = 0.05
_DRAFT = ReservedTokens(3_000, 748)
_BLURB = ReservedTokens(2_200, 15)


def observe(pauses, seconds, pace, start=0.0, prefilling=False, events=0):
    """Let an engine of a pace generate one stream for some seconds."""
    pause = _PREFILL_PAUSE_SECONDS if prefilling else _PAUSE_SECONDS
    steps = int(seconds / _POLL_SECONDS)
    for step in range(steps + 1):
        done = events + int(step * _POLL_SECONDS * pace / pause)
        run = EngineRun('s', 3_000 + done * _EVENT_TOKENS, done)
        now = start + step * _POLL_SECONDS
        pauses.observe([run], 2_000 if prefilling else 0, now)


class StreamPausesTest(unittest.TestCase):
    """What the process beside an engine knows of pauses."""

    def setUp(self):
        self.pauses = StreamPauses()
        self.pauses.add('s', 1_000, _ALLOWED)

    def test_slow_engine_endangers_its_streams_before_the_first_prompt(self):
        """Guards against a stream that is lost to learn that it is."""
        observe(self.pauses, 0.5, _SLOW / 2.5)
        self.assertEqual((1_000, True), self.read())

    def test_engine_of_half_the_pace_endangers_none(self):
        """Guards against slow engines that stay empty while others are full."""
        observe(self.pauses, 1, _SLOW)
        self.assertEqual((0, False), self.read())

    def test_engine_in_a_slow_moment(self):
        """Guards against prompts that arrive while an engine is 2.5 times slower."""
        observe(self.pauses, 1, _SLOW)
        observe(self.pauses, 0.3, _SLOW / 2.5, 1.0, events=29)
        self.assertEqual((1_000, True), self.read())

    def test_fast_engine_endangers_none(self):
        observe(self.pauses, 0.5, _FAST)
        observe(self.pauses, 2, _FAST, 0.5, prefilling=True, events=36)
        self.assertEqual((0, False), self.read())

    def test_measured_pace_replaces_the_assumed_one(self):
        observe(self.pauses, 0.5, _SLOW)
        observe(self.pauses, 5, _SLOW, 1.0, prefilling=True, events=16)
        self.assertAlmostEqual(
            _PREFILL_PAUSE_SECONDS / _SLOW,
            self.pauses.prefill_pause,
            delta=0.01,
        )

    def test_engine_without_streams_so_far(self):
        self.assertEqual((0, False), self.read())

    def test_stream_that_was_delayed_is_late_once(self):
        """Guards against an engine that is spared for a stream already late."""
        observe(self.pauses, 0.5, _SLOW / 2.5)
        run = EngineRun('s', 3_000, 5)
        for step in range(6):
            self.pauses.observe([run], 2_000, 0.55 + step * _POLL_SECONDS)
        self.assertEqual(0, self.pauses.endangered_tokens)

    def test_ended_stream_and_stream_without_limit(self):
        self.pauses.add('free', 748, 0)
        observe(self.pauses, 0.5, _SLOW / 2.5)
        self.pauses.observe([], 0, 1.0)
        self.assertEqual(0, self.pauses.endangered_tokens)

    def read(self):
        return self.pauses.endangered_tokens, self.pauses.any_delayed


@dataclass
class _Stream:
    begins: float
    ends: float
    late: bool = False


@dataclass
class _Engine:
    """Prefills prompts one by one, each beside all streams that have begun."""

    pace: float
    draw: random.Random
    streams: list[_Stream] = field(default_factory=list)
    prefill_until: float = 0

    def send(self, now, tokens):
        start = max(now, self.prefill_until)
        self.prefill_until = start + tokens.prompt / _PROMPT_RATE / self.pace
        if self.pace == _SLOW and self.draw.random() < _SLOW_SHARE:
            for stream in self.streams:
                overlaps = stream.begins < self.prefill_until
                stream.late |= overlaps and start < stream.ends
        seconds = tokens.answer * _TOKEN_SECONDS / self.pace
        stream = _Stream(self.prefill_until, self.prefill_until + seconds)
        self.streams.append(stream)
        return stream

    def state(self, now):
        running = [each for each in self.streams if each.ends > now]
        risk = _SLOW_SHARE if self.pace == _SLOW else 0
        token_seconds = _TOKEN_SECONDS / self.pace
        # A prompt counts for 250 tokens of an answer.
        endangered = sum(
            int((each.ends - each.begins) / token_seconds) + 250
            for each in running
            if not each.late
        )
        unread = max(0, self.prefill_until - now) * _PROMPT_RATE * self.pace
        return EngineState(
            running=len(running),
            generating=sum(each.begins <= now for each in running),
            used_tokens=3_400 * len(running),
            total_tokens=_MEMORY_TOKENS,
            unread_tokens=int(unread),
            token_seconds=token_seconds,
            pause_risk=risk,
            endangered_tokens=int(risk * endangered),
        )


class UnequalPaceTest(unittest.TestCase):
    """Share of streams that pause too long, with a quarter slow engines."""

    def play(self, per_second, draft_share, seconds=60):
        """Return the numbers of streams and of those that are late."""
        draw = random.Random(7)
        backends = BackendSet(EntryCount(1))
        engines = {}
        for number in range(24):
            name = f'e{number}'
            record = BackendRecord(name, 's', f'{name}:80', 'd1', 64)
            engines[backends.apply_record(record, 0)] = _Engine(
                _SLOW if number % 4 == 0 else _FAST, draw
            )
        balancer = LeastCostBalancer(draw)
        streams = Counter()
        sent = []
        now = 0.0
        while now < seconds:
            now += draw.expovariate(per_second)
            tokens = _DRAFT if draw.random() < draft_share else _BLURB
            for backend, engine in engines.items():
                backend.update_state(engine.state(now), now)
            context = PlacementContext(
                'd1',
                now,
                tokens,
                _MEMORY_TOKENS,
                1.8,
                _PROMPT_RATE,
                _TOKEN_SECONDS,
                _EVENT_TOKENS,
            )
            chosen = balancer.choose(list(engines), context)
            sent.append(engines[chosen].send(now, tokens))
        streams['all'] = len(sent)
        streams['late'] = sum(each.late for each in sent)
        return streams

    def test_calm_day(self):
        """Guards against prompts beside streams that they delay.

        Twelve drafts and fourteen blurbs a second leave room on 24 engines.
        """
        streams = self.play(26, 0.46)
        self.assertLess(streams['late'] / streams['all'], 0.01)

    def test_drafts_alone(self):
        """Guards against slow engines that are filled with long streams."""
        streams = self.play(12, 1.0)
        self.assertLess(streams['late'] / streams['all'], 0.01)


if __name__ == '__main__':
    unittest.main()
