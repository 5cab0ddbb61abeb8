"""Generate response bodies that contain the id of their request."""

from __future__ import annotations

import xxhash

#: Maximum size of a part written at once, in bytes.
PART_BYTES = 65536


def parts(request_id: str, size: int, part_bytes: int = PART_BYTES):
    """Yield the parts of the body of a response.

    :param request_id: Request id, repeated through the body.
    :param size: Size of the whole body, in bytes.
    :param part_bytes: Approximate size of a part, in bytes; parts consist of
        whole lines.
    """
    line = f'{request_id}\n'.encode()
    block = line * max(1, min(size, part_bytes) // len(line))
    for start in range(0, size, len(block)):
        yield block[: size - start]


def body_hash(request_id: str, size: int) -> str:
    """Return the hash of a body made by :func:`parts`, as 16 hex digits."""
    state = xxhash.xxh64()
    for part in parts(request_id, size):
        state.update(part)
    return state.hexdigest()
