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
    '{span:d} s of {keys:d} {kind} keys at {rate:d} per s in a sketch'
)
def given_sketch(context, span, keys, kind, rate):
    ranks = numpy.arange(1, keys + 1)
    weights = 1 / ranks if kind == 'Zipf' else numpy.ones(keys)
    shares = weights / weights.sum()
    source = numpy.random.default_rng(1)
    context.sketch = hotkeys.HotKeySketch(0.0)
    context.seconds = []
    context.draw = lambda: source.choice(ranks, rate, p=shares).tolist()
    for _ in range(span):
        _second(context, context.draw())


@behave.when('key {key:d} has {rate:d} requests per s more for {span:d} s')
def turns_hot(context, key, rate, span):
    for _ in range(span):
        _second(context, [*context.draw(), *[key] * rate])


@behave.when(
    'key {key:d} has {part:d} of {rate:d} requests per s for {span:d} s'
)
def among_fresh(context, key, part, rate, span):
    fresh = itertools.count(10**6)
    for _ in range(span):
        others = itertools.islice(fresh, rate)
        every = rate // part
        _second(context, [o if o % every else key for o in others])


@behave.when('the sketch sees nothing for {span:d} s')
def nothing(context, span):
    for _ in range(span):
        _second(context, [])


@behave.then(
    'the rates of {count:d} keys are at most {percent:d} percent low, '
    'none is high'
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
def merged(context):
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


def _second(context, keys):
    for key in keys:
        context.sketch.record(key % RANGES, key)
    context.seconds.append(collections.Counter(keys))
    context.top = context.sketch.top(float(len(context.seconds)), 10**6)
