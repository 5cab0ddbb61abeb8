"""Steps for odd values that other writers leave."""

from __future__ import annotations

import dataclasses
import json
import logging
import socket
from unittest import mock

import behave
import direct_connections_steps
import link_fixtures
import load_fixtures
import orjson

from radishferry.direct import key_rows
from radishferry.direct import leadership
from radishferryd import net
from radishferryd.gen.router import ttypes
from radishferryd.platform import documents
from radishferryd.platform import store
from radishferryd.router import hub
from radishferryd.router import knowledge
from radishferryd.router import links
from radishferryd.router import spoke

_ENTRY = {
    'service': 'stock',
    'address': '10.0.0.1:80',
    'zone': 'x',
    'version': 'v1',
    'slots': 4,
    'state': 'ready',
    'born': 5,
    'warmup_left_s': 0,
    'seq': 1,
}


def _row(key, value):
    return store.Row(documents.SERVER_TABLE, key, value, 1)


def _raw(fields):
    """Return a document whose values are given as JSON texts."""
    parts = (f'{json.dumps(name)}:{text}' for name, text in fields.items())
    return ('{' + ','.join(parts) + '}').encode()


@behave.given('the entries of servers "a" and "b"')
def usual_entries(context):
    context.rows = [_row(key, orjson.dumps(_ENTRY)) for key in ('a', 'b')]
    context.decoder = documents.ServerDecoder()
    context.lines = []
    handler = logging.Handler()
    handler.emit = lambda record: context.lines.append(record.getMessage())
    documents.LOG.addHandler(handler)
    context.add_cleanup(documents.LOG.removeHandler, handler)


def _add(context, value, key='odd'):
    # The entry is not the last one, so that it can stop those after it.
    context.rows.insert(1, _row(key, value))


@behave.given('an entry whose id contains a line break')
def odd_id(context):
    _add(context, orjson.dumps(_ENTRY), 'x\r\nX-Injected: 1')


@behave.given('an entry whose {field} is {value}')
def odd_field(context, field, value):
    fields = {name: json.dumps(found) for name, found in _ENTRY.items()}
    _add(context, _raw({**fields, field: value}))


@behave.given('an entry without {field}')
def missing_field(context, field):
    _add(
        context,
        orjson.dumps({k: v for k, v in _ENTRY.items() if k != field}),
    )


@behave.given('an entry that is {what}')
def odd_entry(context, what):
    _add(
        context,
        {
            'empty': b'',
            'no JSON': b'\xff\x00{',
            'nested 100000 times': b'[' * 100000 + b']' * 100000,
            'a number': b'7',
            'a list': b'[{}]',
            'a number beyond any range': b'9' * 400,
            'longer than the log line': _raw(
                {'address': json.dumps('x' * 60000)}
            ),
        }[what],
    )


@behave.when('the list is read')
def read_list(context):
    context.servers = context.decoder.decode(context.rows, {'stock'})


@behave.then('it names servers "a" and "b"')
def usual_servers(context):
    assert [s.server_id for s in context.servers] == ['a', 'b']


@behave.then('it names servers "a", "b" and "odd"')
def all_servers(context):
    found = sorted(s.server_id for s in context.servers)
    assert found == ['a', 'b', 'odd'], found


@behave.then(
    'the granting host sends it to another host, which knows the same'
)
def sent_on(context):
    data = links.encode(
        'servers_push',
        ttypes.ServersPush(
            True, [hub._server_entry(s) for s in context.servers], [], 0.1
        ),
    )
    ((_, message),) = link_fixtures.decode(data)
    assert [spoke._server(e) for e in message.changed] == context.servers


@behave.then('one log line names the odd entry')
def logged_once(context):
    (line,) = context.lines
    assert 'odd' in line and len(line) < 400, line


class _Handler:
    """Record how a connection ends."""

    def __init__(self):
        self.errors = []

    def closed(self, error):
        self.errors.append(error)


class _Poller:
    """Collect the calls before the next turn of the loop."""

    def __init__(self):
        self.calls = []

    def remove(self, fd):
        """Ignore the socket, which was never polled."""

    def call_before_wait(self, callback):
        self.calls.append(callback)


@behave.when('a connection to "{ip}" {port:d} is opened')
@behave.when('a connection to "" {port:d} is opened')
def connect(context, port, ip=''):
    context.poller, context.handler = _Poller(), _Handler()
    with mock.patch.object(socket, 'getaddrinfo') as context.looked_up:
        context.connection = net.connect(
            context.poller, (ip, port), context.handler
        )


@behave.then('its handler learns in the next turn of the loop that it failed')
def connect_failed(context):
    assert not context.handler.errors
    for callback in context.poller.calls:
        callback()
    (error,) = context.handler.errors
    assert isinstance(error, OSError), error
    assert not context.connection.is_open


@behave.then('no name was looked up')
def no_lookup(context):
    assert not context.looked_up.called


@behave.when(
    'the granting host sends a server with port 70000 and another one'
)
def odd_push(context):
    def entry(server_id, port):
        return ttypes.ServerEntry(
            server_id, 5, 'stock', '10.0.0.1', port, 'x', 4, False, 0.0
        )

    context.spoke.link_message(
        context.link,
        'servers_push',
        ttypes.ServersPush(
            True, [entry('odd', 70000), entry('a', 80)], [], 0.1
        ),
    )


@behave.then('the host knows only the other one')
def knows_other(context):
    known = [s.server_id for s in context.routing_state.registry.all()]
    assert known == ['a'], known


@behave.when('a server responds with the header "{header}"')
def responds_with(context, header):
    context.sink = direct_connections_steps._send(context, 'r1')
    data = direct_connections_steps._format_response(
        503 if 'Retry' in header else 200,
        'r1',
        b'abc',
        direct_connections_steps._SIGNED,
        '@',
    )
    # The header may hold bytes outside of ASCII.
    context.sockets[0].deliver(data.replace(b'@', header.encode('latin-1')))


@behave.then('the request is answered')
def is_answered(context):
    result = context.sink.result
    assert type(result).__name__ == 'Answered', result


_CONFIGURATION = {
    'version': '"00000004"',
    'routes': None,
    'services': None,
    'limits': '{}',
}


def _configuration(field='', value=''):
    route = {
        'host': '"example"',
        'prefix': '"/k/"',
        'kind': '"safe"',
        'timeout_s': '2',
        'max_attempts': '2',
    }
    part = {'service': '"stock"', 'weight': '1'}
    service = {'max_connections': '10'}
    limits = {'idle_timeout_s': '15'}
    document = {'version': '"00000004"'}
    for fields in (route, part, service, limits, document):
        if field in fields:
            fields[field] = value
    route['traffic_split'] = '[' + _raw(part).decode() + ']'
    return _raw(
        {
            **document,
            'routes': _raw({'r': _raw(route).decode()}).decode(),
            'services': _raw({'stock': _raw(service).decode()}).decode(),
            'limits': _raw(limits).decode(),
        }
    )


@behave.given('a host with configuration 3 in force')
def configured_host(context):
    context.state = knowledge.RoutingState(load_fixtures.Scheduler().now)
    document = _configuration('version', '"00000003"')
    context.state.apply_document(document, 'store')
    assert context.state.configuration.version == 3


@behave.when('configuration 4 is published with {field} as {value}')
def odd_configuration(context, field, value):
    context.state.apply_document(_configuration(field, value), 'store')


@behave.then('the host has configuration 3 in force')
def keeps_configuration(context):
    assert context.state.configuration.version == 3
    # The test would also pass if no configuration could be applied.
    context.state.apply_document(_configuration(), 'store')
    assert context.state.configuration.version == 4


_SEGMENT = [0, 9, 0, 7, [], []]


@behave.when('a row of owners that is {what} is decoded')
def decode_owners(context, what):
    segments = {
        'with a start above the end': [[9, 0, 0, 7, [], []]],
        'with a key out of range': [[0, 65536, 0, 7, [], []]],
        'with a negative owner': [[0, 9, -1, 7, [], []]],
        'with a fence out of range': [[0, 9, 0, 2**63, [], []]],
        'with overlapping segments': [_SEGMENT, _SEGMENT],
    }.get(what, [_SEGMENT])
    document = {'write_id': 'w', 'lives': [['a', 1]], 'segments': segments}
    value = {'no JSON': b'{', 'a number': b'7'}.get(
        what, orjson.dumps(document)
    )
    try:
        context.row = key_rows.decode(value, 7)
    except key_rows.RowError:
        context.row = None


@behave.then('it is reported as unusable')
def unusable_row(context):
    assert context.row is None


@behave.when('a leadership row with the address {address} is decoded')
def decode_leadership(context, address):
    term = leadership.Term('a', '10.0.0.1:80', 1, 2.0, 3)
    assert leadership.decode(term.encode()) == term
    fields = {**dataclasses.asdict(term), 'address': json.loads(address)}
    context.term = leadership.decode(orjson.dumps(fields))


@behave.then('it names no granting host')
def no_granting_host(context):
    assert context.term is None
