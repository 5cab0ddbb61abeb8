"""The platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
import urllib.parse

JSON = (('Content-Type', 'application/json'),)
#: Seconds of one answer.
ANSWER_S = 0.004


class Store:
    """Rows with versions from one counter."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Event()
        #: Names of hosts that the store answers 503.
        self.rejected = set()

    def put(self, table, key, value):
        self.version += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.rows[table, key] = (data, self.version)
        self._notify()

    def delete(self, table, key):
        self.version += 1
        self.rows[table, key] = (None, self.version)
        self._notify()

    def value(self, table, key):
        found = self.rows.get((table, key))
        return json.loads(found[0]) if found and found[0] else None

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def handler(self, host):
        """Return the handler of the calls of one host."""

        async def handle(request):
            await asyncio.sleep(ANSWER_S)
            if host in self.rejected:
                await request.answer(503)
                return
            name = request.path.rpartition('/')[2]
            if name == 'rows-get':
                await self._get(request)
            elif name == 'rows-feed':
                await self._feed(request, host)
            elif name == 'rows-tx':
                await self._transact(request)
            else:
                await request.answer(404)

        return handle

    async def _answer(self, request, status, body):
        body |= {'api_version': self.version, 'now_s': time.monotonic()}
        await request.answer(status, json.dumps(body).encode(), JSON)

    def _row(self, table, key):
        value, version = self.rows.get((table, key), (None, 0))
        row = {'table': table, 'part': '', 'key': key}
        row['api_version'] = version if value is not None else 0
        row['value'] = base64.b64encode(value or b'').decode()
        return row

    async def _get(self, request):
        table = request.query['table']
        start = urllib.parse.unquote_plus(request.query.get('start_key', ''))
        limit = int(request.query.get('limit', 500))
        keys = sorted(
            key
            for (name, key), (value, _) in self.rows.items()
            if name == table and key >= start and value is not None
        )
        rows = [self._row(table, key) for key in keys[:limit]]
        await self._answer(
            request, 200, {'rows': rows, 'has_more': len(keys) > limit}
        )

    async def _feed(self, request, host):
        table, after = request.query['table'], int(request.query['after'])
        end = time.monotonic() + int(request.query['wait_ms']) / 1000
        while True:
            found = sorted(
                (version, key, value)
                for (name, key), (value, version) in self.rows.items()
                if name == table and version > after
            )
            left_s = end - time.monotonic()
            if found or left_s <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass
        if host in self.rejected:
            await request.answer(503)
            return
        rows = [
            self._row(table, key)
            | {'api_version': version, 'deleted': value is None}
            for version, key, value in found
        ]
        await self._answer(request, 200, {'rows': rows})

    async def _transact(self, request):
        body = json.loads(request.body)
        current = [
            self._row(c['table'], c['key']) for c in body['precondition']
        ]
        if any(
            row['api_version'] != condition['api_version']
            for row, condition in zip(current, body['precondition'])
        ):
            await self._answer(request, 412, {'rows': current})
            return
        self.version += 1
        for entry in body['writes']:
            value = base64.b64decode(entry['value'])
            self.rows[entry['table'], entry['key']] = (value, self.version)
        for entry in body['remove']:
            self.rows[entry['table'], entry['key']] = (None, self.version)
        self._notify()
        await self._answer(request, 200, {})
