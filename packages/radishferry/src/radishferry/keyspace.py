"""Map keys to ranges."""

from __future__ import annotations

import xxhash


def key_hash(key: str) -> int:
    """Return the 64-bit hash of a key.

    :param key: Any text.
    """
    return xxhash.xxh64_intdigest(key.encode())


def range_of(hash_value: int, ranges: int, hot_keys=None) -> int:
    """Return the range id of a key.

    :param hash_value: Result of :func:`key_hash`.
    :param ranges: Number of hash ranges of the service.
    :param hot_keys: Mapping of the hashes of hot keys to their range ids,
        which are at least ``ranges``.
    """
    if hot_keys:
        hot = hot_keys.get(hash_value)
        if hot is not None:
            return hot
    return hash_value % ranges
