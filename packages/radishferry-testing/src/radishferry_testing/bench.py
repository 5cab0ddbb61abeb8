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
)


def main(
    *names: str,
    repeats: int = 3,
    output: str = results.DIRECTORY,
    before: str = '',
    add: bool = False,
):
    """Run experiments.

    :param names: crest, long_work, reservations, poison, balance or cost;
        all without.
    :param repeats: Runs of each variant.
    :param output: Directory of the results.
    :param before: Directory ``packages`` of an earlier version, with which
        cost is compared.
    :param add: Add to the repeats in the directory.
    """
    # An end by a time limit must still end the deployment.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    for name in names or NAMES:
        if name not in NAMES:
            raise SystemExit(f'no experiment {name}; there are {NAMES}')
        module = importlib.import_module(
            f'radishferry_testing.experiments.{name}'
        )
        more = {'before': before} if before and name == 'cost' else {}
        for number in range(repeats):
            found = module.run(repeats=1, **more)
            if add or number:
                found.add_earlier(output)
            found.save(output)
        for row in found.rows():
            print(name, *row, sep=' | ', flush=True)


if __name__ == '__main__':
    arguments.run(main)
