"""Steps for polling of the store by a direct-mode host."""

from __future__ import annotations

import unittest.mock

import behave
import load_fixtures
import store_fixtures

from radishferryd.gen.router import ttypes
from radishferryd.platform import documents
from radishferryd.router import knowledge as knowledge_module
from radishferryd.router import links
from radishferryd.router import spoke as spoke_module
from radishferryd.router import store_reader


def _begin(context, delay_s):
    context.time = load_fixtures.Scheduler()
    context.store = store_fixtures.Store(context.time, delay_s)
    context.reader = store_reader.StoreReader(
        context.store,
        context.time,
        knowledge_module.RoutingState(context.time.now),
    )


@behave.given('a reader of the store')
def reader(context):
    _begin(context, 0.004)


@behave.given('a reader of the store that answers after {delay_s:g} seconds')
def slow_reader(context, delay_s):
    _begin(context, delay_s)


@behave.given('a reader of the store whose feed connection goes silent')
def reader_with_silent_feed(context):
    _begin(context, 0.004)
    context.store.is_feed_silent = True


@behave.then('it has read the configuration {count:d} times')
def configuration_read(context, count):
    reads = context.store.reads[documents.OPERATOR_TABLE]
    assert reads == count, reads


@behave.when('it polls for itself')
def poll_for_itself(context):
    context.reader.set_polling(True)


@behave.when('it polls for all hosts')
def poll_for_all(context):
    context.reader.set_polling(True, store_reader.GRANTER_INTERVAL_S)


@behave.when('it stops polling')
def stop_polling(context):
    context.reader.set_polling(False)


@behave.when('{seconds:g} seconds of polling pass')
def time_passes(context, seconds):
    context.time.advance(seconds)


@behave.then('it has read the servers {count:d} times')
def servers_read(context, count):
    reads = context.store.reads[documents.SERVER_TABLE]
    assert reads == count, reads


@behave.then('it has read the servers {least:d} to {most:d} times')
def servers_read_between(context, least, most):
    reads = context.store.reads[documents.SERVER_TABLE]
    assert least <= reads <= most, reads


# Updates of the granting host.


class _Link:
    """Stub of a link that is open until it is closed."""

    def __init__(self, scheduler, owner):
        self.owner = owner
        self.received_at = scheduler.now()

    def connect(self, poller, address):
        """Do nothing; the link is open already."""

    def is_silent(self, now):
        return now - self.received_at > links.SILENCE_S

    def close(self):
        self.owner.link_closed(self, 'closed')


class _Reader:
    """Record when polling is switched on or off."""

    def __init__(self):
        self.changes = [False]

    @property
    def is_polling(self):
        return self.changes[-1]

    def set_polling(self, is_polling):
        if is_polling != self.changes[-1]:
            self.changes.append(is_polling)


def _add_spoke(context):
    context.time = load_fixtures.Scheduler()
    context.reader = _Reader()
    routing_state = knowledge_module.RoutingState(context.time.now)
    context.routing_state = routing_state
    context.spoke = spoke_module.Spoke(
        None,
        context.time,
        routing_state,
        context.reader,
        ('a', 'x'),
        store_fixtures.Host(),
    )


@behave.given('a host that waits {seconds:g} seconds for the granting host')
def waiting_spoke(context, seconds):
    _add_spoke(context)
    context.spoke.wait_for_granter(seconds)


@behave.given('a host that is linked to the granting host')
def linked_spoke(context):
    _add_spoke(context)
    _connect(context, '127.0.0.1:1')
    _send_heartbeats(context, 2.0, reads_store=False, age_s=lambda: 0.3)


def _connect(context, address):
    with unittest.mock.patch.object(links, 'Link', _Link):
        context.spoke.connect(address)
    context.link = context.spoke._link


@behave.given('a host that has lost the granting host and reads the store')
def spoke_without_granter(context):
    linked_spoke(context)
    lose_granter(context)


@behave.when('it is linked to a granting host without a configuration')
def link_to_new_granter(context):
    _connect(context, '127.0.0.1:2')
    _send_heartbeats(
        context,
        0.4,
        reads_store=True,
        age_s=lambda: 0.1,
        configuration_age_s=lambda: 1e6,
    )


@behave.when(
    'the granting host sends a last heartbeat with a list of age {age_s:g} '
    'seconds'
)
def last_heartbeat(context, age_s):
    _send_heartbeat(context, age_s)


@behave.when('it is lost without a sign')
def lose_granter(context):
    """Advance the time in steps of the host's timer."""
    context.lost_at = context.time.now()
    context.started_at = None
    while context.time.now() - context.lost_at < 3.0:
        context.time.advance(spoke_module.TICK_S)
        context.spoke.tick()
        if context.started_at is None and context.reader.changes[-1]:
            context.started_at = context.time.now()


@behave.then('the host has started polling within {seconds:g} seconds')
def started_within(context, seconds):
    took_s = context.started_at - context.lost_at
    assert took_s <= seconds, took_s


@behave.then('the host is polling')
def polling(context):
    assert context.reader.changes[-1] is True


@behave.when(
    'the configuration of the granting host ages for {seconds:g} seconds'
)
def configuration_ages(context, seconds):
    since = context.time.now()
    _send_heartbeats(
        context,
        seconds,
        reads_store=True,
        age_s=lambda: 0.2,
        configuration_age_s=lambda: context.time.now() - since,
    )


@behave.when('the configuration of the granting host is fresh again')
def configuration_is_fresh(context):
    _send_heartbeats(context, 1.0, reads_store=True, age_s=lambda: 0.2)


def _send_heartbeat(context, age_s, configuration_age_s=0.0):
    context.link.received_at = context.time.now()
    context.spoke.link_message(
        context.link,
        'beat',
        ttypes.Beat(2, age_s, False, configuration_age_s=configuration_age_s),
    )


def _send_heartbeats(
    context, seconds, *, reads_store, age_s, configuration_age_s=lambda: 0.2
):
    until = context.time.now() + seconds
    while context.time.now() < until:
        now = context.time.now()
        _send_heartbeat(context, age_s(), configuration_age_s())
        if reads_store and context.reader.changes[-1]:
            context.routing_state.apply_servers((), now, 'store')
        context.spoke.tick()
        context.time.advance(0.2)


@behave.when(
    'the list of servers of the granting host ages for {seconds:g} seconds'
)
def list_ages(context, seconds):
    since = context.time.now()
    _send_heartbeats(
        context,
        seconds,
        reads_store=True,
        age_s=lambda: context.time.now() - since,
    )


@behave.when('the list of servers of the granting host is fresh again')
def list_is_fresh(context):
    _send_heartbeats(context, 1.0, reads_store=True, age_s=lambda: 0.2)


@behave.then('the host has started polling once')
def started_once(context):
    assert context.reader.changes == [False, True], context.reader.changes


@behave.then('the host has stopped polling')
def stopped(context):
    assert context.reader.changes[-1] is False


def _push_servers(context, names, age_s, *, is_full=True):
    entries = [
        ttypes.ServerEntry(
            name, 1, 'stock', '127.0.0.1', 1, 'x', 4, False, 0.0
        )
        for name in names.split(', ')
    ]
    context.spoke.link_message(
        context.link,
        'servers_push',
        ttypes.ServersPush(is_full, entries, [], age_s),
    )


@behave.given('a host that is linked and got servers "{names}"')
def linked_with_servers(context, names):
    _add_spoke(context)
    _connect(context, '127.0.0.1:1')
    _send_heartbeat(context, 0.3)
    _push_servers(context, names, 0.3)


@behave.when(
    'it is linked again and gets servers "{names}", encoded before the last '
    'read'
)
def linked_again(context, names):
    context.time.advance(5.0)
    context.link.close()
    _connect(context, '127.0.0.1:1')
    _send_heartbeat(context, 0.01)
    _push_servers(context, names, 0.7)


@behave.when(
    'it gets servers "{names}", read before the list of the last heartbeat'
)
def late_heartbeat(context, names):
    _send_heartbeat(context, 0.01)
    _push_servers(context, names, 0.7)


@behave.when(
    'it is linked to a granting host whose first list of servers is "{names}"'
)
def linked_to_restarted_granter(context, names):
    context.time.advance(5.0)
    context.link.close()
    _connect(context, '127.0.0.1:2')
    _send_heartbeat(context, 1e6)
    _push_servers(context, names, 0.01, is_full=False)


@behave.when(
    'it is linked to a granting host that got servers "{names}" {age_s:g} '
    'seconds ago'
)
def linked_to_stale_granter(context, names, age_s):
    context.time.advance(1.0)
    context.link.close()
    _connect(context, '127.0.0.1:2')
    _send_heartbeat(context, age_s)
    _push_servers(context, names, age_s)


@behave.when(
    'it reads servers "{own}" after an outage and is linked to a granting '
    'host that got "{names}" {age_s:g} seconds ago'
)
def linked_after_outage(context, own, names, age_s):
    context.time.advance(5.0)
    context.link.close()
    registry = context.routing_state.registry
    now = context.time.now()
    registry.note_outage(now)
    servers = [registry.get(name) for name in own.split(', ')]
    context.routing_state.apply_servers(servers, now, 'store')
    _connect(context, '127.0.0.1:2')
    _send_heartbeat(context, age_s)
    _push_servers(context, names, age_s)


@behave.then('it knows servers "{names}"')
def knows_servers(context, names):
    found = sorted(s.server_id for s in context.routing_state.registry.all())
    assert found == names.split(', '), found


@behave.given('a host that is linked and got its configuration')
def linked_with_configuration(context):
    _add_spoke(context)
    _connect(context, '127.0.0.1:1')
    push_configuration(context)
    _send_heartbeat(context, 0.3)


@behave.when(
    'it is linked again after {seconds:g} seconds and gets a heartbeat'
)
def linked_with_heartbeat(context, seconds):
    context.time.advance(seconds)
    context.link.close()
    _connect(context, '127.0.0.1:1')
    _send_heartbeat(context, 0.3)


@behave.when('it gets its configuration')
def push_configuration(context):
    """Push the configuration that the host has already."""
    context.spoke.link_message(
        context.link,
        'configuration_push',
        ttypes.ConfigurationPush(context.routing_state.document),
    )


@behave.then('the age of its configuration is at least {seconds:g} seconds')
def configuration_is_older(context, seconds):
    age_s = context.routing_state.configuration_age_s
    assert age_s >= seconds, age_s


@behave.then('the age of its configuration is below {seconds:g} second')
def configuration_is_younger(context, seconds):
    age_s = context.routing_state.configuration_age_s
    assert age_s < seconds, age_s
