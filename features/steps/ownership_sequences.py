"""Run sequences of faults that are drawn from a seed."""

from __future__ import annotations

import contextlib
import logging
import random

import ownership_world

#: Seconds until the first assignments are in force.
START_S = 3.0
#: Faults in a sequence.
FAULTS = 14
WAITS_S = (0.02, 0.1, 0.2, 0.35, 0.7, 1, 2.5)
#: Faults that begin a server process are left out of ``session``.
RESTARTS = (ownership_world.kill_server, ownership_world.restart_server)


@contextlib.contextmanager
def quiet():
    """Log nothing of the hosts."""
    logger = logging.getLogger('radishferryd')
    level = logger.level
    logger.setLevel(logging.CRITICAL)
    try:
        yield
    finally:
        logger.setLevel(level)


def run(seed, faults='all', watch=lambda world: None):
    """Run one sequence.

    :param faults: ``all`` or ``session``.
    :param watch: Called with the world before the faults.
    """
    chosen = [
        fault
        for fault in ownership_world.FAULTS
        if faults == 'all' or fault not in RESTARTS
    ]
    source = random.Random(seed)
    sequence = [
        (source.choice(chosen), source.randrange(12), source.choice(WAITS_S))
        for _ in range(FAULTS)
    ]
    world = ownership_world.World(seed)
    world.advance(START_S)
    watch(world)
    for fault, number, wait in sequence:
        fault(world, number)
        world.advance(wait)
    world.recover()
