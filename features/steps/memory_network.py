"""Stand in for the network between hosts and servers, in one process.

Each host is identified by its poller, a string, so that its own links can be
cut while those of the other hosts work.
"""

from __future__ import annotations

import contextlib
import errno
from unittest import mock

from radishferryd import http_message
from radishferryd import net

#: Seconds that bytes take from one end of a connection to the other.
DELAY_S = 0.001


class Socket:
    """Represent one end of a connection."""

    def __init__(self, network, host, address, handler=None):
        self.host = host
        self.address = address
        self.peer = None
        self.is_open = True
        self.is_connected = False
        self._network = network
        self._handler = handler
        self._unacked_limit_s = None
        self._is_hanging = False

    queued_bytes = 0

    @property
    def is_to_server(self):
        return self.address in self._network.servers

    def open(self, unacked_limit_s):
        self._unacked_limit_s = unacked_limit_s
        mode = self._network.mode(self)
        if mode == 'hang':
            return
        refused = mode in ('reset', 'refuse')
        factory = self._network.listeners.get(self.address)
        if refused or factory is None:
            self._later(
                lambda: self.fail(OSError(errno.ECONNREFUSED, 'refused'))
            )
            return
        self.peer = Socket(self._network, None, self.address)
        self.peer.peer = self
        self.peer._handler = factory()
        self._later(self._connect)

    def _connect(self):
        if not self.is_open:
            return
        self.is_connected = self.peer.is_connected = True
        self.peer._handler.connected(self.peer)
        self._handler.connected(self)

    def write(self, data):
        if not self.is_open:
            return
        if self._network.mode(self) == 'hang':
            self._hang()
            return
        self._later(lambda: self.peer.deliver(data))

    def _hang(self):
        if not self._is_hanging and self._unacked_limit_s is not None:
            self._is_hanging = True
            error = OSError(errno.ETIMEDOUT, 'timed out')
            self._network.scheduler.call_later(
                self._unacked_limit_s, lambda: self.fail(error)
            )

    def deliver(self, data):
        is_cut = 'hang' in (
            self._network.mode(self),
            self._network.mode(self.peer),
        )
        if self.is_open and not is_cut:
            self._handler.received(data)

    def fail(self, error):
        if self.is_open:
            self.is_open = False
            self._handler.closed(error)

    def close(self):
        self.abort()

    def linger_close(self, call_later):
        self.abort()

    def abort(self):
        self.fail(None)
        if self.peer is not None and self._network.mode(self) != 'hang':
            self._later(lambda: self.peer.fail(None))

    def pause_reading(self):
        """Ignore backpressure."""

    resume_reading = pause_reading

    def _later(self, callback):
        self._network.scheduler.call_later(DELAY_S, callback)


class Network:
    """Connect hosts and servers, and cut hosts from the servers."""

    def __init__(self, scheduler):
        self.scheduler = scheduler
        self.listeners = {}
        self.servers = set()
        self.sockets = []
        self._modes = {}

    def mode(self, socket):
        """Return how the links of a socket fail: '' if they work."""
        if not socket.is_to_server or socket.host is None:
            return ''
        mode = self._modes.get(socket.host, '')
        if mode == 'refuse' and socket.is_connected:
            return ''
        return mode

    def cut(self, host, mode):
        """Cut a host from all servers.

        :param mode: ``hang`` drops all data, ``reset`` also ends the open
            connections, ``refuse`` keeps them and refuses new ones.
        """
        self._modes[host] = mode
        if mode == 'reset':
            for socket in list(self.sockets):
                if socket.host == host and socket.is_to_server:
                    socket.fail(OSError(errno.ECONNRESET, 'reset'))

    def heal(self, host):
        """Let the links of a host work again."""
        self._modes.pop(host, None)

    def connect(self, poller, address, handler, unacked_limit_s=None):
        """See :func:`radishferryd.net.connect`."""
        socket = Socket(self, poller, address, handler)
        self.sockets.append(socket)
        socket.open(unacked_limit_s)
        return socket


@contextlib.contextmanager
def replace_network(scheduler):
    """Replace network connections and yield the :class:`Network`."""
    network = Network(scheduler)
    with mock.patch.object(net, 'connect', network.connect):
        yield network


class Server:
    """Answer the requests on the connections to one server."""

    def __init__(self, scheduler, work_s=0.05):
        self.scheduler = scheduler
        self.work_s = work_s
        self.body = b'done'
        #: Called with the head of a request that begins to run; returns
        #: whether the server goes on.
        self.on_run = lambda head: True
        self.run = []
        self.cancelled = []

    def accept(self):
        """Return the handler of a new connection."""
        return _ServerConnection(self)


class _ServerConnection:
    """Run the requests of one connection, one at a time."""

    def __init__(self, server):
        self._server = server
        self._connection = None
        self._head = None
        self._body = b''
        self._timer = None
        self._parser = http_message.MessageParser(self, is_request=True)

    def connected(self, connection):
        self._connection = connection

    def received(self, data):
        self._parser.feed(data)

    def closed(self, error):
        if self._timer is not None:
            self._timer.cancel()
            self._server.cancelled.append(self._head.header('x-request-id'))

    def pause_producing(self):
        """Ignore backpressure."""

    resume_producing = pause_producing

    def on_head(self, head):
        self._head, self._body = head, b''

    def on_body(self, data):
        self._body += data

    def on_end(self):
        self._server.run.append((self._head, self._body))
        if not self._server.on_run(self._head):
            return
        self._timer = self._server.scheduler.call_later(
            self._server.work_s, self._respond
        )

    def _respond(self):
        self._timer = None
        body = self._server.body
        head = http_message.format_response(
            200,
            [
                ('X-Request-Id', self._head.header('x-request-id')),
                ('X-Response-Signature', 's'),
                ('Content-Length', str(len(body))),
            ],
        )
        self._connection.write(head + body)


class Caller:
    """Send requests on one connection to a host and record the responses."""

    def __init__(self, network, address):
        self.responses = []
        self.is_closed = False
        self._parts = []
        self._head = None
        self._waiting = []
        self._is_connected = False
        self._parser = http_message.MessageParser(self, is_request=False)
        self._connection = network.connect('caller', address, self)

    def send(self, data):
        self._waiting.append(data)
        self._flush()

    def leave(self):
        self._connection.abort()

    def _flush(self):
        while self._is_connected and self._waiting:
            self._connection.write(self._waiting.pop(0))

    def connected(self, connection):
        self._is_connected = True
        self._flush()

    def received(self, data):
        self._parser.feed(data)

    def closed(self, error):
        self.is_closed = True

    def on_head(self, head):
        self._head, self._parts = head, []

    def on_body(self, data):
        self._parts.append(data)

    def on_end(self):
        self.responses.append((self._head, b''.join(self._parts)))
