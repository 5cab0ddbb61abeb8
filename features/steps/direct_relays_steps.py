"""Steps for requests that one host relays to another."""

from __future__ import annotations

import itertools
import types

import behave
import load_fixtures
import memory_network

from radishferry.direct import configuration
from radishferry.direct import key_map
from radishferry.direct import registry
from radishferryd.router import callers
from radishferryd.router import crashes
from radishferryd.router import gateway
from radishferryd.router import knowledge
from radishferryd.router import metrics
from radishferryd.router import relay_gateway
from radishferryd.router import relay_headers

_KEYED, _PLAIN = 'stock', 'pay'
#: Seconds between two lookups, and between two payments.
_INTERVAL_S = 0.05


def _route(name, prefix, kind, service, max_attempts):
    return configuration.Route(
        name,
        'example',
        prefix,
        kind,
        (configuration.Part(service, 1.0),),
        timeout_s=4.0,
        target_latency_s=1.0,
        max_attempts=max_attempts,
        priority=0,
    )


def _configuration(version, max_attempts=3):
    services = (
        configuration.Service(_KEYED, '/health', 100, True, 1.0),
        configuration.Service(_PLAIN, '/health', 100, False, 1.0),
    )
    return configuration.Configuration(
        version,
        (
            _route(
                'lookup',
                '/k/',
                configuration.Kind.SAFE,
                _KEYED,
                max_attempts,
            ),
            _route(
                'guide',
                '/g/',
                configuration.Kind.DOWNLOAD,
                _PLAIN,
                max_attempts,
            ),
            _route(
                'payment',
                '/p/',
                configuration.Kind.UNSAFE,
                _PLAIN,
                max_attempts,
            ),
        ),
        {service.name: service for service in services},
        configuration.Limits(),
    )


class _Metrics(metrics.Metrics):
    """Count the requests that were relayed."""

    sent = 0

    def count_relay(self, direction, outcome):
        super().count_relay(direction, outcome)
        self.sent += direction == 'sent'


class _Host:
    """Run the gateways of one host on the network of the test."""

    def __init__(self, network, number, servers):
        scheduler = network.scheduler
        self.name = f'host{number}'
        self.callers = (self.name, 1)
        self.relays = (self.name, 2)
        self.state = knowledge.RoutingState(scheduler.now)
        self.metrics = _Metrics()
        self.crashes = crashes.CrashCounts()
        settings = types.SimpleNamespace(
            host_name=self.name,
            host_data_centre='x',
            retry_hosts=3,
            admission_by_rank=False,
            balancing_shares_loads=False,
            retry_ratio=0.2,
            retry_slack=64,
            retry_window_s=10,
        )
        self.gateway = gateway.Gateway(
            self.name,
            scheduler,
            self.state,
            self.crashes,
            settings,
            self.metrics,
        )
        self.state.apply_servers(servers, scheduler.now(), 'store')
        self.apply_configuration(3)
        keyed = [s for s in servers if s.service == _KEYED]
        size = key_map.KEY_COUNT // len(keyed)
        self.state.apply_segments(
            _KEYED,
            [
                key_map.Segment(
                    n * size, n * size + size - 1, s.incarnation, 7
                )
                for n, s in enumerate(keyed)
            ],
        )
        relayed = relay_gateway.RelayGateway(self.gateway)
        network.listeners[self.callers] = lambda: callers.CallerConnection(
            self.gateway
        )
        network.listeners[self.relays] = lambda: callers.CallerConnection(
            relayed, True
        )

    def apply_configuration(self, version, max_attempts=3):
        found = _configuration(version, max_attempts)
        self.state.configuration = found
        self.state.routes = knowledge.configuration_module.RouteTable(found)
        self.state._choices = {
            route.name: self.state._choice_for(route, None)
            for route in found.routes
        }
        for callback in self.state.on_configuration:
            callback(found)

    @property
    def relayed(self):
        return self.metrics.sent


@behave.fixture
def network(context):
    """Replace the network."""
    with memory_network.replace_network(context.scheduler) as found:
        yield found


@behave.given(
    '{hosts:d} hosts, {keyed:d} servers that own keys and {plain:d} that do '
    'not'
)
def deployment(context, hosts, keyed, plain):
    context.scheduler = load_fixtures.Scheduler()
    context.network = behave.use_fixture(network, context)
    context.numbers = itertools.count()
    context.callers, context.servers = [], []
    entries = []
    services = [_KEYED] * keyed + [_PLAIN] * plain
    for number, service in enumerate(services):
        address = (f's{number}', 80)
        server = memory_network.Server(context.scheduler)
        context.network.listeners[address] = server.accept
        context.network.servers.add(address)
        context.servers.append(server)
        entries.append(
            registry.Server(f's{number}', 1, service, address, 'x', 4, False)
        )
    context.hosts = [
        _Host(context.network, number + 1, entries) for number in range(hosts)
    ]
    known = [(host.name, 'x', host.relays) for host in context.hosts]
    for host in context.hosts:
        host.gateway.relays.set_hosts(known)


def _send(context, number, path, fields=(), body=b'', deadline_ms=4000):
    host = context.hosts[number - 1]
    request_id = f'r{next(context.numbers)}'
    lines = (
        f'{"POST" if body else "GET"} {path} HTTP/1.1',
        'Host: example',
        f'X-Request-Id: {request_id}',
        f'X-Deadline-Ms: {deadline_ms}',
        *fields,
        *((f'Content-Length: {len(body)}',) if body else ()),
    )
    caller = memory_network.Caller(context.network, host.callers)
    caller.send('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
    caller.sent_at = context.scheduler.now()
    caller.path = path
    caller.request_id = request_id
    context.callers.append(caller)
    return caller


def _send_lookup(context, number, deadline_ms=4000):
    key = next(context.numbers) * 7919 % key_map.KEY_COUNT
    return _send(
        context,
        number,
        '/k/x',
        (f'X-Shard-Key: {key}',),
        deadline_ms=deadline_ms,
    )


@behave.when(
    'lookups and payments have come to host {number:d} for {s:g} seconds'
)
@behave.when('lookups and payments come to host {number:d} for {s:g} seconds')
def send_requests(context, number, s):
    context.relayed_before = context.hosts[number - 1].relayed
    _send_to_hosts(context, (number,), s)
    context.scheduler.advance(0.5)


@behave.when(
    'lookups and payments have come to hosts 1 and 2 for {s:g} seconds'
)
@behave.when('lookups and payments come to hosts 1 and 2 for {s:g} seconds')
def send_to_two_hosts(context, s):
    _send_to_hosts(context, (1, 2), s)


def _send_to_hosts(context, numbers, seconds):
    context.last = []
    for _ in range(round(seconds / _INTERVAL_S)):
        for number in numbers:
            context.last.append(_send_lookup(context, number))
            context.last.append(
                _send(context, number, '/p/x', body=b'amount=5')
            )
        context.scheduler.advance(_INTERVAL_S)


@behave.when('the links of host {number:d} {mode}')
def cut_links(context, number, mode):
    name = context.hosts[number - 1].name
    if mode == 'return':
        context.network.heal(name)
    else:
        context.network.cut(name, mode)


@behave.given('host {number:d} has been isolated for {seconds:g} seconds')
def isolated(context, number, seconds):
    send_requests(context, number, 1)
    cut_links(context, number, 'hang')
    send_requests(context, number, 1.5)
    assert context.hosts[number - 1].gateway.links.is_isolated
    context.scheduler.advance(seconds)


@behave.when('{seconds:g} seconds pass at all hosts')
def time_passes(context, seconds):
    context.scheduler.advance(seconds)


@behave.step('servers take {seconds:g} seconds for a request')
@behave.step('servers take {seconds:g} second for a request')
def slow_servers(context, seconds):
    for server in context.servers:
        server.work_s = seconds


@behave.given('servers answer with {count:d} bytes')
def large_answers(context, count):
    for server in context.servers:
        server.body = b'x' * count


@behave.given('the other hosts have reached their limit of relayed requests')
def limit_reached(context):
    for host in context.hosts:
        host.gateway.open_relayed_requests = relay_gateway.MAX_OPEN_REQUESTS


@behave.given('host 1 has a newer configuration than the other hosts')
def newer_configuration(context):
    context.hosts[0].apply_configuration(4)


@behave.given('the other hosts have a newer configuration than host 1')
def newer_elsewhere(context):
    for host in context.hosts[1:]:
        host.apply_configuration(4)


@behave.when('host 1 gets the newer configuration')
def gets_newer(context):
    context.hosts[0].apply_configuration(4)


@behave.given('host {number:d} knows that there is a newer configuration')
def knows_newer(context, number):
    context.hosts[number - 1].state.note_configuration_elsewhere(4)


@behave.given('another host names {what} as its version')
def names_version(context, what):
    text = '' if what == 'nothing' else what
    context.hosts[0].state.note_configuration_elsewhere(
        relay_headers.parse_configuration(text)
    )


@behave.when('server {number:d} dies')
def server_dies(context, number):
    del context.network.listeners[f's{number}', 80]
    for socket in list(context.network.sockets):
        if socket.address == (f's{number}', 80):
            socket.fail(ConnectionResetError(104, 'reset'))


@behave.when('all servers that own keys die')
def keyed_servers_die(context):
    for number in range(4):
        server_dies(context, number)


def _start_one(context, send):
    for server in context.servers:
        server.run.clear()
        server.cancelled.clear()
    context.relayed_before = context.hosts[0].relayed
    context.sockets_before = len(context.network.sockets)
    context.caller = send()


@behave.when('a lookup comes to host 1')
def one_lookup(context):
    _start_one(context, lambda: _send_lookup(context, 1))


@behave.when('a lookup with a deadline of {ms:d} ms comes to host 1')
def one_lookup_with_deadline(context, ms):
    _start_one(context, lambda: _send_lookup(context, 1, ms))


@behave.when('a payment with the body "{body}" comes to host 1')
def one_payment(context, body):
    _start_one(
        context,
        lambda: _send(context, 1, '/p/7?a=b', body=body.encode()),
    )


@behave.when('its caller leaves')
def caller_leaves(context):
    context.caller.leave()


@behave.when('the connections between the hosts are reset')
def links_reset(context):
    relays = {host.relays for host in context.hosts}
    for socket in list(context.network.sockets):
        if socket.address in relays:
            socket.fail(ConnectionResetError(104, 'reset'))


def _is_served(caller):
    return [
        (head.status, bool(head.header('x-response-signature')))
        for head, _ in caller.responses
    ] == [(200, True)]


@behave.then(
    'each request of the last {seconds:g} seconds is answered by a server'
)
def all_served(context, seconds):
    context.scheduler.advance(4.5)
    failed = [
        (caller.path, [head.status for head, _ in caller.responses])
        for caller in context.last
        if not _is_served(caller)
    ]
    assert not failed, (len(failed), len(context.last), failed[:5])


@behave.then('each request has run at most once')
def run_once(context):
    ids = [
        head.header('x-request-id')
        for server in context.servers
        for head, _ in server.run
        if head.method == 'POST'
    ]
    assert ids and len(ids) == len(set(ids))


@behave.then('host 1 relayed all of them')
def relayed_all(context):
    relayed = context.hosts[0].relayed - context.relayed_before
    assert relayed == len(context.last), (relayed, len(context.last))


@behave.then('host 1 relayed none of them')
def relayed_none(context):
    assert context.hosts[0].relayed == context.relayed_before


@behave.then('host 1 relayed at most a fifth of them')
def relayed_few(context):
    relayed = context.hosts[0].relayed - context.relayed_before
    assert relayed <= len(context.last) / 5, relayed


@behave.then('host 1 is not isolated')
def not_isolated(context):
    assert not context.hosts[0].gateway.links.is_isolated


@behave.then('its caller is refused within {seconds:g} seconds and may retry')
def refused(context, seconds):
    context.scheduler.advance(seconds)
    ((head, _),) = context.caller.responses
    assert head.status == 503, head
    assert float(head.header('retry-after')) > 0


@behave.then('at most {count:d} requests were relayed to other hosts for it')
def relayed_at_most(context, count):
    relays = {host.relays for host in context.hosts}
    opened = context.network.sockets[context.sockets_before :]
    targets = [s.address for s in opened if s.address in relays]
    assert len(targets) <= count, targets
    assert not any(server.run for server in context.servers)


@behave.then(
    'each lookup of the last 3 seconds is refused within {s:g} seconds'
)
def lookups_refused(context, s):
    lookups = [caller for caller in context.last if caller.path == '/k/x']
    statuses = {
        head.status for caller in lookups for head, _ in caller.responses
    }
    assert statuses == {503}, statuses
    assert all(len(caller.responses) == 1 for caller in lookups)


@behave.then('a server has cancelled the lookup')
def cancelled(context):
    found = [i for server in context.servers for i in server.cancelled]
    assert context.caller.request_id in found, found


def _run(context):
    (found,) = [run for server in context.servers for run in server.run]
    return found


@behave.then('the server was given {low:d} to {high:d} ms')
def given_time(context, low, high):
    head, _ = _run(context)
    assert low <= int(head.header('x-deadline-ms')) <= high


@behave.then('a server has run it once with the same path, body and id')
def run_unchanged(context):
    head, body = _run(context)
    assert (head.method, head.target) == ('POST', '/p/7?a=b')
    assert head.header('x-request-id') == context.caller.request_id
    assert body == b'amount=17'
    assert _is_served(context.caller)


@behave.then('the server got no header of the hosts')
def no_own_header(context):
    head, _ = _run(context)
    names = [n for n, _ in head.headers if n.startswith('radishferry')]
    assert not names, names


@behave.then('its caller gets {count:d} bytes from a server')
def gets_bytes(context, count):
    assert _is_served(context.caller)
    assert len(context.caller.responses[0][1]) == count


@behave.then('its caller is told that it may have run')
def told_unknown(context):
    ((head, _),) = context.caller.responses
    assert head.status == 502, head


@behave.then('the retry budgets of all hosts count each of them once')
def budget_counts(context):
    counted = 0
    for host in context.hosts:
        for times in host.gateway.budget._requests.values():
            counted += sum(1 for at in times if at >= context.last[0].sent_at)
    assert counted == len(context.last), (counted, len(context.last))


@behave.when('the same lookup comes to host 1 during 3 losses of its links')
def repeated_losses(context):
    for _ in range(3):
        for number in range(8):
            key = number * 8192
            _send(context, 1, '/k/x', (f'X-Shard-Key: {key}',))
        context.scheduler.advance(0.5)
        cut_links(context, 1, 'reset')
        send_requests(context, 1, 2)
        assert context.hosts[0].gateway.links.is_isolated
        cut_links(context, 1, 'return')
        context.scheduler.advance(2.0)


@behave.then('no request counts as crashing servers')
def no_crashes(context):
    assert not context.hosts[0].crashes.counts, context.hosts[0].crashes.counts


@behave.then('requests at server 0 count as crashing it')
def crashes_counted(context):
    assert context.hosts[0].crashes.counts


@behave.when('a server accepts a connection of host 1')
def accepts_connection(context):
    context.hosts[0].gateway.links.note_connected()


@behave.given('host {number:d} has stopped')
def host_stopped(context, number):
    host = context.hosts[number - 1]
    del context.network.listeners[host.relays]
    for socket in list(context.network.sockets):
        if socket.address == host.relays:
            socket.fail(ConnectionResetError(104, 'reset'))


@behave.given('routes allow {count:d} attempt')
def allowed_attempts(context, count):
    for host in context.hosts:
        host.apply_configuration(4, count)


@behave.when('a download comes to host 1')
def one_download(context):
    _start_one(context, lambda: _send(context, 1, '/g/x'))


@behave.then('servers have got the download once')
def got_once(context):
    _run(context)
