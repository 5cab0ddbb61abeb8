"""Steps for the grants of keys."""

from __future__ import annotations

import random

import behave

import grant_world
from radishferry.direct import granting
from radishferry.direct import key_map

_LIVES = {'A': ('A', 1), 'B': ('B', 1)}


def _due(context):
    return context.granter.due(context.now)


def _grants(context):
    return [o for o in _due(context) if isinstance(o, granting.Grant)]


@behave.then(
    '{count:d} random sequences of {steps:d} grant faults keep one holder a '
    'key'
)
def random_sequences(context, count, steps):
    for seed in range(count):
        grant_world.World(random.Random(seed)).run(steps)


@behave.given('keys {start:d} to {end:d} are owned by server {name:w}')
def owned(context, start, end, name):
    context.now = 100.0
    context.granter = granting.KeyGranter('s', 10.0)
    context.granter.commit([(start, end, _LIVES[name])], 7, context.now)
    (order,) = _due(context)
    context.granter.note_pending(order, context.now)
    assert context.granter.note_granted(order, context.now, context.now)


@behave.given(
    'a row in which keys {start:d} to {end:d} of server {owner:w} may be '
    'held by server {other:w}'
)
def row(context, start, end, owner, other):
    context.row = [
        key_map.Segment(start, end, _LIVES[owner], 8, (_LIVES[other],))
    ]


@behave.when('a granting host takes the row over')
def take_over(context):
    context.now = 100.0
    context.granter = granting.KeyGranter('s', 10.0)
    context.granter.load(context.row, 9, context.now)


@behave.when('keys {start:d} to {end:d} are planned for server {name:w}')
def planned(context, start, end, name):
    context.granter.commit([(start, end, _LIVES[name])], 9, context.now)


@behave.when('server {name:w} does not answer the release')
def no_answer(context, name):
    (order,) = _due(context)
    assert order.life == _LIVES[name]
    context.granter.note_pending(order, context.now)
    context.granter.note_release_failed(order, context.now, was_sent=True)


@behave.when('server {name:w} releases them with state "{token}"')
def released(context, name, token):
    assert context.order.life == _LIVES[name]
    context.granter.note_released(context.order, token)


@behave.when('server {name:w} is proved to be over')
def ended(context, name):
    assert context.granter.note_ended(_LIVES[name])


@behave.then('server {name:w} is asked to release keys {start:d} to {end:d}')
def asked(context, name, start, end):
    (order,) = _due(context)
    assert isinstance(order, granting.Release)
    assert order.life == _LIVES[name]
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
    assert order.segment == key_map.Segment(start, end, _LIVES[name], 9)


@behave.then(
    'server {name:w} is granted keys {start:d} to {end:d} with state "{token}"'
)
def granted(context, name, start, end, token):
    (order,) = _grants(context)
    assert order.segment == key_map.Segment(start, end, _LIVES[name], 9)
    assert order.handover == token, order.handover


@behave.then(
    'server {name:w} is granted keys {start:d} to {end:d} with state ""'
)
def granted_without(context, name, start, end):
    granted(context, name, start, end, '')


@behave.then('server {name:w} may not get keys {start:d} to {end:d}')
def may_not_get(context, name, start, end):
    assert not context.granter.may_give(_LIVES[name], start, end, context.now)


@behave.then('server {name:w} may get keys {start:d} to {end:d}')
def may_get(context, name, start, end):
    assert context.granter.may_give(_LIVES[name], start, end, context.now)


@behave.then(
    'server {name:w} may get keys {start:d} to {end:d} after {seconds:g} '
    'seconds'
)
def may_get_after(context, name, start, end, seconds):
    now = context.now + seconds
    assert context.granter.may_give(_LIVES[name], start, end, now)
