"""Ablation of the balancer's cost: the fleet with one term disabled."""

import statistics
from collections.abc import Iterator
from unittest import mock

from primrosewood import balancing

from .herd import simulate_fleet
from .results import CaseResult

_SEEDS = (1, 2, 3, 4, 5)
_SIMULATED_SECONDS = 40
_PERCENT = 100
# Names of `primrosewood.balancing` to replace in order to disable a term.
_REPLACEMENTS = {
    'nothing': {},
    'late_risk': {'_late_risk': lambda _first_event_seconds, _objective: 0},
    'memory_risk': {'_memory_risk': lambda _memory_share: 0},
    'delay_of_others': {'_DELAYED_SHARE': 0},
    'lot_among_equals': {'_EQUAL_SECONDS': 0},
    'weight_of_losses': {'_LOSS_WEIGHT': 0},
}


def run_ablation() -> Iterator[CaseResult]:
    """Simulate 27 entries and 25 engines with each term disabled in turn."""
    for name, replacements in _REPLACEMENTS.items():
        with mock.patch.dict(balancing.__dict__, replacements):
            runs = [
                simulate_fleet('announced', _SIMULATED_SECONDS, seed)
                for seed in _SEEDS
            ]
        late_percents = [run.late * _PERCENT for run in runs]
        yield CaseResult(
            'ablation',
            {
                'without': name,
                'late_percent': statistics.mean(late_percents),
                'late_error': statistics.stdev(late_percents)
                / len(late_percents) ** 0.5,
                'first_p99': statistics.mean(
                    run.quantile(0.99) for run in runs
                ),
                'lost': statistics.mean(run.lost for run in runs),
                'crowded': statistics.mean(run.crowded for run in runs),
            },
        )
