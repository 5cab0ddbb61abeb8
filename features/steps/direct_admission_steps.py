"""Steps for the admission of requests under patterns of load."""

from __future__ import annotations

import collections
import heapq
import itertools
import math
import random
import types

import behave

from radishferry.direct import admission
from radishferry.direct import configuration
from radishferry.direct import key_map
from radishferry.direct import outstanding
from radishferry.direct import refusal_periods
from radishferry.direct import registry
from radishferry.direct import selection
from radishferryd.router import server_choice

_HOSTS = 45
_QUEUE = 10
_RATES = {
    'steady': lambda _: 1.0,
    'wave': lambda age_s: 1 + 0.55 * math.sin(2 * math.pi * age_s / 13),
    'burst': lambda age_s: 2.6 if 3 <= age_s < 9 else 1.0,
}


def _former_decision(asked, now):
    """Return the decision of the rule that knows only a route's own target."""
    free = asked.stats.load(now) < asked.stats.slots
    target_s = asked.route.target_latency_s
    target_s *= 1 - 0.12 * max(0, asked.route.priority - 1)
    if asked.expected_s <= min(math.inf if free else target_s, asked.left_s):
        return admission.Admitted()
    return admission.Refused(
        admission.Cause.QUEUE, admission.retry_after_s(asked.expected_s)
    )


class _Host(types.SimpleNamespace):
    """Stand in for the gateway of a host, with a view of its own."""

    host_count = _HOSTS

    def get(self, server):
        if server not in self.views:
            stats = selection.ServerStats(server.slots, random.random())
            self.views[server] = types.SimpleNamespace(
                server=server,
                stats=stats,
                in_flight_by_key=collections.Counter(),
            )
        return self.views[server]

    def stats(self, server):
        return self.get(server).stats

    def owner(self, service, key):
        server = self.servers[key]
        return key_map.Segment(key, key, server.incarnation, 1), server


class _World:
    """Play routes of callers against a service, through many hosts."""

    def __init__(self, rows, servers, slots, is_keyed, is_former):
        random.seed(7)
        self.now, self.is_keyed = 100.0, is_keyed
        self.outcomes = collections.Counter()
        self.servers = [
            registry.Server(f's{n}', 1, 's', ('::', n), 'abc'[n % 3], slots, 0)
            for n in range(servers)
        ]
        self._running = collections.Counter()
        self._queues = collections.defaultdict(collections.deque)
        known = types.SimpleNamespace(
            candidates=lambda _: self.servers, cold_s=lambda _: 0.0
        )
        self._hosts = [self._host(n, known, is_former) for n in range(_HOSTS)]
        self._number, self._events = itertools.count(), []
        for row in rows:
            self._at(0, self._arrive, *_route(row))
        while self._events:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)

    def _host(self, number, known, is_former):
        rule = admission.Admission()
        if is_former:
            rule.decide = _former_decision
        host = _Host(
            data_centre='abc'[number % 3],
            admission=rule,
            availability=known,
            # Stand-ins of rules that act on other services only.
            outstanding=outstanding.Outstanding(),
            cost_choice=types.SimpleNamespace(acts_on=lambda *_: False),
            servers=self.servers,
            views={},
            routes=collections.defaultdict(
                lambda: admission.RouteStats(configuration.Kind.SAFE)
            ),
        )
        host.backends = host
        return host

    def _at(self, delay_s, call, *arguments):
        event = self.now + delay_s, next(self._number), call, arguments
        heapq.heappush(self._events, event)

    def _arrive(self, route, row):
        age_s = self.now - 100
        if age_s > 13:
            return
        rate = float(row['per_s']) * _RATES[row['rate']](age_s)
        self._at(random.expovariate(rate), self._arrive, route, row)
        spread = float(row['spread'])
        work_s = float(row['work']) * random.lognormvariate(0, spread)
        if random.random() < float(row['tail']):
            work_s *= 7
        caller = types.SimpleNamespace(
            route=route,
            work_s=work_s / math.exp(spread**2 / 2),
            key=random.randrange(len(self.servers)) if self.is_keyed else None,
            began_at=self.now,
            data_centre=random.choice('abc'),
            attempts=0,
            repeats=random.random() < float(row['repeats']),
        )
        self._attempt(caller)

    def _left_s(self, caller):
        return caller.began_at + caller.route.timeout_s - self.now

    def _end(self, caller, outcome):
        second = int(caller.began_at) - 100
        kind = caller.route.name, caller.repeats
        self.outcomes[kind, caller.data_centre, second, outcome] += 1

    def _attempt(self, caller, tried=(), host=None):
        left_s = self._left_s(caller)
        caller.attempts += not tried
        host = host or random.choice(
            [h for h in self._hosts if h.data_centre == caller.data_centre]
        )
        stats = host.routes[caller.route]
        if not tried:
            stats.note_arrival(left_s, self.now)
            host.admission.note_arrival('s', caller.route, stats, self.now)
        query = server_choice.Query(
            caller.route, 's', caller.key, stats, left_s, tried, left_s
        )
        decision = server_choice.choose(host, query, self.now)
        if not isinstance(decision, server_choice.Send):
            self._refuse(caller, decision.retry_after_s)
            return
        server = decision.backend.server
        if len(self._queues[server]) < _QUEUE:
            decision.backend.stats.note_sent(self.now)
            self._queues[server].append((caller, host, self.now))
            self._start(server)
        elif tried:
            self._refuse(caller, admission.retry_after_s(0.3))
        else:
            self._report(caller, host, server)
            again = caller, (server.incarnation,), host
            self._at(random.uniform(0.03, 0.09), self._attempt, *again)

    def _refuse(self, caller, delay_s):
        left_s = self._left_s(caller)
        delay_s = 0.03 if caller.repeats else min(delay_s, left_s / 3)
        if caller.attempts < (7 if caller.repeats else 3) and left_s > 0.1:
            self._at(delay_s + 0.005, self._attempt, caller)
        else:
            self._end(caller, 'refused')

    def _report(self, caller, host, server):
        stats, waiting = host.stats(server), len(self._queues[server])
        usual_s = host.routes[caller.route].service_s
        stats.note_report(
            self._running[server], waiting, server.slots, self.now
        )
        host.admission.note_report(server, stats, waiting, usual_s, self.now)

    def _start(self, server):
        while self._queues[server] and self._running[server] < server.slots:
            sent = self._queues[server].popleft()
            self._running[server] += 1
            # Servers drop what is past its deadline when its turn comes.
            work_s = sent[0].work_s if self._left_s(sent[0]) > 0 else 0
            self._at(work_s, self._answer, server, *sent)

    def _answer(self, server, caller, host, sent_at):
        self._running[server] -= 1
        self._start(server)
        self._report(caller, host, server)
        host.stats(server).in_flight -= 1
        answer = self.now - sent_at, len(self._queues[server])
        host.stats(server).note_answer(*answer, self.now)
        host.routes[caller.route].note(400, *answer)
        in_time = self.now - caller.began_at <= caller.route.target_latency_s
        served = 'late' if self._left_s(caller) >= 0 else 'refused'
        self._end(caller, 'in time' if in_time else served)

    def share(self, outcome, accepts=lambda *_: True):
        """Return how many of 100 requests had an outcome.

        :param accepts: Function of route and whether its caller repeats, data
            centre and second that selects the requests.
        """
        counts = collections.Counter()
        for (*where, result), count in self.outcomes.items():
            counts[result] += accepts(*where) * count
        return 100 * counts[outcome] / counts.total()


def _route(row):
    times = float(row['deadline']), float(row['target'])
    kind, rank = configuration.Kind.SAFE, int(row['rank'])
    return configuration.Route(
        row['route'], 'h', '/', kind, (), *times, 2, rank
    ), row


@behave.given(
    '{servers:d} servers of {slots:d} slots, {keys}, that get for 13 s:'
)
def service_gets(context, servers, slots, keys):
    setting = list(context.table), servers, slots, keys == 'keyed'
    context.former, context.world = (
        _World(*setting, is_former) for is_former in (True, False)
    )


def _share(world, outcome, route):
    return world.share(outcome, lambda kind, *_: kind[0] == route)


@behave.then(
    '{count:d} more in 100 {route:w} requests are in time than before'
)
def more_in_time(context, count, route):
    now, before = (
        _share(world, 'in time', route)
        for world in (context.world, context.former)
    )
    assert now >= before + count, (now, before)


@behave.then('at most {count:d} in 100 {route:w} requests are {outcome}')
def at_most(context, count, route, outcome):
    share = _share(context.world, outcome, route)
    assert share <= count, share


@behave.then('{urgent:w} requests are refused no more often than {other:w}')
def refused_less(context, urgent, other):
    shares = [_share(context.world, 'refused', r) for r in (urgent, other)]
    assert shares[0] <= shares[1] + 1, shares


@behave.then('at least {count:d} in 100 are in time in each {span:d} seconds')
def worst_seconds(context, count, span):
    shares = [
        context.world.share('in time', lambda _, __, s, b=b: b <= s < b + span)
        for b in range(14 - span)
    ]
    assert min(shares) >= count, shares


@behave.then('data centres differ by at most {count:d} in 100')
def data_centres(context, count):
    shares = [
        context.world.share('in time', lambda _, place, __, p=p: place == p)
        for p in 'abc'
    ]
    assert max(shares) - min(shares) <= count, shares


@behave.when('callers wait {lengths} seconds from their attempts')
def callers_wait(context, lengths):
    context.stats = admission.RouteStats(configuration.Kind.SAFE)
    for second in range(100):
        for length in lengths.split(', '):
            context.stats.note_arrival(float(length), 100.0 + second)


@behave.then('a caller that waits {left_s:g} seconds has spent {spent_s:g}')
def has_spent(context, left_s, spent_s):
    found_s = context.stats.spent_s(left_s)
    assert math.isclose(found_s, spent_s, abs_tol=1e-9), found_s


@behave.when('requests are refused at these seconds, others not: {times}')
def refused_at(context, times):
    periods = refusal_periods.RefusalPeriods()
    refused = {float(time) for time in times.split()}
    seconds = [count / 2 for count in range(40)]
    changes = [(s, periods.note('s', 1, s in refused, s)) for s in seconds]
    context.changes = {s: c.has_begun for s, c in changes if c}


@behave.then('refusals begin at second {begin:g} and end at second {end:g}')
def begin_and_end(context, begin, end):
    assert context.changes == {begin: True, end: False}, context.changes


@behave.then('a less urgent route may have no more requests for a hot key')
def hot_key(context):
    rule = admission.Admission()
    limits = []
    for rank, target in (('1', '0.62'), ('2', '1.52')):
        row = {'route': rank, 'rank': rank, 'target': target, 'deadline': '6'}
        route, stats = _route(row)[0], admission.RouteStats(None)
        rule.note_arrival('s', route, stats, 100.0)
        server = selection.ServerStats(3, service_s=0.3)
        asked = 's', route, stats, server, 'a', 0.3, 6.0, 6.0
        limits.append(rule.key_limit(admission.Asked(*asked), 1, 100.0))
    assert limits[1] <= limits[0], limits
