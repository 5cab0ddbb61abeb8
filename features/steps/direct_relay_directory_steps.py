"""Steps for the list of hosts that take relayed requests."""

from __future__ import annotations

import behave
import hub_fixtures
import link_fixtures
import load_fixtures

from radishferryd.gen.router import ttypes
from radishferryd.router import crashes
from radishferryd.router import hub
from radishferryd.router import knowledge
from radishferryd.router import relay_directory


class _Link:
    """Record what is sent to a host."""

    def __init__(self):
        self.host = self.data_centre = ''
        self.data = b''

    def write(self, data):
        self.data += data

    def send(self, name, message):
        """Ignore a heartbeat."""

    def is_silent(self, now):
        return False


def _known(link):
    """Return the hosts of the last list, None before the first one."""
    lists = [
        message.hosts
        for name, message in link_fixtures.decode(link.data)
        if name == 'relay_hosts'
    ]
    return lists[-1] if lists else None


def _connect(context, name, data_centre, address='127.0.0.1:1'):
    link = context.links[name] = _Link()
    context.hub.link_message(
        link, 'hello', ttypes.Hello(name, data_centre, address)
    )


def _prepare(context, data_centre):
    context.scheduler = load_fixtures.Scheduler()
    context.links = {}
    context.reaches_servers = True
    directory = relay_directory.RelayDirectory(
        context.scheduler,
        relay_directory.RelayHost('granter', data_centre, ('127.0.0.1', 2)),
        lambda: context.reaches_servers,
        lambda hosts: setattr(context, 'own_hosts', hosts),
    )
    context.directory = directory
    context.hub = hub.Hub(
        context.scheduler,
        knowledge.RoutingState(context.scheduler.now),
        hub_fixtures.Ownership(),
        crashes.CrashCounts(),
        1000.0,
        directory,
    )
    context.hub.begin(1)


@behave.given(
    'a granting host in data centre "x" with hosts "{near}" in "x" and '
    '"{far}" in "y"'
)
@behave.given(
    'a granting host in data centre "x" with hosts "{near}" in "x" and "" in '
    '"y"'
)
def granting_host(context, near, far=''):
    _prepare(context, 'x')
    for data_centre, names in (('x', near), ('y', far)):
        for name in names.split():
            _connect(context, name, data_centre)


@behave.given(
    'a granting host in data centre "x" with {near:d} hosts in "x" and '
    '{far:d} in "y"'
)
def large_deployment(context, near, far):
    _prepare(context, 'x')
    for data_centre, count in (('x', near), ('y', far)):
        for number in range(count):
            _connect(context, f'{data_centre}{number}', data_centre)


@behave.given('a host "{name}" that names no address')
def old_host(context, name):
    _connect(context, name, 'x', None)


def _report(context, names, reaches_servers):
    for name in names:
        context.hub.link_message(
            context.links[name],
            'load_report',
            ttypes.LoadReport({}, [], [], [], reaches_servers),
        )
    context.scheduler.advance(1.0)


@behave.when('all hosts report that they reach servers')
def all_reach(context):
    _report(context, list(context.links), True)


@behave.when('hosts "{names}" report that they reach no server')
def some_isolated(context, names):
    _report(context, names.split(), False)


@behave.when('the granting host reaches no server')
def granter_isolated(context):
    context.reaches_servers = False
    context.directory.schedule_push()
    context.scheduler.advance(1.0)


@behave.when('the link of host "{name}" ends')
def link_ends(context, name):
    context.hub.link_closed(context.links[name], 'closed')
    context.scheduler.advance(1.0)


@behave.then('host "{name}" knows hosts "{names}"')
def host_knows(context, name, names):
    found = sorted(host.host for host in _known(context.links[name]))
    assert found == sorted(names.split()), found


@behave.then('host "{name}" has got no list')
def got_no_list(context, name):
    assert _known(context.links[name]) is None


@behave.then('the granting host knows hosts "{names}"')
def granter_knows(context, names):
    found = sorted(host.name for host in context.own_hosts)
    assert found == sorted(names.split()), found


@behave.then(
    'a host in "{data_centre}" knows {count:d} hosts, {near:d} of them in '
    '"{same}"'
)
def knows_count(context, data_centre, count, near, same):
    hosts = _known(context.links[f'{data_centre}0'])
    assert len(hosts) == count, len(hosts)
    found = sum(host.data_centre == same for host in hosts)
    assert found == near, found
