"""Measure requests while a data centre is partitioned from all others.

The partition also separates the data centre from the platform.
"""

from __future__ import annotations

import asyncio
import tempfile
import time

from radishferry_testing import arguments
from radishferry_testing import arrivals
from radishferry_testing import load
from radishferry_testing import load_report
from radishferry_testing import topology
from radishferry_testing.experiments import harness as harness_module

#: Seconds that the hosts outside are given to detect the partition.
DETECTION_S = 1.0
#: Requests per second from each side of the partition.
RATE = 20


class PartitionSide:
    """Look up keys of the isolated data centre from one side.

    :ivar answers: Time of sending, duration in seconds and record of each
        lookup.
    """

    def __init__(self, deployment, hosts, keys):
        self._keys = keys
        self._generator = load.LoadGenerator(
            [deployment.caller_address(host) for host in hosts],
            harness_module.REGISTRY_GATEWAY_KINDS,
            arrivals.Keys(1, 1.0),
        )
        self.answers = []

    async def run(self, until):
        """Send lookups until a monotonic time and wait for all answers."""
        tasks = []
        number = 0
        while time.monotonic() < until:
            key = self._keys[number % len(self._keys)]
            number += 1
            tasks.append(asyncio.create_task(self._send(key)))
            await asyncio.sleep(1 / RATE)
        await asyncio.gather(*tasks)
        self._generator.close()

    async def _send(self, key):
        sent_at = time.monotonic()
        record = await self._generator.send(harness_module.LOOKUP, key)
        self.answers.append((sent_at, time.monotonic() - sent_at, record))


async def measure_partition(harness, data_centre, seconds):
    """Isolate a data centre and look up its keys from both sides.

    :param seconds: Length of the partition.
    :returns: Figures as JSON values.
    """
    deployment = harness.deployment
    await harness.wait_settled()
    servers = [
        name
        for name, (service, location) in deployment.topology.servers.items()
        if service.keyed and location == data_centre
    ]
    keys = [
        await asyncio.to_thread(harness.key_owned_by, server)
        for server in servers
    ]
    hosts = deployment.topology.hosts
    inside = [n for n, location in hosts.items() if location == data_centre]
    outside = [n for n, location in hosts.items() if location != data_centre]
    start = time.monotonic()
    deployment.set_partitioned(data_centre, True)
    sides = (
        PartitionSide(deployment, inside, keys),
        PartitionSide(deployment, outside, keys),
    )
    await asyncio.gather(*(side.run(start + seconds) for side in sides))
    deployment.set_partitioned(data_centre, False)
    healed_at = time.monotonic()
    recovery_s = await asyncio.gather(
        *(harness.time_until_served(k) for k in keys)
    )
    return {
        'inside': _summary(sides[0].answers, start),
        'outside': _summary(sides[1].answers, start + DETECTION_S),
        'outside_in_first_second': _summary(
            [a for a in sides[1].answers if a[0] < start + DETECTION_S], start
        ),
        'served_after_healing_s': round(max(recovery_s), 3),
        'healed_after_s': round(healed_at - start, 1),
    }


def _summary(answers, since):
    latency = load_report.new_histogram()
    outcomes = {}
    without_retry_after = 0
    for sent_at, elapsed, record in answers:
        if sent_at < since:
            continue
        latency.record_value(max(1, int(elapsed * 1e6)))
        name = f'{record.known_outcome} {record.reason}'.strip()
        outcomes[name] = outcomes.get(name, 0) + 1
        if record.known_outcome == 'not-run' and record.retry_after_s is None:
            without_retry_after += 1
    return {
        'outcomes': outcomes,
        'not_run_without_retry_after': without_retry_after,
        **load_report.summary(latency),
    }


def run(seconds, *, data_centre='concepcion', seed=1, keep=''):
    """Run the experiment and return its findings."""

    async def drive(harness):
        async with harness.background_load():
            harness.findings.notes.update(
                await measure_partition(harness, data_centre, seconds)
            )

    with tempfile.TemporaryDirectory() as directory:
        with harness_module.harness(
            topology.REGISTRY_GATEWAY,
            keep or directory,
            seed=seed,
            has_links=True,
        ) as harness:
            asyncio.run(drive(harness))
        return harness.findings


def main(*, seconds: float = 60.0, seed: int = 1, keep: str = ''):
    """Isolate a data centre and print the answers to callers as JSON.

    :param seconds: Length of the partition.
    :param seed: Seed of the choices.
    :param keep: Directory to keep settings, outputs and logs in.
    """
    findings = run(seconds, seed=seed, keep=keep)
    harness_module.print_summary('data-centre-cut', findings)


if __name__ == '__main__':
    arguments.run(main)
