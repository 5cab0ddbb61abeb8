"""Make and read request ids, which are UUIDs of version 7 (RFC 9562)."""

from __future__ import annotations

import secrets
import time
import uuid

#: Version of the UUIDs, which begin with their time of issue.
UUID_VERSION = 7


def new() -> str:
    """Return a new request id."""
    milliseconds = time.time_ns() // 1_000_000
    value = (milliseconds & ((1 << 48) - 1)) << 80
    value |= UUID_VERSION << 76
    value |= secrets.randbits(12) << 64
    value |= 0b10 << 62
    value |= secrets.randbits(62)
    return str(uuid.UUID(int=value))


def issued_at_ms(text) -> int | None:
    """Return when an id was issued, in milliseconds since the epoch.

    :returns: None when the text is no UUID of version 7.
    """
    try:
        value = uuid.UUID(text)
    except ValueError:
        return None
    if value.version != UUID_VERSION:
        return None
    return value.int >> 80
