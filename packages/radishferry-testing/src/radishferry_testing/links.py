"""Forward TCP between data centres so that a link can be cut."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import pathlib

import orjson

from radishferry_testing import arguments
from radishferry_testing import http_io

LOG = logging.getLogger(__name__)

#: Bytes read at once; also what a delayed link holds per read.
READ_BYTES = 65536

#: Parts that a delayed link holds before it stops reading.
DELAYED_PARTS = 256

MODES = ('open', 'drop', 'reset')


@dataclasses.dataclass
class Link:
    """Hold the state of all forwarders of one link.

    :ivar name: ``from-dc>to-dc``.
    :ivar mode: ``open``; ``drop`` swallows bytes and keeps connections;
        ``reset`` ends connections and refuses new ones.
    :ivar delay_ms: One-way delay of bytes, in ms.
    :ivar swallowed_bytes: Bytes that were dropped so far.
    """

    name: str
    mode: str = 'open'
    delay_ms: float = 0.0
    swallowed_bytes: int = 0
    pipes: set = dataclasses.field(default_factory=set)


class Pipe:
    """Forward one connection.

    Bytes that a dropping link swallowed are gone, so a connection that lost
    some is reset when the link opens: TCP would never show a gap in its
    stream.

    :param link: Its :class:`Link`.
    :param writers: Writers of both sides.
    """

    def __init__(self, link, writers):
        self._link = link
        self._writers = writers
        self._copies = ()
        self.has_gap = False

    async def run(self, *directions):
        """Copy until both directions have ended or the pipe is reset.

        :param directions: Pairs of reader and writer.
        """
        self._link.pipes.add(self)
        self._copies = [
            asyncio.ensure_future(self._copy(reader, writer))
            for reader, writer in directions
        ]
        done, _ = await asyncio.wait(
            self._copies, return_when=asyncio.FIRST_EXCEPTION
        )
        self._link.pipes.discard(self)
        if any(c.cancelled() or c.exception() is not None for c in done):
            self.reset()
        for writer in self._writers:
            writer.close()

    def reset(self):
        """End the connection on both sides at once."""
        for copy in self._copies:
            copy.cancel()
        for writer in self._writers:
            writer.transport.abort()

    async def _copy(self, reader, writer):
        loop = asyncio.get_running_loop()
        parts = asyncio.Queue(DELAYED_PARTS)
        sender = asyncio.ensure_future(self._send(parts, writer))
        try:
            data = None
            while data != b'':
                data = await self._read(reader)
                due = loop.time() + self._link.delay_ms / 1000
                await parts.put((due, data))
            await sender
        finally:
            sender.cancel()

    async def _read(self, reader):
        try:
            return await reader.read(READ_BYTES)
        except OSError:
            # A reset does not cross a cut link either.
            if self._link.mode != 'drop':
                raise
            return b''

    async def _send(self, parts, writer):
        loop = asyncio.get_running_loop()
        while True:
            due, data = await parts.get()
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
    """Run forwarders and change their links.

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
        """Answer ``GET /links`` and ``POST /links``."""
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
                'connections': len(link.pipes),
            }
            for link in self._links.values()
        ]
        await request.respond(200, orjson.dumps({'links': states}))

    def _change(self, name, mode=None, delay_ms=None):
        """Change a link; return what is wrong, or an empty string."""
        link = self._links.get(name)
        if link is None:
            return f'link {name!r} does not exist'
        if mode not in (None, *MODES):
            return f'mode {mode!r} is not one of {", ".join(MODES)}'
        link.mode = mode or link.mode
        link.delay_ms = link.delay_ms if delay_ms is None else delay_ms
        for pipe in list(link.pipes):
            if link.mode == 'reset' or (link.mode == 'open' and pipe.has_gap):
                pipe.reset()
        return ''

    def _accept(self, forwarder):
        link = self._links[forwarder['link']]
        host, _, port = forwarder['target'].rpartition(':')

        async def forward(reader, writer):
            if link.mode == 'drop':
                await _swallow(link, reader, writer)
                return
            try:
                if link.mode == 'reset':
                    raise ConnectionResetError
                far = await asyncio.open_connection(host, int(port))
            except OSError:
                writer.transport.abort()
                return
            pipe = Pipe(link, (writer, far[1]))
            await pipe.run((reader, far[1]), (far[0], writer))

        return forward


async def _swallow(link, reader, writer):
    """Keep a connection that a dropping link never brings to its target."""
    pipe = Pipe(link, (writer,))
    pipe.has_gap = True
    link.pipes.add(pipe)
    try:
        while data := await reader.read(READ_BYTES):
            link.swallowed_bytes += len(data)
    except OSError:
        LOG.debug('links: connection over %s reset', link.name)
    finally:
        link.pipes.discard(pipe)
        writer.close()


def main(*, config: pathlib.Path):
    """Run forwarders on 127.0.0.1.

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
