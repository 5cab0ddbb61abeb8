"""Measure the control-plane cost of an entry host at several sizes."""

from __future__ import annotations

import dataclasses
import json
import os
import pathlib
import statistics
import tempfile
import time

from radishferry_testing import arguments
from radishferry_testing import demo
from radishferry_testing import topology

#: Seconds that a deployment runs without load before a measurement, and the
#: length of the measurement.
WARM_UP_S = 4.0
MEASURE_S = 10.0
#: Manifests submitted during the measurement of manifest changes.
CHANGES = 20

_TICKS_PER_S = os.sysconf('SC_CLK_TCK')


def shape(hosts, servers, ranges) -> topology.Topology:
    """Return a topology in two data centres.

    :param hosts: Entry hosts in each data centre.
    :param servers: Servers of the one service.
    :param ranges: Ranges of the service.
    """
    return topology.Topology(
        ('santiago', 'concepcion'),
        hosts,
        (
            topology.ServiceSpec(
                'inventory',
                servers,
                (topology.LOOKUP, topology.RESERVE),
                ('/inventory:5',),
                keyed=True,
                options={'ranges': ranges},
            ),
        ),
    )


#: Name to hosts of each data centre, servers and ranges.  The other sizes
#: change one number of ``base`` each, so the difference gives the cost of
#: each further host, server or range.
SIZES = {
    'base': (2, 8, 256),
    'hosts': (6, 8, 256),
    'servers': (2, 32, 256),
    'ranges': (2, 8, 2048),
}


@dataclasses.dataclass(frozen=True)
class Cost:
    """Hold the control-plane cost of one host, as the median over the hosts.

    :ivar cpu_percent: Processor time in percent of one core.
    :ivar rss_mb: Resident memory in MB (1024 kB).
    :ivar bytes_per_s: Bytes sent to other hosts per second.
    """

    cpu_percent: float
    rss_mb: float
    bytes_per_s: float


def _cpu_s(pid):
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')', 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / _TICKS_PER_S


def _rss_mb(pid):
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    return int(status.split('VmRSS:')[1].split()[0]) / 1024


def _read_counters(deployment):
    return {
        host: (
            _cpu_s(deployment.processes.pid(host)),
            deployment.status(host)['peer_bytes_sent'],
        )
        for host in deployment.topology.hosts
    }


def measure(deployment, seconds, during=lambda: None) -> Cost:
    """Return the control-plane cost while no requests arrive.

    :param during: Called once at the start of the measurement.
    """
    before = _read_counters(deployment)
    start = time.monotonic()
    during()
    time.sleep(max(0.0, seconds - (time.monotonic() - start)))
    elapsed = time.monotonic() - start
    after = _read_counters(deployment)
    cpu = [after[h][0] - before[h][0] for h in before]
    sent = [after[h][1] - before[h][1] for h in before]
    rss = [_rss_mb(deployment.processes.pid(host)) for host in before]
    return Cost(
        round(100 * statistics.median(cpu) / elapsed, 2),
        round(statistics.median(rss), 1),
        round(statistics.median(sent) / elapsed),
    )


def run() -> dict:
    """Return the cost at each size, and the cost of manifest changes."""
    costs = {}
    for name, size in SIZES.items():
        with tempfile.TemporaryDirectory() as directory:
            with demo.deployed(shape(*size), directory) as deployment:
                time.sleep(WARM_UP_S)
                costs[name] = dataclasses.asdict(
                    measure(deployment, MEASURE_S)
                )
                if name == 'base':
                    costs['changes'] = dataclasses.asdict(
                        measure(
                            deployment,
                            MEASURE_S,
                            lambda: _submit_manifests(deployment),
                        )
                    )
    return costs


def _submit_manifests(deployment):
    host = next(iter(deployment.topology.hosts))
    url = f'http://{deployment.admin_address(host)}/v1/manifest'
    for version in range(2, 2 + CHANGES):
        topology.request(
            'POST', url, deployment.manifest(version), token=topology.TOKEN
        )


def main():
    """Measure and print the costs as JSON."""
    print(json.dumps({'sizes': SIZES, 'costs': run()}, indent=2))


if __name__ == '__main__':
    arguments.run(main)
