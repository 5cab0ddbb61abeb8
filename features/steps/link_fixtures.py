"""Decode what is sent on the links between hosts."""

from __future__ import annotations

from radishferryd import frames
from radishferryd.router import links


def decode(data):
    """Return name and struct of each message in the bytes of a link."""
    buffer = frames.FrameBuffer(links._CODEC)
    buffer.allow_large()
    return [
        message
        for frame in buffer.feed(data)
        for message in links.decode(*frame)
    ]
