"""Steps for membership."""

from __future__ import annotations

import behave

from radishferry import membership
from radishferry import neighbours

STEP_S = 0.1
DATA_CENTRES = 'abc'


@behave.given(
    'host a1 that gets a heartbeat of a2 every 0.1 s until second {end:d}'
)
def given_host(context, end):
    context.member = membership.Membership('a1', 'a')
    context.member.hosts_listed(_infos('a1', 'a2'), 0.0)
    for step in range(round(end / STEP_S) + 1):
        context.member.heartbeat('a2', 1, step * STEP_S)
        context.member.changes(step * STEP_S)


@behave.when('host a1 processes "{events}"')
def process_events(context, events):
    member = context.member
    context.found = []
    for event in events.split(', '):
        now, kind, *names = event.split()
        if kind == 'beat':
            member.heartbeat(names[0], int(names[1]), float(now))
        elif kind == 'broken':
            member.link_lost(names[0], float(now))
        elif kind == 'opened':
            member.link_opened(names[0], float(now))
        elif kind == 'list':
            member.hosts_listed(_infos(*names), float(now))
        elif kind == 'sends':
            context.found += [f'{now} to {n}' for n in member.neighbours()]
        else:
            context.found += [
                f'{now} {sign}{change.name}'
                for change in member.changes(float(now))
                for kind, sign in (
                    (membership.HostDown, '-'),
                    (membership.HostUp, '+'),
                )
                if isinstance(change, kind)
            ]


@behave.then('host a1 reports "{changes}"')
def reports_changes(context, changes):
    assert ', '.join(context.found) == changes, context.found


@behave.then('host a1 reports ""')
def reports_nothing(context):
    assert not context.found, context.found


@behave.given('{count:d} hosts in each of 3 data centres')
def given_hosts(context, count):
    names = [f'{centre}{i}' for centre in DATA_CENTRES for i in range(count)]
    context.members = {n: membership.Membership(n, n[0]) for n in names}
    for member in context.members.values():
        member.hosts_listed(_infos(*names), 0.0)
    context.now = 0.0
    freeze(context, 0, 2)


@behave.when('{count:d} hosts of each data centre freeze for {duration:d} s')
def freeze(context, count, duration):
    orders = [_order(context, centre) for centre in DATA_CENTRES]
    frozen = {name for order in orders for name in order[:count]}
    context.live = sorted(context.members.keys() - frozen)
    for _ in range(round(duration / STEP_S)):
        context.now += STEP_S
        for name in context.live:
            for other in context.members[name].neighbours():
                if other in context.live:
                    context.members[other].heartbeat(name, 1, context.now)
        for name in context.live:
            context.members[name].changes(context.now)


@behave.then('live hosts agree on their relay and relays on all relays')
def agree(context):
    expected = {
        c: next(n for n in _order(context, c) if n in context.live)
        for c in DATA_CENTRES
    }
    for name in context.live:
        relay = context.members[name].relay
        known = DATA_CENTRES if name in expected.values() else name[0]
        for centre in known:
            found = relay(centre, context.now)
            assert found == expected[centre], (name, centre, found)


@behave.then(
    'hosts other than relay candidates have at most {most:d} neighbours'
)
def few_neighbours(context, most):
    for name in context.live:
        if not neighbours.is_candidate(_order(context, name[0]), name):
            found = context.members[name].neighbours()
            assert len(found) <= most, found


def _infos(*names):
    return [
        membership.HostInfo(name, name[0], '127.0.0.1:1') for name in names
    ]


def _order(context, centre):
    names = (name for name in context.members if name[0] == centre)
    return neighbours.relay_order(names)
