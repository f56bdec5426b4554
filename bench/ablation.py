"""What each term of the choice is worth: the herd with one switched off."""

import statistics
from collections.abc import Iterator
from unittest import mock

from primrosewood import balancing

from .herd import play_fleet
from .results import CaseResult

_SEEDS = (1, 2, 3, 4, 5)
_SECONDS = 40
_PERCENT = 100
_SWITCHES = {
    'nothing': {},
    'late_risk': {'_late_risk': lambda _first, _objective: 0},
    'memory_risk': {'_memory_risk': lambda _share: 0},
    'delay_of_others': {'_DELAYED_SHARE': 0},
    'lot_among_equals': {'_EQUAL_SECONDS': 0},
    'weight_of_losses': {'_LOSS_WEIGHT': 0},
}


def run_ablation() -> Iterator[CaseResult]:
    """Play the fleet of 27 entries and 25 engines without one term each."""
    for name, switches in _SWITCHES.items():
        with mock.patch.dict(balancing.__dict__, switches):
            shown = [play_fleet('announced', _SECONDS, seed) for seed in _SEEDS]
        late = [each.late * _PERCENT for each in shown]
        yield CaseResult(
            'ablation',
            {
                'without': name,
                'late_percent': statistics.mean(late),
                'late_error': statistics.stdev(late) / len(late) ** 0.5,
                'first_p99': statistics.mean(
                    each.quantile(0.99) for each in shown
                ),
                'lost': statistics.mean(each.lost for each in shown),
                'crowded': statistics.mean(each.crowded for each in shown),
            },
        )
