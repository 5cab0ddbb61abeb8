"""Generate and parse request ids, which are UUIDs of version 7."""

from __future__ import annotations

import secrets
import time
import uuid

from radishferry import findings

#: Length of the text form, in characters.
TEXT_LENGTH = 36
#: Bit offset of the timestamp, in milliseconds, in the 128-bit number.
TIME_SHIFT = 80
# Bits of version 7 and the variant, and mask of the random bits below the
# timestamp.
_FIXED_BITS = 7 << 76 | 0b10 << 62
_RANDOM_BITS = 0xFFF << 64 | (1 << 62) - 1


def parse(text: str) -> int | findings.Finding:
    """Return a request id as a number.

    :param text: Value of the ``Idempotency-Key`` header.
    :returns: 128-bit number, or a finding that says what is wrong.
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
    """Return the timestamp of a request id, in milliseconds since the epoch.

    :param request_id: Result of :func:`parse`.
    """
    return request_id >> TIME_SHIFT


def _finding(message):
    return findings.Finding('Idempotency-Key', message)


def new() -> str:
    """Generate a request id."""
    number = (time.time_ns() // 1_000_000) << TIME_SHIFT
    number |= secrets.randbits(TIME_SHIFT) & _RANDOM_BITS | _FIXED_BITS
    text = f'{number:032x}'
    parts = (text[:8], text[8:12], text[12:16], text[16:20], text[20:])
    return '-'.join(parts)
