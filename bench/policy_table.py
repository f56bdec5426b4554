"""Table of the policy against baselines and oracle, with regression bounds."""

import os
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from loguru import logger

from .plots import draw_bars
from .policies import BASELINES, run_case
from .results import CaseResult

POLICIES = (*BASELINES, 'primrosewood', 'oracle')
SEED_COUNT = 5
CASES = (
    ('steady', 0.6),
    ('steady', 0.9),
    ('steady', 1.2),
    ('domain', 0.9),
    ('cold', 0.9),
    ('lost', 0.9),
)
QUICK_CASES = (('steady', 0.9), ('domain', 0.9))
QUICK_SEED_COUNT = 2
PRINTED_MEASURES = (
    'stall_s',
    'stall_streamed_s',
    'preemptions',
    'preemptions_streamed',
    'itl_p95',
    'itl_p99',
    'itl_p999',
    'gap_p95',
    'ttft_p95',
    'goodput',
    'certificates',
    'whole',
    'given_up',
    'lost',
    'offers',
    'returns',
)
MAX_OFFERS_PER_ARRIVAL = 1.2
_HIGHER_IS_BETTER = frozenset(('goodput', 'certificates', 'whole'))

Measures = dict[str, float]


@dataclass(frozen=True, slots=True)
class MeasureLimit:
    """Limits of a measure, as ratios to the best baseline.

    Attributes
    ----------
    measure
        Name of the measure.
    target
        Ratio to reach; a miss is only printed.
    bound
        Regression bound; CI fails if the ratio is worse.
    """

    measure: str
    target: float
    bound: float


# The clock is virtual and the seeds are fixed, so that every run gives the same
# figures.
MEASURE_LIMITS = (
    MeasureLimit('preemptions', 0.1, 0.15),
    MeasureLimit('preemptions_streamed', 0.05, 0.2),
    MeasureLimit('stall_s', 0.25, 0.25),
    MeasureLimit('stall_streamed_s', 0.1, 0.3),
    MeasureLimit('itl_p999', 0.5, 0.5),
    MeasureLimit('gap_p95', 0.5, 0.5),
    MeasureLimit('certificates', 1.0, 0.98),
    MeasureLimit('goodput', 1.0, 0.97),
)


def run_policies(quick: bool) -> Iterator[CaseResult]:
    """Run all cases in parallel processes and yield their results."""
    cases = QUICK_CASES if quick else CASES
    seeds = QUICK_SEED_COUNT if quick else SEED_COUNT
    runs = [
        (case, policy, load, seed)
        for case, load in cases
        for policy in POLICIES
        for seed in range(seeds)
    ]
    workers = max(1, (os.cpu_count() or 2) - 1)
    with ProcessPoolExecutor(workers) as pool:
        results = list(pool.map(_run_case, runs))
    tables: dict[str, dict[str, Measures]] = {}
    for case, load in cases:
        means = {
            policy: _average(
                [
                    measures
                    for run, measures in zip(runs, results, strict=True)
                    if run[:3] == (case, policy, load)
                ]
            )
            for policy in POLICIES
        }
        tables[f'{case}_{load:g}'] = means
        yield from _report_case(f'{case}_{load:g}', means)
    draw_bars(tables)


def _run_case(run: tuple[str, str, float, int]) -> Measures:
    logger.remove()
    return run_case(*run)


def _average(runs: list[Measures]) -> Measures:
    return {
        name: sum(run[name] for run in runs) / len(runs) for name in runs[0]
    }


def _report_case(case: str, means: dict[str, Measures]) -> Iterator[CaseResult]:
    best_baselines = {
        name: _find_best_baseline(means, name) for name in PRINTED_MEASURES
    }
    for policy, measures in means.items():
        figures = {'policy': policy}
        figures |= {name: measures[name] for name in PRINTED_MEASURES}
        yield CaseResult(f'policy_{case}', figures)
    policy_measures = means['primrosewood']
    oracle = means['oracle']
    for limit in MEASURE_LIMITS:
        yield _check_limit(case, limit, policy_measures, best_baselines, oracle)
    yield CaseResult(
        f'policy_{case}_retry_budget',
        {'offers_for_each_arrival': policy_measures['offers']},
        f'<= {MAX_OFFERS_PER_ARRIVAL:g}',
        policy_measures['offers'] <= MAX_OFFERS_PER_ARRIVAL,
    )


def _find_best_baseline(means: dict[str, Measures], name: str) -> float:
    select: Callable = max if name in _HIGHER_IS_BETTER else min
    return select(means[policy][name] for policy in BASELINES)


def _check_limit(
    case: str,
    limit: MeasureLimit,
    policy_measures: Measures,
    best_baselines: Measures,
    oracle: Measures,
) -> CaseResult:
    value = policy_measures[limit.measure]
    baseline = best_baselines[limit.measure]
    higher_is_better = limit.measure in _HIGHER_IS_BETTER
    ratio = value / baseline if baseline else float(value > 0)
    target_met = (
        ratio >= limit.target if higher_is_better else ratio <= limit.target
    )
    # At low load the baselines leave little to improve, so the bound only
    # requires that no measure is worse.
    bound = 1 if case == 'steady_0.6' and not higher_is_better else limit.bound
    ok = ratio >= bound if higher_is_better else ratio <= bound
    oracle_value = oracle[limit.measure]
    return CaseResult(
        f'policy_{case}',
        {
            'measure': limit.measure,
            'primrosewood': value,
            'best_baseline': baseline,
            'ratio_to_best_baseline': ratio,
            'ratio_to_oracle': value / oracle_value
            if oracle_value
            else 'oracle_0',
            'target': limit.target,
            'target_met': 'yes' if target_met else 'no',
        },
        f'ratio {">=" if higher_is_better else "<="} {bound:g}',
        ok,
    )
