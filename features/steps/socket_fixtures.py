"""Stand in for network connections, under the control of a test."""

from __future__ import annotations

import contextlib
from unittest import mock

from radishferryd import net

#: Bytes that are delivered at a time.
DELIVERY_BYTES = 65536


class Socket:
    """Stand in for a network connection."""

    queued_bytes = 0

    def __init__(self, handler):
        self._handler = handler
        self.is_open = True
        self.sent = []

    @property
    def handler(self):
        """Return the handler of the connection's events."""
        return self._handler

    def write(self, data):
        """Record sent bytes."""
        self.sent.append(data)

    def abort(self):
        """Close the connection."""
        if self.is_open:
            self.is_open = False
            self._handler.closed(None)

    close = abort

    def pause_reading(self):
        """Ignore backpressure."""

    def resume_reading(self):
        """Ignore backpressure."""

    def deliver(self, data):
        """Deliver bytes from the peer to the handler."""
        for start in range(0, len(data), DELIVERY_BYTES):
            if not self.is_open:
                return
            self._handler.received(data[start : start + DELIVERY_BYTES])


@contextlib.contextmanager
def replace_connections():
    """Replace network connections and yield the list of opened ones."""
    opened = []

    def connect(poller, address, handler, unacked_limit_s=None):
        opened.append(Socket(handler))
        return opened[-1]

    with mock.patch.object(net, 'connect', connect):
        yield opened


@contextlib.contextmanager
def accept_connections():
    """Let each connection that is opened be accepted at once."""

    def connect(poller, address, handler, unacked_limit_s=None):
        socket = Socket(handler)
        handler.connected(socket)
        return socket

    with mock.patch.object(net, 'connect', connect):
        yield
