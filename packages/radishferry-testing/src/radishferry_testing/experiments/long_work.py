"""Measure short requests beside long downloads, and a slow caller."""

from __future__ import annotations

import pathlib
import re
import socket
import tempfile
import threading
import time

from radishferry_testing import demo
from radishferry_testing import topology
from radishferry_testing.experiments import loads
from radishferry_testing.experiments import results

SERVERS = 2
SHORT_MS, LONG_MS = 10, 3000
#: Short requests per second and server; one slot can run 100.
SHORT_RATE = 15
#: Long requests per second and server, more than any slots can run.
LONG_RATE = 4
#: Seconds of each measurement.
SECONDS = 6.0
#: Seconds until the long requests hold all slots they may.
WARM_S = 3.0
#: Bytes of the large answer and bytes per second that its caller reads.
LARGE_BYTES, SLOW_BYTES_S = 200_000_000, 40_000_000

SHORT = 'short:GET:/guides/{key}:1'
LONG = 'long:GET:/files/{key}:1'
VARIANTS = {'radishferryd': (), 'FIFO without limit': ('--policy=fifo',)}


def shape(slots, policy=()):
    """Return the deployment."""
    kinds = (
        {
            'name': 'short',
            'method': 'GET',
            'path': '/guides/{name}',
            'idempotent': True,
        },
        {
            'name': 'long',
            'method': 'GET',
            'path': '/files/{name}',
            'idempotent': True,
            'long': True,
            'deadline_ms': 10000,
        },
        {**topology.DOWNLOAD, 'deadline_ms': 60000},
    )
    service = topology.ServiceSpec(
        'guides',
        SERVERS,
        kinds,
        (
            f'/guides:{SHORT_MS}:64:fixed',
            f'/files:{LONG_MS}:100000:long,fixed',
            f'/certificates:1:{LARGE_BYTES}:fixed',
        ),
        slots=slots,
        options={'ranges': 64},
    )
    return topology.Topology(('santiago',), 2, (service,), policy)


def run(repeats=3):
    """Measure and return :class:`results.Results`."""
    found = results.Results(
        'long_work',
        f'Short requests of {SHORT_MS} ms beside downloads of {LONG_MS} ms '
        'that would fill all slots, and a slow caller of 200 MB.',
        'python -m radishferry_testing.bench long_work',
        {
            'p99 with long work, ratio': '1.5',
            'slow caller, growth of a process MB': 'under 1',
            'slow caller, short p99 ratio': '1.5',
        },
    )
    for _ in range(repeats):
        for variant, policy in VARIANTS.items():
            for slots in (3,) if policy else (3, 6):
                name = f'{variant}, {slots} slots'
                found.add(name, measure(slots, policy))
        found.add('radishferryd, slow caller', measure_slow())
    return found


def measure(slots, policy=()) -> dict:
    """Compare short requests without and with long ones."""
    short = loads.Load((SHORT,), f'constant:{SHORT_RATE * SERVERS}', SECONDS)
    long = loads.Load((LONG,), f'constant:{LONG_RATE * SERVERS}', SECONDS)
    with tempfile.TemporaryDirectory() as directory:
        with demo.deployed(shape(slots, policy), directory) as deployment:
            hosts = deployment.caller_addresses()
            (alone,) = loads.run([short], hosts, directory)
            beside, _ = loads.run([short, long], hosts, directory)
    before = _took_ms(alone.records)
    after = _took_ms(beside.records)
    refused = [r for r in beside.records if not loads.is_served(r)]
    p99 = results.percentile(before, 99)
    return {
        'short p50 ms alone': results.percentile(before, 50),
        'short p99 ms alone': p99,
        'short p99 ms beside long': results.percentile(after, 99),
        'p99 with long work, ratio': results.percentile(after, 99) / p99,
        'short requests not served': len(refused),
    }


def measure_slow() -> dict:
    """Measure the processes while a slow caller reads a large answer."""
    short = loads.Load((SHORT,), f'constant:{SHORT_RATE * SERVERS}', SECONDS)
    with tempfile.TemporaryDirectory() as directory:
        with demo.deployed(shape(3), directory) as deployment:
            hosts = deployment.caller_addresses()
            # A first download, so that buffers exist before the measurement.
            read_slowly(hosts[0], 200_000_000.0)
            read_slowly(hosts[1], 200_000_000.0)
            (alone,) = loads.run([short], hosts, directory)
            names = list(deployment.topology.hosts)
            pids = [deployment.processes.pid(name) for name in names]
            before = [memory_mb(pid) for pid in pids]
            watch = _Watch(pids)
            caller = threading.Thread(
                target=lambda: watch.note(read_slowly(hosts[0], SLOW_BYTES_S))
            )
            caller.start()
            (beside,) = loads.run([short], hosts, directory)
            caller.join()
            watch.stop()
    growth = [most - b for most, b in zip(watch.most, before)]
    p99 = results.percentile(_took_ms(alone.records), 99)
    later = results.percentile(_took_ms(beside.records), 99)
    return {
        'slow caller, growth of a process MB': max(growth),
        'slow caller, MB received': watch.received / 1e6,
        'slow caller, short p99 ms without': p99,
        'slow caller, short p99 ms with': later,
        'slow caller, short p99 ratio': later / p99,
    }


def read_slowly(address, bytes_s) -> int:
    """Download a certificate at a limited rate; return the body's bytes."""
    host, _, port = address.rpartition(':')
    head = b'GET /certificates/one HTTP/1.1\r\nHost: x\r\n'
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        sock.connect((host, int(port)))
        sock.sendall(head + b'Connection: close\r\n\r\n')
        start = time.monotonic()
        received = 0
        body = None
        while data := sock.recv(65536):
            if body is None:
                body = data.index(b'\r\n\r\n') + 4
            received += len(data)
            ahead = received / bytes_s - (time.monotonic() - start)
            time.sleep(max(0.0, ahead))
    return received - (body or 0)


def memory_mb(pid) -> float:
    """Return the resident memory of a process, in MB."""
    text = pathlib.Path(f'/proc/{pid}/status').read_text()
    return int(re.search(r'VmRSS:\s+(\d+) kB', text)[1]) / 1000


class _Watch:
    """Note the most memory of processes until it is stopped."""

    def __init__(self, pids):
        self.most = [0.0] * len(pids)
        self.received = 0
        self._pids = pids
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def note(self, received):
        """Note the bytes that the caller received."""
        self.received = received

    def stop(self):
        """End the watch."""
        self._stopped.set()
        self._thread.join()

    def _run(self):
        while not self._stopped.wait(0.05):
            found = (memory_mb(pid) for pid in self._pids)
            self.most = [max(pair) for pair in zip(self.most, found)]


def _took_ms(records):
    return [
        r['took'] * 1000
        for r in records
        if loads.is_served(r) and r['at'] >= WARM_S
    ]
