"""Steps for the choice of servers by cost."""

from __future__ import annotations

import itertools
import math
import random

import behave
import cost_world

from radishferry.direct import pacing
from radishferry.direct import selection
from radishferry.direct import server_loads
from radishferry.direct import work
from radishferryd.gen.router import ttypes
from radishferryd.router import links

_SPEEDS = (0.5, 1, 1, 1.5)
_WORK_S = 0.1


@behave.given(
    '{servers:d} servers with {slots:d} slots and three speeds, seed {seed:d}'
)
def pattern(context, servers, slots, seed):
    context.make = lambda: cost_world.World(servers, slots, _SPEEDS, seed=seed)
    context.world = context.make()


@behave.given('each is in a slow spell for a fifth of the time')
def spells(context):
    context.world.has_spells = True


@behave.given('every third one takes 12 times as long after the warm-up')
def become_slow(context):
    world = context.world
    world.slow = range(0, len(world.servers), 3)
    world.slow_from = cost_world.WARMUP_S


@behave.when('90 hosts send requests for {seconds:d} seconds by each choice')
def send_by_each(context, seconds):
    context.worlds = {}
    for choice in ('by_cost', 'least_loaded', 'two_random'):
        world = context.worlds[choice] = context.make()
        world.run(seconds, getattr(cost_world, choice)(world))


@behave.when('90 hosts send requests for {seconds:d} seconds by cost')
def send_by_cost(context, seconds):
    context.world.run(seconds, cost_world.by_cost(context.world))


def _in_time(context):
    return {name: 100 * w.in_time for name, w in context.worlds.items()}


@behave.then(
    'by cost no fewer are in time than by least load as each host sees it'
)
def more_than_least_loaded(context):
    found = _in_time(context)
    assert found['by_cost'] >= found['least_loaded'], found


@behave.then(
    'by cost the share of late answers is less than half of that by two '
    'random choices'
)
def fewer_late_than_random(context):
    found = _in_time(context)
    assert 100 - found['by_cost'] < (100 - found['two_random']) / 2, found


@behave.then('by cost the slowest of 100 answers takes less time than by both')
def lower_p99(context):
    found = {name: world.p99_s for name, world in context.worlds.items()}
    assert found['by_cost'] == min(found.values()), found


@behave.then('each server gets a request')
def each_gets(context):
    missing = set(range(len(context.world.servers))) - set(context.world.got)
    assert not missing, missing


@behave.then('the slow servers get at most {share:d} in 100 requests')
def slow_get_few(context, share):
    got = context.world.got
    slow = sum(got[number] for number in context.world.slow)
    assert slow <= share / 100 * sum(got.values()), slow / sum(got.values())


_IDS = [f'i-{number}' for number in range(5)]


def _report(context, ratio, server_id):
    loads = server_loads.SharedLoads()
    loads.entry(server_id).note_sample(ratio)
    context.merged.note(loads.take_new(), context.now)


@behave.given(
    'a server that hosts report to take {ratio:g} times as long as others'
)
def reported(context, ratio):
    context.merged = server_loads.MergedLoads()
    context.now = 100.0
    for _, server_id in itertools.product(range(40), _IDS):
        _report(context, ratio if server_id == _IDS[0] else 1.0, server_id)
        context.now += 0.05


@behave.when('it takes {ratio:g} times as long for one request')
def one_long(context, ratio):
    _report(context, ratio, _IDS[0])


@behave.when('it takes {ratio:g} times as long for {count:d} requests')
def some_long(context, ratio, count):
    for _ in range(count):
        context.now += 0.2
        _report(context, ratio, _IDS[0])


@behave.when('{seconds:d} seconds go by at the granting host')
def time_passes(context, seconds):
    context.now += seconds


def _relative_time(context):
    host = server_loads.SharedLoads()
    entry = host.entry(_IDS[0])
    merged = context.merged
    for known in merged._by_number.values():
        known.sent_log = math.inf
    host.apply(merged.take_changes([_IDS], 9, context.now), context.now)
    return entry.relative_time


@behave.then('it counts as at most {ratio:g} times as slow')
def at_most_slow(context, ratio):
    assert _relative_time(context) <= ratio, _relative_time(context)


@behave.then('it counts as at least {ratio:g} times as slow')
def at_least_slow(context, ratio):
    assert _relative_time(context) >= ratio, _relative_time(context)


@behave.given(
    'a host that was told {load:d} requests at a server with {slots:d} slots'
)
def told(context, load, slots):
    context.now = 100.0
    context.loads = server_loads.SharedLoads()
    context.stats = selection.ServerStats(slots)
    context.stats.shared = context.loads.entry('i-0')
    number = server_loads.server_number('i-0')
    told = server_loads.Loads([number], [load * 4], [0])
    context.loads.apply(told, context.now)


@behave.when('no heartbeat comes for {seconds:d} seconds')
def no_heartbeat(context, seconds):
    context.now += seconds


def _factor(context):
    return context.stats.expected_s(_WORK_S, context.now) / _WORK_S


@behave.then(
    'it expects a request there to take at least {factor:g} times as long'
)
def expects_at_least(context, factor):
    assert _factor(context) >= factor, _factor(context)


@behave.then(
    'it expects a request there to take at most {factor:g} times as long'
)
def expects_at_most(context, factor):
    assert _factor(context) <= factor, _factor(context)


@behave.given(
    'reports of {count:d} servers at a granting host with {mbps:d} Mbit/s'
)
def many_reports(context, count, mbps):
    context.mbps = mbps
    context.ids = [f'i-{number}' for number in range(count)]
    host = server_loads.SharedLoads()
    for number, server_id in enumerate(context.ids):
        host.entry(server_id).note_seen(number % 12)
    context.merged = server_loads.MergedLoads()
    context.merged.note(host.take_new(), 99.0)
    context.merged.take_changes([context.ids], count, 99.5)
    for number, server_id in enumerate(context.ids):
        # The servers at the end have changed most.
        host.entry(server_id).note_seen(number % 12 + number // 40)
    context.merged.note(host.take_new(), 100.0)


@behave.when('it sends a heartbeat to {links_:d} hosts')
def sends_heartbeat(context, links_):
    limit = pacing.load_entries(links_, context.mbps, links.HEARTBEAT_S)
    changes = context.merged.take_changes([context.ids], limit, 100.2)
    context.changes = changes
    plain, full = (
        len(links._CODEC.encode('beat', ttypes.Beat(1, 0.1, loads=loads)))
        for loads in (None, links.to_server_loads(changes))
    )
    context.bytes_per_s = (full - plain) * links_ / links.HEARTBEAT_S


@behave.then('the loads take at most a tenth of its link')
def within_link(context):
    limit = 0.1 * context.mbps * 1e6 / 8
    assert context.bytes_per_s <= limit, context.bytes_per_s


@behave.then('the largest changes are told')
def largest_told(context):
    told_ = set(context.changes.servers)
    changes = {True: [], False: []}
    for number, server_id in enumerate(context.ids):
        is_told = server_loads.server_number(server_id) in told_
        changes[is_told].append(number // 40)
    assert min(changes[True]) >= max(changes[False]), changes


@behave.when(
    '{count:d} requests are placed among {few:d} and among {many:d} servers'
)
def place(context, count, few, many):
    context.looks = [_looks(count, few), _looks(count, many)]


def _looks(count, servers):
    """Return how often servers are looked at, after the first request."""
    random.seed(6)
    world = cost_world.World(servers, 2, _SPEEDS, seed=6)
    choose = cost_world.by_cost(world)
    host = world.hosts[0]
    choose(host, 'short', 1.0)
    looks = []
    host.cost_choice._stats_of = lambda server: (
        looks.append(server) or host.stats_of(server)
    )
    for _ in range(count):
        choose(host, 'short', 1.0)
    return len(looks)


@behave.then(
    'the second takes at most {factor:g} times as many looks at servers'
)
def few_looks(context, factor):
    first, second = context.looks
    assert second <= factor * first, context.looks


@behave.given(
    '{count:d} answers of {seconds:g} seconds, of which {share:d} in 100 take '
    '{long_s:g}'
)
def answers(context, count, seconds, share, long_s):
    context.work = work.WorkEstimate()
    for number in range(count):
        is_long = number % 100 in range(0, 33 * share, 33)
        context.work.note(long_s if is_long else seconds)


@behave.then('the expected work is {low:g} to {high:g} seconds')
def expected_work(context, low, high):
    assert low <= context.work.mean_s <= high, context.work.mean_s


@behave.then(
    '{low:d} to {high:d} in 100 requests are expected to take over '
    '{seconds:g} seconds'
)
def expected_tail(context, low, high, seconds):
    share = 100 * context.work.share_above(seconds)
    assert low <= share <= high, share


@behave.then(
    'a request that has run for {done_s:g} seconds is expected to run on for '
    'at least {rest_s:g}'
)
def expected_rest(context, done_s, rest_s):
    found = context.work.rest_s(done_s)
    assert found >= rest_s, found


@behave.when('a heartbeat names {servers:d} servers and {loads:d} load')
def mismatched(context, servers, loads):
    message = ttypes.ServerLoads([1] * servers, [4] * loads, [0] * servers)
    context.applied = links.from_server_loads(message)


@behave.then('no load is applied')
def none_applied(context):
    assert not list(context.applied.entries()), context.applied
