"""Steps for the choice of servers."""

from __future__ import annotations

import collections
import heapq
import random

import behave

from radishferry.direct import registry
from radishferry.direct import selection
from radishferryd.router import backends

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
    'a1 reports {waiting:d} queued requests every {gap_s:g} seconds for '
    '{seconds:g} seconds'
)
def reports(context, waiting, gap_s, seconds):
    end = context.now + seconds
    while context.now < end:
        context.now += gap_s
        _report(context, waiting)


@behave.given('a1 reports {waiting:d} queued requests')
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


class _Fleet:
    """Simulate requests of many hosts with separate views of the servers."""

    def __init__(self, hosts, servers, slots, data_centres):
        self.rng = random.Random(11)
        self.data_centres = data_centres
        self.slots = slots
        self.servers = [
            registry.Server(
                f'i-{n}', 1, 's', ('127.0.0.1', 1), n % data_centres, slots, 0
            )
            for n in range(servers)
        ]
        self.stats = [
            {
                server.server_id: selection.ServerStats(
                    slots, backends._preference(f'host{n}', server.server_id)
                )
                for server in self.servers
            }
            for n in range(hosts)
        ]
        self.at_server = collections.Counter()
        self.used_at = {}
        self.pending_ends = []
        self.sent = self.remote = self.reused = self.waited = 0

    def send_requests(self, rate, work_s, seconds, data_centres):
        """Send requests to hosts of the first data centres.

        :param data_centres: Number of data centres that get requests.
        """
        hosts = [
            n
            for n in range(len(self.stats))
            if n % self.data_centres < data_centres
        ]
        now = 100.0
        while now < 100.0 + seconds:
            now += self.rng.expovariate(rate)
            self._end(now)
            self._send(self.rng.choice(hosts), work_s, now)

    def _send(self, host, work_s, now):
        stats = self.stats[host]
        data_centre = host % self.data_centres
        choice = selection.choose(
            self.servers,
            lambda server: stats[server.server_id],
            usual_s=work_s,
            data_centre=data_centre,
            answer_bytes=400,
            now=now,
            hosts=len(self.stats),
        )
        name = choice.server.server_id
        self.sent += 1
        self.remote += choice.server.data_centre != data_centre
        self.reused += now - self.used_at.get((host, name), -9.0) < 2.5
        waiting = max(0, self.at_server[name] + 1 - self.slots)
        self.waited += waiting > 0
        self.at_server[name] += 1
        stats[name].note_sent(now)
        took_s = work_s * self.rng.uniform(0.8, 1.2)
        took_s += waiting * work_s / self.slots
        heapq.heappush(self.pending_ends, (now + took_s, host, name, took_s))

    def _end(self, now):
        while self.pending_ends and self.pending_ends[0][0] <= now:
            at, host, name, took_s = heapq.heappop(self.pending_ends)
            stats = self.stats[host][name]
            self.at_server[name] -= 1
            load = self.at_server[name]
            waiting = max(0, load - self.slots)
            stats.in_flight -= 1
            stats.note_report(load - waiting, waiting, self.slots, at)
            stats.note_answer(took_s, waiting, at)
            self.used_at[host, name] = at


@behave.given(
    '{hosts:d} hosts and {servers:d} servers with {slots:d} slots in '
    '{data_centres:d} data centres'
)
def fleet(context, hosts, servers, slots, data_centres):
    context.fleet = _Fleet(hosts, servers, slots, data_centres)


@behave.when(
    '{rate:d} requests a second of {work_s:g} seconds come for '
    '{seconds:d} seconds'
)
def fleet_gets_requests(context, rate, work_s, seconds):
    context.fleet.send_requests(
        rate, work_s, seconds, context.fleet.data_centres
    )


@behave.when(
    '{rate:d} requests a second of {work_s:g} seconds come to one of them '
    'for {seconds:d} seconds'
)
def one_data_centre_gets_requests(context, rate, work_s, seconds):
    context.fleet.send_requests(rate, work_s, seconds, 1)


@behave.then('at most {share:d} in 100 requests go to another data centre')
def few_remote(context, share):
    fleet = context.fleet
    assert fleet.remote <= share / 100 * fleet.sent, (fleet.remote, fleet.sent)


@behave.then('at least {share:d} in 100 requests go to another data centre')
def many_remote(context, share):
    fleet = context.fleet
    assert fleet.remote >= share / 100 * fleet.sent, (fleet.remote, fleet.sent)


@behave.then(
    'at least {share:d} in 100 requests find a connection of the last '
    '{seconds:g} seconds'
)
def reused(context, share, seconds):
    fleet = context.fleet
    assert fleet.reused >= share / 100 * fleet.sent, (
        fleet.reused,
        fleet.sent,
    )


@behave.then('at most {share:d} in 100 requests wait for a slot')
def few_wait(context, share):
    fleet = context.fleet
    assert fleet.waited <= share / 100 * fleet.sent, (
        fleet.waited,
        fleet.sent,
    )
