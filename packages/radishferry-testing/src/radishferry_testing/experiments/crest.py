"""Measure the service in an overload of five times its capacity."""

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
#: Load before and after the overload, and during it, as multiples of the
#: capacity.
BASE, PEAK = 0.5, 5.0
#: Seconds before the overload, of its ramp, of the overload with its ramp,
#: and after it.
BEFORE_S, RAMP_S, OVERLOAD_S, AFTER_S = 4.0, 1.0, 10.0, 4.0
#: Seconds over which goodput is counted.
WINDOW_S = 1.0
#: Processes that send the additional load of the overload.
GENERATORS = 3
DEADLINE_MS = 1000
KIND = 'lookup:GET:/inventory/lots/{key}:1'

VARIANTS = {'radishferryd': (), 'FIFO without admission': ('--policy=fifo',)}


def shape(policy=(), hosts=3):
    """Return the topology.

    :param policy: Arguments of ``baseline_host``, empty for radishferryd.
    """
    service = topology.ServiceSpec(
        'inventory',
        SERVERS,
        ({**topology.LOOKUP, 'deadline_ms': DEADLINE_MS},),
        (f'/inventory:{SERVICE_MS}:64:fixed',),
        keyed=True,
        slots=SLOTS,
        options={'ranges': 64},
    )
    return topology.Topology(('santiago',), hosts, (service,), policy)


def run(repeats=3):
    """Measure and return :class:`results.Results`."""
    result = results.Results(
        'crest',
        f'Arrivals rise from {BASE} to {PEAK} times the capacity of '
        f'{CAPACITY:g}/s within {RAMP_S:g} s and stay for {OVERLOAD_S:g} s.',
        'python -m radishferry_testing.bench crest',
        {
            'goodput in the worst second, of capacity': 'at least 0.9',
            'refusals p99 ms': '20',
            'back to normal p99 after s': '1',
        },
    )
    for _ in range(repeats):
        for variant, policy in VARIANTS.items():
            result.add(variant, measure(policy))
    return result


def measure(policy=()) -> dict:
    """Measure one deployment."""
    extra = (PEAK - BASE) * CAPACITY / GENERATORS
    total_s = BEFORE_S + OVERLOAD_S + AFTER_S
    base = loads.Load((KIND,), f'constant:{BASE * CAPACITY}', total_s)
    overload = loads.Load(
        (KIND,), f'ramp:1:{extra}:{RAMP_S}', OVERLOAD_S, BEFORE_S
    )
    with tempfile.TemporaryDirectory() as directory:
        with demo.deployed(shape(policy), directory) as deployment:
            load_results = loads.run(
                [base, *[overload] * GENERATORS],
                deployment.caller_addresses(),
                directory,
            )
    return figures(load_results)


def figures(load_results) -> dict:
    """Return the figures of one run."""
    records = [r for each in load_results for r in each.records]
    # The overload starts later than planned, since its generators take time
    # to start; so its period is taken from the records.
    start = min(
        r['at']
        for each in load_results
        if each.load.start_s
        for r in each.records
    )
    end = max(
        r['at']
        for each in load_results
        if each.load.start_s
        for r in each.records
    )
    steady = start + RAMP_S
    windows = int((end - steady) / WINDOW_S)
    goodput = [
        loads.served_per_s(
            records, steady + i * WINDOW_S, steady + (i + 1) * WINDOW_S
        )
        / CAPACITY
        for i in range(windows)
    ]
    refused = [r for r in records if r['status'] == 503]
    early = [r['took'] * 1000 for r in refused if r['reason'] == 'overloaded']
    normal = [r['took'] for r in records if 1.0 <= r['at'] < start]
    normal_p99 = results.percentile(normal, 99)
    served = [
        r['took'] * 1000
        for r in records
        if loads.is_served(r) and steady <= r['at'] < end
    ]
    return {
        'goodput in the worst second, of capacity': min(goodput),
        'goodput, of capacity': sum(goodput) / len(goodput),
        'refusals p99 ms': results.percentile(early, 99),
        'served in the crest p99 ms': results.percentile(served, 99),
        'given up after waiting': sum(
            r['reason'] == 'deadline' for r in refused
        ),
        'unknown outcomes': sum(
            r['outcome'] in ('unknown', 'lost') for r in records
        ),
        'normal p99 ms': normal_p99 * 1000,
        'back to normal p99 after s': _recovery_s(records, end, normal_p99),
        'sent late, part': loads.late_fraction(records),
        'sent/s in the crest': sum(steady <= r['at'] < end for r in records)
        / (end - steady),
    }


def _recovery_s(records, end, normal_p99):
    """Return the seconds until the p99 of all later requests is normal.

    Normal is at most 1.5 times the p99 before the overload.
    """
    step = 0.25
    for number in range(int((AFTER_S - 1) / step)):
        since = end + number * step
        later = [r['took'] for r in records if r['at'] >= since]
        if results.percentile(later, 99) <= 1.5 * normal_p99:
            return number * step
    return AFTER_S
