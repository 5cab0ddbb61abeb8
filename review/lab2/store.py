"""Stand in for the platform's store, as the users' pages describe it."""

from __future__ import annotations

import asyncio
import base64
import json
import time

from lab2 import http

#: Heartbeat intervals of silence after which the entry of a server goes.
SILENT_INTERVALS = 3
#: Seconds that an answer takes, and that a transaction takes beside that.
ANSWER_S = 0.004
TRANSACTION_S = 0.005
_HEADERS = (('Content-Type', 'application/json'), ('Store-Era', '0'))


class Store:
    """Keep rows, whose versions come from one counter."""

    def __init__(self, port, heartbeat_s):
        self._rows = {}
        self._deleted = {}
        self._version = 0
        self._changed = asyncio.Event()
        self._heartbeat_s = heartbeat_s
        self._written_at = {}
        self.server = http.Server(self._handle, port)

    async def start(self):
        await self.server.start()
        self._expiry = asyncio.create_task(self._expire())

    def put(self, table, key, value):
        """Write a row for the operator or a server."""
        self._write([(table, key, json.dumps(value).encode())])
        if table == 'servers':
            self._written_at[key] = time.monotonic()

    def has(self, table, key):
        return (table, key) in self._rows

    def delete(self, table, key):
        self._version += 1
        self._rows.pop((table, key), None)
        self._deleted[table, key] = self._version
        self._notify()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            limit = time.monotonic() - SILENT_INTERVALS * self._heartbeat_s
            for key, at in list(self._written_at.items()):
                if at < limit:
                    del self._written_at[key]
                    self.delete('servers', key)

    def _write(self, writes):
        self._version += 1
        for table, key, value in writes:
            self._rows[table, key] = (value, self._version)
            self._deleted.pop((table, key), None)
        self._notify()

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _encode(self, table, key):
        value, version = self._rows.get((table, key), (b'', 0))
        return {
            'table': table,
            'part': '',
            'key': key,
            'value': base64.b64encode(value).decode(),
            'api_version': version,
        }

    def _answer(self, status, body):
        body |= {'api_version': self._version, 'now_s': time.monotonic()}
        return status, _HEADERS, json.dumps(body).encode()

    async def _handle(self, request):
        await asyncio.sleep(ANSWER_S)
        name = request.path.rpartition('/')[2]
        if name == 'rows-get':
            return self._get(request.query)
        if name == 'rows-feed':
            return await self._feed(request.query)
        if name == 'rows-tx':
            await asyncio.sleep(TRANSACTION_S)
            return self._transact(json.loads(request.body))
        return self._answer(404, {})

    def _get(self, query):
        table, start = query['table'], query.get('start_key', '')
        limit = int(query.get('limit', 500))
        keys = sorted(k for t, k in self._rows if t == table and k >= start)
        rows = [self._encode(table, key) for key in keys[:limit]]
        return self._answer(200, {'rows': rows, 'has_more': len(keys) > limit})

    async def _feed(self, query):
        table, after = query['table'], int(query['after'])
        end = time.monotonic() + min(30.0, int(query['wait_ms']) / 1000)
        while True:
            rows = [
                self._encode(t, k)
                for (t, k), (_, version) in self._rows.items()
                if t == table and version > after
            ]
            rows += [
                self._encode(t, k) | {'api_version': v, 'deleted': True}
                for (t, k), v in self._deleted.items()
                if t == table and v > after
            ]
            left_s = end - time.monotonic()
            if rows or left_s <= 0:
                rows.sort(key=lambda row: row['api_version'])
                return self._answer(200, {'rows': rows})
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except asyncio.TimeoutError:
                continue

    def _transact(self, body):
        conditions = body.get('precondition') or ()
        current = [self._encode(c['table'], c['key']) for c in conditions]
        if any(
            row['api_version'] != c['api_version']
            for row, c in zip(current, conditions)
        ):
            return self._answer(412, {'rows': current})
        self._write(
            [
                (w['table'], w['key'], base64.b64decode(w['value']))
                for w in body.get('writes') or ()
            ]
        )
        return self._answer(200, {})
