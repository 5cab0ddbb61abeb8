"""Serve HTTP/1.1 with asyncio for the stand-ins."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import http
import logging
import signal
import urllib.parse

import httptools

from radishferry_testing import http_message

LOG = logging.getLogger(__name__)

#: Address that every stand-in listens on.
LOOPBACK = '127.0.0.1'

#: Maximum number of connections waiting to be accepted.
BACKLOG = 1024


class Request:
    """Hold one received request and send its response.

    :ivar method: Request method.
    :ivar path: Path without query.
    :ivar query: Mapping of query names to their last values.
    :ivar headers: Mapping of lower-case names to values.
    :ivar body: :class:`radishferry_testing.http_message.Body`.
    """

    def __init__(self, connection, method, target, headers, keep_alive):
        path, _, query = target.partition('?')
        self._connection = connection
        self._keep_alive = keep_alive
        self._chunked = False
        self._left = None
        self.method = method
        self.path = urllib.parse.unquote(path)
        self.query = dict(urllib.parse.parse_qsl(query))
        self.headers = headers
        self.body = connection.body
        self.started = False
        self.ended = False
        self._is_aborted = False

    @property
    def is_aborted(self) -> bool:
        """Return whether :meth:`abort` has closed the connection."""
        return self._is_aborted

    @property
    def is_reusable(self) -> bool:
        """Return whether the connection can serve another request."""
        return self._keep_alive and self.ended and self.body.finished

    async def respond(self, status, body=b'', headers=()):
        """Send a whole response."""
        head = self._start(status, headers, len(body))
        self.ended = True
        await self._connection.send(head + body)

    async def start(self, status, headers=(), length=None):
        """Send a response head; the body follows with :meth:`write`.

        :param length: Length of the body in bytes; None for a chunked one.
        """
        self._chunked = length is None
        await self._connection.send(self._start(status, headers, length))

    async def write(self, data):
        """Send a part of the body."""
        if self._chunked:
            data = b'%x\r\n%b\r\n' % (len(data), data)
        await self._connection.send(data)

    async def end(self):
        """Complete the body."""
        self.ended = True
        if self._chunked:
            await self._connection.send(b'0\r\n\r\n')

    def abort(self):
        """Close the connection without completing the response."""
        self._is_aborted = True
        self._connection.transport.abort()

    def close(self):
        """Close the connection after flushing what was written."""
        self._connection.transport.close()

    def _start(self, status, headers, length):
        self.started = True
        lines = [f'HTTP/1.1 {status} {http.HTTPStatus(status).phrase}']
        lines.extend(f'{name}: {value}' for name, value in headers)
        if length is None:
            lines.append('Transfer-Encoding: chunked')
        else:
            lines.append(f'Content-Length: {length}')
        if not self._keep_alive:
            lines.append('Connection: close')
        return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


class ServerProtocol(http_message.HttpProtocol):
    """Run a handler for each request, one at a time per connection.

    :param handler: Coroutine function that takes a :class:`Request`. It is
        cancelled when the caller closes the connection.
    :param connections: Set of open connections.
    """

    parser_class = httptools.HttpRequestParser

    def __init__(self, handler, connections):
        super().__init__()
        self._handler = handler
        self._connections = connections
        self._queue = collections.deque()
        self.task = None

    def connection_made(self, transport):
        """Register the connection."""
        super().connection_made(transport)
        self._connections.add(self)

    def on_head(self, parser, headers, target):
        """Run the handler after those of earlier requests have ended."""
        if headers.get('expect', '').lower() == '100-continue':
            self.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        method = parser.get_method().decode()
        keep_alive = parser.should_keep_alive()
        self._queue.append(Request(self, method, target, headers, keep_alive))
        if self.task is None:
            self._next()

    def on_end(self):
        """Do nothing; the handler responds."""

    def on_lost(self):
        """Cancel the handler."""
        self._connections.discard(self)
        self._queue.clear()
        if self.task is not None:
            self.task.cancel()

    def _next(self):
        self.task = None
        if self._queue and self.is_open:
            request = self._queue.popleft()
            self.task = asyncio.ensure_future(self._run(request))

    async def _run(self, request):
        try:
            await self._handler(request)
        except (ConnectionError, asyncio.CancelledError):
            request.abort()
        except Exception:
            LOG.exception('http: handler failed at %s', request.path)
            if request.started:
                request.abort()
            else:
                await request.respond(500)
        if not request.is_reusable and self.is_open:
            self.transport.close()
        self._next()


@contextlib.asynccontextmanager
async def listening(handler, port, *, drain_timeout_s=0.0):
    """Serve on a loopback port; on exit wait for open requests.

    :param handler: See :class:`ServerProtocol`.
    :param drain_timeout_s: Longest wait on exit, in seconds.
    """
    connections = set()
    server = await asyncio.get_running_loop().create_server(
        lambda: ServerProtocol(handler, connections),
        LOOPBACK,
        port,
        backlog=BACKLOG,
    )
    try:
        yield
    finally:
        server.close()
        tasks = [c.task for c in connections if c.task is not None]
        if tasks:
            await asyncio.wait(tasks, timeout=drain_timeout_s)
        for connection in list(connections):
            connection.transport.abort()


async def serve(handler, port, *, drain_timeout_s=2.0):
    """Serve on a loopback port until SIGTERM or SIGINT.

    :param handler: See :class:`ServerProtocol`.
    :param drain_timeout_s: Longest wait for open requests, in seconds.
    """
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    async with listening(handler, port, drain_timeout_s=drain_timeout_s):
        await stop.wait()
