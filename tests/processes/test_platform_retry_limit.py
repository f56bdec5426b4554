"""The limit on retries, by arrivals at back ends of real processes.

Entries start one after the other; entries, back ends and the processes beside
engines are stopped by SIGSTOP, or killed and restarted with settings as they
were, while back ends refuse, reset or leave unanswered most of their calls.

    python -m tests.processes.retrylimit --kind=mixed --seeds=1,2,3 --folder=LOGS

plays other seeds than those of CI, and keeps the logs.
"""

import tempfile
import unittest
from pathlib import Path

from .retrylimit.checker import (
    Arrival,
    RetryLimit,
    SentRequest,
    find_peaks,
    find_repeated,
)
from .retrylimit.fleet import SMALL_DEPLOYMENT, render
from .retrylimit.run import ScenarioRun
from .retrylimit.scenario import DRAWS

_LIMIT = RetryLimit(ratio=0.2, slack=2, window=10)
# Kinds and seeds that once failed, each with the failure.
_SEEDS = {
    ('starts', 10): 'each of the first entries used the share of few entries',
    ('stops', 5): 'what stopped back ends had been sent came as they went on',
}


def make_arrivals(times, attempt='a-1', backend='desk-1'):
    return [Arrival(at, 'desk', backend, attempt) for at in times]


class ArrivalCheckTest(unittest.TestCase):
    """The check by arrivals finds an excess in made-up logs."""

    def test_first_arrival_is_no_retry(self):
        arrivals = make_arrivals([3, 1, 2])
        repeated = find_repeated(arrivals)['desk']
        self.assertEqual([2, 3], [arrival.at for arrival in repeated])

    def test_arrivals_at_other_services_are_apart(self):
        arrivals = [Arrival(1, 'desk', 'd', 'a'), Arrival(2, 'model', 'm', 'a')]
        self.assertEqual({}, find_repeated(arrivals))

    def test_late_arrivals_exceed_the_limit_in_their_window(self):
        """Guards against a check that takes sends for arrivals."""
        requests = [SentRequest(at, 'desk', 'x') for at in range(10, 20)]
        arrivals = make_arrivals(
            [1, *(20 + number / 10 for number in range(5))]
        )
        (peak,) = find_peaks(_LIMIT, requests, arrivals)
        self.assertEqual((20, 5, 4), (peak.start, peak.retries, peak.allowed))
        self.assertEqual(1, peak.excess)

    def test_requests_of_the_best_of_three_windows_count(self):
        requests = [3.0, 4.0, 9.0, 12.0]
        self.assertEqual(2 + 0.2 * 3, _LIMIT.allowed(requests, 10.0))

    def test_line_of_a_log(self):
        arrival = Arrival.parse('12.5 desk desk-1 a-1')
        self.assertEqual(make_arrivals([12.5]), [arrival])


class SettingsTemplateTest(unittest.TestCase):
    """Templates of settings are filled in as on the platform."""

    def test_placeholders(self):
        fields = {'a': {'b': 'x'}, 'ports': [7, 8], 'new': True}
        template = '{"u": {{a.b|json}}, "p": {{ports.1}}, "n": {{new|json}}}'
        self.assertEqual(
            '{"u": "x", "p": 8, "n": true}', render(template, fields)
        )


class RetryLimitTest(unittest.IsolatedAsyncioTestCase):
    """Seeded disruptions of a deployment of the size of a small one."""

    async def test_seeds(self):
        for kind, seed in _SEEDS:
            with self.subTest(kind=kind, seed=seed):
                result = await self.play(DRAWS[kind](seed, SMALL_DEPLOYMENT))
                self.assertTrue(result.peaks, result.describe())
                for peak in result.peaks:
                    self.assertLessEqual(peak.excess, 0, result.describe())

    async def play(self, scenario):
        with tempfile.TemporaryDirectory() as folder:
            run = ScenarioRun(scenario, SMALL_DEPLOYMENT, Path(folder))
            return await run.play()


if __name__ == '__main__':
    unittest.main()
