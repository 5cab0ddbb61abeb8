"""Steps for callers that fill the memory of a host."""

from __future__ import annotations

import dataclasses
import itertools
import pathlib
import re
import selectors
import socket
import struct
import tempfile
import time

import behave
import direct_host_fixtures
import process_fixtures

from radishferry_testing import process_specs
from radishferry_testing import processes as processes_module
from radishferryd.router import bodies
from radishferryd.router import callers
from radishferryd.router import memory_account

#: Seconds without progress of any caller after which a crowd counts as stuck.
_STUCK_S = 4.0
#: Seconds after which a crowd is no longer driven, so that no test hangs.
_CROWD_S = 60.0
_PIECE = b'x' * 65536
_MB = 1_000_000
#: Headers that make a host hold many times their size.
_LINES = b'A:\r\n' * 3200
_ID = itertools.count()


def _post(size=None, *lines):
    length = (
        'Transfer-Encoding: chunked'
        if size is None
        else f'Content-Length: {size}'
    )
    fields = (
        'POST /p/x HTTP/1.1',
        'Host: example',
        f'X-Request-Id: crowd{next(_ID)}',
        'X-Deadline-Ms: 60000',
        'Radishferry-Relay: 1 0 plain',
        length,
        *lines,
    )
    return '\r\n'.join(fields).encode() + b'\r\n\r\n'


def _body(size):
    yield from itertools.repeat(_PIECE, size // len(_PIECE))
    yield _PIECE[: size % len(_PIECE)]


def _whole(size):
    yield _post(size)
    yield from _body(size)


def _short(size, *lines):
    yield _post(size, *lines)
    yield from _body(size - 1)


def _short_chunks(size):
    yield _post()
    for part in _body(size):
        yield b'%x\r\n%b\r\n' % (len(part), part)


def _one_by_one(size):
    yield _post(size)
    yield from _body(size - 100)
    yield from itertools.repeat(b'x', 20)


def _tiny_chunks(size):
    yield _post()
    yield from itertools.repeat(b'2\r\nxx\r\n' * 1000, size // 2000)


def _endless_head():
    yield b'GET /g/x HTTP/1.1\r\nHost: example\r\n' + _LINES


def _unread():
    for _ in range(16):
        yield from _whole(700_000)


_ACTIONS = {
    'send bodies of 64 MiB': lambda: _whole(67108864),
    'stop just short of the end of 40 MB': lambda: _short(40 * _MB),
    'stop short of 40 MB in chunks': lambda: _short_chunks(40 * _MB),
    'do not wait for 100 Continue with 40 MB': lambda: _short(
        40 * _MB, 'Expect: 100-continue'
    ),
    'send all but 100 bytes of 1 MB, then one by one': lambda: _one_by_one(
        _MB
    ),
    'send 500000 bytes in chunks of two': lambda: _tiny_chunks(500_000),
    'send heads of many lines without their end': _endless_head,
    'never read large responses to pipelined requests': _unread,
    'connect and send nothing': lambda: iter(()),
}


@dataclasses.dataclass
class _Caller:
    """Send pieces as the host takes them, and keep what it answers."""

    sock: socket.socket
    pieces: object
    reads: bool
    left: memoryview = memoryview(b'')
    received: bytes = b''
    is_open: bool = True

    def step(self, mask) -> bool:
        """Send and receive; return whether more is to be sent."""
        try:
            if mask & selectors.EVENT_READ and self.reads:
                data = self.sock.recv(262144)
                self.is_open = bool(data)
                self.received += data[: 8192 - len(self.received)]
            if mask & selectors.EVENT_WRITE:
                if not self.left:
                    self.left = memoryview(next(self.pieces))
                self.left = self.left[self.sock.send(self.left) :]
        except StopIteration:
            return False
        except OSError:
            self.is_open = False
        return True


class _Crowd:
    """Drive callers until they have sent everything or are stuck."""

    def __init__(self, port, count, action):
        self._port = port
        self._count = count
        self._action = action
        self.callers = []

    def run(self):
        """Connect and send all that the host takes."""
        with selectors.DefaultSelector() as selector:
            for _ in range(self._count):
                self._connect(selector)
            end = time.monotonic() + _CROWD_S
            stuck_at = time.monotonic() + _STUCK_S
            while time.monotonic() < min(end, stuck_at):
                for key, mask in selector.select(0.1):
                    self._step(selector, key.data, mask)
                    stuck_at = time.monotonic() + _STUCK_S

    def _connect(self, selector):
        sock = socket.create_connection(('127.0.0.1', self._port), timeout=20)
        sock.setblocking(False)
        reads = self._action is not _unread
        caller = _Caller(sock, self._action(), reads)
        self.callers.append(caller)
        events = selectors.EVENT_WRITE | (selectors.EVENT_READ * reads)
        selector.register(sock, events, caller)

    def _step(self, selector, caller, mask):
        is_sending = caller.step(mask)
        if not caller.is_open:
            selector.unregister(caller.sock)
        elif not is_sending:
            if caller.reads:
                selector.modify(caller.sock, selectors.EVENT_READ, caller)
            else:
                selector.unregister(caller.sock)

    def close(self):
        """Close every other connection, and reset the rest."""
        reset = struct.pack('ii', 1, 0)
        for number, caller in enumerate(self.callers):
            if number % 2 and caller.sock.fileno() >= 0:
                caller.sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, reset
                )
            caller.sock.close()


@behave.fixture
def small_machine(context, descriptors):
    """Run a host with few descriptors, a store and a plain server."""
    host = process_specs.direct_host('host1', '{platform.port}')
    limited = f'ulimit -n {descriptors} && exec "$@"'
    host = dataclasses.replace(
        host, command=('/bin/sh', '-c', limited, 'sh', *host.command)
    )
    platform = direct_host_fixtures._platform(30)
    with tempfile.TemporaryDirectory() as directory:
        with processes_module.running(directory, [platform, host]) as found:
            yield found


@behave.given(
    'a host of 160 MB with {descriptors:d} descriptors before a plain server'
)
def given_small_machine(context, descriptors):
    context.processes = behave.use_fixture(small_machine, context, descriptors)
    # No response may depend on the speed of the machine.
    direct_host_fixtures.control_platform(
        context, 'configure', version=2, timeout_s=60.0
    )
    process_fixtures.wait_until(
        lambda: (
            direct_host_fixtures.state(context, 'host1')['configuration'] == 2
        )
    )


@behave.when('{count:d} callers of the port for {port} {action}')
def crowd_comes(context, count, port, action):
    port = context.processes.port('host1', port)
    context.crowd = _Crowd(port, count, _ACTIONS[action])
    context.add_cleanup(context.crowd.close)
    context.crowd.run()


@behave.when('these callers leave')
def crowd_leaves(context):
    context.crowd.close()


@behave.then(
    'the host runs with less than {size:d} MB and {descriptors:d} descriptors'
)
def is_alive(context, size, descriptors):
    assert context.processes.is_running('host1')
    path = pathlib.Path(f'/proc/{context.processes.pid("host1")}')
    found = re.search(r'VmHWM:\s+(\d+) kB', (path / 'status').read_text())
    peak_mb = int(found[1]) * 1024 / _MB
    count = len(list((path / 'fd').iterdir()))
    print(f'peak {peak_mb:.1f} MB, {count} descriptors')
    assert peak_mb < size and count < descriptors, (peak_mb, count)


@behave.then('what callers were refused with promises that nothing has run')
def refusals_promise(context):
    for caller in context.crowd.callers:
        for head in re.findall(
            rb'HTTP/1.1 [45].*?\r\n\r\n', caller.received, re.DOTALL
        ):
            assert head.split()[1] in (b'408', b'431', b'503'), head
            if b' 503 ' in head.partition(b'\r\n')[0]:
                assert b'Retry-After' in head, head


@behave.then('an ordinary request is answered')
def ordinary(context):
    status, _, body = direct_host_fixtures.request(context, 1, 'POST', '/p/x')
    assert status == 200, (status, body)


def _held(context):
    port = context.processes.port('host1', 'metrics')
    _, _, text = direct_host_fixtures.call(port, 'GET', '/metrics')
    found = re.findall(rb'radishferry_held_bytes\{kind="(.*?)"\} (\S+)', text)
    assert found, text
    return {kind.decode(): float(size) for kind, size in found if size != b'0'}


@behave.then('the host holds nothing of callers')
def holds_nothing(context):
    try:
        process_fixtures.wait_until(lambda: not any(_held(context).values()))
    finally:
        print('held at the end:', _held(context))


@behave.when('a body of {size:d} bytes is sent alone')
def lone_body(context, size):
    context.sent = _PIECE * (size // len(_PIECE))
    context.answer = direct_host_fixtures.call(
        context.processes.port('host1', 'callers'),
        'POST',
        '/p/x',
        {
            'Host': 'example',
            'X-Request-Id': 'lone',
            'X-Deadline-Ms': '60000',
        },
        context.sent,
    )


@behave.then('it is answered 200 with the same body')
def answered_same(context):
    status, _, body = context.answer
    assert status == 200, (status, body[:200])
    assert body.endswith(context.sent)


# Without processes.


@behave.given('that the host has 160 MB')
def account_of_host(context):
    now = context.gateway.now
    context.account = memory_account.MemoryAccount(160, 240, now)
    context.gateway.memory = context.account
    context.connection = callers.CallerConnection(context.gateway)
    context.connection.connected(context.socket)


@behave.given(
    '{count:d} bodies of {size:d} bytes that stop, the last one last'
)
def stopped_bodies(context, count, size):
    context.ended = []
    for number in range(count):
        lease = context.account.lease(
            memory_account.Budget.LARGE, memory_account.Kind.RECEIVING
        )
        lease._reclaim = lambda lease=lease, number=number: (
            context.ended.append(number),
            lease.release(),
        )
        assert lease.grow(size)
        context.gateway.scheduler.advance(1.5)


@behave.when('two bodies of {size:d} bytes wait for memory')
def bodies_wait(context, size):
    context.granted = []
    context.leases = [
        context.account.lease(
            memory_account.Budget.LARGE, memory_account.Kind.RECEIVING
        )
        for _ in range(2)
    ]
    for lease in context.leases:
        # What a granted body gives back serves the other one at once.
        unread = context.account.lease(
            memory_account.Budget.UNREAD, memory_account.Kind.UNREAD
        )
        assert unread.grow(1)
        context.account.wait(
            lease,
            size,
            lambda lease=lease, unread=unread: (
                context.granted.append(lease),
                unread.release(),
            ),
        )
    context.account.check()


@behave.then('body {number:d} has been ended and the two have their memory')
def both_granted(context, number):
    assert context.ended == [number], context.ended
    assert context.granted == context.leases
    assert len({lease.held for lease in context.leases}) == 1


@behave.then('a small request still fits')
def small_fits(context):
    lease = context.account.lease(
        memory_account.Budget.SMALL, memory_account.Kind.HEAD
    )
    assert lease.grow(5000)
    lease.release()


@behave.then('a body of {size:d} bytes gets no memory and holds none')
def does_not_fit(context, size):
    lease = context.account.lease(
        memory_account.Budget.LARGE,
        memory_account.Kind.RECEIVING,
        lambda: lease.release(),
    )
    assert lease.grow(1)
    context.gateway.scheduler.advance(1.5)
    assert not lease.grow(size) and lease.held == 1
    lease.release()


@behave.when(
    'the caller pipelines {count:d} requests with heads of many lines'
)
def pipelines_heads(context, count):
    head = b'GET /p HTTP/1.1\r\nHost: h\r\n' + _LINES + b'\r\n'
    for _ in range(count):
        context.connection.received(head)


@behave.then('fewer than {count:d} requests have begun')
def fewer_begun(context, count):
    assert 0 < len(context.gateway.begun) < count, len(context.gateway.begun)


@behave.when('the caller has left')
def has_left(context):
    context.connection.closed(None)


@behave.then('the account holds nothing')
def account_is_empty(context):
    held = {kind: context.account.held(kind) for kind in memory_account.Kind}
    assert not any(held.values()), held


@behave.then('a body that comes in pieces of {size:d} bytes stays the same')
def pieces(context, size):
    lease = context.account.lease(
        memory_account.Budget.LARGE, memory_account.Kind.KEPT
    )
    body = bodies.Body(lease)
    data = bytes(range(251)) * 3000
    for start in range(0, len(data), size):
        body.append(data[start : start + size])
    parts, size_before = body.parts(), body.size
    body.release()
    assert b''.join(parts) == data and size_before == len(data)


@behave.then('a body can be sent until its last user has released it')
def usable_until_released(context):
    lease = context.account.lease(
        memory_account.Budget.SMALL, memory_account.Kind.KEPT
    )
    body = bodies.Body(lease)
    body.append(b'deposit')
    body.hold().release()
    assert body.parts() == [b'deposit'] and body.size == 7
    body.release()
    for use in (body.hold, body.parts, lambda: body.size):
        try:
            use()
        except bodies.ReleasedError:
            continue
        raise AssertionError('a released body was used')
