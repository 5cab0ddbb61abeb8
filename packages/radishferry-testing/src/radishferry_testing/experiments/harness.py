"""Run a deployment under background load while faults are injected."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import random
import time

from radishferry import keyspace
from radishferry_testing import arrivals
from radishferry_testing import checker
from radishferry_testing import demo
from radishferry_testing import evidence
from radishferry_testing import load
from radishferry_testing import load_kinds
from radishferry_testing import topology

#: Seconds between probes of a key that is not served.
PROBE_INTERVAL_S = 0.02
#: Seconds after which a key that is still not served is given up.
PROBE_TIMEOUT_S = 20.0
#: Seconds allowed for recovery from a fault before the next one is injected.
SETTLE_TIMEOUT_S = 30.0
#: Target for the time until a key is served again, in seconds.
SERVED_AGAIN_TARGET_S = 1.0

#: The request kinds of the Offcut Registry Gateway at its full size.
REGISTRY_GATEWAY_KINDS = (
    load_kinds.LoadKind('lookup', 'GET', '/inventory/lots/{key}', 10),
    load_kinds.LoadKind(
        'reserve', 'POST', '/inventory/lots/{key}/reserve', 4, b'{}', False
    ),
    load_kinds.LoadKind('pay', 'POST', '/treasury/fees', 3, b'{}', False),
    load_kinds.LoadKind(
        'record', 'POST', '/ledger/reservations', 3, b'{}', False
    ),
    load_kinds.LoadKind('download', 'GET', '/certificates/{key}', 1),
)
LOOKUP = REGISTRY_GATEWAY_KINDS[0]


@dataclasses.dataclass
class Findings:
    """Collect the measurements of an experiment.

    :ivar served_again_s: Seconds until a key was served after each fault.
    :ivar violations: Violations reported by the checker.
    :ivar notes: Further JSON values of the summary, by key.
    """

    served_again_s: list[float] = dataclasses.field(default_factory=list)
    violations: list = dataclasses.field(default_factory=list)
    notes: dict = dataclasses.field(default_factory=dict)

    def summary(self) -> dict:
        """Return the measurements as JSON values."""
        times = sorted(self.served_again_s)
        over = [t for t in times if t > SERVED_AGAIN_TARGET_S]
        return {
            'faults': len(times),
            'served_again_median_s': _median(times),
            'served_again_max_s': round(times[-1], 3) if times else None,
            'over_1_s': len(over),
            'violations': [str(v) for v in self.violations],
            **self.notes,
        }


class Harness:
    """Apply load to a deployment, query it and check its logs."""

    def __init__(self, deployment, *, rate, keys, seed, zipf=1.0):
        """Prepare the load generator without starting it.

        :param deployment: A running
            :class:`~radishferry_testing.topology.Deployment`.
        :param rate: Requests per second of the background load.
        :param keys: Number of keys.
        :param seed: Seed of the load and of the choice of targets.
        :param zipf: Exponent of the distribution of keys, 0 for uniform.
        """
        self.deployment = deployment
        self.processes = deployment.processes
        self.random = random.Random(seed)
        self.findings = Findings()
        self._records_path = deployment.directory / 'records.jsonl'
        self._records = open(self._records_path, 'wb')
        self._rate = rate
        self.generator = load.LoadGenerator(
            deployment.caller_addresses(),
            REGISTRY_GATEWAY_KINDS,
            arrivals.Keys(keys, zipf),
            resend=load_kinds.ResendPolicy(1),
            records=self._records,
            seed=seed,
        )

    @contextlib.asynccontextmanager
    async def background_load(self):
        """Send the background load for the duration of the block."""
        schedule = arrivals.parse_schedule(f'constant:{self._rate}')
        task = asyncio.create_task(self.generator.run(schedule, 3600.0))
        try:
            yield
        finally:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
            # Without the record of a repeat, the checker would attribute its
            # run to an earlier attempt that was answered not-run.
            await self.generator.drain()
            self.generator.close()

    def close(self):
        """Check the run logs of the servers against the sent requests."""
        self._records.close()
        paths = [
            path
            for name in self.deployment.topology.servers
            if (path := self.deployment.log_path(name)).exists()
        ]
        unkeyed = frozenset(
            service.name
            for service in self.deployment.topology.services
            if not service.keyed
        )
        log_evidence = evidence.Evidence(
            evidence.read_runs(paths),
            evidence.read_records([self._records_path]),
            unkeyed,
        )
        self.findings.violations = checker.check(log_evidence)
        self.findings.notes['runs_checked'] = len(log_evidence.runs)
        self.findings.notes['records_checked'] = len(log_evidence.records)

    def routes(self, host=None) -> dict[int, str]:
        """Return range id to server of the inventory, as a host sees it."""
        host = host or next(iter(self.deployment.topology.hosts))
        url = f'http://{self.deployment.admin_address(host)}/v1/dump'
        dump = topology.request('GET', url, token=topology.TOKEN)
        routes = dump['routes']['services']['inventory']['routes']
        return {int(r): server for r, (_, server) in routes.items()}

    def key_owned_by(self, server, host=None) -> str:
        """Return a random key that a server owns.

        :raises LookupError: The server owns no range.
        """
        routes = self.routes(host)
        # Ids from 256, the default number of ranges, are of hot keys.
        ranges = sum(1 for r in routes if r < 256)
        if server not in routes.values():
            raise LookupError(f'{server} owns no range')
        while True:
            key = f'probe-{self.random.randrange(10**9)}'
            owner = routes.get(keyspace.key_hash(key) % ranges)
            if owner == server:
                return key

    async def time_until_served(self, key, avoid='') -> float:
        """Probe a key until it is served and return the seconds it took.

        Returns infinity if the key is not served within the time limit.

        :param avoid: Paused host that gets no probes.  Its kernel still
            accepts connections, so a probe would wait there until it times
            out.
        """
        addresses = [
            self.deployment.caller_address(host)
            for host in self.deployment.topology.hosts
            if host != avoid
        ]
        # The prober resends nothing itself, so probes are repeated at
        # PROBE_INTERVAL_S regardless of Retry-After.
        prober = load.LoadGenerator(
            addresses,
            REGISTRY_GATEWAY_KINDS,
            arrivals.Keys(1, 1.0),
            records=self._records,
        )
        start = time.monotonic()
        seconds = float('inf')
        while time.monotonic() - start < PROBE_TIMEOUT_S:
            record = await prober.send(LOOKUP, key)
            if record.known_outcome == 'ran' and record.status == 200:
                seconds = time.monotonic() - start
                break
            await asyncio.sleep(PROBE_INTERVAL_S)
        prober.close()
        return seconds

    async def wait_settled(self):
        """Wait until all ranges are active and in the table, with standbys.

        A timeout is counted in the notes and is not an error.
        """
        end = time.monotonic() + SETTLE_TIMEOUT_S
        while time.monotonic() < end:
            if await asyncio.to_thread(self._is_settled):
                return
            await asyncio.sleep(0.2)
        self.findings.notes.setdefault('not_settled', 0)
        self.findings.notes['not_settled'] += 1

    def _is_settled(self):
        for host in self.deployment.topology.hosts:
            if not self.processes.is_running(host):
                return False
            try:
                status = self.deployment.status(host)
            except OSError:
                return False
            complete = all(
                service['active_ranges'] == service['ranges'] > 0
                for service in status['services']
            )
            if not status['ready'] or not complete:
                return False
        return self._is_table_current()

    def _is_table_current(self):
        # A further loss before the table shows the takeover from the last
        # one would be a different fault: while the table is down, it leaves
        # ranges without a standby.
        host = next(iter(self.deployment.topology.hosts))
        url = f'http://{self.deployment.admin_address(host)}/v1/dump'
        dump = topology.request('GET', url, token=topology.TOKEN)
        return all(
            entry['standby']
            and entry['active'] == [entry['epoch'], entry['owner']]
            for entry in dump['ranges']['inventory']
            if entry['owner']
        )


@contextlib.contextmanager
def harness(
    shape,
    directory,
    *,
    rate=200,
    keys=10_000,
    seed=1,
    zipf=1.0,
    has_links=False,
):
    """Run a deployment with a :class:`Harness` and check its logs on exit."""
    with demo.deployed(shape, directory, has_links=has_links) as deployment:
        driver = Harness(
            deployment, rate=rate, keys=keys, seed=seed, zipf=zipf
        )
        try:
            yield driver
        finally:
            driver.close()


def print_summary(name, findings):
    """Print the summary of an experiment as one JSON line."""
    print(json.dumps({'experiment': name, **findings.summary()}), flush=True)


def _median(values):
    return round(values[len(values) // 2], 3) if values else None
