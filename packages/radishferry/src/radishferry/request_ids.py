"""Read request ids, which are UUIDs of version 7."""

from __future__ import annotations

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
