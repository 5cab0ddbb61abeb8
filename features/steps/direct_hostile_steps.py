"""Steps for servers that send endless data."""

from __future__ import annotations

import itertools
import pathlib
import re
import socket
import threading
import time

import behave
import direct_host_fixtures
import process_fixtures

_HEAD = 'HTTP/1.1 {} Any\r\nX-Request-Id: {}\r\n'
_CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n'
_SIGNED = 'X-Response-Signature: s\r\n'
_LONG = 'Content-Length: 99999999999\r\n\r\n'
#: Bytes after which the server stops, if the host does not reset.
_MAX_SENT_BYTES = 400_000_000
_WRITE_BYTES = 65536


def _patterns(request_id):
    """Return the start and the repeated part of each pattern.

    The part is empty for a single response.
    """
    own, other = _HEAD.format(200, request_id), _HEAD.format(200, 'other')
    single = {
        f'one response with status {status}': (
            f'{_HEAD.format(status, request_id)}Content-Length: 0\r\n\r\n',
            '',
        )
        for status in ('000', '600')
    }
    return single | {
        'a head': (own, 'A: b\r\n'),
        'interim responses': ('', 'HTTP/1.1 102 Processing\r\n\r\n'),
        'a chunk extension': (own + _SIGNED + _CHUNKED + '5;', 'x'),
        'trailers': (own + _SIGNED + _CHUNKED + '0\r\n', 'A: b\r\n'),
        'an unsigned body': (own + _LONG, 'x'),
        'an error response': (_HEAD.format(500, request_id) + _LONG, 'x'),
        'a response to another request': (other + _SIGNED + _LONG, 'x'),
        'responses to other requests': (
            '',
            f'{other}{_SIGNED}Content-Length: 0\r\n\r\n',
        ),
        'chunks': (own + _CHUNKED, 'ffff\r\n' + 'x' * 65535 + '\r\n'),
    }


class _EndlessServer:
    """Send one pattern on each connection until the host closes it."""

    def __init__(self):
        self.pattern = 'a head'
        self.sent = []
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.port = self._listener.getsockname()[1]
        self._thread = threading.Thread(target=self._accept, daemon=True)
        self._thread.start()

    def close(self):
        """Stop accepting."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._thread.join()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock):
        with sock:
            head = sock.recv(65536)
            found = re.search(rb'(?i)x-request-id: (\S+)', head)
            if found is None and b' /api/' not in head:
                return
            request_id = found[1].decode() if found else ''
            start, part = _patterns(request_id)[self.pattern]
            data = part.encode() * (_WRITE_BYTES // max(1, len(part)))
            sent = len(start)
            try:
                sock.sendall(start.encode())
                if not data:
                    sock.recv(1)
                while data and sent < _MAX_SENT_BYTES:
                    sent += sock.send(data)
            except OSError:
                pass
            self.sent.append(sent)


@behave.fixture
def endless_server(context):
    """Run a server that sends endless data."""
    server = _EndlessServer()
    yield server
    server.close()


def _memory_mb(context, name='host1', field='VmRSS'):
    """Return the resident memory of a host in MB."""
    pid = context.processes.pid(name)
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    return int(re.search(rf'{field}:\s+(\d+) kB', status)[1]) / 1024


def _set_failure(context, failure):
    for number in (0, 1):
        direct_host_fixtures.control_platform(
            context,
            'server',
            server_id=f'i-plain-{number}',
            failure=failure,
        )


@behave.when('the other plain servers accept requests')
def others_accept(context):
    _set_failure(context, '')


@behave.when('the other plain servers reject requests')
def others_reject(context):
    _set_failure(context, 'shed')


@behave.given('a plain server that sends endless data')
def given_endless(context):
    context.endless = behave.use_fixture(endless_server, context)
    direct_host_fixtures.control_platform(
        context, 'register', port=context.endless.port
    )
    process_fixtures.wait_until(
        lambda: any(
            server['server_id'] == 'i-plain-4'
            for server in direct_host_fixtures.state(context, 'host1')[
                'registry'
            ]
        )
    )
    # The other servers reject all requests, so that this one gets them.
    _set_failure(context, 'shed')
    context.memory_mb = _memory_mb(context)


@behave.when('payments receive each of these from that server')
def payments_receive(context):
    context.received = {}
    for row in context.table:
        context.endless.pattern = row['bytes']
        count = len(context.endless.sent)
        for number in itertools.count():
            assert number < 50, 'no payment came to the server'
            began = time.monotonic()
            status, _, _ = direct_host_fixtures.request(
                context, 1, 'POST', '/p/x'
            )
            took_s = time.monotonic() - began
            if status != 503:
                break
            time.sleep(0.05)
        process_fixtures.wait_until(lambda: len(context.endless.sent) > count)
        context.received[row['bytes']] = (status, took_s)


@behave.then('each of these payments is answered 502 within a second')
def each_502(context):
    for pattern, (status, took_s) in context.received.items():
        assert status == 502, (pattern, status)
        assert took_s < 1.0, (pattern, took_s)


@behave.then(
    'a guide that receives {pattern} is answered by another server within a '
    'second'
)
def guide_is_repeated(context, pattern):
    """Send guides until one of them has come to the malformed server."""
    context.endless.pattern = pattern
    count = len(context.endless.sent)
    for _ in range(200):
        began = time.monotonic()
        status, _, _ = direct_host_fixtures.request(context, 1, 'GET', '/g/x')
        assert status == 200, status
        assert time.monotonic() - began < 1.0
        if len(context.endless.sent) > count:
            return
    raise AssertionError('no guide came to the server')


@behave.then('the server could send at most {size:d} MB each time')
def sent_little(context, size):
    # The buffers of both sockets hold what the host has not read.
    assert max(context.endless.sent) < size * 1e6, context.endless.sent


@behave.then('the memory of host 1 has grown by less than {size:d} MB')
def memory_is_bounded(context, size):
    grown = _memory_mb(context) - context.memory_mb
    assert grown < size, grown


@behave.then('lookups at host 1 are answered as before')
def lookups_answered(context):
    for key in direct_host_fixtures.KEYS:
        assert direct_host_fixtures.is_served(context, 1, key)


@behave.given(
    '{count:d} keyed servers that answer orders with {pattern} without end'
)
def endless_orders(context, count, pattern):
    context.endless_servers = [
        behave.use_fixture(endless_server, context) for _ in range(count)
    ]
    for server in context.endless_servers:
        server.pattern = pattern
    context.peak_mb = {
        name: _memory_mb(context, name, 'VmHWM')
        for name in direct_host_fixtures.NAMES
    }
    for server in context.endless_servers:
        direct_host_fixtures.control_platform(
            context, 'register', port=server.port, service='keyed'
        )


@behave.when('the other keyed servers leave')
def keyed_leave(context):
    for number in (0, 1):
        direct_host_fixtures.control_platform(
            context,
            'server',
            server_id=f'i-keyed-{number}',
            state='draining',
        )


@behave.then('each of the {count:d} servers has got an order')
def got_orders(context, count):
    sent = [server.sent for server in context.endless_servers]
    assert len(sent) == count and all(sent), sent


@behave.then('each of them could send at most {size:d} MB in an answer')
def sent_little_each(context, size):
    # The buffers of both sockets hold what the host has not read.
    sent = [max(server.sent) for server in context.endless_servers]
    assert max(sent) < size * 1e6, sent


@behave.then(
    'the memory of both hosts has never grown by more than {size:d} MB'
)
def peaks_are_bounded(context, size):
    grown = {
        name: _memory_mb(context, name, 'VmHWM') - before
        for name, before in context.peak_mb.items()
    }
    assert max(grown.values()) < size, grown
