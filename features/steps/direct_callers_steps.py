"""Steps for connections of callers, without a network."""

from __future__ import annotations

import itertools
import re

import behave
import load_fixtures

from radishferry.direct import configuration
from radishferryd import http_message
from radishferryd.router import callers
from radishferryd.router import memory_account
from radishferryd.router import results

_HEAD = b'POST /p HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n'
_LOOKUP = b'GET /p HTTP/1.1\r\nHost: h\r\n\r\n'
_CHUNKED = _HEAD + b'Transfer-Encoding: chunked\r\n\r\n'


class _Socket:
    """Stand in for a network connection."""

    is_open = True
    has_lingered = False
    queued_bytes = 0
    #: Called in place of the second write, None if it succeeds.
    on_second_write = None

    def __init__(self):
        self.written = b''

    def write(self, data):
        if self.written and self.on_second_write is not None:
            self.on_second_write()
            return
        self.written += data

    def close(self):
        self.is_open = False

    def linger_close(self, call_later):
        self.has_lingered = True
        self.close()

    abort = close

    def pause_reading(self):
        """Ignore backpressure."""

    def resume_reading(self):
        """Ignore backpressure."""


class _Request:
    """Stand in for a request to which the test responds."""

    is_paused = False

    def __init__(self, slot):
        self._slot = slot

    def stop(self):
        self._slot.refuse(
            results.Refusal(504, results.Reason.STOPPING, 'It stops.')
        )

    def pause(self):
        self.is_paused = True

    def resume(self):
        self.is_paused = False

    def cancel(self, detail):
        """Ignore the disconnect of the caller."""


class _Gateway:
    """Record the requests that have begun."""

    is_stopping = False
    accepts_requests = True
    limits = configuration.Limits()

    def __init__(self):
        self.scheduler = load_fixtures.Scheduler()
        self.now = self.scheduler.now
        self.memory = memory_account.unlimited(self.now)
        self.connections = set()
        self.begun = []

    def begin(self, slot):
        self.begun.append(slot)
        # As a request does, which needs it for its attempts.
        slot.body.hold()
        slot.request = _Request(slot)
        return slot.request

    def stop_refusal(self):
        return results.Refusal(503, results.Reason.STOPPING, 'It stops.', 0.2)

    def refused(self, slot, refusal):
        """Ignore what is only logged."""


@behave.given('a connection of a caller')
def caller(context):
    context.gateway = _Gateway()
    context.socket = _Socket()
    context.connection = callers.CallerConnection(context.gateway)
    context.connection.connected(context.socket)


@behave.given('a connection of a caller with two requests in progress')
def two_requests(context):
    caller(context)
    context.connection.received(_LOOKUP + _LOOKUP)
    assert len(context.gateway.begun) == 2


def _send_slowly(context, data):
    """Send a byte a second and check the timeouts in between."""
    for byte in data:
        context.connection.received(bytes((byte,)))
        context.gateway.scheduler.advance(1.0)
        context.connection.check_time(context.gateway.now())
        if context.socket.written:
            return


@behave.when('the caller sends a head one byte a second')
def slow_head(context):
    _send_slowly(context, b'GET /' + b'a' * 300)


@behave.when('the caller sends a body one byte a second')
def slow_body(context):
    context.connection.received(
        _HEAD + b'X-Deadline-Ms: 4000\r\nContent-Length: 5000\r\n\r\n'
    )
    _send_slowly(context, b'a' * 20)


@behave.when('the caller sends a body and asks for another protocol')
def upgrade(context):
    context.connection.received(
        _HEAD + b'Connection: Upgrade\r\nUpgrade: other\r\n'
        b'Content-Length: 4\r\n\r\nabcd'
    )


@behave.when('the caller sends {size:d} bytes of {what}')
def endless(context, size, what):
    start, part = {
        'a head': (b'GET /p HTTP/1.1\r\n', b'A: b\r\n'),
        'a chunk extension': (_CHUNKED + b'1;', b'xxxxxx'),
        'trailers': (_CHUNKED + b'0\r\n', b'A: b\r\n'),
        'empty lines': (b'', b'\r\n'),
    }[what]
    context.connection.received(start)
    for _ in itertools.repeat(None, size // len(part)):
        context.connection.received(part)


@behave.when('the caller sends a body of {count:d} chunks of a byte')
def small_chunks(context, count):
    context.connection.received(_CHUNKED + b'1\r\nx\r\n' * count)
    context.connection.received(b'0\r\n\r\n')


@behave.when('the response to the second request streams {size:d} bytes')
def streams(context, size):
    slot = context.gateway.begun[1]
    slot.begin_stream(http_message.Head('', '', 200, (), True))
    for _ in range(size // 50000):
        slot.stream(b'x' * 50000)


@behave.when('the response to the second request breaks off')
def breaks_off(context):
    context.gateway.begun[1].break_off(
        results.Refusal(502, results.Reason.BAD_ANSWER, 'It broke off.')
    )


@behave.then('the last response is incomplete and the connection is closed')
def is_incomplete(context):
    assert not context.socket.written.endswith(http_message.LAST_CHUNK)
    assert not context.socket.is_open


@behave.when('the caller announces a body')
def announces_body(context):
    context.connection.received(
        _HEAD + b'Expect: 100-continue\r\nContent-Length: 5\r\n\r\n'
    )


@behave.when('the caller sends {count:d} pieces of an invalid request')
def invalid_pieces(context, count):
    for _ in range(count):
        context.connection.received(b'\x00\x01 nothing\r\n')


@behave.when('the caller resets the connection after the first response')
def resets(context):
    context.socket.on_second_write = lambda: context.connection.closed(
        ConnectionResetError()
    )
    _answer(context, 0)


@behave.then('the connection has {count:d} open requests')
def has_open(context, count):
    assert context.connection.open_requests == count


@behave.given('the host stops')
@behave.when('the host stops')
def host_stops(context):
    context.gateway.is_stopping = True


@behave.when('the host refuses requests')
def host_refuses(context):
    context.gateway.accepts_requests = False
    context.connection.refuse_incomplete(context.gateway.stop_refusal())


@behave.when('the host answers the open requests')
def host_answers(context):
    context.connection.end_requests()


@behave.when('the caller sends another request')
def sends_another(context):
    context.connection.received(_LOOKUP)


@behave.when('the caller sends a part of a body')
def sends_part(context):
    context.connection.received(_HEAD + b'Content-Length: 50\r\n\r\na')


def _answer(context, number):
    slot = context.gateway.begun[number]
    slot.answer(http_message.Head('', '', 200, (), True), b'abc')


@behave.when('the first request is answered')
def first_answered(context):
    _answer(context, 0)


@behave.when('the second request is answered')
def second_answered(context):
    _answer(context, 1)


@behave.then('the caller gets status {status:d} and no request has begun')
def gets_status(context, status):
    expected = f'HTTP/1.1 {status} '.encode()
    assert context.socket.written.startswith(expected), context.socket.written
    assert not context.gateway.begun


@behave.then('{count:d} requests have begun')
def have_begun(context, count):
    assert len(context.gateway.begun) == count, context.gateway.begun


@behave.then('the caller gets statuses {statuses}')
def gets_statuses(context, statuses):
    found = re.findall(rb'HTTP/1.1 (\d+) ', context.socket.written)
    assert found == statuses.encode().split(b', '), context.socket.written


@behave.then('the connection closes once the caller has closed it')
def lingers(context):
    assert context.socket.has_lingered
    assert b'Connection: close' in context.socket.written


@behave.then('a request with a body of {size:d} bytes has begun')
def has_begun(context, size):
    (slot,) = context.gateway.begun
    assert len(b''.join(slot.body.parts())) == size
    assert not context.socket.written


@behave.then('the second request is paused')
def is_paused(context):
    assert context.gateway.begun[1].request.is_paused


@behave.then('the second request is resumed')
def is_resumed(context):
    assert not context.gateway.begun[1].request.is_paused
    assert len(context.socket.written) > 1900000
