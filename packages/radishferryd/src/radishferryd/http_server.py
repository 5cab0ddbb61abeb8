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

#: Header that tells what is known about the execution of a request.
OUTCOME_HEADER = 'Radishferry-Outcome'
#: Header with the time to come back in milliseconds, beside ``Retry-After``.
RETRY_AFTER_MS_HEADER = 'Radishferry-Retry-After-Ms'
#: Header with the reason of a refusal.
REASON_HEADER = 'Radishferry-Reason'


#: Bytes of an answer for which the coordinator is granted more. A grant for
#: each small answer would cost a message to another host.
GRANT_BYTES = streams.WINDOW_BYTES // 4


class Gateway(typing.Protocol):
    """Offer what a caller connection needs from its process."""

    def match(self, method: str, target: str) -> manifest_paths.Match | None:
        """Return what a request is."""

    def is_ready(self) -> bool:
        """Tell whether requests can be routed."""

    def is_stopping(self) -> bool:
        """Tell whether connections should end after their answer."""

    def begin(self, request, answer) -> entry.EntryRequest:
        """Return a request that has not been started."""

    def finished(self, request, status: int, refusal) -> None:
        """Note the end of a request, for the metrics."""

    def cancelled(self, request) -> None:
        """Note that the caller of a request has gone."""

    def call_later(self, delay_s: float, callback) -> None:
        """Plan a call."""

    def connection_opened(self, connection: CallerConnection) -> None:
        """Note a connection."""

    def connection_closed(self, connection: CallerConnection) -> None:
        """Note the end of a connection."""


class CallerConnection:
    """Serve one connection of a caller, one request after the other."""

    def __init__(self, gateway):
        self._gateway = gateway
        self._connection = None
        self._parser = http_message.MessageParser(self, is_request=True)
        self._request = None
        self._is_open_answer = False
        self._is_chunked = False
        self._has_head = False
        self._keep_alive = True
        self._is_head_method = False
        self._body_size = 0
        self._body_limit = 0
        self._body_done = True
        self._drop_body = False
        self._ungranted = 0
        self._unacknowledged = 0
        self._paused = False

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is being answered or received."""
        return not self._is_open_answer and self._parser.is_between_messages

    def close(self):
        """Close after what has been written."""
        self._connection.close()

    # From the network.

    def connected(self, connection):
        """See :class:`radishferryd.net.Handler`."""
        self._connection = connection
        self._gateway.connection_opened(self)

    def received(self, data):
        """See :class:`radishferryd.net.Handler`."""
        try:
            self._parser.feed(data)
        except http_message.HeadTooLargeError:
            self._refuse_bad(
                outcomes.Reason.HEAD_TOO_LARGE,
                f'The head exceeds {http_message.MAX_HEAD_BYTES} bytes.',
            )
        except http_message.BadMessageError as exc:
            self._refuse_bad(
                outcomes.Reason.BAD_REQUEST, f'No valid HTTP/1.1: {exc}.'
            )

    def pause_producing(self):
        """See :class:`radishferryd.net.Handler`."""
        self._paused = True

    def resume_producing(self):
        """See :class:`radishferryd.net.Handler`."""
        self._paused = False
        self._grant()

    def closed(self, error):
        """See :class:`radishferryd.net.Handler`."""
        request, self._request = self._request, None
        if request is not None and not request.is_done:
            request.cancel()
            self._gateway.cancelled(request)
        self._is_open_answer = False
        self._gateway.connection_closed(self)

    # From the parser.

    def on_head(self, head):
        """Take the head of a request."""
        if self._is_open_answer:
            # A pipelined request has not been run; the caller repeats it
            # because the connection closes after the current answer.
            self._keep_alive = False
            self._drop_body = True
            return
        self._is_open_answer = True
        self._has_head = False
        self._keep_alive = head.keep_alive
        self._is_head_method = head.method == 'HEAD'
        self._body_size = 0
        self._body_done = not _has_body(head)
        self._drop_body = False
        refusal = self._check(head)
        if refusal is not None:
            self._drop_body = True
            self.on_refused(refusal)

    def on_body(self, data):
        """Take a part of a request body."""
        if self._drop_body or self._request is None:
            return
        self._body_size += len(data)
        if self._body_size > self._body_limit:
            self._body_too_large()
            return
        self._unacknowledged += len(data)
        if self._unacknowledged >= streams.WINDOW_BYTES:
            self._connection.pause_reading()
        self._request.send(data, False)

    def on_end(self):
        """Take the end of a request."""
        self._body_done = True
        if self._drop_body:
            return
        if self._request is not None and self._request.request.has_body:
            self._request.send(b'', True)

    # From the coordinator.

    def on_head_answer(self, status, headers):
        """Write the head of the server's answer."""
        length = next((v for n, v in headers if n == 'content-length'), None)
        bodyless = self._is_head_method or status in (204, 304)
        self._is_chunked = length is None and not bodyless
        self._has_head = True
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
        """Write a part of the server's answer."""
        if data:
            framed = data
            if self._is_chunked:
                framed = http_message.format_chunk(data)
            self._connection.write(framed)
            self._ungranted += len(data)
            if self._ungranted >= GRANT_BYTES and not is_last:
                self._grant()
        if is_last:
            if self._is_chunked:
                self._connection.write(http_message.LAST_CHUNK)
            self._finish(self._status, None)

    def on_refused(self, refusal):
        """Write a refusal, or break off an answer that has begun."""
        if self._has_head:
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
        """Read more of the request body."""
        self._unacknowledged -= size
        if self._unacknowledged < streams.WINDOW_BYTES:
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
            return self._too_large(match.kind.max_body_bytes)
        request_id = head.header('idempotency-key')
        if request_id and not match.kind.idempotent:
            number = request_ids.parse(request_id)
            if isinstance(number, findings.Finding):
                return _not_run(outcomes.Reason.BAD_REQUEST, f'{number}.')
        self._begin(head, match, request_id or request_ids.new())
        return None

    def _begin(self, head, match, request_id):
        self._body_limit = match.kind.max_body_bytes
        self._unacknowledged = 0
        self._ungranted = 0
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
            caller_request, _CallerAnswer(self)
        )
        if not caller_request.has_body:
            self._request.start()

    def _body_too_large(self):
        self._drop_body = True
        request = self._request
        if request is not None and not request.is_done:
            request.cancel()
            # The server may already run the request on the part it has.
            self.on_refused(
                outcomes.Refusal(
                    outcomes.Outcome.UNKNOWN,
                    outcomes.Reason.BODY_TOO_LARGE,
                    None,
                    f'The body exceeds {self._body_limit} bytes.',
                )
            )

    def _too_large(self, limit):
        return _not_run(
            outcomes.Reason.BODY_TOO_LARGE,
            f'The body exceeds {limit} bytes.',
        )

    def _refuse_bad(self, reason, detail):
        self._keep_alive = False
        if self._is_open_answer:
            self._connection.abort()
            return
        self._is_open_answer = True
        self._body_done = False
        self.on_refused(_not_run(reason, detail))

    def _write_head(self, status, headers):
        # A rest of the request body would have to be read before the next
        # request.
        ends = not self._body_done or self._gateway.is_stopping()
        if ends or not self._keep_alive:
            self._keep_alive = False
            headers = [*headers, ('Connection', 'close')]
        self._connection.write(http_message.format_response(status, headers))

    def _grant(self):
        if self._paused or self._request is None or not self._ungranted:
            return
        size, self._ungranted = self._ungranted, 0
        self._request.grant(size)

    def _finish(self, status, refusal):
        request, self._request = self._request, None
        self._is_open_answer = False
        self._gateway.finished(request, status, refusal)
        if self._keep_alive:
            self._connection.resume_reading()
        elif self._body_done:
            self._connection.close()
        else:
            self._connection.end(self._gateway.call_later)


class _CallerAnswer:
    def __init__(self, connection):
        self._connection = connection

    def on_head(self, status, headers):
        self._connection.on_head_answer(status, headers)

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
    chunked = head.header('transfer-encoding').lower() == 'chunked'
    return chunked or head.header('content-length', '0') != '0'


def _not_run(reason, detail, retry_after_s=None):
    return outcomes.Refusal(
        outcomes.Outcome.NOT_RUN, reason, retry_after_s, detail
    )
