"""Steps for the reuse of idle connections to servers."""

from __future__ import annotations

import collections
import random

import behave

from radishferry.direct import idle_limit

#: Seconds from a send on a dropped connection to its reset.
RESET_AFTER_S = 0.002


@behave.given(
    'connections to servers that are dropped after {idle_s:g} idle seconds'
)
def dropping(context, idle_s):
    context.now = 100.0
    context.limit = idle_limit.IdleLimit()
    context.dropped_after_s = idle_s


@behave.when(
    'lookups and payments come {least_s:g} to {most_s:g} seconds apart '
    'for {seconds:g} seconds'
)
def requests_come(context, least_s, most_s, seconds):
    rng = random.Random(7)
    context.lost = collections.Counter()
    end = context.now + seconds
    while context.now < end:
        context.now += rng.uniform(0.0, 0.1)
        is_idempotent = rng.random() < 0.7
        idle_s = rng.uniform(least_s, most_s)
        if idle_s > context.limit.limit_s(is_idempotent, context.now):
            continue
        if idle_s > context.dropped_after_s:
            context.lost[is_idempotent] += 1
            context.limit.note_reset(idle_s, RESET_AFTER_S, context.now)


@behave.given('a connection that was lost after {idle_s:g} idle second')
def lost(context, idle_s):
    context.now = 100.0
    context.limit = idle_limit.IdleLimit()
    assert context.limit.note_reset(idle_s, RESET_AFTER_S, context.now)
    assert context.limit.limit_s(False, context.now) < idle_s


@behave.given(
    'a connection of {idle_s:g} idle second that broke {took_s:g} seconds '
    'after a send'
)
def broke(context, idle_s, took_s):
    context.now = 100.0
    context.limit = idle_limit.IdleLimit()
    assert not context.limit.note_reset(idle_s, took_s, context.now)


@behave.when('{seconds:g} seconds pass without a loss')
def pass_without_loss(context, seconds):
    context.now += seconds


@behave.then('connections of {idle_s:g} idle seconds are reused for payments')
def reused(context, idle_s):
    assert context.limit.limit_s(False, context.now) >= idle_s


@behave.then('at most {count:d} payments are lost')
def payments_lost(context, count):
    assert context.lost[False] <= count, context.lost


@behave.then('at most {count:d} lookups are lost')
def lookups_lost(context, count):
    assert 0 < context.lost[True] <= count, context.lost
