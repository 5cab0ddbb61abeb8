"""Serve and send HTTP/1.1 with asyncio for the stand-ins."""

from __future__ import annotations

import asyncio
import collections
import http
import logging
import signal
import urllib.parse

import httptools

LOG = logging.getLogger(__name__)

#: Unread body bytes at which a connection stops reading.
BODY_BUFFER_BYTES = 262144

#: Address that every stand-in listens on.
LOOPBACK = '127.0.0.1'


class BodyAbortedError(ConnectionError):
    """Report a message that the peer did not finish."""


class Body:
    """Hold the body of a message while it arrives.

    :param pause: Called with True to stop and False to resume reading.
    """

    def __init__(self, pause):
        self._pause = pause
        self._chunks = collections.deque()
        self._buffered = 0
        self._waiter = None
        self._error = None
        self.finished = False

    def feed(self, data):
        """Add bytes of the peer."""
        self._chunks.append(data)
        self._buffered += len(data)
        if self._buffered > BODY_BUFFER_BYTES:
            self._pause(True)
        self._wake()

    def finish(self):
        """Note that the body is complete."""
        self.finished = True
        self._wake()

    def abort(self, error):
        """Note that the body will never be complete."""
        if not self.finished:
            self._error = error
            self._wake()

    async def chunks(self):
        """Yield the parts of the body.

        :raises BodyAbortedError: The peer ended before the body did.
        """
        while True:
            while self._chunks:
                chunk = self._chunks.popleft()
                self._buffered -= len(chunk)
                if self._buffered <= BODY_BUFFER_BYTES:
                    self._pause(False)
                yield chunk
            if self.finished:
                return
            if self._error is not None:
                raise self._error
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    async def read(self) -> bytes:
        """Return the whole body.

        :raises BodyAbortedError: The peer ended before the body did.
        """
        if self.finished:
            data = b''.join(self._chunks)
            self._chunks.clear()
            self._buffered = 0
            return data
        return b''.join([chunk async for chunk in self.chunks()])

    def _wake(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class HttpProtocol(asyncio.Protocol):
    """Parse messages of one connection and write with backpressure.

    Subclasses define ``parser_class``, ``on_head(parser, headers, target)``,
    ``on_end()`` and ``on_lost()``.
    """

    parser_class = None

    def __init__(self):
        self.transport = None
        self.body = None
        self._parser = self.parser_class(self)
        self._headers = {}
        self._target = b''
        self._reading = True
        self._drained = None

    @property
    def is_open(self) -> bool:
        """Tell whether the connection can still be written to."""
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport):
        """Keep the transport."""
        self.transport = transport

    def connection_lost(self, exc):
        """Abort what is unfinished."""
        if self.body is not None:
            self.body.abort(BodyAbortedError('connection closed in body'))
        if self._drained is not None and not self._drained.done():
            self._drained.set_exception(BodyAbortedError('peer is gone'))
        self.on_lost()

    def data_received(self, data):
        """Parse bytes; bytes that are no HTTP end the connection."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            LOG.debug('http: bad message', exc_info=True)
            self.transport.abort()

    def pause_writing(self):
        """Make writers wait."""
        self._drained = asyncio.get_running_loop().create_future()

    def resume_writing(self):
        """Wake the writer."""
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._drained = None

    async def send(self, data):
        """Write bytes and wait while the peer is slow.

        :raises BodyAbortedError: The peer is gone.
        """
        if not self.is_open:
            raise BodyAbortedError('peer is gone')
        self.transport.write(data)
        if self._drained is not None:
            await asyncio.shield(self._drained)

    def pause(self, stop):
        """Stop or resume reading."""
        if stop == self._reading and self.is_open:
            self._reading = not stop
            if stop:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def on_message_begin(self):
        """Begin a message."""
        self._headers = {}
        self._target = b''

    def on_url(self, url):
        """Collect the target."""
        self._target += url

    def on_header(self, name, value):
        """Collect a header."""
        self._headers[name.decode('latin-1').lower()] = value.decode('latin-1')

    def on_headers_complete(self):
        """Pass on the head."""
        self.body = Body(self.pause)
        self.on_head(self._parser, self._headers, self._target.decode())

    def on_body(self, data):
        """Pass on a part of the body."""
        self.body.feed(data)

    def on_message_complete(self):
        """Pass on the end."""
        self.body.finish()
        self.on_end()


class Request:
    """Hold one request at a server and take its response.

    :ivar method: Request method.
    :ivar path: Path without query.
    :ivar query: Mapping of query names to their last values.
    :ivar headers: Mapping of lower-case names to values.
    :ivar body: :class:`Body`.
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

    @property
    def is_reusable(self) -> bool:
        """Tell whether the connection can serve another request."""
        return self._keep_alive and self.ended and self.body.finished

    async def respond(self, status, body=b'', headers=()):
        """Send a whole response."""
        head = self._start(status, headers, len(body))
        self.ended = True
        await self._connection.send(head + body)

    async def start(self, status, headers=(), length=None):
        """Send a response head; the body follows with :meth:`write`.

        :param length: Bytes of the body; None for a chunked one.
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
        self._connection.transport.abort()

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


class ServerProtocol(HttpProtocol):
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
        self._waiting = collections.deque()
        self.task = None

    def connection_made(self, transport):
        """Register the connection."""
        super().connection_made(transport)
        self._connections.add(self)

    def on_head(self, parser, headers, target):
        """Run the handler, after those of earlier requests."""
        if headers.get('expect', '').lower() == '100-continue':
            self.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        method = parser.get_method().decode()
        keep = parser.should_keep_alive()
        self._waiting.append(Request(self, method, target, headers, keep))
        if self.task is None:
            self._next()

    def on_end(self):
        """Do nothing; the handler answers."""

    def on_lost(self):
        """Cancel the handler."""
        self._connections.discard(self)
        self._waiting.clear()
        if self.task is not None:
            self.task.cancel()

    def _next(self):
        self.task = None
        if self._waiting and self.is_open:
            request = self._waiting.popleft()
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


async def serve(handler, port, *, host=LOOPBACK, stop_after_s=2.0):
    """Serve until SIGTERM or SIGINT, then let open requests end.

    :param handler: See :class:`ServerProtocol`.
    :param port: Port to listen on.
    :param stop_after_s: Longest wait for open requests, in seconds.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    connections = set()
    server = await loop.create_server(
        lambda: ServerProtocol(handler, connections), host, port, backlog=1024
    )
    await stop.wait()
    server.close()
    tasks = [c.task for c in connections if c.task is not None]
    if tasks:
        await asyncio.wait(tasks, timeout=stop_after_s)
    for connection in list(connections):
        connection.transport.abort()
