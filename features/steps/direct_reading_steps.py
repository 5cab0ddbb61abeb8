"""Steps for reading the store by a host that sends directly."""

from __future__ import annotations

import collections

import behave

from radishferryd.platform import documents
from radishferryd.platform import store as store_module
from radishferryd.router import knowledge as knowledge_module
from radishferryd.router import store_reader


class _Time:
    """Run planned calls in a time of its own."""

    def __init__(self):
        self._now = 100.0
        self._planned = []

    def now(self):
        return self._now

    def call_later(self, delay_s, callback):
        self._planned.append((self._now + delay_s, callback))

    def run(self, seconds):
        until = self._now + seconds
        while due := [entry for entry in self._planned if entry[0] <= until]:
            entry = min(due, key=lambda planned: planned[0])
            self._planned.remove(entry)
            self._now = max(self._now, entry[0])
            entry[1]()
        self._now = until


class _Store:
    """Answer every read with no rows, and count the reads."""

    def __init__(self, time, delay_s):
        self._time = time
        self._delay_s = delay_s
        self.reads = collections.Counter()

    def _answer(self, delay_s, done):
        rows = store_module.Rows((), 1, self._time.now(), self._time.now())
        self._time.call_later(delay_s, lambda: done(rows))

    def read(self, table, done):
        self.reads[table] += 1
        self._answer(self._delay_s, done)

    def follow(self, table, version, wait_s, done):
        self._answer(wait_s, done)


def _begin(context, delay_s):
    context.time = _Time()
    context.store = _Store(context.time, delay_s)
    context.reader = store_reader.StoreReader(
        context.store,
        context.time,
        knowledge_module.Knowledge(context.time.now),
    )


@behave.given('a reader of the store')
def reader(context):
    _begin(context, 0.004)


@behave.given('a reader of the store that answers after {delay_s:g} seconds')
def slow_reader(context, delay_s):
    _begin(context, delay_s)


@behave.when('it is told to read servers')
def read_servers(context):
    context.reader.set_reading(True)


@behave.when('it is told to read servers and owners')
def read_all(context):
    context.reader.set_reading(True, with_owners=True)


@behave.when('it is told to stop reading')
def stop_reading(context):
    context.reader.set_reading(False)


@behave.when('{seconds:g} seconds of reading pass')
def time_passes(context, seconds):
    context.time.run(seconds)


@behave.then('it has read the owners')
@behave.then('it has read the owners once')
def owners_read(context):
    assert context.store.reads[store_reader.OWN_TABLE] == 1


@behave.then('it has read the servers once')
def servers_read_once(context):
    assert context.store.reads[documents.SERVER_TABLE] == 1


@behave.then('it goes on reading the servers')
def servers_still_read(context):
    assert context.store.reads[documents.SERVER_TABLE] > 5


@behave.then('it has read the servers at most {count:d} times')
def servers_read_at_most(context, count):
    reads = context.store.reads[documents.SERVER_TABLE]
    assert 1 < reads <= count, reads
