"""Steps for the backend server stand-in."""

from __future__ import annotations

import contextlib
import http.client
import pathlib
import selectors
import socket
import tempfile
import time

import behave

from radishferry_testing import calls
from radishferry_testing import process_specs
from radishferry_testing import processes
from radishferry_testing import run_log
from radishferry_testing import server_lease

RANGE = '1'
EPOCH = 3
TERM = 5

#: Request body that is sent later than the head of its request.
BODY = b'0123456789'


@behave.given(
    'a server lease under term {term:d} until {expiry:d} ms with range '
    '"{range_id}" at epoch {epoch:d}'
)
def server_lease_held(context, term, expiry, range_id, epoch):
    context.lease = server_lease.ServerLease()
    context.seq = 10
    assert context.lease.grant(0, term, 10, expiry, {range_id: epoch})


@behave.when(
    'a grant under term {term:d} with an old seq until {expiry:d} ms arrives'
)
def grant_with_old_seq(context, term, expiry):
    context.accepted = context.lease.grant(500, term, 10, expiry, None)


@behave.when('a grant under term {term:d} until {expiry:d} ms arrives')
def grant_under_term(context, term, expiry):
    context.seq += 1
    context.accepted = context.lease.grant(
        500, term, context.seq, expiry, None
    )


@behave.when(
    'at {now:d} ms range "{range_id}" is granted at epoch {epoch:d} until '
    '{expiry:d} ms'
)
def grant_range(context, now, range_id, epoch, expiry):
    context.seq += 1
    assert context.lease.grant(
        now, TERM, context.seq, expiry, {range_id: epoch}
    )


@behave.when('range "{range_id}" is revoked')
def revoke_range(context, range_id):
    context.seq += 1
    assert context.lease.grant(400, TERM, context.seq, 600, {})


@behave.when('work on range "{range_id}" begins')
def work_begins(context, range_id):
    context.range_id = range_id
    context.generation = context.lease.begin(range_id)


@behave.when('the work ends')
def work_ends(context):
    context.lease.finish(context.range_id)


@behave.then('the grant is refused')
def grant_refused(context):
    assert context.accepted is False


@behave.then('at {now:d} ms the lease holds nothing')
@behave.then(
    'at {now:d} ms the lease holds range "{range_id}" at epoch {epoch:d}'
)
def lease_holds(context, now, range_id=None, epoch=None):
    held = context.lease.held(now)
    assert held == ({range_id: epoch} if range_id else {}), held


@behave.then(
    'at {now:d} ms work on range "{range_id}" at epoch {epoch:d} is refused'
)
def work_refused(context, now, range_id, epoch):
    reason = context.lease.refusal_reason(now, range_id, epoch)
    assert reason == 'range-not-held', reason


@behave.then('at {now:d} ms the work may commit')
def may_commit(context, now):
    assert context.lease.may_commit(now, context.range_id, context.generation)


@behave.then('at {now:d} ms the work may not commit')
def may_not_commit(context, now):
    assert not context.lease.may_commit(
        now, context.range_id, context.generation
    )


@behave.given('a server stand-in with {slots:d} slots')
def server_stand_in(context, slots, *options):
    kinds = ('--kind', '/lots/:0', '--kind', '/slow/:3600000:64:fixed')
    _start_server(context, '--slots', str(slots), *options, *kinds)


@behave.given(
    'a server stand-in with {slots:d} slots and the option "{option:S}"'
)
def server_with_option(context, slots, option):
    server_stand_in(context, slots, option)


@behave.when(
    'a request under a lease of {seconds:d} s has started and waits for its '
    'body'
)
def start_under_lease(context, seconds):
    # On a slow machine the lease may expire before the request starts.
    for epoch in range(EPOCH, EPOCH + 100):
        context.expires = _grant(context, seconds, {RANGE: epoch})
        context.socket = _open_request(context, _range_headers(epoch))
        if _wait_event(context, 'start', 'refuse') == 'start':
            return
    raise AssertionError('no request started within the lease')


@behave.when('a request has started and waits for its body')
def start_and_wait(context):
    context.socket = _open_request(context, ())
    _wait_event(context, 'start')


@behave.when('a request that takes an hour has started')
def start_slow(context):
    context.socket = _open_request(context, (), '/slow/1')
    context.socket.sendall(BODY)
    _wait_event(context, 'start')


@behave.when('a request with a deadline of {deadline:d} ms waits for its body')
def start_with_deadline(context, deadline):
    context.socket = _open_request(
        context, [('Radishferry-Deadline-Ms', deadline)]
    )


@behave.when('{count:d} requests wait for their bodies')
def many_wait(context, count):
    context.sockets = [_open_request(context, ()) for _ in range(count)]


@behave.when('the server is paused until the lease has expired')
def pause_past_lease(context):
    context.processes.pause('s1')
    time.sleep(max(0.0, context.expires - time.monotonic()))
    context.processes.resume('s1')


@behave.when('the body of the request is sent')
def send_body(context):
    context.socket.sendall(BODY)


@behave.when('the server is killed')
def kill_server(context):
    context.processes.kill('s1')


@behave.when('the caller closes the connection')
def close_connection(context):
    context.socket.close()


@behave.when('a request with the poison in its {place} is sent')
def send_poison(context, place):
    headers = (('X-Test-Crash', '1'),) if place == 'header' else ()
    value = 'X-Test-Crash: 1' if place == 'body' else None
    with contextlib.suppress(OSError, http.client.HTTPException):
        calls.call(context.server, 'POST', '/lots/1', value, headers)


@behave.when('a request under a lower term is sent')
def send_lower_term(context):
    _grant(context, 3600, {RANGE: EPOCH})
    headers = [*_range_headers(EPOCH)[1:], ('Radishferry-Term', TERM - 1)]
    context.status = calls.call(
        context.server, 'GET', '/lots/1', headers=headers
    )[0]


@behave.when('its health is set to {slots:d} slots')
def set_health(context, slots):
    value = {'health': {'slots': slots, 'busy': 0}}
    assert calls.call(context.server, 'POST', '/control', value)[0] == 200


@behave.then('its health shows {slots:d} slots')
def shows_health(context, slots):
    _, _, answer = calls.call(context.server, 'GET', '/health')
    assert answer['slots'] == slots, answer


@behave.then('the request to the stand-in gets status {status:d}')
def request_gets_status(context, status):
    found = getattr(context, 'status', None)
    if found is None:
        found = _status(context.socket)
    assert found == status, found


@behave.then('another request to the stand-in gets status {status:d}')
def another_request(context, status):
    found, _, _ = calls.call(context.server, 'GET', '/lots/2')
    assert found == status, found


@behave.then('one of them is refused with "{reason}"')
def one_is_refused(context, reason):
    with selectors.DefaultSelector() as selector:
        for sock in context.sockets:
            selector.register(sock, selectors.EVENT_READ)
        ready = selector.select(calls.TIMEOUT_S)
    assert len(ready) == 1, ready
    assert _status(ready[0][0].fileobj) == 503
    refused = [e for e in _events(context) if e['event'] == 'refuse']
    assert [e['reason'] for e in refused] == [reason], refused


@behave.then('the run log ends with "{event:w}"')
def log_ends(context, event):
    assert _events(context)[-1]['event'] == event, _events(context)


@behave.then('the run log ends with "{event:w}" because of "{reason}"')
def log_ends_because(context, event, reason):
    last = _events(context)[-1]
    assert (last['event'], last['reason']) == (event, reason), last


@behave.then('the run log has "{event:w}" because of "{reason}"')
def log_has(context, event, reason):
    found = [(e['event'], e.get('reason')) for e in _events(context)]
    assert (event, reason) in found, found


@behave.then('the server has ended with status {status:d}')
def server_ended(context, status):
    found = context.processes.wait_ended('s1')
    assert found == status, found


def _start_server(context, *arguments):
    stack = contextlib.ExitStack()
    context.add_cleanup(stack.close)
    directory = stack.enter_context(tempfile.TemporaryDirectory())
    context.log = pathlib.Path(directory) / 's1.log'
    spec = process_specs.server('s1', context.log, *arguments)
    context.processes = stack.enter_context(
        processes.running(directory, [spec])
    )
    context.server = context.processes.address('s1')
    context.sockets = []
    context.seq = 0
    context.status = None


def _grant(context, seconds, ranges):
    """Grant ranges; return a monotonic time by which the lease has expired."""
    clock_ms = _send_grant(context, 0, None)
    _send_grant(context, clock_ms + seconds * 1000, ranges)
    return time.monotonic() + seconds


def _send_grant(context, expires_at_ms, ranges):
    """Send a grant; return the clock reading of the server in ms."""
    context.seq += 1
    body = {
        'term': TERM,
        'seq': context.seq,
        'expires_at_ms': expires_at_ms,
        'ranges': ranges,
    }
    status, _, answer = calls.call(context.server, 'POST', '/lease', body)
    assert status == 200, answer
    return answer['clock_ms']


def _range_headers(epoch):
    return [
        ('Radishferry-Term', TERM),
        ('Radishferry-Range', RANGE),
        ('Radishferry-Epoch', epoch),
    ]


def _open_request(context, headers, path='/lots/1'):
    """Send a request without its body and return the socket."""
    host, port = context.server.split(':')
    sock = socket.create_connection((host, int(port)), calls.TIMEOUT_S)
    context.add_cleanup(sock.close)
    lines = [f'POST {path} HTTP/1.1', f'Content-Length: {len(BODY)}']
    lines.extend(f'{name}: {value}' for name, value in headers)
    sock.sendall(('\r\n'.join(lines) + '\r\n\r\n').encode())
    return sock


def _status(sock):
    with sock.makefile('rb') as file:
        return int(file.readline().split()[1])


def _events(context):
    return [fields for _, fields in run_log.read(context.log)]


def _wait_event(context, *names):
    """Wait until the last event of the log is one of these; return it."""
    end = time.monotonic() + calls.TIMEOUT_S
    while time.monotonic() < end:
        last = _events(context)[-1]['event']
        if last in names:
            return last
        time.sleep(0.01)
    raise AssertionError(f'none of {names} in {_events(context)}')
