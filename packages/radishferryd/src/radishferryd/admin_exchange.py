"""Read one HTTP request of limited size from an operator."""

from __future__ import annotations

import time

from radishferryd import http_message

#: Largest request body, in bytes; equals the limit of a manifest document.
MAX_BODY_BYTES = 4194304
#: Maximum number of bytes read from a refused request. A client that writes
#: its whole body before it reads thereby receives the refusal instead of a
#: connection reset.
MAX_DISCARDED_BYTES = 4 * MAX_BODY_BYTES


class RequestError(Exception):
    """Report a request that is refused.

    :ivar status: HTTP status of the response.
    """

    def __init__(self, status, message):
        super().__init__(message)
        self.status = status


class RequestCollector:
    """Collect the request of one connection as it arrives."""

    def __init__(self, check_head):
        self.opened_at = time.monotonic()
        self.head = None
        self.error = None
        self.is_answered = False
        self.is_complete = False
        self.is_broken = False
        self._check_head = check_head
        self._parts = []
        self._size = 0
        self._received = 0
        self._parser = http_message.MessageParser(self, is_request=True)

    @property
    def body(self):
        return b''.join(self._parts)

    @property
    def is_drained(self):
        """Return whether reading from the connection has ended."""
        return (
            self.is_complete
            or self.is_broken
            or self._received > MAX_DISCARDED_BYTES
        )

    def feed(self, data):
        self._received += len(data)
        if self.is_drained:
            return
        try:
            self._parser.feed(data)
        except http_message.HeadTooLargeError:
            limit = http_message.MAX_HEAD_BYTES
            self._mark_broken(431, f'the headers exceed {limit} bytes')
        except http_message.BadMessageError as exc:
            self._mark_broken(400, f'not an HTTP request: {exc}')

    def _mark_broken(self, status, message):
        self.is_broken = True
        self.error = self.error or RequestError(status, message)

    def on_head(self, head):
        if self.head is not None:
            return
        self.head = head
        try:
            self._check_head(head)
            length = head.header('content-length', '0')
            is_number = length.isascii() and length.isdigit()
            if is_number and int(length) > MAX_BODY_BYTES:
                raise _too_large()
        except RequestError as exc:
            self.error = exc

    def on_body(self, data):
        if self.is_complete or self.error:
            return
        self._size += len(data)
        if self._size > MAX_BODY_BYTES:
            self.error = _too_large()
            self._parts.clear()
        else:
            self._parts.append(data)

    def on_end(self):
        self.is_complete = True


def _too_large():
    return RequestError(413, f'the body exceeds {MAX_BODY_BYTES} bytes')
