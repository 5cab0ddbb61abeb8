"""Steps for evacuated data centres and cold servers."""

from __future__ import annotations

import dataclasses
import itertools
import types
from unittest import mock

import behave
import load_fixtures
import store_fixtures

from radishferry.direct import availability
from radishferry.direct import configuration
from radishferry.direct import key_map
from radishferry.direct import registry
from radishferry.direct import selection
from radishferryd import http_client
from radishferryd.gen.router import ttypes
from radishferryd.platform import documents
from radishferryd.platform import store
from radishferryd.router import hub
from radishferryd.router import knowledge
from radishferryd.router import link_monitor
from radishferryd.router import ownership
from radishferryd.router import spoke
from radishferryd.router import store_reader

_LIMIT = availability.WarmupLimit(3.0, 4.0)
_KEY = documents.EVACUATION_PREFIX + 'y'
#: The users' rule: a cold server gets at most one and a half times what it
#: tolerates, and 8 requests, in any second.
_MOST_PER_S = 1.5 * _LIMIT.per_s + 8


def _servers(names='xy', count=4, warmup_s=0.0):
    return [
        registry.Server(
            f'{zone}{number}',
            1,
            'stock',
            ('127.0.0.1', 1 + number),
            zone,
            3,
            False,
            warmup_s,
        )
        for zone in names
        for number in range(count)
    ]


def _state(context):
    state = knowledge.RoutingState(context.time.now, 5.0)
    state.availability.set_warmup_limits({'stock': _LIMIT})
    return state


@behave.given(
    'a service with 4 servers in each of the data centres x and y, whose cold '
    'servers tolerate 4 requests a second for 3 seconds'
)
def service(context):
    context.time = load_fixtures.Scheduler()
    context.servers = _servers()
    context.granting = _state(context)
    context.other = _state(context)
    context.reader = store_reader.StoreReader(
        None, context.time, context.granting
    )
    owner = types.SimpleNamespace(on_segments=[], on_long_holds_wanted=[])
    crashes = types.SimpleNamespace(on_change=[])
    context.hub = hub.Hub(
        context.time, context.granting, owner, crashes, 100.0, None
    )
    context.hub._is_active = True
    context.spoke = spoke.Spoke(
        None, context.time, context.other, None, (), store_fixtures.Host()
    )
    context.spoke._link = link = mock.Mock()
    context.hub._send_all = lambda name, message: context.spoke.link_message(
        link, name, message
    )
    _read_servers(context)


def _read_servers(context):
    context.time.advance(0.1)
    now = context.time.now()
    context.granting.apply_servers(context.servers, now, 'store')
    context.spoke._granter_configuration_read_at = now


def _row(is_deleted=False):
    return store.Row(documents.OPERATOR_TABLE, _KEY, b'{}', 7, is_deleted)


@behave.when('the granting host reads a row that evacuates y')
def evacuated(context):
    context.reader._apply(store.Rows((_row(),), 7, 0.0, 0.0))


@behave.when('the granting host reads that the row was deleted')
def taken_back(context):
    context.time.advance(0.1)
    context.spoke._granter_configuration_read_at = context.time.now()
    context.reader._apply(store.Rows((_row(True),), 8, 0.0, 0.0))


@behave.when('{seconds:g} seconds pass for both hosts')
def time_passes(context, seconds):
    context.time.advance(seconds)


def _zones(state):
    return {s.data_centre for s in state.availability.candidates('stock')}


@behave.then('both hosts send requests to servers in {zones}')
def both_send(context, zones):
    for state in (context.granting, context.other):
        _check_zones(state, zones)


@behave.then('the other host sends requests to servers in {zones}')
def other_sends(context, zones):
    _check_zones(context.other, zones)


def _check_zones(state, zones):
    wanted = {'x'} if zones == 'x only' else {'x', 'y'}
    assert _zones(state) == wanted, _zones(state)


@behave.given('the other host has read a row that evacuates y')
def other_has_read(context):
    context.time.advance(5)
    context.other.apply_evacuations({'y'}, context.time.now())


@behave.when(
    'the granting host sends the evacuations that it read {age_s:g} seconds '
    'before'
)
def sends_older(context, age_s):
    read_at = context.time.now() - age_s
    context.spoke._granter_configuration_read_at = read_at
    context.spoke._on_servers_push(ttypes.ServersPush(False, [], [], 0.1, []))


@behave.when(
    'the granting host has read the store again and its heartbeat arrives'
)
def heartbeat(context):
    context.time.advance(0.1)
    context.spoke._on_beat(ttypes.Beat(2, 0.0, False, 1, True, False, 0.0))
    context.time.advance(_LIMIT.duration_s)


@behave.when('a granting host of an older version sends its servers')
def older_version(context):
    context.spoke._on_servers_push(ttypes.ServersPush(False, [], [], 0.1))


@behave.when('the entries of the servers in y are missing for {seconds:g} s')
def entries_missing(context, seconds):
    listed, context.servers = context.servers, _servers('x')
    _read_servers(context)
    context.time.advance(seconds)
    context.servers = listed
    _read_servers(context)


@behave.when('a server joins x with {warmup_s:g} seconds of warm-up')
def joins(context, warmup_s):
    (context.joined,) = _servers('n', 1, warmup_s)
    context.servers.append(context.joined)
    _read_servers(context)


@behave.when('another server joins x')
def another_joins(context):
    # The entry of the first one has no warm-up by now.
    context.servers[-1] = dataclasses.replace(context.joined, warmup_s=0.0)
    (joined,) = _servers('o', 1)
    context.servers.append(joined)
    _read_servers(context)


@behave.when('the granting host reads the same entry again')
def reads_again(context):
    _read_servers(context)


@behave.then('both hosts know that it is cold')
def is_cold(context):
    for state in (context.granting, context.other):
        found = state.availability.check(context.joined)
        assert found.reason is availability.Reason.COLD, found


@behave.then('both hosts send requests to it')
def gets_requests(context):
    for state in (context.granting, context.other):
        assert state.availability.check(context.joined).is_available


@behave.given('{count:d} hosts')
def hosts(context, count):
    context.host_count = count


@behave.when('all servers become cold for 3 seconds')
def all_cold(context):
    context.servers = _servers(warmup_s=_LIMIT.duration_s)
    _read_servers(context)


@behave.then(
    'for 3 seconds no server gets more than 14 requests in any second'
)
def spared(context):
    candidates = context.granting.availability.candidates('stock')
    assert len(candidates) == len(context.servers)
    now = context.time.now()
    count = context.host_count
    stats = {
        (host, server.server_id): selection.ServerStats(3)
        for host in range(count)
        for server in candidates
    }
    for found in stats.values():
        found.limit_while_cold(
            availability.COLD_SHARE * _LIMIT.per_s,
            count,
            now + _LIMIT.duration_s,
            now,
        )
    arrivals = {server.server_id: [] for server in candidates}
    # Each host tries each server every 50 ms, far above any usual load.
    for step, (host, server) in itertools.product(
        range(60), itertools.product(range(count), candidates)
    ):
        at = now + step * 0.05
        found = stats[host, server.server_id]
        if not found.permit_wait_s(at):
            found.note_sent(at)
            arrivals[server.server_id].append(at)
    for times in arrivals.values():
        busiest = max(
            sum(start <= at < start + 1 for at in times) for start in times
        )
        assert busiest <= _MOST_PER_S, busiest


@behave.then('owners in y get {what} for their keys')
def owners_get(context, what):
    for server in context.servers:
        segment = key_map.Segment(0, 65535, server.incarnation, 1)
        for state in (context.granting, context.other):
            state.key_maps['stock'] = key_map.KeyMap((segment,), 1)
            _, owner = state.owner('stock', 7)
            is_expected = server.data_centre == 'x' or what == 'requests'
            assert (owner is not None) == is_expected, server


@behave.given(
    'a granting host whose servers in x and y own equal shares of the keys'
)
def owners_in_both(context):
    context.granting.configuration = types.SimpleNamespace(
        services={'stock': configuration.Service('stock', '/', 64, True, 1.0)}
    )
    patch = mock.patch.object(http_client, 'JsonClient')
    patch.start()
    context.add_cleanup(patch.stop)
    context.ownership = ownership.Ownership(
        None,
        context.time,
        context.granting,
        types.SimpleNamespace(holds=True, silent_s=0.0, version=7),
        10.0,
        'host',
        lambda: 2,
        link_monitor.LinkMonitor(
            None, context.time, context.granting.registry
        ),
    )
    granter = context.ownership._service('stock').granter
    count = len(context.servers)
    bounds = [key_map.KEY_COUNT * i // count for i in range(count + 1)]
    layout = [
        (start, end - 1, server.incarnation)
        for (start, end), server in zip(
            itertools.pairwise(bounds), context.servers
        )
    ]
    granter.commit(layout, 7, context.time.now())


@behave.then('its next layout gives all keys to servers in x')
def layout_without_y(context):
    found = context.ownership
    service = found._service('stock')
    layout = found._plan(service, context.time.now())
    owners = {owner[0][0] for _, _, owner in layout}
    assert owners == {'x'}, owners
