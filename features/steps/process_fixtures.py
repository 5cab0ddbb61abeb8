"""Start processes for scenarios and wait for conditions."""

from __future__ import annotations

import socket
import struct
import subprocess  # noqa: S404
import sys
import threading
import time

import behave

#: Seconds after which a scenario fails if a condition is still not true.
TIMEOUT_S = 60.0


def wait_until(condition):
    """Wait until a condition is true and return its value.

    The timeout only ends a test that would hang.
    """
    deadline = time.monotonic() + TIMEOUT_S
    while True:
        found = condition()
        if found:
            return found
        assert time.monotonic() < deadline, 'the condition did not come true'
        time.sleep(0.02)


@behave.fixture
def resetting_server(context):
    """Accept connections, reset them at once and record what was read.

    Yields the port and the list of what was read of each connection.
    """
    received = []
    listener = socket.create_server(('127.0.0.1', 0))

    def accept():
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.setblocking(False)
            try:
                received.append(sock.recv(65536))
            except BlockingIOError:
                received.append(b'')
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            sock.close()

    thread = threading.Thread(target=accept, daemon=True)
    thread.start()
    yield listener.getsockname()[1], received
    listener.shutdown(socket.SHUT_RDWR)
    listener.close()
    thread.join()


def run_radishferryctl(arguments):
    """Run radishferryctl as a process and return its result."""
    return subprocess.run(  # noqa: S603
        [sys.executable, '-m', 'radishferryctl.main', *arguments],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
