"""Measure how much of an unused reservation others can use."""

from __future__ import annotations

import tempfile

from radishferry_testing import demo
from radishferry_testing import topology
from radishferry_testing.experiments import loads
from radishferry_testing.experiments import results

SERVERS, SLOTS, SERVICE_MS = 4, 3, 30
#: Requests per second that the servers can run.
CAPACITY = SERVERS * SLOTS * 1000 / SERVICE_MS
#: What the owner reserves and uses, as parts of the capacity.
RESERVED, USED = 0.8, 0.05
#: What the others send, and the owner when it wants its reservation.
OTHERS, DEMAND = 1.5, 1.2
#: Seconds until the owner's demand, and of it.
QUIET_S, DEMAND_S = 6.0, 4.0
#: Seconds over which the owner's requests are counted.
WINDOW_S = 0.2
#: Part of its reservation that the owner must get for it to be back.
BACK = 0.9

VARIANTS = {'radishferryd': (), 'FIFO without shares': ('--policy=fifo',)}


def shape(policy=()):
    """Return the deployment."""
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
    found = results.Results(
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
            found.add(variant, measure(policy))
    return found


def measure(policy=()) -> dict:
    """Measure one deployment."""
    with tempfile.TemporaryDirectory() as directory:
        with demo.deployed(shape(policy), directory) as deployment:
            sent = loads.run(
                [
                    _load('owner', USED, QUIET_S),
                    _load('first', OTHERS / 2, QUIET_S + DEMAND_S),
                    _load('second', OTHERS / 2, QUIET_S + DEMAND_S),
                    _load('owner', DEMAND, DEMAND_S, QUIET_S),
                ],
                deployment.caller_addresses(),
                directory,
            )
    return figures(sent)


def figures(sent) -> dict:
    """Return the figures of one run."""
    quiet, first, second, demand = (s.records for s in sent)
    others = [*first, *second]
    since = min(r['at'] for r in demand)
    until = max(r['at'] for r in demand)
    # The queue learns the service time in the first requests.
    quiet_s = (2.0, since)
    owner = [*quiet, *demand]
    share = RESERVED * CAPACITY
    return {
        'others, of capacity': loads.served_per_s(others, *quiet_s) / CAPACITY,
        'owner before, part served': (
            sum(loads.is_served(r) for r in quiet) / len(quiet)
        ),
        'reservation back after ms': 1000 * _back_after(owner, since, until),
        'owner in its demand, of reservation': (
            loads.served_per_s(owner, since + 0.5, until) / share
        ),
        'sent late, part': loads.late_part([*owner, *others]),
    }


def _back_after(owner, since, until):
    """Return when answers come at the reserved rate, in seconds."""
    share = RESERVED * CAPACITY
    step = 0.02
    for number in range(int((until - since - WINDOW_S) / step)):
        start = since + number * step
        if loads.served_per_s(owner, start, start + WINDOW_S) >= BACK * share:
            return number * step
    return until - since


def _load(caller, part, duration_s, start_s=0.0):
    kind = f'lookup:GET:/inventory/lots/{{key}}:1::caller={caller}'
    rate = f'constant:{part * CAPACITY}'
    return loads.Load((kind,), rate, duration_s, start_s)
