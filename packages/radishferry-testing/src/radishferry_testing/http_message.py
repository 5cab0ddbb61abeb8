"""Receive HTTP/1.1 messages and write them with backpressure."""

from __future__ import annotations

import asyncio
import collections
import logging

import httptools

LOG = logging.getLogger(__name__)

#: Unread body bytes at which a connection stops reading.
BODY_BUFFER_BYTES = 262144


class BodyAbortedError(ConnectionError):
    """Report a message that the peer did not finish."""


class Body:
    """Buffer the body of a message while it is received.

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
        """Add received bytes."""
        self._chunks.append(data)
        self._buffered += len(data)
        if self._buffered > BODY_BUFFER_BYTES:
            self._pause(True)
        self._wake()

    def finish(self):
        """Mark the body as complete."""
        self.finished = True
        self._wake()

    def abort(self, error):
        """Make readers fail, unless the body is complete."""
        if not self.finished:
            self._error = error
            self._wake()

    async def chunks(self):
        """Yield the parts of the body.

        :raises BodyAbortedError: The connection closed before the body ended.
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

        :raises BodyAbortedError: The connection closed before the body ended.
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
        self._writable = None

    @property
    def is_open(self) -> bool:
        """Return whether the connection can still be written to."""
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport):
        """Store the transport."""
        self.transport = transport

    def connection_lost(self, exc):
        """Abort an unfinished body and a waiting writer."""
        if self.body is not None:
            self.body.abort(BodyAbortedError('connection closed during body'))
        if self._writable is not None and not self._writable.done():
            self._writable.set_exception(
                BodyAbortedError('connection is closed')
            )
        self.on_lost()

    def data_received(self, data):
        """Parse bytes; abort the connection on invalid HTTP."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            LOG.debug('http: invalid message', exc_info=True)
            self.transport.abort()

    def pause_writing(self):
        """Make writers wait while the write buffer is full."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self):
        """Wake waiting writers."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    async def send(self, data):
        """Write bytes and wait while the write buffer is full.

        :raises BodyAbortedError: The connection is closed.
        """
        if not self.is_open:
            raise BodyAbortedError('connection is closed')
        self.transport.write(data)
        if self._writable is not None:
            await asyncio.shield(self._writable)

    def pause(self, stop):
        """Stop or resume reading."""
        if stop == self._reading and self.is_open:
            self._reading = not stop
            if stop:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    def on_message_begin(self):
        """Reset the state for the next message."""
        self._headers = {}
        self._target = b''

    def on_url(self, url):
        """Append to the request target."""
        self._target += url

    def on_header(self, name, value):
        """Store a header."""
        self._headers[name.decode('latin-1').lower()] = value.decode('latin-1')

    def on_headers_complete(self):
        """Deliver the head."""
        self.body = Body(self.pause)
        self.on_head(self._parser, self._headers, self._target.decode())

    def on_body(self, data):
        """Deliver a part of the body."""
        self.body.feed(data)

    def on_message_complete(self):
        """Complete the body and signal the end of the message."""
        self.body.finish()
        self.on_end()
