"""Steps for granting hosts that reach no server."""

from __future__ import annotations

import types

import behave
import direct_term_steps
import load_fixtures
import store_fixtures

from radishferry.direct import leadership
from radishferryd.router import hand_over
from radishferryd.router import store_reader


class _Store(store_fixtures.Store):
    """Count how often leadership was released."""

    releases = 0

    def put(self, table, key, value):
        super().put(table, key, value)
        self.releases += not leadership.decode(value).host


def _prepare(context):
    context.time = load_fixtures.Scheduler()
    context.store = _Store(context.time)
    context.host = store_fixtures.Host()
    context.elector = direct_term_steps.make_elector(
        context.time, context.store, context.host, 'a', 1000.0
    )
    context.elector.poll_soon()
    _advance(context, 0.5)
    assert context.elector.holds
    context.others = []


def _advance(context, seconds):
    for _ in range(round(seconds * 10)):
        context.time.advance(0.1)
        context.elector.tick()
        for other in getattr(context, 'others', ()):
            other.tick()


@behave.given('a granting host and another host that {state}')
def granting_host(context, state):
    _prepare(context)
    host = store_fixtures.Host()
    other = direct_term_steps.make_elector(
        context.time, context.store, host, 'b', 1000.0
    )
    # A host that has resigned closes the links of hosts that still find it.
    host.granter_found = lambda term: context.time.call_later(
        0.005, other.poll_soon
    )
    context.others.append(other)
    context.links = types.SimpleNamespace(lost_s=0.0)
    context.silent_s = None
    context.hand_over = hand_over.HandOver(
        context.links,
        types.SimpleNamespace(has_reaching_host=state == 'reaches servers'),
        context.elector,
        types.SimpleNamespace(is_active=True, has_usual_holds=True),
        # The links to the other hosts end with the term.
        other.poll_soon,
    )


@behave.given('a granting host and no other host')
def single_host(context):
    _prepare(context)


@behave.given('the store has not answered for {seconds:g} seconds')
def store_silent(context, seconds):
    context.elector._renewed_at = context.time.now() - seconds


@behave.when('the granting host has reached no server for {seconds:g} seconds')
def isolated(context, seconds):
    context.links.lost_s = seconds
    context.host.loses_links()
    context.hand_over.check()


@behave.then('it releases leadership')
def released(context):
    assert not context.elector.holds


@behave.then('it keeps leadership')
def kept(context):
    assert context.elector.holds


@behave.then('the other host has leadership within {seconds:g} seconds')
def other_holds(context, seconds):
    _advance(context, seconds)
    assert context.others[0].holds


@behave.given(
    '{times:d} times {isolated:d} hosts that reach no server and '
    '{reaching:d} that {verb}'
)
def candidates(context, times, isolated, reaching, verb):
    context.times = times
    context.bandwidths = [1000.0] * (isolated + reaching)
    context.reaching = [False] * isolated + [True] * reaching


@behave.then('each time the last host grants')
def last_grants(context):
    found = [[host.is_granter for host in hosts] for hosts in context.runs]
    assert found == [context.reaching] * context.times, found


@behave.when('it resigns and {seconds:g} seconds pass')
def resigns(context, seconds):
    context.elector.resign(True)
    context.host.is_granter = False
    assert not context.elector.holds
    _advance(context, seconds)


@behave.then('it has leadership again')
def holds_again(context):
    assert context.elector.holds
    assert context.host.is_granter


@behave.then('it has released leadership once')
def released_once(context):
    assert context.store.releases == 1, context.store.releases


@behave.when('it resigns while a renewal is in progress')
def resigns_during_renewal(context):
    context.time.advance(leadership.RENEW_S)
    context.elector.tick()
    assert context.elector._is_call_in_flight
    context.elector.resign(True)
    context.time.advance(0.02)


@behave.then('the row of the store names no granting host')
def row_is_free(context):
    row = context.store.rows[store_reader.OWN_TABLE, store_reader.TERM_KEY]
    term = leadership.decode(row.value)
    assert not term.host and term.has_usual_holds, term
