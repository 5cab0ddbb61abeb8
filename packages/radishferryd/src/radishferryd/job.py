"""Run a request at the coordinator of its server."""

from __future__ import annotations

from radishferry import outcomes
from radishferry import server_queue
from radishferryd import http_message
from radishferryd import streams

#: ``Retry-After`` of a refusal while a range or server moves, in seconds.
MOVE_RETRY_S = 0.2
#: Maximum size of an answer's body stored for duplicates, in bytes.
MAX_STORED_BODY_BYTES = 4096
#: Prefix of the headers that are reserved to the router.
ROUTER_HEADER_PREFIX = 'radishferry-'
#: Seconds after the deadline in which a server may still answer that it
#: stopped the work. Shorter than
#: :data:`radishferryd.entry.COORDINATOR_GRACE_S`, so that the coordinator
#: normally reports the outcome before the entry host gives up.
DEADLINE_GRACE_S = 0.05

_UNFORWARDED_HEADERS = http_message.HOP_BY_HOP_HEADERS | {'host'}

_REASON_BY_REFUSAL = {
    'stale-term': outcomes.Reason.STALE_ROUTE,
    'range-not-held': outcomes.Reason.STALE_ROUTE,
    'shed': outcomes.Reason.SHED,
}


def forwardable_headers(headers, excluded=frozenset()):
    """Return the headers without hop-by-hop headers and router headers.

    :param headers: Pairs of lower-case name and value.
    :param excluded: Further names to leave out.
    """
    dropped = _UNFORWARDED_HEADERS | excluded
    for name, value in headers:
        if name == 'connection':
            dropped = dropped.union(
                token.strip().lower() for token in value.split(',')
            )
    return tuple(
        [
            pair
            for pair in headers
            if pair[0] not in dropped
            and not pair[0].startswith(ROUTER_HEADER_PREFIX)
        ]
    )


class Job:
    """Represent one request at the coordinator of its server."""

    def __init__(self, dispatcher, job_id, request, kind, sink, now):
        self._dispatcher = dispatcher
        self.job_id = job_id
        self.request = request
        self.kind = kind
        self.deadline = now + request.deadline_s
        self.result = None
        self.response = None
        #: Identifies equal requests; set by the observer.
        self.fingerprint = None
        self._sink = sink
        self._connection = None
        self._body = []
        self._body_done = not request.has_body
        self._is_chunked = request.has_body and not any(
            name == 'content-length' for name, _ in request.headers
        )
        self._credit = streams.WINDOW_BYTES
        self._has_broken_connection = False
        self._has_head = False
        self._stored_body = b''
        # Remaining bytes of the answer's body, None without Content-Length.
        self._remaining_bytes = None
        self._last_bytes = b''
        self._server_refusal = ''
        self._timer = None
        self.work = server_queue.Work(
            job_id, kind.name, request.caller, self.deadline, kind.long
        )

    @property
    def has_broken_connection(self) -> bool:
        """Return whether the connection broke after the job was sent."""
        return self._has_broken_connection

    @property
    def stored_body(self) -> bytes | None:
        """Return the body of the answer, None if it was too large to store."""
        return (
            self._stored_body
            if len(self._stored_body) <= MAX_STORED_BODY_BYTES
            else None
        )

    # Called by the dispatcher.

    def start(self, now):
        """Send the request to the server."""
        view = self._dispatcher.view
        request = self.request
        epoch = view.active.get(request.range_id)
        if request.range_id >= 0 and epoch is None:
            self.refuse(
                outcomes.Reason.STALE_ROUTE,
                MOVE_RETRY_S,
                'The range moved while the request waited.',
            )
            return
        refusal = self._dispatcher.observer.check_start(self, now)
        if refusal is not None:
            self._refuse_with(refusal)
            return
        connection = self._dispatcher.pool.acquire()
        if connection is None:
            self.refuse(
                outcomes.Reason.OVERLOADED,
                MOVE_RETRY_S,
                'All connections of the server are in use.',
            )
            return
        self._connection = connection
        self._dispatcher.observer.started(self, now)
        self._timer = self._dispatcher.scheduler.call_later(
            max(0.0, self.deadline - now) + DEADLINE_GRACE_S,
            self._on_deadline,
        )
        body = b''.join(self._frame(part) for part in self._body)
        if self._is_chunked and self._body_done:
            body += http_message.LAST_CHUNK
        connection.request(
            request.method,
            request.target,
            self._headers(view.term, epoch, now),
            self,
            body,
            self._body_done,
        )
        self._acknowledge(self._body)
        self._body = []

    def refuse(self, reason, retry_after_s, detail):
        """Refuse the job, which is known not to have run."""
        self._refuse(outcomes.Outcome.NOT_RUN, reason, retry_after_s, detail)

    def record_refusal(self, refusal):
        """Record a refusal that the dispatcher itself passes to the sink."""
        self.result = refusal.outcome
        return self

    # Called by the entry host.

    def send(self, data, is_last):
        """See :class:`radishferryd.streams.Source`."""
        if self._body_done or self.result is not None:
            return
        self._body_done = is_last
        if self._connection is None:
            self._body.append(data)
            return
        framed = self._frame(data)
        if is_last and self._is_chunked:
            framed += http_message.LAST_CHUNK
        self._connection.send_body(framed, is_last)
        if self._connection.is_writable:
            self._acknowledge([data])
        else:
            self._body.append(data)

    def add_credit(self, size):
        """See :class:`radishferryd.streams.Source`."""
        was_spent = self._credit <= 0
        self._credit += size
        if was_spent and self._credit > 0 and self._connection is not None:
            self._connection.resume_reading()

    def cancel(self):
        """See :class:`radishferryd.streams.Source`."""
        if self.result is not None:
            return
        started = self._connection is not None or self._has_broken_connection
        self._end(
            outcomes.Outcome.UNKNOWN if started else outcomes.Outcome.NOT_RUN
        )

    # Called by the connection to the server.

    def on_head(self, head):
        """See :class:`radishferryd.http_client.ResponseHandler`."""
        self._has_head = True
        self._server_refusal = head.header('radishferry-refused')
        if self._server_refusal:
            return
        self.response = (head.status, forwardable_headers(head.headers))
        length = head.header('content-length')
        self._remaining_bytes = int(length) if length else None
        if self.kind.long:
            # The deadline of a long kind applies to the head of the answer.
            self._timer.cancel()
        self._sink.on_head(*self.response)

    def on_body(self, data):
        """See :class:`radishferryd.http_client.ResponseHandler`."""
        if self._server_refusal:
            return
        self._credit -= len(data)
        if self._credit <= 0:
            self._connection.pause_reading()
        if len(self._stored_body) <= MAX_STORED_BODY_BYTES:
            self._stored_body += data
        if self._remaining_bytes is not None:
            self._remaining_bytes -= len(data)
            if not self._remaining_bytes:
                # The parser reports the end next; the last bytes are sent
                # in one chunk with it.
                self._last_bytes = data
                return
        self._sink.on_chunk(data, False)

    def on_end(self):
        """See :class:`radishferryd.http_client.ResponseHandler`."""
        if self._server_refusal:
            reason = _REASON_BY_REFUSAL.get(
                self._server_refusal, outcomes.Reason.SHED
            )
            self.refuse(reason, MOVE_RETRY_S, self._server_refusal)
            return
        self._connection = None
        self._end(outcomes.Outcome.RAN)
        self._sink.on_chunk(self._last_bytes, True)

    def on_failed(self, detail, was_sent):
        """See :class:`radishferryd.http_client.ResponseHandler`."""
        self._connection = None
        if was_sent:
            self._has_broken_connection = True
            self._dispatcher.connection_broken(
                lambda: self._fail_server_lost(detail)
            )
        else:
            self.refuse(
                outcomes.Reason.UNREACHABLE,
                MOVE_RETRY_S,
                f'{self._dispatcher.server.name}: {detail}.',
            )

    def abandon(self):
        """Fail the job, because its server is lost."""
        self._fail_server_lost('it does not answer and its lease has lapsed')

    def _fail_server_lost(self, detail):
        self._refuse(
            outcomes.Outcome.UNKNOWN,
            outcomes.Reason.SERVER_LOST,
            None,
            f'{self._dispatcher.server.name}: {detail}.',
        )

    def on_writable(self):
        """See :class:`radishferryd.http_client.ResponseHandler`."""
        self._acknowledge(self._body)
        self._body = []

    def _headers(self, term, epoch, now):
        request = self.request
        server = self._dispatcher.server
        left_ms = max(1, int((self.deadline - now) * 1000))
        headers = [
            ('Host', server.address),
            *request.headers,
            ('Radishferry-Term', str(term)),
            ('Idempotency-Key', request.request_id),
        ]
        if not self.kind.long:
            headers.append(('Radishferry-Deadline-Ms', str(left_ms)))
        if request.key:
            headers.append(('Radishferry-Key', _header_safe(request.key)))
        if epoch is not None:
            headers.append(('Radishferry-Range', str(request.range_id)))
            headers.append(('Radishferry-Epoch', str(epoch)))
        if self._is_chunked:
            headers.append(('Transfer-Encoding', 'chunked'))
        return headers

    def _frame(self, data):
        if not data or not self._is_chunked:
            return data
        return http_message.format_chunk(data)

    def _acknowledge(self, parts):
        size = sum(len(part) for part in parts)
        if size:
            self._sink.on_credit(size)

    def _on_deadline(self):
        self._refuse(
            outcomes.Outcome.UNKNOWN,
            outcomes.Reason.DEADLINE,
            None,
            'The server did not answer before the deadline.',
        )

    def _refuse(self, outcome, reason, retry_after_s, detail):
        self._refuse_with(
            outcomes.Refusal(outcome, reason, retry_after_s, detail)
        )

    def _refuse_with(self, refusal):
        if self.result is not None:
            return
        self._end(refusal.outcome)
        self._sink.on_refused(refusal)

    def _end(self, outcome):
        self.result = outcome
        if self._timer is not None:
            self._timer.cancel()
        connection, self._connection = self._connection, None
        if connection is not None:
            # After an incomplete answer the connection cannot be reused, and
            # closing it cancels the work at the server. A second copy of a
            # refusal would be mistaken for the refusal of the next request.
            connection.abort()
        now = self._dispatcher.scheduler.now()
        ran = outcome is outcomes.Outcome.RAN
        self._dispatcher.ended(self, now, ran=ran)


def _header_safe(key):
    return (
        key.encode('utf-8')
        .decode('latin-1')
        .translate({13: ' ', 10: ' ', 0: ' '})
    )
