"""Steps for the measurement of hot keys."""

from __future__ import annotations

import collections
import itertools
import math

import behave
import numpy

from radishferry import hotkeys

RANGES = 64


@behave.given(
    '{duration:d} s of {keys:d} {kind} keys at {rate:d} per s in a sketch'
)
def given_sketch(context, duration, keys, kind, rate):
    ranks = numpy.arange(1, keys + 1)
    weights = 1 / ranks if kind == 'Zipf' else numpy.ones(keys)
    shares = weights / weights.sum()
    rng = numpy.random.default_rng(1)
    context.sketch = hotkeys.HotKeySketch(0.0)
    context.seconds = []
    context.draw = lambda: rng.choice(ranks, rate, p=shares).tolist()
    for _ in range(duration):
        _record_second(context, context.draw())


@behave.when(
    'key {key:d} has {rate:d} additional requests per s for {duration:d} s'
)
def add_hot_key(context, key, rate, duration):
    for _ in range(duration):
        _record_second(context, [*context.draw(), *[key] * rate])


@behave.when(
    'key {key:d} has {key_rate:d} of {rate:d} requests per s '
    'for {duration:d} s'
)
def add_hot_key_among_new_keys(context, key, key_rate, rate, duration):
    new_keys = itertools.count(10**6)
    for _ in range(duration):
        others = itertools.islice(new_keys, rate)
        interval = rate // key_rate
        _record_second(context, [o if o % interval else key for o in others])


@behave.when('the sketch records no requests for {duration:d} s')
def record_no_requests(context, duration):
    for _ in range(duration):
        _record_second(context, [])


@behave.then(
    'the rates of {count:d} keys are at most {percent:d} percent too low, '
    'none is too high'
)
def rates_within(context, count, percent):
    found = dict(context.top)
    exact = _exact(context)
    for key, rate in exact.most_common(count):
        assert found[key] >= rate * (1 - percent / 100), (key, rate)
    for key, rate in found.items():
        assert rate <= exact[key] * 1.000001, (key, rate, exact[key])


@behave.then('the loads of the ranges sum to those of all keys')
def loads_sum(context):
    loads = context.sketch.range_loads(len(context.seconds))
    total = sum(_exact(context).values())
    assert len(loads) == RANGES
    assert abs(sum(loads.values()) / total - 1) <= 0.000001, loads


@behave.then('the sketch holds at most {count:d} keys')
def holds_at_most(context, count):
    assert len(context.top) <= count, len(context.top)


@behave.then('merged reports add the rates of a key and keep the highest')
def merge_reports(context):
    reports = [[(1, 5.0), (2, 3.0)], [(3, 4.0), (1, 2.0)]]
    assert hotkeys.merge_top(reports, 2) == {1: 7.0, 3: 4.0}
    assert hotkeys.merge_loads([{0: 1.0, 1: 2.0}, {1: 2.5}]) == {0: 1, 1: 4.5}


def _exact(context):
    weights = [math.exp(age / 10) for age in range(len(context.seconds))]
    exact = collections.Counter()
    for weight, second in zip(weights, context.seconds):
        for key, requests in second.items():
            exact[key] += requests * weight / sum(weights)
    return exact


def _record_second(context, keys):
    for key in keys:
        context.sketch.record(key % RANGES, key)
    context.seconds.append(collections.Counter(keys))
    context.top = context.sketch.top(float(len(context.seconds)), 10**6)
