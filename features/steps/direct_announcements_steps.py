"""Steps for the announcements of servers in their responses."""

from __future__ import annotations

import dataclasses
import types

import behave
import hub_fixtures
import load_fixtures

from radishferry.direct import announcements
from radishferry.direct import capacities
from radishferry.direct import pause_shares
from radishferry.direct import registry
from radishferry.direct import selection
from radishferryd import http_client
from radishferryd import http_message
from radishferryd.gen.router import ttypes
from radishferryd.platform import headers
from radishferryd.platform import orders
from radishferryd.router import crashes
from radishferryd.router import hub as hub_module
from radishferryd.router import knowledge as knowledge_module
from radishferryd.router import links

#: 2026-12-04 12:00:00 UTC, the date of the responses in these scenarios.
_CLOCK_S = 1796385600.0
_DATE = 'Fri, 04 Dec 2026 12:00:00 GMT'
_SERVERS = {
    name: registry.Server(
        name, 1000, 'stock', ('10.0.0.1', port), 'x', 4, False
    )
    for name, port in (('a', 1), ('b', 2))
}


@behave.when('a server answers {status:d} with Retry-After "{text}"')
def answers_with_retry_after(context, status, text):
    context.head = http_message.Head(
        '',
        '',
        status,
        ((headers.RETRY_AFTER, text), (headers.DATE, _DATE)),
        True,
    )


@behave.then('it asks for a pause of {pause}')
def asks_for_pause(context, pause):
    expected = None if pause == 'none' else float(pause)
    # The clock of the host is wrong; the Date header of the response is used.
    found = headers.retry_after_s(context.head, _CLOCK_S - 3600)
    assert found == expected, found


@behave.then('its announcement is malformed')
def malformed(context):
    try:
        found = headers.retry_after_s(context.head, _CLOCK_S)
    except ValueError:
        return
    raise AssertionError(found)


@behave.given('a server that has asked for a pause of {seconds:g} seconds')
def asked_for_pause(context, seconds):
    context.stats = selection.ServerStats(6)
    context.stats.note_sent(100.0)
    context.stats.note_requested_pause(seconds, 100.0)


@behave.when('it answers an earlier request')
def answers_earlier(context):
    context.stats.note_answer(0.1, 0, 100.2)


@behave.then('it is paused after {seconds:g} seconds')
def is_paused(context, seconds):
    assert context.stats.is_paused(100.0 + seconds)


@behave.then('it is not paused after {seconds:g} seconds')
def is_not_paused(context, seconds):
    assert not context.stats.is_paused(100.0 + seconds)


def _create_routing_state(context, servers):
    context.scheduler = load_fixtures.Scheduler()
    context.routing_state = knowledge_module.RoutingState(
        context.scheduler.now
    )
    context.changes = []
    context.routing_state.on_servers.append(context.changes.append)
    if servers:
        _apply_servers(context, servers)


def _apply_servers(context, servers):
    context.scheduler.advance(1.0)
    context.routing_state.apply_servers(
        servers, context.scheduler.now(), 'the store'
    )


@behave.given('a host that knows servers a and b')
def knows(context):
    _create_routing_state(context, _SERVERS.values())


@behave.given('a host that knows no servers')
def knows_none(context):
    _create_routing_state(context, ())


@behave.when('a response of server a announces that it is leaving')
def announces_leaving(context):
    incarnation = _SERVERS['a'].incarnation
    context.routing_state.note_leaving(incarnation, 0.0, 'an answer')
    (found,) = context.changes[-1].leaving
    assert found.incarnation == incarnation, found


@behave.when('another host reports that server a is leaving')
def reported(context):
    context.routing_state.note_leaving(_SERVERS['a'].incarnation, 0.2, 'host2')


@behave.when('the list of servers is read again')
def read_again(context):
    _apply_servers(context, _SERVERS.values())


@behave.when('the entry of server a is missing in one reading')
def missing_once(context):
    _apply_servers(context, [_SERVERS['b']])
    _apply_servers(context, _SERVERS.values())


@behave.when('server a is replaced by {what}')
def replaced(context, what):
    changes = (
        {'born_ms': 2000}
        if 'same id' in what
        else {'server_id': 'c', 'born_ms': 2000}
    )
    context.new = dataclasses.replace(_SERVERS['a'], **changes)
    _apply_servers(context, [context.new, _SERVERS['b']])


def _usable(context):
    return context.routing_state.registry.usable('stock')


@behave.then('only server b is usable')
def only_b_usable(context):
    assert _usable(context) == [_SERVERS['b']], _usable(context)


@behave.then('the new server is usable')
def new_usable(context):
    assert context.new in _usable(context), _usable(context)


@behave.given(
    'a host that was told of a pause of {seconds:g} seconds by server a'
)
def told_pause(context, seconds):
    context.now = 100.0
    context.announcements = announcements.Announcements()
    context.announcements.note_pause(('a', 1), seconds, context.now)


@behave.given('it was told that server b is leaving')
def told_leaving(context):
    assert context.announcements.note_leaving(('b', 1), context.now)
    assert not context.announcements.note_leaving(('b', 1), context.now)


@behave.then('its report names "{names}"')
@behave.then('its report names ""')
def report_names(context, names=''):
    context.notices = context.announcements.take_new(context.now)
    found = ', '.join(
        f'{n.incarnation[0]} {"leaving" if n.is_leaving else "paused"}'
        for n in context.notices
    )
    assert found == names, found


@behave.when('it finds a new granting host {seconds:g} seconds later')
def new_granting_host(context, seconds):
    context.now += seconds
    context.announcements.resend_all()


@behave.then(
    'the pause of server a is reported with {left:g} seconds left, '
    '{age:g} seconds old'
)
def reported_left(context, left, age):
    notice = context.notices[0]
    assert (notice.pause_s, notice.age_s) == (left, age), notice


@behave.given('a host that was told that {count:d} servers are leaving')
def told_many(context, count):
    context.announcements = announcements.Announcements()
    for number in range(count):
        context.announcements.note_leaving((f'i-{number}', 1), number)


@behave.then('its report names at most {count:d} servers')
def names_at_most(context, count):
    assert len(context.announcements.take_new(6000.0)) <= count
    context.announcements.resend_all()
    assert len(context.announcements.take_new(6000.0)) <= count


@behave.given(
    '{hosts:d} hosts of which {told:d} were told of a pause of {seconds:g} '
    'seconds by server a'
)
def hosts_told(context, hosts, told, seconds):
    context.now = 100.0
    context.hosts = hosts
    context.told = told
    context.shares = pause_shares.PauseShares()
    _note_pauses(context, told, seconds)


def _note_pauses(context, count, seconds):
    for number in range(count):
        context.shares.note(('a', 1), f'host{number}', context.now + seconds)


@behave.when(
    '{passed:g} seconds pass and {count:d} hosts are told of a pause of '
    '{seconds:g} seconds'
)
def pass_and_tell(context, passed, count, seconds):
    context.now += passed
    _note_pauses(context, count, seconds)


@behave.then('server a is paused for {share:d} in 100 hosts')
def paused_for(context, share):
    found = context.shares.share(('a', 1), context.hosts, context.now)
    assert found == share / 100, found


@behave.then('server a is counted with {share:d} in 100 of its capacity')
def counted_with(context, share):
    found = capacities.Capacities()
    server = dataclasses.replace(_SERVERS['a'], born_ms=1)
    (full,) = found.estimate([server], context.hosts, context.now)
    for number in range(context.told):
        found.note_pause(server.incarnation, f'host{number}', 4.0, context.now)
    (reduced,) = found.estimate([server], context.hosts, context.now)
    assert round(reduced.per_s / full.per_s, 3) == share / 100, (reduced, full)


@behave.given(
    'a server that announces in answers to orders that it is leaving'
)
def orders_announce_leaving(context):
    class Client:
        def call(
            self, method, target, body, timeout_s, done, needs_proof=False
        ):
            done(
                http_client.JsonResponse(
                    context.status, {}, 0.0, 0.0, ((headers.LEAVING, '1'),)
                )
            )

    context.client = Client()


@behave.then('the granting host is told that it is leaving')
def granting_told(context):
    segment = types.SimpleNamespace(start=0, end=1, fence=1)
    for context.status in (200, 409):
        results = []
        orders.grant(
            context.client, 'a', segment, 4.0, '', 1.0, results.append
        )
        orders.release(context.client, 'a', segment, 1.0, results.append)
        assert all(result.is_leaving for result in results), results


class _Ownership(hub_fixtures.Ownership):
    """Record the load that the hub reports."""

    keys = None

    def note_load(self, keys, speeds):
        self.keys = keys


@behave.given('a load report without announcements')
def old_report(context):
    context.report = ttypes.LoadReport({'stock': [1]}, [], [])


@behave.then('the granting host accepts it')
def accepts_report(context):
    scheduler = load_fixtures.Scheduler()
    ownership = _Ownership()
    hub = hub_module.Hub(
        scheduler,
        knowledge_module.RoutingState(scheduler.now),
        ownership,
        crashes.CrashCounts(),
        1000.0,
        hub_fixtures.directory(scheduler),
    )
    link = links.Link(scheduler, hub)
    hub.link_message(link, 'load_report', context.report)
    assert ownership.keys == {'stock': [1]}


@behave.given('a granting host that is told of {count:d} servers in turn')
def told_of_many(context, count):
    context.shares = pause_shares.PauseShares()
    context.capacities = capacities.Capacities()
    for number in range(count):
        context.shares.note((f's{number}', 1), 'host0', 200.0)
        context.capacities.note_limit((f's{number}', 1), 3.0, 100.0)


@behave.then('it knows the pauses and limits of the last {count:d} of them')
def knows_last(context, count):
    for known in (context.shares._pause_ends, context.capacities._limits):
        assert len(known) == count and ('s4999', 1) in known, len(known)
