"""Order the versions of a store that may be restored from an older copy.

After a restore the store gives out versions again that it had given to other
writes before. A number that it names in all its answers, the era, rises by one
each time. A version is therefore meaningful only together with its era.

Without an era (an older store), all versions belong to era 0.
"""

from __future__ import annotations

import math

#: Bits of a stamp that hold the version. A store would need 30 years for as
#: many transactions at 1,000 a second.
VERSION_BITS = 40
#: Highest era whose stamps fit into the 64-bit integers of messages.
MAX_ERA = 2 ** (63 - VERSION_BITS) - 1


def stamp(era: int | None, version: int) -> int:
    """Return a number that orders versions of all eras.

    :param era: Era of the version, None if the store names none.
    :param version: Version that the store gave in that era.
    """
    return ((era or 0) << VERSION_BITS) + version


class Eras:
    """Track the era of the store as one host sees it.

    :ivar current: Highest era that an answer has named, None without one.
    :ivar seen_at: When it was first seen, in seconds of the local clock.
    :ivar changes: Number of restores that this process has noticed.
    """

    def __init__(self):
        self.current = None
        self.seen_at = -math.inf
        self.changes = 0

    def note(self, era: int | None, now: float) -> bool:
        """Record the era that an answer names.

        :param era: None if it names none.
        :param now: Seconds.
        :returns: Whether the store was restored since the last answer.
        """
        if era is None or (self.current is not None and era <= self.current):
            return False
        is_restored = self.current is not None
        self.current = era
        self.seen_at = now
        self.changes += is_restored
        return is_restored

    def is_past(self, era: int | None) -> bool:
        """Return whether an answer of an era is older than a known one."""
        return era is not None and (
            self.current is not None and era < self.current
        )
