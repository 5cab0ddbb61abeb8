"""Steps for the balancing of requests; time is simulated."""

from __future__ import annotations

import collections
import heapq
import random

import behave

from radishferry import balancing
from radishferry import manifest

#: Latency of a healthy server, in seconds.
NORMAL_LATENCY_S = 0.01


@behave.given('balanced servers {names} in data centre {data_centre:w}')
def servers(context, names, data_centre):
    if 'chooser' not in context:
        context.chooser = balancing.ServerChooser(
            data_centre=data_centre, slots=6, rng=random.Random(20)
        )
        context.servers = []
        context.answers = collections.defaultdict(
            lambda: (NORMAL_LATENCY_S, 0)
        )
        context.hints = {}
        context.now = 0.0
    context.servers += [
        manifest.Server(name, '127.0.0.1:1', data_centre)
        for name in names.split(', ')
    ]


@behave.step('server {names} takes {ms:g} ms')
def takes(context, names, ms, failure_rate=0):
    for name in names.split(', '):
        context.answers[name] = ms / 1000, failure_rate


@behave.given('server {names} fails after {ms:g} ms')
def fails(context, names, ms):
    takes(context, names, ms, 1)


@behave.given('server {names} fails 1 in {count:d}')
def fails_sometimes(context, names, count):
    takes(context, names, NORMAL_LATENCY_S * 1000, 1 / count)


@behave.given('{count:d} requests to {name:w} are cancelled')
def cancelled(context, count, name):
    for _ in range(count):
        context.chooser.started(name)
        context.chooser.cancelled(name)


@behave.given(
    '{count:d} requests to {names} {result:w} after {ms:g} ms at {now:g} s'
)
def requests_end(context, count, names, result, ms, now):
    for name in names.split(', ') * count:
        context.chooser.started(name)
        context.chooser.finished(name, ms / 1000, result == 'failed', now)


@behave.given('{names} report full load and {idle:w} none')
def report_load(context, names, idle):
    context.hints = {idle: 0} | dict.fromkeys(names.split(', '), 6)
    _report_load(context, 0.0)


@behave.when('{rate:d} requests/s are balanced for {seconds:d} s')
def send(context, rate, seconds):
    rng = random.Random(21)
    chooser = context.chooser
    context.received = collections.Counter()
    pending = []
    now = context.now
    context.now += seconds
    while now < context.now:
        now += rng.expovariate(rate)
        _report_load(context, now)
        while pending and pending[0][0] <= now:
            ended_at, name, latency, failed = heapq.heappop(pending)
            chooser.finished(name, latency, failed, ended_at)
        name = chooser.choose(context.servers, now)
        chooser.started(name)
        context.received[name] += 1
        latency, failure_rate = context.answers[name]
        failed = rng.random() < failure_rate
        latency *= 0.9 + 0.2 * rng.random()
        heapq.heappush(pending, (now + latency, name, latency, failed))


@behave.then('each of {names} received between {least:g}% and {most:g}%')
def received(context, names, least, most):
    total = context.received.total()
    for name in names.split(', '):
        percent = 100 * context.received[name] / total
        assert least <= percent <= most, context.received


@behave.then(
    'of {count:d} choices at {now:g} s {least:d} to {most:d} are {names}'
)
def choices(context, count, now, least, most, names):
    choose = context.chooser.choose
    chosen = [choose(context.servers, now) for _ in range(count)]
    found = sum(name in names.split(', ') for name in chosen)
    assert least <= found <= most, found


@behave.then('the chooser can forget all servers but {name:w}')
def forget(context, name):
    context.chooser.retain([name])
    assert list(context.chooser._stats) == [name]


def _report_load(context, now):
    for name, busy in context.hints.items():
        context.chooser.record_load(name, busy, 6, now)
