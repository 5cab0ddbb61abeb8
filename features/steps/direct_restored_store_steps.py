"""Steps for a store that is restored from an older copy."""

from __future__ import annotations

import itertools
import json
import random
import time

import behave
import direct_host_fixtures
import load_fixtures
import ownership_sequences
import process_fixtures
import restored_store_fixtures
import restored_store_world

from radishferry.direct import eras
from radishferry.direct import key_map
from radishferry.direct import key_rows
from radishferry.direct import placement
from radishferry.direct import registry as registry_module
from radishferryd.platform import documents
from radishferryd.platform import store as store_module
from radishferryd.router import knowledge
from radishferryd.router import store_reader
from radishferry_testing.soak import checks

_TERM_ROW = store_reader.OWN_TABLE, store_reader.TERM_KEY
_KEYS_ROW = store_reader.OWN_TABLE, f'{store_reader.KEYS_PREFIX}s'


@behave.then(
    '{count:d} random sequences of restores keep one holder for each key'
)
def random_sequences(context, count):
    with ownership_sequences.quiet():
        for seed in range(count):
            restored_store_world.run(seed)


# Readers.


def _write_configuration(context, version):
    document = {'version': f'{version:08x}', 'routes': {}, 'services': {}}
    context.store.put(
        documents.OPERATOR_TABLE,
        documents.CONFIGURATION_KEY,
        json.dumps(document).encode(),
    )


@behave.given('a reader of a store with configuration {version:d}')
def reader(context, version):
    time = context.time = load_fixtures.Scheduler()
    time.call_always = time.call_later
    context.store = restored_store_fixtures.Store(time)
    _write_configuration(context, version)
    client = store_module.Store(None, time, ('a', 1))
    client._client = restored_store_fixtures.Client(
        context.store, time, random.Random(1)
    )
    context.routing_state = knowledge.RoutingState(time.now)
    context.reader = store_reader.StoreReader(
        client, time, context.routing_state
    )
    client.on_restored.append(context.reader.note_restored)
    time.advance(2.0)
    context.reader.set_polling(True)
    time.advance(2.0)
    _check_version(context, version)


def _check_version(context, version):
    assert context.routing_state.configuration.version == version


@behave.given('configuration {version:d} is written and read')
def written_and_read(context, version):
    _write_configuration(context, version)
    context.time.advance(1.0)
    _check_version(context, version)


def _write_others(context, count):
    for number in range(count):
        context.store.put('other', str(number), b'')


@behave.given('{count:d} other rows are written and the feed has passed them')
def others_written(context, count):
    _write_others(context, count)
    context.time.advance(1.5)


@behave.when(
    'the store is restored from a copy without them and gets configuration '
    '{version:d} and {count:d} other rows'
)
def restored_and_written(context, version, count):
    context.store.restore(2.0)
    _write_configuration(context, version)
    _write_others(context, count)


@behave.when('the store is restored from a copy that has configuration 5')
def restored_copy(context):
    context.store.restore(1.5)


@behave.then('the reader has configuration {version:d} within 2 seconds')
def has_soon(context, version):
    context.time.advance(2.0)
    _check_version(context, version)


@behave.then('the reader has configuration {version:d} after 3 seconds')
def still_has(context, version):
    context.time.advance(3.0)
    _check_version(context, version)


@behave.given('the evacuation of data centre "{name}" is written and read')
def evacuation(context, name):
    key = f'{documents.EVACUATION_PREFIX}{name}'
    context.store.put(documents.OPERATOR_TABLE, key, b'{}')
    context.time.advance(1.0)
    knows_evacuation(context, name)


@behave.when('{seconds:d} second passes at the reader')
@behave.when('{seconds:d} seconds pass at the reader')
def reader_waits(context, seconds):
    context.time.advance(seconds)


@behave.then('the reader knows an evacuation of "{name}"')
def knows_evacuation(context, name):
    found = context.routing_state.availability.evacuated
    assert sorted(found) == [name], found


@behave.then('the reader knows no evacuation')
def knows_no_evacuation(context):
    assert not context.routing_state.availability.evacuated


# Leadership and owners.


def _granter(context):
    (host,) = [h for h in context.world.hosts.values() if h.term.holds]
    return host


@behave.given(
    'a deployment whose granting host has moved keys {age_s:g} seconds ago'
)
def deployment(context, age_s):
    context.world = restored_store_world.World(1)
    context.world.advance(5.0)
    context.granter = _granter(context)
    context.rows_before = dict(context.world.store.rows)
    restored_store_world.move_keys(context.world, 0)
    context.world.advance(age_s)
    assert (
        context.world.store.rows[_KEYS_ROW] != (context.rows_before[_KEYS_ROW])
    )


@behave.when('the store is restored from a copy 1 second old')
def restored(context):
    context.world.store.restore(1.0)
    context.lost = []
    lose = context.granter.term_lost
    context.granter.term_lost = lambda: (context.lost.append(1), lose())
    found = context.world.store.rows[_KEYS_ROW]
    assert found == context.rows_before[_KEYS_ROW], 'the move is not lost'


@behave.when('1 second passes')
def second_passes(context):
    context.world.advance(1.0)


@behave.then('the same host has granted all the while')
def same_granter(context):
    assert not context.lost
    assert _granter(context) is context.granter


@behave.then(
    'the store has the owners of the granting host, written in its era'
)
def store_has_owners(context):
    row = key_rows.decode(*context.world.store.rows[_KEYS_ROW])
    assert row.era == context.world.store.era == 1
    granter = context.granter.ownership.services['s']
    found = [(s.start, s.end, s.owner) for s in row.segments]
    assert found == placement.layout_of(granter.ranges)
    changed = [s.fence for s in granter.segments]
    assert max(changed) <= row.stamp, (max(changed), row.stamp)


@behave.given('a granting host whose renewal is under way for long')
def slow_renewal(context):
    context.world = restored_store_world.World(1)
    context.world.advance(5.0)
    context.granter = _granter(context)
    client = context.granter.client
    context.renewal = []

    def call(method, target, body, timeout_s, done, silence_s=9e9):
        if method == 'POST':
            context.renewal.append((target, body))

    client.call = call
    context.world.advance(1.0)
    assert context.renewal


@behave.when('the store is restored and another host acquires leadership')
def another_acquires(context):
    context.granter.stop()
    context.world.store.restore(0.6)
    context.world.advance(6.0)
    (context.other,) = [
        host
        for host in context.world.hosts.values()
        if host is not context.granter and host.term.holds
    ]


@behave.when('the row of leadership has the version that the renewal expects')
def versions_repeat(context):
    _, body = context.renewal[0]
    expected = body['precondition'][0]
    assert (expected['table'], expected['key']) == _TERM_ROW
    value, _ = context.world.store.rows[_TERM_ROW]
    context.world.store.rows[_TERM_ROW] = value, expected['api_version']


@behave.then('the renewal is rejected')
def rejected(context):
    status, _ = context.world.store.handle(*context.renewal[0])
    assert status == 412, status


# Lists of servers.


def _apply(context, names, leaving=()):
    context.now += 1.0
    context.registry.apply(
        [
            registry_module.Server(
                name, 1, 's', ('127.0.0.1', 1), 'x', 4, name in leaving
            )
            for name in names.split(', ')
        ],
        context.now,
    )


@behave.given('a host that knows servers "{names}"')
def knows(context, names):
    context.registry = registry_module.Registry()
    context.now = 100.0
    _apply(context, names)


@behave.when('server "{leaving}" is leaving and server "{gone}" is removed')
def leaves(context, leaving, gone):
    names = [s.server_id for s in context.registry.all()]
    names.remove(gone)
    _apply(context, ', '.join(names), (leaving,))


@behave.when(
    'the store is restored and its list names servers "{names}" as ready'
)
def list_restored(context, names):
    context.registry.note_restored(context.now)
    _apply(context, names)


@behave.when('its list names servers "{names}" as ready')
def list_names(context, names):
    _apply(context, names)


@behave.then('the host uses servers "{names}"')
def uses(context, names):
    found = sorted(s.server_id for s in context.registry.usable('s'))
    assert found == names.split(', '), found


# Processes.


@behave.when(
    'the store is away for {away_s:g} seconds and returns from a copy '
    '{age_s:g} seconds old'
)
def returns_from_copy(context, away_s, age_s):
    # The keys of the leaving server have been moved by then.
    time.sleep(1.5)
    direct_host_fixtures.control_platform(
        context, 'restore', age_s=age_s, away_s=away_s
    )


@behave.then('keys are served at both hosts for the next {seconds:d} seconds')
def served_for(context, seconds):
    end = time.monotonic() + seconds
    failed = []
    while time.monotonic() < end:
        for host, key in itertools.product((1, 2), direct_host_fixtures.KEYS):
            status, _, _ = direct_host_fixtures.lookup(context, host, key)
            if status != 200:
                failed.append((host, key, status, end - time.monotonic()))
    assert not failed, failed


@behave.then('both hosts know era {era:d} and one of them grants')
def know_era(context, era):
    states = [
        direct_host_fixtures.state(context, name)
        for name in direct_host_fixtures.NAMES
    ]
    granters = [state for state in states if state['is_granter']]
    assert len(granters) == 1, granters
    assert granters[0]['store_era'] == era, granters[0]['store_era']


@behave.then('no key was granted to two servers at a time')
def one_holder(context):
    events = direct_host_fixtures.control_platform(context, 'events')
    findings = list(checks.check_owners(events, ()))
    assert not findings, findings


@behave.when('configuration {version:d} is published')
def publish(context, version):
    direct_host_fixtures.control_platform(
        context, 'configure', version=version
    )


@behave.then('both hosts have configuration {version:d} within 3 seconds')
def both_have(context, version):
    published_at = time.monotonic()
    process_fixtures.wait_until(
        lambda: all(
            direct_host_fixtures.state(context, name)['configuration']
            == version
            for name in direct_host_fixtures.NAMES
        )
    )
    took_s = time.monotonic() - published_at
    assert took_s <= 3.0, took_s


# Stores without an era.


@behave.then('version {version:d} without an era orders as {number:d}')
def orders_as(context, version, number):
    assert eras.stamp(None, version) == number


@behave.then('a row without an era has no field for it')
def no_field(context):
    segment = key_map.Segment(0, 65535, ('a', 1), 0)
    value = key_rows.encode(key_rows.KeyRow((segment,), 'w'))
    assert set(json.loads(value)) == {'write_id', 'lives', 'segments'}
    row = key_rows.decode(value, 7)
    assert (row.stamp, row.segments[0].fence, row.era) == (7, 7, None)
