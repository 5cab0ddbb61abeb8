"""Measure the request rates of keys and sum them over ranges."""

from __future__ import annotations

import bisect
import collections
import itertools
import math

#: Seconds over which the rate of a key is averaged.
RATE_WINDOW_S = 2.0
#: The same where sudden changes are followed at once. A server with 3 slots
#: gets about 5 requests a second, whose average over 2 s has a standard
#: deviation of a fifth; plans that follow it move keys for nothing.
CALM_WINDOW_S = 6.0
#: Shortest time between two updates of the averages, in seconds.
MIN_STEP_S = 0.3
#: Neighbouring keys whose requests are counted together to find a sudden
#: change: a group of 200 keys with a third of 800 requests a second gives each
#: of them less than one request between two updates.
BLOCK_KEYS = 64
#: Standard deviations by which the requests of a block must differ from the
#: expected number. Of a thousand blocks that are tested three times a second,
#: noise passes one in an hour; reports of hosts that arrive in lumps double
#: the variance.
CHANGE_DEVIATIONS = 5.0
#: Least difference in requests, for blocks of which hardly any are expected.
MIN_CHANGE = 6
#: Times the mean of its block that a key must get, and :data:`MIN_CHANGE`
#: requests, to be told apart from it.
SINGLE_KEY_RATIO = 3.0
#: Keys on each side whose requests help to estimate the rate of a key.
NEIGHBOURS = 8
#: Requests that these count for: the rates of neighbours are taken to have a
#: coefficient of variation of about 0.4 (shape of a gamma distribution).
SHAPE = 6
#: Requests a second below which the rate of a key is dropped.
MIN_RATE = 0.02


class KeyRates:
    """Track the moving average of the request rate of each key."""

    def __init__(self):
        self._rates = {}
        self._counts = collections.Counter()
        self._started_at = None
        self._advanced_at = None
        self._changed_at = {}
        self._load_map = None
        #: When the last update showed a sudden rise, in seconds.
        self.risen_at = -math.inf
        #: Whether the last update was the first to show a rise. The rise may
        #: have begun during it, so that the rates are too low.
        self.is_rising = False

    def note(self, keys):
        """Count one request for each of some keys."""
        self._counts.update(keys)

    def advance(self, now: float, is_fast=False):
        """Add the counts since the last update to the averages.

        :param is_fast: Whether rates that change suddenly are taken from the
            last updates alone.
        """
        if self._advanced_at is None or not (self._rates or self._counts):
            self._started_at = self._advanced_at = now
            return
        elapsed = now - self._advanced_at
        if elapsed < MIN_STEP_S:
            return
        self._advanced_at = now
        longest_s = CALM_WINDOW_S if is_fast else RATE_WINDOW_S
        # Until a full window has passed since the start, all of the time
        # since then has the same weight.
        decay = _decay(elapsed, now - self._started_at, longest_s)
        # Rates of some blocks are averaged since a change only.
        self._changed_at = {
            block: at
            for block, at in self._changed_at.items()
            if now - at < longest_s
        }
        decays = {
            block: _decay(elapsed, now - at, longest_s)
            for block, at in self._changed_at.items()
        }
        rates = {
            key: decayed
            for key, rate in self._rates.items()
            if (decayed := rate * decays.get(key // BLOCK_KEYS, decay))
            > MIN_RATE
        }
        for key, count in self._counts.items():
            weight = 1 - decays.get(key // BLOCK_KEYS, decay)
            rates[key] = rates.get(key, 0.0) + count / elapsed * weight
        if is_fast:
            self._follow_changes(rates, elapsed, now)
        self._rates = rates
        self._load_map = None
        self._counts.clear()

    def _follow_changes(self, rates, elapsed, now):
        """Replace the averages of blocks of keys whose rate has changed.

        The counts of the last update alone replace them; they are averaged
        with those of the next updates, unless these differ again.

        :param rates: Requests a second by key, changed in place.
        :param elapsed: Seconds of the last update.
        """
        before = collections.Counter()
        for key, rate in self._rates.items():
            before[key // BLOCK_KEYS] += rate
        counts = collections.defaultdict(dict)
        for key, count in self._counts.items():
            counts[key // BLOCK_KEYS][key] = count
        changed = {}
        has_risen = False
        for block in before.keys() | counts.keys():
            expected = before[block] * elapsed
            found = counts.get(block, {})
            difference = sum(found.values()) - expected
            if abs(difference) >= max(
                MIN_CHANGE, CHANGE_DEVIATIONS * math.sqrt(expected)
            ):
                changed[block] = found
                has_risen = has_risen or difference > 0
        self.is_rising = has_risen and now - self.risen_at > 2 * elapsed
        if has_risen:
            self.risen_at = now
        for key in [key for key in rates if key // BLOCK_KEYS in changed]:
            del rates[key]
        for block, found in changed.items():
            rates.update(_block_rates(found, elapsed))
            self._changed_at[block] = now - elapsed

    @property
    def rates(self):
        """Return requests a second by key."""
        return self._rates

    @property
    def load_map(self) -> LoadMap:
        """Return the :class:`LoadMap` of the rates."""
        if self._load_map is None:
            self._load_map = LoadMap(self._rates)
        return self._load_map

    def total(self) -> float:
        """Return requests a second over all keys."""
        return sum(self._rates.values())


def _decay(elapsed, age_s, longest_s):
    """Return the factor on an average of which all time counts the same.

    :param age_s: Seconds since its start.
    :param longest_s: Seconds over which it is taken at most.
    """
    return max(0.0, 1 - elapsed / min(longest_s, age_s))


def _block_rates(counts, elapsed):
    """Return the rates of the keys of a block after a change.

    Few keys have more than one request, so that the rate of each is estimated
    from its own requests and from those of the keys around it, also that of a
    key without a request. The total is kept.

    :param counts: Requests by key.
    :param elapsed: Seconds in which they came.
    """
    if not counts:
        return {}
    mean = sum(counts.values()) / len(counts)
    single = {
        key: count
        for key, count in counts.items()
        if count >= max(MIN_CHANGE, SINGLE_KEY_RATIO * mean)
    }
    others = {key: c for key, c in counts.items() if key not in single}
    rates = {key: count / elapsed for key, count in single.items()}
    if others:
        weights = _smooth(others, single)
        factor = sum(others.values()) / sum(weights.values()) / elapsed
        rates |= {key: weight * factor for key, weight in weights.items()}
    return rates


def _smooth(counts, left_out):
    """Return expected counts of neighbouring keys, in proportion."""
    first, last = min(counts), max(counts)
    found = {}
    for key in range(first, last + 1):
        around = range(
            max(first, key - NEIGHBOURS), min(last, key + NEIGHBOURS) + 1
        )
        usual = sum(counts.get(k, 0) for k in around) / len(around)
        if usual and key not in left_out:
            # The mean of a gamma distribution after the count was seen.
            found[key] = (counts.get(key, 0) + SHAPE) / (1 + SHAPE / usual)
    return found


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

    def mean_rate(self, start, end) -> float:
        """Return the mean rate of the requested keys of a range."""
        count = self._index(end + 1) - self._index(start)
        return self.load(start, end) / count if count else 0.0

    def busy_bounds(self, start, end, rate):
        """Return the first and the last key with at least a given rate.

        :returns: ``start`` and ``end`` if no key of the range has it.
        """
        busy = [
            self._keys[i]
            for i in range(self._index(start), self._index(end + 1))
            if self._sums[i + 1] - self._sums[i] >= rate
        ]
        return (busy[0], busy[-1]) if busy else (start, end)

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
        return bisect.bisect_left(self._keys, key)
