"""Measure what a request costs in the router and the latency it adds."""

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

#: Connections and processes of callers at full load.
CALLERS = 24
CALLER_PROCESSES = 2
RANGES = 64
#: Requests per second that one core shall route.
TARGET_PER_S = 2400
#: Seconds of one measurement.
SECONDS = 3.0
#: Paths of the profiler; the first that exists is used.
PROFILERS = ('/work/.venv-trial/bin/py-spy',)
PROFILE_RATE = 500

LOOKUP = load_kinds.LoadKind('lookup', 'GET', '/inventory/lots/{key}')


def shape(hosts):
    """Return a deployment whose servers answer at once."""
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
    """Record a profile of a process in the folded format of py-spy."""
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
def version(packages):
    """Let processes started in the block use other packages.

    :param packages: Directory ``packages`` of another version, or empty.
    """
    present = os.environ.get('PYTHONPATH')
    if packages:
        sources = pathlib.Path(packages).resolve().glob('*/src')
        os.environ['PYTHONPATH'] = os.pathsep.join(map(str, sources))
    try:
        yield
    finally:
        if packages and present is None:
            del os.environ['PYTHONPATH']
        elif packages:
            os.environ['PYTHONPATH'] = present


def keys_of(deployment) -> list[str]:
    """Return keys whose coordinator is not the first host, if there is one.

    With one host these are any keys.
    """
    first = next(iter(deployment.topology.hosts))
    url = f'http://{deployment.admin_address(first)}/v1/dump'
    dump = topology.request('GET', url, token=topology.TOKEN)
    routes = dump['routes']['services']['inventory']['routes']
    hosts = {
        server: host
        for server, (host, _) in dump['routes']['coordinators'].items()
    }
    alone = len(deployment.topology.hosts) == 1
    found = []
    for number in itertools.count():
        key = f'key-{number}'
        _, server = routes[str(keyspace.key_hash(key) % RANGES)]
        if alone or hosts[server] != first:
            found.append(key)
        if len(found) == CALLERS:
            return found


def full_load(deployment, keys, seconds=SECONDS, profile=None) -> dict:
    """Send as much as one host answers and return the figures."""
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
        found = [json.loads(c.communicate()[0]) for c in callers]
    used = [cpu_s(pid) - b for pid, b in zip(pids, before)]
    elapsed = time.monotonic() - start
    count = sum(f['statuses'].get('200', 0) for f in found)
    rate = sum(f['statuses'].get('200', 0) / f['elapsed_s'] for f in found)
    others = sum(
        n for f in found for s, n in f['statuses'].items() if s != '200'
    )
    for reason in {s for f in found for s in f['statuses']} - {'200'}:
        print('not 200:', reason, [f['statuses'].get(reason) for f in found])
    latencies = [t for f in found for t in f['latencies']]
    return {
        'requests/s': rate,
        'requests/s a core': count / sum(used),
        'cores used': sum(used) / elapsed,
        'not 200': others,
        'full load p99 ms': results.percentile(latencies, 99) * 1000,
    }


class _Keys:
    def __init__(self, keys):
        self._keys = keys

    def draw(self, rng):
        return rng.choice(self._keys)


async def latency(address, rate, keys, seconds=SECONDS) -> dict:
    """Send an open-loop load and return percentiles in ms."""
    generator = load.LoadGenerator([address], [LOOKUP], _Keys(keys), seed=1)
    schedule = arrivals.parse_schedule(f'constant:{rate}')
    report = await generator.run(schedule, seconds)
    generator.close()
    found = report.report()
    values = found['kinds']['lookup']['latency']
    return {
        'half load p50 ms': values['p50_ms'],
        'half load p99 ms': values['p99_ms'],
        'half load, late sends p99 ms': found['lag']['p99_ms'],
    }


def direct_address(deployment):
    """Return the address of a server.

    Work that names no range needs no lease, so the server answers it.
    """
    return deployment.processes.address('inventory01')


def run(repeats=3, profile=None, before=''):
    """Measure and return :class:`results.Results`.

    :param profile: Path of a profile to record, or None.
    :param before: Directory ``packages`` of an earlier version to compare
        with, or empty.
    """
    found = results.Results(
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
                found.add(f'{variant}, earlier', measure(hosts, None, before))
            path = profile if not repeat and hosts == 1 else None
            found.add(variant, measure(hosts, path))
    return found


def measure(hosts, profile=None, packages='') -> dict:
    """Measure one deployment.

    :param packages: See :func:`version`.
    """
    with contextlib.ExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        with version(packages):
            deployment = stack.enter_context(
                demo.deployed(shape(hosts), directory)
            )
        time.sleep(1.0)
        keys = keys_of(deployment)
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
