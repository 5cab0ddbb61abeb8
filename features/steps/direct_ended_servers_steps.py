"""Steps for what proves that a server has ended."""

from __future__ import annotations

import dataclasses
import types
from unittest import mock

import behave
import load_fixtures
import socket_fixtures

from radishferry.direct import configuration
from radishferry.direct import granting
from radishferry.direct import registry
from radishferryd import http_client
from radishferryd.platform import headers
from radishferryd.router import knowledge
from radishferryd.router import link_monitor
from radishferryd.router import ownership

_KEYS = (0, 65535)


class _Client:
    """Record the orders to one server; the test answers them."""

    def __init__(self, context):
        self._calls = context.calls

    def call(self, method, target, body, timeout_s, done, needs_proof=False):
        """Record an order."""
        self._calls.append((target, done))

    def close(self):
        """Do nothing."""


def _server(name, number, born_ms=1000):
    address = ('127.0.0.1', number)
    return registry.Server(name, born_ms, 's', address, 'x', 4, False)


@behave.given(
    'a granting host with servers "a" and "b", where "a" holds all keys'
)
def granting_host(context):
    context.calls = []
    patch = mock.patch.object(
        http_client, 'JsonClient', lambda *_, **__: _Client(context)
    )
    patch.start()
    context.add_cleanup(patch.stop)
    context.scheduler = load_fixtures.Scheduler()
    context.state = knowledge.RoutingState(context.scheduler.now)
    context.state.configuration = types.SimpleNamespace(
        services={'s': configuration.Service('s', '/health', 64, True, 1.0)}
    )
    context.ownership = ownership.Ownership(
        None,
        context.scheduler,
        context.state,
        types.SimpleNamespace(holds=True, silent_s=0.0, version=7),
        10.0,
        'host',
        lambda: 2,
        link_monitor.LinkMonitor(
            None, context.scheduler, context.state.registry
        ),
    )
    context.state.on_servers.append(context.ownership.servers_changed)
    context.entries = {'a': _server('a', 1), 'b': _server('b', 2)}
    _read_list(context)
    context.granter = context.ownership._service('s').granter
    _own(context, 'a', 7)
    (order,) = _due(context)
    now = context.scheduler.now()
    context.granter.note_sent(order, now)
    assert context.granter.note_granted(order, now, now)


def _read_list(context):
    context.scheduler.advance(0.1)
    context.state.apply_servers(
        list(context.entries.values()), context.scheduler.now(), 'store'
    )


def _own(context, name, version):
    owner = context.entries[name].incarnation
    context.granter.commit([(*_KEYS, owner)], version, context.scheduler.now())


def _due(context):
    return context.granter.due(context.scheduler.now())


@behave.when(
    'the list of servers gets an entry "x" at the address of "a" that is '
    '{later:d} ms younger'
)
def foreign_entry(context, later):
    former = context.entries['a']
    context.entries['x'] = _server('x', 1, former.born_ms + later)


@behave.when('the entry of "a" is {own}')
def own_entry(context, own):
    found = context.entries.pop('a')
    if own == 'listed':
        context.entries['a'] = found
    _check_list(context)
    # The entry of the other writer is removed again.
    context.entries.pop('x')
    _check_list(context)


@behave.when('the entry of "a" names a later start')
def restarted(context):
    _check_list(context, 'a', born_ms=2000)


@behave.when('the entry of "a" names a later start and another address')
def restarted_elsewhere(context):
    _check_list(context, 'a', born_ms=2000, address=('127.0.0.1', 3))


def _check_list(context, name=None, **changes):
    if name is not None:
        context.entries[name] = dataclasses.replace(
            context.entries[name], **changes
        )
    _read_list(context)
    context.ownership._drop_ended(context.granter)


@behave.then('"a" still counts as the holder of all keys')
def still_holds(context):
    (managed,) = context.granter.ranges
    assert list(managed.held_until) == [('a', 1000)], managed.held_until


@behave.then('the later incarnation of "a" counts as the only holder')
def later_holds(context):
    (managed,) = context.granter.ranges
    assert list(managed.held_until) == [('a', 2000)], managed.held_until


@behave.when('all keys are moved to "b"')
def moved(context):
    _own(context, 'b', 9)


@behave.then('"a" is asked to release all keys, and "b" is granted none')
def only_release(context):
    (order,) = _due(context)
    assert isinstance(order, granting.Release), order
    assert order.incarnation == ('a', 1000)


def _names(who):
    return () if who == 'unnamed' else ((headers.SERVER_ID, who),)


@behave.when('a release for "a" is answered 421 by "{who}"')
def misdirected(context, who):
    (order,) = _due(context)
    context.ownership._send_order(
        order, context.granter, context.scheduler.now()
    )
    ((target, done),) = context.calls
    assert target == '/api/release', target
    done(
        http_client.JsonResponse(
            headers.MISDIRECTED, {}, 0.0, 0.0, _names(who)
        )
    )


@behave.then('"b" is granted {keys}')
def granted(context, keys):
    found = [
        order.segment.owner[0]
        for order in _due(context)
        if isinstance(order, granting.Grant)
    ]
    assert found == (['b'] if keys == 'all keys' else []), found


@behave.when('a renewal for "a" is answered 421 by "{who}"')
def misdirected_owner(context, who):
    context.scheduler.advance(granting.RENEW_S)
    (order,) = _due(context)
    context.ownership.order_sender.send(
        order, context.entries['a'], context.granter
    )
    ((_, done),) = context.calls
    done(
        http_client.JsonResponse(
            headers.MISDIRECTED, {}, 0.0, 0.0, _names(who)
        )
    )


def _candidates(context):
    found = context.ownership._candidates('s')
    return [server.server_id for server in found]


@behave.then('"a" loses its keys at once')
def loses_keys(context):
    service = context.ownership._service('s')
    now = context.scheduler.now()
    found = context.ownership._owners_to_evacuate(service, now)
    assert found == {('a', 1000)}, found


@behave.then(
    '"a" gets no keys for {seconds:g} seconds, although it accepts connections'
)
def gets_no_keys(context, seconds):
    with socket_fixtures.accept_connections():
        context.scheduler.advance(seconds - 0.1)
    assert _candidates(context) == ['b'], _candidates(context)


@behave.then('"a" may get keys after {seconds:g} seconds')
def may_get_keys(context, seconds):
    with socket_fixtures.accept_connections():
        context.scheduler.advance(1.1)
    assert _candidates(context) == ['a', 'b'], _candidates(context)
