"""Measure the processor time and the latency that the router adds."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

from radishferry import keyspace
from radishferry_testing import arrivals
from radishferry_testing import demo
from radishferry_testing import load
from radishferry_testing import load_kinds
from radishferry_testing import topology
from radishferry_testing.experiments import results

#: Connections at full load, and processes that hold them.
CALLERS = 24
CALLER_PROCESSES = 2
RANGES = 64
#: Requests per second that one core must route.
TARGET_PER_S = 2400
#: Seconds of one measurement.
SECONDS = 3.0
#: Paths of the profiler; the first that exists is used, none disables the
#: profile.
PROFILERS = ('/work/.venv-trial/bin/py-spy',)
#: Samples per second of the profile.
PROFILE_RATE = 500

LOOKUP = load_kinds.LoadKind('lookup', 'GET', '/inventory/lots/{key}')


def shape(hosts):
    """Return a topology whose servers answer without delay.

    :param hosts: Number of entry hosts.
    """
    service = topology.ServiceSpec(
        'inventory',
        4,
        (topology.LOOKUP,),
        ('/inventory:0',),
        keyed=True,
        slots=12,
        options={'ranges': RANGES},
    )
    return topology.Topology(('santiago',), hosts, (service,))


def cpu_s(pid) -> float:
    """Return the processor time of a process, in seconds."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf('SC_CLK_TCK')


@contextlib.contextmanager
def profiled(pid, path, seconds):
    """Record a profile of a process during the block, if py-spy exists.

    :param path: File in the folded (raw) format of py-spy, None for none.
    """
    program = next((p for p in PROFILERS if os.path.exists(p)), None)
    if program is None or path is None:
        yield
        return
    command = [program, 'record', '-p', str(pid), '-f', 'raw', '-o', str(path)]
    command += ['-d', str(int(seconds)), '-r', str(PROFILE_RATE)]
    with subprocess.Popen(
        command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
    ):
        yield


@contextlib.contextmanager
def use_packages(packages):
    """Let processes that are started in the block use other packages.

    :param packages: Directory ``packages`` of another version, or empty for
        this one.
    """
    previous = os.environ.get('PYTHONPATH')
    if packages:
        sources = pathlib.Path(packages).resolve().glob('*/src')
        os.environ['PYTHONPATH'] = os.pathsep.join(map(str, sources))
    try:
        yield
    finally:
        if packages and previous is None:
            del os.environ['PYTHONPATH']
        elif packages:
            os.environ['PYTHONPATH'] = previous


def pick_keys(deployment) -> list[str]:
    """Return keys whose requests the first host forwards.

    These are keys whose coordinator is another host.  With one host, which
    forwards nothing, return any keys.
    """
    first = next(iter(deployment.topology.hosts))
    url = f'http://{deployment.admin_address(first)}/v1/dump'
    dump = topology.request('GET', url, token=topology.TOKEN)
    routes = dump['routes']['services']['inventory']['routes']
    hosts = {
        server: host
        for server, (host, _) in dump['routes']['coordinators'].items()
    }
    is_single_host = len(deployment.topology.hosts) == 1
    keys = []
    for number in itertools.count():
        key = f'key-{number}'
        _, server = routes[str(keyspace.key_hash(key) % RANGES)]
        if is_single_host or hosts[server] != first:
            keys.append(key)
        if len(keys) == CALLERS:
            return keys


def full_load(deployment, keys, seconds=SECONDS, profile=None) -> dict:
    """Saturate one host with a closed-loop load and return the figures.

    :param keys: The key of each connection.
    :param profile: Path of a profile to record, or None.
    """
    host = next(iter(deployment.topology.hosts))
    pids = [deployment.processes.pid(h) for h in deployment.topology.hosts]
    command = [
        sys.executable,
        '-m',
        'radishferry_testing.experiments.closed_loop',
        *('--address', deployment.caller_address(host)),
        *('--path', LOOKUP.path),
        *('--seconds', str(seconds)),
    ]
    before = [cpu_s(pid) for pid in pids]
    start = time.monotonic()
    with profiled(pids[0], profile, seconds - 1):
        callers = [
            subprocess.Popen(
                [
                    *command,
                    *(f'--key={k}' for k in keys[number::CALLER_PROCESSES]),
                ],
                stdout=subprocess.PIPE,
            )
            for number in range(CALLER_PROCESSES)
        ]
        reports = [json.loads(c.communicate()[0]) for c in callers]
    used = [cpu_s(pid) - b for pid, b in zip(pids, before)]
    elapsed = time.monotonic() - start
    count = sum(r['statuses'].get('200', 0) for r in reports)
    rate = sum(r['statuses'].get('200', 0) / r['elapsed_s'] for r in reports)
    not_200 = sum(
        n for r in reports for s, n in r['statuses'].items() if s != '200'
    )
    for reason in {s for r in reports for s in r['statuses']} - {'200'}:
        print('not 200:', reason, [r['statuses'].get(reason) for r in reports])
    latencies = [t for r in reports for t in r['latencies']]
    return {
        'requests/s': rate,
        'requests/s a core': count / sum(used),
        'cores used': sum(used) / elapsed,
        'not 200': not_200,
        'full load p99 ms': results.percentile(latencies, 99) * 1000,
    }


class _FixedKeys:
    """Draw from given keys, in place of :class:`arrivals.Keys`."""

    def __init__(self, keys):
        self._keys = keys

    def draw(self, rng):
        return rng.choice(self._keys)


async def latency(address, rate, keys, seconds=SECONDS) -> dict:
    """Send an open-loop load and return percentiles in ms."""
    generator = load.LoadGenerator(
        [address], [LOOKUP], _FixedKeys(keys), seed=1
    )
    schedule = arrivals.parse_schedule(f'constant:{rate}')
    report = await generator.run(schedule, seconds)
    generator.close()
    totals = report.report()
    values = totals['kinds']['lookup']['latency']
    return {
        'half load p50 ms': values['p50_ms'],
        'half load p99 ms': values['p99_ms'],
        'half load, late sends p99 ms': totals['lag']['p99_ms'],
    }


def direct_address(deployment):
    """Return the address of a server, for requests without the router.

    Requests without a range header need no lease, so the server answers them.
    """
    return deployment.processes.address('inventory01')


def run(repeats=3, profile=None, before=''):
    """Measure and return :class:`results.Results`.

    :param profile: Path of a profile to record, or None.
    :param before: Directory ``packages`` of an earlier version to compare
        with, or empty.
    """
    result = results.Results(
        'cost',
        'Cost of a keyed GET through radishferryd; servers answer at once.',
        'python -m radishferry_testing.bench cost',
        {
            'requests/s a core': '2400',
            'half load p99 ms': '20',
        },
    )
    variants = {
        'router and coordinator in one process': 1,
        'router and coordinator in two processes': 2,
    }
    for repeat in range(repeats):
        for variant, hosts in variants.items():
            if before:
                result.add(f'{variant}, earlier', measure(hosts, None, before))
            path = profile if not repeat and hosts == 1 else None
            result.add(variant, measure(hosts, path))
    return result


def measure(hosts, profile=None, packages='') -> dict:
    """Measure one deployment.

    :param packages: See :func:`use_packages`.
    """
    with contextlib.ExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        with use_packages(packages):
            deployment = stack.enter_context(
                demo.deployed(shape(hosts), directory)
            )
        time.sleep(1.0)
        keys = pick_keys(deployment)
        figures = full_load(deployment, keys, profile=profile)
        host = next(iter(deployment.topology.hosts))
        address = deployment.caller_address(host)
        rate = min(figures['requests/s'], TARGET_PER_S) / 2
        direct = asyncio.run(latency(direct_address(deployment), rate, keys))
        routed = asyncio.run(latency(address, rate, keys))
    figures.update(routed)
    for name in ('p50', 'p99'):
        key = f'half load {name} ms'
        figures[f'half load, added {name} ms'] = routed[key] - direct[key]
    return figures
