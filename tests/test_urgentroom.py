"""Room that less urgent generations leave for more urgent ones.

Engines have memory for 27,000 tokens: seven drafts of 3,700 tokens fill one,
and queries of 2,200 tokens go before them.
"""

import random
import unittest
from dataclasses import replace

from primrosewood.backendset import BackendSet
from primrosewood.backendstate import BackendRecord, EngineState
from primrosewood.directcalls import DirectCall, GenerationSize
from primrosewood.entrycount import EntryCount
from primrosewood.routes import Route, RouteKind, Target
from primrosewood.urgentroom import UrgentRoom, has_room

_MEMORY_TOKENS = 27_000
_DRAFT_TOKENS = 3_700
_QUERY_PROMPT = 2_200
_DRAFT_SECONDS = 8.0
_QUERY_SECONDS = 0.5


def make_call(kind, now=0.0):
    objective, priority, prompt = {
        'draft': (4.0, 2, 3_000),
        'query': (1.5, 0, _QUERY_PROMPT),
        'any': (4.0, None, 3_000),
    }[kind]
    route = Route(
        kind, 'h', '/', RouteKind.streaming, (Target('s'),), 39, objective
    )
    return DirectCall(
        name=f'{kind}-{now}',
        method='POST',
        target='/x',
        headers=(),
        body=b'',
        route=route,
        service='s',
        organisation='o',
        arrived=now,
        deadline=now + 39,
        caller_deadline=now + 39,
        size=GenerationSize(prompt, 700),
        priority=priority,
    )


def make_engines(*states):
    backends = BackendSet(EntryCount(1))
    for number, state in enumerate(states):
        record = BackendRecord(f'e{number}', 's', f'e{number}:80', 'd1', 24)
        backends.apply_record(record, 0).update_state(state, 0)
    return backends.list_service('s')


def make_state(used, queued=0):
    return EngineState(
        used_tokens=used, total_tokens=_MEMORY_TOKENS, queued_tokens=queued
    )


class UrgentRoomTest(unittest.TestCase):
    """Which calls are held back."""

    def setUp(self):
        self.room = UrgentRoom(enabled=True)
        self.room.record_call(make_call('query'))

    def test_draft_waits_where_only_queries_fit(self):
        """Guards against queries that wait for drafts, or take their memory."""
        engines = make_engines(make_state(20_500), make_state(26_000))
        self.assertTrue(self.room.must_wait(make_call('draft'), engines, 0))
        self.assertFalse(self.room.must_wait(make_call('query'), engines, 0))

    def test_draft_goes_where_there_is_room(self):
        engines = make_engines(make_state(26_000), make_state(12_000))
        self.assertFalse(self.room.must_wait(make_call('draft'), engines, 0))

    def test_draft_does_not_wait_until_its_caller_leaves(self):
        """Guards against drafts that are starved by queries."""
        engines = make_engines(make_state(26_000))
        draft = make_call('draft')
        self.assertTrue(self.room.must_wait(draft, engines, 5.9))
        self.assertFalse(self.room.must_wait(draft, engines, 6.1))

    def test_late_draft_yields_to_one_on_time(self):
        """Guards against a queue in which all drafts become late."""
        self.room.record_call(make_call('draft'))
        engines = make_engines(make_state(18_000))
        self.assertFalse(self.room.must_wait(make_call('draft'), engines, 2.3))
        self.assertTrue(self.room.must_wait(make_call('draft'), engines, 2.5))

    def test_nothing_waits_where_nobody_is_more_urgent(self):
        engines = make_engines(make_state(26_000))
        self.assertFalse(self.room.must_wait(make_call('any'), engines, 0))
        room = UrgentRoom(enabled=True)
        room.record_call(make_call('draft'))
        self.assertFalse(room.must_wait(make_call('draft'), engines, 0))

    def test_deployment_that_did_not_ask(self):
        self.room.enabled = False
        engines = make_engines(make_state(26_000))
        self.assertFalse(self.room.must_wait(make_call('draft'), engines, 0))

    def test_no_engine_takes_calls(self):
        """Guards against calls that wait though they cannot be served."""
        self.assertFalse(self.room.must_wait(make_call('draft'), [], 0))

    def test_empty_engine_has_room_for_a_large_prompt(self):
        """Guards against calls that wait for more memory than there is."""
        draft = replace(make_call('draft'), size=GenerationSize(25_000, 700))
        engines = make_engines(make_state(0))
        self.assertFalse(self.room.must_wait(draft, engines, 0))

    def test_engine_whose_reports_are_missing(self):
        """Guards against calls that wait for the process beside an engine."""
        (engine,) = make_engines(make_state(26_000))
        engine.drop_stale_state(10)
        self.assertTrue(has_room(engine, 3_000))

    def test_engine_on_which_others_wait(self):
        (engine,) = make_engines(make_state(10_000, queued=2_000))
        self.assertFalse(has_room(engine, 3_000))


class BurstTest(unittest.TestCase):
    """A burst of drafts beside queries, on more engines than they fill."""

    def play(self, enabled, seconds=20.0):
        """Return the shares of queries and of drafts that find no room.

        Drafts come at twice the rate that the engines can take for 6 seconds.
        """
        draw = random.Random(3)
        room = UrgentRoom(enabled=enabled)
        room.record_call(make_call('query'))
        engines = make_engines(*[make_state(0)] * 8)
        ends = [[] for _engine in engines]
        waiting = []
        found = {'draft': [], 'query': []}
        for step in range(int(seconds / 0.02)):
            now = step * 0.02
            for engine, running in zip(engines, ends, strict=True):
                running[:] = [each for each in running if each[0] > now]
                used = sum(tokens for _end, tokens in running)
                engine.update_state(make_state(used), now)
            per_second = 14 if 4 < now < 10 else 6
            if draw.random() < per_second * 0.02:
                waiting.append(make_call('draft', now))
            if draw.random() < 14 * 0.02:
                waiting.append(make_call('query', now))
            for call in list(waiting):
                if room.must_wait(call, engines, now):
                    continue
                waiting.remove(call)
                number = min(
                    range(len(engines)),
                    key=lambda each: engines[each].reserved_tokens,
                )
                kind = call.route.name
                needed = call.size.prompt_tokens
                found[kind].append(has_room(engines[number], needed))
                duration = {'draft': _DRAFT_SECONDS, 'query': _QUERY_SECONDS}
                tokens = {'draft': _DRAFT_TOKENS, 'query': _QUERY_PROMPT}
                ends[number].append((now + duration[kind], tokens[kind]))
                engines[number].unreported_tokens += tokens[kind]
        return {kind: 1 - sum(each) / len(each) for kind, each in found.items()}

    def test_queries_find_room(self):
        """Guards against a burst of drafts that displaces queries."""
        without, kept = self.play(enabled=False), self.play(enabled=True)
        self.assertGreater(without['query'], 0.05)
        self.assertLess(kept['query'], 0.5 * without['query'])


if __name__ == '__main__':
    unittest.main()
