"""Measure how much of an unused reservation others can use."""

from __future__ import annotations

import tempfile

from radishferry_testing import demo
from radishferry_testing import topology
from radishferry_testing.experiments import loads
from radishferry_testing.experiments import results

#: Servers, slots of each, and time of a request in ms.
SERVERS, SLOTS, SERVICE_MS = 4, 3, 30
#: Requests per second that the servers can run.
CAPACITY = SERVERS * SLOTS * 1000 / SERVICE_MS
#: Load that the owner of the reservation reserves, and that it sends at
#: first, as fractions of the capacity.
RESERVED, USED = 0.8, 0.05
#: Load of the other callers, and of the owner when it claims its reservation,
#: as multiples of the capacity.
OTHERS, DEMAND = 1.5, 1.2
#: Seconds before the owner claims its reservation, and while it does.
BEFORE_DEMAND_S, DEMAND_S = 6.0, 4.0
#: Seconds over which the owner's requests are counted.
WINDOW_S = 0.2
#: Fraction of its reservation that the owner must get again for the
#: reservation to count as restored.
RESTORED_FRACTION = 0.9

VARIANTS = {'radishferryd': (), 'FIFO without shares': ('--policy=fifo',)}


def shape(policy=()):
    """Return the topology.

    :param policy: Arguments of ``baseline_host``, empty for radishferryd.
    """
    reservation = {'caller': 'owner', 'share': RESERVED}
    service = topology.ServiceSpec(
        'inventory',
        SERVERS,
        ({**topology.LOOKUP, 'deadline_ms': 1000},),
        (f'/inventory:{SERVICE_MS}:64:fixed',),
        keyed=True,
        slots=SLOTS,
        options={'ranges': 64, 'reservations': [reservation]},
    )
    return topology.Topology(('santiago',), 2, (service,), policy)


def run(repeats=3):
    """Measure and return :class:`results.Results`."""
    result = results.Results(
        'reservations',
        f'One caller reserves {RESERVED:.0%} of {CAPACITY:g} requests/s and '
        f'uses {USED:.0%}; others send {OTHERS} times the capacity; then it '
        'wants its reservation.',
        'python -m radishferry_testing.bench reservations',
        {
            'others, of capacity': 'at least 0.9',
            'reservation back after ms': '300',
        },
    )
    for _ in range(repeats):
        for variant, policy in VARIANTS.items():
            result.add(variant, measure(policy))
    return result


def measure(policy=()) -> dict:
    """Measure one deployment."""
    with tempfile.TemporaryDirectory() as directory:
        with demo.deployed(shape(policy), directory) as deployment:
            load_results = loads.run(
                [
                    _load('owner', USED, BEFORE_DEMAND_S),
                    _load('first', OTHERS / 2, BEFORE_DEMAND_S + DEMAND_S),
                    _load('second', OTHERS / 2, BEFORE_DEMAND_S + DEMAND_S),
                    _load('owner', DEMAND, DEMAND_S, BEFORE_DEMAND_S),
                ],
                deployment.caller_addresses(),
                directory,
            )
    return figures(load_results)


def figures(load_results) -> dict:
    """Return the figures of one run."""
    before_demand, first, second, demand = (
        each.records for each in load_results
    )
    others = [*first, *second]
    since = min(r['at'] for r in demand)
    until = max(r['at'] for r in demand)
    # The queue estimates the service time from the first requests, so the
    # first two seconds are left out.
    period = (2.0, since)
    owner = [*before_demand, *demand]
    share = RESERVED * CAPACITY
    return {
        'others, of capacity': loads.served_per_s(others, *period) / CAPACITY,
        'owner before, part served': (
            sum(loads.is_served(r) for r in before_demand) / len(before_demand)
        ),
        'reservation back after ms': 1000
        * _restored_after_s(owner, since, until),
        'owner in its demand, of reservation': (
            loads.served_per_s(owner, since + 0.5, until) / share
        ),
        'sent late, part': loads.late_fraction([*owner, *others]),
    }


def _restored_after_s(owner, since, until):
    """Return the seconds until the owner gets its reserved rate again.

    :data:`RESTORED_FRACTION` of the rate is enough.
    """
    share = RESERVED * CAPACITY
    step = 0.02
    for number in range(int((until - since - WINDOW_S) / step)):
        start = since + number * step
        if (
            loads.served_per_s(owner, start, start + WINDOW_S)
            >= RESTORED_FRACTION * share
        ):
            return number * step
    return until - since


def _load(caller, fraction, duration_s, start_s=0.0):
    kind = f'lookup:GET:/inventory/lots/{{key}}:1::caller={caller}'
    rate = f'constant:{fraction * CAPACITY}'
    return loads.Load((kind,), rate, duration_s, start_s)
