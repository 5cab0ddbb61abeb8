"""Speak HTTP/1.1 as a server and as a client, for the stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
import socket
import urllib.parse

LOOPBACK = '127.0.0.1'


#: Ports below those that the system gives to outgoing connections, one of
#: which could otherwise take a port before its process listens there.
PORTS = range(10240, 32000)


def free_ports(count):
    """Return ports on which nothing listens now."""
    with contextlib.ExitStack() as stack:
        found = []
        while len(found) < count:
            port = random.choice(PORTS)
            sock = stack.enter_context(socket.socket())
            try:
                sock.bind((LOOPBACK, port))
            except OSError:
                continue
            found.append(port)
        return found


@dataclasses.dataclass
class Message:
    """Hold a request or a response.

    :ivar first: The three words of the first line.
    :ivar headers: Values by lower-case name.
    """

    first: list
    headers: dict
    body: bytes = b''

    @property
    def target(self):
        return self.first[1]

    @property
    def path(self):
        return self.target.partition('?')[0]

    @property
    def query(self):
        return dict(urllib.parse.parse_qsl(self.target.partition('?')[2]))

    @property
    def status(self):
        return int(self.first[1])


async def read_head(reader):
    """Return the first line and the headers of a message, None at the end."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name:
            headers.setdefault(name.lower(), value.strip())
    return Message(lines[0].split(' ', 2), headers)


async def read_body(reader, headers, on_data=None, parts=None):
    """Return the whole body of a message.

    :param on_data: Awaited with the size of each part that was read.
    :param parts: List that gets the parts as they come.
    :raises asyncio.IncompleteReadError: The connection ended before.
    """
    parts = [] if parts is None else parts

    async def take(size):
        while size:
            data = await reader.read(min(size, 16384))
            if not data:
                raise asyncio.IncompleteReadError(b''.join(parts), None)
            parts.append(data)
            size -= len(data)
            if on_data is not None:
                await on_data(len(data))

    if headers.get('transfer-encoding', '').lower() == 'chunked':
        while size := int((await reader.readline()).split(b';')[0] or b'', 16):
            await take(size)
            await reader.readline()
        await reader.readline()
    else:
        await take(int(headers.get('content-length') or 0))
    return b''.join(parts)


class Server:
    """Serve one request at a time on each connection."""

    def __init__(self, handle, port, late=None):
        """Create the server.

        :param handle: Coroutine function that takes a :class:`Message` and
            returns status, pairs of headers, and body; None to reset the
            connection.
        :param late: What handles a request whose body is not in after
            ``body_wait_s`` seconds: ``answer(request, parts)`` returns the
            same. The list holds what has come of the body, and gets what
            comes in its place later. None to wait for any body.
        """
        self._handle = handle
        self._late = late
        self.port = port
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, self.port, limit=1 << 20, backlog=512
        )

    def crash(self):
        """Stop listening, and reset all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await read_head(reader)) is not None:
                parts = []
                reading = asyncio.ensure_future(
                    read_body(reader, request.headers, parts=parts)
                )
                is_in = await self._wait_for_body(request, reading)
                if is_in:
                    request.body = reading.result()
                    answer = await self._handle(request)
                else:
                    answer = self._late.answer(request, parts)
                if answer is None:
                    writer.transport.abort()
                    return
                status, headers, body = answer
                lines = [f'HTTP/1.1 {status} Status']
                lines += [f'{name}: {value}' for name, value in headers]
                lines.append(f'Content-Length: {len(body)}')
                head = '\r\n'.join(lines) + '\r\n\r\n'
                writer.write(head.encode('latin-1') + body)
                await writer.drain()
                await reading
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            # A cancelled task of asyncio.start_server is reported as an error.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _wait_for_body(self, request, reading):
        """Return whether the body comes within the time that it is given."""
        timeout_s = self._late.body_wait_s if self._late else None
        await asyncio.wait({reading}, timeout=timeout_s)
        return reading.done()


class Client:
    """Send requests over one connection."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, port, *, segment_bytes=None, receive_bytes=None):
        """Connect.

        :param segment_bytes: Largest TCP segment that is offered to the
            other side; loopback has 64 KiB, Ethernet 1460 bytes.
        :param receive_bytes: Size of the receive buffer.
        """
        sock = socket.socket()
        sock.setblocking(False)
        if segment_bytes:
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment_bytes
            )
        if receive_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (LOOPBACK, port))
        # A small limit: the connection is read only as the case reads it.
        reader, writer = await asyncio.open_connection(sock=sock, limit=16384)
        return cls(reader, writer)

    def send(self, method, target, headers, body=b''):
        lines = [f'{method} {target} HTTP/1.1']
        lines += [f'{name}: {value}' for name, value in headers]
        if body or method not in ('GET', 'DELETE'):
            lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join(lines) + '\r\n\r\n'
        self.writer.write(head.encode('latin-1') + body)

    async def receive(self, on_data=None):
        """Return the whole response, None if the connection ended before."""
        head = await read_head(self.reader)
        if head is None:
            return None
        head.body = await read_body(self.reader, head.headers, on_data)
        return head

    def close(self):
        self.writer.transport.abort()


async def call(port, method, target, headers, body=b'', timeout_s=10.0):
    """Send one request on a new connection and return the response.

    :returns: None if there was no whole response.
    """
    client = None
    try:
        client = await Client.connect(port)
        client.send(method, target, headers, body)
        return await asyncio.wait_for(client.receive(), timeout_s)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        return None
    finally:
        if client is not None:
            client.close()
