"""Send HTTP/1.1 requests over persistent connections."""

from __future__ import annotations

import asyncio
import collections

import httptools

from radishferry_testing import http_message


class ConnectError(ConnectionError):
    """Report that no connection was made and nothing was sent."""


class ResponseLostError(ConnectionError):
    """Report a request that may have been sent but got no response head."""


class Response:
    """Hold a response.

    :ivar status: Status code.
    :ivar headers: Mapping of lower-case names to values.
    :ivar body: :class:`radishferry_testing.http_message.Body`.
    """

    def __init__(self, connection, status, headers, body):
        self._connection = connection
        self.status = status
        self.headers = headers
        self.body = body

    async def read(self) -> bytes:
        """Return the whole body.

        :raises BodyAbortedError: The body was truncated.
        """
        return await self.body.read()

    def close(self):
        """Abort the connection if the body is unfinished."""
        if not self.body.finished:
            self._connection.transport.abort()


class ClientConnection(http_message.HttpProtocol):
    """Send one request at a time.

    :param idle: Deque of idle connections; this one is added when it is idle.
    """

    parser_class = httptools.HttpResponseParser

    def __init__(self, idle):
        super().__init__()
        self._idle = idle
        self._keep_alive = True
        self._response = None
        self._is_sent = True

    def begin(self, *, without_body):
        """Return a future of the response to the next request.

        :param without_body: Whether no body is streamed after the head.
        """
        self.body = None
        self._is_sent = without_body
        self._response = asyncio.get_running_loop().create_future()
        return self._response

    def note_sent(self):
        """Note that the request body has been sent."""
        self._is_sent = True
        if self.body is not None and self.body.finished:
            self._release()

    def on_head(self, parser, headers, target):
        """Deliver the response head."""
        status = parser.get_status_code()
        if 100 <= status < 200:
            return
        self._keep_alive = parser.should_keep_alive()
        if self._response is None or self._response.done():
            self.transport.abort()
            return
        response = Response(self, status, headers, self.body)
        self._response.set_result(response)

    def on_message_complete(self):
        """Ignore the end of an interim response."""
        if self._response is not None and self._response.done():
            super().on_message_complete()

    def on_end(self):
        """Release or close the connection."""
        if self._is_sent:
            self._release()

    def on_lost(self):
        """Fail the pending request."""
        if self in self._idle:
            self._idle.remove(self)
        if self._response is not None and not self._response.done():
            self._response.set_exception(ResponseLostError('no response'))

    def _release(self):
        if not self._keep_alive:
            self.transport.close()
        elif self.is_open:
            self._idle.append(self)


class Client:
    """Send requests to one address.

    :param address: ``ip:port``.
    """

    def __init__(self, address):
        host, _, port = address.rpartition(':')
        self._host = host
        self._port = int(port)
        self._idle = collections.deque()
        self._open = set()

    async def request(self, method, target, headers=(), body=b'', length=None):
        """Send a request and return its :class:`Response`.

        :param headers: Pairs of name and value.
        :param body: Bytes, or an asynchronous iterator of them.
        :param length: Length of an iterated body in bytes; None for a chunked
            one.
        :raises ConnectError: No connection was made; nothing was sent.
        :raises ResponseLostError: No response was received.
        """
        is_bytes = isinstance(body, bytes)
        lines = [f'{method} {target} HTTP/1.1', f'Host: {self._host}']
        lines.extend(f'{name}: {value}' for name, value in headers)
        if is_bytes:
            if body or method != 'GET':
                lines.append(f'Content-Length: {len(body)}')
        elif length is None:
            lines.append('Transfer-Encoding: chunked')
        else:
            lines.append(f'Content-Length: {length}')
        head = ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')
        connection = await self._connection()
        response_future = connection.begin(without_body=is_bytes)
        try:
            if is_bytes:
                connection.transport.write(head + body)
            else:
                await self._send_body(connection, head, body, length)
            return await response_future
        except BaseException:
            if response_future.done() and not response_future.cancelled():
                response_future.exception()
            connection.transport.abort()
            raise

    async def call(self, method, target, headers=(), body=b''):
        """Send a request and return status, headers and whole body."""
        response = await self.request(method, target, headers, body)
        try:
            return response.status, response.headers, await response.read()
        finally:
            response.close()

    def close(self):
        """Close all connections."""
        for connection in list(self._open):
            if connection.transport is not None:
                connection.transport.abort()
        self._open.clear()
        self._idle.clear()

    async def _connection(self):
        while self._idle:
            connection = self._idle.pop()
            if connection.is_open:
                return connection
        self._open = {c for c in self._open if c.is_open}
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(
                lambda: ClientConnection(self._idle), self._host, self._port
            )
        except OSError as exc:
            raise ConnectError(str(exc)) from exc
        self._open.add(connection)
        return connection

    async def _send_body(self, connection, head, body, length):
        try:
            await connection.send(head)
            async for chunk in body:
                if length is None:
                    chunk = b'%x\r\n%b\r\n' % (len(chunk), chunk)
                await connection.send(chunk)
            if length is None:
                await connection.send(b'0\r\n\r\n')
        except http_message.BodyAbortedError as exc:
            raise ResponseLostError(
                'connection closed during request'
            ) from exc
        connection.note_sent()
