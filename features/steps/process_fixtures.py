"""Run and ask the processes of a scenario."""

from __future__ import annotations

import socket
import struct
import subprocess  # noqa: S404
import sys
import threading
import time

import behave

#: Seconds after which a condition that does not come true ends a scenario.
LIMIT_S = 60.0


def until(condition):
    """Wait for a condition; the limit only ends a hanging test."""
    end = time.monotonic() + LIMIT_S
    while True:
        found = condition()
        if found:
            return found
        assert time.monotonic() < end, 'the condition did not come true'
        time.sleep(0.02)


@behave.fixture
def resetting_server(context):
    """Accept connections, reset them at once and keep what was read."""
    seen = []
    listener = socket.create_server(('127.0.0.1', 0))

    def accept():
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.setblocking(False)
            try:
                seen.append(sock.recv(65536))
            except BlockingIOError:
                seen.append(b'')
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            sock.close()

    thread = threading.Thread(target=accept, daemon=True)
    thread.start()
    yield listener.getsockname()[1], seen
    listener.shutdown(socket.SHUT_RDWR)
    listener.close()
    thread.join()


def run_radishferryctl(words):
    """Run a command of operators as a process."""
    return subprocess.run(  # noqa: S603
        [sys.executable, '-m', 'radishferryctl.main', *words],
        capture_output=True,
        text=True,
        timeout=LIMIT_S,
    )
