"""Measure manifest changes, planned stops, added servers and balance."""

from __future__ import annotations

import asyncio
import json
import tempfile
import time

from radishferry_testing import arguments
from radishferry_testing import evidence
from radishferry_testing import run_log
from radishferry_testing import topology
from radishferry_testing.experiments import harness as harness_module

#: Seconds between polls of the manifest version in force.
POLL_S = 0.02
#: Seconds after the acceptance of the manifest that marks a server as leaving
#: from which the server must not get new work (coordinator mode).
LEAVING_S = 3.0


def _submit(deployment, version, changes=None, host=None):
    """Submit a manifest and return the monotonic time of its acceptance."""
    host = host or next(iter(deployment.topology.hosts))
    url = f'http://{deployment.admin_address(host)}/v1/manifest'
    topology.request(
        'POST',
        url,
        deployment.manifest(version, changes),
        token=topology.TOKEN,
    )
    return time.monotonic()


def _versions(deployment, hosts):
    found = {}
    for host in hosts:
        try:
            status = deployment.status(host)
        except OSError:
            continue
        found[host] = status['manifest_version']
    return found


async def _wait_in_force(deployment, version, hosts, since, timeout_s=20.0):
    """Return the seconds until all hosts have a version.

    Returns infinity after the timeout.
    """
    while time.monotonic() < since + timeout_s:
        found = await asyncio.to_thread(_versions, deployment, hosts)
        if len(found) == len(hosts) and set(found.values()) == {version}:
            return time.monotonic() - since
        await asyncio.sleep(POLL_S)
    return float('inf')


def _relay(deployment, data_centre):
    host = next(
        name
        for name, location in deployment.topology.hosts.items()
        if location == data_centre
    )
    return deployment.status(host)['relay']


async def manifests(harness):
    """Measure how soon manifests are in force, also after a relay is killed.

    A rolling restart then checks that no host returns to an older version.
    """
    deployment = harness.deployment
    hosts = list(deployment.topology.hosts)
    await harness.wait_settled()
    version = 1
    times = []
    for _ in range(10):
        version += 1
        accepted = await asyncio.to_thread(
            _submit, deployment, version, None, harness.random.choice(hosts)
        )
        times.append(
            await _wait_in_force(deployment, version, hosts, accepted)
        )
    harness.findings.notes['in_force_s'] = [round(t, 3) for t in times]
    killed_times = []
    for data_centre in deployment.topology.data_centres:
        await harness.wait_settled()
        relay = await asyncio.to_thread(_relay, deployment, data_centre)
        others = [host for host in hosts if host != relay]
        version += 1
        harness.processes.kill(relay)
        accepted = await asyncio.to_thread(
            _submit, deployment, version, None, harness.random.choice(others)
        )
        killed_times.append(
            await _wait_in_force(deployment, version, others, accepted)
        )
        harness.processes.start(relay)
        harness.processes.wait_ready(relay)
    harness.findings.notes['in_force_relay_killed_s'] = [
        round(t, 3) for t in killed_times
    ]
    reverted = 0
    for host in hosts:
        harness.processes.kill(host)
        harness.processes.start(host)
        harness.processes.wait_ready(host)
        found = await asyncio.to_thread(_versions, deployment, hosts)
        reverted += sum(v != version for v in found.values())
    harness.findings.notes['reverted_in_rolling_restart'] = reverted


async def leaving(harness):
    """Mark servers as leaving and measure until when they get new work."""
    deployment = harness.deployment
    late = 0
    slowest = 0.0
    for number, server in enumerate(
        ('inventory03', 'treasury04', 'certificates02', 'ledger01')
    ):
        await harness.wait_settled()
        accepted = await asyncio.to_thread(
            _submit, deployment, number + 2, {server: {'state': 'leaving'}}
        )
        accepted_ns = time.monotonic_ns()
        await asyncio.sleep(LEAVING_S + 2)
        starts = [
            line['time_ns']
            for _, line in run_log.read(deployment.log_path(server))
            if line['event'] == 'start' and line['time_ns'] > accepted_ns
        ]
        last = max(starts, default=accepted_ns) - accepted_ns
        slowest = max(slowest, last / 1e9)
        late += sum(t > accepted_ns + LEAVING_S * 1e9 for t in starts)
        del accepted
    harness.findings.notes['last_new_work_after_s'] = round(slowest, 3)
    harness.findings.notes['new_work_after_3_s'] = late


async def planned_stops(harness):
    """Stop every host in turn with SIGTERM under load and start it again."""
    await harness.wait_settled()
    for host in harness.deployment.topology.hosts:
        await asyncio.to_thread(harness.processes.stop, host, 60.0)
        harness.processes.start(host)
        harness.processes.wait_ready(host)
        await harness.wait_settled()
    broken = {}
    for name, counts in harness.generator.report.kinds.items():
        found = {
            'bodies_broken': counts.bodies['broken'],
            'lost': counts.outcomes['lost'],
            'unknown': counts.outcomes['unknown'],
        }
        if any(found.values()):
            broken[name] = found
    harness.findings.notes['broken_by_planned_stops'] = broken


def _owners(harness):
    """Return range id to owner without the ranges of hot keys."""
    routes = harness.routes()
    return {r: s for r, s in routes.items() if r < 256}


async def servers_added_and_removed(harness):
    """Remove a server of the inventory, add it again, count moved ranges."""
    deployment = harness.deployment
    await harness.wait_settled()
    before = await asyncio.to_thread(_owners, harness)
    await asyncio.to_thread(_submit, deployment, 2, {'inventory05': None})
    await asyncio.sleep(3)
    await harness.wait_settled()
    removed = await asyncio.to_thread(_owners, harness)
    await asyncio.to_thread(_submit, deployment, 3)
    await asyncio.sleep(3)
    await harness.wait_settled()
    added = await asyncio.to_thread(_owners, harness)
    # 1.3 times the mean share of the 22 servers of the inventory.
    limit = 1.3 / 22
    harness.findings.notes.update(
        {
            'moved_by_removal': _moved(before, removed),
            'moved_by_addition': _moved(removed, added),
            'limit': round(limit, 4),
            'max_over_mean_ranges': round(_max_over_mean(added), 3),
        }
    )


def _moved(before, after):
    moved = sum(before.get(r) != s for r, s in after.items())
    return round(moved / len(after), 4)


def _max_over_mean(owners):
    counts = {}
    for server in owners.values():
        counts[server] = counts.get(server, 0) + 1
    return max(counts.values()) / (len(owners) / 22)


async def balance(harness):
    """Measure the ratio of maximum to mean load of the inventory's servers."""
    await harness.wait_settled()
    await asyncio.sleep(30)
    start_ns = time.monotonic_ns()
    await asyncio.sleep(20)
    counts = {}
    deployment = harness.deployment
    for name, (service, _) in deployment.topology.servers.items():
        if service.keyed:
            runs = evidence.read_runs([deployment.log_path(name)])
            counts[name] = sum(run.start_ns > start_ns for run in runs)
    mean = sum(counts.values()) / len(counts)
    url = f'http://{deployment.admin_address("santiago-host1")}/v1/dump'
    dump = await asyncio.to_thread(
        topology.request, 'GET', url, None, topology.TOKEN
    )
    harness.findings.notes.update(
        {
            'requests': sum(counts.values()),
            'max_over_mean': round(max(counts.values()) / mean, 3),
            'hot_keys': len(dump['hot_keys']['inventory']),
        }
    )


EXPERIMENTS = {
    'manifests': manifests,
    'leaving': leaving,
    'planned-stops': planned_stops,
    'add-remove': servers_added_and_removed,
    'balance': balance,
}


def run(name, *, rate=200, keys=10_000, zipf=1.0, seed=1, keep=''):
    """Run one experiment and return its findings."""

    async def drive(harness):
        async with harness.background_load():
            await EXPERIMENTS[name](harness)

    with tempfile.TemporaryDirectory() as directory:
        with harness_module.harness(
            topology.REGISTRY_GATEWAY,
            keep or directory,
            rate=rate,
            keys=keys,
            zipf=zipf,
            seed=seed,
        ) as harness:
            asyncio.run(drive(harness))
        return harness.findings


def main(
    *,
    experiment: str,
    rate: int = 200,
    keys: int = 10_000,
    zipf: float = 1.0,
    seed: int = 1,
    keep: str = '',
):
    """Run an experiment at the size of the Offcut Registry Gateway.

    :param experiment: manifests, leaving, planned-stops, add-remove or
        balance.
    :param rate: Requests per second of the background load.
    :param keys: Number of keys.
    :param zipf: Exponent of the distribution of keys, 0 for uniform.
    :param seed: Seed of the choices.
    :param keep: Directory to keep settings, outputs and logs in.
    """
    findings = run(
        experiment, rate=rate, keys=keys, zipf=zipf, seed=seed, keep=keep
    )
    print(
        json.dumps({'experiment': experiment, **findings.summary()}),
        flush=True,
    )


if __name__ == '__main__':
    arguments.run(main)
