"""Steps for the properties of ownership under random faults."""

from __future__ import annotations

import behave
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import ownership_sequences
import ownership_world

STEPS = 12
WAITS = st.sampled_from(ownership_sequences.WAITS_S)
NUMBERS = st.integers(0, 11)


class Faults(stateful.RuleBasedStateMachine):
    """Start and end random faults; the world checks its invariants."""

    @stateful.initialize(seed=st.integers(0, 2**32 - 1))
    def begin(self, seed):
        self.world = ownership_world.World(seed)
        self.world.advance(ownership_sequences.START_S)

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


@behave.then('{count:d} random sequences of faults keep the invariants')
def random_faults(context, count):
    with ownership_sequences.quiet():
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
    with ownership_sequences.quiet():
        ownership_sequences.run(seed, faults)
