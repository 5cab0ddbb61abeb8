"""Map the keys of a service to the servers that own them."""

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
    :ivar owner: Incarnation of the owner: its id and its start in Unix
        milliseconds.
    :ivar fence: Fencing token of its grant; 0 before it is known.
    :ivar previous: Other incarnations that may still hold keys of the range.
    """

    start: int
    end: int
    owner: tuple[str, int]
    fence: int
    previous: tuple[tuple[str, int], ...] = ()

    @property
    def is_settled(self) -> bool:
        """Return whether no server but the owner can hold the keys."""
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
        """Return the segment of a key, None if no segment covers it."""
        index = bisect.bisect_right(self._starts, key) - 1
        if index < 0 or self._segments[index].end < key:
            return None
        return self._segments[index]


def parse_key(text: str) -> int | None:
    """Return the key in a header value, None if it is not valid."""
    if not text.isascii() or not text.isdigit() or len(text) > 5:
        return None
    key = int(text)
    return key if key < KEY_COUNT else None
