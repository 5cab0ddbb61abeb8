"""Steps for route tables."""

from __future__ import annotations

import random

import behave
import hypothesis
from hypothesis import strategies as st

from radishferry import assignment
from radishferry import routing

SERVERS = st.sampled_from(('s1', 's2', 's3'))
RANGES = st.integers(0, 9)
NUMBERS = st.integers(0, 4)
ASSIGNMENTS = st.builds(
    assignment.RangeAssignment,
    owner=st.sampled_from(('', 's1', 's2')),
    epoch=NUMBERS,
    standby=st.sampled_from(('', 's3')),
    previous=st.lists(SERVERS, max_size=3, unique=True).map(tuple),
    key_hash=st.sampled_from((None, 11, 12)),
)
ROWS = st.dictionaries(RANGES, ASSIGNMENTS, max_size=4)
HOSTS = st.sampled_from(('h1', 'h2'))
APPLY_ASSIGNMENTS = routing.RouteTable.apply_assignments
APPLY_ROUTE = routing.RouteTable.apply_route
SET_COORDINATOR = routing.RouteTable.set_coordinator
MESSAGES = st.lists(
    st.tuples(st.just(APPLY_ASSIGNMENTS), st.just('lots'), ROWS)
    | st.tuples(
        st.just(APPLY_ROUTE), st.just('lots'), RANGES, NUMBERS, SERVERS
    )
    | st.tuples(st.just(SET_COORDINATOR), SERVERS, HOSTS, NUMBERS),
    max_size=12,
)


@behave.then(
    '{count:d} random sets of route messages merge to the same routes'
)
def merge_to_same_routes(context, count):
    @hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=count
    )
    @hypothesis.given(MESSAGES, st.integers(0, 2**16))
    def check(messages, seed):
        first = _table(messages)
        source = random.Random(seed)
        second = _table(source.choices(messages, k=9) if messages else [])
        third = _table(source.sample(messages, len(messages)))
        second.import_snapshot(third.export_snapshot())
        expected = [first.lookup('lots', key) for key in range(20)]
        for table in (second, third):
            assert table.export_snapshot() == first.export_snapshot()
            assert [table.lookup('lots', k) for k in range(20)] == expected

    check()


@behave.then('key hash {key:d} has these routes after each route message')
def has_routes_after_messages(context, key):
    table = _table(())
    for row in context.table:
        kind, *words = row['message'].split()
        apply, *arguments = {
            'coordinator': _coordinator,
            'active': _active,
            'assignment': _assignment,
        }[kind](*words)
        apply(table, *arguments)
        found = table.lookup('lots', key)
        actual = found and (found.range_id, found.epoch, found.server)
        names = 'range', 'epoch', 'server'
        expected = [row[name] for name in names if row[name]]
        assert list(map(str, actual or ())) == expected, (row, found)
        assert found is None or found.host == row['host'], (row, found)


def _coordinator(server, host, term):
    return SET_COORDINATOR, server, host, int(term)


def _active(range_id, epoch, server):
    return APPLY_ROUTE, 'lots', int(range_id), int(epoch), server


def _assignment(range_id, epoch, owner, key_hash=None):
    row = assignment.RangeAssignment(
        owner.replace('nobody', ''),
        int(epoch),
        key_hash=key_hash and int(key_hash),
    )
    return APPLY_ASSIGNMENTS, 'lots', {int(range_id): row}


def _table(messages):
    table = routing.RouteTable()
    table.set_range_count('lots', 8)
    for apply, *arguments in messages:
        apply(table, *arguments)
    return table
