"""Count the servers that one repeated request crashes."""

from __future__ import annotations

import asyncio
import tempfile
import threading

from radishferry_testing import demo
from radishferry_testing import http_client
from radishferry_testing import request_ids
from radishferry_testing import topology
from radishferry_testing.experiments import loads
from radishferry_testing.experiments import results

#: Times that the caller sends the request, and the pause between, in s.
TIMES, PAUSE_S = 40, 0.1
#: Requests per second of innocent callers, their keys and repeats.
RATE, KEYS, RESENDS = 100, 30, 10
CRASH = ('X-Test-Crash', '1')

#: Variant to method, path, and whether each repeat has a new request id.
VARIANTS = {
    'GET by key, same id': ('GET', '/inventory/lots/poison', False),
    'GET by key, new ids': ('GET', '/inventory/lots/poison', True),
    'POST without key, same id': ('POST', '/treasury/fees', False),
    'POST without key, new ids': ('POST', '/treasury/fees', True),
}
SERVICES = topology.Topology(
    ('santiago',),
    3,
    (
        topology.ServiceSpec(
            'inventory',
            4,
            (topology.LOOKUP, topology.RESERVE),
            ('/inventory:20',),
            keyed=True,
            options={'ranges': 64},
        ),
        topology.ServiceSpec(
            'treasury',
            4,
            (topology.PAY,),
            ('/treasury:20',),
            options={'ranges': 64},
        ),
    ),
)


def run(repeats=3):
    """Measure and return :class:`results.Results`."""
    found = results.Results(
        'poison',
        f'A caller sends a request that crashes servers {TIMES} times '
        'through all hosts; crashed servers are started again.',
        'python -m radishferry_testing.bench poison',
        {
            'crashed servers': 'at most 2',
            'innocent requests refused as poison': '0',
        },
    )
    for _ in range(repeats):
        for variant, arguments in VARIANTS.items():
            found.add(variant, measure(*arguments))
    return found


def measure(method, path, new_ids) -> dict:
    """Measure one deployment."""
    keyed = path.startswith('/inventory')
    kind = 'lookup:GET:/inventory/lots/{key}:1'
    if not keyed:
        kind = 'pay:POST:/treasury/fees?{key}:1:8:once'
    load = loads.Load(
        (kind,), f'constant:{RATE}', 10.0, keys=KEYS, resend=RESENDS
    )
    with tempfile.TemporaryDirectory() as directory:
        with demo.deployed(SERVICES, directory) as deployment:
            with _Restarts(deployment) as restarts:
                innocent = threading.Thread(
                    target=lambda: restarts.note(
                        loads.run(
                            [load], deployment.caller_addresses(), directory
                        )[0].records
                    )
                )
                innocent.start()
                statuses = asyncio.run(
                    _send(deployment, method, path, new_ids)
                )
                innocent.join()
    last = {r['id']: r for r in restarts.records}.values()
    return {
        'crashed servers': restarts.count,
        'answers until the refusal as poison': _index(statuses, 'poison'),
        'innocent requests': len(last),
        'innocent requests refused as poison': sum(
            r['reason'] == 'poison' for r in restarts.records
        ),
        'innocent requests not served in the end': sum(
            not loads.is_served(r) for r in last
        ),
        'of these unknown': sum(
            r['outcome'] in ('unknown', 'lost') for r in last
        ),
    }


async def _send(deployment, method, path, new_ids):
    """Send the request again and again; return the reasons."""
    await asyncio.sleep(2.0)
    clients = [http_client.Client(a) for a in deployment.caller_addresses()]
    request_id = request_ids.uuid7()
    reasons = []
    for number in range(TIMES):
        if new_ids:
            request_id = request_ids.uuid7()
        client = clients[number % len(clients)]
        headers = (('Idempotency-Key', request_id), CRASH)
        body = b'' if method == 'GET' else b'{"crash": 1}'
        try:
            async with asyncio.timeout(10.0):
                _, got, _ = await client.call(method, path, headers, body)
            reasons.append(got.get('radishferry-reason', ''))
        except (ConnectionError, TimeoutError):
            reasons.append('lost')
        await asyncio.sleep(PAUSE_S)
    for client in clients:
        client.close()
    return reasons


def _index(reasons, reason):
    return reasons.index(reason) if reason in reasons else len(reasons)


class _Restarts:
    """Start servers again that have ended, and count them."""

    def __init__(self, deployment):
        self.count = 0
        self.records = []
        self._processes = deployment.processes
        self._servers = list(deployment.topology.servers)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc):
        self._stopped.set()
        self._thread.join()

    def note(self, records):
        """Note the records of the innocent callers."""
        self.records = records

    def _run(self):
        while not self._stopped.wait(0.05):
            for name in self._servers:
                if not self._processes.is_running(name):
                    self.count += 1
                    self._processes.start(name)
