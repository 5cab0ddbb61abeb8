"""Measure the request rates of keys and sum them over ranges."""

from __future__ import annotations

import collections
import itertools

#: Seconds over which the rate of a key is averaged.
RATE_WINDOW_S = 2.0
#: Shortest time between two updates of the averages, in seconds.
MIN_STEP_S = 0.3
#: Requests a second below which the rate of a key is dropped.
MIN_RATE = 0.02


class KeyRates:
    """Track the moving average of the request rate of each key."""

    def __init__(self):
        self._rates = {}
        self._counts = collections.Counter()
        self._started_at = None
        self._advanced_at = None

    def note(self, keys):
        """Count one request for each of some keys."""
        self._counts.update(keys)

    def advance(self, now: float):
        """Add the counts since the last update to the averages."""
        if self._advanced_at is None or not (self._rates or self._counts):
            self._started_at = self._advanced_at = now
            return
        elapsed = now - self._advanced_at
        if elapsed < MIN_STEP_S:
            return
        self._advanced_at = now
        # Until a full window has passed since the start, all of the time
        # since then has the same weight.
        window_s = min(RATE_WINDOW_S, now - self._started_at)
        decay = max(0.0, 1 - elapsed / window_s)
        rates = {
            key: decayed
            for key, rate in self._rates.items()
            if (decayed := rate * decay) > MIN_RATE
        }
        for key, count in self._counts.items():
            rates[key] = rates.get(key, 0.0) + count / elapsed * (1 - decay)
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
        """Sort rates and accumulate them.

        :param rates: Requests a second by key.
        """
        self._keys = sorted(rates)
        self._sums = [
            0.0,
            *itertools.accumulate(rates[key] for key in self._keys),
        ]

    def load(self, start, end) -> float:
        """Return the total rate of the keys from start to end, inclusive."""
        low = self._index(start)
        high = self._index(end + 1)
        return self._sums[high] - self._sums[low]

    def hottest(self, count):
        """Return the keys with the highest rates, and their rates.

        :param int count: Maximum number of keys to return.
        """
        rates = [
            (key, self._sums[i + 1] - self._sums[i])
            for i, key in enumerate(self._keys)
        ]
        return sorted(rates, key=lambda found: -found[1])[:count]

    def split(self, start, end, wanted) -> int:
        """Split a range so that its first part has at most a given rate.

        :param wanted: Highest rate of the first part.
        :returns: Last key of the first part; it is less than ``start`` if
            the first key alone exceeds the wanted rate.
        """
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
