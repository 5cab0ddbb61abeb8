"""Measure how soon keys are served again after a server or host fails."""

from __future__ import annotations

import asyncio
import tempfile

from radishferry_testing import arguments
from radishferry_testing import topology
from radishferry_testing.experiments import harness as harness_module

#: Seconds for which a host or server is paused.
PAUSE_S = 5.0


async def kill_servers(harness, times, *, table='up'):
    """Kill servers of the inventory one after the other.

    :param times: Number of faults.
    :param table: State of the platform's table during the faults.
    """
    for _ in range(times):
        await harness.wait_settled()
        server = await _pick_owner(harness)
        key = await asyncio.to_thread(harness.key_owned_by, server)
        _set_table(harness, table)
        harness.processes.kill(server)
        harness.findings.served_again_s.append(
            await harness.time_until_served(key)
        )
        _set_table(harness, 'up')
        harness.processes.start(server)


async def pause_servers(harness, times):
    """Pause servers of the inventory one after the other and resume them."""
    for _ in range(times):
        await harness.wait_settled()
        server = await _pick_owner(harness)
        key = await asyncio.to_thread(harness.key_owned_by, server)
        harness.processes.pause(server)
        elapsed_s = await harness.time_until_served(key)
        harness.findings.served_again_s.append(elapsed_s)
        await asyncio.sleep(max(0.0, PAUSE_S - elapsed_s))
        harness.processes.resume(server)


async def kill_hosts(harness, times):
    """Kill entry hosts that coordinate a server of the inventory."""
    for _ in range(times):
        await harness.wait_settled()
        host, key, _ = await _pick_coordinated(harness)
        harness.processes.kill(host)
        harness.findings.served_again_s.append(
            await harness.time_until_served(key)
        )
        harness.processes.start(host)


async def pause_hosts(harness, times):
    """Pause entry hosts that coordinate servers and resume them."""
    for _ in range(times):
        await harness.wait_settled()
        host, key, _ = await _pick_coordinated(harness)
        harness.processes.pause(host)
        elapsed_s = await harness.time_until_served(key, avoid=host)
        harness.findings.served_again_s.append(elapsed_s)
        await asyncio.sleep(max(0.0, PAUSE_S - elapsed_s))
        harness.processes.resume(host)


EXPERIMENTS = {
    'server-kill': lambda h, n: kill_servers(h, n),
    'server-kill-table-down': lambda h, n: kill_servers(h, n, table='down'),
    'server-pause': pause_servers,
    'host-kill': kill_hosts,
    'host-pause': pause_hosts,
}


async def _pick_owner(harness):
    """Return a random server of the inventory that owns ranges."""
    routes = await asyncio.to_thread(harness.routes)
    return harness.random.choice(sorted(set(routes.values())))


def _set_table(harness, state):
    harness.deployment.platform('POST', '/faults', {'table': state})


async def _pick_coordinated(harness):
    """Return a host, a key of a server it coordinates, and the server."""
    server = await _pick_owner(harness)
    any_host = next(iter(harness.deployment.topology.hosts))
    status = await asyncio.to_thread(harness.deployment.status, any_host)
    host = next(
        entry['coordinator'][0]
        for service in status['services']
        for entry in service['servers']
        if entry['name'] == server
    )
    key = await asyncio.to_thread(harness.key_owned_by, server)
    return host, key, server


def run(
    name, times, *, rate=200, seed=1, shape=topology.REGISTRY_GATEWAY, keep=''
):
    """Run one experiment and return its findings.

    :param name: Key of :data:`EXPERIMENTS`.
    :param keep: Directory to keep outputs in; empty for a temporary one.
    """

    async def drive(harness):
        async with harness.background_load():
            await EXPERIMENTS[name](harness, times)

    with tempfile.TemporaryDirectory() as directory:
        with harness_module.harness(
            shape, keep or directory, rate=rate, seed=seed
        ) as harness:
            asyncio.run(drive(harness))
        return harness.findings


def main(
    *,
    experiment: str,
    times: int = 20,
    rate: int = 200,
    seed: int = 1,
    keep: str = '',
):
    """Run an experiment at the size of the Offcut Registry Gateway.

    :param experiment: server-kill, server-kill-table-down, server-pause,
        host-kill or host-pause.
    :param times: Number of faults.
    :param rate: Requests per second of the background load.
    :param seed: Seed of the choices.
    :param keep: Directory to keep settings, outputs and logs in.
    """
    findings = run(experiment, times, rate=rate, seed=seed, keep=keep)
    harness_module.print_summary(experiment, findings)


if __name__ == '__main__':
    arguments.run(main)
