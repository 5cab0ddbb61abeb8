"""Follow how often keys are asked for, and sum that over ranges."""

from __future__ import annotations

import collections
import itertools

#: Seconds over which the rate of a key is averaged.
RATE_WINDOW_S = 2.0
#: Shortest time over which requests are counted, in seconds.
MIN_STEP_S = 0.3
#: Requests a second below which a key is forgotten.
MIN_RATE = 0.02


class KeyRates:
    """Follow how often each key is asked for."""

    def __init__(self):
        self._rates = {}
        self._counts = collections.Counter()
        self._began_at = None
        self._at = None

    def note(self, keys):
        """Count requests by their keys."""
        self._counts.update(keys)

    def advance(self, now: float):
        """Fold the counts since the last call into the averages."""
        if self._at is None or not (self._rates or self._counts):
            self._began_at = self._at = now
            return
        elapsed = now - self._at
        if elapsed < MIN_STEP_S:
            return
        self._at = now
        # While the window is not full, all of the time counts the same.
        window_s = min(RATE_WINDOW_S, now - self._began_at)
        keep = max(0.0, 1 - elapsed / window_s)
        rates = {
            key: kept
            for key, rate in self._rates.items()
            if (kept := rate * keep) > MIN_RATE
        }
        for key, count in self._counts.items():
            rates[key] = rates.get(key, 0.0) + count / elapsed * (1 - keep)
        self._rates = rates
        self._counts.clear()

    @property
    def rates(self):
        """Return requests a second by key."""
        return self._rates

    def total(self) -> float:
        """Return requests a second over all keys."""
        return sum(self._rates.values())


class LoadMap:
    """Sum the rates of keys over ranges."""

    def __init__(self, rates):
        """Take rates by key."""
        self._keys = sorted(rates)
        self._sums = [
            0.0,
            *itertools.accumulate(rates[key] for key in self._keys),
        ]

    def load(self, start, end) -> float:
        """Return the rate of the keys from start to end."""
        low = self._index(start)
        high = self._index(end + 1)
        return self._sums[high] - self._sums[low]

    def hottest(self, count):
        """Return the keys with the highest rates, and their rates.

        :param int count: Most keys to return.
        """
        rates = [
            (key, self._sums[i + 1] - self._sums[i])
            for i, key in enumerate(self._keys)
        ]
        return sorted(rates, key=lambda found: -found[1])[:count]

    def split(self, start, end, wanted) -> int:
        """Return the last key of a beginning with about a wanted rate."""
        low = self._index(start)
        high = self._index(end + 1)
        for index in range(low, high):
            if self._sums[index + 1] - self._sums[low] > wanted:
                return self._keys[index] - 1
        return end

    def _index(self, key):
        low, high = 0, len(self._keys)
        while low < high:
            middle = (low + high) // 2
            if self._keys[middle] < key:
                low = middle + 1
            else:
                high = middle
        return low
