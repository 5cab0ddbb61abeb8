"""Steps for servers that the granting host cannot reach."""

from __future__ import annotations

import types

import behave
import load_fixtures
import socket_fixtures

from radishferry.direct import configuration
from radishferry.direct import granting
from radishferry.direct import key_rates
from radishferry.direct import placement
from radishferry.direct import registry
from radishferryd.router import knowledge
from radishferryd.router import link_monitor
from radishferryd.router import orders
from radishferryd.router import ownership

#: Ranges of each server in the scenarios about plans.
_RANGES = 4


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


def _granter(layout, now):
    granter = granting.KeyGranter('s', 10.0)
    granter.commit(layout, 7, now)
    return granter


def _prepare(context, names):
    context.sockets = behave.use_fixture(network, context)
    context.scheduler = load_fixtures.Scheduler()
    context.servers = [_server(name) for name in names]
    context.registry = registry.Registry()
    context.registry.apply(context.servers, context.scheduler.now())
    context.links = link_monitor.LinkMonitor(
        None, context.scheduler, context.registry
    )
    context.order_sender = orders.OrderSender(
        None,
        context.scheduler,
        context.registry,
        lambda order: True,
        lambda: None,
        lambda server: None,
        context.links,
    )


def _fail_orders(context, servers):
    now = context.scheduler.now()
    granters = [
        _granter([(0, 65535, server.incarnation)], now) for server in servers
    ]
    for _ in range(orders.UNREACHABLE_FAILURES):
        for server, granter in zip(servers, granters):
            (order,) = granter.due(context.scheduler.now())
            context.order_sender.send(order, server, granter)
            context.sockets[-1].abort()
        # A server whose connection was lost gets the next grant only when a
        # later list of servers names it.
        context.scheduler.advance(2 * orders.REREGISTRATION_S)
        context.registry.note_unchanged(context.scheduler.now())


@behave.given('a granting host whose orders to server "{name}" failed')
def orders_failed(context, name):
    # The other servers keep the host from counting as isolated.
    _prepare(context, [name, 'x', 'y', 'z'])
    _fail_orders(context, context.servers[:1])
    context.failed_connections = len(context.sockets)


@behave.given('a granting host that is isolated from servers "{names}"')
def isolated_from(context, names):
    _prepare(context, names.split())
    _fail_orders(context, context.servers)
    assert context.links.is_isolated
    count_as_unreachable(context, names)


@behave.when('server "{name}" accepts connections again')
def accepts_again(context, name):
    behave.use_fixture(accepting_network, context)


@behave.when('a server accepts a connection of the granting host')
def accepts_connection(context):
    context.links.note_connected()


@behave.when('{seconds:g} seconds pass at the granting host')
def time_passes(context, seconds):
    # Connections that are not accepted are closed at their timeout.
    context.scheduler.advance(seconds)


@behave.then('server "{name}" counts as unreachable')
def is_unreachable(context, name):
    assert context.order_sender.is_unreachable((name, 1))


def count_as_unreachable(context, names):
    for name in names.split():
        is_unreachable(context, name)


@behave.then('server "{name}" counts as reachable')
def is_reachable(context, name):
    assert not context.order_sender.is_unreachable((name, 1))


@behave.then('servers "{names}" count as reachable')
def are_reachable(context, names):
    for name in names.split():
        is_reachable(context, name)


@behave.then('the granting host has tried to connect at least {count:d} times')
def has_tried(context, count):
    tried = len(context.sockets) - context.failed_connections
    assert tried >= count, tried


@behave.given('a granting host whose leases at servers "{names}" have expired')
def expired_leases(context, names):
    context.sockets = behave.use_fixture(network, context)
    context.scheduler = load_fixtures.Scheduler()
    now = context.scheduler.now()
    state = knowledge.RoutingState(context.scheduler.now)
    servers = [_server(name) for name in names.split()]
    state.apply_servers(servers, now, 'store')
    state.configuration = types.SimpleNamespace(
        services={'s': configuration.Service('s', '/health', 64, True, 1.0)}
    )
    context.links = link_monitor.LinkMonitor(
        None, context.scheduler, state.registry
    )
    context.ownership = ownership.Ownership(
        None,
        context.scheduler,
        state,
        types.SimpleNamespace(holds=True, silent_s=0.0, version=7),
        10.0,
        'host',
        lambda: 2,
        context.links,
    )
    context.ownership.servers_changed(None)
    context.servers = servers
    context.service = context.ownership._service('s')
    count = _RANGES * len(servers)
    bounds = [65536 * n // count for n in range(count + 1)]
    context.layout = [
        (
            bounds[n],
            bounds[n + 1] - 1,
            servers[n % len(servers)].incarnation,
        )
        for n in range(count)
    ]
    context.service.granter.commit(context.layout, 7, now)
    context.scheduler.advance(10.0)


@behave.given('only server "{name}" has answered orders')
def only_answering(context, name):
    context.ownership.order_sender = types.SimpleNamespace(
        is_unreachable=lambda incarnation: incarnation[0] != name,
        is_replaced=lambda incarnation: False,
    )


@behave.when('the granting host becomes isolated')
def becomes_isolated(context):
    for server in context.servers:
        context.links.note_connect_failed(server)
    assert context.links.is_isolated


def _plan(context):
    return context.ownership._plan(context.service, context.scheduler.now())


@behave.then('it keeps the owners')
def keeps_owners(context):
    assert _plan(context) is None


@behave.then('it plans to move all ranges to server "{name}"')
def moves_to(context, name):
    assert {owner[0] for _, _, owner in _plan(context)} == {name}


@behave.given(
    '{count:d} servers of which one owns {most:d} of {total:d} ranges under '
    'equal load'
)
def uneven_owners(context, count, most, total):
    context.owners = [(f's{n}', 1) for n in range(count)]
    bounds = [65536 * n // total for n in range(total + 1)]
    layout = [
        (
            bounds[n],
            bounds[n + 1] - 1,
            context.owners[0] if n < most else context.owners[n % count],
        )
        for n in range(total)
    ]
    context.granter = _granter(layout, -10.0)
    context.loads = key_rates.LoadMap(dict.fromkeys(range(0, 65536, 64), 1.0))


@behave.when(
    'the granting host rebalances every {interval_s:g} seconds for '
    '{seconds:g} seconds'
)
def rebalances(context, interval_s, seconds):
    # All servers together can run half more than the load.
    rate = 1.5 * context.loads.load(0, 65535) / len(context.owners)
    capacities = [placement.Capacity(owner, rate) for owner in context.owners]
    for step in range(round(seconds / interval_s)):
        now = step * interval_s
        plan = placement.rebalance(
            context.granter.ranges,
            capacities,
            context.loads,
            lambda *_: True,
            now,
        )
        context.granter.commit(plan.layout, 8 + step, now)
        for managed in context.granter.ranges:
            managed.held_until = {managed.owner: now + 4.0}


@behave.then('the load of each server is at most {ratio:g} times the mean')
def is_spread(context, ratio):
    found = dict.fromkeys(context.owners, 0.0)
    for managed in context.granter.ranges:
        found[managed.owner] += context.loads.load(managed.start, managed.end)
    mean = sum(found.values()) / len(found)
    assert max(found.values()) <= ratio * mean, (max(found.values()), mean)
