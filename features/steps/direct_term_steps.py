"""Steps for leadership."""

from __future__ import annotations

import random

import behave
import load_fixtures
import store_fixtures

from radishferry.direct import key_map
from radishferry.direct import key_rows
from radishferry.direct import leadership
from radishferryd.router import store_reader
from radishferryd.router import term as term_module


def make_elector(time, store, host, name, link_mbps):
    return term_module.LeaderElector(
        store, time, host, name, '127.0.0.1:1', 1, link_mbps
    )


@behave.given('a host whose store names another granting host and key owners')
def other_granter(context):
    context.time = load_fixtures.Scheduler()
    context.store = store_fixtures.Store(context.time)
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
    context.host = store_fixtures.Host()
    context.elector = make_elector(
        context.time, context.store, context.host, 'a', 0
    )


@behave.when('the host looks for the granting host')
def read_row(context):
    context.elector.poll_soon()
    context.time.advance(0.5)


@behave.then('it has read the owners')
def owners_read(context):
    assert [owners[0] for owners in context.host.owners] == ['stock']


@behave.then('it has read the table of the leadership row once')
def table_read_once(context):
    assert context.store.reads[store_reader.OWN_TABLE] == 1


@behave.given(
    '{times:d} times {slow:d} hosts with a slow and {fast:d} with a fast '
    'link, and free leadership'
)
def candidates(context, times, slow, fast):
    context.times = times
    context.bandwidths = [10.0] * slow + [200.0] * fast


def _run(bandwidths, seed, *, polls_repeatedly, reaching=None):
    random.seed(seed)
    time = load_fixtures.Scheduler()
    store = store_fixtures.Store(time)
    hosts = [
        store_fixtures.Host(reaches_servers=reaches)
        for reaches in reaching or [True] * len(bandwidths)
    ]
    electors = [
        make_elector(time, store, host, f'h{number}', mbps)
        for number, (host, mbps) in enumerate(
            zip(hosts, bandwidths, strict=True)
        )
    ]
    for host, elector in zip(hosts, electors, strict=True):
        # Links do not open, as in a busy deployment where that takes long.
        host.granter_found = lambda term: None
        time.call_later(random.uniform(0.0, 0.3), elector.poll_soon)
    for _ in range(20):
        time.advance(0.1)
        for elector in electors:
            elector.tick()
            if polls_repeatedly:
                elector.poll_soon()
    return hosts


@behave.given(
    'a granting host whose store takes {delay_s:g} seconds for a write'
)
def slow_writes(context, delay_s):
    context.time = load_fixtures.Scheduler()
    context.host = store_fixtures.Host()
    context.store = store_fixtures.Store(context.time, delay_s)
    context.elector = make_elector(
        context.time,
        context.store,
        context.host,
        'a',
        1000.0,
    )
    context.elector.poll_soon()
    renew(context, 2.0)
    assert context.elector.holds


@behave.when('it renews leadership for {seconds:g} seconds')
def renew(context, seconds):
    for _ in range(int(seconds * 10)):
        context.time.advance(0.1)
        context.elector.tick()


@behave.then('it has never lost leadership')
def leadership_never_lost(context):
    assert context.elector.holds
    assert not context.host.losses


@behave.when('they look for the granting host')
def all_poll(context):
    context.runs = [
        _run(
            context.bandwidths,
            seed,
            polls_repeatedly=False,
            reaching=getattr(context, 'reaching', None),
        )
        for seed in range(context.times)
    ]


@behave.when('they look for the granting host repeatedly')
def all_poll_repeatedly(context):
    context.runs = [
        _run(context.bandwidths, seed, polls_repeatedly=True)
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


@behave.then('each time one host grants and none has lost leadership')
def one_grants_throughout(context):
    one_grants(context)
    found = [sum(host.losses for host in hosts) for hosts in context.runs]
    assert found == [0] * context.times, found
