"""Send request attempts to servers over HTTP/1.1 connections."""

from __future__ import annotations

import errno
import logging
import math
import typing

from radishferry.direct import idle_limit
from radishferryd import http_message
from radishferryd import net
from radishferryd.platform import headers
from radishferryd.router import bodies
from radishferryd.router import memory_account
from radishferryd.router import results

LOG = logging.getLogger(__name__)

#: Connect timeout in seconds. Data centres are about 1 ms apart, so only an
#: unreachable server takes this long.
CONNECT_TIMEOUT_S = 0.35
#: Seconds for which a new connection must stay open before a request is sent
#: on it. A server with a long queue or too many connections accepts another
#: one and resets it at once; data centres are about 1 ms apart.
SETTLE_S = 0.005
#: Seconds that sent data may stay unacknowledged before the connection is
#: closed (TCP user timeout), so that requests to a server that became
#: unreachable do not wait for their deadline.
UNACKED_LIMIT_S = 0.7
#: Bytes of a response that are buffered before it is streamed. A broken
#: response can be replaced by another attempt while it is buffered.
BUFFER_BYTES = 786432
#: Maximum bytes that cannot become a response to the caller, such as responses
#: to other requests; above it the connection is reset. Faulty servers may send
#: endless data; genuine error responses and duplicates are smaller than this.
MAX_UNUSABLE_BYTES = 262144


class Sink(typing.Protocol):
    """Receive the response or the failure of one attempt."""

    def on_result(self, attempt, result) -> None:
        """Handle the end of the attempt."""

    def on_stream_head(self, attempt, head) -> None:
        """Handle the head of a response that is too large to buffer."""

    def on_stream_body(self, attempt, data) -> None:
        """Handle a part of the body of a streamed response."""


class Attempt:
    """Represent one attempt to run a request at one server."""

    def __init__(
        self,
        backend,
        request_id,
        method,
        sink,
        data,
        key=None,
        used_connections=(),
        body=bodies.EMPTY,
    ):
        """Create the attempt.

        :param sink: A :class:`Sink`.
        :param data: Bytes of the head of the request.
        :param used_connections: Connections of the request's earlier attempts.
        :param body: The :class:`~radishferryd.router.bodies.Body` of the
            request, which is held until it has been written or the attempt
            ends.
        """
        self._body = body.hold()
        #: Bytes of the whole request, as its head declares them.
        self.size = len(data) + body.size
        self.backend = backend
        self.used_connections = used_connections
        self.key = key
        self.request_id = request_id
        self.method = method
        self.sink = sink
        self.data = data
        self.sent_at = None
        #: See :class:`radishferry.direct.hangs.Pending`.
        self.answer_by = math.inf
        self.usual_s = 0.0
        self.is_idempotent = False
        #: Load of the server that was assumed at the send, None without a
        #: fresh report.
        self.load_at_send = None
        #: Whether it has been reported to run much longer than expected.
        self.is_overdue = False
        self.connection = None
        self._is_done = False

    @property
    def server(self):
        """Return the server."""
        return self.backend.server

    @property
    def is_answered(self) -> bool:
        """Return whether the response has begun."""
        return self.connection is not None and self.connection.is_answering

    @property
    def is_silent(self) -> bool:
        """Return whether the server has accepted it and sent nothing."""
        return self.connection is not None and self.connection.awaits_answer(
            self
        )

    def expect(self, answer_by, usual_s):
        """Set when an answer is due.

        :param answer_by: End of the time that the server is given, in seconds.
        :param usual_s: Usual time of such a request, in seconds.
        """
        self.answer_by = answer_by
        self.usual_s = usual_s

    def finish(self, result):
        """Report the result, unless the attempt has already ended."""
        if self._is_done:
            return
        self._is_done = True
        self.release_body()
        self.backend.ended(self, result)
        self.sink.on_result(self, result)

    def cancel(self):
        """Abort the attempt without reporting a result."""
        if self._is_done:
            return
        self._is_done = True
        self.release_body()
        self.backend.ended(self, None)
        if self.connection is not None:
            self.connection.abort()

    def take_parts(self):
        """Return the bytes of the request in parts to write."""
        if self._body is bodies.EMPTY:
            return [self.data]
        if self._body.is_small:
            # One packet in place of two.
            return [b''.join((self.data, *self._body.parts()))]
        return [self.data, *self._body.parts()]

    def release_body(self):
        """End the use of the body, which has been written or is not needed.

        Parts of it that a connection is still writing stay in memory until
        they have been written.
        """
        body, self._body = self._body, bodies.EMPTY
        body.release()

    def pause(self):
        """Pause reading the response."""
        if self.connection is not None:
            self.connection.pause_reading()

    def resume(self):
        """Resume reading the response."""
        if self.connection is not None:
            self.connection.resume_reading()


class Connection:
    """Send one request at a time over a connection to a server."""

    def __init__(self, backend, poller, scheduler):
        self._backend = backend
        self._scheduler = scheduler
        self._attempt = None
        #: Attempt and result of a complete response, while the bytes that
        #: arrived with its end are being parsed.
        self._completed = None
        self._head = None
        self._parts = []
        self._size = 0
        self._unusable_bytes = 0
        self._is_mismatched = False
        self._is_streaming = False
        self._is_close_delimited = False
        self._keep_alive = True
        self._pending_parts = []
        #: Bytes of the current request that have not been written.
        self._unwritten_bytes = 0
        #: Bytes of a response that is buffered.
        self._lease = backend.memory.lease(
            memory_account.Budget.RESPONSES, memory_account.Kind.RESPONSE
        )
        #: Idle time before the current attempt, None on a new connection.
        self._idle_s = None
        #: Id of the last request; a late duplicate response to it may follow.
        self.last_request_id = None
        self.idle_since = scheduler.now()
        self.idle_limit_s = idle_limit.MAX_IDLE_S
        self.is_connected = False
        self._parser = http_message.MessageParser(
            self, is_request=False, max_head_bytes=65536
        )
        self._connection = net.connect(
            poller, backend.server.address, self, UNACKED_LIMIT_S
        )
        self._timer = scheduler.call_later(
            CONNECT_TIMEOUT_S, self._on_connect_timeout
        )

    @property
    def is_open(self):
        return self._connection.is_open

    @property
    def is_answering(self) -> bool:
        """Return whether the response to the attempt has begun."""
        return self._head is not None

    def send(self, attempt):
        """Send an attempt, once a new connection has proved to stay open."""
        self._attempt = attempt
        attempt.connection = self
        now = self._scheduler.now()
        attempt.sent_at = now
        self._idle_s = now - self.idle_since if self.is_connected else None
        self._head = None
        self._unusable_bytes = 0
        self._unwritten_bytes = attempt.size
        self.last_request_id = attempt.request_id
        if self.is_connected:
            self._write(attempt.take_parts())
        else:
            self._pending_parts = attempt.take_parts()

    def _write(self, parts):
        for part in parts:
            self._unwritten_bytes -= len(part)
            self._connection.write(part)

    def abort(self):
        self._attempt = None
        self._connection.abort()

    def close(self):
        self._connection.close()

    def awaits_answer(self, attempt) -> bool:
        """Return whether an attempt was sent and no answer to it began."""
        return (
            self._attempt is attempt
            and self.is_connected
            and not self._pending_parts
            and self._head is None
        )

    def give_up(self, result):
        """End the current attempt with a result, and reset."""
        self._abort_with(result)

    def pause_reading(self):
        self._connection.pause_reading()

    def resume_reading(self):
        self._connection.resume_reading()

    # Callbacks of net.Connection, see net.Handler.

    def connected(self, connection):
        self.is_connected = True
        self._timer.cancel()
        self._backend.note_connected()
        if self._pending_parts:
            self._timer = self._scheduler.call_later(
                SETTLE_S, self._send_pending
            )

    def received(self, data):
        if self._attempt is None:
            # These bytes belong to no request, such as a duplicate response.
            self._connection.abort()
            return
        if self._pending_parts:
            self._fail(results.NotRun('the server sent bytes unasked'))
            self._connection.abort()
            return
        problem = self._parse(data)
        if self._completed is not None:
            self._finish_completed(not problem)
        elif problem:
            self._abort_with(results.Unknown(problem))
        elif self._attempt is not None and self._head is None:
            self._count_unusable(len(data))

    def _parse(self, data):
        """Parse bytes and return why they are no response, or None."""
        try:
            self._parser.feed(data)
        except (
            http_message.BadMessageError,
            http_message.HeadTooLargeError,
        ) as exc:
            detail = str(exc) or 'a head, trailer or extension without end'
            return f'the answer is no HTTP: {detail}'
        return None

    def _count_unusable(self, size):
        self._unusable_bytes += size
        if self._unusable_bytes > MAX_UNUSABLE_BYTES:
            self._abort_with(
                results.Unknown('only answers to other requests came')
            )

    def pause_producing(self):
        """Ignore a slow reader, since the whole request is already queued."""

    def resume_producing(self):
        """Free a large body that has almost been written."""
        if self._attempt is not None:
            self._attempt.release_body()

    def closed(self, error):
        self._timer.cancel()
        self._lease.release()
        if (
            error is None
            and self._is_close_delimited
            and self._head is not None
            and self._attempt is not None
        ):
            self._complete()
        if self._completed is not None:
            self._finish_completed(False)
        elif self._attempt is not None:
            detail = str(error) if error else 'connection closed'
            if self.is_connected and self._pending_parts:
                self._fail(results.NotRun(f'nothing was sent: {detail}'))
            elif self.is_connected:
                if self._idle_s is not None and self._head is None:
                    took_s = self._scheduler.now() - self._attempt.sent_at
                    self._backend.note_reset(self._idle_s, took_s)
                self._fail(
                    results.Unknown(
                        detail,
                        is_connection_lost=True,
                        is_unacknowledged=_errno(error) == errno.ETIMEDOUT,
                    )
                )
            elif net.is_out_of_descriptors(error):
                self._fail(
                    results.NotRun(
                        'the host has no descriptor left',
                        is_host_exhausted=True,
                    )
                )
            else:
                self._fail(
                    results.NotRun(
                        f'no connection: {error}',
                        is_unreachable=True,
                        is_server_dead=_errno(error) == errno.ECONNREFUSED,
                    )
                )
        self._backend.connection_closed(self)

    def _on_connect_timeout(self):
        if not self.is_connected:
            self._fail(
                results.NotRun('connect timed out', is_unreachable=True)
            )
            self._connection.abort()

    def _send_pending(self):
        parts, self._pending_parts = self._pending_parts, []
        if self._attempt is not None and self._connection.is_open:
            self._write(parts)

    # Callbacks of the parser.

    def on_head(self, head):
        attempt = self._attempt
        if attempt is None:
            # A second response arrived together with the first one.
            self._keep_alive = False
            return
        has_length = head.header('content-length') or head.header(
            'transfer-encoding'
        )
        self._is_close_delimited = not has_length and head.status not in (
            204,
            304,
        )
        echoed = head.header(headers.REQUEST_ID)
        # A late duplicate response to an earlier request can precede the
        # response to this one.
        self._is_mismatched = bool(echoed) and echoed != attempt.request_id
        if self._is_mismatched:
            self._keep_alive = False
            if self._is_close_delimited:
                self._abort_with(
                    results.Unknown('an answer to another request came')
                )
            return
        self._head = head
        self._parts = []
        self._size = 0
        self._is_streaming = False
        # A duplicate of a response without a request id could not be
        # distinguished from the response to the next request.
        self._keep_alive = (
            self._keep_alive and head.keep_alive and bool(echoed)
        )
        problem = self._validation_error()
        if problem:
            self._abort_with(results.Unknown(problem))
            return
        self._backend.note_answering(attempt)
        self._backend.note_announcements(head)
        if attempt.method == 'HEAD':
            # The parser does not know the method and would wait for the body
            # that the headers describe, so the connection is not reused.
            self._keep_alive = False
            self._complete()

    def on_body(self, data):
        if self._attempt is None or self._is_mismatched or self._head is None:
            return
        if self._is_streaming:
            self._attempt.sink.on_stream_body(self._attempt, data)
            return
        self._parts.append(data)
        self._size += len(data)
        if self._size > MAX_UNUSABLE_BYTES and not self._may_stream():
            self._abort_with(self._oversized_result())
            return
        has_room = self._has_room(len(data))
        if self._attempt is None:
            # The caller of this request was ended to make room.
            self._parts = []
            self._lease.release()
        elif not has_room or self._size > BUFFER_BYTES:
            self._is_streaming = True
            self._lease.release()
            self._attempt.sink.on_stream_head(self._attempt, self._head)
            if self._attempt is not None:
                self._attempt.sink.on_stream_body(
                    self._attempt, b''.join(self._parts)
                )
            self._parts = []

    def on_end(self):
        if self._is_mismatched or self._head is None:
            return
        if self._attempt is not None and not self._is_close_delimited:
            self._complete()

    def _has_room(self, size):
        """Take the bytes that were received, and return whether they fit.

        A small response and one that must not be streamed are buffered in any
        case; what others hold is ended for them.
        """
        is_whole = self._size <= memory_account.SMALL_BYTES
        if self._lease.grow(size):
            return True
        self._lease.force(size)
        return is_whole or not self._may_stream()

    def _may_stream(self):
        """Return whether the response may be passed on while incomplete."""
        head = self._head
        return bool(
            head.header(headers.SIGNATURE)
        ) and not headers.implies_not_run(head)

    def _oversized_result(self):
        """Return the result for a body that exceeds its limit."""
        if headers.is_not_run(self._head):
            return self._not_run()
        return results.Unknown(
            f'a failure of more than {MAX_UNUSABLE_BYTES} bytes'
        )

    def _not_run(self):
        status = self._head.status
        is_misdirected = status == headers.MISDIRECTED
        server_id = self._head.header(headers.SERVER_ID)
        return results.NotRun(
            f'the server answered {status}',
            is_misdirected=is_misdirected,
            is_another_server=is_misdirected
            and server_id not in ('', self._backend.server.server_id),
        )

    def _validation_error(self):
        """Return why the response is not valid for the request, or None."""
        head = self._head
        if head.contains_status_line():
            return 'a head that another response continues'
        names_request = bool(head.header(headers.REQUEST_ID))
        if not names_request and self._idle_s is not None:
            # May be a late duplicate of a response to an earlier request.
            return 'a response on a reused connection that names no request'
        if head.header('content-encoding'):
            return 'the answer has an encoding that nobody asked for'
        if not 200 <= head.status < 300:
            return None
        if not head.header(headers.SIGNATURE):
            return 'a success without a signature'
        if not names_request:
            return 'a success that names no request'
        return None

    def _complete(self):
        """Keep the result until the bytes after the response are parsed.

        The attempt's end may start another request, which must not be sent
        on a connection that has further bytes to parse.
        """
        attempt, self._attempt = self._attempt, None
        head, body = self._head, b''.join(self._parts)
        self._lease.release()
        result = self._result(head, body)
        self._head, self._parts = None, []
        self.idle_limit_s = _idle_limit(head)
        self._completed = attempt, result

    def _finish_completed(self, is_reusable):
        """Return the connection to the pool or reset it, and report."""
        (attempt, result), self._completed = self._completed, None
        if (
            not is_reusable
            or not self._is_request_sent()
            or not self._keep_alive
            or not self._parser.is_between_messages
        ):
            self._connection.abort()
        elif self._connection.is_open:
            self._connection.resume_reading()
            self.idle_since = self._scheduler.now()
            self._backend.connection_idle(self)
        attempt.finish(result)

    def _is_request_sent(self):
        """Return whether the server gets the whole request.

        It would read the next request as the part that is missing.
        """
        if self._unwritten_bytes:
            LOG.error(
                'backends: A request to %s was not sent in full; its '
                'connection is closed.',
                self._backend.server.server_id,
                extra={
                    'request_id': self.last_request_id,
                    'missing_bytes': self._unwritten_bytes,
                },
            )
        return not (self._unwritten_bytes or self._connection.queued_bytes)

    def _result(self, head, body):
        self._backend.note_load(head)
        if headers.is_not_run(head):
            return self._not_run()
        return results.Answered(head, body, self._is_streaming)

    def _abort_with(self, result):
        """Report a result before the response is complete, and reset."""
        self._fail(result)
        self._parts = []
        self._lease.release()
        self._connection.abort()

    def _fail(self, result):
        attempt, self._attempt = self._attempt, None
        if attempt is None:
            return
        if self._is_streaming and isinstance(result, results.Unknown):
            result = results.Unknown(result.detail, True, True)
        attempt.finish(result)


def _errno(error):
    return getattr(error, 'errno', None)


def _idle_limit(head):
    for field in head.header('keep-alive').split(','):
        name, _, value = field.strip().partition('=')
        is_number = value.isascii() and value.isdigit() and len(value) <= 9
        if name == 'timeout' and is_number:
            # Subtract a second, so that the server does not close first.
            return min(idle_limit.MAX_IDLE_S, int(value) - 1.0)
    return idle_limit.MAX_IDLE_S
