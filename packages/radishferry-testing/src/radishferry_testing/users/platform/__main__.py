"""Serve a simulated store and simulated servers for tests.

Run it with ``python -m radishferry_testing.users.platform``. Paths below
``/test/`` control the simulation: they write a configuration, end the
registration of a server, or return what the servers have run.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import time

import defopt

from radishferry_testing import http_io
from radishferry_testing.users.platform import server as server_module
from radishferry_testing.users.platform import store as store_module

#: Interval between registrations of a server, in seconds.
HEARTBEAT_INTERVAL_S = 0.5


class Simulation:
    """Run the store and the servers, and record the events of the servers."""

    def __init__(self, keyed_ports, plain_ports, work_s, advertised_ports=()):
        self.store = store_module.Store()
        self._tasks = set()
        self.events = []
        numbered = (
            (number, service, port)
            for service, ports in (
                ('keyed', keyed_ports),
                ('plain', plain_ports),
            )
            for number, port in enumerate(ports)
        )
        self.servers = [
            server_module.Server(
                number,
                service,
                port,
                'a',
                self._record_event,
                work_s,
                advertised,
            )
            for (number, service, port), advertised in itertools.zip_longest(
                numbered, advertised_ports
            )
        ]

    def _record_event(self, kind, server, detail):
        self.events.append([kind, server.server_id, detail, time.monotonic()])

    def configure(self, version, timeout_s=2.0):
        """Write a configuration with one keyed and one plain service."""
        service = {'health_path': '/health', 'max_connections': 130}
        route = {
            'host': 'example',
            'timeout_s': timeout_s,
            'target_latency_s': 0.5,
            'priority': 1,
            'max_attempts': 2,
        }
        self.store.put(
            'op',
            'config',
            {
                'version': f'{version:08x}',
                'routes': {
                    'keyed': route
                    | {'prefix': '/k/', 'kind': 'safe', 'service': 'keyed'},
                    'pay': route
                    | {'prefix': '/p/', 'kind': 'unsafe', 'service': 'plain'},
                    'guide': route
                    | {'prefix': '/g/', 'kind': 'safe', 'service': 'plain'},
                },
                'services': {
                    'keyed': service | {'sharded': True, 'warm_s': 5.0},
                    'plain': service,
                },
                'limits': {},
            },
        )

    async def renew_registrations(self):
        """Write the entries of the registered servers periodically."""
        while True:
            for server in self.servers:
                if server.is_registered:
                    self.store.put('servers', server.server_id, server.entry())
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def handle(self, request):
        """Answer store calls and test calls."""
        if not request.path.startswith('/test/'):
            await self.store.handle(request)
            return
        name = request.path.rpartition('/')[2]
        body = json.loads(await request.body.read() or b'{}')
        result = getattr(self, f'_test_{name}')(**body)
        await request.respond(
            200, json.dumps(result).encode(), store_module.JSON_HEADERS
        )

    def _test_configure(self, version, timeout_s=2.0):
        self.configure(version, timeout_s)

    def _test_server(self, server_id, **changes):
        server = next(s for s in self.servers if s.server_id == server_id)
        for name, value in changes.items():
            setattr(server, name, value)
        if not server.is_registered:
            self.store.delete('servers', server_id)

    def _test_register(self, port, service='plain'):
        """Register a server that the test itself runs."""
        server = server_module.Server(
            len(self.servers), service, port, 'a', self._record_event, 0.0
        )
        self.servers.append(server)

    def _test_store(self, is_down):
        self.store.is_down = is_down

    def _test_restore(self, age_s, away_s=0.0):
        """Restore the store from an older copy, after it was away."""
        task = asyncio.get_running_loop().create_task(
            self.store.restore(age_s, away_s)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _test_restart(self, server_id):
        next(s for s in self.servers if s.server_id == server_id).restart()

    def _test_events(self, first=0):
        return self.events[first:]

    def _test_calls(self):
        return self.store.calls


async def run(platform, port):
    """Serve until SIGTERM."""
    loop = asyncio.get_running_loop()
    heartbeat = loop.create_task(platform.renew_registrations())
    listeners = [
        loop.create_task(http_io.serve(server.handle, server.port))
        for server in platform.servers
    ]
    try:
        await http_io.serve(platform.handle, port)
    finally:
        for task in (heartbeat, *listeners):
            task.cancel()


def main(
    *,
    port: int,
    keyed_ports: list[int],
    plain_ports: list[int],
    advertised_ports: list[int] = (),
    work_ms: float = 5.0,
):
    """Serve the store and the servers.

    :param port: Port of the store.
    :param keyed_ports: Ports of the servers of the sharded service.
    :param plain_ports: Ports of the servers of the service without keys.
    :param advertised_ports: Ports in the entries of all servers, keyed ones
        first, if a proxy is in front of them; empty for their own ports.
    :param work_ms: Work of a request, in milliseconds.
    """

    async def start():
        platform = Simulation(
            keyed_ports, plain_ports, work_ms / 1000, advertised_ports
        )
        platform.configure(1)
        await run(platform, port)

    asyncio.run(start())


if __name__ == '__main__':
    defopt.run(main)
