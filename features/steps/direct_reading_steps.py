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
    """Stub of a link that is always open."""

    def __init__(self, scheduler, owner):
        self.owner = owner

    def connect(self, poller, address):
        """Do nothing; the link is open already."""

    def is_silent(self, now):
        return False


class _Reader:
    """Record when polling is switched on or off."""

    def __init__(self):
        self.changes = [False]

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
    with unittest.mock.patch.object(links, 'Link', _Link):
        context.spoke.connect('127.0.0.1:1')
    _send_heartbeats(context, 2.0, reads_store=False, age_s=lambda: 0.3)


def _send_heartbeats(context, seconds, *, reads_store, age_s):
    link = context.spoke._link
    until = context.time.now() + seconds
    while context.time.now() < until:
        now = context.time.now()
        context.spoke.link_message(
            link, 'beat', ttypes.Beat(2, age_s(), False)
        )
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
