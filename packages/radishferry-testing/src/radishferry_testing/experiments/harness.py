"""Send load in the background while an experiment injects faults."""

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
#: Seconds after which a probed key counts as lost.
PROBE_LIMIT_S = 20.0
#: Seconds until a fault has to be repaired before the next one.
SETTLE_LIMIT_S = 30.0
#: The target for a key to be served again, in seconds.
SERVED_AGAIN_S = 1.0

#: The request kinds of the Offcut Registry Gateway at its full size.
CHILE_KINDS = (
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
LOOKUP = CHILE_KINDS[0]


@dataclasses.dataclass
class Findings:
    """Collect what an experiment measured.

    :ivar served_again_s: Seconds until a key was served after each fault.
    :ivar violations: What the checker found.
    """

    served_again_s: list[float] = dataclasses.field(default_factory=list)
    violations: list = dataclasses.field(default_factory=list)
    notes: dict = dataclasses.field(default_factory=dict)

    def summary(self) -> dict:
        """Return the figures as JSON values."""
        times = sorted(self.served_again_s)
        over = [t for t in times if t > SERVED_AGAIN_S]
        return {
            'faults': len(times),
            'served_again_median_s': _middle(times),
            'served_again_max_s': round(times[-1], 3) if times else None,
            'over_1_s': len(over),
            'violations': [str(v) for v in self.violations],
            **self.notes,
        }


class Harness:
    """Drive one deployment."""

    def __init__(self, deployment, *, rate, keys, seed, zipf=1.0):
        """Begin without load.

        :param deployment: A :class:`~radishferry_testing.topology.Deployment`
            that runs.
        :param rate: Requests per second of the background load.
        :param keys: Number of keys.
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
            CHILE_KINDS,
            arrivals.Keys(keys, zipf),
            resend=load_kinds.Resend(1),
            records=self._records,
            seed=seed,
        )

    @contextlib.asynccontextmanager
    async def loaded(self):
        """Send the background load until the end of the block."""
        schedule = arrivals.parse_schedule(f'constant:{self._rate}')
        task = asyncio.create_task(self.generator.run(schedule, 3600.0))
        try:
            yield
        finally:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
            # A request without a record would look like a violation.
            await self.generator.drain()
            self.generator.close()

    def close(self):
        """Check the logs of the servers."""
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
        found = evidence.Evidence(
            evidence.read_runs(paths),
            evidence.read_records([self._records_path]),
            unkeyed,
        )
        self.findings.violations = checker.check(found)
        self.findings.notes['runs_checked'] = len(found.runs)
        self.findings.notes['records_checked'] = len(found.records)

    def routes(self, host=None) -> dict[int, str]:
        """Return range id to server of the inventory, seen by a host."""
        host = host or next(iter(self.deployment.topology.hosts))
        url = f'http://{self.deployment.admin_address(host)}/v1/dump'
        dump = topology.request('GET', url, token=topology.TOKEN)
        routes = dump['routes']['services']['inventory']['routes']
        return {int(r): server for r, (_, server) in routes.items()}

    def key_of(self, server, host=None) -> str:
        """Return a key that a server owns."""
        routes = self.routes(host)
        ranges = sum(1 for r in routes if r < 256)
        if server not in routes.values():
            raise LookupError(f'{server} owns no range')
        while True:
            key = f'probe-{self.random.randrange(10**9)}'
            owner = routes.get(keyspace.key_hash(key) % ranges)
            if owner == server:
                return key

    async def served_again(self, key, avoid='') -> float:
        """Probe a key until it is served and return the seconds it took.

        :param avoid: A paused host; it takes connections and answers nobody,
            so that a probe would wait for its end.
        """
        addresses = [
            self.deployment.caller_address(host)
            for host in self.deployment.topology.hosts
            if host != avoid
        ]
        # Probes come again at once, whatever Retry-After says.
        prober = load.LoadGenerator(
            addresses,
            CHILE_KINDS,
            arrivals.Keys(1, 1.0),
            records=self._records,
        )
        start = time.monotonic()
        found = float('inf')
        while time.monotonic() - start < PROBE_LIMIT_S:
            record = await prober.send(LOOKUP, key)
            if record.known == 'ran' and record.status == 200:
                found = time.monotonic() - start
                break
            await asyncio.sleep(PROBE_INTERVAL_S)
        prober.close()
        return found

    async def settled(self):
        """Wait until all ranges are active and recorded, with standbys."""
        end = time.monotonic() + SETTLE_LIMIT_S
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
        return self._is_recorded()

    def _is_recorded(self):
        # A second loss before the first one is in the table is another
        # fault; without the table it leaves ranges without a standby.
        host = next(iter(self.deployment.topology.hosts))
        url = f'http://{self.deployment.admin_address(host)}/v1/dump'
        dump = topology.request('GET', url, token=topology.TOKEN)
        return all(
            found['standby']
            and found['active'] == [found['epoch'], found['owner']]
            for found in dump['ranges']['inventory']
            if found['owner']
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
    """Run a deployment with a :class:`Harness` and check it at the exit."""
    with demo.deployed(shape, directory, has_links=has_links) as deployment:
        found = Harness(deployment, rate=rate, keys=keys, seed=seed, zipf=zipf)
        try:
            yield found
        finally:
            found.close()


def print_summary(name, findings):
    """Print the figures of an experiment as one JSON line."""
    print(json.dumps({'experiment': name, **findings.summary()}), flush=True)


def _middle(values):
    return round(values[len(values) // 2], 3) if values else None
