"""Serve bounded HTTP requests of operators through circuits.web.

circuits.web collects bodies and request lines without a bound, decodes
headers as ``unicode_escape`` and keeps the parser of every broken message.
This module therefore replaces its reading side by
:mod:`radishferryd.http_message` and keeps its requests and responses.
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

#: Connections open at the same time.
MAX_CONNECTIONS = 64
#: Bytes queued as one piece; the rest of a piece is copied at each write.
WRITE_SIZE = 262144
#: Seconds that a connection may take from its opening to its end.
CONNECTION_LIMIT_S = 30.0

CHANNEL = 'admin'


class Server(BaseComponent):
    """Listen, and fire ``request(req, res)`` for each complete request.

    A handler of ``request`` returns the response, or True and fires
    ``response(res)`` later. Each connection carries one request.
    """

    channel = CHANNEL
    #: Read by circuits.web.
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
    """Be a TCP server that drops writes to connections already closed.

    The base class queues them forever.
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
        # A write event behind the one that closed the socket adds a buffer.
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
        self._exchanges[sock] = admin_exchange.Exchange(self._check_head)

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
            self._answer_error(sock, exchange)
        elif exchange.is_complete and not exchange.is_answered:
            exchange.is_answered = True
            req, res = self._wrap(sock, exchange)
            self.fire(web_events.request(req, res))
        elif exchange.is_drained:
            self.fire(net_events.close(sock))

    def _answer_error(self, sock, exchange):
        _, res = self._wrap(sock, exchange)
        self._refuse(res, exchange.error)
        # The connection stays open until the rest of the request has come.
        res.close = exchange.is_drained
        res.headers['Connection'] = 'close'
        self.fire(web_events.response(res))

    def _wrap(self, sock, exchange):
        head = exchange.head
        # Host is left out, because circuits.web raises when it is malformed
        # and nothing here depends on it.
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
        # The base class leaves the connection open in this case.
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
            # Events fired here wait until the poller returns.
            event.reduce_time_left(0)
        event.reduce_time_left(max(0.0, oldest + CONNECTION_LIMIT_S - now))

    def _close_expired(self, opened_before):
        for sock, exchange in list(self._exchanges.items()):
            if exchange.opened_at <= opened_before:
                del self._exchanges[sock]
                # The end of the stream makes the poller close it, even when
                # the client never reads what is queued for it.
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)


class _Response(wrappers.Response):
    """Leave it to its owner when the connection is closed.

    The base class closes it at once after status 413.
    """

    def prepare(self):
        close = self.close
        super().prepare()
        self.close = close
