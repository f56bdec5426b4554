"""Moves off engines that leave at the same moment, simulated.

Load pattern: every few seconds 5 of 31 engines in five failure domains leave
with 1.5 to 2.1 s of notice. Each holds some long generations, which are copied
one at a time; copies to one engine queue on its network link.
"""

import heapq
import unittest
from itertools import count
from random import Random

from primrosewood.moves import EngineRun, choose_move_target

from .movetargets import make_target

_DOMAINS = 5
_STAYING = 26
# Engines that have just started, in place of those that left before.
_EMPTY = 2
_LEAVING = 5
_MEMORY_TOKENS = 34_312
# A copy between failure domains takes twice as long.
_COPY_SECONDS_PER_TOKEN = 6e-5
_LAST_COPY_SECONDS = 0.02
# From a query for free memory to the answer, and from the start of a copy until
# the entries that answer know of it.
_QUERY_SECONDS = 0.003
_NEWS_SECONDS = 0.003
# Until the memory of a copy shows in the reports of the engine that gets it.
_REPORT_SECONDS = 0.06
_LONGEST_PAUSE_SECONDS = 0.18


class _Target:
    """An engine that stays, and its network link."""

    def __init__(self, number, random):
        self.address = f't{number}'
        self.domain = f'd{number % _DOMAINS}'
        used = 0 if number < _EMPTY else random.randint(9_000, 20_000)
        # When free memory changes in the engine's reports, and by how much.
        self.memory = [(0.0, _MEMORY_TOKENS - used)]
        self.link_free_at = 0.0
        # When the entries learn that a copy began or ended, and the change of
        # their number.
        self.news = []

    def free_tokens(self, now):
        return sum(change for at, change in self.memory if at <= now)

    def receiving(self, now):
        return sum(change for at, change in self.news if at <= now) > 0

    def queue_copy(self, now, seconds):
        self.link_free_at = max(now, self.link_free_at) + seconds
        return self.link_free_at


class _Departure:
    """One moment at which several engines leave."""

    def __init__(self, seed, tells_copies):
        self._random = Random(seed)
        self._tells_copies = tells_copies
        self._events = []
        self._sequence = count()
        self._targets = {
            target.address: target
            for target in (
                _Target(number, self._random) for number in range(_STAYING)
            )
        }
        self.pauses = []
        self.lost = 0

    def run(self):
        for number in range(_LEAVING):
            runs = [
                EngineRun(
                    f'{number}-{run}', self._random.randint(2000, 5000), 9
                )
                for run in range(self._random.randint(3, 6))
            ]
            # The endpoint processes poll their engines 20 times a second.
            noticed_at = self._random.uniform(0, 0.05)
            leaves_at = self._random.uniform(1.5, 2.1)
            domain = f'd{self._random.randrange(_DOMAINS)}'
            source = (domain, leaves_at, runs)
            self._at(noticed_at, self._ask, source)
        while self._events:
            now, _number, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)
        return self

    def _at(self, when, action, *arguments):
        event = (when, next(self._sequence), action, arguments)
        heapq.heappush(self._events, event)

    def _ask(self, now, source):
        _domain, leaves_at, runs = source
        if now >= leaves_at:
            self.lost += len(runs)
        elif runs:
            answer = [
                make_target(
                    target.address,
                    target.domain,
                    target.free_tokens(now),
                    receiving=self._tells_copies and target.receiving(now),
                )
                for target in self._targets.values()
            ]
            self._at(now + _QUERY_SECONDS, self._copy, source, answer)

    def _copy(self, now, source, answer):
        domain, _leaves_at, runs = source
        run = runs.pop(0)
        chosen = choose_move_target(run, answer, domain, self._random.random())
        target = self._targets[chosen.address]
        target.memory.append((now + _REPORT_SECONDS, -run.tokens))
        seconds = run.tokens * _COPY_SECONDS_PER_TOKEN
        if target.domain != domain:
            seconds *= 2
        copied_at = target.queue_copy(now, seconds)
        target.news.append((now + _NEWS_SECONDS, 1))
        self._at(copied_at, self._copy_last, source, target)

    def _copy_last(self, now, source, target):
        done_at = target.queue_copy(now, _LAST_COPY_SECONDS)
        target.news.append((done_at + _NEWS_SECONDS, -1))
        if done_at < source[1]:
            self.pauses.append(done_at - now)
        else:
            self.lost += 1
        self._at(done_at, self._ask, source)


class LeavingTogetherTest(unittest.TestCase):
    """How long streams pause, and how many are lost."""

    def simulate(self, tells_copies):
        departures = [
            _Departure(seed, tells_copies).run() for seed in range(40)
        ]
        pauses = [pause for each in departures for pause in each.pauses]
        long_pauses = sum(pause > _LONGEST_PAUSE_SECONDS for pause in pauses)
        lost = sum(each.lost for each in departures)
        return long_pauses / len(pauses), lost

    def test_streams_do_not_wait_for_copies_of_others(self):
        """Guards against copies that meet at the engine with the most memory.

        Three copies at once to an engine that had just started took a second
        each. The last part of each stream waited behind the whole copies of
        the others, and the notice was over before the rest was copied.
        """
        paused_share, lost = self.simulate(tells_copies=True)
        paused_blindly, lost_blindly = self.simulate(tells_copies=False)
        self.assertLess(paused_share, 0.02)
        self.assertGreater(paused_blindly, 0.05)
        self.assertLess(lost, lost_blindly / 3)

    def test_engine_that_receives_a_copy_is_used_if_alone(self):
        run = EngineRun('r', 3000, 9)
        busy = make_target('busy', 'd1', 20_000, receiving=True)
        full = make_target('full', 'd1', 1000)
        self.assertEqual(busy, choose_move_target(run, [busy, full], 'd1'))

    def test_idle_engine_elsewhere_on_short_notice(self):
        run = EngineRun('r', 3000, 9)
        near = make_target('near', 'd1', 20_000, receiving=True)
        far = make_target('far', 'd2', 9000)
        chosen = choose_move_target(run, [near, far], 'd1', short_notice=True)
        self.assertEqual(far, chosen)


if __name__ == '__main__':
    unittest.main()
