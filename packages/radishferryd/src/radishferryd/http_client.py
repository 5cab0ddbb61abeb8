"""Send HTTP requests to servers and to the platform."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import math
import os
import typing

import orjson

from radishferryd import http_message
from radishferryd import net

#: Largest response accepted by :class:`JsonClient` by default, in bytes.
MAX_JSON_BYTES = 16 * 1024 * 1024


#: Ids of calls are this and a number; no other process uses the same.
_ID_PREFIX = os.urandom(8).hex()
_id_numbers = itertools.count(1)


class ResponseHandler(typing.Protocol):
    """Receive the response to one request."""

    def on_head(self, head: http_message.Head) -> None:
        """Handle the status and the headers."""

    def on_body(self, data: bytes) -> None:
        """Handle a part of the body."""

    def on_end(self) -> None:
        """Handle the end of the response."""

    def on_failed(self, detail: str, was_sent: bool) -> None:
        """Handle a request that gets no complete response.

        :param was_sent: Whether the server may have received the request.
        """

    def on_writable(self) -> None:
        """Continue sending the request body."""


class ClientConnection:
    """Send one request at a time over one connection."""

    def __init__(self, poller, address, on_idle=None, on_closed=None):
        """Connect.

        :param address: Pair of IP and port.
        :param on_idle: Called with the connection when it can be reused.
        :param on_closed: Called with the connection when it is closed.
        """
        self._exchange = None
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._is_connected = False
        self._keep_alive = True
        self._is_request_sent = True
        self._is_writable = True
        self._requests = 0
        self._is_lost = True
        self._parser = http_message.MessageParser(self, is_request=False)
        self._connection = net.connect(poller, address, self)

    @property
    def is_open(self) -> bool:
        """Return whether the connection is open or being opened."""
        return self._connection.is_open

    @property
    def is_connected(self) -> bool:
        """Return whether the connection was established at some time."""
        return self._is_connected

    @property
    def is_reused(self) -> bool:
        """Return whether the connection has carried an earlier request."""
        return self._requests > 1

    @property
    def is_lost(self) -> bool:
        """Return whether its end may be that of the server's process."""
        return self._is_lost

    @property
    def is_writable(self) -> bool:
        """Return whether the write queue is below its limit."""
        return self._is_writable

    def request(self, method, target, headers, exchange, body=b'', last=True):
        """Send a request.

        :param headers: Pairs of name and value with the body's framing.
        :param exchange: A :class:`ResponseHandler`.
        :param bytes body: The body or its beginning.
        :param bool last: Whether the body is complete.
        """
        self._exchange = exchange
        self._requests += 1
        self._is_request_sent = last
        head = http_message.format_request(method, target, headers)
        self._connection.write(head + body)

    def send_body(self, data, last):
        """Send more of the request body, already framed."""
        self._is_request_sent = last
        self._connection.write(data)

    def pause_reading(self):
        """Stop reading the response, which slows the server down."""
        self._connection.pause_reading()

    def resume_reading(self):
        """Continue reading the response."""
        self._connection.resume_reading()

    def abort(self):
        """Close immediately without notifying the exchange."""
        self._exchange = None
        self._connection.abort()

    def discard(self):
        """Close immediately, although the server's process lives."""
        self._is_lost = False
        self.abort()

    def close_after_response(self):
        """Reuse the connection for no further request.

        It then ends although the server's process lives.
        """
        self._keep_alive = self._is_lost = False

    def close(self):
        """Close an idle connection."""
        self._connection.close()

    def connected(self, connection):
        """See :class:`radishferryd.net.Handler`."""
        self._is_connected = True

    def received(self, data):
        """See :class:`radishferryd.net.Handler`."""
        if self._exchange is None:
            # Bytes without a request: the connection is out of step and cannot
            # be reused.
            self.discard()
            return
        try:
            self._parser.feed(data)
        except (
            http_message.BadMessageError,
            http_message.HeadTooLargeError,
        ) as exc:
            self._fail(f'bad answer: {exc}')
            self._connection.abort()
            return
        if self._exchange is None and self._connection.is_open:
            self._release()

    def pause_producing(self):
        """See :class:`radishferryd.net.Handler`."""
        self._is_writable = False

    def resume_producing(self):
        """See :class:`radishferryd.net.Handler`."""
        self._is_writable = True
        if self._exchange is not None:
            self._exchange.on_writable()

    def closed(self, error):
        """See :class:`radishferryd.net.Handler`."""
        # A response without a length ends when the server closes. It cannot be
        # distinguished from a truncated one, so it counts as incomplete.
        self._fail(str(error) if error else 'connection closed')
        if self._on_closed is not None:
            self._on_closed(self)

    def on_head(self, head):
        """Handle a response head from the parser."""
        if self._exchange is None:
            # A second response arrived together with the first one.
            self._keep_alive = False
            return
        self._keep_alive = head.keep_alive
        self._exchange.on_head(head)

    def on_body(self, data):
        """Handle a part of the body from the parser."""
        if self._exchange is not None:
            self._exchange.on_body(data)

    def on_end(self):
        """Handle the end of the response from the parser."""
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.on_end()

    def _release(self):
        """Reuse the connection, unless further bytes followed the response."""
        if (
            self._keep_alive
            and self._is_request_sent
            and self._parser.is_between_messages
        ):
            self._connection.resume_reading()
            if self._on_idle is not None:
                self._on_idle(self)
        else:
            self._connection.close()

    def _fail(self, detail):
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.on_failed(detail, self._is_connected)


class ConnectionPool:
    """Reuse connections to one server."""

    def __init__(self, poller, address, limit, on_lost=None):
        """Create an empty pool.

        :param int limit: Maximum number of open connections.
        :param on_lost: Called without arguments when a connection ends, unless
            this host rejected what came on it.
        """
        self._poller = poller
        self._address = address
        self._limit = limit
        self._on_lost = on_lost
        self._idle = collections.deque()
        self._open_count = 0

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return self._open_count

    def acquire(self, *, is_new=False) -> ClientConnection | None:
        """Return a connection, None when the limit is reached.

        :param bool is_new: Whether to open one in place of an idle one.
        """
        while self._idle:
            connection = self._idle.pop()
            if not is_new and connection.is_open:
                return connection
            if is_new and self._open_count >= self._limit:
                connection.discard()
            elif is_new:
                self._idle.append(connection)
                break
        if self._open_count >= self._limit:
            return None
        self._open_count += 1
        return ClientConnection(
            self._poller, self._address, self._idle.append, self._closed
        )

    def close(self):
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _closed(self, connection):
        self._open_count -= 1
        if self._on_lost is not None and connection.is_lost:
            self._on_lost()
        if connection in self._idle:
            self._idle.remove(connection)


@dataclasses.dataclass(frozen=True)
class JsonResponse:
    """Represent a response with a JSON body.

    :ivar status: HTTP status.
    :ivar body: Decoded body; None when it is empty or not valid JSON.
    :ivar sent_at: When the request was sent, in seconds.
    :ivar received_at: When the response was complete, in seconds.
    :ivar headers: Pairs of lower-case name and value.
    """

    status: int
    body: typing.Any
    sent_at: float
    received_at: float
    headers: tuple[tuple[str, str], ...] = ()

    def header(self, name, default='') -> str:
        """Return the first value of a header by its lower-case name."""
        return next((v for n, v in self.headers if n == name), default)


@dataclasses.dataclass(frozen=True)
class JsonFailure:
    """Report that there is no response.

    :ivar detail: Cause of the failure.
    :ivar was_sent: Whether the request may have taken effect.
    """

    detail: str
    was_sent: bool


class _JsonExchange:
    def __init__(
        self,
        client,
        connection,
        done,
        deadline_s,
        silence_s,
        max_bytes,
        call_id='',
        needs_proof=False,
    ):
        self._client = client
        self._call_id = call_id
        self._needs_proof = needs_proof
        self._max_bytes = max_bytes
        self._connection = connection
        self._done = done
        self._head = None
        self._parts = []
        self._size = 0
        self._sent_at = client.scheduler.now()
        self._deadline = self._sent_at + deadline_s
        self._silence_s = silence_s
        self._received_at = self._sent_at
        self._timer = None
        self._schedule_timeout()

    def on_head(self, head):
        self._received_at = self._client.scheduler.now()
        if self._call_id and not self._is_own(head):
            self._connection.discard()
            self._finish(
                JsonFailure('an answer to another call, or to none', True)
            )
            return
        self._head = head

    def _is_own(self, head):
        """Return whether a response may be that to this call.

        A late second copy of the response to an earlier call on the connection
        may come first. One that names no call can be told from it on a new
        connection only.
        """
        echoed = head.header(self._client.id_header)
        if echoed:
            self._client.repeats_ids = True
            return echoed == self._call_id
        if self._needs_proof:
            self._connection.close_after_response()
        return not self._connection.is_reused or not (
            self._needs_proof or self._client.repeats_ids
        )

    def on_body(self, data):
        self._received_at = self._client.scheduler.now()
        self._size += len(data)
        if self._size > self._max_bytes:
            self._parts = []
            self._connection.abort()
            self._finish(JsonFailure('response too large', True))
            return
        self._parts.append(data)

    def on_end(self):
        try:
            body = orjson.loads(b''.join(self._parts))
        except orjson.JSONDecodeError:
            body = None
        now = self._client.scheduler.now()
        self._finish(
            JsonResponse(
                self._head.status,
                body,
                self._sent_at,
                now,
                self._head.headers,
            )
        )

    def on_failed(self, detail, was_sent):
        self._finish(JsonFailure(detail, was_sent))

    def on_writable(self):
        pass

    def _schedule_timeout(self):
        scheduler = self._client.scheduler
        due_at = min(self._deadline, self._received_at + self._silence_s)
        self._timer = scheduler.call_later(
            max(0.0, due_at - scheduler.now()), self._on_timeout
        )

    def _on_timeout(self):
        now = self._client.scheduler.now()
        if now < min(self._deadline, self._received_at + self._silence_s):
            self._schedule_timeout()
            return
        # Bytes queued on a connection that was never established were not
        # sent.
        was_sent = self._connection.is_connected
        self._connection.abort()
        detail = f'no response in time, {self._size} bytes received'
        self._finish(JsonFailure(detail, was_sent))

    def _finish(self, result):
        self._timer.cancel()
        done, self._done = self._done, None
        if done is not None:
            done(result)


class JsonClient:
    """Send JSON requests to one address over pooled connections."""

    def __init__(
        self,
        poller,
        scheduler,
        address,
        headers=(),
        limit=8,
        on_lost=None,
        max_bytes=MAX_JSON_BYTES,
        id_header='',
    ):
        """Create the client; connections open on the first call.

        :param address: Pair of IP and port.
        :param headers: Pairs of name and value sent with each request.
        :param int limit: Maximum number of open connections.
        :param on_lost: Called without arguments when a connection ends.
        :param int max_bytes: Largest body of a response; a call that gets a
            larger one fails, and its connection is reset.
        :param id_header: Name of the header that gives each call an id, which
            its response may repeat; empty for none.
        """
        self.scheduler = scheduler
        self._address = address
        self._max_bytes = max_bytes
        self._headers = tuple(headers)
        #: See the parameter.
        self.id_header = id_header
        #: Whether a response has repeated the id of its call.
        self.repeats_ids = False
        self._pool = ConnectionPool(poller, address, limit, on_lost)

    def call(
        self,
        method,
        target,
        body,
        deadline_s,
        done,
        silence_s=math.inf,
        needs_proof=False,
    ):
        """Send a request.

        :param body: Value to encode as JSON; None for no body.
        :param float deadline_s: Seconds after which the call fails.
        :param float silence_s: Seconds without received bytes after which the
            call fails earlier.
        :param done: Called once with :class:`JsonResponse` or
            :class:`JsonFailure`.
        :param bool needs_proof: Whether no response to another call may count
            as the response. If the server repeats no ids, the call gets a
            connection of its own.
        """
        data = b'' if body is None else orjson.dumps(body)
        connection = self._pool.acquire(
            is_new=needs_proof and not self.repeats_ids
        )
        if connection is None:
            done(JsonFailure('too many calls in progress', False))
            return
        headers = [
            ('Host', '{}:{}'.format(*self._address)),
            ('Content-Length', str(len(data))),
            *self._headers,
        ]
        if data:
            headers.append(('Content-Type', 'application/json'))
        call_id = ''
        if self.id_header:
            call_id = f'{_ID_PREFIX}-{next(_id_numbers)}'
            headers.append((self.id_header, call_id))
        exchange = _JsonExchange(
            self,
            connection,
            done,
            deadline_s,
            silence_s,
            self._max_bytes,
            call_id,
            needs_proof,
        )
        connection.request(method, target, headers, exchange, data)

    def close(self):
        """Close idle connections."""
        self._pool.close()
