"""Steps for requests that crash servers."""

from __future__ import annotations

import itertools
from unittest import mock

import behave
import hub_fixtures
import link_fixtures
import load_fixtures

from radishferry.direct import registry
from radishferryd.gen.router import ttypes
from radishferryd.router import crash_detector
from radishferryd.router import crashes
from radishferryd.router import hub as hub_module
from radishferryd.router import knowledge
from radishferryd.router import link_monitor
from radishferryd.router import links

#: Seconds of work until a request crashes its server.
_WORK_S = 0.1
#: Seconds until a crash has been counted, or found to be none.
_SETTLED_S = 3.0


class _Host:
    """Detect crashes of servers that the test controls."""

    def __init__(self, scheduler):
        self.scheduler = scheduler
        self.counts = crashes.CrashCounts()
        self.silent_attempts = 0
        self.attempts = 0
        self._dead = set()
        self._numbers = itertools.count()
        self.links = link_monitor.LinkMonitor(
            None, scheduler, registry.Registry()
        )
        self.detector = crash_detector.CrashDetector(
            None, scheduler, self.links, self.counts
        )

    def probe(self, poller, scheduler, server, done):
        """See :func:`radishferryd.router.link_monitor.probe`."""
        self.attempts += 1
        result = link_monitor.ProbeResult.REACHED
        if server.server_id in self._dead:
            result = link_monitor.ProbeResult.REFUSED
        if self.silent_attempts >= self.attempts:
            result = link_monitor.ProbeResult.SILENT
        scheduler.call_later(0.001, lambda: done(result))

    def add_server(self):
        """Return a new server."""
        name = f's{next(self._numbers)}'
        return registry.Server(name, 1, 's', ('127.0.0.1', 1), 'x', 4, False)

    def lose(self, server, fingerprint, sent_at):
        """Lose the connection of a request."""
        # It was sent, so the host has reached the server.
        self.links.note_connected()
        self.detector.note_connection_lost(server, fingerprint, sent_at)

    def kill(self, server):
        """Let a server refuse connections from now on."""
        self._dead.add(server.server_id)

    def crash(self, fingerprint):
        """Send a request to a server, which crashes."""
        server, sent_at = self.add_server(), self.scheduler.now()
        self.scheduler.advance(_WORK_S)
        self.kill(server)
        self.lose(server, fingerprint, sent_at)

    def settle(self):
        """Wait until it is known which servers have crashed."""
        with mock.patch.object(link_monitor, 'probe', self.probe):
            self.scheduler.advance(_SETTLED_S)


@behave.given('an empty crash count')
def empty_count(context):
    context.scheduler = load_fixtures.Scheduler()
    context.host = _Host(context.scheduler)


@behave.given('servers that do not answer the first attempt to connect')
def silent_once(context):
    context.host.silent_attempts = 1


@behave.given(
    'servers that do not answer the first {count:d} attempts to connect'
)
def silent(context, count):
    context.host.silent_attempts = count


@behave.when(
    'request {fingerprint:d} is in flight at {servers:d} server that dies'
)
@behave.when(
    'request {fingerprint:d} is in flight at {servers:d} servers that die'
)
def crash(context, fingerprint, servers):
    for _ in range(servers):
        context.host.crash(fingerprint)
        context.host.settle()


@behave.when(
    'request {fingerprint:d} is in flight at {servers:d} servers that die at '
    'the same time'
)
def crash_together(context, fingerprint, servers):
    host, sent_at = context.host, context.scheduler.now()
    context.scheduler.advance(_WORK_S)
    for _ in range(servers):
        server = host.add_server()
        host.kill(server)
        host.lose(server, fingerprint, sent_at)
    host.settle()


@behave.when(
    'request {fingerprint:d} is in flight at {servers:d} servers that die, '
    'and is completed {seconds:g} seconds later'
)
def crash_and_completed(context, fingerprint, servers, seconds):
    host = context.host
    for _ in range(servers):
        host.crash(fingerprint)
        with mock.patch.object(link_monitor, 'probe', host.probe):
            context.scheduler.advance(seconds)
        host.detector.note_completed(fingerprint)
        host.settle()


@behave.when(
    'request {fingerprint:d} is in flight at a server that dies while the '
    'host is isolated for {seconds:g} seconds'
)
def crash_during_isolation(context, fingerprint, seconds):
    host = context.host
    host.crash(fingerprint)
    with mock.patch.object(link_monitor, 'probe', host.probe):
        context.scheduler.advance(0.35)
        for _ in range(3):
            host.links.note_connect_failed(host.add_server())
        assert host.links.is_isolated
        context.scheduler.advance(seconds)
        host.links.note_connected()
    host.settle()


@behave.when('{count:d} other requests are in flight at a server that dies')
def many_in_flight(context, count):
    host, sent_at = context.host, context.scheduler.now()
    server = host.add_server()
    host.kill(server)
    context.scheduler.advance(_WORK_S)
    for number in range(count):
        host.lose(server, 1000 + number, sent_at)
    host.settle()


@behave.given(
    'another host that saw request {fingerprint:d} in flight at {servers:d} '
    'servers that died'
)
def crash_elsewhere(context, fingerprint, servers):
    other = _Host(context.scheduler)
    for _ in range(servers):
        other.crash(fingerprint)
        other.settle()
    now = context.scheduler.now()
    context.host.counts.merge(other.counts.take_new(now).crashes, now)


@behave.when('request {fingerprint:d} is completed at this host')
def completed(context, fingerprint):
    context.host.detector.note_completed(fingerprint)


@behave.when('request {fingerprint:d} is completed at another host')
def completed_elsewhere(context, fingerprint):
    other, now = _Host(context.scheduler), context.scheduler.now()
    other.counts.adopt(context.host.counts.shared_counts, now)
    other.detector.note_completed(fingerprint)
    context.host.counts.forget(other.counts.take_new(now).completed)


@behave.given(
    'a granting host that reports {count:d} crashes of request {fingerprint:d}'
)
@behave.when(
    'the granting host reports {count:d} crashes of request {fingerprint:d}'
)
def reported(context, count, fingerprint):
    context.host.counts.adopt({fingerprint: count}, context.scheduler.now())


@behave.when(
    'request {fingerprint:d} loses its connection to {servers:d} servers '
    'that stay up'
)
def loses_connection(context, fingerprint, servers):
    host = context.host
    for _ in range(servers):
        host.lose(host.add_server(), fingerprint, context.scheduler.now())
        host.settle()
    assert host.attempts == servers


@behave.when(
    'request {fingerprint:d} loses its connection to {servers:d} servers '
    'that die {seconds:g} seconds later'
)
def dies_later(context, fingerprint, servers, seconds):
    host = context.host
    # Nothing shows that the servers live until they die.
    host.silent_attempts = 1000
    found = [host.add_server() for _ in range(servers)]
    for server in found:
        host.lose(server, fingerprint, context.scheduler.now())
    with mock.patch.object(link_monitor, 'probe', host.probe):
        context.scheduler.advance(seconds)
    for server in found:
        host.kill(server)
        host.detector.note_refused(server)
    host.settle()


@behave.when('{seconds:g} seconds pass without a crash')
def time_passes(context, seconds):
    context.scheduler.advance(seconds)
    context.host.counts.take_new(context.scheduler.now())


def _is_poison(context, fingerprint):
    return context.host.counts.is_poison(fingerprint, context.scheduler.now())


@behave.then('request {fingerprint:d} is refused as poison')
def poison(context, fingerprint):
    assert _is_poison(context, fingerprint)


@behave.then('request {fingerprint:d} is not refused as poison')
def not_poison(context, fingerprint):
    assert not _is_poison(context, fingerprint)


@behave.then('no request is a suspect')
def no_suspects(context):
    assert not context.host.counts.counts, context.host.counts.counts


@behave.then('request {fingerprint:d} is a suspect')
def is_suspect(context, fingerprint):
    assert fingerprint in context.host.counts.counts


@behave.then('at most {count:d} requests are suspects')
def few_suspects(context, count):
    found = context.host.counts.counts
    assert len(found) <= count, len(found)


@behave.then('the server has been tried at most {count:d} times')
def tried(context, count):
    assert 1 < context.host.attempts <= count, context.host.attempts


# Messages between hosts.


class _Link:
    """Record the messages to one host."""

    host = 'host2'

    def __init__(self):
        self.sent = []

    def send(self, name, message):
        """Record a message."""
        self.write(links.encode(name, message))

    def write(self, data):
        """Record encoded messages."""
        self.sent.extend(link_fixtures.decode(data))

    def counts(self):
        """Return and clear the crash counts that were sent."""
        found = [
            message.crashes
            for name, message in self.sent
            if name == 'poison_push'
        ]
        self.sent = []
        return found


def _connect(context):
    link = _Link()
    context.hub.link_opened(link)
    context.hub.link_message(
        link, 'hello', ttypes.Hello('host2', 'x', '127.0.0.1:2')
    )
    return link


@behave.given('a granting host')
def granting_host(context):
    context.scheduler = load_fixtures.Scheduler()
    context.hub = hub_module.Hub(
        context.scheduler,
        knowledge.RoutingState(context.scheduler.now),
        hub_fixtures.Ownership(),
        crashes.CrashCounts(),
        1000.0,
        hub_fixtures.directory(context.scheduler),
    )
    context.hub.begin(1)
    context.link = _connect(context)
    assert not context.link.counts()


def _report(context, **fields):
    message = ttypes.LoadReport(
        keys={}, speeds=[], notices=[], reaches_servers=True, **fields
    )
    # Sent and received, so that only what the message carries counts.
    ((name, received),) = link_fixtures.decode(
        links.encode('load_report', message)
    )
    context.hub.link_message(context.link, name, received)


@behave.when(
    'a host of {sender} version reports {count:d} crashes of request '
    '{fingerprint:d} and 1 of request {other:d}'
)
def host_reports(context, sender, count, fingerprint, other):
    for _ in range(count):
        context.scheduler.advance(1.0)
        fields = {'suspects': [fingerprint]}
        if sender == 'the same':
            fields['crashes'] = [ttypes.Crash(fingerprint, 0.3, 0.1)]
        _report(context, **fields)
    _report(context, suspects=[other])


@behave.when(
    'a host of the same version reports that request {fingerprint:d} was '
    'completed'
)
def host_reports_completion(context, fingerprint):
    _report(context, suspects=[], crashes=[], completed=[fingerprint])


@behave.then(
    'the granting host tells all hosts that request {fingerprint:d} has '
    '{count:d} crashes'
)
def hosts_told(context, fingerprint, count):
    found = context.link.counts()
    assert found == [{fingerprint: count}], found


@behave.then('a host that connects later is told the same')
def later_host_told(context):
    context.scheduler.advance(1.0)
    found = _connect(context).counts()
    assert found == [{7: 2}], found
