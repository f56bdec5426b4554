"""Run benchmarks: ``python -m bench [--only=policy] [--quick]``."""

import sys
from collections.abc import Callable, Iterator

import fire

from .ablation import run_ablation
from .claims_rate import run_claims
from .costs import run_costs
from .delays import run_delays
from .herd import run_herd
from .lines import Line
from .path import run_path
from .policy_table import run_table
from .slopes import run_slopes
from .subsets import run_subsets
from .table_change import run_table_change

BROKEN = 1


def main(only: str = '', quick: bool = False) -> None:
    """Print a line for each case; exit with 1 when a bound breaks.

    Parameters
    ----------
    only
        Name of one benchmark; all when empty.
    quick
        Fewer cases and seeds, as CI runs them.
    """
    benchmarks: dict[str, Callable[[], Iterator[Line]]] = {
        'costs': run_costs,
        'subsets': run_subsets,
        'claims': run_claims,
        'delays': run_delays,
        'slopes': run_slopes,
        'table': run_table_change,
        'herd': run_herd,
        'ablation': run_ablation,
        'path': lambda: run_path(quick),
        'policy': lambda: run_table(quick),
    }
    broken = 0
    for name, run in benchmarks.items():
        if only in {'', name}:
            broken += _show_all(run())
    sys.stdout.write(f'bounds_broken={broken}\n')
    sys.exit(BROKEN if broken else 0)


def _show_all(lines: Iterator[Line]) -> int:
    broken = 0
    for line in lines:
        line.show()
        broken += not line.ok
    return broken


if __name__ == '__main__':
    fire.Fire(main)
