"""Send requests to the hosts and record their results."""

from __future__ import annotations

import dataclasses
import http.client
import itertools
import random
import threading
import time
import zlib

from radishferry_testing.users.platform import caller

#: Deadline of each request, in milliseconds.
DEADLINE_MS = 4000
#: Status of a request whose connection ended without a complete answer.
CONNECTION_LOST = 0
#: Status of a request that was not sent because the connection failed.
NOT_SENT = -1


@dataclasses.dataclass(frozen=True)
class Call:
    """Record one request and its result.

    :ivar sent_at: Monotonic time in seconds, as ``ended_at``.
    :ivar status: HTTP status, :data:`CONNECTION_LOST` or :data:`NOT_SENT`.
    :ivar problem: What is wrong with the answer; empty if it is correct.
    """

    request_id: str
    kind: str
    host: str
    sent_at: float
    ended_at: float
    status: int
    problem: str


class Callers:
    """Run callers in threads, each with a persistent connection."""

    def __init__(self, ports, count, seed):
        """Create the threads without starting them.

        :param ports: Ports of the hosts by name.
        """
        self.calls = []
        self._ports = ports
        self._stop = threading.Event()
        self._ids = itertools.count()
        self._threads = [
            threading.Thread(
                target=self._run, args=(random.Random(seed * 1000 + n),)
            )
            for n in range(count)
        ]

    def start(self):
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stop the threads after their requests in flight."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, rng):
        connection = None
        host = ''
        while not self._stop.is_set():
            if connection is None or rng.random() < 0.02:
                if connection is not None:
                    connection.close()
                host = rng.choice(tuple(self._ports))
                connection = http.client.HTTPConnection(
                    '127.0.0.1', self._ports[host], timeout=8.0
                )
            call, is_open = self._call(connection, host, rng)
            self.calls.append(call)
            if not is_open:
                connection.close()
                connection = None
            time.sleep(rng.uniform(0.005, 0.08))

    def _call(self, connection, host, rng):
        request_id = f'q{next(self._ids)}'
        kind = rng.choice(('keyed', 'keyed', 'pay', 'guide'))
        key = rng.randrange(65536) if kind == 'keyed' else None
        body = b'x' * rng.randrange(1, 3000) if kind == 'pay' else None
        headers = caller.request_headers(request_id, DEADLINE_MS, key)
        method = 'POST' if kind == 'pay' else 'GET'
        path = f'/{kind[0]}/{request_id}'
        sent_at = time.monotonic()
        status, problem, is_open = CONNECTION_LOST, '', False
        try:
            if connection.sock is None:
                status = NOT_SENT
                connection.connect()
                status = CONNECTION_LOST
            connection.request(method, path, body, headers)
            answer = connection.getresponse()
            content = answer.read()
            status, is_open = answer.status, not answer.will_close
            problem = _find_problem(answer, content, method, path, body)
        except (OSError, http.client.HTTPException):
            pass
        return (
            Call(
                request_id,
                kind,
                host,
                sent_at,
                time.monotonic(),
                status,
                problem,
            ),
            is_open,
        )


def _find_problem(answer, content, method, path, body):
    """Return how a 200 answer differs from that of the server, or ``''``."""
    if answer.status != 200:
        return ''
    signature = answer.getheader(caller.SIGNATURE)
    text = content[: len(content) - len(body or b'')]
    if not text.startswith(f'{method} {path} i-'.encode()):
        return 'the answer of another request'
    if signature != f'{zlib.crc32(text):x}':
        return 'a body that is not whole'
    return ''
