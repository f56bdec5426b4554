"""Run benchmarks: ``python -m bench [--only=policy] [--quick]``."""

import sys
from collections.abc import Callable, Iterator

import fire

from .ablation import run_ablation
from .claims_rate import run_claims
from .costs import run_costs
from .delays import run_delays
from .herd import run_herd
from .path import run_path
from .policy_table import run_policies
from .results import CaseResult
from .slopes import run_slopes
from .subsets import run_subsets
from .table_change import run_table_change

EXIT_BOUND_BROKEN = 1


def main(only: str = '', quick: bool = False) -> None:
    """Print the result of each case; exit with 1 if a bound is broken.

    Parameters
    ----------
    only
        Name of the benchmark to run; empty runs all of them.
    quick
        Run fewer cases and seeds, as CI does.
    """
    benchmarks: dict[str, Callable[[], Iterator[CaseResult]]] = {
        'costs': run_costs,
        'subsets': run_subsets,
        'claims': run_claims,
        'delays': run_delays,
        'slopes': run_slopes,
        'table': run_table_change,
        'herd': run_herd,
        'ablation': run_ablation,
        'path': lambda: run_path(quick),
        'policy': lambda: run_policies(quick),
    }
    broken_bounds = 0
    for name, run in benchmarks.items():
        if only in {'', name}:
            broken_bounds += _write_results(run())
    sys.stdout.write(f'bounds_broken={broken_bounds}\n')
    sys.exit(EXIT_BOUND_BROKEN if broken_bounds else 0)


def _write_results(results: Iterator[CaseResult]) -> int:
    broken_bounds = 0
    for result in results:
        result.write()
        broken_bounds += not result.ok
    return broken_bounds


if __name__ == '__main__':
    fire.Fire(main)
