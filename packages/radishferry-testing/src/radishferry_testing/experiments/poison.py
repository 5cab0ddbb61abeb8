"""Count the servers that one request crashes when a caller repeats it."""

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

#: Number of times that the caller sends the request, and the pause after each
#: in seconds.
TIMES, PAUSE_S = 40, 0.1
#: Requests per second of the other, innocent callers, number of their keys,
#: and how often they resend a request.
RATE, KEYS, RESENDS = 100, 30, 10
#: Header that makes a server crash.
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
    result = results.Results(
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
            result.add(variant, measure(*arguments))
    return result


def measure(method, path, new_ids) -> dict:
    """Measure one deployment.

    :param new_ids: Whether each repeat has a new request id.
    """
    keyed = path.startswith('/inventory')
    kind = 'lookup:GET:/inventory/lots/{key}:1'
    if not keyed:
        kind = 'pay:POST:/treasury/fees?{key}:1:8:once'
    load = loads.Load(
        (kind,), f'constant:{RATE}', 10.0, keys=KEYS, resend=RESENDS
    )
    with tempfile.TemporaryDirectory() as directory:
        with demo.deployed(SERVICES, directory) as deployment:
            with _ServerRestarter(deployment) as restarter:
                innocent = threading.Thread(
                    target=lambda: restarter.set_records(
                        loads.run(
                            [load], deployment.caller_addresses(), directory
                        )[0].records
                    )
                )
                innocent.start()
                reasons = asyncio.run(_send(deployment, method, path, new_ids))
                innocent.join()
    last_records = {r['id']: r for r in restarter.records}.values()
    return {
        'crashed servers': restarter.count,
        'answers until the refusal as poison': _index(reasons, 'poison'),
        'innocent requests': len(last_records),
        'innocent requests refused as poison': sum(
            r['reason'] == 'poison' for r in restarter.records
        ),
        'innocent requests not served in the end': sum(
            not loads.is_served(r) for r in last_records
        ),
        'of these unknown': sum(
            r['outcome'] in ('unknown', 'lost') for r in last_records
        ),
    }


async def _send(deployment, method, path, new_ids):
    """Send the crashing request repeatedly and return the refusal reasons.

    A reason is empty for a response that is no refusal, and ``lost`` without a
    response.
    """
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
                _, response_headers, _ = await client.call(
                    method, path, headers, body
                )
            reasons.append(response_headers.get('radishferry-reason', ''))
        except (ConnectionError, TimeoutError):
            reasons.append('lost')
        await asyncio.sleep(PAUSE_S)
    for client in clients:
        client.close()
    return reasons


def _index(reasons, reason):
    return reasons.index(reason) if reason in reasons else len(reasons)


class _ServerRestarter:
    """Restart crashed servers and count them.

    :ivar records: Records of the innocent callers.
    """

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

    def set_records(self, records):
        """Set the records of the innocent callers."""
        self.records = records

    def _run(self):
        while not self._stopped.wait(0.05):
            for name in self._servers:
                if not self._processes.is_running(name):
                    self.count += 1
                    self._processes.start(name)
