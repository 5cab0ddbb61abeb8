"""Stand in for an upstream, as the users' pages describe it."""

from __future__ import annotations

import asyncio
import json
import time

from lab2 import http

#: Requests that wait beyond those that run.
QUEUE = 12


class Upstream:
    """Run requests, keyed ones only while it holds a grant for the key."""

    #: Seconds after which a request whose body is not in is turned away. The
    #: connection stays open, and the rest of the body is read later.
    body_wait_s = 0.5

    def __init__(self, bed, number, service, *, work_s, slots=6, port=None):
        self.bed = bed
        self.id = f'i-{service}-{number}'
        self.service = service
        self.slots = slots
        self.port = port or http.free_ports(1)[0]
        self.work_s = work_s
        #: Whether it is partitioned from the store.
        self.is_cut = False
        #: Bytes of the body of each answer.
        self.answer_bytes = 60
        #: Called with each request; returns an answer in place of the work,
        #: or None.
        self.intercept = None
        #: Returns further headers of all answers.
        self.extra_headers = tuple
        #: Ids of requests that were answered before their body was in, and
        #: the list of the bytes that came as their body.
        self.late = []

    async def start(self):
        """Start a new incarnation, which holds nothing."""
        self.born = time.time_ns() // 1_000_000
        self._seq = 0
        self._running = self._waiting = 0
        self._grants = []
        #: Highest fencing token seen, as pairs of key range and token.
        self._seen = []
        self._free = asyncio.Semaphore(self.slots)
        self.server = http.Server(self._handle, self.port, late=self)
        await self.server.start()
        self.bed.note('upstream starts', upstream=self.id, born=self.born)
        self._beat = asyncio.create_task(self._register())

    def crash(self):
        self._beat.cancel()
        self.server.crash()
        self.bed.note('upstream crashes', upstream=self.id, born=self.born)

    async def _register(self):
        while True:
            if not self.is_cut:
                self._seq += 1
                self.bed.store.put(
                    'servers',
                    self.id,
                    {
                        'service': self.service,
                        'address': f'{http.LOOPBACK}:{self.port}',
                        'zone': 'a',
                        'version': 'v1',
                        'slots': self.slots,
                        'state': 'ready',
                        'warmup_left_s': 0,
                        'seq': self._seq,
                        'born': self.born,
                    },
                )
            await asyncio.sleep(self.bed.heartbeat_s)

    async def _handle(self, request):
        expected = request.headers.get('x-expected-instance')
        if expected not in (None, self.id):
            return self._refuse(request, 421)
        if request.path == '/api/grant':
            return self._grant(request)
        if request.path == '/api/release':
            return self._release(request)
        return await self._run(request)

    def _headers(self, request):
        found = [('X-Instance-Id', self.id), *self.extra_headers()]
        request_id = request.headers.get('x-request-id')
        if request_id:
            found.append(('X-Request-Id', request_id))
        load = f'{self._running},{self._waiting},{self.slots}'
        found.append(('X-Server-Load', load))
        return found

    def _refuse(self, request, status, headers=()):
        lines = [*self._headers(request), ('X-Not-Executed', '1'), *headers]
        return status, lines, b''

    def refuse(self, request, status, headers=()):
        """Return an answer that says that the request has not run."""
        return self._refuse(request, status, headers)

    def answer(self, request, parts):
        """Refuse a request whose body is not in, and keep the connection."""
        request_id = request.headers.get('x-request-id', '')
        self.bed.note(
            'answers before the body is in',
            upstream=self.id,
            id=request_id,
            length=request.headers.get('content-length'),
            received=sum(map(len, parts)),
        )
        self.late.append((request_id, parts))
        return self._refuse(request, 503)

    def _highest_seen(self, start, end):
        return max(
            (f for s, e, f in self._seen if s <= end and start <= e),
            default=0,
        )

    def _grant(self, request):
        order = json.loads(request.body)
        start, end = order['start_key'], order['target']
        fence = order['fence']
        if self._highest_seen(start, end) > fence:
            return 409, self._headers(request), b''
        until = time.monotonic() + order['hold_s']
        is_renewed = any(g[:3] == (start, end, fence) for g in self._grants)
        self._grants = [
            g for g in self._grants if g[1] < start or end < g[0]
        ] + [(start, end, fence, until)]
        if not is_renewed:
            self._seen.append((start, end, fence))
        self.bed.note(
            'grant',
            upstream=self.id,
            born=self.born,
            start=start,
            end=end,
            fence=fence,
            hold_s=order['hold_s'],
            renewed=is_renewed,
        )
        return 200, self._headers(request), b''

    def _release(self, request):
        order = json.loads(request.body)
        start, end = order['start_key'], order['target']
        self._seen.append((start, end, order['fence']))
        kept = []
        for first, last, fence, until in self._grants:
            if last < start or end < first:
                kept.append((first, last, fence, until))
                continue
            if first < start:
                kept.append((first, start - 1, fence, until))
            if end < last:
                kept.append((end + 1, last, fence, until))
        self._grants = kept
        self.bed.note(
            'release',
            upstream=self.id,
            born=self.born,
            start=start,
            end=end,
            fence=order['fence'],
        )
        lines = [*self._headers(request), ('X-Handover', f'h{start}')]
        return 200, lines, b''

    def holds(self, key):
        now = time.monotonic()
        return any(s <= key <= e and now < u for s, e, _, u in self._grants)

    async def _run(self, request):
        request_id = request.headers.get('x-request-id')
        if not request_id:
            return self._refuse(request, 400)
        self.bed.note(
            'arrives', upstream=self.id, born=self.born, id=request_id
        )
        if self.service == 'keyed' and not self.holds(
            int(request.headers['x-shard-key'])
        ):
            return self._refuse(request, 421)
        if self.intercept is not None:
            answer = self.intercept(request)
            if answer is not None:
                return answer
        if self._waiting >= QUEUE:
            return self._refuse(request, 503)
        self._waiting += 1
        await self._free.acquire()
        self._waiting -= 1
        self._running += 1
        try:
            self.bed.note(
                'runs', upstream=self.id, born=self.born, id=request_id
            )
            await asyncio.sleep(self.work_s)
        finally:
            self._running -= 1
            self._free.release()
        body = (f'{request_id} '.encode() * (self.answer_bytes // 8 + 1))[
            : self.answer_bytes
        ]
        lines = [
            *self._headers(request),
            ('X-Response-Signature', f'sig-{request_id}'),
        ]
        return 200, lines, body
