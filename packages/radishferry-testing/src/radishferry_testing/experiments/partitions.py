"""Measure a data centre that is cut off from the others and the platform."""

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

#: Seconds in which the hosts outside may still find out about the cut.
DETECTION_S = 1.0
#: Requests per second from inside and from outside.
RATE = 20


class Side:
    """Send lookups for keys of the cut data centre from one side."""

    def __init__(self, deployment, hosts, keys):
        self._keys = keys
        self._generator = load.LoadGenerator(
            [deployment.caller_address(host) for host in hosts],
            harness_module.CHILE_KINDS,
            arrivals.Keys(1, 1.0),
        )
        self.answers = []

    async def run(self, until):
        """Send lookups until a time; ``answers`` holds the records."""
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


async def cut(harness, data_centre, seconds):
    """Cut a data centre off and look up its keys from both sides.

    :returns: Figures as JSON values.
    """
    deployment = harness.deployment
    await harness.settled()
    servers = [
        name
        for name, (service, found) in deployment.topology.servers.items()
        if service.keyed and found == data_centre
    ]
    keys = [
        await asyncio.to_thread(harness.key_of, server) for server in servers
    ]
    hosts = deployment.topology.hosts
    inside = [n for n, found in hosts.items() if found == data_centre]
    outside = [n for n, found in hosts.items() if found != data_centre]
    start = time.monotonic()
    deployment.set_cut(data_centre, True)
    sides = (
        Side(deployment, inside, keys),
        Side(deployment, outside, keys),
    )
    await asyncio.gather(*(side.run(start + seconds) for side in sides))
    deployment.set_cut(data_centre, False)
    healed = time.monotonic()
    back = await asyncio.gather(*(harness.served_again(k) for k in keys))
    return {
        'inside': _summary(sides[0].answers, start),
        'outside': _summary(sides[1].answers, start + DETECTION_S),
        'outside_in_first_second': _summary(
            [a for a in sides[1].answers if a[0] < start + DETECTION_S], start
        ),
        'served_after_healing_s': round(max(back), 3),
        'healed_after_s': round(healed - start, 1),
    }


def _summary(answers, since):
    latency = load_report.new_histogram()
    outcomes = {}
    without_retry_after = 0
    for sent_at, elapsed, record in answers:
        if sent_at < since:
            continue
        latency.record_value(max(1, int(elapsed * 1e6)))
        name = f'{record.known} {record.reason}'.strip()
        outcomes[name] = outcomes.get(name, 0) + 1
        if record.known == 'not-run' and record.retry_after_s is None:
            without_retry_after += 1
    return {
        'outcomes': outcomes,
        'not_run_without_retry_after': without_retry_after,
        **load_report.summary(latency),
    }


def run(seconds, *, data_centre='concepcion', seed=1, keep=''):
    """Run the experiment and return its findings."""

    async def drive(harness):
        async with harness.loaded():
            harness.findings.notes.update(
                await cut(harness, data_centre, seconds)
            )

    with tempfile.TemporaryDirectory() as directory:
        with harness_module.harness(
            topology.CHILE, keep or directory, seed=seed, has_links=True
        ) as harness:
            asyncio.run(drive(harness))
        return harness.findings


def main(*, seconds: float = 60.0, seed: int = 1, keep: str = ''):
    """Cut a data centre off and print what callers saw as JSON.

    :param seconds: Length of the cut.
    :param seed: Seed of the choices.
    :param keep: Directory to keep settings, outputs and logs in.
    """
    findings = run(seconds, seed=seed, keep=keep)
    harness_module.print_summary('data-centre-cut', findings)


if __name__ == '__main__':
    arguments.run(main)
