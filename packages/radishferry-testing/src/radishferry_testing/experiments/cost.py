"""Measure what a request costs in the router and the latency it adds."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

from radishferry_testing import arrivals
from radishferry_testing import demo
from radishferry_testing import load
from radishferry_testing import load_kinds
from radishferry_testing import topology
from radishferry_testing.experiments import results

#: Connections and processes of callers at full load.
CALLERS = 24
CALLER_PROCESSES = 2
#: Seconds of one measurement.
SECONDS = 5.0
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
        options={'ranges': 64},
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


def full_load(deployment, seconds=SECONDS, profile=None) -> dict:
    """Send as much as one host answers and return the figures."""
    host = next(iter(deployment.topology.hosts))
    pids = [deployment.processes.pid(h) for h in deployment.topology.hosts]
    command = [
        sys.executable,
        '-m',
        'radishferry_testing.experiments.closed_loop',
        *('--address', deployment.caller_address(host)),
        *('--path', LOOKUP.path),
        *('--callers', str(CALLERS // CALLER_PROCESSES)),
        *('--seconds', str(seconds)),
    ]
    before = [cpu_s(pid) for pid in pids]
    start = time.monotonic()
    with profiled(pids[0], profile, seconds - 1):
        callers = [
            subprocess.Popen(command, stdout=subprocess.PIPE)
            for _ in range(CALLER_PROCESSES)
        ]
        found = [json.loads(c.communicate()[0]) for c in callers]
    used = [cpu_s(pid) - b for pid, b in zip(pids, before)]
    elapsed = time.monotonic() - start
    count = sum(f['statuses'].get('200', 0) for f in found)
    rate = sum(f['statuses'].get('200', 0) / f['elapsed_s'] for f in found)
    others = sum(
        n for f in found for s, n in f['statuses'].items() if s != '200'
    )
    latencies = [t for f in found for t in f['latencies']]
    return {
        'requests/s': rate,
        'requests/s a core': count / sum(used),
        'cores used': sum(used) / elapsed,
        'not 200': others,
        'full load p99 ms': results.percentile(latencies, 99) * 1000,
    }


async def latency(address, rate, seconds=SECONDS) -> dict:
    """Send an open-loop load and return percentiles in ms."""
    generator = load.LoadGenerator(
        [address], [LOOKUP], arrivals.Keys(1000, 0.0), seed=1
    )
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
    """Start a server without a lease, which answers work without a range."""
    # Work that names no range needs no lease, so that any server answers.
    return deployment.processes.address('inventory01')


def run(repeats=3, profile=None):
    """Measure and return :class:`results.Results`.

    :param profile: Path of a profile to record, or None.
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
            path = profile if not repeat and hosts == 1 else None
            found.add(variant, measure(hosts, path))
    found.add('direct', {})
    return found


def measure(hosts, profile=None) -> dict:
    """Measure one deployment."""
    with tempfile.TemporaryDirectory() as directory:
        with demo.deployed(shape(hosts), directory) as deployment:
            time.sleep(1.0)
            figures = full_load(deployment, profile=profile)
            host = next(iter(deployment.topology.hosts))
            address = deployment.caller_address(host)
            rate = figures['requests/s'] / 2
            direct = asyncio.run(latency(direct_address(deployment), rate))
            routed = asyncio.run(latency(address, rate))
    figures.update(routed)
    for name in ('p50', 'p99'):
        key = f'half load {name} ms'
        figures[f'half load, added {name} ms'] = routed[key] - direct[key]
    return figures
