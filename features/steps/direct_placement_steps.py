"""Steps for the distribution of keys over servers."""

from __future__ import annotations

import collections
import random

import behave

from radishferry.direct import granting
from radishferry.direct import key_map
from radishferry.direct import key_rates
from radishferry.direct import pacing
from radishferry.direct import placement
from radishferry.direct import plan_pacing


#: Service time of a request on a server of normal speed, in seconds.
WORK_S = 0.1
SLOTS = 6


def _always(incarnation, start, end):
    return True


@behave.given('key {key:d} is requested {count:d} times')
def asked(context, key, count):
    context.rates = key_rates.KeyRates()
    context.rates.note([key] * count)


@behave.when('the rates are updated twice, {seconds:g} seconds apart')
def look(context, seconds):
    context.rates.advance(10.0)
    context.rates.advance(10.0 + seconds)


@behave.then('key {key:d} has a rate of {rate:g} a second')
def has_rate(context, key, rate):
    assert abs(context.rates.rates[key] - rate) < 1e-6, context.rates.rates


def _own(context, speeds):
    context.speeds = {(f's{i}', 1): s for i, s in enumerate(speeds)}
    context.capacities = [
        placement.Capacity(incarnation, SLOTS / (WORK_S * speed))
        for incarnation, speed in context.speeds.items()
    ]
    context.granter = granting.KeyGranter('s', 10.0)
    context.now = 100.0
    context.granter.commit(
        placement.initial_layout(list(context.speeds)), 1, context.now
    )
    context.moved = 0
    context.rates = collections.Counter()


@behave.given('{count:d} servers of equal speed own the keys')
def own_equal(context, count):
    _own(context, [1.0] * count)


@behave.given(
    '{count:d} servers, every third of which takes {factor:g} times as long, '
    'own the keys'
)
def own_unequal(context, count, factor):
    _own(context, [factor if i % 3 == 2 else 1.0 for i in range(count)])


@behave.given(
    '{share:d}% of {rate:d} requests a second are for the first fifth of the '
    'keys'
)
def skewed(context, share, rate):
    rng = random.Random(7)
    samples = 20000
    for _ in range(samples):
        if rng.random() < share / 100:
            # The rate decreases from the first key on.
            key = int(key_map.KEY_COUNT / 5 * rng.random() ** 1.6)
        else:
            key = rng.randrange(key_map.KEY_COUNT)
        context.rates[key] += rate / samples


@behave.given('{rate:d} requests a second are spread evenly over all keys')
def even(context, rate):
    rng = random.Random(8)
    samples = 20000
    for _ in range(samples):
        context.rates[rng.randrange(key_map.KEY_COUNT)] += rate / samples


@behave.given('a key of a slow server gets {rate:d} requests a second more')
def hot(context, rate):
    slow = next(
        incarnation for incarnation, s in context.speeds.items() if s > 1
    )
    found = next(f for f in context.granter.ranges if f.owner == slow)
    context.hot = found.start + 3
    context.rates[context.hot] += rate


@behave.when('the load is balanced {count:d} times')
def balance(context, count):
    for _ in range(count):
        context.now += 10.0
        plan = placement.rebalance(
            context.granter.ranges,
            context.capacities,
            key_rates.LoadMap(context.rates),
            _always,
            context.now,
        )
        context.moved += plan.moves
        context.granter.commit(plan.layout, int(context.now), context.now)


@behave.when('server {number:d} leaves')
def leaves(context, number):
    incarnation = (f's{number}', 1)
    layout = placement.evacuate(
        context.granter.ranges,
        {incarnation},
        [c for c in context.capacities if c.incarnation != incarnation],
        key_rates.LoadMap({}),
        _always,
    )
    context.granter.commit(layout, 2, context.now)


def _loads(context):
    loads = dict.fromkeys(context.speeds, 0.0)
    found = key_rates.LoadMap(context.rates)
    for managed in context.granter.ranges:
        loads[managed.owner] += found.load(managed.start, managed.end)
    return loads


@behave.then('the busiest server has at most {ratio:g} times the mean load')
def spread(context, ratio):
    loads = _loads(context).values()
    assert max(loads) <= ratio * sum(loads) / len(loads), sorted(loads)


@behave.then('no server is used more than {ratio:g} times as much as the mean')
def spread_by_speed(context, ratio):
    uses = [
        load * context.speeds[incarnation]
        for incarnation, load in _loads(context).items()
    ]
    mean = sum(_loads(context).values()) / sum(
        1 / s for s in context.speeds.values()
    )
    assert max(uses) <= ratio * mean, sorted(uses)


@behave.then('the hot key is alone on a fast server')
def hot_alone(context):
    found = next(
        f for f in context.granter.ranges if f.start <= context.hot <= f.end
    )
    assert found.start == found.end == context.hot
    assert context.speeds[found.owner] == 1.0


@behave.then('at most {count:d} ranges have moved')
def few_moves(context, count):
    assert context.moved <= count, context.moved


@behave.then('server {number:d} owns nothing')
def owns_nothing(context, number):
    incarnation = (f's{number}', 1)
    assert all(f.owner != incarnation for f in context.granter.ranges)


@behave.then(
    'the busiest server has at most {ratio:g} times the mean number of keys'
)
def key_spread(context, ratio):
    counts = collections.Counter()
    for found in context.granter.ranges:
        counts[found.owner] += found.end - found.start + 1
    assert max(counts.values()) <= ratio * key_map.KEY_COUNT / len(counts)


@behave.when('a server joins')
def join(context):
    incarnation = ('new', 1)
    context.speeds[incarnation] = 1.0
    context.capacities.append(placement.Capacity(incarnation, SLOTS / WORK_S))


@behave.then('the new server owns between {least:d} and {most:d} ranges')
def new_owns(context, least, most):
    owned = [f for f in context.granter.ranges if f.owner == ('new', 1)]
    assert least <= len(owned) <= most, len(owned)


@behave.when('the load is balanced for {seconds:g} seconds')
def balance_for(context, seconds):
    # The first plan waits for a load report; after it only the interval
    # between plans counts.
    plans = int((seconds - pacing.MIN_REPORT_S) / plan_pacing.BALANCE_S)
    balance(context, plans)


@behave.given('server {number:d} takes {rate:g} requests a second only')
def low_capacity(context, number, rate):
    incarnation = (f's{number}', 1)
    context.capacities = [
        placement.Capacity(c.incarnation, rate)
        if c.incarnation == incarnation
        else c
        for c in context.capacities
    ]


@behave.then('server {number:d} gets at most {rate:g} requests a second')
def gets_at_most(context, number, rate):
    load = _loads(context)[f's{number}', 1]
    assert load <= rate, load
