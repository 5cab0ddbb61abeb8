"""An upstream, as PROTOCOL.md describes it."""

import asyncio
import json
import random
import time
import weakref
import zlib

KEYS = 65536


class Upstream:
    """Runs requests; keyed ones only while it holds their key."""

    def __init__(self, server_id, service, record, work_s, sharded):
        self.server_id = server_id
        self.service = service
        self.port = 0
        self.record = record
        self.work_s = work_s
        self.sharded = sharded
        self.state = 'ready'
        self.is_registered = True
        self.is_up = True
        self.listener = None
        self.writers = set()
        #: Called with a request that begins to run.
        self.on_run = None
        #: Bytes by which the body of an answer is filled up.
        self.body_bytes = 0
        #: Share of the answers of which a second copy comes late, when the
        #: next answer on the connection is expected.
        self.extra_share = 0.0
        self._extra = weakref.WeakKeyDictionary()
        self.born_ms = time.time_ns() // 1_000_000
        self.slots = 6
        self._free = asyncio.Semaphore(self.slots)
        self._seq = 0
        self._fences = [0] * KEYS
        self._until = [0.0] * KEYS
        self._running = {}
        self._waiting = 0

    def entry(self):
        self._seq += 1
        return {
            'service': self.service,
            'address': f'127.0.0.1:{self.port}',
            'zone': 'a',
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'warmup_left_s': 0,
            'seq': self._seq,
            'born': self.born_ms,
        }

    def _headers(self, request):
        lines = [('X-Instance-Id', self.server_id)]
        if 'x-request-id' in request.headers:
            lines.append(('X-Request-Id', request.headers['x-request-id']))
        busy = self.slots - self._free._value
        lines.append(('X-Server-Load', f'{busy},{self._waiting},{self.slots}'))
        if self.state == 'draining':
            lines.append(('Server-Leaving', '1'))
        return lines

    async def handle(self, request):
        copy = self._extra.pop(request.writer, None)
        if copy is not None:
            self.record('second answer', self.server_id, request.path, *copy[1:])
            request.writer.write(copy[0])
        await self._handle(request)
        if random.random() < self.extra_share:
            line = request.answered.split(b'\r')[0].decode()
            self._extra[request.writer] = request.answered, request.path, line

    async def _handle(self, request):
        expected = request.headers.get('x-expected-instance')
        if expected not in (None, self.server_id):
            await self._reject(request, 421)
        elif request.path == '/api/grant':
            await self._grant(request)
        elif request.path == '/api/release':
            await self._release(request)
        else:
            await self._run(request)

    async def _reject(self, request, status):
        await request.answer(
            status,
            headers=(*self._headers(request), ('X-Not-Executed', '1')),
        )

    async def _grant(self, request):
        order = json.loads(request.body)
        first, last = order['start_key'], order['target']
        fence, now = order['fence'], time.monotonic()
        if max(self._fences[first : last + 1]) > fence:
            self.record('grant-409', self.server_id, first, last, fence)
            await request.answer(409, headers=self._headers(request))
            return
        count = last - first + 1
        self._fences[first : last + 1] = [fence] * count
        self._until[first : last + 1] = [now + order['hold_s']] * count
        self.record('grant', self.server_id, first, last, fence, order['hold_s'])
        await request.answer(200, headers=self._headers(request))

    async def _release(self, request):
        order = json.loads(request.body)
        first, last = order['start_key'], order['target']
        self.record('release', self.server_id, first, last, order['fence'])
        for key in range(first, last + 1):
            self._fences[key] = max(self._fences[key], order['fence'])
            self._until[key] = 0.0
        while any(first <= key <= last for key in self._running.values()):
            await asyncio.sleep(0.002)
        self.record('released', self.server_id, first, last, order['fence'])
        await request.answer(
            200,
            headers=(*self._headers(request), ('X-Handover', f'h{first}')),
        )

    async def _run(self, request):
        request_id = request.headers.get('x-request-id')
        text = request.headers.get('x-shard-key')
        key = int(text) if text and self.sharded else None
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            if key is not None and self._until[key] <= time.monotonic():
                await self._reject(request, 421)
                return
            number = object()
            self.record('run', self.server_id, request_id, key, request.target)
            if key is not None:
                self._running[number] = key
            if self.on_run is not None:
                self.on_run(self, request)
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self._running.pop(number, None)
                if self.is_up:
                    self.record('run-end', self.server_id, request_id, key)
            body = f'{self.server_id} {request_id} {request.target}'.encode()
            body = body.ljust(self.body_bytes, b'.')
            signature = f'{zlib.crc32(body):x}'
            await request.answer(
                200,
                body,
                (
                    *self._headers(request),
                    ('X-Response-Signature', signature),
                ),
            )
        finally:
            self._free.release()
