"""Steps for the ids of orders."""

from __future__ import annotations

import re

import behave
import load_fixtures
import socket_fixtures

from radishferry.direct import key_map
from radishferryd import http_client
from radishferryd.platform import orders

_SEGMENT = key_map.Segment(0, 99, ('a', 1), 7)


@behave.fixture
def network(context):
    """Replace network connections by sockets under the test's control."""
    with socket_fixtures.replace_connections() as opened:
        yield opened


@behave.given('a client for the orders to a server')
def client(context):
    context.sockets = behave.use_fixture(network, context)
    context.losses = []
    context.client = http_client.JsonClient(
        None,
        load_fixtures.Scheduler(),
        ('127.0.0.1', 1),
        headers=orders.expected_server_headers('a'),
        limit=3,
        on_lost=lambda: context.losses.append(None),
        id_header=orders.ORDER_ID,
    )


def _send(context, order):
    context.results = []
    if order == 'grant':
        orders.grant(
            context.client, 'a', _SEGMENT, 4.0, '', 1.0, context.results.append
        )
    else:
        orders.release(
            context.client, 'a', _SEGMENT, 1.0, context.results.append
        )
    socket = context.sockets[-1]
    if len(socket.sent) == 1:
        socket.handler.connected(socket)
    return socket


def _ids(context):
    return [
        re.search(rb'(?i)x-request-id: (\S+)', data)[1]
        for socket in context.sockets
        for data in socket.sent
    ]


def _answer(call_id):
    named = b'X-Request-Id: %b\r\n' % call_id if call_id else b''
    return b'HTTP/1.1 200 OK\r\n%bContent-Length: 0\r\n\r\n' % named


@behave.given('a grant that was answered without an id')
def answered_unnamed(context):
    _send(context, 'grant').deliver(_answer(b''))
    (result,) = context.results
    assert result.status is orders.OrderStatus.DONE, result


@behave.given('3 grants at a time that were answered without an id')
def parallel_unnamed(context):
    for socket in [_send(context, 'grant') for _ in range(3)]:
        socket.deliver(_answer(b''))
    assert len(context.sockets) == 3


@behave.then('it is sent on a new connection')
def is_new(context):
    assert len(context.sockets[-1].sent) == 1
    assert b'/api/release' in context.sockets[-1].sent[0]


@behave.then('{count:d} connections are open')
def are_open(context, count):
    assert sum(socket.is_open for socket in context.sockets) == count
    assert not context.losses


@behave.given('a {order} that was answered')
def answered(context, order):
    socket = _send(context, order)
    context.earlier = _answer(_ids(context)[-1])
    socket.deliver(context.earlier)
    (result,) = context.results
    assert result.status is orders.OrderStatus.DONE, result


@behave.when('a release is sent')
def release_sent(context):
    _send(context, 'release')


@behave.when('a second copy of the earlier answer arrives')
def copy_arrives(context):
    context.sockets[-1].deliver(context.earlier)


@behave.when('its answer arrives')
def answer_arrives(context):
    context.sockets[-1].deliver(_answer(_ids(context)[-1]))


@behave.when('an answer without an id arrives')
def unnamed_answer(context):
    context.sockets[-1].deliver(_answer(b''))


@behave.then('the outcome of the release is unknown')
def is_unknown(context):
    (result,) = context.results
    assert result.status is orders.OrderStatus.UNKNOWN, result


@behave.then('the release is done')
def is_done(context):
    (result,) = context.results
    assert result.status is orders.OrderStatus.DONE, result


@behave.then(
    'the connection is closed, but not as one that the server has lost'
)
def is_closed(context):
    assert not context.sockets[-1].is_open
    assert not context.losses


@behave.then('the connection is used again')
def is_reused(context):
    assert len(context.sockets) == 1 and context.sockets[0].is_open


@behave.then('all orders had different ids')
def different_ids(context):
    found = _ids(context)
    assert len(set(found)) == len(found) == 2, found
