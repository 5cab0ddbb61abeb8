"""Serve readiness, metrics and the state dump over HTTP."""

from __future__ import annotations

import typing

import orjson

from radishferryd import http_message
from radishferryd import net


class Status(typing.Protocol):
    """Interface to the host whose status is served."""

    def is_ready(self) -> bool:
        """Return whether the host accepts requests from callers."""

    def metrics(self) -> bytes:
        """Return all metrics in text format."""

    def dump(self) -> dict:
        """Return the state of the process for the state dump."""


class _Connection:
    """Answer the requests of one connection.

    ``circuits.web`` is not used because it would take 24 MB of memory.
    """

    def __init__(self, status):
        self._status = status
        self._connection = None
        self._parser = http_message.MessageParser(self, is_request=True)
        self._head = None

    def connected(self, connection):
        self._connection = connection

    def received(self, data):
        try:
            self._parser.feed(data)
        except (
            http_message.BadMessageError,
            http_message.HeadTooLargeError,
        ):
            self._connection.abort()

    def pause_producing(self):
        """Do nothing for a slow reader, since answers are small."""

    def resume_producing(self):
        """See :meth:`pause_producing`."""

    def closed(self, error):
        """Do nothing, since no state is kept for a connection."""

    def on_head(self, head):
        self._head = head

    def on_body(self, data):
        """Ignore the body; none of these requests needs one."""

    def on_end(self):
        path = self._head.target.partition('?')[0]
        if path == '/metrics':
            self._answer(200, 'text/plain', self._status.metrics())
        elif path == '/state':
            body = orjson.dumps(self._status.dump())
            self._answer(200, 'application/json', body)
        else:
            # The path of the readiness check is configured in the platform, so
            # any other path answers it.
            status = 200 if self._status.is_ready() else 503
            self._answer(status, 'text/plain', b'')

    def _answer(self, status, content_type, body):
        lines = [
            ('Content-Type', content_type),
            ('Content-Length', str(len(body))),
        ]
        self._connection.write(
            http_message.format_response(status, lines) + body
        )
        if not self._head.keep_alive:
            self._connection.close()


def listen(poller, address, status) -> net.Listener:
    """Accept connections of the platform and operators.

    :raises OSError: The address cannot be bound.
    """
    return net.Listener(poller, address, lambda: _Connection(status))
