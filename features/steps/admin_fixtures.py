"""Run an administration listener on its own event loop."""

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
#: Seconds for which a step waits for an expected event; far more than a slow
#: machine needs.
STEP_TIMEOUT_S = 30


class call(Event):  # noqa: N801
    """Call a function on the event loop."""


class Caller(BaseComponent):
    """Call functions on the event loop."""

    channel = 'caller'

    @handler('call')
    def _on_call(self, function):
        function()


def make_operations():
    """Return a mock of the operations whose results a scenario sets."""
    operations_mock = mock.create_autospec(
        operations.Operations, instance=True
    )
    operations_mock.is_ready.return_value = True
    operations_mock.status.return_value = {'host': 'h1', 'manifest_version': 3}
    operations_mock.dump.return_value = {}
    operations_mock.metrics.return_value = b'radishferry_up 1\n'
    operations_mock.poison.return_value = []
    operations_mock.manifest.return_value = None
    set_result(operations_mock, operations.Accepted(3))
    return operations_mock


def set_result(operations_mock, result):
    """Set the result of submissions, None for submissions without a result."""
    operations_mock.submit_manifest.side_effect = lambda text, done: (
        None if result is None else done(result)
    )


class AdminListener:
    """Run the event loop, the listener and its mocked operations."""

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
        self._thread.join(STEP_TIMEOUT_S)
        assert not self._thread.is_alive()

    def call(self, function):
        """Call a function on the event loop and wait until it has run."""
        called = threading.Event()

        def run():
            function()
            called.set()

        self.caller.fire(call(run))
        assert called.wait(STEP_TIMEOUT_S)

    def request(self, method, path, body=None, token=TOKEN):
        """Return status, headers and body of the response."""
        connection = http.client.HTTPConnection(
            *self.address, timeout=STEP_TIMEOUT_S
        )
        headers = {'Authorization': f'Bearer {token}'} if token else {}
        with contextlib.closing(connection):
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            return response.status, response.headers, response.read()

    def connect(self):
        return socket.create_connection(self.address, STEP_TIMEOUT_S)

    @property
    def connection_state(self):
        """Return everything that the listener stores for its connections."""
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

    :raises AssertionError: It does not hold within :data:`STEP_TIMEOUT_S`.
    """
    deadline = time.monotonic() + STEP_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, message
        time.sleep(0.01)


def read_all(sock):
    """Return all bytes up to the end of a connection."""
    parts = []
    while part := sock.recv(65536):
        parts.append(part)
    return b''.join(parts)
