"""Hold which server owns which keys of a service."""

from __future__ import annotations

import bisect
import dataclasses

#: Number of keys of a service; keys are integers from 0.
KEY_COUNT = 65536


@dataclasses.dataclass(frozen=True)
class Segment:
    """Describe a range of keys with one owner.

    :ivar start: First key.
    :ivar end: Last key.
    :ivar owner: Life of the owner: server id and start.
    :ivar fence: Fencing token of its grant; 0 before it is known.
    :ivar previous: Lives that may still hold keys of the range.
    """

    start: int
    end: int
    owner: tuple[str, int]
    fence: int
    previous: tuple[tuple[str, int], ...] = ()

    @property
    def is_settled(self) -> bool:
        """Tell whether nobody but the owner can hold the keys."""
        return not self.previous


class KeyMap:
    """Find the owner of a key.

    :ivar version: Version of the row from which the map was read.
    """

    def __init__(self, segments=(), version: int = 0):
        self._segments = tuple(segments)
        self._starts = [segment.start for segment in self._segments]
        self.version = version

    @property
    def segments(self) -> tuple[Segment, ...]:
        """Return all segments in the order of their keys."""
        return self._segments

    def find(self, key: int) -> Segment | None:
        """Return the segment of a key."""
        index = bisect.bisect_right(self._starts, key) - 1
        if index < 0 or self._segments[index].end < key:
            return None
        return self._segments[index]


def parse_key(text: str) -> int | None:
    """Return the key that a header names, None when it is not valid."""
    if not text.isascii() or not text.isdigit() or len(text) > 5:
        return None
    key = int(text)
    return key if key < KEY_COUNT else None
