"""Steps for the detection of lost links, without a network."""

from __future__ import annotations

import behave
import load_fixtures
import socket_fixtures

from radishferry.direct import registry
from radishferryd.router import link_monitor


@behave.fixture
def network(context):
    """Replace network connections by sockets under the test's control."""
    with socket_fixtures.replace_connections() as opened:
        yield opened


@behave.fixture
def accepting_network(context):
    """Let servers accept all connections."""
    with socket_fixtures.accept_connections():
        yield


def _server(name):
    return registry.Server(name, 1, 's', ('127.0.0.1', 1), 'x', 4, False)


@behave.given('a host that servers "{names}" answered {ago_s:g} seconds ago')
def answered_host(context, names, ago_s):
    context.sockets = behave.use_fixture(network, context)
    context.scheduler = load_fixtures.Scheduler()
    servers = registry.Registry()
    servers.apply(map(_server, names.split()), context.scheduler.now())
    context.links = link_monitor.LinkMonitor(None, context.scheduler, servers)
    context.links.note_answered(context.scheduler.now())
    context.scheduler.advance(ago_s)


@behave.given('an isolated host')
def isolated_host(context):
    answered_host(context, 'a b c d', 0.5)
    context.sent_at = context.scheduler.now()
    connections_fail(context, 'a b c')
    isolated(context)


@behave.when('connections to servers "{names}" fail')
def connections_fail(context, names):
    for name in names.split():
        connection_fails(context, name)


@behave.when('a connection to server "{name}" fails')
def connection_fails(context, name):
    context.links.note_connect_failed(_server(name))


@behave.when('servers "{names}" acknowledge no bytes')
def unacknowledged(context, names):
    for name in names.split():
        context.links.note_unacknowledged(_server(name))


@behave.when('server "{name}" answers')
def answers(context, name):
    context.links.note_answered(context.scheduler.now())


@behave.when('server "{name}" accepts a connection')
def accepts(context, name):
    context.links.note_connected()


@behave.when(
    'an answer arrives to a request that was sent before the isolation'
)
def held_up_answer(context):
    context.scheduler.advance(0.1)
    context.links.note_answered(context.sent_at - 0.1)


@behave.when('servers accept connections again')
def servers_accept(context):
    behave.use_fixture(accepting_network, context)


@behave.then('the host counts as isolated')
def isolated(context):
    assert context.links.is_isolated


@behave.then('the host does not count as isolated')
def not_isolated(context):
    assert not context.links.is_isolated


@behave.then('new connections count as failing')
def connects_fail(context):
    assert context.links.fails_to_connect


@behave.then('new connections do not count as failing')
def connects_work(context):
    assert not context.links.fails_to_connect


@behave.when('{seconds:g} seconds pass at the isolated host')
def time_passes(context, seconds):
    context.scheduler.advance(seconds)
