"""Run experiments and write their results to docs/measurements."""

from __future__ import annotations

import importlib
import signal
import sys

from radishferry_testing import arguments
from radishferry_testing.experiments import results

#: Experiments; each is a module with ``run(repeats)``.
NAMES = (
    'crest',
    'long_work',
    'reservations',
    'poison',
    'balance',
    'cost',
    'choice',
)


def main(
    *names: str,
    repeats: int = 3,
    output: str = results.DIRECTORY,
    before: str = '',
    add: bool = False,
):
    """Run experiments.

    :param names: crest, long_work, reservations, poison, balance, cost or
        choice;
        all if none is given.
    :param repeats: Number of runs of each variant.
    :param output: Directory of the results.
    :param before: Directory ``packages`` of an earlier version to compare the
        cost with.
    :param add: Add the runs to those in the output directory.
    """
    # A run that is terminated at a time limit must still stop its deployment.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    for name in names or NAMES:
        if name not in NAMES:
            raise SystemExit(f'unknown experiment {name}; choose from {NAMES}')
        module = importlib.import_module(
            f'radishferry_testing.experiments.{name}'
        )
        options = {'before': before} if before and name == 'cost' else {}
        for number in range(repeats):
            result = module.run(repeats=1, **options)
            if add or number:
                result.add_earlier(output)
            result.save(output)
        for row in result.rows():
            print(name, *row, sep=' | ', flush=True)


if __name__ == '__main__':
    arguments.run(main)
