"""Steps for the poller."""

from __future__ import annotations

import concurrent.futures
import contextlib
import errno
import socket
import struct
import threading
import time

import behave
from circuits.core import Manager
from circuits.core.handlers import handler
from circuits.net import events
from circuits.net import sockets

from features.steps import admin_fixtures
from radishferryd import net
from radishferryd import poller
from radishferryd import scheduler


class _Echo:
    """Echo on a callback connection."""

    def connected(self, connection):
        self._connection = connection

    def received(self, data):
        self._connection.write(data)

    def pause_producing(self):
        self._connection.pause_reading()

    def resume_producing(self):
        self._connection.resume_reading()

    def closed(self, error):
        pass


class _ComponentEcho(sockets.TCPServer):
    """Echo on connections of a component."""

    channel = 'echo'

    @handler('read')
    def _on_data(self, sock, data):
        self.fire(events.write(sock, data))


@behave.given('a loop with a callback echo server and a component echo server')
def echo_loop(context):
    manager = Manager()
    context.poller = poller.SocketPoller().register(manager)
    context.scheduler = scheduler.Scheduler().register(manager)
    context.caller = admin_fixtures.Caller().register(manager)
    context.component = _ComponentEcho(('127.0.0.1', 0)).register(manager)
    listener = net.Listener(context.poller, ('127.0.0.1', 0), _Echo)
    context.addresses = [
        listener.address,
        (context.component.host, context.component.port),
    ]
    thread = threading.Thread(target=manager.run, daemon=True)
    thread.start()
    context.add_cleanup(listener.close)
    context.add_cleanup(thread.join, admin_fixtures.STEP_TIMEOUT_S)
    context.add_cleanup(manager.stop)


def _echo(address, data):
    """Send data and return what comes back."""
    with contextlib.closing(_connect(address)) as sock:
        writer = threading.Thread(target=sock.sendall, args=(data,))
        writer.start()
        received = b''
        while len(received) < len(data):
            part = sock.recv(65536)
            assert part, 'the connection ended early'
            received += part
        writer.join()
        return received


def _connect(address):
    return socket.create_connection(address, admin_fixtures.STEP_TIMEOUT_S)


@behave.when('{count:d} MB are sent to both at the same time')
def send_both(context, count):
    context.sent = bytes(range(250)) * (count * 4000)
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        sent = [context.sent] * 2
        context.echoed = list(pool.map(_echo, context.addresses, sent))


@behave.then('both return what was sent')
def both_return(context):
    assert context.echoed == [context.sent] * 2


@behave.when('connections to both are opened and reset')
def open_and_reset(context):
    for address in context.addresses * 20:
        sock = _connect(address)
        sock.sendall(b'x' * 1000)
        reset = struct.pack('ii', 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
        sock.close()


@behave.then('the poller polls only the listening sockets')
def only_listening_polled(context):
    admin_fixtures.wait_until(
        lambda: (
            len(context.poller._callbacks) == 2
            and len(context.poller._components) == 1
        ),
        'closed sockets are still polled',
    )


@behave.then('both servers still echo')
def still_echo(context):
    for address in context.addresses:
        assert _echo(address, b'still here') == b'still here'


class _Parts:
    """Write several parts and close before any of them is sent."""

    def __init__(self, parts):
        self._parts = parts

    def connected(self, connection):
        for part in self._parts:
            connection.write(part)
        connection.close()

    def received(self, data):
        pass

    pause_producing = resume_producing = lambda self: None
    closed = received


@behave.when('a server writes parts of {sizes} bytes and closes')
def write_parts(context, sizes):
    parts = [bytes([n]) * int(s) for n, s in enumerate(sizes.split(', '))]
    context.sent = b''.join(parts)
    listener = net.Listener(
        context.poller, ('127.0.0.1', 0), lambda: _Parts(parts)
    )
    context.add_cleanup(listener.close)
    with contextlib.closing(_connect(listener.address)) as sock:
        context.echoed = b''.join(iter(lambda: sock.recv(65536), b''))


@behave.then('all parts arrive in order')
def parts_arrive(context):
    assert context.echoed == context.sent, len(context.echoed)


@behave.when('a component polls a socket that is closed')
def closed_socket(context):
    sock = socket.socket()
    sock.close()

    def use():
        context.poller.addWriter(context.component, sock)
        context.poller.removeWriter(sock)
        context.poller.discard(sock)
        assert not context.poller.isWriting(sock)

    done = threading.Event()

    def run():
        use()
        done.set()

    context.caller.fire(admin_fixtures.call(run))
    assert done.wait(admin_fixtures.STEP_TIMEOUT_S)


class _EarlyResponder:
    """Respond to the first bytes and end the connection."""

    def __init__(self, call_later):
        self._call_later = call_later

    def connected(self, connection):
        self._connection = connection

    def received(self, data):
        self._connection.write(b'too large')
        self._connection.linger_close(self._call_later)

    def closed(self, error):
        """Ignore the end of the connection."""


def _connect_to_early_responder(context):
    listener = net.Listener(
        context.poller,
        ('127.0.0.1', 0),
        lambda: _EarlyResponder(context.scheduler.call_later),
    )
    context.add_cleanup(listener.close)
    return _connect(listener.address)


@behave.when(
    'a server answers the first bytes of {size:d} MB and ends the connection'
)
def respond_early(context, size):
    with contextlib.closing(_connect_to_early_responder(context)) as sock:
        for _ in range(size * 16):
            sock.sendall(bytes(65536))
        sock.shutdown(socket.SHUT_WR)
        context.read = sock.makefile('rb').read()


@behave.then('the peer has read the answer')
def has_read(context):
    assert context.read == b'too large', context.read


@behave.when('a server ends a connection whose peer goes on sending')
def keep_sending(context):
    sock = _connect_to_early_responder(context)
    context.add_cleanup(sock.close)
    context.peer = sock


@behave.then('the connection is closed within {seconds:g} seconds')
def closed_within(context, seconds):
    end = time.monotonic() + seconds
    try:
        while time.monotonic() < end:
            context.peer.sendall(b'x')
            time.sleep(0.05)
    except OSError:
        return
    raise AssertionError('the peer can still send')


@behave.when('the handler of a connection fails on received data')
def handler_fails(context):
    context.close_errors = []

    class Failing(_Echo):
        def received(self, data):
            raise KeyError('unexpected')

        def closed(self, error):
            context.close_errors.append(error)

    listener = net.Listener(context.poller, ('127.0.0.1', 0), Failing)
    context.add_cleanup(listener.close)
    context.sock = _connect(listener.address)
    context.add_cleanup(context.sock.close)
    context.sock.sendall(b'malformed')


@behave.then('its handler is told of the error')
def told_of_error(context):
    # The loop tells the handler just after the peer can see the reset.
    end = time.monotonic() + admin_fixtures.STEP_TIMEOUT_S
    while not context.close_errors and time.monotonic() < end:
        time.sleep(0.01)
    assert len(context.close_errors) == 1, context.close_errors
    assert isinstance(context.close_errors[0], KeyError)


@behave.then('that connection is reset')
def is_reset(context):
    try:
        assert context.sock.recv(10) == b''
    except ConnectionResetError:
        pass


@behave.when('a callback before the wait fails while a write is queued')
def call_fails(context):
    def fail():
        raise KeyError('unexpected')

    class Greeting(_Echo):
        def connected(self, connection):
            context.poller.call_before_wait(fail)
            connection.write(b'hello')

    listener = net.Listener(context.poller, ('127.0.0.1', 0), Greeting)
    context.add_cleanup(listener.close)
    context.sock = _connect(listener.address)
    context.add_cleanup(context.sock.close)


@behave.then('the written data arrives')
def written_data_arrives(context):
    assert context.sock.recv(10) == b'hello'


@behave.when('a listener closes while a connection is in its backlog')
def close_listener(context):
    done = threading.Event()

    def wait_and_close():
        # The event loop accepts no connection while it runs this function.
        listener = net.Listener(context.poller, ('127.0.0.1', 0), _Echo)
        context.sock = _connect(listener.address)
        listener.close()
        done.set()

    context.caller.fire(admin_fixtures.call(wait_and_close))
    assert done.wait(admin_fixtures.STEP_TIMEOUT_S)
    context.add_cleanup(context.sock.close)


@behave.then('data sent on the connection is echoed')
def is_echoed(context):
    context.sock.sendall(b'hello')
    assert context.sock.recv(10) == b'hello'


class _ExhaustedSocket:
    """Represent a listening socket of a process without free descriptors."""

    def __init__(self, sock):
        self.attempts = 0
        self.is_exhausted = True
        self._sock = sock

    def __getattr__(self, name):
        return getattr(self._sock, name)

    def accept(self):
        if not self.is_exhausted:
            return self._sock.accept()
        self.attempts += 1
        raise OSError(errno.EMFILE, 'Too many open files')


@behave.when('a listener finds no descriptor for a connection')
def no_descriptor(context):
    context.other = _connect(context.addresses[0])
    context.other.sendall(b'a')
    assert context.other.recv(1) == b'a'
    done = threading.Event()

    def listen():
        context.listener = net.Listener(
            context.poller, ('127.0.0.1', 0), _Echo
        )
        context.listener._sock = _ExhaustedSocket(context.listener._sock)
        done.set()

    context.caller.fire(admin_fixtures.call(listen))
    assert done.wait(admin_fixtures.STEP_TIMEOUT_S)
    context.add_cleanup(context.listener.close)
    context.sock = _connect(context.listener.address)
    context.add_cleanup(context.sock.close)


@behave.then(
    'it has tried to accept it {count:d} time after {seconds:g} seconds'
)
def attempts(context, count, seconds):
    time.sleep(seconds)
    found = context.listener._sock.attempts
    assert found == count, found


@behave.when('another connection is closed')
def other_closed(context):
    context.listener._sock.is_exhausted = False
    context.other.close()
