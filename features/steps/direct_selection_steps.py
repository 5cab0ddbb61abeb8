"""Steps for the choice of servers."""

from __future__ import annotations

import collections
import random

import behave

from radishferry.direct import registry
from radishferry.direct import selection

_WORK_S = 0.1
_NAMES = ('a1', 'a2', 'b1')


@behave.given('servers a1, a2 and b1 in data centres a, a and b')
def servers(context):
    random.seed(5)
    context.now = 100.0
    context.servers = {
        name: registry.Server(
            name, 1, 's', ('127.0.0.1', 1), name[0], 6, False
        )
        for name in _NAMES
    }
    context.stats = {name: selection.ServerStats(6) for name in _NAMES}
    context.work_s = dict.fromkeys(_NAMES, _WORK_S)
    context.fails = collections.Counter()
    context.got = collections.Counter()


def _choose(context, answer_bytes=400):
    return selection.choose(
        list(context.servers.values()),
        lambda server: context.stats[server.server_id],
        usual_s=_WORK_S,
        data_centre='a',
        answer_bytes=answer_bytes,
        now=context.now,
    )


@behave.given('a2 takes 5 times as long as the others')
def slow(context):
    context.work_s['a2'] = 5 * _WORK_S


@behave.given('a2 fails every second request')
def failing(context):
    context.fails['a2'] = 2


@behave.given('a1 and b1 are unreachable')
def unreachable(context):
    for name in ('a1', 'b1'):
        context.stats[name].note_connection_failure(context.now)


@behave.given('a request to a1 lost its connection')
def lost(context):
    context.stats['a1'].note_failure(context.now)


@behave.given('{name:w} has answered {count:d} requests')
def answered(context, name, count):
    for _ in range(count):
        context.stats[name].note_answer(_WORK_S, 0, context.now)


def _send(context, count, answer_bytes=400):
    for _ in range(count):
        name = _choose(context, answer_bytes).server.server_id
        stats = context.stats[name]
        context.got[name] += 1
        stats.note_sent(context.now)
        context.now += 0.05
        stats.in_flight -= 1
        if context.fails[name] and context.got[name] % context.fails[name]:
            stats.note_failure(context.now)
        else:
            stats.note_answer(context.work_s[name], 0, context.now)


@behave.when(
    '{count:d} requests are sent one after the other from data centre a'
)
def send(context, count):
    _send(context, count)


@behave.when(
    '{count:d} requests with answers of {size:d} bytes are sent from data '
    'centre a'
)
def send_large(context, count, size):
    _send(context, count, size)


@behave.when('{count:d} requests are sent at once from data centre a')
def send_at_once(context, count):
    for _ in range(count):
        name = _choose(context).server.server_id
        context.got[name] += 1
        context.stats[name].note_sent(context.now)


@behave.when('a request is sent to a1')
def send_one(context):
    context.stats['a1'].note_sent(context.now)


@behave.then('{name:w} gets at most {count:d} of them')
def at_most(context, name, count):
    assert context.got[name] <= count, context.got


@behave.then('{name:w} gets at least {count:d} of them')
def at_least(context, name, count):
    assert context.got[name] >= count, context.got


@behave.then('a2 is chosen')
def chosen(context):
    assert _choose(context).server.server_id == 'a2'


@behave.then('a1 and b1 can be chosen')
def can_all(context):
    for name in ('a1', 'b1'):
        assert not context.stats[name].is_paused(context.now)


@behave.then('a1 can be chosen')
def can(context):
    assert not context.stats['a1'].is_paused(context.now)


@behave.then('a1 cannot be chosen')
def cannot(context):
    assert context.stats['a1'].is_paused(context.now)


@behave.when('{seconds:g} seconds go by')
def go_by(context, seconds):
    context.now += seconds


def _report(context, waiting):
    stats = context.stats['a1']
    running = stats.slots if waiting else 0
    stats.note_report(running, waiting, stats.slots, context.now)


@behave.given(
    'a1 reports {waiting:d} waiting requests every {gap_s:g} seconds for '
    '{seconds:g} seconds'
)
def reports(context, waiting, gap_s, seconds):
    end = context.now + seconds
    while context.now < end:
        context.now += gap_s
        _report(context, waiting)


@behave.given('a1 reports {waiting:d} waiting requests')
def reports_once(context, waiting):
    _report(context, waiting)


def _expected(context):
    return context.stats['a1'].expected_s(_WORK_S, context.now)


@behave.then(
    'a request to a1 is expected to take at least {seconds:g} seconds'
)
def expected_at_least(context, seconds):
    assert _expected(context) >= seconds, _expected(context)


@behave.then('a request to a1 is expected to take at most {seconds:g} seconds')
def expected_at_most(context, seconds):
    assert _expected(context) <= seconds, _expected(context)
