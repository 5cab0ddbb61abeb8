"""Steps for the administration listener."""

from __future__ import annotations

import ast
import concurrent.futures
import contextlib
import logging
import re
import socket
import struct
from unittest import mock

import behave
from circuits.net import events

from features.steps import admin_fixtures
from radishferry import findings
from radishferryd import admin
from radishferryd import admin_http
from radishferryd import operations


@behave.given('an administration listener')
def listener(context):
    context.records = []
    log = logging.Handler()
    log.emit = context.records.append
    logger = logging.getLogger('radishferryd')
    propagate = logger.propagate
    logger.addHandler(log)
    logger.propagate = False
    context.add_cleanup(setattr, logger, 'propagate', propagate)
    context.add_cleanup(logger.removeHandler, log)
    context.admin = admin_fixtures.AdminListener()
    context.add_cleanup(context.admin.stop)


@behave.given('the host is not ready')
def not_ready(context):
    context.admin.operations.is_ready.return_value = False


@behave.given('the document in force is {text}')
def document(context, text):
    context.admin.operations.manifest.return_value = text.encode()


@behave.given('operations fail with "{message}"')
def failing(context, message):
    operations_mock = context.admin.operations
    for method in (
        operations_mock.status,
        operations_mock.dump,
        operations_mock.metrics,
        operations_mock.submit_manifest,
    ):
        method.side_effect = RuntimeError(message)


@behave.given('submissions return {result}')
def submissions_give(context, result):
    admin_fixtures.set_result(context.admin.operations, _result(result))


def _result(expression):
    """Return a result dataclass written as a call in a feature."""
    call = ast.parse(expression, mode='eval').body
    if not isinstance(call, ast.Call):
        return ast.literal_eval(call)
    cls = getattr(operations, call.func.id, None) or findings.Finding
    arguments = [
        tuple(_result(ast.unparse(item)) for item in argument.elts)
        if isinstance(argument, ast.Tuple)
        else ast.literal_eval(argument)
        for argument in call.args
    ]
    return cls(*arguments)


def _patch(context, target, name, value):
    patcher = mock.patch.object(target, name, value)
    patcher.start()
    context.add_cleanup(patcher.stop)


@behave.given('admin connections may last {seconds:g} s')
def connections_last(context, seconds):
    _patch(context, admin_http, 'CONNECTION_LIMIT_S', seconds)
    context.patched_limit = True


@behave.given('submissions may take {seconds:g} s')
def submissions_take(context, seconds):
    _patch(context, admin, 'SUBMIT_LIMIT_S', seconds)


@behave.when('the admin listener gets "{method}" "{path}" with {which} token')
def get(context, method, path, which):
    token = {'no': None, 'a wrong': 'x' * 22}.get(which, admin_fixtures.TOKEN)
    response = context.admin.request(method, path, token=token)
    context.status, context.headers, context.body = response


@behave.then('the admin status is {status:d}')
def status_is(context, status):
    assert context.status == status, (context.status, context.body)


@behave.then('the admin body is {text}')
def body_is(context, text):
    assert context.body.decode() == text, context.body


@behave.then('the admin body contains "{text}"')
def body_contains(context, text):
    assert text in context.body.decode(), context.body


@behave.then('the admin body does not contain "{text}"')
def body_without(context, text):
    assert text not in context.body.decode(), context.body


@behave.then('the process was asked to stop {count:d} times')
def stops(context, count):
    assert context.admin.operations.stop.call_count == count


@behave.when('the admin listener receives {expression}')
def receive(context, expression):
    data = b''
    for part in expression.split(' + '):
        literal, _, times = part.partition(' * ')
        data += ast.literal_eval(literal) * int(times or 1)
    with contextlib.closing(context.admin.connect()) as sock:
        sock.sendall(data)
        context.raw = admin_fixtures.read_all(sock)


@behave.then('the raw admin status is {status:d}')
def raw_status(context, status):
    assert re.findall(rb'HTTP/1.1 (\d+) ', context.raw) == [b'%d' % status], (
        context.raw
    )


@behave.then('the admin listener still serves and keeps no connection state')
def serves(context):
    admin_listener = context.admin
    if getattr(context, 'patched_limit', False):
        admin_http.CONNECTION_LIMIT_S = admin_fixtures.STEP_TIMEOUT_S
    status, _, _ = admin_listener.request('GET', '/v1/status')
    assert status == 200
    admin_fixtures.wait_until(
        lambda: not admin_listener.connection_state,
        'the state of connections is never released',
    )


@behave.when('a body of {size:d} bytes is submitted {form}')
def submit_body(context, size, form):
    parts = (b'x' * min(65536, size - i) for i in range(0, size, 65536))
    body = parts if form == 'in chunks' else b''.join(parts)
    response = context.admin.request('POST', '/v1/manifest', body)
    context.status, context.headers, context.body = response


@behave.then('{count:d} manifests were submitted')
def submitted(context, count):
    assert context.admin.operations.submit_manifest.call_count == count


@behave.when('an endless body is submitted in chunks')
def endless_body(context):
    context.sock = context.admin.connect()
    context.add_cleanup(context.sock.close)
    head = (
        'POST /v1/manifest HTTP/1.1\r\n'
        f'Authorization: Bearer {admin_fixtures.TOKEN}\r\n'
        'Transfer-Encoding: chunked\r\n\r\n'
    )
    context.sock.sendall(head.encode())
    chunk = b'10000\r\n' + b'x' * 65536 + b'\r\n'
    limit = 100 * admin_http.admin_exchange.MAX_DISCARDED_BYTES
    with contextlib.suppress(ConnectionError):
        for _ in range(limit // len(chunk)):
            context.sock.sendall(chunk)


@behave.when('a client sends half of a request to the admin listener')
def half_request(context):
    context.sock = context.admin.connect()
    context.add_cleanup(context.sock.close)
    context.sock.sendall(b'GET /ready HTTP/1.1\r\n')


@behave.then('the admin connection is closed')
def connection_closed(context):
    # Either the end of the stream or a reset, but not a timeout.
    with contextlib.suppress(ConnectionError):
        admin_fixtures.read_all(context.sock)


@behave.given('the state of the host has {size:d} MB')
def large_state(context, size):
    context.admin.operations.dump.return_value = {'text': 'x' * size * 10**6}


@behave.when('a client requests the state, reads nothing and resets')
def reset_in_response(context):
    admin_listener = context.admin
    with contextlib.closing(admin_listener.connect()) as sock:
        head = f'Authorization: Bearer {admin_fixtures.TOKEN}'
        sock.sendall(f'GET /v1/dump HTTP/1.1\r\n{head}\r\n\r\n'.encode())
        buffers = admin_listener.admin._server._sockets._buffers
        admin_fixtures.wait_until(
            lambda: any(list(buffers.values())),
            'nothing is queued for writing',
        )
        reset = struct.pack('ii', 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)


@behave.when('a response is written to a closed admin connection')
def write_to_closed(context):
    server = context.admin.admin._server
    closed = socket.socket()
    closed.close()
    context.admin.call(
        lambda: server.fire(events.write(closed, b'x'), server.channel)
    )


@behave.when('{count:d} connections to the admin listener are open')
def many_connections(context, count):
    context.socks = [context.admin.connect() for _ in range(count)]
    for sock in context.socks:
        context.add_cleanup(sock.close)


@behave.then('at least {count:d} of them are closed by the admin listener')
def some_closed(context, count):
    def closed():
        return sum(_is_closed(sock) for sock in context.socks)

    admin_fixtures.wait_until(lambda: closed() >= count, closed())
    assert closed() == count


def _is_closed(sock):
    sock.setblocking(False)
    try:
        return sock.recv(1, socket.MSG_PEEK) == b''
    except BlockingIOError:
        return False
    except ConnectionError:
        return True


@behave.then(
    'after closing them the admin listener still serves and keeps no '
    'connection state'
)
def close_them(context):
    for sock in context.socks:
        sock.close()
    admin_fixtures.wait_until(
        lambda: not context.admin.connection_state,
        'the state of connections is never released',
    )
    serves(context)


@behave.when('another component of the event loop fails with "{message}"')
def other_part_fails(context, message):
    def fail():
        raise RuntimeError(message)

    context.admin.caller.fire(admin_fixtures.call(fail))


@behave.then('the log has one error with "{message}"')
def logged(context, message):
    def errors():
        return [r for r in context.records if r.levelno >= logging.ERROR]

    admin_fixtures.wait_until(errors, 'nothing was logged')
    assert len(errors()) == 1, errors()
    assert message in str(errors()[0].exc_info[1])


@behave.when('a manifest is submitted and its result is pending')
def submit_pending(context):
    admin_fixtures.set_result(context.admin.operations, None)
    pool = concurrent.futures.ThreadPoolExecutor(1)
    context.add_cleanup(pool.shutdown)
    context.pending = pool.submit(
        context.admin.request, 'POST', '/v1/manifest', b'{}'
    )
    _wait_for_submission(context)


@behave.when('a client submits a manifest and disconnects')
def submit_and_leave(context):
    admin_fixtures.set_result(context.admin.operations, None)
    with contextlib.closing(context.admin.connect()) as sock:
        head = (
            'POST /v1/manifest HTTP/1.1\r\nContent-Length: 2\r\n'
            f'Authorization: Bearer {admin_fixtures.TOKEN}\r\n\r\n'
        )
        sock.sendall(head.encode() + b'{}')
        _wait_for_submission(context)
    exchanges = context.admin.admin._server.http._exchanges
    admin_fixtures.wait_until(
        lambda: not exchanges, 'the end of the connection is not seen'
    )


def _wait_for_submission(context):
    admin_fixtures.wait_until(
        lambda: context.admin.operations.submit_manifest.called,
        'nothing was submitted',
    )


@behave.when('its result is {result}')
def result_comes(context, result):
    done = context.admin.operations.submit_manifest.call_args[0][1]
    context.admin.call(lambda: done(_result(result)))


@behave.then('the pending submission gets {status:d}')
def pending_gets(context, status):
    found, _, body = context.pending.result(admin_fixtures.STEP_TIMEOUT_S)
    assert found == status, (found, body)


@behave.then('a late result changes nothing')
def late_result(context):
    result_comes(context, 'Accepted(3)')
