"""Starts the router's processes beside the stand-ins, and records events."""

import asyncio
import itertools
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

from lab import http
from lab import store as store_module
from lab import upstream as upstream_module

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 0.87
#: Attempts to start a host whose ports may be taken.
TRIES = 5

SETTINGS = """\
[host]
name = {name}
data_centre = a
is_first_start = {first}
link_mbps = 1000.0

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
slack = 62
window_s = 10

[grants]
hold_max_s = 10

[stop]
grace_s = 6
"""


_ports = itertools.count(15000 + os.getpid() % 160 * 100)


def free_ports(count):
    """Return free ports below those that clients get from the system."""
    found = []
    while len(found) < count:
        port = next(_ports)
        with socket.socket() as trial:
            try:
                trial.bind(('127.0.0.1', port))
            except OSError:
                continue
        found.append(port)
    return found


class Bed:
    """A small deployment: store, upstreams and hosts."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.events = []
        self.began = time.monotonic()
        self.store = store_module.Store()
        self.upstreams = {}
        self.hosts = {}
        self._ports = {}
        self._listeners = []
        self._tasks = []
        self._ids = 0
        self._temporary = tempfile.TemporaryDirectory()
        self.temporary = pathlib.Path(self._temporary.name)

    def record(self, *event):
        self.events.append((time.monotonic() - self.began, *event))

    async def add_upstream(
        self, server_id, service, work_s, sharded=False, port=None
    ):
        found = upstream_module.Upstream(
            server_id, service, self.record, work_s, sharded
        )
        found.listener = await http.serve(
            found.handle, port or 0, writers=found.writers
        )
        found.port = found.listener.sockets[0].getsockname()[1]
        self.upstreams[server_id] = found
        self._listeners.append(found.listener)
        return found

    def refuse_connections(self):
        """Let all upstreams refuse new connections; open ones live on."""
        self.record('new connections are refused')
        for found in self.upstreams.values():
            found.listener.close()

    async def accept_connections(self):
        """End :meth:`refuse_connections`."""
        for found in self.upstreams.values():
            found.listener = await http.serve(
                found.handle, found.port, writers=found.writers
            )
            self._listeners.append(found.listener)
        self.record('new connections are accepted')

    def granter(self):
        """Return the host that its row in the store names."""
        return self.store.value('radishferry', 'granter')['host']

    async def crash_upstream(self, found, down_s, new_id):
        """End an upstream; a new one starts at its address after a while."""
        self.record('crash', found.server_id)
        found.is_registered = False
        found.is_up = False
        found.listener.close()
        for writer in list(found.writers):
            writer.transport.abort()
        await asyncio.sleep(down_s)
        again = await self.add_upstream(
            new_id, found.service, found.work_s, found.sharded, found.port
        )
        self.store.put('servers', new_id, again.entry())
        self.record('start', new_id)
        await asyncio.sleep(max(0.0, 3 * HEARTBEAT_S - down_s))
        self.store.delete('servers', found.server_id)
        del self.upstreams[found.server_id]

    def start_task(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.append(task)
        return task

    async def register(self):
        """Write the entries of the registered upstreams."""
        while True:
            for found in self.upstreams.values():
                if found.is_registered:
                    self.store.put('servers', found.server_id, found.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def add_host(self, name):
        listener = await http.serve(self.store.handler(name), 0)
        self._listeners.append(listener)
        self._ports[name] = {'store': listener.sockets[0].getsockname()[1]}
        self._choose_ports(name)
        self.start_host(name, True)

    def _choose_ports(self, name):
        names = ('callers', 'ready', 'links', 'relays', 'metrics')
        self._ports[name].update(zip(names, free_ports(len(names))))

    async def _has_started(self, name):
        """Wait until a host listens; it ends if a port was just taken."""
        while self.hosts[name].poll() is None:
            status, _, _ = await http.call(
                self.port(name, 'metrics'), 'GET', '/metrics', timeout_s=1
            )
            if status == 200:
                return True
            await asyncio.sleep(0.02)
        return False

    async def start(self, names):
        """Start hosts at the same time, and wait until they are ready."""
        for name in names:
            await self.add_host(name)
        for name in names:
            for _ in range(TRIES):
                if await self._has_started(name):
                    break
                self._choose_ports(name)
                self.start_host(name, True)
        await self.ready()

    def start_host(self, name, first=False):
        path = self.temporary / f'{name}.ini'
        path.write_text(
            SETTINGS.format(
                name=name, first=str(first).lower(), **self._ports[name]
            )
        )
        environment = {
            known: os.environ[known]
            for known in ('PATH', 'HOME', 'LANG')
            if known in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        log = open(self.temporary / f'{name}.log', 'ab')
        self.hosts[name] = subprocess.Popen(
            ['python3', '-m', 'radishferryd.router', str(path)],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()

    def signal_host(self, name, number):
        self.record('signal', name, signal.Signals(number).name)
        self.hosts[name].send_signal(number)

    def resident_bytes(self, name):
        """Return the resident memory of a host, 0 if it does not run."""
        try:
            with open(f'/proc/{self.hosts[name].pid}/status') as file:
                for line in file:
                    if line.startswith('VmRSS:'):
                        return int(line.split()[1]) * 1024
        except OSError:
            pass
        return 0

    async def limit_memory(self, limit_bytes, restart_s=1.0):
        """Kill a host whose memory exceeds a limit, and start it again."""
        while True:
            for name, process in list(self.hosts.items()):
                size = self.resident_bytes(name)
                if size > limit_bytes:
                    self.record('memory', name, size)
                    process.kill()
                    await asyncio.to_thread(process.wait)
                    await asyncio.sleep(restart_s)
                    self.start_host(name)
            await asyncio.sleep(0.02)

    def port(self, host, name='callers'):
        return self._ports[host][name]

    async def ready(self, timeout_s=20.0):
        """Wait until all hosts are ready."""
        end = time.monotonic() + timeout_s
        for name in self.hosts:
            while True:
                status, _, _ = await http.call(
                    self.port(name, 'ready'), 'GET', '/api/ready', timeout_s=1
                )
                if status == 200:
                    break
                if time.monotonic() > end:
                    raise RuntimeError(f'{name} is not ready')
                await asyncio.sleep(0.1)

    async def ask(self, host, method, target, key=None, deadline_s=2.5):
        """Send one client attempt, and record its answer."""
        self._ids += 1
        request_id = f'{self._ids:08x}'
        headers = [
            ('Host', 'shop.example'),
            ('X-Request-Id', request_id),
            ('X-Deadline-Ms', str(int(deadline_s * 1000))),
        ]
        if key is not None:
            headers.append(('X-Shard-Key', str(key)))
        self.record('sent', host, request_id, method, target, key)
        status, found, body = await http.call(
            self.port(host),
            method,
            target,
            headers,
            timeout_s=deadline_s + 0.5,
        )
        self.record(
            'answered', host, request_id, status, found.get('retry-after', '')
        )
        return request_id, status, found, body

    async def traffic(self, per_s, hosts, choose):
        """Send attempts at a rate; ``choose`` returns their arguments."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(random.expovariate(per_s))
            method, target, key = choose()
            loop.create_task(
                self.ask(random.choice(hosts), method, target, key)
            )

    async def close(self):
        for task in self._tasks:
            task.cancel()
        for process in self.hosts.values():
            if process.poll() is None:
                process.kill()
        for process in self.hosts.values():
            await asyncio.to_thread(process.wait)
        for listener in self._listeners:
            listener.close()
        for name in self.hosts:
            kept = os.environ.get('KEEP_LOGS')
            if kept:
                source = self.temporary / f'{name}.log'
                target = pathlib.Path(kept) / f'{name}.log'
                target.write_bytes(source.read_bytes())
        self._temporary.cleanup()

    def write_record(self, lines):
        with open(self.folder / 'record.txt', 'w') as file:
            for line in lines:
                print(line, file=file)
            for event in sorted(self.events, key=lambda found: found[0]):
                print(f'{event[0]:9.3f}', *event[1:], file=file)


def run(folder, play, judge):
    """Play a case and exit with its status.

    ``play`` takes the bed and whether the disruption is played; ``judge``
    takes the bed and returns lines that name how the rule was broken.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'

    async def main():
        bed = Bed(folder)
        try:
            try:
                await play(bed, trouble)
            finally:
                await bed.close()
        except (RuntimeError, OSError) as exc:
            bed.write_record([f'The case could not run: {exc}'])
            print(f'The case could not run: {exc}')
            return 2
        try:
            broken = judge(bed)
        except RuntimeError as exc:
            bed.write_record([f'The case could not run: {exc}'])
            print(f'The case could not run: {exc}')
            return 2
        lines = broken or ['The rule held.']
        bed.write_record(lines)
        print('\n'.join(lines[:10]))
        return 1 if broken else 0

    sys.exit(asyncio.run(main()))
