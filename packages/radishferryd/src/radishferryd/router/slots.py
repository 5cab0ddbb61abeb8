"""Hold the responses of a caller's connection until their turn."""

from __future__ import annotations

import orjson

from radishferryd import http_message
from radishferryd.platform import headers
from radishferryd.router import bodies
from radishferryd.router import relay_headers

#: Bytes of a response that are buffered while earlier responses of the
#: connection are pending; above it reading from the server is paused.
MAX_BUFFERED_RESPONSE_BYTES = 1048576
#: Largest body of a response that is copied, to be sent with its head.
MAX_JOINED_BYTES = 65536
#: Seconds for receiving the body of a request without a deadline header.
BODY_TIMEOUT_S = 60.0

#: Response headers that are not passed on, since they concern the connection
#: or only the hosts.
_STRIPPED_HEADERS = (
    http_message.HOP_BY_HOP_HEADERS
    | relay_headers.OWN_NAMES
    | {
        'content-length',
        headers.LOAD,
        headers.LEAVING,
        headers.LIMIT,
        headers.SERVER_ID,
        headers.NOT_RUN,
        headers.HANDOVER,
    }
)


class Slot:
    """Hold one request of a connection and its response until its turn."""

    def __init__(self, connection, head, names_refusals=False):
        """Create a slot without a response.

        :param names_refusals: Whether headers name the reason of a refusal,
            and the version of the configuration in force.
        """
        self.head = head
        self._names_refusals = names_refusals
        self.request = None
        self.arrived_at = connection.now()
        #: The :class:`~radishferryd.router.bodies.Body` until it is complete.
        self.body = bodies.EMPTY
        #: The :class:`~radishferryd.router.memory_account.Lease` that pays for
        #: the head, None if there is none.
        self.lease = None
        self.is_received = False
        self._connection = connection
        self._output = []
        self._buffered_bytes = 0
        self._is_done = False
        self._is_chunked = False
        self._has_begun = False
        self._ends_connection = False

    @property
    def request_id(self) -> str:
        """Return the id that the caller gave its request."""
        return self.head.header(headers.REQUEST_ID)

    @property
    def buffered_bytes(self) -> int:
        """Return the bytes of the response that the connection lacks."""
        return self._buffered_bytes

    @property
    def receive_limit_s(self) -> float:
        """Return the seconds in which the request has to be received."""
        limit_s = headers.parse_remaining_s(
            self.head.header(headers.REMAINING_MS)
        )
        return BODY_TIMEOUT_S if limit_s is None else limit_s

    @property
    def is_done(self) -> bool:
        """Return whether the response is complete."""
        return self._is_done

    @property
    def ends_connection(self) -> bool:
        """Return whether the connection closes after the response."""
        return self._ends_connection or not self.head.keep_alive

    # Called by the request.

    def answer(self, head, body):
        """Send a server's complete response."""
        lines = _response_headers(head)
        if head.status not in (204, 304):
            lines.append(('Content-Length', str(len(body))))
        self._write(head.status, lines, body)
        self._finish()

    def begin_stream(self, head):
        """Send the head of a response whose body is streamed."""
        lines = _response_headers(head)
        length = head.header('content-length')
        self._is_chunked = not length
        lines.append(
            ('Content-Length', length)
            if length
            else ('Transfer-Encoding', 'chunked')
        )
        self._write(head.status, lines, b'')

    def stream(self, data):
        """Send a part of the body."""
        if self._is_chunked:
            data = http_message.format_chunk(data)
        self._emit(data)

    def end_stream(self):
        """Complete a streamed response."""
        if self._is_chunked:
            self._emit(http_message.LAST_CHUNK)
        self._finish()

    def refuse(self, refusal):
        """Respond with a refusal by this host.

        :param refusal: A :class:`~radishferryd.router.results.Refusal`.
        """
        body = orjson.dumps(
            {'reason': refusal.reason.value, 'detail': refusal.detail}
        )
        lines = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
        ]
        if refusal.retry_after_s is not None:
            lines.append(('Retry-After', f'{refusal.retry_after_s:.3f}'))
        if self.request_id:
            lines.append((headers.REQUEST_ID, self.request_id))
        if self._names_refusals:
            lines.append((relay_headers.REASON, refusal.reason.value))
        if not self.is_received:
            # To reuse the connection, the rest of the body would have to be
            # read first.
            self._ends_connection = True
        self._write(refusal.status, lines, body)
        self._finish()

    def break_off(self, refusal):
        """End a response in progress that will not become complete.

        It is replaced if nothing of it has been sent. Otherwise the connection
        closes, so that the response is incomplete.

        :param refusal: A :class:`~radishferryd.router.results.Refusal`.
        """
        if self._has_begun:
            self._connection.break_off()
        else:
            self.take_output()
            self.refuse(refusal)

    # Called by the connection.

    def describe(self):
        """Return log fields that tell how far the request has come."""
        if self._is_done:
            state = 'answered'
        else:
            state = 'in-progress' if self.is_received else 'receiving'
        return {
            'request_id': self.request_id,
            'path': self.head.target[:80],
            'state': state,
            'age_s': round(self._connection.now() - self.arrived_at, 4),
        }

    def take_output(self):
        """Return and clear the buffered bytes of the response."""
        output, self._output = self._output, []
        self._buffered_bytes = 0
        return output

    def begin_sending(self):
        """Record that the connection sends the response from now on."""
        self._has_begun = True

    def is_overdue(self, now) -> bool:
        """Return whether the request deadline passed while receiving."""
        return now - self.arrived_at > self.receive_limit_s

    def release(self):
        """Give back what is held for the request, when it has ended."""
        # The request refers to the slot; without this the head of the request
        # would stay in memory until the next garbage collection.
        self.request = None
        if self.lease is not None:
            self.lease.release()

    def _write(self, status, lines, body):
        if self._names_refusals:
            version = str(self._connection.configuration_version)
            lines = [*lines, (relay_headers.CONFIGURATION, version)]
        if self._connection.closes_after(self) or self.ends_connection:
            self._ends_connection = True
            lines = [*lines, ('Connection', 'close')]
        data = http_message.format_response(status, lines)
        if self.head.method == 'HEAD':
            self._emit(data)
        elif len(body) <= MAX_JOINED_BYTES:
            self._emit(data + body)
        else:
            self._emit(data)
            self._emit(body)

    def _emit(self, data):
        self._output.append(data)
        self._buffered_bytes += len(data)
        self._connection.flush()
        if self.request is not None and (
            self._buffered_bytes > MAX_BUFFERED_RESPONSE_BYTES
            or self._connection.is_short_of_memory()
        ):
            self.request.pause()

    def _finish(self):
        self._is_done = True
        self._connection.flush()


def _response_headers(head):
    connection_options = {
        name.strip().lower() for name in head.header('connection').split(',')
    }
    return [
        (name, value)
        for name, value in head.headers
        if name not in _STRIPPED_HEADERS and name not in connection_options
    ]
