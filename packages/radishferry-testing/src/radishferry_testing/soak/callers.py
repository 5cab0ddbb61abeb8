"""Send requests to the hosts and record their results."""

from __future__ import annotations

import collections
import dataclasses
import functools
import http.client
import io
import itertools
import random
import socket
import threading
import time
import zlib

from radishferry_testing.users.platform import caller
from radishferry_testing.users.platform import server

#: Deadline of a request, in seconds, and of one with long work.
DEADLINE_S = 4.0
LONG_DEADLINE_S = 12.0
#: Range of the work of a request with long work, in seconds; the longest is
#: longer than the grace period of a planned stop.
LONG_WORK_S = (0.5, 8.0)
#: Range of the pause between the two parts of a body, in seconds.
BODY_PAUSE_S = (0.1, 1.5)
#: Longest wait for a response, in seconds; longer than any deadline.
TIMEOUT_S = 16.0
#: Status of a request whose connection ended without a complete answer.
CONNECTION_LOST = 0
#: Status of a request that was not sent because the connection failed.
NOT_SENT = -1


@dataclasses.dataclass(frozen=True)
class Behaviour:
    """Define how a caller uses its connections.

    :ivar depth: Maximum number of lookups in flight on a connection.
    :ivar long_share: Share of the requests that have long work.
    :ivar split_share: Share of the payments whose body is sent in two parts.
    :ivar leave_share: Share of the requests before which the caller changes
        to another host; otherwise it uses a host until it cannot connect.
    """

    depth: int = 1
    long_share: float = 0.0
    split_share: float = 0.0
    leave_share: float = 0.0


#: Behaviours that the callers have in turn.
BEHAVIOURS = (
    Behaviour(leave_share=0.02),
    Behaviour(long_share=0.05, split_share=0.3),
    Behaviour(depth=2, long_share=0.1),
    Behaviour(depth=3, long_share=0.1, split_share=0.3),
)


@dataclasses.dataclass(frozen=True)
class Call:
    """Record one request and its result.

    :ivar sent_at: Monotonic time in seconds, as ``ended_at``.
    :ivar status: HTTP status, :data:`CONNECTION_LOST` or :data:`NOT_SENT`.
    :ivar problem: What is wrong with the answer; empty if it is correct.
    :ivar whole_at: When its last byte was sent, None if it was not.
    :ivar deadline_s: Its deadline, in seconds from ``sent_at``.
    :ivar is_behind: Whether an earlier request of its connection had no
        answer when it was sent.
    """

    request_id: str
    kind: str
    host: str
    sent_at: float
    ended_at: float
    status: int
    problem: str
    whole_at: float | None = None
    deadline_s: float = DEADLINE_S
    is_behind: bool = False


@dataclasses.dataclass(frozen=True)
class _Request:
    request_id: str
    kind: str
    key: int | None
    body: bytes
    work_s: float | None
    pause_s: float

    @property
    def method(self):
        return 'POST' if self.kind == 'pay' else 'GET'

    @property
    def path(self):
        return f'/{self.kind[0]}/{self.request_id}'

    @property
    def deadline_s(self):
        return DEADLINE_S if self.work_s is None else LONG_DEADLINE_S

    @functools.cached_property
    def head(self):
        headers = caller.request_headers(
            self.request_id, int(self.deadline_s * 1000), self.key
        )
        if self.work_s is not None:
            headers[server.WORK_HEADER] = f'{self.work_s:.3f}'
        if self.body:
            headers['Content-Length'] = str(len(self.body))
        lines = [f'{self.method} {self.path} HTTP/1.1']
        lines.extend(f'{name}: {value}' for name, value in headers.items())
        return ('\r\n'.join(lines) + '\r\n\r\n').encode()


class _SocketReader(io.RawIOBase):
    """Read from a socket; a read can be repeated after a timeout."""

    def __init__(self, sock):
        super().__init__()
        self._socket = sock

    def readable(self):
        return True

    def readinto(self, buffer):
        return self._socket.recv_into(buffer)


class _ResponseFile(io.BufferedReader):
    """Let the responses of a connection read from one file in turn."""

    def makefile(self, mode):
        return self

    def close(self):
        """Leave the file open for the next response."""


class _Connection:
    """Send requests on a connection and read their responses in order."""

    def __init__(self, host, port, record):
        """Prepare a connection, which :meth:`send` opens.

        :param record: Called with each :class:`Call`.
        """
        self._address = ('127.0.0.1', port)
        self._record = record
        self._socket = None
        self._file = None
        #: Pairs of a request and its call without result, in order.
        self._in_flight = collections.deque()
        self.host = host
        self.is_open = True
        self.is_refused = False

    @property
    def in_flight(self) -> int:
        """Return the number of requests without a result."""
        return len(self._in_flight)

    def send(self, request):
        """Send a request; its body ends when an answer comes before."""
        call = Call(
            request.request_id,
            request.kind,
            self.host,
            time.monotonic(),
            0.0,
            NOT_SENT,
            '',
            deadline_s=request.deadline_s,
            is_behind=bool(self._in_flight),
        )
        self._in_flight.append((request, call))
        try:
            self._connect()
            self._set_last(status=CONNECTION_LOST)
            self._send_parts(request)
        except OSError:
            # A response may have come before the connection was reset.
            if self._file is not None:
                self.read_all()
            self.close()

    def wait(self, seconds) -> bool:
        """Return whether a response or the end comes within a time."""
        if self._socket is None:
            time.sleep(seconds)
            return False
        self._socket.settimeout(max(seconds, 0.001))
        try:
            self._file.peek(1)
        except TimeoutError:
            return False
        except OSError:
            pass
        return True

    def read(self):
        """Read the next response, or the end of the connection."""
        if not self._in_flight:
            self.close()
            return
        self._socket.settimeout(TIMEOUT_S)
        request, call = self._in_flight[0]
        answer = http.client.HTTPResponse(self._file, method=request.method)
        try:
            answer.begin()
            content = answer.read()
        except (OSError, http.client.HTTPException):
            self.close()
            return
        self._in_flight.popleft()
        problem = _find_problem(answer, content, request)
        self._end(call, answer.status, problem)
        if answer.will_close or call.whole_at is None:
            self.close()

    def read_all(self):
        """Read the responses to all requests in flight."""
        while self._in_flight and self.is_open:
            self.read()

    def close(self):
        """Close the connection; requests in flight have no result then."""
        self.is_open = False
        while self._in_flight:
            _, call = self._in_flight.popleft()
            self.is_refused |= call.status == NOT_SENT
            self._end(call, call.status, '')
        if self._socket is not None:
            self._socket.close()

    def _connect(self):
        if self._socket is not None:
            return
        self._socket = socket.create_connection(self._address, TIMEOUT_S)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._file = _ResponseFile(_SocketReader(self._socket))

    def _send_parts(self, request):
        self._socket.settimeout(TIMEOUT_S)
        data = request.head + request.body
        if request.pause_s:
            self._socket.sendall(data[:-1])
            if self.wait(request.pause_s):
                return
            self._socket.settimeout(TIMEOUT_S)
            data = data[-1:]
        self._socket.sendall(data)
        self._set_last(whole_at=time.monotonic())

    def _set_last(self, **changes):
        request, call = self._in_flight.pop()
        self._in_flight.append((request, dataclasses.replace(call, **changes)))

    def _end(self, call, status, problem):
        self._record(
            dataclasses.replace(
                call,
                ended_at=time.monotonic(),
                status=status,
                problem=problem,
            )
        )


class Callers:
    """Run callers in threads, each with a persistent connection."""

    def __init__(self, ports, count, seed, long_until=float('inf')):
        """Create the threads without starting them.

        :param ports: Ports of the hosts by name.
        :param float long_until: Monotonic time after which no request has
            long work, in seconds.
        """
        self.calls = []
        self._ports = ports
        self._long_until = long_until
        self._stop = threading.Event()
        self._ids = itertools.count()
        self._threads = [
            threading.Thread(
                target=self._run,
                args=(random.Random(seed * 1000 + n), behaviour),
            )
            for n, behaviour in zip(
                range(count), itertools.cycle(BEHAVIOURS), strict=False
            )
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

    def _run(self, rng, behaviour):
        connection = self._connect(rng.choice(tuple(self._ports)))
        while not self._stop.is_set():
            leaves = rng.random() < behaviour.leave_share
            if leaves or not connection.is_open:
                connection.read_all()
                connection.close()
                stays = not leaves and not connection.is_refused
                connection = self._connect(
                    connection.host
                    if stays
                    else rng.choice(tuple(self._ports))
                )
            self._send(connection, rng, behaviour)
            self._receive(connection, rng, behaviour)
        connection.read_all()
        connection.close()

    def _connect(self, host):
        return _Connection(host, self._ports[host], self.calls.append)

    def _send(self, connection, rng, behaviour):
        request = self._request(rng, behaviour)
        is_pipelined = behaviour.depth > 1 and request.kind != 'pay'
        if not is_pipelined:
            connection.read_all()
        if connection.is_open:
            connection.send(request)
        if not is_pipelined:
            connection.read_all()

    def _receive(self, connection, rng, behaviour):
        """Read responses until the next request is due."""
        send_at = time.monotonic() + rng.uniform(0.005, 0.08)
        while connection.is_open:
            if connection.in_flight >= behaviour.depth:
                connection.read()
            elif connection.wait(send_at - time.monotonic()):
                connection.read()
            elif time.monotonic() >= send_at:
                return
        time.sleep(max(0.0, send_at - time.monotonic()))

    def _request(self, rng, behaviour):
        kind = rng.choice(('keyed', 'keyed', 'pay', 'guide'))
        is_pay = kind == 'pay'
        is_long = (
            rng.random() < behaviour.long_share
            and time.monotonic() < self._long_until
        )
        is_split = is_pay and rng.random() < behaviour.split_share
        return _Request(
            f'q{next(self._ids)}',
            kind,
            rng.randrange(65536) if kind == 'keyed' else None,
            b'x' * rng.randrange(1, 3000) if is_pay else b'',
            rng.uniform(*LONG_WORK_S) if is_long else None,
            rng.uniform(*BODY_PAUSE_S) if is_split else 0.0,
        )


def _find_problem(answer, content, request):
    """Return what shows that an answer is not the right one, or ``''``."""
    answered_id = answer.getheader('X-Request-Id', request.request_id)
    if answered_id != request.request_id:
        return 'the answer of another request'
    if answer.status != 200:
        return ''
    signature = answer.getheader(caller.SIGNATURE)
    text = content[: len(content) - len(request.body)]
    if not text.startswith(f'{request.method} {request.path} i-'.encode()):
        return 'the answer of another request'
    if content[len(text) :] != request.body:
        return 'a body that is not whole'
    if signature != f'{zlib.crc32(text):x}':
        return 'a body that is not whole'
    return ''
