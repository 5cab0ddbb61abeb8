"""Serve HTTP requests of operators through circuits.web, with limits.

circuits.web buffers bodies and request lines without a limit, decodes headers
as ``unicode_escape`` and never frees the parser of a malformed message. This
module therefore parses requests with :mod:`radishferryd.http_message` and uses
only the request and response classes of circuits.web.
"""

from __future__ import annotations

import contextlib
import io
import logging
import socket
import time

from circuits.core import BaseComponent
from circuits.core.handlers import handler
from circuits.net import events as net_events
from circuits.net import sockets
from circuits.web import events as web_events
from circuits.web import headers as web_headers
from circuits.web import http as web_http
from circuits.web import wrappers

from radishferryd import admin_exchange

LOG = logging.getLogger(__name__)

#: Maximum number of open connections.
MAX_CONNECTIONS = 64
#: Size of the pieces in which data is queued, in bytes; each write copies the
#: rest of its piece.
WRITE_SIZE = 262144
#: Maximum lifetime of a connection in seconds.
CONNECTION_LIMIT_S = 30.0

CHANNEL = 'admin'


class Server(BaseComponent):
    """Listen, and fire ``request(req, res)`` for each complete request.

    A handler of ``request`` either returns the response, or returns True and
    fires ``response(res)`` later. Each connection carries one request.
    """

    channel = CHANNEL
    #: Attributes that circuits.web reads.
    secure = False
    display_banner = False

    def __init__(self, address, check_head, refuse):
        """Bind and listen.

        :param address: Pair of IP and port.
        :param check_head: Called with the
            :class:`~radishferryd.http_message.Head` of each request before
            its body is read; raises ``RequestError`` to refuse it.
        :param refuse: Called with a response and the ``RequestError`` to
            fill in the response.
        :raises OSError: The address cannot be bound.
        """
        super().__init__(channel=CHANNEL)
        self._sockets = _Sockets(address, channel=CHANNEL).register(self)
        self.http = _Http(self, check_head, refuse).register(self)

    @property
    def host(self) -> str | None:
        """Return the bound IP."""
        return self._sockets.host

    @property
    def port(self) -> int | None:
        """Return the bound port."""
        return self._sockets.port

    @handler('error')
    def _on_error(self, *args):
        LOG.debug('admin: Connection failed: %s.', args[-1])


class _Sockets(sockets.TCPServer):
    """Drop writes to connections that are already closed.

    The base class keeps them queued forever.
    """

    @handler('write', override=True)
    def write(self, sock, data):
        if sock not in self._clients:
            return
        for start in range(0, len(data), WRITE_SIZE):
            super().write(sock, data[start : start + WRITE_SIZE])

    @handler('close', override=True)
    def close(self, sock=None):
        if sock is None or sock in self._clients:
            super().close(sock)

    @handler('disconnect')
    def _on_disconnected(self, sock):
        # A write event handled after the close has created a buffer again.
        self._buffers.pop(sock, None)

    def _on_accept_done(self, sock, fire_connect_event=True):
        if len(self._clients) < MAX_CONNECTIONS:
            super()._on_accept_done(sock, fire_connect_event)
            return
        LOG.warning(
            'admin: Refused a connection, %d are open.', MAX_CONNECTIONS
        )
        sock.close()


class _Http(web_http.HTTP):
    """Read requests and write responses."""

    def __init__(self, server, check_head, refuse):
        super().__init__(server, channel=CHANNEL)
        self._check_head = check_head
        self._refuse = refuse
        self._exchanges = {}

    @handler('connect')
    def _on_connected(self, sock, *peer):
        self._exchanges[sock] = admin_exchange.RequestCollector(
            self._check_head
        )

    @handler('disconnect', override=True)
    def _on_disconnect(self, sock):
        self._exchanges.pop(sock, None)

    @handler('read', override=True)
    def _on_read(self, sock, data):
        exchange = self._exchanges.get(sock)
        if exchange is None:
            return
        exchange.feed(data)
        if exchange.error and not exchange.is_answered:
            exchange.is_answered = True
            self._send_error(sock, exchange)
        elif exchange.is_complete and not exchange.is_answered:
            exchange.is_answered = True
            req, res = self._create_wrappers(sock, exchange)
            self.fire(web_events.request(req, res))
        elif exchange.is_drained:
            self.fire(net_events.close(sock))

    def _send_error(self, sock, exchange):
        _, res = self._create_wrappers(sock, exchange)
        self._refuse(res, exchange.error)
        # The connection stays open until the rest of the request has arrived.
        res.close = exchange.is_drained
        res.headers['Connection'] = 'close'
        self.fire(web_events.response(res))

    def _create_wrappers(self, sock, exchange):
        head = exchange.head
        # The Host header is omitted, because circuits.web raises an exception
        # when it is malformed, and nothing here depends on it.
        names = ('authorization', 'content-type')
        pairs = [(n, head.header(n)) for n in names] if head else []
        req = wrappers.Request(
            None,
            head.method if head else 'GET',
            'http',
            '/',
            headers=web_headers.Headers(pairs),
            server=self._server,
        )
        req.sock = sock
        if head:
            req.path = head.target.partition('?')[0]
        req.body = io.BytesIO(exchange.body)
        res = _Response(req)
        res.close = True
        return req, res

    @handler('response', override=True)
    def _on_response(self, res):
        super()._on_response(res)
        # The base class leaves the connection open after HEAD requests.
        if res.request.method == 'HEAD':
            self.fire(net_events.close(res.request.sock))

    @handler('generate_events', channel='*')
    def _on_generate_events(self, event):
        if not self._exchanges:
            return
        now = time.monotonic()
        oldest = next(iter(self._exchanges.values())).opened_at
        if now >= oldest + CONNECTION_LIMIT_S:
            self._close_expired(now - CONNECTION_LIMIT_S)
            # Events fired here are handled only after the poller returns.
            event.reduce_time_left(0)
        event.reduce_time_left(max(0.0, oldest + CONNECTION_LIMIT_S - now))

    def _close_expired(self, opened_before):
        for sock, exchange in list(self._exchanges.items()):
            if exchange.opened_at <= opened_before:
                del self._exchanges[sock]
                # Shutting the socket down makes the poller report it and
                # circuits close it, even if the client never reads the queued
                # bytes.
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)


class _Response(wrappers.Response):
    """Keep the value of ``close`` that the creator of the response has set.

    The base class forces an immediate close for status 413.
    """

    def prepare(self):
        close = self.close
        super().prepare()
        self.close = close
