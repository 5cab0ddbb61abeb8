"""Measure short requests during long downloads and with a slow caller."""

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
#: Service times in ms.
SHORT_MS, LONG_MS = 10, 3000
#: Short requests per second and server; one slot can serve 100.
SHORT_RATE = 15
#: Long requests per second and server, more than all slots can serve.
LONG_RATE = 4
#: Seconds of each measurement.
SECONDS = 6.0
#: Seconds until the long requests occupy all slots that they are allowed.
#: Earlier requests are left out of the figures.
WARM_S = 3.0
#: Size of the large response in bytes, and bytes per second that the slow
#: caller reads.
LARGE_BYTES, SLOW_BYTES_S = 200_000_000, 40_000_000

SHORT = 'short:GET:/guides/{key}:1'
LONG = 'long:GET:/files/{key}:1'
VARIANTS = {'radishferryd': (), 'FIFO without limit': ('--policy=fifo',)}


def shape(slots, policy=()):
    """Return the topology.

    :param slots: Slots of each server.
    :param policy: Arguments of ``baseline_host``, empty for radishferryd.
    """
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
    result = results.Results(
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
                result.add(name, measure(slots, policy))
        result.add('radishferryd, slow caller', measure_slow())
    return result


def measure(slots, policy=()) -> dict:
    """Compare short requests without and with concurrent long requests."""
    short = loads.Load((SHORT,), f'constant:{SHORT_RATE * SERVERS}', SECONDS)
    long = loads.Load((LONG,), f'constant:{LONG_RATE * SERVERS}', SECONDS)
    with tempfile.TemporaryDirectory() as directory:
        with demo.deployed(shape(slots, policy), directory) as deployment:
            hosts = deployment.caller_addresses()
            (alone,) = loads.run([short], hosts, directory)
            beside, _ = loads.run([short, long], hosts, directory)
    alone_ms = _latencies_ms(alone.records)
    beside_ms = _latencies_ms(beside.records)
    not_served = [r for r in beside.records if not loads.is_served(r)]
    p99 = results.percentile(alone_ms, 99)
    return {
        'short p50 ms alone': results.percentile(alone_ms, 50),
        'short p99 ms alone': p99,
        'short p99 ms beside long': results.percentile(beside_ms, 99),
        'p99 with long work, ratio': results.percentile(beside_ms, 99) / p99,
        'short requests not served': len(not_served),
    }


def measure_slow() -> dict:
    """Measure hosts and short requests while a slow caller downloads."""
    short = loads.Load((SHORT,), f'constant:{SHORT_RATE * SERVERS}', SECONDS)
    with tempfile.TemporaryDirectory() as directory:
        with demo.deployed(shape(3), directory) as deployment:
            hosts = deployment.caller_addresses()
            # Unmeasured downloads let the hosts allocate their buffers, which
            # would otherwise count as growth.
            read_slowly(hosts[0], 200_000_000.0)
            read_slowly(hosts[1], 200_000_000.0)
            (alone,) = loads.run([short], hosts, directory)
            names = list(deployment.topology.hosts)
            pids = [deployment.processes.pid(name) for name in names]
            before = [memory_mb(pid) for pid in pids]
            monitor = _MemoryMonitor(pids)
            caller = threading.Thread(
                target=lambda: monitor.set_received(
                    read_slowly(hosts[0], SLOW_BYTES_S)
                )
            )
            caller.start()
            (beside,) = loads.run([short], hosts, directory)
            caller.join()
            monitor.stop()
    growth = [peak - b for peak, b in zip(monitor.peak_mb, before)]
    p99 = results.percentile(_latencies_ms(alone.records), 99)
    beside_p99 = results.percentile(_latencies_ms(beside.records), 99)
    return {
        'slow caller, growth of a process MB': max(growth),
        'slow caller, MB received': monitor.received / 1e6,
        'slow caller, short p99 ms without': p99,
        'slow caller, short p99 ms with': beside_p99,
        'slow caller, short p99 ratio': beside_p99 / p99,
    }


def read_slowly(address, bytes_s) -> int:
    """Download a certificate at a limited rate and return its body size.

    :param bytes_s: Bytes to read per second.
    """
    host, _, port = address.rpartition(':')
    head = b'GET /certificates/one HTTP/1.1\r\nHost: x\r\n'
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        sock.connect((host, int(port)))
        sock.sendall(head + b'Connection: close\r\n\r\n')
        start = time.monotonic()
        received = 0
        body_start = None
        while data := sock.recv(65536):
            if body_start is None:
                body_start = data.index(b'\r\n\r\n') + 4
            received += len(data)
            ahead_s = received / bytes_s - (time.monotonic() - start)
            time.sleep(max(0.0, ahead_s))
    return received - (body_start or 0)


def memory_mb(pid) -> float:
    """Return the resident memory of a process, in MB (1000 kB)."""
    text = pathlib.Path(f'/proc/{pid}/status').read_text()
    return int(re.search(r'VmRSS:\s+(\d+) kB', text)[1]) / 1000


class _MemoryMonitor:
    """Sample the memory of processes in a thread and keep the maximum.

    :ivar peak_mb: Highest resident memory of each process, in MB.
    :ivar received: Bytes that the slow caller received.
    """

    def __init__(self, pids):
        self.peak_mb = [0.0] * len(pids)
        self.received = 0
        self._pids = pids
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def set_received(self, received):
        """Set the bytes that the slow caller received."""
        self.received = received

    def stop(self):
        """Stop sampling."""
        self._stopped.set()
        self._thread.join()

    def _run(self):
        while not self._stopped.wait(0.05):
            sample = (memory_mb(pid) for pid in self._pids)
            self.peak_mb = [max(pair) for pair in zip(self.peak_mb, sample)]


def _latencies_ms(records):
    return [
        r['took'] * 1000
        for r in records
        if loads.is_served(r) and r['at'] >= WARM_S
    ]
