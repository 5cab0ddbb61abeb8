"""Run a small deployment, send requests through it and print a table."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import pathlib
import subprocess
import sys
import tempfile
import time

from radishferry_testing import arguments
from radishferry_testing import arrivals
from radishferry_testing import evidence
from radishferry_testing import load
from radishferry_testing import load_kinds
from radishferry_testing import processes as processes_module
from radishferry_testing import topology

#: The request kinds of the Offcut Registry Gateway.
KINDS = (
    load_kinds.LoadKind('lookup', 'GET', '/inventory/lots/{key}', 10),
    load_kinds.LoadKind(
        'reserve',
        'POST',
        '/inventory/lots/{key}/reserve',
        4,
        b'{"kilograms": 120}',
        False,
    ),
    load_kinds.LoadKind(
        'pay', 'POST', '/treasury/fees', 4, b'{"pesos": 9000}', False
    ),
    load_kinds.LoadKind('download', 'GET', '/treasury/certificates/{key}', 1),
)
#: Request rate of the demo, in requests per second.
RATE = 100
#: Number of lots.
LOTS = 20
#: Time limit for all hosts to become ready, in seconds.
READY_TIMEOUT_S = 30.0


@contextlib.contextmanager
def deployed(shape, directory, *, has_links=False):
    """Run a deployment with its manifest applied and stop it on exit.

    :param shape: A :class:`~radishferry_testing.topology.Topology`.
    :param directory: Where settings, outputs and logs go.
    """
    deployment = topology.Deployment(shape, directory, has_links=has_links)
    processes = processes_module.Processes(directory)
    deployment.processes = processes
    infrastructure = deployment.specs()
    hosts = deployment.host_specs()
    processes.add(*infrastructure, *hosts)
    try:
        names = [spec.name for spec in infrastructure]
        processes.start(*names)
        processes.wait_ready(*names)
        deployment.set_host_list()
        processes.start(*shape.hosts)
        _wait_admin(deployment)
        submit(deployment, 1)
        processes.wait_ready(*shape.hosts, timeout_s=READY_TIMEOUT_S)
        yield deployment
    finally:
        processes.close()


def submit(deployment, version, changes=None, host=None):
    """Submit the manifest with radishferryctl.

    :raises subprocess.CalledProcessError: It was not accepted.
    """
    path = deployment.write_manifest(version, changes)
    host = host or next(iter(deployment.topology.hosts))
    program = pathlib.Path(sys.executable).with_name('radishferryctl')
    subprocess.run(
        [
            str(program),
            'submit',
            str(path),
            '--host',
            deployment.admin_address(host),
            '--token',
            topology.TOKEN,
        ],
        check=True,
    )


def _wait_admin(deployment):
    deadline = time.monotonic() + READY_TIMEOUT_S
    for host in deployment.topology.hosts:
        while True:
            with contextlib.suppress(OSError):
                deployment.status(host)
                break
            has_exited = not deployment.processes.is_running(host)
            if has_exited or time.monotonic() > deadline:
                raise TimeoutError(deployment.processes.output(host))
            time.sleep(0.05)


def owners(deployment) -> dict[str, set[str]]:
    """Return the servers that ran requests for each key."""
    found = collections.defaultdict(set)
    paths = [
        path
        for name in deployment.topology.servers
        if (path := deployment.log_path(name)).exists()
    ]
    for run in evidence.read_runs(paths):
        if run.key and run.service == 'inventory':
            found[run.key].add(run.owner[0])
    return found


def print_table(report):
    """Print a line for each request kind."""
    print(
        f'{"kind":<10}{"sent":>7}{"answered":>10}{"p50 ms":>9}'
        f'{"p99 ms":>9}  outcomes'
    )
    for name, counts in sorted(report['kinds'].items()):
        latency = counts['latency']
        outcomes = ', '.join(
            f'{outcome} {count}'
            for outcome, count in sorted(counts['final_outcomes'].items())
        )
        sent = sum(counts['outcomes'].values())
        answered = sum(counts['statuses'].values())
        print(
            f'{name:<10}{sent:>7}{answered:>10}{latency["p50_ms"]:>9.1f}'
            f'{latency["p99_ms"]:>9.1f}  {outcomes}'
        )


def main(*, seconds: float = 10.0):
    """Run the demo.

    :param seconds: Duration of the load, in seconds.
    """
    with tempfile.TemporaryDirectory() as directory:
        with deployed(topology.DEMO, directory) as deployment:
            report = asyncio.run(_send_load(deployment, seconds))
            print_table(report)
            print('\nowner of each key seen')
            for key, servers in sorted(owners(deployment).items()):
                print(f'{key:<10}{", ".join(sorted(servers))}')


async def _send_load(deployment, seconds):
    generator = load.LoadGenerator(
        deployment.caller_addresses(),
        KINDS,
        arrivals.Keys(LOTS, 1.0),
        seed=1,
    )
    try:
        report = await generator.run(
            arrivals.parse_schedule(f'constant:{RATE}'), seconds
        )
    finally:
        generator.close()
    return report.report()


if __name__ == '__main__':
    arguments.run(main)
