"""Simulate the platform's store."""

from __future__ import annotations

import asyncio
import base64
import binascii
import json
import time

#: Maximum wait of a feed call, in seconds.
MAX_WAIT_S = 30.0
#: Headers of an answer with a JSON body.
JSON_HEADERS = (('Content-Type', 'application/json'),)


class Store:
    """Keep rows, whose versions come from one counter."""

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
        self._notify_feeds()

    def delete(self, table, key):
        """Delete a row."""
        self._version += 1
        self._rows.pop((table, key), None)
        self._notify_feeds()

    def _notify_feeds(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request):
        """Answer one store call."""
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
        await request.respond(status, json.dumps(body).encode(), JSON_HEADERS)

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
