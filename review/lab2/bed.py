"""Start hosts as separate processes, with stand-ins around them."""

from __future__ import annotations

import asyncio
import itertools
import os
import pathlib
import shutil
import signal
import subprocess
import tempfile
import time

from lab2 import http
from lab2 import store as store_module

ROOT = pathlib.Path(__file__).resolve().parents[2]
#: Seconds in which a started host has to be ready.
READY_S = 15.0

#: What deploy/settings.ini.template becomes on a small deployment.
SETTINGS = """\
[host]
name = {name}
data_centre = a
is_first_start = {is_first_start}
link_mbps = 1000.0
memory_mb = 300
max_fds = 4100

[listen]
callers = 127.0.0.1:{callers}
ready = 127.0.0.1:{ready}
links = 127.0.0.1:{links}
relays = 127.0.0.1:{relays}
metrics = 127.0.0.1:{metrics}

[platform]
address = 127.0.0.1:{store}

[retry]
ratio = 0.2
slack = 64
window_s = 10

[grants]
hold_max_s = 10

[stop]
grace_s = 6
"""


class CannotRun(Exception):
    """The case could not be played."""


class Host:
    """Run one host, with the command of the deploy file."""

    def __init__(self, bed, name):
        self._bed = bed
        self.name = name
        names = ('callers', 'ready', 'links', 'relays', 'metrics')
        self.ports = dict(zip(names, http.free_ports(len(names))))
        self.process = None

    def start(self, is_first_start=True):
        folder = self._bed.folder
        settings = folder / f'{self.name}.ini'
        settings.write_text(
            SETTINGS.format(
                name=self.name,
                is_first_start=str(is_first_start).lower(),
                store=self._bed.store.server.port,
                **self.ports,
            )
        )
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': str(folder),
            'LANG': 'C.UTF-8',
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        with open(folder / f'{self.name}.log', 'ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-m', 'radishferryd.router', str(settings)],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self._bed.note('host starts', host=self.name)

    def signal(self, number):
        self._bed.note('signal', host=self.name, number=int(number))
        self.process.send_signal(number)

    async def is_ready(self):
        answer = await http.call(
            self.ports['ready'], 'GET', '/api/ready', [('Host', 'r')]
        )
        return answer is not None and answer.status == 200


class Bed:
    """Hold the stand-ins and the hosts of one case."""

    def __init__(self, heartbeat_s=0.87):
        self.heartbeat_s = heartbeat_s
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.store = store_module.Store(http.free_ports(1)[0], heartbeat_s)
        self.hosts = []
        self.events = []
        self._ids = itertools.count(1)
        self._started_at = time.monotonic()

    def now(self):
        return time.monotonic() - self._started_at

    def note(self, kind, **fields):
        self.events.append((self.now(), kind, fields))

    def write_record(self, path):
        """Write all that was sent, answered and run."""
        with open(path, 'w') as file:
            for at, kind, fields in self.events:
                text = ' '.join(f'{k}={v}' for k, v in fields.items())
                file.write(f'{at:9.4f} {kind}: {text}\n')

    def new_id(self):
        return f'{next(self._ids):016x}'

    def configure(self, routes, services, version=1):
        """Write the operator's configuration.

        :param routes: Fields that differ from the usual ones, by name.
        :param services: The same of services.
        """
        route = {
            'host': 'example',
            'timeout_s': 2.0,
            'target_latency_s': 0.5,
            'priority': 1,
            'max_attempts': 2,
        }
        service = {'health_path': '/health', 'max_connections': 130}
        self.store.put(
            'op',
            'config',
            {
                'version': f'{version:08x}',
                'routes': {n: route | f for n, f in routes.items()},
                'services': {n: service | f for n, f in services.items()},
                'limits': {
                    'max_header_bytes': 16384,
                    'max_body_bytes': 1048576,
                    'header_timeout_s': 3.0,
                    'idle_timeout_s': 15.0,
                },
            },
        )
        self.note('configuration', version=version)

    async def start_hosts(self, count):
        """Start hosts and wait until all are ready."""
        for number in range(count):
            host = Host(self, f'front-a-{number + 1}')
            self.hosts.append(host)
            host.start()
        limit = time.monotonic() + READY_S
        for host in self.hosts:
            while not await host.is_ready():
                if time.monotonic() > limit:
                    raise CannotRun(f'{host.name} is not ready')
                await asyncio.sleep(0.1)
            self.note('host is ready', host=host.name)

    def stop(self):
        """End the hosts that were started, and remove their files.

        With KEEP_LOGS in the environment the files stay.
        """
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.send_signal(signal.SIGKILL)
                host.process.wait()
        if os.environ.get('KEEP_LOGS'):
            print(f'the logs of the hosts are in {self.folder}')
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def request(
        self, host, method, path, deadline_s=2.5, key=None, body=b''
    ):
        """Send one request on a new connection, and record its outcome."""
        request_id = self.new_id()
        headers = [
            ('Host', 'example'),
            ('X-Request-Id', request_id),
            ('X-Deadline-Ms', str(int(deadline_s * 1000))),
        ]
        if key is not None:
            headers.append(('X-Shard-Key', str(key)))
        self.note('sent', host=host.name, id=request_id, path=path, key=key)
        answer = await http.call(
            host.ports['callers'], method, path, headers, body, deadline_s
        )
        status = answer.status if answer is not None else None
        self.note('answered', host=host.name, id=request_id, status=status)
        return answer
