"""Steps for the directory of hosts."""

from __future__ import annotations

import types

import behave

from radishferry import membership
from radishferryd import host_directory


class _Link:
    host = target = 'h2'
    incarnation = 1
    is_ready = True

    def send(self, name, message):
        pass


class _Links:
    def __init__(self, link):
        self.outbound = {'h2': link}
        self.dropped = []

    def link(self, host):
        return self.outbound.get(host)

    def drop(self, host):
        self.dropped.append(host)


def _app(coordinates):
    server = types.SimpleNamespace(name='a')
    service = types.SimpleNamespace(servers=[server])
    known = ('h2', 1) if coordinates else None
    return types.SimpleNamespace(
        host_name='h1',
        data_centre='dc1',
        incarnation=1,
        is_stopping=False,
        clock=0.0,
        calls=[],
        links=_Links(_Link()),
        membership=membership.Membership('h1', 'dc1'),
        manifest=types.SimpleNamespace(services=[service]),
        manifests=types.SimpleNamespace(version=1),
        ownership=types.SimpleNamespace(coordinated={}),
        routes=types.SimpleNamespace(coordinator_of=lambda name: known),
        state=types.SimpleNamespace(send_to=lambda link, hops: None),
        broadcaster=types.SimpleNamespace(hops_for=lambda host: 0),
        fire=lambda event: None,
    )


@behave.given(
    'a host directory with a link to a host that coordinates {servers}'
)
def directory_with_link(context, servers):
    context.app = _app(servers == 'a server')
    context.app.scheduler = types.SimpleNamespace(
        now=lambda: context.app.clock,
        call_every=lambda delay, call: context.app.calls.append(call),
    )
    directory = host_directory.HostDirectory(context.app)
    directory.start()
    directory.link_opened(context.app.links.outbound['h2'])


@behave.when('the link is silent for {seconds:g} s')
def silent(context, seconds):
    context.app.clock += seconds
    heartbeat = context.app.calls[0]
    heartbeat()


@behave.then('the link is {state}')
def link_is(context, state):
    expected = ['h2'] if state == 'dropped' else []
    assert context.app.links.dropped == expected, context.app.links.dropped
