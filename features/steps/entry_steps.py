"""Steps for the requests of callers at their entry host."""

from __future__ import annotations

import dataclasses
import types

import behave

from features.steps import load_fixtures
from radishferry import manifest
from radishferry import outcomes
from radishferry import routing
from radishferry import retries
from radishferryd import entry
from radishferryd import http_server

DEADLINE_MS = 2000


class _Source:
    def __init__(self):
        self.parts = []
        self.granted = 0
        self.is_cancelled = False

    def send(self, data, is_last):
        self.parts.append((data, is_last))

    def add_credit(self, size):
        self.granted += size

    def cancel(self):
        self.is_cancelled = True


class _Router:
    def __init__(self, changes):
        self.sinks = []
        self.sources = []
        self.ends = []
        self._changes = changes

    def route(self, request):
        number = len(self.sinks) if self._changes else 0
        return routing.Route(1, number, f'server-{number}', 'host-1')

    def connect(self, request, sink):
        self.sinks.append(sink)
        self.sources.append(_Source())
        return self.sources[-1]

    def ended(self, request, elapsed_s, failed):
        self.ends.append((request.server, failed))


def _begin(context, idempotent, changes, has_body):
    kind = manifest.RequestKind(
        'kind', 'POST', '/lots/{key}', idempotent, False, DEADLINE_MS
    )
    service = manifest.Service('inventory', True, (), (kind,))
    context.clock = load_fixtures.Scheduler()
    context.router = _Router(changes)
    context.answer = load_fixtures.Sink()
    request = entry.CallerRequest(
        service, kind, 'a', 'POST', '/lots/a', (), 'id', '', has_body, False
    )
    context.entry = entry.EntryRequest(
        context.router,
        context.clock,
        retries.RetryBudget(),
        request,
        context.answer,
    )
    if not has_body:
        context.entry.start()


@behave.given(
    'a request of {which} kind whose owner {route} after each attempt'
)
def begin_request(context, which, route):
    _begin(context, which == 'an idempotent', route == 'changes', False)


@behave.given('a request with a body whose owner changes after each attempt')
def begin_with_body(context):
    _begin(context, True, True, True)


def _refuse(context, outcome, reason):
    context.router.sinks[-1].on_refused(
        outcomes.Refusal(outcomes.Outcome(outcome), outcomes.Reason(reason))
    )


@behave.when('its attempt ends as {outcome} because of {reason}')
def end_attempt(context, outcome, reason):
    _refuse(context, outcome, reason)


@behave.when('{count:d} attempts end as {outcome} because of {reason}')
def end_attempts(context, count, outcome, reason):
    for _ in range(count):
        _refuse(context, outcome, reason)


@behave.when('its attempt answers the head')
def answer_head(context):
    context.router.sinks[-1].on_head(200, ())


@behave.when('the first attempt answers late')
def answer_late(context):
    context.router.sinks[0].on_head(200, ())
    context.router.sinks[0].on_chunk(b'late', True)


def _answer(context, status):
    context.router.sinks[-1].on_head(status, ())
    context.router.sinks[-1].on_chunk(b'', True)


@behave.when("the request's answer is complete")
def answer_complete(context):
    _answer(context, 200)


@behave.when("the request's answer is an error")
def answer_error(context):
    _answer(context, 500)


@behave.when("the request's caller disconnects")
def caller_disconnects(context):
    context.entry.cancel()


@behave.when("the request's deadline passes")
def deadline_passes(context):
    context.clock.advance(DEADLINE_MS / 1000 + 1)


@behave.when('the caller sends {size:d} bytes and the end')
def send_body(context, size):
    context.entry.send(b'x' * size, False)
    context.entry.send(b'', True)


@behave.then('the entry host has made {count:d} attempts')
def check_attempts(context, count):
    assert len(context.router.sinks) == count, len(context.router.sinks)


@behave.then('the caller is told {outcome} because of {reason}')
def check_told(context, outcome, reason):
    found = [
        (r.outcome.value, r.reason.value) for r in context.answer.refusals
    ]
    assert found == [(outcome, reason)], found
    assert context.entry.is_done


@behave.then('the stream of the attempt is cancelled')
def check_cancelled(context):
    assert context.router.sources[-1].is_cancelled


@behave.then('the caller has got {count:d} chunks')
def check_chunk_count(context, count):
    assert len(context.answer.chunks) == count


@behave.then('each of {count:d} attempts got {size:d} bytes and the end')
def check_bodies(context, count, size):
    sources = context.router.sources
    assert len(sources) == count
    for source in sources:
        assert b''.join(data for data, _ in source.parts) == b'x' * size
        assert [last for _, last in source.parts].count(True) == 1
        assert source.parts[-1][1]


@behave.then(
    '{count:d} attempts are recorded as ended, the last with failed {failed}'
)
def check_ended(context, count, failed):
    ends = context.router.ends
    names = [server for server, _ in ends]
    assert names == [f'server-{n}' for n in range(count)], ends
    assert str(ends[-1][1]) == failed, ends


class _Socket:
    """Fake the connection to the caller."""

    has_lingered = False

    def __init__(self):
        self.written = b''

    def write(self, data):
        self.written += data

    def close(self):
        pass

    def linger_close(self, call_later):
        self.has_lingered = True

    pause_reading = resume_reading = abort = close


class _Gateway:
    """Match every target and record the cancelled requests."""

    def __init__(self, limit):
        kind = manifest.RequestKind(
            'kind', 'POST', '/lots/{key}', True, max_body_bytes=limit
        )
        service = manifest.Service('inventory', True, (), (kind,))
        self.match_found = types.SimpleNamespace(
            service=service, kind=kind, key='a'
        )
        self.cancelled_requests = []
        self.request = None

    def match(self, method, target):
        return self.match_found

    def is_ready(self):
        return True

    def is_stopping(self):
        return False

    def call_later(self, delay_s, callback):
        """Ignore scheduled calls."""

    def begin(self, request, answer):
        self.request = _Request(request)
        self.answer = answer
        return self.request

    def finished(self, request, status, refusal):
        pass

    def cancelled(self, request):
        self.cancelled_requests.append(request)

    def connection_opened(self, connection):
        pass

    def connection_closed(self, connection):
        pass


@dataclasses.dataclass
class _Request:
    request: entry.CallerRequest
    is_done: bool = False
    is_cancelled: bool = False
    granted: int = 0

    def start(self):
        pass

    def send(self, data, is_last):
        pass

    def add_credit(self, size):
        self.granted += size

    def cancel(self):
        self.is_cancelled = True


def _connect(context, limit):
    context.gateway = _Gateway(limit)
    context.socket = _Socket()
    context.connection = http_server.CallerConnection(context.gateway)
    context.connection.connected(context.socket)


@behave.given('a caller connection with bodies up to {limit:d} bytes')
def connect_caller(context, limit):
    _connect(context, limit)


@behave.given('a caller connection with a running request')
def connect_and_request(context):
    _connect(context, 100)
    context.connection.received(b'POST /lots/a HTTP/1.1\r\nHost: a\r\n\r\n')


@behave.when('the caller sends a further request')
def send_further(context):
    context.connection.received(b'POST /lots/a HTTP/1.1\r\nHost: a\r\n\r\n')


@behave.when('the running request is answered')
def answer_running(context):
    context.gateway.answer.on_head(200, (('content-length', '1'),))
    context.gateway.answer.on_chunk(b'a', True)


@behave.then('the connection closes once its caller has closed it')
def lingers(context):
    assert context.socket.has_lingered


@behave.when('the caller connection is closed')
def close_caller(context):
    context.connection.closed(None)


@behave.then('its request is cancelled and removed')
def check_removed(context):
    assert context.gateway.request.is_cancelled
    assert context.gateway.cancelled_requests == [context.gateway.request]


@behave.when('the caller sends a declared body of {size:d} bytes')
def send_declared(context, size):
    head = f'POST /lots/a HTTP/1.1\r\nContent-Length: {size}\r\n\r\n'
    context.connection.received(head.encode() + b'x' * size)


@behave.when('the caller sends a chunked body of {size:d} bytes')
def send_chunked(context, size):
    head = b'POST /lots/a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
    context.connection.received(head + b'%x\r\n' % size + b'x' * size)


@behave.then('the caller reads status {status:d} with the outcome {outcome}')
def check_status(context, status, outcome):
    head = context.socket.written.decode()
    assert head.startswith(f'HTTP/1.1 {status} '), head
    assert f'Radishferry-Outcome: {outcome}\r\n' in head, head


@behave.when('the answer begins and the caller reads too slowly')
def begin_slowly(context):
    context.gateway.answer.on_head(200, (('content-length', '1000000'),))
    context.connection.pause_producing()


@behave.when('{size:d} bytes of the answer arrive')
def answer_arrives(context, size):
    context.gateway.answer.on_chunk(b'x' * size, False)


@behave.when('the caller reads again')
def read_again(context):
    context.connection.resume_producing()


@behave.then('the request was granted {size:d} bytes')
def check_granted(context, size):
    assert context.gateway.request.granted == size
