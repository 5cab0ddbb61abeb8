"""Steps for the choice between servers; time is simulated."""

from __future__ import annotations

import collections
import heapq
import random

import behave

from radishferry import balancing
from radishferry import manifest

#: Latency of a server without trouble, in seconds.
USUAL_S = 0.01


@behave.given('servers {names} in data centre {data_centre:w}')
def servers(context, names, data_centre):
    if 'chooser' not in context:
        context.chooser = balancing.ServerChooser(
            data_centre=data_centre, slots=6, rng=random.Random(20)
        )
        context.servers = []
        context.answers = collections.defaultdict(lambda: (USUAL_S, 0))
        context.now = 0.0
    context.servers += [
        manifest.Server(name, '127.0.0.1:1', data_centre)
        for name in _names(names)
    ]


@behave.step('server {name:w} takes {ms:g} ms')
def takes(context, name, ms):
    context.answers[name] = ms / 1000, 0


@behave.step('server {name:w} fails after {ms:g} ms')
def fails(context, name, ms):
    context.answers[name] = ms / 1000, 1


@behave.given('server {name:w} fails one of {count:d} requests')
def fails_sometimes(context, name, count):
    context.answers[name] = USUAL_S, 1 / count


@behave.given('{count:d} requests to {name:w} failed after {ms:g} ms at 0 s')
def failed(context, count, name, ms):
    for _ in range(count):
        context.chooser.started(name)
        context.chooser.finished(name, ms / 1000, True, 0.0)


@behave.given('{count:d} requests to {name:w} are given up')
def given_up(context, count, name):
    for _ in range(count):
        context.chooser.started(name)
        context.chooser.cancelled(name)


@behave.given(
    'all but {name:w} report 6 of 6 slots in use and {same:w} reports {busy:d}'
)
def report_load(context, name, same, busy):
    context.hints = {server.name: 6 for server in context.servers}
    context.hints[name] = busy
    _hint(context, 0.0)


@behave.when('a request to {name:w} ends well at {now:g} s')
def ends_well(context, name, now):
    context.chooser.finished(name, USUAL_S, False, now)


@behave.when('only server {name:w} is kept')
def keep(context, name):
    context.chooser.retain([name])


@behave.when('{rate:d} requests/s are sent for {seconds:d} s')
def send(context, rate, seconds):
    rng = random.Random(21)
    context.received = collections.Counter()
    ends = []
    now = context.now
    context.now += seconds
    while now < context.now:
        now += rng.expovariate(rate)
        if 'hints' in context:
            _hint(context, now)
        while ends and ends[0][0] <= now:
            at, name, took, is_failed = heapq.heappop(ends)
            context.chooser.finished(name, took, is_failed, at)
        name = context.chooser.choose(context.servers, now)
        context.chooser.started(name)
        context.received[name] += 1
        took, failing = context.answers[name]
        is_failed = rng.random() < failing
        took *= 0.9 + 0.2 * rng.random()
        heapq.heappush(ends, (now + took, name, took, is_failed))


@behave.then('each of {names} received between {least:g}% and {most:g}%')
def received(context, names, least, most):
    total = context.received.total()
    for name in _names(names):
        percent = 100 * context.received[name] / total
        assert least <= percent <= most, context.received


@behave.then(
    'of {count:d} requests at {now:g} s server {name:w} receives {least:d}'
)
def receives(context, count, now, name, least):
    assert _choose(context, count, now)[name] == least


@behave.then(
    'of {count:d} requests at {now:g} s server {name:w} '
    'receives at least {least:d}'
)
def receives_at_least(context, count, now, name, least):
    assert _choose(context, count, now)[name] >= least


@behave.then('the chooser remembers {count:d} server')
def remembers(context, count):
    assert len(context.chooser._records) == count


def _choose(context, count, now):
    choose = context.chooser.choose
    names = (choose(context.servers, now) for _ in range(count))
    return collections.Counter(names)


def _hint(context, now):
    for name, busy in context.hints.items():
        context.chooser.hint(name, busy, 6, now)


def _names(names):
    return names.replace(' and ', ', ').split(', ')
