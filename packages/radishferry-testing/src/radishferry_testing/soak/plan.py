"""Generate the faults of a run from its seed."""

from __future__ import annotations

import dataclasses
import itertools
import random

HOSTS = ('host1', 'host2', 'host3')
SERVERS = tuple(
    f'i-{service}-{number}'
    for service in ('keyed', 'plain')
    for number in range(3)
)
#: Fault-free seconds at the start of the load, and at its end, in which the
#: hosts must recover.
FAULT_FREE_START_S = 3.0
FAULT_FREE_END_S = 14.0
#: Seconds from the start of the series of planned stops to the first random
#: fault; longer than the stops, so that they occur without other faults.
STOP_SERIES_S = 10.0
#: Maximum interval between two planned stops of the series, in seconds.
STOP_INTERVAL_S = 2.0

#: Kinds of faults with their possible targets.
KINDS = {
    'kill-host': HOSTS,
    'kill-all-hosts': ('all',),
    'stop-host': HOSTS,
    'pause-host': HOSTS,
    'store-link-drop': HOSTS,
    'store-link-reset': HOSTS,
    'store-link-delay': HOSTS,
    'server-link-drop': SERVERS,
    'server-link-reset': SERVERS,
    'server-link-delay': SERVERS,
    'store-down': ('store',),
    'server-break-off': SERVERS,
    'server-shed': SERVERS,
    'server-foreign-answer': SERVERS,
    'server-leave': SERVERS,
    'server-rate-limit': SERVERS,
    'server-restart': SERVERS,
    'configuration': ('store',),
}


@dataclasses.dataclass(frozen=True)
class Fault:
    """Describe one fault.

    :ivar at_s: Seconds from the start of the load.
    :ivar duration_s: Duration in seconds.
    """

    at_s: float
    duration_s: float
    kind: str
    target: str

    @property
    def end_s(self) -> float:
        """Return its end, in seconds from the start of the load."""
        return self.at_s + self.duration_s


def generate(seed: int, seconds: float, drills: int = 0) -> tuple[Fault, ...]:
    """Return the faults of a run in the order of their start times.

    Planned stops of several hosts that overlap come first. The random faults
    after them often come in series of one kind, and often overlap.

    :param seconds: Duration of the load, in seconds.
    :param drills: Number of restores of the store besides the other faults,
        which are the same with and without them.
    """
    rng = random.Random(seed)
    faults = list(_stop_series(rng))
    at_s = FAULT_FREE_START_S + STOP_SERIES_S
    while at_s < seconds - FAULT_FREE_END_S:
        kind = rng.choice(tuple(KINDS))
        for _ in range(rng.choice((1, 1, 2, 3))):
            duration_s = rng.uniform(0.3, 5.0)
            end_s = min(at_s + duration_s, seconds - FAULT_FREE_END_S)
            target = rng.choice(KINDS[kind])
            faults.append(Fault(at_s, end_s - at_s, kind, target))
            at_s += rng.uniform(0.0, 2.5)
            if at_s >= seconds - FAULT_FREE_END_S:
                break
    faults.extend(_drills(random.Random(f'drills {seed}'), seconds, drills))
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def _drills(rng, seconds, count):
    """Yield restores of the store after it was away for a moment."""
    first_s = FAULT_FREE_START_S + STOP_SERIES_S
    for _ in range(count):
        at_s = rng.uniform(first_s, seconds - FAULT_FREE_END_S)
        yield Fault(
            at_s, rng.choice((0.0, 0.5, 2.0)), 'store-restore', 'store'
        )


def _stop_series(rng):
    """Yield planned stops of two or three hosts."""
    hosts = rng.sample(HOSTS, rng.choice((2, 3)))
    intervals = (rng.uniform(0.3, STOP_INTERVAL_S) for _ in hosts)
    start_times = itertools.accumulate(intervals, initial=FAULT_FREE_START_S)
    for host, at_s in zip(hosts, start_times, strict=False):
        yield Fault(at_s, 0.0, 'stop-host', host)
