"""Run an administration listener on a loop of its own."""

from __future__ import annotations

import contextlib
import http.client
import socket
import threading
import time
from unittest import mock

from circuits.core import BaseComponent
from circuits.core import Event
from circuits.core import Manager
from circuits.core.handlers import handler

from radishferryd import admin
from radishferryd import exception_log
from radishferryd import operations
from radishferryd import poller

TOKEN = 'token_of_16_characters'
#: Seconds that a step waits for something that must happen; far above what
#: a slow machine needs.
PATIENCE_S = 30


class call(Event):  # noqa: N801
    """Call a function on the loop."""


class Caller(BaseComponent):
    """Call functions on the loop."""

    channel = 'caller'

    @handler('call')
    def _on_call(self, function):
        function()


def make_operations():
    """Return a stand-in whose results a scenario sets."""
    made = mock.create_autospec(operations.Operations, instance=True)
    made.is_ready.return_value = True
    made.status.return_value = {'host': 'h1', 'manifest_version': 3}
    made.dump.return_value = {}
    made.metrics.return_value = b'radishferry_up 1\n'
    made.poison.return_value = []
    made.manifest.return_value = None
    set_result(made, operations.Accepted(3))
    return made


def set_result(made, result):
    """Set the result of submissions, None for one that never comes."""
    made.submit_manifest.side_effect = lambda text, done: (
        None if result is None else done(result)
    )


class World:
    """Hold the loop, the listener and its operations."""

    def __init__(self):
        self.manager = Manager()
        self.poller = poller.SocketPoller().register(self.manager)
        exception_log.ExceptionLog().register(self.manager)
        self.caller = Caller().register(self.manager)
        self.operations = make_operations()
        self.admin = admin.Admin(
            ('127.0.0.1', 0), TOKEN, self.operations
        ).register(self.manager)
        self.address = self.admin.address
        self._thread = threading.Thread(target=self.manager.run, daemon=True)
        self._thread.start()

    def stop(self):
        self.manager.stop()
        self._thread.join(PATIENCE_S)
        assert not self._thread.is_alive()

    def call(self, function):
        """Call a function on the loop and wait for it."""
        called = threading.Event()

        def run():
            function()
            called.set()

        self.caller.fire(call(run))
        assert called.wait(PATIENCE_S)

    def request(self, method, path, body=None, token=TOKEN):
        """Return status, headers and body of the response."""
        connection = http.client.HTTPConnection(
            *self.address, timeout=PATIENCE_S
        )
        headers = {'Authorization': f'Bearer {token}'} if token else {}
        with contextlib.closing(connection):
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            return response.status, response.headers, response.read()

    def connect(self):
        return socket.create_connection(self.address, PATIENCE_S)

    @property
    def held(self):
        """Return what the listener holds for connections."""
        server = self.admin._server
        return [
            *server.http._exchanges,
            *server.http._clients,
            *server.http._buffers,
            *server._sockets._clients,
            *server._sockets._buffers,
            *server._sockets._closeq,
            *self.admin._submissions,
            *list(self.poller._components)[1:],
        ]


def wait_until(condition, message):
    """Wait until a condition holds.

    :raises AssertionError: It did not within :data:`PATIENCE_S`.
    """
    deadline = time.monotonic() + PATIENCE_S
    while not condition():
        assert time.monotonic() < deadline, message
        time.sleep(0.01)


def read_all(sock):
    """Return everything up to the end of a connection."""
    parts = []
    while part := sock.recv(65536):
        parts.append(part)
    return b''.join(parts)
