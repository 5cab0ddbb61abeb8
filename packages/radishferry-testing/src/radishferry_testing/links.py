"""Forward TCP between data centres and inject faults into the links."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import pathlib

import orjson

from radishferry_testing import arguments
from radishferry_testing import http_io

LOG = logging.getLogger(__name__)

#: Largest read, and so the largest chunk that a delayed link queues.
READ_BYTES = 65536

#: Chunks that a delayed link queues before it stops reading.
MAX_DELAYED_CHUNKS = 256

MODES = ('open', 'drop', 'reset')


@dataclasses.dataclass
class Link:
    """Hold the state shared by all forwarders of one link.

    :ivar name: ``from-dc>to-dc``.
    :ivar mode: ``open``; ``drop`` discards bytes but keeps connections open;
        ``reset`` resets open and new connections.
    :ivar delay_ms: One-way delay of bytes, in ms.
    :ivar swallowed_bytes: Bytes discarded so far.
    :ivar connections: Set of open :class:`ForwardedConnection`.
    """

    name: str
    mode: str = 'open'
    delay_ms: float = 0.0
    swallowed_bytes: int = 0
    connections: set = dataclasses.field(default_factory=set)


class ForwardedConnection:
    """Forward one connection.

    Discarded bytes are never resent, so a connection that lost some is reset
    when the link opens again; otherwise it would go on with a gap, which TCP
    never allows.

    :param link: Its :class:`Link`.
    :param writers: Writers of both sides.
    :ivar has_gap: Whether bytes were discarded.
    """

    def __init__(self, link, writers):
        self._link = link
        self._writers = writers
        self._copy_tasks = ()
        self.has_gap = False

    async def run(self, *directions):
        """Copy until both directions have ended or the connection is reset.

        :param directions: Pairs of reader and writer.
        """
        self._link.connections.add(self)
        self._copy_tasks = [
            asyncio.ensure_future(self._copy(reader, writer))
            for reader, writer in directions
        ]
        done, _ = await asyncio.wait(
            self._copy_tasks, return_when=asyncio.FIRST_EXCEPTION
        )
        self._link.connections.discard(self)
        if any(c.cancelled() or c.exception() is not None for c in done):
            self.reset()
        for writer in self._writers:
            writer.close()

    def reset(self):
        """Reset the connection on both sides."""
        for copy in self._copy_tasks:
            copy.cancel()
        for writer in self._writers:
            writer.transport.abort()

    async def _copy(self, reader, writer):
        loop = asyncio.get_running_loop()
        chunks = asyncio.Queue(MAX_DELAYED_CHUNKS)
        sender = asyncio.ensure_future(self._send(chunks, writer))
        try:
            data = None
            while data != b'':
                data = await self._read(reader)
                due = loop.time() + self._link.delay_ms / 1000
                await chunks.put((due, data))
            await sender
        finally:
            sender.cancel()

    async def _read(self, reader):
        try:
            return await reader.read(READ_BYTES)
        except OSError:
            # A dropping link does not forward connection resets either.
            if self._link.mode != 'drop':
                raise
            return b''

    async def _send(self, chunks, writer):
        loop = asyncio.get_running_loop()
        while True:
            due, data = await chunks.get()
            await asyncio.sleep(max(0.0, due - loop.time()))
            if self._link.mode == 'drop':
                self.has_gap = True
                self._link.swallowed_bytes += len(data)
                continue
            if not data:
                writer.write_eof()
                return
            writer.write(data)
            await writer.drain()


class Links:
    """Run forwarders and change the state of their links.

    :param config: ``{"control_port": int, "forwarders": [{"link": str,
        "port": int, "target": "ip:port"}]}``.
    """

    def __init__(self, config):
        self._forwarders = config['forwarders']
        self._links = {f['link']: Link(f['link']) for f in self._forwarders}

    async def open(self):
        """Listen on the port of each forwarder."""
        for forwarder in self._forwarders:
            await asyncio.start_server(
                self._accept(forwarder),
                http_io.LOOPBACK,
                int(forwarder['port']),
            )

    async def handle(self, request):
        """Handle ``GET /links`` and ``POST /links``."""
        data = await request.body.read()
        if request.path != '/links':
            await request.respond(404)
            return
        if request.method == 'POST':
            error = self._change(**orjson.loads(data))
            if error:
                await request.respond(400, orjson.dumps({'error': error}))
                return
        states = [
            {
                'name': link.name,
                'mode': link.mode,
                'delay_ms': link.delay_ms,
                'swallowed_bytes': link.swallowed_bytes,
                'connections': len(link.connections),
            }
            for link in self._links.values()
        ]
        await request.respond(200, orjson.dumps({'links': states}))

    def _change(self, name, mode=None, delay_ms=None):
        """Change a link; return an error message, or an empty string."""
        link = self._links.get(name)
        if link is None:
            return f'link {name!r} does not exist'
        if mode not in (None, *MODES):
            return f'mode {mode!r} is not one of {", ".join(MODES)}'
        link.mode = mode or link.mode
        link.delay_ms = link.delay_ms if delay_ms is None else delay_ms
        for connection in list(link.connections):
            if link.mode == 'reset' or (
                link.mode == 'open' and connection.has_gap
            ):
                connection.reset()
        return ''

    def _accept(self, forwarder):
        link = self._links[forwarder['link']]
        host, _, port = forwarder['target'].rpartition(':')

        async def forward(reader, writer):
            if link.mode == 'drop':
                await _discard(link, reader, writer)
                return
            try:
                if link.mode == 'reset':
                    raise ConnectionResetError
                upstream = await asyncio.open_connection(host, int(port))
            except OSError:
                writer.transport.abort()
                return
            connection = ForwardedConnection(link, (writer, upstream[1]))
            await connection.run((reader, upstream[1]), (upstream[0], writer))

        return forward


async def _discard(link, reader, writer):
    """Discard the bytes of a connection without connecting to the target."""
    connection = ForwardedConnection(link, (writer,))
    connection.has_gap = True
    link.connections.add(connection)
    try:
        while data := await reader.read(READ_BYTES):
            link.swallowed_bytes += len(data)
    except OSError:
        LOG.debug('links: connection over %s reset', link.name)
    finally:
        link.connections.discard(connection)
        writer.close()


def main(*, config: pathlib.Path):
    """Run TCP forwarders on 127.0.0.1.

    :param config: JSON file with control_port and forwarders, each with link,
        port and target.
    """
    values = orjson.loads(config.read_bytes())

    async def run():
        links = Links(values)
        await links.open()
        await http_io.serve(links.handle, int(values['control_port']))

    asyncio.run(run())


if __name__ == '__main__':
    arguments.run(main)
