"""Exchange messages between the granting host and the other hosts."""

from __future__ import annotations

import logging
import zlib

from radishferry.direct import server_loads
from radishferryd import frames
from radishferryd import net
from radishferryd.gen.router import ttypes

LOG = logging.getLogger(__name__)

#: Seconds between heartbeats of the granting host.
HEARTBEAT_S = 0.4
#: Seconds without a message after which a link counts as silent. Load reports
#: and heartbeats are sent at least twice in this time.
SILENCE_S = 1.2
#: Timeout of an attempt to connect, in seconds.
CONNECT_TIMEOUT_S = 0.5
#: Size in bytes above which a frame is compressed. The first messages to a
#: newly connected host are about 50 kB in total, and a granting host behind
#: a link of 10 Mbit/s would need two seconds to send them to 66 others.
COMPRESS_ABOVE_BYTES = 2048
#: Compression level, 1 to 9; higher levels save little here.
COMPRESSION_LEVEL = 1

#: Maximum size in bytes of a document that fits into a message.
MAX_DOCUMENT_BYTES = frames.MAX_FRAME_BYTES - 1024
#: Maximum size in bytes of a decompressed frame with its length prefix.
MAX_UNPACKED_BYTES = frames.MAX_FRAME_BYTES + 4

_CODEC = frames.Codec(ttypes.Frame, ('beat', 'load_report'))


def to_server_loads(loads):
    """Return the struct of :class:`~radishferry.direct.server_loads.Loads`.

    :returns: None if they are empty.
    """
    if not loads.servers:
        return None
    return ttypes.ServerLoads(loads.servers, loads.loads, loads.log_times)


def from_server_loads(message):
    """Return the loads of a struct, none if its lists do not match."""
    columns = message.servers, message.loads, message.log_times
    if None in columns or len(set(map(len, columns))) != 1:
        return server_loads.Loads([], [], [])
    return server_loads.Loads(*columns)


def encode(name, message) -> bytes:
    """Return the bytes of a message, compressed if it is large.

    :param name: Field of the frame.
    :param message: The thrift struct.
    :raises frames.FrameError: The message is too large.
    """
    data = _CODEC.encode(name, message)
    if len(data) <= COMPRESS_ABOVE_BYTES:
        return data
    packed = ttypes.Packed(zlib.compress(data, COMPRESSION_LEVEL))
    return _CODEC.encode('packed', packed)


def decode(name, message):
    """Yield name and struct of a message, decompressed if necessary.

    :param name: Field of the frame.
    :param message: The thrift struct of that field.
    :raises frames.FrameError: The compressed data is not a valid frame.
    """
    if name != 'packed':
        yield name, message
        return
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(message.frame, MAX_UNPACKED_BYTES)
    except zlib.error as exc:
        raise frames.FrameError(f'invalid compressed data: {exc}') from exc
    if unpacker.unconsumed_tail or not unpacker.eof:
        raise frames.FrameError('a compressed frame is too large or truncated')
    buffer = frames.FrameBuffer(_CODEC)
    buffer.allow_large()
    yield from buffer.feed(data)


class Link:
    """Represent one connection to another host."""

    def __init__(self, scheduler, owner):
        """Create a link without a connection.

        :param owner: Offers ``link_opened(link)``, called when the connection
            is established; ``link_message(link, name, message)``, called for
            each received message with its field of the frame and its struct;
            and ``link_closed(link, detail)``, called when the connection has
            ended or could not be established, with the text of the error, or
            ``closed`` if there was none.
        """
        self._scheduler = scheduler
        self._owner = owner
        self._connection = None
        self._buffer = frames.FrameBuffer(_CODEC)
        self._buffer.allow_large()
        self._is_open = False
        self.received_at = scheduler.now()
        self.host = ''
        self.data_centre = ''

    @property
    def is_open(self) -> bool:
        """Return whether messages can be sent."""
        return self._is_open

    def connect(self, poller, address):
        """Open the connection."""
        self._connection = net.connect(poller, address, self, SILENCE_S)
        self._scheduler.call_later(CONNECT_TIMEOUT_S, self._check_connected)

    def send(self, name, message):
        """Send a message; dropped when the link is closed."""
        self.write(encode(name, message))

    def write(self, data):
        """Send bytes of :func:`encode`; dropped when the link is closed."""
        if self._is_open:
            self._connection.write(data)

    def is_silent(self, now) -> bool:
        """Return whether no message has arrived for :data:`SILENCE_S`."""
        return now - self.received_at > SILENCE_S

    def close(self):
        """Close at once with a reset."""
        if self._connection is not None:
            self._connection.abort()

    def _check_connected(self):
        if not self._is_open and self._connection.is_open:
            self._connection.abort()

    # Called by the network layer.

    def connected(self, connection):
        """See :class:`radishferryd.net.Handler`."""
        self._connection = connection
        self._is_open = True
        self.received_at = self._scheduler.now()
        self._owner.link_opened(self)

    def received(self, data):
        """See :class:`radishferryd.net.Handler`."""
        self.received_at = self._scheduler.now()
        try:
            for frame in self._buffer.feed(data):
                for name, message in decode(*frame):
                    self._owner.link_message(self, name, message)
        except frames.FrameError as exc:
            LOG.error('link: Closed the link to %s: %s.', self.host, exc)
            self._connection.abort()

    def pause_producing(self):
        """Close the link, since the other host reads too slowly."""
        self._scheduler.call_later(0.0, self.close)

    def resume_producing(self):
        """See :class:`radishferryd.net.Handler`."""

    def closed(self, error):
        """See :class:`radishferryd.net.Handler`."""
        self._is_open = False
        self._owner.link_closed(self, str(error) if error else 'closed')


def listen(poller, scheduler, address, owner) -> net.Listener:
    """Accept links of other hosts.

    :raises OSError: The address cannot be bound.
    """
    return net.Listener(poller, address, lambda: Link(scheduler, owner))
