"""Steps for the store client of a direct-mode host, without a network."""

from __future__ import annotations

import base64

import behave
import load_fixtures
import orjson
import socket_fixtures

from radishferryd.platform import documents
from radishferryd.platform import store as store_module

#: Seconds between two deliveries of bytes.
_DELIVERY_S = 0.05


@behave.fixture
def network(context):
    """Replace network connections by sockets under the test's control."""
    with socket_fixtures.replace_connections() as opened:
        yield opened


def _response_bytes(size):
    """Return a response to a read whose body has about the given size."""
    row = {
        'table': documents.OPERATOR_TABLE,
        'part': '',
        'key': documents.CONFIGURATION_KEY,
        'value': base64.b64encode(bytes(size * 3 // 4)).decode(),
        'api_version': 7,
    }
    body = orjson.dumps({'rows': [row], 'api_version': 7, 'now_s': 1.0})
    head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


@behave.given('a store client')
def store_client(context):
    context.scheduler = load_fixtures.Scheduler()
    context.sockets = behave.use_fixture(network, context)
    context.store = store_module.Store(
        None, context.scheduler, ('127.0.0.1', 1)
    )
    context.answers = []


@behave.when('a read of the configuration starts')
def read(context):
    context.store.read(documents.OPERATOR_TABLE, context.answers.append)
    context.sockets[-1].handler.connected(context.sockets[-1])


@behave.when('{size:d} kB arrive at {rate:d} kB a second')
def bytes_arrive(context, size, rate):
    data = _response_bytes(350000)[: size * 1000 + 1000]
    step = int(rate * 1000 * _DELIVERY_S)
    socket = context.sockets[-1]
    for start in range(0, len(data), step):
        context.scheduler.advance(_DELIVERY_S)
        socket.deliver(data[start : start + step])


@behave.when('{seconds:d} second passes at the store client')
def time_passes(context, seconds):
    context.scheduler.advance(seconds)


@behave.then('the read has returned the row after one call')
def row_returned(context):
    (answer,) = context.answers
    assert isinstance(answer, store_module.Rows), answer
    assert answer.rows[0].key == documents.CONFIGURATION_KEY
    assert context.store.calls == 1, context.store.calls


@behave.then('the read has failed')
def read_failed(context):
    (answer,) = context.answers
    assert isinstance(answer, store_module.Unavailable), answer
    assert not context.sockets[-1].is_open


@behave.given('a store client with two idle connections')
def store_client_with_idle_connections(context):
    store_client(context)
    for _ in range(2):
        read(context)
    for socket in context.sockets:
        socket.deliver(_response_bytes(4))
    assert len(context.answers) == 2, context.answers
    context.answers.clear()


@behave.when('a read of the configuration starts on an idle connection')
def read_on_idle_connection(context):
    context.store.read(documents.OPERATOR_TABLE, context.answers.append)
    assert len(context.sockets) == 2


@behave.then('the next read opens a connection')
def next_read_connects(context):
    context.store.read(documents.OPERATOR_TABLE, context.answers.append)
    assert len(context.sockets) == 3
    assert not any(socket.is_open for socket in context.sockets[:2])
