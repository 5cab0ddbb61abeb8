"""Steps for groups of keys that suddenly become busy, without a network."""

from __future__ import annotations

import collections
import functools
import random

import behave

from radishferry.direct import granting
from radishferry.direct import key_map
from radishferry.direct import key_rates
from radishferry.direct import placement
from radishferry.direct import plan_pacing

_TICK_S = 0.1
_REPORT_S = 0.3
_SETTLE_S = 0.35
_SERVICE_S = 0.24
_SLOTS = 3
#: Start, first key, number of keys and share of the requests.
_GROUPS = ((3.0, 21000, 200, 1 / 3), (8.0, 47300, 60, 0.4))


class _Day:
    """Simulate the requests and the plans of one service."""

    def __init__(self, rate, groups):
        self.uses = []
        self.moves = []
        self.total_rate = rate
        self.groups = groups
        self.is_new = True
        self.rates = key_rates.KeyRates()
        self._rng = random.Random(11)
        self._pacing = plan_pacing.PlanPacing()
        self._speed = {
            (f's{i}', 1): (0.6, 1.0, 1.4)[i % 3] for i in range(150)
        }
        self._capacities = [
            placement.Capacity(incarnation, _SLOTS * speed / _SERVICE_S)
            for incarnation, speed in self._speed.items()
        ]
        self._granter = granting.KeyGranter('s', 10.0)
        self._granter.commit(
            placement.initial_layout(list(self._speed)), 1, -10.0
        )
        self._unsettled = []

    def _group(self, now):
        current = [g for g in self.groups if g[0] <= now < g[0] + 4.5]
        return current[0] if current else None

    def _key(self, group):
        if group is not None and self._rng.random() < group[3]:
            return group[1] + self._rng.randrange(group[2])
        # Busy keys lie close together: the density falls to a third.
        return int(key_map.KEY_COUNT * self._rng.betavariate(1, 1.5))

    def _use(self, group):
        """Return the use of the busiest server, by true rates.

        :returns: It and the share of the requests that go to servers used
            above 1.
        """
        rates = collections.Counter()
        share = group[3] if group else 0.0
        base = (1 - share) * self.total_rate
        for start, end, owner in self._served:
            left = 1 - start / key_map.KEY_COUNT
            right = 1 - (end + 1) / key_map.KEY_COUNT
            rates[owner] += base * (left**1.5 - right**1.5)
            if group:
                first, count = group[1:3]
                common = min(end + 1, first + count) - max(start, first)
                rates[owner] += (
                    max(0, common) / count * share * self.total_rate
                )
        uses = {
            c.incarnation: rates[c.incarnation] / c.per_s
            for c in self._capacities
        }
        late = sum(rates[name] for name, use in uses.items() if use > 1)
        return max(uses.values()), late / self.total_rate

    def run(self, seconds):
        self._served = placement.layout_of(self._granter.ranges)
        waiting, reports = [], []
        for tick in range(round(seconds / _TICK_S)):
            now = tick * _TICK_S
            group = self._group(now)
            reports.extend(
                (now + self._rng.uniform(0, _REPORT_S), self._key(group))
                for _ in range(self._count())
            )
            self.rates.note(key for at, key in reports if at <= now)
            reports = [found for found in reports if found[0] > now]
            while waiting and waiting[0][0] <= now:
                self._served = waiting.pop(0)[1]
            self._plan(now, waiting)
            self.uses.append((now, *self._use(group)))

    def _count(self):
        """Return a number of requests with the variance of their mean."""
        mean = self.total_rate * _TICK_S
        return max(0, round(self._rng.gauss(mean, mean**0.5)))

    def _plan(self, now, waiting):
        self.rates.advance(now, is_fast=self.is_new)
        rates = self.rates if self.is_new else None
        unsettled = sum(len(moved) for at, _, moved in waiting if at > now)
        if not self._pacing.is_due(now, unsettled, rates):
            return
        before = {
            key: managed.owner
            for managed in self._granter.ranges
            for key in range(managed.start, managed.end + 1)
        }
        plan = placement.rebalance(
            self._granter.ranges,
            self._capacities,
            key_rates.LoadMap(self.rates.rates),
            functools.partial(self._granter.may_assign, now=now),
            now,
            spreads_groups=self.is_new,
        )
        if not plan.moves:
            return
        self._granter.commit(plan.layout, len(self.moves) + 2, now)
        moved = [
            key
            for start, end, owner in plan.layout
            for key in range(start, end + 1)
            if before[key] != owner
        ]
        self.moves.append((now, plan.moves, moved))
        waiting.append((now + _SETTLE_S, plan.layout, range(plan.moves)))

    def describe(self, name):
        """Print the use of each half second, and the moves."""
        print(f'{name} rule; busy keys moved twice: {self.moved_twice()}')
        print(
            f'{"s":>6} {"busiest":>8} {"above 1":>8} {"moves":>6} {"keys":>6}'
        )
        for index in range(0, len(self.uses), 5):
            found = self.uses[index : index + 5]
            begin, end = found[0][0], found[-1][0]
            moves = [m for m in self.moves if begin <= m[0] <= end]
            print(
                f'{begin:6.1f} {max(f[1] for f in found):8.2f} '
                f'{max(f[2] for f in found):8.3f} '
                f'{sum(m[1] for m in moves):6} '
                f'{sum(len(m[2]) for m in moves):6}'
            )

    def late_share(self, seconds):
        """Return the mean share of requests at servers used above 1.

        :param seconds: Time after the begin of a group that is left out.
        """
        found = [
            share
            for now, _, share in self.uses
            if any(
                group[0] + seconds <= now < group[0] + 4.5
                for group in self.groups
            )
        ]
        return sum(found) / len(found)

    def moved(self):
        """Return how many keys moved, each counted as often as it did."""
        return sum(len(keys) for _, _, keys in self.moves)

    def moved_twice(self):
        """Return the busy keys that moved twice during their group's time."""
        found = 0
        for start, first, count, _ in self.groups:
            counts = collections.Counter(
                key
                for at, _, keys in self.moves
                if start <= at < start + 4.5
                for key in keys
                if first <= key < first + count
            )
            found += sum(1 for number in counts.values() if number > 1)
        return found


@behave.given(
    '150 servers with 3 slots and speeds from 0.6 to 1.4 own the keys'
)
def own_keys(context):
    context.day = None


@behave.given(
    '{rate:d} requests a second, a third of them for 200 keys from 3 s on, '
    'and 40% for 60 other keys from 8 s on'
)
def two_groups(context, rate):
    context.day = _Day(rate, _GROUPS)
    context.former = _Day(rate, _GROUPS)
    context.former.is_new = False


@behave.given('{rate:d} requests a second that stay the same')
def steady(context, rate):
    context.day = _Day(rate, ())
    context.former = None


@behave.when('{seconds:d} seconds are planned')
def plan(context, seconds):
    for name, day in (('new', context.day), ('former', context.former)):
        if day is not None:
            day.run(seconds)
            day.describe(name)
    context.rates = context.day.rates


@behave.then(
    'from {seconds:g} seconds after each rise on at most {share:d}% of the '
    'requests go to servers used above 1.0'
)
def is_spread(context, seconds, share):
    context.seconds = seconds
    found = context.day.late_share(seconds)
    assert found <= share / 100, found


@behave.then('by the former rule more than {share:d}% of them did')
def was_not_spread(context, share):
    found = context.former.late_share(context.seconds)
    assert found > share / 100, found


@behave.then(
    'a tenth as many busy keys as by the former rule moved twice within a rise'
)
def not_twice(context):
    before, after = context.former.moved_twice(), context.day.moved_twice()
    assert after <= before / 10, (before, after)


@behave.then('no busy key moved twice within a rise')
def never_twice(context):
    assert not context.day.moved_twice(), context.day.moved_twice()


@behave.then('a third as many keys moved')
def few_moved(context):
    before, after = context.former.moved(), context.day.moved()
    assert after <= before / 3, (before, after)


@behave.then('no sudden rise was found')
def no_rise(context):
    assert context.rates.risen_at < 0, context.rates.risen_at


@behave.given('rates that only follow the slow average')
def slow_rates(context):
    context.rates = key_rates.KeyRates()
    for tick in range(20):
        context.rates.note(range(0, key_map.KEY_COUNT, 500))
        context.rates.advance(_REPORT_S * tick)


@behave.when(
    '{count:d} keys suddenly get {rate:d} requests a second for {seconds:g} '
    'seconds'
)
def rise(context, count, rate, seconds):
    for step in range(round(seconds / _REPORT_S)):
        requests = round(rate * _REPORT_S)
        context.rates.note(1000 + i % count for i in range(requests))
        context.rates.advance(_REPORT_S * (20 + step))


@behave.then('their total rate is less than {rate:d} a second')
def low_total(context, rate):
    loads = key_rates.LoadMap(context.rates.rates)
    assert loads.load(1000, 1199) < rate, loads.load(1000, 1199)


_ALL = 0, key_map.KEY_COUNT - 1


def _give(context, name, version):
    context.granter.commit([(*_ALL, (name, 1))], version, 100.0)


@behave.given(
    'a range that server "a" has released for server "b" with a handover'
)
def released(context):
    context.granter = granter = granting.KeyGranter('s', 10.0)
    _give(context, 'a', 1)
    (grant,) = granter.due(100.0)
    granter.note_granted(grant, 100.0, 100.0)
    _give(context, 'b', 2)
    (release,) = granter.due(100.0)
    granter.note_released(release, 'state')


@behave.when('the range is given to server "c" before "b" got a grant')
def moved_on(context):
    _give(context, 'c', 3)


@behave.when('the range is given to server "a"')
def moved_back(context):
    (grant,) = context.orders
    context.granter.note_granted(grant, 100.0, 100.0)
    _give(context, 'a', 4)
    (release,) = context.granter.due(100.0)
    context.granter.note_released(release, '')


@behave.then('the grant to "{name}" has that handover')
def has_handover(context, name):
    context.orders = context.granter.due(100.0)
    assert [order.handover for order in context.orders] == ['state']


@behave.then('the grant to "a" has no handover')
def has_none(context):
    assert [order.handover for order in context.granter.due(100.0)] == ['']
