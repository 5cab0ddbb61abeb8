"""Measure which keys and ranges get the most requests."""

from __future__ import annotations

import collections
import heapq
import math

#: Time constant of the decay of counts, in seconds.
DECAY_S = 10.0
#: Number of keys that a sketch keeps when it is pruned.  A key with more than
#: one in 512 of the requests of a sketch is never pruned.
CAPACITY = 512
#: Maximum number of hot keys kept when reports are merged.
MAX_MERGED = 1024


class HotKeySketch:
    """Count requests by key and by range with exponential decay.

    The keys of one service are counted by the space-saving algorithm: a key
    that is new after others were pruned may have had as many requests as the
    most frequent pruned key.  Pruning drops half of the keys at a time, which
    makes :meth:`record` O(1) amortised.

    Counts decay whenever they are read; read them about once a second.

    :param float now: Time in seconds.
    :param int capacity: Number of keys kept when the sketch is pruned; it
        holds up to twice as many.
    """

    def __init__(self, now, capacity=CAPACITY):
        self._capacity = capacity
        self._decayed_at = now
        # Counts divided by this time are rates.  It decays like the counts, so
        # that the rates are correct from the start and between decays.
        self._effective_s = 0.0
        self._counts = {}
        self._errors = {}
        self._max_pruned_count = 0.0
        self._ranges = collections.Counter()

    def record(self, range_id, key_hash):
        """Count one request.

        :param int range_id: Range of the key.
        :param int key_hash: Result of ``keyspace.key_hash``.
        """
        self._ranges[range_id] += 1.0
        counts = self._counts
        if key_hash in counts:
            counts[key_hash] += 1.0
            return
        counts[key_hash] = self._max_pruned_count + 1.0
        if self._max_pruned_count:
            self._errors[key_hash] = self._max_pruned_count
        if len(counts) > 2 * self._capacity:
            self._prune()

    def top(self, now, count):
        """Return the keys with the most requests in order of decreasing rate.

        :param float now: Time in seconds.
        :param int count: Maximum number of keys.
        :returns: List of ``(key_hash, requests_per_s)``.  A rate is a lower
            bound, as it excludes requests that may belong to other keys.
        """
        self._decay(now)
        if not self._effective_s:
            return []
        lower_bounds = (
            (requests - self._errors.get(key_hash, 0.0), key_hash)
            for key_hash, requests in self._counts.items()
        )
        return [
            (key_hash, requests / self._effective_s)
            for requests, key_hash in heapq.nlargest(count, lower_bounds)
            if requests > 0
        ]

    def range_loads(self, now):
        """Return the requests per second of each range with requests.

        :param float now: Time in seconds.
        """
        self._decay(now)
        if not self._effective_s:
            return {}
        return {
            range_id: requests / self._effective_s
            for range_id, requests in self._ranges.items()
        }

    def _prune(self):
        order = heapq.nlargest(
            self._capacity + 1, self._counts.items(), key=lambda kv: kv[1]
        )
        # Counts are upper bounds of the requests of a key, so the largest
        # dropped count is an upper bound for all dropped keys.
        self._max_pruned_count = max(self._max_pruned_count, order.pop()[1])
        self._counts = dict(order)
        self._errors = {
            key_hash: error
            for key_hash, error in self._errors.items()
            if key_hash in self._counts
        }

    def _decay(self, now):
        elapsed = now - self._decayed_at
        if elapsed <= 0:
            return
        self._decayed_at = now
        factor = math.exp(-elapsed / DECAY_S)
        # Requests since the last decay and the time that they cover are
        # decayed by the same factor, so that their rate stays correct.
        self._effective_s = (self._effective_s + elapsed) * factor
        self._max_pruned_count *= factor
        self._counts = _decayed_counts(self._counts, factor)
        self._errors = _decayed_counts(self._errors, factor)
        self._ranges = collections.Counter(
            _decayed_counts(self._ranges, factor)
        )


def merge_top(reports, count=MAX_MERGED):
    """Return the rates of the keys with the most requests overall.

    :param reports: Results of :meth:`HotKeySketch.top` of the coordinators of
        a service.  The rates of a key that moved are reported by two
        coordinators and are added.
    :param int count: Maximum number of keys.
    :returns: Mapping of key hash to requests per second.
    """
    rates = collections.Counter()
    for report in reports:
        for key_hash, rate in report:
            rates[key_hash] += rate
    return dict(heapq.nlargest(count, rates.items(), key=lambda kv: kv[1]))


def merge_loads(reports):
    """Return the sum of results of :meth:`HotKeySketch.range_loads`."""
    loads = collections.Counter()
    for report in reports:
        loads.update(report)
    return dict(loads)


#: Count below which a key or a range is dropped.
MIN_COUNT = 0.01


def _decayed_counts(counts, factor):
    return {
        name: requests * factor
        for name, requests in counts.items()
        if requests * factor >= MIN_COUNT
    }
