"""Steps for reading the store by a host that sends directly."""

from __future__ import annotations

import collections
import random
import unittest.mock

import behave
import load_fixtures

from radishferry.direct import key_map
from radishferry.direct import key_rows
from radishferry.direct import leadership
from radishferryd.gen.router import ttypes
from radishferryd.platform import documents
from radishferryd.platform import store as store_module
from radishferryd.router import knowledge as knowledge_module
from radishferryd.router import links
from radishferryd.router import spoke as spoke_module
from radishferryd.router import store_reader
from radishferryd.router import term as term_module


class _Store:
    """Hold rows, answer after a delay, and count the reads."""

    def __init__(self, time, delay_s=0.004):
        self._time = time
        self._delay_s = delay_s
        self._version = 1
        self.rows = {}
        self.reads = collections.Counter()

    def put(self, table, key, value):
        self._version += 1
        self.rows[(table, key)] = store_module.Row(
            table, key, value, self._version
        )

    def read(self, table, done):
        self.reads[table] += 1
        sent_at = self._time.now()

        def answer():
            rows = [r for r in self.rows.values() if r.table == table]
            done(
                store_module.Rows(
                    tuple(rows), self._version, self._time.now(), sent_at
                )
            )

        self._time.call_later(self._delay_s, answer)

    def follow(self, table, version, wait_s, done):
        rows = store_module.Rows((), 1, self._time.now(), self._time.now())
        self._time.call_later(wait_s, lambda: done(rows))

    def transact(self, conditions, writes, done, timeout_s):
        def answer():
            rows = [self.rows.get((c.table, c.key)) for c in conditions]
            found = [row.version if row else 0 for row in rows]
            if found != [condition.version for condition in conditions]:
                now = self._time.now()
                done(store_module.Conflict(tuple(filter(None, rows)), now))
                return
            for write in writes:
                self.put(*write)
            done(store_module.Written(self._version, self._time.now()))

        def fail():
            done(store_module.Unavailable('no answer in time', True))

        if self._delay_s > timeout_s:
            self._time.call_later(timeout_s, fail)
        else:
            self._time.call_later(self._delay_s, answer)


class _Host:
    """Take what a term keeper or a spoke tells its host."""

    def __init__(self):
        self.owners = []
        self.is_granter = False
        self.is_linked = False
        self.losses = 0

    def needs_granter(self):
        return not self.is_linked

    def granter_known(self, term):
        self.is_linked = True

    def granter_lost(self):
        self.is_linked = False

    def owners_read(self, rows):
        self.owners.extend(store_reader.key_rows_of(rows))

    def note_store(self, answer):
        return True

    def term_taken(self):
        self.is_granter = True

    def term_lost(self):
        self.is_granter = False
        self.losses += 1

    def set_host_count(self, count):
        """Ignore the number of hosts."""


def _keeper(time, store, host, name, link_mbps):
    return term_module.TermKeeper(
        store, time, host, name, '127.0.0.1:1', 1, link_mbps
    )


# Reading owners.


@behave.given('a host whose store names another granting host, with owners')
def other_granter(context):
    context.time = load_fixtures.Scheduler()
    context.store = _Store(context.time)
    term = leadership.Term(
        'other', '127.0.0.1:2', 1, context.time.now() + 3, 1
    )
    context.store.put(
        store_reader.OWN_TABLE, store_reader.TERM_KEY, term.encode()
    )
    segment = key_map.Segment(0, 65535, ('s', 1), 5)
    row = key_rows.KeyRow((segment,), 'w')
    context.store.put(
        store_reader.OWN_TABLE,
        f'{store_reader.KEYS_PREFIX}stock',
        key_rows.encode(row),
    )
    context.host = _Host()
    context.keeper = _keeper(context.time, context.store, context.host, 'a', 0)


@behave.when('the host looks for the granting host')
def look(context):
    context.keeper.look_soon()
    context.time.advance(0.5)


@behave.then('it has adopted the owners')
def owners_adopted(context):
    assert [owners[0] for owners in context.host.owners] == ['stock']


@behave.then('it has read its own table once')
def own_table_once(context):
    assert context.store.reads[store_reader.OWN_TABLE] == 1


# Reading servers.


def _begin(context, delay_s):
    context.time = load_fixtures.Scheduler()
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


@behave.when('it is told to read for itself')
def read_for_itself(context):
    context.reader.set_reading(True)


@behave.when('it is told to read for all hosts')
def read_for_all(context):
    context.reader.set_reading(True, store_reader.GRANTER_INTERVAL_S)


@behave.when('it is told to stop reading')
def stop_reading(context):
    context.reader.set_reading(False)


@behave.when('{seconds:g} seconds of reading pass')
def time_passes(context, seconds):
    context.time.advance(seconds)


@behave.then('it has read the servers {count:d} times')
def servers_read(context, count):
    reads = context.store.reads[documents.SERVER_TABLE]
    assert reads == count, reads


@behave.then('it has read the servers {least:d} to {most:d} times')
def servers_read_between(context, least, most):
    reads = context.store.reads[documents.SERVER_TABLE]
    assert least <= reads <= most, reads


# News of the granting host.


class _Link:
    """Be an open link."""

    def __init__(self, scheduler, owner):
        self.owner = owner

    def connect(self, poller, address):
        """Connect at once."""

    def is_silent(self, now):
        return False


class _Reader:
    """Count the changes of a reader."""

    def __init__(self):
        self.changes = [False]

    def set_reading(self, is_reading):
        if is_reading != self.changes[-1]:
            self.changes.append(is_reading)


def _add_spoke(context):
    context.time = load_fixtures.Scheduler()
    context.reader = _Reader()
    knowledge = knowledge_module.Knowledge(context.time.now)
    context.knowledge = knowledge
    context.spoke = spoke_module.Spoke(
        None, context.time, knowledge, context.reader, ('a', 'x'), _Host()
    )


@behave.given('a host that waits {seconds:g} seconds for the granting host')
def waiting_spoke(context, seconds):
    _add_spoke(context)
    context.spoke.wait_for_granter(seconds)


@behave.given('a host that hears the granting host')
def hearing(context):
    _add_spoke(context)
    with unittest.mock.patch.object(links, 'Link', _Link):
        context.spoke.connect('127.0.0.1:1')
    _beats(context, 2.0, itself_read=False, age_s=lambda: 0.3)


def _beats(context, seconds, *, itself_read, age_s):
    link = context.spoke._link
    until = context.time.now() + seconds
    while context.time.now() < until:
        now = context.time.now()
        context.spoke.link_message(
            link, 'beat', ttypes.Beat(2, age_s(), False)
        )
        if itself_read and context.reader.changes[-1]:
            context.knowledge.apply_servers((), now, 'store')
        context.spoke.tick()
        context.time.advance(0.2)


@behave.when('the news of the granting host grow old for {seconds:g} seconds')
def grow_old(context, seconds):
    since = context.time.now()
    _beats(
        context,
        seconds,
        itself_read=True,
        age_s=lambda: context.time.now() - since,
    )


@behave.when('the news of the granting host are fresh again')
def fresh(context):
    _beats(context, 1.0, itself_read=True, age_s=lambda: 0.2)


@behave.then('the host has begun to read once')
def begun_once(context):
    assert context.reader.changes == [False, True], context.reader.changes


@behave.then('the host has stopped reading')
def stopped(context):
    assert context.reader.changes[-1] is False


# The right to grant.


@behave.given(
    '{times:d} times {slow:d} hosts with a slow and {fast:d} with a fast '
    'link, and no granter'
)
def candidates(context, times, slow, fast):
    context.times = times
    context.bandwidths = [10.0] * slow + [200.0] * fast


def _run(bandwidths, seed, *, looks_again):
    random.seed(seed)
    time = load_fixtures.Scheduler()
    store = _Store(time)
    hosts = [_Host() for _ in bandwidths]
    keepers = [
        _keeper(time, store, host, f'h{number}', mbps)
        for number, (host, mbps) in enumerate(
            zip(hosts, bandwidths, strict=True)
        )
    ]
    for host, keeper in zip(hosts, keepers, strict=True):
        # The links of a busy deployment take a while to open.
        host.granter_known = lambda term: None
        time.call_later(random.uniform(0.0, 0.3), keeper.look_soon)
    for _ in range(20):
        time.advance(0.1)
        for keeper in keepers:
            keeper.tick()
            if looks_again:
                keeper.look_soon()
    return hosts


@behave.given(
    'a granting host whose store takes {delay_s:g} seconds for a write'
)
def slow_writes(context, delay_s):
    context.time = load_fixtures.Scheduler()
    context.host = _Host()
    context.keeper = _keeper(
        context.time, _Store(context.time, delay_s), context.host, 'a', 1000.0
    )
    context.keeper.look_soon()
    renew(context, 2.0)
    assert context.keeper.holds


@behave.when('it renews its right for {seconds:g} seconds')
def renew(context, seconds):
    for _ in range(int(seconds * 10)):
        context.time.advance(0.1)
        context.keeper.tick()


@behave.then('it has never lost the right')
def never_lost(context):
    assert context.keeper.holds
    assert not context.host.losses


@behave.when('they look for the granting host')
def all_look(context):
    context.runs = [
        _run(context.bandwidths, seed, looks_again=False)
        for seed in range(context.times)
    ]


@behave.when('they look for the granting host again and again')
def all_look_again(context):
    context.runs = [
        _run(context.bandwidths, seed, looks_again=True)
        for seed in range(context.times)
    ]


@behave.then('each time the host with the fast link grants')
def fast_grants(context):
    found = [[host.is_granter for host in hosts] for hosts in context.runs]
    expected = [mbps >= 100.0 for mbps in context.bandwidths]
    assert found == [expected] * context.times, found


@behave.then('each time one host grants')
def one_grants(context):
    found = [sum(host.is_granter for host in hosts) for hosts in context.runs]
    assert found == [1] * context.times, found


@behave.then('each time one host grants and none has lost the right')
def one_grants_throughout(context):
    one_grants(context)
    found = [sum(host.losses for host in hosts) for hosts in context.runs]
    assert found == [0] * context.times, found
