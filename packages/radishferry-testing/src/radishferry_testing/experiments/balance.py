"""Measure load balancing with a slow server and with uneven hosts."""

from __future__ import annotations

import tempfile

from radishferry_testing import calls
from radishferry_testing import demo
from radishferry_testing import topology
from radishferry_testing.experiments import loads
from radishferry_testing.experiments import results

#: Servers, slots of each, time of a request in ms, and entry hosts.
SERVERS, SLOTS, SERVICE_MS, HOSTS = 4, 3, 30, 3
#: Requests per second that the servers can run.
CAPACITY = SERVERS * SLOTS * 1000 / SERVICE_MS
#: Factor on the service time of the slow server.
SLOW_FACTOR = 4.0
#: Load with a slow server and with uneven hosts, as fractions of capacity.
SLOW_LOAD, UNEVEN_LOAD = 0.5, 0.7
#: Fraction of the load that enters through the first host.
FIRST_HOST_FRACTION = 0.8
#: Seconds of a run, and of its start that the figures leave out.
SECONDS, WARM_S = 8.0, 2.0
KIND = 'guide:GET:/guides/{key}:1'

SLOW_VARIANTS = {
    'slow server, radishferryd': (),
    'slow server, round robin': ('--policy=round-robin',),
}
UNEVEN_VARIANTS = {
    'uneven hosts, radishferryd': (),
    'uneven hosts, divided slots': ('--policy=divided', f'--hosts={HOSTS}'),
}


def shape(policy):
    """Return the topology.

    :param policy: Arguments of ``baseline_host``, empty for radishferryd.
    """
    kind = {
        'name': 'guide',
        'method': 'GET',
        'path': '/guides/{name}',
        'idempotent': True,
        'deadline_ms': 1000,
    }
    service = topology.ServiceSpec(
        'guides',
        SERVERS,
        (kind,),
        (f'/guides:{SERVICE_MS}:64:fixed',),
        slots=SLOTS,
        options={'ranges': 64},
    )
    return topology.Topology(('santiago',), HOSTS, (service,), policy)


def run(repeats=3):
    """Measure and return :class:`results.Results`."""
    result = results.Results(
        'balance',
        f'Requests that any server can run: one of {SERVERS} servers is '
        f'{SLOW_FACTOR:g} times slower, or {FIRST_HOST_FRACTION:.0%} of the '
        f'load enter through one of {HOSTS} hosts.',
        'python -m radishferry_testing.bench balance',
    )
    for _ in range(repeats):
        for variant, policy in SLOW_VARIANTS.items():
            result.add(variant, measure_slow(policy))
        for variant, policy in UNEVEN_VARIANTS.items():
            result.add(variant, measure_uneven(policy))
    return result


def measure_slow(policy) -> dict:
    """Measure with one slow server."""
    load = loads.Load((KIND,), f'constant:{SLOW_LOAD * CAPACITY}', SECONDS)
    with tempfile.TemporaryDirectory() as directory:
        with demo.deployed(shape(policy), directory) as deployment:
            address = deployment.processes.address('guides01')
            calls.call(
                address, 'POST', '/control', {'slow_factor': SLOW_FACTOR}
            )
            (load_result,) = loads.run(
                [load], deployment.caller_addresses(), directory
            )
    return figures(load_result.records)


def measure_uneven(policy) -> dict:
    """Measure with most of the load entering through one host."""
    load = UNEVEN_LOAD * CAPACITY
    first = loads.Load(
        (KIND,), f'constant:{FIRST_HOST_FRACTION * load}', SECONDS
    )
    rest = loads.Load(
        (KIND,), f'constant:{(1 - FIRST_HOST_FRACTION) * load}', SECONDS
    )
    with tempfile.TemporaryDirectory() as directory:
        with demo.deployed(shape(policy), directory) as deployment:
            hosts = deployment.caller_addresses()
            load_results = loads.run(
                [first, rest], hosts, directory, [hosts[:1], hosts[1:]]
            )
    return figures([r for each in load_results for r in each.records])


def figures(records) -> dict:
    """Return the figures of one run from its records."""
    counted = [r for r in records if r['at'] >= WARM_S]
    served = [r['took'] * 1000 for r in counted if loads.is_served(r)]
    return {
        'p50 ms': results.percentile(served, 50),
        'p99 ms': results.percentile(served, 99),
        'part served': len(served) / len(counted),
        'sent late, part': loads.late_fraction(records),
    }
