"""Generate request ids."""

from __future__ import annotations

import random
import time
import uuid

_RANDOM_BITS_A = 12
_RANDOM_BITS_B = 62


def uuid7(time_ns: int | None = None) -> str:
    """Return a UUIDv7 of RFC 9562.

    :param time_ns: Time of issue, in ns since the epoch; None for now.
    """
    if time_ns is None:
        time_ns = time.time_ns()
    value = (time_ns // 1_000_000 & (1 << 48) - 1) << 80
    value |= 7 << 76 | random.getrandbits(_RANDOM_BITS_A) << 64
    value |= 2 << 62 | random.getrandbits(_RANDOM_BITS_B)
    return str(uuid.UUID(int=value))
