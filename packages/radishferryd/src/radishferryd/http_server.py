"""Serve callers over HTTP/1.1."""

from __future__ import annotations

import logging
import math
import typing

import orjson

from radishferry import findings
from radishferry import outcomes
from radishferry import request_ids
from radishferryd import entry
from radishferryd import http_message
from radishferryd import net
from radishferryd import streams

if typing.TYPE_CHECKING:
    from radishferry import manifest_paths

LOG = logging.getLogger(__name__)

#: Header that states whether the request was executed.
OUTCOME_HEADER = 'Radishferry-Outcome'
#: Header with the retry delay in milliseconds, in addition to
#: ``Retry-After``.
RETRY_AFTER_MS_HEADER = 'Radishferry-Retry-After-Ms'
#: Header with the reason of a refusal.
REASON_HEADER = 'Radishferry-Reason'

#: Bytes of a response after which the coordinator gets more credit. Sending
#: credit for each small response would cost a message to another host.
CREDIT_BYTES = streams.WINDOW_BYTES // 4


class Gateway(typing.Protocol):
    """Provide what a caller connection needs from its process."""

    def match(self, method: str, target: str) -> manifest_paths.Match | None:
        """Return the service, kind and key that a request matches."""

    def is_ready(self) -> bool:
        """Return whether requests can be routed."""

    def is_stopping(self) -> bool:
        """Return whether connections should close after their response."""

    def begin(self, request, answer) -> entry.EntryRequest:
        """Return a request that has not been started."""

    def finished(self, request, status: int, refusal) -> None:
        """Record the end of a request for the metrics."""

    def cancelled(self, request) -> None:
        """Handle the disconnection of the caller of a request."""

    def call_later(self, delay_s: float, callback) -> None:
        """Schedule a call."""

    def connection_opened(self, connection: CallerConnection) -> None:
        """Register a new connection."""

    def connection_closed(self, connection: CallerConnection) -> None:
        """Remove a closed connection."""


class CallerConnection:
    """Serve the requests of one caller connection one at a time."""

    def __init__(self, gateway):
        self._gateway = gateway
        self._connection = None
        self._parser = http_message.MessageParser(self, is_request=True)
        self._request = None
        self._is_responding = False
        self._is_chunked = False
        self._is_head_sent = False
        self._keep_alive = True
        self._is_caller_closing = False
        self._is_head_method = False
        self._body_size = 0
        self._body_limit = 0
        self._is_body_received = True
        self._is_body_dropped = False
        self._uncredited_bytes = 0
        self._unacknowledged_bytes = 0
        self._is_paused = False

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being received or answered."""
        return not self._is_responding and self._parser.is_between_messages

    def close(self):
        """Close after the queued bytes have been sent."""
        self._connection.close()

    # Events of the network connection.

    def connected(self, connection):
        """See :class:`radishferryd.net.Handler`."""
        self._connection = connection
        self._gateway.connection_opened(self)

    def received(self, data):
        """See :class:`radishferryd.net.Handler`."""
        try:
            self._parser.feed(data)
        except http_message.HeadTooLargeError:
            self._refuse_malformed(
                outcomes.Reason.HEAD_TOO_LARGE,
                f'The head exceeds {http_message.MAX_HEAD_BYTES} bytes.',
            )
        except http_message.BadMessageError as exc:
            self._refuse_malformed(
                outcomes.Reason.BAD_REQUEST, f'No valid HTTP/1.1: {exc}.'
            )

    def pause_producing(self):
        """See :class:`radishferryd.net.Handler`."""
        self._is_paused = True

    def resume_producing(self):
        """See :class:`radishferryd.net.Handler`."""
        self._is_paused = False
        self._send_credit()

    def closed(self, error):
        """See :class:`radishferryd.net.Handler`."""
        request, self._request = self._request, None
        if request is not None and not request.is_done:
            request.cancel()
            self._gateway.cancelled(request)
        self._is_responding = False
        self._gateway.connection_closed(self)

    # Events of the parser.

    def on_head(self, head):
        """Handle the head of a request."""
        if self._is_responding:
            # Pipelined requests are not run: the connection closes after the
            # current response, so the caller retries them.
            self._keep_alive = False
            self._is_body_dropped = True
            return
        self._is_responding = True
        self._is_head_sent = False
        self._keep_alive = head.keep_alive
        self._is_caller_closing = not head.keep_alive
        self._is_head_method = head.method == 'HEAD'
        self._body_size = 0
        self._is_body_received = not _has_body(head)
        self._is_body_dropped = False
        refusal = self._check(head)
        if refusal is not None:
            self._is_body_dropped = True
            self.on_refused(refusal)

    def on_body(self, data):
        """Handle a part of a request body."""
        if self._is_body_dropped or self._request is None:
            return
        self._body_size += len(data)
        if self._body_size > self._body_limit:
            self._body_too_large()
            return
        self._unacknowledged_bytes += len(data)
        if self._unacknowledged_bytes >= streams.WINDOW_BYTES:
            self._connection.pause_reading()
        self._request.send(data, False)

    def on_end(self):
        """Handle the end of a request."""
        self._is_body_received = True
        if self._is_body_dropped:
            return
        if self._request is not None and self._request.request.has_body:
            self._request.send(b'', True)

    # Events of the coordinator.

    def on_response_head(self, status, headers):
        """Write the head of the server's response."""
        length = next((v for n, v in headers if n == 'content-length'), None)
        has_no_body = self._is_head_method or status in (204, 304)
        self._is_chunked = length is None and not has_no_body
        self._is_head_sent = True
        lines = [
            *headers,
            (OUTCOME_HEADER, outcomes.Outcome.RAN.value),
            ('Idempotency-Key', self._request.request.request_id),
        ]
        if self._is_chunked:
            lines.append(('Transfer-Encoding', 'chunked'))
        self._status = status
        self._write_head(status, lines)

    def on_chunk(self, data, is_last):
        """Write a part of the server's response."""
        if data:
            framed = data
            if self._is_chunked:
                framed = http_message.format_chunk(data)
            self._connection.write(framed)
            self._uncredited_bytes += len(data)
            if self._uncredited_bytes >= CREDIT_BYTES and not is_last:
                self._send_credit()
        if is_last:
            if self._is_chunked:
                self._connection.write(http_message.LAST_CHUNK)
            self._finish(self._status, None)

    def on_refused(self, refusal):
        """Write a refusal, or abort the connection if a response has begun."""
        if self._is_head_sent:
            self._gateway.finished(self._request, self._status, refusal)
            self._request = None
            self._connection.abort()
            return
        body = orjson.dumps(
            {
                'outcome': refusal.outcome.value,
                'reason': refusal.reason.value,
                'detail': refusal.detail,
            }
        )
        headers = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
            (OUTCOME_HEADER, refusal.outcome.value),
            (REASON_HEADER, refusal.reason.value),
        ]
        if refusal.retry_after_s is not None:
            seconds = max(1, math.ceil(refusal.retry_after_s))
            headers.append(('Retry-After', str(seconds)))
            headers.append(
                (
                    RETRY_AFTER_MS_HEADER,
                    str(math.ceil(refusal.retry_after_s * 1000)),
                )
            )
        if self._request is not None:
            request_id = self._request.request.request_id
            headers.append(('Idempotency-Key', request_id))
        self._write_head(refusal.status, headers)
        if not self._is_head_method:
            self._connection.write(body)
        self._finish(refusal.status, refusal)

    def on_credit(self, size):
        """Continue reading the request body when enough was acknowledged."""
        self._unacknowledged_bytes -= size
        if self._unacknowledged_bytes < streams.WINDOW_BYTES:
            self._connection.resume_reading()

    def _check(self, head):
        gateway = self._gateway
        if gateway.is_stopping():
            self._keep_alive = False
        if not gateway.is_ready():
            return _not_run(
                outcomes.Reason.NOT_READY, 'No manifest is in force yet.', 1.0
            )
        match = gateway.match(head.method, head.target)
        if match is None:
            return _not_run(
                outcomes.Reason.UNKNOWN_PATH,
                f'No request kind matches {head.method} '
                f'{head.target.partition("?")[0][:200]}.',
            )
        if match.service.keyed and not match.key:
            return _not_run(
                outcomes.Reason.MISSING_KEY,
                f'The key of {match.kind.path} is empty.',
            )
        length = head.header('content-length', '0')
        if int(length) > match.kind.max_body_bytes:
            return self._too_large_refusal(match.kind.max_body_bytes)
        request_id = head.header('idempotency-key')
        if request_id and not match.kind.idempotent:
            parsed_id = request_ids.parse(request_id)
            if isinstance(parsed_id, findings.Finding):
                return _not_run(outcomes.Reason.BAD_REQUEST, f'{parsed_id}.')
        self._begin(head, match, request_id or request_ids.new())
        return None

    def _begin(self, head, match, request_id):
        self._body_limit = match.kind.max_body_bytes
        self._unacknowledged_bytes = 0
        self._uncredited_bytes = 0
        caller_request = entry.CallerRequest(
            match.service,
            match.kind,
            match.key or '',
            head.method,
            head.target,
            entry.forwarded_headers(head.headers),
            request_id,
            head.header('radishferry-caller'),
            _has_body(head),
            not head.header('idempotency-key'),
        )
        self._request = self._gateway.begin(
            caller_request, _ResponseSink(self)
        )
        if not caller_request.has_body:
            self._request.start()

    def _body_too_large(self):
        self._is_body_dropped = True
        request = self._request
        if request is not None and not request.is_done:
            request.cancel()
            # The server may already be running the request with the part of
            # the body that it has received.
            self.on_refused(
                outcomes.Refusal(
                    outcomes.Outcome.UNKNOWN,
                    outcomes.Reason.BODY_TOO_LARGE,
                    None,
                    f'The body exceeds {self._body_limit} bytes.',
                )
            )

    def _too_large_refusal(self, limit):
        return _not_run(
            outcomes.Reason.BODY_TOO_LARGE,
            f'The body exceeds {limit} bytes.',
        )

    def _refuse_malformed(self, reason, detail):
        self._keep_alive = False
        if self._is_responding:
            self._connection.abort()
            return
        self._is_responding = True
        self._is_body_received = False
        self.on_refused(_not_run(reason, detail))

    def _write_head(self, status, headers):
        # Close if part of the request body is unread, because it would have to
        # be read before the next request.
        closes = not self._is_body_received or self._gateway.is_stopping()
        if closes or not self._keep_alive:
            self._keep_alive = False
            headers = [*headers, ('Connection', 'close')]
        self._connection.write(http_message.format_response(status, headers))

    def _send_credit(self):
        if (
            self._is_paused
            or self._request is None
            or not self._uncredited_bytes
        ):
            return
        size, self._uncredited_bytes = self._uncredited_bytes, 0
        self._request.add_credit(size)

    def _finish(self, status, refusal):
        request, self._request = self._request, None
        self._is_responding = False
        self._gateway.finished(request, status, refusal)
        if self._keep_alive:
            self._connection.resume_reading()
        elif self._is_body_received and self._is_caller_closing:
            self._connection.close()
        else:
            # The caller may still be sending.
            self._connection.linger_close(self._gateway.call_later)


class _ResponseSink:
    def __init__(self, connection):
        self._connection = connection

    def on_head(self, status, headers):
        self._connection.on_response_head(status, headers)

    def on_chunk(self, data, is_last):
        self._connection.on_chunk(data, is_last)

    def on_refused(self, refusal):
        self._connection.on_refused(refusal)

    def on_credit(self, size):
        self._connection.on_credit(size)


def listen(poller, address, gateway) -> net.Listener:
    """Accept connections of callers.

    :raises OSError: The address cannot be bound.
    """
    return net.Listener(poller, address, lambda: CallerConnection(gateway))


def _has_body(head):
    is_chunked = head.header('transfer-encoding').lower() == 'chunked'
    return is_chunked or head.header('content-length', '0') != '0'


def _not_run(reason, detail, retry_after_s=None):
    return outcomes.Refusal(
        outcomes.Outcome.NOT_RUN, reason, retry_after_s, detail
    )
