"""Encode and decode the frames exchanged between hosts."""

from __future__ import annotations

import struct

from thrift import Thrift
from thrift.protocol import TBinaryProtocol
from thrift.transport import TTransport

#: Largest frame, in bytes.
MAX_FRAME_BYTES = 1048576
#: Largest frame before the peer has authenticated, in bytes.
MAX_UNAUTHENTICATED_FRAME_BYTES = 1024

_LENGTH = struct.Struct('>I')
_PROTOCOL_FACTORY = TBinaryProtocol.TBinaryProtocolAcceleratedFactory(
    string_length_limit=MAX_FRAME_BYTES, container_length_limit=65536
)
# A protocol object has no state between frames. Creating one for each frame
# took a tenth of the time of a request between two hosts.
_PROTOCOL = _PROTOCOL_FACTORY.getProtocol(TTransport.TMemoryBuffer())


class FrameError(Exception):
    """Report bytes that are not a valid frame."""


class Codec:
    """Encode and decode the frames of one interface file."""

    def __init__(self, frame_class, frequent=()):
        """Create a codec; message names are the fields of the frame class.

        :param frame_class: Generated class of the frame.
        :param frequent: Names of frequent messages, which are checked first.
        """
        self._frame_class = frame_class
        rest = sorted(
            spec[2]
            for spec in frame_class.thrift_spec
            if spec is not None and spec[2] not in frequent
        )
        self.messages = (*frequent, *rest)

    def encode(self, name, message) -> bytes:
        """Return the bytes of a frame.

        :param name: Field of the frame.
        :param message: The thrift struct.
        :raises FrameError: The frame exceeds :data:`MAX_FRAME_BYTES`.
        """
        frame = self._frame_class(**{name: message})
        transport = _PROTOCOL.trans = TTransport.TMemoryBuffer()
        frame.write(_PROTOCOL)
        data = transport.getvalue()
        if len(data) > MAX_FRAME_BYTES:
            raise FrameError(f'{name} of {len(data)} bytes is too large')
        return _LENGTH.pack(len(data)) + data

    def decode(self, data) -> tuple[str, object]:
        """Return the message name and the struct of a frame.

        :param data: The frame without its length.
        :raises FrameError: The bytes are not a valid frame.
        """
        frame = self._frame_class()
        _PROTOCOL.trans = TTransport.TMemoryBuffer(data)
        try:
            frame.read(_PROTOCOL)
        except (
            EOFError,
            Thrift.TException,
            UnicodeDecodeError,
            ValueError,
            TypeError,
            OverflowError,
            MemoryError,
        ) as exc:
            raise FrameError(f'malformed frame: {exc!r}') from exc
        for name in self.messages:
            message = getattr(frame, name)
            if message is not None:
                return name, message
        raise FrameError('frame without a known message')


class FrameBuffer:
    """Split a byte stream into frames."""

    def __init__(self, codec):
        """Create an empty buffer.

        :param codec: The :class:`Codec` of the messages.
        """
        self._decode = codec.decode
        self._data = bytearray()
        self._limit = MAX_UNAUTHENTICATED_FRAME_BYTES

    def allow_large(self):
        """Accept frames up to :data:`MAX_FRAME_BYTES`."""
        self._limit = MAX_FRAME_BYTES

    def feed(self, data):
        """Add bytes and yield each complete message.

        :raises FrameError: A length or a frame is invalid.
        """
        self._data += data
        while len(self._data) >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._data)
            if length > self._limit:
                raise FrameError(
                    f'frame of {length} bytes, at most {self._limit} allowed'
                )
            end = _LENGTH.size + length
            if len(self._data) < end:
                return
            message = self._decode(memoryview(self._data)[_LENGTH.size : end])
            del self._data[:end]
            yield message
