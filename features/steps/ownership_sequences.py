"""Run sequences of faults that are generated from a seed."""

from __future__ import annotations

import contextlib
import logging
import random

import ownership_world

#: Seconds until the first assignments have taken effect.
START_S = 3.0
#: Number of faults in a sequence.
FAULTS = 14
WAITS_S = (0.02, 0.1, 0.2, 0.35, 0.7, 1, 2.5)
#: Faults that may start a new server process; ``session`` excludes them.
RESTARTS = (ownership_world.kill_server, ownership_world.restart_server)


@contextlib.contextmanager
def quiet():
    """Suppress the log of the hosts."""
    logger = logging.getLogger('radishferryd')
    level = logger.level
    logger.setLevel(logging.CRITICAL)
    try:
        yield
    finally:
        logger.setLevel(level)


def run(seed, faults='all', watch=lambda world: None):
    """Run one sequence.

    :param faults: ``all``, or ``session`` for faults within the lifetime of
        the server processes.
    :param watch: Called with the world before the first fault.
    """
    chosen = [
        fault
        for fault in ownership_world.FAULTS
        if faults == 'all' or fault not in RESTARTS
    ]
    generator = random.Random(seed)
    sequence = [
        (
            generator.choice(chosen),
            generator.randrange(12),
            generator.choice(WAITS_S),
        )
        for _ in range(FAULTS)
    ]
    world = ownership_world.World(seed)
    world.advance(START_S)
    watch(world)
    for fault, number, wait in sequence:
        fault(world, number)
        world.advance(wait)
    world.recover()
