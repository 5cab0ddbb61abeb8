"""Steps for planned stops of hosts that send directly, run as processes."""

from __future__ import annotations

import http.client
import signal
import socket
import time

import behave
import direct_host_fixtures

from radishferry_testing.users.platform import caller

#: Deadline of the requests, in milliseconds; longer than any stop.
_DEADLINE_MS = 20000
_KEY = 5


def _request_bytes(request_id, method, path, work_s, body_size=0):
    key = _KEY if method == 'GET' else None
    headers = caller.request_headers(request_id, _DEADLINE_MS, key)
    headers['X-Test-Work-S'] = str(work_s)
    if body_size:
        headers['Content-Length'] = str(body_size)
    lines = [f'{method} {path} HTTP/1.1']
    lines.extend(f'{name}: {value}' for name, value in headers.items())
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


@behave.fixture
def _connection(context):
    port = context.processes.port('host1', 'callers')
    with socket.create_connection(('127.0.0.1', port), 20) as sock:
        yield sock


def _connect(context):
    context.socket = behave.use_fixture(_connection, context)
    context.request_ids = []


def _new_id(context):
    context.request_ids.append(f't{next(direct_host_fixtures.request_ids)}')
    return context.request_ids[-1]


def _send_lookup(context, work_s):
    context.socket.sendall(
        _request_bytes(_new_id(context), 'GET', '/k/x', work_s)
    )


def _read_statuses(context):
    """Return the statuses of the responses until the connection closes."""
    statuses = []
    with context.socket.makefile('rb') as file:
        while status := _read_status(file):
            statuses.append(status)
    return statuses


def _read_status(file):
    """Read one complete response and return its status, or None."""
    try:
        words = file.readline().split()
        head = http.client.parse_headers(file)
        length = int(head.get('Content-Length', 0))
        is_complete = words and len(file.read(length)) == length
    except OSError:
        return None
    return int(words[1]) if is_complete else None


def _ran(context):
    """Return the ids of the requests that servers have run."""
    return {e[2]['id'] for e in direct_host_fixtures.runs(context)}


@behave.given('routes with a timeout of {seconds:d} seconds')
def set_timeout(context, seconds):
    direct_host_fixtures.control_platform(
        context, 'configure', version=2, timeout_s=seconds
    )
    time.sleep(1.0)


@behave.when(
    'lookups with {first_s:g} and {second_s:g} seconds of work are sent on '
    'one connection'
)
def send_two(context, first_s, second_s):
    _connect(context)
    _send_lookup(context, first_s)
    _send_lookup(context, second_s)
    time.sleep(0.05)


@behave.when('a further lookup is sent on the connection')
def send_further(context):
    _send_lookup(context, 0.1)


@behave.when('host 1 is stopped')
def stop(context):
    context.stopped_at = time.monotonic()
    context.processes.signal('host1', signal.SIGTERM)


@behave.when(
    'a {kind} begins {start_s:g} seconds later, ends {body_s:g} seconds after '
    'that and has {work_s:g} seconds of work'
)
def send_late(context, kind, start_s, body_s, work_s):
    method, path, size = {
        'lookup': ('GET', '/k/x', 0),
        'payment': ('POST', '/p/x', 2),
    }[kind]
    time.sleep(start_s)
    _connect(context)
    data = _request_bytes(_new_id(context), method, path, work_s, size)
    data += b'x' * size
    context.socket.sendall(data[:-1])
    time.sleep(body_s)
    context.ended_at = time.monotonic()
    context.socket.sendall(data[-1:])
    context.statuses = _read_statuses(context)


@behave.then(
    'the lookups on the connection get statuses {first:d} and {last:d}'
)
def get_statuses(context, first, last):
    context.statuses = _read_statuses(context)
    assert context.statuses == [first, last], context.statuses


@behave.then(
    'it gets a 503 within {seconds:g} seconds and the connection is closed'
)
def is_refused(context, seconds):
    assert context.statuses == [503], context.statuses
    assert time.monotonic() - context.ended_at < seconds


@behave.then('no server has run it')
def not_run(context):
    assert not _ran(context).intersection(context.request_ids)


@behave.then('each lookup that a server has run has got a response')
def all_answered(context):
    lost = _ran(context).intersection(
        context.request_ids[len(context.statuses) :]
    )
    assert not lost, lost
