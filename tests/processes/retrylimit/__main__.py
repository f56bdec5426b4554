"""Plays seeds by hand.

python -m tests.processes.retrylimit --seeds=1,2,3 --folder=LOGS
"""

import asyncio
import sys
import time
from pathlib import Path

import fire

from .fleet import SMALL_DEPLOYMENT
from .run import ScenarioRun
from .scenario import DRAWS


def main(seeds, folder, kind='mixed'):
    """Print a line for each seed; exit with 1 if any exceeds the limit.

    Parameters
    ----------
    seeds
        One number or several, with commas between.
    folder
        Where logs and arrivals are kept, in a folder for each seed.
    kind
        What is drawn from the seed: ``mixed``, ``starts``, ``kills``,
        ``stops`` or ``silences``.
    """
    exceeded = False
    for seed in seeds if isinstance(seeds, tuple | list) else (seeds,):
        logs = Path(folder).resolve() / f'{kind}-{seed}'
        logs.mkdir(parents=True)
        scenario = DRAWS[kind](seed, SMALL_DEPLOYMENT)
        (logs / 'scenario.json').write_text(scenario.describe())
        begun = time.monotonic()
        result = asyncio.run(
            ScenarioRun(scenario, SMALL_DEPLOYMENT, logs).play()
        )
        exceeds = any(peak.excess > 0 for peak in result.peaks)
        exceeded = exceeded or exceeds
        mark = 'EXCEEDED' if exceeds else 'held'
        seconds = time.monotonic() - begun
        sys.stdout.write(
            f'{kind} {seed}: {mark}; {result.describe()}; {seconds:.0f} s\n'
        )
        sys.stdout.flush()
    sys.exit(exceeded)


if __name__ == '__main__':
    fire.Fire(main)
