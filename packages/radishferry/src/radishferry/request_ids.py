"""Make and read request ids, which are UUIDs of version 7."""

from __future__ import annotations

import secrets
import time
import uuid

from radishferry import findings

#: Length of the text form.
TEXT_LENGTH = 36
#: Position of the time of issue, in milliseconds, in the number.
TIME_SHIFT = 80


def parse(text: str) -> int | findings.Finding:
    """Return a request id as a number.

    :param text: Value of the ``Idempotency-Key`` header.
    :returns: 128-bit number, or what is wrong with the text.
    """
    try:
        value = uuid.UUID(text) if len(text) == TEXT_LENGTH else None
    except ValueError:
        value = None
    if value is None:
        return _finding('is not a UUID')
    if value.version != 7:
        return _finding(f'is a UUID of version {value.version}, not 7')
    return value.int


def issued_ms(request_id: int) -> int:
    """Return the time of issue in milliseconds since the epoch.

    :param request_id: Result of :func:`parse`.
    """
    return request_id >> TIME_SHIFT


def _finding(message):
    return findings.Finding('Idempotency-Key', message)


def new() -> str:
    """Return a new request id."""
    number = (time.time_ns() // 1_000_000) << TIME_SHIFT
    number |= 7 << 76
    number |= secrets.randbits(12) << 64
    number |= 0b10 << 62
    number |= secrets.randbits(62)
    return str(uuid.UUID(int=number))
