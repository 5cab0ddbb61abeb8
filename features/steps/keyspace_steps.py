"""Steps for the mapping of keys to ranges."""

from __future__ import annotations

import behave

from radishferry import keyspace


@behave.given('a service with {ranges:d} ranges')
def service_with_ranges(context, ranges):
    context.ranges = ranges
    context.hot_keys = {}


@behave.given('key "{key}" is hot with range {range_id:d}')
def hot_key(context, key, range_id):
    context.hot_keys[keyspace.key_hash(key)] = range_id


@behave.when('the range of key "{key}" is taken twice')
def take_twice(context, key):
    context.found = [_range_of(context, key) for _ in range(2)]


@behave.then('both are the same and below {limit:d}')
def same_and_below(context, limit):
    first, second = context.found
    assert first == second < limit, context.found


@behave.then('the range of key "{key}" is {range_id:d}')
def range_is(context, key, range_id):
    assert _range_of(context, key) == range_id


@behave.then('the range of key "{key}" is below {limit:d}')
def range_is_below(context, key, limit):
    assert _range_of(context, key) < limit


def _range_of(context, key):
    return keyspace.range_of(
        keyspace.key_hash(key), context.ranges, context.hot_keys
    )
