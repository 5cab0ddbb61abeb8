"""Simulate a server of the users, which owns keys by grants."""

from __future__ import annotations

import asyncio
import json
import time
import weakref
import zlib

from radishferry_testing import http_io

#: Header by which a test sets the seconds of work of one request.
WORK_HEADER = 'x-test-work-s'
#: Requests that a server runs at a time and that may wait for it, with the
#: failure ``hang``.
HANG_SLOTS = 2
HANG_QUEUE = 2


class Server:
    """Run requests, keyed ones only while it holds a grant for the key."""

    def __init__(
        self,
        number,
        service,
        port,
        data_centre,
        record_event,
        work_s,
        advertised_port=None,
    ):
        self.server_id = f'i-{service}-{number}'
        self.service = service
        self.port = port
        #: Port in the server's entry in the store.
        self.advertised_port = advertised_port or port
        self.born_ms = time.time_ns() // 1_000_000
        self.state = 'ready'
        self.is_registered = True
        #: Simulated failure: ``shed`` refuses with 503, ``reset`` aborts after
        #: the run is recorded, ``extra`` answers with the id of another
        #: request, ``hang`` answers no request beyond its slots and queue, nor
        #: any further one on the connection; empty for none.
        self.failure = ''
        #: Whether its answers announce that it is about to stop.
        self.says_leaving = False
        #: Requests a second that its answers name as the limit of all hosts
        #: together; None for no limit.
        self.limit_per_s = None
        #: Value of ``Retry-After`` when it sheds a request; empty for none.
        self.retry_after = ''
        self._data_centre = data_centre
        self._record_event = record_event
        self.work_s = work_s
        self._grants = []
        self._seq = 0
        self._requests = weakref.WeakSet()
        self._slots = asyncio.Semaphore(HANG_SLOTS)
        self._accepted = 0

    def entry(self):
        """Return the server's next entry in the store."""
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
        """Start a new incarnation without grants and connections."""
        for request in list(self._requests):
            request.abort()
        self.born_ms = time.time_ns() // 1_000_000
        self._grants = []
        self._seq = 0
        self.state = 'ready'
        self.is_registered = True
        self.says_leaving = False
        self.limit_per_s = None
        self._record_event('restart', self, {})

    async def handle(self, request):
        """Answer a request, a grant or a release."""
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
        headers = (*_echoed_id(request), *headers)
        if self.says_leaving:
            headers = (*headers, ('Server-Leaving', '1'))
        if self.limit_per_s is not None:
            headers = (*headers, ('Server-Limit', str(self.limit_per_s)))
        await request.respond(status, body, headers)

    async def _grant(self, request):
        """Add a grant in place of those of the same keys up to its fence.

        Refuse with 409 if a grant with a higher fence overlaps.
        """
        order = json.loads(await request.body.read())
        # ``target`` is the last key of the range.
        keys = range(order['start_key'], order['target'] + 1)
        renewed = [g for g in self._grants if g[:2] == (keys, order['fence'])]
        self._grants = [
            g for g in self._grants if g[0] != keys or g[1] > order['fence']
        ]
        if any(
            g[0].start <= keys[-1]
            and keys[0] <= g[0][-1]
            and g[1] > order['fence']
            for g in self._grants
        ):
            await self._respond(request, 409)
            return
        until = max(
            time.monotonic() + order['hold_s'], *(g[2] for g in renewed), 0.0
        )
        self._grants.append((keys, order['fence'], until))
        self._record_event('grant', self, order)
        await self._respond(request, 200)

    async def _release(self, request):
        order = json.loads(await request.body.read())
        # ``target`` is the last key of the range.
        keys = range(order['start_key'], order['target'] + 1)
        self._grants = [g for g in self._grants if g[0][0] not in keys]
        self._record_event('release', self, order)
        await self._respond(
            request, 200, headers=(('X-Handover', f'state-{keys[0]}'),)
        )

    def holds(self, key):
        """Return whether the server currently holds a grant for a key."""
        now = time.monotonic()
        return any(key in g[0] and now < g[2] for g in self._grants)

    async def _run(self, request):
        key = request.headers.get('x-shard-key')
        if key is not None and not self.holds(int(key)):
            await self._refuse(request, 421)
            return
        if self.failure == 'shed':
            self._record_event('shed', self, {})
            retry_after = self.retry_after
            await self._refuse(
                request,
                503,
                (('Retry-After', retry_after),) if retry_after else (),
            )
            return
        if self.failure != 'hang':
            await self._run_accepted(request)
            return
        if self._accepted >= HANG_SLOTS + HANG_QUEUE:
            self._record_event('hang', self, {})
            # The connection serves one request at a time, and its end
            # cancels this wait.
            await asyncio.Event().wait()
        self._accepted += 1
        try:
            async with self._slots:
                await self._run_accepted(request)
        finally:
            self._accepted -= 1

    async def _run_accepted(self, request):
        body = await request.body.read()
        request_id = request.headers['x-request-id']
        self._record_event(
            'run', self, {'id': request_id, 'path': request.path}
        )
        try:
            await self._work(request, request_id, body)
        finally:
            self._record_event(
                'run-end',
                self,
                {'id': request_id, 'is_broken_off': request.is_aborted},
            )

    def _load(self):
        if self.failure != 'hang':
            return '1,0,6'
        running = min(self._accepted, HANG_SLOTS)
        return f'{running},{self._accepted - running},{HANG_SLOTS}'

    async def _work(self, request, request_id, body):
        if self.failure == 'reset':
            request.abort()
            return
        work_s = float(request.headers.get(WORK_HEADER, self.work_s))
        await asyncio.sleep(work_s)
        answer = f'{request.method} {request.path} {self.server_id}'.encode()
        if self.failure == 'extra':
            await request.respond(200, b'stale', (('X-Request-Id', 'other'),))
            return
        await self._respond(
            request,
            200,
            answer + body,
            (
                ('X-Response-Signature', f'{zlib.crc32(answer):x}'),
                ('X-Server-Load', self._load()),
            ),
        )


def _echoed_id(request):
    """Return the header that names the request, if it has an id."""
    request_id = request.headers.get('x-request-id')
    return (('X-Request-Id', request_id),) if request_id else ()
