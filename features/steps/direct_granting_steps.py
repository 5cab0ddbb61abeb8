"""Steps for granting keys to servers."""

from __future__ import annotations

import random
from unittest import mock

import behave

import grant_world
import load_fixtures
from radishferry.direct import granting
from radishferry.direct import key_map
from radishferry.direct import managed_range
from radishferry.direct import registry
from radishferryd import http_client
from radishferryd.router import link_monitor
from radishferryd.router import orders

#: A2 is the incarnation of A after a restart under the same id.
_INCARNATIONS = {'A': ('A', 1), 'B': ('B', 1), 'A2': ('A', 2)}


def _due(context):
    return context.granter.due(context.now)


def _grants(context):
    return [o for o in _due(context) if isinstance(o, granting.Grant)]


@behave.then(
    '{count:d} random sequences of {steps:d} grant faults keep one holder for '
    'each key'
)
def random_sequences(context, count, steps):
    for seed in range(count):
        grant_world.World(random.Random(seed)).run(steps)


@behave.given('keys {start:d} to {end:d} are owned by server {name:w}')
def owned(context, start, end, name):
    context.now = 100.0
    context.granter = granting.KeyGranter('s', 10.0)
    context.granter.commit([(start, end, _INCARNATIONS[name])], 7, context.now)
    (order,) = _due(context)
    context.granter.note_pending(order, context.now)
    context.granter.note_sent(order, context.now)
    assert context.granter.note_granted(order, context.now, context.now)


@behave.given(
    'a row in which keys {start:d} to {end:d} of server {owner:w} may be '
    'held by server {other:w}'
)
def row(context, start, end, owner, other):
    context.row = [
        key_map.Segment(
            start, end, _INCARNATIONS[owner], 9, (_INCARNATIONS[other],)
        )
    ]


@behave.when('a granting host takes over the row')
def take_over(context):
    context.now = 100.0
    context.granter = granting.KeyGranter('s', 10.0)
    context.granter.load(context.row, 9, context.now)


@behave.when('keys {start:d} to {end:d} are moved to server {name:w}')
def moved(context, start, end, name):
    context.granter.commit([(start, end, _INCARNATIONS[name])], 9, context.now)


@behave.when('server {name:w} does not answer the release')
def no_answer(context, name):
    (order,) = _due(context)
    assert order.incarnation == _INCARNATIONS[name]
    context.granter.note_pending(order, context.now)
    context.granter.note_release_failed(order, context.now, was_sent=True)


@behave.when('server {name:w} releases them with state "{token}"')
def released(context, name, token):
    assert context.order.incarnation == _INCARNATIONS[name]
    context.granter.note_released(context.order, token)


@behave.when('server {name:w} is proved to have ended')
def ended(context, name):
    assert context.granter.note_ended(_INCARNATIONS[name])


@behave.then('server {name:w} is asked to release keys {start:d} to {end:d}')
def asked(context, name, start, end):
    (order,) = _due(context)
    assert isinstance(order, granting.Release)
    assert order.incarnation == _INCARNATIONS[name]
    assert (order.segment.start, order.segment.end) == (start, end)
    context.granter.note_pending(order, context.now)
    context.order = order


@behave.then('no grant is due')
def no_grant(context):
    assert not _grants(context)


@behave.then('no grant is due for {seconds:g} seconds')
def no_grant_for(context, seconds):
    end = context.now + seconds
    while context.now < end:
        assert not _grants(context), context.now
        context.now += 0.05


@behave.then(
    'server {name:w} is granted keys {start:d} to {end:d} after {seconds:g} '
    'seconds'
)
def granted_after(context, name, start, end, seconds):
    context.now = 100.0 + seconds
    (order,) = _grants(context)
    assert order.segment == key_map.Segment(start, end, _INCARNATIONS[name], 9)


@behave.then(
    'server {name:w} is granted keys {start:d} to {end:d} with state "{token}"'
)
def granted(context, name, start, end, token):
    (order,) = _grants(context)
    assert order.segment == key_map.Segment(start, end, _INCARNATIONS[name], 9)
    assert order.handover == token, order.handover


@behave.then(
    'server {name:w} is granted keys {start:d} to {end:d} with state ""'
)
def granted_without(context, name, start, end):
    granted(context, name, start, end, '')


@behave.then('server {name:w} may not get keys {start:d} to {end:d}')
def may_not_get(context, name, start, end):
    assert not context.granter.may_assign(
        _INCARNATIONS[name], start, end, context.now
    )


@behave.then('server {name:w} may get keys {start:d} to {end:d}')
def may_get(context, name, start, end):
    assert context.granter.may_assign(
        _INCARNATIONS[name], start, end, context.now
    )


@behave.then(
    'server {name:w} may get keys {start:d} to {end:d} after {seconds:g} '
    'seconds'
)
def may_get_after(context, name, start, end, seconds):
    now = context.now + seconds
    assert context.granter.may_assign(_INCARNATIONS[name], start, end, now)


@behave.given(
    'a renewal of keys {start:d} to {end:d} is in flight to server {name:w}'
)
def in_flight(context, start, end, name):
    context.now += granting.RENEW_S
    (order,) = _grants(context)
    assert order.segment.owner == _INCARNATIONS[name]
    context.granter.note_pending(order, context.now)
    context.granter.note_sent(order, context.now)
    context.renewal = order
    context.sent_at = context.now


@behave.when('{seconds:g} seconds pass and server A accepts the renewal')
def takes_renewal(context, seconds):
    context.now += seconds
    context.granter.note_granted(context.renewal, context.sent_at, context.now)


@behave.when(
    'keys {start:d} to {end:d} of {first:d} to {last:d} are moved to server B'
)
def part_moved(context, start, end, first, last):
    layout = [
        (first, start - 1, _INCARNATIONS['A']),
        (start, last, _INCARNATIONS['B']),
    ]
    context.granter.commit(layout, 9, context.now)


@behave.then(
    'server A is granted keys {start:d} to {end:d} again after {seconds:g} '
    'seconds'
)
def granted_again(context, start, end, seconds):
    context.now += seconds
    found = [
        (order.segment.start, order.segment.end)
        for order in _grants(context)
        if order.segment.owner == _INCARNATIONS['A']
    ]
    assert found == [(start, end)], found


@behave.given(
    'a row in which server {other:w} may hold keys {start:d} to {end:d} of '
    'server {owner:w} for {seconds:g} seconds more'
)
def row_with_end(context, other, start, end, owner, seconds):
    row(context, start, end, owner, other)
    context.row_ends = ((100.0 + seconds,),)


@behave.when(
    'a granting host takes over the row {seconds:g} seconds after the last '
    'order of the previous one'
)
def take_over_late(context, seconds):
    context.now = 100.0
    context.granter = granting.KeyGranter('s', 10.0)
    context.granter.load(
        context.row,
        9,
        context.now,
        ordered_until=context.now - seconds,
        ends=getattr(context, 'row_ends', ()),
    )


@behave.when(
    '{count:d} grants to server {name:w} fail within {seconds:g} seconds'
)
def grants_fail(context, count, name, seconds):
    context.now += granting.RENEW_S
    for _ in range(count):
        (order,) = _grants(context)
        assert order.segment.owner == _INCARNATIONS[name]
        context.granter.note_pending(order, context.now)
        context.granter.note_sent(order, context.now)
        context.granter.note_grant_failed(order, context.now, was_sent=False)
        context.now += seconds / count


@behave.when('keys {start:d} to {end:d} are proposed for server {name:w}')
def proposed(context, start, end, name):
    layout = [(start, end, _INCARNATIONS[name])]
    _, context.ends = context.granter.propose(layout, context.now)


@behave.then(
    'each lease granted in the next {seconds:g} seconds ends as proposed'
)
def holds_end(context, seconds):
    ((end_at,),) = context.ends
    until = context.now + seconds
    context.granted = 0
    while context.now < until:
        for order in _grants(context):
            context.granter.note_pending(order, context.now)
            assert context.granter.is_current(order, context.now)
            context.granter.note_sent(order, context.now)
            arrives_at = context.now + managed_range.ARRIVAL_S
            hold_s = order.hold_s * managed_range.SLOW_CLOCK
            assert arrives_at + hold_s <= end_at, (order, end_at)
            context.granter.note_granted(order, context.now, context.now)
            context.granted += 1
        context.now += 0.1


@behave.then('at least {count:d} grants were given')
def were_granted(context, count):
    assert context.granted >= count, context.granted


@behave.then('no grant was given')
def none_granted(context):
    assert not context.granted, context.granted


@behave.when(
    'the granting host resumes after lost rows {seconds:g} seconds later'
)
def resumed(context, seconds):
    context.now += seconds
    context.granter.resume(context.now)


@behave.then(
    'server A is granted keys {start:d} to {end:d} with its former token'
)
def granted_as_before(context, start, end):
    (order,) = _grants(context)
    assert order.segment == key_map.Segment(start, end, _INCARNATIONS['A'], 7)


@behave.when('server A rejects the next grant as stale')
def rejected(context):
    (order,) = _grants(context)
    context.granter.note_pending(order, context.now)
    context.granter.note_sent(order, context.now)
    context.granter.note_grant_failed(
        order, context.now, was_sent=False, is_stale=True
    )


@behave.when('keys {start:d} to {end:d} are written again for server A')
def written_again(context, start, end):
    assert context.granter.rejected_ranges()
    context.granter.commit([(start, end, _INCARNATIONS['A'])], 9, context.now)


class _Client:
    """Record the calls to a server; the test answers them."""

    def __init__(self):
        self.calls = []

    def call(self, method, target, body, deadline_s, done, needs_proof=False):
        self.calls.append((target, body, done))

    def close(self):
        """Do nothing."""


@behave.given(
    'a server with {count:d} renewals that are queued behind slow ones'
)
def waiting_renewals(context, count):
    context.scheduler = load_fixtures.Scheduler()
    now = context.scheduler.now()
    context.client = _Client()
    patch = mock.patch.object(
        orders.http_client, 'JsonClient', lambda *_, **__: context.client
    )
    patch.start()
    context.add_cleanup(patch.stop)
    context.order_sender = orders.OrderSender(
        None,
        context.scheduler,
        None,
        lambda order: True,
        lambda: None,
        lambda server: None,
        link_monitor.LinkMonitor(None, context.scheduler, registry.Registry()),
    )
    context.server = registry.Server(
        'A', 1, 's', ('127.0.0.1', 1), 'x', 4, False
    )
    total = orders.MAX_PARALLEL + count
    context.layout = [(n, n, _INCARNATIONS['A']) for n in range(total)]
    context.granter = granting.KeyGranter('s', 10.0)
    context.granter.commit(context.layout, 7, now)
    for order in context.granter.due(now):
        context.granter.note_pending(order, now)
        context.granter.note_sent(order, now)
        context.granter.note_granted(order, now, now)
    context.scheduler.advance(granting.RENEW_S)
    for order in context.granter.due(context.scheduler.now()):
        context.order_sender.send(order, context.server, context.granter)
    assert len(context.client.calls) == orders.MAX_PARALLEL


@behave.when('its keys are moved to another server')
def moved_elsewhere(context):
    context.layout = [(n, n, _INCARNATIONS['B']) for n, _, _ in context.layout]
    context.granter.commit(context.layout, 9, context.scheduler.now())


def _answer_all(context):
    while context.client.calls:
        target, body, done = context.client.calls.pop(0)
        context.sent.append((target, body['start_key']))
        done(http_client.JsonResponse(200, {}, 0.0, 0.0))
        context.scheduler.advance(0.01)


@behave.when('the slow renewals are answered')
def slow_answered(context):
    context.sent = []
    context.scheduler.advance(0.5)
    _answer_all(context)


@behave.then('the server gets none of the queued renewals')
def none_sent(context):
    assert len(context.sent) == orders.MAX_PARALLEL, context.sent


@behave.then('the server is asked to release all of its keys')
def all_released(context):
    context.sent = []
    now = context.scheduler.now()
    for order in context.granter.due(now):
        assert isinstance(order, granting.Release), order
        context.order_sender.send(order, context.server, context.granter)
    _answer_all(context)
    assert sorted(context.sent) == [
        ('/api/release', n) for n, _, _ in context.layout
    ], context.sent


@behave.when('server A has restarted under the same id')
def started_again(context):
    found = registry.Registry()
    found.apply(
        [
            registry.Server(
                *_INCARNATIONS['A2'], 's', ('127.0.0.1', 1), 'x', 4, False
            )
        ],
        context.now,
    )
    successor = found.successor(_INCARNATIONS['A'])
    assert successor == _INCARNATIONS['A2']
    assert context.granter.note_ended(_INCARNATIONS['A'], successor)


@behave.then(
    'the new incarnation of server A is asked to release keys {start:d} to '
    '{end:d}'
)
def new_incarnation_asked(context, start, end):
    (order,) = _due(context)
    assert isinstance(order, granting.Release)
    assert order.incarnation == _INCARNATIONS['A2']
    assert (order.segment.start, order.segment.end) == (start, end)
