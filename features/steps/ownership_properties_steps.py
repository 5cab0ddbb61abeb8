"""Steps for the properties of ownership under random faults."""

from __future__ import annotations

import contextlib
import logging
import random

import behave
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import ownership_world

#: Seconds until the first assignments are in force.
START_S = 3.0
STEPS = 12
WAITS_S = (0.02, 0.1, 0.2, 0.35, 0.7, 1, 2.5)
WAITS = st.sampled_from(WAITS_S)
NUMBERS = st.integers(0, 11)
#: Faults in a sequence that is drawn from a seed.
SEQUENCE = 14
#: Faults that need a new server process are left out of ``session``.
RESTARTS = (ownership_world.kill_server, ownership_world.restart_server)


class Faults(stateful.RuleBasedStateMachine):
    """Start and end faults; the world checks its invariants throughout."""

    @stateful.initialize(seed=st.integers(0, 2**32 - 1))
    def begin(self, seed):
        self.world = ownership_world.World(seed)
        self.world.advance(START_S)

    @stateful.rule(
        fault=st.sampled_from(ownership_world.FAULTS),
        number=NUMBERS,
        wait=WAITS,
    )
    def change(self, fault, number, wait):
        fault(self.world, number)
        self.world.advance(wait)

    def teardown(self):
        world = getattr(self, 'world', None)
        if world is not None and not world.is_broken:
            world.recover()


@contextlib.contextmanager
def _quiet():
    logger = logging.getLogger('radishferryd')
    level = logger.level
    logger.setLevel(logging.CRITICAL)
    try:
        yield
    finally:
        logger.setLevel(level)


@behave.then('{count:d} random sequences of faults keep the invariants')
def random_faults(context, count):
    with _quiet():
        stateful.run_state_machine_as_test(
            Faults,
            settings=hypothesis.settings(
                derandomize=True,
                database=None,
                deadline=None,
                max_examples=count,
                stateful_step_count=STEPS,
                suppress_health_check=list(hypothesis.HealthCheck),
            ),
        )


@behave.then('sequence {seed:d} of {faults:w} faults keeps the invariants')
def seeded_faults(context, seed, faults):
    chosen = [
        fault
        for fault in ownership_world.FAULTS
        if faults == 'all' or fault not in RESTARTS
    ]
    source = random.Random(seed)
    sequence = [
        (source.choice(chosen), source.randrange(12), source.choice(WAITS_S))
        for _ in range(SEQUENCE)
    ]
    with _quiet():
        world = ownership_world.World(seed)
        world.advance(START_S)
        for fault, number, wait in sequence:
            fault(world, number)
            world.advance(wait)
        world.recover()
