"""Minimal HTTP/1.1 for the stand-ins, with asyncio streams."""

import asyncio


class Request:
    """One request, and the connection that its answer goes to."""

    def __init__(self, line, headers, body, writer):
        self.method, self.target, _ = line.split(' ', 2)
        self.path, _, query = self.target.partition('?')
        self.query = dict(
            part.partition('=')[::2] for part in query.split('&') if part
        )
        self.headers = headers
        self.body = body
        self.writer = writer
        #: Bytes of the answer.
        self.answered = b''

    async def answer(self, status, body=b'', headers=()):
        lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
        lines += [f'{name}: {value}' for name, value in headers]
        head = '\r\n'.join(lines) + '\r\n\r\n'
        self.answered = head.encode('latin-1') + body
        self.writer.write(self.answered)
        await self.writer.drain()


async def read_message(reader):
    """Return the first line, the headers and the body, None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    line, *rest = head[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for text in rest:
        name, _, value = text.partition(':')
        headers.setdefault(name.strip().lower(), value.strip())
    body = b''
    try:
        if headers.get('transfer-encoding', '').lower() == 'chunked':
            while size := int((await reader.readline()).split(b';')[0], 16):
                body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        elif length := int(headers.get('content-length') or 0):
            body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        return None
    return line, headers, body


async def _run(handler, request, reader):
    """Call the handler; drop the request when its connection closes."""
    task = asyncio.ensure_future(handler(request))
    while not task.done():
        await asyncio.wait((task,), timeout=0.02)
        if reader.at_eof() or reader.exception() is not None:
            task.cancel()
            await asyncio.wait((task,))
    if not task.cancelled():
        task.result()


async def serve(handler, port, ip='127.0.0.1', writers=None):
    """Call the handler for each request, one at a time on a connection.

    ``writers`` is a set of the open connections, for a handler that ends.
    """

    async def connected(reader, writer):
        if writers is not None:
            writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                await _run(handler, Request(*message, writer), reader)
        except (ConnectionError, OSError):
            pass
        finally:
            if writers is not None:
                writers.discard(writer)
            writer.close()

    return await asyncio.start_server(connected, ip, port, backlog=512)


async def call(
    port, method, target, headers=(), body=b'', timeout_s=5.0, ip='127.0.0.1'
):
    """Send one request on a new connection.

    Return status, headers and body; status 0 if no complete answer came.
    """

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            lines = [f'{method} {target} HTTP/1.1']
            lines += [f'{name}: {value}' for name, value in headers]
            if body or method == 'POST':
                lines.append(f'Content-Length: {len(body)}')
            head = '\r\n'.join(lines) + '\r\n\r\n'
            writer.write(head.encode('latin-1') + body)
            message = await read_message(reader)
            if message is None:
                return 0, {}, b''
            return int(message[0].split(' ')[1]), message[1], message[2]
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError, ValueError, IndexError):
        return 0, {}, b''
