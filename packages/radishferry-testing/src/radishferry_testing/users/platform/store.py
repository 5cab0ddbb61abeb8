"""Simulate the platform's store."""

from __future__ import annotations

import asyncio
import base64
import binascii
import collections
import json
import time

#: Maximum wait of a feed call, in seconds.
MAX_WAIT_S = 30.0
#: Headers of an answer with a JSON body.
JSON_HEADERS = (('Content-Type', 'application/json'),)
#: Shortest time in seconds between two copies from which the store can be
#: restored, and the longest age of a copy.
COPY_INTERVAL_S = 0.2
MAX_COPY_AGE_S = 10.0
#: Table of the operator, who writes lost rows again after a restore, and the
#: seconds after which this is done. Servers write their entries periodically.
OPERATOR_TABLE = 'op'
REWRITE_S = 0.5


class Store:
    """Keep rows, whose versions come from one counter."""

    def __init__(self):
        self._rows = {}
        self._version = 0
        self._changed = asyncio.Event()
        self._copies = collections.deque()
        #: Number of restores, which all answers name.
        self.era = 0
        self.is_down = False
        self.calls = 0

    def put(self, table, key, value):
        """Write a row; an object is encoded as JSON."""
        self._keep_copy()
        self._version += 1
        data = (
            value if isinstance(value, bytes) else json.dumps(value).encode()
        )
        self._rows[table, key] = (data, self._version)
        self._notify_feeds()

    def delete(self, table, key):
        """Delete a row."""
        self._keep_copy()
        self._version += 1
        self._rows.pop((table, key), None)
        self._notify_feeds()

    def _keep_copy(self):
        """Copy the rows before they change, unless that was done just now."""
        now = time.monotonic()
        if self._copies and now - self._copies[-1][0] < COPY_INTERVAL_S:
            return
        self._copies.append((now, dict(self._rows), self._version))
        while self._copies[0][0] < now - MAX_COPY_AGE_S:
            self._copies.popleft()

    async def restore(self, age_s, away_s):
        """Answer 503 for a moment, and return with the rows of a copy.

        :param age_s: Age of the copy in seconds, at the time of the call.
        :param away_s: Seconds for which the store is away.
        """
        limit = time.monotonic() - age_s
        self.is_down = True
        await asyncio.sleep(away_s)
        copies = [copy for copy in self._copies if copy[0] <= limit]
        _, rows, self._version = copies[-1] if copies else self._copies[0]
        lost = {
            row: value
            for row, (value, _) in self._rows.items()
            if row[0] == OPERATOR_TABLE and self._rows[row] != rows.get(row)
        }
        self._rows = dict(rows)
        self._copies.clear()
        self.era += 1
        self.is_down = False
        self._notify_feeds()
        await asyncio.sleep(REWRITE_S)
        for row, value in lost.items():
            if self._rows.get(row) == rows.get(row):
                self.put(*row, value)

    def _notify_feeds(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request):
        """Answer one store call."""
        self.calls += 1
        if self.is_down:
            await request.respond(503, headers=self._headers())
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

    def _headers(self):
        return (*JSON_HEADERS, ('Store-Era', str(self.era)))

    async def _answer(self, request, status, body):
        body |= {'api_version': self._version, 'now_s': time.monotonic()}
        await request.respond(
            status, json.dumps(body).encode(), self._headers()
        )

    def _list_rows(self, table, after=0, start=''):
        return [
            self._encode_row(name, key)
            for name, key in sorted(self._rows)
            if name == table
            and key >= start
            and self._rows[name, key][1] > after
        ]

    def _encode_row(self, table, key):
        value, version = self._rows.get((table, key), (b'', 0))
        return {
            'table': table,
            'part': '',
            'key': key,
            'value': base64.b64encode(value).decode(),
            'api_version': version,
        }

    async def _get(self, request):
        rows = self._list_rows(
            request.query['table'], start=request.query.get('start_key', '')
        )
        limit = int(request.query.get('limit', 500))
        has_more = len(rows) > limit
        await self._answer(
            request, 200, {'rows': rows[:limit], 'has_more': has_more}
        )

    async def _feed(self, request):
        table, after = request.query['table'], int(request.query['after'])
        end = time.monotonic() + min(
            MAX_WAIT_S, int(request.query['wait_ms']) / 1000
        )
        while True:
            if after > self._version:
                await self._answer(request, 410, {})
                return
            rows = self._list_rows(table, after)
            remaining_s = end - time.monotonic()
            if rows or remaining_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except asyncio.TimeoutError:
                continue
        await self._answer(request, 200, {'rows': rows})

    async def _transact(self, request):
        body = json.loads(await request.body.read())
        conditions = body['precondition']
        current = [self._encode_row(c['table'], c['key']) for c in conditions]
        if any(
            row['api_version'] != condition['api_version']
            for row, condition in zip(current, conditions)
        ):
            await self._answer(request, 412, {'rows': current})
            return
        self._keep_copy()
        self._version += 1
        for entry in body['writes']:
            try:
                value = base64.b64decode(entry['value'], validate=True)
            except binascii.Error:
                await request.respond(400)
                return
            self._rows[entry['table'], entry['key']] = (value, self._version)
        self._notify_feeds()
        await self._answer(request, 200, {})
