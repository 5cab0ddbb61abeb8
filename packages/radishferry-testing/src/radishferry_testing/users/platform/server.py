"""Run requests for granted keys as the users' servers do."""

from __future__ import annotations

import asyncio
import json
import time
import weakref
import zlib

from radishferry_testing import http_io


class Server:
    """Run requests for the keys that it has been granted."""

    def __init__(
        self,
        number,
        service,
        port,
        data_centre,
        log,
        work_s,
        advertised_port=None,
    ):
        self.server_id = f'i-{service}-{number}'
        self.service = service
        self.port = port
        #: Where the store's entry says that the server listens.
        self.advertised_port = advertised_port or port
        self.born_ms = time.time_ns() // 1_000_000
        self.state = 'ready'
        self.is_registered = True
        self.failure = ''
        #: Whether its answers say that it is about to stop.
        self.says_leaving = False
        #: Text of ``Retry-After`` when it turns a request away.
        self.retry_after = ''
        self._data_centre = data_centre
        self._log = log
        self._work_s = work_s
        self._grants = []
        self._seq = 0
        self._requests = weakref.WeakSet()

    def entry(self):
        """Return the server's entry in the store."""
        self._seq += 1
        return {
            'service': self.service,
            'address': f'{http_io.LOOPBACK}:{self.advertised_port}',
            'zone': self._data_centre,
            'version': 'v1',
            'slots': 6,
            'state': self.state,
            'warmup_left_s': 0,
            'seq': self._seq,
            'born': self.born_ms,
        }

    def restart(self):
        """Begin another life, which holds no keys and no connections."""
        for request in list(self._requests):
            request.abort()
        self.born_ms = time.time_ns() // 1_000_000
        self._grants = []
        self._seq = 0
        self.state = 'ready'
        self.is_registered = True
        self.says_leaving = False
        self._log('restart', self, {})

    async def handle(self, request):
        """Answer a request or an order."""
        self._requests.add(request)
        expected = request.headers.get('x-expected-instance')
        if expected not in (None, self.server_id):
            await self._refuse(request, 421)
        elif request.path == '/api/grant':
            await self._grant(request)
        elif request.path == '/api/release':
            await self._release(request)
        else:
            await self._run(request)

    async def _refuse(self, request, status, headers=()):
        await request.body.read()
        await self._respond(
            request,
            status,
            headers=(
                ('X-Not-Executed', '1'),
                ('X-Instance-Id', self.server_id),
                *headers,
            ),
        )

    async def _respond(self, request, status, body=b'', headers=()):
        if self.says_leaving:
            headers = (*headers, ('Server-Leaving', '1'))
        await request.respond(status, body, headers)

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
            await self._respond(request, 409)
            return
        until = time.monotonic() + order['hold_s']
        self._grants.append((keys, order['fence'], until))
        self._log('grant', self, order)
        await self._respond(request, 200)

    async def _release(self, request):
        order = json.loads(await request.body.read())
        keys = range(order['start_key'], order['target'] + 1)
        self._grants = [g for g in self._grants if g[0][0] not in keys]
        self._log('release', self, order)
        await self._respond(
            request, 200, headers=(('X-Handover', f'state-{keys[0]}'),)
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
            self._log('shed', self, {})
            wanted = self.retry_after
            await self._refuse(
                request, 503, (('Retry-After', wanted),) if wanted else ()
            )
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
        await self._respond(
            request,
            200,
            answer + body,
            (
                ('X-Request-Id', request_id),
                ('X-Response-Signature', f'{zlib.crc32(answer):x}'),
                ('X-Server-Load', '1,0,6'),
            ),
        )
