"""Measure how soon keys are served again after a loss."""

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

    :param table: State of the platform's table during the faults.
    """
    for _ in range(times):
        await harness.settled()
        server = await _owner(harness)
        key = await asyncio.to_thread(harness.key_of, server)
        _set_table(harness, table)
        harness.processes.kill(server)
        harness.findings.served_again_s.append(await harness.served_again(key))
        _set_table(harness, 'up')
        harness.processes.start(server)


async def pause_servers(harness, times):
    """Freeze servers of the inventory and let them return."""
    for _ in range(times):
        await harness.settled()
        server = await _owner(harness)
        key = await asyncio.to_thread(harness.key_of, server)
        harness.processes.pause(server)
        again = await harness.served_again(key)
        harness.findings.served_again_s.append(again)
        await asyncio.sleep(max(0.0, PAUSE_S - again))
        harness.processes.resume(server)


async def kill_hosts(harness, times):
    """Kill entry hosts that coordinate a server of the inventory."""
    for _ in range(times):
        await harness.settled()
        host, key, _ = await _coordinated(harness)
        harness.processes.kill(host)
        harness.findings.served_again_s.append(await harness.served_again(key))
        harness.processes.start(host)


async def pause_hosts(harness, times):
    """Freeze entry hosts that coordinate servers and let them return."""
    for _ in range(times):
        await harness.settled()
        host, key, _ = await _coordinated(harness)
        harness.processes.pause(host)
        again = await harness.served_again(key, avoid=host)
        harness.findings.served_again_s.append(again)
        await asyncio.sleep(max(0.0, PAUSE_S - again))
        harness.processes.resume(host)


EXPERIMENTS = {
    'server-kill': lambda h, n: kill_servers(h, n),
    'server-kill-table-down': lambda h, n: kill_servers(h, n, table='down'),
    'server-pause': pause_servers,
    'host-kill': kill_hosts,
    'host-pause': pause_hosts,
}


async def _owner(harness):
    """Return a server of the inventory that owns ranges."""
    routes = await asyncio.to_thread(harness.routes)
    return harness.random.choice(sorted(set(routes.values())))


def _set_table(harness, state):
    harness.deployment.platform('POST', '/faults', {'table': state})


async def _coordinated(harness):
    """Return a host, a key of a server that it coordinates, and the server."""
    server = await _owner(harness)
    for_any = next(iter(harness.deployment.topology.hosts))
    status = await asyncio.to_thread(harness.deployment.status, for_any)
    host = next(
        found['coordinator'][0]
        for service in status['services']
        for found in service['servers']
        if found['name'] == server
    )
    key = await asyncio.to_thread(harness.key_of, server)
    return host, key, server


def run(name, times, *, rate=200, seed=1, shape=topology.CHILE, keep=''):
    """Run one experiment and return its findings.

    :param name: Key of :data:`EXPERIMENTS`.
    :param keep: Directory to keep outputs in; empty for a temporary one.
    """

    async def drive(harness):
        async with harness.loaded():
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
