"""Serve callers over HTTP/1.1, with pipelined requests in order."""

from __future__ import annotations

import collections
import logging

from radishferryd import http_message
from radishferryd import net
from radishferryd.router import body_receiver
from radishferryd.router import memory_account
from radishferryd.router import results
from radishferryd.router import slots

LOG = logging.getLogger(__name__)

#: Requests in progress on one connection at which reading is paused.
MAX_PIPELINED = 16
#: Requests in progress on one connection that count as small at most, so that
#: a few callers do not take the memory for small requests.
MAX_SMALL_PIPELINED = 4
#: Maximum size of one request body in bytes, even if the configured limit is
#: larger.
MAX_BODY_BYTES = 67108864


class CallerConnection:
    """Serve one HTTP/1.1 connection of a caller."""

    def __init__(self, gateway, names_refusals=False):
        """Create the handler of a new connection.

        :param gateway: Provides ``now``, ``limits``, ``begin``, ``refused``,
            ``is_stopping``, ``accepts_requests``, ``stop_refusal``,
            ``scheduler``, ``memory`` and the set ``connections``.
        :param names_refusals: Whether a header names the reason of a refusal.
        """
        self._gateway = gateway
        self._names_refusals = names_refusals
        self._connection = None
        self._slots = collections.deque()
        self._receiving = None
        self._is_closing = False
        self._is_flushing = False
        self._is_write_paused = False
        #: Bytes written, and those of them that have left the queue.
        self._written_bytes = 0
        self._taken_bytes = 0
        #: Whether what comes after a rejected request is not parsed.
        self._is_dropping = False
        #: When the first bytes of an incomplete head were received.
        self._head_started_at = None
        self._parser = self._create_parser()
        self.active_at = gateway.now()
        memory = gateway.memory
        budgets, kinds = memory_account.Budget, memory_account.Kind
        self._memory = memory
        self._receiver = body_receiver.BodyReceiver(
            memory, names_refusals, self.refuse_incomplete, self._on_waiting
        )
        self._lease = memory.lease(
            budgets.CONNECTIONS, kinds.CONNECTION, self._reclaim_connection
        )
        self._head_lease = memory.lease(
            budgets.SMALL, kinds.HEAD, self._reclaim_head
        )
        self._response_lease = memory.lease(
            budgets.RESPONSES, kinds.RESPONSE, self._reclaim_responses
        )
        self._unread_lease = memory.lease(budgets.UNREAD, kinds.UNREAD)

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in progress or being received."""
        return not self._slots and self._parser.is_between_messages

    @property
    def configuration_version(self) -> int:
        """Return the version of the configuration in force."""
        return self._gateway.configuration_version

    @property
    def open_requests(self) -> int:
        """Return the number of requests without a complete response."""
        return len(self._slots)

    def now(self):
        """Return the time in seconds."""
        return self._gateway.now()

    def _create_parser(self):
        return http_message.MessageParser(
            self,
            is_request=True,
            max_head_bytes=self._gateway.limits.max_header_bytes,
        )

    def close(self):
        """Close after all queued data has been written."""
        self._is_closing = True
        self._connection.close()

    def break_off(self):
        """Close in the middle of a response, after what was queued before."""
        self._is_closing = True
        self._cancel_all('an earlier response on the connection broke off')
        self._connection.linger_close(self._gateway.scheduler.call_later)

    def log_open_requests(self):
        """Log the requests whose responses have not been sent, in order."""
        for position, slot in enumerate(self._slots):
            LOG.warning(
                'callers: The host stops before it has sent a response.',
                extra={**slot.describe(), 'position': position},
            )

    def closes_after(self, slot) -> bool:
        """Return whether the connection closes after a response.

        A stopping host closes a connection after the response to the last
        request that it has read, so that no request is lost.
        """
        return self._gateway.is_stopping and (
            not self._slots or self._slots[-1] is slot
        )

    def refuse_incomplete(self, refusal):
        """Refuse the request that is being received, if any."""
        if self._receiving is not None and not self._is_closing:
            self._refuse(self._receiving, refusal)

    def end_requests(self):
        """Answer all open requests; responses behind them are sent then."""
        self.refuse_incomplete(self._gateway.stop_refusal())
        for slot in list(self._slots):
            if slot.request is not None and not slot.is_done:
                slot.request.stop()

    def check_time(self, now):
        """Enforce the idle, head and body timeouts."""
        self._count_responses()
        if not self._is_write_paused:
            # Reading of its response may have been paused to save memory.
            self._resume_first_request()
        self._receiver.check_time(now)
        limits = self._gateway.limits
        receiving = self._receiving
        if self.is_idle:
            if now - self.active_at > limits.idle_timeout_s:
                self.close()
        elif receiving is not None:
            if receiving.is_overdue(now):
                self._reject(
                    results.Refusal(
                        408,
                        results.Reason.BODY_TIMEOUT,
                        'The body did not come before the deadline.',
                    )
                )
        elif (
            not self._slots
            and self._head_started_at is not None
            and now - self._head_started_at > limits.header_timeout_s
        ):
            self._reject(
                results.Refusal(
                    408,
                    results.Reason.HEADER_TIMEOUT,
                    f'The head took over {limits.header_timeout_s} s.',
                )
            )

    def flush(self):
        """Write the available responses in the order of the requests."""
        if self._is_flushing:
            return
        self._is_flushing = True
        try:
            self._flush()
        finally:
            self._is_flushing = False
        self._count_responses()

    def is_short_of_memory(self) -> bool:
        """Return whether responses have to be read more slowly."""
        held = self._response_lease.held
        return held > memory_account.SMALL_BYTES and (
            self._memory.is_overdrawn(memory_account.Budget.RESPONSES)
        )

    def _flush(self):
        while self._slots and self._connection.is_open:
            slot = self._slots[0]
            for data in slot.take_output():
                slot.begin_sending()
                self._written_bytes += len(data)
                self._connection.write(data)
            # A failed write closes the connection.
            if not slot.is_done or not self._slots:
                return
            self._slots.popleft().release()
            self._lease.mark()
            self.active_at = self._gateway.now()
            if slot.ends_connection:
                self._close_after(slot)
                return
            self._update_reading()
            # Reading of the next response may have been paused while it was
            # buffered.
            if not self._is_write_paused:
                self._resume_first_request()

    def _resume_first_request(self):
        if self._slots and self._slots[0].request is not None:
            self._slots[0].request.resume()

    def _close_after(self, slot):
        # The response has "Connection: close". The caller gets no response to
        # the requests behind it, so they are cancelled.
        self._cancel_all('the connection closed after an earlier response')
        self._is_closing = True
        if (
            self._parser.is_between_messages
            and not self._is_dropping
            and not slot.head.keep_alive
        ):
            self._connection.close()
        else:
            # The caller may still be sending.
            self._connection.linger_close(self._gateway.scheduler.call_later)

    # Callbacks of net.Connection, see net.Handler.

    def connected(self, connection):
        """See :class:`radishferryd.net.Handler`."""
        self._connection = connection
        self._gateway.connections.add(self)
        if not self._lease.grow(memory_account.CONNECTION_BYTES):
            # Nothing has been read of it, so that any request is safe to
            # repeat.
            self.close()

    def received(self, data):
        """See :class:`radishferryd.net.Handler`."""
        if self._is_closing or self._is_dropping:
            return
        self.active_at = self._gateway.now()
        try:
            self._parser.feed(data)
        except http_message.HeadTooLargeError:
            self._reject(
                results.Refusal(
                    431,
                    results.Reason.HEAD_TOO_LARGE,
                    'The head is too large.',
                )
            )
        except http_message.BadMessageError as exc:
            self._reject(
                results.Refusal(
                    400,
                    results.Reason.BAD_REQUEST,
                    f'No valid HTTP/1.1: {exc}.',
                )
            )
        is_in_head = (
            self._receiving is None and not self._parser.is_between_messages
        )
        self._count_head(is_in_head)
        if not is_in_head:
            self._head_started_at = None
        elif self._head_started_at is None:
            self._head_started_at = self.active_at

    def pause_producing(self):
        """See :class:`radishferryd.net.Handler`."""
        self._is_write_paused = True
        if self._slots and self._slots[0].request is not None:
            self._slots[0].request.pause()

    def resume_producing(self):
        """See :class:`radishferryd.net.Handler`."""
        self._is_write_paused = False
        self._resume_first_request()

    def closed(self, error):
        """See :class:`radishferryd.net.Handler`."""
        self._is_closing = True
        self._gateway.connections.discard(self)
        self._cancel_all('the caller left')
        for lease in (
            self._lease,
            self._head_lease,
            self._response_lease,
            self._unread_lease,
        ):
            lease.release()

    # Callbacks of the parser.

    def on_head(self, head):
        """Handle the head of a request."""
        if self._is_closing or (
            self._slots and self._slots[-1].ends_connection
        ):
            return
        slot = slots.Slot(self, head, self._names_refusals)
        self._slots.append(slot)
        self._receiving = slot
        problem = _check_head(head, self._gateway.limits)
        if problem is None and not self._gateway.accepts_requests:
            problem = self._gateway.stop_refusal()
        problem = problem or self._take_head(slot)
        if problem is not None:
            self._refuse(slot, problem)
            return
        self._receiver.begin(slot)
        if not self._receiver.is_waiting:
            self._send_interim()
        self._update_reading()

    def on_body(self, data):
        """Handle a part of a request body."""
        slot = self._receiving
        if slot is None or self._is_closing:
            return
        limit = self._gateway.limits.max_body_bytes
        if slot.body.size + len(data) > min(limit, MAX_BODY_BYTES):
            self._refuse(
                slot,
                results.Refusal(
                    413,
                    results.Reason.BODY_TOO_LARGE,
                    f'The body exceeds {limit} bytes.',
                ),
            )
        else:
            self._receiver.receive(data)

    def on_end(self):
        """Handle the end of a request, and start it."""
        slot, self._receiving = self._receiving, None
        if slot is None or self._is_closing:
            return
        slot.is_received = True
        self._receiver.end()
        try:
            slot.request = self._gateway.begin(slot)
        finally:
            # The request holds the body from now on.
            slot.body.release()

    # What is held in memory, see radishferryd.router.memory_account.

    def _take_head(self, slot):
        """Take the memory of a request; return a refusal if there is none."""
        self._head_lease.release()
        size = memory_account.REQUEST_BYTES + memory_account.head_bytes(
            self._parser.head_bytes, len(slot.head.headers)
        )
        budget = memory_account.budget_for(size)
        if len(self._slots) > MAX_SMALL_PIPELINED:
            budget = memory_account.Budget.LARGE
        slot.lease = self._memory.lease(budget, memory_account.Kind.HEAD)
        if not slot.lease.grow(size):
            return body_receiver.memory_refusal(budget)
        if len(self._slots) > MAX_PIPELINED and not self._unread_lease.held:
            return body_receiver.memory_refusal(memory_account.Budget.UNREAD)
        return None

    def _count_head(self, is_in_head):
        """Take the memory of an incomplete head, or reject it."""
        lease = self._head_lease
        if not is_in_head or self._is_closing or self._is_dropping:
            lease.release()
            return
        size = memory_account.head_bytes(
            self._parser.head_bytes, self._parser.header_count
        )
        budget = memory_account.budget_for(size)
        if budget is not lease.budget:
            lease.move(budget)
        if not lease.held:
            lease.mark()
        if size > lease.held and not lease.grow(size - lease.held):
            self._reclaim_head()

    def _count_responses(self):
        """Take the memory of the responses that the caller has not taken."""
        queued = self._connection.queued_bytes
        held = queued + sum(slot.buffered_bytes for slot in self._slots)
        taken = self._written_bytes - queued
        self._response_lease.note_progress(taken - self._taken_bytes)
        self._taken_bytes = taken
        if held != self._response_lease.held and self._connection.is_open:
            self._response_lease.set(held)

    def _update_reading(self):
        """Pause reading while requests are in progress or memory is short.

        What the system keeps for a connection that is not read is taken from
        the account too. Without room for it the connection is read on, and
        its next request is refused.
        """
        is_full = len(self._slots) >= MAX_PIPELINED
        if is_full and not self._unread_lease.held:
            is_full = self._unread_lease.grow(memory_account.UNREAD_BYTES)
        elif not is_full:
            self._unread_lease.release()
        if is_full or self._receiver.is_waiting:
            self._connection.pause_reading()
        else:
            self._connection.resume_reading()

    def _on_waiting(self):
        self._update_reading()
        if not self._receiver.is_waiting and self._receiving is not None:
            self._send_interim()

    def _send_interim(self):
        """Ask a caller for its body that waits until it is told to send it."""
        slot = self._receiving
        if slot is None or self._slots[0] is not slot:
            # Before its turn it would become a part of another response.
            return
        if slot.head.header('expect').lower() == '100-continue':
            self._connection.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def _reclaim_connection(self):
        """Close the connection if no request is in progress on it."""
        if self._is_closing:
            self._connection.abort()
        elif not self._slots or self._slots[0] is self._receiving:
            self.close()
            self._connection.abort()

    def _reclaim_head(self):
        """Reject a head for which there is no memory."""
        self._reject(body_receiver.memory_refusal(self._head_lease.budget))
        self._head_lease.release()

    def _reclaim_responses(self):
        """End the connection of a caller that does not take its responses."""
        LOG.info(
            'callers: Ended a connection whose responses are not read.',
            extra={'held_bytes': self._response_lease.held},
        )
        self._connection.abort()

    def _refuse(self, slot, refusal):
        self._receiving = None
        self._receiver.abandon()
        self._gateway.refused(slot, refusal)
        slot.refuse(refusal)

    def _reject(self, refusal):
        """Refuse an invalid or slow request, and close the connection."""
        if self._is_closing:
            return
        slot = self._receiving
        if slot is None:
            if self._slots and self._slots[-1].ends_connection:
                return
            slot = slots.Slot(self, _EMPTY_HEAD, self._names_refusals)
            self._slots.append(slot)
        # Frees what has been parsed of the message.
        self._is_dropping = True
        self._parser = self._create_parser()
        self._refuse(slot, refusal)

    def _cancel_all(self, detail):
        self._receiving = None
        self._receiver.abandon()
        cancelled, self._slots = list(self._slots), collections.deque()
        for slot in cancelled:
            if slot.request is not None and not slot.is_done:
                slot.request.cancel(detail)
            slot.release()


_EMPTY_HEAD = http_message.Head('', '', 0, (), False)


def _check_head(head, limits):
    content_length = head.header('content-length')
    if content_length and head.header('transfer-encoding'):
        # Both headers together allow request smuggling.
        detail = 'Content-Length and Transfer-Encoding exclude each other.'
    elif sum(1 for name, _ in head.headers if name == 'host') != 1:
        detail = 'Exactly one Host header is needed.'
    elif content_length and int(content_length) > limits.max_body_bytes:
        return results.Refusal(
            413,
            results.Reason.BODY_TOO_LARGE,
            f'The body exceeds {limits.max_body_bytes} bytes.',
        )
    else:
        return None
    return results.Refusal(400, results.Reason.BAD_REQUEST, detail)


def listen(poller, address, gateway, *, names_refusals=False) -> net.Listener:
    """Listen for connections of callers.

    :param names_refusals: Whether a header names the reason of a refusal.
    :raises OSError: The address cannot be bound.
    """
    return net.Listener(
        poller,
        address,
        lambda: CallerConnection(gateway, names_refusals),
        reports_end=True,
        receive_bytes=memory_account.RECEIVE_BYTES,
    )
