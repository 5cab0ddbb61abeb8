"""Stand in for the users' store and servers, by their published protocol.

Run it with ``python -m radishferry_testing.users_platform``. Paths below
``/test/`` change the world: they put a configuration, stop a server's
registration, or show what the servers have run.
"""

from __future__ import annotations

import asyncio
import base64
import binascii
import json
import time
import zlib

import defopt

from radishferry_testing import http_io

#: Longest wait of the feed, in seconds.
MAX_WAIT_S = 30.0
#: Seconds between registrations of a server.
HEARTBEAT_S = 0.5
_JSON = (('Content-Type', 'application/json'),)


class Store:
    """Keep rows with versions of one counter."""

    def __init__(self):
        self._rows = {}
        self._version = 0
        self._changed = asyncio.Event()
        self.is_down = False
        self.calls = 0

    def put(self, table, key, value):
        """Write a row; an object is encoded as JSON."""
        self._version += 1
        data = (
            value if isinstance(value, bytes) else json.dumps(value).encode()
        )
        self._rows[table, key] = (data, self._version)
        self._wake()

    def drop(self, table, key):
        """Remove a row."""
        self._version += 1
        self._rows.pop((table, key), None)
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request):
        """Answer one call."""
        self.calls += 1
        if self.is_down:
            await request.respond(503)
            return
        name = request.path.rpartition('/')[2]
        if name == 'rows-get':
            await self._get(request)
        elif name == 'rows-feed':
            await self._feed(request)
        elif name == 'rows-tx':
            await self._transact(request)
        else:
            await request.respond(404)

    async def _answer(self, request, status, body):
        body |= {'api_version': self._version, 'now_s': time.monotonic()}
        await request.respond(status, json.dumps(body).encode(), _JSON)

    def _listed(self, table, after=0, start=''):
        return [
            self._row(name, key)
            for name, key in sorted(self._rows)
            if name == table
            and key >= start
            and self._rows[name, key][1] > after
        ]

    def _row(self, table, key):
        value, version = self._rows.get((table, key), (b'', 0))
        return {
            'table': table,
            'part': '',
            'key': key,
            'value': base64.b64encode(value).decode(),
            'api_version': version,
        }

    async def _get(self, request):
        rows = self._listed(
            request.query['table'], start=request.query.get('start_key', '')
        )
        limit = int(request.query.get('limit', 500))
        more = len(rows) > limit
        await self._answer(
            request, 200, {'rows': rows[:limit], 'has_more': more}
        )

    async def _feed(self, request):
        table, after = request.query['table'], int(request.query['after'])
        end = time.monotonic() + min(
            MAX_WAIT_S, int(request.query['wait_ms']) / 1000
        )
        while True:
            rows = self._listed(table, after)
            left = end - time.monotonic()
            if rows or left <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                continue
        await self._answer(request, 200, {'rows': rows})

    async def _transact(self, request):
        body = json.loads(await request.body.read())
        conditions = body['precondition']
        current = [self._row(c['table'], c['key']) for c in conditions]
        if any(
            row['api_version'] != condition['api_version']
            for row, condition in zip(current, conditions)
        ):
            await self._answer(request, 412, {'rows': current})
            return
        self._version += 1
        for entry in body['writes']:
            try:
                value = base64.b64decode(entry['value'], validate=True)
            except binascii.Error:
                await request.respond(400)
                return
            self._rows[entry['table'], entry['key']] = (value, self._version)
        self._wake()
        await self._answer(request, 200, {})


class Server:
    """Run requests for the keys that it has been granted."""

    def __init__(self, number, service, port, data_centre, log, work_s):
        self.server_id = f'i-{service}-{number}'
        self.service = service
        self.port = port
        self.born_ms = time.time_ns() // 1_000_000
        self.state = 'ready'
        self.is_registered = True
        self.failure = ''
        self._data_centre = data_centre
        self._log = log
        self._work_s = work_s
        self._grants = []
        self._seq = 0

    def entry(self):
        """Return the server's entry in the store."""
        self._seq += 1
        return {
            'service': self.service,
            'address': f'{http_io.LOOPBACK}:{self.port}',
            'zone': self._data_centre,
            'version': 'v1',
            'slots': 6,
            'state': self.state,
            'warmup_left_s': 0,
            'seq': self._seq,
            'born': self.born_ms,
        }

    async def handle(self, request):
        """Answer a request or an order."""
        expected = request.headers.get('x-expected-instance')
        if expected not in (None, self.server_id):
            await self._refuse(request, 421)
        elif request.path == '/api/grant':
            await self._grant(request)
        elif request.path == '/api/release':
            await self._release(request)
        else:
            await self._run(request)

    async def _refuse(self, request, status):
        await request.body.read()
        await request.respond(
            status,
            headers=(
                ('X-Not-Executed', '1'),
                ('X-Instance-Id', self.server_id),
            ),
        )

    async def _grant(self, request):
        order = json.loads(await request.body.read())
        keys = range(order['start_key'], order['target'] + 1)
        self._grants = [
            g for g in self._grants if g[0] != keys or g[1] >= order['fence']
        ]
        if any(
            g[0].start <= keys[-1]
            and keys[0] <= g[0][-1]
            and g[1] > order['fence']
            for g in self._grants
        ):
            await request.respond(409)
            return
        until = time.monotonic() + order['hold_s']
        self._grants.append((keys, order['fence'], until))
        self._log('grant', self, order)
        await request.respond(200)

    async def _release(self, request):
        order = json.loads(await request.body.read())
        keys = range(order['start_key'], order['target'] + 1)
        self._grants = [g for g in self._grants if g[0][0] not in keys]
        self._log('release', self, order)
        await request.respond(
            200, headers=(('X-Handover', f'state-{keys[0]}'),)
        )

    def holds(self, key):
        """Tell whether the server holds a key now."""
        now = time.monotonic()
        return any(key in g[0] and now < g[2] for g in self._grants)

    async def _run(self, request):
        key = request.headers.get('x-shard-key')
        if key is not None and not self.holds(int(key)):
            await self._refuse(request, 421)
            return
        if self.failure == 'shed':
            await self._refuse(request, 503)
            return
        body = await request.body.read()
        request_id = request.headers['x-request-id']
        self._log('run', self, {'id': request_id, 'path': request.path})
        if self.failure == 'reset':
            request.abort()
            return
        await asyncio.sleep(self._work_s)
        answer = f'{request.method} {request.path} {self.server_id}'.encode()
        if self.failure == 'extra':
            await request.respond(200, b'stale', (('X-Request-Id', 'other'),))
            return
        await request.respond(
            200,
            answer + body,
            (
                ('X-Request-Id', request_id),
                ('X-Response-Signature', f'{zlib.crc32(answer):x}'),
                ('X-Server-Load', '1,0,6'),
            ),
        )


class World:
    """Hold the store, the servers and what they have done."""

    def __init__(self, keyed_ports, plain_ports, work_s):
        self.store = Store()
        self.events = []
        self.servers = [
            Server(number, service, port, 'a', self._note, work_s)
            for service, ports in (
                ('keyed', keyed_ports),
                ('plain', plain_ports),
            )
            for number, port in enumerate(ports)
        ]

    def _note(self, kind, server, detail):
        self.events.append([kind, server.server_id, detail])

    def configure(self, version, timeout_s=2.0):
        """Put a configuration with one keyed and one plain service."""
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

    async def beat(self):
        """Keep the entries of the servers fresh."""
        while True:
            for server in self.servers:
                if server.is_registered:
                    self.store.put('servers', server.server_id, server.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def handle(self, request):
        """Answer the store's calls and those of tests."""
        if not request.path.startswith('/test/'):
            await self.store.handle(request)
            return
        name = request.path.rpartition('/')[2]
        body = json.loads(await request.body.read() or b'{}')
        result = getattr(self, f'_test_{name}')(**body)
        await request.respond(200, json.dumps(result).encode(), _JSON)

    def _test_configure(self, version, timeout_s=2.0):
        self.configure(version, timeout_s)

    def _test_server(self, server_id, **changes):
        server = next(s for s in self.servers if s.server_id == server_id)
        for name, value in changes.items():
            setattr(server, name, value)
        if not server.is_registered:
            self.store.drop('servers', server_id)

    def _test_store(self, is_down):
        self.store.is_down = is_down

    def _test_events(self):
        return self.events

    def _test_calls(self):
        return self.store.calls


async def run(world, port):
    """Serve until SIGTERM."""
    loop = asyncio.get_running_loop()
    beat = loop.create_task(world.beat())
    listeners = [
        loop.create_task(http_io.serve(server.handle, server.port))
        for server in world.servers
    ]
    try:
        await http_io.serve(world.handle, port)
    finally:
        for task in (beat, *listeners):
            task.cancel()


def main(
    *,
    port: int,
    keyed_ports: list[int],
    plain_ports: list[int],
    work_ms: float = 5.0,
):
    """Serve the store and the servers.

    :param port: Port of the store.
    :param keyed_ports: Ports of the service that is divided by keys.
    :param plain_ports: Ports of the other service.
    :param work_ms: Milliseconds of work of a request.
    """

    async def start():
        world = World(keyed_ports, plain_ports, work_ms / 1000)
        world.configure(1)
        await run(world, port)

    asyncio.run(start())


if __name__ == '__main__':
    defopt.run(main)
