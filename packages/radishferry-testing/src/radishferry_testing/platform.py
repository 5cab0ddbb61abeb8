"""Run a stand-in for the platform: table, object store and host list."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import time

import orjson

from radishferry_testing import arguments
from radishferry_testing import http_io

#: Time for which counts per second are kept, in seconds.
STATS_RETENTION_S = 900

#: Old host lists kept to serve a stale list (``host_list_lag_s``).
MAX_HOST_LISTS = 1000

JSON = (('Content-Type', 'application/json'),)


@dataclasses.dataclass
class Faults:
    """Configure the faults that the platform injects.

    :ivar table: ``up``, ``down`` (closes connections) or ``hang`` (never
        answers).
    :ivar objects: The same for the object store.
    :ivar delay_ms: Delay before each table request is applied, in ms.
    :ivar drop_answers: Number of next writes to apply without answering.
    :ivar refuse_from: Values of ``Radishferry-Host`` whose requests are
        aborted.
    :ivar host_list_lag_s: Age of the host list served, in seconds.
    """

    table: str = 'up'
    objects: str = 'up'
    delay_ms: float = 0.0
    drop_answers: int = 0
    refuse_from: list = dataclasses.field(default_factory=list)
    host_list_lag_s: float = 0.0


class Table:
    """Hold rows with versions and write ids.

    All rows share one version counter, so that a row that is deleted and
    created again never reuses a version.
    """

    def __init__(self):
        self._rows = {}
        self._last_version = 0

    def version(self, row) -> int:
        """Return the version of a row, 0 when it does not exist."""
        return self._rows[row]['version'] if row in self._rows else 0

    def transact(self, write_id, conditions, writes):
        """Apply all writes or none.

        :returns: Pair of new versions and conflicts; one of them is empty.
        """
        conflicts = [
            {'row': c['row'], 'version': self.version(c['row'])}
            for c in conditions
            if self.version(c['row']) != c['version']
        ]
        if conflicts:
            return {}, conflicts
        return {w['row']: self._write(write_id, w) for w in writes}, []

    def rows(self, prefix):
        """Return the rows whose names begin with a prefix, sorted."""
        return [
            {'row': name, **self._rows[name]}
            for name in sorted(self._rows)
            if name.startswith(prefix)
        ]

    def _write(self, write_id, write):
        if write['value'] is None:
            self._rows.pop(write['row'], None)
            return 0
        self._last_version += 1
        self._rows[write['row']] = {
            'version': self._last_version,
            'write_id': write_id,
            'value': write['value'],
        }
        return self._last_version


class Counts:
    """Count reads and writes per second and row prefix."""

    def __init__(self):
        self._seconds = collections.OrderedDict()

    def add(self, now, operation, name):
        """Count one access.

        :param now: Monotonic time in seconds.
        :param operation: ``reads`` or ``writes``.
        :param name: Row or prefix; its first component is counted.
        """
        second = self._seconds.setdefault(
            int(now),
            {'reads': collections.Counter(), 'writes': collections.Counter()},
        )
        second[operation][name.partition('/')[0]] += 1
        while len(self._seconds) > STATS_RETENTION_S:
            self._seconds.popitem(last=False)

    def report(self):
        """Return the counts as a JSON-serialisable dictionary."""
        totals = {
            operation: sum(
                (s[operation] for s in self._seconds.values()),
                collections.Counter(),
            )
            for operation in ('reads', 'writes')
        }
        seconds = [{'second': t, **c} for t, c in self._seconds.items()]
        return {'seconds': seconds, 'totals': totals}


class Platform:
    """Handle the requests to the platform."""

    def __init__(self):
        self._table = Table()
        self._objects = {}
        self._host_lists = self._new_lists()
        self._host_lists_by_reader = {}
        self._counts = Counts()
        self._faults = Faults()

    async def handle(self, request):
        """Handle one request."""
        data = await request.body.read()
        route = (request.method, request.path)
        if route == ('POST', '/faults'):
            return await self._set_faults(request, orjson.loads(data))
        if route == ('GET', '/faults'):
            return await _reply(request, dataclasses.asdict(self._faults))
        if route == ('GET', '/stats'):
            return await _reply(request, self._counts.report())
        if route == ('PUT', '/hosts'):
            self._set_hosts(orjson.loads(data))
            return await _reply(request, {})
        if request.headers.get('radishferry-host') in self._faults.refuse_from:
            return request.abort()
        if route == ('GET', '/hosts'):
            name = request.headers.get('radishferry-host')
            return await _reply(request, self._stale_hosts(name))
        if request.path.startswith('/objects/'):
            return await self._serve_object(request, data)
        if route == ('GET', '/table/rows'):
            return await self._read_rows(request)
        if route == ('POST', '/table/transact'):
            return await self._transact(request, orjson.loads(data))
        await request.respond(404)

    async def _set_faults(self, request, values):
        unknown = set(values) - {f.name for f in dataclasses.fields(Faults)}
        if unknown:
            detail = {'error': f'unknown faults: {sorted(unknown)}'}
            return await _reply(request, detail, 400)
        self._faults = dataclasses.replace(self._faults, **values)
        await _reply(request, dataclasses.asdict(self._faults))

    def _set_hosts(self, values):
        """Set the list of all hosts, or with ``for`` that of some hosts."""
        readers = values.pop('for', None)
        targets = [self._host_lists]
        if readers is not None:
            targets = [
                self._host_lists_by_reader.setdefault(name, self._new_lists())
                for name in readers
            ]
        for host_lists in targets:
            host_lists.append((time.monotonic(), values))

    @staticmethod
    def _new_lists():
        return collections.deque(
            [(float('-inf'), {'hosts': []})], maxlen=MAX_HOST_LISTS
        )

    def _stale_hosts(self, name=None):
        limit = time.monotonic() - self._faults.host_list_lag_s
        lists = self._host_lists_by_reader.get(name, self._host_lists)
        return next(
            (hosts for at, hosts in reversed(lists) if at <= limit),
            {'hosts': []},
        )

    async def _serve_object(self, request, data):
        if not await _check_available(request, self._faults.objects):
            return
        name = request.path.removeprefix('/objects/')
        if request.method == 'PUT':
            self._objects[name] = data
            await request.respond(200)
        elif name in self._objects:
            await request.respond(200, self._objects[name])
        else:
            await request.respond(404)

    async def _read_rows(self, request):
        if not await _check_available(request, self._faults.table):
            return
        await asyncio.sleep(self._faults.delay_ms / 1000)
        prefix = request.query.get('prefix', '')
        self._counts.add(time.monotonic(), 'reads', prefix)
        await _reply(request, {'rows': self._table.rows(prefix)})

    async def _transact(self, request, values):
        if not await _check_available(request, self._faults.table):
            return
        await asyncio.sleep(self._faults.delay_ms / 1000)
        for write in values['writes']:
            self._counts.add(time.monotonic(), 'writes', write['row'])
        versions, conflicts = self._table.transact(
            values['write_id'], values.get('conditions', ()), values['writes']
        )
        if conflicts:
            await _reply(request, {'conflicts': conflicts}, 409)
        elif self._faults.drop_answers > 0:
            self._faults.drop_answers -= 1
            request.abort()
        else:
            await _reply(request, {'versions': versions})


async def _check_available(request, mode):
    """Return whether a component is up; else hang or abort the request."""
    if mode == 'hang':
        await asyncio.get_running_loop().create_future()
    if mode != 'up':
        request.abort()
    return mode == 'up'


async def _reply(request, value, status=200):
    await request.respond(status, orjson.dumps(value), JSON)


def main(*, port: int):
    """Run the platform stand-in on 127.0.0.1.

    :param port: Port to listen on.
    """
    asyncio.run(http_io.serve(Platform().handle, port))


if __name__ == '__main__':
    arguments.run(main)
