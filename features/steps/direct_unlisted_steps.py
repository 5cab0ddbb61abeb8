"""Steps for servers whose entries vanish and return."""

from __future__ import annotations

import dataclasses

import behave
import load_fixtures
import socket_fixtures

from radishferry.direct import registry
from radishferryd.router import backends
from radishferryd.router import connections

_SERVER = registry.Server('a', 1, 'stock', ('127.0.0.1', 1), 'x', 4, False)


@behave.given('a host with a server that has asked for {request}')
def host_with_request(context, request):
    _create(context, [_SERVER])
    now = context.scheduler.now()
    stats = context.backends.stats(_SERVER)
    words = request.split()
    what, amount = words[1], float(words[3])
    if what == 'pause':
        stats.note_requested_pause(amount, now)
    elif what == 'limit':
        stats.note_limit(amount, 1, now)
    else:
        stats.limit_while_cold(1.0, 1, now + amount, now)


def _create(context, servers):
    context.scheduler = load_fixtures.Scheduler()
    context.backends = backends.Backends(None, context.scheduler)
    context.servers = servers
    for server in servers:
        context.backends.get(server)
    context.backends.keep(servers)


@behave.given('a host with {count:d} servers that have asked for limits')
def host_with_many(context, count):
    servers = [
        dataclasses.replace(_SERVER, server_id=f's{number}')
        for number in range(count)
    ]
    _create(context, servers)
    for server in servers:
        context.backends.stats(server).note_limit(3.0, 1, 100.0)


@behave.given('a host with a server that handles a request')
def host_with_attempt(context):
    _create(context, [_SERVER])
    with socket_fixtures.replace_connections() as opened:
        backend = context.backends.get(_SERVER)
        context.attempt = connections.Attempt(backend, 'r1', 'GET', None, b'r')
        assert backend.send(context.attempt, True)
        opened[0].handler.connected(opened[0])


@behave.when('the entry of the server is missing for {seconds:g} seconds')
@behave.when('the entries of all servers are missing for {seconds:g} seconds')
def missing(context, seconds):
    context.backends.keep([])
    context.scheduler.advance(seconds)
    context.backends.close_old()
    context.backends.keep(context.servers[:1])


@behave.when('the entry of the server is missing until the request has ended')
def missing_until_ended(context):
    context.backends.keep([])
    context.attempt.cancel()
    context.backends.close_old()


@behave.when('{seconds:d} seconds pass and idle connections are closed')
def time_passes(context, seconds):
    context.backends.keep([])
    context.scheduler.advance(seconds + 1)
    context.backends.close_old()


@behave.when('the server restarts under its id')
def restarts(context):
    context.backends.keep([])
    context.servers = [dataclasses.replace(_SERVER, born_ms=2)]
    context.backends.keep(context.servers)


@behave.then('it may get requests')
def may_get_requests(context):
    stats = context.backends.stats(context.servers[0])
    assert not stats.is_restricted(context.scheduler.now())


@behave.then('the server is known to have asked for {what}')
def is_known(context, what):
    now = context.scheduler.now()
    stats = context.backends.stats(_SERVER)
    found = {
        'a pause of 15 s': lambda: stats.requested_pause_s(now) == 15.0,
        'a limit of 3 a s': lambda: stats.limit_per_s == 3.0,
        'a warm-up of 4 s': lambda: (
            stats.permit_wait_s(now - 5.0) > 0 and stats.is_restricted(now)
        ),
        'a single probe': lambda: _is_paused_by_request(stats, now),
    }[what]()
    assert found, stats


def _is_paused_by_request(stats, now):
    was_paused = stats.is_paused(now)
    stats.note_sent(now)
    return stats.is_paused(now) and not was_paused


@behave.then('the request and its connection count')
def request_counts(context):
    backend = context.backends.get(_SERVER)
    assert backend.stats.in_flight == 1 and backend.open_connections == 1


@behave.then('the limits of {count:d} servers are kept')
def limits_kept(context, count):
    found = [b for b in context.backends if b.stats.limit_per_s]
    assert len(found) == count, len(found)


@behave.then('nothing is kept of the server')
@behave.then('nothing is kept of the servers')
def nothing_kept(context):
    assert not list(context.backends)
